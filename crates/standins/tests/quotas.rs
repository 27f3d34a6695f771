//! Nested quotas in virtual time: floods, reduced limits and moves under crashes, late and repeated transactions.

use quota::{Amounts, NodeSpec, Over, Spec, TeamSpec};
use standins::scene::{Scene, Timed, array, change};
use standins::world::{Plan, Sabotage, World};
use wire::admin::Edit;
use wire::api::Kind;

fn gpus(n: f64) -> Amounts {
    [("gpus".to_owned(), n)].into()
}

fn node(name: &str, parent: Option<&str>, guarantee: f64, max: f64) -> NodeSpec {
    let max = if max > 0.0 { gpus(max) } else { Amounts::new() };
    NodeSpec {
        guarantee: gpus(guarantee),
        max,
        ..NodeSpec::new(name, parent)
    }
}

/// A quota tree with one top-level node that has two children, another without children, and four teams.
fn quota_tree() -> Spec {
    Spec {
        nodes: vec![
            node("north", None, 12.0, 16.0),
            node("news", Some("north"), 6.0, 10.0),
            node("film", Some("north"), 6.0, 12.0),
            node("south", None, 6.0, 0.0),
        ],
        teams: [
            ("red", "news"),
            ("blue", "news"),
            ("green", "film"),
            ("amber", "south"),
        ]
        .map(|(team, parent)| TeamSpec::new(team, Some(parent)))
        .into(),
    }
}

fn scene() -> Scene {
    let scene = Scene {
        machines: 8,
        ..Scene::default()
    };
    scene
        .team("red", 2.0, 0.0)
        .team("blue", 2.0, 0.0)
        .team("green", 4.0, 12.0)
        .team("amber", 4.0, 0.0)
}

fn world(seed: u64, nodes: usize, scene: Scene) -> World {
    World::new(Plan::of_scene(seed, nodes, scene, 240_000, 900_000))
}

fn timed(at: u64, run_ms: u64, spec: wire::api::JobSpec) -> Timed {
    Timed {
        at,
        run_ms,
        cancel_ms: None,
        spec,
    }
}

/// Number of GPUs that a team's tasks use now.
fn gpus_used_by(world: &World, team: &str) -> usize {
    let is_of_team = |task: &String| {
        let job = wire::ids::parse_task(task).and_then(|(id, _)| world.rules.jobs.get(id));
        job.and_then(|j| j.spec.as_ref())
            .is_some_and(|s| s.team == team)
    };
    world.on_machines().iter().filter(|t| is_of_team(t)).count()
}

/// Checks that the state service holds all parts of the current version and no others, and returns that version.
fn assert_whole_tree(world: &World, scene: &Scene) -> u64 {
    let (version, _) = scene.tree_in(&world.state, false).expect("a complete tree");
    let parts = world
        .state
        .keys
        .keys()
        .filter(|k| k.starts_with(wire::records::QUOTA_PARTS))
        .count();
    let head = &world.state.keys[wire::records::QUOTA].value["quota"]["parts"];
    assert_eq!(
        parts,
        head.as_array().map_or(0, Vec::len),
        "parts that the current version does not reference"
    );
    version
}

