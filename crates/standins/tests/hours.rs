//! Release hours in virtual time: the hour at which a job is due stays as it was recorded when the job was accepted,
//! whatever fails, until an operator moves it.

use hours::{Release, Spec, Studio};
use serde_json::{Value, json};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};
use wire::api::{Kind, Write};
use wire::records::{HourRecord, JobRecord, Record};

const PATH: &str = "/admin/hours";

/// A calendar with a release hour every `step` minutes from 00:18 on. Virtual time begins at 00:16:40 of the first day.
fn calendar(step: u32, notice_min: u32) -> Spec {
    let at = (0..40)
        .map(|i| 18 + i * step)
        .map(|m| format!("{:02}:{:02}", m / 60, m % 60));
    let studio = |name: &str, team: &str, zone: &str| Studio {
        name: name.into(),
        teams: vec![team.into()],
        node: None,
        zone: zone.into(),
        notice_min,
    };
    let release = |studio: &str, at: Vec<String>| Release {
        studio: studio.into(),
        class: None,
        at,
        days: vec![],
        notice_min: None,
    };
    let at: Vec<String> = at.collect();
    Spec {
        studios: vec![
            studio("north", "red", "UTC"),
            studio("south", "blue", "Africa/Abidjan"),
        ],
        releases: vec![release("north", at.clone()), release("south", at)],
        ..Spec::default()
    }
}

fn set(id: &str, spec: &Spec) -> Value {
    json!({"change": {"id": id, "by": "operator", "expect": null, "dry_run": false, "edit": {"set": {"spec": spec}}}})
}

fn scene() -> Scene {
    Scene {
        machines: 8,
        skew_ms: 25,
        ..Scene::default()
    }
    .team("red", 2.0, 0.0)
    .team("blue", 2.0, 0.0)
}

fn responses<'a>(world: &'a World, ask: &str) -> Vec<(u16, &'a Value)> {
    world
        .answers
        .iter()
        .filter(|(a, _, _)| a.get(ask).is_some())
        .map(|(_, s, v)| (*s, v))
        .collect()
}

/// Jobs of two studios, with calendars that change and hours that are moved and agreed again.
fn random_scene(seed: u64) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scene = Scene {
        held_one_in: 60,
        ..scene()
    };
    let mut ask = |at: u64, ask: Value| scene.asks.push((at, PATH.into(), ask));
    ask(1000, set("first", &calendar(2, 0)));
    ask(80_000 + rng.u64(0..9000), set("second", &calendar(3, 1)));
    ask(140_000 + rng.u64(0..9000), set("third", &calendar(1, 2)));
    for k in 0..6 {
        let job = format!("job-{:06}", 1000 + rng.u32(0..40));
        let to = format!("1970-01-01T00:{:02}:00Z", 25 + k);
        ask(
            rng.u64(30_000..230_000),
            json!({"move": {"job": job, "to": to, "by": "ida"}}),
        );
    }
    for studio in ["north", "south"] {
        let at = rng.u64(100_000..230_000);
        ask(
            at,
            json!({"reagree": {"studio": studio, "by": "ida", "dry_run": rng.bool()}}),
        );
    }
    for i in 0..40u32 {
        let mut spec = array(
            1000 + i,
            ["red", "blue"][rng.usize(0..2)],
            rng.u32(1..9),
            12.0,
        );
        match rng.u32(0..8) {
            0 | 1 => (spec.kind, spec.tasks) = (Kind::Gang, rng.u32(1..4)),
            2 => (spec.kind, spec.tasks) = (Kind::Service, 1),
            _ => {}
        }
        let service = spec.kind == Kind::Service;
        let cancel_ms = (service || rng.u32(0..5) == 0).then(|| rng.u64(10_000..60_000));
        let at = rng.u64(2000..220_000);
        scene.jobs.push(Timed {
            at,
            run_ms: rng.u64(4000..25_000),
            cancel_ms,
            spec,
        });
    }
    scene
}

