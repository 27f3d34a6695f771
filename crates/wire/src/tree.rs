//! A quota tree in the state service: a head that names its version and its parts, and the parts, each named by a
//! digest of what it holds. Parts are written first; putting the head in place makes the change, as a whole.

use quota::{NodeSpec, Spec, TeamSpec};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The form of these records. A head of a later one is refused.
pub const FORMAT: u32 = 1;
/// Changes that the head remembers at most; fewer where a value has less room.
pub const HISTORY: usize = 16;
/// Characters of an operator's name or change id, and of what was changed.
pub const SHORT: usize = 40;
const LONG: usize = 160;
/// Characters of a part's name: half as many bytes of a digest.
const NAME: usize = 24;

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Head {
    pub format: u32,
    /// Rises by one with each change; 0 stands for no tree.
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
        let cut = |s: &str, most: usize| s.chars().filter(|c| !c.is_control()).take(most).collect();
        Past { version, change: cut(change, SHORT), at_ms, by: cut(by, SHORT), what: cut(what, LONG) }
    }
}

impl Head {
    /// The head after a change, which takes at most `value` bytes: the oldest changes are forgotten.
    pub fn next(&self, parts: Vec<String>, past: Past, value: usize) -> Result<Head, String> {
        let mut history = vec![past];
        history.extend(self.history.iter().take(HISTORY - 1).cloned());
        let mut head = Head { format: FORMAT, version: self.version + 1, parts, history };
        while text(&HeadRec { quota: head.clone() }).len() > value {
            let n = head.parts.len();
            if head.history.len() <= 1 {
                return Err(format!("the tree takes {n} records, more than a list of {value} bytes holds"));
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

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeadRec {
    pub quota: Head,
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PartRec {
    #[serde(default)]
    pub nodes: Vec<NodeSpec>,
    #[serde(default)]
    pub teams: Vec<TeamSpec>,
}

impl PartRec {
    fn name(&self) -> String {
        digest(self)
    }
}

/// The first half of a digest, in hexadecimal.
pub(crate) fn digest<T: Serialize>(value: &T) -> String {
    let mut out = String::with_capacity(NAME);
    for byte in Sha256::digest(text(value)).iter().take(NAME / 2) {
        // Writing to a string can't fail.
        let _ = write!(out, "{byte:02x}");
    }
    out
}

/// The form that limits are counted in, and that digests are made of.
pub(crate) fn text<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Cuts a tree into parts of at most `value` bytes.
pub fn split(spec: &Spec, value: usize) -> Result<Vec<(String, PartRec)>, String> {
    let mut parts: Vec<PartRec> = Vec::new();
    let mut size = usize::MAX;
    let mut room = |parts: &mut Vec<PartRec>, entry: usize| {
        if size.saturating_add(entry + 1) > value {
            parts.push(PartRec::default());
            size = 40;
        }
        size += entry + 1;
    };
    for node in &spec.nodes {
        room(&mut parts, text(node).len());
        parts.iter_mut().next_back().into_iter().for_each(|p| p.nodes.push(node.clone()));
    }
    for team in &spec.teams {
        room(&mut parts, text(team).len());
        parts.iter_mut().next_back().into_iter().for_each(|p| p.teams.push(team.clone()));
    }
    if let Some(large) = parts.iter().find(|p| text(p).len() > value) {
        return Err(format!("one entry takes {} bytes of {value}", text(large).len()));
    }
    Ok(parts.into_iter().map(|p| (p.name(), p)).collect())
}

/// Puts a tree together again. The error names what is missing or damaged.
pub fn join(head: &Head, parts: &BTreeMap<String, PartRec>) -> Result<Spec, String> {
    if head.format > FORMAT {
        return Err(format!("its form {} is of a later version than this program's {FORMAT}", head.format));
    }
    let mut spec = Spec::default();
    for name in &head.parts {
        let Some(part) = parts.get(name) else { return Err(format!("its part {name} is missing")) };
        if part.name() != *name {
            return Err(format!("its part {name} is damaged"));
        }
        spec.nodes.extend(part.nodes.iter().cloned());
        spec.teams.extend(part.teams.iter().cloned());
    }
    Ok(spec)
}
