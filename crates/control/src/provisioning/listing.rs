//! The cloud's list of our machines, which may be late: it names machines that nobody else told of, and those that
//! failed.

use crate::agents::machine::Machine;
use crate::provisioning::REQUEST_COST;
use crate::{Node, Pending};
use wire::api::{ListedMachine, MachineList};
use wire::http::Response;

/// The list is read no more often than this, and otherwise twice in the time that it may be late.
const MIN_INTERVAL_MS: u64 = 1500;
/// Machines on a page of the list.
const PAGE: usize = 500;
/// Nothing that the cloud says of a machine's age beyond this, in seconds, is taken for true.
const MAX_AGE_S: f64 = 1e6;
/// The stage in which the cloud lists a machine that failed.
const FAILED_STAGE: &str = "failed";

/// How far the cloud's list has been read.
#[derive(Default)]
pub(crate) struct Listing {
    /// The last machine of the page before, if there are more.
    resume_after: Option<String>,
    in_flight: bool,
    next_at: u64,
}

impl Node {
    /// Asks for the next page of the list where that is due.
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
        self.ask_cloud("GET", path, Vec::new(), Pending::List { term });
    }

    /// A page of the list.
    pub(crate) fn list_received(&mut self, response: Option<Response>) {
        let list = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<MachineList>("cloud", &r));
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

    /// One machine of the list: known, or taken in.
    fn apply_listed_machine(&mut self, listed: ListedMachine) {
        let Some(shard) = &mut self.shard else { return };
        if let Some(m) = shard.machines.index_of(&listed.name) {
            let Some(machine) = shard.machine_mut(m) else {
                return;
            };
            if machine.addr.is_none() {
                machine.addr = listed.addr.parse().ok();
            }
            // A machine that failed costs nothing more, but its tasks are proved gone only by its return.
            if listed.stage == FAILED_STAGE && !machine.deleting {
                log::info!("machine {}: failed", machine.name);
                machine.failed = true;
                machine.deleting = true;
            }
            return;
        }
        if !shard.returned.contains(&listed.name) {
            self.add_listed_machine(&listed);
        }
    }

    /// Machines of a rental whose answer is still out are expected, but taken in all the same.
    fn add_listed_machine(&mut self, listed: &ListedMachine) {
        let now = self.now;
        let Some(shard) = &mut self.shard else { return };
        log::info!("machine {}: listed, taken in", listed.name);
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
        machine.deleting = machine.failed;
        shard.add_machine(machine);
    }
}
