//! Provisioning: the cloud's catalog, rentals and returns of machines, and machine health.

pub(crate) mod catalog;
pub(crate) mod listing;
pub(crate) mod machine_health;
pub(crate) mod rentals;
pub(crate) mod returns;

use crate::{Destination, Node, Pending};

/// Timeout of a request to the cloud.
const CLOUD_TIMEOUT_MS: u64 = 5000;
/// Cost of one request in the cloud request budget.
const REQUEST_COST: f64 = 1.0;

impl Node {
    /// Watches the live jobs if that is due. While the lease is valid, it also sends the requests that are due to the
    /// cloud: rentals first, then returns, then the list.
    pub(crate) fn provisioning_tick(&mut self) {
        let now = self.now.mono;
        let has_valid_lease = self.has_valid_lease();
        let Some(shard) = &mut self.shard else { return };
        if shard.live_watch.is_due(now) {
            self.watch_live_jobs();
        }
        if !has_valid_lease {
            return;
        }
        self.send_rentals();
        self.send_returns();
        self.request_list_page();
    }

    /// Sends a request to the cloud. `pending` determines how its answer is handled.
    fn send_cloud_request(
        &mut self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        pending: Pending,
    ) {
        self.send(
            Destination::Cloud,
            method,
            path,
            body,
            CLOUD_TIMEOUT_MS,
            pending,
        );
    }
}
