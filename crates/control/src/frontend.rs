//! What another front end of the same process may ask: its own records in the state service, and a look at the deployment.
//!
//! Such a door submits, asks and cancels as users do, by [`Event::Client`] with connection numbers from [`CONNS`] on.
//! Its records stand under [`wire::records::SIDE`] and are written by the leader of the fleet only, under the guard of
//! its record. They come last: a request is refused at once while the node has little left of what it may ask.

use crate::leadership::election::SHARD;
use crate::models::demand::Waiter;
use crate::store::rate_budget::Bucket;
use crate::{Destination, Node, Pending};
use serde_json::Value;
use std::sync::Arc;
use wire::api::{Catalog, Condition, Item, Range, Revision, Transaction, Write};
use wire::http::Response;
use wire::records::{self, Record};
use wire::settings::Settings;

#[cfg(doc)]
use crate::Event;

/// What the leader's own users leave of a second's changes: claims and ends go before what is new.
const KEPT: f64 = 0.1;
/// Connection numbers of the door beside; users' are below.
pub const CONNS: u64 = 1 << 63;
/// So much of a second's requests and changes is left to claims, accepts and reads; users' new work leaves as much of a
/// second's requests to questions about work that was accepted.
const LEFT: f64 = 0.25;
/// The share of this node's changes that such a door has while it asks for any, and how long that lasts.
const SHARE: f64 = 0.2;
const ASKS_MS: u64 = 2000;
const TIMEOUT_MS: u64 = 900;
/// Most keys that one transaction may change, where the settings allow more.
const MOST_WRITES: usize = 16;

/// What this node allows a door beside.
pub(crate) struct Frontend {
    writes: Bucket,
    /// It has a share now.
    shares: bool,
    asked_at: u64,
}

impl Frontend {
    pub fn new() -> Self {
        Frontend {
            writes: Bucket::new(0.0),
            shares: false,
            asked_at: 0,
        }
    }
}

#[derive(Debug, Clone)]
pub enum Ask {
    /// All records below a prefix, a page at a time, after a key.
    Page {
        under: String,
        after: Option<String>,
    },
    /// Changes of some records, by the leader.
    Change { writes: Vec<Change> },
    /// A model is wanted: as good as demand at the operators' door.
    Demand { model: String },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub key: String,
    /// The version that it must have (0: it does not exist); none for what can only have one content.
    pub version: Option<u64>,
    /// None if it is to be removed.
    pub value: Option<Value>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Page {
        items: Vec<Item<Value>>,
        more: bool,
    },
    /// All changes are made, at this revision.
    Changed {
        revision: u64,
    },
    /// A key has another version, or the node is no longer the leader: nothing was changed by this request.
    Conflict,
    /// Nothing was sent: too much is being asked, or this node is not sure that it leads the fleet.
    Busy,
    /// No answer. It may be changed, or may yet be.
    Unknown,
    /// It can't be asked like that.
    Refused,
    /// How the model stands.
    Model(Box<wire::models::ModelStatus>),
}

/// How many keys one [`Ask::Change`] may name.
pub fn writes_at_once(settings: &Settings) -> usize {
    let state = &settings.cluster.state;
    // No more at once than a few seconds of the door's own share.
    state
        .txn_ops
        .min((state.write_rps / 3.0) as usize)
        .clamp(1, MOST_WRITES)
}

impl Node {
    pub(crate) fn is_foreign(&self, conn: u64, id: &str) -> bool {
        self.beside && conn < CONNS && wire::ids::reserved_job_id(id)
    }

    /// Whether so many changes can be spared for a door beside, and takes them: of its own share, which it has only
    /// while it asks, or of what users leave. Theirs are never driven into debt by it.
    fn spare(&mut self, cost: f64) -> bool {
        let now = self.now.mono;
        self.frontend.asked_at = now;
        self.share_writes();
        let own =
            self.frontend.writes.level(now) >= cost.min(self.frontend.writes.share_of_second(0.9));
        if own {
            self.frontend.writes.take(now, cost);
        } else if self.writes.level(now) >= cost + self.writes.share_of_second(LEFT) {
            self.writes.take(now, cost);
        } else {
            return false;
        }
        true
    }

