//! Provisioning: the cloud catalogue, scaling out and in, and machines that fail.

pub(crate) mod catalog;
pub(crate) mod listing;
pub(crate) mod machine_health;
pub(crate) mod rentals;
pub(crate) mod returns;

use crate::{Destination, Node, Pending};

/// The cloud has this long to answer.
const CLOUD_TIMEOUT_MS: u64 = 5000;
/// What a request to the cloud takes of the rate that it allows.
const REQUEST_COST: f64 = 1.0;

impl Node {
    /// Follows the live jobs, and asks the cloud for what is due while the lease holds: rentals first, then returns, then
    /// the list.
    pub(crate) fn fleet_tick(&mut self) {
        let now = self.now.mono;
        let has_valid_lease = self.has_valid_lease();
        let Some(shard) = &mut self.shard else { return };
        if shard.live_watch.is_due(now) {
            self.watch_live();
        }
        if !has_valid_lease {
            return;
        }
        self.send_rentals();
        self.send_returns();
        self.request_list_page();
    }

    fn ask_cloud(&mut self, method: &'static str, path: String, body: Vec<u8>, what: Pending) {
        self.send(
            Destination::Cloud,
            method,
            path,
            body,
            CLOUD_TIMEOUT_MS,
            what,
        );
    }
}
