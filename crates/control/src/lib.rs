//! A controller without sockets, clocks or threads: events and the time go in, effects come out. All rules of
//! the service live here, so that tests can play any order of failures in virtual time.
//!
//! [`Node`] dispatches; the modules below it each own one concern. docs/ARCHITECTURE.md says who owns which state.

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
#[doc(hidden)] // For its tests alone.
pub use leadership::lease_bound;
pub use node::Node;
pub(crate) use outstanding::{Pending, Requester};
pub use stats::Stats;
pub use store::write_limits;
pub use tuning::{Tuning, TuningError};