    /// A door beside has a share of this node's changes while it asks for any.
    pub(crate) fn share_writes(&mut self) {
        let asks = self.beside && self.now.mono < self.frontend.asked_at + ASKS_MS;
        if asks == self.frontend.shares {
            return;
        }
        self.frontend.shares = asks;
        let (own, all) = (self.frontend.writes.rate(), self.writes.rate());
        if asks {
            self.frontend.writes.set_rate(all * SHARE);
            self.writes.set_rate(all * (1.0 - SHARE));
        } else {
            self.frontend.writes.set_rate(0.0);
            self.writes.set_rate(all + own);
        }
    }

    /// This node may make another number of changes from now on: whatever a door beside had of them is its own again.
    pub(crate) fn set_writes(&mut self, rate: f64) {
        self.frontend.shares = false;
        self.frontend.writes.set_rate(0.0);
        self.writes.set_rate(rate);
    }

    /// New jobs that this node can write down in a second, if it does nothing else.
    pub(crate) fn accepts_per_s(&self) -> f64 {
        let requests = self.requests.share_of_second(1.0 - LEFT);
        requests.min(self.writes.rate())
    }

    /// Whether a job that comes in now can be written down: those who come by another door go behind users.
    pub(crate) fn has_room_for(&mut self, conn: Option<u64>) -> bool {
        let now = self.now.mono;
        if conn.is_some_and(|c| c >= CONNS) {
            return self.requests.level(now) >= 1.0 + self.requests.share_of_second(LEFT)
                && self.spare(1.0);
        }
        // The leader answers questions from memory, and has claims to write.
        let (asks, changes) = if self.leads() {
            (0.0, self.accepting() + self.writes.share_of_second(KEPT))
        } else {
            (self.requests.share_of_second(LEFT), 0.0)
        };
        self.requests.level(now) >= 1.0 + asks && self.writes.level(now) >= 1.0 + changes
    }

    /// Acceptances on their way. The leader counts what its watch has seen, so these are not counted yet.
    fn accepting(&self) -> f64 {
        self.pending
            .values()
            .filter(|p| matches!(p, Pending::Accept { .. }))
            .count() as f64
    }

    pub(crate) fn frontend_asked(&mut self, tag: u64, ask: Ask) {
        let own = |key: &str| key.starts_with(records::SIDE);
        let refused = match &ask {
            Ask::Page { under, .. } => !own(under),
            Ask::Change { writes } => {
                writes.is_empty()
                    || writes.len() > MOST_WRITES
                    || writes.iter().any(|w| !own(&w.key))
            }
            Ask::Demand { .. } => false,
        };
        if refused {
            return self.frontend_over(tag, Answer::Refused);
        }
        let now = self.now.mono;
        if self.requests.level(now) < 1.0 + self.requests.share_of_second(LEFT) {
            return self.frontend_over(tag, Answer::Busy);
        }
        match ask {
            Ask::Page { under, after } => {
                let mut path = format!("/keys?under={under}&limit=500");
                if let Some(after) = after {
                    path.push_str(&format!("&from={after}"));
                }
                self.send(
                    Destination::State,
                    "GET",
                    path,
                    Vec::new(),
                    2 * TIMEOUT_MS,
                    Pending::Frontend { tag },
                );
            }
            Ask::Change { writes } => self.frontend_change(tag, writes),
            Ask::Demand { model } => self.demand(&model, Waiter::Frontend(tag)),
        }
    }

