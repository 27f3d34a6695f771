//! The records of the quota tree in the state service. The tree is older than the other kinds of documents, and its
//! records keep their original form.

use document::Content;
pub use document::{HISTORY, Head, Past, SHORT};
pub use quota::Part as PartRecord;
use quota::Spec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The format version of these records. Heads with a later version are refused.
pub const FORMAT: u32 = Spec::FORMAT;

/// The head record of the quota tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// The head.
    pub quota: Head,
}

/// Splits a tree into parts of at most `value` bytes.
pub fn split(spec: &Spec, value: usize) -> Result<Vec<(String, PartRecord)>, String> {
    document::split(spec, value)
}

/// Reassembles a tree from its parts. The error names the part that is missing or damaged.
pub fn join(head: &Head, parts: &BTreeMap<String, PartRecord>) -> Result<Spec, String> {
    document::join(head, parts)
}
