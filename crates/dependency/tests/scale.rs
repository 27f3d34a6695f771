//! The cost of an operation is proportional to the change, also in large graphs, and a small stack is sufficient.

use dependency::*;

/// Too small for recursion with one frame per job of a long chain.
const SMALL_STACK: usize = 64 * 1024;
const CHAIN: u32 = 10_000;
const FAN_SIZE: u32 = 10_000;
/// A layered graph in which each job depends on all jobs of the previous layer: 100,000 edges and 10^1,000 paths.
const LAYERS: u32 = 1_001;
const WIDTH: u32 = 10;
const LAYERED_EDGES: u64 = (LAYERS as u64 - 1) * (WIDTH * WIDTH) as u64;
/// Number of jobs cancelled per transaction.
const BATCH: usize = 5;

fn with_duration(ms: u64) -> Urgency {
    Urgency {
        duration: DurationMs(ms),
        ..Urgency::default()
    }
}

fn with_deadline(deadline: i64) -> Urgency {
    Urgency {
        deadline: Some(TimeMs(deadline)),
        ..with_duration(1)
    }
}

fn on_a_small_stack(test: fn()) {
    let thread = std::thread::Builder::new()
        .stack_size(SMALL_STACK)
        .spawn(test);
    thread.expect("a thread").join().expect("no panic");
}

/// Runs a call and returns the steps that it took.
fn steps_of<T>(
    graph: &mut Graph<JobIndex>,
    call: impl FnOnce(&mut Graph<JobIndex>) -> T,
) -> (T, Steps) {
    let before = graph.steps();
    let answer = call(graph);
    let after = graph.steps();
    let steps = Steps {
        added: after.added - before.added,
        release: after.release - before.release,
        cancellation: after.cancellation - before.cancellation,
        inheritance: after.inheritance - before.inheritance,
    };
    (answer, steps)
}

fn settle(graph: &mut Graph<JobIndex>) -> u64 {
    let (update, steps) = steps_of(graph, |graph| graph.update_inheritance(u64::MAX));
    assert!(update.complete);
    steps.inheritance
}

/// Cancels in batches, checks the bounds of each call, and returns all cancelled jobs and the total steps.
fn cancel_all(
    graph: &mut Graph<JobIndex>,
    job: JobIndex,
    max_dependencies: u64,
) -> (Vec<JobIndex>, u64) {
    let mut all = Vec::new();
    let (outcome, first) = steps_of(graph, |graph| graph.cancel(job));
    assert_eq!(outcome, Ok(CancelOutcome::Cancelled));
    let mut total = first.cancellation;
    loop {
        let (step, steps) = steps_of(graph, |graph| graph.continue_cancellation(BATCH));
        assert!(step.cancelled.len() <= BATCH);
        let bound = BATCH as u64 * (2 + max_dependencies);
        assert!(steps.cancellation <= bound, "{steps:?}");
        assert_eq!((steps.release, steps.inheritance), (0, 0));
        total += steps.cancellation;
        all.extend(step.cancelled);
        if !step.pending {
            return (all, total);
        }
    }
}

fn chain() -> Graph<JobIndex> {
    let mut graph = Graph::new();
    graph
        .add(JobIndex(0), &[], TimeMs(0), with_duration(1))
        .unwrap();
    for number in 1..CHAIN {
        let dependency = JobIndex(number - 1);
        graph
            .add(JobIndex(number), &[dependency], TimeMs(0), with_duration(1))
            .unwrap();
    }
    graph
}

#[test]
fn long_chain_computes_each_job_once() {
    on_a_small_stack(|| {
        let mut graph = chain();
        assert_eq!(graph.steps().added, u64::from(2 * CHAIN - 1));
        let steps = settle(&mut graph);
        assert!(
            steps <= u64::from(CHAIN),
            "without anything to inherit: {steps}"
        );
        // A last job with a deadline is added later.
        let last = JobIndex(CHAIN);
        graph
            .add(
                last,
                &[JobIndex(CHAIN - 1)],
                TimeMs(0),
                with_deadline(50_000),
            )
            .unwrap();
        let steps = settle(&mut graph);
        assert!(
            steps <= u64::from(2 * CHAIN),
            "each job and edge once: {steps}"
        );
        let first = graph.inherited(JobIndex(0)).expect("an unfinished job");
        assert_eq!(first.latest_finish, Some(TimeMs(50_000 - i64::from(CHAIN))));
        // A less urgent dependent is not propagated further.
        let sibling = JobIndex(CHAIN + 1);
        graph
            .add(
                sibling,
                &[JobIndex(CHAIN - 1)],
                TimeMs(0),
                with_deadline(90_000),
            )
            .unwrap();
        assert_eq!(settle(&mut graph), 1);
        // A changed estimate is propagated upward from its job.
        let middle = JobIndex(CHAIN - 100);
        graph.set_urgency(middle, with_duration(11)).unwrap();
        let near_start = JobIndex(100);
        graph.set_urgency(near_start, with_duration(11)).unwrap();
        let steps = settle(&mut graph);
        assert!(steps <= u64::from(2 * CHAIN), "both in one pass: {steps}");
        let first = graph.inherited(JobIndex(0)).expect("an unfinished job");
        assert_eq!(
            first.latest_finish,
            Some(TimeMs(50_000 - i64::from(CHAIN) - 20))
        );
    });
}

