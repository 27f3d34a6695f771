//! Agents: the machines and their heartbeats, the orders that answer them, direct commands, and relays.

pub(crate) mod heartbeat;
pub(crate) mod machine;
pub(crate) mod relay;
pub(crate) mod routing;
