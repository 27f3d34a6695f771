//! Users behind a balancer, as the protocol describes both: they submit, repeat, poll and cancel, each on a connection
//! of its own.

use crate::checker::{Checker, Told};
use crate::clock::Millis;
use crate::workload::{Class, Workload, parse_id};
use hdrhistogram::Histogram;
use standins::balancer::Balancer;
use std::collections::{BTreeMap, HashMap};
use wire::api::{JobState, Stage};
use wire::http::Response;

const SUBMIT_TIMEOUT_MS: u64 = 5000;
const POLL_TIMEOUT_MS: u64 = 2000;
const POLL_EVERY_MS: u64 = 5000;
const RETRY_MS: u64 = 1000;
const LONGEST_RETRY_MS: u64 = 30_000;
/// Users give a submission up after this time.
const GIVE_UP_MS: u64 = 60_000;

/// What a user asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    Submit,
    Poll,
    Cancel,
}

/// A request to a controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    pub job: String,
    pub question: Question,
    pub node: usize,
    pub lane: u32,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
}

/// What a user does next, and when.
#[derive(Debug, Clone, PartialEq)]
pub struct Next {
    pub at: Millis,
    pub job: String,
    pub question: Question,
}

/// What an answer comes to: the next question, if there is one.
pub type Outcome = Option<Next>;

struct User {
    class: Class,
    lane: u32,
    node: Option<usize>,
    submitted: Millis,
    accepted: Option<Millis>,
    started: bool,
    wants_cancel: bool,
    stage: Option<Stage>,
    answered: Millis,
}

/// Counts and times of one phase.
#[derive(Clone)]
pub struct Times {
    /// Submission to acceptance, in milliseconds.
    pub accept_ms: Histogram<u64>,
    /// Acceptance to the first start, without the fetch of its image, by class.
    pub start_ms: BTreeMap<Class, Histogram<u64>>,
    pub submitted: u64,
    pub accepted: u64,
    pub refused: u64,
    pub given_up: u64,
    pub polls: u64,
    pub unanswered: u64,
}

/// A histogram of milliseconds with three digits.
pub fn histogram() -> Histogram<u64> {
    // Three digits are within what the library takes.
    Histogram::new(3).expect("a histogram of three digits")
}

impl Default for Times {
    fn default() -> Self {
        Times {
            accept_ms: histogram(),
            start_ms: BTreeMap::new(),
            submitted: 0,
            accepted: 0,
            refused: 0,
            given_up: 0,
            polls: 0,
            unanswered: 0,
        }
    }
}

/// All users of a run.
pub struct Users {
    workload: Workload,
    pub balancer: Balancer,
    users: HashMap<String, User>,
    open: Vec<usize>,
    next_lane: u32,
    rng: fastrand::Rng,
    pub times: Times,
}

impl Users {
    pub fn new(workload: Workload, nodes: usize, seed: u64) -> Self {
        Users {
            workload,
            balancer: Balancer::new(nodes),
            users: HashMap::new(),
            open: vec![0; nodes],
            next_lane: 0,
            rng: fastrand::Rng::with_seed(seed),
            times: Times::default(),
        }
    }

    /// Somebody submits a job from now on.
    pub fn submit(&mut self, now: Millis, job: &str, checker: &mut Checker) -> Option<Next> {
        let spec = self.workload.spec(job)?;
        let (class, _) = parse_id(job)?;
        checker.submitted(spec);
        self.next_lane += 1;
        let user = User {
            class,
            lane: self.next_lane,
            node: None,
            submitted: now,
            accepted: None,
            started: false,
            wants_cancel: false,
            stage: None,
            answered: now,
        };
        self.users.insert(job.to_owned(), user);
        self.times.submitted += 1;
        Some(Next {
            at: now,
            job: job.to_owned(),
            question: Question::Submit,
        })
    }

    /// Jobs of a class that are accepted and not over.
    pub fn live(&self, class: Class) -> Vec<String> {
        let mut live: Vec<String> = self
            .users
            .iter()
            .filter(|(_, user)| user.class == class && user.accepted.is_some())
            .filter(|(_, user)| !user.wants_cancel && !user.stage.is_some_and(Stage::is_final))
            .map(|(job, _)| job.clone())
            .collect();
        live.sort_unstable();
        live
    }

