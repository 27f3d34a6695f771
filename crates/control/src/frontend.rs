//! What another front end of the same process may ask: its own records in the state service, and a look at the deployment.
//!
//! Such a front end submits, asks and cancels as users do, by [`Event::Client`] with connection numbers from [`FIRST_CONNECTION`] on.
//! Its records stand under [`wire::records::FRONTEND_PREFIX`] and are written by the leader of the fleet only, under the guard of
//! its record. They come last: a request is refused at once while the node has little left of what it may ask.

use crate::leadership::election::SHARD;
use crate::models::demand::Waiter;
use crate::state_requests::{encode_transaction, page_path};
use crate::store::rate_budget::Bucket;
use crate::store::write_limits::WriteLimits;
use crate::{Node, Pending};
use serde_json::Value;
use std::sync::Arc;
use wire::api::{Catalog, Condition, Item, Range, Revision, Write};
use wire::http::Response;
use wire::records::{self, Record};
use wire::settings::Settings;

#[cfg(doc)]
use crate::Event;

/// What the leader's own users leave of a second's changes: claims and ends go before what is new.
const RESERVED_FOR_CLAIMS: f64 = 0.1;
/// Connection numbers of the front end beside; users' are below.
pub const FIRST_CONNECTION: u64 = 1 << 63;
/// So much of a second's requests and changes is left to claims, accepts and reads; users' new work leaves as much of a
/// second's requests to questions about work that was accepted.
const RESERVED_SHARE: f64 = 0.25;
/// The share of this node's changes that such a front end has while it asks for any, and how long that lasts.
const WRITE_SHARE: f64 = 0.2;
const ACTIVE_WINDOW_MS: u64 = 2000;
/// A transaction may take this long, and a page twice as long.
const TIMEOUT_MS: u64 = 900;
const PAGE_TIMEOUT_MS: u64 = 2 * TIMEOUT_MS;
/// Records that one page has at most.
const PAGE_SIZE: usize = 500;
/// Most keys that one transaction may change, where the settings allow more.
const MAX_WRITES: usize = 16;

/// What this node allows a front end beside.
pub(crate) struct Frontend {
    writes: Bucket,
    /// It has a share now.
    has_share: bool,
    last_requested_at: u64,
}

impl Frontend {
    /// Nothing was requested yet.
    pub fn new() -> Self {
        Frontend {
            writes: Bucket::new(0.0),
            has_share: false,
            last_requested_at: 0,
        }
    }
}

/// What a front end asks of its node.
#[derive(Debug, Clone)]
pub enum Request {
    /// All records below a prefix, a page at a time, after a key.
    Page {
        /// The prefix.
        under: String,
        /// The last key of the page before; the first page without one.
        after: Option<String>,
    },
    /// Changes of some records, by the leader.
    Change {
        /// At most [`writes_at_once`], made as a whole or not at all.
        writes: Vec<Change>,
    },
    /// A model is wanted: as good as demand through the operators' API.
    Demand {
        /// The job id of the model.
        model: String,
    },
}

impl Request {
    /// It names the front end's own records only, and not too many of them.
    fn is_allowed(&self) -> bool {
        let is_own = |key: &str| key.starts_with(records::FRONTEND_PREFIX);
        match self {
            Request::Page { under, .. } => is_own(under),
            Request::Change { writes } => {
                (1..=MAX_WRITES).contains(&writes.len()) && writes.iter().all(|w| is_own(&w.key))
            }
            Request::Demand { .. } => true,
        }
    }
}

/// A change of one record, under optimistic concurrency if it names a version.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The record's key in the state service.
    pub key: String,
    /// The version that it must have (0: it does not exist); none for what can only have one content.
    pub version: Option<u64>,
    /// None if it is to be removed.
    pub value: Option<Value>,
}

impl Change {
    /// Holds if the record has the version that it must have.
    fn guard(&self) -> Option<Condition> {
        self.version.map(|version| Condition {
            key: self.key.clone(),
            version,
        })
    }

    fn into_write(self) -> Write {
        let key = self.key;
        match self.value {
            Some(value) => Write::put(key, Record::Other(value)),
            None => Write::Remove { key },
        }
    }
}

