//! Scale-to-zero for models that are served by `standing` jobs: a model without demand releases its machines.
//!
//! [`Spec`] defines which jobs are models and when they go to sleep; [`mod@file`] parses it. [`Rec`] is the record of
//! one model in the state service. [`decide_demand`] decides, on any node, what to do about demand for a model, and
//! [`Rec::next_record`] decides its owner's next step. Either decision takes effect only by a write of the record that
//! is conditional on the version that was read, made before any other action. So of all nodes that try to begin a
//! generation one succeeds, and the others follow it.
//!
//! This package must not do I/O, read a clock or draw random numbers. It does not depend on machines or state services.

pub mod file;
mod rec;
mod rules;
mod spec;

pub use rec::{MAX_WEIGHT_HOLDERS, OwnerView, Phase, Rec};
pub use rules::{DemandDecision, Why, decide_demand};
pub use spec::{Begin, Job, Rule, Spec};

/// Maximum number of rules in a document.
pub const MAX_RULES: usize = 2_000;
/// Maximum number of jobs that one rule lists.
pub const MAX_JOBS: usize = 1_000;
/// Maximum length of a name, in bytes.
pub const MAX_NAME: usize = 120;
/// Maximum number of replicas of a model, which is the maximum number of tasks of a job.
pub const MAX_REPLICAS: u32 = 100_000;
/// Maximum number of wake times in a record.
pub const MAX_WAKES: u32 = 32;
