//! Property tests of the message formats: round trips, truncated and damaged messages, and arbitrary bytes.

use proptest::prelude::*;
use std::collections::BTreeSet;
use wire::api::*;
use wire::http;
use wire::records::{
    ClaimsRecord, DoneRecord, InventoryRecord, KindRecord, LogRecord, ranges, unrange,
};
use wire::{ids, peer};

fn spec() -> impl Strategy<Value = JobSpec> {
    let kind = prop_oneof![Just(Kind::Array), Just(Kind::Gang), Just(Kind::Service)];
    let priority = prop_oneof![
        Just(Priority::Low),
        Just(Priority::Normal),
        Just(Priority::High),
        Just(Priority::Production)
    ];
    let names = ("[a-z-]{1,20}", "[a-z-]{1,20}", "[a-z0-9-]{1,20}");
    let amounts = proptest::collection::vec(0.0f64..1e6, 7);
    let types = proptest::option::of(proptest::collection::btree_set("[a-z0-9]{1,8}", 1..4));
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (
        0u64..1_000_000,
        kind,
        priority,
        names,
        1u32..=MAX_TASKS,
        amounts,
        types,
        flags,
        any::<bool>(),
    )
        .prop_map(
            |(
                id,
                kind,
                priority,
                (class, team, image),
                tasks,
                a,
                types,
                (one_zone, spread, spot),
                due,
            )| {
                JobSpec {
                    id: format!("job-{id:06}"),
                    class,
                    team,
                    kind,
                    priority,
                    tasks,
                    cores: a[0],
                    gpus: a[1],
                    mem_gb: a[2],
                    image,
                    image_gb: a[3],
                    types: types.map(|t| t.into_iter().collect()),
                    zone: spread.then(|| "a".to_owned()),
                    one_zone,
                    spread,
                    spot,
                    estimate_s: a[4],
                    checkpoint_s: a[5],
                    save_s: a[6],
                    deadline_s: due.then_some(a[4] * 3.0),
                }
            },
        )
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let stage = prop_oneof![
        Just(TaskStage::Fetching),
        Just(TaskStage::Waiting),
        Just(TaskStage::Running),
        Just(TaskStage::Saving),
        Just(TaskStage::Exited)
    ];
    let cause = proptest::option::of(prop_oneof![
        Just(Cause::Done),
        Just(Cause::NoRoom),
        Just(Cause::Incomplete)
    ]);
    let task = (
        0u64..1000,
        0u32..1000,
        any::<u64>(),
        stage,
        cause,
        proptest::option::of(any::<bool>()),
    )
        .prop_map(|(job, n, attempt, stage, cause, saved)| TaskStatus {
            task: ids::task_name(&format!("job-{job:06}"), n),
            attempt,
            stage,
            cause,
            saved,
        });
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>());
    (
        numbers,
        proptest::option::of(0.0f64..100.0),
        proptest::collection::vec(task, 0..20),
    )
        .prop_map(|((agent_epoch, seq, token), notice_s, tasks)| Heartbeat {
            machine: "host-000001".into(),
            addr: "10.1.0.1:9000".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            agent_epoch,
            seq,
            token,
            notice_s,
            tasks,
        })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn generated_messages_round_trip(spec in spec(), heartbeat in heartbeat()) {
        prop_assert!(spec.check().is_ok());
        prop_assert_eq!(&wire::decode::<JobSpec>(&wire::encode(&spec)).unwrap(), &spec);
        prop_assert_eq!(&wire::decode::<Heartbeat>(&wire::encode(&heartbeat)).unwrap(), &heartbeat);
        let ask = peer::PeerRequest::Cancel { job: spec.id.clone() };
        prop_assert_eq!(peer::decode::<peer::PeerRequest>(&peer::encode(&ask)).unwrap(), ask);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_refused_within_their_length(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = wire::decode::<JobSpec>(&bytes);
        let _ = wire::decode::<Heartbeat>(&bytes);
        let _ = peer::decode::<peer::PeerRequest>(&bytes);
        let _ = http::parse_response(&bytes, 1000, true);
        if let Ok(Some((request, used))) = http::parse_request(&bytes, 100) {
            prop_assert!(used <= bytes.len() && request.body.len() <= 100);
        }
    }

    /// A truncated body is refused and never decoded as another message; a truncated HTTP request needs more bytes.
    #[test]
    fn truncated_messages_are_not_decoded(spec in spec(), cut in 0.0f64..1.0) {
        let body = wire::encode(&spec);
        let at = (body.len() as f64 * cut) as usize;
        prop_assert!(wire::decode::<JobSpec>(&body[..at]).is_err());
        let mut bytes = Vec::new();
        http::write_request(&mut bytes, "h", "POST", "/work", &body);
        let at = (bytes.len() as f64 * cut) as usize;
        prop_assert_eq!(http::parse_request(&bytes[..at], BODY_LIMIT), Ok(None));
        let (request, used) = http::parse_request(&bytes, BODY_LIMIT).unwrap().unwrap();
        prop_assert_eq!((used, request.body), (bytes.len(), body));
    }

    #[test]
    fn decoding_with_one_changed_byte_does_not_panic(spec in spec(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut body = wire::encode(&spec);
        let at = at.index(body.len());
        body[at] = byte;
        if let Ok(read) = wire::decode::<JobSpec>(&body) {
            let _ = read.check();
        }
    }

    #[test]
    fn task_ranges_round_trip_and_are_merged(set in proptest::collection::btree_set(0u32..400, 0..300)) {
        let short = ranges(set.iter().copied());
        prop_assert!(short.windows(2).all(|w| w[0].0 + w[0].1 < w[1].0), "adjacent ranges are merged");
        prop_assert_eq!(unrange(&short).collect::<BTreeSet<_>>(), set);
    }

    /// The state service limits the length of a value in JSON. If a bound were too low, it would refuse whole
    /// transactions.
    #[test]
    fn record_lengths_stay_within_their_bounds(team in ".{0,20}", name in "[a-z0-9-]{1,40}", kind in ".{0,20}", job in any::<u32>(),
                                  on in proptest::collection::vec(any::<(u32, u32)>(), 1..40), attempt in any::<u64>(),
                                  amounts in any::<(f64, f64, f64)>()) {
        let job = format!("job-{job:018}");
        let finite = |x: f64| if x.is_finite() { x } else { 1e300 };
        let claims = ClaimsRecord { job: job.clone(), team: team.clone(), cores: finite(amounts.0), gpus: finite(amounts.1),
            mem_gb: finite(amounts.2), attempt, on: on.iter().map(|(t, n)| (name.clone(), *t, *n)).collect(),
            county: Some(name.clone()), alone: true };
        let done = DoneRecord { job: job.clone(), tasks: on.iter().map(|(t, n)| (t % 100_000, n % 100_001)).collect() };
        let (most, county) = (u64::MAX, name.clone());
        let ended = county::Delta { county, class: team.clone(), done: most, cancelled: most, tasks: most };
        let log = LogRecord { claims: vec![claims], done: vec![done], ended: vec![ended] };
        let bound = 64 + county::Delta::frame(&name, &team) + ClaimsRecord::county(&name) + ClaimsRecord::frame(&job, &team) + on.len() * ClaimsRecord::entry(&name)
            + DoneRecord::frame(&job) + on.len() * DoneRecord::ENTRY;
        let long = serde_json::to_vec(&log).expect("JSON").len();
        prop_assert!(long <= bound);
        let kinds = on.iter().map(|_| KindRecord { machine_type: kind.clone(), zone: kind.clone(), spot: false,
            machines: vec![(name.clone(), attempt)] }).collect();
        let bound = 16 + on.len() * KindRecord::entry(&name, &kind, &kind);
        let long = serde_json::to_vec(&InventoryRecord { kinds }).expect("JSON").len();
        prop_assert!(long <= bound);
    }

    #[test]
    fn task_names_round_trip_and_other_text_is_refused(id in 0u64..1_000_000, n in any::<u32>(), other in "[ -~]{0,30}") {
        let job = format!("job-{id:06}");
        let name = ids::task_name(&job, n);
        prop_assert_eq!(ids::parse_task(&name), Some((job.as_str(), n)));
        if let Some((j, n)) = ids::parse_task(&other) {
            prop_assert_eq!(ids::task_name(j, n), other);
        }
    }

    #[test]
    fn chunked_response_bodies_are_joined(parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..50), 0..6)) {
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for p in &parts {
            bytes.extend_from_slice(format!("{:x}\r\n", p.len()).as_bytes());
            bytes.extend_from_slice(p);
            bytes.extend_from_slice(b"\r\n");
        }
        prop_assert_eq!(http::parse_response(&bytes, 1000, false), Ok(None));
        bytes.extend_from_slice(b"0\r\n\r\n");
        let (response, used) = http::parse_response(&bytes, 1000, false).unwrap().unwrap();
        prop_assert_eq!((response.body, used), (parts.concat(), bytes.len()));
    }
}

