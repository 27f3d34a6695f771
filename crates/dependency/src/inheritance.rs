//! Inheritance: priority and latest finish are passed from a job to its dependencies.
//!
//! This is an incremental backward pass of the critical path method: a change marks the jobs on which their dependents'
//! requirements changed, and an update recomputes marked jobs, last added first. All dependents of a job were added
//! after it, so each job is recomputed once per update, however many paths lead to it.

use crate::{DenseIndex, DurationMs, Graph, Priority, TimeMs, UnknownJob};
use std::collections::BTreeMap;

/// The urgency of a job by itself.
///
/// ```
/// use dependency::{DurationMs, Priority, Urgency};
/// let urgency = Urgency { duration: DurationMs(8_000), ..Urgency::default() };
/// assert_eq!((urgency.priority, urgency.deadline), (Priority(0), None));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Urgency {
    /// Its own priority.
    pub priority: Priority,
    /// Its own deadline, if any.
    pub deadline: Option<TimeMs>,
    /// The estimated time from its start to its end, at its intended parallelism.
    pub duration: DurationMs,
}

/// The urgency of a job including that of all jobs below it.
///
/// ```
/// use dependency::{Inherited, Priority, TimeMs};
/// let inherited = Inherited { priority: Priority(2), latest_finish: Some(TimeMs(60_000)) };
/// assert!(inherited.priority > Priority(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inherited {
    /// The highest priority of the job and all its direct and indirect dependents.
    pub priority: Priority,
    /// The time by which the job has to be done so that its own deadline and all deadlines below it can be met: the
    /// earliest of these deadlines, each less the duration of the longest path to it. `None` without any deadline.
    pub latest_finish: Option<TimeMs>,
}

/// What one call of [`Graph::update_inheritance`] did.
///
/// ```
/// let update = dependency::Graph::<dependency::JobIndex>::new().update_inheritance(10);
/// assert!(update.changed.is_empty() && update.complete);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InheritanceUpdate<I> {
    /// The jobs whose priority or latest finish changed, last added first.
    pub changed: Vec<I>,
    /// Whether all jobs are up to date.
    pub complete: bool,
}

/// What a job requires of each of its dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Requirement {
    priority: Priority,
    /// When the job has to start in order to finish in time.
    latest_start: Option<TimeMs>,
}

/// What all dependents require of a job, with the number of dependents per value.
#[derive(Clone, Debug, Default)]
pub(crate) struct Requirements {
    priorities: Multiset<Priority>,
    latest_starts: Multiset<TimeMs>,
}

impl Requirements {
    pub(crate) fn insert(&mut self, requirement: Requirement) {
        self.priorities.insert(requirement.priority);
        if let Some(latest_start) = requirement.latest_start {
            self.latest_starts.insert(latest_start);
        }
    }

    pub(crate) fn remove(&mut self, requirement: Requirement) {
        self.priorities.remove(requirement.priority);
        if let Some(latest_start) = requirement.latest_start {
            self.latest_starts.remove(latest_start);
        }
    }
}

/// Values with the number of their occurrences.
#[derive(Clone, Debug)]
struct Multiset<T>(BTreeMap<T, usize>);

impl<T> Default for Multiset<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Ord> Multiset<T> {
    fn insert(&mut self, value: T) {
        *self.0.entry(value).or_default() += 1;
    }

    fn remove(&mut self, value: T) {
        let count = self.0.get_mut(&value).expect("a value that was inserted");
        *count -= 1;
        if *count == 0 {
            self.0.remove(&value);
        }
    }
}

impl Inherited {
    pub(crate) fn of(own: Urgency, requirements: &Requirements) -> Self {
        let highest = requirements
            .priorities
            .0
            .last_key_value()
            .map(|(&priority, _)| priority);
        let earliest = requirements
            .latest_starts
            .0
            .first_key_value()
            .map(|(&start, _)| start);
        Self {
            priority: highest.map_or(own.priority, |priority| priority.max(own.priority)),
            latest_finish: own.deadline.into_iter().chain(earliest).min(),
        }
    }

    pub(crate) fn requirement(self, duration: DurationMs) -> Requirement {
        Requirement {
            priority: self.priority,
            latest_start: self.latest_finish.map(|finish| finish.before(duration)),
        }
    }
}

