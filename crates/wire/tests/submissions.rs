//! Submissions with one invalid field, generated over fields and invalid values. Each is refused with an error that
//! names the field and keeps the job's id.

use proptest::prelude::*;
use serde_json::{Map, Value, json};
use wire::api::{MAX_TASKS, MAX_TYPES};
use wire::submission::{Fault, Malformed, read};

const ID: &str = "job-000412";

/// A valid submission with a value for each field.
fn valid_job() -> Map<String, Value> {
    let job = json!({
        "nameId": ID, "lot": "train", "desk": "vision", "shape": "group", "urgency": "high", "pieces": 16,
        "cores": 8.0, "gpus": 1.0, "ramGb": 64.0, "kit": "img-07", "pullGb": 6.2, "builds": ["g8"], "hall": null,
        "together": true, "spread": false, "loaners": true, "expectS": 240.0, "bookmarkS": 30.0, "stashS": 4.0,
        "dueS": 900.0
    });
    job.as_object().expect("a map").clone()
}

fn with(field: &str, value: Value) -> Map<String, Value> {
    let mut job = valid_job();
    job.insert(field.to_owned(), value);
    job
}

fn without(field: &str) -> Map<String, Value> {
    let mut job = valid_job();
    job.remove(field);
    job
}

fn read_job(job: &Map<String, Value>) -> Result<wire::api::JobSpec, Malformed> {
    read(&wire::encode(job))
}

/// Encodes a map of the given entries. Unlike in JSON, keys may repeat, and values may have any `MessagePack` type.
fn encode_map(entries: &[(Value, Vec<u8>)]) -> Vec<u8> {
    let n = u16::try_from(entries.len()).expect("few").to_be_bytes();
    let mut body = vec![0xde, n[0], n[1]];
    for (key, value) in entries {
        body.extend(wire::encode(key));
        body.extend(value);
    }
    body
}

fn entries(job: &Map<String, Value>) -> Vec<(Value, Vec<u8>)> {
    job.iter()
        .map(|(k, v)| (json!(k), wire::encode(v)))
        .collect()
}

/// A valid submission, except that the field has the given `MessagePack` bytes as its value.
fn with_bytes(field: &str, value: &[u8]) -> Vec<u8> {
    let mut all = entries(&valid_job());
    all.iter_mut()
        .filter(|(k, _)| k == field)
        .for_each(|(_, v)| *v = value.to_vec());
    encode_map(&all)
}

