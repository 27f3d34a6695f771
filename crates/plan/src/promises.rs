//! Promises of room to come.
//!
//! This is `MoldableEDF`'s "earliest free time" for jobs that must start whole. A gang that finds no room now is
//! planned for the earliest moment at which one zone has it, and its places are promised from then on. Jobs that
//! come later in the order move no promise: they take what ends in time, or what is left beside it.

use crate::failed_searches::Search;
use crate::job_kind::JobKind;
use crate::state::PlanState;
use crate::timeline::{Opening, RoomsToCome};
use crate::{Job, Resources, Secs, count_in};

/// More places on one machine are not counted.
const MOST_PLACES: u32 = 100_000;

/// The first time at which a gang has all its places, and in which list.
#[derive(Clone, Copy)]
struct First {
    at: Secs,
    list: usize,
}

impl PlanState<'_> {
    /// What is free on a machine at a time, without what is promised from no later than `until`.
    pub(crate) fn room_at(&self, m: usize, at: Secs, until: Secs) -> Resources {
        let mut room = self.free[m];
        let running = self.input.machines[m]
            .running
            .iter()
            .map(|r| (r.ends, &r.need));
        let started = self.timelines[m]
            .ends
            .iter()
            .map(|(end, need, _)| (*end, need));
        for (_, need) in running.chain(started).filter(|(end, _)| *end <= at) {
            room.add(need, 1.0);
        }
        for (_, need, _) in self.timelines[m]
            .promised
            .iter()
            .filter(|(from, _, _)| *from <= until)
        {
            room.add(need, -1.0);
        }
        room
    }

    /// How many tasks of a job, at most `cap`, a machine takes now without breaking a promise.
    pub(crate) fn free_places(&self, job: &Job, m: usize, cap: u32) -> u32 {
        let mut n = self.free[m].count(&job.need, cap.min(self.slots[m]));
        let ends = self.length(job, m);
        for (from, _, tenant) in &self.timelines[m].promised {
            if n == 0 {
                break;
            }
            if *from < ends && tenant.conflicts_with(&job.tenant) {
                n = 0;
            } else if *from < ends {
                n = self.room_at(m, *from, *from).count(&job.need, n);
            }
        }
        n
    }

    /// The same where it is not known how long they would stay.
    pub(crate) fn unpromised_places(&self, job: &Job, m: usize) -> u32 {
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
        self.timelines[m]
            .ends
            .push((end, job.need.times(n), job.tenant));
    }

    /// Plans a gang for later: in the room that others must give back to its team's guarantee, or in the first that
    /// falls free by itself.
    pub(crate) fn wait_for_room(&mut self, i: usize, want: u32) {
        let job = &self.input.jobs[i];
        if !self.is_linear_search() && self.failed_searches.is_hopeless(job, Search::Promise, want)
        {
            if job.promised {
                self.preempt_for_quota(i, want);
            }
            return;
        }
        let rooms = self.rooms_to_come(job);
        let first = self.earliest(i, want, &rooms);
        if first.is_none() {
            self.failed_searches.add(job, Search::Promise, want - 1);
        }
        let soon = first.is_some_and(|first| first.at <= self.input.patience);
        let is_made = job.promised && !soon && self.preempt_for_quota(i, want);
        if let Some(first) = first.filter(|_| !is_made) {
            self.promise(i, want, &rooms, first);
        }
        self.remember(job, rooms);
    }

    /// Promises a job its first places that fall free by themselves.
    pub(crate) fn promise_first(&mut self, i: usize, want: u32) {
        let job = &self.input.jobs[i];
        let rooms = self.rooms_to_come(job);
        if let Some(first) = self.earliest(i, want, &rooms) {
            self.promise(i, want, &rooms, first);
        }
        self.remember(job, rooms);
    }

    /// When, and in which list of places, a gang can first have all its places.
    fn earliest(&mut self, i: usize, want: u32, rooms: &RoomsToCome) -> Option<First> {
        let mut best: Option<First> = None;
        for (number, list) in rooms.lists.iter().enumerate() {
            let mut left = want;
            let mut taken: Vec<(u16, u32)> = Vec::new();
            for opening in list.openings() {
                self.output.steps += 1;
                if best.as_ref().is_some_and(|best| opening.at >= best.at) {
                    break;
                }
                left -= self.usable_part(i, &opening, &mut taken).min(left);
                if left == 0 {
                    best = Some(First {
                        at: opening.at,
                        list: number,
                    });
                    break;
                }
            }
        }
        best
    }

    /// Promises a gang its places from a time on.
    fn promise(&mut self, i: usize, want: u32, rooms: &RoomsToCome, first: First) {
        let job = &self.input.jobs[i];
        // Of all that is free by then, the places that suit it best; if it is old, the first, so that what is
        // free already stays its own however wrong the rest was expected.
        let is_old = self.is_old(job);
        let rank = |o: &Opening| {
            if is_old {
                o.at
            } else {
                self.score(job, o.machine)
            }
        };
        let openings = rooms.lists[first.list].openings();
        let mut chosen: Vec<(Secs, Opening)> = openings
            .take_while(|o| o.at <= first.at)
            .map(|o| (rank(&o), o))
            .collect();
        self.output.steps += chosen.len() as u64;
        chosen.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.machine.cmp(&b.1.machine)));
        let mut left = want;
        let mut taken: Vec<(u16, u32)> = Vec::new();
        for (_, opening) in chosen {
            let n = self.usable_part(i, &opening, &mut taken).min(left);
            if n == 0 {
                continue;
            }
            self.hold(job, opening.machine, n, first.at);
            left -= n;
            if left == 0 {
                break;
            }
        }
    }

    /// Keeps room on a machine for tasks of a job from a time on.
    pub(crate) fn hold(&mut self, job: &Job, m: usize, n: u32, at: Secs) {
        self.timelines[m]
            .promised
            .push((at, job.need.times(n), job.tenant));
        self.changed.push(m as u32);
        self.output.kept.push(m as u32);
    }

    /// How much of an opening the gang may use, given what it takes elsewhere.
    fn usable_part(&self, i: usize, opening: &Opening, taken: &mut Vec<(u16, u32)>) -> u32 {
        let zone = self.input.machines[opening.machine].zone;
        let there = count_in(taken, zone);
        let room = self.zone_room(i, zone).saturating_sub(*there);
        let n = opening.count.min(room);
        *there += n;
        n
    }

    /// All places that a job's tasks could have, now or later. What was found for a job alike is brought up to date
    /// where room has changed since.
    fn rooms_to_come(&mut self, job: &Job) -> RoomsToCome {
        let known = if can_share(job) && !self.is_linear_search() {
            self.rooms_to_come.remove(&JobKind::of(job))
        } else {
            None
        };
        let since = known.as_ref().map(|rooms| rooms.seen);
        let mut rooms = known.unwrap_or_else(|| {
            let zones = self.zones_for(job);
            RoomsToCome::new(&zones)
        });
        let mut stale: Vec<usize> = match since {
            Some(seen) => self.changed[seen..].iter().map(|m| *m as usize).collect(),
            None => (0..self.input.machines.len()).collect(),
        };
        stale.sort_unstable();
        stale.dedup();
        for m in stale {
            self.update_openings(job, &mut rooms, m);
        }
        rooms.seen = self.changed.len();
        rooms
    }

    fn remember(&mut self, job: &Job, rooms: RoomsToCome) {
        if can_share(job) && !self.is_linear_search() {
            self.rooms_to_come.insert(JobKind::of(job), rooms);
        }
    }

    /// Finds out anew what falls free on a machine.
    fn update_openings(&mut self, job: &Job, rooms: &mut RoomsToCome, m: usize) {
        self.output.steps += 1;
        let zone = self.input.machines[m].zone;
        let Some(list) = rooms
            .lists
            .iter_mut()
            .find(|l| l.zone.is_none_or(|z| z == zone))
        else {
            return;
        };
        list.forget(m);
        let machine = &self.input.machines[m];
        let from = if machine.usable { 0.0 } else { machine.ready };
        if !from.is_finite() || !self.suits(job, m) || self.reserved_until[m].is_some() {
            return;
        }
        if self.is_promised_to_others(job, m) {
            return;
        }
        let from = from.max(self.free_of_others(job, m));
        let running = machine.running.iter().map(|r| r.ends);
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
            let room = self.room_at(m, at, f64::INFINITY);
            let n = room.count(&job.need, MOST_PLACES);
            if n > before {
                list.add(at, m, n - before);
                before = n;
            }
        }
    }
}

/// Whether other jobs alike may use what is found for this one.
fn can_share(job: &Job) -> bool {
    job.avoid.is_empty()
}
