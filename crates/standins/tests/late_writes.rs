//! Writes to the state service that are not answered, and are executed after newer writes of the same controller: on
//! days with many of them, and for each kind of write, which is held until long after its purpose is gone.

use model::{Rule, Spec as Models};
use quota::{Amounts, NodeSpec, Spec, TeamSpec};
use serde_json::{Value, json};
use standins::days::{self, BEGIN, Size, Trouble, Who};
use standins::scene::{Scene, Timed, array};
use standins::world::asserts::{assert_all_ended, assert_rules_kept};
use standins::world::{Plan, World};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use wire::api::{JobSpec, Kind};

/// The faults that occur besides late writes.
const OTHER_FAULTS: [&str; 8] = [
    "alone",
    "owner crashes",
    "all crash",
    "refused",
    "outages",
    "machines die",
    "freezes",
    "cut off",
];

fn other_fault(kind: &str, rng: &mut fastrand::Rng) -> Option<Trouble> {
    let back_ms = [60, 300, 2500][rng.usize(0..3)];
    match kind {
        "owner crashes" => Some(Trouble::Crash {
            who: Who::Leader,
            back_ms,
        }),
        "all crash" => Some(Trouble::Crash {
            who: Who::All,
            back_ms,
        }),
        "refused" => Some(Trouble::Refused {
            who: Who::Leader,
            ms: rng.u64(2000..9000),
        }),
        "outages" => Some(Trouble::StateOut {
            ms: rng.u64(1000..8000),
        }),
        "machines die" => Some(Trouble::Die {
            machines: rng.usize(1..4),
        }),
        "freezes" => Some(Trouble::Freeze {
            who: Who::Leader,
            ms: rng.u64(1000..6000),
        }),
        "cut off" => Some(Trouble::CutOff {
            who: Who::Leader,
            ms: rng.u64(3000..12_000),
        }),
        _ => None,
    }
}

/// A minute with late writes, another fault every few seconds, and a third of the jobs cancelled.
fn day(kind: &str, share: f64, seed: u64, nodes: usize) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut plan = days::plan(0, seed, nodes, Size::SMALL);
    let scene = plan.scene.as_mut().expect("days are scenes");
    for job in &mut scene.jobs {
        if rng.u32(0..3) == 0 {
            job.cancel_ms = Some(rng.u64(0..30_000));
        }
    }
    let day = scene.day.as_mut().expect("days have faults");
    // While all writes are late, no write is confirmed: such a period lasts only 15 s.
    let for_ms = if share < 1.0 { 60_000 } else { 15_000 };
    day.troubles.push((
        BEGIN,
        Trouble::LateWrites {
            share,
            for_ms,
            at_once: false,
        },
    ));
    for at in (BEGIN + 2000..BEGIN + for_ms).step_by(7000) {
        day.troubles
            .extend(other_fault(kind, &mut rng).map(|t| (at + rng.u64(0..3000), t)));
    }
    day.quiet = day
        .troubles
        .iter()
        .map(|(at, t)| at + t.ms())
        .max()
        .unwrap_or(0)
        + 12_000;
    plan
}

fn assert_kept(world: &World, what: &str) {
    assert_rules_kept(world, what);
    assert_eq!(world.state.counts.too_large, 0, "{what}");
}

/// Running tasks of jobs that have ended.
fn running_tasks_of_ended_jobs(world: &World) -> Vec<String> {
    let open: BTreeSet<&str> = world.unfinished().into_iter().collect();
    let of = |task: &String| wire::ids::parse_task(task).is_some_and(|(id, _)| open.contains(id));
    world.on_machines().into_iter().filter(|t| !of(t)).collect()
}

/// Keys of inventory shards that were written again, with other content, after their removal in the same term.
fn reused_shard_keys(world: &World) -> Vec<String> {
    let mut values_seen: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    let (mut removed, mut reused) = (BTreeSet::new(), Vec::new());
    for (_, key, value) in world.state.history(0) {
        if key == "sys/owner/0" {
            (removed, values_seen) = (BTreeSet::new(), BTreeMap::new());
        } else if key.starts_with("part/0/rack/") {
            match value {
                None => drop(removed.insert(key)),
                Some(v) => {
                    let is_new = values_seen.entry(key).or_default().insert(v.to_string());
                    if is_new && removed.contains(key) {
                        reused.push(key.clone());
                    }
                }
            }
        }
    }
    reused
}

