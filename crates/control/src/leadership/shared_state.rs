//! State that all controllers watch in the state service: the leader record, the token counter, the catalog of machine
//! types and the document heads. Also holds announcements of leadership by peers.

use crate::documents::Documents;
use crate::leadership::election::SHARD;
use crate::{Destination, Node, Pending};
use std::ops;
use wire::api::{Catalog, Changes, Range};
use wire::http::Response;
use wire::records::{self, LeaderRecord, SharedRecord};

/// An announcement expires after this time; by then, a node that can read the state service has newer information.
const ANNOUNCEMENT_TTL_MS: u64 = 10_000;

/// Timeout of reads.
const READ_TIMEOUT_MS: u64 = 2000;

/// Timeout of a watch. The service answers one without changes after 5 s, so a longer silence is a connection failure.
const WATCH_TIMEOUT_MS: u64 = 7000;

/// Delay before a refused read or watch is retried.
const RETRY_DELAY_MS: ops::Range<u64> = 200..500;

/// Delay before everything is read again after a watch that got no answer.
const REREAD_DELAY_MS: ops::Range<u64> = 100..300;

/// Delay before everything is read again after a watch whose answer could not be decoded.
const UNREADABLE_REREAD_DELAY_MS: u64 = 1000;

/// The leader record as last read.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ObservedLeader {
    pub record: LeaderRecord,
    pub version: u64,
}

impl ObservedLeader {
    /// Whether the record belongs to this node and this lease.
    pub(super) fn is_ours(&self, lease: u64, node: &str) -> bool {
        self.record.node == node && self.record.lease == lease
    }
}

/// The watched state as far as this controller knows it.
#[derive(Default)]
pub(crate) struct SharedState {
    /// Whether everything was read and is kept up to date by watches; if not, the next request is a full read.
    pub is_current: bool,
    pub revision: u64,
    pub leader: Option<ObservedLeader>,
    pub token: u64,
    pub token_version: u64,
    /// The highest token that this node has ever read or assigned. It never decreases, whereas a late read may lower
    /// `token`.
    pub highest_token: u64,
    pub catalog: Option<Catalog>,
    pub catalog_version: u64,
    pub documents: Documents,
    /// When the state service last reported this state.
    pub updated_at: u64,
    /// Whether a read or a watch is in flight; if not, the next one is sent at `retry_at`.
    request_in_flight: bool,
    generation: u64,
    retry_at: u64,
}

/// A peer that has announced itself as the leader.
pub(crate) struct AnnouncedLeader {
    node: String,
    token: u64,
    until: u64,
}

impl SharedState {
    fn leader_removed(&mut self) {
        self.leader = None;
    }

    fn token_put(&mut self, token: u64, version: u64) {
        self.highest_token = self.highest_token.max(token);
        if version >= self.token_version {
            self.token = token;
            self.token_version = version;
        }
    }

    /// Prices change, and the leader fetches them itself: its catalog is newer than the stored one and is not replaced.
    fn catalog_put(&mut self, catalog: Catalog, version: u64, leads: bool) {
        if version < self.catalog_version {
            return;
        }
        if !leads || self.catalog.is_none() {
            self.catalog = Some(catalog);
        }
        self.catalog_version = version;
    }

    fn leader_put(&mut self, record: SharedRecord, version: u64) {
        if let (Some(node), Some(token), Some(lease)) = (record.node, record.token, record.lease) {
            let record = LeaderRecord {
                node,
                token,
                lease,
                incarnation: record.incarnation,
            };
            self.leader = Some(ObservedLeader { record, version });
        }
    }
}

impl Node {
    /// Sends a read or a watch if none is in flight and one is due.
    pub(super) fn shared_state_tick(&mut self) {
        if self.shared.request_in_flight || self.now.mono < self.shared.retry_at {
            return;
        }
        self.shared.request_in_flight = true;
        if self.shared.is_current {
            self.watch_shared();
        } else {
            self.read_shared();
        }
    }

    fn read_shared(&mut self) {
        self.send(
            Destination::State,
            "GET",
            format!("/keys?under={}&limit=1000", records::SHARED),
            Vec::new(),
            READ_TIMEOUT_MS,
            Pending::SharedRead,
        );
    }

