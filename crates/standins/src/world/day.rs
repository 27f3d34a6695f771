//! Runs with a load balancer, users that reuse their connections as the protocol specifies, and faults at scheduled
//! times.

use super::{Origin, RequestKind, START_MS, SimEvent, World};
use crate::balancer::{Balancer, CONNECT_TIMEOUT_MS, MAX_CONNECT_ATTEMPTS, PROBE_INTERVAL_MS};
use crate::checks::{Checks, Verdict};
use crate::days::{BEGIN, Day};
use crate::links::{How, Place};
use crate::world::Sabotage;
use std::collections::BTreeMap;
use wire::api::{JobState, Stage, TaskStage};
use wire::http::{Request, Response};

/// How long a user waits for a response, and for how long it repeats a submission or a cancel.
const REQUEST_TIMEOUT_MS: u64 = 5000;
const POLL_TIMEOUT_MS: u64 = 2000;
const REPEAT_MS: u64 = 60_000;

/// A user's open connection to a node.
#[derive(Clone, Copy)]
struct Conn {
    node: usize,
    incarnation: u64,
}

/// A request without a response yet: its connection, if a node accepted one, and when it was sent.
struct Outstanding {
    conn: Option<Conn>,
    asked: u64,
}

pub(super) struct DayRun {
    plan: Day,
    balancer: Balancer,
    pub(super) checks: Checks,
    /// Each job has its own user, which keeps one idle connection for its next request.
    idle_conns: BTreeMap<String, Conn>,
    outstanding: BTreeMap<(String, RequestKind), Outstanding>,
    /// When each submission or cancel was first sent.
    first_sent: BTreeMap<(String, RequestKind), u64>,
    /// When each node's pending health check was sent.
    open_probes: Vec<Option<u64>>,
}

impl DayRun {
    fn open_conns(&self) -> Vec<usize> {
        let mut open = vec![0; self.open_probes.len()];
        let conns = self
            .idle_conns
            .values()
            .copied()
            .chain(self.outstanding.values().filter_map(|o| o.conn));
        conns.for_each(|c| open[c.node] += 1);
        open
    }

    /// Used to verify the checks: the images of these jobs' tasks are never fetched.
    pub(super) fn is_fetch_blocked(&self, task: &str) -> bool {
        let held = &self.plan.held;
        !held.is_empty() && wire::ids::parse_task(task).is_some_and(|(job, _)| held.contains(job))
    }
}

impl World {
    pub(super) fn begin_day(&mut self, day: Day) {
        let start = self.now;
        let nodes = self.plan.nodes;
        for (i, (at, _)) in day.troubles.iter().enumerate() {
            self.schedule(start + at, SimEvent::ScheduledFault(i));
        }
        for n in 0..nodes {
            self.schedule(
                start + PROBE_INTERVAL_MS * n as u64 / nodes as u64,
                SimEvent::HealthProbe(n),
            );
        }
        let specs = self.rules.jobs.values().filter_map(|j| j.spec.clone());
        self.day = Some(Box::new(DayRun {
            checks: Checks::new(start + day.quiet, specs),
            plan: day,
            balancer: Balancer::new(nodes),
            idle_conns: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            first_sent: BTreeMap::new(),
            open_probes: vec![None; nodes],
        }));
    }

    /// Runs until half a minute after all work has ended, or until the planned end.
    pub fn run_day(&mut self) {
        let end = START_MS + self.plan.end;
        let mut settled_rounds = 0;
        while self.now < end && settled_rounds < 3 && self.rules.broken.is_empty() {
            let before = self.now;
            self.run_for(10_000.min(end - self.now));
            // The next event comes after the planned end, so nothing was simulated.
            if self.now == before {
                return;
            }
            settled_rounds = if self
                .day
                .as_ref()
                .is_some_and(|b| b.checks.all_work_ended(self.now))
            {
                settled_rounds + 1
            } else {
                0
            };
        }
    }

    /// Injects the `i`th scheduled fault. Faults aimed at the leader hit the node that was last seen to lead.
    pub(super) fn inject_scheduled_fault(&mut self, i: usize) {
        let Some((_, trouble)) = self.day.as_ref().map(|b| b.plan.troubles[i].clone()) else {
            return;
        };
        self.inject_with_leader(&trouble, self.faults.last_leader);
    }

    /// The results of the checks so far.
    pub fn verdict(&mut self) -> Verdict {
        let now = self.now;
        self.day
            .as_mut()
            .map(|b| b.checks.verdict(now))
            .unwrap_or_default()
    }

    /// When the last scheduled fault is over.
    pub(super) fn faults_over_at(&self) -> u64 {
        self.day
            .as_deref()
            .map_or(u64::MAX, |b| START_MS + b.plan.quiet)
    }

