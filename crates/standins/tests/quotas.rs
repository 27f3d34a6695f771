//! Nested quotas in virtual time: floods, shrinks and moves under crashes, late and repeated transactions.

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

/// One house with two desks, another with one; four teams.
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

/// GPUs that a team's tasks have now.
fn gpus_used_by(world: &World, team: &str) -> usize {
    let is_of_team = |task: &String| {
        let job = wire::ids::parse_task(task).and_then(|(id, _)| world.rules.jobs.get(id));
        job.and_then(|j| j.spec.as_ref())
            .is_some_and(|s| s.team == team)
    };
    world.on_machines().iter().filter(|t| is_of_team(t)).count()
}

/// The version in force, with all its parts, and nothing besides in the state service.
fn assert_whole_tree(world: &World, scene: &Scene) -> u64 {
    let (version, _) = scene.tree_in(&world.state, false).expect("a whole tree");
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
        "parts that no version names"
    );
    version
}

/// Jobs of all teams, and operators who shrink, move and replace while anything may fail.
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

/// Whatever fails, no node is above its bound, each version is whole, each change is made at most once, and all that
/// was accepted ends.
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
            "seed {seed}: a version for each change that was made"
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

/// The checker sees a node above its bound when the controllers were told another one.
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

/// A tree of many records, and a change of it whose leader crashes at each step: the old or the new version is whole,
/// the operator who asks again is told of one change, and nothing is left over.
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
            let (_, tree) = scene.tree_in(&world.state, false).expect("whole");
            assert_eq!(tree.nodes.len(), large.nodes.len());
        }
        assert!(
            crashes >= 5,
            "only {crashes} owners died in the midst of it"
        );
    }
}

/// Two operators at once: one change is made, the other operator is told which version is in force.
#[test]
fn one_of_two_concurrent_changes_is_a_conflict() {
    for seed in 0..10 {
        let mut scene = scene().tree(5000, "first", &quota_tree());
        // In the midst of the other one, or well after it.
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
            "seed {seed}: the version is named"
        );
        assert_eq!(assert_whole_tree(&world, &scene), 2);
    }
}

/// An id that is remembered cut made each repeat another change.
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

/// What runs above a bound that shrinks is stopped within seconds, and no more than that; or left to end.
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

/// A team moves with what it runs: from then on that counts where it has come to, and no longer where it was.
#[test]
fn team_moves_with_running_and_pending_work() {
    let mut scene = scene().tree(2000, "first", &quota_tree());
    scene.jobs = vec![
        timed(5000, 120_000, array(1000, "red", 6, 120.0)),
        timed(5000, 120_000, array(1001, "green", 8, 120.0)),
        // Waits for room at the first desk, since red has what blue leaves.
        timed(30_000, 60_000, array(1002, "blue", 6, 60.0)),
    ];
    let edit = Edit::Move {
        name: "red".into(),
        to: Some("film".into()),
    };
    scene.changes.push((70_000, change("move", None, edit)));
    let mut world = world(1, 3, scene);
    world.run_for(69_000);
    // The house may use 16: 14 were taken when blue came.
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
        "the other desk may use 12, its teams use {film_gpus}"
    );
    assert!(
        gpus_used_by(&world, "blue") >= 4,
        "the room at its own desk is blue's now"
    );
    world.run_for(600_000);
    assert!(
        world.rules.broken.is_empty() && world.unfinished().is_empty(),
        "{:?}",
        world.rules.broken
    );
}

/// One desk floods the queue with work that runs for minutes, of the highest urgency. Its siblings and the other house
/// have what they are guaranteed within a minute of asking for it, also when the leader is lost just then.
#[test]
fn flood_of_one_team_does_not_starve_other_teams() {
    let mut scene = scene().tree(1000, "first", &quota_tree());
    // Eighteen GPUs, which is what is guaranteed.
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
            "the flood has what it may: {flooding_gpus}"
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
            "and what it is guaranteed itself"
        );
        assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    }
}

/// A head from a later program, or with a part that is missing: the last good tree stays in force as long as somebody
/// has it; a leader that has none starts nothing, until an operator puts a good one in its place.
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
        // Of these seeds another node follows; one that has crashed does not have the good tree.
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
            "the last good one stays in force"
        );
        world.doom_leader();
        world.run_for(20_000);
        let starts_before = world.rules.starts;
        world.run_for(10_000);
        assert!(
            world.rules.starts > starts_before,
            "the next owner has it too"
        );
        world.crash_all();
        world.run_for(15_000);
        let starts_before = world.rules.starts;
        world.run_for(20_000);
        assert_eq!(world.rules.starts, starts_before, "nobody has it any more");
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

/// The allotment listed every team in one record: with more than some hundred it was refused as too large, and
/// nothing ever started.
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

/// The head and the allotment came on top of as many ends as a transaction takes: it was refused as too large.
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
        // All end within some tenths of a second, and are told with the next reports.
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