/// Late writes alone and with each other fault, for a share of all writes from one in twenty to all.
#[test]
fn days_with_late_writes_break_no_invariant() {
    let shares = [0.05, 0.3, 0.6, 1.0];
    let seeds = std::env::var("LATE_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1u64);
    let mut late = 0;
    for (i, kind) in OTHER_FAULTS.iter().enumerate() {
        for (k, share) in shares.iter().enumerate() {
            for round in 0..seeds {
                let nodes = [3, 5, 7][(i + k + round as usize) % 3];
                let seed = 7000 + round * 100 + (i * shares.len() + k) as u64;
                let what = format!("{kind}, {share} late, seed {seed}, {nodes} nodes");
                let mut world = World::new(day(kind, *share, seed, nodes));
                world.run_day();
                let v = world.verdict();
                assert_kept(&world, &what);
                assert!(
                    v.forgotten_75.is_empty(),
                    "{what}: forgotten {:?}",
                    v.forgotten_75
                );
                assert!(
                    v.served_below_half.is_empty(),
                    "{what}: {:?}",
                    v.served_below_half
                );
                assert!(
                    v.largest_late.is_empty(),
                    "{what}: late {:?}",
                    v.largest_late
                );
                assert!(
                    v.jobs > 20 && v.done * 10 > v.jobs * 9,
                    "{what}: {} of {} done",
                    v.done,
                    v.jobs
                );
                world.run_for(45_000);
                assert_kept(&world, &what);
                assert_eq!(
                    running_tasks_of_ended_jobs(&world),
                    Vec::<String>::new(),
                    "{what}"
                );
                assert_eq!(reused_shard_keys(&world), Vec::<String>::new(), "{what}");
                late += world.hits.late_writes;
            }
        }
    }
    assert!(late > 50, "only {late} transactions landed late");
}

const COUNTIES: &str = "/admin/counties";

fn tree(max: f64) -> Spec {
    let gpus = |n: f64| -> Amounts { [("gpus".to_owned(), n)].into() };
    let north = NodeSpec {
        guarantee: gpus(8.0),
        max: gpus(max),
        ..NodeSpec::new("north", None)
    };
    Spec {
        nodes: vec![north],
        teams: vec![TeamSpec::new("red", Some("north"))],
    }
}

/// A scene that causes every kind of write: arrays and gangs, some of them cancelled, counties, quota trees that
/// replace each other, a model that sleeps and wakes.
fn scene(seed: u64) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scene = Scene {
        machines: 12,
        ..Scene::default()
    }
    .team("red", 8.0, 0.0)
    .team("blue", 4.0, 0.0);
    scene = scene
        .tree(1000, "first", &tree(20.0))
        .tree(40_000, "second", &tree(14.0));
    scene = scene
        .tree(65_000, "third", &tree(18.0))
        .tree(120_000, "fourth", &tree(16.0));
    let counties =
        json!({"others": "count", "county": [{"id": "c0", "rule": [{"classes": ["k0"]}]}]});
    let change = json!({"id": "c", "by": "operator", "expect": null, "dry_run": false, "edit": {"set": {"spec": counties}}});
    scene
        .asks
        .push((1500, COUNTIES.into(), json!({"change": change})));
    let rule = Rule {
        class: Some("serve".into()),
        most: Some(2),
        wakes: 32,
        ..Rule::new("all", 15.0)
    };
    scene.models = Some(Models { rules: vec![rule] });
    let model = JobSpec {
        kind: Kind::Service,
        class: "serve".into(),
        image: "m-1".into(),
        ..array(1, "blue", 3, 60.0)
    };
    scene.jobs.push(Timed {
        at: 3000,
        run_ms: 10_000_000,
        cancel_ms: Some(150_000),
        spec: model,
    });
    scene.demands = [30_000, 60_000, 110_000]
        .map(|at| (at, "job-000001".into(), None))
        .into();
    let of_county = |spec: JobSpec| JobSpec {
        class: "k0".into(),
        ..spec
    };
    let long = of_county(array(900, "blue", 300, 5.0));
    scene.jobs.push(Timed {
        at: 5000,
        run_ms: 5000,
        cancel_ms: None,
        spec: long,
    });
    for i in 0..70 {
        let mut spec = of_county(array(
            1000 + i,
            ["red", "blue"][rng.usize(0..2)],
            rng.u32(1..5),
            6.0,
        ));
        spec.spot = rng.bool();
        if rng.u32(0..4) == 0 {
            (spec.kind, spec.tasks) = (Kind::Gang, rng.u32(1..4));
        }
        let cancel_ms = (rng.u32(0..3) == 0).then(|| rng.u64(0..9000));
        scene.jobs.push(Timed {
            at: 6000 + rng.u64(0..100_000),
            run_ms: rng.u64(1000..9000),
            cancel_ms,
            spec,
        });
    }
    scene
}

