//! The course of a run: phases that begin and end, what arrives in them, and what goes wrong.

use super::{Arrival, Due, Run, describe};
use crate::checker::SETTLED_MS;
use crate::clock::{self, Millis};
use crate::messages::ToWorkers;
use crate::report::Heartbeat;
use crate::scenario::{self, Fault, Kind, Phase};
use crate::size::Size;
use crate::users::{Next, Question};
use crate::workload::Class;
use std::collections::HashSet;
use wire::api::Kind as Shape;

/// Long jobs are submitted this far apart at the beginning.
const FILL_EVERY_MS: u64 = 50;
/// The beginning is over once this part of its tasks are on machines.
const FILLED: f64 = 0.97;
/// The run has not done what it says with fewer.
const LEAST_FILLED: f64 = 0.9;
/// The same of accepted submissions.
const LEAST_ACCEPTED: f64 = 0.9;
/// A machine that is restarted stands still for so much longer than its lease.
const RESTART_MS: u64 = 5000;
/// Cancels of a turnover come within this part of it.
const TURNOVER_PART: f64 = 0.6;
/// One daily job in so many is a gang.
const GANG_EVERY: u64 = 3;

/// Where a run stands.
pub struct Course {
    phases: Vec<Phase>,
    index: usize,
    began: Millis,
    /// Arrivals that go on by themselves.
    active: HashSet<Arrival>,
    base_tasks: u32,
    hit: HashSet<String>,
    pub not_done: Vec<String>,
}

impl Course {
    pub fn new(size: &Size) -> Self {
        Course {
            phases: scenario::phases(size),
            index: 0,
            began: 0,
            active: HashSet::new(),
            base_tasks: 0,
            hit: HashSet::new(),
            not_done: Vec::new(),
        }
    }

    pub fn is_over(&self) -> bool {
        self.index >= self.phases.len()
    }

    fn phase(&self) -> Option<Phase> {
        self.phases.get(self.index).copied()
    }

    fn allows(&self, arrival: Arrival) -> bool {
        let Some(phase) = self.phase() else {
            return false;
        };
        match arrival {
            Arrival::Daily | Arrival::Urgent => phase.kind.has_arrivals(),
            Arrival::Change => phase.kind.has_changes(),
            Arrival::Peak => phase.kind == Kind::Peak,
        }
    }
}

impl Run {
    pub(super) fn begin_phase(&mut self, now: Millis) {
        let Some(phase) = self.course.phase() else {
            return;
        };
        if !self.is_quiet {
            eprintln!("{}", describe(&phase));
        }
        self.course.began = now;
        self.begin_measuring(now);
        let end = now + (phase.seconds * 1000.0) as u64;
        self.timers.add(end, Due::PhaseEnd);
        match phase.kind {
            Kind::Fill => self.fill(now),
            Kind::Turnover => self.turn_over(now, phase.seconds),
            _ => {}
        }
        for arrival in [
            Arrival::Daily,
            Arrival::Urgent,
            Arrival::Peak,
            Arrival::Change,
        ] {
            if self.course.allows(arrival) && self.course.active.insert(arrival) {
                self.timers.add(now, Due::Arrival(arrival));
            }
        }
        for (at, fault) in scenario::faults(&self.size, &phase) {
            let due = now + (at * 1000.0) as u64;
            self.timers.add(due, Due::Fault(fault));
        }
    }

    pub(super) fn end_phase(&mut self, now: Millis) {
        let Some(phase) = self.course.phase() else {
            return;
        };
        // A phase that ended early leaves the timer of its end behind.
        if phase.kind != Kind::Fill && now < self.course.began + (phase.seconds * 1000.0) as u64 {
            return;
        }
        self.finish_phase(now);
    }

    fn finish_phase(&mut self, now: Millis) {
        let Some(phase) = self.course.phase() else {
            return;
        };
        self.judge_phase(&phase);
        self.end_measuring(now, &phase);
        self.course.index += 1;
        self.begin_phase(now);
    }

