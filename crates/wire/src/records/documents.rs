//! Head records of documents.

use serde::{Deserialize, Serialize};

/// The head record of a document other than the quota tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// The head.
    pub document: document::Head,
}
