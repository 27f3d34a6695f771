//! Messages that a test holds, loses or repeats by itself: commands to machines, answers to their reports, and the
//! reports.

use super::{Origin, SimEvent, World};
use wire::api::Heartbeat;
use wire::http::Request;

/// What is late now.
#[derive(Debug, Default)]
pub(super) struct MessageDelays {
    /// Until when commands that are sent to machines come later, and by how much.
    commands: (u64, u64),
    /// The same of answers to reports.
    answers: (u64, u64),
    /// All reports that were sent, once a test wants them.
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
    /// Commands that are sent to machines in this time come so much later, whether or not their sender still waits.
    pub fn hold_commands(&mut self, for_ms: u64, ms: u64) {
        self.delays.commands = (self.now + for_ms, ms);
    }

    /// Answers to reports that are given in this time come so much later. A worker waits for four seconds.
    pub fn slow_answers(&mut self, for_ms: u64, ms: u64) {
        self.delays.answers = (self.now + for_ms, ms);
    }

    /// A machine stands still, and then goes on where it was.
    pub fn hang(&mut self, machine: &str, ms: u64) {
        let until = self.now + ms;
        if let Some(w) = self.workers.get_mut(machine) {
            w.hung_until = w.hung_until.max(until);
        }
    }

    /// From now on, reports are kept so that copies of them can come again.
    pub fn keep_reports(&mut self) {
        self.delays.reports.get_or_insert_default();
    }

    pub fn reports(&self) -> &[Heartbeat] {
        self.delays.reports.as_deref().unwrap_or_default()
    }

    /// A copy of a report comes to a node. Its worker waits for no answer to it.
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

    /// A task runs for so long instead of as long as its job's others.
    pub fn shorten(&mut self, task: &str, run_ms: u64) {
        let job = wire::ids::parse_task(task)
            .map(|(job, _)| job)
            .unwrap_or_default();
        let whole = self.run_ms.get(job).copied().unwrap_or(0);
        self.saved_ms
            .insert(task.to_owned(), whole.saturating_sub(run_ms));
    }

    /// Tasks that machines hold in any stage, with their attempts.
    pub fn held(&self, machine: &str) -> Vec<(String, u64, wire::api::TaskStage)> {
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

    /// All machines that are up.
    pub fn machines(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }
}