    /// Notes where a phase did not do what it says.
    fn judge_phase(&mut self, phase: &Phase) {
        let name = phase.kind.name();
        if phase.kind == Kind::Fill {
            let (on, base) = (self.checker.on_machines(), self.course.base_tasks);
            if (on as f64) < f64::from(base) * LEAST_FILLED {
                let why = format!("{name}: {on} of {base} tasks run");
                self.course.not_done.push(why);
            }
        }
        let times = &self.users.times;
        let least = times.submitted as f64 * LEAST_ACCEPTED;
        if phase.kind.has_arrivals() && (times.accepted as f64) < least {
            let why = format!(
                "{name}: {} of {} jobs accepted",
                times.accepted, times.submitted
            );
            self.course.not_done.push(why);
        }
        if phase.kind.has_changes()
            && self.size.changes_per_s() > 0.0
            && self.operator.times.made == 0
        {
            self.course
                .not_done
                .push(format!("{name}: no change was made"));
        }
    }

    fn fill(&mut self, now: Millis) {
        let jobs = self.workload.base(self.size.tasks);
        let tasks = jobs.iter().filter_map(|job| self.workload.spec(job));
        self.course.base_tasks = tasks.map(|spec| spec.tasks).sum();
        for (number, job) in jobs.into_iter().enumerate() {
            let due = now + number as u64 * FILL_EVERY_MS;
            self.timers.add(due, Due::Submit(job));
        }
    }

    fn turn_over(&mut self, now: Millis, seconds: f64) {
        let jobs = self.users.live(Class::BaseArray);
        let within = seconds * 1000.0 * TURNOVER_PART;
        let count = jobs.len().max(1) as f64;
        for (number, job) in jobs.into_iter().enumerate() {
            let at = now + (within * number as f64 / count) as u64;
            let question = Question::Cancel;
            let next = Next { at, job, question };
            self.timers.add(at, Due::User(next));
        }
    }

    /// One arrival, and the time of the next, drawn as from many users who don't know each other.
    pub(super) fn arrival(&mut self, now: Millis, arrival: Arrival) {
        if !self.course.allows(arrival) {
            self.course.active.remove(&arrival);
            return;
        }
        let rate = match arrival {
            Arrival::Daily => self.size.jobs_per_s(),
            Arrival::Urgent => self.size.urgent_per_s,
            Arrival::Change => self.size.changes_per_s(),
            Arrival::Peak => self.size.peak_starts / f64::from(self.size.peak_array),
        };
        if rate <= 0.0 {
            return;
        }
        match arrival {
            Arrival::Daily => {
                let number = self.serials.values().sum::<u64>();
                let is_gang = number.is_multiple_of(GANG_EVERY);
                let class = if is_gang {
                    Class::SteadyGang
                } else {
                    Class::SteadyArray
                };
                self.submit_next(now, class);
            }
            Arrival::Urgent => self.submit_next(now, Class::Urgent),
            Arrival::Peak => self.submit_next(now, Class::Peak),
            Arrival::Change => self.change(now),
        }
        // The peak is an even stream, so that what it asks for is known.
        let spread = if arrival == Arrival::Peak {
            1.0
        } else {
            -(1.0 - self.rng.f64()).ln()
        };
        let wait = (1000.0 / rate * spread).max(1.0) as u64;
        self.timers.add(now + wait, Due::Arrival(arrival));
    }

    fn submit_next(&mut self, now: Millis, class: Class) {
        let job = self.next_job(class);
        if let Some(spec) = self.workload.spec(&job) {
            self.measure.asked_starts += u64::from(spec.tasks);
        }
        self.submit(now, &job);
    }

