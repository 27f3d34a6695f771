//! What is measured of each phase: differences of counts between its ends, and the busiest seconds.

use super::Run;
use crate::clock::Millis;
use crate::controllers::{Usage, usage};
use crate::hosts::{Messages, StateCounts};
use crate::messages::{Change, Counts, TaskChange};
use crate::operator::ChangeTimes;
use crate::report::{Heartbeat, PhaseFigures, Quantiles, RoleUsage, TaskChanges, WorkerFigures};
use crate::scenario::Phase;
use crate::users::Times;
use std::collections::BTreeMap;
use wire::api::Cause;

/// Starts are looked at over so many seconds for the best of them.
const BEST_SECONDS: usize = 10;

/// Counts at a moment.
#[derive(Clone, Default)]
struct Snapshot {
    at: Millis,
    controllers: Vec<Usage>,
    workers: Usage,
    tool: Usage,
    counts: Counts,
    state: StateCounts,
    cloud: Messages,
    messages: Vec<BTreeMap<String, Messages>>,
}

/// The phase under way, and those that are over.
pub struct Measure {
    from: Snapshot,
    last: Vec<Usage>,
    last_at: Millis,
    /// Busiest second of each controller.
    peaks: Vec<f64>,
    leader: Option<usize>,
    leader_changes: u32,
    pub asked_starts: u64,
    /// Starts and ends of the whole run.
    changes: TaskChanges,
    starts: u64,
    ends: u64,
    lost: u64,
    /// Starts in each second.
    seconds: Vec<u64>,
    counted: u64,
    memory_mb: f64,
    pub done: Vec<PhaseFigures>,
}

impl Measure {
    pub fn new(nodes: usize) -> Self {
        Measure {
            from: Snapshot::default(),
            last: vec![Usage::default(); nodes],
            last_at: 0,
            peaks: vec![0.0; nodes],
            leader: None,
            leader_changes: 0,
            asked_starts: 0,
            changes: TaskChanges::default(),
            starts: 0,
            ends: 0,
            lost: 0,
            seconds: Vec::new(),
            counted: 0,
            memory_mb: 0.0,
            done: Vec::new(),
        }
    }

    pub fn task_changed(&mut self, change: &TaskChange) {
        match change.what {
            Change::On { .. } => self.changes.started += 1,
            Change::Off { .. } => self.changes.ended += 1,
        }
        match change.what {
            Change::On { .. } => self.starts += 1,
            Change::Off {
                cause: Some(Cause::Done),
            } => self.ends += 1,
            Change::Off {
                cause: Some(Cause::Stopped),
            } => {}
            Change::Off { .. } => self.lost += 1,
        }
    }
}

fn best_rate(seconds: &[u64]) -> f64 {
    let window = BEST_SECONDS.min(seconds.len()).max(1);
    let sums = seconds.windows(window).map(|w| w.iter().sum::<u64>());
    sums.max().unwrap_or(0) as f64 / window as f64
}

impl Run {
    fn snapshot(&mut self, now: Millis) -> Snapshot {
        let mut counts = Counts::default();
        self.counts.iter().for_each(|c| counts.add(c));
        let mut workers = Usage::default();
        for used in self.workers.iter().filter_map(|w| usage(w.pid())) {
            workers.cpu_s += used.cpu_s;
            workers.rss_mb += used.rss_mb;
            workers.files += used.files;
        }
        Snapshot {
            at: now,
            controllers: self.controllers.usage(),
            workers,
            tool: usage(std::process::id()).unwrap_or_default(),
            counts,
            state: self.state.counts(),
            cloud: self.cloud.requests(),
            messages: self.messages.clone(),
        }
    }

    pub(super) fn begin_measuring(&mut self, now: Millis) {
        let from = self.snapshot(now);
        let m = &mut self.measure;
        m.from = from;
        m.peaks.fill(0.0);
        m.leader_changes = 0;
        m.asked_starts = 0;
        (m.starts, m.ends, m.lost, m.counted) = (0, 0, 0, 0);
        m.seconds.clear();
        self.users.times = Times::default();
        self.operator.times = ChangeTimes::default();
    }

