//! What goes into a controller and what comes out of it: events, and the effects that its host carries out.

use crate::frontend;
use std::net::SocketAddr;
use wire::http::{Request, Response};

/// Milliseconds of this host's steady clock, and of the time of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    pub mono: u64,
    pub wall: u64,
}

/// Who is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Destination {
    State,
    Cloud,
    Peer(usize),
    Worker(SocketAddr),
}

#[derive(Debug)]
pub enum Event {
    Client {
        conn: u64,
        request: Request,
    },
    Peer {
        conn: u64,
        request: Request,
    },
    /// A user's request that has waited for so long that it is refused unread.
    Late {
        conn: u64,
    },
    Reply {
        tag: u64,
        response: Option<Response>,
    },
    /// Nothing of it has left this host: there was no socket for it.
    Unsent {
        tag: u64,
    },
    /// Another front end of this process asks for its records.
    Frontend {
        tag: u64,
        request: frontend::Request,
    },
    Tick,
}

#[derive(Debug)]
pub enum Effect {
    Respond {
        conn: u64,
        response: Response,
    },
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
    Frontend {
        tag: u64,
        answer: frontend::Answer,
    },
}
