//! Jobs of the highest priority start within a second of their submission, also on a full fleet and at any time between
//! two planning rounds.

use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};
use wire::api::Priority;

/// Longest allowed time from submission to the start of the task, without the fetch of its image.
const MAX_START_DELAY_MS: u64 = 1000;
/// Time that simulated machines need to fetch any image.
const FETCH_MS: u64 = 1000;
const URGENT_JOBS: u64 = 24;
const FIRST_URGENT_MS: u64 = 90_000;
/// Not a multiple of a second, so that submissions fall into every part of the second between two full plans.
const URGENT_EVERY_MS: u64 = 1370;

fn timed(at: u64, run_ms: u64, spec: wire::api::JobSpec) -> Timed {
    Timed {
        at,
        run_ms,
        cancel_ms: None,
        spec,
    }
}

fn urgent_id(number: u64) -> u32 {
    2000 + number as u32
}

/// A fleet filled with long tasks of low priority, and one-task jobs of production priority.
fn scene() -> Scene {
    let mut low = array(1000, "red", 60, 3600.0);
    low.priority = Priority::Low;
    let mut jobs = vec![timed(1000, 3_600_000, low)];
    for number in 0..URGENT_JOBS {
        let mut spec = array(urgent_id(number), "red", 1, 3.0);
        spec.priority = Priority::Production;
        jobs.push(timed(
            FIRST_URGENT_MS + number * URGENT_EVERY_MS,
            3000,
            spec,
        ));
    }
    let scene = Scene {
        jobs,
        machines: 10,
        ..Scene::default()
    };
    scene.team("red", 200.0, 0.0)
}

#[test]
fn production_jobs_start_within_a_second_on_a_full_fleet() {
    for nodes in [1, 3] {
        let mut world = World::new(Plan::of_scene(3, nodes, scene(), 0, 0));
        world.run_for(FIRST_URGENT_MS + URGENT_JOBS * URGENT_EVERY_MS + 30_000);
        let mut waits = Vec::new();
        for number in 0..URGENT_JOBS {
            let task = wire::ids::task_name(&format!("job-{:06}", urgent_id(number)), 0);
            let began = world.began.get(&task).copied();
            let since = FIRST_URGENT_MS + number * URGENT_EVERY_MS;
            waits.push(began.map(|at| at.saturating_sub(since)));
        }
        let late = waits
            .iter()
            .filter(|w| w.is_none_or(|w| w > FETCH_MS + MAX_START_DELAY_MS))
            .count();
        assert_eq!(late, 0, "{nodes} controllers: {waits:?}");
        assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    }
}
