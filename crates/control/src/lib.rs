//! A controller without sockets, clocks or threads: its inputs are events and the time, its outputs are effects. All
//! rules of the service are implemented here, so that tests can simulate any order of failures in virtual time.
//!
//! [`Node`] dispatches events to the modules, each of which owns one concern. docs/ARCHITECTURE.md lists which module
//! owns which state.

mod agents;
mod documents;
mod event;
pub mod frontend;
mod jobs;
mod leadership;
mod models;
mod node;
mod outgoing;
mod outstanding;
pub mod overload;
mod provisioning;
mod scheduling;
mod state_requests;
mod stats;
mod store;
mod tuning;

pub use event::{Destination, Effect, Event, Now};
#[doc(hidden)] // Public only for its tests.
pub use leadership::lease_bound;
pub use node::Node;
pub(crate) use outstanding::{Pending, Requester};
pub use stats::Stats;
pub use store::write_limits;
pub use tuning::{Tuning, TuningError};
