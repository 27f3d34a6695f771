//! Why the graph refuses what it is told. A refusal changes nothing.

use crate::TimeMs;
use std::error::Error;
use std::fmt::{self, Debug, Display, Formatter};

/// The graph does not know the job: it was never added, or it was forgotten.
///
/// ```
/// use dependency::{Graph, JobIndex, UnknownJob};
/// assert_eq!(Graph::new().cancel(JobIndex(4)), Err(UnknownJob(JobIndex(4))));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownJob<I>(
    /// The job.
    pub I,
);

/// Why a job is not added.
///
/// ```
/// use dependency::{AddError, Graph, JobIndex, TimeMs, Urgency};
/// let (job, dependency) = (JobIndex(0), JobIndex(1));
/// let mut graph = Graph::new();
/// let refusal = graph.add(job, &[dependency], TimeMs(0), Urgency::default());
/// assert_eq!(refusal, Err(AddError::UnknownDependency { job, dependency }));
/// let refusal = graph.add(job, &[job], TimeMs(0), Urgency::default());
/// assert_eq!(refusal, Err(AddError::DependsOnItself(job)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddError<I> {
    /// The index belongs to a job of the graph.
    AlreadyKnown(I),
    /// The job is in its own list.
    DependsOnItself(I),
    /// The job needs one that the graph does not know.
    UnknownDependency {
        /// The job that was to be added.
        job: I,
        /// The first unknown job of its list.
        dependency: I,
    },
}

/// Why the end of a job is not recorded.
///
/// ```
/// use dependency::{FinishError, Graph, JobIndex, TimeMs, Urgency};
/// let job = JobIndex(0);
/// let mut graph = Graph::new();
/// graph.add(job, &[], TimeMs(0), Urgency::default()).expect("a new job");
/// graph.cancel(job).expect("a known job");
/// assert_eq!(graph.finish(job, TimeMs(1)), Err(FinishError::Cancelled(job)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishError<I> {
    /// The graph does not know the job.
    Unknown(I),
    /// A job that it needs is not done: an end without a release is an error of the caller.
    NotReleased(I),
    /// The job was cancelled before: the cancellation stands, for all below it.
    Cancelled(I),
    /// The job is done already.
    AlreadyDone {
        /// The job.
        job: I,
        /// The end that was recorded first, which stays.
        at: TimeMs,
    },
}

/// Why a job is not forgotten.
///
/// ```
/// use dependency::{ForgetError, Graph, JobIndex, TimeMs, Urgency};
/// let job = JobIndex(0);
/// let mut graph = Graph::new();
/// graph.add(job, &[], TimeMs(0), Urgency::default()).expect("a new job");
/// assert_eq!(graph.forget(job), Err(ForgetError::Unfinished(job)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForgetError<I> {
    /// The graph does not know the job.
    Unknown(I),
    /// The job is neither done nor cancelled.
    Unfinished(I),
    /// Its cancellation has not reached all jobs that need it, or is not yet returned as completed.
    CancellationPending(I),
}

impl<I: Debug> Display for UnknownJob<I> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "job {:?} is unknown", self.0)
    }
}

impl<I: Debug> Display for AddError<I> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::AlreadyKnown(job) => write!(f, "job {job:?} is known already"),
            Self::DependsOnItself(job) => write!(f, "job {job:?} needs itself"),
            Self::UnknownDependency { job, dependency } => {
                write!(f, "job {job:?} needs job {dependency:?}, which is unknown")
            }
        }
    }
}

impl<I: Debug> Display for FinishError<I> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(job) => write!(f, "job {job:?} is unknown"),
            Self::NotReleased(job) => write!(f, "job {job:?} ended, but it was not released"),
            Self::Cancelled(job) => write!(f, "job {job:?} ended, but it was cancelled before"),
            Self::AlreadyDone { job, at } => write!(f, "job {job:?} is done since {} ms", at.0),
        }
    }
}

impl<I: Debug> Display for ForgetError<I> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(job) => write!(f, "job {job:?} is unknown"),
            Self::Unfinished(job) => write!(f, "job {job:?} is neither done nor cancelled"),
            Self::CancellationPending(job) => {
                write!(
                    f,
                    "the cancellation of job {job:?} has not reached all jobs that need it"
                )
            }
        }
    }
}

impl<I: Debug> Error for UnknownJob<I> {}
impl<I: Debug> Error for AddError<I> {}
impl<I: Debug> Error for FinishError<I> {}
impl<I: Debug> Error for ForgetError<I> {}
