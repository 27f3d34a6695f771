//! The gateway: clients of YARN's application API place their work on the same scheduler as everybody else.
//!
//! It is a second door and has no rules of its own: an application is a native job under an id of its own, submitted,
//! asked for and cancelled as users do; quotas, classes and repeat rules are the scheduler's. What must outlive a
//! process (applications, ids, keys, drains) is recorded in the state service before anybody is told.
//!
//! Like `control`: no sockets, no clock, no threads. Bytes, events and the time go in; bytes and effects come out. It
//! may not place, start or stop anything by itself, write any record but its own, or tell what is not recorded.
//!
//! Any node takes any client's call; the node that leads the fleet answers it. See docs/yarn/design.md.

pub mod book;
pub mod call;
pub mod config;
mod conns;
pub mod queues;
pub mod records;
pub mod served;
pub mod token;
mod web;

pub use config::Config;
pub use served::{Out, Raw, Served};

use control::Now;

/// What a call is answered from: the time, the scheduler beside, and the operators' settings.
#[derive(Clone, Copy)]
pub struct Cx<'a> {
    pub now: Now,
    pub node: &'a control::Node,
    pub config: &'a Config,
    pub secret: &'a [u8; 32],
}

/// What the gateway wants done.
#[derive(Debug)]
pub enum Act {
    /// A request to the scheduler, as a user would make it, under a number that its answer will bear.
    Native {
        ask: u64,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    /// A request for records.
    Frontend {
        tag: u64,
        request: control::frontend::Request,
    },
    /// The reply to a call.
    Answer { call: u64, reply: call::Reply },
}