/// How a request has ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A page of records.
    Page {
        /// The records, by key.
        items: Vec<Item<Value>>,
        /// Another page follows.
        more: bool,
    },
    /// All changes are made, at this revision.
    Changed {
        /// The state service's revision of the transaction.
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

impl Answer {
    fn of_state_service(response: Option<Response>) -> Answer {
        let Some(response) = response else {
            return Answer::Unknown;
        };
        match response.status {
            200 => Answer::of_body(&response.body),
            409 => Answer::Conflict,
            429 | 503 => Answer::Busy,
            400 => Answer::Refused,
            _ => Answer::Unknown,
        }
    }

    /// A page, or the revision of a transaction.
    fn of_body(body: &[u8]) -> Answer {
        if let Ok(page) = wire::decode::<Range<Value>>(body) {
            return Answer::Page {
                items: page.items,
                more: page.more,
            };
        }
        match wire::decode::<Revision>(body) {
            Ok(Revision { revision }) => Answer::Changed { revision },
            Err(_) => Answer::Unknown,
        }
    }
}

/// How many keys one [`Request::Change`] may name.
pub fn writes_at_once(limits: &WriteLimits) -> usize {
    // No more at once than a few seconds of the front end's own share.
    limits
        .changes()
        .min((limits.changes_per_s() / 3.0) as usize)
        .clamp(1, MAX_WRITES)
}

impl Node {
    /// Whether a user has named an id that only jobs of the front end beside may have.
    pub(crate) fn is_reserved_for_frontend(&self, conn: u64, id: &str) -> bool {
        self.beside && conn < FIRST_CONNECTION && wire::ids::reserved_job_id(id)
    }

    /// Whether so many changes can be spared for a front end beside, and takes them: of its own share, which it has only
    /// while it asks, or of what users leave. Theirs are never driven into debt by it.
    fn take_spare_writes(&mut self, cost: f64) -> bool {
        let now = self.now.mono;
        self.frontend.last_requested_at = now;
        self.share_writes();
        let has_own_share =
            self.frontend.writes.level(now) >= cost.min(self.frontend.writes.share_of_second(0.9));
        if has_own_share {
            self.frontend.writes.take(now, cost);
        } else if self.writes.level(now) >= cost + self.writes.share_of_second(RESERVED_SHARE) {
            self.writes.take(now, cost);
        } else {
            return false;
        }
        true
    }

    /// A front end beside has a share of this node's changes while it asks for any.
    pub(crate) fn share_writes(&mut self) {
        let is_active =
            self.beside && self.now.mono < self.frontend.last_requested_at + ACTIVE_WINDOW_MS;
        if is_active == self.frontend.has_share {
            return;
        }
        self.frontend.has_share = is_active;
        let (own_rate, node_rate) = (self.frontend.writes.rate(), self.writes.rate());
        if is_active {
            self.frontend.writes.set_rate(node_rate * WRITE_SHARE);
            self.writes.set_rate(node_rate * (1.0 - WRITE_SHARE));
        } else {
            self.frontend.writes.set_rate(0.0);
            self.writes.set_rate(node_rate + own_rate);
        }
    }

    /// This node may make another number of changes from now on: whatever a front end beside had of them is its own again.
    pub(crate) fn set_write_rate(&mut self, rate: f64) {
        self.frontend.has_share = false;
        self.frontend.writes.set_rate(0.0);
        self.writes.set_rate(rate);
    }

    /// New jobs that this node can write down in a second, if it does nothing else.
    pub(crate) fn accepts_per_s(&self) -> f64 {
        let requests = self.requests.share_of_second(1.0 - RESERVED_SHARE);
        requests.min(self.writes.rate())
    }

    /// Whether a job that comes in now can be written down: those who come by another front end go behind users.
    pub(crate) fn has_room_for(&mut self, conn: Option<u64>) -> bool {
        let now = self.now.mono;
        if conn.is_some_and(|conn| conn >= FIRST_CONNECTION) {
            return self.requests.level(now) >= 1.0 + self.requests.share_of_second(RESERVED_SHARE)
                && self.take_spare_writes(1.0);
        }
        // The leader answers questions from memory, and has claims to write.
        let (reserved_requests, reserved_writes) = if self.leads() {
            (
                0.0,
                self.accepts_in_flight() + self.writes.share_of_second(RESERVED_FOR_CLAIMS),
            )
        } else {
            (self.requests.share_of_second(RESERVED_SHARE), 0.0)
        };
        self.requests.level(now) >= 1.0 + reserved_requests
            && self.writes.level(now) >= 1.0 + reserved_writes
    }

    /// Acceptances on their way. The leader counts what its watch has seen, so these are not counted yet.
    fn accepts_in_flight(&self) -> f64 {
        self.pending
            .values()
            .filter(|pending| matches!(pending, Pending::Accept { .. }))
            .count() as f64
    }

    /// Serves a request of the front end beside, or refuses it at once.
    pub(crate) fn frontend_requested(&mut self, tag: u64, request: Request) {
        if !request.is_allowed() {
            return self.answer_frontend(tag, Answer::Refused);
        }
        let now = self.now.mono;
        if self.requests.level(now) < 1.0 + self.requests.share_of_second(RESERVED_SHARE) {
            return self.answer_frontend(tag, Answer::Busy);
        }
        match request {
            Request::Page { under, after } => {
                let path = page_path(&under, PAGE_SIZE, after.as_deref());
                self.get_state(path, PAGE_TIMEOUT_MS, Pending::Frontend { tag });
            }
            Request::Change { writes } => self.frontend_change(tag, writes),
            Request::Demand { model } => self.demand(&model, Waiter::Frontend(tag)),
        }
    }

    /// Changes its records in one transaction, under the guard of the leader's own record.
    fn frontend_change(&mut self, tag: u64, writes: Vec<Change>) {
        let leader_version = self
            .shard
            .as_ref()
            .map(|shard| shard.leader_version)
            .filter(|_| self.may_decide());
        let Some(leader_version) =
            leader_version.filter(|_| self.take_spare_writes(writes.len() as f64))
        else {
            return self.answer_frontend(tag, Answer::Busy);
        };
        let mut conditions = vec![Condition {
            key: records::leader_key(SHARD),
            version: leader_version,
        }];
        let mut state_writes = Vec::new();
        for change in writes {
            conditions.extend(change.guard());
            state_writes.push(change.into_write());
        }
        let body = encode_transaction(conditions, state_writes);
        self.post_transaction(body, TIMEOUT_MS, Pending::Frontend { tag });
    }

    /// The state service's answer to a request of the front end.
    pub(crate) fn frontend_answered(&mut self, tag: u64, response: Option<Response>) {
        self.answer_frontend(tag, Answer::of_state_service(response));
    }

    /// Answers a request of the front end.
    pub(crate) fn answer_frontend(&mut self, tag: u64, answer: Answer) {
        self.effects.push(crate::Effect::Frontend { tag, answer });
    }

    /// The term in which this node is sure that it leads the fleet; rises with each take-over, of any node.
    pub fn term(&self) -> Option<u64> {
        self.shard
            .as_ref()
            .filter(|_| self.may_decide())
            .map(|shard| shard.token)
    }

    /// Which peer leads the fleet, as far as this node knows; `None` if nobody does, or this node itself.
    pub fn leader_among_peers(&self) -> Option<usize> {
        if self.leads() {
            None
        } else {
            self.leader_peer()
        }
    }

    /// The settings that this node was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The machine types of the catalog, once it was read.
    pub fn machine_types(&self) -> Option<&Catalog> {
        self.catalog()
    }

    /// The quota tree that this node acts on, if there is one.
    pub fn quota_tree(&self) -> Option<Arc<quota::Tree>> {
        self.shared
            .documents
            .quota
            .active
            .as_ref()
            .map(|active| active.built.clone())
    }

    /// How many machines the fleet has.
    pub fn machine_count(&self) -> usize {
        self.shard
            .as_ref()
            .map_or(0, |shard| shard.machines.count())
    }

    /// Machines of the fleet with what their claims take; nothing unless this node leads the fleet.
    pub fn machines(&self) -> impl Iterator<Item = MachineView<'_>> {
        let machines = self
            .shard
            .iter()
            .flat_map(|shard| shard.machines.iter().flatten());
        machines.map(|machine| MachineView {
            name: &machine.name,
            machine_type: &machine.machine_type,
            zone: &machine.zone,
            tasks: machine.claims.len(),
            up: machine.up,
        })
    }
}

/// A machine as a front end beside may see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its type, as the catalog names it.
    pub machine_type: &'a str,
    /// The zone that it is in.
    pub zone: &'a str,
    /// Claims on it.
    pub tasks: usize,
    /// It has reported.
    pub up: bool,
}
