//! Ownership, take-over, vouching, lease delegates and one cancel as a model of small numbers, for `search.rs`.
//!
//! The controllers themselves can't be searched: a `control::Node` has neither a copy nor a hash, and one second of
//! its time takes some hundred events. So this is a model, and each of its steps names what it stands for in
//! `crates/control/src`. What it leaves out is said at the end of this page.
//!
//! Time goes in ticks, in which any number of steps may come in any order. All that is kept of a moment is its age, up
//! to where it makes no difference any more, so that the worlds are finitely many without a last tick. The lengths
//! stand in their real order: the leader's lease is shorter than a worker's, and that shorter than what a cancel may
//! take.
//!
//! Steps are never forced, but for what ends by time (leases, answers that a worker waits for). So a node that is cut
//! off, refused by the state service, frozen or slow, and a message that is lost, need no steps of their own: they are
//! the histories in which a node's or message's step comes late or never. An outage for all has steps, since leases
//! don't end in it.
//!
//! | in the model | in the code |
//! | --- | --- |
//! | `Node::highest`, `has_read` | `Node::highest_token` (`shared_state`), and `shared.revision > 0`, which is the same as to have read the counter in this life |
//! | `Role`, `token`, `loaded` | `role::Role`, `Shard::token`, `Shard::loaded` |
//! | `renewed` | `HeldLease::renewed`, or `Campaign::sent` |
//! | `known` | the later of `renewed` and `Attestations::complete_at`, in `Node::may_renew` (`lease_bound`) |
//! | `ask`, `answered` | `Attestations::asked`, `Attestations::answered` |
//! | `knows` | the job is `Job::is_unwanted` (`jobs`): wanted, on its way, recorded, or ended before |
//! | `owned` | `Incarnation::has_led` |
//! | `Delegation` | `lease_delegate::Delegation`; `except` is whether the worker's machine is in `LeaseDelegation::except` |
//! | `Rec`, `counter` | the leader record with its lease, and the token record (`wire::records`) |
//! | `Rec::own_life` | the record's `incarnation` is the mark of its node's present life (`incarnation`) |
//! | `ended` | the `EndRecord` of the job stands |
//! | `Out` | an answer that a worker waits for, its leader's own or by way of a peer (`relay`): it outlives who gave it |
//!
//! Left out: starts, reaps and proofs of absence (no task runs twice by other rules, played in `standins`); zones, so
//! that any node may keep the one worker's lease; tokens raised for stray numbers, which need a sure leader; the drift of
//! clocks and the 2 s for workers that look now and then, for which ticks are too coarse (`lease_bound` has a test); direct
//! commands, which renew nothing; more than one worker and job; how long a node waits before it stands or asks again,
//! since any step may come at any time. What a node hears of tokens is never unsaid here; in the code an announcement gives way
//! to a lower one after ten seconds, which is as if it had not been heard.

/// Most nodes.
pub const NODES: usize = 3;
/// `[leader] ttl_ms`, `lease_s` and `cancel_s`, in ticks.
#[derive(Debug, Clone, Copy)]
pub struct Lengths {
    pub ttl: u8,
    pub lease: u8,
    pub cancel: u8,
}

impl Lengths {
    /// `renewal::bound_ms`. A worker's lease is over at the tick at which it is `lease` old, so that an answer at the
    /// last tick of the bound ends with the cancel's time, to the tick.
    fn bound(&self) -> u8 {
        self.cancel - self.lease + 1
    }
}

/// A lease delegate's first answer: a quarter of `lease_s`.
const KEEP_FROM: u8 = 1;
/// Workers wait 4 s for an answer.
const PATIENCE: u8 = 1;
/// No moment, or one that is too long ago to matter.
const NEVER: u8 = 15;
/// Transactions that may be under way at once.
const ON_THE_WAY: usize = 2;

/// A guard that is taken out on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// `may_renew` without its bound.
    NoBound,
    /// The bound is one tick longer.
    LongBound,
    /// More than half of the nodes vouch, instead of all.
    Majority,
    /// Who has read nothing attestations too.
    CountsUnread,
    /// Who has not read the counter, but was told of a token, attestations by that.
    CountsHearsay,
    /// Peers vouch whatever token they know.
    VouchesForAnyToken,
    /// What all have vouched for counts from the last word's arrival, not from the question.
    VouchesFromArrival,
    /// `keeps` without its bound.
    KeeperNoBound,
    /// A lease delegate's time runs from when the leader's word came.
    KeeperFromArrival,
    /// Machines with something cancelled are kept too.
    KeepsCancelled,
    /// A node names lease delegates by its record, though it is no longer sure of its lease.
    UnsureCharges,
    /// A new life writes its record under the former token.
    HeirKeepsToken,
    /// A new leader renews before everything is read.
    EarlyAnswer,
    /// The last renewal counts from its answer, not from its sending.
    RenewedFromAnswer,
    /// Take-overs are not guarded by the leader record, nor by the token's.
    NoGuards,
    /// Only the guard on the leader record is missing.
    NoLeaderGuard,
    /// Only the guard on the token is missing.
    NoTokenGuard,
    /// A leader is sure for a tick longer than its lease.
    SureTooLong,
    /// The cancel is told before it is recorded.
    TellsFirst,
    /// What an unsure leader's own users have cancelled is renewed without a stop.
    NoStops,
    /// A sure leader stops what was cancelled only once it has heard that the end is recorded: others may read it before.
    WaitsForAnswer,
    /// A lease delegate does not mind that it, or its worker, knows a higher token.
    KeepsBelow,
    /// A life takes over from its own record too.
    NoMark,
    /// The end of a job is not guarded by the leader record.
    UnguardedEnd,
}

