//! Days with a balancer, users that keep their connections as the protocol has it, and troubles at their times.

use super::{Ask, Ev, Origin, START, World};
use crate::balancer::{ACCEPT_MS, Balancer, PROBE_MS, TRIES};
use crate::checks::{Checks, Verdict};
use crate::days::{BEGIN, Day};
use crate::links::{How, Place};
use crate::world::Sabotage;
use std::collections::BTreeMap;
use wire::api::{JobState, Stage, TaskStage};
use wire::http::{Request, Response};

/// A user waits so long for an answer, and repeats a submission or a cancel for so long.
const PATIENCE_MS: u64 = 5000;
const POLL_PATIENCE_MS: u64 = 2000;
const REPEAT_MS: u64 = 60_000;

/// An open connection of a user.
#[derive(Clone, Copy)]
struct Conn {
    node: usize,
    incarnation: u64,
}

/// A question that is out: on which connection, if one was found, and since when.
struct Out {
    conn: Option<Conn>,
    asked: u64,
}

pub(super) struct Bed {
    day: Day,
    balancer: Balancer,
    pub(super) checks: Checks,
    /// Every job has a user of its own, who keeps one connection for the next question.
    kept: BTreeMap<String, Conn>,
    out: BTreeMap<(String, Ask), Out>,
    /// When a submission or a cancel was first sent.
    first: BTreeMap<(String, Ask), u64>,
    /// A probe that is out, by node.
    probes: Vec<Option<u64>>,
}

impl Bed {
    fn open(&self) -> Vec<usize> {
        let mut open = vec![0; self.probes.len()];
        let conns = self
            .kept
            .values()
            .copied()
            .chain(self.out.values().filter_map(|o| o.conn));
        conns.for_each(|c| open[c.node] += 1);
        open
    }

    /// For tests of the tests: its tasks never get their image.
    pub(super) fn is_held(&self, task: &str) -> bool {
        let held = &self.day.held;
        !held.is_empty() && wire::ids::parse_task(task).is_some_and(|(job, _)| held.contains(job))
    }
}

impl World {
    pub(super) fn begin_bed(&mut self, day: Day) {
        let start = self.now;
        let nodes = self.plan.nodes;
        for (i, (at, _)) in day.troubles.iter().enumerate() {
            self.at(start + at, Ev::Trouble(i));
        }
        for n in 0..nodes {
            self.at(start + PROBE_MS * n as u64 / nodes as u64, Ev::Probe(n));
        }
        let specs = self.rules.jobs.values().filter_map(|j| j.spec.clone());
        self.bed = Some(Box::new(Bed {
            checks: Checks::new(start + day.quiet, specs),
            day,
            balancer: Balancer::new(nodes),
            kept: BTreeMap::new(),
            out: BTreeMap::new(),
            first: BTreeMap::new(),
            probes: vec![None; nodes],
        }));
    }

    /// Plays the day, until half a minute after everything has ended.
    pub fn run_day(&mut self) {
        let end = START + self.plan.end;
        let mut rest = 0;
        while self.now < end && rest < 3 && self.rules.broken.is_empty() {
            let before = self.now;
            self.run_for(10_000.min(end - self.now));
            // What is left of the day is less than the time to whatever happens next.
            if self.now == before {
                return;
            }
            rest = if self
                .bed
                .as_ref()
                .is_some_and(|b| b.checks.settled(self.now))
            {
                rest + 1
            } else {
                0
            };
        }
    }

    /// The `i`th trouble of the day, and who led the fleet when that was last looked for.
    pub(super) fn trouble(&mut self, i: usize) {
        let Some((_, trouble)) = self.bed.as_ref().map(|b| b.day.troubles[i].clone()) else {
            return;
        };
        self.bring_with(&trouble, self.troubles.last_leader);
    }

    /// What operators judge the day by so far.
    pub fn verdict(&mut self) -> Verdict {
        let now = self.now;
        self.bed
            .as_mut()
            .map(|b| b.checks.verdict(now))
            .unwrap_or_default()
    }

    /// When the troubles of the day are over.
    pub(super) fn quiet_from(&self) -> u64 {
        self.bed
            .as_deref()
            .map_or(u64::MAX, |b| START + b.day.quiet)
    }

    /// Nodes that the balancer takes to be healthy.
    pub fn healthy(&self) -> usize {
        let healthy = |b: &Bed| {
            (0..self.plan.nodes)
                .filter(|n| b.balancer.is_healthy(*n))
                .count()
        };
        self.bed.as_deref().map_or(0, healthy)
    }

    /// What comes to a node that stands still waits until it goes on.
    pub(super) fn wakes_at(&self, ev: &Ev) -> Option<u64> {
        let (Ev::Tick(n, _) | Ev::Reply(n, ..) | Ev::Request(n, ..)) = ev else {
            return None;
        };
        Some(self.hosts[*n].frozen_until).filter(|until| *until > self.now)
    }

