//! The leader's book of applications: read from the state service at the begin of a term, kept there, and dropped at
//! its end. Whoever is told something is told what the records say.

mod apps;
mod clients;
mod containers;
mod drains;
mod fitting;
mod masters;
pub mod runners;
mod store;
mod views;
pub mod web;

use crate::call::{Call, Reply, What};
use crate::queues::Queues;
use crate::records::{self, AppRecord, ClusterRecord, DrainRecord};
use crate::token::{KEY_LIFE_MS, Keys};
use crate::{Act, Cx};
use containers::Groups;
use control::frontend::{Answer, Request};
use masters::Session;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use store::{Key, Store};
use wire::api::Item;
use yarn::error::{Class, Fault};
use yarn::rest::Form;

/// Ids that are set aside with one write.
const IDS_AT_ONCE: u32 = 64;
/// Applications that one turn looks at.
const DRIVEN_AT_ONCE: usize = 64;
/// The book is read again after this time if a page did not come.
const PAGE_AGAIN_MS: u64 = 500;

/// Who waits for a record to be saved, and what he is told then.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    call: u64,
    form: Surface,
    told: Told,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Surface {
    Rpc,
    Web(Form),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    NewId,
    Submitted,
    Killing,
    Priority,
    Registered,
    Unregistered,
    Drained,
}

/// How far the scheduler is known to have an application's master.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Native {
    /// To be submitted: it may be known there already.
    Unsent,
    Known,
}

pub(crate) struct App {
    rec: AppRecord,
    /// What is recorded; none yet for a new one.
    saved: Option<AppRecord>,
    version: u64,
    /// Parts of the description that are not written yet.
    parts: Vec<String>,
    /// Parts of it that are, or will be, in the state service.
    described: u32,
    waiters: Vec<Waiter>,
    native: Native,
    /// A request to the scheduler is out.
    asking: bool,
    /// The scheduler says that the master's task is over.
    master_over: bool,
    /// What is left of it may stay until then.
    rest_until: u64,
    due: u64,
    session: Option<Session>,
    /// The description of its master, while a runner asks for it.
    launch: Option<Vec<u8>>,
    reading: bool,
    groups: Groups,
}

/// A request to the scheduler.
#[derive(Debug, Clone, Copy)]
struct Asked {
    app: u32,
    /// 0 is the master's job, others are those of containers.
    group: u32,
    what: Want,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Want {
    Submit,
    State,
    Cancel,
}

enum Phase {
    /// Reading, after this key; asked at, under this number.
    Loading {
        after: Option<String>,
        tag: Option<u64>,
        again_at: u64,
    },
    Ready,
}

/// Counted for operators and measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    pub submitted: u64,
    pub finished: u64,
    pub failed: u64,
    pub killed: u64,
    pub refused: u64,
    pub heartbeats: u64,
    pub containers: u64,
    pub fenced: u64,
    /// Transactions and records that the gateway has written.
    pub txns: u64,
    pub changes: u64,
}

pub struct Book {
    term: u64,
    phase: Phase,
    cluster: ClusterRecord,
    cluster_version: u64,
    drain: DrainRecord,
    /// What of the drains is recorded.
    drained: DrainRecord,
    drain_version: u64,
    drain_waiters: Vec<Waiter>,
    /// Deadlines of drains up to this time of day were looked at.
    deadlines_at: u64,
    apps: BTreeMap<u32, App>,
    /// Applications that are not over, in all and by user.
    live: usize,
    by_user: HashMap<String, usize>,
    /// Those that are over, oldest end first.
    over: VecDeque<u32>,
    next_id: u32,
    /// Ids up to this one may be given: the record says so.
    granted: u32,
    id_waiters: Vec<Waiter>,
    store: Store,
    writing: Option<u64>,
    reads: HashMap<u64, runners::Read>,
    /// Calls that describe containers, until their runners have them.
    starts: HashMap<u64, masters::Start>,
    asked: HashMap<u64, Asked>,
    due: BTreeSet<(u64, u32)>,
    next: u64,
    /// When this term began to answer.
    begun: u64,
    queues: Queues,
    /// The tree that the queues were made from.
    tree: Option<Arc<quota::Tree>>,
    counts: Counts,
    acts: Vec<Act>,
}

