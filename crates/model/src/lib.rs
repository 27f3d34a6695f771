//! Models that are served by `standing` jobs and give their machines back while nobody asks for them.
//!
//! [`Spec`] says which jobs are models and how they rest, [`mod@file`] reads it. [`Rec`] is what the state service holds of
//! one model; [`asked`] says what becomes of it when somebody wants the model, at any node, and [`Rec::next`] what its
//! owner makes of it. Whoever acts on either writes the record under a guard on the stamp that it was read with, before
//! anything is done for it: so of all who want to begin a generation one does, and the others go on with that one.
//!
//! This package may not do I/O, read a clock or draw random numbers. It knows nothing of machines or of state services.

pub mod file;
mod rec;
mod rules;
mod spec;

pub use rec::{MAX_NEAR, Phase, Rec, Seen};
pub use rules::{Asked, Why, asked};
pub use spec::{Begin, Job, Rule, Spec};

/// Rules of one document, and jobs that a rule may name.
pub const MAX_RULES: usize = 2_000;
pub const MAX_JOBS: usize = 1_000;
/// Bytes of a name.
pub const MAX_NAME: usize = 120;
/// Most replicas of a model: what a job may have of tasks.
pub const MAX_REPLICAS: u32 = 100_000;
/// Wakes that a record remembers the times of.
pub const MAX_WAKES: u32 = 32;
