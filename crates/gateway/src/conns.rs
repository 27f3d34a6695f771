//! Connections of clients: bytes in, calls out; replies in, bytes out. Every frame, buffer and queue is bounded, and a
//! frame that is begun and not ended in time closes its connection.

use crate::call::{Call, Page, Proved, Reply, Web, What};
use crate::config::Config;
use crate::token;
use prost::Message;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use wire::http;
use yarn::error::{Class, Fault};
use yarn::rest::{self, Form};
use yarn::rpc::{self, Fatal, RequestHeader};

/// A frame or request that was begun must be whole after this time, in milliseconds.
const SLOW_MS: u64 = 10_000;
/// Before a connection has said who it is, nothing large is taken.
const SMALL_FRAME: usize = 4096;
/// Longest name of a user.
const MAX_USER: usize = 120;
/// Who a REST client is that does not say so, by the published default.
const NOBODY: &str = "dr.who";

/// What is to be done for a connection.
#[derive(Debug, PartialEq)]
pub enum Did {
    Write(Vec<u8>),
    Close,
    /// A call, under a number of this connection's.
    Call(u64, Call),
}

enum Kind {
    Rpc(Rpc),
    Web(WebSide),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Opening,
    /// The client wants to negotiate; it may also go on without.
    Negotiating,
    Context,
    Ready,
}

struct Rpc {
    step: Step,
    user: String,
    proved: Option<Proved>,
    nonce: String,
    /// Calls that are not answered yet.
    open: HashMap<u64, RequestHeader>,
}

#[derive(Default)]
struct WebSide {
    /// The request that is with the service, its form, and whether the connection ends with it.
    busy: Option<(u64, Form, bool)>,
}

struct Conn {
    kind: Kind,
    buf: Vec<u8>,
    /// Since when a part of a frame is here, or nothing is known of who it is.
    partial: Option<u64>,
    next: u64,
}

pub struct Conns {
    config: Arc<Config>,
    all: HashMap<u64, Conn>,
    secret: [u8; 32],
    nonces: u64,
}

impl Conns {
    pub fn new(config: Arc<Config>, secret: [u8; 32]) -> Self {
        Conns {
            config,
            all: HashMap::new(),
            secret,
            nonces: 0,
        }
    }

    /// Connections, and those of them that have begun a frame and not ended it.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.all.len(),
            self.all.values().filter(|c| c.partial.is_some()).count(),
        )
    }

    /// A new connection; false if nobody is served there.
    pub fn opened(&mut self, now: u64, id: u64, web: bool, from: IpAddr) -> bool {
        if !self.config.is_allowed(from) {
            log::warn!("yarn: a connection from {from} is not allowed");
            return false;
        }
        let rpc = || Rpc {
            step: Step::Opening,
            user: String::new(),
            proved: None,
            nonce: String::new(),
            open: HashMap::new(),
        };
        let kind = if web {
            Kind::Web(WebSide::default())
        } else {
            Kind::Rpc(rpc())
        };
        self.all.insert(
            id,
            Conn {
                kind,
                buf: Vec::new(),
                partial: (!web).then_some(now),
                next: 1,
            },
        );
        true
    }

    pub fn closed(&mut self, id: u64) {
        self.all.remove(&id);
    }

    /// Connections whose frame took too long.
    pub fn slow(&mut self, now: u64) -> Vec<u64> {
        let late = |c: &Conn| c.partial.is_some_and(|since| now > since + SLOW_MS);
        self.all
            .iter()
            .filter(|(_, c)| late(c))
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn bytes(&mut self, now: u64, id: u64, bytes: &[u8]) -> Vec<Did> {
        self.nonces += 1;
        let nonce = token::hex(&token::mac(&self.secret, &self.nonces.to_be_bytes())[..16]);
        let Some(conn) = self.all.get_mut(&id) else {
            return Vec::new();
        };
        conn.buf.extend_from_slice(bytes);
        let did = conn.advance(&self.config, &nonce);
        let open = conn.buf.is_empty() && conn.is_introduced() || conn.is_busy();
        conn.partial = if open {
            None
        } else {
            conn.partial.or(Some(now))
        };
        did
    }

    /// The reply to a call of a connection; nothing if it has gone.
    pub fn reply(&mut self, now: u64, id: u64, serial: u64, reply: Reply) -> Vec<Did> {
        let Some(conn) = self.all.get_mut(&id) else {
            return Vec::new();
        };
        let mut did = match &mut conn.kind {
            Kind::Rpc(rpc) => rpc.reply(serial, reply),
            Kind::Web(web) => web.reply(serial, reply),
        };
        // What had come in meanwhile is looked at now.
        if !conn.buf.is_empty() && !did.contains(&Did::Close) {
            did.extend(self.bytes(now, id, &[]));
        }
        did
    }
}