/// How much may go wrong, so that the search ends.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub lengths: Lengths,
    pub nodes: usize,
    pub restarts: u8,
    pub outages: u8,
    /// The highest token that may be given out.
    pub tokens: u8,
    /// Answers to workers, answers to renewals and words to lease delegates may be under way while all else goes on, and
    /// transactions may come twice. Without it they come in the step in which they are given, or never; transactions
    /// may be late all the same.
    pub late: bool,
    /// Nothing is taken at once (`World::tidy`): each word, charge and renewal is a step that may be missing.
    pub literal: bool,
    pub planted: Planted,
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
    except: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Node {
    has_read: bool,
    highest: u8,
    role: Role,
    token: u8,
    loaded: bool,
    renewed: u8,
    known: u8,
    ask: u8,
    answered: u8,
    /// Age of a renewal that the state service has carried out and whose answer is under way.
    renewing: u8,
    knows: bool,
    /// It has heard that the end stands (looked at with `Planted::WaitsForAnswer` alone).
    heard: bool,
    owned: bool,
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
        known: NEVER,
        ask: NEVER,
        answered: 0,
        renewing: NEVER,
        knows: false,
        heard: false,
        owned: false,
        delegation: None,
    };

    /// `election::step_down`, of what the node itself remembers.
    fn gives_up(&mut self) {
        let Node {
            has_read,
            highest,
            owned,
            delegation,
            ..
        } = *self;
        *self = Node {
            has_read,
            highest,
            owned,
            delegation,
            ..Node::NEW
        };
    }

    /// `election::sure`.
    fn sure(&self, b: &Bounds) -> bool {
        let incarnation = b.lengths.ttl + u8::from(b.planted == Planted::SureTooLong);
        self.role == Role::Leader && self.renewed < incarnation
    }

    /// `election::decides`.
    fn decides(&self, b: &Bounds) -> bool {
        self.loaded && self.sure(b)
    }

    /// `renewal::may_renew`.
    fn may_renew(&self, b: &Bounds) -> bool {
        let bound = match b.planted {
            Planted::NoBound => NEVER + 1,
            Planted::LongBound => b.lengths.bound() + 1,
            _ => b.lengths.bound(),
        };
        let loaded = self.loaded || b.planted == Planted::EarlyAnswer;
        loaded && self.role == Role::Leader && (self.sure(b) || self.known < bound)
    }

    /// `word_came`: what it says of tokens proves that nobody above this one has told of a cancel.
    fn vouches_for(&self, token: u8, b: &Bounds) -> bool {
        self.word(b)
            .is_some_and(|t| t <= token || b.planted == Planted::VouchesForAnyToken)
    }

    /// `lease delegate::delegation_for`.
    fn charges(&self, b: &Bounds) -> bool {
        match b.planted {
            Planted::UnsureCharges => self.role == Role::Leader && self.loaded,
            _ => self.decides(b),
        }
    }

    /// `PeerStatus::token` in `peer_statuses::peer_status`: what a node says of tokens, if it may say anything.
    fn word(&self, b: &Bounds) -> Option<u8> {
        let may = match b.planted {
            Planted::CountsUnread => true,
            Planted::CountsHearsay => self.has_read || self.highest > 0,
            _ => self.has_read,
        };
        may.then_some(self.highest)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Transaction {
    /// The transaction of `election::granted`. `lease` is the age of the lease that the record is to be put on;
    /// `awaited` whether its node still stands for it, `own_life` whether that life goes on.
    Take {
        node: u8,
        leader: u8,
        counter: u8,
        token: u8,
        lease: u8,
        awaited: bool,
        own_life: bool,
    },
    /// The end of the job (`commit::Draft::end`), guarded by its sender's leader record.
    End { leader: u8 },
}

/// The leader record and its lease. Its token stands for its version too, since no two have the same (which is checked).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rec {
    node: u8,
    token: u8,
    lease: u8,
    own_life: bool,
    /// Its node still waits for the answer to its take-over, and will know the record for its own.
    awaited: bool,
    /// Its node has sent the DELETE of `election::end_lease`.
    released: bool,
}