    fn watch_shared(&mut self) {
        self.shared.generation += 1;
        let path = format!(
            "/changes?under={}&from={}&waitMs=5000",
            records::SHARED,
            self.shared.revision
        );
        let pending = Pending::SharedWatch {
            generation: self.shared.generation,
        };
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            WATCH_TIMEOUT_MS,
            pending,
        );
    }

    /// Schedules a full read after `wait` milliseconds.
    pub(crate) fn reread_shared(&mut self, wait: u64) {
        self.shared.is_current = false;
        self.shared.request_in_flight = false;
        self.shared.generation += 1;
        self.shared.retry_at = self.now.mono + wait;
    }

    fn retry_shared(&mut self) {
        self.shared.retry_at = self.now.mono + self.rng.u64(RETRY_DELAY_MS);
    }

    /// Handles the answer to a full read.
    pub(crate) fn shared_read_received(&mut self, response: Option<Response>) {
        self.shared.request_in_flight = false;
        let range = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.decode_answer::<Range<SharedRecord>>("state service", &r));
        let Some(range) = range else {
            return self.retry_shared();
        };
        self.shared.leader_removed();
        self.shared.token_version = 0;
        for item in range.items {
            self.shared_put(&item.key, item.value, item.version);
        }
        self.shared.revision = range.revision;
        self.shared.is_current = true;
        self.shared.updated_at = self.now.mono;
        self.leader_observed();
    }

    /// Handles the answer to a watch; `None` if there was none.
    pub(crate) fn shared_changes_received(&mut self, generation: u64, response: Option<Response>) {
        if generation != self.shared.generation {
            return;
        }
        self.shared.request_in_flight = false;
        let Some(response) = response else {
            // The connection failed or the service is down: the known state may be stale, so it is read again.
            let wait = self.rng.u64(REREAD_DELAY_MS);
            return self.reread_shared(wait);
        };
        match response.status {
            200 => {}
            410 => return self.reread_shared(0),
            _ => return self.retry_shared(),
        }
        let Some(changes) = self.decode_answer::<Changes<SharedRecord>>("state service", &response)
        else {
            return self.reread_shared(UNREADABLE_REREAD_DELAY_MS);
        };
        for change in changes.events {
            if let (Some(key), Some(value)) = (&change.put, change.value) {
                self.shared_put(key, value, change.version);
            } else if change.remove.as_deref() == Some(&records::leader_key(SHARD)) {
                self.shared.leader_removed();
            }
        }
        self.shared.revision = self.shared.revision.max(changes.revision);
        self.shared.updated_at = self.now.mono;
        self.leader_observed();
    }

    fn shared_put(&mut self, key: &str, record: SharedRecord, version: u64) {
        let leads = self.leads();
        if record.document.is_some() {
            self.shared.documents.observe_head(key, &record, version);
        } else if key == records::TOKEN {
            self.shared.token_put(record.token.unwrap_or(0), version);
        } else if key == records::CATALOG {
            if let Some(types) = record.types {
                self.shared.catalog_put(Catalog { types }, version, leads);
            }
        } else if key == records::leader_key(SHARD) {
            self.shared.leader_put(record, version);
        }
    }

    /// Handles another node's claim to lead the shard. An earlier leader that cannot reach the state service learns of
    /// its successor here first, and steps down; otherwise its workers would stay with it and never reach the new
    /// leader.
    pub(crate) fn leadership_claimed(&mut self, node: String, token: u64) {
        if !self.has_valid_lease()
            && self
                .shard
                .as_ref()
                .is_some_and(|shard| shard.token() < token)
        {
            self.step_down("a peer leads the fleet with a higher token");
        }
        let now = self.now.mono;
        let newest = self
            .announced_leader
            .as_ref()
            .is_none_or(|a| a.token <= token || a.until <= now);
        if newest && self.settings.peers.iter().any(|p| p.node == node) {
            self.announced_leader = Some(AnnouncedLeader {
                node,
                token,
                until: now + ANNOUNCEMENT_TTL_MS,
            });
        }
    }

    /// The highest token that this node knows of, from the state service or from the latest announcement by a peer.
    pub(crate) fn highest_token(&self) -> u64 {
        let announced = self.announced_leader.as_ref().map_or(0, |a| a.token);
        self.shared.highest_token.max(announced)
    }

    /// The name of the node that workers should send heartbeats to.
    pub(crate) fn leader_name(&self) -> Option<String> {
        self.newest_leader().map(|(_, node)| node.to_owned())
    }

    /// The token of the node that workers should send heartbeats to.
    pub(crate) fn leader_token(&self) -> Option<u64> {
        self.newest_leader().map(|(token, _)| token)
    }

    fn newest_leader(&self) -> Option<(u64, &str)> {
        let observed = self.shared.leader.as_ref();
        let observed = observed.map(|o| (o.record.token, o.record.node.as_str()));
        let announced = self
            .announced_leader
            .as_ref()
            .filter(|a| a.until > self.now.mono)
            .map(|a| (a.token, a.node.as_str()));
        let both = observed.into_iter().chain(announced);
        both.max_by_key(|(token, _)| *token)
    }
}
