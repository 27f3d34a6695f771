//! Work that must not share a machine. What holds a machine for its county is all that is on it until that is proved
//! gone; a job of another county that finds no machine free of others' work has one promised, so that it does not
//! wait for ever while work of theirs comes and goes.

use crate::pass::Pass;
use crate::{Job, Secs};

/// Whose work something is: a county as a number, 0 for none, and whether it shares no machine with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Tenant {
    pub county: u16,
    pub alone: bool,
}

impl Tenant {
    /// The two may not be on one machine at the same time.
    pub fn bars(&self, other: &Tenant) -> bool {
        self.county != other.county && (self.alone || other.alone)
    }
}

/// All that is on a machine, as far as it matters to who wants to join.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tenants {
    county: Option<u16>,
    mixed: bool,
    alone: bool,
}

impl Tenants {
    pub fn of<'a>(all: impl IntoIterator<Item = &'a Tenant>) -> Self {
        let mut out = Tenants::default();
        all.into_iter().for_each(|t| out.add(t));
        out
    }
    pub fn take(&self, new: &Tenant) -> bool {
        match self.county {
            None => true,
            Some(county) if !self.mixed && county == new.county => true,
            Some(_) => !self.alone && !new.alone,
        }
    }
    pub fn add(&mut self, new: &Tenant) {
        self.mixed |= self.county.is_some_and(|c| c != new.county);
        self.county = Some(new.county);
        self.alone |= new.alone;
    }
}

impl Pass<'_> {
    /// When the last work that a job may not share this machine with is expected to end.
    pub(crate) fn free_of_others(&self, job: &Job, m: usize) -> Secs {
        if self.tenants[m].take(&job.tenant) {
            return 0.0;
        }
        let running = self.input.machines[m]
            .running
            .iter()
            .map(|r| (r.ends, &r.tenant));
        let started = self.lines[m]
            .ends
            .iter()
            .map(|(end, _, tenant)| (*end, tenant));
        let barred = running.chain(started).filter(|(_, t)| t.bars(&job.tenant));
        barred.map(|(end, _)| end).fold(0.0, f64::max)
    }

    /// Whether a promise on this machine is to a job that this one may not share it with.
    pub(crate) fn is_promised_to_others(&self, job: &Job, m: usize) -> bool {
        self.lines[m]
            .promised
            .iter()
            .any(|(_, _, tenant)| tenant.bars(&job.tenant))
    }

    /// Promises one place to a job none of whose tasks runs or finds a machine free of others' work: the first that
    /// will be. One for each county and plan, so that what is kept free for them is bounded.
    pub(crate) fn wait_for_others(&mut self, i: usize) {
        let job = &self.input.jobs[i];
        if !self.apart || job.zones.iter().any(|(_, n)| *n > 0) || self.is_tired() {
            return;
        }
        self.out.steps += self.input.machines.len() as u64;
        let barred = |m: usize| self.suits(job, m) && !self.tenants[m].take(&job.tenant);
        let any = (0..self.input.machines.len()).any(barred);
        if any && self.waits.insert(job.tenant.county) {
            self.promise_first(i, 1);
        }
    }
}
