//! Dependency graphs of jobs: what a job waits for, when it is released, what is cancelled with it, and the priority
//! and latest finish that it inherits from its dependents.
//!
//! A [`Graph`] is a directed acyclic graph of jobs. An edge goes from a job to each of its dependents, and exists only
//! while both are unfinished: the end or the cancellation of a job removes its edges, and [`Graph::forget`] frees the
//! job itself. A job can only depend on jobs that the graph already contains, so no cycle can arise; the graph asserts
//! this. "Below" a job are its direct and indirect dependents, "above" it are its dependencies.
//!
//! - **Release**: [`Graph::finish`] records the committed end of a job and returns the jobs that it releases, each with
//!   the time at which the last of its dependencies ended.
//! - **Cancellation**: [`Graph::cancel`] cancels a job. [`Graph::continue_cancellation`] propagates this to the jobs
//!   below it, a bounded number per call. A job that depends on a cancelled one is cancelled when it is added. Until a
//!   cancellation has reached a job, that job is [`JobState::Waiting`] and cannot be released.
//! - **Inheritance**: a job has the highest priority of itself and all jobs below it, and the latest finish that leaves
//!   enough time for the longest path below it (the backward pass of the critical path method).
//!   [`Graph::update_inheritance`] propagates changes along the affected edges, in bounded steps.
//!
//! The graph trusts its caller, who must report committed records only: the end of a job once the ends of *all* its
//! tasks are committed, a cancellation once its durable intent is. The caller's compare-and-swap decides between a
//! concurrent end and cancellation of the same job; the graph refuses the one that is reported second.
//!
//! After a failover, a graph is rebuilt from records in any topological order, such as the order of acceptance: each
//! job after its dependencies, and the end or cancellation of a job directly after the job itself. Jobs below a
//! cancelled one are then cancelled as they are added.
//!
//! The cost of an operation is proportional to the change, not to the size of the graph; [`Graph::steps`] counts it.
//! Nothing recurses, so long chains cannot overflow the stack.
//!
//! This package must not do I/O, read a clock or draw random numbers. **The service does not use it yet**: `control` is
//! to use it once jobs can declare dependencies.
//!
//! ```
//! use dependency::{DurationMs, Graph, JobIndex, JobState, Priority, TimeMs, Urgency};
//!
//! let [crop, stamp, publish] = [JobIndex(0), JobIndex(1), JobIndex(2)];
//! let stage = |seconds: u64| Urgency {
//!     priority: Priority(0),
//!     deadline: None,
//!     duration: DurationMs(seconds * 1_000),
//! };
//! let mut graph = Graph::new();
//! graph.add(crop, &[], TimeMs(0), stage(15))?;
//! graph.add(stamp, &[crop], TimeMs(100), stage(25))?;
//! // The last stage alone has a deadline and a priority.
//! let last = Urgency { priority: Priority(2), deadline: Some(TimeMs(90_000)), ..stage(8) };
//! assert_eq!(graph.add(publish, &[stamp], TimeMs(200), last)?, JobState::Waiting);
//!
//! // Both are inherited by the stages before it.
//! let update = graph.update_inheritance(100);
//! assert!(update.complete);
//! assert_eq!(update.changed, [stamp, crop]);
//! let inherited = graph.inherited(crop).expect("an unfinished job");
//! assert_eq!(inherited.priority, Priority(2));
//! assert_eq!(inherited.latest_finish, Some(TimeMs(90_000 - 8_000 - 25_000)));
//!
//! // The end of the first stage releases the second.
//! let released = graph.finish(crop, TimeMs(16_000))?;
//! assert_eq!((released[0].job, released[0].at), (stamp, TimeMs(16_000)));
//!
//! // The cancellation of the second propagates to the third.
//! graph.cancel(stamp)?;
//! let step = graph.continue_cancellation(10);
//! assert_eq!((step.cancelled, step.completed), (vec![publish], vec![stamp]));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod cancellation;
mod error;
mod graph;
mod index;
mod inheritance;
mod node;
mod release;
mod table;
mod units;

pub use cancellation::{CancelOutcome, CancellationStep};
pub use error::{AddError, FinishError, ForgetError, UnknownJob};
pub use graph::{Graph, JobState, Steps};
pub use index::{DenseIndex, JobIndex};
pub use inheritance::{InheritanceUpdate, Inherited, Urgency};
pub use release::Release;
pub use units::{DurationMs, Priority, TimeMs};
