//! Scheduling: the planner's input, what follows from its plan, urgent placement and quota entitlement.

pub(crate) mod entitlement;
pub(crate) mod planning;
pub(crate) mod urgent;
