//! Whether and how well a task fits on a machine, and the bookkeeping of its start.

use crate::candidates::MachineQuery;
use crate::state::PlanState;
use crate::{Job, Secs, Start, count_in};

impl PlanState<'_> {
    /// Whether a task of a job may start on a machine now, apart from its resources and reservations.
    pub(crate) fn can_start_on(&self, job: &Job, m: usize) -> bool {
        let machine = &self.input.machines[m];
        machine.usable
            && self.slots[m] > 0
            && self.is_eligible(job, m)
            && self.tenants[m].admits(&job.tenant)
    }

    /// Whether a job may ever use a machine, whatever runs on it now.
    pub(crate) fn is_eligible(&self, job: &Job, m: usize) -> bool {
        self.candidates.class(m).accepts(job) && !job.excluded_machines.contains(&(m as u32))
    }

    /// How many more tasks the job may have in a zone, given the tasks that it has.
    pub(crate) fn zone_headroom(&self, i: usize, zone: u16) -> u32 {
        let job = &self.input.jobs[i];
        let there = |z: u16| {
            self.tasks_by_zone[i]
                .iter()
                .find(|(id, _)| *id == z)
                .map_or(0, |(_, n)| *n)
        };
        if job.one_zone
            && self.tasks_by_zone[i]
                .iter()
                .any(|(z, n)| *z != zone && *n > 0)
        {
            return 0;
        }
        if job.spread {
            // Half of all tasks, rounded up, however few are placed so far.
            return job.tasks.div_ceil(2).saturating_sub(there(zone));
        }
        u32::MAX
    }

    /// Time that this machine takes to fetch the job's image; 0 if it has it.
    pub(crate) fn fetch_time(&self, job: &Job, m: usize) -> Secs {
        if self.images[m].contains(&job.image) {
            return 0.0;
        }
        self.candidates.class(m).fetch_time(job)
    }

    /// Lower is better: fetch time, plus penalties for on-demand machines and a loose fit.
    pub(crate) fn score(&self, job: &Job, m: usize) -> f64 {
        self.fetch_time(job, m) + self.place_score(job, m)
    }

    pub(crate) fn place_score(&self, job: &Job, m: usize) -> f64 {
        self.candidates.class(m).place_score(job, &self.free[m])
    }

    /// Visits machines where a task of the job fits now, best first, until `visit` returns [`Visit::Stop`]. Counts
    /// steps.
    pub(crate) fn visit_machines(
        &mut self,
        query: &MachineQuery<'_>,
        mut visit: impl FnMut(&Self, Secs, usize) -> Visit,
    ) {
        let mut steps = 0;
        if self.is_linear_search() {
            let order = self.scan_all(query);
            steps += self.input.machines.len() as u64;
            for (score, m) in order {
                if visit(self, score, m) == Visit::Stop {
                    break;
                }
            }
        } else {
            for (score, m) in self.candidates.best_first(query, &mut steps) {
                steps += 1;
                let fits = self.can_start_on(query.job, m) && self.free[m].fits(&query.job.need);
                if fits && visit(self, score, m) == Visit::Stop {
                    break;
                }
            }
        }
        self.output.steps += steps;
    }

    /// The machines for [`Self::visit_machines`], by a scan of all machines.
    fn scan_all(&self, query: &MachineQuery<'_>) -> Vec<(Secs, usize)> {
        let job = query.job;
        let machines = &self.input.machines;
        let mut order: Vec<(Secs, usize)> = (0..machines.len())
            .filter(|m| query.zone.is_none_or(|zone| zone == machines[*m].zone))
            .filter(|m| self.can_start_on(job, *m) && self.free[*m].fits(&job.need))
            .map(|m| (self.score(job, m), m))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order
    }

    /// Starts `n` tasks of a job on a machine, and updates all state that depends on it.
    pub(crate) fn start_on(&mut self, i: usize, m: usize, n: u32) {
        let input = self.input;
        let job = &input.jobs[i];
        let zone = input.machines[m].zone;
        self.note_start(job, m, n);
        self.free[m].add(&job.need, -f64::from(n));
        self.slots[m] -= n;
        self.tenants[m].add(&job.tenant);
        self.teams[job.team as usize].take(&job.need, n);
        for g in &input.teams[job.team as usize].groups {
            self.groups[*g as usize].used.add(&job.need, f64::from(n));
        }
        *count_in(&mut self.tasks_by_zone[i], zone) += n;
        if !self.images[m].contains(&job.image) {
            self.images[m].push(job.image);
        }
        self.index(m);
        self.changed_machines.push(m as u32);
        self.output.starts.push(Start {
            job: i as u32,
            machine: m as u32,
            count: n,
        });
    }
}

/// Whether a search continues after a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Visit {
    Continue,
    Stop,
}
