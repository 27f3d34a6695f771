//! Agents: the machines and their heartbeats, the orders that answer them, direct commands, and relays.

pub(crate) mod commands;
pub(crate) mod heartbeat;
pub(crate) mod machine;
pub(crate) mod orders;
pub(crate) mod reconciliation;
pub(crate) mod relay;
pub(crate) mod routing;
