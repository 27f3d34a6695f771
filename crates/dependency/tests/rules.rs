//! The rules of the graph, with one example each.

use dependency::*;

const A: JobIndex = JobIndex(0);
const B: JobIndex = JobIndex(1);
const C: JobIndex = JobIndex(2);
const D: JobIndex = JobIndex(3);

fn default_urgency() -> Urgency {
    Urgency::default()
}

fn with_duration(ms: u64) -> Urgency {
    Urgency {
        duration: DurationMs(ms),
        ..default_urgency()
    }
}

fn with_deadline(deadline: i64, duration: u64) -> Urgency {
    Urgency {
        deadline: Some(TimeMs(deadline)),
        ..with_duration(duration)
    }
}

/// A diamond: B and C depend on A, and D on both.
fn diamond() -> Graph<JobIndex> {
    let mut graph = Graph::new();
    graph.add(A, &[], TimeMs(0), with_duration(10)).unwrap();
    graph.add(B, &[A], TimeMs(0), with_duration(20)).unwrap();
    graph.add(C, &[A], TimeMs(0), with_duration(30)).unwrap();
    graph
        .add(D, &[B, C], TimeMs(0), with_deadline(200, 40))
        .unwrap();
    graph
}

fn latest_finish(graph: &Graph<JobIndex>, job: JobIndex) -> Option<i64> {
    graph.inherited(job)?.latest_finish.map(|at| at.0)
}

/// A job cannot depend on itself or on a later job, so there are no cycles. A refused call changes nothing.
#[test]
fn cycles_are_rejected() {
    let mut graph = Graph::new();
    assert_eq!(
        graph.add(A, &[A], TimeMs(0), default_urgency()),
        Err(AddError::DependsOnItself(A))
    );
    let unknown = AddError::UnknownDependency {
        job: A,
        dependency: B,
    };
    assert_eq!(
        graph.add(A, &[B], TimeMs(0), default_urgency()),
        Err(unknown)
    );
    assert!(graph.is_empty() && graph.edges() == 0);
    graph.add(A, &[], TimeMs(0), default_urgency()).unwrap();
    graph.add(B, &[A], TimeMs(0), default_urgency()).unwrap();
    assert_eq!(
        graph.add(A, &[B], TimeMs(0), default_urgency()),
        Err(AddError::AlreadyKnown(A)),
        "dependencies cannot be added to an existing job"
    );
    let unknown_second = AddError::UnknownDependency {
        job: C,
        dependency: D,
    };
    assert_eq!(
        graph.add(C, &[A, D], TimeMs(0), default_urgency()),
        Err(unknown_second)
    );
    assert_eq!((graph.len(), graph.edges()), (2, 1));
    assert_eq!(graph.dependents(A).collect::<Vec<_>>(), [B]);
}

#[test]
fn a_job_named_twice_counts_once() {
    let mut graph = Graph::new();
    graph.add(A, &[], TimeMs(0), default_urgency()).unwrap();
    graph
        .add(B, &[A, A, A], TimeMs(0), default_urgency())
        .unwrap();
    assert_eq!(graph.edges(), 1);
    let release = Release {
        job: B,
        at: TimeMs(4),
    };
    assert_eq!(graph.finish(A, TimeMs(4)), Ok(vec![release]));
}

/// Rule 24: a job is released once all its dependencies are done. Its release time is the latest of their ends, in
/// whichever order these are reported.
#[test]
fn release_waits_for_all_ends() {
    let mut graph = diamond();
    assert_eq!(graph.finish(B, TimeMs(1)), Err(FinishError::NotReleased(B)));
    let both = vec![
        Release {
            job: B,
            at: TimeMs(10),
        },
        Release {
            job: C,
            at: TimeMs(10),
        },
    ];
    assert_eq!(graph.finish(A, TimeMs(10)), Ok(both));
    assert_eq!(graph.finish(C, TimeMs(70)), Ok(vec![]));
    assert_eq!(graph.state(D), Some(JobState::Waiting));
    assert_eq!(graph.unfinished_dependencies(D).collect::<Vec<_>>(), [B]);
    let again = FinishError::AlreadyDone {
        job: C,
        at: TimeMs(70),
    };
    assert_eq!(
        graph.finish(C, TimeMs(90)),
        Err(again),
        "an end reported twice counts once, and the first is kept"
    );
    let release = Release {
        job: D,
        at: TimeMs(70),
    };
    assert_eq!(
        graph.finish(B, TimeMs(60)),
        Ok(vec![release]),
        "an earlier end that is reported later"
    );
    assert_eq!(graph.state(D), Some(JobState::Released { at: TimeMs(70) }));
}