#[test]
fn release_hours_stay_as_agreed_through_faults() {
    let (mut moves, mut kept, mut missed) = (0, 0, 0);
    for seed in 0..18 {
        let scene = random_scene(seed);
        let asks = scene.asks.len();
        let plan = Plan::of_scene(seed, [3, 5, 7][seed as usize % 3], scene, 240_000, 900_000);
        let mut world = World::new(Plan {
            calm: false,
            ..plan
        });
        world.run();
        assert!(
            world.rules.broken.is_empty(),
            "seed {seed}: {:?}",
            world.rules.broken
        );
        assert!(
            world.unfinished().is_empty(),
            "seed {seed}: jobs that did not end: {:?}",
            world.unfinished()
        );
        assert_eq!(world.state.counts.too_large, 0, "seed {seed}");
        assert_eq!(
            world.answers.len(),
            asks,
            "seed {seed}: an operator got no response"
        );
        assert!(
            world.hours.hours.values().flatten().count() > 10,
            "seed {seed}: too few jobs have release hours"
        );
        moves += world.hours.moves;
        kept += world.hours.kept.values().filter(|k| **k).count();
        missed += world.hours.kept.values().filter(|k| !**k).count();
    }
    assert!(
        moves > 20 && kept > 100 && missed > 20,
        "{moves} moves, {kept} kept, {missed} missed"
    );
}

/// The checker finds an hour that was changed in the job's record without an operator's request.
#[test]
fn hours_checker_detects_an_hour_moved_without_an_operator() {
    let mut scene = scene();
    scene
        .asks
        .push((1000, PATH.into(), set("first", &calendar(2, 0))));
    scene.jobs.push(Timed {
        at: 30_000,
        run_ms: 60_000,
        cancel_ms: None,
        spec: array(1000, "red", 4, 60.0),
    });
    let mut world = World::new(Plan::of_scene(1, 3, scene, 0, 300_000));
    world.run_for(60_000);
    let live = &world.state.keys["live/job-001000"].value;
    let mut rec: JobRecord = serde_json::from_value(live.clone()).expect("the job record decodes");
    let hour = rec.hour.clone().expect("the job has an hour");
    rec.hour = Some(HourRecord {
        due_ms: hour.due_ms + 60_000,
        ..hour
    });
    world.write(Write::put(
        "live/job-001000".into(),
        Record::Job(Box::new(rec)),
    ));
    world.run_for(60_000);
    assert!(
        world.rules.broken.contains_key("hours_moved"),
        "{:?}",
        world.rules.broken
    );
}

/// The leader crashes at different points of a move. The hour is moved once, and a repeated request succeeds as well.
#[test]
fn hour_is_moved_once_when_the_leader_crashes() {
    for (seed, delay) in (0..6).map(|i| (i, i * 4)) {
        let mut scene = scene();
        scene
            .asks
            .push((1000, PATH.into(), set("first", &calendar(10, 0))));
        scene.jobs.push(Timed {
            at: 30_000,
            run_ms: 220_000,
            cancel_ms: None,
            spec: array(1000, "red", 2, 220.0),
        });
        let mut world = World::new(Plan::of_scene(seed, 5, scene, 0, 600_000));
        world.run_for(50_000);
        let ask = json!({"move": {"job": "job-001000", "to": "1970-01-01T00:25", "by": "ida"}});
        world.inquire(PATH.into(), ask.clone());
        world.run_for(delay);
        world.doom_leader();
        world.run_for(100_000);
        world.inquire(PATH.into(), ask);
        world.run_for(5000);
        let replies = responses(&world, "move");
        assert!(
            replies.len() == 2 && replies.iter().all(|(status, _)| *status == 200),
            "{delay} ms: {replies:?}"
        );
        world.run_for(300_000);
        assert!(
            world.rules.broken.is_empty(),
            "{delay} ms: {:?}",
            world.rules.broken
        );
        assert_eq!(
            (world.hours.moves, world.hours.kept.len()),
            (1, 1),
            "{delay} ms"
        );
        let hour = world.hours.hours["job-001000"]
            .as_ref()
            .expect("the job has an hour");
        let moved = hour.moved.as_ref().expect("the hour was moved");
        assert_eq!(
            (hour.due_ms, moved.by.as_str(), moved.from_ms),
            (25 * 60_000, "ida", 18 * 60_000)
        );
    }
}