/// An answer to a report on its way to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Out {
    sent: u8,
    token: u8,
}

/// The word of a leader on its way to a lease delegate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Word {
    to: u8,
    delegation: Delegation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct World {
    nodes: [Node; NODES],
    out: bool,
    rec: Option<Rec>,
    counter: u8,
    ended: bool,
    /// A take-over came in under a token that had been given out before.
    twice: bool,
    way: [Option<Transaction>; ON_THE_WAY],
    word: Option<Word>,
    /// The worker: its task is there as long as the world is looked at.
    obeys: u8,
    lease: u8,
    answer: Option<Out>,
    /// Age of the first confirmation of the cancel.
    told: u8,
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
    Stand(u8),
    GiveUp(u8),
    Comes(u8),
    ComesAgain(u8),
    ComesUnanswered(u8),
    Renew(u8),
    RenewUnanswered(u8),
    RenewAnswered(u8),
    Load(u8),
    Cancel(u8),
    SendEnd(u8),
    Tell,
    Ask(u8),
    Vouch(u8, u8),
    Leads(u8, u8),
    Delegation(u8, u8),
    ChargeLate(u8, u8),
    ChargeComes,
    Report(u8),
    ReportLate(u8),
    AnswerComes,
}

/// What comes of a step.
pub enum After {
    /// It can't come now, or changes nothing.
    Nothing,
    World(World),
    /// The task is gone in time: nothing can break any more.
    Gone,
    Broken(&'static str),
}

/// `Attestations::note`: how many peers have to vouch.
fn vouches_needed(b: &Bounds) -> usize {
    if b.planted == Planted::Majority {
        b.nodes / 2
    } else {
        b.nodes - 1
    }
}

fn older(age: &mut u8, most: u8) {
    if *age < most {
        *age += 1;
    }
    if *age >= most {
        *age = NEVER;
    }
}

impl World {
    /// Node 0 leads the fleet and all know it; the task runs; nobody has cancelled anything.
    pub fn new(nodes: usize) -> Self {
        let knows = Node {
            has_read: true,
            highest: 1,
            ..Node::NEW
        };
        let leader = Node {
            role: Role::Leader,
            token: 1,
            loaded: true,
            renewed: 0,
            known: 0,
            owned: true,
            ..knows
        };
        let mut all = [Node::NEW; NODES];
        all[..nodes].fill(knows);
        all[0] = leader;
        let rec = Rec {
            node: 0,
            token: 1,
            lease: 0,
            own_life: true,
            awaited: false,
            released: false,
        };
        World {
            nodes: all,
            out: false,
            rec: Some(rec),
            counter: 1,
            ended: false,
            twice: false,
            way: [None; ON_THE_WAY],
            word: None,
            obeys: 1,
            lease: 0,
            answer: None,
            told: NEVER,
            restarts: 0,
            outages: 0,
        }
    }

    /// All steps that may come next, whether or not they can.
    pub fn steps(b: &Bounds) -> Vec<Step> {
        use Step::*;
        let mut all = vec![
            Tick,
            Outage(true),
            Outage(false),
            Lapse,
            Tell,
            AnswerComes,
            ChargeComes,
        ];
        for i in 0..ON_THE_WAY as u8 {
            all.extend([Comes(i), ComesUnanswered(i), ComesAgain(i)]);
        }
        let nodes = b.nodes as u8;
        for n in 0..nodes {
            all.extend([
                Restart(n),
                Read(n),
                Stand(n),
                GiveUp(n),
                Renew(n),
                RenewUnanswered(n),
            ]);
            all.extend([
                RenewAnswered(n),
                Load(n),
                Cancel(n),
                SendEnd(n),
                Ask(n),
                Report(n),
                ReportLate(n),
            ]);
            for to in (0..nodes).filter(|to| *to != n) {
                all.extend([
                    Vouch(n, to),
                    Leads(n, to),
                    Delegation(n, to),
                    ChargeLate(n, to),
                ]);
            }
        }
        all
    }