    /// The request for a question that is due, if it still is one. Without a healthy node it waits.
    pub fn ask(&mut self, now: Millis, next: &Next) -> Result<Option<Ask>, Next> {
        let Some(user) = self.users.get_mut(&next.job) else {
            return Ok(None);
        };
        let is_over = user.stage.is_some_and(Stage::is_final);
        if is_over || next.question == Question::Poll && user.wants_cancel {
            return Ok(None);
        }
        if user.node.is_none() {
            user.node = self.balancer.choose(now, &mut self.rng, &self.open, &[]);
            if let Some(node) = user.node {
                self.open[node] += 1;
            }
        }
        let Some(node) = user.node else {
            let at = now + RETRY_MS;
            return Err(Next { at, ..next.clone() });
        };
        user.wants_cancel |= next.question == Question::Cancel;
        let (method, path, timeout_ms) = match next.question {
            Question::Submit => ("POST", "/work".to_owned(), SUBMIT_TIMEOUT_MS),
            Question::Poll => ("GET", format!("/work/{}", next.job), POLL_TIMEOUT_MS),
            Question::Cancel => (
                "POST",
                format!("/work/{}/cancel", next.job),
                SUBMIT_TIMEOUT_MS,
            ),
        };
        let body = match next.question {
            Question::Submit => wire::encode(&self.workload.spec(&next.job)),
            _ => Vec::new(),
        };
        let lane = user.lane;
        self.times.polls += u64::from(next.question == Question::Poll);
        Ok(Some(Ask {
            job: next.job.clone(),
            question: next.question,
            node,
            lane,
            method,
            path,
            body,
            timeout_ms,
        }))
    }

    /// An answer has come, or none.
    pub fn answered(
        &mut self,
        now: Millis,
        asked: Millis,
        ask: &Ask,
        response: Option<Response>,
        checker: &mut Checker,
    ) -> Outcome {
        let state = response
            .as_ref()
            .and_then(|r| wire::decode::<JobState>(&r.body).ok());
        let status = response.as_ref().map(|r| r.status);
        if let Some(status) = status {
            checker.told(Told {
                asked,
                at: now,
                job: ask.job.clone(),
                status,
                stage: state.as_ref().map(|s| s.stage),
                is_submission: ask.question == Question::Submit,
            });
        }
        let user = self.users.get_mut(&ask.job)?;
        let is_known = matches!(status, Some(200 | 201));
        if is_known {
            user.answered = now;
            user.stage = state.map(|s| s.stage);
            if user.accepted.is_none() {
                user.accepted = Some(now);
                self.times.accepted += 1;
                let _ = self.times.accept_ms.record(now - user.submitted);
            }
        } else {
            self.times.unanswered += 1;
            // The connection goes; the balancer chooses again.
            if let Some(node) = user.node.take() {
                self.open[node] = self.open[node].saturating_sub(1);
            }
            if user.accepted.is_some() {
                checker.unanswered(&ask.job, now - user.answered, now);
            }
        }
        self.next(now, ask, status, response)
    }

    fn next(
        &mut self,
        now: Millis,
        ask: &Ask,
        status: Option<u16>,
        response: Option<Response>,
    ) -> Outcome {
        let user = self.users.get_mut(&ask.job)?;
        if user.stage.is_some_and(Stage::is_final) {
            if let Some(node) = user.node.take() {
                self.open[node] = self.open[node].saturating_sub(1);
            }
            return None;
        }
        let is_known = matches!(status, Some(200 | 201));
        if is_known || ask.question == Question::Poll {
            let question = if ask.question == Question::Cancel {
                Question::Cancel
            } else {
                Question::Poll
            };
            return Some(Next {
                at: now + POLL_EVERY_MS,
                job: ask.job.clone(),
                question,
            });
        }
        if matches!(status, Some(400 | 422)) {
            self.times.refused += 1;
            return None;
        }
        if ask.question == Question::Submit && now >= user.submitted + GIVE_UP_MS {
            self.times.given_up += 1;
            return None;
        }
        let told = response.and_then(|r| r.retry_after_s).unwrap_or(0);
        let wait = (u64::from(told) * 1000).clamp(RETRY_MS, LONGEST_RETRY_MS);
        Some(Next {
            at: now + wait,
            job: ask.job.clone(),
            question: ask.question,
        })
    }

    /// A task of the job is on a machine, after a fetch of this length.
    pub fn started(&mut self, at: Millis, job: &str, fetch_ms: u64) {
        let Some(user) = self.users.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut user.started, true) {
            return;
        }
        // A task may be on its machine before its user has heard of the acceptance.
        let accepted = user.accepted.unwrap_or(at);
        let wait = at.saturating_sub(fetch_ms).saturating_sub(accepted);
        let times = self
            .times
            .start_ms
            .entry(user.class)
            .or_insert_with(histogram);
        let _ = times.record(wait);
    }

    /// Accepted jobs that are not over: how many there are, and how many nobody has answered for since then.
    pub fn unanswered_since(&self, since: Millis) -> (usize, usize) {
        let live = self
            .users
            .values()
            .filter(|u| u.accepted.is_some() && !u.stage.is_some_and(Stage::is_final));
        let live: Vec<&User> = live.collect();
        let silent = live.iter().filter(|u| u.answered < since).count();
        (live.len(), silent)
    }

    /// Accepted jobs of a class of which no task has been on a machine.
    pub fn never_started(&self) -> usize {
        let waits = |u: &&User| {
            u.accepted.is_some() && !u.started && !u.wants_cancel && u.class != Class::Probe
        };
        self.users.values().filter(waits).count()
    }
}
