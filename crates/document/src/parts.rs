//! Splits a document into parts: records of bounded size, each named by a digest of its content.

use crate::{Content, Head};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Length of a part's name: two hexadecimal digits for each digest byte that is kept.
const PART_NAME_CHARS: usize = 24;

/// Returns the first 12 bytes of the SHA-256 digest of the value's JSON, in hexadecimal.
pub fn digest<T: Serialize>(value: &T) -> String {
    let mut out = String::with_capacity(PART_NAME_CHARS);
    for byte in Sha256::digest(text(value)).iter().take(PART_NAME_CHARS / 2) {
        // Writing to a string can't fail.
        let _ = write!(out, "{byte:02x}");
    }
    out
}

/// Serializes a value as JSON, the form used for size limits and digests.
pub fn text<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Distributes entries over parts, starting a new part when the size limit is reached.
pub struct Packer<P> {
    max_bytes: usize,
    /// Upper bound of the size of a part without entries.
    empty_bytes: usize,
    /// Upper bound of the size of the last part; `usize::MAX` before the first, so that the first entry starts a part.
    part_bytes: usize,
    parts: Vec<P>,
}

impl<P: Default + Serialize> Packer<P> {
    /// Creates a packer for parts of at most `max_bytes`, where an empty part takes at most `empty_bytes`.
    pub fn new(max_bytes: usize, empty_bytes: usize) -> Self {
        Packer {
            max_bytes,
            empty_bytes,
            part_bytes: usize::MAX,
            parts: Vec::new(),
        }
    }

    /// Adds an entry to the last part, or to a new one if it doesn't fit.
    pub fn push<T: Serialize>(&mut self, entry: &T, add: impl FnOnce(&mut P)) {
        let entry_bytes = text(entry).len() + 1;
        if self.part_bytes.saturating_add(entry_bytes) > self.max_bytes {
            self.parts.push(P::default());
            self.part_bytes = self.empty_bytes;
        }
        self.part_bytes += entry_bytes;
        if let Some(part) = self.parts.last_mut() {
            add(part);
        }
    }

    fn finish(self) -> Result<Vec<(String, P)>, String> {
        if let Some(oversized) = self.parts.iter().find(|p| text(p).len() > self.max_bytes) {
            return Err(format!(
                "one entry takes {} bytes; at most {} are allowed",
                text(oversized).len(),
                self.max_bytes
            ));
        }
        Ok(self.parts.into_iter().map(|p| (digest(&p), p)).collect())
    }
}

/// Splits a document into parts of at most `max_bytes`, paired with their names.
pub fn split<C: Content>(content: &C, max_bytes: usize) -> Result<Vec<(String, C::Part)>, String> {
    let mut packer = Packer::new(max_bytes, C::FRAME);
    content.pack(&mut packer);
    packer.finish()
}

/// Reassembles a document from its parts. The error names the part that is missing or damaged.
pub fn join<C: Content>(head: &Head, parts: &BTreeMap<String, C::Part>) -> Result<C, String> {
    if head.format > C::FORMAT {
        let known = C::FORMAT;
        return Err(format!(
            "its form {} is of a later version than this program's {known}",
            head.format
        ));
    }
    let mut content = C::default();
    for name in &head.parts {
        let Some(part) = parts.get(name) else {
            return Err(format!("its part {name} is missing"));
        };
        if digest(part) != *name {
            return Err(format!("its part {name} is damaged"));
        }
        content.unpack(part);
    }
    Ok(content)
}
