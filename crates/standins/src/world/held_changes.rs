//! Changes to the state service that a test holds back: they get no response, and are executed when the test releases
//! them.

use super::{Call, World};
use std::collections::HashSet;

type ChangeFilter = Box<dyn FnMut(&[String]) -> bool>;

#[derive(Default)]
pub(super) struct HeldChanges {
    pick: Option<ChangeFilter>,
    seen: HashSet<Vec<u8>>,
    held: Vec<Call>,
}

/// What a request changes: `put KEY` and `remove KEY` for a transaction's writes, or the method and path of a lease
/// request.
fn changes(c: &Call) -> Vec<String> {
    if c.path.starts_with("/grants") {
        return vec![format!("{} {}", c.method, c.path)];
    }
    let txn: serde_json::Value = if c.path == "/txn" {
        wire::decode(&c.body).unwrap_or_default()
    } else {
        return Vec::new();
    };
    let writes = txn["writes"].as_array().into_iter().flatten();
    let describe = |w: &serde_json::Value| match (w["write"].as_str(), w["remove"].as_str()) {
        (Some(key), _) => Some(format!("put {key}")),
        (_, key) => key.map(|key| format!("remove {key}")),
    };
    writes.filter_map(describe).collect()
}

impl World {
    /// From now on, holds the first copy of each transaction that `pick` selects; repeated copies pass. Selected
    /// lease requests are always held.
    pub fn hold_first(&mut self, pick: impl FnMut(&[String]) -> bool + 'static) {
        self.held_changes.pick = Some(Box::new(pick));
    }

    pub fn hold_no_more(&mut self) {
        self.held_changes.pick = None;
    }

    /// Executes all held requests, oldest first. Returns for each what it would change, and whether it changed
    /// anything.
    pub fn land_held(&mut self) -> Vec<(Vec<String>, bool)> {
        let held = std::mem::take(&mut self.held_changes.held);
        let land = |c: Call| {
            let (what, before) = (changes(&c), self.state.revision);
            self.arrive(Call {
                unanswered: true,
                ..c
            });
            (what, self.state.revision > before)
        };
        held.into_iter().map(land).collect()
    }

    pub(super) fn maybe_hold(&mut self, c: Call) -> Option<Call> {
        let what = changes(&c);
        let picked = !c.unanswered
            && !what.is_empty()
            && self
                .held_changes
                .pick
                .as_mut()
                .is_some_and(|pick| pick(&what));
        if !picked || (c.path == "/txn" && !self.held_changes.seen.insert(c.body.clone())) {
            return Some(c);
        }
        self.held_changes.held.push(c);
        None
    }
}
