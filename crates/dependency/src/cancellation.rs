//! Cancellation: propagates from a job to all its direct and indirect dependents, in bounded steps.

use crate::{DenseIndex, Graph, JobState, TimeMs, UnknownJob};
use std::collections::VecDeque;

/// Maximum number of visits per job that a call may cancel: one to cancel the job, one to remove it from the frontier.
const VISITS_PER_JOB: usize = 2;

/// The outcome of a request to cancel a job.
///
/// ```
/// use dependency::{CancelOutcome, Graph, JobIndex, TimeMs, Urgency};
/// let job = JobIndex(0);
/// let mut graph = Graph::new();
/// graph.add(job, &[], TimeMs(0), Urgency::default())?;
/// graph.finish(job, TimeMs(9))?;
/// assert_eq!(graph.cancel(job)?, CancelOutcome::AlreadyDone { at: TimeMs(9) });
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled; [`Graph::continue_cancellation`] cancels the jobs below it.
    Cancelled,
    /// The job was cancelled before, directly or with a job above it. That cancellation continues below it.
    AlreadyCancelled,
    /// The job is done: nothing is cancelled, and its dependents are not affected.
    AlreadyDone {
        /// When it ended.
        at: TimeMs,
    },
}

/// What one call of [`Graph::continue_cancellation`] did.
///
/// ```
/// let step = dependency::Graph::<dependency::JobIndex>::new().continue_cancellation(5);
/// assert!(step.cancelled.is_empty() && step.completed.is_empty() && !step.pending);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancellationStep<I> {
    /// The jobs cancelled by this call. Over all calls, each job is returned once.
    pub cancelled: Vec<I>,
    /// The jobs given to [`Graph::cancel`] whose cancellation has now reached all jobs below them, or has met another
    /// pending one that continues from there.
    pub completed: Vec<I>,
    /// Whether cancellations are still pending.
    pub pending: bool,
}

/// A cancellation that has not reached all jobs.
#[derive(Clone, Debug)]
pub(crate) struct Traversal<I> {
    /// The job that was cancelled directly.
    root: I,
    /// Cancelled jobs that may have uncancelled dependents, nearest to the root first.
    frontier: VecDeque<I>,
}

impl<I: DenseIndex> Graph<I> {
    /// Cancels a job. The jobs below it are cancelled by [`Graph::continue_cancellation`]; until then none of them can
    /// be released, as a job above it will never be done.
    ///
    /// Must be called once the durable intent of the cancellation is committed. The graph keeps track of the remaining
    /// work, so a caller cannot lose it; after a restart the caller reports the intent again.
    ///
    /// ```
    /// use dependency::{CancelOutcome, Graph, JobIndex, TimeMs, Urgency};
    /// let (job, below) = (JobIndex(0), JobIndex(1));
    /// let mut graph = Graph::new();
    /// graph.add(job, &[], TimeMs(0), Urgency::default())?;
    /// graph.add(below, &[job], TimeMs(0), Urgency::default())?;
    /// assert_eq!(graph.cancel(job)?, CancelOutcome::Cancelled);
    /// assert_eq!(graph.cancel(job)?, CancelOutcome::AlreadyCancelled);
    /// assert_eq!(graph.continue_cancellation(1).cancelled, [below]);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn cancel(&mut self, job: I) -> Result<CancelOutcome, UnknownJob<I>> {
        match self.known(job)?.state {
            JobState::Done { at } => return Ok(CancelOutcome::AlreadyDone { at }),
            JobState::Cancelled => return Ok(CancelOutcome::AlreadyCancelled),
            JobState::Waiting | JobState::Released { .. } => {}
        }
        self.mark_cancelled(job);
        self.traversals.push_back(Traversal {
            root: job,
            frontier: VecDeque::from([job]),
        });
        Ok(CancelOutcome::Cancelled)
    }

    /// Continues pending cancellations, oldest first, each breadth-first from its root. Cancels at most `limit` jobs
    /// and visits at most twice as many. The edges between a cancelled job and its dependencies are removed with it.
    /// Does nothing if `limit` is zero.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex, TimeMs, Urgency};
    /// let mut graph = Graph::new();
    /// graph.add(JobIndex(0), &[], TimeMs(0), Urgency::default())?;
    /// for number in 1..=7 {
    ///     graph.add(JobIndex(number), &[JobIndex(0)], TimeMs(0), Urgency::default())?;
    /// }
    /// graph.cancel(JobIndex(0))?;
    /// assert_eq!(graph.continue_cancellation(5).cancelled.len(), 5);
    /// assert_eq!(graph.continue_cancellation(5).cancelled.len(), 2);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn continue_cancellation(&mut self, limit: usize) -> CancellationStep<I> {
        let mut cancelled = Vec::new();
        let mut completed = Vec::new();
        let mut visits = limit.saturating_mul(VISITS_PER_JOB);
        while visits > 0 && cancelled.len() < limit {
            let Some(traversal) = self.traversals.front() else {
                break;
            };
            let Some(&nearest) = traversal.frontier.front() else {
                completed.extend(self.complete_traversal());
                continue;
            };
            visits -= 1;
            match self.node(nearest).dependents.last() {
                Some(&edge) => {
                    self.cancel_dependent(edge.job);
                    cancelled.push(edge.job);
                }
                None => self.remove_from_frontier(nearest),
            }
        }
        CancellationStep {
            cancelled,
            completed,
            pending: !self.traversals.is_empty(),
        }
    }

    /// Cancels a job that the oldest traversal has reached.
    fn cancel_dependent(&mut self, job: I) {
        self.mark_cancelled(job);
        let traversal = self
            .traversals
            .front_mut()
            .expect("the traversal that reached the job");
        traversal.frontier.push_back(job);
    }

    /// Removes the first job of the oldest traversal's frontier, which has no dependents left.
    fn remove_from_frontier(&mut self, job: I) {
        self.steps.cancellation += 1;
        let traversal = self
            .traversals
            .front_mut()
            .expect("the traversal that reached the job");
        traversal.frontier.pop_front();
        // The root stays pending until the traversal is completed, so that its index is not reused before it is
        // returned.
        if traversal.root != job {
            self.node_mut(job).cancellation_pending = false;
        }
    }

    /// Ends the oldest traversal, which has reached all jobs.
    fn complete_traversal(&mut self) -> Option<I> {
        let root = self.traversals.pop_front()?.root;
        self.node_mut(root).cancellation_pending = false;
        Some(root)
    }

    /// Marks a job as cancelled and removes the edges to its dependencies, with its requirements on them. The edges to
    /// its dependents stay until a traversal reaches them.
    fn mark_cancelled(&mut self, job: I) {
        self.steps.cancellation += 1;
        self.clear_stale(job);
        let node = self.node_mut(job);
        assert!(
            node.is_unfinished(),
            "an ended job has no edge to what it needs"
        );
        node.state = JobState::Cancelled;
        node.cancellation_pending = true;
        node.clear_requirements();
        while let Some(last) = self.node(job).dependencies.len().checked_sub(1) {
            self.steps.cancellation += 1;
            self.unlink(job, last);
        }
    }
}
