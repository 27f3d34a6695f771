//! One pass of MoldableEDF: by rising deadline, each job takes the narrowest width that meets its deadline,
//! moving nothing that is placed already.

use crate::apart::Tenants;
use crate::room::{Clearing, Wide};
use crate::timeline::Line;
use crate::{
    EPS, Group, Input, Job, Machine, Output, Res, Secs, Shape, Start, Team, count_in, stretch,
};
use std::collections::{BTreeSet, HashMap};

/// Run times of a job's tasks differ from each other and from the estimate: a round is planned this much longer.
pub(crate) const SLACK: f64 = 1.25;

/// How long it takes until a stopped task has gone and the next plan is made.
const CLEARING: Secs = 3.0;

pub(crate) struct Pass<'a> {
    pub input: &'a Input,
    pub free: Vec<Res>,
    pub slots: Vec<u32>,
    pub lines: Vec<Line>,
    /// Until when a machine's whole room is kept: for the expected, or for a gang that others make room for.
    pub held: Vec<Option<Secs>>,
    images: Vec<Vec<u32>>,
    pub tenants: Vec<Tenants>,
    /// Some work shares no machine, and the counties that were promised one for that.
    pub apart: bool,
    pub waits: BTreeSet<u16>,
    /// The highest urgency that waits.
    pub most_urgent: u8,
    teams: Vec<Team>,
    groups: Vec<Group>,
    zones: Vec<Vec<(u16, u32)>>,
    /// What can be cleared for tasks of a kind, once it was asked for.
    pub clearable: HashMap<Wide, Vec<Clearing>>,
    pub out: Output,
}

/// Makes a plan for this moment.
pub fn plan(input: &Input) -> Output {
    let running = input.machines.iter().flat_map(|m| &m.running);
    let mut pass = Pass {
        input,
        free: input.machines.iter().map(Machine::free).collect(),
        slots: input.machines.iter().map(|m| m.slots).collect(),
        lines: vec![Line::default(); input.machines.len()],
        held: vec![None; input.machines.len()],
        most_urgent: input.jobs.iter().map(|j| j.priority).max().unwrap_or(0),
        images: input.machines.iter().map(|m| m.images.clone()).collect(),
        tenants: input
            .machines
            .iter()
            .map(|m| Tenants::of(m.running.iter().map(|r| &r.tenant)))
            .collect(),
        apart: input
            .jobs
            .iter()
            .map(|j| &j.tenant)
            .chain(running.map(|r| &r.tenant))
            .any(|t| t.alone),
        waits: BTreeSet::new(),
        teams: input.teams.clone(),
        groups: input.groups.clone(),
        zones: input.jobs.iter().map(|j| j.zones.clone()).collect(),
        clearable: HashMap::new(),
        out: Output::default(),
    };
    pass.run();
    pass.out
}

/// Whoever has waited for so long with nothing running gets a place also where room is kept for what is expected.
const BESIDE_SPARES: Secs = 45.0;