    pub(super) fn fault(&mut self, now: Millis, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::Machine => self.lose_machines(now, 1, None),
            Fault::Rack(count) => {
                let zone = self.rng.usize(0..self.size.zones);
                self.lose_machines(now, count, Some(zone))
            }
            Fault::Restart => self.restart_machine(now),
            Fault::ZoneCut { zone, seconds } => self.cut(now, vec![zone], seconds),
            Fault::RegionCut { region, seconds } => {
                let zones = self.network.zones_in(region);
                self.cut(now, zones, seconds)
            }
            Fault::Follower => {
                let leader = self.state.leader(self.size.controllers);
                let node = (0..self.size.controllers).rfind(|node| Some(*node) != leader);
                node.into_iter()
                    .for_each(|node| self.controllers.kill(node));
                Ok(())
            }
            Fault::Leader => {
                if let Some(node) = self.state.leader(self.size.controllers) {
                    self.controllers.kill(node);
                }
                Ok(())
            }
        }
    }

    /// Machines that are up and that nothing has happened to yet, in a zone if one is named.
    fn pick(&mut self, now: Millis, count: usize, zone: Option<usize>) -> Vec<String> {
        let up = self.cloud.up(now);
        let in_zone = up.into_iter().filter(|m| zone.is_none_or(|z| z == m.zone));
        let whole = in_zone.filter(|m| !self.course.hit.contains(&m.machine));
        let mut machines: Vec<String> = whole.map(|m| m.machine).collect();
        // A rack's machines are neighbours; others are drawn.
        if zone.is_none() {
            self.rng.shuffle(&mut machines);
        }
        machines.truncate(count);
        self.course.hit.extend(machines.iter().cloned());
        machines
    }

    fn lose_machines(
        &mut self,
        now: Millis,
        count: usize,
        zone: Option<usize>,
    ) -> Result<(), String> {
        for machine in self.pick(now, count, zone) {
            self.cloud.lose(&machine);
            let process = self.process_of(&machine);
            // Nobody waits for this one to be gone.
            self.workers[process].tell(&ToWorkers::Remove {
                machines: vec![machine],
                request: 0,
            })?;
        }
        Ok(())
    }

    fn restart_machine(&mut self, now: Millis) -> Result<(), String> {
        let until = now + (self.size.lease_s * 1000.0) as u64 + RESTART_MS;
        for machine in self.pick(now, 1, None) {
            let process = self.process_of(&machine);
            self.workers[process].tell(&ToWorkers::Hang { machine, until })?;
        }
        Ok(())
    }

    fn cut(&mut self, now: Millis, zones: Vec<usize>, seconds: f64) -> Result<(), String> {
        let until = now + (seconds * 1000.0) as u64;
        self.network.cut(zones.clone(), until);
        let message = ToWorkers::Cut { zones, until };
        self.workers
            .iter_mut()
            .try_for_each(|process| process.tell(&message))
    }

    /// What is looked at once a second.
    pub(super) fn second(&mut self, now: Millis) -> Result<(), String> {
        self.controllers.tick(now)?;
        self.sample(now);
        self.checker.check_cancelled(now);
        let is_filling = self.course.phase().is_some_and(|p| p.kind == Kind::Fill);
        let wanted = f64::from(self.course.base_tasks) * FILLED;
        if is_filling && self.checker.on_machines() as f64 >= wanted {
            self.finish_phase(now);
        }
        self.timers.add(now + super::SECOND_MS, Due::Second);
        Ok(())
    }

    /// The last checks, and the report.
    pub(super) fn finish(mut self) -> Heartbeat {
        let now = clock::now();
        self.checker.check(now + SETTLED_MS);
        let (live, silent) = self
            .users
            .unanswered_since(now.saturating_sub(crate::checker::FORGOTTEN_MS));
        if silent > 0 {
            let why = format!("{silent} of {live} accepted jobs were not answered for 75 s");
            self.course.not_done.push(why);
        }
        self.report()
    }

    /// Whether the job is one whose tasks run together.
    pub(super) fn is_gang(&self, job: &str) -> Option<usize> {
        let spec = self.workload.spec(job)?;
        (spec.kind == Shape::Gang).then_some(spec.tasks as usize)
    }
}