    // ---- Users ----

    /// A user asks on the connection that it has kept, or on a new one.
    pub(super) fn ask_balanced(&mut self, job: String, kind: Ask, request: Request) {
        let now = self.now;
        let Some(bed) = self.bed.as_mut() else { return };
        if kind != Ask::Poll {
            bed.checks.asks(now, &job, kind == Ask::Cancel);
            bed.first.entry((job.clone(), kind)).or_insert(now);
        }
        let alive = |c: &Conn| {
            self.hosts[c.node].incarnation == c.incarnation && self.hosts[c.node].node.is_some()
        };
        let kept = bed.kept.remove(&job).filter(alive);
        let (conn, delay) = kept.map_or_else(|| self.connect(), |c| (Some(c), 0));
        let Some(bed) = self.bed.as_mut() else { return };
        bed.out
            .insert((job.clone(), kind), Out { conn, asked: now });
        let origin = Origin::User {
            job,
            kind,
            asked: now,
        };
        let patience = if kind == Ask::Poll {
            POLL_PATIENCE_MS
        } else {
            PATIENCE_MS
        };
        let Some(Conn { node, .. }) = conn else {
            bed.checks.no_node += 1;
            return self.at(now + delay + 1, Ev::Answer(origin, None));
        };
        self.at(now + delay + patience, Ev::Answer(origin.clone(), None));
        match self.links.blocked(now, Place::Users, Place::Node(node)) {
            // It comes through later, when its user has long given up.
            Some((until, How::Hold)) => self.at(until, Ev::Request(node, origin, request, false)),
            Some((_, How::Reset)) => self.at(now + 2, Ev::Answer(origin, None)),
            None => self.at(now + delay + 2, Ev::Request(node, origin, request, false)),
        }
    }

    /// A new connection, and how long it took.
    fn connect(&mut self) -> (Option<Conn>, u64) {
        let now = self.now;
        let Some(bed) = self.bed.as_mut() else {
            return (None, 0);
        };
        let open = bed.open();
        let (mut took, mut tried) = (0, Vec::new());
        while tried.len() < TRIES {
            let Some(n) = bed.balancer.choose(now, &mut self.rng, &open, &tried) else {
                break;
            };
            tried.push(n);
            let host = &self.hosts[n];
            let cut = self
                .links
                .blocked(now, Place::Users, Place::Node(n))
                .map(|(_, how)| how);
            let silent = host.node.is_some() && (host.frozen_until > now || cut == Some(How::Hold));
            let ok = host.node.is_some() && !silent && cut.is_none();
            took += if silent { ACCEPT_MS } else { 2 };
            bed.balancer.connected(now, n, ok);
            if ok {
                return (
                    Some(Conn {
                        node: n,
                        incarnation: host.incarnation,
                    }),
                    took,
                );
            }
        }
        (None, took)
    }

    pub(super) fn answer_balanced(
        &mut self,
        job: String,
        kind: Ask,
        asked: u64,
        response: Option<Response>,
    ) {
        let now = self.now;
        let lost =
            self.plan.sabotage == Sabotage::PollsLost && kind == Ask::Poll && job.ends_with('7');
        let Some(bed) = self.bed.as_mut() else { return };
        let key = (job.clone(), kind);
        // Given up before.
        if bed.out.get(&key).is_none_or(|o| o.asked != asked) {
            return;
        }
        let response = response.filter(|_| !lost);
        let conn = bed.out.remove(&key).and_then(|o| o.conn);
        if let (Some(conn), Some(r)) = (conn, &response)
            && !r.close
        {
            bed.kept.insert(job.clone(), conn);
        }
        let status = response.as_ref().map_or(0, |r| r.status);
        let state = response
            .as_ref()
            .and_then(|r| wire::decode::<JobState>(&r.body).ok());
        let stage = state.map(|s| s.stage);
        bed.checks
            .answered(now, &job, kind == Ask::Poll, status, stage);
        self.rules
            .told(now, asked, &job, status, stage, kind == Ask::Submit);
        self.is_recorded(&job, stage);
        self.heard(&job, asked, status, stage);
        self.waits.push(now - asked);
        let pause = response
            .and_then(|r| r.retry_after_s)
            .map_or(0, |s| u64::from(s.min(30)) * 1000);
        let over = stage.is_some_and(|s| s.is_final());
        let soon = self.rng.u64(0..1000);
        let next = match (kind, status) {
            (Ask::Submit, 200 | 201) => Some((Ask::Poll, 500 + 4 * soon)),
            (Ask::Submit, 400 | 422) | (Ask::Poll | Ask::Cancel, 404) => None,
            // Submitted again much later.
            (Ask::Poll, _) if over => {
                (self.rng.u32(0..3) == 0).then_some((Ask::Submit, 5000 + 20 * soon))
            }
            (Ask::Poll, _) => Some((Ask::Poll, 4500 + soon)),
            (Ask::Cancel, 200) if over => None,
            (Ask::Submit | Ask::Cancel, _) => Some((kind, pause.max(1000) + soon)),
        };
        let Some(bed) = self.bed.as_mut() else { return };
        if over {
            bed.kept.remove(&job);
        }
        let again = next.filter(|(next, _)| *next == kind && kind != Ask::Poll);
        let since = bed.first.get(&key).copied().unwrap_or(now);
        if let Some((_, wait)) = again
            && now + wait > since + REPEAT_MS
        {
            bed.checks.given_up += u64::from(kind == Ask::Submit);
            return;
        }
        if again.is_none() {
            bed.first.remove(&key);
        }
        if let Some((kind, wait)) = next {
            self.at(now + wait, Ev::User(kind, job));
        }
    }