/// A job that is added after all its dependencies ended is released at its acceptance.
#[test]
fn job_added_after_its_dependencies_ended_is_released_at_acceptance() {
    let mut graph = Graph::new();
    graph.add(A, &[], TimeMs(0), default_urgency()).unwrap();
    graph.add(B, &[], TimeMs(0), default_urgency()).unwrap();
    graph.finish(A, TimeMs(50)).unwrap();
    let late = graph.add(C, &[A], TimeMs(80), default_urgency());
    assert_eq!(late, Ok(JobState::Released { at: TimeMs(80) }));
    let waiting = graph.add(D, &[A, B], TimeMs(20), default_urgency());
    assert_eq!(waiting, Ok(JobState::Waiting));
    let release = Release {
        job: D,
        at: TimeMs(50),
    };
    assert_eq!(graph.finish(B, TimeMs(30)), Ok(vec![release]));
}

/// Rule 25: of an end and a cancellation of the same job, the second is refused. The jobs below follow the first.
#[test]
fn second_of_an_end_and_a_cancellation_is_refused() {
    let mut ended = diamond();
    ended.finish(A, TimeMs(10)).unwrap();
    let done = CancelOutcome::AlreadyDone { at: TimeMs(10) };
    assert_eq!(ended.cancel(A), Ok(done));
    let step = ended.continue_cancellation(10);
    assert!(step.cancelled.is_empty() && !step.pending);
    for job in [B, C] {
        assert_eq!(
            ended.state(job),
            Some(JobState::Released { at: TimeMs(10) }),
            "jobs below a done job are not affected"
        );
    }

    let mut cancelled = diamond();
    assert_eq!(cancelled.cancel(A), Ok(CancelOutcome::Cancelled));
    assert_eq!(
        cancelled.finish(A, TimeMs(10)),
        Err(FinishError::Cancelled(A))
    );
    let step = cancelled.continue_cancellation(10);
    assert_eq!(step.cancelled.len(), 3);
    assert_eq!(step.completed, [A]);
    for job in [A, B, C, D] {
        assert_eq!(cancelled.state(job), Some(JobState::Cancelled));
    }
}

/// A job below a cancelled one can be neither released nor finished, even before the cancellation has reached it.
#[test]
fn nothing_below_a_cancelled_job_is_released() {
    let mut graph = Graph::new();
    graph.add(A, &[], TimeMs(0), default_urgency()).unwrap();
    graph.add(B, &[], TimeMs(0), default_urgency()).unwrap();
    graph.add(C, &[A, B], TimeMs(0), default_urgency()).unwrap();
    graph.cancel(A).unwrap();
    assert_eq!(graph.finish(B, TimeMs(5)), Ok(vec![]));
    assert_eq!(graph.finish(C, TimeMs(6)), Err(FinishError::NotReleased(C)));
    assert_eq!(graph.continue_cancellation(1).cancelled, [C]);
    assert_eq!(graph.finish(C, TimeMs(6)), Err(FinishError::Cancelled(C)));
}

/// A job that depends on a cancelled one is cancelled at once, also after that cancellation is completed.
#[test]
fn job_added_below_a_cancelled_job_is_cancelled() {
    for is_completed in [false, true] {
        let mut graph = Graph::new();
        graph.add(A, &[], TimeMs(0), default_urgency()).unwrap();
        graph.add(B, &[], TimeMs(0), default_urgency()).unwrap();
        graph.cancel(A).unwrap();
        if is_completed {
            assert!(!graph.continue_cancellation(10).pending);
        }
        let below = graph.add(C, &[A, B], TimeMs(1), default_urgency());
        assert_eq!(below, Ok(JobState::Cancelled));
        let further = graph.add(D, &[C], TimeMs(1), default_urgency());
        assert_eq!(further, Ok(JobState::Cancelled));
        assert_eq!(graph.finish(B, TimeMs(2)), Ok(vec![]));
        assert_eq!(
            graph.continue_cancellation(10).cancelled,
            [],
            "each job is reported once"
        );
    }
}

