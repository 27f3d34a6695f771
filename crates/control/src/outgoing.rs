//! Sending requests and answers, and decoding the answers of others.

use crate::event::{Destination, Effect};
use crate::node::Node;
use crate::outstanding::Pending;
use serde::de::DeserializeOwned;
use wire::http::Response;

/// Maximum size of an answer of the state service or the cloud. Watches have no separate limit.
const MAX_STATE_ANSWER: usize = 8 << 20;
/// Maximum size of an answer of a peer, which may contain orders for many workers.
const MAX_PEER_ANSWER: usize = 1 << 20;
const MAX_WORKER_ANSWER: usize = 128 << 10;

fn answer_limit(to: &Destination, path: &str) -> usize {
    if wire::admin::kind_of(path).is_some() {
        return wire::admin::ANSWER_LIMIT;
    }
    match to {
        Destination::State | Destination::Cloud => MAX_STATE_ANSWER,
        Destination::Peer(_) => MAX_PEER_ANSWER,
        Destination::Worker(_) => MAX_WORKER_ANSWER,
    }
}

impl Node {
    /// Sends a request; `pending` determines how its answer is handled.
    pub(crate) fn send(
        &mut self,
        to: Destination,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        pending: Pending,
    ) {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.pending.insert(tag, pending);
        if to == Destination::State {
            self.requests.take(self.now.mono, 1.0);
        }
        let answer_limit = answer_limit(&to, &path);
        self.effects.push(Effect::Send {
            tag,
            to,
            method,
            path,
            body,
            timeout_ms,
            answer_limit,
        });
    }

    /// Answers the request that arrived on the connection `conn`.
    pub(crate) fn respond(
        &mut self,
        conn: u64,
        status: u16,
        body: Vec<u8>,
        retry_after_s: Option<u32>,
    ) {
        let response = Response {
            status,
            body,
            close: false,
            retry_after_s,
        };
        self.effects.push(Effect::Respond { conn, response });
    }

    /// Decodes the body of an answer; one that cannot be decoded is treated as no answer.
    pub(crate) fn decode_answer<T: DeserializeOwned>(
        &mut self,
        from: &str,
        response: &Response,
    ) -> Option<T> {
        match wire::decode(&response.body) {
            Ok(v) => Some(v),
            Err(e) => {
                self.stats.bad_answers += 1;
                log::warn!("{from}: {e}");
                None
            }
        }
    }
}