    /// The number of nodes that the load balancer considers healthy.
    pub fn healthy(&self) -> usize {
        let healthy = |b: &DayRun| {
            (0..self.plan.nodes)
                .filter(|n| b.balancer.is_healthy(*n))
                .count()
        };
        self.day.as_deref().map_or(0, healthy)
    }

    /// When an event for a suspended process can be handled: not before the process resumes.
    pub(super) fn deferred_until(&self, event: &SimEvent) -> Option<u64> {
        let (SimEvent::Tick(n, _) | SimEvent::Reply(n, ..) | SimEvent::Request(n, ..)) = event
        else {
            return None;
        };
        Some(self.hosts[*n].frozen_until).filter(|until| *until > self.now)
    }

    // ---- Users ----

    /// Sends a user's request on its idle connection, or on a new one.
    pub(super) fn send_balanced(&mut self, job: String, kind: RequestKind, request: Request) {
        let now = self.now;
        let Some(day) = self.day.as_mut() else { return };
        if kind != RequestKind::Poll {
            day.checks
                .record_request(now, &job, kind == RequestKind::Cancel);
            day.first_sent.entry((job.clone(), kind)).or_insert(now);
        }
        let alive = |c: &Conn| {
            self.hosts[c.node].incarnation == c.incarnation && self.hosts[c.node].node.is_some()
        };
        let kept = day.idle_conns.remove(&job).filter(alive);
        let (conn, delay) = kept.map_or_else(|| self.connect(), |c| (Some(c), 0));
        let Some(day) = self.day.as_mut() else { return };
        day.outstanding
            .insert((job.clone(), kind), Outstanding { conn, asked: now });
        let origin = Origin::User {
            job,
            kind,
            asked: now,
        };
        let timeout = if kind == RequestKind::Poll {
            POLL_TIMEOUT_MS
        } else {
            REQUEST_TIMEOUT_MS
        };
        let Some(Conn { node, .. }) = conn else {
            day.checks.no_node += 1;
            return self.schedule(now + delay + 1, SimEvent::Answer(origin, None));
        };
        self.schedule(
            now + delay + timeout,
            SimEvent::Answer(origin.clone(), None),
        );
        match self.links.blocked(now, Place::Users, Place::Node(node)) {
            // The request is delivered after the cut, when its user has stopped waiting.
            Some((until, How::Hold)) => {
                self.schedule(until, SimEvent::Request(node, origin, request, false))
            }
            Some((_, How::Reset)) => self.schedule(now + 2, SimEvent::Answer(origin, None)),
            None => self.schedule(
                now + delay + 2,
                SimEvent::Request(node, origin, request, false),
            ),
        }
    }

