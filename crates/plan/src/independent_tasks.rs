//! Placement of independent tasks: those of arrays and services.

use crate::candidates::MachineQuery;
use crate::failed_searches::SearchKind;
use crate::placement::Visit;
use crate::state::PlanState;
use crate::{Job, count_in};

impl PlanState<'_> {
    /// Starts up to `want` tasks of an array or service; returns how many.
    pub(crate) fn start_tasks(&mut self, i: usize, want: u32, respect_reservations: bool) -> u32 {
        let job = &self.input.jobs[i];
        let granted = self.allows(job, want);
        if granted == 0 {
            return 0;
        }
        let search = if respect_reservations {
            SearchKind::Tasks
        } else {
            SearchKind::Service
        };
        if !self.is_linear_search() && self.failed_searches.is_known_to_fail(job, search, 1) {
            return 0;
        }
        let zone = self.shared_zone(i, respect_reservations);
        let chosen = self.choose_machines(i, granted, zone, respect_reservations);
        if chosen.is_empty() && zone.is_none() {
            self.failed_searches.add(job, search, 0);
        }
        let mut started = 0;
        for (m, n) in chosen {
            self.start_on(i, m, n);
            started += n;
        }
        started
    }

    /// The best machines for up to `want` tasks, with the number of tasks for each.
    fn choose_machines(
        &mut self,
        i: usize,
        want: u32,
        zone: Option<u16>,
        respect_reservations: bool,
    ) -> Vec<(usize, u32)> {
        let job = &self.input.jobs[i];
        let mut chosen = Vec::new();
        let mut left = want;
        let mut by_zone: Vec<(u16, u32)> = Vec::new();
        self.visit_machines(&MachineQuery { job, zone }, |state, _, m| {
            if respect_reservations && !state.may_use_until_reserved(job, m) {
                return Visit::Continue;
            }
            let there = count_in(&mut by_zone, state.input.machines[m].zone);
            let bound = state.zone_headroom(i, state.input.machines[m].zone);
            let n = state
                .placeable_tasks(job, m, left)
                .min(bound.saturating_sub(*there));
            if n > 0 {
                chosen.push((m, n));
                *there += n;
                left -= n;
            }
            if left == 0 {
                Visit::Stop
            } else {
                Visit::Continue
            }
        });
        chosen
    }

    /// Whether a task may start on a machine: it is not reserved, or the task is expected to end before the reservation
    /// begins.
    fn may_use_until_reserved(&self, job: &Job, m: usize) -> bool {
        self.reserved_until[m].is_none_or(|until| job.estimate <= until)
    }

    /// The zone for a job whose tasks must share one: that of its tasks on machines, or else the one where most of its
    /// pending tasks fit, chosen before any is placed. None for other jobs.
    fn shared_zone(&mut self, i: usize, respect_reservations: bool) -> Option<u16> {
        let job = &self.input.jobs[i];
        if !job.one_zone {
            return None;
        }
        if let Some((zone, _)) = self.tasks_by_zone[i].iter().find(|(_, n)| *n > 0) {
            return Some(*zone);
        }
        let mut fitting: Vec<(u16, u32)> = Vec::new();
        self.visit_machines(&MachineQuery { job, zone: None }, |state, _, m| {
            if respect_reservations && !state.may_use_until_reserved(job, m) {
                return Visit::Continue;
            }
            let n = state.free[m].count(&job.need, state.slots[m]);
            let there = count_in(&mut fitting, state.input.machines[m].zone);
            *there = there.saturating_add(n);
            Visit::Continue
        });
        // If as many fit in several zones, the zone of the best machine wins, since it was visited first.
        let most = fitting.iter().map(|(_, n)| (*n).min(job.pending)).max()?;
        let best_zone = fitting.iter().find(|(_, n)| (*n).min(job.pending) == most);
        best_zone.map(|(zone, _)| *zone)
    }
}
