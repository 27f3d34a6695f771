//! Leader election: the leader record is a key attached to a lease in the state service, and each leader takes the next
//! fencing token from a counter that never decreases.
//!
//! A leader holds a *valid* lease while its own clock, with allowance for drift, shows that the lease it last renewed
//! cannot have expired ([`crate::leadership::lease`]). Only then does it start, cancel or answer for jobs.

use crate::leadership::role::{Campaign, CampaignStage, HeldLease, Role};
use crate::leadership::shared_state::ObservedLeader;
use crate::leadership::token_range::TokenRange;
use crate::store::shard::Shard;
use crate::{Destination, Node, Pending};
use std::ops;
use wire::api::{Condition, Grant, GrantRequest, Revision, Transaction, Write};
use wire::http::Response;
use wire::peer::PeerRequest;
use wire::records::{self, LeaderRecord, Record, TokenRecord};

/// This version has a single shard.
pub(crate) const SHARD: records::ShardId = 0;

/// Shares of the state service's request and write rates. The leader's share includes the writes by which other nodes
/// accept jobs; the followers' shares are for those writes. The request share is divided among the followers, the write
/// share is for each of them. The write shares add up to more than 1: when several nodes burst at once, the service
/// rejects some writes, and they are retried.
const LEADER_REQUEST_SHARE: f64 = 0.5;
const FOLLOWER_REQUEST_SHARE: f64 = 0.4;
pub(crate) const LEADER_WRITE_SHARE: f64 = 0.9;
pub(crate) const FOLLOWER_WRITE_SHARE: f64 = 0.3;

/// A candidate gives up its campaign after this time.
const CAMPAIGN_TIMEOUT_MS: u64 = 4000;

/// Timeout of requests to the state service.
const REQUEST_TIMEOUT_MS: u64 = 2000;

/// Timeout of announcements of leadership to peers.
const ANNOUNCE_TIMEOUT_MS: u64 = 1000;

/// Random delay before a campaign, so that the nodes do not all campaign at once.
const CAMPAIGN_DELAY_MS: ops::Range<u64> = 20..250;

/// Delay before the next campaign after one that timed out, was granted no lease, or lost the election.
const CAMPAIGN_TIMEOUT_BACKOFF_MS: ops::Range<u64> = 100..1000;
const NO_LEASE_BACKOFF_MS: ops::Range<u64> = 200..600;
const LOST_ELECTION_BACKOFF_MS: ops::Range<u64> = 50..300;

/// The leader record that a candidate may replace with its own.
struct ReplaceableRecord {
    /// Version of the record; 0 if there is none.
    version: u64,
    /// The lease that the record is attached to.
    lease: Option<u64>,
}

impl Node {
    pub(crate) fn election_tick(&mut self) {
        self.shared_state_tick();
        match self.role {
            Role::Follower { may_campaign_at } => self.check_for_vacancy(may_campaign_at),
            Role::Candidate(campaign) => self.check_campaign_timeout(campaign),
            Role::Leader(lease) => self.renew_lease(lease),
        }
    }

    fn check_campaign_timeout(&mut self, campaign: Campaign) {
        if self.now.mono >= campaign.give_up_at {
            self.back_off(CAMPAIGN_TIMEOUT_BACKOFF_MS);
            self.reread_shared(0);
        }
    }

    /// Becomes a follower that does not campaign before a random delay from `wait` has passed.
    fn back_off(&mut self, wait: ops::Range<u64>) {
        self.role = Role::Follower {
            may_campaign_at: self.now.mono + self.rng.u64(wait),
        };
    }

    /// Campaigns if the shard has no leader, or if its leader is an earlier incarnation of this node.
    fn check_for_vacancy(&mut self, may_campaign_at: u64) {
        let now = self.now.mono;
        let vacant = self.shared.is_current && self.replaceable_record().is_some();
        if vacant && may_campaign_at == 0 && self.shared.leader.is_none() {
            self.back_off(CAMPAIGN_DELAY_MS);
        } else if vacant && now >= may_campaign_at {
            self.campaign();
        } else if !vacant && may_campaign_at != 0 && now >= may_campaign_at {
            self.role = Role::FOLLOWER;
        }
    }