/// Jobs of all teams, and operators who reduce limits, move teams and replace the tree during random faults.
fn random_scene(seed: u64) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scene = scene().tree(1000, "first", &quota_tree());
    for i in 0..40u32 {
        let team = ["red", "blue", "green", "amber"][rng.usize(0..4)];
        let mut spec = array(1000 + i, team, rng.u32(1..9), 15.0);
        if rng.u32(0..4) == 0 {
            (spec.kind, spec.tasks) = (Kind::Gang, rng.u32(1..4));
        }
        spec.spot = rng.bool();
        let cancel_ms = (rng.u32(0..5) == 0).then(|| rng.u64(0..30_000));
        let at = rng.u64(2000..220_000);
        scene.jobs.push(Timed {
            at,
            run_ms: rng.u64(4000..25_000),
            cancel_ms,
            spec,
        });
    }
    let mut smaller = quota_tree();
    smaller.nodes[0].max = gpus(12.0);
    smaller.nodes[1].over = if rng.bool() {
        Over::Reclaim
    } else {
        Over::LetEnd
    };
    for (k, at) in [(0, 60_000), (1, 115_000), (2, 118_000), (3, 225_000)] {
        let edit = match rng.u32(0..4) {
            0 => Edit::Move {
                name: "blue".into(),
                to: Some("film".into()),
            },
            1 => Edit::Move {
                name: "amber".into(),
                to: [None, Some("north".to_owned())][rng.usize(0..2)].clone(),
            },
            2 => Edit::Shrink {
                name: "north".into(),
                guarantee: gpus(6.0),
                max: gpus(7.0),
                scale: rng.bool(),
            },
            _ => Edit::Set {
                spec: smaller.clone(),
            },
        };
        let expect = rng.bool().then_some(u64::from(k == 0) + rng.u64(0..3));
        scene.changes.push((
            at + rng.u64(0..5000),
            change(&format!("c{k}"), expect, edit),
        ));
    }
    scene
}

/// Under random faults, no node exceeds its limit, each version is complete, each change is made at most once, and all
/// accepted jobs end.
#[test]
fn node_limits_hold_under_random_faults() {
    let mut versions = 0;
    for seed in 0..60 {
        let scene = random_scene(seed);
        let mut world = World::new(Plan {
            calm: false,
            ..plan_of(
                seed,
                if seed % 4 == 3 { 7 } else { 3 },
                &scene,
                Sabotage::None,
            )
        });
        world.run();
        assert!(
            world.rules.broken.is_empty(),
            "seed {seed}: {:?}",
            world.rules.broken
        );
        assert!(
            world.unfinished().is_empty(),
            "seed {seed}: never ended: {:?}",
            world.unfinished()
        );
        assert_eq!(world.state.counts.too_large, 0, "seed {seed}");
        let made = world
            .changes
            .values()
            .filter(|(status, _)| *status == 200)
            .count();
        let refused = world
            .changes
            .values()
            .filter(|(status, _)| matches!(status, 409 | 422))
            .count();
        assert_eq!(
            made + refused,
            scene.changes.len(),
            "seed {seed}: {:?}",
            world.changes
        );
        assert_eq!(
            assert_whole_tree(&world, &scene),
            made as u64,
            "seed {seed}: number of versions and of applied changes"
        );
        versions += made;
    }
    assert!(versions > 150, "only {versions} changes were made");
}

fn plan_of(seed: u64, nodes: usize, scene: &Scene, sabotage: Sabotage) -> Plan {
    Plan {
        sabotage,
        ..Plan::of_scene(seed, nodes, scene.clone(), 240_000, 900_000)
    }
}

