//! Preemption by priority: for jobs that do not fit, machines that are free soon are reserved and tasks of lower
//! priority are preempted.

use crate::failed_searches::SearchKind;
use crate::job_kind::JobKind;
use crate::preemption_options::{PreemptionOption, PreemptionOptions, remove_at};
use crate::state::PlanState;
use crate::{Job, Preempt, Secs, URGENT, count_in};
use std::collections::BTreeMap;

/// An urgent job waits this long for capacity to become free before tasks are preempted for it.
const URGENT_PATIENCE: Secs = 0.3;

/// At most this many machines are reserved for the tasks of one urgent array in one plan.
const MAX_MACHINES_PER_ARRAY: u32 = 64;

impl PlanState<'_> {
    /// Makes capacity for a gang that does not fit: reserves machines that are free soon, and preempts tasks of lower
    /// priority where waiting would take longer than the patience. False if that is not enough for all its tasks.
    pub(crate) fn preempt_for_gang(&mut self, i: usize, want: u32) -> bool {
        let Some((_, chosen)) = self.cheapest_preemption(i, want) else {
            return false;
        };
        self.reserve_and_preempt(chosen);
        true
    }

    /// How long a job waits for capacity to become free before tasks are preempted for it.
    fn patience(&self, job: &Job) -> Secs {
        if job.priority >= URGENT {
            self.input.patience.min(URGENT_PATIENCE)
        } else {
            self.input.patience
        }
    }

    /// Makes capacity for tasks of an urgent array, one machine for each, for as many as possible.
    pub(crate) fn preempt_for_tasks(&mut self, i: usize, want: u32) {
        let job = &self.input.jobs[i];
        // The options may lie in several zones, which tasks that must share one cannot use.
        if job.one_zone && want > 1 {
            return;
        }
        let want = want.min(MAX_MACHINES_PER_ARRAY);
        let key = JobKind::of(job);
        let known = self.preemption_options.remove(&key);
        let mut options = known.unwrap_or_else(|| self.find_preemption_options(job));
        let mut left = want;
        for list in &mut options.lists {
            if left == 0 {
                break;
            }
            let (_, chosen) = self.cheapest_in_list(i, left, list, None);
            left -= chosen.len() as u32;
            self.reserve_and_preempt(chosen);
        }
        self.preemption_options.insert(key, options);
    }

    /// Reserves machines, and preempts the victims on them.
    fn reserve_and_preempt(&mut self, chosen: Vec<PreemptionOption>) {
        for option in chosen {
            let m = option.machine;
            self.reserved_until[m] = Some(option.at);
            self.changed_machines.push(m as u32);
            self.output.reserved_machines.push(m as u32);
            let victims = option.victims.iter().map(|t| Preempt {
                machine: m as u32,
                task: *t as u32,
            });
            self.output.preempts.extend(victims);
        }
    }

    /// The options for all tasks of a gang with the least total cost, and that cost.
    pub(crate) fn cheapest_preemption(
        &mut self,
        i: usize,
        want: u32,
    ) -> Option<(f64, Vec<PreemptionOption>)> {
        let input = self.input;
        let job = &input.jobs[i];
        if !self.is_linear_search()
            && self
                .failed_searches
                .is_known_to_fail(job, SearchKind::Preemption, want)
        {
            return None;
        }
        let key = JobKind::of(job);
        let known = self.preemption_options.remove(&key);
        let mut options = known.unwrap_or_else(|| self.find_preemption_options(job));
        // If all tasks must share a zone there is a list for each zone; the cheapest is taken.
        let mut best: Option<(f64, Vec<PreemptionOption>)> = None;
        let mut most_found = 0;
        for list in &mut options.lists {
            let limit = best.as_ref().map(|(cost, _)| *cost);
            let (cost, chosen) = self.cheapest_in_list(i, want, list, limit);
            most_found = most_found.max(chosen.len() as u32);
            if chosen.len() as u32 == want {
                best = Some((cost, chosen));
            }
        }
        if best.is_none() {
            self.failed_searches
                .add(job, SearchKind::Preemption, most_found);
        }
        self.preemption_options.insert(key, options);
        best
    }

    /// The cheapest options of one list, up to `want`, while they cost less than `limit` together. Stale options are
    /// removed from the list.
    fn cheapest_in_list(
        &mut self,
        i: usize,
        want: u32,
        list: &mut Vec<PreemptionOption>,
        limit: Option<f64>,
    ) -> (f64, Vec<PreemptionOption>) {
        let mut cost = 0.0;
        let mut chosen = Vec::new();
        let mut taken: Vec<(u16, u32)> = Vec::new();
        let mut stale = Vec::new();
        for (at, option) in list.iter().enumerate() {
            self.output.steps += 1;
            let m = option.machine;
            if self.reserved_until[m].is_some() || self.free[m] != option.free {
                stale.push(at);
                continue;
            }
            let zone = self.input.machines[m].zone;
            let there = count_in(&mut taken, zone);
            if self.zone_headroom(i, zone) <= *there {
                continue;
            }
            *there += 1;
            cost += option.cost;
            if limit.is_some_and(|limit| cost >= limit) {
                break;
            }
            chosen.push(option.clone());
            if chosen.len() as u32 == want {
                break;
            }
        }
        remove_at(list, &stale);
        (cost, chosen)
    }

    /// All options for a task of this job, the cheapest first. A machine that is free within the job's patience is
    /// waited for; on others, tasks are preempted.
    fn find_preemption_options(&mut self, job: &Job) -> PreemptionOptions {
        let mut options = Vec::new();
        for m in 0..self.input.machines.len() {
            let machine = &self.input.machines[m];
            if !self.can_start_on(job, m) || !machine.total.fits(&job.need) {
                continue;
            }
            self.output.steps += 1 + machine.running.len() as u64;
            let before = self.free[m];
            let mut free = before;
            let mut ends: Vec<(Secs, usize)> = machine
                .running
                .iter()
                .enumerate()
                .map(|(k, r)| {
                    (
                        if r.is_stopping {
                            0.0
                        } else {
                            r.expected_end.max(0.0)
                        },
                        k,
                    )
                })
                .collect();
            ends.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut at = 0.0;
            for (end, k) in ends {
                if free.fits(&job.need) {
                    break;
                }
                free.add(&machine.running[k].need, 1.0);
                at = end;
            }
            if at <= self.patience(job) {
                let cost = (at + self.fetch_time(job, m)) * machine.total.dominant_share(&job.need);
                options.push(PreemptionOption {
                    machine: m,
                    at,
                    cost,
                    victims: Vec::new(),
                    free: before,
                });
            } else if let Some((cost, victims)) = self.cheapest_victims(job, m) {
                options.push(PreemptionOption {
                    machine: m,
                    at: 0.0,
                    cost,
                    victims,
                    free: before,
                });
            }
        }
        options.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.machine.cmp(&b.machine)));
        if !job.one_zone {
            return PreemptionOptions {
                lists: vec![options],
            };
        }
        let mut by_zone: BTreeMap<u16, Vec<PreemptionOption>> = BTreeMap::new();
        for option in options {
            let zone = self.input.machines[option.machine].zone;
            by_zone.entry(zone).or_default().push(option);
        }
        PreemptionOptions {
            lists: by_zone.into_values().collect(),
        }
    }

    /// The tasks of lower priority to preempt so that a task of the job fits on this machine, those with the least lost
    /// work first, and the cost.
    pub(crate) fn cheapest_victims(&self, job: &Job, m: usize) -> Option<(f64, Vec<usize>)> {
        let machine = &self.input.machines[m];
        let mut free = self.free[m];
        for r in machine.running.iter().filter(|r| r.is_stopping) {
            free.add(&r.need, 1.0);
        }
        let mut victims: Vec<usize> = (0..machine.running.len())
            .filter(|k| {
                let r = &machine.running[*k];
                r.is_preemptible && !r.is_stopping && self.input.may_be_preempted_for(r, job)
            })
            .collect();
        let cost = |k: &usize| {
            machine.running[*k].lost_on_preemption
                * machine.total.dominant_share(&machine.running[*k].need)
        };
        victims.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        // While a machine fetches the image, the resources of the new task are idle; that counts as lost too.
        let mut lost = self.fetch_time(job, m) * machine.total.dominant_share(&job.need);
        let mut chosen = Vec::new();
        for k in victims {
            if free.fits(&job.need) {
                break;
            }
            free.add(&machine.running[k].need, 1.0);
            lost += cost(&k);
            chosen.push(k);
        }
        free.fits(&job.need).then_some((lost, chosen))
    }
}
