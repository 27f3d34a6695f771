//! The interface for another front end in the same process: its own records in the state service, and a view of the
//! deployment.
//!
//! Such a front end submits, queries and cancels jobs as users do, by [`Event::Client`] with connection numbers from
//! [`FIRST_CONNECTION`] on. Its records are kept under [`wire::records::FRONTEND_PREFIX`] and written by the leader
//! only, guarded by the leader's record. Its requests have the lowest priority: one is refused at once while little is
//! left of the node's rate budgets.

use crate::leadership::election::SHARD;
use crate::models::demand::Waiter;
use crate::state_requests::{encode_transaction, page_path};
use crate::store::rate_budget::TokenBucket;
use crate::store::shard::Shard;
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

/// The share of a second's changes that new jobs of the leader's own users leave free: claims and ends come first.
const RESERVED_FOR_CLAIMS: f64 = 0.1;
/// The first connection number of the front end; those of users are lower.
pub const FIRST_CONNECTION: u64 = 1 << 63;
/// The share of a second's requests and changes that the front end leaves to claims, accepts and reads. New jobs of
/// users leave the same share of a second's requests to queries about accepted jobs.
const RESERVED_SHARE: f64 = 0.25;
/// The share of this node's changes that the front end has while it makes any requests for changes.
const WRITE_SHARE: f64 = 0.2;
/// How long that share lasts after a request.
const ACTIVE_WINDOW_MS: u64 = 2000;
/// Timeout of a transaction; that of a page is twice as long.
const TIMEOUT_MS: u64 = 900;
const PAGE_TIMEOUT_MS: u64 = 2 * TIMEOUT_MS;
/// The most records in one page.
const PAGE_SIZE: usize = 500;
/// The most keys that one transaction may change, even if the settings allow more.
const MAX_WRITES: usize = 16;

/// The rate limits of the front end at this node.
pub(crate) struct Frontend {
    writes: TokenBucket,
    /// Whether the front end has its share of the node's changes now.
    has_share: bool,
    last_requested_at: u64,
}

impl Frontend {
    /// Limits of a front end that has not made any request.
    pub fn new() -> Self {
        Frontend {
            writes: TokenBucket::new(0.0),
            has_share: false,
            last_requested_at: 0,
        }
    }
}

/// A request of the front end to its node.
#[derive(Debug, Clone)]
pub enum Request {
    /// All records below a prefix, a page at a time, after a key.
    Page {
        /// The prefix.
        under: String,
        /// The last key of the page before; the first page without one.
        after: Option<String>,
    },
    /// Changes of some records; the leader only.
    Change {
        /// At most [`writes_at_once`], made as a whole or not at all.
        writes: Vec<Change>,
    },
    /// Demand for a model, the same as demand through the operators' API.
    Demand {
        /// The job id of the model.
        model: String,
    },
}

impl Request {
    /// Whether the request names only the front end's own records, and not too many of them.
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
    /// The version that the record must have (0: it must not exist); `None` for a record that can have one content
    /// only.
    pub version: Option<u64>,
    /// The new content; `None` removes the record.
    pub value: Option<Value>,
}

impl Change {
    /// The condition that the record has the required version.
    fn condition(&self) -> Option<Condition> {
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

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A page of records.
    Page {
        /// The records, by key.
        items: Vec<Item<Value>>,
        /// Another page follows.
        more: bool,
    },
    /// All changes were committed at this revision.
    Changed {
        /// The state service's revision of the transaction.
        revision: u64,
    },
    /// A key has another version, or the node is no longer the leader: nothing was changed by this request.
    Conflict,
    /// The request is not served now: there are too many, or this node is not certain to be the leader.
    Busy,
    /// There was no answer: the changes may have been made, or may still be.
    Unknown,
    /// The request is invalid.
    Refused,
    /// The status of the model.
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

    /// Decodes a page, or the revision of a transaction.
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
    // No more than a few seconds of the front end's own share.
    limits
        .changes()
        .min((limits.changes_per_s() / 3.0) as usize)
        .clamp(1, MAX_WRITES)
}

impl Node {
    /// Whether a user has named a job id that is reserved for jobs of the front end.
    pub(crate) fn is_reserved_for_frontend(&self, conn: u64, id: &str) -> bool {
        self.has_other_frontend && conn < FIRST_CONNECTION && wire::ids::reserved_job_id(id)
    }