/// A job that is added below one that a cancellation has yet to reach is cancelled by it too.
#[test]
fn job_added_below_a_pending_cancellation_is_cancelled_with_it() {
    let mut graph = Graph::new();
    graph.add(A, &[], TimeMs(0), default_urgency()).unwrap();
    graph.add(B, &[A], TimeMs(0), default_urgency()).unwrap();
    graph.cancel(A).unwrap();
    assert_eq!(
        graph.add(C, &[B], TimeMs(1), default_urgency()),
        Ok(JobState::Waiting)
    );
    assert_eq!(graph.continue_cancellation(1).cancelled, [B]);
    assert_eq!(
        graph.add(D, &[B], TimeMs(1), default_urgency()),
        Ok(JobState::Cancelled)
    );
    assert_eq!(graph.continue_cancellation(1).cancelled, [C]);
}

/// When two cancellations overlap, each job is reported once and each cancellation is completed.
#[test]
fn overlapping_cancellations_report_each_job_once() {
    let mut graph = diamond();
    graph.cancel(A).unwrap();
    assert_eq!(graph.cancel(B), Ok(CancelOutcome::Cancelled));
    let (mut cancelled, mut completed) = (vec![], vec![]);
    loop {
        let step = graph.continue_cancellation(1);
        assert!(step.cancelled.len() <= 1);
        cancelled.extend(step.cancelled);
        completed.extend(step.completed);
        if !step.pending {
            break;
        }
    }
    assert_eq!((cancelled, completed), (vec![C, D], vec![A, B]));
    assert_eq!(graph.edges(), 0);
}

/// Jobs above or beside a cancelled job are not affected.
#[test]
fn cancellation_affects_only_dependents() {
    let mut graph = diamond();
    graph.cancel(B).unwrap();
    assert_eq!(graph.continue_cancellation(10).cancelled, [D]);
    let release = Release {
        job: C,
        at: TimeMs(10),
    };
    assert_eq!(graph.finish(A, TimeMs(10)), Ok(vec![release]));
}

#[test]
fn a_limit_of_zero_does_nothing() {
    let mut graph = diamond();
    graph.cancel(A).unwrap();
    let step = graph.continue_cancellation(0);
    assert!(step.cancelled.is_empty() && step.pending);
}

/// Only ended jobs can be forgotten, and not while a pending cancellation still has to pass through them.
#[test]
fn only_ended_jobs_can_be_forgotten() {
    let mut graph = diamond();
    assert_eq!(graph.forget(B), Err(ForgetError::Unfinished(B)));
    graph.finish(A, TimeMs(10)).unwrap();
    graph.forget(A).unwrap();
    assert_eq!(graph.forget(A), Err(ForgetError::Unknown(A)));
    graph.cancel(C).unwrap();
    assert_eq!(graph.forget(C), Err(ForgetError::CancellationPending(C)));
    while graph.continue_cancellation(1).pending {}
    graph.forget(C).unwrap();
    graph.forget(D).unwrap();
    assert_eq!((graph.len(), graph.edges()), (1, 0));
    // The index is free for another job, which inherits no state from the first.
    let reused = graph.add(A, &[B], TimeMs(20), default_urgency());
    assert_eq!(reused, Ok(JobState::Waiting));
    assert_eq!(graph.cancel(D), Err(UnknownJob(D)));
}

/// The root of a pending cancellation keeps its index until the cancellation is returned as completed.
#[test]
fn root_of_a_pending_cancellation_cannot_be_forgotten() {
    let mut graph = Graph::new();
    graph.add(A, &[], TimeMs(0), default_urgency()).unwrap();
    graph.add(B, &[A], TimeMs(0), default_urgency()).unwrap();
    graph.cancel(A).unwrap();
    let mut step = graph.continue_cancellation(1);
    while step.pending {
        assert_eq!(graph.forget(A), Err(ForgetError::CancellationPending(A)));
        step = graph.continue_cancellation(1);
    }
    assert_eq!(step.completed, [A]);
    graph.forget(A).unwrap();
}

