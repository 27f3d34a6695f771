//! Users that send requests to a chosen node. Checks each response against the state service at that moment.

use super::{Origin, RequestKind, Sabotage, SimEvent, World};
use wire::api::{ErrorBody, JobState, Stage};
use wire::http::{Request, Response};

/// A node's response to an arbitrary submission that a test sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OddAnswer {
    pub at: u64,
    pub node: usize,
    pub job: String,
    /// 0 if there was no response.
    pub status: u16,
    /// The job's stage, or the reason for the refusal.
    pub told: String,
    pub again_s: Option<u32>,
}

impl World {
    /// A user polls a job at this node; if it gets no response, it retries at random nodes.
    pub fn poll_at(&mut self, node: usize, job: &str) {
        self.send_request_to(node, RequestKind::Poll, job.to_owned());
    }

    /// A user submits a job at this node, for the first time or again.
    pub fn submit_at(&mut self, node: usize, job: &str) {
        self.send_request_to(node, RequestKind::Submit, job.to_owned());
    }

    /// A user sends this node an arbitrary body as a submission, once. `job` names the job that the body is about, if
    /// any.
    pub fn send_at(&mut self, node: usize, job: &str, body: Vec<u8>) {
        let request = Request {
            method: "POST".into(),
            path: "/work".into(),
            body,
            close: false,
        };
        let origin = Origin::RawSubmission {
            node,
            job: job.to_owned(),
            asked: self.now,
        };
        self.step(SimEvent::Request(node, origin, request, false));
    }

    pub(super) fn raw_submission_answered(
        &mut self,
        node: usize,
        job: String,
        asked: u64,
        response: Option<Response>,
    ) {
        let at = self.now;
        let (status, again_s) = response
            .as_ref()
            .map_or((0, None), |r| (r.status, r.retry_after_s));
        let state = response
            .as_ref()
            .and_then(|r| wire::decode::<JobState>(&r.body).ok());
        let error = response
            .as_ref()
            .and_then(|r| wire::decode::<ErrorBody>(&r.body).ok());
        let stage = state.as_ref().map(|s| s.stage);
        self.rules.told(at, asked, &job, status, stage, true);
        self.check_recorded(&job, stage);
        let told = stage
            .map(|s| format!("{s:?}"))
            .or(error.map(|e| e.error))
            .unwrap_or_default();
        self.odd.push(OddAnswer {
            at,
            node,
            job,
            status,
            told,
            again_s,
        });
    }

    /// A user asks this node to cancel a job, then random nodes until the cancellation is confirmed.
    pub fn cancel_at(&mut self, node: usize, job: &str) {
        self.send_request_to(node, RequestKind::Cancel, job.to_owned());
    }

    /// Polls every submitted job at every node, and submits it again at every node.
    pub fn ask_everywhere(&mut self) {
        let jobs = self
            .rules
            .jobs
            .iter()
            .filter(|(_, j)| j.submitted)
            .map(|(id, _)| id.clone());
        for job in jobs.collect::<Vec<_>>() {
            for node in 0..self.plan.nodes {
                self.poll_at(node, &job);
                self.submit_at(node, &job);
            }
        }
    }

    /// IDs of accepted jobs that have not ended and whose users have had no response for the given time.
    pub fn unanswered_for(&self, ms: u64) -> Vec<&str> {
        let open = self.unfinished().into_iter();
        open.filter(|job| {
            self.answered_at
                .get(*job)
                .is_none_or(|at| at + ms < self.now)
        })
        .collect()
    }

    /// Checks that a job's stage, once a user is told of it, is recorded in the state service.
    pub(super) fn check_recorded(&mut self, job: &str, stage: Option<Stage>) {
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
        let recorded = if stage.is_final() {
            ended == name
        } else {
            ended.or(stands("live").map(|_| "")).is_some()
        };
        if !recorded {
            let what = format!(
                "{}: {job} told as {stage:?}, recorded as {ended:?}",
                self.now
            );
            self.rules.breaks("unrecorded", what);
        }
    }
}
