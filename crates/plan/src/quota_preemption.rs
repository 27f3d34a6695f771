//! Preemption for quota: to give a team its guarantee, tasks that other teams run beyond theirs are preempted, whatever
//! their priority.
//!
//! With nested quotas, the borrowers nearest in the tree are preempted first: those within the same group go before
//! those of the next group up, and so on.

use crate::state::PlanState;
use crate::{Job, Preempt, Resources, Secs, Shape};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

/// How long a stopped task takes to save its state and exit.
const STOP_DELAY: Secs = 4.0;
/// A task that is expected to end within this time is not preempted.
const ENDING_SOON: Secs = 15.0;
/// Cost of preempting a task of a gang besides its lost work: the gang must wait until all its tasks fit again.
const GANG_LOSS: Secs = 20.0;
/// Cost of preempting a single task besides its lost work.
const TASK_LOSS: Secs = 5.0;

/// Additional cost of a task of an aged job's first share, so that it is preempted last.
const FIRST_SHARE_LOSS: Secs = 120.0;

/// Tasks that are preempted together: a single task, or a whole gang.
struct Victim {
    gang: Option<u32>,
    /// Indices of the machine, and of the task among its running ones.
    tasks: Vec<(usize, usize)>,
    cost: Secs,
    /// Number of groups that it has in common with the job.
    common_groups: u8,
}

/// A set of victims with its cost, and how many tasks of the job fit afterwards.
struct QuotaPreemption {
    /// Number of tasks of an array that still do not fit.
    missing: u32,
    cost: Secs,
    victims: Vec<Victim>,
    /// Machines, and how many tasks of the job fit on each.
    placements: Vec<(usize, u32)>,
}

/// Free resources by machine.
type FreeByMachine = BTreeMap<usize, Resources>;

/// How many tasks of a job fit, at most `cap` on each machine.
fn count_placements(job: &Job, cap: u32, free_by_machine: &FreeByMachine) -> u32 {
    free_by_machine
        .values()
        .map(|free| free.count(&job.need, cap))
        .sum()
}

