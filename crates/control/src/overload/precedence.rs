//! The order in which a node serves events that are waiting at the same time.
//!
//! The order matters when a node is short of processor time: leases are renewed, task ends recorded and cancellations
//! carried out before new work is accepted.

use crate::Event;
use std::collections::VecDeque;
use wire::http::Request;

/// Precedence of an event; smaller values are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// Ticks, and answers to this node's own requests: renewals of its lease, records, commands.
    Own,
    /// Requests of other controllers: their status, batches of heartbeats, and forwarded requests of users.
    Peer,
    /// Heartbeats, which renew workers' leases and report task ends.
    Worker,
    /// Cancellations by users, which free capacity.
    Cancel,
    /// Reads by users.
    Read,
    /// New work.
    Submission,
}

impl Precedence {
    /// The precedence of a request to the interface of users and workers.
    pub fn of_client(request: &Request) -> Self {
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            (_, "/hello" | "/ready") => Precedence::Worker,
            ("GET", _) => Precedence::Read,
            (_, path) if path.ends_with("/cancel") => Precedence::Cancel,
            _ => Precedence::Submission,
        }
    }

    /// The precedence of an event, by its origin.
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

/// A submission that has waited longer than this, in milliseconds, is refused, so that the client can try another node.
pub const SUBMISSION_MAX_WAIT_MS: u64 = 1000;
/// The same for reads, whose clients wait for 2 s.
pub const READ_MAX_WAIT_MS: u64 = 1000;

/// What to do with an item taken from the backlog.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// The item is the next to be served.
    Serve(T),
    /// The item has waited too long and is to be refused.
    Refuse(T),
}

/// Items waiting to be served, by precedence and then in order of arrival. The backlog itself is unbounded; the
/// program that uses it limits it by the number of its connections.
#[derive(Debug)]
pub struct Backlog<T> {
    queues: [VecDeque<(u64, T)>; PRECEDENCE_COUNT],
}

const PRECEDENCE_COUNT: usize = Precedence::Submission as usize + 1;

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Backlog {
            queues: std::array::from_fn(|_| VecDeque::new()),
        }
    }
}

impl<T> Backlog<T> {
    /// Adds an item that arrived at `now`.
    pub fn push(&mut self, now: u64, precedence: Precedence, item: T) {
        self.queues[precedence as usize].push_back((now, item));
    }

    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Takes the next item: first those that have waited too long, then the first by precedence.
    pub fn pop(&mut self, now: u64) -> Option<Next<T>> {
        for (precedence, max_wait_ms) in [
            (Precedence::Submission, SUBMISSION_MAX_WAIT_MS),
            (Precedence::Read, READ_MAX_WAIT_MS),
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

    /// Removes all items and returns them in unspecified order.
    pub fn drain(&mut self) -> impl Iterator<Item = T> + '_ {
        self.queues
            .iter_mut()
            .flat_map(|queue| queue.drain(..).map(|(_, item)| item))
    }
}
