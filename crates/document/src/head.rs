//! The head of a document in the state service: its version, its parts by name, and its latest changes.

use crate::MAX_KIND;
use crate::parts::text;
use serde::{Deserialize, Serialize};

/// The form of heads and parts where a kind names no later one.
pub const FORMAT: u32 = 1;
/// Changes that the head remembers at most; fewer where a value has less room.
pub const HISTORY: usize = 16;
/// Characters of an operator's name or change id, and of what was changed.
pub const SHORT: usize = 40;
const MAX_DESCRIPTION_CHARS: usize = 160;
/// What stands around the head in its record: its kind's word, quoted.
const RECORD_OVERHEAD: usize = MAX_KIND + 8;

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Head {
    pub format: u32,
    /// Rises by one with each change; 0 stands for no document.
    pub version: u64,
    /// Names of the parts, in order.
    pub parts: Vec<String>,
    /// The latest changes, newest first.
    #[serde(default)]
    pub history: Vec<Past>,
}

/// One change, for people, and for the operator who asks again after a lost answer.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Past {
    pub version: u64,
    /// The operator's own id of the change.
    pub change: String,
    /// Time of day, in milliseconds.
    pub at_ms: u64,
    pub by: String,
    pub what: String,
}

impl Past {
    /// Words of others are cut.
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
    /// The head after a change, whose record takes at most `value` bytes: the oldest changes are forgotten.
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
                    "it takes {n} records, more than a list of {max_bytes} bytes holds"
                ));
            }
            head.history.pop();
        }
        Ok(head)
    }

    /// The change with this id of an operator's, if it is remembered.
    pub fn made(&self, change: &str) -> Option<&Past> {
        self.history.iter().find(|p| p.change == change)
    }
}
