//! Communication with workers, the agents that run on the machines: heartbeats, the orders sent in reply, direct
//! commands, and relaying by other controllers.

pub(crate) mod command_fence;
pub(crate) mod commands;
pub(crate) mod heartbeat;
pub(crate) mod machine;
pub(crate) mod orders;
pub(crate) mod reconciliation;
pub(crate) mod relay;
pub(crate) mod routing;
