//! The book's writes: one transaction at a time, each taking along all that has gathered. Without an answer the same
//! changes are sent again until one is known to have been applied; a conflict has the book read anew.

use super::Book;
use crate::records::{self, AppRecord, ClusterRecord, DrainRecord};
use crate::{Act, Cx};
use control::frontend::{self, Answer, Change, Request};
use control::write_limits::WriteLimits;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;

/// What a record is for. The deployment's goes first: what it says must hold before what relies on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Key {
    Cluster,
    Drain,
    App(u32),
    /// An application that is no longer remembered.
    Forget(u32),
}

/// What a record held when it was sent.
enum Sent {
    Cluster(Box<ClusterRecord>),
    Drain(DrainRecord),
    App(u32, Box<AppRecord>),
    /// Parts of an application's description, the first so many.
    Parts(u32, usize),
    /// The last so many of them are taken away.
    PartsGone(u32, u32),
    Forget(u32),
}

struct Flight {
    changes: Vec<Change>,
    sent: Vec<Sent>,
    /// A try was not answered: it may have been applied, or may yet be.
    outcome_unknown: bool,
    out: bool,
    retry_at: u64,
}

#[derive(Default)]
pub(super) struct Store {
    dirty: BTreeSet<Key>,
    flight: Option<Flight>,
    retry_at: u64,
    /// Transactions that were applied, and records that they changed.
    pub txns: u64,
    pub changes: u64,
}

/// A try is repeated after this time, in milliseconds.
const AGAIN_MS: u64 = 250;
/// What was refused is tried again after this time.
const REFUSED_MS: u64 = 5000;
/// Bytes of one transaction; the service counts in a longer form and allows 64 KiB.
const SIZE: usize = 24 * 1024;

fn value<T: Serialize>(record: &T) -> Option<Value> {
    // Records are plain data, with text as keys.
    serde_json::to_value(record).ok()
}

impl Store {
    pub fn touch(&mut self, key: Key) {
        self.dirty.insert(key);
    }
}

/// A transaction in the making.
struct Draft {
    changes: Vec<Change>,
    sent: Vec<Sent>,
    size: usize,
    most: usize,
    limits: WriteLimits,
}

impl Draft {
    fn has_room(&self, writes: usize, bytes: usize) -> bool {
        self.changes.len() + writes <= self.most
            && (self.changes.is_empty() || self.size + bytes <= SIZE)
    }
    fn push(&mut self, key: String, version: Option<u64>, value: Option<Value>) {
        self.size += key.len() + value.as_ref().map_or(0, |v| v.to_string().len());
        self.changes.push(Change {
            key,
            version,
            value,
        });
    }
}

impl Book {
    /// Sends what has gathered, or what has to be sent again.
    pub(super) fn flush(&mut self, cx: Cx<'_>) {
        let now = cx.now.mono;
        if self.store.flight.is_none() && now >= self.store.retry_at && !self.store.dirty.is_empty()
        {
            self.store.flight = self.draft(cx.node.write_limits(), now);
        }
        let Some(flight) = self
            .store
            .flight
            .as_mut()
            .filter(|f| !f.out && now >= f.retry_at)
        else {
            return;
        };
        flight.out = true;
        let request = Request::Change {
            writes: flight.changes.clone(),
        };
        let tag = self.number();
        self.writing = Some(tag);
        self.acts.push(Act::Frontend { tag, request });
    }

    fn draft(&mut self, limits: &WriteLimits, now: u64) -> Option<Flight> {
        let most = frontend::writes_at_once(limits);
        let mut draft = Draft {
            changes: Vec::new(),
            sent: Vec::new(),
            size: 0,
            most,
            limits: *limits,
        };
        let keys: Vec<Key> = self.store.dirty.iter().copied().take(most).collect();
        for key in keys {
            if !draft.has_room(1, 0) || !self.draft_one(key, &mut draft) {
                break;
            }
        }
        let Draft { changes, sent, .. } = draft;
        (!changes.is_empty()).then_some(Flight {
            changes,
            sent,
            outcome_unknown: false,
            out: false,
            retry_at: now,
        })
    }

    /// Adds a record; false once the transaction is full, and then what did not fit is still to be written.
    fn draft_one(&mut self, key: Key, draft: &mut Draft) -> bool {
        match key {
            Key::Cluster => {
                draft.push(
                    records::CLUSTER.into(),
                    Some(self.cluster_version),
                    value(&self.cluster),
                );
                draft
                    .sent
                    .push(Sent::Cluster(Box::new(self.cluster.clone())));
            }
            Key::Drain => {
                draft.push(
                    records::DRAIN.into(),
                    Some(self.drain_version),
                    value(&self.drain),
                );
                draft.sent.push(Sent::Drain(self.drain.clone()));
            }
            Key::App(id) => return self.draft_app(id, draft),
            Key::Forget(id) => {
                if let Some(app) = self.apps.get(&id) {
                    draft.push(records::app_key(id), Some(app.version), None);
                    draft.sent.push(Sent::Forget(id));
                }
            }
        }
        self.store.dirty.remove(&key);
        true
    }

