//! Anti-affinity between tenants whose tasks must not share a machine. A machine is closed to conflicting tenants until
//! all tasks on it are known to be gone. A job that finds no machine free of conflicting tasks has one reserved in
//! advance, since otherwise new tasks of other tenants could keep it waiting without end.

use crate::state::PlanState;
use crate::{Job, Secs};

impl PlanState<'_> {
    /// When the last task that conflicts with a job's tenant is expected to end on this machine.
    pub(crate) fn free_of_conflicts_at(&self, job: &Job, m: usize) -> Secs {
        if self.tenants[m].admits(&job.tenant) {
            return 0.0;
        }
        let running = self.input.machines[m]
            .running
            .iter()
            .map(|r| (r.expected_end, &r.tenant));
        let started = self.timelines[m]
            .ends
            .iter()
            .map(|(end, _, tenant)| (*end, tenant));
        let conflicting = running
            .chain(started)
            .filter(|(_, t)| t.conflicts_with(&job.tenant));
        conflicting.map(|(end, _)| end).fold(0.0, f64::max)
    }

    /// Whether this machine has an advance reservation for a job of a conflicting tenant.
    pub(crate) fn is_reserved_for_conflicting_tenant(&self, job: &Job, m: usize) -> bool {
        self.timelines[m]
            .reserved
            .iter()
            .any(|(_, _, tenant)| tenant.conflicts_with(&job.tenant))
    }

    /// Reserves capacity for one task of a job that has no task on any machine and that conflicting tenants bar from
    /// some, on the first machine that is expected to be free of them. At most one reservation for each county in a
    /// plan, so that the capacity reserved this way is bounded.
    pub(crate) fn reserve_machine_for_tenant(&mut self, i: usize) {
        let job = &self.input.jobs[i];
        if !self.has_isolated_tenants
            || job.tasks_by_zone.iter().any(|(_, n)| *n > 0)
            || self.is_past_soft_limit()
        {
            return;
        }
        self.output.steps += self.input.machines.len() as u64;
        let is_closed = |m: usize| self.is_eligible(job, m) && !self.tenants[m].admits(&job.tenant);
        let any_closed = (0..self.input.machines.len()).any(is_closed);
        if any_closed && self.tenants_with_reservation.insert(job.tenant.county) {
            self.reserve_earliest(i, 1);
        }
    }
}
