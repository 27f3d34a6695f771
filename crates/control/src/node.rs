//! A controller's state, and the dispatch of events and answers to the modules that handle them.

use crate::agents::{relay, routing};
use crate::documents::for_kind;
use crate::event::{Effect, Event, Now};
use crate::frontend;
use crate::jobs::{admission, answer_history, forwarding};
use crate::leadership::role::Role;
use crate::leadership::shared_state::{AnnouncedLeader, SharedState};
use crate::leadership::{election, incarnation, lease_delegate, peer_status};
use crate::models;
use crate::outstanding::Pending;
use crate::overload::{load_shedding, plan_pacing};
use crate::stats::Stats;
use crate::store::rate_budget::TokenBucket;
use crate::store::shard::Shard;
use crate::store::transaction_split::Refusals;
use crate::store::write_limits::WriteLimits;
use crate::store::write_rate::WriteRate;
use crate::tuning::Tuning;
use std::collections::{HashMap, VecDeque};
use wire::api::Catalog;
use wire::http::Response;
use wire::settings::Settings;

/// Share of the state service's request rate that the controllers divide equally until one of them leads.
const STATE_REQUEST_SHARE: f64 = 0.9;
/// Share of the cloud's call rate that a controller may use.
const CLOUD_CALL_SHARE: f64 = 0.8;

/// Share of the memory that cached final job states may take, in bytes per megabyte.
const FINAL_STATE_BYTES_PER_MB: f64 = 1e5;
/// Memory that one final state takes.
const FINAL_STATE_BYTES: f64 = 150.0;

/// Delay before a follower that the state service does not serve reads from it again.
const STATE_REREAD_DELAY_MS: u64 = 300;

/// A controller.
pub struct Node {
    pub(crate) settings: Settings,
    /// The sizes and rates of writes that the state service accepts; records and transactions are built to them.
    pub(crate) write_limits: WriteLimits,
    pub(crate) tuning: Tuning,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Now,
    pub(crate) effects: Vec<Effect>,
    pub(crate) pending: HashMap<u64, Pending>,
    pub(crate) next_tag: u64,
    pub(crate) shared: SharedState,
    pub(crate) role: Role,
    pub(crate) incarnation: incarnation::Incarnation,
    pub(crate) announced_leader: Option<AnnouncedLeader>,
    /// Incremented whenever this node becomes or ceases to be the leader. Answers to requests of an earlier term are
    /// ignored.
    pub(crate) term: u64,
    pub(crate) shard: Option<Shard>,
    /// Remaining budget of requests and writes to the state service.
    pub(crate) requests: TokenBucket,
    pub(crate) writes: TokenBucket,
    pub(crate) cloud: TokenBucket,
    pub(crate) final_states: answer_history::FinalStates,
    pub(crate) answer_history: answer_history::AnswerHistory,
    /// Submissions that the state service was too busy to store, with the time of the next attempt.
    pub(crate) retries: VecDeque<(u64, admission::Submission)>,
    /// When the state service last failed to serve this node, unless it has served it since.
    pub(crate) state_failed_at: Option<u64>,
    /// When the state service last served this node.
    pub(crate) state_served_at: Option<u64>,
    /// The latest status of each peer.
    pub(crate) peer_statuses: peer_status::PeerStatusTable,
    /// How well peers answer forwarded requests.
    pub(crate) responsiveness: forwarding::PeerResponsiveness,
    /// Heartbeats and commands that this node relays between the leader and workers.
    pub(crate) relay: relay::Relay,
    /// Which controllers workers send their heartbeats to.
    pub(crate) routing: routing::Routing,
    pub(crate) plan_pacing: plan_pacing::PlanPacing,
    pub(crate) load_shedding: load_shedding::LoadShedding,
    /// The leader's delegation to renew workers' leases.
    pub(crate) delegation: Option<lease_delegate::Delegation>,
    /// When the catalog of machine types is next requested from the cloud.
    pub(crate) next_catalog_read_at: u64,
    /// When this node last gave up leadership because it heard nothing from most machines.
    pub(crate) stepped_down_for_silence_at: Option<u64>,
    /// Whether there may be changes to write. If not, only ticks check for them.
    pub(crate) may_have_changes: bool,
    /// Whether another front end of this process is open, which has reserved job ids.
    pub(crate) has_other_frontend: bool,
    pub(crate) frontend: frontend::Frontend,
    pub(crate) models: models::Models,
    /// Writes that the state service has refused.
    pub(crate) refusals: Refusals,
    /// The rate of changes that the state service accepts, as inferred from refused writes.
    pub(crate) write_rate: WriteRate,
    pub(crate) stats: Stats,
}