impl Conn {
    fn is_busy(&self) -> bool {
        matches!(&self.kind, Kind::Web(web) if web.busy.is_some())
    }

    fn is_introduced(&self) -> bool {
        matches!(&self.kind, Kind::Web(_))
            || matches!(&self.kind, Kind::Rpc(rpc) if rpc.step == Step::Ready)
    }

    /// Takes all frames that are whole.
    fn advance(&mut self, config: &Config, nonce: &str) -> Vec<Did> {
        let mut did = Vec::new();
        let mut used = 0;
        loop {
            let rest = &self.buf[used..];
            let step = match &mut self.kind {
                Kind::Rpc(rpc) => rpc.take(rest, config, nonce, &mut self.next, &mut did),
                Kind::Web(web) => web.take(rest, config, &mut self.next, &mut did),
            };
            match step {
                Some(0) => break,
                Some(n) => used += n,
                None => {
                    did.push(Did::Close);
                    used = self.buf.len();
                    break;
                }
            }
        }
        self.buf.drain(..used);
        // One large message must not hold its memory for the connection's whole life.
        self.buf.shrink_to(4096);
        did
    }
}

impl Rpc {
    /// Takes what is next: the bytes used, 0 while some are missing, `None` if the connection is over.
    fn take(
        &mut self,
        buf: &[u8],
        config: &Config,
        nonce: &str,
        next: &mut u64,
        did: &mut Vec<Did>,
    ) -> Option<usize> {
        match self.frame(buf, config, nonce, next, did) {
            Ok(used) => used,
            Err((of, why)) => {
                log::info!("yarn: a connection is closed: {why}");
                if why != Fatal::NotRpc {
                    did.push(Did::Write(rpc::farewell(of.as_ref(), why)));
                }
                None
            }
        }
    }

    fn frame(
        &mut self,
        buf: &[u8],
        config: &Config,
        nonce: &str,
        next: &mut u64,
        did: &mut Vec<Did>,
    ) -> Result<Option<usize>, (Option<RequestHeader>, Fatal)> {
        if self.step == Step::Opening {
            let Some(auth) = rpc::opening(buf).map_err(|f| (None, f))? else {
                return Ok(Some(0));
            };
            self.step = if auth == rpc::AUTH_SASL {
                Step::Negotiating
            } else {
                Step::Context
            };
            return Ok(Some(rpc::OPENING));
        }
        let limit = if self.step == Step::Ready {
            config.most.frame
        } else {
            SMALL_FRAME
        };
        let Some((body, used)) = rpc::take_frame(buf, limit).map_err(|f| (None, f))? else {
            return Ok(Some(0));
        };
        let (header, rest) = rpc::parse_header(body).map_err(|f| (None, f))?;
        if header.rpc_op == Some(2) {
            return Ok(None);
        }
        let of = header.clone();
        let fatal = move |f| (Some(of), f);
        match (self.step, header.call_id) {
            (Step::Ready, rpc::PING_CALL) => {}
            (Step::Negotiating, rpc::SASL_CALL) => {
                self.negotiate(&header, rest, nonce, next, did)
                    .map_err(fatal)?;
            }
            (Step::Negotiating | Step::Context, rpc::CONTEXT_CALL) => {
                let context: rpc::ConnectionContext = rpc::message(rest).map_err(fatal)?;
                let user = context.user.unwrap_or_default();
                // A user who acts for another is that other here: nothing proves either.
                self.user = user.effective_user.or(user.real_user).unwrap_or_default();
                if self.user.is_empty() || self.user.len() > MAX_USER {
                    return Err((Some(header), Fatal::Unauthorized));
                }
                self.step = Step::Ready;
            }
            (Step::Ready, call) if call >= 0 => {
                self.call(header, rest, config, next, did).map_err(fatal)?
            }
            _ => return Err((Some(header), Fatal::Header)),
        }
        Ok(Some(used))
    }