impl<I: DenseIndex> Graph<I> {
    /// The urgency of an unfinished job including that of the jobs below it, as of the last update that reached it.
    /// `None` for a job that is unknown, done or cancelled.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex};
    /// assert_eq!(Graph::new().inherited(JobIndex(0)), None);
    /// ```
    pub fn inherited(&self, job: I) -> Option<Inherited> {
        let node = self.nodes.get(job.position())?;
        node.is_unfinished().then_some(node.inherited)
    }

    /// Sets the own urgency of an unfinished job, for example when its estimate changes. No effect on an ended job.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex, Priority, TimeMs, Urgency};
    /// let job = JobIndex(0);
    /// let mut graph = Graph::new();
    /// graph.add(job, &[], TimeMs(0), Urgency::default())?;
    /// graph.set_urgency(job, Urgency { priority: Priority(3), ..Urgency::default() })?;
    /// graph.update_inheritance(1);
    /// assert_eq!(graph.inherited(job).map(|inherited| inherited.priority), Some(Priority(3)));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_urgency(&mut self, job: I, urgency: Urgency) -> Result<(), UnknownJob<I>> {
        let node = self.known(job)?;
        if node.is_unfinished() && node.urgency != urgency {
            self.node_mut(job).urgency = urgency;
            self.mark_stale(job);
        }
        Ok(())
    }

    /// Propagates changes until all jobs are up to date or `limit` steps are done: one for each job that is recomputed,
    /// and one for each edge to a dependency if the job's requirement changed. The last job is always completed, so the
    /// limit may be exceeded by the number of its dependencies.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex, Priority, TimeMs, Urgency};
    /// let (job, below) = (JobIndex(0), JobIndex(1));
    /// let mut graph = Graph::new();
    /// graph.add(job, &[], TimeMs(0), Urgency::default())?;
    /// let high = Urgency { priority: Priority(2), ..Urgency::default() };
    /// graph.add(below, &[job], TimeMs(0), high)?;
    /// assert!(!graph.update_inheritance(0).complete);
    /// assert_eq!(graph.update_inheritance(1).changed, [job]);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn update_inheritance(&mut self, limit: u64) -> InheritanceUpdate<I> {
        let end = self.steps.inheritance.saturating_add(limit);
        let mut changed = Vec::new();
        while self.steps.inheritance < end {
            let Some((_, job)) = self.stale.pop_last() else {
                break;
            };
            if self.recompute(job) {
                changed.push(job);
            }
        }
        InheritanceUpdate {
            changed,
            complete: self.stale.is_empty(),
        }
    }

    /// Recomputes what a job inherits, propagates its requirement to its dependencies if that changed, and returns
    /// whether what it inherits changed.
    fn recompute(&mut self, job: I) -> bool {
        self.steps.inheritance += 1;
        let node = self.node_mut(job);
        let inherited = Inherited::of(node.urgency, &node.requirements);
        let requirement = inherited.requirement(node.urgency.duration);
        let before = std::mem::replace(&mut node.inherited, inherited);
        if requirement != node.requirement {
            self.propagate_to_dependencies(job, requirement);
        }
        inherited != before
    }

    fn propagate_to_dependencies(&mut self, job: I, requirement: Requirement) {
        let before = std::mem::replace(&mut self.node_mut(job).requirement, requirement);
        for position in 0..self.node(job).dependencies.len() {
            self.steps.inheritance += 1;
            let dependency = self.node(job).dependencies[position].job;
            let dependency_node = self.node_mut(dependency);
            // A dependency that is cancelled, with its cancellation still pending, inherits nothing.
            if dependency_node.is_unfinished() {
                dependency_node.requirements.remove(before);
                dependency_node.requirements.insert(requirement);
                self.mark_stale(dependency);
            }
        }
    }

    /// Marks an unfinished job for recomputation of what it inherits.
    pub(crate) fn mark_stale(&mut self, job: I) {
        let order = self.node(job).order;
        self.stale.insert((order, job));
    }

    /// Removes the mark of a job that is about to end.
    pub(crate) fn clear_stale(&mut self, job: I) {
        let order = self.node(job).order;
        self.stale.remove(&(order, job));
    }
}
