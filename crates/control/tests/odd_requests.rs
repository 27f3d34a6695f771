//! Malformed submissions, jobs that can never run, and other invalid requests: every node answers them alike, whatever
//! it has loaded, and never refuses a repeat of a submission that was accepted.

mod node_harness;

use node_harness::{NodeHarness, SentRequest, job_spec, leader_with_one_job};
use serde_json::{Value, json};
use wire::peer::{MAX_WHY, PeerRequest, PeerResponse, decode};

/// What the state service has stored of the job.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StoredJob {
    Absent,
    Live,
    Ended(&'static str),
}

/// The state of the node that gets the request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum NodeState {
    /// It has read nothing yet, and forwards what it can't check.
    New,
    Follower,
    Leader,
    /// The state service refuses it, but serves a peer.
    StateRefused,
}

const NODE_STATES: [NodeState; 4] = [
    NodeState::New,
    NodeState::Follower,
    NodeState::Leader,
    NodeState::StateRefused,
];
const CONN: u64 = 5;

/// A node that knows the machine types but no leader.
fn follower() -> NodeHarness {
    let mut p = NodeHarness::new();
    p.learn_shared_state(None);
    p.learn_machine_types();
    p
}

fn node_in_state(node_state: NodeState) -> NodeHarness {
    match node_state {
        NodeState::New => NodeHarness::new(),
        NodeState::Follower | NodeState::StateRefused => follower(),
        NodeState::Leader => {
            let mut p = NodeHarness::new();
            p.become_leader();
            p.learn_machine_types();
            p.answer_range_read("live/", json!([]));
            while let Some(read) = p.take_sent(|s| s.path.starts_with("/keys?under=")) {
                p.reply(
                    &read,
                    200,
                    wire::encode(&json!({"items": [], "more": false, "ledger": 13})),
                );
            }
            p.run_accepting_writes(500);
            p
        }
    }
}

/// Answers a node's request to the state service about the job.
fn answer_state_request(p: &mut NodeHarness, sent: &SentRequest, stored_job: StoredJob) {
    let reply = |found: bool| if found { 200 } else { 404 };
    let end = if let StoredJob::Ended(stage) = stored_job {
        stage
    } else {
        ""
    };
    match sent.path.as_str() {
        "/txn" if stored_job == StoredJob::Absent => {
            p.reply(sent, 200, wire::encode(&json!({"ledger": 20})))
        }
        "/txn" => {
            let failed = if stored_job == StoredJob::Live {
                "live/job-000001"
            } else {
                "end/job-000001"
            };
            p.reply(
                sent,
                409,
                wire::encode(&json!({"failed": [failed], "ledger": 20})),
            );
        }
        "/keys/live/job-000001" => p.reply(sent, reply(stored_job == StoredJob::Live), Vec::new()),
        "/keys/end/job-000001" => {
            let rec = json!({"key": "end/job-000001", "v": {"stage": end, "done": 3}, "stamp": 19});
            p.reply(sent, reply(!end.is_empty()), wire::encode(&rec));
        }
        _ => {}
    }
}

/// Submits a body, and answers for the state service and for a peer that it serves until the user has a response.
fn submit(
    node_state: NodeState,
    stored_job: StoredJob,
    body: Vec<u8>,
) -> (u16, Value, Option<u32>) {
    let mut p = node_in_state(node_state);
    p.sent.clear();
    p.client_request(CONN, "POST", "/work", body);
    for _ in 0..20 {
        if let Some(response) = p.responses.iter().find(|t| t.0 == CONN) {
            let body = wire::decode(&response.2).expect("a map");
            return (response.1, body, p.retry_after[&CONN]);
        }
        let Some(sent) =
            p.take_sent(|s| s.is_forwarded() || s.path.starts_with("/keys/") || s.path == "/txn")
        else {
            break;
        };
        if sent.is_forwarded() {
            let answer = answer_of_peer(stored_job, &sent);
            p.reply(&sent, 200, answer);
        } else if node_state == NodeState::StateRefused {
            p.reply(&sent, 503, Vec::new());
        } else {
            answer_state_request(&mut p, &sent, stored_job);
        }
    }
    panic!(
        "{node_state:?}, {stored_job:?}: not answered; left: {:?}",
        p.sent
    );
}

/// The answer of a peer that the state service serves.
fn answer_of_peer(stored_job: StoredJob, sent: &SentRequest) -> Vec<u8> {
    let mut p = follower();
    p.sent.clear();
    p.receive_peer_request(&sent.peer_request().expect("a question"));
    loop {
        if let Some((_, _, body, _)) = p.responses.iter().find(|t| t.0 == 900) {
            return body.clone();
        }
        let sent = p
            .take_sent(|s| s.path.starts_with("/keys/") || s.path == "/txn")
            .expect("asks");
        answer_state_request(&mut p, &sent, stored_job);
    }
}