impl Pass<'_> {
    fn run(&mut self) {
        let input = self.input;
        self.shed();
        // Services go at once, outside the plan; their room is busy for everybody else.
        let mut left: Vec<u32> = input.jobs.iter().map(|j| j.pending).collect();
        for (i, job) in input.jobs.iter().enumerate() {
            if job.shape == Shape::Service {
                left[i] -= self.fill(i, left[i], false);
                if left[i] > 0 {
                    self.wait_for_others(i);
                }
            }
        }
        let planned: Vec<usize> = (0..input.jobs.len())
            .filter(|i| left[*i] > 0 && input.jobs[*i].shape != Shape::Service)
            .collect();
        let sized: Vec<stretch::Sized> =
            planned.iter().map(|i| self.size(&input.jobs[*i])).collect();
        let s = stretch::smallest_stretch(&sized, &mut self.out.steps);
        self.out.stretch = s;
        let s = s * input.online_factor.max(1.0);
        // Urgency comes before the deadline: between jobs of one urgency the paper's order decides.
        // A gang that can still have what its team is guaranteed goes first among them; room made for it by stopping
        // others would be theirs again otherwise.
        // Where quotas nest, what a guarantee holds comes before what is borrowed, whose places it would call back.
        let nested = !input.groups.is_empty();
        // What is old goes before the younger of its urgency, the longest wait first.
        let mut order: Vec<(bool, u8, bool, Secs, usize)> = planned
            .iter()
            .zip(&sized)
            .map(|(i, z)| {
                let job = &input.jobs[*i];
                let due = job.arrival + z.work * s;
                let old = self.is_old(job);
                let first = old || job.promised && job.shape == Shape::Gang;
                let due = if old {
                    job.arrival
                } else {
                    job.due.map_or(due, |own| own.min(due))
                };
                (nested && job.held > 0, job.priority, first, due, *i)
            })
            .collect();
        order.sort_by(|a, b| {
            (b.0, b.1, b.2)
                .cmp(&(a.0, a.1, a.2))
                .then(a.3.total_cmp(&b.3))
                .then(a.4.cmp(&b.4))
        });
        self.serve_old(&mut left);
        let mut kept = false;
        for (_, priority, _, due, i) in &order {
            let job = &input.jobs[*i];
            if self.out.steps > 2 * input.max_steps {
                break;
            }
            if !kept && input.spares.iter().all(|s| s.like.priority > *priority) {
                kept = true;
                self.keep_spares();
            }
            match job.shape {
                // What is old has had its turn.
                Shape::Gang if !self.is_old(job) => self.start_or_wait(*i, &mut left),
                Shape::Gang => {}
                _ => {
                    // Narrowest width j with ceil(n / j) rounds of one estimate ending by the deadline.
                    // Most rounds start with the image there; the first may have to fetch it.
                    let time = due - job.image_gb / self.fetch_rate(job);
                    let rounds = (time / (job.estimate.max(1.0) * SLACK)).floor().max(1.0);
                    let width = (f64::from(left[*i]) / rounds).ceil() as u32;
                    let started = self.fill(*i, width.min(left[*i]), true);
                    left[*i] -= started;
                    if started == 0 && left[*i] > 0 {
                        self.wait_for_others(*i);
                    }
                    // What a nested guarantee holds is due at once, whatever the width; others give it back.
                    let due_back = nested && job.promised && -job.arrival > input.patience;
                    if due_back && left[*i] > 0 && !self.is_tired() {
                        left[*i] -= self.fill(*i, left[*i], true);
                        let want = self.allows(job, left[*i]);
                        if want > 0 {
                            self.recall(*i, want);
                        }
                    }
                }
            }
        }
        if !kept {
            self.keep_spares();
        }
        // Arrays also fill room that no planned job needs within one task estimate.
        for (_, _, _, _, i) in &order {
            if input.jobs[*i].shape == Shape::Array
                && left[*i] > 0
                && self.out.steps <= 2 * input.max_steps
            {
                left[*i] -= self.fill(*i, left[*i], true);
            }
        }
        for (_, _, _, _, i) in &order {
            if left[*i] > 0 && self.out.steps <= 2 * input.max_steps && self.waits_beside_spares(*i)
            {
                left[*i] -= self.fill_from_spares(*i);
            }
        }
        for (i, job) in input.jobs.iter().enumerate() {
            let n = self.allows(job, left[i]);
            if n > 0 && (job.shape != Shape::Gang || n == left[i]) {
                self.out.waiting.push((i as u32, n));
            }
        }
    }

    /// Starts a gang whole, or sees to the room that it waits for.
    pub(crate) fn start_or_wait(&mut self, i: usize, left: &mut [u32]) {
        let want = left[i];
        if want == 0 || self.allows(&self.input.jobs[i], want) < want {
            return;
        }
        if self.gang(i, want) {
            left[i] = 0;
        } else if !self.is_tired() && !self.make_room(i, want) {
            self.wait(i, want);
        }
    }

    pub(crate) fn is_tired(&self) -> bool {
        self.out.steps > self.input.max_steps
    }

    /// Keeps the rest from machines with room for jobs that are expected: for each image as many as its share
    /// that have it, so that what comes need not fetch.
    fn keep_spares(&mut self) {
        let input = self.input;
        for spare in &input.spares {
            let job = &spare.like;
            // The time that all expected images together, by their shares, take to come here.
            let missing = |pass: &Self, m: usize| {
                let away = spare
                    .images
                    .iter()
                    .filter(|(i, _, _)| !pass.images[m].contains(i));
                away.map(|(_, gb, share)| gb * share).sum::<f64>()
                    / input.machines[m].fetch_gb_per_s.max(0.01)
            };
            let mut order: Vec<(f64, usize)> = (0..input.machines.len())
                .filter(|m| {
                    self.allowed(job, *m) && self.held[*m].is_none() && self.unpromised(job, *m) > 0
                })
                .map(|m| (missing(self, m) + self.place_score(job, m), m))
                .collect();
            self.out.steps += input.machines.len() as u64;
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let mut left = spare.count;
            let all: f64 = spare.images.iter().map(|(_, _, share)| share).sum();
            for (image, _, share) in &spare.images {
                let mut wanted = (f64::from(spare.count) * share / all.max(EPS)).round() as u32;
                wanted = wanted.min(left);
                for (_, m) in &order {
                    if wanted == 0 {
                        break;
                    }
                    if self.held[*m].is_none() && self.images[*m].contains(image) {
                        let n = self.keep(job, *m);
                        wanted = wanted.saturating_sub(n);
                        left = left.saturating_sub(n);
                    }
                }
            }
            for (_, m) in order {
                if left == 0 {
                    break;
                }
                if self.held[m].is_none() {
                    left = left.saturating_sub(self.keep(job, m));
                }
            }
            self.out.spare_short.push(left);
        }
    }

    /// An array that has waited for long and has no task on any machine.
    fn waits_beside_spares(&self, i: usize) -> bool {
        let job = &self.input.jobs[i];
        let none = self.zones[i].iter().all(|(_, n)| *n == 0);
        job.shape == Shape::Array
            && -job.arrival >= BESIDE_SPARES
            && none
            && !self.out.kept.is_empty()
    }

    /// A first task where room is kept for jobs that are only expected: nobody waits for ever beside it. The rest of it
    /// stays kept, so that it goes task by task.
    fn fill_from_spares(&mut self, i: usize) -> u32 {
        let kept = self.out.kept.clone();
        kept.iter().for_each(|m| self.held[*m as usize] = None);
        let started = self.fill(i, 1, true);
        kept.iter().for_each(|m| self.held[*m as usize] = Some(0.0));
        started
    }

    fn keep(&mut self, job: &Job, m: usize) -> u32 {
        self.held[m] = Some(0.0);
        self.out.kept.push(m as u32);
        self.unpromised(job, m)
    }

    /// The slowest fetch among the machine types that the job may use.
    fn fetch_rate(&self, job: &Job) -> f64 {
        let machines = self
            .input
            .machines
            .iter()
            .filter(|m| job.types >> m.machine_type & 1 == 1);
        machines
            .map(|m| m.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
            .max(0.01)
    }

    fn size(&self, job: &Job) -> stretch::Sized {
        let slots: f64 = self
            .input
            .machines
            .iter()
            .map(|m| f64::from(m.total.count(&job.need, 10_000)))
            .sum();
        let n = f64::from(job.pending);
        stretch::Sized {
            arrival: job.arrival,
            work: job.estimate.max(1.0) * f64::from(job.tasks.max(1)),
            left: job.estimate.max(1.0) * n / slots.max(1.0),
            shortest: job.estimate.max(1.0),
        }
    }

    pub(crate) fn allowed(&self, job: &Job, m: usize) -> bool {
        let machine = &self.input.machines[m];
        machine.usable
            && self.slots[m] > 0
            && self.suits(job, m)
            && self.tenants[m].take(&job.tenant)
    }

    /// Whether a job may use a machine at all.
    pub(crate) fn suits(&self, job: &Job, m: usize) -> bool {
        let machine = &self.input.machines[m];
        job.types >> machine.machine_type & 1 == 1
            && job.zone.is_none_or(|z| z == machine.zone)
            && (job.only.is_empty() || job.only.contains(&machine.zone))
            && (job.spot || !machine.spot)
            && !job.avoid.contains(&(m as u32))
    }

    /// How many more tasks the job may have in this zone, given those it has.
    pub(crate) fn zone_room(&self, i: usize, zone: u16) -> u32 {
        let job = &self.input.jobs[i];
        let there = |z: u16| {
            self.zones[i]
                .iter()
                .find(|(id, _)| *id == z)
                .map_or(0, |(_, n)| *n)
        };
        if job.one_zone && self.zones[i].iter().any(|(z, n)| *z != zone && *n > 0) {
            return 0;
        }
        if job.spread {
            // The bound is half of all tasks, rounded up; it holds however few are placed so far.
            return job.tasks.div_ceil(2).saturating_sub(there(zone));
        }
        u32::MAX
    }

    /// How long the job's image takes to come to this machine.
    pub(crate) fn fetch(&self, job: &Job, m: usize) -> Secs {
        if self.images[m].contains(&job.image) {
            return 0.0;
        }
        job.image_gb / self.input.machines[m].fetch_gb_per_s.max(0.01)
    }

    /// Lower is better: fetch time first, then spot before ordinary, then the tightest fit.
    pub(crate) fn score(&self, job: &Job, m: usize) -> f64 {
        self.fetch(job, m) + self.place_score(job, m)
    }

    fn place_score(&self, job: &Job, m: usize) -> f64 {
        let machine = &self.input.machines[m];
        let left = 1.0
            - machine.total.share(&job.need)
            - (1.0 - self.free[m].gpus / machine.total.gpus.max(EPS));
        let dear = if machine.spot { 0.0 } else { 2.0 };
        dear + left.max(0.0) * 4.0
    }

    /// How many more of a job's tasks, at most `cap`, its team's limit and all above it allow.
    fn allows(&self, job: &Job, cap: u32) -> u32 {
        let team = &self.teams[job.team as usize];
        let above = team.path.iter().map(|g| &self.groups[*g as usize]);
        above.fold(team.allows(&job.need, cap), |n, g| {
            let mut room = g.max;
            room.add(&g.used, -1.0);
            room.count(&job.need, n)
        })
    }

    fn take(&mut self, i: usize, m: usize, n: u32) {
        let input = self.input;
        let job = &input.jobs[i];
        let zone = self.input.machines[m].zone;
        self.note_start(job, m, n);
        self.free[m].add(&job.need, -f64::from(n));
        self.slots[m] -= n;
        self.tenants[m].add(&job.tenant);
        self.teams[job.team as usize].take(&job.need, n);
        for g in &input.teams[job.team as usize].path {
            self.groups[*g as usize].used.add(&job.need, f64::from(n));
        }
        *count_in(&mut self.zones[i], zone) += n;
        if !self.images[m].contains(&job.image) {
            self.images[m].push(job.image);
        }
        self.out.starts.push(Start {
            job: i as u32,
            machine: m as u32,
            count: n,
        });
    }

    /// Starts up to `want` tasks of a job that needs no gang; returns how many.
    pub(crate) fn fill(&mut self, i: usize, want: u32, keep_holds: bool) -> u32 {
        let job = &self.input.jobs[i];
        let mut left = self.allows(job, want);
        let granted = left;
        if left == 0 {
            return 0;
        }
        let mut order: Vec<(f64, usize)> = (0..self.input.machines.len())
            .filter(|m| self.allowed(job, *m) && self.free[*m].fits(&job.need))
            .filter(|m| !keep_holds || self.held[*m].is_none_or(|until| job.estimate <= until))
            .map(|m| (self.score(job, m), m))
            .collect();
        self.out.steps += self.input.machines.len() as u64;
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        // Where all tasks share a zone, the zone is chosen for most room before anything is placed.
        if job.one_zone
            && !self.zones[i].iter().any(|(_, n)| *n > 0)
            && let Some(zone) = self.roomiest(job, &order)
        {
            order.retain(|(_, m)| self.input.machines[*m].zone == zone);
        }
        for (_, m) in order {
            let zone = self.input.machines[m].zone;
            let n = self.room(job, m, left).min(self.zone_room(i, zone));
            if n > 0 {
                self.take(i, m, n);
                left -= n;
            }
            if left == 0 {
                break;
            }
        }
        granted - left
    }

    fn roomiest(&self, job: &Job, order: &[(f64, usize)]) -> Option<u16> {
        let mut room: Vec<(u16, u32)> = Vec::new();
        for (_, m) in order {
            let zone = self.input.machines[*m].zone;
            let n = self.free[*m].count(&job.need, self.slots[*m]);
            let there = count_in(&mut room, zone);
            *there = there.saturating_add(n);
        }
        // With equal room the zone of the best machine wins, since it came first.
        let most = room.iter().map(|(_, n)| (*n).min(job.pending)).max()?;
        room.iter()
            .find(|(_, n)| (*n).min(job.pending) == most)
            .map(|(z, _)| *z)
    }

    /// Starts all `want` tasks of a gang or none.
    fn gang(&mut self, i: usize, want: u32) -> bool {
        let job = &self.input.jobs[i];
        let zones = if job.one_zone {
            self.all_zones()
        } else {
            vec![None]
        };
        let mut best: Option<(f64, Vec<(usize, u32)>)> = None;
        for zone in zones {
            let mut order: Vec<(f64, usize)> = (0..self.input.machines.len())
                .filter(|m| zone.is_none_or(|z| z == self.input.machines[*m].zone))
                .filter(|m| {
                    self.allowed(job, *m)
                        && self.free[*m].fits(&job.need)
                        && self.held[*m].is_none()
                })
                .map(|m| (self.score(job, m), m))
                .collect();
            self.out.steps += self.input.machines.len() as u64;
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let mut left = want;
            let mut cost = 0.0f64;
            let mut by_zone: Vec<(u16, u32)> = Vec::new();
            let mut chosen = Vec::new();
            for (score, m) in order {
                let z = self.input.machines[m].zone;
                let there = count_in(&mut by_zone, z);
                let n = self
                    .room(job, m, left)
                    .min(self.zone_room(i, z).saturating_sub(*there));
                if n > 0 {
                    chosen.push((m, n));
                    *there += n;
                    left -= n;
                    // The slowest place decides when the gang starts.
                    cost = cost.max(score);
                }
                if left == 0 {
                    break;
                }
            }
            if left == 0 && best.as_ref().is_none_or(|(c, _)| cost < *c) {
                best = Some((cost, chosen));
            }
        }
        let Some((_, chosen)) = best else {
            return false;
        };
        // A long fetch leaves the room idle and the user waiting. Where the image is already, young tasks of lower
        // urgency may be the smaller loss.
        let idle = |(m, n): &(usize, u32)| {
            self.fetch(job, *m) * self.input.machines[*m].total.share(&job.need) * f64::from(*n)
        };
        let idle: f64 = chosen.iter().map(idle).sum();
        if idle > EPS && !self.is_tired() {
            let wait = self.input.machines[chosen[0].0].total.share(&job.need)
                * f64::from(want)
                * CLEARING;
            if self
                .cheapest(i, want)
                .is_some_and(|(cost, _)| cost + wait < idle)
            {
                return false;
            }
        }
        for (m, n) in chosen {
            self.take(i, m, n);
        }
        true
    }
}
