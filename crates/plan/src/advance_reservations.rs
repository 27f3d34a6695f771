//! Advance reservations of future capacity.
//!
//! This is `MoldableEDF`'s "earliest free time" for gangs. A gang that does not fit now is planned for the earliest
//! time at which it is expected to, and capacity is reserved for it from then on. Jobs later in the order don't delay
//! it: their tasks start only if they are expected to end before, or if they fit beside it (conservative backfilling).

use crate::failed_searches::SearchKind;
use crate::job_kind::JobKind;
use crate::state::PlanState;
use crate::timeline::{FutureCapacity, Release};
use crate::{Job, Resources, Secs, count_in};

/// The number of tasks on one machine is counted up to this.
const MAX_TASKS_PER_MACHINE: u32 = 100_000;

/// The first time at which all tasks of a gang fit, and the list of releases in which they do.
#[derive(Clone, Copy)]
struct EarliestStart {
    at: Secs,
    list: usize,
}

impl PlanState<'_> {
    /// Free resources of a machine at time `at`, less the advance reservations that begin no later than `until`.
    pub(crate) fn free_at(&self, m: usize, at: Secs, until: Secs) -> Resources {
        let mut free = self.free[m];
        let running = self.input.machines[m]
            .running
            .iter()
            .map(|r| (r.expected_end, &r.need));
        let started = self.timelines[m]
            .ends
            .iter()
            .map(|(end, need, _)| (*end, need));
        for (_, need) in running.chain(started).filter(|(end, _)| *end <= at) {
            free.add(need, 1.0);
        }
        for (_, need, _) in self.timelines[m]
            .reserved
            .iter()
            .filter(|(from, _, _)| *from <= until)
        {
            free.add(need, -1.0);
        }
        free
    }

    /// How many tasks of a job, at most `cap`, can start on a machine now without delaying an advance reservation.
    pub(crate) fn placeable_tasks(&self, job: &Job, m: usize, cap: u32) -> u32 {
        let mut n = self.free[m].count(&job.need, cap.min(self.slots[m]));
        let ends = self.expected_end(job, m);
        for (from, _, tenant) in &self.timelines[m].reserved {
            if n == 0 {
                break;
            }
            if *from < ends && tenant.conflicts_with(&job.tenant) {
                n = 0;
            } else if *from < ends {
                n = self.free_at(m, *from, *from).count(&job.need, n);
            }
        }
        n
    }

    /// How many tasks of a job of unknown run time fit on a machine beside all its advance reservations.
    pub(crate) fn unreserved_capacity(&self, job: &Job, m: usize) -> u32 {
        if self.is_reserved_for_conflicting_tenant(job, m) {
            return 0;
        }
        self.free_at(m, 0.0, f64::INFINITY)
            .count(&job.need, self.slots[m])
    }

    /// When a task that starts on this machine now is expected to end.
    fn expected_end(&self, job: &Job, m: usize) -> Secs {
        self.fetch_time(job, m) + job.estimate
    }

    /// Records the expected end of tasks that start on a machine.
    pub(crate) fn note_start(&mut self, job: &Job, m: usize, n: u32) {
        let end = self.expected_end(job, m);
        self.timelines[m]
            .ends
            .push((end, job.need.times(n), job.tenant));
    }

    /// Plans a gang for later: on the first capacity that becomes free, or, if that takes longer than its patience, on
    /// capacity that is preempted for its team's guarantee.
    pub(crate) fn plan_later_start(&mut self, i: usize, want: u32) {
        let job = &self.input.jobs[i];
        if !self.is_linear_search()
            && self
                .failed_searches
                .is_known_to_fail(job, SearchKind::FutureCapacity, want)
        {
            if job.is_within_guarantee {
                self.preempt_for_quota(i, want);
            }
            return;
        }
        let capacity = self.future_capacity(job);
        let first = self.earliest_start(i, want, &capacity);
        if first.is_none() {
            self.failed_searches
                .add(job, SearchKind::FutureCapacity, want - 1);
        }
        let is_soon = first.is_some_and(|first| first.at <= self.input.patience);
        let is_preempted = job.is_within_guarantee && !is_soon && self.preempt_for_quota(i, want);
        if let Some(first) = first.filter(|_| !is_preempted) {
            self.reserve_start(i, want, &capacity, first);
        }
        self.cache_future_capacity(job, capacity);
    }

    /// Reserves for a job the first capacity that becomes free without preemption.
    pub(crate) fn reserve_earliest(&mut self, i: usize, want: u32) {
        let job = &self.input.jobs[i];
        let capacity = self.future_capacity(job);
        if let Some(first) = self.earliest_start(i, want, &capacity) {
            self.reserve_start(i, want, &capacity, first);
        }
        self.cache_future_capacity(job, capacity);
    }

    /// The first time at which all tasks of a gang are expected to fit.
    fn earliest_start(
        &mut self,
        i: usize,
        want: u32,
        capacity: &FutureCapacity,
    ) -> Option<EarliestStart> {
        let mut best: Option<EarliestStart> = None;
        for (number, list) in capacity.lists.iter().enumerate() {
            let mut left = want;
            let mut taken: Vec<(u16, u32)> = Vec::new();
            for release in list.releases() {
                self.output.steps += 1;
                if best.as_ref().is_some_and(|best| release.at >= best.at) {
                    break;
                }
                left -= self.usable_count(i, &release, &mut taken).min(left);
                if left == 0 {
                    best = Some(EarliestStart {
                        at: release.at,
                        list: number,
                    });
                    break;
                }
            }
        }
        best
    }

    /// Reserves capacity for all tasks of a gang from a time on.
    fn reserve_start(
        &mut self,
        i: usize,
        want: u32,
        capacity: &FutureCapacity,
        first: EarliestStart,
    ) {
        let job = &self.input.jobs[i];
        // Of all machines that are free by then, takes those with the best score. For an aged gang it takes the
        // earliest: capacity that is free already stays reserved for it even if tasks elsewhere end later than
        // expected.
        let is_aged = self.is_aged(job);
        let rank = |release: &Release| {
            if is_aged {
                release.at
            } else {
                self.score(job, release.machine)
            }
        };
        let releases = capacity.lists[first.list].releases();
        let mut chosen: Vec<(Secs, Release)> = releases
            .take_while(|release| release.at <= first.at)
            .map(|release| (rank(&release), release))
            .collect();
        self.output.steps += chosen.len() as u64;
        chosen.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.machine.cmp(&b.1.machine)));
        let mut left = want;
        let mut taken: Vec<(u16, u32)> = Vec::new();
        for (_, release) in chosen {
            let n = self.usable_count(i, &release, &mut taken).min(left);
            if n == 0 {
                continue;
            }
            self.reserve_from(job, release.machine, n, first.at);
            left -= n;
            if left == 0 {
                break;
            }
        }
    }

    /// Reserves capacity on a machine for tasks of a job from a time on.
    pub(crate) fn reserve_from(&mut self, job: &Job, m: usize, n: u32, at: Secs) {
        self.timelines[m]
            .reserved
            .push((at, job.need.times(n), job.tenant));
        self.changed_machines.push(m as u32);
        self.output.reserved_machines.push(m as u32);
    }

    /// How many tasks of a gang may use a release, given the tasks that it has in the zone, and counts them there.
    fn usable_count(&self, i: usize, release: &Release, taken: &mut Vec<(u16, u32)>) -> u32 {
        let zone = self.input.machines[release.machine].zone;
        let there = count_in(taken, zone);
        let headroom = self.zone_headroom(i, zone).saturating_sub(*there);
        let n = release.count.min(headroom);
        *there += n;
        n
    }

    /// All capacity that a job could use, now or later. The cached result for an equivalent job is brought up to date
    /// on machines whose capacity has changed since.
    fn future_capacity(&mut self, job: &Job) -> FutureCapacity {
        let known = if can_share(job) && !self.is_linear_search() {
            self.future_capacity.remove(&JobKind::of(job))
        } else {
            None
        };
        let since = known.as_ref().map(|capacity| capacity.changes_seen);
        let mut capacity = known.unwrap_or_else(|| {
            let zones = self.zones_for(job);
            FutureCapacity::new(&zones)
        });
        let mut stale: Vec<usize> = match since {
            Some(seen) => self.changed_machines[seen..]
                .iter()
                .map(|m| *m as usize)
                .collect(),
            None => (0..self.input.machines.len()).collect(),
        };
        stale.sort_unstable();
        stale.dedup();
        for m in stale {
            self.update_releases(job, &mut capacity, m);
        }
        capacity.changes_seen = self.changed_machines.len();
        capacity
    }

    fn cache_future_capacity(&mut self, job: &Job, capacity: FutureCapacity) {
        if can_share(job) && !self.is_linear_search() {
            self.future_capacity.insert(JobKind::of(job), capacity);
        }
    }

    /// Computes the releases of a machine anew.
    fn update_releases(&mut self, job: &Job, capacity: &mut FutureCapacity, m: usize) {
        self.output.steps += 1;
        let zone = self.input.machines[m].zone;
        let Some(list) = capacity
            .lists
            .iter_mut()
            .find(|l| l.zone.is_none_or(|z| z == zone))
        else {
            return;
        };
        list.remove_machine(m);
        let machine = &self.input.machines[m];
        let from = if machine.usable {
            0.0
        } else {
            machine.usable_at
        };
        if !from.is_finite() || !self.is_eligible(job, m) || self.reserved_until[m].is_some() {
            return;
        }
        if self.is_reserved_for_conflicting_tenant(job, m) {
            return;
        }
        let from = from.max(self.free_of_conflicts_at(job, m));
        let running = machine.running.iter().map(|r| r.expected_end);
        let started = self.timelines[m].ends.iter().map(|e| e.0);
        let mut times: Vec<Secs> = running
            .chain(started)
            .filter(|t| *t > from)
            .chain([from])
            .collect();
        times.sort_by(f64::total_cmp);
        self.output.steps += times.len() as u64;
        let mut before = 0;
        for at in times {
            let free = self.free_at(m, at, f64::INFINITY);
            let n = free.count(&job.need, MAX_TASKS_PER_MACHINE);
            if n > before {
                list.add(at, m, n - before);
                before = n;
            }
        }
    }
}

/// Whether equivalent jobs may use the future capacity that is found for this one.
fn can_share(job: &Job) -> bool {
    job.excluded_machines.is_empty()
}
