//! The parts of a document: entries in records of bounded size, each named by a digest of what it holds.

use crate::{Content, Head};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Characters of a part's name: half as many bytes of a digest.
const NAME: usize = 24;

/// The first half of a digest, in hexadecimal.
pub fn digest<T: Serialize>(value: &T) -> String {
    let mut out = String::with_capacity(NAME);
    for byte in Sha256::digest(text(value)).iter().take(NAME / 2) {
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
    value: usize,
    frame: usize,
    size: usize,
    parts: Vec<P>,
}

impl<P: Default + Serialize> Packer<P> {
    /// Parts of at most `value` bytes, an empty one of which takes at most `frame`.
    pub fn new(value: usize, frame: usize) -> Self {
        Packer {
            value,
            frame,
            size: usize::MAX,
            parts: Vec::new(),
        }
    }

    /// Puts an entry into the part that is being filled, or into the next.
    pub fn push<T: Serialize>(&mut self, entry: &T, put: impl FnOnce(&mut P)) {
        let more = text(entry).len() + 1;
        if self.size.saturating_add(more) > self.value {
            self.parts.push(P::default());
            self.size = self.frame;
        }
        self.size += more;
        if let Some(part) = self.parts.last_mut() {
            put(part);
        }
    }

    fn finish(self) -> Result<Vec<(String, P)>, String> {
        if let Some(large) = self.parts.iter().find(|p| text(p).len() > self.value) {
            return Err(format!(
                "one entry takes {} bytes of {}",
                text(large).len(),
                self.value
            ));
        }
        Ok(self.parts.into_iter().map(|p| (digest(&p), p)).collect())
    }
}

/// Cuts a document into parts of at most `value` bytes.
pub fn split<C: Content>(content: &C, value: usize) -> Result<Vec<(String, C::Part)>, String> {
    let mut packer = Packer::new(value, C::FRAME);
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
