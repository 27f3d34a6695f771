//! Compares the graph, on generated call sequences, with a naive model that keeps all jobs forever and recomputes
//! everything each time.

mod common;

use common::naive::{Id, ReferenceModel};
use dependency::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Number of indices; small, so that they are reused.
const INDICES: u32 = 14;

/// One call. Its numbers are mapped to jobs when the call is made.
#[derive(Clone, Debug)]
enum Call {
    Add {
        index: Pick,
        dependencies: Vec<Pick>,
        accepted: i64,
        urgency: Urgency,
    },
    Finish(Pick, i64),
    FinishReleased(usize, i64),
    Cancel(Pick),
    ContinueCancellation(usize),
    UpdateInheritance(u64),
    SetUrgency(Pick, Urgency),
    Forget(Pick),
}

#[derive(Clone, Debug)]
enum Pick {
    /// One of the known jobs, or one of the free indices for a job that is added.
    Valid(usize),
    /// Any index, so that some calls are refused.
    Any(u32),
}

fn picks() -> impl Strategy<Value = Pick> {
    prop_oneof![
        15 => any::<usize>().prop_map(Pick::Valid),
        1 => (0..INDICES).prop_map(Pick::Any),
    ]
}

fn urgencies() -> impl Strategy<Value = Urgency> {
    (0..4_u8, proptest::option::of(0..100_i64), 0..20_u64).prop_map(
        |(priority, deadline, duration)| Urgency {
            priority: Priority(priority),
            deadline: deadline.map(TimeMs),
            duration: DurationMs(duration),
        },
    )
}

fn calls() -> impl Strategy<Value = Call> {
    prop_oneof![
        8 => (picks(), proptest::collection::vec(picks(), 0..5), 0..100_i64, urgencies())
            .prop_map(|(index, dependencies, accepted, urgency)| Call::Add { index, dependencies, accepted, urgency }),
        1 => (picks(), 0..100_i64).prop_map(|(job, at)| Call::Finish(job, at)),
        4 => (any::<usize>(), 0..100_i64).prop_map(|(job, at)| Call::FinishReleased(job, at)),
        2 => picks().prop_map(Call::Cancel),
        3 => (0..4_usize).prop_map(Call::ContinueCancellation),
        3 => (0..6_u64).prop_map(Call::UpdateInheritance),
        1 => (picks(), urgencies()).prop_map(|(job, urgency)| Call::SetUrgency(job, urgency)),
        3 => picks().prop_map(Call::Forget),
    ]
}

/// The graph and the reference model, driven by the same calls.
struct GraphAndModel {
    graph: Graph<JobIndex>,
    model: ReferenceModel,
    /// The model's job for each index in use.
    ids: BTreeMap<JobIndex, Id>,
    /// Jobs that the graph has reported as cancelled.
    reported_cancelled: BTreeSet<Id>,
    /// Roots of pending cancellations.
    pending_roots: BTreeSet<JobIndex>,
}

impl GraphAndModel {
    fn new() -> Self {
        Self {
            graph: Graph::new(),
            model: ReferenceModel::default(),
            ids: BTreeMap::new(),
            reported_cancelled: BTreeSet::new(),
            pending_roots: BTreeSet::new(),
        }
    }

    fn pick_known(&self, pick: &Pick) -> JobIndex {
        match *pick {
            Pick::Valid(number) if !self.ids.is_empty() => *self
                .ids
                .keys()
                .nth(number % self.ids.len())
                .expect("a known job"),
            Pick::Valid(number) => JobIndex(number as u32 % INDICES),
            Pick::Any(index) => JobIndex(index),
        }
    }

    fn pick_free(&self, pick: &Pick) -> JobIndex {
        let free: Vec<_> = (0..INDICES)
            .map(JobIndex)
            .filter(|index| !self.ids.contains_key(index))
            .collect();
        match *pick {
            Pick::Valid(number) if !free.is_empty() => free[number % free.len()],
            Pick::Valid(number) => JobIndex(number as u32 % INDICES),
            Pick::Any(index) => JobIndex(index),
        }
    }

    fn call(&mut self, call: &Call) {
        match call {
            Call::Add {
                index,
                dependencies,
                accepted,
                urgency,
            } => {
                let dependencies: Vec<_> = dependencies
                    .iter()
                    .map(|dependency| self.pick_known(dependency))
                    .collect();
                self.add(
                    self.pick_free(index),
                    &dependencies,
                    TimeMs(*accepted),
                    *urgency,
                );
            }
            Call::Finish(job, at) => self.finish(self.pick_known(job), TimeMs(*at)),
            Call::FinishReleased(number, at) => {
                let released: Vec<_> = self
                    .ids
                    .iter()
                    .filter(|&(_, &id)| matches!(self.model.state(id), JobState::Released { .. }))
                    .map(|(&index, _)| index)
                    .collect();
                if !released.is_empty() {
                    self.finish(released[number % released.len()], TimeMs(*at));
                }
            }
            Call::Cancel(job) => self.cancel(self.pick_known(job)),
            Call::ContinueCancellation(limit) => {
                self.continue_cancellation(*limit);
            }
            Call::UpdateInheritance(limit) => {
                self.update_inheritance(*limit);
            }
            Call::SetUrgency(job, urgency) => self.set_urgency(self.pick_known(job), *urgency),
            Call::Forget(job) => self.forget(self.pick_known(job)),
        }
    }

