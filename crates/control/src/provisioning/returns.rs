//! Scaling in: return of machines to the cloud.

use crate::agents::reconciliation::{EndProof, EndedClaim};
use crate::jobs::job::JobIndex;
use crate::provisioning::REQUEST_COST;
use crate::{Node, Pending};
use std::collections::BTreeSet;
use std::ops::Range;
use wire::api::MachineNames;
use wire::http::Response;

/// Maximum number of machines that are returned in one request.
const MAX_MACHINES_PER_REQUEST: usize = 100;
/// Delay before a failed return is requested again.
const RETRY_DELAY_MS: Range<u64> = 500..1500;

impl Node {
    /// Requests the return of machines that are marked for it, one batch at a time.
    pub(super) fn send_returns(&mut self) {
        let (now, term) = (self.now.mono, self.term);
        let Some(shard) = &mut self.shard else { return };
        if !shard.cloud_calls.may_return_machines(now) {
            return;
        }
        let machines: Vec<usize> = (0..shard.machines.slots())
            .filter(|m| {
                shard
                    .machine(*m)
                    .is_some_and(|machine| machine.to_be_returned)
            })
            .take(MAX_MACHINES_PER_REQUEST)
            .collect();
        if machines.is_empty() || !self.cloud.try_take(now, REQUEST_COST) {
            return;
        }
        shard.cloud_calls.return_sent();
        let names = machines
            .iter()
            .filter_map(|m| Some(shard.machine(*m)?.name.clone()))
            .collect();
        let body = wire::encode(&MachineNames { machines: names });
        let pending = Pending::ReturnMachines { term, machines };
        self.send_cloud_request("POST", "/machines/delete".into(), body, pending);
    }

    /// Handles the cloud's answer to a return of machines, or its absence.
    pub(crate) fn return_answered(&mut self, machines: Vec<usize>, response: Option<Response>) {
        let now = self.now.mono;
        let wait = self.rng.u64(RETRY_DELAY_MS);
        let Some(shard) = &mut self.shard else { return };
        shard.cloud_calls.return_ended();
        if response.is_none_or(|r| r.status != 200) {
            shard.cloud_calls.retry_return_at(now + wait);
            return;
        }
        let mut changed = BTreeSet::new();
        for machine_index in machines {
            changed.extend(self.machine_returned(machine_index));
        }
        for job_index in changed {
            self.job_changed(job_index);
        }
    }

    /// Removes a returned machine. The cloud's confirmation proves that all its tasks have ended. The result is the set
    /// of jobs that had claims there.
    fn machine_returned(&mut self, machine_index: usize) -> BTreeSet<JobIndex> {
        let now = self.now.mono;
        let Some(shard) = &mut self.shard else {
            return BTreeSet::new();
        };
        let Some(machine) = shard.machine(machine_index) else {
            return BTreeSet::new();
        };
        log::info!("machine {}: returned", machine.name);
        let name = machine.name.clone();
        let ended = (0..machine.claims.len())
            .map(|position| EndedClaim::unexplained(position, EndProof::MachineGone))
            .collect();
        shard.returned.add(name, now);
        let changed = self.end_claims(machine_index, ended);
        if let Some(shard) = &mut self.shard {
            shard.remove_machine(machine_index);
        }
        changed
    }
}
