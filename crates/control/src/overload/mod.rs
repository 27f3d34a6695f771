//! Overload control: what a controller that is short of processor time does first, delays or rejects.

pub mod load_shedding;
pub mod plan_pacing;
pub mod precedence;
