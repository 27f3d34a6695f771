//! The graph of jobs and the edges between them.

use crate::cancellation::Traversal;
use crate::inheritance::Requirements;
use crate::node::{Edge, Node, take_edge};
use crate::table::Table;
use crate::{AddError, DenseIndex, ForgetError, Inherited, TimeMs, UnknownJob, Urgency};
use std::collections::{BTreeSet, VecDeque};

/// A directed acyclic graph of jobs and their dependencies.
///
/// ```
/// use dependency::{Graph, JobIndex, JobState, TimeMs, Urgency};
/// let mut graph = Graph::new();
/// let (first, second) = (JobIndex(0), JobIndex(1));
/// assert_eq!(
///     graph.add(first, &[], TimeMs(10), Urgency::default()),
///     Ok(JobState::Released { at: TimeMs(10) })
/// );
/// assert_eq!(graph.add(second, &[first], TimeMs(11), Urgency::default()), Ok(JobState::Waiting));
/// assert!(graph.unfinished_dependencies(second).eq([first]));
/// ```
#[derive(Clone, Debug)]
pub struct Graph<I> {
    pub(crate) nodes: Table<Node<I>>,
    /// The `order` of the next job that is added.
    next_order: u64,
    edges: usize,
    /// Pending cancellations, oldest first.
    pub(crate) traversals: VecDeque<Traversal<I>>,
    /// Unfinished jobs whose inheritance has to be recomputed, by `order`.
    pub(crate) stale: BTreeSet<(u64, I)>,
    pub(crate) steps: Steps,
}

/// The state of a job as reported to the graph.
///
/// ```
/// use dependency::{JobState, TimeMs};
/// assert_ne!(JobState::Released { at: TimeMs(1) }, JobState::Done { at: TimeMs(1) });
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// At least one dependency is not done.
    Waiting,
    /// All dependencies are done; the job may start.
    Released {
        /// When the last of its dependencies ended, or its own acceptance if that is later.
        at: TimeMs,
    },
    /// Its end is recorded.
    Done {
        /// When it ended.
        at: TimeMs,
    },
    /// The job is cancelled, either directly or because a job above it is.
    Cancelled,
}

/// Counters of the work done since the graph was created, to check that the cost is proportional to the changes.
///
/// ```
/// use dependency::{Graph, JobIndex, Steps, TimeMs, Urgency};
/// let mut graph = Graph::new();
/// graph.add(JobIndex(0), &[], TimeMs(0), Urgency::default()).expect("a new job");
/// graph.add(JobIndex(1), &[JobIndex(0)], TimeMs(0), Urgency::default()).expect("a new job");
/// assert_eq!(graph.steps(), Steps { added: 3, ..Steps::default() });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Steps {
    /// Jobs added, and their dependencies.
    pub added: u64,
    /// Ends recorded, and edges removed to the jobs that waited for them.
    pub release: u64,
    /// Jobs cancelled, edges removed with them, and jobs found without remaining dependents.
    pub cancellation: u64,
    /// Jobs whose inheritance was recomputed, and edges along which a change was propagated.
    pub inheritance: u64,
}

impl<I: DenseIndex> Default for Graph<I> {
    fn default() -> Self {
        Self::new()
    }
}

impl<I: DenseIndex> Graph<I> {
    /// Creates an empty graph.
    ///
    /// ```
    /// assert_eq!(dependency::Graph::<dependency::JobIndex>::new().len(), 0);
    /// ```
    pub fn new() -> Self {
        Self {
            nodes: Table::new(),
            next_order: 0,
            edges: 0,
            traversals: VecDeque::new(),
            stale: BTreeSet::new(),
            steps: Steps::default(),
        }
    }

