//! Preemption by priority: for jobs that find no room, machines that are free soon are held, and tasks of lower priority
//! are stopped.

use crate::failed_searches::SearchKind;
use crate::job_kind::JobKind;
use crate::preemption_options::{PreemptionOption, PreemptionOptions, remove_at};
use crate::state::PlanState;
use crate::{Job, Preempt, Secs, URGENT, count_in};
use std::collections::BTreeMap;

/// An urgent job waits this long for room that falls free by itself.
const URGENT_PATIENCE: Secs = 0.3;

/// Tasks of one urgent array that machines are cleared for in one plan.
const MAX_MACHINES_PER_ARRAY: u32 = 64;

impl PlanState<'_> {
    /// A gang that finds no room has it gathered: the machines that are free for it first are held, and tasks of
    /// lower priority are stopped where waiting would take longer than the patience. False if that does not do.
    pub(crate) fn preempt_for_gang(&mut self, i: usize, want: u32) -> bool {
        let Some((_, chosen)) = self.cheapest_preemption(i, want) else {
            return false;
        };
        self.reserve_and_preempt(chosen);
        true
    }

    /// How long a job waits for room before others are stopped for it.
    fn patience(&self, job: &Job) -> Secs {
        if job.priority >= URGENT {
            self.input.patience.min(URGENT_PATIENCE)
        } else {
            self.input.patience
        }
    }

    /// Makes room for single tasks of an urgent array, a machine for each, as many as there are.
    pub(crate) fn preempt_for_tasks(&mut self, i: usize, want: u32) {
        let job = &self.input.jobs[i];
        // Machines of several zones are of no use to tasks that share one.
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

    /// Holds machines, and stops what has to go from them.
    fn reserve_and_preempt(&mut self, chosen: Vec<PreemptionOption>) {
        for option in chosen {
            let m = option.machine;
            self.reserved_until[m] = Some(option.at);
            self.changed_machines.push(m as u32);
            self.output.kept.push(m as u32);
            let victims = option.victims.iter().map(|t| Preempt {
                machine: m as u32,
                task: *t as u32,
            });
            self.output.preempts.extend(victims);
        }
    }

    /// The machines that can be had for all tasks of a gang at the least loss, and that loss.
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
        // Per zone where all must be in one; what takes the least of waiting and of lost work is taken.
        let mut best: Option<(f64, Vec<PreemptionOption>)> = None;
        let mut most = 0;
        for list in &mut options.lists {
            let limit = best.as_ref().map(|(cost, _)| *cost);
            let (cost, chosen) = self.cheapest_in_list(i, want, list, limit);
            most = most.max(chosen.len() as u32);
            if chosen.len() as u32 == want {
                best = Some((cost, chosen));
            }
        }
        if best.is_none() {
            self.failed_searches.add(job, SearchKind::Preemption, most);
        }
        self.preemption_options.insert(key, options);
        best
    }

    /// The cheapest machines of one list, as many as there are of those wanted, while they cost less than `limit`. Those that are no longer as
    /// they were found are dropped.
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

    /// Every machine that a task like this could have, the cheapest first: those that are free soon by themselves,
    /// then those where stopping others loses the least.
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
                .map(|(k, r)| (if r.leaving { 0.0 } else { r.ends.max(0.0) }, k))
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
                let cost = (at + self.fetch_time(job, m)) * machine.total.share(&job.need);
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

    /// The tasks of lower priority whose end gives the job room on this machine at the least lost work.
    pub(crate) fn cheapest_victims(&self, job: &Job, m: usize) -> Option<(f64, Vec<usize>)> {
        let machine = &self.input.machines[m];
        let mut free = self.free[m];
        for r in machine.running.iter().filter(|r| r.leaving) {
            free.add(&r.need, 1.0);
        }
        let mut victims: Vec<usize> = (0..machine.running.len())
            .filter(|k| {
                let r = &machine.running[*k];
                r.stoppable && !r.leaving && self.input.may_be_preempted_for(r, job)
            })
            .collect();
        let cost =
            |k: &usize| machine.running[*k].lost * machine.total.share(&machine.running[*k].need);
        victims.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        // A machine that fetches the image first loses that time too, with all that the job takes.
        let mut lost = self.fetch_time(job, m) * machine.total.share(&job.need);
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
