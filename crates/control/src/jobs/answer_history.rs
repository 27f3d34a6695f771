//! Answers that this node has given about jobs. They guarantee monotonic reads: no later answer is older than one
//! already given, not even an answer whose read was in flight when the newer one was sent.

use std::collections::{HashMap, VecDeque};
use wire::api::{JobState, Stage};

/// Cache of final job states. They never change, so a cached copy is as good as the record, and an evicted one is read
/// again. The capacity far exceeds the number of jobs that can end while one answer is in flight.
pub(crate) struct FinalStates {
    known: HashMap<String, (Stage, u32)>,
    order: VecDeque<String>,
    capacity: usize,
}

impl FinalStates {
    /// A cache of at most `capacity` states.
    pub fn new(capacity: usize) -> Self {
        FinalStates {
            known: HashMap::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// The final state of a job, if it is in the cache.
    pub fn get(&self, job: &str) -> Option<JobState> {
        let (stage, done) = self.known.get(job).copied()?;
        Some(JobState {
            id: job.to_owned(),
            stage,
            done,
            running: 0,
        })
    }

    /// Adds a final state. A state that is already cached is kept.
    pub fn insert_if_absent(&mut self, job: &str, stage: Stage, done: u32) {
        debug_assert!(stage.is_final());
        if self.known.contains_key(job) {
            return;
        }
        self.known.insert(job.to_owned(), (stage, done));
        self.order.push_back(job.to_owned());
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

/// Maximum number of answers that are remembered.
const MAX_ANSWERS: usize = 4096;

/// Jobs that recent answers said to exist. The history serves only to detect that a negative answer in flight is
/// outdated; it gives no state itself, and the job is then read again.
#[derive(Default)]
pub(crate) struct AnswerHistory {
    /// Sequence number of the latest answer about each job.
    last_seq: HashMap<String, u64>,
    order: VecDeque<(u64, String)>,
    count: u64,
    /// Answers up to this sequence number have been dropped. They may have been about any job.
    dropped_seq: u64,
}

impl AnswerHistory {
    /// Number of answers so far, as a mark for [`AnswerHistory::may_have_answered_since`].
    pub fn mark(&self) -> u64 {
        self.count
    }

    /// Records that an answer said that the job exists.
    pub fn record(&mut self, job: &str) {
        self.count += 1;
        self.last_seq.insert(job.to_owned(), self.count);
        self.order.push_back((self.count, job.to_owned()));
        if self.order.len() > MAX_ANSWERS
            && let Some((seq, job)) = self.order.pop_front()
        {
            self.dropped_seq = seq;
            if self.last_seq.get(&job) == Some(&seq) {
                self.last_seq.remove(&job);
            }
        }
    }

    /// Whether an answer since the mark may have said that the job exists.
    pub fn may_have_answered_since(&self, job: &str, mark: u64) -> bool {
        self.dropped_seq > mark || self.last_seq.get(job).is_some_and(|seq| *seq > mark)
    }
}