    fn call(
        &mut self,
        header: RequestHeader,
        rest: &[u8],
        config: &Config,
        next: &mut u64,
        did: &mut Vec<Did>,
    ) -> Result<(), Fatal> {
        let call = rpc::call(header, rest)?;
        if self.open.len() >= config.most.calls_each {
            let fault = Fault::new(
                Class::Retriable,
                "too many calls of this connection are not answered yet",
            );
            did.push(Did::Write(rpc::refusal(&call.header, &fault)));
            return Ok(());
        }
        let what = What::Rpc {
            protocol: call.protocol,
            method: call.method,
            argument: call.argument,
        };
        self.ask(call.header, what, next, did);
        Ok(())
    }

    fn ask(&mut self, header: RequestHeader, what: What, next: &mut u64, did: &mut Vec<Did>) {
        let serial = *next;
        *next += 1;
        self.open.insert(serial, header);
        did.push(Did::Call(
            serial,
            Call {
                user: self.user.clone(),
                proved: self.proved,
                what,
            },
        ));
    }

    /// A step of authentication by token.
    fn negotiate(
        &mut self,
        header: &RequestHeader,
        rest: &[u8],
        nonce: &str,
        next: &mut u64,
        did: &mut Vec<Did>,
    ) -> Result<(), Fatal> {
        let sasl: rpc::Sasl = rpc::message(rest)?;
        match sasl.state {
            1 => {
                self.nonce = nonce.to_owned();
                let offer = |method: &str, mechanism: &str, challenge| rpc::SaslAuth {
                    method: method.into(),
                    mechanism: mechanism.into(),
                    protocol: Some(String::new()),
                    server_id: Some("default".into()),
                    challenge,
                };
                let challenge = Some(token::challenge(nonce).into_bytes());
                let auths = vec![
                    offer("TOKEN", "DIGEST-MD5", challenge),
                    offer("SIMPLE", "", None),
                ];
                let answer = rpc::Sasl {
                    state: 1,
                    auths,
                    ..rpc::Sasl::default()
                };
                did.push(Did::Write(rpc::answer(header, &answer.encode_to_vec())));
                Ok(())
            }
            2 | 4 if !self.nonce.is_empty() && self.open.is_empty() => {
                let response = sasl
                    .token
                    .and_then(|t| String::from_utf8(t).ok())
                    .ok_or(Fatal::Request)?;
                // Each challenge is good for one response.
                let nonce = std::mem::take(&mut self.nonce);
                self.ask(header.clone(), What::Prove { nonce, response }, next, did);
                Ok(())
            }
            _ => Err(Fatal::Unauthorized),
        }
    }