impl Book {
    pub fn new(term: u64, first: u64) -> Book {
        Book {
            term,
            phase: Phase::Loading {
                after: None,
                tag: None,
                again_at: 0,
            },
            cluster: ClusterRecord::default(),
            cluster_version: 0,
            drain: DrainRecord::default(),
            drained: DrainRecord::default(),
            drain_version: 0,
            drain_waiters: Vec::new(),
            deadlines_at: 0,
            apps: BTreeMap::new(),
            live: 0,
            by_user: HashMap::new(),
            over: VecDeque::new(),
            next_id: 1,
            granted: 0,
            id_waiters: Vec::new(),
            store: Store::default(),
            writing: None,
            reads: HashMap::new(),
            starts: HashMap::new(),
            asked: HashMap::new(),
            due: BTreeSet::new(),
            next: first,
            begun: 0,
            queues: Queues::default(),
            tree: None,
            counts: Counts::default(),
            acts: Vec::new(),
        }
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn take_acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }

    pub fn counts(&self) -> Counts {
        Counts {
            txns: self.store.txns,
            changes: self.store.changes,
            ..self.counts
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::Ready)
    }

    fn answer(&mut self, call: u64, reply: Reply) {
        self.acts.push(Act::Answer { call, reply });
    }

    /// Takes a call; it is answered now or later by an [`Act::Answer`].
    pub fn call(&mut self, cx: Cx<'_>, call: u64, asked: Call) {
        if !self.is_ready() {
            let fault = Fault::new(Class::Retriable, "the applications are being read");
            return self.answer(call, fault.into());
        }
        let Call { user, proved, what } = asked;
        match what {
            What::Rpc {
                protocol,
                method,
                argument,
            } => self.rpc(cx, call, &user, proved, &protocol, &method, &argument),
            What::Web(web) => self.web(cx, call, &user, &web),
            What::Prove { nonce, response } => {
                let reply = match self.cluster.keys.prove(&nonce, &response) {
                    Some((proved, proof)) => Reply::Proved(proved, proof),
                    None => Fault::new(Class::AccessDenied, "the token is not good").into(),
                };
                self.answer(call, reply);
            }
        }
        self.flush(cx);
    }

    /// Nobody waits for a call any more.
    pub fn given_up(&mut self, call: u64) {
        self.starts.remove(&call);
    }

    pub fn tick(&mut self, cx: Cx<'_>) {
        if let Phase::Loading { again_at, .. } = self.phase {
            if cx.now.mono >= again_at {
                self.load(cx);
            }
            return;
        }
        self.follow_tree(cx);
        self.rotate_keys(cx);
        self.drains_tick(cx);
        for _ in 0..DRIVEN_AT_ONCE {
            let Some((due, id)) = self
                .due
                .first()
                .copied()
                .filter(|(due, _)| *due <= cx.now.mono)
            else {
                break;
            };
            self.due.remove(&(due, id));
            self.drive(cx, id);
        }
        self.flush(cx);
    }

