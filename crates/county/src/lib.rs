//! Counties: whose forms a job holds, what that keeps apart, and the counts that are published of each.
//!
//! [`Spec`] is what people and records say of counties; [`Counties`] is that once checked, and says by the first rule
//! that fits to which one a job belongs. That is asked once, when a job is accepted: [`Counties::bind`]. [`Tally`]
//! holds the counts of what has ended. Deltas come with the number of the record that they stand in, and are folded
//! into sheets with a watermark, so that each is counted once whatever is lost, late or repeated.
//! `docs/counties/design.md` weighs the ways and names their published sources.
//!
//! This package may not do I/O, read a clock or draw random numbers. It knows nothing of controllers or machines.

mod bind;
mod content;
pub mod file;
mod spec;
mod tally;

pub use bind::{Bound, Counties, Job, Known, Unbound};
pub use content::Part;
pub use spec::{Apart, CountySpec, Others, Rule, Spec, differences, lost};
pub use tally::{Cell, Count, Delta, Fold, Sheet, Tally, Unread};

/// Counties of one document, and rules of all of them.
pub const MAX_COUNTIES: usize = 2_000;
pub const MAX_RULES: usize = 8_000;
/// Names in one list of a rule, and zones of one county.
pub const MAX_NAMES: usize = 500;
pub const MAX_ZONES: usize = 16;
/// Bytes of a county's id, and of any other name.
pub const MAX_ID: usize = 64;
pub const MAX_NAME: usize = 120;
/// Classes of a county that are counted by themselves; later ones are counted together, as [`OTHER`].
pub const MAX_CLASSES: usize = 32;
/// The class under which those beyond [`MAX_CLASSES`] are counted, and the county of jobs that no rule fits.
pub const OTHER: &str = "(other)";
