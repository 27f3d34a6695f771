//! Documents that operators put in force: a quota tree, and whatever else all controllers must act on as one whole
//! version.
//!
//! An operator writes a file ([`mod@file`]), its type ([`Content`]) checks it and says what is wrong and where
//! ([`Fault`]). In the state service a version is a [`Head`] that names its parts, and the parts, each named by a
//! digest of what it holds ([`split`], [`join`]): parts are written first, and the head makes the change, whole.
//!
//! This package may not do I/O, read a clock or draw random numbers. It knows nothing of what a document means.

mod fault;
pub mod file;
mod head;
mod parts;

pub use fault::{Fault, Faults, Place, short};
pub use head::{FORMAT, HISTORY, Head, Past, SHORT};
pub use parts::{Packer, digest, join, split, text};

use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// A document of one kind, as people and records say it, before it is checked.
pub trait Content: Clone + Debug + Default + PartialEq + Serialize + DeserializeOwned {
    /// Its word in keys, paths and commands; at most [`MAX_KIND`] plain letters.
    const KIND: &'static str;
    /// What people call it.
    const NAME: &'static str;
    /// The form of its records. A head of a later one is refused.
    const FORMAT: u32 = FORMAT;
    /// Bounds what an empty part takes.
    const FRAME: usize = 40;

    /// Some of its entries, as a record holds them.
    type Part: Clone + Debug + Default + PartialEq + Serialize + DeserializeOwned;
    /// What it has to fit.
    type Context;
    /// It has been checked.
    type Built;

    /// Hands over its entries, one by one and in order.
    fn pack(&self, into: &mut Packer<Self::Part>);
    /// Adds the entries of a part.
    fn unpack(&mut self, part: &Self::Part);
    /// Checks it. All that is wrong is returned, not just the first.
    fn build(&self, context: &Self::Context) -> Result<Self::Built, Vec<Fault>>;
    /// What differs between two versions, a line each, for people; at most `most` lines.
    fn differences(old: &Self, new: &Self, most: usize) -> Vec<String>;
    /// How much there is of it, for the log: `3 nodes and 4 teams`.
    fn size(built: &Self::Built) -> String;
    /// The same without what has left the context since it was put in force.
    fn fitting(&self, _context: &Self::Context) -> Self {
        self.clone()
    }
}

/// Letters of a kind's word.
pub const MAX_KIND: usize = 16;