fn job_with(changes: &Value) -> Value {
    let mut spec = job_spec();
    for (field, value) in changes.as_object().expect("a map") {
        spec[field] = value.clone();
    }
    spec
}

/// Malformed submissions with the expected error.
fn malformed_submissions() -> Vec<(Vec<u8>, &'static str)> {
    let changed = |changes: Value| wire::encode(&job_with(&changes));
    let mut missing = job_spec();
    missing.as_object_mut().expect("a map").remove("stashS");
    let mut trailing = wire::encode(&job_spec());
    trailing.push(0xc0);
    let long: Vec<String> = (0..64).map(|i| format!("{i:0120}")).collect();
    vec![
        (wire::encode(&missing), "invalid: stashS: missing"),
        (
            changed(json!({"ramGb": -1})),
            "invalid: ramGb: must be a finite number from 0 to 1e9",
        ),
        (
            changed(json!({"pieces": 1.5})),
            "invalid: pieces: must be an integer from 1 to 100000",
        ),
        (
            changed(json!({"pieces": 0})),
            "invalid: pieces: must be an integer from 1 to 100000",
        ),
        (
            changed(json!({"builds": []})),
            "invalid: builds: must be null or a list of 1 to 64 names",
        ),
        (
            changed(json!({"shape": "crowd"})),
            "invalid: shape: must be array, group or standing",
        ),
        (
            changed(json!({"desk": ""})),
            "invalid: desk: must be text of 1 to 120 bytes",
        ),
        (
            changed(json!({"builds": long})),
            "invalid: body: too large to be kept",
        ),
        (trailing, "invalid: body: has bytes after the map"),
    ]
}

/// Submissions that can never run with the expected error.
fn unrunnable_submissions() -> Vec<(Vec<u8>, &'static str)> {
    let case = |changes: Value, why| (wire::encode(&job_with(&changes)), why);
    let spread = json!({"shape": "group", "pieces": 2, "spread": true});
    vec![
        case(json!({"desk": "nobody"}), "can never run: unknown team"),
        case(
            json!({"gpus": 25}),
            "can never run: more than the team's limit",
        ),
        case(
            json!({"shape": "standing", "pieces": 25}),
            "can never run: more than the team's limit",
        ),
        case(
            json!({"shape": "group", "pieces": 25}),
            "can never run: more than the team's limit",
        ),
        case(
            json!({"ramGb": 600}),
            "can never run: fits no allowed machine type",
        ),
        case(
            json!({"gpus": 9}),
            "can never run: fits no allowed machine type",
        ),
        case(
            json!({"builds": ["unheard"]}),
            "can never run: fits no allowed machine type",
        ),
        case(
            json!({"hall": "z"}),
            "can never run: fits no allowed machine type",
        ),
        case(
            spread,
            "can never run: its tasks are to be spread, and may be in one zone only",
        ),
    ]
}

/// Every node answers with the same status and reason, without Retry-After.
#[test]
fn invalid_submissions_are_refused_alike_by_every_node() {
    for (status, cases) in [
        (400, malformed_submissions()),
        (422, unrunnable_submissions()),
    ] {
        for (body, why) in cases {
            for node_state in NODE_STATES {
                let response = submit(node_state, StoredJob::Absent, body.clone());
                assert_eq!(
                    response,
                    (status, json!({"error": why}), None),
                    "{node_state:?}"
                );
            }
        }
    }
}

/// An accepted job is identified by its id: the answer is its state, whatever else the submission contains.
#[test]
fn repeat_of_accepted_job_is_not_validated_again() {
    let stages = [
        (StoredJob::Live, "pending"),
        (StoredJob::Ended("done"), "done"),
        (StoredJob::Ended("cancelled"), "cancelled"),
    ];
    let other = vec![(
        wire::encode(&job_with(&json!({"pieces": 7, "lot": "other"}))),
        "",
    )];
    for (body, why) in malformed_submissions()
        .into_iter()
        .chain(unrunnable_submissions())
        .chain(other)
    {
        for (stored_job, stage) in stages {
            for node_state in NODE_STATES {
                let (status, response, _) = submit(node_state, stored_job, body.clone());
                assert_eq!(
                    (status, &response["stage"]),
                    (200, &json!(stage)),
                    "{node_state:?} {why}: {response}"
                );
            }
        }
    }
}

