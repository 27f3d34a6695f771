//! Who leads the shard: a key on a lease of the state service, and a token from a counter that only rises.
//!
//! A leader is *sure* while its own clock, with allowance for drift, says that the lease it last renewed can't
//! have ended. Only then does it start, cancel or answer for jobs.

use crate::store::shard::Shard;
use crate::{Destination, Node, Pending};
use wire::api::{Catalog, Changes, Condition, Grant, GrantRequest, Range, Transaction, Write};
use wire::http::Response;
use wire::peer::PeerRequest;
use wire::records::{self, LeaderRecord, Record, SharedRecord, TokenRecord};

/// The one part of this version.
pub(crate) const SHARD: records::ShardId = 0;

/// Shares of the state service's writes: what the leader may use, accepts by others included, and what each other
/// node may use for these. Together they are more than all: bursts at several nodes at once are refused by the
/// service and come again.
const OWNER_WRITES: f64 = 0.9;
pub(crate) const OTHER_WRITES: f64 = 0.3;

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ObservedLeader {
    pub rec: LeaderRecord,
    pub version: u64,
}

/// What every controller knows of the whole, by a watch.
#[derive(Default)]
pub(crate) struct Shared {
    pub known: bool,
    pub revision: u64,
    pub leader: Option<ObservedLeader>,
    pub token: u64,
    pub token_version: u64,
    /// The highest token ever read or given out here. It never falls, as `token` may with a read that comes late.
    pub highest: u64,
    pub catalog: Option<Catalog>,
    pub catalog_version: u64,
    pub documents: crate::documents::Documents,
    /// When the state service last said how all this stands.
    pub heard_at: u64,
    /// A read or a watch is out, and when to try again if not.
    busy: bool,
    round: u64,
    retry_at: u64,
}

/// Who said that it had become the leader.
pub(crate) struct Hint {
    node: String,
    token: u64,
    until: u64,
}

/// A hint is forgotten after this time; by then whoever can read the state service knows better.
const HINT_MS: u64 = 10_000;

pub(crate) enum Role {
    Follower {
        may_campaign_at: u64,
    },
    /// Asking for a lease, or writing our name on it.
    Candidate {
        lease: Option<u64>,
        sent: u64,
        give_up_at: u64,
        /// The lease of the former incarnation whose record is to be replaced.
        former: Option<u64>,
    },
    Leader {
        lease: u64,
        /// When the last renewal that succeeded was sent.
        renewed: u64,
        next_renewal: u64,
        busy: bool,
    },
}

impl Node {
    fn ttl(&self) -> u64 {
        self.tuning.ttl_ms as u64
    }

    /// The lease can't have ended: drift is below 0.05% on either side, and the service is never early.
    pub(crate) fn has_valid_lease(&self) -> bool {
        match self.role {
            Role::Leader { renewed, .. } => {
                let incarnation = self.ttl() * 997 / 1000;
                self.now.mono < renewed + incarnation.saturating_sub(incarnation / 20)
            }
            _ => false,
        }
    }

    /// Leader, loaded, and sure of it: may decide.
    pub(crate) fn may_decide(&self) -> bool {
        self.has_valid_lease() && self.shard.as_ref().is_some_and(|p| p.loaded)
    }

    pub(crate) fn election_tick(&mut self) {
        let now = self.now.mono;
        if !self.shared.busy && now >= self.shared.retry_at {
            self.shared.busy = true;
            if self.shared.known {
                self.watch_shared();
            } else {
                let path = format!("/keys?under={}&limit=1000", records::SHARED);
                self.send(
                    Destination::State,
                    "GET",
                    path,
                    Vec::new(),
                    2000,
                    Pending::SharedRead,
                );
            }
        }
        match self.role {
            Role::Follower { may_campaign_at } => self.follow(may_campaign_at),
            Role::Candidate { give_up_at, .. } if now >= give_up_at => {
                self.role = Role::Follower {
                    may_campaign_at: now + self.rng.u64(100..1000),
                };
                self.reread_shared(0);
            }
            Role::Candidate { .. } => {}
            Role::Leader {
                lease,
                renewed,
                next_renewal,
                busy,
            } => {
                if !busy && now >= next_renewal {
                    self.role = Role::Leader {
                        lease,
                        renewed,
                        next_renewal,
                        busy: true,
                    };
                    let path = format!("/grants/{lease}/renew");
                    let what = Pending::Renew { lease, sent: now };
                    // In an outage the answer is slow to come; a late one is as good as its sending time.
                    self.send(
                        Destination::State,
                        "POST",
                        path,
                        Vec::new(),
                        self.ttl() / 2,
                        what,
                    );
                }
            }
        }
    }

