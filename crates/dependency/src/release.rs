//! Release: a job may start once all its dependencies are done.

use crate::{DenseIndex, FinishError, Graph, JobState, TimeMs};

/// A job that has been released and may start.
///
/// ```
/// use dependency::{JobIndex, Release, TimeMs};
/// let release = Release { job: JobIndex(3), at: TimeMs(1_000) };
/// assert_eq!(release.at, TimeMs(1_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release<I> {
    /// The job.
    pub job: I,
    /// When the last of its dependencies ended, or its own acceptance if that is later.
    pub at: TimeMs,
}

impl<I: DenseIndex> Graph<I> {
    /// Records that a released job was done at `at`, and returns the jobs that this releases, ordered by index.
    ///
    /// Must be called with committed ends only: for an array or a gang, once the ends of all tasks are committed. Ends
    /// may be reported in a different order than they happened in.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex, Release, TimeMs, Urgency};
    /// let [a, b, both] = [JobIndex(0), JobIndex(1), JobIndex(2)];
    /// let mut graph = Graph::new();
    /// graph.add(a, &[], TimeMs(0), Urgency::default())?;
    /// graph.add(b, &[], TimeMs(0), Urgency::default())?;
    /// graph.add(both, &[a, b], TimeMs(0), Urgency::default())?;
    /// assert_eq!(graph.finish(a, TimeMs(70))?, []);
    /// assert_eq!(graph.finish(b, TimeMs(50))?, [Release { job: both, at: TimeMs(70) }]);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn finish(&mut self, job: I, at: TimeMs) -> Result<Vec<Release<I>>, FinishError<I>> {
        match self.state(job) {
            None => return Err(FinishError::Unknown(job)),
            Some(JobState::Waiting) => return Err(FinishError::NotReleased(job)),
            Some(JobState::Cancelled) => return Err(FinishError::Cancelled(job)),
            Some(JobState::Done { at }) => return Err(FinishError::AlreadyDone { job, at }),
            Some(JobState::Released { .. }) => {}
        }
        self.steps.release += 1;
        self.clear_stale(job);
        let node = self.node_mut(job);
        node.state = JobState::Done { at };
        node.clear_requirements();

        let mut released = Vec::new();
        while let Some(&edge) = self.node(job).dependents.last() {
            self.steps.release += 1;
            self.unlink(edge.job, edge.reverse);
            released.extend(self.dependency_finished(edge.job, at));
        }
        released.sort_unstable_by_key(|release| release.job);
        Ok(released)
    }

    /// Updates `job` after the edge to an ended dependency was removed, and releases it if that was the last one.
    fn dependency_finished(&mut self, job: I, at: TimeMs) -> Option<Release<I>> {
        let node = self.node_mut(job);
        node.latest_end = node.latest_end.max(at);
        if !node.dependencies.is_empty() {
            return None;
        }
        let at = node.latest_end;
        node.state = JobState::Released { at };
        Some(Release { job, at })
    }
}