/// The leader answers from memory, without any request to others.
#[test]
fn leader_answers_repeated_submission_from_memory() {
    let mut p = leader_with_one_job();
    p.learn_machine_types();
    p.sent.clear();
    for (i, (body, why)) in malformed_submissions()
        .into_iter()
        .chain(unrunnable_submissions())
        .enumerate()
    {
        p.client_request(100 + i as u64, "POST", "/work", body);
        assert_eq!(
            p.response_to(100 + i as u64),
            Some((200, Some("pending".into()))),
            "{why}"
        );
    }
    assert!(p.forwarded_requests().is_empty() && !p.sent.iter().any(|s| s.path == "/txn"));
}

/// Without a valid id there is nothing to look up.
#[test]
fn submission_without_id_is_refused_at_once() {
    let bodies = [
        (Vec::new(), "invalid: body: must be a MessagePack map"),
        (
            wire::encode(&job_with(&json!({"nameId": "task-1"}))),
            "invalid: nameId: must be job- and 1 to 18 digits",
        ),
        (
            wire::encode(&job_with(&json!({"nameId": null}))),
            "invalid: nameId: missing",
        ),
        (
            wire::encode(&json!([1, 2])),
            "invalid: body: must be a MessagePack map",
        ),
    ];
    for node_state in NODE_STATES {
        for (body, why) in &bodies {
            let mut p = node_in_state(node_state);
            p.sent.clear();
            p.client_request(CONN, "POST", "/work", body.clone());
            let (_, status, response, _) = p
                .responses
                .iter()
                .find(|t| t.0 == CONN)
                .expect("a response at once");
            assert_eq!(
                (*status, wire::decode(response).ok()),
                (400, Some(json!({"error": why}))),
                "{node_state:?}"
            );
            assert!(p.sent.is_empty(), "{node_state:?} asked {:?}", p.sent);
        }
    }
}

/// Permanent refusals and acceptances have the same guards: neither is valid if the job is already known or a document
/// that it was checked against is no longer in force.
#[test]
fn permanent_refusal_has_the_guards_of_an_acceptance() {
    let mut guards = Vec::new();
    for (changes, writes) in [(json!({}), true), (json!({"gpus": 9}), false)] {
        let mut p = follower();
        p.client_request(CONN, "POST", "/work", wire::encode(&job_with(&changes)));
        assert_eq!(
            p.response_status(CONN),
            None,
            "not answered before the transaction is committed"
        );
        let sent = p.take_sent(|s| s.path == "/txn").expect("a transaction");
        let txn: Value = wire::decode(&sent.body).expect("a decodable transaction");
        assert_eq!(txn.get("writes").is_some(), writes, "{txn}");
        guards.push(txn["guards"].clone());
        // Without an answer the submission is forwarded to another node, which checks it itself.
        p.step(control::Event::Reply {
            tag: sent.tag,
            response: None,
        });
        assert!(
            matches!(
                &p.forwarded_requests()[..],
                [(_, PeerRequest::Submit { .. })]
            ),
            "{:?}",
            p.forwarded_requests()
        );
    }
    assert_eq!(guards[0], guards[1]);
    let keys: Vec<&str> = guards[0]
        .as_array()
        .expect("some")
        .iter()
        .filter_map(|g| g["key"].as_str())
        .collect();
    assert_eq!(keys, ["live/job-000001", "end/job-000001"]);
}

/// The head and the parts of a quota tree that limits all teams together to this many GPUs.
fn tree(version: u64, gpus: f64) -> (Value, Vec<Value>) {
    let most: quota::Amounts = [("gpus".to_owned(), gpus)].into();
    // What the teams are guaranteed together.
    let guarantee = [("gpus".to_owned(), 10.0), ("cpus".to_owned(), 56.0)].into();
    let house = quota::NodeSpec {
        max: most,
        guarantee,
        ..quota::NodeSpec::new("house", None)
    };
    let teams = ["compositing", "effects", "subtitles", "layout"];
    let teams = teams.map(|t| quota::TeamSpec::new(t, Some("house"))).into();
    let spec = quota::Spec {
        nodes: vec![house],
        teams,
    };
    let parts = wire::tree::split(&spec, 4096).expect("the tree fits its limits");
    let names = parts.iter().map(|(name, _)| name.clone()).collect();
    let head = wire::tree::Head {
        format: wire::tree::FORMAT,
        version,
        parts: names,
        history: Vec::new(),
    };
    let item = |key: String, v: Value| json!({"key": key, "v": v, "stamp": 30 + version});
    let stored = |(name, shard): (String, wire::tree::PartRecord)| {
        item(
            format!("{}{name}", wire::records::QUOTA_PARTS),
            serde_json::to_value(shard).expect("JSON"),
        )
    };
    let head = item(wire::records::QUOTA.into(), json!({"quota": head}));
    (head, parts.into_iter().map(stored).collect())
}

