//! Counties in virtual time: whatever fails, each job is counted once, in its own county, and counties that ask for it
//! share no machines.

use serde_json::{Value, json};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};
use std::collections::BTreeMap;
use wire::api::Kind;

const PATH: &str = "/admin/counties";

/// A county `c<i>` for each class `k<i>`. Of each four, the second and the third share no machine with other counties,
/// and the fourth runs only on machines of zone a.
fn document(counties: usize) -> Value {
    let county = |i: usize| {
        let mut c = json!({"id": format!("c{i}"), "rule": [{"classes": [format!("k{i}")]}]});
        match i % 4 {
            1 | 2 => c["apart"] = json!("machine"),
            3 => (c["apart"], c["zones"]) = (json!("zones"), json!(["a"])),
            _ => {}
        }
        c
    };
    json!({"others": "count", "county": (0..counties).map(county).collect::<Vec<_>>()})
}

fn set(id: &str, spec: Value) -> Value {
    json!({"change": {"id": id, "by": "operator", "expect": null, "dry_run": false, "edit": {"set": {"spec": spec}}}})
}

/// Jobs of all counties and of none, submitted until the time `until`.
fn scene(seed: u64, counties: usize, jobs: u32, until: u64) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scene = Scene {
        machines: 12,
        ..Scene::default()
    }
    .team("red", 4.0, 0.0)
    .team("blue", 4.0, 0.0);
    scene
        .asks
        .push((1000, PATH.into(), set("first", document(counties))));
    for i in 0..jobs {
        let mut spec = array(
            1000 + i,
            ["red", "blue"][rng.usize(0..2)],
            rng.u32(1..6),
            8.0,
        );
        spec.class = format!("k{}", rng.usize(0..=counties));
        spec.spot = rng.bool();
        if rng.u32(0..3) == 0 {
            (spec.kind, spec.tasks) = (Kind::Gang, rng.u32(1..4));
        }
        let cancel_ms = (rng.u32(0..4) == 0).then(|| rng.u64(0..30_000));
        let at = rng.u64(6000..until);
        scene.jobs.push(Timed {
            at,
            run_ms: rng.u64(1000..12_000),
            cancel_ms,
            spec,
        });
    }
    scene
}

fn plan(seed: u64, nodes: usize, scene: Scene, until: u64, calm: bool) -> Plan {
    Plan {
        calm,
        ..Plan::of_scene(seed, nodes, scene, until, until + 600_000)
    }
}

fn assert_no_violations(world: &World, what: &str) {
    assert!(
        world.rules.broken.is_empty(),
        "{what}: {:?}",
        world.rules.broken
    );
}

/// The responses to one kind of request, the latest last.
fn responses<'a>(world: &'a World, request: &str) -> Vec<(u16, &'a Value)> {
    world
        .answers
        .iter()
        .filter(|(a, _, _)| a.get(request).is_some())
        .map(|(_, s, v)| (*s, v))
        .collect()
}

/// The leader's counts by county and class: accepted, done and cancelled jobs, done tasks.
fn parse_tally(answer: &Value) -> BTreeMap<(String, String), [u64; 4]> {
    let lines = answer["lines"].as_array().cloned().unwrap_or_default();
    let number = |l: &Value, f: &str| l[f].as_u64().unwrap_or(u64::MAX);
    let text = |l: &Value, f: &str| l[f].as_str().unwrap_or_default().to_owned();
    let line = |l: &Value| {
        let counts = ["accepted", "done", "cancelled", "done_tasks"].map(|f| number(l, f));
        ((text(l, "county"), text(l, "class")), counts)
    };
    lines.iter().map(line).collect()
}

/// Runs to the end, requests the counts and the audit, and compares them with the history of the state service.
fn run_and_audit(world: &mut World, what: &str) {
    world.run();
    assert_no_violations(world, what);
    world.inquire(PATH.into(), json!({"tally": {"county": null}}));
    for _ in 0..30 {
        world.inquire(PATH.into(), json!({"audit": {"id": "last"}}));
        world.run_for(2000);
    }
    world.counties.users(&mut world.rules);
    assert_no_violations(world, what);
    let tally = responses(world, "tally")
        .pop()
        .map(|(status, v)| (status, parse_tally(v)));
    let expected: BTreeMap<_, _> = world
        .counties
        .sums()
        .iter()
        .map(|(c, [done, cancelled, tasks])| {
            (c.clone(), [done + cancelled, *done, *cancelled, *tasks])
        })
        .collect();
    assert_eq!(tally, Some((200, expected)), "{what}");
    let audit = responses(world, "audit")
        .pop()
        .map(|(_, v)| v.clone())
        .unwrap_or_default();
    assert_eq!(audit["done"]["differences"], json!([]), "{what}: {audit}");
    assert_eq!(
        world.counties.bound.len(),
        world.counties.ended.len(),
        "{what}: a bound job has not ended"
    );
}