impl Node {
    /// A node that has not read any state yet. All its randomness is derived from `seed`.
    pub fn new(settings: Settings, tuning: Tuning, seed: u64, now: Now) -> Self {
        let cluster = &settings.cluster;
        let write_limits = WriteLimits::of(&settings);
        let nodes = settings.peers.len() as f64 + 1.0;
        let limits = settings.limits();
        let final_states = ((limits.mem_mb * FINAL_STATE_BYTES_PER_MB / FINAL_STATE_BYTES)
            as usize)
            .clamp(1000, 1_000_000);
        Node {
            requests: TokenBucket::new(write_limits.requests_per_s() * STATE_REQUEST_SHARE / nodes),
            writes: TokenBucket::new(cluster.state.write_rps * election::FOLLOWER_WRITE_SHARE),
            cloud: TokenBucket::new(cluster.cloud.rps * CLOUD_CALL_SHARE),
            settings,
            write_limits,
            tuning,
            incarnation: incarnation::Incarnation::new(seed),
            rng: fastrand::Rng::with_seed(seed),
            now,
            effects: Vec::new(),
            pending: HashMap::new(),
            next_tag: 1,
            shared: SharedState::default(),
            role: Role::FOLLOWER,
            announced_leader: None,
            term: 0,
            shard: None,
            final_states: answer_history::FinalStates::new(final_states),
            answer_history: answer_history::AnswerHistory::default(),
            retries: VecDeque::new(),
            state_failed_at: None,
            state_served_at: None,
            peer_statuses: peer_status::PeerStatusTable::default(),
            responsiveness: forwarding::PeerResponsiveness::default(),
            relay: relay::Relay::default(),
            routing: routing::Routing::new(),
            plan_pacing: plan_pacing::PlanPacing::default(),
            load_shedding: load_shedding::LoadShedding::default(),
            delegation: None,
            next_catalog_read_at: 0,
            stepped_down_for_silence_at: None,
            may_have_changes: false,
            has_other_frontend: false,
            frontend: frontend::Frontend::new(),
            models: models::Models::default(),
            refusals: Refusals::default(),
            write_rate: WriteRate::default(),
            stats: Stats::default(),
        }
    }

    /// Sets an initial quota tree, which is stored only if there has never been one.
    pub fn with_first_tree(mut self, spec: Option<quota::Spec>) -> Self {
        self.shared.documents.quota.initial_content = spec;
        self
    }

    /// Sets an initial calendar of release hours.
    pub fn with_first_hours(mut self, spec: Option<::hours::Spec>) -> Self {
        self.shared.documents.hours.initial_content = spec;
        self
    }

    /// Sets initial counties.
    pub fn with_first_counties(mut self, spec: Option<county::Spec>) -> Self {
        self.shared.documents.counties.initial_content = spec;
        self
    }

    /// Sets an initial list of models.
    pub fn with_first_models(mut self, spec: Option<model::Spec>) -> Self {
        self.shared.documents.models.initial_content = spec;
        self
    }

    /// Notes that another front end of this process is open; users cannot use the job ids reserved for it.
    pub fn with_frontend(self) -> Self {
        Node {
            has_other_frontend: true,
            ..self
        }
    }

