//! The wire formats of stoathatch: messages between controllers, users, agents, the cloud, the state service and
//! operators, the records in the state service, and the settings file.
//!
//! Rust names are the usual terms of cluster scheduling. The protocol has other names (`baton`, `tenure`, …): they are
//! set by `serde`'s `rename` and occur only in this crate.
//!
//! | exchanged with | module | encoding |
//! |---|---|---|
//! | users | [`users`], decoded by [`submission`] | `MessagePack` |
//! | agents | [`agents`] | `MessagePack` |
//! | the cloud | [`cloud`] | `MessagePack` |
//! | the state service | [`state_service`], with values of [`records`] and [`tree`] | `MessagePack` |
//! | other controllers | [`peer`] | CBOR |
//! | operators | [`admin`], [`hours`], [`models`], [`tally`] | JSON |
//! | the platform | [`settings`] | JSON |
//!
//! All but the settings are exchanged over HTTP/1.1; [`http`] parses and writes it. [`api`] re-exports the messages of
//! the first four rows.

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

/// Maximum nesting depth of maps and lists in a `MessagePack` message.
const MAX_DEPTH: usize = 32;

/// Why a body could not be decoded.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a message of the expected type.
    #[error("malformed body: {reason}")]
    Malformed {
        /// The decoder's error message.
        reason: String,
    },
    /// Bytes follow the message.
    #[error("malformed body: trailing bytes")]
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
    // Fails only for maps with non-text keys and for writers that return errors, and there are neither here.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes one `MessagePack` message. A declared length never allocates more than the bytes that are present, and the
/// nesting depth is bounded well below what would overflow the stack.
///
/// # Errors
///
/// The bytes are not a message of this type, or more bytes follow it.
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