/// Whether the leader of the fleet changes while writes are held.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Leaders {
    Change,
    /// One term from before the first write is held until all have landed, so that no write fails on the leader record.
    Stay,
}

/// Holds the first copy of each transaction that has a write of the kind, while newer ones are executed, and executes
/// the held ones a minute later; then the leader crashes, and the next leader reads the records. Returns the writes of
/// each held transaction, and whether it changed anything.
fn hold_writes_for_a_minute(
    kind: &'static str,
    leaders: Leaders,
    unguarded: &[&'static str],
    seed: u64,
    nodes: usize,
) -> (World, Vec<(Vec<String>, bool)>) {
    let mut world = World::new(Plan::of_scene(seed, nodes, scene(seed), 0, 900_000));
    world.state.unguarded = unguarded.to_vec();
    world.run_for(28_000);
    let mut seen: HashSet<Vec<String>> = HashSet::new();
    world.hold_first(move |all| {
        all.iter().any(|w| w.starts_with(kind)) && seen.insert(all.to_vec())
    });
    for k in 0..6 {
        world.run_for(10_000);
        // The leader changes by a crash and by a refusal, or machines are lost, so that each kind of write occurs.
        match k {
            1 if leaders == Leaders::Change => world.bring(&Trouble::Refused {
                who: Who::Leader,
                ms: 7000,
            }),
            3 if leaders == Leaders::Change => world.bring(&Trouble::Crash {
                who: Who::Leader,
                back_ms: 300,
            }),
            k => {
                let on = world.on_machines();
                let job = on
                    .first()
                    .and_then(|t| wire::ids::parse_task(t))
                    .map(|(id, _)| id.to_owned());
                let machines = job.map(|j| world.machines_of(&j)).unwrap_or_default();
                machines.iter().take(k % 2 + 1).for_each(|m| world.lose(m));
            }
        }
    }
    world.hold_no_more();
    world.run_for(12_000);
    let landed = world.land_held();
    world.run_for(5000);
    world.bring(&Trouble::Crash {
        who: Who::Leader,
        back_ms: 300,
    });
    world.run_for(110_000);
    // Some jobs take longer, as machines were lost.
    for _ in 0..20 {
        if !world.unfinished().is_empty() {
            world.run_for(20_000);
        }
    }
    (world, landed)
}

/// Each kind of write, and whether a late copy of it may restore a record that was removed. Such a record has its old
/// content, and its readers treat it as possibly true until it is disproved.
const WRITE_KINDS: [(&str, bool); 18] = [
    ("put end/", false),
    ("remove live/", false),
    ("put live/", false),
    ("put sys/owner/", false),
    ("put sys/token", false),
    ("put part/0/log/", true),
    ("remove part/0/log/", false),
    ("put part/0/rack/", true),
    ("put part/0/hire/", true),
    ("remove part/0/hire/", false),
    ("put part/0/allot", false),
    ("put part/0/tally/", false),
    ("put sys/quota", false),
    ("put quota/part/", true),
    ("remove quota/part/", false),
    ("put model/", false),
    ("DELETE /grants/", false),
    ("POST /grants/", false),
];

#[test]
fn each_kind_of_write_may_land_a_minute_late_under_later_leaders() {
    check_each_write_kind(Leaders::Change);
}

#[test]
fn each_kind_of_write_may_land_a_minute_late_in_its_own_term() {
    let changed_by_kind = check_each_write_kind(Leaders::Stay);
    assert!(
        changed_by_kind["put part/0/hire/"] > 0,
        "no rental record was restored: {changed_by_kind:?}"
    );
}

/// Checks each kind of write. Returns how many late transactions of each kind changed something.
fn check_each_write_kind(leaders: Leaders) -> BTreeMap<&'static str, usize> {
    let mut changed_by_kind: BTreeMap<&str, usize> = BTreeMap::new();
    for (i, (kind, may_change)) in WRITE_KINDS.into_iter().enumerate() {
        let (seed, nodes) = (40 + i as u64, [3, 5, 7][i % 3]);
        let what = format!("{kind}, leaders {leaders:?}, seed {seed}, {nodes} nodes");
        let (mut world, landed) = hold_writes_for_a_minute(kind, leaders, &[], seed, nodes);
        let term_writes = [
            "put sys/owner/",
            "put sys/token",
            "DELETE /grants/",
            "POST /grants/",
        ];
        let none = leaders == Leaders::Stay && term_writes.contains(&kind);
        assert!(none || !landed.is_empty(), "{what}: no write was held");
        let changed: Vec<_> = landed.iter().filter(|(_, changed)| *changed).collect();
        assert!(may_change || changed.is_empty(), "{what}: {changed:?}");
        *changed_by_kind.entry(kind).or_default() += changed.len();
        assert_kept(&world, &what);
        assert_all_ended(&world, &what);
        world.run_for(45_000);
        assert_kept(&world, &what);
        assert_eq!(
            running_tasks_of_ended_jobs(&world),
            Vec::<String>::new(),
            "{what}"
        );
        assert_eq!(reused_shard_keys(&world), Vec::<String>::new(), "{what}");
        // A new leader has removed the restored log records.
        let logs = world
            .state
            .keys
            .keys()
            .filter(|k| k.starts_with("part/0/log/"))
            .count();
        assert!(logs < 5, "{what}: {logs} log records are left");
    }
    println!("{leaders:?}: {changed_by_kind:?}");
    changed_by_kind
}