    fn campaign(&mut self) {
        let now = self.now.mono;
        self.role = Role::Candidate(Campaign {
            sent: now,
            give_up_at: now + CAMPAIGN_TIMEOUT_MS,
            stage: CampaignStage::AwaitingLease,
        });
        let body = wire::encode(&GrantRequest {
            ttl_ms: self.lease_ttl_ms(),
        });
        self.send(
            Destination::State,
            "POST",
            "/grants".into(),
            body,
            REQUEST_TIMEOUT_MS,
            Pending::GrantLease { sent: now },
        );
    }

    /// Returns the record that this node may replace; `None` while another node leads.
    fn replaceable_record(&self) -> Option<ReplaceableRecord> {
        let Some(observed) = &self.shared.leader else {
            return Some(ReplaceableRecord {
                version: 0,
                lease: None,
            });
        };
        let may_succeed = self.tuning.heir > 0.0
            && self
                .incarnation
                .may_supersede(&observed.record, &self.settings.node);
        may_succeed.then_some(ReplaceableRecord {
            version: observed.version,
            lease: Some(observed.record.lease),
        })
    }

    /// Reacts to the leader record as it was last read.
    pub(super) fn leader_observed(&mut self) {
        match self.role {
            Role::Leader(lease) => self.check_own_record(lease),
            Role::Candidate(campaign) => self.check_campaign_outcome(campaign),
            Role::Follower { may_campaign_at } => self.check_for_vacancy(may_campaign_at),
        }
    }

    /// Steps down unless the stored leader record is this node's own.
    fn check_own_record(&mut self, lease: HeldLease) {
        let node = &self.settings.node;
        let observed = self.shared.leader.as_ref();
        if observed.is_some_and(|o| o.is_ours(lease.id, node)) {
            return;
        }
        if observed.is_some_and(|o| self.incarnation.is_from_other_incarnation(&o.record, node)) {
            log::error!(
                "another process runs under the node name {node}; only one of them can serve"
            );
        }
        self.step_down("another leader, or none, stands in the state service");
    }

    /// Becomes the leader if the leader record was written although the answer to that write was lost.
    fn check_campaign_outcome(&mut self, campaign: Campaign) {
        let CampaignStage::AwaitingRecord { lease, .. } = campaign.stage else {
            return;
        };
        let observed = self.shared.leader.as_ref();
        let ours = observed.filter(|o| o.is_ours(lease, &self.settings.node));
        if let Some((token, version)) = ours.map(|o| (o.record.token, o.version)) {
            self.become_leader(lease, campaign.sent, token, version);
        }
    }

