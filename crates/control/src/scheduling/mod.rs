//! Scheduling: builds the planner's input and applies its output, including urgent placement, scaling and quota
//! entitlement. The planner itself is the `plan` crate.

pub(crate) mod apply_plan;
pub(crate) mod entitlement;
mod fair_share;
mod objectives;
mod plan_input;
mod plan_jobs;
mod plan_machines;
pub(crate) mod planning;
pub(crate) mod quota_usage;
mod reservations;
mod scaling;
pub(crate) mod urgent;