    fn add(
        &mut self,
        job: JobIndex,
        dependencies: &[JobIndex],
        accepted: TimeMs,
        urgency: Urgency,
    ) {
        let answer = self.graph.add(job, dependencies, accepted, urgency);
        if self.ids.contains_key(&job) {
            return assert_eq!(answer, Err(AddError::AlreadyKnown(job)));
        }
        if dependencies.contains(&job) {
            return assert_eq!(answer, Err(AddError::DependsOnItself(job)));
        }
        if let Some(&dependency) = dependencies
            .iter()
            .find(|dependency| !self.ids.contains_key(dependency))
        {
            return assert_eq!(answer, Err(AddError::UnknownDependency { job, dependency }));
        }
        let dependencies: BTreeSet<Id> = dependencies
            .iter()
            .map(|dependency| self.ids[dependency])
            .collect();
        let below_reported = dependencies
            .iter()
            .any(|dependency| self.reported_cancelled.contains(dependency));
        let id = self.model.add(dependencies, accepted, urgency);
        self.ids.insert(job, id);
        match self.model.state(id) {
            JobState::Cancelled if below_reported => {
                assert_eq!(answer, Ok(JobState::Cancelled));
                assert!(self.reported_cancelled.insert(id));
            }
            JobState::Cancelled => assert_eq!(
                answer,
                Ok(JobState::Waiting),
                "the cancellation has yet to reach it"
            ),
            state => assert_eq!(answer, Ok(state)),
        }
    }

    fn finish(&mut self, job: JobIndex, at: TimeMs) {
        let answer = self.graph.finish(job, at);
        let Some(&id) = self.ids.get(&job) else {
            return assert_eq!(answer, Err(FinishError::Unknown(job)));
        };
        match self.model.state(id) {
            JobState::Cancelled if self.reported_cancelled.contains(&id) => {
                assert_eq!(answer, Err(FinishError::Cancelled(job)));
            }
            JobState::Cancelled | JobState::Waiting => {
                assert_eq!(answer, Err(FinishError::NotReleased(job)))
            }
            JobState::Done { at } => assert_eq!(answer, Err(FinishError::AlreadyDone { job, at })),
            JobState::Released { .. } => {
                let waiting: Vec<_> = self
                    .ids
                    .iter()
                    .filter(|&(_, &id)| self.model.state(id) == JobState::Waiting)
                    .map(|(&index, &id)| (index, id))
                    .collect();
                self.model.finish(id, at);
                let released: Vec<_> = waiting
                    .into_iter()
                    .filter_map(|(job, id)| match self.model.state(id) {
                        JobState::Released { at } => Some(Release { job, at }),
                        _ => None,
                    })
                    .collect();
                assert_eq!(answer, Ok(released));
            }
        }
    }

    fn cancel(&mut self, job: JobIndex) {
        let answer = self.graph.cancel(job);
        let Some(&id) = self.ids.get(&job) else {
            return assert_eq!(answer, Err(UnknownJob(job)));
        };
        if let JobState::Done { at } = self.model.state(id) {
            return assert_eq!(answer, Ok(CancelOutcome::AlreadyDone { at }));
        }
        if self.reported_cancelled.contains(&id) {
            return assert_eq!(answer, Ok(CancelOutcome::AlreadyCancelled));
        }
        assert_eq!(answer, Ok(CancelOutcome::Cancelled));
        self.model.cancel(id);
        self.reported_cancelled.insert(id);
        self.pending_roots.insert(job);
    }

    fn continue_cancellation(&mut self, limit: usize) -> bool {
        let step = self.graph.continue_cancellation(limit);
        assert!(step.cancelled.len() <= limit);
        for job in step.cancelled {
            let id = self.ids[&job];
            assert_eq!(
                self.model.state(id),
                JobState::Cancelled,
                "only jobs below a cancelled one are cancelled"
            );
            assert!(
                self.reported_cancelled.insert(id),
                "each job is reported once"
            );
        }
        for root in step.completed {
            assert!(self.pending_roots.remove(&root));
        }
        assert_eq!(step.pending, !self.pending_roots.is_empty());
        if !step.pending {
            let all: BTreeSet<_> = self.model.cancelled().collect();
            assert_eq!(self.reported_cancelled, all, "all jobs below are reached");
        }
        step.pending
    }

