//! Invariants, checked against the tasks that are actually on machines and what users were actually told.

use crate::checks::starts::AfterCancel;
use std::collections::{BTreeMap, BTreeSet};
use wire::api::{JobSpec, Kind, Stage};

#[derive(Default)]
pub struct Job {
    pub spec: Option<JobSpec>,
    pub accepted: Option<u64>,
    pub submitted: bool,
    pub cancel_asked: bool,
    pub told_cancelled: Option<u64>,
    pub told_done: Option<u64>,
    pub done: BTreeSet<u32>,
}

#[derive(Default)]
pub struct Rules {
    /// Quota trees that the partition's allotment record has named, and since when.
    pub trees: Vec<(u64, quota::Tree)>,
    pub jobs: BTreeMap<String, Job>,
    pub broken: BTreeMap<&'static str, String>,
    pub gpu_limits: BTreeMap<String, f64>,
    pub cancel_ms: u64,
    pub starts: u64,
    /// The longest time that a task stayed on a machine after its user was told that the job is cancelled.
    pub longest_cancelled_ms: u64,
    pub after_cancel: AfterCancel,
    /// Jobs whose last task has completed, since this list was last emptied.
    pub ended: Vec<String>,
}

/// A start may happen this long after it was claimed.
pub const MAX_START_DELAY_MS: u64 = 90_000;

/// Describes the nodes that use more GPUs than their limit.
fn nodes_over_limit(tree: &quota::Tree, used: &BTreeMap<String, f64>) -> Vec<String> {
    let mut sums = vec![0.0; tree.nodes.len()];
    for (team, gpus) in used {
        for n in tree.team(team).map(|t| tree.path(t)).unwrap_or_default() {
            sums[n.0 as usize] += gpus;
        }
    }
    let over = |(n, sum): (&quota::Node, f64)| {
        let max = n.max[quota::GPUS];
        (max != quota::UNBOUNDED && sum * 1000.0 > max as f64 + 0.5)
            .then(|| format!("{} uses {sum} of {}", n.name, max as f64 / 1000.0))
    };
    tree.nodes.iter().zip(sums).filter_map(over).collect()
}

/// A task that is on a machine.
pub struct OnMachine<'a> {
    pub task: &'a str,
    pub machine: &'a str,
    pub zone: &'a str,
    pub machine_type: &'a str,
    pub spot: bool,
}

impl Rules {
    pub fn breaks(&mut self, rule: &'static str, what: String) {
        self.broken.entry(rule).or_insert(what);
    }

