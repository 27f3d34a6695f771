//! Malformed submissions, submissions that can never run, and unusual but valid ones: every node answers them alike
//! before, during and after a leader crash, and accepted ones run.

use serde_json::{Value, json};
use standins::scene::{Scene, Timed, array};
use standins::world::asks::OddAnswer;
use standins::world::{Plan, World};
use std::collections::BTreeMap;
use wire::api::{JobSpec, Kind};

const NODES: usize = 3;
/// A job that is running, one that is done, and one that was cancelled when the odd requests are sent.
const LIVE_JOB: &str = "job-001000";
const DONE_JOB: &str = "job-001001";
const CANCELLED_JOB: &str = "job-001002";
const FIRST_REQUESTS_MS: u64 = 25_000;

fn world(seed: u64, jobs: Vec<Timed>) -> World {
    let scene = Scene {
        jobs,
        machines: 12,
        ..Scene::default()
    }
    .team("red", 8.0, 12.0);
    World::new(Plan::of_scene(seed, NODES, scene, 0, 400_000))
}

fn timed(run_ms: u64, spec: JobSpec) -> Timed {
    Timed {
        at: 1000,
        run_ms,
        cancel_ms: None,
        spec,
    }
}

fn world_with_three_jobs(seed: u64) -> World {
    let cancelled = Timed {
        cancel_ms: Some(10_000),
        ..timed(200_000, array(1002, "red", 1, 200.0))
    };
    let jobs = [
        timed(200_000, array(1000, "red", 1, 200.0)),
        timed(1000, array(1001, "red", 1, 1.0)),
    ];
    world(seed, jobs.into_iter().chain([cancelled]).collect())
}

/// Field changes that make a valid submission malformed or impossible, each with the expected error text.
fn rejected_submissions() -> Vec<(Value, &'static str)> {
    vec![
        (json!({"lot": null}), "invalid: lot: missing"),
        (json!({"gpus": "1"}), "invalid: gpus: must be a number"),
        (
            json!({"pieces": 100_001}),
            "invalid: pieces: must be an integer from 1 to 100000",
        ),
        (
            json!({"builds": ["g2", "g2"]}),
            "invalid: builds: names a type twice",
        ),
        (json!({"desk": "nobody"}), "can never run: unknown team"),
        (
            json!({"shape": "group", "pieces": 13}),
            "can never run: more than the team's limit",
        ),
        (
            json!({"gpus": 5.0}),
            "can never run: fits no allowed machine type",
        ),
        (
            json!({"hall": "c"}),
            "can never run: fits no allowed machine type",
        ),
        (
            json!({"shape": "standing", "pieces": 2, "spread": true, "hall": "a"}),
            "can never run: its tasks are to be spread, and may be in one zone only",
        ),
        (
            json!({"shape": "group", "pieces": 2, "spread": true, "together": true}),
            "can never run: its tasks are to be spread, and may be in one zone only",
        ),
    ]
}

fn body(job: &str, changes: &Value) -> Vec<u8> {
    let mut spec: Value = wire::decode(&wire::encode(&array(1, "red", 1, 1.0))).expect("a map");
    spec["nameId"] = json!(job);
    for (field, value) in changes.as_object().expect("a map") {
        spec[field] = value.clone();
    }
    wire::encode(&spec)
}

/// Sends every odd submission to every node, under an ID of its own and under the IDs of the three jobs.
fn send_all(world: &mut World) {
    for (i, (changes, _)) in rejected_submissions().iter().enumerate() {
        for job in [
            format!("job-00900{i}").as_str(),
            LIVE_JOB,
            DONE_JOB,
            CANCELLED_JOB,
        ] {
            for node in 0..NODES {
                world.send_at(node, job, body(job, changes));
            }
        }
        // Spaces the requests so that the nodes stay within their rate limit.
        world.run_for(400);
    }
}

/// The expected status code and text of definite responses, by job.
fn expected_responses() -> BTreeMap<String, (u16, String)> {
    let status = |why: &str| if why.starts_with("invalid") { 400 } else { 422 };
    let rejected = |(i, (_, why)): (usize, &(Value, &str))| {
        (format!("job-00900{i}"), (status(why), (*why).to_owned()))
    };
    let known = [
        (LIVE_JOB, "Running"),
        (DONE_JOB, "Done"),
        (CANCELLED_JOB, "Cancelled"),
    ];
    let known = known.map(|(job, stage)| (job.to_owned(), (200, stage.to_owned())));
    rejected_submissions()
        .iter()
        .enumerate()
        .map(rejected)
        .chain(known)
        .collect()
}

