//! What this node has told of jobs: the floor below which none of its answers goes, also of those that were under way
//! when it told something newer.

use std::collections::{HashMap, VecDeque};
use wire::api::{JobState, Stage};

/// Final states that were seen: they never change, so any copy is as good as the record. What is dropped is read again;
/// there is room for far more ends than can come while one answer is under way.
pub(crate) struct FinalStates {
    known: HashMap<String, (Stage, u32)>,
    order: VecDeque<String>,
    cap: usize,
}

impl FinalStates {
    /// Room for so many.
    pub fn new(cap: usize) -> Self {
        FinalStates {
            known: HashMap::new(),
            order: VecDeque::new(),
            cap,
        }
    }

    /// The final state of a job, if it is remembered.
    pub fn get(&self, job: &str) -> Option<JobState> {
        let (stage, done) = self.known.get(job).copied()?;
        Some(JobState {
            id: job.to_owned(),
            stage,
            done,
            running: 0,
        })
    }

    /// The first word stands.
    pub fn put(&mut self, job: &str, stage: Stage, done: u32) {
        debug_assert!(stage.is_final());
        if self.known.contains_key(job) {
            return;
        }
        self.known.insert(job.to_owned(), (stage, done));
        self.order.push_back(job.to_owned());
        if self.order.len() > self.cap
            && let Some(old) = self.order.pop_front()
        {
            self.known.remove(&old);
        }
    }
}

/// So many words are remembered.
const MAX_ANSWERS: usize = 4096;

/// Which jobs were lately said to be there. It only speaks against a denial that was under way meanwhile, and gives no
/// answer itself: what it says is read anew.
#[derive(Default)]
pub(crate) struct AnswerHistory {
    /// The last word on each job, by the count of all words.
    last_seq: HashMap<String, u64>,
    order: VecDeque<(u64, String)>,
    count: u64,
    /// Words up to this one were dropped. They may have been about any job.
    dropped_seq: u64,
}

impl AnswerHistory {
    /// How much has been said so far.
    pub fn mark(&self) -> u64 {
        self.count
    }

    /// A job was said to be there.
    pub fn note(&mut self, job: &str) {
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

    /// Whether the job may have been said to be there since.
    pub fn since(&self, job: &str, mark: u64) -> bool {
        self.dropped_seq > mark || self.last_seq.get(job).is_some_and(|seq| *seq > mark)
    }
}