/// Nodes of earlier versions send only a status in a refusal, and ignore the other fields that newer ones send.
#[test]
fn peer_refusals_are_compatible_with_versions_without_a_reason() {
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    enum OlderResponse {
        Refused { status: u16 },
    }
    let old: peer::PeerResponse =
        peer::decode(&peer::encode(&OlderResponse::Refused { status: 422 })).expect("read");
    assert_eq!(old, peer::PeerResponse::refused(422, ""));
    let new = peer::PeerResponse::refused(400, &"é".repeat(500));
    let bytes = peer::encode(&new);
    assert_eq!(
        peer::decode::<OlderResponse>(&bytes).expect("read"),
        OlderResponse::Refused { status: 400 }
    );
    assert!(
        bytes.len() < peer::MAX_WHY + 50 && peer::decode::<peer::PeerResponse>(&bytes) == Ok(new)
    );
}

/// Limits that the field types do not enforce. `submissions.rs` covers the encoded values that a body may have.
#[test]
fn out_of_range_job_fields_are_refused_by_name() {
    let good = valid_spec();
    assert!(good.check().is_ok());
    type Change = fn(&mut JobSpec);
    let cases: [(&str, Change); 7] = [
        ("nameId", |s| s.id = "task-1".into()),
        ("nameId", |s| s.id = "job-1/2".into()),
        ("pieces", |s| s.tasks = 0),
        ("pieces", |s| s.tasks = MAX_TASKS + 1),
        ("gpus", |s| s.gpus = f64::NAN),
        ("cores", |s| s.cores = f64::INFINITY),
        ("expectS", |s| s.estimate_s = -1.0),
    ];
    for (field, change) in cases {
        let mut bad = good.clone();
        change(&mut bad);
        assert_eq!(bad.check().map_err(|f| f.field), Err(field));
    }
}