    /// Queues follow the quota tree.
    fn follow_tree(&mut self, cx: Cx<'_>) {
        let tree = cx.node.quota_tree();
        let same = match (&tree, &self.tree) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => !self.queues.all.is_empty(),
            _ => false,
        };
        if !same {
            self.queues = Queues::new(cx.node.settings(), tree.as_deref(), cx.config);
            self.tree = tree;
        }
    }

    fn rotate_keys(&mut self, cx: Cx<'_>) {
        if cx.now.wall >= self.cluster.keys.since_ms + KEY_LIFE_MS {
            self.cluster.keys = self.cluster.keys.rotated(cx.secret, cx.now.wall);
            self.store.touch(Key::Cluster);
        }
    }

    /// Has an application looked at then.
    fn schedule(&mut self, id: u32, at: u64) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        self.due.remove(&(app.due, id));
        app.due = at;
        self.due.insert((at, id));
    }

    // ---- reading ----

    fn load(&mut self, cx: Cx<'_>) {
        let tag = self.number();
        let Phase::Loading {
            after,
            tag: asked,
            again_at,
        } = &mut self.phase
        else {
            return;
        };
        *asked = Some(tag);
        *again_at = cx.now.mono + 4 * PAGE_AGAIN_MS;
        let request = Request::Page {
            under: records::PREFIX.into(),
            after: after.clone(),
        };
        self.acts.push(Act::Frontend { tag, request });
    }

    /// An answer about records. False if the book has to be read anew.
    pub fn frontend_answered(&mut self, cx: Cx<'_>, tag: u64, answer: Answer) -> bool {
        if self.writing == Some(tag) {
            self.writing = None;
            let good = self.written(cx, answer);
            self.flush(cx);
            return good;
        }
        if let Some(read) = self.reads.remove(&tag) {
            self.part_read(read, answer);
            return true;
        }
        let Phase::Loading {
            after,
            tag: asked,
            again_at,
        } = &mut self.phase
        else {
            return true;
        };
        if *asked != Some(tag) {
            return true;
        }
        *asked = None;
        *again_at = cx.now.mono + PAGE_AGAIN_MS;
        let Answer::Page { items, more } = answer else {
            return true;
        };
        *after = items.last().map(|i| i.key.clone()).or(after.take());
        let more = more && !items.is_empty();
        items.into_iter().for_each(|i| self.loaded(i));
        if more {
            self.load(cx);
        } else {
            self.begin(cx);
        }
        true
    }

    fn loaded(&mut self, item: Item<serde_json::Value>) {
        let Item {
            key,
            value,
            version,
        } = item;
        let damaged = |e: serde_json::Error| log::error!("yarn: record {key} can't be read: {e}");
        if key == records::CLUSTER {
            match serde_json::from_value(value) {
                Ok(rec) => (self.cluster, self.cluster_version) = (rec, version),
                Err(e) => damaged(e),
            }
        } else if key == records::DRAIN {
            match serde_json::from_value::<DrainRecord>(value) {
                Ok(rec) => {
                    (self.drain, self.drained, self.drain_version) = (rec.clone(), rec, version)
                }
                Err(e) => damaged(e),
            }
        } else if key.starts_with(records::APPS) {
            match serde_json::from_value::<AppRecord>(value) {
                Ok(rec) => self.app_loaded(rec, version),
                Err(e) => damaged(e),
            }
        }
    }

    fn app_loaded(&mut self, rec: AppRecord, version: u64) {
        let id = rec.id;
        if !rec.stage.is_final() {
            self.live += 1;
            *self.by_user.entry(rec.user.clone()).or_default() += 1;
        }
        let mut app = App::new(rec.clone(), Vec::new());
        app.groups = Groups::loaded(rec.groups);
        if rec.closed {
            app.described = 0;
        }
        (app.saved, app.version) = (Some(rec), version);
        self.apps.insert(id, app);
    }

    /// All is read: from here on calls are answered.
    fn begin(&mut self, cx: Cx<'_>) {
        let now = cx.now;
        if self.cluster_version == 0 {
            self.cluster.stamp = now.wall as i64;
            self.cluster.keys = Keys::default().rotated(cx.secret, now.wall);
            self.store.touch(Key::Cluster);
        }
        // What an earlier leader has set aside may have been given.
        self.next_id = self.cluster.given + 1;
        self.granted = self.cluster.given;
        let mut ended: Vec<(u64, u32)> = Vec::new();
        let ids: Vec<u32> = self.apps.keys().copied().collect();
        for id in ids {
            let Some(app) = self.apps.get(&id) else {
                continue;
            };
            if app.rec.stage.is_final() {
                ended.push((app.rec.finished_ms.unwrap_or(0), id));
            }
            if !app.rec.closed {
                self.schedule(id, now.mono);
            }
        }
        ended.sort_unstable();
        self.over = ended.into_iter().map(|(_, id)| id).collect();
        self.phase = Phase::Ready;
        self.begun = now.mono;
        self.follow_tree(cx);
        log::info!(
            "yarn: {} applications, {} of them not over",
            self.apps.len(),
            self.live
        );
        self.flush(cx);
    }

    fn cluster_saved(&mut self, cx: Cx<'_>, rec: &ClusterRecord) {
        self.granted = self.granted.max(rec.given);
        for waiter in std::mem::take(&mut self.id_waiters) {
            self.new_id(cx, waiter);
        }
    }
}