    /// One step, and what stands afterwards.
    pub fn step(&self, step: Step, b: &Bounds) -> After {
        let mut w = *self;
        let done = match step {
            Step::Tick => return w.tick(b),
            Step::AnswerComes => w.answer_comes(),
            Step::Outage(begins) => w.outage(begins, b),
            Step::Lapse => w.lapse(b),
            Step::Restart(n) => w.restart(n, b),
            Step::Read(n) => w.read(n),
            Step::Stand(n) => w.stand(n, b),
            Step::GiveUp(n) => w.give_up(n),
            Step::Comes(i) => w.comes(i, true, false, b),
            Step::ComesUnanswered(i) => w.comes(i, false, false, b),
            Step::ComesAgain(i) => b.late && w.comes(i, false, true, b),
            Step::Renew(n) => w.renew(n, true),
            Step::RenewUnanswered(n) => b.late && w.renew(n, false),
            Step::RenewAnswered(n) => w.renew_answered(n, b),
            Step::Load(n) => w.load(n),
            Step::Cancel(n) => w.cancel(n, b),
            Step::SendEnd(n) => w.send_end(n, b),
            Step::Tell => w.tell(),
            Step::Ask(n) => w.ask(n, b),
            Step::Vouch(n, peer) => w.vouch(n, peer, b),
            Step::Leads(n, peer) => w.leads(n, peer, b),
            Step::Delegation(n, peer) => w.delegation(n, peer, false, b),
            Step::ChargeLate(n, peer) => b.late && w.delegation(n, peer, true, b),
            Step::ChargeComes => w.charge_comes(b),
            Step::Report(n) => w.report(n, false, b),
            Step::ReportLate(n) => b.late && w.report(n, true, b),
        };
        if !done {
            return After::Nothing;
        }
        w.tidy(b);
        match w.broken(b) {
            Some(what) => After::Broken(what),
            None => After::World(w),
        }
    }

    /// What must never be, beside a cancelled task that lives too long (`tick`).
    fn broken(&self, b: &Bounds) -> Option<&'static str> {
        let sure = self.nodes.iter().filter(|n| n.sure(b)).count();
        if sure > 1 {
            return Some("two lives are sure that they own the fleet");
        }
        if self.twice {
            return Some("a token is given out twice");
        }
        None
    }

    /// The same with its nodes in order, since they are alike but for what they know; and where each was before.
    pub fn canonical(&self, b: &Bounds) -> (World, [u8; NODES]) {
        let mut order: [u8; NODES] = std::array::from_fn(|n| n as u8);
        let takes = |n: u8| {
            self.way
                .iter()
                .flatten()
                .any(|t| matches!(t, Transaction::Take { node, .. } if *node == n))
        };
        let asked = |n: u8| self.nodes.map(|other| other.answered >> n & 1);
        let of = |n: u8| {
            (
                self.rec.map(|r| r.node == n),
                takes(n),
                self.word.map(|w| w.to == n),
                asked(n),
            )
        };
        order[..b.nodes].sort_by_key(|n| (self.nodes[*n as usize], of(*n)));
        let mut place = [0; NODES];
        for (to, from) in order.iter().enumerate() {
            place[*from as usize] = to as u8;
        }
        let mut w = World {
            nodes: order.map(|n| self.nodes[n as usize]),
            ..*self
        };
        for node in &mut w.nodes {
            let answered = (0..NODES).filter(|n| node.answered >> n & 1 == 1);
            node.answered = answered.map(|n| 1 << place[n]).sum();
        }
        if let Some(rec) = &mut w.rec {
            rec.node = place[rec.node as usize];
        }
        for txn in w.way.iter_mut().flatten() {
            if let Transaction::Take { node, .. } = txn {
                *node = place[*node as usize];
            }
        }
        w.way.sort_unstable();
        if let Some(word) = &mut w.word {
            word.to = place[word.to as usize];
        }
        (w, order)
    }

    fn node(&mut self, n: u8) -> &mut Node {
        &mut self.nodes[n as usize]
    }

    fn send(&mut self, txn: Transaction) {
        if let Some(free) = self.way.iter_mut().find(|t| t.is_none()) {
            *free = Some(txn);
        }
    }

    /// Makes worlds alike that can't differ in what follows, and takes at once what only helps a task to live.
    ///
    /// A renewal of the worker's lease under the token that it obeys already, the word of all peers, and a charge that
    /// is newer than the lease delegate's under the same token change nothing but how long answers may go on. Whatever can come
    /// of a world without them can come of the one with them, so the latter alone is looked at, and a task that lives
    /// too long is found all the same; `Bounds::literal` looks at both.
    fn tidy(&mut self, b: &Bounds) {
        for n in 0..b.nodes {
            if !b.literal {
                self.vouch_at_once(n, b);
                self.charge_at_once(n, b);
            }
            self.nodes[n].heard &= b.planted == Planted::WaitsForAnswer;
            let node = &mut self.nodes[n];
            // A word that comes for an older question adds nothing.
            if node.ask != NEVER
                && node.ask >= node.known
                && b.planted != Planted::VouchesFromArrival
            {
                (node.ask, node.answered) = (NEVER, 0);
            }
            let useless = |c: &Delegation| c.except && b.planted != Planted::KeepsCancelled;
            let highest = if b.planted == Planted::KeepsBelow {
                self.obeys
            } else {
                self.obeys.max(node.highest)
            };
            let overtaken = |c: &Delegation| c.token < highest;
            node.delegation = node.delegation.filter(|c| !useless(c) && !overtaken(c));
        }
        if !b.literal && (0..b.nodes as u8).any(|n| self.answers(n, b) == Some(self.obeys)) {
            self.lease = 0;
        }
        for i in 0..ON_THE_WAY {
            self.way[i] = self.way[i].filter(|t| !self.is_doomed(t, b));
        }
        self.way.sort_unstable();
        // Whoever stands for nothing that may still come is given an answer, or gives up.
        for n in 0..b.nodes as u8 {
            let mine = |t: &Transaction| matches!(t, Transaction::Take { node, awaited: true, .. } if *node == n);
            let waits = self.way.iter().flatten().any(mine)
                || self.rec.is_some_and(|r| r.node == n && r.awaited);
            if self.node(n).role == Role::Candidate && !waits {
                self.node(n).gives_up();
            }
        }
    }