impl PlanState<'_> {
    /// Preempts for a job within a guarantee tasks that other teams run beyond theirs, and reserves the capacity. An
    /// array takes what can be had. False for a gang if not all its tasks would fit.
    pub(crate) fn preempt_for_quota(&mut self, i: usize, want: u32) -> bool {
        let job = &self.input.jobs[i];
        let zones = self.zones_for(job);
        let mut best: Option<QuotaPreemption> = None;
        for zone in zones {
            let found = self.quota_preemption_in(i, want, zone);
            let better = |a: &QuotaPreemption, b: &QuotaPreemption| {
                (a.missing, a.cost) < (b.missing, b.cost)
            };
            if let Some(found) = found
                && best.as_ref().is_none_or(|b| better(&found, b))
            {
                best = Some(found);
            }
        }
        let Some(best) = best else { return false };
        for victim in best.victims {
            if let Some(gang) = victim.gang {
                self.output.preempted_gangs.push(gang);
                continue;
            }
            let preempts = victim.tasks.iter().map(|(m, k)| Preempt {
                machine: *m as u32,
                task: *k as u32,
            });
            self.output.preempts.extend(preempts);
        }
        let mut left = want;
        for (m, n) in best.placements {
            let n = n.min(left);
            if n > 0 {
                self.reserve_from(job, m, n, STOP_DELAY);
                left -= n;
            }
        }
        true
    }

    /// The victims to preempt in a zone, or in all; none for a gang that would still not fit.
    fn quota_preemption_in(
        &mut self,
        i: usize,
        want: u32,
        zone: Option<u16>,
    ) -> Option<QuotaPreemption> {
        let job = &self.input.jobs[i];
        let mut free_by_machine = self.free_after_leaving(i, zone);
        let mut victims = self.choose_victims(job, want, &mut free_by_machine);
        let placements = count_placements(job, want, &free_by_machine);
        if placements < want && job.shape == Shape::Gang {
            return None;
        }
        let enough = placements.min(want);
        self.drop_unneeded_victims(job, want, enough, &mut victims, &mut free_by_machine);
        let placements = free_by_machine
            .iter()
            .map(|(m, free)| (*m, free.count(&job.need, want)))
            .collect();
        Some(QuotaPreemption {
            missing: want - enough,
            cost: victims.iter().map(|v| v.cost).sum(),
            victims,
            placements,
        })
    }

    /// Free resources of the machines that a job may use, once the tasks that are being stopped are gone.
    fn free_after_leaving(&mut self, i: usize, zone: Option<u16>) -> FreeByMachine {
        let job = &self.input.jobs[i];
        let mut free_by_machine = FreeByMachine::new();
        for m in self.machines_in(zone) {
            let machine = &self.input.machines[m];
            if !self.can_start_on(job, m) || self.reserved_until[m].is_some() {
                continue;
            }
            // Capacity where the job may have no more tasks would be freed and reserved in vain.
            if self.is_reserved_for_conflicting_tenant(job, m)
                || self.zone_headroom(i, machine.zone) == 0
            {
                continue;
            }
            self.output.steps += 1 + machine.running.len() as u64;
            let mut free = self.free_at(m, 0.0, f64::INFINITY);
            for task in machine.running.iter().filter(|task| task.is_stopping) {
                free.add(&task.need, 1.0);
            }
            free_by_machine.insert(m, free);
        }
        free_by_machine
    }

    /// Chooses victims until the wanted tasks of a job fit or no victim helps any more, and adds the resources that
    /// they free.
    fn choose_victims(
        &mut self,
        job: &Job,
        want: u32,
        free_by_machine: &mut FreeByMachine,
    ) -> Vec<Victim> {
        let mut victims = self.victims(job, free_by_machine);
        let mut chosen = Vec::new();
        let mut have = count_placements(job, want, free_by_machine);
        while have < want {
            // Past the soft limit of steps nothing more is preempted, as elsewhere.
            self.output.steps += free_by_machine.len() as u64;
            if self.is_past_soft_limit() {
                break;
            }
            let Some(best) = self.best_victim(job, want - have, &victims, free_by_machine) else {
                break;
            };
            let victim = victims.swap_remove(best);
            self.add_freed(&victim, free_by_machine, 1.0);
            chosen.push(victim);
            have = count_placements(job, want, free_by_machine);
        }
        chosen
    }

    /// Index of the victim nearest in the tree, and among those with the least cost for each task that fits thanks to
    /// it. A single task that frees too little by itself counts a little, since it may do with another.
    fn best_victim(
        &mut self,
        job: &Job,
        missing: u32,
        victims: &[Victim],
        free_by_machine: &FreeByMachine,
    ) -> Option<usize> {
        let mut best: Option<((Reverse<u8>, f64), usize)> = None;
        for (at, victim) in victims.iter().enumerate() {
            self.output.steps += victim.tasks.len() as u64;
            let placements_gained = self
                .placements_gained(job, victim, free_by_machine)
                .min(f64::from(missing));
            let rank = (
                Reverse(victim.common_groups),
                victim.cost / placements_gained,
            );
            if placements_gained > 0.0 && best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Drops victims without which `enough` tasks still fit, the last chosen first.
    fn drop_unneeded_victims(
        &self,
        job: &Job,
        want: u32,
        enough: u32,
        chosen: &mut Vec<Victim>,
        free_by_machine: &mut FreeByMachine,
    ) {
        for k in (0..chosen.len()).rev() {
            self.add_freed(&chosen[k], free_by_machine, -1.0);
            if count_placements(job, want, free_by_machine) >= enough {
                chosen.remove(k);
            } else {
                self.add_freed(&chosen[k], free_by_machine, 1.0);
            }
        }
    }

    /// How many more tasks fit once a victim is gone. A single task that makes none fit by itself counts 0.4, since it
    /// may do so together with another.
    fn placements_gained(&self, job: &Job, victim: &Victim, free: &FreeByMachine) -> f64 {
        let mut placements_gained = 0.0;
        let mut seen = usize::MAX;
        let mut after = Resources::default();
        for (m, k) in &victim.tasks {
            let Some(now) = free.get(m) else { continue };
            if *m != seen {
                (seen, after) = (*m, *now);
            }
            let before = after.count(&job.need, u32::MAX);
            after.add(&self.input.machines[*m].running[*k].need, 1.0);
            let whole = after.count(&job.need, u32::MAX) - before;
            placements_gained += if whole > 0 {
                f64::from(whole)
            } else if victim.gang.is_none() {
                0.4
            } else {
                0.0
            };
        }
        placements_gained
    }

    fn add_freed(&self, victim: &Victim, free_by_machine: &mut FreeByMachine, times: f64) {
        for (m, k) in &victim.tasks {
            if let Some(free) = free_by_machine.get_mut(m) {
                free.add(&self.input.machines[*m].running[*k].need, times);
            }
        }
    }

    /// The victims that may be preempted for a job on these machines, with their costs.
    fn victims(&self, job: &Job, free_by_machine: &FreeByMachine) -> Vec<Victim> {
        let mut out = Vec::new();
        let mut gangs: BTreeMap<u32, Victim> = BTreeMap::new();
        let preempts = self.output.preempts.iter();
        let stopped: HashSet<(u32, u32)> = preempts.map(|p| (p.machine, p.task)).collect();
        let preempted_gangs: HashSet<u32> = self.output.preempted_gangs.iter().copied().collect();
        for (m, machine) in self.input.machines.iter().enumerate() {
            for (k, r) in machine.running.iter().enumerate() {
                let stopping = stopped.contains(&(m as u32, k as u32))
                    || r.gang.is_some_and(|g| preempted_gangs.contains(&g));
                if !self.input.may_be_reclaimed_for(r, job)
                    || r.is_stopping
                    || r.expected_end < ENDING_SOON
                    || stopping
                {
                    continue;
                }
                let common_groups = self.input.common_groups(r.team, job.team);
                match r.gang {
                    // A gang stops as a whole, also on machines that the job cannot use.
                    Some(gang) => {
                        let victim = gangs.entry(gang).or_insert(Victim {
                            gang: Some(gang),
                            tasks: Vec::new(),
                            cost: 0.0,
                            common_groups,
                        });
                        victim.tasks.push((m, k));
                        victim.cost += r.lost_on_preemption + GANG_LOSS;
                    }
                    None if r.is_preemptible && free_by_machine.contains_key(&m) => {
                        let spared = if r.is_protected_by_aging {
                            FIRST_SHARE_LOSS
                        } else {
                            0.0
                        };
                        let cost = r.lost_on_preemption + TASK_LOSS + spared;
                        out.push(Victim {
                            gang: None,
                            tasks: vec![(m, k)],
                            cost,
                            common_groups,
                        });
                    }
                    None => {}
                }
            }
        }
        out.extend(gangs.into_values());
        out
    }
}
