//! Re-exports the messages exchanged with users, agents, the cloud and the state service under one path.
//!
//! The messages are defined in one module per counterpart. Nothing else in this crate imports this module.

pub use crate::agents::{Cause, Heartbeat, Order, Orders, Redirect, TaskStage, TaskStatus};
pub use crate::cloud::{
    Catalog, HireRequest, ListedMachine, MachineList, MachineNames, MachineType,
};
pub use crate::state_service::{
    Change, Changes, Condition, Conflict, Grant, GrantRequest, Item, Range, Revision, Transaction,
    Write,
};
pub use crate::users::{ErrorBody, JobSpec, JobState, Kind, MAX_TASKS, MAX_TYPES, Priority, Stage};

/// Maximum length of a request body, and of a response to agents and users, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
