//! Messages that a test delays or duplicates itself: commands to machines, machines' reports, and the responses to
//! them.

use super::{Origin, SimEvent, World};
use wire::api::{Cause, Heartbeat, TaskStage};
use wire::http::Request;

/// The delays in force.
#[derive(Debug, Default)]
pub(super) struct MessageDelays {
    /// Commands sent to machines before this time are delayed by so many milliseconds.
    commands: (u64, u64),
    /// The same for responses to reports.
    answers: (u64, u64),
    /// All reports sent since a test asked to keep them.
    reports: Option<Vec<Heartbeat>>,
}

impl MessageDelays {
    pub(super) fn command_delay_ms(&self, now: u64) -> u64 {
        if now < self.commands.0 {
            self.commands.1
        } else {
            0
        }
    }

    pub(super) fn answer_delay_ms(&self, now: u64) -> u64 {
        if now < self.answers.0 {
            self.answers.1
        } else {
            0
        }
    }

    pub(super) fn record_report(&mut self, report: &Heartbeat) {
        if let Some(reports) = &mut self.reports {
            reports.push(report.clone());
        }
    }
}

impl World {
    /// Delays commands that are sent to machines within the given time by `ms`, whether or not their sender still
    /// waits.
    pub fn hold_commands(&mut self, for_ms: u64, ms: u64) {
        self.delays.commands = (self.now + for_ms, ms);
    }

    /// Delays responses to reports that are sent within the given time by `ms`. A worker waits four seconds for a
    /// response.
    pub fn slow_answers(&mut self, for_ms: u64, ms: u64) {
        self.delays.answers = (self.now + for_ms, ms);
    }

    /// Suspends a machine for the given time; it then continues where it was.
    pub fn hang(&mut self, machine: &str, ms: u64) {
        let until = self.now + ms;
        if let Some(w) = self.workers.get_mut(machine) {
            w.hung_until = w.hung_until.max(until);
        }
    }

    /// Keeps all reports from now on, so that a test can send copies of them.
    pub fn keep_reports(&mut self) {
        self.delays.reports.get_or_insert_default();
    }

    pub fn reports(&self) -> &[Heartbeat] {
        self.delays.reports.as_deref().unwrap_or_default()
    }

    /// Sends a copy of a report to a node. The worker doesn't wait for a response to it.
    pub fn copy(&mut self, report: &Heartbeat, node: usize) {
        let origin = Origin::Worker {
            name: report.machine.clone(),
            number: 0,
            sent: 0,
        };
        let body = wire::encode(report);
        let request = Request {
            method: "POST".into(),
            path: "/hello".into(),
            body,
            close: false,
        };
        self.schedule(self.now, SimEvent::Request(node, origin, request, false));
    }

    /// From now on machines have all images, so that tasks run as soon as they are started.
    pub fn cache_images(&mut self) {
        self.fetch_ms = 0;
    }

    /// Gives a task a run time of its own, instead of its job's.
    pub fn shorten(&mut self, task: &str, run_ms: u64) {
        let job = wire::ids::parse_task(task)
            .map(|(job, _)| job)
            .unwrap_or_default();
        let whole = self.run_ms.get(job).copied().unwrap_or(0);
        self.saved_ms
            .insert(task.to_owned(), whole.saturating_sub(run_ms));
    }

    /// A running task of a job fails. Returns its name and its machine, if there was one.
    pub fn fail_task(&mut self, job: &str) -> Option<(String, String)> {
        let is_running = |t: &&mut crate::worker::Task| {
            t.stage == TaskStage::Running
                && wire::ids::parse_task(&t.name).is_some_and(|(id, _)| id == job)
        };
        for worker in self.workers.values_mut() {
            if let Some(task) = worker.tasks.iter_mut().find(is_running) {
                task.stage = TaskStage::Exited;
                task.cause = Some(Cause::Error);
                worker.changed = true;
                return Some((task.name.clone(), worker.name.clone()));
            }
        }
        None
    }

    /// Tasks on a machine in any stage, with their attempts.
    pub fn held(&self, machine: &str) -> Vec<(String, u64, TaskStage)> {
        let tasks = self
            .workers
            .get(machine)
            .map(|w| w.tasks.as_slice())
            .unwrap_or_default();
        tasks
            .iter()
            .map(|t| (t.name.clone(), t.attempt, t.stage))
            .collect()
    }

    /// Names of all running machines.
    pub fn machines(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }
}