    /// Stands if nobody leads the shard, or only a former incarnation of this node.
    fn follow(&mut self, may_campaign_at: u64) {
        let now = self.now.mono;
        let vacant = self.shared.known && self.replaceable().is_some();
        if vacant && may_campaign_at == 0 && self.shared.leader.is_none() {
            // A little luck keeps all from standing at once.
            let wait = self.rng.u64(20..250);
            self.role = Role::Follower {
                may_campaign_at: now + wait,
            };
        } else if vacant && now >= may_campaign_at {
            self.role = Role::Candidate {
                lease: None,
                sent: now,
                give_up_at: now + 4000,
                former: None,
            };
            let body = wire::encode(&GrantRequest { ttl_ms: self.ttl() });
            self.send(
                Destination::State,
                "POST",
                "/grants".into(),
                body,
                2000,
                Pending::Grant { sent: now },
            );
        } else if !vacant && may_campaign_at != 0 && now >= may_campaign_at {
            self.role = Role::Follower { may_campaign_at: 0 };
        }
    }

    /// The version of the leader record that our own may take the place of, 0 for none, and the lease that it is on.
    fn replaceable(&self) -> Option<(u64, Option<u64>)> {
        let heir = self.tuning.heir > 0.0;
        match &self.shared.leader {
            None => Some((0, None)),
            Some(o) if heir && self.incarnation.succeeds(&o.rec, &self.settings.node) => {
                Some((o.version, Some(o.rec.lease)))
            }
            Some(_) => None,
        }
    }

    fn watch_shared(&mut self) {
        self.shared.round += 1;
        let path = format!(
            "/changes?under={}&from={}&waitMs=5000",
            records::SHARED,
            self.shared.revision
        );
        let what = Pending::SharedWatch {
            round: self.shared.round,
        };
        self.send(Destination::State, "GET", path, Vec::new(), 7000, what);
    }

    pub(crate) fn reread_shared(&mut self, wait: u64) {
        self.shared.known = false;
        self.shared.busy = false;
        self.shared.round += 1;
        self.shared.retry_at = self.now.mono + wait;
    }

