//! A naive reference model of the graph: it keeps all jobs forever and computes everything from their dependencies.

use dependency::{Inherited, JobState, TimeMs, Urgency};
use std::collections::BTreeSet;

/// Index of a job in the model; never reused.
pub type Id = usize;

struct Job {
    dependencies: BTreeSet<Id>,
    accepted: TimeMs,
    urgency: Urgency,
    end: Option<TimeMs>,
    cancelled_itself: bool,
}

#[derive(Default)]
pub struct ReferenceModel {
    jobs: Vec<Job>,
}

impl ReferenceModel {
    pub fn add(&mut self, dependencies: BTreeSet<Id>, accepted: TimeMs, urgency: Urgency) -> Id {
        self.jobs.push(Job {
            dependencies,
            accepted,
            urgency,
            end: None,
            cancelled_itself: false,
        });
        self.jobs.len() - 1
    }

    pub fn finish(&mut self, id: Id, at: TimeMs) {
        self.jobs[id].end = Some(at);
    }

    pub fn cancel(&mut self, id: Id) {
        self.jobs[id].cancelled_itself = true;
    }

    pub fn set_urgency(&mut self, id: Id, urgency: Urgency) {
        self.jobs[id].urgency = urgency;
    }

    pub fn state(&self, id: Id) -> JobState {
        self.states()[id]
    }

    /// The states of all jobs. Dependencies always precede their dependents.
    fn states(&self) -> Vec<JobState> {
        let mut states: Vec<JobState> = Vec::new();
        for job in &self.jobs {
            let dependencies = || job.dependencies.iter().map(|&id| states[id]);
            let ends = dependencies().map(|state| match state {
                JobState::Done { at } => Some(at),
                _ => None,
            });
            let state = if job.cancelled_itself
                || dependencies().any(|state| state == JobState::Cancelled)
            {
                JobState::Cancelled
            } else if let Some(at) = job.end {
                JobState::Done { at }
            } else if let Some(ends) = ends.collect::<Option<Vec<_>>>() {
                let at = ends.into_iter().chain([job.accepted]).max();
                JobState::Released {
                    at: at.expect("at least the acceptance"),
                }
            } else {
                JobState::Waiting
            };
            states.push(state);
        }
        states
    }

    pub fn cancelled(&self) -> impl Iterator<Item = Id> {
        let states = self.states().into_iter().enumerate();
        states
            .filter(|(_, state)| *state == JobState::Cancelled)
            .map(|(id, _)| id)
    }

    pub fn dependents(&self, id: Id) -> impl Iterator<Item = Id> {
        let jobs = self.jobs.iter().enumerate();
        jobs.filter(move |(_, job)| job.dependencies.contains(&id))
            .map(|(id, _)| id)
    }

    fn is_unfinished(&self, id: Id) -> bool {
        matches!(
            self.state(id),
            JobState::Waiting | JobState::Released { .. }
        )
    }

    pub fn unfinished_dependencies(&self, id: Id) -> BTreeSet<Id> {
        if !self.is_unfinished(id) {
            return BTreeSet::new();
        }
        let dependencies = self.jobs[id].dependencies.iter().copied();
        dependencies
            .filter(|&dependency| self.is_unfinished(dependency))
            .collect()
    }

    /// Computed by definition, over all paths below the job.
    pub fn inherited(&self, id: Id) -> Option<Inherited> {
        let states = self.states();
        let is_unfinished =
            |id: Id| matches!(states[id], JobState::Waiting | JobState::Released { .. });
        // Later jobs first, so that the dependents of a job are computed before it.
        let mut inherited: Vec<Option<Inherited>> = vec![None; self.jobs.len()];
        for id in (0..self.jobs.len()).rev().filter(|&id| is_unfinished(id)) {
            let own = self.jobs[id].urgency;
            let mut best = Inherited {
                priority: own.priority,
                latest_finish: own.deadline,
            };
            for dependent in self
                .dependents(id)
                .filter(|&dependent| is_unfinished(dependent))
            {
                let below = inherited[dependent].expect("an unfinished dependent, computed before");
                let duration = self.jobs[dependent].urgency.duration.0 as i64;
                let finish = below
                    .latest_finish
                    .map(|finish| TimeMs(finish.0 - duration));
                best.priority = best.priority.max(below.priority);
                best.latest_finish = best.latest_finish.into_iter().chain(finish).min();
            }
            inherited[id] = Some(best);
        }
        inherited[id]
    }
}
