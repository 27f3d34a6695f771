//! Placement of gangs: all tasks or none.

use crate::candidates::MachineQuery;
use crate::failed_searches::SearchKind;
use crate::placement::Visit;
use crate::state::PlanState;
use crate::{EPS, Secs, count_in};

/// How long it takes until a preempted task is gone and the next plan is made.
const PREEMPTION_DELAY: Secs = 3.0;

/// Machines for the tasks of a gang.
struct GangPlacement {
    /// The worst score of the chosen machines, since the slowest one decides when the gang starts.
    cost: Secs,
    /// Indices of machines, with the number of tasks for each.
    chosen: Vec<(usize, u32)>,
    /// Number of tasks that are placed.
    found: u32,
}

impl PlanState<'_> {
    /// Starts all `want` tasks of a gang or none.
    pub(crate) fn start_gang(&mut self, i: usize, want: u32) -> bool {
        let job = &self.input.jobs[i];
        if !self.is_linear_search()
            && self
                .failed_searches
                .is_known_to_fail(job, SearchKind::Gang, want)
        {
            return false;
        }
        let mut best: Option<GangPlacement> = None;
        let mut most_found = 0;
        for zone in self.zones_for(job) {
            let limit = best.as_ref().map(|placement| placement.cost);
            let placement = self.find_placement(i, want, zone, limit);
            most_found = most_found.max(placement.found);
            let is_better = limit.is_none_or(|cost| placement.cost < cost);
            if placement.found == want && is_better {
                best = Some(placement);
            }
        }
        let Some(best) = best else {
            self.failed_searches.add(job, SearchKind::Gang, most_found);
            return false;
        };
        if self.is_preemption_better(i, want, &best.chosen) {
            return false;
        }
        for (m, n) in best.chosen {
            self.start_on(i, m, n);
        }
        true
    }

    /// The best placement in a zone, or in all. The search ends early if the placement can't cost less than `limit`.
    fn find_placement(
        &mut self,
        i: usize,
        want: u32,
        zone: Option<u16>,
        limit: Option<Secs>,
    ) -> GangPlacement {
        let job = &self.input.jobs[i];
        let mut placement = GangPlacement {
            cost: 0.0,
            chosen: Vec::new(),
            found: 0,
        };
        let mut by_zone: Vec<(u16, u32)> = Vec::new();
        self.visit_machines(&MachineQuery { job, zone }, |state, score, m| {
            if state.reserved_until[m].is_some() {
                return Visit::Continue;
            }
            if limit.is_some_and(|limit| score >= limit) {
                return Visit::Stop;
            }
            let z = state.input.machines[m].zone;
            let there = count_in(&mut by_zone, z);
            let bound = state.zone_headroom(i, z).saturating_sub(*there);
            let n = state
                .placeable_tasks(job, m, want - placement.found)
                .min(bound);
            if n > 0 {
                placement.chosen.push((m, n));
                placement.cost = placement.cost.max(score);
                placement.found += n;
                *there += n;
            }
            if placement.found == want {
                Visit::Stop
            } else {
                Visit::Continue
            }
        });
        placement
    }

    /// Whether it costs less to preempt for a gang than to start it here. While an image is fetched the machines are
    /// idle and the user waits; to preempt young tasks of lower priority on machines that have the image may lose less.
    fn is_preemption_better(&mut self, i: usize, want: u32, chosen: &[(usize, u32)]) -> bool {
        let job = &self.input.jobs[i];
        let share = |m: usize| self.input.machines[m].total.dominant_share(&job.need);
        let idle = |(m, n): &(usize, u32)| self.fetch_time(job, *m) * share(*m) * f64::from(*n);
        let idle: f64 = chosen.iter().map(idle).sum();
        if idle <= EPS || self.is_past_soft_limit() {
            return false;
        }
        let wait = share(chosen[0].0) * f64::from(want) * PREEMPTION_DELAY;
        self.cheapest_preemption(i, want)
            .is_some_and(|(cost, _)| cost + wait < idle)
    }
}
