//! Communication with the agents on worker machines: heartbeats, the orders sent in reply, direct commands, and
//! relaying by other controllers.

pub(crate) mod commands;
pub(crate) mod heartbeat;
pub(crate) mod machine;
pub(crate) mod orders;
pub(crate) mod reconciliation;
pub(crate) mod relay;
pub(crate) mod routing;
