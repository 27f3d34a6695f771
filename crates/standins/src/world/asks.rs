//! Users that ask a certain node, and what users were told against what is recorded at that moment.

use super::{Ask, Sabotage, World};
use wire::api::Stage;

impl World {
    /// A user asks this node about a job; without an answer, any node again later.
    pub fn poll_at(&mut self, node: usize, job: &str) {
        self.user_at(node, Ask::Poll, job.to_owned());
    }

    /// A user submits a job at this node, for the first time or once more.
    pub fn submit_at(&mut self, node: usize, job: &str) {
        self.user_at(node, Ask::Submit, job.to_owned());
    }

    /// A user asks this node to cancel a job, then any, until it is told.
    pub fn cancel_at(&mut self, node: usize, job: &str) {
        self.user_at(node, Ask::Cancel, job.to_owned());
    }

    /// Every node is asked about every job that was submitted, and sent it once more.
    pub fn ask_everywhere(&mut self) {
        let jobs = self.rules.jobs.iter().filter(|(_, j)| j.submitted).map(|(id, _)| id.clone());
        for job in jobs.collect::<Vec<_>>() {
            for node in 0..self.plan.nodes {
                self.poll_at(node, &job);
                self.submit_at(node, &job);
            }
        }
    }

    /// Accepted jobs that have not ended and about which nothing was answered for so long.
    pub fn unanswered_for(&self, ms: u64) -> Vec<&str> {
        let open = self.unfinished().into_iter();
        open.filter(|job| self.answered_at.get(*job).is_none_or(|at| at + ms < self.now)).collect()
    }

    /// A user has been told how a job stands, which must stand in the state service by then.
    pub(super) fn is_recorded(&mut self, job: &str, stage: Option<Stage>) {
        let Some(stage) = stage else { return };
        self.answered_at.insert(job.to_owned(), self.now);
        if self.plan.sabotage != Sabotage::None {
            return;
        }
        let stands = |under: &str| self.state.keys.get(&format!("{under}/{job}"));
        let ended = stands("end").and_then(|e| e.value["stage"].as_str());
        let name = match stage {
            Stage::Done => Some("done"),
            Stage::Cancelled => Some("cancelled"),
            _ => None,
        };
        let recorded =
            if stage.is_final() { ended == name } else { ended.or(stands("live").map(|_| "")).is_some() };
        if !recorded {
            let what = format!("{}: {job} told as {stage:?}, recorded as {ended:?}", self.now);
            self.rules.breaks("unrecorded", what);
        }
    }
}
