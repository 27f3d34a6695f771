//! A finite model of leader election, take-over, attestations, lease delegates and the cancellation of one job,
//! explored by `search.rs`.
//!
//! The controllers themselves can't be explored exhaustively: a `control::Node` can be neither copied nor hashed, and
//! one second of its time takes some hundred events. The comment on each step of the model names the code in
//! `crates/control/src` that it represents. What the model leaves out is listed at the end of this comment.
//!
//! Time advances in ticks, and any number of steps may happen within one tick, in any order. Of every point in time the
//! model keeps only its age, up to the age at which it no longer makes a difference, so that the number of states is
//! finite although the number of ticks is not limited. The durations are ordered as in reality: the leader's lease is
//! shorter than a worker's lease, which is shorter than the time that a cancel may take.
//!
//! No step is forced, except for what ends by time (leases, and answers that a worker waits for). A node that is cut
//! off, refused by the state service, frozen or slow, and a message that is lost, therefore need no steps of their own:
//! they are the histories in which a step of that node or message happens late or never. A full outage of the state
//! service has steps, because leases don't expire during it.
//!
//! | in the model | in the code |
//! | --- | --- |
//! | `Node::highest` | `Node::highest_token` (`shared_state`) |
//! | `Node::has_read` | `shared.revision > 0`: this incarnation has read the token counter |
//! | `Role`, `token`, `loaded` | `role::Role`, `Shard::token`, `Shard::loaded` |
//! | `renewed` | `HeldLease::renewed_at`, or `Campaign::sent` |
//! | `last_attested` | `lease_bound::may_renew_worker_leases`: the later of `renewed` and `last_complete_round_at` |
//! | `question_age`, `answered` | `Attestations::asked_at`, `Attestations::answered` |
//! | `knows_cancel` | `Job::is_cancelled_or_ended_before_term`: requested, in flight, recorded, or of an earlier term |
//! | `has_led` | `Incarnation::has_led` |
//! | `Delegation` | `lease_delegate::Delegation` |
//! | `Delegation::excludes_worker` | the worker's machine is in `LeaseDelegation::except` |
//! | `LeaderRecord`, `token_counter` | the leader record with its lease, and the token record (`wire::records`) |
//! | `LeaderRecord::current_incarnation` | the record's `incarnation` is the mark of the node's running process |
//! | `end_recorded` | the `EndRecord` of the job is stored |
//! | `InFlightAnswer` | an answer that a worker waits for, from the leader or forwarded by a peer (`relay`) |
//!
//! An `InFlightAnswer` outlives the process that gave it.
//!
//! Left out:
//! - starts, reaps and proofs of absence; other rules, tested in `standins`, ensure that no task runs twice
//! - zones, so that any node may be the delegate for the one worker's lease
//! - tokens raised because of unexpected numbers, which need a leader with a valid lease
//! - clock drift and the 2 s that allow for workers that check their lease only now and then, for which ticks are too
//!   coarse (`lease_bound` has a test)
//! - direct commands, which renew no lease
//! - more than one worker and more than one job
//! - how long a node waits before it campaigns or asks again, since any step may happen at any time
//!
//! In the model a node never forgets a token that it has heard of. In the code an announcement gives way to a lower one
//! after ten seconds, which is equivalent to never having heard it.

/// The largest number of nodes in a search.
pub const NODES: usize = 3;
/// `[owner] ttl_ms`, `lease_s` and `cancel_s`, in ticks.
#[derive(Debug, Clone, Copy)]
pub struct Durations {
    pub ttl: u8,
    pub lease: u8,
    pub cancel: u8,
}

impl Durations {
    /// `lease_bound::renewal_bound_ms`. A worker's lease ends at the tick at which it is `lease` old, so that a lease
    /// renewed in the last tick of the bound ends exactly when the time for the cancel does.
    fn bound(&self) -> u8 {
        self.cancel - self.lease + 1
    }
}

/// The age of a delegation from which its delegate answers: a quarter of `lease_s`.
const DELEGATE_FROM: u8 = 1;
/// How long a worker waits for an answer: 4 s.
const WORKER_WAIT: u8 = 1;
/// The age of something that has not happened, or too long ago to matter.
const NEVER: u8 = 15;
/// How many transactions may be in flight at once.
const MAX_IN_FLIGHT: usize = 2;

/// A guard that is removed on purpose, to check that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    Original,
    /// `may_renew_worker_leases` without its bound.
    NoBound,
    /// The bound is one tick longer.
    LongBound,
    /// Attestations by more than half of the nodes suffice, instead of all.
    MajorityAttests,
    /// A node that has read nothing attests too.
    UnreadAttests,
    /// A node that has not read the token counter attests by a token that a peer announced.
    HearsayAttests,
    /// Peers attest whatever token they know.
    AttestsAnyToken,
    /// The attestation of all peers counts from the last answer's arrival, not from the question.
    AttestationFromArrival,
    /// `answer_as_delegate` without its bound.
    DelegateNoBound,
    /// A delegation's time counts from its arrival at the delegate, not from the delegate's question.
    DelegateFromArrival,
    /// The delegate also renews the leases of machines with cancelled tasks.
    DelegateKeepsCancelled,
    /// A leader whose lease may have expired still names lease delegates.
    UnsureLeaderDelegates,
    /// A new incarnation writes its leader record with the former token.
    SuccessorKeepsToken,
    /// A new leader renews workers' leases before it has loaded all records.
    RenewsBeforeLoaded,
    /// The leader's last renewal counts from the answer, not from the request.
    RenewedFromAnswer,
    /// Take-overs are guarded by neither the leader record nor the token record.
    NoGuards,
    /// Take-overs lack the guard on the leader record.
    NoLeaderGuard,
    /// Take-overs lack the guard on the token record.
    NoTokenGuard,
    /// A leader trusts its lease for one tick too long.
    LeaseTrustedTooLong,
    /// A cancel is confirmed to the user before it is recorded.
    ConfirmsBeforeCommit,
    /// A leader answers the worker of a cancelled task without a stop order.
    NoStops,
    /// A leader with a valid lease stops a cancelled task only once it knows that the end is recorded, which others may
    /// read earlier.
    StopsAfterCommitAnswer,
    /// A lease delegate goes on although it, or its worker, knows a higher token.
    DelegateIgnoresHigherToken,
    /// A process also replaces a leader record of its own incarnation.
    NoIncarnationCheck,
    /// The end of a job is not guarded by the leader record.
    UnguardedEnd,
}