    /// All connections of users to a node break.
    pub(super) fn reset_users(&mut self, n: usize) {
        let Some(bed) = self.bed.as_mut() else { return };
        bed.kept.retain(|_, c| c.node != n);
        let out = bed
            .out
            .iter_mut()
            .filter(|(_, o)| o.conn.is_some_and(|c| c.node == n));
        let broken: Vec<Origin> = out
            .map(|((job, kind), o)| {
                o.conn = None;
                Origin::User {
                    job: job.clone(),
                    kind: *kind,
                    asked: o.asked,
                }
            })
            .collect();
        broken
            .into_iter()
            .for_each(|origin| self.at(self.now + 1, Ev::Answer(origin, None)));
    }

    // ---- The balancer's probes ----

    pub(super) fn probe(&mut self, n: usize) {
        let now = self.now;
        let Some(bed) = self.bed.as_mut() else { return };
        // A second is also what a probe may take.
        if bed.probes[n].take().is_some() {
            bed.balancer.probed(now, n, false);
        }
        let resets = bed.balancer.resets(now, n);
        if self.hosts[n].node.is_none() {
            bed.balancer.probed(now, n, false);
        } else {
            bed.probes[n] = Some(now);
            let origin = Origin::Probe {
                node: n,
                asked: now,
            };
            let request = Request {
                method: "GET".into(),
                path: "/ready".into(),
                body: Vec::new(),
                close: true,
            };
            self.at(now + 2, Ev::Request(n, origin, request, false));
        }
        if resets {
            self.reset_users(n);
        }
        self.at(now + PROBE_MS, Ev::Probe(n));
    }

    pub(super) fn probed(&mut self, n: usize, asked: u64, response: Option<Response>) {
        let now = self.now;
        let Some(bed) = self.bed.as_mut().filter(|b| b.probes[n] == Some(asked)) else {
            return;
        };
        bed.probes[n] = None;
        bed.balancer
            .probed(now, n, response.is_some_and(|r| r.status == 200));
    }

    // ---- What the checkers see ----

    /// Whether there is a leader, or some node that could be one.
    pub(super) fn look_for_leader(&mut self) {
        let now = self.now;
        let leader = self
            .leader_at()
            .filter(|n| self.hosts[*n].frozen_until <= now);
        let could = |(n, h): (usize, &super::Host)| {
            h.node.is_some()
                && h.frozen_until <= now
                && h.refused_until <= now
                && self
                    .links
                    .blocked(now, Place::Node(n), Place::State)
                    .is_none()
        };
        self.troubles.last_leader = leader.unwrap_or(self.troubles.last_leader);
        let healthy = self.healthy() > 0;
        let could_be = self.outage_until <= now && self.hosts.iter().enumerate().any(could);
        leader.into_iter().for_each(|n| self.leads(n));
        let Some(bed) = self.bed.as_mut() else { return };
        bed.checks.nodes(now, leader.is_some(), healthy, could_be);
        if now >= START + BEGIN && now.is_multiple_of(1000) {
            let running = |w: &crate::worker::Worker| {
                w.tasks
                    .iter()
                    .filter(|t| t.stage == TaskStage::Running)
                    .count()
            };
            bed.checks
                .running(now, self.workers.values().map(running).sum());
        }
    }

    /// A user asks some node aside to cancel a job, or is answered aside. That tells nothing about its usual questions.
    pub(super) fn seen_to_cancel(&mut self, job: &str) {
        if let Some(bed) = self.bed.as_mut() {
            bed.checks.asks(self.now, job, true);
        }
    }

    pub(super) fn seen_answered(&mut self, job: &str, status: u16, stage: Option<Stage>) {
        if let Some(bed) = self.bed.as_mut() {
            bed.checks.answered(self.now, job, false, status, stage);
        }
    }

    pub(super) fn seen_to_run(&mut self, job: &str) {
        let now = self.now;
        if let Some(bed) = self.bed.as_mut() {
            bed.checks.runs(now, job);
        }
    }
}