    fn frontend_change(&mut self, tag: u64, writes: Vec<Change>) {
        let leader = self
            .shard
            .as_ref()
            .map(|p| p.leader_version)
            .filter(|_| self.may_decide());
        let Some(leader) = leader.filter(|_| self.spare(writes.len() as f64)) else {
            return self.frontend_over(tag, Answer::Busy);
        };
        let mut txn = Transaction {
            conditions: Vec::new(),
            writes: Vec::new(),
        };
        txn.conditions.push(Condition {
            key: records::leader_key(SHARD),
            version: leader,
        });
        for Change {
            key,
            version,
            value,
        } in writes
        {
            txn.conditions.extend(version.map(|version| Condition {
                key: key.clone(),
                version,
            }));
            txn.writes.push(match value {
                Some(value) => Write::put(key, Record::Other(value)),
                None => Write::Remove { key },
            });
        }
        let body = wire::encode(&txn);
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            body,
            TIMEOUT_MS,
            Pending::Frontend { tag },
        );
    }

    pub(crate) fn frontend_answered(&mut self, tag: u64, response: Option<Response>) {
        let answer = match response {
            Some(r) if r.status == 200 => {
                let changed = |r: Revision| Answer::Changed {
                    revision: r.revision,
                };
                match wire::decode::<Range<Value>>(&r.body) {
                    Ok(page) => Answer::Page {
                        items: page.items,
                        more: page.more,
                    },
                    Err(_) => wire::decode(&r.body).map_or(Answer::Unknown, changed),
                }
            }
            Some(r) if r.status == 409 => Answer::Conflict,
            Some(r) if matches!(r.status, 429 | 503) => Answer::Busy,
            Some(r) if r.status == 400 => Answer::Refused,
            _ => Answer::Unknown,
        };
        self.frontend_over(tag, answer);
    }

    pub(crate) fn frontend_over(&mut self, tag: u64, answer: Answer) {
        self.effects.push(crate::Effect::Frontend { tag, answer });
    }

    /// The term in which this node is sure that it leads the fleet; rises with each take-over, of any node.
    pub fn term(&self) -> Option<u64> {
        self.shard
            .as_ref()
            .filter(|_| self.may_decide())
            .map(|p| p.token)
    }

    /// Which peer leads the fleet, as far as this node knows; `None` if nobody does, or this node itself.
    pub fn leader_among_peers(&self) -> Option<usize> {
        if self.leads() {
            None
        } else {
            self.leader_peer()
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn machine_types(&self) -> Option<&Catalog> {
        self.catalog()
    }

    /// The quota tree that this node acts on, if there is one.
    pub fn quota_tree(&self) -> Option<Arc<quota::Tree>> {
        self.shared
            .documents
            .quota
            .good
            .as_ref()
            .map(|g| g.built.clone())
    }

    /// How many machines the fleet has.
    pub fn machine_count(&self) -> usize {
        self.shard.as_ref().map_or(0, |p| p.machine_index.len())
    }

    /// Machines of the fleet with what their claims take; nothing unless this node leads the fleet.
    pub fn machines(&self) -> impl Iterator<Item = MachineView<'_>> {
        let all = self.shard.iter().flat_map(|p| p.machines.iter().flatten());
        all.map(|m| MachineView {
            name: &m.name,
            machine_type: &m.machine_type,
            zone: &m.zone,
            tasks: m.claims.len(),
            up: m.up,
        })
    }
}

/// A machine as a door beside may see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineView<'a> {
    pub name: &'a str,
    pub machine_type: &'a str,
    pub zone: &'a str,
    /// Claims on it.
    pub tasks: usize,
    /// It has reported.
    pub up: bool,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::store::shard::Shard;
    use crate::{Now, Requester, Tuning};

    /// A flood of submissions to the leader: it accepts no more at once than it may write, and claims and ends find a
    /// part of the second's changes left. Its watch has counted none of them yet.
    #[test]
    fn the_leaders_users_leave_room_for_claims() {
        let text = include_str!("../../../deploy/settings-example.json");
        let settings = serde_json::from_str(text).expect("the example is accepted");
        let now = Now {
            mono: 1_000_000,
            wall: 1_000_000,
        };
        let mut node = Node::new(settings, Tuning::default(), 1, now);
        node.shard = Some(Shard::new(7, 1, 0, 8.0));
        node.set_writes(30.0);
        node.writes.level(now.mono);
        let spec = r#"{"nameId":"job-000412","lot":"train","desk":"vision","shape":"array","urgency":"high",
            "pieces":1,"cores":8.0,"gpus":1.0,"ramGb":64.0,"kit":"img-07","pullGb":6.2,"builds":null,"hall":null,
            "together":false,"spread":false,"loaners":true,"expectS":240.0,"bookmarkS":30.0,"stashS":4.0,
            "dueS":null}"#;
        let spec: wire::api::JobSpec = serde_json::from_str(spec).expect("a job");
        let mut accepted = 0;
        while accepted < 100 && node.has_room_for(Some(1)) {
            let (requester, spec) = (Requester::User(1), Box::new(spec.clone()));
            let submission = crate::jobs::admission::Submission {
                requester,
                spec,
                at: now.mono,
                tries: 0,
            };
            let what = Pending::Accept {
                submission,
                denied: None,
                mark: 0,
            };
            node.send(
                Destination::State,
                "POST",
                "/txn".into(),
                Vec::new(),
                700,
                what,
            );
            accepted += 1;
        }
        assert_eq!(accepted, 27);
    }
}
