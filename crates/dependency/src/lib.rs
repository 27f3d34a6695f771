//! Dependency graphs of jobs: what a job waits for, when it is released, what is cancelled with it, and the priority
//! and latest finish that it inherits from the jobs that need it.
//!
//! A [`Graph`] is a directed acyclic graph of jobs. An edge goes from a job to each job that needs it, and exists only
//! as long as both are unfinished: the end or the cancellation of a job removes its edges, and [`Graph::forget`] frees
//! the rest. Jobs name only jobs that the graph knows already, so a cycle cannot be made; the graph asserts it.
//!
//! - **Release**: [`Graph::finish`] records the committed end of a job and returns the jobs that it releases, each with
//!   the moment at which the last job that it needs ended.
//! - **Cancellation**: [`Graph::cancel`] cancels a job; [`Graph::continue_cancellation`] goes on to the jobs below it,
//!   at most a given number a call. A job that names a cancelled one is cancelled as it is added. Until a cancellation
//!   has reached a job, that job is [`JobState::Waiting`] and cannot be released.
//! - **Inheritance**: a job has the highest priority of any job that needs it, and the latest finish that leaves enough
//!   time for the longest path below it (the backward pass of the critical path method).
//!   [`Graph::update_inheritance`] carries changes along the edges that changed, in bounded steps.
//!
//! The graph believes what it is told. Its user tells it committed records alone: the end of a job once the ends of
//! *all* its tasks are committed, a cancellation once its durable intent is. An end and a cancellation of one job that
//! meet are decided by the user's compare-and-swap; the graph refuses whichever comes second.
//!
//! A graph is built anew from records, as after a failover, in any topological order, such as that of acceptance: each
//! job after those that it names, a done or cancelled one with its end or cancellation right after it. Below a
//! cancelled job the rest is then cancelled as it is added.
//!
//! Work follows change: [`Graph::steps`] counts it. Nothing recurses, so long chains need no stack.
//!
//! This package may not do I/O, read a clock or draw random numbers. **The service does not use it yet**: `control` is
//! to use it once jobs may name the jobs that they need.
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
//! // They reach the stages above it.
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
//! // Its cancellation reaches the third.
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