    pub(crate) fn shared_read(&mut self, response: Option<Response>) {
        self.shared.busy = false;
        let range = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<Range<SharedRecord>>("state service", &r));
        let Some(range) = range else {
            self.shared.retry_at = self.now.mono + self.rng.u64(200..500);
            return;
        };
        self.shared.leader = None;
        self.shared.token_version = 0;
        for item in range.items {
            self.shared_put(&item.key, item.value, item.version);
        }
        self.shared.revision = range.revision;
        self.shared.known = true;
        self.shared.heard_at = self.now.mono;
        self.leader_observed();
    }

    pub(crate) fn shared_changes(&mut self, round: u64, response: Option<Response>) {
        if round != self.shared.round {
            return;
        }
        self.shared.busy = false;
        let Some(response) = response else {
            // Cut off or in an outage: what we know may be old, so read it anew.
            let wait = self.rng.u64(100..300);
            return self.reread_shared(wait);
        };
        if response.status != 200 {
            if response.status == 410 {
                return self.reread_shared(0);
            }
            self.shared.retry_at = self.now.mono + self.rng.u64(200..500);
            return;
        }
        let Some(changes) = self.read::<Changes<SharedRecord>>("state service", &response) else {
            return self.reread_shared(1000);
        };
        for change in changes.events {
            if let (Some(key), Some(value)) = (&change.put, change.value) {
                self.shared_put(key, value, change.version);
            } else if change.remove.as_deref() == Some(&records::leader_key(SHARD)) {
                self.shared.leader = None;
            }
        }
        self.shared.revision = self.shared.revision.max(changes.revision);
        self.shared.heard_at = self.now.mono;
        self.leader_observed();
    }

    fn shared_put(&mut self, key: &str, rec: SharedRecord, version: u64) {
        if rec.document.is_some() {
            self.shared.documents.head_seen(key, &rec, version);
        } else if key == records::TOKEN {
            self.shared.highest = self.shared.highest.max(rec.token.unwrap_or(0));
            if version >= self.shared.token_version {
                self.shared.token = rec.token.unwrap_or(0);
                self.shared.token_version = version;
            }
        } else if key == records::CATALOG {
            if let Some(types) = rec.types
                && version >= self.shared.catalog_version
            {
                // Prices move: a leader that has fetched them itself knows better.
                if !self.leads() || self.shared.catalog.is_none() {
                    self.shared.catalog = Some(Catalog { types });
                }
                self.shared.catalog_version = version;
            }
        } else if key == records::leader_key(SHARD)
            && let (Some(node), Some(token), Some(lease)) = (rec.node, rec.token, rec.lease)
        {
            self.shared.leader = Some(ObservedLeader {
                rec: LeaderRecord {
                    node,
                    token,
                    lease,
                    incarnation: rec.incarnation,
                },
                version,
            });
        }
    }

    /// Draws the conclusions from who is the leader now.
    fn leader_observed(&mut self) {
        let mine =
            |o: &ObservedLeader, lease: u64, node: &str| o.rec.node == node && o.rec.lease == lease;
        let node = self.settings.node.clone();
        match self.role {
            Role::Leader { lease, .. }
                if !self
                    .shared
                    .leader
                    .as_ref()
                    .is_some_and(|o| mine(o, lease, &node)) =>
            {
                if self
                    .shared
                    .leader
                    .as_ref()
                    .is_some_and(|o| self.incarnation.is_other_process_of(&o.rec, &node))
                {
                    log::error!(
                        "another process lives under the name {node}; only one of them can serve"
                    );
                }
                self.step_down("another leader, or none, stands in the state service");
            }
            // Our take-over went through although its answer was lost.
            Role::Candidate {
                lease: Some(lease),
                sent,
                ..
            } => {
                if let Some(o) = self.shared.leader.clone().filter(|o| mine(o, lease, &node)) {
                    self.become_leader(lease, sent, o.rec.token, o.version);
                }
            }
            Role::Follower { may_campaign_at } => self.follow(may_campaign_at),
            Role::Leader { .. } | Role::Candidate { .. } => {}
        }
    }

    pub(crate) fn granted(&mut self, asked: u64, response: Option<Response>) {
        let Role::Candidate {
            lease: None,
            sent,
            give_up_at,
            ..
        } = self.role
        else {
            return;
        };
        if sent != asked {
            return;
        }
        let grant = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<Grant>("state service", &r));
        let Some(Grant { lease }) = grant else {
            self.role = Role::Follower {
                may_campaign_at: self.now.mono + self.rng.u64(200..600),
            };
            return;
        };
        let Some((version, former)) = self.replaceable() else {
            self.role = Role::Follower { may_campaign_at: 0 };
            return;
        };
        self.role = Role::Candidate {
            lease: Some(lease),
            sent,
            give_up_at,
            former,
        };
        let token = self.shared.token + 1;
        let leader = self.own_record(token, lease);
        let txn = Transaction {
            conditions: vec![
                Condition {
                    key: records::leader_key(SHARD),
                    version,
                },
                Condition {
                    key: records::TOKEN.into(),
                    version: self.shared.token_version,
                },
            ],
            writes: vec![
                Write::Put {
                    key: records::leader_key(SHARD),
                    value: Box::new(Record::Leader(leader)),
                    lease: Some(lease),
                },
                Write::put(records::TOKEN.into(), Record::Token(TokenRecord { token })),
            ],
        };
        self.writes.take(self.now.mono, 2.0);
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            wire::encode(&txn),
            2000,
            Pending::Take { lease, token },
        );
    }

    pub(crate) fn took(&mut self, asked: u64, token: u64, response: Option<Response>) {
        let Role::Candidate {
            lease: Some(lease),
            sent,
            ..
        } = self.role
        else {
            return;
        };
        if lease != asked {
            return;
        }
        let won = response
            .as_ref()
            .filter(|r| r.status == 200)
            .and_then(|r| wire::decode::<wire::api::Revision>(&r.body).ok());
        match won {
            // The answer was so late that another leader is known to have followed already.
            Some(r)
                if self
                    .shared
                    .leader
                    .as_ref()
                    .is_some_and(|o| o.version > r.revision) =>
            {
                self.role = Role::Follower { may_campaign_at: 0 };
            }
            Some(r) => {
                self.shared.token = token;
                self.shared.token_version = r.revision;
                let rec = self.own_record(token, lease);
                self.shared.leader = Some(ObservedLeader {
                    rec,
                    version: r.revision,
                });
                self.become_leader(lease, sent, token, r.revision);
            }
            // No answer: it may be in place, which a fresh read will show while we still stand.
            None if response.is_none() => self.reread_shared(0),
            None => {
                self.role = Role::Follower {
                    may_campaign_at: self.now.mono + self.rng.u64(50..300),
                };
                self.reread_shared(0);
            }
        }
    }

    fn own_record(&self, token: u64, lease: u64) -> LeaderRecord {
        LeaderRecord {
            node: self.settings.node.clone(),
            token,
            lease,
            incarnation: self.incarnation.mark(),
        }
    }

    fn become_leader(&mut self, lease: u64, renewed: u64, token: u64, version: u64) {
        log::info!("owner of shard {SHARD} with token {token}");
        let now = self.now.mono;
        self.incarnation.leads_now();
        if let Role::Candidate {
            former: Some(former),
            ..
        } = self.role
        {
            // Nothing hangs on it any more. If it is renewed all the same, whoever does so hears that it is over.
            self.end_lease(former);
        }
        self.shared.highest = self.shared.highest.max(token);
        self.role = Role::Leader {
            lease,
            renewed,
            next_renewal: now,
            busy: false,
        };
        self.term += 1;
        self.shared.documents.forget_readings();
        let c = self.settings.cluster.state.clone();
        // The leader does most of the writing; the others keep enough to accept jobs.
        // The leader does most of the writing. What the others write to accept jobs it sees, and leaves room for.
        self.requests.set_rate(c.rps * 0.5);
        self.set_writes(c.write_rps * OWNER_WRITES);
        self.shard = Some(Shard::new(token, version, now, c.value_kb));
        self.start_load();
        let body = wire::peer::encode(&PeerRequest::Leads {
            node: self.settings.node.clone(),
            token,
        });
        for i in 0..self.settings.peers.len() {
            let to = Destination::Peer(i);
            self.send(
                to,
                "POST",
                wire::peer::PATH.into(),
                body.clone(),
                1000,
                Pending::Release,
            );
        }
    }

    /// Another node says that it leads the shard. An earlier leader that lost the state service hears it here first;
    /// its workers would otherwise stay with it, unheard by the new one.
    pub(crate) fn leader_asserted(&mut self, node: String, token: u64) {
        let until = self.now.mono + HINT_MS;
        if !self.has_valid_lease() && self.shard.as_ref().is_some_and(|p| p.token < token) {
            self.step_down("a peer leads the fleet with a higher token");
        }
        let newest = self
            .hint
            .as_ref()
            .is_none_or(|h| h.token <= token || h.until <= self.now.mono);
        if newest && self.settings.peers.iter().any(|p| p.node == node) {
            self.hint = Some(Hint { node, token, until });
        }
    }

    /// The highest token that this node knows of, by itself or from whoever named one as its own last.
    pub(crate) fn highest_token(&self) -> u64 {
        self.shared
            .highest
            .max(self.hint.as_ref().map_or(0, |h| h.token))
    }

    /// The node that workers should heartbeat to.
    pub(crate) fn leader_name(&self) -> Option<String> {
        self.leader_announced().map(|(_, node)| node.to_owned())
    }

    pub(crate) fn leader_token(&self) -> Option<u64> {
        self.leader_announced().map(|(token, _)| token)
    }

    fn leader_announced(&self) -> Option<(u64, &str)> {
        let known = self
            .shared
            .leader
            .as_ref()
            .map(|o| (o.rec.token, o.rec.node.as_str()));
        let said = self.hint.as_ref().filter(|h| h.until > self.now.mono);
        let said = said.map(|h| (h.token, h.node.as_str()));
        known
            .into_iter()
            .chain(said)
            .max_by_key(|(token, _)| *token)
    }

    pub(crate) fn renewed(&mut self, asked: u64, sent: u64, response: Option<Response>) {
        let Role::Leader { lease, renewed, .. } = self.role else {
            return;
        };
        if lease != asked {
            return;
        }
        let now = self.now.mono;
        let every = self.ttl() / 4;
        match response.map(|r| r.status) {
            Some(200) => {
                self.role = Role::Leader {
                    lease,
                    renewed: sent,
                    next_renewal: sent + every,
                    busy: false,
                };
            }
            Some(404) => self.step_down("the lease has ended"),
            _ => {
                let again = now + self.rng.u64(50..200);
                self.role = Role::Leader {
                    lease,
                    renewed,
                    next_renewal: again,
                    busy: false,
                };
            }
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.send(
            Destination::State,
            "DELETE",
            format!("/grants/{lease}"),
            Vec::new(),
            2000,
            Pending::Release,
        );
    }

    /// Gives leadership up, for good unless elected again with a higher token.
    pub(crate) fn step_down(&mut self, why: &str) {
        log::warn!("no longer the leader: {why}");
        if let Role::Leader { lease, .. } = self.role {
            self.end_lease(lease);
        }
        self.role = Role::Follower { may_campaign_at: 0 };
        self.term += 1;
        self.documents_let_go();
        let nodes = self.settings.peers.len() as f64 + 1.0;
        let c = self.settings.cluster.state.clone();
        self.requests.set_rate(c.rps * 0.4 / (nodes - 1.0).max(1.0));
        self.set_writes(c.write_rps * OTHER_WRITES);
        if let Some(shard) = self.shard.take() {
            let mut shard = self.hours_let_go(shard);
            for requester in shard.take_waiters() {
                self.not_now(requester);
            }
        }
        self.reread_shared(0);
    }

    /// Stays out of the next election, so that a better placed node can win it.
    pub(crate) fn stand_aside(&mut self, ms: u64) {
        self.role = Role::Follower {
            may_campaign_at: self.now.mono + ms,
        };
    }
}
