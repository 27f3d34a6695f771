//! The cloud's list of rented machines. It may lag behind, but it names machines that are known from nowhere else, and
//! those that have failed.

use crate::agents::machine::Machine;
use crate::provisioning::REQUEST_COST;
use crate::{Node, Pending};
use wire::api::{ListedMachine, MachineList};
use wire::http::Response;

/// Minimum time between reads of the list. Otherwise it is read twice within the list's maximum lag.
const MIN_INTERVAL_MS: u64 = 1500;
/// Maximum number of machines on one page of the list.
const PAGE: usize = 500;
/// Upper bound of the age of a machine, in seconds. Greater values in the list are reduced to it.
const MAX_AGE_S: f64 = 1e6;
/// The `stage` of a failed machine in the list.
const FAILED_STAGE: &str = "failed";

/// Progress of reading the cloud's list.
#[derive(Default)]
pub(crate) struct Listing {
    /// The last machine of the previous page, if more pages follow.
    resume_after: Option<String>,
    /// A request for a page is in flight.
    in_flight: bool,
    next_at: u64,
}

impl Node {
    /// Requests the next page of the list if that is due and the cloud request budget allows it.
    pub(super) fn request_list_page(&mut self) {
        let (now, term) = (self.now.mono, self.term);
        let interval = (self.settings.cluster.cloud.list_lag_s * 500.0) as u64;
        let Some(shard) = &mut self.shard else { return };
        let list = &mut shard.cloud_calls.listing;
        if list.in_flight || now < list.next_at || !self.cloud.try_take(now, REQUEST_COST) {
            return;
        }
        list.in_flight = true;
        list.next_at = now + interval.max(MIN_INTERVAL_MS);
        let from = list
            .resume_after
            .as_ref()
            .map(|after| format!("from={after}&"));
        let path = format!("/machines?{}limit={PAGE}", from.unwrap_or_default());
        self.send_cloud_request("GET", path, Vec::new(), Pending::List { term });
    }

    /// Handles a page of the list, or the absence of an answer.
    pub(crate) fn list_received(&mut self, response: Option<Response>) {
        let list = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.decode_answer::<MachineList>("cloud", &r));
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else { return };
        shard.returned.forget_old(now);
        shard.cloud_calls.listing.in_flight = false;
        let Some(list) = list else { return };
        shard.cloud_calls.listing.resume_after = None;
        if list.more
            && let Some(last) = list.machines.last()
        {
            shard.cloud_calls.listing.resume_after = Some(last.name.clone());
            shard.cloud_calls.listing.next_at = self.now.mono;
        }
        for machine in list.machines {
            self.apply_listed_machine(machine);
        }
    }

    /// Updates a known machine from its entry in the list, or adds one that is not known and was not returned lately.
    fn apply_listed_machine(&mut self, listed: ListedMachine) {
        let Some(shard) = &mut self.shard else { return };
        if let Some(machine_index) = shard.machines.index_of(&listed.name) {
            let Some(machine) = shard.machine_mut(machine_index) else {
                return;
            };
            if machine.addr.is_none() {
                machine.addr = listed.addr.parse().ok();
            }
            // A failed machine costs nothing more, but only its return to the cloud proves that its tasks have ended.
            if listed.stage == FAILED_STAGE && !machine.to_be_returned {
                log::info!(
                    "machine {}: reported as failed by the cloud, to be returned",
                    machine.name
                );
                machine.failed = true;
                machine.to_be_returned = true;
            }
            return;
        }
        if !shard.returned.contains(&listed.name) {
            self.add_listed_machine(&listed);
        }
    }

    /// Adds a machine that only the list names. It may belong to a rental that the cloud has not answered yet; it is
    /// added all the same.
    fn add_listed_machine(&mut self, listed: &ListedMachine) {
        let now = self.now;
        let Some(shard) = &mut self.shard else { return };
        log::info!(
            "machine {}: in the cloud's list but not known, added",
            listed.name
        );
        let age_ms = (listed.age_s.clamp(0.0, MAX_AGE_S) * 1000.0) as u64;
        let mut machine = Machine::unrecorded(
            &listed.name,
            &listed.machine_type,
            &listed.zone,
            listed.spot,
            now.wall.saturating_sub(age_ms),
            now.mono,
        );
        machine.addr = listed.addr.parse().ok();
        machine.failed = listed.stage == FAILED_STAGE;
        machine.to_be_returned = machine.failed;
        shard.add_machine(machine);
    }
}
