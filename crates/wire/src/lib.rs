//! The wire formats of stoathatch: messages between controllers, users, agents, the cloud, the state service and
//! operators, the records in the state service, and the settings file.
//!
//! Rust names are the field's terms; encoded names (`baton`, `tenure`, …) are those of the protocol, by `serde`'s
//! `rename`, and occur only in this crate.
//!
//! | exchanged with | module | encoding |
//! |---|---|---|
//! | users | [`users`], read by [`submission`] | `MessagePack` |
//! | agents | [`agents`] | `MessagePack` |
//! | the cloud | [`cloud`] | `MessagePack` |
//! | the state service | [`state_service`], with values of [`records`] and [`tree`] | `MessagePack` |
//! | other controllers | [`peer`] | CBOR |
//! | operators | [`admin`], [`hours`], [`models`], [`tally`] | JSON |
//! | the platform | [`settings`] | JSON |
//!
//! All but the settings travel over HTTP/1.1, which [`http`] frames. [`api`] re-exports the messages of the first four.

#![deny(missing_docs)]

pub mod admin;
pub mod agents;
pub mod api;
pub mod cloud;
pub mod hours;
pub mod http;
pub mod ids;
pub mod models;
pub mod peer;
pub mod records;
pub mod settings;
pub mod state_service;
pub mod submission;
pub mod tally;
pub mod tree;
pub mod users;

use serde::{Serialize, de::DeserializeOwned};

/// Deepest nesting of a `MessagePack` message that is read, in maps and lists.
const MAX_DEPTH: usize = 32;

/// Why a body could not be decoded, for the log.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are no message of the expected kind.
    #[error("unreadable body: {reason}")]
    Malformed {
        /// The decoder's reason.
        reason: String,
    },
    /// Bytes follow the message.
    #[error("unreadable body: trailing bytes")]
    TrailingBytes,
}

impl DecodeError {
    pub(crate) fn malformed(reason: impl std::fmt::Display) -> Self {
        DecodeError::Malformed {
            reason: reason.to_string(),
        }
    }
}

/// Encodes a message as `MessagePack` with text keys.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Only a map with non-text keys or a failing writer can fail here; we have neither.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes one `MessagePack` message. Declared lengths allocate nothing beyond the bytes that are there, and nesting is
/// bounded far below the stack.
///
/// # Errors
///
/// The bytes are no message of this type, or more bytes follow it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut reader = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
    reader.set_max_depth(MAX_DEPTH);
    let value = T::deserialize(&mut reader).map_err(DecodeError::malformed)?;
    let used = reader.get_ref().position();
    if used != body.len() as u64 {
        return Err(DecodeError::TrailingBytes);
    }
    Ok(value)
}
