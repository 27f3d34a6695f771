//! A flood of urgent work in virtual time: the largest jobs of the lowest priority start within their bound, while the
//! controllers crash and no task of the same or a higher priority is stopped for them.

use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};
use wire::api::{JobSpec, Kind, Priority};

/// During this time, twice as much urgent work is submitted as the fleet can run.
const FLOOD_MS: u64 = 300_000;
const RUN_MS: u64 = 20_000;
const LATEST_MS: u64 = 90_000;

fn timed(at: u64, run_ms: u64, spec: JobSpec) -> Timed {
    Timed {
        at,
        run_ms,
        cancel_ms: None,
        spec,
    }
}

/// A low-priority array that fills several fleets, a low-priority gang that fills one, and the flood.
fn scene() -> Scene {
    let scene = Scene {
        machines: 4,
        ..Scene::default()
    };
    let mut scene = scene.team("red", 0.0, 0.0).team("blue", 0.0, 0.0);
    let low = |spec| JobSpec {
        priority: Priority::Low,
        checkpoint_s: 0.0,
        spot: true,
        ..spec
    };
    scene
        .jobs
        .push(timed(20_000, 5000, low(array(1, "red", 40, 5.0))));
    let wide = JobSpec {
        kind: Kind::Gang,
        gpus: 2.0,
        ..low(array(2, "red", 4, 20.0))
    };
    scene.jobs.push(timed(21_000, RUN_MS, wide));
    for k in 0..FLOOD_MS / 1000 {
        let urgent = array(100 + k as u32, "blue", 1, 20.0);
        let urgent = JobSpec {
            kind: Kind::Gang,
            priority: Priority::High,
            gpus: 2.0,
            spot: true,
            ..urgent
        };
        scene.jobs.push(timed(5000 + k * 1000, RUN_MS, urgent));
    }
    scene
}

/// When each task of the array and of the gang first ran.
fn run_flood(seed: u64, wait_s: &str, latest_s: &str) -> (Vec<Option<u64>>, Vec<Option<u64>>) {
    let mut world = World::new(Plan::of_scene(seed, 3, scene(), 60_000, 900_000));
    world.tune("plan", "wait_s", wait_s);
    world.tune("plan", "latest_s", latest_s);
    world.run_for(50_000);
    world.crash_all();
    world.run_for(FLOOD_MS - 50_000);
    assert!(
        world.rules.broken.is_empty(),
        "seed {seed}: {:?}",
        world.rules.broken
    );
    let start_times = |job: &str, tasks: u32| {
        (0..tasks)
            .map(|t| world.began.get(&wire::ids::task_name(job, t)).copied())
            .collect()
    };
    (start_times("job-000001", 40), start_times("job-000002", 4))
}

#[test]
fn largest_low_priority_jobs_start_during_a_flood() {
    for seed in 0..4 {
        let (array, gang) = run_flood(seed, "60", "90");
        let all_started_by =
            |at: &[Option<u64>], bound: u64| at.iter().all(|t| t.is_some_and(|t| t <= bound));
        // Running tasks have to end first, and the array, which was submitted first, takes three rounds of the fleet.
        assert!(
            all_started_by(&array, 20_000 + LATEST_MS + 3 * RUN_MS),
            "seed {seed}: {array:?}"
        );
        assert!(
            all_started_by(&gang, 21_000 + LATEST_MS + 3 * RUN_MS),
            "seed {seed}: {gang:?}"
        );
    }
}

#[test]
fn without_the_wait_bound_large_jobs_do_not_start_during_a_flood() {
    let (array, gang) = run_flood(0, "36000", "36000");
    assert!(
        array.iter().chain(&gang).any(Option::is_none),
        "{array:?}, {gang:?}"
    );
    assert!(gang.iter().all(Option::is_none), "{gang:?}");
}