    /// Looks at the controllers once a second.
    pub(super) fn sample(&mut self, now: Millis) {
        let used = self.controllers.usage();
        let leader = self.state.leader(self.size.controllers);
        let controllers_mb: f64 = used.iter().map(|u| u.rss_mb).sum();
        let workers = self.workers.iter().filter_map(|w| usage(w.pid()));
        let workers_mb: f64 = workers.map(|u| u.rss_mb).sum();
        let tool_mb = usage(std::process::id()).map_or(0.0, |u| u.rss_mb);
        let m = &mut self.measure;
        m.memory_mb = m.memory_mb.max(controllers_mb + workers_mb + tool_mb);
        let seconds = now.saturating_sub(m.last_at) as f64 / 1000.0;
        if m.last_at > 0 && seconds > 0.0 {
            for (node, usage) in used.iter().enumerate() {
                let cores = (usage.cpu_s - m.last[node].cpu_s) / seconds;
                m.peaks[node] = m.peaks[node].max(cores);
            }
        }
        (m.last, m.last_at) = (used, now);
        if leader.is_some() && leader != m.leader {
            m.leader_changes += 1;
            m.leader = leader;
        }
        m.seconds.push(m.starts - m.counted);
        m.counted = m.starts;
        self.show_progress(now);
    }

    fn show_progress(&self, now: Millis) {
        let elapsed = now.saturating_sub(self.measure.from.at) / 1000;
        if self.is_quiet || !elapsed.is_multiple_of(5) {
            return;
        }
        let workers: usize = self.counts.iter().map(|c| c.workers).sum();
        let starts = self.measure.seconds.last().copied().unwrap_or(0);
        let leader = self
            .measure
            .leader
            .map_or("none".to_owned(), |l| l.to_string());
        eprintln!(
            "  {elapsed:>4} s: {workers} workers, {} tasks, {starts} starts a second, leader {leader}, {} rules broken",
            self.checker.on_machines(),
            self.checker.broken().len()
        );
    }

    pub(super) fn end_measuring(&mut self, now: Millis, phase: &Phase) {
        let to = self.snapshot(now);
        let mut figures = PhaseFigures {
            name: phase.kind.name().to_owned(),
            ..PhaseFigures::default()
        };
        let from = self.measure.from.clone();
        figures.seconds = (to.at - from.at) as f64 / 1000.0;
        let seconds = figures.seconds.max(0.001);
        self.role_figures(&mut figures, &from, &to, seconds);
        self.user_figures(&mut figures, seconds);
        self.state_figures(&mut figures, &from, &to, seconds);
        worker_figures(&mut figures, &from, &to, seconds);
        figures.tool_cpu = (to.tool.cpu_s - from.tool.cpu_s) / seconds;
        self.measure.done.push(figures);
    }

    fn role_figures(&self, f: &mut PhaseFigures, from: &Snapshot, to: &Snapshot, seconds: f64) {
        let m = &self.measure;
        let role = |node: usize| RoleUsage {
            cpu: (to.controllers[node].cpu_s - from.controllers[node].cpu_s) / seconds,
            cpu_peak: m.peaks[node],
            rss_mb: to.controllers[node].rss_mb,
            files: to.controllers[node].files,
        };
        f.leader = m.leader;
        f.leader_changes = m.leader_changes;
        f.leader_usage = m.leader.map(role).unwrap_or_default();
        let others = (0..to.controllers.len()).filter(|node| Some(*node) != m.leader);
        let others: Vec<RoleUsage> = others.map(role).collect();
        f.follower_cpu = others.iter().map(|r| r.cpu).sum::<f64>() / others.len().max(1) as f64;
        for other in others {
            let busiest = &mut f.follower_usage;
            busiest.cpu = busiest.cpu.max(other.cpu);
            busiest.cpu_peak = busiest.cpu_peak.max(other.cpu_peak);
            busiest.rss_mb = busiest.rss_mb.max(other.rss_mb);
            busiest.files = busiest.files.max(other.files);
        }
        if let Some(node) = m.leader {
            for (kind, messages) in &to.messages[node] {
                let before = from.messages.get(node).and_then(|all| all.get(kind));
                let count = messages.count - before.map_or(0, |b| b.count);
                f.leader_messages
                    .insert(kind.clone(), count as f64 / seconds);
            }
        }
    }

