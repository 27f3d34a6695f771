//! Anti-affinity between tenants: work that must not share a machine. What holds a machine for its tenant is all that is
//! on it until that is proved gone; a job of another tenant that finds no machine free of others' work has one
//! promised, so that it does not wait for ever while work of theirs comes and goes.

use crate::state::PlanState;
use crate::{Job, Secs};

impl PlanState<'_> {
    /// When the last work that a job may not share this machine with is expected to end.
    pub(crate) fn free_of_conflicts_at(&self, job: &Job, m: usize) -> Secs {
        if self.tenants[m].admits(&job.tenant) {
            return 0.0;
        }
        let running = self.input.machines[m]
            .running
            .iter()
            .map(|r| (r.ends, &r.tenant));
        let started = self.timelines[m]
            .ends
            .iter()
            .map(|(end, _, tenant)| (*end, tenant));
        let barred = running
            .chain(started)
            .filter(|(_, t)| t.conflicts_with(&job.tenant));
        barred.map(|(end, _)| end).fold(0.0, f64::max)
    }

    /// Whether a promise on this machine is to a job that this one may not share it with.
    pub(crate) fn is_reserved_for_conflicting_tenant(&self, job: &Job, m: usize) -> bool {
        self.timelines[m]
            .reserved
            .iter()
            .any(|(_, _, tenant)| tenant.conflicts_with(&job.tenant))
    }

    /// Promises one place to a job none of whose tasks runs or finds a machine free of others' work: the first that
    /// will be. One for each county and plan, so that what is kept free for them is bounded.
    pub(crate) fn reserve_machine_for_tenant(&mut self, i: usize) {
        let job = &self.input.jobs[i];
        if !self.has_isolated_tenants
            || job.zones.iter().any(|(_, n)| *n > 0)
            || self.is_past_soft_limit()
        {
            return;
        }
        self.output.steps += self.input.machines.len() as u64;
        let barred = |m: usize| self.is_eligible(job, m) && !self.tenants[m].admits(&job.tenant);
        let any = (0..self.input.machines.len()).any(barred);
        if any && self.tenants_with_reservation.insert(job.tenant.county) {
            self.reserve_earliest(i, 1);
        }
    }
}
