//! Tokens that bind a master to its application: an identifier, and a password that is its HMAC under a key that only
//! controllers know. The key is kept in the state service, is changed once a day, and the one before is still good.
//! Shown by SASL's DIGEST-MD5 (RFC 2831), as the published clients do, so the password itself is never sent.
//!
//! What this does not protect: the bytes of a connection are neither hidden nor signed after that.

use crate::call::Proved;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use hmac::{Hmac, Mac};
use md5::{Digest, Md5};
use prost::Message;
use sha2::Sha256;
use std::collections::HashMap;
use yarn::proto::{ApplicationAttemptId, ApplicationId, Token};

const REALM: &str = "default";
pub const KIND: &str = "YARN_AM_RM_TOKEN";
pub const CONTAINER_KIND: &str = "ContainerToken";
/// A key is replaced after this time, in milliseconds.
pub const KEY_LIFE_MS: u64 = 24 * 3600 * 1000;

/// What a token says.
#[derive(Clone, Copy, PartialEq, Message)]
struct Identifier {
    #[prost(message, optional, tag = "1")]
    attempt: Option<ApplicationAttemptId>,
    #[prost(int32, optional, tag = "2")]
    key: Option<i32>,
}

/// The keys in force, the newest first.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Keys {
    pub number: u32,
    /// Hexadecimal.
    pub new: String,
    pub old: String,
    pub since_ms: u64,
}

impl Keys {
    /// Another key takes the place of the newest, which stays good as the older one.
    pub fn rotated(&self, secret: &[u8], now_ms: u64) -> Keys {
        let number = self.number + 1;
        let new = hex(&mac(secret, format!("key {number} {now_ms}").as_bytes()));
        Keys {
            number,
            new,
            old: self.new.clone(),
            since_ms: now_ms,
        }
    }

    fn key(&self, number: u32) -> Option<&str> {
        match self.number.checked_sub(number)? {
            0 => Some(&self.new),
            1 if !self.old.is_empty() => Some(&self.old),
            _ => None,
        }
    }

    fn password(&self, number: u32, identifier: &[u8]) -> Option<Vec<u8>> {
        Some(mac(self.key(number)?.as_bytes(), identifier))
    }

    /// The token of a master, or of a container of it.
    pub fn token(&self, kind: &str, attempt: ApplicationAttemptId, more: &[u8]) -> Token {
        let id = Identifier {
            attempt: Some(attempt),
            key: Some(self.number as i32),
        };
        let mut identifier = id.encode_to_vec();
        identifier.extend_from_slice(more);
        let password = self.password(self.number, &identifier).unwrap_or_default();
        Token {
            identifier,
            password,
            kind: kind.to_owned(),
            service: String::new(),
        }
    }

    /// Whether a token that was handed out by these keys is whole: what it says, with what it was given besides.
    pub fn check(&self, token: &Token, more: usize) -> Option<(ApplicationAttemptId, Vec<u8>)> {
        let at = token.identifier.len().checked_sub(more)?;
        let (id, rest) = token.identifier.split_at(at);
        let id = Identifier::decode(id).ok()?;
        let password = self.password(id.key? as u32, &token.identifier)?;
        (password == token.password).then_some((id.attempt?, rest.to_vec()))
    }

    /// Checks a response to a challenge: who it is, and the answer that proves that we know his password.
    pub fn prove(&self, nonce: &str, response: &str) -> Option<(Proved, String)> {
        let fields = fields(response)?;
        let field = |name: &str| fields.get(name).map(String::as_str);
        let identifier = BASE64.decode(field("username")?).ok()?;
        let id = Identifier::decode(identifier.as_slice()).ok()?;
        let password = BASE64.encode(self.password(id.key? as u32, &identifier)?);
        if field("nonce")? != nonce
            || field("nc")? != "00000001"
            || field("qop").unwrap_or("auth") != "auth"
        {
            return None;
        }
        let digest = |a2: &str| {
            Some(digest(
                &fields,
                &password,
                nonce,
                &format!("{a2}:{}", field("digest-uri")?),
            ))
        };
        if digest("AUTHENTICATE")? != field("response")? {
            return None;
        }
        let attempt = id.attempt?;
        let proved = Proved {
            app: attempt.application_id?.id as u32,
            attempt: attempt.attempt_id as u32,
        };
        Some((proved, format!("rspauth={}", digest("")?)))
    }
}

/// What a client is asked to respond to.
pub fn challenge(nonce: &str) -> String {
    format!("realm=\"{REALM}\",nonce=\"{nonce}\",qop=\"auth\",charset=utf-8,algorithm=md5-sess")
}

