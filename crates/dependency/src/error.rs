//! Errors of the graph's operations. A failed operation changes nothing.

use crate::TimeMs;
use std::error::Error;
use std::fmt::{self, Debug, Display, Formatter};

/// The graph does not contain the job: it was never added, or it was forgotten.
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

/// Why a job cannot be added.
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
    /// The index already belongs to a job of the graph.
    AlreadyKnown(I),
    /// The job is one of its own dependencies.
    DependsOnItself(I),
    /// The job depends on one that the graph does not contain.
    UnknownDependency {
        /// The job that cannot be added.
        job: I,
        /// Its first unknown dependency.
        dependency: I,
    },
}

/// Why the end of a job cannot be recorded.
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
    /// The graph does not contain the job.
    Unknown(I),
    /// A dependency of the job is not done: an end without a release is an error of the caller.
    NotReleased(I),
    /// The job was cancelled before. The cancellation stands, also for all jobs below it.
    Cancelled(I),
    /// The job is already done.
    AlreadyDone {
        /// The job.
        job: I,
        /// The end that was recorded first, which is kept.
        at: TimeMs,
    },
}

/// Why a job cannot be forgotten.
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
    /// The graph does not contain the job.
    Unknown(I),
    /// The job is neither done nor cancelled.
    Unfinished(I),
    /// Its cancellation has not reached all its dependents, or has not been returned as completed yet.
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
            Self::AlreadyKnown(job) => write!(f, "job {job:?} is already known"),
            Self::DependsOnItself(job) => write!(f, "job {job:?} depends on itself"),
            Self::UnknownDependency { job, dependency } => {
                write!(
                    f,
                    "job {job:?} depends on job {dependency:?}, which is unknown"
                )
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
            Self::AlreadyDone { job, at } => {
                write!(f, "job {job:?} is already done, since {} ms", at.0)
            }
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
                    "the cancellation of job {job:?} has not reached all its dependents"
                )
            }
        }
    }
}

impl<I: Debug> Error for UnknownJob<I> {}
impl<I: Debug> Error for AddError<I> {}
impl<I: Debug> Error for FinishError<I> {}
impl<I: Debug> Error for ForgetError<I> {}