fn float(x: f64) -> Vec<u8> {
    [&[0xcb][..], &x.to_be_bytes()].concat()
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum FieldKind {
    Text,
    Word,
    Count,
    Amount,
    Flag,
    List,
}

const FIELDS: [(&str, FieldKind); 20] = [
    ("nameId", FieldKind::Text),
    ("lot", FieldKind::Text),
    ("desk", FieldKind::Text),
    ("shape", FieldKind::Word),
    ("urgency", FieldKind::Word),
    ("pieces", FieldKind::Count),
    ("cores", FieldKind::Amount),
    ("gpus", FieldKind::Amount),
    ("ramGb", FieldKind::Amount),
    ("kit", FieldKind::Text),
    ("pullGb", FieldKind::Amount),
    ("builds", FieldKind::List),
    ("hall", FieldKind::Text),
    ("together", FieldKind::Flag),
    ("spread", FieldKind::Flag),
    ("loaners", FieldKind::Flag),
    ("expectS", FieldKind::Amount),
    ("bookmarkS", FieldKind::Amount),
    ("stashS", FieldKind::Amount),
    ("dueS", FieldKind::Amount),
];
const OPTIONAL_FIELDS: [&str; 3] = ["builds", "hall", "dueS"];

/// Values that are invalid for a kind of field.
fn invalid_values(kind: FieldKind) -> Vec<Value> {
    let long = "x".repeat(121);
    let other = vec![json!({"a": 1}), json!({})];
    let own = match kind {
        FieldKind::Text => vec![
            json!(""),
            json!(long),
            json!(7),
            json!(true),
            json!([]),
            json!(["a"]),
            json!(1.5),
        ],
        FieldKind::Word => {
            vec![
                json!(""),
                json!("Array"),
                json!("unheard"),
                json!(0),
                json!(null),
                json!({"array": null}),
            ]
        }
        FieldKind::Count => {
            let most = u64::from(MAX_TASKS);
            vec![
                json!(0),
                json!(most + 1),
                json!(u64::MAX),
                json!(-1),
                json!(1.5),
                json!(16.0),
                json!("16"),
            ]
        }
        FieldKind::Amount => vec![
            json!(-0.1),
            json!(-1),
            json!(1e10),
            json!(u64::MAX),
            json!("4"),
            json!(true),
        ],
        FieldKind::Flag => vec![json!(0), json!(1), json!("true"), json!([]), json!(0.0)],
        FieldKind::List => {
            let many: Vec<String> = (0..=MAX_TYPES).map(|i| format!("g{i}")).collect();
            let lists = [
                json!([]),
                json!([""]),
                json!([long]),
                json!(["g8", "g8"]),
                json!(many),
            ];
            let mut all = vec![
                json!("g8"),
                json!(1),
                json!([1]),
                json!([null]),
                json!([["g8"]]),
            ];
            all.extend(lists);
            all
        }
    };
    own.into_iter().chain(other).collect()
}

/// Checks that the error names the field, and that it has the id unless the id itself is invalid.
fn check_refused(
    result: &Result<wire::api::JobSpec, Malformed>,
    field: &str,
) -> Result<(), TestCaseError> {
    let Err(Malformed { fault, id }) = result else {
        return Err(TestCaseError::fail("accepted"));
    };
    prop_assert_eq!(fault.field, field);
    prop_assert!(
        fault
            .to_string()
            .starts_with(&format!("invalid: {field}: ")),
        "{}",
        fault
    );
    prop_assert_eq!(id.as_deref(), (field != "nameId").then_some(ID));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// One field is invalid, the fields are in any order, and there is an unknown field.
    #[test]
    fn the_only_invalid_field_is_named(field in prop::sample::select(FIELDS.to_vec()), at in any::<prop::sample::Index>(),
                                       order in Just(()).prop_perturb(|(), mut r| r.next_u64()),
                                       unknown in "[a-z]{3,9}X") {
        let (field, kind) = field;
        let faults = invalid_values(kind);
        let mut job = with(field, faults[at.index(faults.len())].clone());
        job.insert(unknown, json!([{"deep": [1, {"x": null}]}, 2.5]));
        let mut all = entries(&job);
        let n = all.len();
        all.rotate_left((order % n as u64) as usize);
        check_refused(&read(&encode_map(&all)), field)?;
    }

    /// NaN, infinities and arbitrary floats in every field. Only amounts accept floats, and only within their limits.
    #[test]
    fn invalid_floats_are_refused_in_every_field(field in prop::sample::select(FIELDS.to_vec()), bits in any::<u64>()) {
        let (field, kind) = field;
        let x = f64::from_bits(bits);
        for x in [x, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::from_bits(bits | 0x7ff0 << 48)] {
            let is_valid = kind == FieldKind::Amount && (0.0..=1e9).contains(&x);
            let result = read(&with_bytes(field, &float(x)));
            if is_valid { prop_assert!(result.is_ok(), "{:?}", result) } else { check_refused(&result, field)?; }
        }
    }

    /// A body truncated anywhere is refused. The id is known if it was complete before the truncation.
    #[test]
    fn truncated_body_is_refused_and_its_id_kept(cut in 0.0f64..1.0, id_first in any::<bool>()) {
        let job = valid_job();
        let mut all = entries(&job);
        all.sort_by_key(|(k, _)| (k == "nameId") != id_first);
        let body = encode_map(&all);
        let at = (body.len() as f64 * cut) as usize;
        let Err(Malformed { fault, id }) = read(&body[..at]) else { return Err(TestCaseError::fail("accepted")) };
        prop_assert_eq!(fault.field, "body");
        let id_whole = 3 + wire::encode(&"nameId").len() + wire::encode(&ID).len();
        prop_assert_eq!(id.is_some(), id_first && at >= id_whole);
    }

    #[test]
    fn arbitrary_bytes_are_refused_with_a_message(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Err(Malformed { fault, .. }) = read(&bytes) {
            prop_assert!(!fault.field.is_empty() && !fault.why.is_empty());
        }
    }

    #[test]
    fn body_with_one_changed_byte_is_valid_or_refused(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut body = wire::encode(&valid_job());
        let at = at.index(body.len());
        body[at] = byte;
        if let Ok(spec) = read(&body) {
            prop_assert!(spec.check().is_ok());
        }
    }
}

/// Tries all combinations once, since the generators choose only some of them.
#[test]
fn every_invalid_value_of_every_field_is_refused_by_name() {
    let mut tried = 0;
    for (field, kind) in FIELDS {
        for value in invalid_values(kind) {
            check_refused(&read_job(&with(field, value.clone())), field)
                .unwrap_or_else(|e| panic!("{field} {value}: {e}"));
            tried += 1;
        }
        for (what, job) in [
            ("left out", without(field)),
            ("null", with(field, Value::Null)),
        ] {
            let result = read_job(&job);
            if OPTIONAL_FIELDS.contains(&field) {
                assert!(result.is_ok(), "{field} {what}: {result:?}");
            } else {
                check_refused(&result, field).unwrap_or_else(|e| panic!("{field} {what}: {e}"));
                let missing = result.expect_err("refused").fault;
                assert_eq!(
                    missing,
                    Fault {
                        why: "missing",
                        ..missing
                    }
                );
            }
        }
        // Binary, an extension type, and text that is not UTF-8.
        for bytes in [&[0xc4, 1, 7][..], &[0xd4, 5, 9], &[0xa2, 0xff, 0xfe]] {
            check_refused(&read(&with_bytes(field, bytes)), field)
                .unwrap_or_else(|e| panic!("{field}: {e}"));
        }
        let mut duplicated = entries(&valid_job());
        duplicated.push((json!(field), wire::encode(&valid_job()[field])));
        check_refused(&read(&encode_map(&duplicated)), field)
            .unwrap_or_else(|e| panic!("{field} twice: {e}"));
    }
    assert!(tried > 150, "{tried}");
}

/// Amounts may be encoded as integers of any width and as 32-bit floats; counts as integers of any width.
#[test]
fn numbers_of_any_width_are_accepted() {
    for (bytes, value) in [
        (&[4][..], 4.0),
        (&[0xcf, 0, 0, 0, 0, 0, 0, 0, 4], 4.0),
        (&[0xd0, 4], 4.0),
    ] {
        assert_eq!(
            read(&with_bytes("ramGb", bytes)).expect("an amount").mem_gb,
            value
        );
        assert_eq!(
            read(&with_bytes("pieces", bytes)).expect("a count").tasks,
            4
        );
    }
    let half = [&[0xca][..], &0.5f32.to_be_bytes()].concat();
    assert_eq!(
        read(&with_bytes("gpus", &half)).expect("an amount").gpus,
        0.5
    );
    assert!(read(&with_bytes("cores", &float(-0.0))).is_ok());
}

/// Values equal to a limit are accepted; job ids just beyond their limits are refused.
#[test]
fn values_at_their_limits_are_accepted() {
    let long = "x".repeat(120);
    let most: Vec<String> = (0..MAX_TYPES).map(|i| format!("g{i}")).collect();
    for (field, value) in [
        ("pieces", json!(1)),
        ("pieces", json!(MAX_TASKS)),
        ("lot", json!(long)),
        ("builds", json!(most)),
        ("cores", json!(0)),
        ("dueS", json!(1e9)),
        ("nameId", json!("job-0")),
        ("nameId", json!("job-123456789012345678")),
    ] {
        assert!(
            read_job(&with(field, value.clone())).is_ok(),
            "{field} {value}"
        );
    }
    for id in [
        "job-",
        "job-1234567890123456789",
        "job-1x",
        "Job-1",
        "job-1/0",
        " job-1",
        "job-١",
    ] {
        check_refused(&read_job(&with("nameId", json!(id))), "nameId")
            .unwrap_or_else(|e| panic!("{id}: {e}"));
    }
}

/// Guards against a fault of earlier versions: a list was decoded as a map by the position of its entries, and numbers
/// as enum variants by their index.
#[test]
fn only_a_map_with_text_keys_is_a_submission() {
    let list = Value::Array(valid_job().into_iter().map(|(_, v)| v).collect());
    let by_number: Vec<(Value, Vec<u8>)> = FIELDS
        .iter()
        .enumerate()
        .map(|(i, (f, _))| (json!(i), wire::encode(&valid_job()[*f])))
        .collect();
    let bodies = [
        Vec::new(),
        wire::encode(&list),
        wire::encode(&json!(null)),
        wire::encode(&json!("job-000412")),
        encode_map(&by_number),
        vec![0xc1],
        // A map and a list that declare 2^32 - 1 entries.
        vec![0xdf, 0xff, 0xff, 0xff, 0xff],
        vec![0xdd, 0xff, 0xff, 0xff, 0xff],
        serde_json::to_vec(&valid_job()).expect("JSON"),
    ];
    for body in bodies {
        let Err(Malformed { fault, id }) = read(&body) else {
            panic!("accepted: {body:?}")
        };
        assert_eq!((fault.field, id), ("body", None), "{body:?}");
    }
    let mut more = wire::encode(&valid_job());
    more.push(0xc0);
    let Err(Malformed { fault, id }) = read(&more) else {
        panic!("accepted")
    };
    assert_eq!(
        (fault, id.as_deref()),
        (Fault::body("has bytes after the map"), Some(ID))
    );
}

/// Nesting is limited long before the stack overflows, in known and unknown fields. An id before the nested field is
/// kept.
#[test]
fn deep_nesting_is_refused_and_the_id_kept() {
    for field in ["novel", "builds", "lot"] {
        let mut deep = vec![0x91; 60_000];
        deep.push(0xc0);
        let body = encode_map(&[(json!("nameId"), wire::encode(&ID)), (json!(field), deep)]);
        let Err(Malformed { fault, id }) = read(&body) else {
            panic!("accepted")
        };
        assert_eq!((fault.field, id.as_deref()), ("body", Some(ID)), "{field}");
    }
    // Long lists are not nested and are accepted.
    let mut all = entries(&valid_job());
    let wide = [&[0xdd, 0, 0, 0xea, 0x60][..], &vec![0xc0; 60_000]].concat();
    all.push((json!("novel"), wide));
    assert!(read(&encode_map(&all)).is_ok());
}
