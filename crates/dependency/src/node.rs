//! What the graph keeps of one job.

use crate::inheritance::{Requirement, Requirements};
use crate::{Inherited, JobState, TimeMs, Urgency};

/// One end of an edge between two unfinished jobs. Each end knows where the other one is, so that either removes the
/// edge without a search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Edge<I> {
    /// The job at the other end.
    pub(crate) job: I,
    /// Where the other end stands in that job's list.
    pub(crate) reverse: usize,
}

/// One job.
#[derive(Clone, Debug)]
pub(crate) struct Node<I> {
    /// How many jobs were added before: a topological order, as a job is added after those that it needs.
    pub(crate) order: u64,
    pub(crate) state: JobState,
    /// A cancelled job that a pending cancellation still names: it is the root, or its dependents are still to be
    /// cancelled.
    pub(crate) cancellation_pending: bool,
    /// The latest end of the jobs that it needs, and no less than its own acceptance.
    pub(crate) latest_end: TimeMs,
    /// To the jobs that it needs and that are unfinished.
    pub(crate) dependencies: Vec<Edge<I>>,
    /// To the unfinished jobs that need it.
    pub(crate) dependents: Vec<Edge<I>>,
    pub(crate) urgency: Urgency,
    pub(crate) inherited: Inherited,
    /// What it asks of the jobs that it needs, as these last heard it.
    pub(crate) requirement: Requirement,
    /// What its dependents ask of it.
    pub(crate) requirements: Requirements,
}

impl<I> Node<I> {
    /// Waiting or released.
    pub(crate) fn is_unfinished(&self) -> bool {
        matches!(self.state, JobState::Waiting | JobState::Released { .. })
    }

    /// Frees what only an unfinished job has.
    pub(crate) fn clear_requirements(&mut self) {
        self.requirements = Requirements::default();
    }
}

/// Removes an edge's end from a list and returns it, with the end that took its place.
pub(crate) fn take_edge<I: Copy>(
    edges: &mut Vec<Edge<I>>,
    position: usize,
) -> (Edge<I>, Option<Edge<I>>) {
    let taken = edges.swap_remove(position);
    let moved = edges.get(position).copied();
    shrink(edges);
    (taken, moved)
}

/// Gives memory back once three quarters of it are unused.
fn shrink<T>(list: &mut Vec<T>) {
    if list.len() < list.capacity() / 4 {
        list.shrink_to(list.len() * 2);
    }
}