    /// Handles the answer to the lease request that was sent at `sent`.
    pub(crate) fn grant_answered(&mut self, sent: u64, response: Option<Response>) {
        let Role::Candidate(campaign) = self.role else {
            return;
        };
        if campaign.stage != CampaignStage::AwaitingLease || campaign.sent != sent {
            return;
        }
        let grant = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.decode_answer::<Grant>("state service", &r));
        let Some(Grant { lease }) = grant else {
            return self.back_off(NO_LEASE_BACKOFF_MS);
        };
        let Some(replaceable) = self.replaceable_record() else {
            self.role = Role::FOLLOWER;
            return;
        };
        self.role = Role::Candidate(Campaign {
            stage: CampaignStage::AwaitingRecord {
                lease,
                former: replaceable.lease,
            },
            ..campaign
        });
        self.write_own_record(lease, replaceable.version);
    }

    /// Replaces the leader record and takes a range of tokens from the counter in one transaction, which fails if either has
    /// changed.
    fn write_own_record(&mut self, lease: u64, version: u64) {
        let token = TokenRange::after(self.shared.token).last();
        let leader = self.own_record(token, lease);
        let condition = |key: String, version: u64| Condition { key, version };
        let txn = Transaction {
            conditions: vec![
                condition(records::leader_key(SHARD), version),
                condition(records::TOKEN.into(), self.shared.token_version),
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
        self.writes.take(self.now.mono, txn.writes.len() as f64);
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            wire::encode(&txn),
            REQUEST_TIMEOUT_MS,
            Pending::WriteLeaderRecord { lease, token },
        );
    }

    fn own_record(&self, token: u64, lease: u64) -> LeaderRecord {
        LeaderRecord {
            node: self.settings.node.clone(),
            token,
            lease,
            incarnation: self.incarnation.id(),
        }
    }

    /// Handles the answer to the transaction that attaches this node's leader record to the lease `lease_id`.
    pub(crate) fn takeover_answered(
        &mut self,
        lease_id: u64,
        token: u64,
        response: Option<Response>,
    ) {
        let Role::Candidate(campaign) = self.role else {
            return;
        };
        let CampaignStage::AwaitingRecord { lease, .. } = campaign.stage else {
            return;
        };
        if lease != lease_id {
            return;
        }
        let Some(response) = response else {
            // The write may have succeeded. A new read shows it as long as the campaign lasts.
            return self.reread_shared(0);
        };
        let won = Some(response)
            .filter(|r| r.status == 200)
            .and_then(|r| wire::decode::<Revision>(&r.body).ok());
        let Some(Revision { revision, .. }) = won else {
            self.back_off(LOST_ELECTION_BACKOFF_MS);
            return self.reread_shared(0);
        };
        let observed = self.shared.leader.as_ref();
        if observed.is_some_and(|o| o.version > revision) {
            // The answer came so late that a newer leader record has been read already.
            self.role = Role::FOLLOWER;
            return;
        }
        self.shared.token = token;
        self.shared.token_version = revision;
        self.shared.leader = Some(ObservedLeader {
            record: self.own_record(token, lease),
            version: revision,
        });
        self.become_leader(lease, campaign.sent, token, revision);
    }

    fn become_leader(&mut self, lease: u64, sent: u64, token: u64, version: u64) {
        let tokens = TokenRange::ending_at(token);
        log::info!(
            "leader of shard {SHARD} with token {token}: tokens {} to {token}, lease {lease}, record at revision {version}",
            tokens.first()
        );
        let now = self.now.mono;
        self.incarnation.note_leadership();
        self.revoke_former_lease();
        self.shared.highest_token = self.shared.highest_token.max(token);
        self.role = Role::Leader(HeldLease::new(lease, sent, now));
        self.term += 1;
        self.shared.documents.abandon_reads();
        self.apply_leader_shares();
        self.shard = Some(Shard::new(tokens, version, now, &self.write_limits));
        self.start_recovery();
        self.announce_leadership(token);
    }

    /// Revokes the lease of the earlier incarnation: no record is attached to it any more. A process that still renews
    /// it is told that it no longer exists.
    fn revoke_former_lease(&mut self) {
        if let Role::Candidate(Campaign {
            stage:
                CampaignStage::AwaitingRecord {
                    former: Some(former),
                    ..
                },
            ..
        }) = self.role
        {
            self.revoke_lease(former);
        }
    }

    /// The leader does most of the writing. It watches the writes by which other nodes accept jobs, and deducts them
    /// from its own budget.
    fn apply_leader_shares(&mut self) {
        let rps = self.write_limits.requests_per_s();
        self.requests.set_rate(rps * LEADER_REQUEST_SHARE);
        self.set_write_rate(self.changes_per_s() * LEADER_WRITE_SHARE);
    }

    /// Followers keep enough of the rates to accept jobs.
    fn apply_follower_shares(&mut self) {
        let rps = self.write_limits.requests_per_s();
        let nodes = self.settings.peers.len() as f64 + 1.0;
        self.requests
            .set_rate(rps * FOLLOWER_REQUEST_SHARE / (nodes - 1.0).max(1.0));
        self.set_write_rate(self.changes_per_s() * FOLLOWER_WRITE_SHARE);
    }

    fn announce_leadership(&mut self, token: u64) {
        let body = wire::peer::encode(&PeerRequest::Leads {
            node: self.settings.node.clone(),
            token,
        });
        for peer in 0..self.settings.peers.len() {
            self.send(
                Destination::Peer(peer),
                "POST",
                wire::peer::PATH.into(),
                body.clone(),
                ANNOUNCE_TIMEOUT_MS,
                Pending::IgnoreAnswer,
            );
        }
    }

    /// Gives up leadership. The node leads again only if it is elected again, with a higher token.
    pub(crate) fn step_down(&mut self, why: &str) {
        log::warn!("no longer the leader: {why}");
        if let Role::Leader(lease) = self.role {
            self.revoke_lease(lease.id);
        }
        self.role = Role::FOLLOWER;
        self.term += 1;
        self.abandon_document_changes();
        self.apply_follower_shares();
        if let Some(shard) = self.shard.take() {
            let mut shard = self.abandon_hour_moves(shard);
            for requester in shard.take_waiters() {
                self.answer_undecided(requester);
            }
        }
        self.reread_shared(0);
    }

    /// Does not campaign for `ms` milliseconds, so that a node with better connectivity can win the election.
    pub(crate) fn pause_campaigning(&mut self, ms: u64) {
        self.role = Role::Follower {
            may_campaign_at: self.now.mono + ms,
        };
    }
}
