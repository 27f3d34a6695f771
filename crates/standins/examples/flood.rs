//! One team floods the queue: simulates how this affects the other teams, with a quota tree and with flat teams on the
//! same seeds, in virtual time. The last line is JSON: `cargo run --release -q -p standins --example flood`.

use quota::{Amounts, NodeSpec, Spec, TeamSpec};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, Sabotage, World};

const SEEDS: u64 = 20;
/// The other teams submit from this time on, when the flood occupies all machines.
const NEIGHBOURS_BEGIN_MS: u64 = 90_000;
const ROUNDS: u64 = 20;
const ROUND_INTERVAL_MS: u64 = 30_000;
const SAMPLE_S: u64 = 15;
const TEAMS: [(&str, &str, f64); 4] = [
    ("flood", "film", 4.0),
    ("comp", "film", 2.0),
    ("news", "press", 4.0),
    ("sport", "press", 4.0),
];

fn gpus(n: f64) -> Amounts {
    [("gpus".to_owned(), n)].into()
}

/// Two nodes below one root; the teams below them have their guarantees in the settings.
fn tree() -> Spec {
    let node = |name: &str, parent, n| NodeSpec {
        guarantee: gpus(n),
        ..NodeSpec::new(name, parent)
    };
    Spec {
        nodes: vec![
            node("house", None, 14.0),
            node("film", Some("house"), 6.0),
            node("press", Some("house"), 8.0),
        ],
        teams: TEAMS
            .iter()
            .map(|(team, desk, _)| TeamSpec::new(team, Some(desk)))
            .collect(),
    }
}

fn scene(seed: u64, nested: bool) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scene = Scene {
        machines: 8,
        ..Scene::default()
    };
    for (team, _, guarantee) in TEAMS {
        scene = scene.team(team, guarantee, 0.0);
    }
    if nested {
        scene = scene.tree(1000, "tree", &tree());
    }
    for i in 0..80 {
        let run_ms = rng.u64(60_000..180_000);
        let spec = array(1000 + i, "flood", rng.u32(4..12), run_ms as f64 / 1000.0);
        scene.jobs.push(Timed {
            at: 5000 + u64::from(i) * 1000,
            run_ms,
            cancel_ms: None,
            spec,
        });
    }
    let mut id = 2000;
    for round in 0..ROUNDS {
        for (team, _, guarantee) in &TEAMS[1..] {
            id += 1;
            // Each round requests about the guarantee of the team, and ends before the next round.
            let run_ms = rng.u64(20_000..30_000);
            let spec = array(id, team, *guarantee as u32, run_ms as f64 / 1000.0);
            let at = NEIGHBOURS_BEGIN_MS + round * ROUND_INTERVAL_MS + rng.u64(0..3000);
            scene.jobs.push(Timed {
                at,
                run_ms,
                cancel_ms: None,
                spec,
            });
        }
    }
    scene
}

#[derive(Default)]
struct Results {
    /// Seconds from the submission of another team's task to its first run.
    waits: Vec<f64>,
    /// Share of the other teams' guarantees that ran a minute after their first submission.
    shares: Vec<f64>,
    stopped: u64,
    lost_s: f64,
    /// GPU seconds of tasks that completed.
    useful_s: f64,
}

fn run_seed(seed: u64, nested: bool, results: &mut Results) {
    let scene = scene(seed, nested);
    let end = NEIGHBOURS_BEGIN_MS + ROUNDS * ROUND_INTERVAL_MS + 60_000;
    let mut world = World::new(Plan {
        seed,
        nodes: 3,
        jobs: 0,
        faults_until: 0,
        end,
        sabotage: Sabotage::None,
        calm: true,
        large: false,
        wide: false,
        scene: Some(scene.clone()),
    });
    let team_of = |job: &str| {
        scene
            .jobs
            .iter()
            .find(|j| j.spec.id == job)
            .map(|j| j.spec.team.clone())
    };
    world.run_for(NEIGHBOURS_BEGIN_MS + 60_000);
    // A round of submissions begins at this moment: samples the peak of each team within the next seconds.
    let mut peak_running = [0.0f64; 3];
    for _ in 0..SAMPLE_S {
        world.run_for(1000);
        let running = world.on_machines();
        for (peak_running, (team, _, guarantee)) in peak_running.iter_mut().zip(&TEAMS[1..]) {
            let of = |t: &&String| {
                wire::ids::parse_task(t)
                    .is_some_and(|(job, _)| team_of(job).as_deref() == Some(*team))
            };
            *peak_running =
                peak_running.max((running.iter().filter(of).count() as f64).min(*guarantee));
        }
    }
    let due: f64 = TEAMS[1..].iter().map(|(_, _, guarantee)| guarantee).sum();
    results.shares.push(peak_running.iter().sum::<f64>() / due);
    world.run_for(end - NEIGHBOURS_BEGIN_MS - 60_000 - SAMPLE_S * 1000);
    assert!(
        world.rules.broken.is_empty(),
        "seed {seed}: {:?}",
        world.rules.broken
    );
    for job in scene.jobs.iter().filter(|j| j.spec.team != "flood") {
        for n in 0..job.spec.tasks {
            let began = world
                .began
                .get(&wire::ids::task_name(&job.spec.id, n))
                .copied();
            // A task that never ran counts as waiting until the end.
            results
                .waits
                .push((began.unwrap_or(end).saturating_sub(job.at)) as f64 / 1000.0);
        }
    }
    results.stopped += world.stopped;
    results.lost_s += world.lost_ms as f64 / 1000.0;
    let done = scene
        .jobs
        .iter()
        .filter_map(|j| Some((j, world.rules.jobs.get(&j.spec.id)?)));
    results.useful_s += done
        .map(|(j, job)| job.done.len() as f64 * j.run_ms as f64 / 1000.0)
        .sum::<f64>();
}

fn main() {
    let mut rows = Vec::new();
    for nested in [false, true] {
        let mut results = Results::default();
        (0..SEEDS).for_each(|seed| run_seed(seed, nested, &mut results));
        results.waits.sort_by(f64::total_cmp);
        let at = |q: f64| results.waits[((results.waits.len() - 1) as f64 * q) as usize];
        let share = results.shares.iter().sum::<f64>() / results.shares.len() as f64;
        rows.push(format!(
            "{{\"wait_p50_s\":{:.1},\"wait_p99_s\":{:.1},\"share_after_60_s\":{share:.3},\"stopped_tasks\":{},\"lost_gpu_s\":{:.0},\"useful_gpu_s\":{:.0}}}",
            at(0.5),
            at(0.99),
            results.stopped,
            results.lost_s,
            results.useful_s
        ));
    }
    println!(
        "{{\"seeds\":{SEEDS},\"flat\":{},\"tree\":{}}}",
        rows[0], rows[1]
    );
}
