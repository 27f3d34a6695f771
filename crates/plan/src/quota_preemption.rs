//! Preemption for quota: to give a team its guarantee, what other teams run beyond theirs is stopped, of any priority.
//!
//! Where quotas nest, those that are nearest in the tree give back first: what a sibling has borrowed within the same
//! group goes before what the next group has, and so on up.

use crate::state::PlanState;
use crate::{Job, Preempt, Resources, Secs, Shape};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

/// How long it takes until a stopped task has saved and gone.
const STOP_DELAY: Secs = 4.0;
/// What ends within this time is waited for.
const ENDING_SOON: Secs = 15.0;
/// What a gang loses besides its work: it has to wait for room for all its tasks again.
const GANG_LOSS: Secs = 20.0;
/// The same for a single task.
const TASK_LOSS: Secs = 5.0;

/// What else is lost of an old job's first share: it goes last.
const SPARED_LOSS: Secs = 120.0;

/// What stops together: one task, or a whole gang.
struct Victim {
    gang: Option<u32>,
    /// Machines and tasks.
    tasks: Vec<(usize, usize)>,
    cost: Secs,
    /// Groups that it has in common with the job.
    common_groups: u8,
}

/// What is to be stopped, with the loss, and the room on each machine then.
struct QuotaPreemption {
    /// Places that an array still lacks.
    missing: u32,
    cost: Secs,
    victims: Vec<Victim>,
    places: Vec<(usize, u32)>,
}

/// Room by machine.
type FreeByMachine = BTreeMap<usize, Resources>;

/// Places for tasks of a job, at most `cap` on each machine.
fn count_placements(job: &Job, cap: u32, free_by_machine: &FreeByMachine) -> u32 {
    free_by_machine
        .values()
        .map(|free| free.count(&job.need, cap))
        .sum()
}

impl PlanState<'_> {
    /// Stops for a job within a guarantee what other teams run beyond theirs, and holds the room. A gang needs all its
    /// places, an array takes what there is. False if that does not make enough.
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
        for (m, n) in best.places {
            let n = n.min(left);
            if n > 0 {
                self.reserve_from(job, m, n, STOP_DELAY);
                left -= n;
            }
        }
        true
    }

    /// What would be stopped in a zone, or in all; none for a gang that would still lack places.
    fn quota_preemption_in(
        &mut self,
        i: usize,
        want: u32,
        zone: Option<u16>,
    ) -> Option<QuotaPreemption> {
        let job = &self.input.jobs[i];
        let mut free_by_machine = self.free_after_leaving(i, zone);
        let mut victims = self.choose_victims(job, want, &mut free_by_machine);
        let places = count_placements(job, want, &free_by_machine);
        if places < want && job.shape == Shape::Gang {
            return None;
        }
        let enough = places.min(want);
        self.drop_unneeded_victims(job, want, enough, &mut victims, &mut free_by_machine);
        let places = free_by_machine
            .iter()
            .map(|(m, free)| (*m, free.count(&job.need, want)))
            .collect();
        Some(QuotaPreemption {
            missing: want - enough,
            cost: victims.iter().map(|v| v.cost).sum(),
            victims,
            places,
        })
    }

    /// Room on the machines that a job may use, once what is on its way out has gone.
    fn free_after_leaving(&mut self, i: usize, zone: Option<u16>) -> FreeByMachine {
        let job = &self.input.jobs[i];
        let mut free_by_machine = FreeByMachine::new();
        for m in self.machines_in(zone) {
            let machine = &self.input.machines[m];
            if !self.can_start_on(job, m) || self.reserved_until[m].is_some() {
                continue;
            }
            // Room where the job may have no more tasks would be made in vain, and held.
            if self.is_reserved_for_conflicting_tenant(job, m)
                || self.zone_headroom(i, machine.zone) == 0
            {
                continue;
            }
            self.output.steps += 1 + machine.running.len() as u64;
            let mut free = self.free_at(m, 0.0, f64::INFINITY);
            for task in machine.running.iter().filter(|task| task.leaving) {
                free.add(&task.need, 1.0);
            }
            free_by_machine.insert(m, free);
        }
        free_by_machine
    }

    /// Takes victims until a job has the places that it wants, or none is left that brings it nearer, and adds their
    /// room.
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
            // Clearing has its bound of steps, as elsewhere.
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

    /// The victim that is nearest in the tree, and of those the one with the least loss for each place that is gained.
    /// What gains none by itself may do so with another.
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

    /// What turned out not to be needed for `enough` places stays.
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

    /// Places that a victim's end brings nearer: whole ones count most, parts of one a little.
    fn placements_gained(
        &self,
        job: &Job,
        victim: &Victim,
        free_by_machine: &FreeByMachine,
    ) -> f64 {
        let mut placements_gained = 0.0;
        let mut seen = usize::MAX;
        let mut after = Resources::default();
        for (m, k) in &victim.tasks {
            let Some(free) = free_by_machine.get(m) else {
                continue;
            };
            if *m != seen {
                (seen, after) = (*m, *free);
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

    /// All that may be stopped for a job on these machines, with what that loses.
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
                    || r.leaving
                    || r.ends < ENDING_SOON
                    || stopping
                {
                    continue;
                }
                let common_groups = self.input.common_groups(r.team, job.team);
                match r.gang {
                    // All of a gang stops, also where that makes no room for the job.
                    Some(gang) => {
                        let victim = gangs.entry(gang).or_insert(Victim {
                            gang: Some(gang),
                            tasks: Vec::new(),
                            cost: 0.0,
                            common_groups,
                        });
                        victim.tasks.push((m, k));
                        victim.cost += r.lost + GANG_LOSS;
                    }
                    None if r.stoppable && free_by_machine.contains_key(&m) => {
                        let spared = if r.spared { SPARED_LOSS } else { 0.0 };
                        let cost = r.lost + TASK_LOSS + spared;
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