/// The latest finish follows the critical path: of two paths to the deadline, the longer one counts.
#[test]
fn latest_finish_by_the_longest_path() {
    let mut graph = diamond();
    let update = graph.update_inheritance(100);
    assert_eq!((update.changed, update.complete), (vec![C, B, A], true));
    let finishes = [A, B, C, D].map(|job| latest_finish(&graph, job));
    assert_eq!(
        finishes,
        [
            Some(200 - 40 - 30),
            Some(200 - 40),
            Some(200 - 40),
            Some(200)
        ]
    );
    // The longer branch and the last job are cancelled; the deadline then no longer applies to A and B.
    graph.cancel(C).unwrap();
    assert_eq!(graph.continue_cancellation(10).cancelled, [D]);
    graph.update_inheritance(100);
    assert_eq!([A, B].map(|job| latest_finish(&graph, job)), [None, None]);
    // A new last job constrains the other branch, and a job's own deadline counts if it is earlier.
    graph.forget(D).unwrap();
    graph
        .add(D, &[B], TimeMs(50), with_deadline(300, 40))
        .unwrap();
    graph.set_urgency(B, with_deadline(100, 20)).unwrap();
    graph.update_inheritance(100);
    assert_eq!(
        [A, B].map(|job| latest_finish(&graph, job)),
        [Some(80), Some(100)]
    );
}

#[test]
fn priority_is_inherited_from_the_highest_dependent() {
    let with = |priority| Urgency {
        priority: Priority(priority),
        ..default_urgency()
    };
    let priority =
        |graph: &Graph<JobIndex>, job| graph.inherited(job).map(|inherited| inherited.priority.0);
    let mut graph = Graph::new();
    graph.add(A, &[], TimeMs(0), with(1)).unwrap();
    graph.add(B, &[A], TimeMs(0), with(0)).unwrap();
    graph.add(C, &[B], TimeMs(0), with(3)).unwrap();
    graph.add(D, &[B], TimeMs(0), with(2)).unwrap();
    graph.update_inheritance(100);
    assert_eq!(
        [A, B, C, D].map(|job| priority(&graph, job)),
        [Some(3), Some(3), Some(3), Some(2)]
    );
    graph.cancel(C).unwrap();
    graph.update_inheritance(100);
    assert_eq!(
        [A, B, C].map(|job| priority(&graph, job)),
        [Some(2), Some(2), None]
    );
    graph.cancel(D).unwrap();
    graph.update_inheritance(100);
    assert_eq!([A, B].map(|job| priority(&graph, job)), [Some(1), Some(0)]);
}

/// Extreme times saturate instead of overflowing.
#[test]
fn extreme_times_saturate() {
    let mut graph = Graph::new();
    graph
        .add(A, &[], TimeMs(i64::MIN), with_duration(u64::MAX))
        .unwrap();
    graph
        .add(B, &[A], TimeMs(0), with_deadline(i64::MIN, u64::MAX))
        .unwrap();
    graph.update_inheritance(100);
    assert_eq!(latest_finish(&graph, A), Some(i64::MIN));
    let release = Release {
        job: B,
        at: TimeMs(i64::MAX),
    };
    assert_eq!(graph.finish(A, TimeMs(i64::MAX)), Ok(vec![release]));
}

#[test]
fn refusals_name_the_job() {
    let texts = [
        AddError::UnknownDependency {
            job: A,
            dependency: B,
        }
        .to_string(),
        FinishError::NotReleased(C).to_string(),
        ForgetError::CancellationPending(D).to_string(),
        UnknownJob(A).to_string(),
    ];
    assert_eq!(
        texts,
        [
            "job JobIndex(0) depends on job JobIndex(1), which is unknown",
            "job JobIndex(2) ended, but it was not released",
            "the cancellation of job JobIndex(3) has not reached all its dependents",
            "job JobIndex(0) is unknown",
        ]
    );
}