    fn vouch_at_once(&mut self, n: usize, b: &Bounds) {
        let node = self.nodes[n];
        if node.role != Role::Leader || node.known == 0 || b.planted == Planted::VouchesFromArrival
        {
            return;
        }
        let peers = (0..b.nodes).filter(|p| *p != n);
        let vouching = peers
            .filter(|p| self.nodes[*p].vouches_for(node.token, b))
            .count();
        if vouching >= vouches_needed(b) {
            let node = &mut self.nodes[n];
            (node.known, node.ask, node.answered) = (0, NEVER, 0);
        }
    }

    fn charge_at_once(&mut self, n: usize, b: &Bounds) {
        let leader = self.nodes[n];
        if !leader.charges(b) || leader.knows {
            return;
        }
        for (p, peer) in self.nodes.iter_mut().enumerate().take(b.nodes) {
            let older = peer.delegation.is_none_or(|c| c.token == leader.token);
            if p != n && older && peer.highest == leader.token {
                peer.delegation = Some(Delegation {
                    asked: 0,
                    token: leader.token,
                    except: false,
                });
            }
        }
    }

    /// What comes too late to change anything, since its guards can't hold any more.
    fn is_doomed(&self, txn: &Transaction, b: &Bounds) -> bool {
        use Planted::{HeirKeepsToken, NoGuards, NoLeaderGuard, NoTokenGuard, UnguardedEnd};
        let stands = self.rec.map_or(0, |r| r.token);
        match *txn {
            Transaction::End { leader } => {
                self.ended || stands != leader && b.planted != UnguardedEnd
            }
            Transaction::Take {
                leader, counter, ..
            } => {
                let guarded = !matches!(
                    b.planted,
                    HeirKeepsToken | NoGuards | NoLeaderGuard | NoTokenGuard
                );
                guarded && (stands != leader || self.counter != counter)
            }
        }
    }

    fn tick(mut self, b: &Bounds) -> After {
        // A renewal's last moment: `lease_s` after the sending of the last report that was answered.
        self.lease += 1;
        if self.lease >= b.lengths.lease {
            return After::Gone;
        }
        if self.told != NEVER {
            self.told += 1;
            if self.told >= b.lengths.cancel {
                return After::Broken("a cancelled task outlives its time");
            }
        }
        if let Some(rec) = &mut self.rec
            && !self.out
        {
            rec.lease += 1;
        }
        // It ends up to 100 ms late, never early.
        if self.rec.is_some_and(|r| r.lease > b.lengths.ttl) {
            self.rec = None;
        }
        for place in &mut self.way {
            if let Some(Transaction::Take { lease, .. }) = place
                && !self.out
            {
                *lease += 1;
                // 400 "no such lease".
                if *lease > b.lengths.ttl {
                    *place = None;
                }
            }
        }
        for n in &mut self.nodes {
            older(&mut n.renewed, b.lengths.ttl + 1);
            older(&mut n.known, b.lengths.bound() + 1);
            older(&mut n.ask, b.lengths.bound() + 1);
            older(&mut n.renewing, b.lengths.ttl + 1);
            if n.ask == NEVER {
                n.answered = 0;
            }
            if let Some(c) = &mut n.delegation {
                c.asked += 1;
                if c.asked >= b.lengths.bound() {
                    c.asked = b.lengths.bound();
                    if b.planted != Planted::KeeperNoBound {
                        n.delegation = None;
                    }
                }
            }
        }
        if let Some(word) = &mut self.word {
            word.delegation.asked += 1;
            if word.delegation.asked >= b.lengths.bound() && b.planted != Planted::KeeperFromArrival
            {
                self.word = None;
            }
        }
        if self.word.is_some_and(|w| w.delegation.asked >= NEVER) {
            self.word = None;
        }
        if let Some(answer) = &mut self.answer {
            answer.sent += 1;
            if answer.sent > PATIENCE {
                self.answer = None;
            }
        }
        self.tidy(b);
        After::World(self)
    }