/// All kinds of faults, with three, five and seven controllers.
#[test]
fn each_job_is_counted_once_in_its_county() {
    let mut folds = 0;
    for seed in 0..12 {
        let nodes = [3, 5, 7][seed as usize % 3];
        let mut world = World::new(plan(
            seed,
            nodes,
            scene(seed, 6, 40, 150_000),
            150_000,
            false,
        ));
        run_and_audit(&mut world, &format!("seed {seed}"));
        folds += world.counties.folds;
    }
    assert!(folds > 50, "{folds} folds");
}

/// One leader after the other crashes while one of its transactions is in flight.
#[test]
fn counts_survive_leader_crashes_between_result_and_fold() {
    for seed in 0..4 {
        let mut world = World::new(plan(seed, 5, scene(seed, 4, 40, 90_000), 0, true));
        world.run_for(8000);
        for k in 0..14u64 {
            world.run_for(2500 + 137 * k);
            world.doom_leader();
            if k % 3 == 0 {
                // The next leader crashes too, as soon as there is one.
                world.run_for(800);
                world.doom_leader();
            }
            if k % 5 == 4 {
                world.state_out(3000);
            }
        }
        run_and_audit(&mut world, &format!("seed {seed}"));
    }
}

/// More counties than one tally sheet holds; tasks end in a zone that is cut off, so that their ends are not reported.
#[test]
fn counts_are_exact_with_hundreds_of_counties_and_a_partitioned_zone() {
    let mut s = scene(5, 300, 260, 100_000);
    s.limits = Some(standins::state::Limits {
        value_kb: 4.0,
        ..Default::default()
    });
    let mut world = World::new(plan(5, 5, s, 0, true));
    world.run_for(40_000);
    // More jobs end at once than one transaction holds, with separate counts.
    for id in 1000..1260 {
        if id % 3 == 0 {
            world.cancel(&format!("job-{id:06}"));
        }
    }
    world.run_for(2000);
    world.cut_zone("b", 120_000);
    world.run_for(20_000);
    world.doom_leader();
    run_and_audit(&mut world, "cut");
    let sheets = world
        .state
        .keys
        .keys()
        .filter(|k| k.starts_with("part/0/tally/"))
        .count();
    assert!(sheets > 3, "{sheets} sheets");
    assert_eq!(world.state.counts.too_large, 0);
    assert!(world.counties.sums().len() > 150);
}

/// Without a document, counting writes nothing. With one it writes at most a log record for each transaction that ends
/// jobs, and the folds of these records into the counts.
#[test]
fn counting_writes_nothing_without_a_document_and_little_with_one() {
    let run = |document: bool| {
        let mut s = scene(9, 4, 60, 60_000);
        // A single county, so that the scheduling is the same with and without the document.
        s.asks.retain(|_| document);
        if document {
            s.asks[0].2 = set(
                "first",
                json!({"county": [{"id": "one", "rule": [{"teams": ["red", "blue"]}]}]}),
            );
        }
        let mut world = World::new(plan(9, 3, s, 0, true));
        world.run();
        assert_no_violations(&world, "calm");
        world
    };
    let (without, with) = (run(false), run(true));
    let county_writes = |w: &World| {
        w.state
            .history(0)
            .iter()
            .filter(|(_, k, _)| k.contains("tally") || k.contains("counties"))
            .count()
    };
    assert_eq!(county_writes(&without), 0);
    let text: String = without
        .state
        .history(0)
        .iter()
        .filter_map(|(_, _, v)| Some(v.as_ref()?.to_string()))
        .collect();
    assert!(!text.contains("county") && !text.contains("\"ended\""));
    assert_eq!(with.counties.ended.len(), 60);
    assert!(
        with.counties.folds < 60 && with.counties.only_counts <= 60,
        "{} folds",
        with.counties.folds
    );
}