/// Two studios submit work, and there is room for half of it. The studio whose hour is nearer goes first, though its
/// jobs were submitted last.
#[test]
fn job_with_the_nearer_hour_runs_first() {
    let plan = |hours: bool| {
        let mut scene = scene();
        let mut near = calendar(2, 0);
        near.releases[0].at = vec!["00:21".into()];
        near.releases[1].at = vec!["00:55".into()];
        if hours {
            scene.asks.push((1000, PATH.into(), set("first", &near)));
        }
        for i in 0..24u32 {
            let team = if i < 16 { "blue" } else { "red" };
            let spec = array(1000 + i, team, 8, 14.0);
            scene.jobs.push(Timed {
                at: 20_000 + u64::from(i) * 200,
                run_ms: 14_000,
                cancel_ms: None,
                spec,
            });
        }
        let mut world = World::new(Plan::of_scene(5, 3, scene, 0, 900_000));
        world.run();
        let red = |id: &str| id >= "job-001016";
        assert!(
            world.rules.broken.is_empty() && world.unfinished().is_empty(),
            "{:?}",
            world.rules.broken
        );
        let ends = world
            .rules
            .jobs
            .iter()
            .filter(|(id, _)| red(id))
            .filter_map(|(_, j)| j.told_done);
        let ends: Vec<u64> = ends.map(|at| (at - 1_000_000) / 1000).collect();
        (
            ends.iter().sum::<u64>() / 8,
            world
                .hours
                .kept
                .iter()
                .filter(|(id, kept)| red(id) && **kept)
                .count(),
        )
    };
    let (without, with) = (plan(false), plan(true));
    assert!(with.1 >= 7, "too few hours kept: {with:?}");
    assert!(
        with.0 + 20 < without.0,
        "with hours {with:?}, without {without:?}"
    );
}

/// Lists show the due, kept and missed hours by studio. A move of an unknown job, or to an invalid time, is refused.
#[test]
fn operators_see_due_kept_missed_and_moved_hours() {
    let mut scene = scene();
    scene
        .asks
        .push((1000, PATH.into(), set("first", &calendar(3, 0))));
    for (i, run_ms) in [(0, 10_000), (1, 400_000), (2, 200_000)] {
        let team = if i == 2 { "blue" } else { "red" };
        scene.jobs.push(Timed {
            at: 30_000,
            run_ms,
            cancel_ms: None,
            spec: array(1000 + i, team, 1, 10.0),
        });
    }
    let ask = |scene: &mut Scene, at: u64, ask: Value| scene.asks.push((at, PATH.into(), ask));
    ask(
        &mut scene,
        120_000,
        json!({"move": {"job": "job-001009", "to": "1970-01-01T00:40", "by": "ida"}}),
    );
    ask(
        &mut scene,
        120_500,
        json!({"move": {"job": "job-001001", "to": "soon", "by": "ida"}}),
    );
    ask(&mut scene, 130_000, set("second", &calendar(5, 6)));
    ask(
        &mut scene,
        150_000,
        json!({"reagree": {"studio": "south", "by": "ida", "dry_run": true}}),
    );
    ask(
        &mut scene,
        151_000,
        json!({"reagree": {"studio": "south", "by": "ida", "dry_run": false}}),
    );
    ask(&mut scene, 200_000, json!({"list": {"studio": null}}));
    let mut world = World::new(Plan::of_scene(3, 3, scene, 0, 300_000));
    world.run_for(100_000);
    let token = world.state.keys["sys/token"].value.clone();
    world.run_for(200_000);
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    assert_eq!(
        world.hours.kept.get("job-001002"),
        Some(&true),
        "the job whose hour was moved ends in time"
    );
    assert_eq!(
        world.state.keys["sys/token"].value, token,
        "no transaction failed on the version of a moved job"
    );
    assert_eq!(
        responses(&world, "move")
            .iter()
            .map(|(s, _)| *s)
            .collect::<Vec<_>>(),
        [404, 422]
    );
    let agreed = responses(&world, "reagree");
    assert_eq!(
        (agreed[0].1["jobs"].as_u64(), agreed[1].1["jobs"].as_u64()),
        (Some(1), Some(1)),
        "{agreed:?}"
    );
    assert_eq!(world.hours.moves, 1, "the dry run moves no hour");
    let (_, list) = responses(&world, "list")[0];
    let line = |job: &str| {
        let lines = list["lines"].as_array().expect("the list has lines");
        lines
            .iter()
            .find(|l| l["job"] == job)
            .cloned()
            .unwrap_or_default()
    };
    let (kept, missed, moved) = (line("job-001000"), line("job-001001"), line("job-001002"));
    assert_eq!(
        (&kept["studio"], &kept["state"]),
        (&json!("north"), &json!("kept"))
    );
    assert_eq!(
        (&missed["state"], &missed["due"]),
        (&json!("missed"), &json!("1970-01-01T00:18:00+00:00"))
    );
    assert!(
        missed["late_s"].as_f64().is_some_and(|s| s > 60.0),
        "{missed}"
    );
    assert_eq!(
        (&moved["state"], &moved["moved"]["by"]),
        (&json!("due"), &json!("ida"))
    );
}