    /// Opens a connection through the load balancer; returns it, and how long that took.
    fn connect(&mut self) -> (Option<Conn>, u64) {
        let now = self.now;
        let Some(day) = self.day.as_mut() else {
            return (None, 0);
        };
        let open = day.open_conns();
        let (mut took, mut tried) = (0, Vec::new());
        while tried.len() < MAX_CONNECT_ATTEMPTS {
            let Some(n) = day.balancer.choose(now, &mut self.rng, &open, &tried) else {
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
            took += if silent { CONNECT_TIMEOUT_MS } else { 2 };
            day.balancer.connected(now, n, ok);
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
        kind: RequestKind,
        asked: u64,
        response: Option<Response>,
    ) {
        let now = self.now;
        let lost = self.plan.sabotage == Sabotage::PollsLost
            && kind == RequestKind::Poll
            && job.ends_with('7');
        let Some(day) = self.day.as_mut() else { return };
        let key = (job.clone(), kind);
        // The user has stopped waiting for this response.
        if day.outstanding.get(&key).is_none_or(|o| o.asked != asked) {
            return;
        }
        let response = response.filter(|_| !lost);
        let conn = day.outstanding.remove(&key).and_then(|o| o.conn);
        if let (Some(conn), Some(r)) = (conn, &response)
            && !r.close
        {
            day.idle_conns.insert(job.clone(), conn);
        }
        let status = response.as_ref().map_or(0, |r| r.status);
        let state = response
            .as_ref()
            .and_then(|r| wire::decode::<JobState>(&r.body).ok());
        let stage = state.map(|s| s.stage);
        day.checks
            .record_response(now, &job, kind == RequestKind::Poll, status, stage);
        self.rules
            .told(now, asked, &job, status, stage, kind == RequestKind::Submit);
        self.check_recorded(&job, stage);
        self.note_user_answer(&job, asked, status, stage);
        self.waits.push(now - asked);
        let pause = response
            .and_then(|r| r.retry_after_s)
            .map_or(0, |s| u64::from(s.min(30)) * 1000);
        let over = stage.is_some_and(|s| s.is_final());
        let soon = self.rng.u64(0..1000);
        let next = match (kind, status) {
            (RequestKind::Submit, 200 | 201) => Some((RequestKind::Poll, 500 + 4 * soon)),
            (RequestKind::Submit, 400 | 422) | (RequestKind::Poll | RequestKind::Cancel, 404) => {
                None
            }
            // Some users submit the same job again much later.
            (RequestKind::Poll, _) if over => {
                (self.rng.u32(0..3) == 0).then_some((RequestKind::Submit, 5000 + 20 * soon))
            }
            (RequestKind::Poll, _) => Some((RequestKind::Poll, 4500 + soon)),
            (RequestKind::Cancel, 200) if over => None,
            (RequestKind::Submit | RequestKind::Cancel, _) => Some((kind, pause.max(1000) + soon)),
        };
        let Some(day) = self.day.as_mut() else { return };
        if over {
            day.idle_conns.remove(&job);
        }
        let again = next.filter(|(next, _)| *next == kind && kind != RequestKind::Poll);
        let since = day.first_sent.get(&key).copied().unwrap_or(now);
        if let Some((_, wait)) = again
            && now + wait > since + REPEAT_MS
        {
            day.checks.given_up += u64::from(kind == RequestKind::Submit);
            return;
        }
        if again.is_none() {
            day.first_sent.remove(&key);
        }
        if let Some((kind, wait)) = next {
            self.schedule(now + wait, SimEvent::UserRequest(kind, job));
        }
    }

    /// Resets all user connections to a node.
    pub(super) fn reset_users(&mut self, n: usize) {
        let Some(day) = self.day.as_mut() else { return };
        day.idle_conns.retain(|_, c| c.node != n);
        let out = day
            .outstanding
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
            .for_each(|origin| self.schedule(self.now + 1, SimEvent::Answer(origin, None)));
    }

    // ---- Health checks ----

    pub(super) fn probe(&mut self, n: usize) {
        let now = self.now;
        let Some(day) = self.day.as_mut() else { return };
        // A health check times out after a second, when the next one is due.
        if day.open_probes[n].take().is_some() {
            day.balancer.probed(now, n, false);
        }
        let resets = day.balancer.should_reset(now, n);
        if self.hosts[n].node.is_none() {
            day.balancer.probed(now, n, false);
        } else {
            day.open_probes[n] = Some(now);
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
            self.schedule(now + 2, SimEvent::Request(n, origin, request, false));
        }
        if resets {
            self.reset_users(n);
        }
        self.schedule(now + PROBE_INTERVAL_MS, SimEvent::HealthProbe(n));
    }

    pub(super) fn probe_answered(&mut self, n: usize, asked: u64, response: Option<Response>) {
        let now = self.now;
        let Some(day) = self
            .day
            .as_mut()
            .filter(|b| b.open_probes[n] == Some(asked))
        else {
            return;
        };
        day.open_probes[n] = None;
        day.balancer
            .probed(now, n, response.is_some_and(|r| r.status == 200));
    }

    // ---- Observations for the checks ----

    /// Records whether there is a leader, and whether some node could become one.
    pub(super) fn check_leader(&mut self) {
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
        self.faults.last_leader = leader.unwrap_or(self.faults.last_leader);
        let healthy = self.healthy() > 0;
        let could_be = self.state_outage_until <= now && self.hosts.iter().enumerate().any(could);
        leader.into_iter().for_each(|n| self.note_leader(n));
        let Some(day) = self.day.as_mut() else { return };
        day.checks
            .record_nodes(now, leader.is_some(), healthy, could_be);
        if now >= START_MS + BEGIN && now.is_multiple_of(1000) {
            let running = |w: &crate::worker::Worker| {
                w.tasks
                    .iter()
                    .filter(|t| t.stage == TaskStage::Running)
                    .count()
            };
            day.checks
                .record_running_tasks(now, self.workers.values().map(running).sum());
        }
    }

    /// Records a cancel request outside a user's regular sequence, or the response to one. These don't count as
    /// polls.
    pub(super) fn note_cancel_request(&mut self, job: &str) {
        if let Some(day) = self.day.as_mut() {
            day.checks.record_request(self.now, job, true);
        }
    }

    pub(super) fn note_answer(&mut self, job: &str, status: u16, stage: Option<Stage>) {
        if let Some(day) = self.day.as_mut() {
            day.checks
                .record_response(self.now, job, false, status, stage);
        }
    }

    pub(super) fn note_running(&mut self, job: &str) {
        let now = self.now;
        if let Some(day) = self.day.as_mut() {
            day.checks.record_job_running(now, job);
        }
    }
}