/// A later version of the document leaves bound jobs unchanged, a county can be removed only when it is closed and
/// empty, and with `others` set to `refuse` a job that no rule matches is refused.
#[test]
fn job_bindings_survive_new_document_versions() {
    let mut s = Scene {
        machines: 4,
        ..Scene::default()
    }
    .team("red", 4.0, 0.0);
    let doc = |others: &str, counties: Value| json!({"others": others, "county": counties});
    let rule = json!([{"teams": ["red"]}]);
    s.asks.push((
        1000,
        PATH.into(),
        set("1", doc("count", json!([{"id": "old", "rule": rule}]))),
    ));
    let long = |id: u32, at: u64| Timed {
        at,
        run_ms: 40_000,
        cancel_ms: None,
        spec: array(id, "red", 1, 40.0),
    };
    s.jobs = vec![long(1, 5000), long(2, 15_000), long(3, 25_000)];
    // Removes the county while it is open, then closes it, then removes it while it has a job, then refuses other jobs.
    let new = json!({"id": "new", "rule": rule});
    let closed = json!({"id": "old", "closed": true, "into": ["new"]});
    s.asks.push((
        8000,
        PATH.into(),
        set("2", doc("count", json!([new.clone()]))),
    ));
    s.asks.push((
        10_000,
        PATH.into(),
        set("3", doc("count", json!([closed.clone(), new.clone()]))),
    ));
    s.asks.push((
        12_000,
        PATH.into(),
        set("4", doc("count", json!([new.clone()]))),
    ));
    let narrowed = json!({"id": "new", "rule": [{"ids": ["job-000002"]}]});
    s.asks.push((
        20_000,
        PATH.into(),
        set("5", doc("refuse", json!([closed, narrowed]))),
    ));
    s.asks
        .push((120_000, PATH.into(), set("6", doc("count", json!([new])))));
    let mut world = World::new(plan(1, 3, s, 0, true));
    world.run();
    assert_no_violations(&world, "versions");
    let status: Vec<u16> = responses(&world, "change")
        .iter()
        .map(|(s, _)| *s)
        .collect();
    assert_eq!(status, [200, 422, 200, 422, 200, 200]);
    let county = |id: &str| {
        world
            .counties
            .bound
            .get(id)
            .map(|(c, _)| (c.county.as_str(), c.version))
    };
    let all = ["job-000001", "job-000002", "job-000003"].map(county);
    assert_eq!(all, [Some(("old", 1)), Some(("new", 2)), None]);
    assert!(world.rules.jobs["job-000003"].accepted.is_none());
    assert_eq!(world.counties.sums().len(), 2);
}

/// While a tally sheet does not decode, no counts are given; a sheet with wrong counts is found by the audit.
#[test]
fn damaged_counts_are_withheld_or_reported() {
    let mut world = World::new(plan(3, 3, scene(3, 4, 20, 30_000), 0, true));
    run_and_audit(&mut world, "before");
    let key = "part/0/tally/0";
    let good = world.state.keys[key].value.clone();
    world.counties.damaged = true;
    let damage = |world: &mut World, value: &Value| {
        let rec = wire::records::Record::Other(value.clone());
        world.write(wire::api::Write::put(key.into(), rec));
        world.crash_all();
        world.run_for(20_000);
    };
    let request = |world: &mut World, id: &str| {
        world.answers.clear();
        world.inquire(PATH.into(), json!({"tally": {"county": null}}));
        world.inquire(PATH.into(), json!({"audit": {"id": id}}));
        world.run_for(8000);
        world.inquire(PATH.into(), json!({"audit": {"id": id}}));
        world.run_for(8000);
    };
    let mut more = good.clone();
    more["cells"][0]["done"] = json!(more["cells"][0]["done"].as_u64().unwrap_or(0) + 1);
    damage(&mut world, &more);
    request(&mut world, "more");
    let differences = responses(&world, "audit")
        .pop()
        .map(|(_, v)| v["done"]["differences"].clone())
        .unwrap_or_default();
    assert!(
        differences[0]
            .as_str()
            .is_some_and(|d| d.contains("done jobs counted")),
        "{differences}"
    );
    damage(&mut world, &json!({"cells": 5}));
    request(&mut world, "junk");
    assert!(responses(&world, "tally").is_empty() && responses(&world, "audit").is_empty());
    world.write(wire::api::Write::put(
        key.into(),
        wire::records::Record::Other(good),
    ));
    world.run_for(40_000);
    assert_eq!(responses(&world, "tally").len(), 1);
    assert_no_violations(&world, "mended");
}