    /// Adds a job that was accepted at `accepted` and depends on `dependencies`, and returns its state.
    ///
    /// Repeated dependencies count once. Every dependency has to be in the graph, in any state: so each edge goes from
    /// an earlier job to a later one, and no cycle can arise. A job that depends on a cancelled one is cancelled at
    /// once, and so are its own dependents as they are added; [`Graph::continue_cancellation`] does not return it. A
    /// job that depends on one that a pending cancellation has yet to reach waits, and is cancelled by the same
    /// cancellation.
    ///
    /// A job that was forgotten has to be added again, with its end or cancellation, before other jobs can depend on
    /// it.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex, JobState, TimeMs, Urgency};
    /// let (cancelled, below) = (JobIndex(0), JobIndex(1));
    /// let mut graph = Graph::new();
    /// graph.add(cancelled, &[], TimeMs(0), Urgency::default())?;
    /// graph.cancel(cancelled)?;
    /// assert_eq!(graph.add(below, &[cancelled], TimeMs(1), Urgency::default())?, JobState::Cancelled);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn add(
        &mut self,
        job: I,
        dependencies: &[I],
        accepted: TimeMs,
        urgency: Urgency,
    ) -> Result<JobState, AddError<I>> {
        self.check_new(job, dependencies)?;
        let mut dependencies = dependencies.to_vec();
        dependencies.sort_unstable();
        dependencies.dedup();
        self.steps.added += 1 + dependencies.len() as u64;

        let order = self.next_order;
        self.next_order += 1;
        let (state, latest_end) = self.initial_state(&dependencies, accepted);
        let inherited = Inherited::of(urgency, &Requirements::default());
        let node = Node {
            order,
            state,
            cancellation_pending: false,
            latest_end,
            dependencies: Vec::new(),
            dependents: Vec::new(),
            urgency,
            inherited,
            requirement: inherited.requirement(urgency.duration),
            requirements: Requirements::default(),
        };
        self.nodes.insert(job.position(), node);
        if state == JobState::Waiting {
            dependencies.retain(|&dependency| self.node(dependency).is_unfinished());
            self.node_mut(job)
                .dependencies
                .reserve_exact(dependencies.len());
            for dependency in dependencies {
                self.link(dependency, job);
            }
        }
        Ok(state)
    }

    fn check_new(&self, job: I, dependencies: &[I]) -> Result<(), AddError<I>> {
        if self.contains(job) {
            return Err(AddError::AlreadyKnown(job));
        }
        if dependencies.contains(&job) {
            return Err(AddError::DependsOnItself(job));
        }
        match dependencies
            .iter()
            .find(|&&dependency| !self.contains(dependency))
        {
            Some(&dependency) => Err(AddError::UnknownDependency { job, dependency }),
            None => Ok(()),
        }
    }

    /// The initial state of a job with these dependencies, and the latest of their ends so far, at least `accepted`.
    fn initial_state(&self, dependencies: &[I], accepted: TimeMs) -> (JobState, TimeMs) {
        let states = || dependencies.iter().map(|&id| self.node(id).state);
        let ends = states().filter_map(|state| match state {
            JobState::Done { at } => Some(at),
            _ => None,
        });
        let latest_end = ends.fold(accepted, TimeMs::max);
        let state = if states().any(|state| state == JobState::Cancelled) {
            JobState::Cancelled
        } else if states().all(|state| matches!(state, JobState::Done { .. })) {
            JobState::Released { at: latest_end }
        } else {
            JobState::Waiting
        };
        (state, latest_end)
    }

    /// Adds the edge from a dependency to `job`.
    fn link(&mut self, dependency: I, job: I) {
        assert!(
            self.node(dependency).order < self.node(job).order,
            "an edge goes from an earlier job to a later one, so there is no cycle"
        );
        let in_dependencies = self.node(job).dependencies.len();
        let in_dependents = self.node(dependency).dependents.len();
        self.node_mut(job).dependencies.push(Edge {
            job: dependency,
            reverse: in_dependents,
        });
        self.node_mut(dependency).dependents.push(Edge {
            job,
            reverse: in_dependencies,
        });
        self.edges += 1;
        let requirement = self.node(job).requirement;
        self.node_mut(dependency).requirements.insert(requirement);
        self.mark_stale(dependency);
    }

    /// Removes the edge at a position of a job's list of dependencies, and the job's requirement on that dependency.
    pub(crate) fn unlink(&mut self, job: I, position: usize) {
        let requirement = self.node(job).requirement;
        let (edge, moved) = take_edge(&mut self.node_mut(job).dependencies, position);
        if let Some(moved) = moved {
            self.node_mut(moved.job).dependents[moved.reverse].reverse = position;
        }
        let dependency = self.node_mut(edge.job);
        let (back, moved) = take_edge(&mut dependency.dependents, edge.reverse);
        assert_eq!(back.job, job, "both ends of an edge refer to each other");
        if dependency.is_unfinished() {
            dependency.requirements.remove(requirement);
            self.mark_stale(edge.job);
        }
        if let Some(moved) = moved {
            self.node_mut(moved.job).dependencies[moved.reverse].reverse = edge.reverse;
        }
        self.edges -= 1;
    }

    /// Removes a job that is done, or whose cancellation has reached all its dependents, and frees its memory. Its
    /// index may be reused. Its former dependents are not changed.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex, TimeMs, Urgency};
    /// let job = JobIndex(0);
    /// let mut graph = Graph::new();
    /// graph.add(job, &[], TimeMs(0), Urgency::default())?;
    /// graph.finish(job, TimeMs(5))?;
    /// graph.forget(job)?;
    /// assert!(graph.is_empty());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn forget(&mut self, job: I) -> Result<(), ForgetError<I>> {
        let node = self
            .nodes
            .get(job.position())
            .ok_or(ForgetError::Unknown(job))?;
        if node.is_unfinished() {
            return Err(ForgetError::Unfinished(job));
        }
        if node.cancellation_pending {
            return Err(ForgetError::CancellationPending(job));
        }
        assert!(
            node.dependencies.is_empty() && node.dependents.is_empty(),
            "an ended job has no edges"
        );
        self.nodes.remove(job.position());
        Ok(())
    }

    /// The state of a job, or `None` if it is unknown.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex};
    /// assert_eq!(Graph::new().state(JobIndex(0)), None);
    /// ```
    pub fn state(&self, job: I) -> Option<JobState> {
        Some(self.nodes.get(job.position())?.state)
    }

    /// Whether the graph contains the job.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex};
    /// assert!(!Graph::new().contains(JobIndex(0)));
    /// ```
    pub fn contains(&self, job: I) -> bool {
        self.nodes.get(job.position()).is_some()
    }

    /// The jobs that a job waits for, in no particular order. Empty for a job that does not wait.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex};
    /// assert_eq!(Graph::new().unfinished_dependencies(JobIndex(0)).count(), 0);
    /// ```
    pub fn unfinished_dependencies(&self, job: I) -> impl Iterator<Item = I> {
        let edges = self
            .nodes
            .get(job.position())
            .map_or(&[][..], |node| &node.dependencies[..]);
        edges.iter().map(|edge| edge.job)
    }

    /// The unfinished jobs that wait for a job, in no particular order. For a cancelled job, those that its
    /// cancellation has yet to reach.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex};
    /// assert_eq!(Graph::new().dependents(JobIndex(0)).count(), 0);
    /// ```
    pub fn dependents(&self, job: I) -> impl Iterator<Item = I> {
        let edges = self
            .nodes
            .get(job.position())
            .map_or(&[][..], |node| &node.dependents[..]);
        edges.iter().map(|edge| edge.job)
    }

    /// Number of jobs in the graph.
    ///
    /// ```
    /// assert_eq!(dependency::Graph::<dependency::JobIndex>::new().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the graph has no jobs.
    ///
    /// ```
    /// assert!(dependency::Graph::<dependency::JobIndex>::new().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of edges from an unfinished job, or one whose cancellation is pending, to a dependent.
    ///
    /// ```
    /// assert_eq!(dependency::Graph::<dependency::JobIndex>::new().edges(), 0);
    /// ```
    pub fn edges(&self) -> usize {
        self.edges
    }

    /// Counters of the work done since the graph was created.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex, Steps};
    /// assert_eq!(Graph::<JobIndex>::new().steps(), Steps::default());
    /// ```
    pub fn steps(&self) -> Steps {
        self.steps
    }

    pub(crate) fn known(&self, job: I) -> Result<&Node<I>, UnknownJob<I>> {
        self.nodes.get(job.position()).ok_or(UnknownJob(job))
    }

    /// The node of a job that must be in the graph.
    pub(crate) fn node(&self, job: I) -> &Node<I> {
        self.nodes.get(job.position()).expect("a job of the graph")
    }

    /// The node of a job that must be in the graph.
    pub(crate) fn node_mut(&mut self, job: I) -> &mut Node<I> {
        self.nodes
            .get_mut(job.position())
            .expect("a job of the graph")
    }
}