#[test]
fn long_chain_release_takes_constant_steps_per_job() {
    on_a_small_stack(|| {
        let mut graph = chain();
        for number in 0..CHAIN {
            let at = TimeMs(i64::from(number));
            let (released, steps) =
                steps_of(&mut graph, |graph| graph.finish(JobIndex(number), at));
            let next = (number + 1 < CHAIN).then_some(Release {
                job: JobIndex(number + 1),
                at,
            });
            assert_eq!(released, Ok(next.into_iter().collect()));
            assert!(steps.release <= 2, "{steps:?}");
        }
        assert_eq!(graph.edges(), 0);
    });
}

#[test]
fn long_chain_is_cancelled_in_bounded_batches() {
    on_a_small_stack(|| {
        let mut graph = chain();
        let (all, steps) = cancel_all(&mut graph, JobIndex(0), 1);
        assert!(
            all.into_iter().eq((1..CHAIN).map(JobIndex)),
            "nearest first"
        );
        assert!(steps <= u64::from(3 * CHAIN), "{steps}");
        assert_eq!(graph.edges(), 0);
    });
}

/// One job with many dependents: they are added, cancelled and released without a search per edge.
#[test]
fn wide_fan_out_takes_bounded_steps() {
    let root = JobIndex(FAN_SIZE);
    let build = || {
        let mut graph = Graph::new();
        graph.add(root, &[], TimeMs(0), with_duration(1)).unwrap();
        for number in 0..FAN_SIZE {
            let deadline = 1_000 + i64::from(number);
            graph
                .add(
                    JobIndex(number),
                    &[root],
                    TimeMs(0),
                    with_deadline(deadline),
                )
                .unwrap();
            assert_eq!(settle(&mut graph), 1, "only the job above");
        }
        graph
    };
    let mut graph = build();
    for number in 0..FAN_SIZE {
        let job = JobIndex(number);
        let expected = Some(TimeMs(999 + i64::from(number)));
        assert_eq!(
            graph.inherited(root).expect("unfinished").latest_finish,
            expected
        );
        let (cancelled, steps) = steps_of(&mut graph, |graph| {
            graph.cancel(job).unwrap();
            graph.continue_cancellation(1)
        });
        assert!(cancelled.cancelled.is_empty());
        assert!(steps.cancellation <= 3, "{steps:?}");
        assert_eq!(settle(&mut graph), 1, "only the job above");
    }
    assert_eq!(
        graph.inherited(root).expect("unfinished").latest_finish,
        None
    );

    let mut graph = build();
    let (released, steps) = steps_of(&mut graph, |graph| graph.finish(root, TimeMs(7)).unwrap());
    assert_eq!(released.len(), FAN_SIZE as usize);
    assert!(released.windows(2).all(|pair| pair[0].job < pair[1].job));
    assert!(steps.release <= u64::from(FAN_SIZE) + 1, "{steps:?}");

    let mut graph = build();
    let (all, steps) = cancel_all(&mut graph, root, 1);
    assert_eq!(all.len(), FAN_SIZE as usize);
    assert!(steps <= u64::from(3 * FAN_SIZE + 3), "{steps}");
}

