//! The messages of all HTTP interfaces but that between controllers, under one path.
//!
//! They are defined by whom they are exchanged with; nothing else in this crate imports this module.

pub use crate::agents::{Cause, Heartbeat, Order, Orders, Redirect, TaskStage, TaskStatus};
pub use crate::cloud::{
    Catalog, HireRequest, ListedMachine, MachineList, MachineNames, MachineType,
};
pub use crate::state_service::{
    Change, Changes, Condition, Conflict, Grant, GrantRequest, Item, Range, Revision, Transaction,
    Write,
};
pub use crate::users::{ErrorBody, JobSpec, JobState, Kind, MAX_TASKS, MAX_TYPES, Priority, Stage};

/// Largest request body, and largest response to agents and users, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