    /// Takes changes for the front end, if they can be spared: from its own share, which it has only while it makes
    /// requests, or from what users leave. The front end never drives the users' budget into debt.
    fn take_spare_writes(&mut self, cost: f64) -> bool {
        let now = self.now.mono;
        self.frontend.last_requested_at = now;
        self.share_writes();
        let has_own_share = self.frontend.writes.available(now)
            >= cost.min(self.frontend.writes.share_of_second(0.9));
        if has_own_share {
            self.frontend.writes.take(now, cost);
        } else if self.writes.available(now) >= cost + self.writes.share_of_second(RESERVED_SHARE) {
            self.writes.take(now, cost);
        } else {
            return false;
        }
        true
    }

    /// Gives the front end a share of this node's changes while it makes requests, and takes it back afterwards.
    pub(crate) fn share_writes(&mut self) {
        let is_active = self.has_other_frontend
            && self.now.mono < self.frontend.last_requested_at + ACTIVE_WINDOW_MS;
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

    /// Sets the rate of this node's changes; the share of the front end goes back to the node.
    pub(crate) fn set_write_rate(&mut self, rate: f64) {
        self.frontend.has_share = false;
        self.frontend.writes.set_rate(0.0);
        self.writes.set_rate(rate);
    }

    /// The number of new jobs that this node can record in a second, if it does nothing else.
    pub(crate) fn accepts_per_s(&self) -> f64 {
        let requests = self.requests.share_of_second(1.0 - RESERVED_SHARE);
        requests.min(self.writes.rate())
    }

    /// Whether a new job can be recorded now. Jobs from the front end come after those of users.
    pub(crate) fn has_room_for(&mut self, conn: Option<u64>) -> bool {
        let now = self.now.mono;
        if conn.is_some_and(|conn| conn >= FIRST_CONNECTION) {
            return self.requests.available(now)
                >= 1.0 + self.requests.share_of_second(RESERVED_SHARE)
                && self.take_spare_writes(1.0);
        }
        // The leader answers queries from memory, but has claims to write.
        let (reserved_requests, reserved_writes) = if self.leads() {
            (
                0.0,
                self.accepts_in_flight() + self.writes.share_of_second(RESERVED_FOR_CLAIMS),
            )
        } else {
            (self.requests.share_of_second(RESERVED_SHARE), 0.0)
        };
        self.requests.available(now) >= 1.0 + reserved_requests
            && self.writes.available(now) >= 1.0 + reserved_writes
    }

    /// Acceptances in flight. The leader charges its budget for those that its watch has seen, so these are not charged
    /// yet.
    fn accepts_in_flight(&self) -> f64 {
        self.pending
            .values()
            .filter(|pending| matches!(pending, Pending::Accept { .. }))
            .count() as f64
    }

    /// Serves a request of the front end, or refuses it at once.
    pub(crate) fn frontend_requested(&mut self, tag: u64, request: Request) {
        if !request.is_allowed() {
            return self.answer_frontend(tag, Answer::Refused);
        }
        let now = self.now.mono;
        if self.requests.available(now) < 1.0 + self.requests.share_of_second(RESERVED_SHARE) {
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

    /// Changes the front end's records in one transaction that is guarded by the leader's record.
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
            conditions.extend(change.condition());
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

    /// The leadership token of this node while it is certain to be the leader; tokens rise with each change of leader.
    pub fn term(&self) -> Option<u64> {
        self.shard
            .as_ref()
            .filter(|_| self.may_decide())
            .map(Shard::token)
    }

    /// The fencing tokens of this node's messages to workers while it is certain to be the leader.
    pub fn tokens(&self) -> Option<std::ops::RangeInclusive<u64>> {
        let shard = self.shard.as_ref().filter(|_| self.may_decide())?;
        Some(shard.tokens.first()..=shard.tokens.last())
    }

    /// The peer that is the leader, as far as this node knows; `None` if there is none, or if it is this node itself.
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

    /// The machine types of the catalog, once it has been read.
    pub fn machine_types(&self) -> Option<&Catalog> {
        self.catalog()
    }

    /// The quota tree in force on this node, if there is one.
    pub fn quota_tree(&self) -> Option<Arc<quota::Tree>> {
        self.shared
            .documents
            .quota
            .active
            .as_ref()
            .map(|active| active.built.clone())
    }

    /// The number of machines in the fleet.
    pub fn machine_count(&self) -> usize {
        self.shard
            .as_ref()
            .map_or(0, |shard| shard.machines.count())
    }

    /// The machines of the fleet with the numbers of their claims; none unless this node is the leader.
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

/// A machine, as the front end sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its type, as the catalog names it.
    pub machine_type: &'a str,
    /// The zone that it is in.
    pub zone: &'a str,
    /// The number of claims on it.
    pub tasks: usize,
    /// Whether its worker has sent a heartbeat.
    pub up: bool,
}