    /// The sizes and rates of writes that the state service accepts.
    pub fn write_limits(&self) -> &WriteLimits {
        &self.write_limits
    }

    /// This node's counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Handles one event and returns the effects to carry out.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.now = now;
        self.may_have_changes |= matches!(event, Event::Tick);
        match event {
            Event::Client { conn, request } => self.user_request(conn, request),
            Event::Peer { conn, request } => self.peer_request(conn, &request),
            Event::Late { conn } => self.refuse(conn, 429, "busy"),
            Event::Reply { tag, response } => self.reply(tag, response),
            Event::Unsent { tag } => self.unsent(tag),
            Event::Frontend { tag, request } => self.frontend_requested(tag, request),
            Event::Tick => self.tick(),
        }
        self.flush_commit();
        std::mem::take(&mut self.effects)
    }

    /// The interval between ticks, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        if self.shard.is_some() { 50 } else { 100 }
    }

    fn tick(&mut self) {
        self.plan_pacing.record_tick(self.now.mono, self.wait_ms());
        self.election_tick();
        self.routing_tick();
        self.peer_status_tick();
        self.relay_tick();
        self.admission_tick();
        self.waiters_tick();
        self.write_rate_tick();
        self.share_writes();
        self.documents_tick();
        if self.shared.catalog.is_none() || self.leads() {
            self.catalog_tick();
        }
        self.recovery_tick();
        if self.shard.as_ref().is_some_and(|shard| shard.loaded) {
            self.provisioning_tick();
            self.machines_tick();
            self.scheduling_tick();
            self.hours_tick();
            self.county_counts_tick();
            self.audit_tick();
        }
        self.models_tick();
    }

    pub(crate) fn leads(&self) -> bool {
        self.shard.is_some()
    }

    pub(crate) fn catalog(&self) -> Option<&Catalog> {
        self.shared.catalog.as_ref()
    }

    /// Handles a request that was not sent: it cannot take effect later, and its failure says nothing about its
    /// destination.
    fn unsent(&mut self, tag: u64) {
        let term = self.term;
        let Some(pending) = self.pending.remove(&tag) else {
            return;
        };
        match pending {
            Pending::DirectCommand {
                term: sent_in,
                machine,
                serial,
                ..
            } if sent_in == term => {
                self.direct_command_answered(machine, serial, Some(relay::not_sent()))
            }
            Pending::Probe {
                term: sent_in,
                machine,
                serial,
                ..
            } if sent_in == term => self.probe_unsent(machine, serial),
            Pending::RelayedCommand { conn } => self.relayed_command_unsent(conn),
            pending => self.answer_received(pending, None),
        }
    }

    fn reply(&mut self, tag: u64, response: Option<Response>) {
        if let Some(pending) = self.pending.remove(&tag) {
            self.answer_received(pending, response);
        }
    }

    fn answer_received(&mut self, pending: Pending, response: Option<Response>) {
        if pending.shows_state_health() {
            self.note_state_health(response.as_ref());
        }
        self.note_write_refusal(&pending, response.as_ref());
        // Answers to requests of an earlier term of leadership are ignored.
        if pending.term().is_none_or(|term| term == self.term) {
            self.dispatch(pending, response);
        }
    }

    /// Notes a write that the state service refused, as unacceptable (400) or because of its rate limit (429).
    fn note_write_refusal(&mut self, pending: &Pending, response: Option<&Response>) {
        let (Some(kind), Some(refused)) = (pending.transaction_kind(), response) else {
            return;
        };
        match refused.status {
            400 => {
                let why = String::from_utf8_lossy(&refused.body).into_owned();
                self.write_refused(kind, &why);
            }
            429 => self.note_rate_refusal(),
            _ => {}
        }
    }

    /// Notes whether the state service serves this node.
    fn note_state_health(&mut self, response: Option<&Response>) {
        let now = self.now.mono;
        let failed = response.is_none_or(|r| r.status == 503);
        self.state_failed_at = failed.then_some(now);
        if !failed {
            self.state_served_at = Some(now);
        }
        // A follower keeps reading until the service serves it again. The leader's renewals have the same effect.
        if failed && self.shared.is_current && !self.leads() {
            self.reread_shared(STATE_REREAD_DELAY_MS);
        }
    }

    /// Passes an answer to the module that waits for it.
    fn dispatch(&mut self, pending: Pending, response: Option<Response>) {
        match pending {
            Pending::SharedRead => self.shared_read_received(response),
            Pending::SharedWatch { generation } => {
                self.shared_changes_received(generation, response)
            }
            Pending::GrantLease { sent } => self.grant_answered(sent, response),
            Pending::RenewLease { lease, sent } => self.renewal_answered(lease, sent, response),
            Pending::WriteLeaderRecord { lease, token } => {
                self.takeover_answered(lease, token, response)
            }
            Pending::IgnoreAnswer => {}
            Pending::PeerStatus { sent, peer } => self.peer_status_received(sent, peer, response),
            Pending::RelayedHeartbeats { conns } => {
                self.relayed_heartbeats_answered(conns, response)
            }
            Pending::RelayedCommand { conn } => self.relayed_command_answered(conn, response),
            Pending::Accept {
                submission,
                infeasible,
                answer_mark,
            } => self.accept_answered(submission, infeasible, answer_mark, response),
            Pending::ReadLive { lookup } => self.live_record_received(lookup, response),
            Pending::ReadEnd { lookup } => self.end_record_received(lookup, response),
            Pending::PeerQuery { lookup, peer, sent } => {
                self.query_answered(lookup, peer, sent, response)
            }
            Pending::PeerCancel { conn, job } => self.cancel_answered(conn, job, response),
            Pending::Forward {
                forwarded,
                peer,
                sent,
                answer_mark,
            } => self.forward_answered(forwarded, peer, sent, answer_mark, response),
            Pending::Admin { conn } => self.admin_answered(conn, response),
            Pending::Frontend { tag } => self.frontend_answered(tag, response),
            Pending::WakeUp { model, step } => self.wake_up_received(model, step, response),
            Pending::ForwardedDemand { waiter } => self.demand_forwarded(waiter, response),
            Pending::LeaderNotified { model } => self.leader_notified(&model, response),
            Pending::Catalog => self.catalog_received(response),
            Pending::Load { step, .. } => self.load_received(step, response),
            Pending::Audit { record_set, .. } => self.audit_received(record_set, response),
            Pending::CounterSheets { .. } => self.counter_sheets_received(response),
            Pending::Models { .. } => self.models_received(response),
            Pending::ModelWatch { .. } => self.model_changes_received(response),
            Pending::ModelWrite { model, .. } => self.model_written(model, response),
            Pending::Parts { kind, .. } => {
                for_kind!(kind, K => self.parts_received::<K>(response))
            }
            Pending::LiveWatch { .. } => self.live_changes_received(response),
            Pending::Commit { .. } => self.commit_answered(response),
            Pending::ProbeOutcome { .. } => self.outcome_probe_answered(response),
            Pending::List { .. } => self.list_received(response),
            Pending::RentMachines { name, .. } => self.rental_answered(name, response),
            Pending::ReturnMachines { machines, .. } => self.return_answered(machines, response),
            Pending::DirectCommand {
                machine,
                serial,
                via,
                ..
            } => self.direct_command_answered(machine, serial, unwrap_relayed(response, via)),
            Pending::Probe {
                machine,
                serial,
                via,
                ..
            } => self.probe_answered(machine, serial, unwrap_relayed(response, via)),
        }
    }
}

/// A worker's answer, extracted from the peer's answer if it was relayed by one.
fn unwrap_relayed(response: Option<Response>, via: bool) -> Option<Response> {
    if via {
        relay::relayed_answer(response)
    } else {
        response
    }
}