/// Limits on the faults in a history, which keep the search finite.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub durations: Durations,
    pub nodes: usize,
    pub restarts: u8,
    pub outages: u8,
    /// The highest token that may be issued.
    pub tokens: u8,
    /// Answers to workers, answers to renewals and delegations may be delayed, and transactions may arrive twice.
    /// Without it they arrive in the step that sends them, or never; transactions may be delayed all the same.
    pub late: bool,
    /// No shortcuts (see `ModelState::normalize`): each attestation, delegation and renewal is a step that may be
    /// missing.
    pub unreduced: bool,
    pub mutation: Mutation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    Follower,
    Candidate,
    Leader,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Delegation {
    asked: u8,
    token: u8,
    excludes_worker: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Node {
    has_read: bool,
    highest: u8,
    role: Role,
    token: u8,
    loaded: bool,
    renewed: u8,
    last_attested: u8,
    question_age: u8,
    answered: u8,
    /// Age of a renewal that the state service has carried out and whose answer is in flight.
    renewing: u8,
    knows_cancel: bool,
    /// The node knows that the end is recorded (used by `Mutation::StopsAfterCommitAnswer` alone).
    heard_end: bool,
    has_led: bool,
    delegation: Option<Delegation>,
}

impl Node {
    const NEW: Node = Node {
        has_read: false,
        highest: 0,
        role: Role::Follower,
        token: 0,
        loaded: false,
        renewed: NEVER,
        last_attested: NEVER,
        question_age: NEVER,
        answered: 0,
        renewing: NEVER,
        knows_cancel: false,
        heard_end: false,
        has_led: false,
        delegation: None,
    };

    /// The part of `election::step_down` that concerns the node's own memory.
    fn reset(&mut self) {
        let Node {
            has_read,
            highest,
            has_led,
            delegation,
            ..
        } = *self;
        *self = Node {
            has_read,
            highest,
            has_led,
            delegation,
            ..Node::NEW
        };
    }

    /// `lease::has_valid_lease`.
    fn has_valid_lease(&self, b: &Bounds) -> bool {
        let valid_for = b.durations.ttl + u8::from(b.mutation == Mutation::LeaseTrustedTooLong);
        self.role == Role::Leader && self.renewed < valid_for
    }

    /// `lease::may_decide`.
    fn may_decide(&self, b: &Bounds) -> bool {
        self.loaded && self.has_valid_lease(b)
    }

    /// `lease_bound::may_renew_worker_leases`.
    fn may_renew(&self, b: &Bounds) -> bool {
        let bound = match b.mutation {
            Mutation::NoBound => NEVER + 1,
            Mutation::LongBound => b.durations.bound() + 1,
            _ => b.durations.bound(),
        };
        let loaded = self.loaded || b.mutation == Mutation::RenewsBeforeLoaded;
        loaded
            && self.role == Role::Leader
            && (self.has_valid_lease(b) || self.last_attested < bound)
    }

    /// `lease_bound::attestation_received`: the node knows no higher token, which proves that no later leader has
    /// confirmed a cancel.
    fn attests(&self, token: u8, b: &Bounds) -> bool {
        self.attested_token(b)
            .is_some_and(|t| t <= token || b.mutation == Mutation::AttestsAnyToken)
    }

    /// `lease_delegate::delegation_for`.
    fn may_delegate(&self, b: &Bounds) -> bool {
        match b.mutation {
            Mutation::UnsureLeaderDelegates => self.role == Role::Leader && self.loaded,
            _ => self.may_decide(b),
        }
    }

    /// `PeerStatus::token` in `peer_status::peer_status`: the highest token that a node knows, if it may attest one.
    fn attested_token(&self, b: &Bounds) -> Option<u8> {
        let may = match b.mutation {
            Mutation::UnreadAttests => true,
            Mutation::HearsayAttests => self.has_read || self.highest > 0,
            _ => self.has_read,
        };
        may.then_some(self.highest)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Transaction {
    /// The transaction of `election::write_own_record`. `lease` is the age of the lease that the record will be
    /// attached to, `awaited` whether its sender is still a candidate with it, and `current_incarnation` whether the
    /// process that sent it still runs. `leader` is the token of the leader record that it replaces, 0 for none.
    TakeOver {
        node: u8,
        leader: u8,
        token_counter: u8,
        token: u8,
        lease: u8,
        awaited: bool,
        current_incarnation: bool,
    },
    /// The end of the job, guarded by the leader record of its sender, whose token is `leader`.
    End { leader: u8 },
}

/// The leader record and the age of its lease. The token also serves as the record's version, since no two records have
/// the same token (which is checked).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaderRecord {
    node: u8,
    token: u8,
    lease: u8,
    current_incarnation: bool,
    /// Its node still waits for the answer to its take-over, and will recognise the record as its own.
    awaited: bool,
    /// Its node has sent the DELETE of `lease::revoke_lease`.
    released: bool,
}

/// An answer to a heartbeat in flight to the worker; `sent` is its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InFlightAnswer {
    sent: u8,
    token: u8,
}

/// A delegation in flight from the leader to a lease delegate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InFlightDelegation {
    to: u8,
    delegation: Delegation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ModelState {
    nodes: [Node; NODES],
    state_down: bool,
    record: Option<LeaderRecord>,
    token_counter: u8,
    end_recorded: bool,
    /// A take-over was committed with a token that had been issued before.
    token_reused: bool,
    in_flight: [Option<Transaction>; MAX_IN_FLIGHT],
    delegation_in_flight: Option<InFlightDelegation>,
    /// The highest token that the worker has seen. Its task runs in every state that is explored.
    worker_token: u8,
    worker_lease_age: u8,
    answer_in_flight: Option<InFlightAnswer>,
    /// Age of the first confirmation of the cancel to a user.
    cancel_confirmed: u8,
    restarts: u8,
    outages: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    Outage(bool),
    Lapse,
    Restart(u8),
    Read(u8),
    Campaign(u8),
    AbandonCampaign(u8),
    Comes(u8),
    ComesAgain(u8),
    ComesUnanswered(u8),
    Renew(u8),
    RenewUnanswered(u8),
    RenewAnswered(u8),
    Load(u8),
    Cancel(u8),
    SendEnd(u8),
    ConfirmCancel,
    RequestAttestations(u8),
    Attest(u8, u8),
    AnnounceLeader(u8, u8),
    Delegate(u8, u8),
    DelegateLate(u8, u8),
    DelegationArrives,
    Heartbeat(u8),
    HeartbeatLate(u8),
    AnswerArrives,
}

/// The result of a step.
pub enum Outcome {
    /// The step is not enabled, or changes nothing.
    Unchanged,
    Next(ModelState),
    /// The task has ended in time: no violation can follow.
    TaskEnded,
    Violation(&'static str),
}

/// `Attestations::check_complete`: how many peers have to attest.
fn attestations_needed(b: &Bounds) -> usize {
    if b.mutation == Mutation::MajorityAttests {
        b.nodes / 2
    } else {
        b.nodes - 1
    }
}

fn advance_age(age: &mut u8, most: u8) {
    if *age < most {
        *age += 1;
    }
    if *age >= most {
        *age = NEVER;
    }
}

impl ModelState {
    /// Node 0 leads the fleet and all nodes know it; the task runs; nothing has been cancelled.
    pub fn new(nodes: usize) -> Self {
        let informed = Node {
            has_read: true,
            highest: 1,
            ..Node::NEW
        };
        let leader = Node {
            role: Role::Leader,
            token: 1,
            loaded: true,
            renewed: 0,
            last_attested: 0,
            has_led: true,
            ..informed
        };
        let mut all = [Node::NEW; NODES];
        all[..nodes].fill(informed);
        all[0] = leader;
        let record = LeaderRecord {
            node: 0,
            token: 1,
            lease: 0,
            current_incarnation: true,
            awaited: false,
            released: false,
        };
        ModelState {
            nodes: all,
            state_down: false,
            record: Some(record),
            token_counter: 1,
            end_recorded: false,
            token_reused: false,
            in_flight: [None; MAX_IN_FLIGHT],
            delegation_in_flight: None,
            worker_token: 1,
            worker_lease_age: 0,
            answer_in_flight: None,
            cancel_confirmed: NEVER,
            restarts: 0,
            outages: 0,
        }
    }

    /// All steps, whether or not they are enabled.
    pub fn steps(b: &Bounds) -> Vec<Step> {
        use Step::*;
        let mut all = vec![
            Tick,
            Outage(true),
            Outage(false),
            Lapse,
            ConfirmCancel,
            AnswerArrives,
            DelegationArrives,
        ];
        for i in 0..MAX_IN_FLIGHT as u8 {
            all.extend([Comes(i), ComesUnanswered(i), ComesAgain(i)]);
        }
        let nodes = b.nodes as u8;
        for n in 0..nodes {
            all.extend([
                Restart(n),
                Read(n),
                Campaign(n),
                AbandonCampaign(n),
                Renew(n),
                RenewUnanswered(n),
            ]);
            all.extend([
                RenewAnswered(n),
                Load(n),
                Cancel(n),
                SendEnd(n),
                RequestAttestations(n),
                Heartbeat(n),
                HeartbeatLate(n),
            ]);
            for to in (0..nodes).filter(|to| *to != n) {
                all.extend([
                    Attest(n, to),
                    AnnounceLeader(n, to),
                    Delegate(n, to),
                    DelegateLate(n, to),
                ]);
            }
        }
        all
    }

    /// Takes one step.
    pub fn step(&self, step: Step, b: &Bounds) -> Outcome {
        let mut w = *self;
        let done = match step {
            Step::Tick => return w.tick(b),
            Step::AnswerArrives => w.answer_arrives(),
            Step::Outage(begins) => w.outage(begins, b),
            Step::Lapse => w.lapse(b),
            Step::Restart(n) => w.restart(n, b),
            Step::Read(n) => w.read(n),
            Step::Campaign(n) => w.campaign(n, b),
            Step::AbandonCampaign(n) => w.abandon_campaign(n),
            Step::Comes(i) => w.arrive(i, true, false, b),
            Step::ComesUnanswered(i) => w.arrive(i, false, false, b),
            Step::ComesAgain(i) => b.late && w.arrive(i, false, true, b),
            Step::Renew(n) => w.renew(n, true),
            Step::RenewUnanswered(n) => b.late && w.renew(n, false),
            Step::RenewAnswered(n) => w.renew_answered(n, b),
            Step::Load(n) => w.load(n),
            Step::Cancel(n) => w.cancel(n, b),
            Step::SendEnd(n) => w.send_end(n, b),
            Step::ConfirmCancel => w.confirm_cancel(),
            Step::RequestAttestations(n) => w.request_attestations(n, b),
            Step::Attest(n, peer) => w.attest(n, peer, b),
            Step::AnnounceLeader(n, peer) => w.announce_leader(n, peer, b),
            Step::Delegate(n, peer) => w.delegate(n, peer, false, b),
            Step::DelegateLate(n, peer) => b.late && w.delegate(n, peer, true, b),
            Step::DelegationArrives => w.delegation_arrives(b),
            Step::Heartbeat(n) => w.heartbeat(n, false, b),
            Step::HeartbeatLate(n) => b.late && w.heartbeat(n, true, b),
        };
        if !done {
            return Outcome::Unchanged;
        }
        w.normalize(b);
        match w.violation(b) {
            Some(what) => Outcome::Violation(what),
            None => Outcome::Next(w),
        }
    }

    /// The invariant that this state violates. That cancelled tasks end in time is checked in `tick`.
    fn violation(&self, b: &Bounds) -> Option<&'static str> {
        let valid_leases = self.nodes.iter().filter(|n| n.has_valid_lease(b)).count();
        if valid_leases > 1 {
            return Some("two lives are sure that they own the fleet");
        }
        if self.token_reused {
            return Some("a token is given out twice");
        }
        None
    }

    /// The same state with its nodes sorted, since they are interchangeable, and the former index of each.
    pub fn canonical(&self, b: &Bounds) -> (ModelState, [u8; NODES]) {
        let mut order: [u8; NODES] = std::array::from_fn(|n| n as u8);
        let takes = |n: u8| {
            self.in_flight
                .iter()
                .flatten()
                .any(|t| matches!(t, Transaction::TakeOver { node, .. } if *node == n))
        };
        let asked = |n: u8| self.nodes.map(|other| other.answered >> n & 1);
        let references = |n: u8| {
            (
                self.record.map(|r| r.node == n),
                takes(n),
                self.delegation_in_flight.map(|w| w.to == n),
                asked(n),
            )
        };
        order[..b.nodes].sort_by_key(|n| (self.nodes[*n as usize], references(*n)));
        let mut place = [0; NODES];
        for (to, from) in order.iter().enumerate() {
            place[*from as usize] = to as u8;
        }
        let mut w = ModelState {
            nodes: order.map(|n| self.nodes[n as usize]),
            ..*self
        };
        for node in &mut w.nodes {
            let answered = (0..NODES).filter(|n| node.answered >> n & 1 == 1);
            node.answered = answered.map(|n| 1 << place[n]).sum();
        }
        if let Some(record) = &mut w.record {
            record.node = place[record.node as usize];
        }
        for txn in w.in_flight.iter_mut().flatten() {
            if let Transaction::TakeOver { node, .. } = txn {
                *node = place[*node as usize];
            }
        }
        w.in_flight.sort_unstable();
        if let Some(delegation_in_flight) = &mut w.delegation_in_flight {
            delegation_in_flight.to = place[delegation_in_flight.to as usize];
        }
        (w, order)
    }

    fn node(&mut self, n: u8) -> &mut Node {
        &mut self.nodes[n as usize]
    }

    fn send(&mut self, txn: Transaction) {
        if let Some(free) = self.in_flight.iter_mut().find(|t| t.is_none()) {
            *free = Some(txn);
        }
    }

    /// Makes states equal that have the same future, and takes steps at once that only prolong a task's life.
    ///
    /// Three steps only extend how long leases may be renewed: a renewal of the worker's lease under the token that it
    /// already obeys, the attestation of all peers, and a newer delegation under the same token. Whatever can follow a
    /// state without them can also follow the state with them, so only the latter is explored, and a task that lives
    /// too long is still found. With `Bounds::unreduced` both are explored.
    fn normalize(&mut self, b: &Bounds) {
        for n in 0..b.nodes {
            if !b.unreduced {
                self.attest_at_once(n, b);
                self.delegate_at_once(n, b);
            }
            self.nodes[n].heard_end &= b.mutation == Mutation::StopsAfterCommitAnswer;
            let node = &mut self.nodes[n];
            // An answer to a question that is not newer than the last attestation adds nothing.
            if node.question_age != NEVER
                && node.question_age >= node.last_attested
                && b.mutation != Mutation::AttestationFromArrival
            {
                (node.question_age, node.answered) = (NEVER, 0);
            }
            let excluded = |c: &Delegation| {
                c.excludes_worker && b.mutation != Mutation::DelegateKeepsCancelled
            };
            let highest = if b.mutation == Mutation::DelegateIgnoresHigherToken {
                self.worker_token
            } else {
                self.worker_token.max(node.highest)
            };
            let superseded = |c: &Delegation| c.token < highest;
            node.delegation = node.delegation.filter(|c| !excluded(c) && !superseded(c));
        }
        if !b.unreduced
            && (0..b.nodes as u8).any(|n| self.answer_token(n, b) == Some(self.worker_token))
        {
            self.worker_lease_age = 0;
        }
        for i in 0..MAX_IN_FLIGHT {
            self.in_flight[i] = self.in_flight[i].filter(|t| !self.can_never_commit(t, b));
        }
        self.in_flight.sort_unstable();
        // A candidate whose take-over can no longer arrive has been answered, or gives up.
        for n in 0..b.nodes as u8 {
            let mine = |t: &Transaction| matches!(t, Transaction::TakeOver { node, awaited: true, .. } if *node == n);
            let waits = self.in_flight.iter().flatten().any(mine)
                || self.record.is_some_and(|r| r.node == n && r.awaited);
            if self.node(n).role == Role::Candidate && !waits {
                self.node(n).reset();
            }
        }
    }

    fn attest_at_once(&mut self, n: usize, b: &Bounds) {
        let node = self.nodes[n];
        if node.role != Role::Leader
            || node.last_attested == 0
            || b.mutation == Mutation::AttestationFromArrival
        {
            return;
        }
        let peers = (0..b.nodes).filter(|p| *p != n);
        let attesting = peers
            .filter(|p| self.nodes[*p].attests(node.token, b))
            .count();
        if attesting >= attestations_needed(b) {
            let node = &mut self.nodes[n];
            (node.last_attested, node.question_age, node.answered) = (0, NEVER, 0);
        }
    }

    fn delegate_at_once(&mut self, n: usize, b: &Bounds) {
        let leader = self.nodes[n];
        if !leader.may_delegate(b) || leader.knows_cancel {
            return;
        }
        for (p, peer) in self.nodes.iter_mut().enumerate().take(b.nodes) {
            let replaceable = peer.delegation.is_none_or(|c| c.token == leader.token);
            if p != n && replaceable && peer.highest == leader.token {
                peer.delegation = Some(Delegation {
                    asked: 0,
                    token: leader.token,
                    excludes_worker: false,
                });
            }
        }
    }

    /// Whether the transaction is too late to change anything, since its guards can no longer hold.
    fn can_never_commit(&self, txn: &Transaction, b: &Bounds) -> bool {
        use Mutation::{NoGuards, NoLeaderGuard, NoTokenGuard, SuccessorKeepsToken, UnguardedEnd};
        let current_leader = self.record.map_or(0, |r| r.token);
        match *txn {
            Transaction::End { leader } => {
                self.end_recorded || current_leader != leader && b.mutation != UnguardedEnd
            }
            Transaction::TakeOver {
                leader,
                token_counter,
                ..
            } => {
                let guarded = !matches!(
                    b.mutation,
                    SuccessorKeepsToken | NoGuards | NoLeaderGuard | NoTokenGuard
                );
                guarded && (current_leader != leader || self.token_counter != token_counter)
            }
        }
    }

    fn tick(mut self, b: &Bounds) -> Outcome {
        // The worker's lease ends `lease_s` after the last answered heartbeat was sent.
        self.worker_lease_age += 1;
        if self.worker_lease_age >= b.durations.lease {
            return Outcome::TaskEnded;
        }
        if self.cancel_confirmed != NEVER {
            self.cancel_confirmed += 1;
            if self.cancel_confirmed >= b.durations.cancel {
                return Outcome::Violation("a cancelled task outlives its time");
            }
        }
        if let Some(record) = &mut self.record
            && !self.state_down
        {
            record.lease += 1;
        }
        // The state service ends a lease up to 100 ms late, never early.
        if self.record.is_some_and(|r| r.lease > b.durations.ttl) {
            self.record = None;
        }
        for place in &mut self.in_flight {
            if let Some(Transaction::TakeOver { lease, .. }) = place
                && !self.state_down
            {
                *lease += 1;
                // The state service answers 400 "no such lease".
                if *lease > b.durations.ttl {
                    *place = None;
                }
            }
        }
        for n in &mut self.nodes {
            advance_age(&mut n.renewed, b.durations.ttl + 1);
            advance_age(&mut n.last_attested, b.durations.bound() + 1);
            advance_age(&mut n.question_age, b.durations.bound() + 1);
            advance_age(&mut n.renewing, b.durations.ttl + 1);
            if n.question_age == NEVER {
                n.answered = 0;
            }
            if let Some(c) = &mut n.delegation {
                c.asked += 1;
                if c.asked >= b.durations.bound() {
                    c.asked = b.durations.bound();
                    if b.mutation != Mutation::DelegateNoBound {
                        n.delegation = None;
                    }
                }
            }
        }
        if let Some(delegation_in_flight) = &mut self.delegation_in_flight {
            delegation_in_flight.delegation.asked += 1;
            if delegation_in_flight.delegation.asked >= b.durations.bound()
                && b.mutation != Mutation::DelegateFromArrival
            {
                self.delegation_in_flight = None;
            }
        }
        if self
            .delegation_in_flight
            .is_some_and(|w| w.delegation.asked >= NEVER)
        {
            self.delegation_in_flight = None;
        }
        if let Some(answer_in_flight) = &mut self.answer_in_flight {
            answer_in_flight.sent += 1;
            if answer_in_flight.sent > WORKER_WAIT {
                self.answer_in_flight = None;
            }
        }
        self.normalize(b);
        Outcome::Next(self)
    }

    /// A full outage of the state service begins or ends. At its end all leases get their full time again.
    fn outage(&mut self, begins: bool, b: &Bounds) -> bool {
        if begins == self.state_down || begins && self.outages >= b.outages {
            return false;
        }
        self.state_down = begins;
        self.outages += u8::from(begins);
        if let Some(record) = self.record.as_mut().filter(|_| !begins) {
            record.lease = 0;
        }
        for txn in self.in_flight.iter_mut().flatten().filter(|_| !begins) {
            if let Transaction::TakeOver { lease, .. } = txn {
                *lease = 0;
            }
        }
        true
    }

    /// The leader record's lease ends: by expiry, or by the DELETE of `lease::revoke_lease`, whenever that arrives.
    fn lapse(&mut self, b: &Bounds) -> bool {
        let due = !self.state_down
            && self
                .record
                .is_some_and(|r| r.lease >= b.durations.ttl || r.released);
        if due {
            self.record = None;
        }
        due
    }

    /// The process ends and another starts at once (`Node::new`). What it has sent to the state service remains in
    /// flight, and so does an answer that a peer forwards.
    fn restart(&mut self, n: u8, b: &Bounds) -> bool {
        if self.restarts >= b.restarts {
            return false;
        }
        self.restarts += 1;
        *self.node(n) = Node::NEW;
        if let Some(record) = self.record.as_mut().filter(|r| r.node == n) {
            (record.current_incarnation, record.awaited) = (false, false);
        }
        for txn in self.in_flight.iter_mut().flatten() {
            if let Transaction::TakeOver {
                node,
                awaited,
                current_incarnation,
                ..
            } = txn
                && *node == n
            {
                (*awaited, *current_incarnation) = (false, false);
            }
        }
        if self.delegation_in_flight.is_some_and(|w| w.to == n) {
            self.delegation_in_flight = None;
        }
        true
    }

    /// `shared_state::shared_read_received` or `shared_changes_received`, followed by `election::leader_observed`.
    fn read(&mut self, n: u8) -> bool {
        if self.state_down {
            return false;
        }
        let (token_counter, record) = (self.token_counter, self.record);
        let node = self.node(n);
        let before = *node;
        node.has_read = true;
        node.highest = node.highest.max(token_counter);
        let mine = record.filter(|r| r.node == n && r.current_incarnation);
        match node.role {
            Role::Leader if mine.is_none_or(|r| r.token != node.token) => self.step_down(n),
            // The take-over was committed although its answer was lost.
            Role::Candidate if mine.is_some_and(|r| r.awaited) => self.become_leader(n),
            _ => {}
        }
        *self.node(n) != before
    }

    /// `election::step_down`.
    fn step_down(&mut self, n: u8) {
        let token = self.node(n).token;
        if let Some(record) = self
            .record
            .as_mut()
            .filter(|r| r.node == n && r.current_incarnation && r.token == token)
        {
            record.released = true;
        }
        self.node(n).reset();
    }

    /// `election::check_for_vacancy` and `grant_answered`. A node with an outdated read would send a transaction that
    /// fails; one with a current read sends this transaction, which may arrive late.
    fn campaign(&mut self, n: u8, b: &Bounds) -> bool {
        let node = *self.node(n);
        let room = self.in_flight.contains(&None) && self.token_counter < b.tokens;
        if self.state_down || !room || !node.has_read || node.role != Role::Follower {
            return false;
        }
        // `election::replaceable_record` and `Incarnation::may_supersede`.
        let is_replaceable = |r: &LeaderRecord| {
            !r.current_incarnation && !node.has_led || b.mutation == Mutation::NoIncarnationCheck
        };
        let succeeds = self
            .record
            .is_some_and(|r| r.node == n && is_replaceable(&r));
        if self.record.is_some() && !succeeds {
            return false;
        }
        let leader = self.record.map_or(0, |r| r.token);
        let token_counter = self.token_counter;
        let token = if succeeds && b.mutation == Mutation::SuccessorKeepsToken {
            leader
        } else {
            token_counter + 1
        };
        self.send(Transaction::TakeOver {
            node: n,
            leader,
            token_counter,
            token,
            lease: 0,
            awaited: true,
            current_incarnation: true,
        });
        let node = self.node(n);
        node.highest = node.highest.max(token_counter);
        node.role = Role::Candidate;
        // `Campaign::sent`: when the lease was requested.
        (node.renewed, node.last_attested) = (0, 0);
        true
    }

    /// `election::check_campaign_timeout` after `give_up_at`: the transaction may still arrive.
    fn abandon_campaign(&mut self, n: u8) -> bool {
        if self.node(n).role != Role::Candidate {
            return false;
        }
        for txn in self.in_flight.iter_mut().flatten() {
            if let Transaction::TakeOver { node, awaited, .. } = txn
                && *node == n
            {
                *awaited = false;
            }
        }
        if let Some(record) = self.record.as_mut().filter(|r| r.node == n) {
            record.awaited = false;
        }
        self.node(n).reset();
        true
    }

    /// A transaction arrives at the state service. Its sender may or may not get the answer, and it may arrive again.
    fn arrive(&mut self, i: u8, answered: bool, again: bool, b: &Bounds) -> bool {
        let Some(txn) = self.in_flight[i as usize].filter(|_| !self.state_down) else {
            return false;
        };
        if !again {
            self.in_flight[i as usize] = None;
        }
        match txn {
            Transaction::TakeOver {
                node,
                leader,
                token_counter,
                token,
                lease,
                awaited,
                current_incarnation,
            } => {
                let current_leader = self.record.map_or(0, |r| r.token);
                let leader_ok = current_leader == leader
                    || matches!(b.mutation, Mutation::NoGuards | Mutation::NoLeaderGuard);
                let token_ok = self.token_counter == token_counter
                    || matches!(b.mutation, Mutation::NoGuards | Mutation::NoTokenGuard);
                if !leader_ok || !token_ok {
                    // `election::takeover_answered` with a 409.
                    if answered && awaited && self.node(node).role == Role::Candidate {
                        self.node(node).reset();
                    }
                    return answered || !again;
                }
                self.token_reused = token <= self.token_counter;
                self.record = Some(LeaderRecord {
                    node,
                    token,
                    lease,
                    current_incarnation,
                    awaited,
                    released: false,
                });
                self.token_counter = self.token_counter.max(token);
                if answered && awaited {
                    self.become_leader(node);
                }
            }
            Transaction::End { leader } => {
                let current_leader = self.record.map_or(0, |r| r.token);
                if current_leader == leader || b.mutation == Mutation::UnguardedEnd {
                    self.end_recorded = true;
                    if answered && let Some(n) = self.nodes.iter_mut().find(|n| n.token == leader) {
                        n.heard_end = true;
                    }
                }
            }
        }
        true
    }

    /// `election::become_leader`, with the stored record.
    fn become_leader(&mut self, n: u8) {
        let Some(rec) = &mut self.record else { return };
        rec.awaited = false;
        let token = rec.token;
        let node = self.node(n);
        node.role = Role::Leader;
        node.token = token;
        node.highest = node.highest.max(token);
        node.has_led = true;
        node.loaded = false;
        // A delegation by another leader is not dropped, but ends by time. It is not used while this node leads.
    }

    /// `lease::renewal_answered`. Without `answered` the answer comes later or never.
    fn renew(&mut self, n: u8, answered: bool) -> bool {
        let node = *self.node(n);
        if self.state_down || node.role != Role::Leader || node.renewing != NEVER {
            return false;
        }
        let Some(record) = self
            .record
            .as_mut()
            .filter(|r| r.node == n && r.current_incarnation && r.token == node.token)
        else {
            // 404: the lease has ended.
            if answered {
                self.step_down(n);
            }
            return answered;
        };
        record.lease = 0;
        let node = self.node(n);
        if answered {
            (node.renewed, node.last_attested) = (0, 0);
        } else {
            node.renewing = 0;
        }
        true
    }

    fn renew_answered(&mut self, n: u8, b: &Bounds) -> bool {
        let node = self.node(n);
        if node.role != Role::Leader || node.renewing == NEVER {
            return false;
        }
        let sent = if b.mutation == Mutation::RenewedFromAnswer {
            0
        } else {
            node.renewing
        };
        node.renewing = NEVER;
        node.renewed = node.renewed.min(sent);
        node.last_attested = node.last_attested.min(sent);
        true
    }

    /// `recovery::start_recovery` to `finish_recovery`: everything is read after the node's own leader record was
    /// stored.
    fn load(&mut self, n: u8) -> bool {
        let end_recorded = self.end_recorded;
        let state_down = self.state_down;
        let node = self.node(n);
        if state_down || node.role != Role::Leader || node.loaded {
            return false;
        }
        node.loaded = true;
        // `Ending::BeforeTerm`.
        node.knows_cancel = end_recorded;
        node.heard_end = end_recorded;
        true
    }

    /// `cancellation::cancel`, and the first `send_end`.
    fn cancel(&mut self, n: u8, b: &Bounds) -> bool {
        let node = self.node(n);
        if !node.may_decide(b) || node.knows_cancel {
            return false;
        }
        node.knows_cancel = true;
        if b.mutation == Mutation::ConfirmsBeforeCommit {
            if self.cancel_confirmed == NEVER {
                self.cancel_confirmed = 0;
            }
            return true;
        }
        self.send_end(n, b)
    }

    /// `commit::flush_commit`, also when it sends again after a lost answer.
    fn send_end(&mut self, n: u8, b: &Bounds) -> bool {
        let node = *self.node(n);
        let txn = Transaction::End { leader: node.token };
        let again = self.in_flight.contains(&Some(txn)) || !self.in_flight.contains(&None);
        if !node.may_decide(b) || !node.knows_cancel || self.end_recorded || again {
            return false;
        }
        self.send(txn);
        true
    }

    /// The cancel is confirmed to a user: by the leader whose transaction was answered (`apply::apply`) or verified
    /// (`commit::outcome_probe_answered`), or by any node that reads the record (`query::end_record_received`). Only
    /// the first confirmation matters, so later ones from a node's answer history are left out.
    fn confirm_cancel(&mut self) -> bool {
        let may = self.end_recorded && !self.state_down && self.cancel_confirmed == NEVER;
        if may {
            self.cancel_confirmed = 0;
        }
        may
    }

    /// `peer_status::peer_status_tick` and `lease_bound::begin_attestation_round`.
    fn request_attestations(&mut self, n: u8, b: &Bounds) -> bool {
        let node = self.node(n);
        // With one peer the question and its answer may as well happen at once.
        let newest = node.last_attested == 0 && b.mutation != Mutation::AttestationFromArrival;
        if b.nodes < 3 && !b.unreduced
            || node.role != Role::Leader
            || newest
            || node.question_age == 0
        {
            return false;
        }
        (node.question_age, node.answered) = (0, 0);
        true
    }

    /// A peer answers `PeerRequest::PeerStatus`: `peer_status::peer_status`, then `peer_status_received`,
    /// `attestation_received` and `Attestations::check_complete`.
    fn attest(&mut self, n: u8, peer: u8, b: &Bounds) -> bool {
        let token = self.node(n).token;
        let attests = self.node(peer).attests(token, b);
        let node = self.node(n);
        if node.role != Role::Leader
            || node.question_age == NEVER
            || !attests
            || node.answered >> peer & 1 == 1
        {
            return false;
        }
        node.answered |= 1 << peer;
        if node.answered.count_ones() as usize >= attestations_needed(b) {
            let since = if b.mutation == Mutation::AttestationFromArrival {
                0
            } else {
                node.question_age
            };
            node.last_attested = node.last_attested.min(since);
            (node.question_age, node.answered) = (NEVER, 0);
        }
        true
    }

    /// `shared_state::leadership_claimed`: a peer hears of the leader by `PeerRequest::Leads` or a peer status.
    fn announce_leader(&mut self, n: u8, peer: u8, b: &Bounds) -> bool {
        let leader = *self.node(n);
        let other = self.node(peer);
        if leader.role != Role::Leader || other.highest >= leader.token {
            return false;
        }
        other.highest = leader.token;
        if other.role == Role::Leader && !other.has_valid_lease(b) {
            self.step_down(peer);
        }
        true
    }

    /// The leader answers a peer status with `lease_delegate::delegation_for`; the peer handles it in
    /// `note_delegation`, at once or later.
    fn delegate(&mut self, n: u8, peer: u8, late: bool, b: &Bounds) -> bool {
        let leader = *self.node(n);
        if !leader.may_delegate(b) || late && self.delegation_in_flight.is_some() {
            return false;
        }
        let delegation = Delegation {
            asked: 0,
            token: leader.token,
            excludes_worker: leader.knows_cancel,
        };
        if late {
            self.delegation_in_flight = Some(InFlightDelegation {
                to: peer,
                delegation,
            });
            return true;
        }
        self.note_delegation(peer, delegation, b)
    }

    /// `peer_status::peer_status_received`, which also tells the peer who leads.
    fn note_delegation(&mut self, peer: u8, delegation: Delegation, b: &Bounds) -> bool {
        let node = self.node(peer);
        let before = *node;
        node.delegation = Some(delegation);
        node.highest = node.highest.max(delegation.token);
        if node.role == Role::Leader && node.token < delegation.token && !node.has_valid_lease(b) {
            self.step_down(peer);
        }
        *self.node(peer) != before
    }

    fn delegation_arrives(&mut self, b: &Bounds) -> bool {
        let Some(InFlightDelegation { to, mut delegation }) = self.delegation_in_flight.take()
        else {
            return false;
        };
        if b.mutation == Mutation::DelegateFromArrival {
            delegation.asked = 0;
        }
        self.note_delegation(to, delegation, b)
    }

    /// `heartbeat::heartbeat_received` and `handle_heartbeat`: the token of the answer, or `None` for no answer. An
    /// answer with a stop order would end the task, so only its loss is modelled, which equals no answer.
    fn answer_token(&self, n: u8, b: &Bounds) -> Option<u8> {
        let node = &self.nodes[n as usize];
        if node.role == Role::Leader {
            // `orders_for` and `cancellation_stops`. An end in flight that was not answered counts as recorded.
            let stops = match b.mutation {
                Mutation::NoStops => false,
                Mutation::StopsAfterCommitAnswer => {
                    node.knows_cancel && (node.heard_end || !node.has_valid_lease(b))
                }
                _ => node.knows_cancel,
            };
            return (self.worker_token <= node.token && node.may_renew(b) && !stops)
                .then_some(node.token);
        }
        // `lease_delegate::answer_as_delegate`.
        let delegation = node.delegation?;
        let bound = if b.mutation == Mutation::DelegateNoBound {
            NEVER
        } else {
            b.durations.bound()
        };
        let in_time = (DELEGATE_FROM..bound).contains(&delegation.asked);
        let excludes_worker =
            delegation.excludes_worker && b.mutation != Mutation::DelegateKeepsCancelled;
        let highest = self.worker_token.max(node.highest);
        let below =
            highest > delegation.token && b.mutation != Mutation::DelegateIgnoresHigherToken;
        (in_time && !excludes_worker && !below).then_some(delegation.token)
    }

    /// A heartbeat is answered; the answer arrives in the same step, or later.
    fn heartbeat(&mut self, n: u8, late: bool, b: &Bounds) -> bool {
        // `heartbeat::handle_higher_token`.
        let node = *self.node(n);
        if node.role == Role::Leader && self.worker_token > node.token && !node.has_valid_lease(b) {
            self.step_down(n);
            return true;
        }
        let Some(token) = self.answer_token(n, b) else {
            return false;
        };
        if late {
            let free = self.answer_in_flight.is_none();
            self.answer_in_flight = self
                .answer_in_flight
                .or(Some(InFlightAnswer { sent: 0, token }));
            return free;
        }
        self.apply_answer(0, token)
    }

    /// The worker handles an answer; it drops one with a lower token than it has seen.
    fn apply_answer(&mut self, sent: u8, token: u8) -> bool {
        let before = (self.worker_token, self.worker_lease_age);
        if token >= self.worker_token {
            self.worker_token = token;
            self.worker_lease_age = self.worker_lease_age.min(sent);
        }
        before != (self.worker_token, self.worker_lease_age)
    }

    fn answer_arrives(&mut self) -> bool {
        let Some(InFlightAnswer { sent, token }) = self.answer_in_flight.take() else {
            return false;
        };
        self.apply_answer(sent, token);
        true
    }
}

impl Step {
    /// The step as text, with nodes named by their position in the initial state.
    pub fn named(self, names: &[u8; NODES]) -> String {
        let text = format!("{self:?}");
        let Some((name, args)) = text.trim_end_matches(')').split_once('(') else {
            return text;
        };
        let nodes = !name.starts_with("Comes") && name != "Outage";
        let named = |a: &str| match a.trim().parse::<usize>() {
            Ok(n) if nodes => ["A", "B", "C"][names[n] as usize].to_owned(),
            _ => a.trim().to_owned(),
        };
        let args: Vec<String> = args.split(',').map(named).collect();
        format!("{name}({})", args.join(", "))
    }
}