    fn draft_app(&mut self, id: u32, draft: &mut Draft) -> bool {
        let Some(app) = self.apps.get_mut(&id) else {
            self.store.dirty.remove(&Key::App(id));
            return true;
        };
        // The description first, as far as it fits; then, in a later transaction or this one, what refers to it.
        let mut parts = 0;
        while let Some(part) = app.parts.get(parts).filter(|p| draft.has_room(1, p.len())) {
            let number = app.rec.parts - (app.parts.len() - parts) as u32;
            let key = records::part_key(id, &app.rec.print, number);
            draft.push(key, None, Some(Value::String(part.clone())));
            parts += 1;
        }
        if parts > 0 {
            draft.sent.push(Sent::Parts(id, parts));
        }
        if parts < app.parts.len() {
            return false;
        }
        // When nothing is left of it, its description goes, and then the record says so: a new leader that finds another
        // record takes away what is there.
        let mut gone = 0;
        while app.rec.closed && gone < app.described && draft.has_room(1, 0) {
            gone += 1;
            let key = records::part_key(id, &app.rec.print, app.described - gone);
            draft.push(key, None, None);
        }
        if gone > 0 {
            draft.sent.push(Sent::PartsGone(id, gone));
        }
        if app.rec.closed && gone < app.described {
            return false;
        }
        let rec = value(&super::fitting::fitted(&app.rec, &draft.limits));
        if !draft.has_room(1, rec.as_ref().map_or(0, |v| v.to_string().len())) {
            return false;
        }
        draft.push(records::app_key(id), Some(app.version), rec);
        draft.sent.push(Sent::App(id, Box::new(app.rec.clone())));
        self.store.dirty.remove(&Key::App(id));
        true
    }

    /// The end of a try. False if the book has to be read anew.
    pub(super) fn written(&mut self, cx: Cx<'_>, answer: Answer) -> bool {
        let Some(flight) = &mut self.store.flight else {
            return true;
        };
        let now = cx.now.mono;
        flight.out = false;
        match answer {
            Answer::Changed { revision } => {
                let flight = self.store.flight.take();
                self.store.txns += 1;
                for sent in flight.into_iter().flat_map(|f| f.sent) {
                    self.store.changes += 1;
                    self.saved(cx, sent, revision);
                }
                true
            }
            Answer::Busy | Answer::Refused if !flight.outcome_unknown => {
                let flight = self.store.flight.take();
                // Nothing of a refused one was applied; it is cut anew, by limits that may have been learned by then.
                let refused = answer == Answer::Refused;
                self.store.retry_at = now + if refused { REFUSED_MS } else { AGAIN_MS };
                for sent in flight.into_iter().flat_map(|f| f.sent) {
                    self.put_off(sent);
                }
                true
            }
            Answer::Busy | Answer::Unknown => {
                flight.outcome_unknown = true;
                flight.retry_at = now + AGAIN_MS;
                true
            }
            Answer::Conflict | Answer::Refused | Answer::Page { .. } | Answer::Model(_) => false,
        }
    }

    fn saved(&mut self, cx: Cx<'_>, sent: Sent, revision: u64) {
        match sent {
            Sent::Cluster(rec) => {
                self.cluster_version = revision;
                self.cluster_saved(cx, &rec);
            }
            Sent::Drain(rec) => {
                self.drain_version = revision;
                self.drain_saved(rec);
            }
            Sent::Parts(id, n) => {
                if let Some(app) = self.apps.get_mut(&id) {
                    app.parts.drain(..n);
                }
            }
            Sent::PartsGone(id, n) => {
                if let Some(app) = self.apps.get_mut(&id) {
                    app.described -= n;
                }
            }
            Sent::App(id, rec) => {
                if let Some(app) = self.apps.get_mut(&id) {
                    app.version = revision;
                    app.saved = Some(*rec);
                    self.app_saved(cx, id);
                }
            }
            Sent::Forget(id) => self.forgotten(id),
        }
    }

    /// Nothing was sent. What is new is not taken, and its submitter hears so at once; all else is tried again.
    fn put_off(&mut self, sent: Sent) {
        match sent {
            Sent::Cluster(_) => self.store.touch(Key::Cluster),
            Sent::Drain(_) => self.store.touch(Key::Drain),
            Sent::Forget(id) => self.store.touch(Key::Forget(id)),
            Sent::App(id, _) | Sent::Parts(id, _) | Sent::PartsGone(id, _) => {
                let is_new = self.apps.get(&id).is_some_and(|a| a.saved.is_none());
                if is_new {
                    self.not_taken(id);
                } else {
                    self.store.touch(Key::App(id));
                }
            }
        }
    }
}