    fn update_inheritance(&mut self, limit: u64) -> bool {
        let before = self.inherited();
        let steps = self.graph.steps().inheritance;
        let update = self.graph.update_inheritance(limit);
        let steps = self.graph.steps().inheritance - steps;
        assert!(
            steps <= limit + 5,
            "at most the limit and the edges of one job"
        );
        let after = self.inherited();
        let mut changed: Vec<_> = before
            .keys()
            .filter(|job| before[*job] != after[*job])
            .copied()
            .collect();
        changed.sort_by_key(|job| std::cmp::Reverse(self.ids[job]));
        assert_eq!(
            update.changed, changed,
            "changed jobs are returned, last added first"
        );
        update.complete
    }

    fn inherited(&self) -> BTreeMap<JobIndex, Option<Inherited>> {
        self.ids
            .keys()
            .map(|&job| (job, self.graph.inherited(job)))
            .collect()
    }

    fn set_urgency(&mut self, job: JobIndex, urgency: Urgency) {
        let answer = self.graph.set_urgency(job, urgency);
        let Some(&id) = self.ids.get(&job) else {
            return assert_eq!(answer, Err(UnknownJob(job)));
        };
        assert_eq!(answer, Ok(()));
        self.model.set_urgency(id, urgency);
    }

    fn forget(&mut self, job: JobIndex) {
        let answer = self.graph.forget(job);
        let Some(&id) = self.ids.get(&job) else {
            return assert_eq!(answer, Err(ForgetError::Unknown(job)));
        };
        let ended = matches!(self.model.state(id), JobState::Done { .. })
            || self.reported_cancelled.contains(&id);
        if !ended {
            return assert_eq!(answer, Err(ForgetError::Unfinished(job)));
        }
        if answer == Err(ForgetError::CancellationPending(job)) {
            assert!(!self.pending_roots.is_empty(), "no cancellation is pending");
            return;
        }
        assert_eq!(answer, Ok(()));
        if self.reported_cancelled.contains(&id) {
            let mut below = self.model.dependents(id);
            assert!(
                below.all(|job| self.reported_cancelled.contains(&job)),
                "a dependent was not reached by the cancellation"
            );
        }
        self.ids.remove(&job);
    }

    /// Checks the invariants that hold after each call.
    fn check(&self) {
        assert_eq!(self.graph.len(), self.ids.len());
        for (&job, &id) in &self.ids {
            let expected = match self.model.state(id) {
                JobState::Cancelled if !self.reported_cancelled.contains(&id) => JobState::Waiting,
                state => state,
            };
            assert_eq!(self.graph.state(job), Some(expected), "{job:?}");
        }
    }

    /// Completes all pending work and compares everything.
    fn settle(&mut self) {
        while self.continue_cancellation(2) {}
        while !self.update_inheritance(3) {}
        self.check();
        let mut edges = 0;
        for (&job, &id) in &self.ids {
            assert_eq!(
                self.graph.inherited(job),
                self.model.inherited(id),
                "{job:?}"
            );
            let dependencies: BTreeSet<_> = self
                .graph
                .unfinished_dependencies(job)
                .map(|dependency| self.ids[&dependency])
                .collect();
            assert_eq!(dependencies, self.model.unfinished_dependencies(id));
            for dependency in self.graph.unfinished_dependencies(job) {
                let back = self
                    .graph
                    .dependents(dependency)
                    .filter(|&dependent| dependent == job);
                assert_eq!(back.count(), 1, "both ends of an edge exist");
            }
            edges += dependencies.len();
        }
        assert_eq!(self.graph.edges(), edges);
    }

    /// Finishes all released jobs in a valid order, then forgets all jobs.
    fn finish_and_forget_all(&mut self) {
        while let Some(job) = self.ids.iter().find_map(|(&job, &id)| {
            let released = matches!(self.model.state(id), JobState::Released { .. });
            released.then_some(job)
        }) {
            self.finish(job, TimeMs(100));
        }
        for job in self.ids.keys().copied().collect::<Vec<_>>() {
            self.forget(job);
        }
        assert!(
            self.graph.is_empty() && self.graph.edges() == 0,
            "all jobs have ended"
        );
        let steps = self.graph.steps();
        assert!(
            steps.release + steps.cancellation <= 2 * steps.added,
            "each job ends and is removed once, and so is each edge: {steps:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn graph_agrees_with_reference_model(history in proptest::collection::vec(calls(), 1..120)) {
        let mut both = GraphAndModel::new();
        for (number, call) in history.iter().enumerate() {
            both.call(call);
            both.check();
            if number % 40 == 39 {
                both.settle();
            }
        }
        both.settle();
        both.finish_and_forget_all();
    }
}