/// One job with many dependencies.
#[test]
fn wide_fan_in_takes_bounded_steps() {
    let last = JobIndex(FAN_SIZE);
    let dependencies: Vec<_> = (0..FAN_SIZE).map(JobIndex).collect();
    let mut graph = Graph::new();
    for &dependency in &dependencies {
        graph
            .add(dependency, &[], TimeMs(0), with_duration(1))
            .unwrap();
    }
    graph
        .add(last, &dependencies, TimeMs(0), with_deadline(500))
        .unwrap();
    let steps = settle(&mut graph);
    assert!(
        steps <= u64::from(FAN_SIZE),
        "requirements were recorded when the edges were added: {steps}"
    );
    graph.set_urgency(last, with_deadline(400)).unwrap();
    let steps = settle(&mut graph);
    assert!(steps <= u64::from(2 * FAN_SIZE) + 1, "{steps}");
    for &dependency in &dependencies {
        assert_eq!(
            graph
                .inherited(dependency)
                .expect("unfinished")
                .latest_finish,
            Some(TimeMs(399))
        );
        let (released, steps) = steps_of(&mut graph, |graph| {
            graph.finish(dependency, TimeMs(9)).unwrap()
        });
        assert_eq!(released.len(), usize::from(dependency.0 == FAN_SIZE - 1));
        assert!(steps.release <= 2, "{steps:?}");
        assert_eq!(steps.inheritance, 0);
    }
    assert_eq!(settle(&mut graph), 0);
}

fn layer(number: u32) -> Vec<JobIndex> {
    (number * WIDTH..(number + 1) * WIDTH)
        .map(JobIndex)
        .collect()
}

fn layered() -> Graph<JobIndex> {
    let mut graph = Graph::new();
    for number in 0..LAYERS {
        let dependencies = number.checked_sub(1).map(layer).unwrap_or_default();
        for job in layer(number) {
            graph
                .add(job, &dependencies, TimeMs(0), with_duration(1))
                .unwrap();
        }
    }
    assert_eq!(graph.edges() as u64, LAYERED_EDGES);
    graph
}

/// Each job and edge is processed once, however many paths there are.
#[test]
fn layered_graph_computes_each_job_and_edge_once() {
    on_a_small_stack(|| {
        let mut graph = layered();
        let jobs = u64::from(LAYERS * WIDTH);
        let steps = settle(&mut graph);
        assert!(steps <= jobs, "{steps}");
        let last = JobIndex(LAYERS * WIDTH);
        graph
            .add(last, &layer(LAYERS - 1), TimeMs(0), with_deadline(10_000))
            .unwrap();
        let steps = settle(&mut graph);
        assert!(steps <= jobs + LAYERED_EDGES, "{steps}");
        let first = graph.inherited(JobIndex(0)).expect("unfinished");
        assert_eq!(
            first.latest_finish,
            Some(TimeMs(10_000 - i64::from(LAYERS)))
        );
        // A less urgent job costs one step per dependency.
        graph
            .add(
                JobIndex(last.0 + 1),
                &layer(LAYERS - 1),
                TimeMs(0),
                with_deadline(20_000),
            )
            .unwrap();
        assert_eq!(settle(&mut graph), u64::from(WIDTH));
        // An update in several calls takes the same work in total.
        graph.set_urgency(last, with_deadline(9_000)).unwrap();
        let before = graph.steps().inheritance;
        loop {
            let (update, steps) = steps_of(&mut graph, |graph| graph.update_inheritance(100));
            assert!(steps.inheritance <= 100 + u64::from(WIDTH), "{steps:?}");
            if update.complete {
                break;
            }
        }
        let steps = graph.steps().inheritance - before;
        assert!(
            steps <= jobs + LAYERED_EDGES + u64::from(WIDTH) + 1,
            "{steps}"
        );
        let first = graph.inherited(JobIndex(0)).expect("unfinished");
        assert_eq!(first.latest_finish, Some(TimeMs(9_000 - i64::from(LAYERS))));
    });
}

#[test]
fn layered_graph_release_takes_each_edge_once() {
    let mut graph = layered();
    let jobs = u64::from(LAYERS * WIDTH);
    for number in 0..LAYERS {
        for job in layer(number) {
            let (_, steps) = steps_of(&mut graph, |graph| graph.finish(job, TimeMs(1)).unwrap());
            assert!(steps.release <= 1 + u64::from(WIDTH), "{steps:?}");
        }
    }
    assert!(graph.steps().release <= jobs + LAYERED_EDGES);
    assert_eq!((graph.edges(), graph.steps().inheritance), (0, 0));
}

#[test]
fn layered_graph_cancellation_takes_each_edge_once() {
    on_a_small_stack(|| {
        let mut graph = layered();
        let jobs = u64::from(LAYERS * WIDTH);
        let (all, steps) = cancel_all(&mut graph, JobIndex(0), u64::from(WIDTH));
        assert_eq!(all.len() as u64, jobs - u64::from(WIDTH));
        assert!(steps <= 2 * jobs + LAYERED_EDGES, "{steps}");
        let steps = settle(&mut graph);
        assert!(
            steps <= jobs,
            "only the other jobs of the first layer: {steps}"
        );
        assert_eq!(graph.edges(), 0);
    });
}
