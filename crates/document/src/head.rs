//! The head record of a document in the state service: its version, the names of its parts, and its latest changes.

use crate::MAX_KIND;
use crate::parts::text;
use serde::{Deserialize, Serialize};

/// Format version of heads and parts, unless a kind declares a later one with [`crate::Content::FORMAT`].
pub const FORMAT: u32 = 1;
/// Maximum number of changes in a head's history. The oldest are dropped earlier if the record would get too large.
pub const HISTORY: usize = 16;
/// Maximum number of characters of an operator's name and of a change id.
pub const SHORT: usize = 40;
/// Maximum number of characters of a change's description.
const MAX_DESCRIPTION_CHARS: usize = 160;
/// Bytes that the record takes beside the serialized head: the kind's name and its punctuation.
const RECORD_OVERHEAD: usize = MAX_KIND + 8;

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Head {
    pub format: u32,
    /// Incremented by each change; 0 means that there is no document.
    pub version: u64,
    /// Names of the parts, in order.
    pub parts: Vec<String>,
    /// Latest changes, newest first.
    #[serde(default)]
    pub history: Vec<Past>,
}

/// One change, kept for display and to recognise a request that is repeated after its response was lost.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Past {
    pub version: u64,
    /// Change id chosen by the operator.
    pub change: String,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub by: String,
    pub what: String,
}

impl Past {
    /// Truncates the given texts and removes their control characters.
    pub fn new(version: u64, change: &str, at_ms: u64, by: &str, what: &str) -> Self {
        let sanitize = |s: &str, max_chars: usize| {
            s.chars()
                .filter(|c| !c.is_control())
                .take(max_chars)
                .collect()
        };
        Past {
            version,
            change: sanitize(change, SHORT),
            at_ms,
            by: sanitize(by, SHORT),
            what: sanitize(what, MAX_DESCRIPTION_CHARS),
        }
    }
}

impl Head {
    /// Returns the head after a change. Drops the oldest changes until its record fits into `max_bytes`.
    pub fn next(&self, parts: Vec<String>, past: Past, max_bytes: usize) -> Result<Head, String> {
        let mut history = vec![past];
        history.extend(self.history.iter().take(HISTORY - 1).cloned());
        let mut head = Head {
            format: FORMAT,
            version: self.version + 1,
            parts,
            history,
        };
        while text(&head).len() + RECORD_OVERHEAD > max_bytes {
            let n = head.parts.len();
            if head.history.len() <= 1 {
                return Err(format!(
                    "it takes {n} parts, too many for a head of at most {max_bytes} bytes"
                ));
            }
            head.history.pop();
        }
        Ok(head)
    }

    /// Finds a change in the history by the operator's change id.
    pub fn made(&self, change: &str) -> Option<&Past> {
        self.history.iter().find(|p| p.change == change)
    }
}
