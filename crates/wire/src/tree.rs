//! A quota tree in the state service. It was there before other documents, and keeps the form that it had.

use document::Content;
pub use document::{HISTORY, Head, Past, SHORT};
pub use quota::Part as PartRecord;
use quota::Spec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form of these records. A head of a later one is refused.
pub const FORMAT: u32 = Spec::FORMAT;

/// The record of the quota tree's head.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// The head.
    pub quota: Head,
}

/// Cuts a tree into parts of at most `value` bytes.
pub fn split(spec: &Spec, value: usize) -> Result<Vec<(String, PartRecord)>, String> {
    document::split(spec, value)
}

/// Puts a tree together again. The error names what is missing or damaged.
pub fn join(head: &Head, parts: &BTreeMap<String, PartRecord>) -> Result<Spec, String> {
    document::join(head, parts)
}
