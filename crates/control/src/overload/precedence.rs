//! In which order a node serves what has come in at the same time.
//!
//! It makes a difference where a node is short of processor time: leases are renewed, ends taken in and cancels made
//! before anything new is begun.

use crate::Event;
use std::collections::VecDeque;
use wire::http::Request;

/// What is served first comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// Ticks, and answers to what this node has asked: renewals of its own lease, records, commands.
    Own,
    /// Other controllers: what they see, batches of reports, and users' requests that they hand on.
    Peer,
    /// Reports, which renew workers' leases and tell of ends.
    Worker,
    /// Cancels of users, which free capacity.
    Cancel,
    /// Reads.
    Question,
    /// New work.
    Submission,
}

impl Precedence {
    /// Of a request to the interface of users and workers.
    pub fn of_client(request: &Request) -> Self {
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            (_, "/hello" | "/ready") => Precedence::Worker,
            ("GET", _) => Precedence::Question,
            (_, path) if path.ends_with("/cancel") => Precedence::Cancel,
            _ => Precedence::Submission,
        }
    }

    /// Of an event, by who has caused it.
    pub fn of(event: &Event) -> Self {
        match event {
            Event::Tick | Event::Reply { .. } | Event::Unsent { .. } | Event::Frontend { .. } => {
                Precedence::Own
            }
            Event::Peer { .. } | Event::Late { .. } => Precedence::Peer,
            Event::Client { request, .. } => Precedence::of_client(request),
        }
    }
}

/// New work that has waited for so long, in milliseconds, is refused, so that whoever asks can go elsewhere.
pub const SUBMISSION_WAITS_MS: u64 = 1000;
/// The same of questions, whose users wait for 2 s.
pub const QUESTION_WAITS_MS: u64 = 1000;

/// What is to be done with something that has waited.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// It is its turn.
    Serve(T),
    /// It has waited for too long: it is to be refused at once.
    Refuse(T),
}

/// What has come in and waits for its turn: by precedence, and then in the order in which it came. Its leader bounds it,
/// by the connections that it has.
#[derive(Debug)]
pub struct Backlog<T> {
    queues: [VecDeque<(u64, T)>; PRECEDENCE_COUNT],
}

/// How many precedences there are.
const PRECEDENCE_COUNT: usize = Precedence::Submission as usize + 1;

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Backlog {
            queues: std::array::from_fn(|_| VecDeque::new()),
        }
    }
}

impl<T> Backlog<T> {
    /// Adds what has come in at this time.
    pub fn push(&mut self, now: u64, precedence: Precedence, item: T) {
        self.queues[precedence as usize].push_back((now, item));
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// What is next: whatever has waited too long, to be refused, then the first by precedence.
    pub fn pop(&mut self, now: u64) -> Option<Next<T>> {
        for (precedence, max_wait_ms) in [
            (Precedence::Submission, SUBMISSION_WAITS_MS),
            (Precedence::Question, QUESTION_WAITS_MS),
        ] {
            let queue = &mut self.queues[precedence as usize];
            let is_expired = |(enqueued_at, _): &mut (u64, T)| now > *enqueued_at + max_wait_ms;
            if let Some((_, item)) = queue.pop_front_if(is_expired) {
                return Some(Next::Refuse(item));
            }
        }
        let first = self.queues.iter_mut().find_map(VecDeque::pop_front);
        first.map(|(_, item)| Next::Serve(item))
    }

    /// All that waits, in no order.
    pub fn drain(&mut self) -> impl Iterator<Item = T> + '_ {
        self.queues
            .iter_mut()
            .flat_map(|queue| queue.drain(..).map(|(_, item)| item))
    }
}
