//! The inputs and outputs of a controller: events, and the effects that its host carries out.

use crate::frontend;
use std::net::SocketAddr;
use wire::http::{Request, Response};

/// The current time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// The host's monotonic clock.
    pub mono: u64,
    /// The wall clock.
    pub wall: u64,
}

/// The destination of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Destination {
    /// The state service.
    State,
    Cloud,
    /// Another controller, by its index in the settings.
    Peer(usize),
    Worker(SocketAddr),
}

/// An input to a controller.
#[derive(Debug)]
pub enum Event {
    /// A request to the interface of users and workers.
    Client { conn: u64, request: Request },
    /// A request to the interface of peers and operators.
    Peer { conn: u64, request: Request },
    /// A user's request that has waited too long and is refused without being processed.
    Late { conn: u64 },
    /// The answer to a request; `None` if there was none.
    Reply {
        tag: u64,
        response: Option<Response>,
    },
    /// A request of which nothing was sent, because no socket was available.
    Unsent { tag: u64 },
    /// A request of another front end of this process, on its records.
    Frontend {
        tag: u64,
        request: frontend::Request,
    },
    /// Time has passed; see [`Node::wait_ms`](crate::Node::wait_ms).
    Tick,
}

/// An output of a controller, carried out by its host.
#[derive(Debug)]
pub enum Effect {
    /// Answers the request that arrived on the connection `conn`.
    Respond { conn: u64, response: Response },
    /// Sends a request; its answer comes back as [`Event::Reply`] with the same tag.
    Send {
        tag: u64,
        to: Destination,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        answer_limit: usize,
    },
    /// Answers a request of another front end of this process.
    Frontend { tag: u64, answer: frontend::Answer },
}
