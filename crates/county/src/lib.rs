//! Counties: the county whose forms a job processes, the isolation that the county requires, and the job counts that
//! are published for each county.
//!
//! [`Spec`] is the document as operators write it and as it is stored. [`Counties`] is the validated document; its
//! first matching rule decides which county a job belongs to. A job is bound once, when it is accepted:
//! [`Counties::bind`]. [`Tally`] holds the counts of ended jobs. Each delta carries the number of the log record that
//! contains it, and is added to a sheet that has a watermark, so that lost, late and repeated writes are counted
//! exactly once. `docs/counties/design.md` compares the alternatives and cites published sources.
//!
//! This package must not do I/O, read a clock or draw random numbers. It does not depend on controllers or machines.

mod bind;
mod content;
pub mod file;
mod spec;
mod tally;

pub use bind::{Bound, Counties, Job, Known, Unbound};
pub use content::Part;
pub use spec::{Apart, CountySpec, Others, Rule, Spec, differences, lost};
pub use tally::{Cell, Count, Delta, Fold, Sheet, Tally, Unread};

/// The most counties in a document.
pub const MAX_COUNTIES: usize = 2_000;
/// The most rules of all counties together.
pub const MAX_RULES: usize = 8_000;
/// The most names in one list of a rule.
pub const MAX_NAMES: usize = 500;
/// The most zones of one county.
pub const MAX_ZONES: usize = 16;
/// The most bytes of a county's id.
pub const MAX_ID: usize = 64;
/// The most bytes of any other name.
pub const MAX_NAME: usize = 120;
/// The most classes of a county that are counted separately; further ones are counted together, as [`OTHER`].
pub const MAX_CLASSES: usize = 32;
/// The class that counts all classes beyond [`MAX_CLASSES`], and the county of jobs that no rule matches.
pub const OTHER: &str = "(other)";
