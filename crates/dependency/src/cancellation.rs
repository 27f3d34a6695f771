//! Cancellation: it goes from a job to all that need it, directly or through others, in bounded steps.

use crate::{DenseIndex, Graph, JobState, TimeMs, UnknownJob};
use std::collections::VecDeque;

/// How many jobs may be visited for each job that a call may cancel: one to cancel it, one to leave its list.
const VISITS_PER_JOB: usize = 2;

/// What a cancellation meets.
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
    /// The job is cancelled; those below it follow by [`Graph::continue_cancellation`].
    Cancelled,
    /// It was cancelled before, by itself or with a job that it needs; that cancellation goes on below it.
    AlreadyCancelled,
    /// It is done: nothing is cancelled, and what needs it goes on.
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
    /// The jobs that it cancelled. Over all calls each job is returned once.
    pub cancelled: Vec<I>,
    /// The jobs given to [`Graph::cancel`] whose cancellation has now reached all below them, or has met another
    /// pending one that goes on from there.
    pub completed: Vec<I>,
    /// Whether there is more to do.
    pub pending: bool,
}

/// A cancellation that has not reached all jobs.
#[derive(Clone, Debug)]
pub(crate) struct Traversal<I> {
    /// The job that was cancelled by itself.
    root: I,
    /// Cancelled jobs that may have dependents left, nearest to the root first.
    frontier: VecDeque<I>,
}

impl<I: DenseIndex> Graph<I> {
    /// Cancels a job. The jobs below it are cancelled by [`Graph::continue_cancellation`]; none of them is released
    /// until then, as a job above it will never be done.
    ///
    /// To be called once the durable intent of the cancellation is committed. The graph keeps the list of what is left
    /// to do, so no caller can lose it; after a restart the intent is told again.
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

    /// Goes on with pending cancellations, oldest first and from the nearest job to the farthest:
    /// cancels at most `limit` jobs and visits at most twice as many.
    /// The edges from each of them to the jobs that it needs are removed with it. With a limit of zero it does nothing.
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

    /// Cancels a job that a traversal has reached.
    fn cancel_dependent(&mut self, job: I) {
        self.mark_cancelled(job);
        let traversal = self
            .traversals
            .front_mut()
            .expect("the traversal that reached the job");
        traversal.frontier.push_back(job);
    }

    /// The first job of the oldest traversal's frontier has no dependents left.
    fn remove_from_frontier(&mut self, job: I) {
        self.steps.cancellation += 1;
        let traversal = self
            .traversals
            .front_mut()
            .expect("the traversal that reached the job");
        traversal.frontier.pop_front();
        // The root stays until the traversal is completed, so that its index means the same job in the answer.
        if traversal.root != job {
            self.node_mut(job).cancellation_pending = false;
        }
    }

    /// The oldest traversal has reached all jobs.
    fn complete_traversal(&mut self) -> Option<I> {
        let root = self.traversals.pop_front()?.root;
        self.node_mut(root).cancellation_pending = false;
        Some(root)
    }

    /// Marks a job, takes it off the lists of those that it needs, and what it asked of them with it. Those that need
    /// it stay, until a traversal reaches them.
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