    fn user_figures(&self, f: &mut PhaseFigures, seconds: f64) {
        let times = &self.users.times;
        f.tasks_on = self.checker.on_machines();
        f.jobs = times.accepted as f64 / seconds;
        f.submitted = times.submitted;
        f.accepted = times.accepted;
        f.refused = times.refused;
        f.given_up = times.given_up;
        f.polls = times.polls as f64 / seconds;
        f.unanswered = times.unanswered;
        f.accept_ms = Quantiles::of(&times.accept_ms);
        let by_class = times.start_ms.iter();
        let by_class = by_class.map(|(class, h)| (class.name().to_owned(), Quantiles::of(h)));
        f.start_ms = by_class.collect();
        let changes = &self.operator.times;
        f.changes = changes.made as f64 / seconds;
        f.changes_failed = changes.failed;
        f.change_commit_ms = Quantiles::of(&changes.commit_ms);
        f.change_in_force_ms = Quantiles::of(&changes.in_force_ms);
        f.changes_never_in_force = changes.never_in_force;
        let m = &self.measure;
        f.starts_asked = m.asked_starts as f64 / seconds;
        f.starts = m.starts as f64 / seconds;
        f.starts_best = best_rate(&m.seconds);
        f.ends = m.ends as f64 / seconds;
        f.lost_tasks = m.lost;
    }

    fn state_figures(&self, f: &mut PhaseFigures, from: &Snapshot, to: &Snapshot, seconds: f64) {
        let mut bytes = 0;
        for (kind, messages) in &to.state.kinds {
            let before = from.state.kinds.get(kind).copied().unwrap_or_default();
            let rate = (messages.count - before.count) as f64 / seconds;
            f.state_requests += rate;
            f.state_kinds.insert((*kind).to_owned(), rate);
            bytes += messages.bytes - before.bytes;
        }
        f.state_bytes = bytes as f64 / seconds;
        f.state_changes = (to.state.changes - from.state.changes) as f64 / seconds;
        f.state_too_fast = to.state.refused_too_fast - from.state.refused_too_fast;
        f.cloud_requests = (to.cloud.count - from.cloud.count) as f64 / seconds;
    }

    pub(super) fn report(self) -> Heartbeat {
        let broken = self.checker.broken().iter();
        let mut report = Heartbeat {
            rules_broken: broken
                .map(|(rule, what)| ((*rule).to_owned(), what.clone()))
                .collect(),
            not_done: self.course.not_done.clone(),
            longest_cancelled_ms: self.checker.longest_cancelled_ms(),
            most_tasks_on: self.checker.most_on_machines(),
            tasks: self.measure.changes,
            tasks_on: self.checker.on_machines(),
            tasks_completed: self.checker.tasks_completed(),
            jobs_never_started: self.users.never_started(),
            processes: 1 + self.workers.len() + 2 * self.size.controllers,
            memory_mb: self.measure.memory_mb,
            state: self.state.counts_with_keys(),
            cloud: self.cloud.requests(),
            phases: self.measure.done,
            size: self.size,
            aims: Vec::new(),
        };
        report.aims = report.aims_of();
        report
    }
}

fn worker_figures(f: &mut PhaseFigures, from: &Snapshot, to: &Snapshot, seconds: f64) {
    f.workers = to.counts.workers;
    let (before, after) = (&from.counts, &to.counts);
    let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
    let reports = |c: &Counts| c.reports.iter().sum::<u64>();
    f.reports = rate(reports(before), reports(after));
    f.reports_unserved = rate(before.unserved, after.unserved);
    f.commands = rate(before.commands, after.commands);
    f.orders = rate(before.orders, after.orders);
    f.starts_refused = after.refused - before.refused;
    f.leases_ended = after.expired - before.expired;
    let each = f.workers.max(1) as f64;
    f.worker = WorkerFigures {
        bytes_out_per_s: rate(before.bytes_sent, after.bytes_sent) / each,
        bytes_in_per_s: rate(before.bytes_received, after.bytes_received) / each,
        connections_per_min: rate(before.connections, after.connections) * 60.0 / each,
        requests_per_s: (f.reports + f.commands) / each,
        cpu: (to.workers.cpu_s - from.workers.cpu_s) / seconds / each,
        rss_mb: to.workers.rss_mb / each,
    };
}
