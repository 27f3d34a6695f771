//! Room for those that find none: machines that are free soon are held, and the less urgent are stopped.

use crate::place::Pass;
use crate::{Job, Preempt, Res, Secs, Tenant, count_in};

/// A machine that can be had for a task.
#[derive(Clone)]
pub(crate) struct Clearing {
    machine: usize,
    /// When it is free by itself.
    at: Secs,
    /// Machine-seconds that are lost: work of the stopped, and the time that the image takes.
    cost: f64,
    /// Tasks that have to be stopped.
    stops: Vec<usize>,
    /// Its room when this was found out.
    free: Res,
}

/// What jobs have in common that can use the same machines.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Wide {
    need: [u64; 3],
    priority: u8,
    types: u64,
    zone: Option<u16>,
    spot: bool,
    image: u32,
    tenant: Tenant,
    only: Vec<u16>,
}

impl Wide {
    fn of(job: &Job) -> Self {
        Wide {
            need: [
                job.need.cores.to_bits(),
                job.need.gpus.to_bits(),
                job.need.mem.to_bits(),
            ],
            priority: job.priority,
            types: job.types,
            zone: job.zone,
            spot: job.spot,
            image: job.image,
            tenant: job.tenant,
            only: job.only.clone(),
        }
    }
}

impl Pass<'_> {
    /// A gang that finds no room has it gathered: the machines that are free for it first are held, and tasks of
    /// lower priority are stopped where waiting would take longer than the patience. False if that does not do.
    pub(crate) fn make_room(&mut self, i: usize, want: u32) -> bool {
        let Some((_, chosen)) = self.cheapest(i, want) else {
            return false;
        };
        for o in chosen {
            self.held[o.machine] = Some(o.at);
            self.out.kept.push(o.machine as u32);
            let stops = o.stops.iter().map(|t| Preempt {
                machine: o.machine as u32,
                task: *t as u32,
            });
            self.out.preempts.extend(stops);
        }
        true
    }

    /// The machines that can be had for all tasks of a gang at the least loss, and that loss.
    pub(crate) fn cheapest(&mut self, i: usize, want: u32) -> Option<(f64, Vec<Clearing>)> {
        let input = self.input;
        let job = &input.jobs[i];
        let key = Wide::of(job);
        let options = match self.clearable.remove(&key) {
            Some(options) => options,
            None => self.options(job),
        };
        // Per zone where all must be in one; what takes the least of waiting and of lost work is taken.
        let zones: Vec<Option<u16>> = if job.one_zone {
            self.all_zones()
        } else {
            vec![None]
        };
        let mut best: Option<(f64, Vec<&Clearing>)> = None;
        for zone in zones {
            let mut cost = 0.0;
            let mut chosen = Vec::new();
            let mut taken: Vec<(u16, u32)> = Vec::new();
            for o in &options {
                self.out.steps += 1;
                let z = input.machines[o.machine].zone;
                let there = count_in(&mut taken, z);
                if zone.is_some_and(|only| only != z)
                    || self.held[o.machine].is_some()
                    || self.free[o.machine] != o.free
                    || self.zone_room(i, z) <= *there
                {
                    continue;
                }
                *there += 1;
                cost += o.cost;
                chosen.push(o);
                if chosen.len() as u32 == want {
                    break;
                }
            }
            if chosen.len() as u32 == want && best.as_ref().is_none_or(|(c, _)| cost < *c) {
                best = Some((cost, chosen));
            }
        }
        let best = best.map(|(cost, chosen)| (cost, chosen.into_iter().cloned().collect()));
        self.clearable.insert(key, options);
        best
    }

    /// Every machine that a task like this could have, the cheapest first: those that are free soon by themselves,
    /// then those where stopping others loses the least.
    fn options(&mut self, job: &Job) -> Vec<Clearing> {
        let mut options = Vec::new();
        for m in 0..self.input.machines.len() {
            let machine = &self.input.machines[m];
            if !self.allowed(job, m) || !machine.total.fits(&job.need) {
                continue;
            }
            self.out.steps += 1 + machine.running.len() as u64;
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
            if at <= self.input.patience {
                let cost = (at + self.fetch(job, m)) * machine.total.share(&job.need);
                options.push(Clearing {
                    machine: m,
                    at,
                    cost,
                    stops: Vec::new(),
                    free: before,
                });
            } else if let Some((cost, stops)) = self.evictable(job, m) {
                options.push(Clearing {
                    machine: m,
                    at: 0.0,
                    cost,
                    stops,
                    free: before,
                });
            }
        }
        options.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.machine.cmp(&b.machine)));
        options
    }

    pub(crate) fn all_zones(&self) -> Vec<Option<u16>> {
        let mut all: Vec<u16> = self.input.machines.iter().map(|m| m.zone).collect();
        all.sort_unstable();
        all.dedup();
        all.into_iter().map(Some).collect()
    }

    /// The tasks of lower priority whose end gives the job room on this machine at the least lost work.
    pub(crate) fn evictable(&self, job: &Job, m: usize) -> Option<(f64, Vec<usize>)> {
        let machine = &self.input.machines[m];
        let mut free = self.free[m];
        for r in machine.running.iter().filter(|r| r.leaving) {
            free.add(&r.need, 1.0);
        }
        let mut victims: Vec<usize> = (0..machine.running.len())
            .filter(|k| {
                let r = &machine.running[*k];
                r.stoppable && !r.leaving && self.input.yields(r, job)
            })
            .collect();
        let cost =
            |k: &usize| machine.running[*k].lost * machine.total.share(&machine.running[*k].need);
        victims.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        // A machine that fetches the image first loses that time too, with all that the job takes.
        let mut lost = self.fetch(job, m) * machine.total.share(&job.need);
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