/// Answers the reads of the shared state and of this quota tree.
fn read_tree(p: &mut NodeHarness, (head, parts): (Value, Vec<Value>)) {
    let types = json!([{"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "localGb": 200.0, "halls": ["a"]}]);
    let catalog = json!({"key": "sys/catalog", "v": {"builds": types}, "stamp": 2});
    let token = json!({"key": "sys/token", "v": {"token": 3}, "stamp": 3});
    p.answer_range_read("sys/", json!([catalog, token, head]));
    p.now += 100;
    p.step(control::Event::Tick);
    p.answer_range_read("quota/part/", Value::Array(parts));
}

/// Another quota tree comes into force between two attempts to accept a job. The second attempt accepted the job under
/// the new, smaller tree without checking it against that tree, so it waited forever. The other way round, a job was
/// refused because of a tree that was no longer in force.
#[test]
fn each_attempt_is_judged_by_the_quota_tree_in_force() {
    for (before, after, fits) in [(24.0, 12.0, false), (12.0, 24.0, true)] {
        let mut p = NodeHarness::new();
        p.step(control::Event::Tick);
        read_tree(&mut p, tree(1, before));
        // A node reads quota trees once a second at most.
        p.now += 1000;
        p.client_request(
            CONN,
            "POST",
            "/work",
            wire::encode(&job_with(&json!({"shape": "group", "pieces": 16}))),
        );
        let first = p.take_sent(|s| s.path == "/txn").expect("an attempt");
        p.reply_conflict(&first, &["sys/quota"]);
        assert_eq!(p.response_status(CONN), None);
        p.now += 20;
        p.step(control::Event::Tick);
        read_tree(&mut p, tree(2, after));
        for _ in 0..5 {
            p.now += 50;
            p.step(control::Event::Tick);
        }
        let second = p.take_sent(|s| s.path == "/txn").expect("a second attempt");
        let txn: Value = wire::decode(&second.body).expect("a decodable transaction");
        assert_eq!(
            txn.get("writes").is_some(),
            fits,
            "{before} and then {after}: {txn}"
        );
        assert_eq!(txn["guards"][0], json!({"key": "sys/quota", "stamp": 32}));
        p.reply(&second, 200, wire::encode(&json!({"ledger": 40})));
        assert_eq!(
            p.response_status(CONN),
            Some(if fits { 201 } else { 422 }),
            "{before} and then {after}"
        );
    }
}

/// Jobs that are able to run, judged by their specification alone.
#[test]
fn runnable_submissions_are_accepted() {
    let halves = json!({"pieces": 2, "spread": true, "together": true});
    for changes in [
        json!({"pieces": 100_000}),
        json!({"pieces": 24, "shape": "group"}),
        json!({"pieces": 1, "shape": "group", "together": true, "spread": true, "hall": "a"}),
        json!({"pieces": 1, "shape": "standing", "spread": true}),
        // The tasks of an array can run one after the other.
        halves,
        json!({"pieces": 9, "spread": true, "hall": "a"}),
        json!({"builds": ["unheard", "g8"]}),
        json!({"cores": 0, "gpus": 0, "ramGb": 0}),
    ] {
        for node_state in NODE_STATES {
            let response = submit(
                node_state,
                StoredJob::Absent,
                wire::encode(&job_with(&changes)),
            );
            assert_eq!(
                (response.0, &response.1["stage"]),
                (201, &json!("pending")),
                "{node_state:?} {changes}"
            );
        }
    }
}

/// The reason of a peer's refusal is cut to a maximum length, and a status that is no valid refusal becomes 503.
#[test]
fn peer_refusal_is_forwarded_within_bounds() {
    let long = "é".repeat(300);
    for (status, why, expected_status, retry_after) in [
        (400, "invalid: lot: missing", 400, None),
        (422, "", 422, None),
        (429, "busy", 429, Some(1)),
        (503, &long, 503, Some(1)),
        (200, "all is well", 503, Some(1)),
        (0, "", 503, Some(1)),
    ] {
        let mut p = NodeHarness::new();
        p.client_request(CONN, "POST", "/work", wire::encode(&job_spec()));
        let forwarded = p
            .take_sent(SentRequest::is_forwarded)
            .expect("forwarded to a peer");
        let answer = PeerResponse::Refused {
            status,
            why: why.to_owned(),
        };
        p.reply(&forwarded, 200, wire::peer::encode(&answer));
        let (_, got, body, _) = p
            .responses
            .iter()
            .find(|t| t.0 == CONN)
            .expect("a response")
            .clone();
        assert_eq!(
            (got, p.retry_after[&CONN]),
            (expected_status, retry_after),
            "{status} {why}"
        );
        let error = wire::decode::<Value>(&body).expect("a map")["error"]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let same = if why.is_empty() {
            error == "refused by a peer"
        } else {
            why.starts_with(&error)
        };
        assert!(
            same && !error.is_empty() && error.len() <= MAX_WHY,
            "{error}"
        );
    }
}

/// Unknown paths and methods and malformed ids get the same status from every node, at once and without any request to
/// others.
#[test]
fn unknown_paths_and_methods_get_404_or_405() {
    let cases = [
        ("GET", "/work/job-1x", 404),
        ("GET", "/work/", 404),
        ("GET", "/work/job-000001/0", 404),
        ("GET", "/work/cancel", 404),
        ("POST", "/work/job-1x/cancel", 404),
        ("POST", "/work//cancel", 404),
        ("POST", "/work/a/b/cancel", 404),
        // This was taken for a cancel of the job.
        ("POST", "/work/job-000001/cancel/cancel", 404),
        ("POST", "/work/job-000001", 405),
        ("GET", "/work/job-000001/cancel", 405),
        ("DELETE", "/work/job-000001", 405),
        ("GET", "/work", 405),
        ("PUT", "/work", 405),
        ("POST", "/ready", 405),
        ("GET", "/", 404),
        ("GET", "/worker", 404),
        ("POST", "/", 404),
    ];
    let mut nodes: Vec<NodeHarness> = NODE_STATES.into_iter().map(node_in_state).collect();
    nodes.push(leader_with_one_job());
    for mut p in nodes {
        p.sent.clear();
        for (i, (method, path, status)) in cases.iter().enumerate() {
            let conn = 100 + i as u64;
            p.client_request(conn, method, path, Vec::new());
            assert_eq!(p.response_status(conn), Some(*status), "{method} {path}");
            assert_eq!(p.retry_after[&conn], None, "{method} {path}");
        }
        assert!(p.sent.is_empty(), "{:?}", p.sent);
    }
}

/// A cancel of an ended job gets the job's end, and a cancel of an unknown job gets 404.
#[test]
fn cancel_of_ended_or_unknown_job() {
    for (stored_job, status, stage) in [
        (StoredJob::Ended("done"), 200, Some("done")),
        (StoredJob::Absent, 404, None),
        (StoredJob::Live, 503, None),
    ] {
        for leads in [true, false] {
            let mut p = if leads {
                node_in_state(NodeState::Leader)
            } else {
                NodeHarness::new()
            };
            if !leads {
                p.learn_shared_state(Some("burrow-1"));
            }
            p.sent.clear();
            p.client_request(CONN, "POST", "/work/job-000001/cancel", Vec::new());
            while p.response_status(CONN).is_none() {
                let next = |s: &SentRequest| s.is_forwarded() || s.path.starts_with("/keys/");
                let sent = p.take_sent(next).expect("asks");
                if sent.is_forwarded() {
                    p.reply(&sent, 200, wire::peer::encode(&PeerResponse::Unknown));
                } else {
                    answer_state_request(&mut p, &sent, stored_job);
                }
            }
            assert_eq!(
                p.response_to(CONN),
                Some((status, stage.map(str::to_owned))),
                "{stored_job:?}"
            );
            assert_eq!(p.retry_after[&CONN], (status == 503).then_some(1));
        }
    }
}

/// A submission forwarded by a peer is refused with the reason too.
#[test]
fn peer_submission_is_refused_with_a_reason() {
    let mut p = follower();
    let mut spec: wire::api::JobSpec = wire::decode(&wire::encode(&job_spec())).expect("a job");
    spec.tasks = 0;
    p.receive_peer_request(&PeerRequest::Submit {
        spec: Box::new(spec),
    });
    for path in ["/keys/live/job-000001", "/keys/end/job-000001"] {
        let read = p.take_sent(|s| s.path == path).expect("reads");
        p.reply(&read, 404, Vec::new());
    }
    let response = p.responses.pop().expect("a response");
    let why = "invalid: pieces: must be an integer from 1 to 100000";
    assert_eq!(
        decode::<PeerResponse>(&response.2).ok(),
        Some(PeerResponse::refused(400, why))
    );
}