    /// The state service answers nobody, or everybody again: then leases have their full time.
    fn outage(&mut self, begins: bool, b: &Bounds) -> bool {
        if begins == self.out || begins && self.outages >= b.outages {
            return false;
        }
        self.out = begins;
        self.outages += u8::from(begins);
        if let Some(rec) = self.rec.as_mut().filter(|_| !begins) {
            rec.lease = 0;
        }
        for txn in self.way.iter_mut().flatten().filter(|_| !begins) {
            if let Transaction::Take { lease, .. } = txn {
                *lease = 0;
            }
        }
        true
    }

    /// The leader record's lease ends: in its time, or by the DELETE of `election::end_lease`, whenever that comes.
    fn lapse(&mut self, b: &Bounds) -> bool {
        let due = !self.out
            && self
                .rec
                .is_some_and(|r| r.lease >= b.lengths.ttl || r.released);
        if due {
            self.rec = None;
        }
        due
    }

    /// The process ends, and another begins at once (`Node::new`). What it has sent to the state service is still on
    /// its way, and so is an answer that it gave by way of a relay.
    fn restart(&mut self, n: u8, b: &Bounds) -> bool {
        if self.restarts >= b.restarts {
            return false;
        }
        self.restarts += 1;
        *self.node(n) = Node::NEW;
        if let Some(rec) = self.rec.as_mut().filter(|r| r.node == n) {
            (rec.own_life, rec.awaited) = (false, false);
        }
        for txn in self.way.iter_mut().flatten() {
            if let Transaction::Take {
                node,
                awaited,
                own_life,
                ..
            } = txn
                && *node == n
            {
                (*awaited, *own_life) = (false, false);
            }
        }
        if self.word.is_some_and(|w| w.to == n) {
            self.word = None;
        }
        true
    }

    /// `shared_state::shared_read` or `shared_changes`, and `leader_observed` with what it says.
    fn read(&mut self, n: u8) -> bool {
        if self.out {
            return false;
        }
        let (counter, rec) = (self.counter, self.rec);
        let node = self.node(n);
        let before = *node;
        node.has_read = true;
        node.highest = node.highest.max(counter);
        let mine = rec.filter(|r| r.node == n && r.own_life);
        match node.role {
            Role::Leader if mine.is_none_or(|r| r.token != node.token) => self.step_down(n),
            // The take-over went through although its answer was lost.
            Role::Candidate if mine.is_some_and(|r| r.awaited) => self.become_leader(n),
            _ => {}
        }
        *self.node(n) != before
    }

    /// `election::step_down`.
    fn step_down(&mut self, n: u8) {
        let token = self.node(n).token;
        if let Some(rec) = self
            .rec
            .as_mut()
            .filter(|r| r.node == n && r.own_life && r.token == token)
        {
            rec.released = true;
        }
        self.node(n).gives_up();
    }

    /// `election::follow` and `granted`. A node that has read something older than what stands now sends a transaction
    /// that fails; one that has read what stands sends this one, which may come late.
    fn stand(&mut self, n: u8, b: &Bounds) -> bool {
        let node = *self.node(n);
        let room = self.way.contains(&None) && self.counter < b.tokens;
        if self.out || !room || !node.has_read || node.role != Role::Follower {
            return false;
        }
        // `election::replaceable` and `Incarnation::succeeds`.
        let mark = |r: &Rec| !r.own_life && !node.owned || b.planted == Planted::NoMark;
        let heir = self.rec.is_some_and(|r| r.node == n && mark(&r));
        if self.rec.is_some() && !heir {
            return false;
        }
        let leader = self.rec.map_or(0, |r| r.token);
        let counter = self.counter;
        let token = if heir && b.planted == Planted::HeirKeepsToken {
            leader
        } else {
            counter + 1
        };
        self.send(Transaction::Take {
            node: n,
            leader,
            counter,
            token,
            lease: 0,
            awaited: true,
            own_life: true,
        });
        let node = self.node(n);
        node.highest = node.highest.max(counter);
        node.role = Role::Candidate;
        // `Role::Candidate::sent`: when the lease was asked for.
        (node.renewed, node.known) = (0, 0);
        true
    }

    /// `election_tick`, after `give_up_at`: the transaction may still come.
    fn give_up(&mut self, n: u8) -> bool {
        if self.node(n).role != Role::Candidate {
            return false;
        }
        for txn in self.way.iter_mut().flatten() {
            if let Transaction::Take { node, awaited, .. } = txn
                && *node == n
            {
                *awaited = false;
            }
        }
        if let Some(rec) = self.rec.as_mut().filter(|r| r.node == n) {
            rec.awaited = false;
        }
        self.node(n).gives_up();
        true
    }