/// What a client with a token responds.
pub fn respond(token: &Token, nonce: &str, cnonce: &str) -> String {
    let username = BASE64.encode(&token.identifier);
    let password = BASE64.encode(&token.password);
    let uri = format!("/{REALM}");
    let fields: HashMap<String, String> = [
        ("username", username.as_str()),
        ("realm", REALM),
        ("cnonce", cnonce),
    ]
    .map(|(k, v)| (k.to_owned(), v.to_owned()))
    .into();
    let response = digest(&fields, &password, nonce, &format!("AUTHENTICATE:{uri}"));
    format!(
        "charset=utf-8,username=\"{username}\",realm=\"{REALM}\",nonce=\"{nonce}\",nc=00000001,cnonce=\"{cnonce}\",\
         digest-uri=\"{uri}\",maxbuf=65536,response={response},qop=auth"
    )
}

/// The nonce of a challenge.
pub fn nonce_of(challenge: &str) -> Option<String> {
    fields(challenge)?.remove("nonce")
}

/// RFC 2831, 2.1.2.1, for `md5-sess`.
fn digest(fields: &HashMap<String, String>, password: &str, nonce: &str, a2: &str) -> String {
    let field = |name: &str| fields.get(name).map_or("", String::as_str);
    let cnonce = field("cnonce");
    let mut a1 = Md5::digest(format!(
        "{}:{}:{password}",
        field("username"),
        field("realm")
    ))
    .to_vec();
    a1.extend_from_slice(format!(":{nonce}:{cnonce}").as_bytes());
    let (a1, a2) = (hex(&Md5::digest(a1)), hex(&Md5::digest(a2)));
    hex(&Md5::digest(format!(
        "{a1}:{nonce}:00000001:{cnonce}:auth:{a2}"
    )))
}

/// `name=value` or `name="value"`, separated by commas.
fn fields(text: &str) -> Option<HashMap<String, String>> {
    let mut out = HashMap::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (name, after) = rest.split_once('=')?;
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"')?,
            None => after.split_at(after.find(',').unwrap_or(after.len())),
        };
        out.insert(name.trim().to_owned(), value.to_owned());
        rest = after.trim_start_matches([',', ' ']);
    }
    Some(out)
}

pub fn mac(key: &[u8], text: &[u8]) -> Vec<u8> {
    // Keys of any length are taken.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else {
        return Vec::new();
    };
    mac.update(text);
    mac.finalize().into_bytes().to_vec()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The id of an attempt.
pub fn attempt_id(stamp: i64, app: u32, attempt: u32) -> ApplicationAttemptId {
    let application_id = Some(ApplicationId {
        id: app as i32,
        cluster_timestamp: stamp,
    });
    ApplicationAttemptId {
        application_id,
        attempt_id: attempt as i32,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// RFC 2831, section 4: the published example, which fixes each step of the digest.
    #[test]
    fn digests_are_those_of_the_published_example() {
        let text = "username=\"chris\",realm=\"elwood.innosoft.com\",nonce=\"OA6MG9tEQGm2hh\",nc=00000001,\
                    cnonce=\"OA6MHXh6VqTrRk\",digest-uri=\"imap/elwood.innosoft.com\",qop=auth";
        let fields = fields(text).expect("readable");
        let digest = |a2: &str| digest(&fields, "secret", "OA6MG9tEQGm2hh", a2);
        assert_eq!(
            digest("AUTHENTICATE:imap/elwood.innosoft.com"),
            "d388dad90d4bbd760a152321f2143af7"
        );
        assert_eq!(
            digest(":imap/elwood.innosoft.com"),
            "ea40f60335c427b5527b84dbabcdfffd"
        );
    }

    #[test]
    fn tokens_prove_their_master_and_nothing_else() {
        let keys = Keys::default().rotated(b"secret", 1);
        let token = keys.token(KIND, attempt_id(9, 7, 2), &[]);
        let response = respond(&token, "n", "c");
        let proved = Proved { app: 7, attempt: 2 };
        assert_eq!(keys.prove("n", &response).map(|p| p.0), Some(proved));
        assert_eq!(keys.prove("m", &response), None, "another challenge");
        let later = keys.rotated(b"secret", 2);
        assert_eq!(
            later.prove("n", &response).map(|p| p.0),
            Some(proved),
            "the key before is good"
        );
        assert_eq!(
            later.rotated(b"secret", 3).prove("n", &response),
            None,
            "older ones are not"
        );
        let other = Keys::default()
            .rotated(b"other", 1)
            .token(KIND, attempt_id(9, 7, 2), &[]);
        assert_eq!(
            keys.prove("n", &respond(&other, "n", "c")),
            None,
            "another service's token"
        );
        let forged = Token {
            identifier: keys.token(KIND, attempt_id(9, 8, 1), &[]).identifier,
            ..token
        };
        assert_eq!(
            keys.prove("n", &respond(&forged, "n", "c")),
            None,
            "another master's name"
        );
        assert_eq!(keys.prove("n", "username=\""), None);
    }
}
