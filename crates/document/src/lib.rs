//! Versioned documents that operators put in force, such as a quota tree. All controllers act on one complete version
//! at a time.
//!
//! An operator writes a file ([`mod@file`]); its type ([`Content`]) validates it and reports errors with their location
//! ([`Fault`]). In the state service a version consists of a [`Head`] and the parts that it lists, each named by a
//! digest of its content ([`split`], [`join`]). The parts are written first; writing the head then applies the change
//! atomically.
//!
//! This package must not do I/O, read a clock or draw random numbers. It is independent of what a document means.

mod fault;
pub mod file;
mod head;
mod parts;

pub use fault::{Fault, Faults, Place, short};
pub use head::{FORMAT, HISTORY, Head, Past, SHORT};
pub use parts::{Packer, digest, join, split, text};

use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// A document of one kind in its file and record form, before validation.
pub trait Content: Clone + Debug + Default + PartialEq + Serialize + DeserializeOwned {
    /// Name of the kind in keys, paths and commands: at most [`MAX_KIND`] ASCII letters.
    const KIND: &'static str;
    /// Name of the kind in messages.
    const NAME: &'static str;
    /// Format version of the kind's records. Heads of a later version are rejected.
    const FORMAT: u32 = FORMAT;
    /// Upper bound of the serialized size of an empty part, in bytes.
    const FRAME: usize = 40;

    /// A subset of the entries, as stored in one record.
    type Part: Clone + Debug + Default + PartialEq + Serialize + DeserializeOwned;
    /// What the document is validated against, such as the teams in the settings.
    type Context;
    /// The validated document.
    type Built;

    /// Pushes all entries in order.
    fn pack(&self, into: &mut Packer<Self::Part>);
    /// Appends the entries of a part.
    fn unpack(&mut self, part: &Self::Part);
    /// Validates the document. Returns all faults, not only the first.
    fn build(&self, context: &Self::Context) -> Result<Self::Built, Vec<Fault>>;
    /// Describes the differences between two versions for display, one per line. Lists at most `most` differences.
    fn differences(old: &Self, new: &Self, most: usize) -> Vec<String>;
    /// Summary of the document's size for the log, such as `3 nodes and 4 teams`.
    fn size(built: &Self::Built) -> String;
    /// Returns the document without references to what has been removed from the context since it was put in force.
    fn fitting(&self, _context: &Self::Context) -> Self {
        self.clone()
    }
}

/// Maximum length of [`Content::KIND`].
pub const MAX_KIND: usize = 16;