    /// A transaction comes to the state service; its sender hears of it or not, and it may come once more.
    fn comes(&mut self, i: u8, answered: bool, again: bool, b: &Bounds) -> bool {
        let Some(txn) = self.way[i as usize].filter(|_| !self.out) else {
            return false;
        };
        if !again {
            self.way[i as usize] = None;
        }
        match txn {
            Transaction::Take {
                node,
                leader,
                counter,
                token,
                lease,
                awaited,
                own_life,
            } => {
                let stands = self.rec.map_or(0, |r| r.token);
                let leader_ok = stands == leader
                    || matches!(b.planted, Planted::NoGuards | Planted::NoLeaderGuard);
                let token_ok = self.counter == counter
                    || matches!(b.planted, Planted::NoGuards | Planted::NoTokenGuard);
                if !leader_ok || !token_ok {
                    // `election::took` with a 409.
                    if answered && awaited && self.node(node).role == Role::Candidate {
                        self.node(node).gives_up();
                    }
                    return answered || !again;
                }
                self.twice = token <= self.counter;
                self.rec = Some(Rec {
                    node,
                    token,
                    lease,
                    own_life,
                    awaited,
                    released: false,
                });
                self.counter = self.counter.max(token);
                if answered && awaited {
                    self.become_leader(node);
                }
            }
            Transaction::End { leader } => {
                let stands = self.rec.map_or(0, |r| r.token);
                if stands == leader || b.planted == Planted::UnguardedEnd {
                    self.ended = true;
                    if answered && let Some(n) = self.nodes.iter_mut().find(|n| n.token == leader) {
                        n.heard = true;
                    }
                }
            }
        }
        true
    }

    /// `election::became_leader`, of the record that stands.
    fn become_leader(&mut self, n: u8) {
        let Some(rec) = &mut self.rec else { return };
        rec.awaited = false;
        let token = rec.token;
        let node = self.node(n);
        node.role = Role::Leader;
        node.token = token;
        node.highest = node.highest.max(token);
        node.owned = true;
        node.loaded = false;
        // Another leader's charge is not dropped: only its time ends it. It is not looked at while this one owns.
    }

