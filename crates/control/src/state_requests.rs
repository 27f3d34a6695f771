//! Requests to the state service that several modules share: reads of keys and of pages of a prefix, and transactions.

use crate::{Destination, Node, Pending};
use serde::de::DeserializeOwned;
use wire::api::{Range, Transaction};
use wire::http::Response;

/// The state service's name in log lines.
const STATE_SERVICE: &str = "state service";

/// The position in a prefix that is read page by page.
#[derive(Debug, Default)]
pub(crate) struct PageCursor {
    after: Option<String>,
}

impl PageCursor {
    /// Whether no page has been read yet.
    pub fn is_at_start(&self) -> bool {
        self.after.is_none()
    }

    /// The path of the next page.
    pub fn path(&self, prefix: &str, limit: usize) -> String {
        page_path(prefix, limit, self.after.as_deref())
    }

    /// Advances past a page; returns whether another one follows.
    pub fn advance<T>(&mut self, page: &Range<T>) -> bool {
        self.after = page.items.last().map(|item| item.key.clone());
        page.more && !page.items.is_empty()
    }
}

/// The path of a page of the keys below a prefix, starting after the key `after`.
pub(crate) fn page_path(prefix: &str, limit: usize, after: Option<&str>) -> String {
    let from = after.map(|key| format!("&from={key}")).unwrap_or_default();
    format!("/keys?under={prefix}&limit={limit}{from}")
}

impl Node {
    /// Sends a read to the state service.
    pub(crate) fn get_state(&mut self, path: String, timeout_ms: u64, pending: Pending) {
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            timeout_ms,
            pending,
        );
    }

    /// Sends an encoded transaction to the state service.
    pub(crate) fn post_transaction(&mut self, body: Vec<u8>, timeout_ms: u64, pending: Pending) {
        let path = "/txn".to_owned();
        self.send(Destination::State, "POST", path, body, timeout_ms, pending);
    }

    /// Decodes an answer of the state service; `None` if it did not serve the request or its answer cannot be decoded.
    pub(crate) fn read_state<T: DeserializeOwned>(
        &mut self,
        response: Option<Response>,
    ) -> Option<T> {
        let response = response.filter(|response| response.status == 200)?;
        self.decode_answer(STATE_SERVICE, &response)
    }
}

/// Encodes the body of a transaction.
pub(crate) fn encode_transaction(
    conditions: Vec<wire::api::Condition>,
    writes: Vec<wire::api::Write>,
) -> Vec<u8> {
    wire::encode(&Transaction { conditions, writes })
}
