//! Rooms to come: when what runs now is expected to end, and what of that is promised to gangs.
//!
//! This is MoldableEDF's "earliest free time" for jobs that must start whole. A gang that finds no room now is
//! planned for the earliest moment at which one zone has it, and its places are promised from then on. Jobs that
//! come later in the order move no promise: they take what ends in time, or what is left beside it.

use crate::place::Pass;
use crate::{Job, Res, Secs, Tenant, count_in};

/// What is known of a machine's room beyond this moment.
#[derive(Clone, Default)]
pub(crate) struct Line {
    /// Ends of the tasks that this plan starts.
    pub ends: Vec<(Secs, Res, Tenant)>,
    /// Room that belongs to a gang from a time on.
    pub promised: Vec<(Secs, Res, Tenant)>,
}

/// Places that fall free on a machine at a time.
struct Opening {
    at: Secs,
    machine: usize,
    count: u32,
}

impl Pass<'_> {
    /// What is free on a machine at a time, without what is promised from no later than `until`.
    pub(crate) fn room_at(&self, m: usize, at: Secs, until: Secs) -> Res {
        let mut room = self.free[m];
        let running = self.input.machines[m]
            .running
            .iter()
            .map(|r| (r.ends, &r.need));
        let started = self.lines[m].ends.iter().map(|(end, need, _)| (*end, need));
        for (_, need) in running.chain(started).filter(|(end, _)| *end <= at) {
            room.add(need, 1.0);
        }
        for (_, need, _) in self.lines[m]
            .promised
            .iter()
            .filter(|(from, _, _)| *from <= until)
        {
            room.add(need, -1.0);
        }
        room
    }

    /// How many tasks of a job, at most `cap`, a machine takes now without breaking a promise.
    pub(crate) fn room(&self, job: &Job, m: usize, cap: u32) -> u32 {
        let mut n = self.free[m].count(&job.need, cap.min(self.slots[m]));
        let ends = self.length(job, m);
        for (from, _, tenant) in &self.lines[m].promised {
            if n == 0 {
                break;
            }
            if *from < ends && tenant.bars(&job.tenant) {
                n = 0;
            } else if *from < ends {
                n = self.room_at(m, *from, *from).count(&job.need, n);
            }
        }
        n
    }

    /// The same where it is not known how long they would stay.
    pub(crate) fn unpromised(&self, job: &Job, m: usize) -> u32 {
        if self.is_promised_to_others(job, m) {
            return 0;
        }
        self.room_at(m, 0.0, f64::INFINITY)
            .count(&job.need, self.slots[m])
    }

    /// Until when a task that starts on this machine now is expected to stay.
    fn length(&self, job: &Job, m: usize) -> Secs {
        self.fetch(job, m) + job.estimate
    }

    /// Notes that tasks start on a machine.
    pub(crate) fn note_start(&mut self, job: &Job, m: usize, n: u32) {
        let end = self.length(job, m);
        self.lines[m]
            .ends
            .push((end, job.need.times(n), job.tenant));
    }

    /// Plans a gang for later: in the room that others must give back to its team's guarantee, or in the first that
    /// falls free by itself.
    pub(crate) fn wait(&mut self, i: usize, want: u32) {
        let job = &self.input.jobs[i];
        let openings = self.openings(job, want);
        let first = self.earliest(i, want, &openings);
        let soon = first.is_some_and(|(at, _)| at <= self.input.patience);
        if job.promised && !soon && self.recall(i, want) {
            return;
        }
        if let Some((at, zone)) = first {
            self.promise(i, want, openings, at, zone);
        }
    }

    /// Promises a job its first places that fall free by themselves.
    pub(crate) fn promise_first(&mut self, i: usize, want: u32) {
        let openings = self.openings(&self.input.jobs[i], want);
        if let Some((at, zone)) = self.earliest(i, want, &openings) {
            self.promise(i, want, openings, at, zone);
        }
    }

    /// When, and in which zone, a gang can first have all its places.
    fn earliest(
        &mut self,
        i: usize,
        want: u32,
        openings: &[Opening],
    ) -> Option<(Secs, Option<u16>)> {
        let zones = if self.input.jobs[i].one_zone {
            self.all_zones()
        } else {
            vec![None]
        };
        let mut best: Option<(Secs, Option<u16>)> = None;
        for zone in zones {
            let mut left = want;
            let mut taken: Vec<(u16, u32)> = Vec::new();
            for o in openings {
                self.out.steps += 1;
                left -= self.usable_part(i, o, zone, &mut taken).min(left);
                if left == 0 {
                    if best.is_none_or(|(at, _)| o.at < at) {
                        best = Some((o.at, zone));
                    }
                    break;
                }
            }
        }
        best
    }

    /// Promises a gang its places from a time on.
    fn promise(
        &mut self,
        i: usize,
        want: u32,
        openings: Vec<Opening>,
        at: Secs,
        zone: Option<u16>,
    ) {
        let job = &self.input.jobs[i];
        // Of all that is free by then, the places that suit it best; if it is old, the first, so that what is
        // free already stays its own however wrong the rest was expected.
        let rank = |o: &Opening| {
            if self.is_old(job) {
                o.at
            } else {
                self.score(job, o.machine)
            }
        };
        let mut chosen: Vec<(Secs, Opening)> = openings
            .into_iter()
            .filter(|o| o.at <= at)
            .map(|o| (rank(&o), o))
            .collect();
        chosen.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.machine.cmp(&b.1.machine)));
        let mut left = want;
        let mut taken: Vec<(u16, u32)> = Vec::new();
        for (_, o) in chosen {
            let n = self.usable_part(i, &o, zone, &mut taken).min(left);
            if n == 0 {
                continue;
            }
            self.hold(job, o.machine, n, at);
            left -= n;
            if left == 0 {
                break;
            }
        }
    }

    /// Keeps room on a machine for tasks of a job from a time on.
    pub(crate) fn hold(&mut self, job: &Job, m: usize, n: u32, at: Secs) {
        self.lines[m]
            .promised
            .push((at, job.need.times(n), job.tenant));
        self.out.kept.push(m as u32);
    }

    /// How much of an opening the gang may use, given what it takes elsewhere.
    fn usable_part(
        &self,
        i: usize,
        o: &Opening,
        zone: Option<u16>,
        taken: &mut Vec<(u16, u32)>,
    ) -> u32 {
        let z = self.input.machines[o.machine].zone;
        if zone.is_some_and(|only| only != z) {
            return 0;
        }
        let there = count_in(taken, z);
        let n = o.count.min(self.zone_room(i, z).saturating_sub(*there));
        *there += n;
        n
    }

    /// All places that a job's tasks could have, now or later, by time.
    fn openings(&mut self, job: &Job, want: u32) -> Vec<Opening> {
        let mut out = Vec::new();
        for (m, machine) in self.input.machines.iter().enumerate() {
            let from = if machine.usable { 0.0 } else { machine.ready };
            if !from.is_finite() || !self.suits(job, m) || self.held[m].is_some() {
                continue;
            }
            if self.is_promised_to_others(job, m) {
                continue;
            }
            let from = from.max(self.free_of_others(job, m));
            let ends = machine
                .running
                .iter()
                .map(|r| r.ends)
                .chain(self.lines[m].ends.iter().map(|e| e.0));
            let mut times: Vec<Secs> = ends.filter(|t| *t > from).chain([from]).collect();
            times.sort_by(f64::total_cmp);
            self.out.steps += 1 + times.len() as u64;
            let mut before = 0;
            for at in times {
                let n = self.room_at(m, at, f64::INFINITY).count(&job.need, want);
                if n > before {
                    out.push(Opening {
                        at,
                        machine: m,
                        count: n - before,
                    });
                    before = n;
                }
            }
        }
        out.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.machine.cmp(&b.machine)));
        out
    }
}
