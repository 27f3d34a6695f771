//! The cloud's catalog of machine types, read periodically by the leader, and by a controller that has none yet.

use crate::provisioning::REQUEST_COST;
use crate::{Node, Pending};
use std::ops::Range;
use wire::api::Catalog;
use wire::http::Response;

/// How often the catalog is read.
const CATALOG_INTERVAL_MS: u64 = 60_000;
/// Delay before the catalog is read again after a failure.
const RETRY_DELAY_MS: Range<u64> = 1000..2500;
/// Further machine types in the catalog are ignored.
const MAX_TYPES: usize = 64;

impl Node {
    /// Requests the catalog if that is due and the cloud request budget allows it.
    pub(crate) fn catalog_tick(&mut self) {
        let now = self.now.mono;
        if now < self.next_catalog_read_at || !self.cloud.try_take(now, REQUEST_COST) {
            return;
        }
        self.next_catalog_read_at = now + CATALOG_INTERVAL_MS;
        self.send_cloud_request("GET", "/catalog".into(), Vec::new(), Pending::Catalog);
    }

    /// Handles the cloud's answer to a catalog request, or its absence.
    pub(crate) fn catalog_received(&mut self, response: Option<Response>) {
        let catalog = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.decode_answer::<Catalog>("cloud", &r));
        let Some(mut catalog) = catalog else {
            self.next_catalog_read_at = self.now.mono + self.rng.u64(RETRY_DELAY_MS);
            return;
        };
        catalog.types.truncate(MAX_TYPES);
        let is_recorded = self.shared.catalog_version > 0
            && self
                .shared
                .catalog
                .as_ref()
                .is_some_and(|recorded| has_same_types(recorded, &catalog));
        self.shared.catalog = Some(catalog);
        if let Some(shard) = &mut self.shard {
            shard.cloud_calls.catalog_dirty |= !is_recorded;
            shard.plan_triggers.request();
        }
    }
}

/// Whether two catalogs name the same types in the same zones. Prices change all the time and are ignored: the recorded
/// catalog serves controllers that start while the cloud does not answer.
fn has_same_types(a: &Catalog, b: &Catalog) -> bool {
    let names = |catalog: &Catalog| -> Vec<(String, Vec<String>)> {
        let types = catalog.types.iter();
        types.map(|t| (t.name.clone(), t.zones.clone())).collect()
    };
    names(a) == names(b)
}
