//! Overload: what a controller that is short of processor time does first, later, or not at all.

pub mod load_shedding;
pub mod plan_pacing;
pub mod precedence;