fn valid_spec() -> JobSpec {
    JobSpec {
        id: "job-000001".into(),
        class: "c".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Low,
        tasks: 1,
        cores: 1.0,
        gpus: 0.0,
        mem_gb: 1.0,
        image: "i".into(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// Unknown fields are ignored, null fields may be omitted, and integers are accepted as amounts. A missing field or a
/// wrong type is an error, and a huge declared length allocates nothing.
#[test]
fn job_spec_decoding_follows_the_protocol() {
    #[derive(serde::Serialize)]
    struct Extra {
        #[serde(flatten)]
        spec: std::collections::BTreeMap<String, rmp_value::Value>,
    }
    mod rmp_value {
        #[derive(serde::Serialize, Clone)]
        #[serde(untagged)]
        pub enum Value {
            Text(&'static str),
            Int(i64),
            Bool(bool),
            Deep(Vec<Value>),
        }
    }
    use rmp_value::Value::*;
    let fields = [
        ("nameId", Text("job-000007")),
        ("lot", Text("c")),
        ("desk", Text("t")),
        ("shape", Text("group")),
        ("urgency", Text("high")),
        ("pieces", Int(4)),
        ("cores", Int(8)),
        ("gpus", Int(1)),
        ("ramGb", Int(64)),
        ("kit", Text("img")),
        ("pullGb", Int(6)),
        ("together", Bool(true)),
        ("spread", Bool(false)),
        ("loaners", Bool(true)),
        ("expectS", Int(240)),
        ("bookmarkS", Int(30)),
        ("stashS", Int(4)),
    ];
    let map = |skip: &str| Extra {
        spec: fields
            .iter()
            .filter(|(n, _)| *n != skip)
            .map(|(n, v)| ((*n).to_owned(), v.clone()))
            .collect(),
    };
    let mut whole = map("");
    whole.spec.insert("novel".into(), Deep(vec![Int(1)]));
    let spec: JobSpec = wire::decode(&wire::encode(&whole)).expect("well formed");
    assert_eq!(
        (spec.tasks, spec.cores, spec.deadline_s, spec.kind),
        (4, 8.0, None, Kind::Gang)
    );
    for (name, _) in &fields {
        assert!(
            wire::decode::<JobSpec>(&wire::encode(&map(name))).is_err(),
            "{name} is required"
        );
    }
    let mut wrong = map("");
    wrong.spec.insert("pieces".into(), Int(-1));
    assert!(wire::decode::<JobSpec>(&wire::encode(&wrong)).is_err());
    let mut deep = Int(1);
    for _ in 0..5000 {
        deep = Deep(vec![deep]);
    }
    wrong.spec.insert("novel".into(), deep.clone());
    assert!(
        wire::decode::<JobSpec>(&wire::encode(&wrong)).is_err(),
        "deep nesting is refused"
    );
    std::mem::forget(deep);
    // A list that declares 2^32 - 1 entries.
    assert!(wire::decode::<Heartbeat>(&[0xdd, 0xff, 0xff, 0xff, 0xff]).is_err());
}

#[test]
fn oversized_and_malformed_heads_get_their_status() {
    let parse =
        |text: &str| http::parse_request(text.as_bytes(), 100).map_err(http::FramingError::status);
    assert_eq!(
        parse("POST /work HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
        Err(413)
    );
    assert_eq!(
        parse("POST /work HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n"),
        Err(413)
    );
    assert_eq!(
        parse("POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        Err(400)
    );
    assert_eq!(
        parse("POST /work HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        Err(400)
    );
    assert_eq!(
        parse("POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Err(411)
    );
    assert_eq!(parse("nonsense\r\n\r\n"), Err(400));
    assert_eq!(
        parse(&format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000))),
        Err(431)
    );
    let many: String = (0..60).map(|i| format!("h{i}: x\r\n")).collect();
    assert_eq!(parse(&format!("GET / HTTP/1.1\r\n{many}\r\n")), Err(431));
    assert_eq!(parse("GET / HTTP/1.1\r\nHost: x\r\n"), Ok(None));
    let chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n";
    let response = http::parse_response(chunk, 1000, false).map_err(http::FramingError::status);
    assert_eq!(response, Err(502));
}

/// The records of the quota tree in the state service, and operators' requests about it.
mod quota_trees {
    use proptest::prelude::*;
    use quota::{Amounts, NodeSpec, Spec, TeamSpec};
    use std::collections::BTreeMap;
    use wire::tree::{FORMAT, HISTORY, Head, HeadRecord, Past, join, split};

    prop_compose! {
        fn tree()(nodes in prop::collection::vec(("[a-zé\"]{1,40}", 0.0f64..1e6), 0..60), teams in prop::collection::vec("[a-z]{1,40}", 0..60)) -> Spec {
            let amounts = |v: f64| Amounts::from([("gpus".to_owned(), v)]);
            Spec {
                nodes: nodes.iter().map(|(name, v)| NodeSpec { guarantee: amounts(*v), ..NodeSpec::new(name, None) }).collect(),
                teams: teams.iter().map(|t| TeamSpec::new(t, Some("n"))).collect(),
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

        /// Each part fits into one value, and together they give the same tree. The error names a part that is missing
        /// or damaged.
        #[test]
        fn tree_is_reassembled_from_its_parts(spec in tree(), bytes in 400usize..4000, hit in any::<prop::sample::Index>()) {
            let parts = split(&spec, bytes).expect("each entry fits");
            for (_, part) in &parts {
                prop_assert!(serde_json::to_vec(part).expect("written").len() <= bytes);
            }
            let names: Vec<String> = parts.iter().map(|(name, _)| name.clone()).collect();
            let head = Head { format: FORMAT, version: 3, parts: names.clone(), history: vec![] };
            let all: BTreeMap<_, _> = parts.into_iter().collect();
            prop_assert_eq!(join(&head, &all).expect("whole"), spec);
            if !names.is_empty() {
                let name = hit.get(&names);
                let mut less = all.clone();
                less.remove(name);
                prop_assert!(join(&head, &less).expect_err("missing").contains(name.as_str()));
                let mut damaged = all.clone();
                damaged.entry(name.clone()).and_modify(|p| p.teams.push(TeamSpec::new("stranger", None)));
                prop_assert!(join(&head, &damaged).expect_err("damaged").contains(name.as_str()));
            }
            let later = Head { format: FORMAT + 1, ..head };
            prop_assert!(join(&later, &all).expect_err("from the future").contains("later version"));
        }

        /// A head always fits into one value: the oldest changes are dropped from its history, the newest is kept.
        #[test]
        fn tree_heads_stay_within_the_value_limit(words in prop::collection::vec(".{0,300}", 1..40), parts in 0usize..20, bytes in 2000usize..8000) {
            let mut head = Head::default();
            let parts: Vec<String> = (0..parts).map(|i| format!("{i:024}")).collect();
            for (i, what) in words.iter().enumerate() {
                let past = Past::new(i as u64 + 1, &format!("id-{i}"), 0, what, what);
                head = head.next(parts.clone(), past, bytes).expect("fits");
                let size = serde_json::to_vec(&HeadRecord { quota: head.clone() }).expect("written").len();
                prop_assert!(size <= bytes, "{} of {}", size, bytes);
                prop_assert_eq!(head.version, i as u64 + 1);
                let id = format!("id-{i}");
                prop_assert!(head.made(&id).is_some() && head.history.len() <= HISTORY);
            }
            let many: Vec<String> = (0..1000).map(|i| format!("{i:024}")).collect();
            prop_assert!(head.next(many, Past::default(), bytes).is_err());
        }

        /// Decoding an operator's request never panics, neither on arbitrary bytes nor on a request with one changed
        /// byte.
        #[test]
        fn decoding_operator_requests_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>(), put in any::<u8>()) {
            let _ = wire::admin::decode::<wire::admin::Ask>(&bytes);
            let mut good = br#"{"change":{"id":"a","by":"b","edit":{"move":{"name":"t","to":null}}}}"#.to_vec();
            prop_assert!(wire::admin::decode::<wire::admin::Ask>(&good).is_ok());
            let i = at.index(good.len());
            good[i] = put;
            let _ = wire::admin::decode::<wire::admin::Ask>(&good);
        }
    }
}
