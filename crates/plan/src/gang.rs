//! Places for gangs: all tasks or none.

use crate::candidates::Wanted;
use crate::failed_searches::Search;
use crate::placement::Visit;
use crate::state::PlanState;
use crate::{EPS, Secs, count_in};

/// How long it takes until a stopped task has gone and the next plan is made.
const PREEMPTION_DELAY: Secs = 3.0;

/// Machines for all tasks of a gang, with how many each takes.
struct Places {
    /// The slowest place decides when the gang starts.
    cost: Secs,
    chosen: Vec<(usize, u32)>,
    found: u32,
}

impl PlanState<'_> {
    /// Starts all `want` tasks of a gang or none.
    pub(crate) fn start_gang(&mut self, i: usize, want: u32) -> bool {
        let job = &self.input.jobs[i];
        if !self.is_linear_search() && self.failed_searches.is_hopeless(job, Search::Gang, want) {
            return false;
        }
        let mut best: Option<Places> = None;
        let mut most = 0;
        for zone in self.zones_for(job) {
            let limit = best.as_ref().map(|places| places.cost);
            let places = self.places(i, want, zone, limit);
            most = most.max(places.found);
            let is_better = limit.is_none_or(|cost| places.cost < cost);
            if places.found == want && is_better {
                best = Some(places);
            }
        }
        let Some(best) = best else {
            self.failed_searches.add(job, Search::Gang, most);
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

    /// The best places in a zone, or in all. It is given up where it can't be better than what costs `limit`.
    fn places(&mut self, i: usize, want: u32, zone: Option<u16>, limit: Option<Secs>) -> Places {
        let job = &self.input.jobs[i];
        let mut places = Places {
            cost: 0.0,
            chosen: Vec::new(),
            found: 0,
        };
        let mut by_zone: Vec<(u16, u32)> = Vec::new();
        self.visit_machines(&Wanted { job, zone }, |state, score, m| {
            if state.reserved_until[m].is_some() {
                return Visit::Continue;
            }
            if limit.is_some_and(|limit| score >= limit) {
                return Visit::Stop;
            }
            let z = state.input.machines[m].zone;
            let there = count_in(&mut by_zone, z);
            let bound = state.zone_room(i, z).saturating_sub(*there);
            let n = state.free_places(job, m, want - places.found).min(bound);
            if n > 0 {
                places.chosen.push((m, n));
                places.cost = places.cost.max(score);
                places.found += n;
                *there += n;
            }
            if places.found == want {
                Visit::Stop
            } else {
                Visit::Continue
            }
        });
        places
    }

    /// A long fetch leaves the room idle and the user waiting. Where the image is already, young tasks of lower urgency
    /// may be the smaller loss.
    fn is_preemption_better(&mut self, i: usize, want: u32, chosen: &[(usize, u32)]) -> bool {
        let job = &self.input.jobs[i];
        let share = |m: usize| self.input.machines[m].total.share(&job.need);
        let idle = |(m, n): &(usize, u32)| self.fetch(job, *m) * share(*m) * f64::from(*n);
        let idle: f64 = chosen.iter().map(idle).sum();
        if idle <= EPS || self.is_past_soft_limit() {
            return false;
        }
        let wait = share(chosen[0].0) * f64::from(want) * PREEMPTION_DELAY;
        self.cheapest_preemption(i, want)
            .is_some_and(|(cost, _)| cost + wait < idle)
    }
}
