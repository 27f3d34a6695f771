//! The wire formats of stoathatch: what users, workers, the cloud, the state service and other
//! controllers see. The protocol's own words (`baton`, `tenure`, …) occur only in this crate.

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

/// A body that could not be read, with the reason for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct BadBody(pub String);

impl std::fmt::Display for BadBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unreadable body: {}", self.0)
    }
}

impl std::error::Error for BadBody {}

/// MessagePack with text keys.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Only a map with non-text keys or a failing writer can fail here; we have neither.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Reads one MessagePack value. Declared lengths cost nothing beyond the bytes that are there,
/// and nesting is bounded far below the stack.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BadBody> {
    let mut reader = rmp_serde::Deserializer::new(std::io::Cursor::new(body));
    reader.set_max_depth(32);
    let value = T::deserialize(&mut reader).map_err(|e| BadBody(e.to_string()))?;
    let used = reader.get_ref().position();
    if used != body.len() as u64 {
        return Err(BadBody("trailing bytes".into()));
    }
    Ok(value)
}