/// Checks that definite responses are as expected, from any node at any time, and that all others give a time to retry.
/// Returns the number of definite responses.
fn count_checked_responses(answers: &[OddAnswer], what: &str) -> usize {
    let expected = expected_responses();
    let mut definite = 0;
    for a in answers.iter().filter(|a| a.status != 0) {
        if matches!(a.status, 429 | 503) {
            assert!(a.again_s.is_some(), "{what}: {a:?}");
            continue;
        }
        let (status, told) = &expected[&a.job];
        // A node that has only read that a job is live reports it as pending.
        let same_text = a.told == *told || (a.job == LIVE_JOB && a.told == "Pending");
        assert!(
            a.status == *status && same_text && a.again_s.is_none(),
            "{what}: {a:?}, not {told}"
        );
        definite += 1;
    }
    definite
}

#[test]
fn all_nodes_reject_odd_submissions_alike_across_a_leader_crash() {
    let sent = rejected_submissions().len() * 4 * NODES;
    for seed in 0..3 {
        let mut world = world_with_three_jobs(seed);
        world.run_for(FIRST_REQUESTS_MS);
        send_all(&mut world);
        world.run_for(2000);
        let before = count_checked_responses(&std::mem::take(&mut world.odd), "before");
        assert_eq!(before, sent, "seed {seed}");
        let leader = world.leader_at().expect("a node leads");
        world.crash_node(leader);
        send_all(&mut world);
        world.run_for(6000);
        let meanwhile = count_checked_responses(&std::mem::take(&mut world.odd), "meanwhile");
        assert!(meanwhile * 2 > sent, "seed {seed}: {meanwhile} of {sent}");
        assert_ne!(world.leader_at(), None);
        send_all(&mut world);
        world.run_for(2000);
        assert_eq!(
            count_checked_responses(&std::mem::take(&mut world.odd), "after"),
            sent,
            "seed {seed}"
        );
        assert!(
            world.rules.broken.is_empty(),
            "seed {seed}: {:?}",
            world.rules.broken
        );
        assert!(
            !world
                .rules
                .jobs
                .values()
                .any(|j| j.accepted.is_some() && j.spec.is_none())
        );
    }
}

/// A node that is refused by the state service forwards submissions to a peer, and the peer's reason reaches the user.
#[test]
fn refused_node_gives_its_users_the_same_rejections() {
    let mut world = world_with_three_jobs(7);
    world.run_for(FIRST_REQUESTS_MS);
    world.refuse_leader(20_000);
    world.run_for(4000);
    send_all(&mut world);
    world.run_for(3000);
    let definite = count_checked_responses(&std::mem::take(&mut world.odd), "refused");
    assert_eq!(definite, rejected_submissions().len() * 4 * NODES);
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

/// Unusual submissions that are accepted run to their end: no job is accepted that would wait forever.
#[test]
fn unusual_but_valid_jobs_run_to_their_end() {
    let timed_job = |id, tasks, change: fn(&mut JobSpec)| {
        let mut spec = array(id, "red", tasks, 2.0);
        change(&mut spec);
        timed(2000, spec)
    };
    let jobs = vec![
        timed_job(1, 7, |s| (s.spread, s.one_zone) = (true, true)),
        timed_job(2, 2, |s| (s.spread, s.one_zone) = (true, true)),
        timed_job(3, 9, |s| (s.spread, s.zone) = (true, Some("b".into()))),
        timed_job(4, 1, |s| {
            (s.kind, s.spread, s.one_zone) = (Kind::Gang, true, true)
        }),
        timed_job(5, 5, |s| (s.kind, s.spread) = (Kind::Gang, true)),
        timed_job(6, 3, |s| {
            s.types = Some(vec!["unheard".into(), "g4".into()])
        }),
        timed_job(7, 30, |s| (s.one_zone, s.zone) = (true, Some("a".into()))),
        timed_job(8, 12, |s| s.kind = Kind::Gang),
        timed_job(9, 2, |s| s.gpus = 4.0),
        timed_job(10, 3, |s| (s.cores, s.gpus, s.mem_gb) = (0.0, 0.0, 0.0)),
        timed_job(11, 2, |s| (s.estimate_s, s.deadline_s) = (0.0, Some(0.0))),
    ];
    let all = jobs.len();
    for seed in 0..2 {
        let mut world = world(seed, jobs.clone());
        world.run_for(150_000);
        assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
        let accepted = world
            .rules
            .jobs
            .values()
            .filter(|j| j.accepted.is_some())
            .count();
        assert_eq!(accepted, all, "seed {seed}");
        assert!(
            world.unfinished().is_empty(),
            "seed {seed}: never ended: {:?}",
            world.unfinished()
        );
    }
}