    /// Checks a task that starts, with its image fetched. `others` are all other tasks on machines.
    pub fn started(&mut self, now: u64, new: &OnMachine<'_>, others: &[OnMachine<'_>]) {
        self.starts += 1;
        if let Some(o) = others
            .iter()
            .find(|o| o.task == new.task && o.machine != new.machine)
        {
            self.breaks(
                "ran_twice",
                format!("{now}: {} on {} and {}", new.task, o.machine, new.machine),
            );
        }
        let Some((id, _)) = wire::ids::parse_task(new.task) else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        let Some(spec) = &job.spec else { return };
        self.after_cancel.started += u64::from(job.told_cancelled.is_some());
        if job
            .told_cancelled
            .is_some_and(|at| now > at + self.cancel_ms)
        {
            let what = format!("{now}: {} starts", new.task);
            return self.breaks("ran_cancelled", what);
        }
        let mut zones: Vec<&str> = others
            .iter()
            .filter(|o| o.task.starts_with(&format!("{id}/")))
            .map(|o| o.zone)
            .collect();
        let splits_zones = spec.one_zone && zones.iter().any(|z| *z != new.zone);
        zones.push(new.zone);
        let crowded = spec.spread
            && zones.iter().filter(|z| **z == new.zone).count() > spec.tasks.div_ceil(2) as usize;
        let wrong = splits_zones
            || crowded
            || (new.spot && !spec.spot)
            || spec.zone.as_ref().is_some_and(|z| z != new.zone)
            || spec
                .types
                .as_ref()
                .is_some_and(|t| !t.iter().any(|t| t == new.machine_type));
        let team = spec.team.clone();
        if wrong {
            self.breaks(
                "wrong_place",
                format!("{now}: {} on {}", new.task, new.machine),
            );
        }
        let gpus = |task: &str| {
            let spec =
                wire::ids::parse_task(task).and_then(|(id, _)| self.jobs.get(id)?.spec.as_ref());
            spec.filter(|s| s.team == team).map_or(0.0, |s| s.gpus)
        };
        let used: f64 = others.iter().map(|o| gpus(o.task)).sum::<f64>() + gpus(new.task);
        let limit = self.gpu_limits.get(&team).copied().unwrap_or(f64::INFINITY);
        if used > limit + 1e-6 {
            self.breaks("quota", format!("{now}: {team} uses {used} of {limit}"));
        }
        if !self.trees.is_empty() {
            let all = others.iter().map(|o| o.task).chain([new.task]);
            let used = self.gpus_by_team(all);
            self.check_node_limits(now, &used);
        }
    }

    fn gpus_by_team<'a>(&self, tasks: impl Iterator<Item = &'a str>) -> BTreeMap<String, f64> {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for task in tasks {
            let spec =
                wire::ids::parse_task(task).and_then(|(id, _)| self.jobs.get(id)?.spec.as_ref());
            if let Some(spec) = spec {
                *used.entry(spec.team.clone()).or_default() += spec.gpus;
            }
        }
        used
    }

    /// Checks that no node of the quota tree exceeds its limit. A start that was claimed under one version of the
    /// tree may happen a while after the next version is in force; within that time either version may apply.
    fn check_node_limits(&mut self, now: u64, used: &BTreeMap<String, f64>) {
        let until = |i: usize| self.trees.get(i + 1).map_or(u64::MAX, |(since, _)| *since);
        let recent = |i: &usize| until(*i).saturating_add(MAX_START_DELAY_MS) >= now;
        let mut broken: Option<Vec<String>> = None;
        for i in (0..self.trees.len()).filter(recent) {
            let over_limit = nodes_over_limit(&self.trees[i].1, used);
            broken = Some(match broken {
                Some(before) if over_limit.is_empty() || before.is_empty() => Vec::new(),
                Some(before) => before,
                None => over_limit,
            });
        }
        // There were no limits before the first tree.
        let first = self
            .trees
            .first()
            .is_none_or(|(since, _)| since.saturating_add(MAX_START_DELAY_MS) >= now);
        if let Some(what) = broken
            .filter(|b| !b.is_empty() && !first)
            .and_then(|b| b.into_iter().next())
        {
            self.breaks("node_quota", format!("{now}: {what}"));
        }
    }

    /// Applies the rules to all tasks on machines at one moment, for fleets too large to check each start.
    pub fn check_all(&mut self, now: u64, on: &[OnMachine<'_>]) {
        let mut tasks: BTreeMap<&str, &str> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut broken: Vec<(&'static str, String)> = Vec::new();
        for o in on {
            if let Some(other) = tasks.insert(o.task, o.machine) {
                broken.push((
                    "ran_twice",
                    format!("{now}: {} on {other} and {}", o.task, o.machine),
                ));
            }
            let spec =
                wire::ids::parse_task(o.task).and_then(|(id, _)| self.jobs.get(id)?.spec.as_ref());
            let Some(spec) = spec else { continue };
            if o.spot && !spec.spot {
                broken.push(("wrong_place", format!("{now}: {} on {}", o.task, o.machine)));
            }
            *used.entry(&spec.team).or_default() += spec.gpus;
        }
        for (team, used) in used {
            let limit = self.gpu_limits.get(team).copied().unwrap_or(f64::INFINITY);
            if used > limit + 1e-6 {
                broken.push(("quota", format!("{now}: {team} uses {used} of {limit}")));
            }
        }
        broken
            .into_iter()
            .for_each(|(rule, what)| self.breaks(rule, what));
    }

    /// Checks a task that is still on a machine, in case its user was told that the job is cancelled.
    pub fn is_on(&mut self, now: u64, task: &str) {
        let Some((id, _)) = wire::ids::parse_task(task) else {
            return;
        };
        let Some(told) = self.jobs.get(id).and_then(|j| j.told_cancelled) else {
            return;
        };
        self.longest_cancelled_ms = self.longest_cancelled_ms.max(now.saturating_sub(told));
        if now > told + self.cancel_ms {
            self.breaks("ran_cancelled", format!("{now}: {task} still runs"));
        }
    }

    pub fn completed(&mut self, task: &str) {
        let Some((id, n)) = wire::ids::parse_task(task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let gang = job
            .spec
            .as_ref()
            .filter(|s| s.kind == Kind::Gang)
            .map(|s| s.tasks);
        let before = job.done.len();
        match gang {
            Some(tasks) => job.done.extend(0..tasks),
            None => {
                job.done.insert(n);
            }
        }
        let all = job.spec.as_ref().map_or(0, |s| s.tasks as usize);
        if before < all && job.done.len() >= all {
            self.ended.push(id.to_owned());
        }
    }

    /// Checks a response about a job: its status and the job's stage, if any. `submission` tells whether the request
    /// was a submission. A request sent before another response may still be answered with an older state than that
    /// response.
    pub fn told(
        &mut self,
        now: u64,
        asked: u64,
        id: &str,
        status: u16,
        stage: Option<Stage>,
        submission: bool,
    ) {
        let job = self.jobs.entry(id.to_owned()).or_default();
        let before = |told: Option<u64>| told.is_some_and(|at| at < asked);
        let (was_done, was_cancelled) = (before(job.told_done), before(job.told_cancelled));
        let accepted = before(job.accepted);
        let mut broken: Option<&'static str> = None;
        match (status, stage) {
            (200 | 201, _) if !job.submitted => broken = Some("invented"),
            (200 | 201, Some(stage)) => {
                job.accepted.get_or_insert(now);
                if (was_done && stage != Stage::Done)
                    || (was_cancelled && stage != Stage::Cancelled)
                {
                    broken = Some("went_back");
                }
                match stage {
                    Stage::Done => {
                        let tasks = job.spec.as_ref().map_or(0, |s| s.tasks);
                        if job.done.len() < tasks as usize {
                            broken = Some("not_done");
                        }
                        job.told_done.get_or_insert(now);
                    }
                    Stage::Cancelled => {
                        if !job.cancel_asked {
                            broken = Some("went_back");
                        }
                        job.told_cancelled.get_or_insert(now);
                    }
                    _ => {}
                }
            }
            (404, _) if accepted => broken = Some("forgotten"),
            (400 | 422, _) if accepted && submission => broken = Some("forgotten"),
            _ => {}
        }
        if let Some(rule) = broken {
            self.breaks(rule, format!("{now}: {id} answered {status} {stage:?}"));
        }
    }
}
