//! What goes into a controller and what comes out of it: events, and the effects that its host carries out.

use crate::frontend;
use std::net::SocketAddr;
use wire::http::{Request, Response};

/// The time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// By this host's steady clock.
    pub mono: u64,
    /// The time of day.
    pub wall: u64,
}

/// Who is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Destination {
    /// The state service.
    State,
    Cloud,
    /// Another controller, by its place in the settings.
    Peer(usize),
    Worker(SocketAddr),
}

/// What happens to a controller.
#[derive(Debug)]
pub enum Event {
    /// A request at the users' side.
    Client { conn: u64, request: Request },
    /// A request at the peers' side, of a peer or an operator.
    Peer { conn: u64, request: Request },
    /// A user's request that has waited for so long that it is refused unread.
    Late { conn: u64 },
    /// The answer to a request, or that there is none.
    Reply {
        tag: u64,
        response: Option<Response>,
    },
    /// Nothing of it has left this host: there was no socket for it.
    Unsent { tag: u64 },
    /// Another front end of this process asks for its records.
    Frontend {
        tag: u64,
        request: frontend::Request,
    },
    /// Time has passed; see [`Node::wait_ms`](crate::Node::wait_ms).
    Tick,
}

/// What a controller has its host do.
#[derive(Debug)]
pub enum Effect {
    /// Answers a request that came by this connection.
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
    /// The end of what another front end of this process has asked.
    Frontend { tag: u64, answer: frontend::Answer },
}
