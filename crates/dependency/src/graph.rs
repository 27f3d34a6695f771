//! The graph: its jobs and the edges between them.

use crate::cancellation::Traversal;
use crate::inheritance::Requirements;
use crate::node::{Edge, Node, take_edge};
use crate::table::Table;
use crate::{AddError, DenseIndex, ForgetError, Inherited, TimeMs, UnknownJob, Urgency};
use std::collections::{BTreeSet, VecDeque};

/// A directed acyclic graph of jobs that need other jobs.
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
    /// The order of the next job.
    next_order: u64,
    edges: usize,
    /// Cancellations that have not reached all jobs, oldest first.
    pub(crate) traversals: VecDeque<Traversal<I>>,
    /// Unfinished jobs whose requirements changed, by their order.
    pub(crate) stale: BTreeSet<(u64, I)>,
    pub(crate) steps: Steps,
}

/// The state of a job, as far as the graph knows it.
///
/// ```
/// use dependency::{JobState, TimeMs};
/// assert_ne!(JobState::Released { at: TimeMs(1) }, JobState::Done { at: TimeMs(1) });
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// A job that it needs is not done.
    Waiting,
    /// All that it needs is done; it may start.
    Released {
        /// When the last job that it needs ended, or its own acceptance if that came later.
        at: TimeMs,
    },
    /// Its end is recorded.
    Done {
        /// When it ended.
        at: TimeMs,
    },
    /// It is cancelled, by itself or with a job that it needs.
    Cancelled,
}

/// The work done since the graph was made, to check that it follows change.
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
    /// Jobs added, and entries of their lists.
    pub added: u64,
    /// Ends recorded, and edges to the jobs that waited for them.
    pub release: u64,
    /// Jobs cancelled, edges removed with them, and jobs found to have no dependents left.
    pub cancellation: u64,
    /// Jobs whose inheritance was computed, and edges along which a change was carried.
    pub inheritance: u64,
}

impl<I: DenseIndex> Default for Graph<I> {
    fn default() -> Self {
        Self::new()
    }
}

impl<I: DenseIndex> Graph<I> {
    /// A graph without jobs.
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

    /// Adds a job that was accepted at `accepted` and needs the jobs `dependencies`, and says how it stands.
    ///
    /// Jobs that are named twice count once. Every job that is named has to be known, in whichever state: so each edge
    /// goes from an earlier job to a later one, and no cycle can be made. A job that names a cancelled one is cancelled
    /// at once, and its own dependents with it; no later step of a cancellation returns it. Below a job that a pending
    /// cancellation has still to reach, it waits and is cancelled with that job.
    ///
    /// A job that ended and was forgotten has to be added again, with its end or its cancellation, before it is named.
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

    /// The state of a job that is accepted now and needs these, and the latest of their ends so far.
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

    /// Makes the edge from a job to one that needs it.
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

    /// Removes the edge at a position of a job's list of needs, and what the job asks of the need.
    pub(crate) fn unlink(&mut self, job: I, position: usize) {
        let requirement = self.node(job).requirement;
        let (edge, moved) = take_edge(&mut self.node_mut(job).dependencies, position);
        if let Some(moved) = moved {
            self.node_mut(moved.job).dependents[moved.reverse].reverse = position;
        }
        let dependency = self.node_mut(edge.job);
        let (back, moved) = take_edge(&mut dependency.dependents, edge.reverse);
        assert_eq!(back.job, job, "both ends of an edge name each other");
        if dependency.is_unfinished() {
            dependency.requirements.remove(requirement);
            self.mark_stale(edge.job);
        }
        if let Some(moved) = moved {
            self.node_mut(moved.job).dependencies[moved.reverse].reverse = edge.reverse;
        }
        self.edges -= 1;
    }

    /// Forgets a job that is done, or cancelled with all that need it, and frees its memory. Its index may be used
    /// again. Jobs that needed it are not changed.
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

    /// The state of a job; none if it is unknown.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex};
    /// assert_eq!(Graph::new().state(JobIndex(0)), None);
    /// ```
    pub fn state(&self, job: I) -> Option<JobState> {
        Some(self.nodes.get(job.position())?.state)
    }

    /// Whether the graph knows the job.
    ///
    /// ```
    /// use dependency::{Graph, JobIndex};
    /// assert!(!Graph::new().contains(JobIndex(0)));
    /// ```
    pub fn contains(&self, job: I) -> bool {
        self.nodes.get(job.position()).is_some()
    }

    /// The jobs that a job waits for, in no order; none for one that does not wait.
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

    /// The unfinished jobs that wait for a job, in no order. Below a cancelled job: those that its cancellation has
    /// still to reach.
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

    /// How many jobs the graph knows.
    ///
    /// ```
    /// assert_eq!(dependency::Graph::<dependency::JobIndex>::new().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the graph knows no job.
    ///
    /// ```
    /// assert!(dependency::Graph::<dependency::JobIndex>::new().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many edges there are, from an unfinished job (or one whose cancellation is pending) to one that needs it.
    ///
    /// ```
    /// assert_eq!(dependency::Graph::<dependency::JobIndex>::new().edges(), 0);
    /// ```
    pub fn edges(&self) -> usize {
        self.edges
    }

    /// The work done since the graph was made.
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

    /// A job that is known to be in the graph.
    pub(crate) fn node(&self, job: I) -> &Node<I> {
        self.nodes.get(job.position()).expect("a job of the graph")
    }

    /// A job that is known to be in the graph.
    pub(crate) fn node_mut(&mut self, job: I) -> &mut Node<I> {
        self.nodes
            .get_mut(job.position())
            .expect("a job of the graph")
    }
}