/// The check reports a node above its limit when the controllers received a higher limit.
#[test]
fn raised_node_limits_are_caught_by_the_check() {
    let scene = scene().tree(1000, "first", &quota_tree());
    let jobs = (0..6)
        .map(|i| timed(100_000, 30_000, array(1000 + i, "red", 8, 30.0)))
        .collect();
    let scene = Scene { jobs, ..scene };
    let mut world = World::new(plan_of(1, 3, &scene, Sabotage::NodesRaised));
    world.run();
    assert!(
        world.rules.broken.contains_key("node_quota"),
        "{:?}",
        world.rules.broken
    );
    let mut world = World::new(plan_of(1, 3, &scene, Sabotage::None));
    world.run();
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

/// The leader crashes at each step of a change to a tree of many records: the old or the new version is complete, the
/// operator who retries gets the response of a single change, and no records are left over.
#[test]
fn leader_crash_at_any_step_of_a_change_leaves_one_complete_tree() {
    let mut large = quota_tree();
    for i in 0..260 {
        let name = format!("desk-{i}-with-a-name-that-takes-some-room");
        large.nodes.push(NodeSpec {
            guarantee: gpus(0.001),
            ..NodeSpec::new(&name, None)
        });
    }
    for nodes in [3, 7] {
        let mut crashes = 0;
        for step in 0..24u64 {
            let scene = scene()
                .tree(5000, "first", &quota_tree())
                .tree(20_000, "large", &large);
            let mut world = world(step, nodes, scene.clone());
            world.run_for(20_000 + step * 2);
            world.doom_leader();
            world.run_for(500);
            crashes += usize::from(!world.changes.contains_key("large"));
            world.run_for(60_000);
            assert!(
                world.rules.broken.is_empty(),
                "step {step}: {:?}",
                world.rules.broken
            );
            assert_eq!(world.changes["large"], (200, 2), "step {step}");
            assert_eq!(assert_whole_tree(&world, &scene), 2, "step {step}");
            let (_, tree) = scene.tree_in(&world.state, false).expect("a complete tree");
            assert_eq!(tree.nodes.len(), large.nodes.len());
        }
        assert!(
            crashes >= 5,
            "only {crashes} leaders crashed during the change"
        );
    }
}

/// Two operators change the tree at the same time: one change is made, and the other operator gets a conflict with the
/// current version.
#[test]
fn one_of_two_concurrent_changes_is_a_conflict() {
    for seed in 0..10 {
        let mut scene = scene().tree(5000, "first", &quota_tree());
        // During the other change, or well after it.
        let later = if seed < 7 { seed } else { 1000 * seed };
        for (id, at) in [("a", 20_000), ("b", 20_000 + later)] {
            let edit = Edit::Move {
                name: "blue".into(),
                to: Some("film".into()),
            };
            scene.changes.push((at, change(id, Some(1), edit)));
        }
        let mut world = world(seed, 3, scene.clone());
        world.run_for(30_000);
        let mut ended = [world.changes["a"], world.changes["b"]];
        ended.sort_unstable();
        assert_eq!(ended[0], (200, 2), "seed {seed}");
        assert_eq!(ended[1].0, 409, "seed {seed}");
        assert!(
            matches!(ended[1].1, 1 | 2),
            "seed {seed}: the conflict names the version"
        );
        assert_eq!(assert_whole_tree(&world, &scene), 2);
    }
}

/// Guards against a fault in which a truncated ID was stored, so that each retry made another change.
#[test]
fn change_with_an_invalid_id_is_refused() {
    let mut scene = scene();
    let ids = [String::new(), "x".repeat(41), "a\nb".to_owned()];
    for id in &ids {
        scene
            .changes
            .push((5000, change(id, None, Edit::Set { spec: quota_tree() })));
    }
    let mut world = world(1, 3, scene);
    world.run_for(10_000);
    ids.iter()
        .for_each(|id| assert_eq!(world.changes[id].0, 400, "{id:?}"));
    assert!(!world.state.keys.contains_key(wire::records::QUOTA));
}

/// Tasks above a reduced limit are preempted within seconds, and no others; or they are left to end.
#[test]
fn usage_above_a_reduced_limit_is_reclaimed_or_left_to_end() {
    for over in [Over::Reclaim, Over::LetEnd] {
        let mut tree = quota_tree();
        tree.nodes[1].over = over;
        let mut scene = scene().tree(2000, "first", &tree);
        scene.jobs = vec![timed(5000, 90_000, array(1000, "red", 10, 90.0))];
        let edit = Edit::Shrink {
            name: "news".into(),
            guarantee: Amounts::new(),
            max: gpus(6.0),
            scale: false,
        };
        scene.changes.push((40_000, change("less", None, edit)));
        let mut world = world(1, 3, scene);
        world.run_for(39_000);
        assert_eq!(gpus_used_by(&world, "red"), 10);
        world.run_for(16_000);
        let (kept, stopped) = if over == Over::Reclaim {
            (6, 4)
        } else {
            (10, 0)
        };
        assert_eq!(
            (gpus_used_by(&world, "red"), world.stopped),
            (kept, stopped),
            "{over:?}"
        );
        world.run_for(300_000);
        assert!(
            world.rules.broken.is_empty() && world.unfinished().is_empty(),
            "{:?}",
            world.rules.broken
        );
    }
}

/// A team moves with its running tasks: from then on they count at the new parent, and no longer at the old one.
#[test]
fn team_moves_with_running_and_pending_work() {
    let mut scene = scene().tree(2000, "first", &quota_tree());
    scene.jobs = vec![
        timed(5000, 120_000, array(1000, "red", 6, 120.0)),
        timed(5000, 120_000, array(1001, "green", 8, 120.0)),
        // Waits for quota of node `news`, the rest of which red uses.
        timed(30_000, 60_000, array(1002, "blue", 6, 60.0)),
    ];
    let edit = Edit::Move {
        name: "red".into(),
        to: Some("film".into()),
    };
    scene.changes.push((70_000, change("move", None, edit)));
    let mut world = world(1, 3, scene);
    world.run_for(69_000);
    // The limit of node `north` is 16, of which 14 were used when blue's job arrived.
    assert_eq!(
        (gpus_used_by(&world, "red")
            + gpus_used_by(&world, "green")
            + gpus_used_by(&world, "blue")),
        16
    );
    world.run_for(30_000);
    assert_eq!(world.changes["move"], (200, 2));
    let film_gpus = gpus_used_by(&world, "red") + gpus_used_by(&world, "green");
    assert!(
        film_gpus <= 12,
        "the limit of film is 12, its teams use {film_gpus}"
    );
    assert!(
        gpus_used_by(&world, "blue") >= 4,
        "blue may use the quota that red left"
    );
    world.run_for(600_000);
    assert!(
        world.rules.broken.is_empty() && world.unfinished().is_empty(),
        "{:?}",
        world.rules.broken
    );
}

/// One node floods the queue with tasks of the highest priority that run for minutes. Its sibling and the other
/// top-level node get their guarantee within a minute of the request, also if the leader crashes at that time.
#[test]
fn flood_of_one_team_does_not_starve_other_teams() {
    let mut scene = scene().tree(1000, "first", &quota_tree());
    // Eighteen GPUs, which is the sum of the guarantees.
    scene.machines = 9;
    for i in 0..60 {
        let mut spec = array(1000 + i, "green", 4, 240.0);
        spec.priority = wire::api::Priority::Production;
        scene
            .jobs
            .push(timed(5000 + u64::from(i) * 100, 240_000, spec));
    }
    for (i, team) in ["red", "blue", "amber"].iter().enumerate() {
        scene.jobs.push(timed(
            60_000,
            120_000,
            array(2000 + i as u32, team, 8, 120.0),
        ));
    }
    for nodes in [3, 7] {
        let mut world = world(1, nodes, scene.clone());
        world.run_for(59_000);
        let flooding_gpus = gpus_used_by(&world, "green");
        assert!(
            flooding_gpus >= 11,
            "the flooding team uses up to its limit: {flooding_gpus}"
        );
        world.run_for(2000);
        if nodes == 7 {
            world.doom_leader();
        }
        world.run_for(59_000);
        let used = ["red", "blue", "amber"].map(|t| gpus_used_by(&world, t));
        assert!(used[0] >= 2 && used[1] >= 2 && used[2] >= 4, "{used:?}");
        assert!(
            gpus_used_by(&world, "green") >= 4,
            "the flooding team keeps its own guarantee"
        );
        assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    }
}

/// The head record has a newer format or references a missing part: the last valid tree stays in force as long as a
/// node has it. A leader without a valid tree starts nothing until an operator writes a valid one.
#[test]
fn invalid_tree_is_refused_and_the_last_valid_one_kept() {
    for (format, parts) in [
        (99, vec![]),
        (1, vec!["0123456789abcdef01234567".to_owned()]),
    ] {
        let mut scene = scene().tree(2000, "first", &quota_tree());
        for i in 0..12 {
            scene.jobs.push(timed(
                20_000 + 5000 * i,
                9000,
                array(1000 + i as u32, "red", 6, 9.0),
            ));
        }
        let again = Edit::Set { spec: quota_tree() };
        scene
            .changes
            .push((110_000, change("mended", Some(2), again)));
        // With these seeds another node takes over; a node that has crashed does not have the valid tree.
        let mut world = world(format as u64 + 7, 3, scene.clone());
        world.run_for(10_000);
        let quota = wire::tree::Head {
            format,
            version: 2,
            parts,
            history: vec![],
        };
        let bad = wire::records::Record::Quota(wire::tree::HeadRecord { quota });
        world.write(wire::api::Write::put(wire::records::QUOTA.into(), bad));
        world.run_for(30_000);
        assert!(
            gpus_used_by(&world, "red") > 0 && gpus_used_by(&world, "red") <= 10,
            "the last valid tree stays in force"
        );
        world.doom_leader();
        world.run_for(20_000);
        let starts_before = world.rules.starts;
        world.run_for(10_000);
        assert!(
            world.rules.starts > starts_before,
            "the next leader has the valid tree too"
        );
        world.crash_all();
        world.run_for(15_000);
        let starts_before = world.rules.starts;
        world.run_for(20_000);
        assert_eq!(
            world.rules.starts, starts_before,
            "no node has the valid tree any more"
        );
        world.run_for(200_000);
        assert_eq!(world.changes["mended"], (200, 3));
        assert!(
            world.rules.broken.is_empty() && world.unfinished().is_empty(),
            "{:?}",
            world.rules.broken
        );
        assert_eq!(assert_whole_tree(&world, &scene), 3);
    }
}

/// Guards against a fault in which the allotment listed every team in one record: with more than a few hundred teams it
/// was refused as too large, and no task was started.
#[test]
fn thousand_teams_fit_into_the_records() {
    let mut scene = Scene {
        machines: 8,
        ..Scene::default()
    };
    let mut tree = quota_tree();
    tree.teams.clear();
    for i in 0..1000 {
        let name = format!("team-{i}-with-a-name-of-its-own");
        scene = scene.team(&name, 0.0, if i == 0 { 3.0 } else { 0.0 });
        tree.teams
            .push(TeamSpec::new(&name, Some(["news", "film", "south"][i % 3])));
    }
    scene = scene.tree(2000, "first", &tree);
    for i in 0..20 {
        let team = scene.teams[i % 2].name.clone();
        scene
            .jobs
            .push(timed(5000, 5000, array(1000 + i as u32, &team, 2, 5.0)));
    }
    let mut world = world(1, 3, scene.clone());
    world.run_for(120_000);
    assert!(
        world.rules.broken.is_empty() && world.unfinished().is_empty(),
        "{:?}",
        world.rules.broken
    );
    assert_eq!(
        (
            world.state.counts.too_large,
            assert_whole_tree(&world, &scene)
        ),
        (0, 1)
    );
}

/// Guards against a fault in which the head and the allotment were added to a transaction that was already full of job
/// ends, so that it was refused as too large.
#[test]
fn change_during_many_job_ends_fits_into_its_transaction() {
    for seed in 0..12u64 {
        let mut scene = scene().tree(2000, "first", &quota_tree());
        scene.machines = 12;
        for i in 0..24 {
            let team = ["amber", "green"][i % 2];
            scene
                .jobs
                .push(timed(10_000, 15_000, array(1000 + i as u32, team, 1, 15.0)));
        }
        // All jobs end within a few tenths of a second, and the ends arrive with the next reports.
        for k in 0..12 {
            let edit = Edit::Set { spec: quota_tree() };
            scene.changes.push((
                27_000 + k * 250 + seed * 20,
                change(&format!("c{k}"), None, edit),
            ));
        }
        let mut world = world(seed, 3, scene.clone());
        world.run_for(60_000);
        assert!(
            world.rules.broken.is_empty() && world.unfinished().is_empty(),
            "{:?}",
            world.rules.broken
        );
        assert_eq!(world.state.counts.too_large, 0, "seed {seed}");
        let made = world
            .changes
            .values()
            .filter(|(status, _)| *status == 200)
            .count();
        assert_eq!(assert_whole_tree(&world, &scene), made as u64);
    }
}