    fn reply(&mut self, serial: u64, reply: Reply) -> Vec<Did> {
        let Some(header) = self.open.remove(&serial) else {
            return Vec::new();
        };
        match reply {
            Reply::Rpc(body) => vec![Did::Write(rpc::answer(&header, &body))],
            Reply::Proved(proved, proof) => {
                self.proved = Some(proved);
                let answer = rpc::Sasl {
                    state: 0,
                    token: Some(proof.into_bytes()),
                    ..rpc::Sasl::default()
                };
                vec![Did::Write(rpc::answer(&header, &answer.encode_to_vec()))]
            }
            Reply::Refused { class, message } => {
                let fault = Reply::fault(&class, &message);
                if header.call_id != rpc::SASL_CALL {
                    return vec![Did::Write(rpc::refusal(&header, &fault))];
                }
                let passing = fault.class.is_passing();
                let last = if passing {
                    rpc::refusal(&header, &fault)
                } else {
                    rpc::farewell(Some(&header), Fatal::Unauthorized)
                };
                vec![Did::Write(last), Did::Close]
            }
            Reply::Web(_) => vec![Did::Close],
        }
    }
}

impl WebSide {
    fn take(
        &mut self,
        buf: &[u8],
        config: &Config,
        next: &mut u64,
        did: &mut Vec<Did>,
    ) -> Option<usize> {
        if self.busy.is_some() || buf.is_empty() {
            // One request at a time; what comes meanwhile is bounded like one.
            return (buf.len() <= config.most.frame + SMALL_FRAME * 4).then_some(0);
        }
        match http::parse_request(buf, config.most.frame) {
            Ok(None) => Some(0),
            Ok(Some((request, used))) => {
                let header = |name| http::request_header(&buf[..used], name).unwrap_or_default();
                let Some(form) = Form::wanted(&header("accept")) else {
                    did.push(Did::Write(refusal(
                        406,
                        Form::Json,
                        "JSON and XML are given",
                        true,
                    )));
                    return None;
                };
                let form_in = Form::wanted(&header("content-type")).unwrap_or(Form::Json);
                let serial = *next;
                *next += 1;
                self.busy = Some((serial, form, request.close));
                let user = user_of(&request.path);
                let what = What::Web(Web {
                    method: request.method,
                    target: request.path,
                    xml_in: form_in == Form::Xml,
                    xml_out: form == Form::Xml,
                    body: request.body,
                });
                did.push(Did::Call(
                    serial,
                    Call {
                        user,
                        proved: None,
                        what,
                    },
                ));
                Some(used)
            }
            Err(error) => {
                let status = error.status();
                did.push(Did::Write(refusal(
                    status,
                    Form::Json,
                    "the request can't be read",
                    true,
                )));
                None
            }
        }
    }

    fn reply(&mut self, serial: u64, reply: Reply) -> Vec<Did> {
        let Some((_, form, close)) = self.busy.take_if(|(s, _, _)| *s == serial) else {
            return Vec::new();
        };
        let page = match reply {
            Reply::Web(page) => page,
            Reply::Refused { class, message } => {
                let fault = Reply::fault(&class, &message);
                Page {
                    status: fault.class.status(),
                    body: rest::error(form, &fault),
                    location: None,
                }
            }
            Reply::Rpc(_) | Reply::Proved(..) => return vec![Did::Close],
        };
        let mut did = vec![Did::Write(page_bytes(page, form, close))];
        if close {
            did.push(Did::Close);
        }
        did
    }
}

fn refusal(status: u16, form: Form, why: &str, close: bool) -> Vec<u8> {
    let fault = Fault::new(Class::BadArgument, why);
    page_bytes(
        Page {
            status,
            body: rest::error(form, &fault),
            location: None,
        },
        form,
        close,
    )
}

fn page_bytes(page: Page, form: Form, close: bool) -> Vec<u8> {
    // Whoever is turned away for now is told when to come back.
    let retry_after_s = matches!(page.status, 429 | 503).then_some(1);
    let response = http::Response {
        status: page.status,
        body: page.body,
        close,
        retry_after_s,
    };
    let mut out = Vec::new();
    http::write_response_as(
        &mut out,
        &response,
        form.content_type(),
        page.location.as_deref(),
    );
    out
}

/// The user that a request names.
fn user_of(target: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    let named =
        crate::web::parameter(query, "user.name").filter(|u| !u.is_empty() && u.len() <= MAX_USER);
    named.unwrap_or_else(|| NOBODY.to_owned())
}