/// The removal of an empty inventory shard was not answered, and a machine that was added meanwhile was written under
/// the same number. A late copy of the first write under that number then replaced the record, and the machine was in
/// no record.
#[test]
fn number_of_a_removed_inventory_shard_is_not_reused() {
    let mut held = 0;
    for seed in 0..24u64 {
        let job = |i: u64| Timed {
            at: 3000 + i * (18_000 + seed * 250),
            run_ms: 2000,
            cancel_ms: None,
            spec: array(1000 + i as u32, "red", 1, 2.0),
        };
        let scene = Scene {
            jobs: (0..8).map(job).collect(),
            machines: 2,
            ..Scene::default()
        };
        let mut world = World::new(Plan::of_scene(
            seed,
            3,
            scene.team("red", 4.0, 0.0),
            0,
            400_000,
        ));
        world.hold_first(|all| all.iter().any(|w| w.starts_with("remove part/0/rack/")));
        world.run_for(200_000);
        // The late removals change nothing.
        let landed = world.land_held();
        held += landed.len();
        assert!(
            landed.iter().all(|(_, changed)| !changed),
            "seed {seed}: {landed:?}"
        );
        assert_kept(&world, &format!("seed {seed}"));
        assert_eq!(
            reused_shard_keys(&world),
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
    assert!(held > 20, "only {held} removals were held");
}

/// A request to end a lease that is executed long after its leader has stepped down changes no later leader record,
/// also when the same node leads the fleet again.
#[test]
fn late_end_of_a_lease_leaves_later_leader_records_unchanged() {
    let mut ended = 0;
    for (seed, nodes) in [(1, 3), (2, 5), (3, 7)] {
        let mut world = World::new(Plan::of_scene(seed, nodes, scene(seed), 0, 900_000));
        world.hold_first(|all| all.iter().any(|w| w.starts_with("DELETE /grants/")));
        world.run_for(25_000);
        for _ in 0..4 {
            // All other nodes are refused during the election, so that the same node wins it.
            let leader = world.leader_at().expect("a node leads the fleet");
            world.bring(&Trouble::Refused {
                who: Who::Leader,
                ms: 2600,
            });
            (0..nodes).filter(|n| *n != leader).for_each(|n| {
                world.bring(&Trouble::Refused {
                    who: Who::Node(n),
                    ms: 6000,
                });
            });
            world.run_for(5500);
            assert_eq!(
                world.leader_at(),
                Some(leader),
                "seed {seed}: another node leads"
            );
            let record = |w: &World| {
                w.state
                    .keys
                    .get("sys/owner/0")
                    .map(|e| (e.version, e.value.clone()))
            };
            let before: Option<(u64, Value)> = record(&world);
            ended += world.land_held().len();
            world.run_for(300);
            assert_eq!(record(&world), before, "seed {seed}");
        }
        assert_kept(&world, &format!("seed {seed}"));
    }
    assert!(ended > 5, "only {ended} leases were ended late");
}

/// The most seeds that a kind of write is held with until a failure is seen.
const MAX_HELD_SEEDS: u64 = 8;

/// The failures of held writes, or else of days with late writes, when the state service ignores the guards on some
/// keys: broken rules, jobs that do not end, and late writes that changed something.
fn failures_without_guards(
    leaders: Leaders,
    unguarded: &[&'static str],
    kinds: &[&'static str],
    days: u64,
) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    for (i, kind) in kinds.iter().copied().enumerate() {
        // Whether a held write can still be executed depends on the seed.
        for seed in 0..MAX_HELD_SEEDS {
            let (world, landed) =
                hold_writes_for_a_minute(kind, leaders, unguarded, 40 + i as u64 + seed, 3);
            seen.extend(world.rules.broken.keys().map(|r| (*r).to_string()));
            if landed.iter().any(|(_, changed)| *changed) {
                seen.insert("landed".into());
            }
            if world.rules.broken.is_empty() && !world.unfinished().is_empty() {
                seen.insert("never ends".into());
            }
            if !seen.is_empty() {
                break;
            }
        }
    }
    // Days with late writes, until a failure is seen.
    for seed in 0..days {
        if !seen.is_empty() {
            break;
        }
        let kind = OTHER_FAULTS[seed as usize % OTHER_FAULTS.len()];
        let mut world = World::new(day(kind, 0.4, 7000 + seed, [3, 5, 7][seed as usize % 3]));
        world.state.unguarded = unguarded.to_vec();
        world.run_day();
        seen.extend(world.rules.broken.keys().map(|r| (*r).to_string()));
        if world.rules.broken.is_empty() && !world.unfinished().is_empty() {
            seen.insert("never ends".into());
        }
    }
    seen
}

/// With each kind of guard ignored by the state service in turn, some failure is seen. Prints the failures.
#[test]
fn each_guard_prevents_a_failure() {
    let seen = GUARDS.map(|(guards, leaders, kinds, days)| {
        (
            guards,
            kinds,
            failures_without_guards(leaders, guards, kinds, days),
        )
    });
    seen.iter()
        .for_each(|(guards, kinds, seen)| println!("| {guards:?} | {kinds:?}: {seen:?} |"));
    let unseen: Vec<_> = seen.iter().filter(|(_, _, seen)| seen.is_empty()).collect();
    assert!(unseen.is_empty(), "{unseen:?}");
}

/// The keys whose guards are ignored, the leaders, the kinds of writes that are held then, and the number of days to
/// run.
const GUARDS: [(&[&str], Leaders, &[&str], u64); 12] = [
    (&[""], Leaders::Change, &[], 24),
    (
        &["sys/owner/"],
        Leaders::Change,
        &["put part/0/log/", "put part/0/rack/", "put part/0/hire/"],
        0,
    ),
    (&["live/", "end/"], Leaders::Change, &["put live/"], 0),
    (&["live/", "end/"], Leaders::Stay, &["put end/"], 0),
    (&["end/"], Leaders::Change, &["put live/"], 0),
    (&["live/"], Leaders::Stay, &["put part/0/log/"], 0),
    (&["part/0/log/"], Leaders::Stay, &["put part/0/log/"], 0),
    (
        &["part/0/rack/", "part/0/hire/", "live/"],
        Leaders::Stay,
        &["put part/0/rack/"],
        0,
    ),
    (
        &["sys/quota", "part/0/allot"],
        Leaders::Stay,
        &["put sys/quota"],
        0,
    ),
    (&["model/"], Leaders::Stay, &["put model/"], 0),
    (&["part/0/tally/"], Leaders::Stay, &["put part/0/tally/"], 0),
    (&["part/0/hire/"], Leaders::Stay, &["put part/0/hire/"], 0),
];

/// The same seed gives the same history of the state service.
#[test]
fn held_writes_are_deterministic() {
    let seen = || {
        let (world, landed) =
            hold_writes_for_a_minute("put part/0/log/", Leaders::Change, &[], 41, 3);
        format!("{landed:?} {:?}", world.state.history(0))
    };
    assert!(seen() == seen());
}