    /// `lease::renewed`; unanswered for now or for ever.
    fn renew(&mut self, n: u8, answered: bool) -> bool {
        let node = *self.node(n);
        if self.out || node.role != Role::Leader || node.renewing != NEVER {
            return false;
        }
        let Some(rec) = self
            .rec
            .as_mut()
            .filter(|r| r.node == n && r.own_life && r.token == node.token)
        else {
            // 404: the lease has ended.
            if answered {
                self.step_down(n);
            }
            return answered;
        };
        rec.lease = 0;
        let node = self.node(n);
        if answered {
            (node.renewed, node.known) = (0, 0);
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
        let sent = if b.planted == Planted::RenewedFromAnswer {
            0
        } else {
            node.renewing
        };
        node.renewing = NEVER;
        node.renewed = node.renewed.min(sent);
        node.known = node.known.min(sent);
        true
    }

    /// `shard::start_load` to `load_ended`: all is read back, after the own record stood.
    fn load(&mut self, n: u8) -> bool {
        let ended = self.ended;
        let out = self.out;
        let node = self.node(n);
        if out || node.role != Role::Leader || node.loaded {
            return false;
        }
        node.loaded = true;
        // `Ending::Before`.
        node.knows = ended;
        node.heard = ended;
        true
    }

    /// `jobs::cancel`, and the first of `send_end`.
    fn cancel(&mut self, n: u8, b: &Bounds) -> bool {
        let node = self.node(n);
        if !node.decides(b) || node.knows {
            return false;
        }
        node.knows = true;
        if b.planted == Planted::TellsFirst {
            if self.told == NEVER {
                self.told = 0;
            }
            return true;
        }
        self.send_end(n, b)
    }

    /// `commit::flush_commit`, again after an answer that was lost.
    fn send_end(&mut self, n: u8, b: &Bounds) -> bool {
        let node = *self.node(n);
        let txn = Transaction::End { leader: node.token };
        let again = self.way.contains(&Some(txn)) || !self.way.contains(&None);
        if !node.decides(b) || !node.knows || self.ended || again {
            return false;
        }
        self.send(txn);
        true
    }

    /// Its user is told: by the leader whose transaction was answered (`commit::apply`) or looked at (`verified`), or
    /// by any node that reads the record (`lookup::end_read`). Later ones (`finals`) say nothing that is new.
    fn tell(&mut self) -> bool {
        let may = self.ended && !self.out && self.told == NEVER;
        if may {
            self.told = 0;
        }
        may
    }

    /// `peer_status_tick` and `ask_for_attestations`.
    fn ask(&mut self, n: u8, b: &Bounds) -> bool {
        let node = self.node(n);
        // With one peer the question and its answer may as well come at once.
        let newest = node.known == 0 && b.planted != Planted::VouchesFromArrival;
        if b.nodes < 3 && !b.literal || node.role != Role::Leader || newest || node.ask == 0 {
            return false;
        }
        (node.ask, node.answered) = (0, 0);
        true
    }

    /// A peer answers `Ask::PeerStatus`: `peer_statuses::peer_status`, then `peer_status_received`, `word_came` and `Attestations::note`.
    fn vouch(&mut self, n: u8, peer: u8, b: &Bounds) -> bool {
        let token = self.node(n).token;
        let attestations = self.node(peer).vouches_for(token, b);
        let node = self.node(n);
        if node.role != Role::Leader
            || node.ask == NEVER
            || !attestations
            || node.answered >> peer & 1 == 1
        {
            return false;
        }
        node.answered |= 1 << peer;
        if node.answered.count_ones() as usize >= vouches_needed(b) {
            let since = if b.planted == Planted::VouchesFromArrival {
                0
            } else {
                node.ask
            };
            node.known = node.known.min(since);
            (node.ask, node.answered) = (NEVER, 0);
        }
        true
    }

    /// `election::leader_asserted`, by `Ask::Leads` or a view, heard by a peer.
    fn leads(&mut self, n: u8, peer: u8, b: &Bounds) -> bool {
        let leader = *self.node(n);
        let other = self.node(peer);
        if leader.role != Role::Leader || other.highest >= leader.token {
            return false;
        }
        other.highest = leader.token;
        if other.role == Role::Leader && !other.sure(b) {
            self.step_down(peer);
        }
        true
    }

    /// A peer's view is answered by the leader: `lease delegate::delegation_for` and `note_delegation`, at once or on its way.
    fn delegation(&mut self, n: u8, peer: u8, late: bool, b: &Bounds) -> bool {
        let leader = *self.node(n);
        if !leader.charges(b) || late && self.word.is_some() {
            return false;
        }
        let delegation = Delegation {
            asked: 0,
            token: leader.token,
            except: leader.knows,
        };
        if late {
            self.word = Some(Word {
                to: peer,
                delegation,
            });
            return true;
        }
        self.note_delegation(peer, delegation, b)
    }

    /// `peer_statuses::peer_status_received`: who owns is heard with it.
    fn note_delegation(&mut self, peer: u8, delegation: Delegation, b: &Bounds) -> bool {
        let node = self.node(peer);
        let before = *node;
        node.delegation = Some(delegation);
        node.highest = node.highest.max(delegation.token);
        if node.role == Role::Leader && node.token < delegation.token && !node.sure(b) {
            self.step_down(peer);
        }
        *self.node(peer) != before
    }

    fn charge_comes(&mut self, b: &Bounds) -> bool {
        let Some(Word { to, mut delegation }) = self.word.take() else {
            return false;
        };
        if b.planted == Planted::KeeperFromArrival {
            delegation.asked = 0;
        }
        self.note_delegation(to, delegation, b)
    }

    /// `reports::hello` and `take_report`: the token of the answer, or of none. An answer with a stop ends the task, so
    /// that only its loss is of interest, which is no answer.
    fn answers(&self, n: u8, b: &Bounds) -> Option<u8> {
        let node = &self.nodes[n as usize];
        if node.role == Role::Leader {
            // `orders_for` and `last_orders`. An end on its way that was not answered counts as recorded.
            let stops = match b.planted {
                Planted::NoStops => false,
                Planted::WaitsForAnswer => node.knows && (node.heard || !node.sure(b)),
                _ => node.knows,
            };
            return (self.obeys <= node.token && node.may_renew(b) && !stops).then_some(node.token);
        }
        // `lease delegate::keeps`.
        let delegation = node.delegation?;
        let bound = if b.planted == Planted::KeeperNoBound {
            NEVER
        } else {
            b.lengths.bound()
        };
        let in_time = (KEEP_FROM..bound).contains(&delegation.asked);
        let except = delegation.except && b.planted != Planted::KeepsCancelled;
        let highest = self.obeys.max(node.highest);
        let below = highest > delegation.token && b.planted != Planted::KeepsBelow;
        (in_time && !except && !below).then_some(delegation.token)
    }

    /// A report is answered; the answer comes in the same tick, or later.
    fn report(&mut self, n: u8, late: bool, b: &Bounds) -> bool {
        // `reports::outranked`.
        let node = *self.node(n);
        if node.role == Role::Leader && self.obeys > node.token && !node.sure(b) {
            self.step_down(n);
            return true;
        }
        let Some(token) = self.answers(n, b) else {
            return false;
        };
        if late {
            let free = self.answer.is_none();
            self.answer = self.answer.or(Some(Out { sent: 0, token }));
            return free;
        }
        self.obeyed(0, token)
    }

    /// A worker takes an answer: one with a lower token it drops.
    fn obeyed(&mut self, sent: u8, token: u8) -> bool {
        let before = (self.obeys, self.lease);
        if token >= self.obeys {
            self.obeys = token;
            self.lease = self.lease.min(sent);
        }
        before != (self.obeys, self.lease)
    }

    fn answer_comes(&mut self) -> bool {
        let Some(Out { sent, token }) = self.answer.take() else {
            return false;
        };
        self.obeyed(sent, token);
        true
    }
}

impl Step {
    /// The same with the nodes' first names.
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
