//! The graph's data for one job.

use crate::inheritance::{Requirement, Requirements};
use crate::{Inherited, JobState, TimeMs, Urgency};

/// One end of an edge between two unfinished jobs. Each end stores the position of the other, so that an edge is
/// removed from either end without a search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Edge<I> {
    /// The job at the other end.
    pub(crate) job: I,
    /// Position of the other end in that job's list.
    pub(crate) reverse: usize,
}

/// A job in the graph.
#[derive(Clone, Debug)]
pub(crate) struct Node<I> {
    /// Number of jobs added before. This is a topological order, as a job is added after its dependencies.
    pub(crate) order: u64,
    pub(crate) state: JobState,
    /// Whether the job is cancelled and a pending traversal still refers to it, as its root or because its dependents
    /// are not all cancelled yet.
    pub(crate) cancellation_pending: bool,
    /// The latest end of its dependencies so far, or its own acceptance if that is later.
    pub(crate) latest_end: TimeMs,
    /// Edges to its unfinished dependencies.
    pub(crate) dependencies: Vec<Edge<I>>,
    /// Edges to its unfinished dependents.
    pub(crate) dependents: Vec<Edge<I>>,
    pub(crate) urgency: Urgency,
    pub(crate) inherited: Inherited,
    /// The requirement that was last propagated to its dependencies.
    pub(crate) requirement: Requirement,
    /// The requirements of its dependents.
    pub(crate) requirements: Requirements,
}

impl<I> Node<I> {
    /// Whether the job is waiting or released.
    pub(crate) fn is_unfinished(&self) -> bool {
        matches!(self.state, JobState::Waiting | JobState::Released { .. })
    }

    /// Frees the requirements, which only an unfinished job has.
    pub(crate) fn clear_requirements(&mut self) {
        self.requirements = Requirements::default();
    }
}

/// Removes an edge from a list by swapping in the last one. Returns it, and the edge that took its position.
pub(crate) fn take_edge<I: Copy>(
    edges: &mut Vec<Edge<I>>,
    position: usize,
) -> (Edge<I>, Option<Edge<I>>) {
    let taken = edges.swap_remove(position);
    let moved = edges.get(position).copied();
    shrink(edges);
    (taken, moved)
}

/// Releases memory once less than a quarter of the capacity is used.
fn shrink<T>(list: &mut Vec<T>) {
    if list.len() < list.capacity() / 4 {
        list.shrink_to(list.len() * 2);
    }
}
