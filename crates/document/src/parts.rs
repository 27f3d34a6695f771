//! The parts of a document: entries in records of bounded size, each named by a digest of what it holds.

use crate::{Content, Head};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Characters of a part's name: half as many bytes of a digest.
const PART_NAME_CHARS: usize = 24;

/// The first half of a digest, in hexadecimal.
pub fn digest<T: Serialize>(value: &T) -> String {
    let mut out = String::with_capacity(PART_NAME_CHARS);
    for byte in Sha256::digest(text(value)).iter().take(PART_NAME_CHARS / 2) {
        // Writing to a string can't fail.
        let _ = write!(out, "{byte:02x}");
    }
    out
}

/// The form that limits are counted in, and that digests are made of.
pub fn text<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Fills one part after the other, each up to its bound.
pub struct Packer<P> {
    max_bytes: usize,
    empty_bytes: usize,
    part_bytes: usize,
    parts: Vec<P>,
}

impl<P: Default + Serialize> Packer<P> {
    /// Parts of at most `value` bytes, an empty one of which takes at most `frame`.
    pub fn new(max_bytes: usize, empty_bytes: usize) -> Self {
        Packer {
            max_bytes,
            empty_bytes,
            part_bytes: usize::MAX,
            parts: Vec::new(),
        }
    }

    /// Puts an entry into the part that is being filled, or into the next.
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
                "one entry takes {} bytes of {}",
                text(oversized).len(),
                self.max_bytes
            ));
        }
        Ok(self.parts.into_iter().map(|p| (digest(&p), p)).collect())
    }
}

/// Cuts a document into parts of at most `value` bytes.
pub fn split<C: Content>(content: &C, max_bytes: usize) -> Result<Vec<(String, C::Part)>, String> {
    let mut packer = Packer::new(max_bytes, C::FRAME);
    content.pack(&mut packer);
    packer.finish()
}

/// Puts a document together again. The error names what is missing or damaged.
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
