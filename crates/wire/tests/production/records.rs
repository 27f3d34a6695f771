//! Cases for the records in the state service, other than documents, and for the keys under which they are stored.

use crate::{Case, DecodeResult, decode, encode, encoded_as, recorded_bytes};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;
use wire::api::{Catalog, JobSpec, Kind, MachineType, Priority, Stage};
use wire::records::{
    AllotmentRecord, ClaimsRecord, CountedRecord, CountyRecord, DoneRecord, EndHourRecord,
    EndRecord, HourRecord, InventoryRecord, JobRecord, KindRecord, LeaderRecord, LogRecord,
    MovedRecord, Record, RentalRecord, SharedRecord, TeamAllotment, TokenRecord,
};

/// The beginning of the file names of a kind of record. The exhaustive match is a reminder that a new kind needs a
/// case.
fn file_prefix(record: &Record) -> &'static str {
    match record {
        Record::Leader(_) => "record-owner",
        Record::Token(_) => "record-token",
        Record::Job(_) => "record-job",
        Record::End(_) => "record-end",
        Record::Log(_) => "record-log",
        Record::InventoryShard(_) => "record-rack",
        Record::Rental(_) => "record-hire",
        Record::Tally(_) => "record-tally",
        Record::Catalog(_) => "record-catalog",
        Record::Allotment(_) => "record-allot",
        Record::Quota(_) => "quota-head",
        Record::Document(_) => "document-head",
        Record::Model(_) => "record-model",
        Record::Other(_) => "record-other",
    }
}

/// A record, encoded as a variant of `Record` and decoded as its own type.
pub fn record<T>(file: &'static str, value: T, kind: fn(T) -> Record) -> Case
where
    T: Serialize + DeserializeOwned + Clone + PartialEq + Debug + 'static,
{
    let record = kind(value.clone());
    assert!(file.starts_with(file_prefix(&record)), "{file}");
    let encoded = encode(file, &record);
    assert_eq!(encoded, encode(file, &value), "{file}");
    encoded_as(file, encoded, value)
}

pub fn cases() -> Vec<Case> {
    let job = |rec: JobRecord| Record::Job(Box::new(rec));
    vec![
        record("record-owner-least.msgpack", leader(0), Record::Leader),
        record("record-owner-full.msgpack", leader(3), Record::Leader),
        record(
            "record-token.msgpack",
            TokenRecord { token: 70_000 },
            Record::Token,
        ),
        record(
            "record-job-least.msgpack",
            JobRecord::new(spec_least(), 1_790_000_000_123, 0),
            job,
        ),
        record("record-job-full.msgpack", job_full(), job),
        record("record-job-agreed.msgpack", job_agreed(), job),
        record("record-end-least.msgpack", end_least(), Record::End),
        record("record-end-full.msgpack", end_full(), Record::End),
        record(
            "record-log-least.msgpack",
            LogRecord::default(),
            Record::Log,
        ),
        record("record-log-full.msgpack", log_full(), Record::Log),
        record(
            "record-rack-least.msgpack",
            InventoryRecord::default(),
            Record::InventoryShard,
        ),
        record(
            "record-rack-full.msgpack",
            inventory_full(),
            Record::InventoryShard,
        ),
        record("record-hire.msgpack", rental(), Record::Rental),
        record(
            "record-tally-least.msgpack",
            county::Sheet::default(),
            Record::Tally,
        ),
        record("record-tally-full.msgpack", tally_sheet(), Record::Tally),
        record(
            "record-catalog-least.msgpack",
            Catalog { types: Vec::new() },
            Record::Catalog,
        ),
        record("record-catalog-full.msgpack", catalog(), Record::Catalog),
        record(
            "record-allot-least.msgpack",
            allotment_least(),
            Record::Allotment,
        ),
        record(
            "record-allot-whole.msgpack",
            allotment_whole(),
            Record::Allotment,
        ),
        record(
            "record-allot-full.msgpack",
            allotment_full(),
            Record::Allotment,
        ),
        record(
            "record-model-least.msgpack",
            model::Rec::new(),
            Record::Model,
        ),
        record("record-model-waking.msgpack", model_waking(), Record::Model),
        record("record-model-full.msgpack", model_full(), Record::Model),
        record("record-model-awake.msgpack", model_awake(), Record::Model),
        record(
            "record-other.msgpack",
            serde_json::json!({"name": "a", "list": [1, -2, 2.5, true, null], "of": {"z": 1, "b": 2}}),
            Record::Other,
        ),
    ]
}

fn leader(incarnation: u64) -> LeaderRecord {
    LeaderRecord {
        node: "a".to_owned(),
        token: 17,
        lease: 5_000_000_000,
        incarnation,
    }
}

pub fn spec_least() -> JobSpec {
    JobSpec {
        id: "job-000412".to_owned(),
        class: "render".to_owned(),
        team: "comp".to_owned(),
        kind: Kind::Array,
        priority: Priority::Low,
        tasks: 1,
        cores: 0.5,
        gpus: 0.0,
        mem_gb: 2.0,
        image: "img".to_owned(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

pub fn spec_full() -> JobSpec {
    JobSpec {
        id: "job-7".to_owned(),
        class: "train".to_owned(),
        team: "fx".to_owned(),
        kind: Kind::Gang,
        priority: Priority::Production,
        tasks: 100_000,
        cores: 16.0,
        gpus: 8.0,
        mem_gb: 187.25,
        image: "images/tränen:2".to_owned(),
        image_gb: 12.5,
        types: Some(vec!["big".to_owned(), "small".to_owned()]),
        zone: Some("north".to_owned()),
        one_zone: true,
        spread: true,
        spot: true,
        estimate_s: 86_400.0,
        checkpoint_s: 600.0,
        save_s: 30.0,
        deadline_s: Some(3600.5),
    }
}

fn hour_record(moved: Option<MovedRecord>) -> HourRecord {
    HourRecord {
        due_ms: 1_790_003_600_000,
        version: 4,
        moved,
    }
}

pub fn moved_record() -> MovedRecord {
    MovedRecord {
        by: "ida".to_owned(),
        at_ms: 1_790_000_100_000,
        from_ms: 1_790_001_800_000,
    }
}

fn job_full() -> JobRecord {
    JobRecord {
        spec: spec_full(),
        at_ms: 1_790_000_000_123,
        shard: 2,
        hour: Some(hour_record(Some(moved_record()))),
        county: Some(CountyRecord {
            county: "film-a".to_owned(),
            version: 300,
            alone: true,
            zones: vec!["north".to_owned(), "south".to_owned()],
        }),
    }
}

/// A job with a release hour that was not moved, and a county that requires no separation from others.
fn job_agreed() -> JobRecord {
    let spec = JobSpec {
        kind: Kind::Service,
        priority: Priority::High,
        ..spec_least()
    };
    JobRecord {
        spec,
        at_ms: 0,
        shard: 0,
        hour: Some(hour_record(None)),
        county: Some(CountyRecord {
            county: "film-a".to_owned(),
            version: 1,
            alone: false,
            zones: Vec::new(),
        }),
    }
}

fn end_least() -> EndRecord {
    EndRecord {
        stage: Stage::Cancelled,
        done: 0,
        hour: None,
        county: None,
    }
}

fn end_full() -> EndRecord {
    EndRecord {
        stage: Stage::Done,
        done: 128,
        hour: Some(EndHourRecord {
            due_ms: 1_790_003_600_000,
            ended_ms: 1_790_003_599_999,
        }),
        county: Some(CountedRecord {
            county: "film-a".to_owned(),
            class: "render".to_owned(),
        }),
    }
}

fn log_full() -> LogRecord {
    let least = ClaimsRecord {
        job: "job-000412".to_owned(),
        team: "comp".to_owned(),
        cores: 0.5,
        gpus: 0.0,
        mem_gb: 2.0,
        attempt: 1,
        on: vec![("m-1".to_owned(), 0, 1)],
        county: None,
        alone: false,
    };
    let full = ClaimsRecord {
        job: "job-7".to_owned(),
        team: "fx".to_owned(),
        cores: 16.0,
        gpus: 8.0,
        mem_gb: 187.25,
        attempt: 1 << 40,
        on: vec![("m-1".to_owned(), 0, 4), ("m-2".to_owned(), 4, 70_000)],
        county: Some("film-a".to_owned()),
        alone: true,
    };
    LogRecord {
        claims: vec![least, full],
        done: vec![DoneRecord {
            job: "job-000412".to_owned(),
            tasks: vec![(0, 3), (99_999, 1)],
        }],
        ended: vec![delta_least(), delta_full()],
    }
}

fn delta_least() -> county::Delta {
    county::Delta {
        county: "(other)".to_owned(),
        class: "render".to_owned(),
        done: 0,
        cancelled: 0,
        tasks: 0,
    }
}

fn delta_full() -> county::Delta {
    county::Delta {
        county: "film-a".to_owned(),
        class: "train".to_owned(),
        done: 1,
        cancelled: 300,
        tasks: 1 << 33,
    }
}

fn tally_sheet() -> county::Sheet {
    county::Sheet {
        upto: 255,
        cells: vec![delta_least(), delta_full()],
    }
}

fn inventory_full() -> InventoryRecord {
    let kind = |machine_type: &str, spot, machines| KindRecord {
        machine_type: machine_type.to_owned(),
        zone: "north".to_owned(),
        spot,
        machines,
    };
    let machines = vec![("m-1".to_owned(), 1_790_000_000_123), ("m-2".to_owned(), 0)];
    InventoryRecord {
        kinds: vec![
            kind("big", true, machines),
            kind("small", false, Vec::new()),
        ],
    }
}

fn rental() -> RentalRecord {
    RentalRecord {
        machine_type: "big".to_owned(),
        zone: "north".to_owned(),
        spot: true,
        count: 40,
        at_ms: 1_790_000_000_123,
    }
}

pub fn catalog() -> Catalog {
    let least = MachineType {
        name: "small".to_owned(),
        cores: 4.0,
        gpus: 0.0,
        mem_gb: 16.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.0,
        spot_price: 0.0,
        boot_s: 0.0,
        zones: Vec::new(),
    };
    let full = MachineType {
        name: "big".to_owned(),
        cores: 96.0,
        gpus: 8.0,
        mem_gb: 768.5,
        cache_gb: 500.0,
        fetch_gb_per_s: 1.25,
        price: 32.77,
        spot_price: 9.83,
        boot_s: 90.0,
        zones: vec!["north".to_owned(), "south".to_owned()],
    };
    Catalog {
        types: vec![least, full],
    }
}

fn allotment_least() -> AllotmentRecord {
    AllotmentRecord {
        teams: Vec::new(),
        whole: None,
        tree: 0,
    }
}

fn allotment_whole() -> AllotmentRecord {
    AllotmentRecord {
        teams: Vec::new(),
        whole: Some("0123456789abcdef01234567".to_owned()),
        tree: 9,
    }
}

fn allotment_full() -> AllotmentRecord {
    let team = |name: &str, cpus_max, gpus_max| TeamAllotment {
        name: name.to_owned(),
        cpus_max,
        gpus_max,
    };
    AllotmentRecord {
        teams: vec![team("comp", 640.0, 0.0), team("fx", 0.0, 12.5)],
        whole: None,
        tree: 300,
    }
}

fn model_waking() -> model::Rec {
    model::Rec {
        phase: model::Phase::Waking,
        generation: 1,
        since_ms: 1_790_000_000_123,
        by: "a".to_owned(),
        wanted: 2,
        wakes: vec![1_790_000_000_123],
        ..model::Rec::new()
    }
}

fn model_full() -> model::Rec {
    model::Rec {
        phase: model::Phase::Leaving,
        generation: 300,
        since_ms: 1_790_000_000_123,
        by: "b".to_owned(),
        wanted: 4,
        asked_ms: 1_790_000_000_000,
        wakes: vec![1_789_999_000_000, 1_790_000_000_000],
        failed: 2,
        not_before_ms: 1_790_000_120_123,
        near: vec!["m-1".to_owned(), "m-2".to_owned()],
    }
}

fn model_awake() -> model::Rec {
    model::Rec {
        phase: model::Phase::Awake,
        failed: 0,
        not_before_ms: 0,
        ..model_full()
    }
}

/// A shared record without any of the fields that all controllers follow.
pub fn empty_shared_record() -> SharedRecord {
    SharedRecord {
        node: None,
        token: None,
        lease: None,
        incarnation: 0,
        document: None,
        types: None,
    }
}

pub fn assert_decodes_as_shared(file: &str, expected: SharedRecord) {
    assert_eq!(
        decode(file, &recorded_bytes(file)),
        Some(expected),
        "{file}"
    );
}

#[test]
fn shared_records_decode_without_knowing_their_kind() {
    let leader_with = |incarnation| SharedRecord {
        node: Some("a".to_owned()),
        token: Some(17),
        lease: Some(5_000_000_000),
        incarnation,
        ..empty_shared_record()
    };
    assert_decodes_as_shared("record-owner-least.msgpack", leader_with(0));
    assert_decodes_as_shared("record-owner-full.msgpack", leader_with(3));
    let token_record = SharedRecord {
        token: Some(70_000),
        ..empty_shared_record()
    };
    assert_decodes_as_shared("record-token.msgpack", token_record);
    let catalog_with = |c: Catalog| SharedRecord {
        types: Some(c.types),
        ..empty_shared_record()
    };
    assert_decodes_as_shared(
        "record-catalog-least.msgpack",
        catalog_with(Catalog { types: Vec::new() }),
    );
    assert_decodes_as_shared("record-catalog-full.msgpack", catalog_with(catalog()));
}

/// Thus a newer version may add kinds of shared records.
#[test]
fn shared_records_of_unknown_kinds_decode_as_empty() {
    let newer = wire::encode(&serde_json::json!({"newer": {"a": [1]}}));
    assert_eq!(wire::decode(&newer), Ok(empty_shared_record()));
    let not_a_map = wire::encode(&serde_json::json!("newer"));
    assert!(wire::decode::<SharedRecord>(&not_a_map).is_err());
}

#[test]
fn unknown_job_stage_is_refused() {
    let newer = wire::encode(&serde_json::json!({"stage": "newer", "done": 1}));
    assert!(wire::decode::<EndRecord>(&newer).is_err());
}

#[test]
fn trailing_byte_is_refused() {
    for case in cases() {
        let mut bytes = recorded_bytes(case.file);
        bytes.push(0xc0);
        assert_eq!((case.check)(&bytes), DecodeResult::Refused, "{}", case.file);
    }
}

#[test]
fn record_keys_are_as_in_production() {
    use wire::records as keys;
    let prefixes = [
        (keys::SHARED, "sys/"),
        (keys::TOKEN, "sys/token"),
        (keys::CATALOG, "sys/catalog"),
        (keys::LIVE, "live/"),
        (keys::ENDED, "end/"),
        (keys::QUOTA, "sys/quota"),
        (keys::QUOTA_PARTS, "quota/part/"),
        (keys::FRONTEND_PREFIX, "side/"),
        (keys::MODELS, "model/"),
    ];
    for (key, expected) in prefixes {
        assert_eq!(key, expected);
    }
    let built = [
        (keys::leader_key(0), "sys/owner/0"),
        (keys::leader_key(12), "sys/owner/12"),
        (keys::live_key("job-000412"), "live/job-000412"),
        (keys::end_key("job-000412"), "end/job-000412"),
        (keys::log_prefix(3), "part/3/log/"),
        (keys::log_key(3, 0), "part/3/log/0000000000000000"),
        (keys::log_key(3, 0xabc), "part/3/log/0000000000000abc"),
        (keys::log_key(0, u64::MAX), "part/0/log/ffffffffffffffff"),
        (keys::inventory_prefix(3), "part/3/rack/"),
        (keys::inventory_key(3, 20), "part/3/rack/20"),
        (keys::allotment_key(3), "part/3/allot"),
        (keys::tally_prefix(3), "part/3/tally/"),
        (keys::tally_key(3, 7), "part/3/tally/7"),
        (keys::rentals_prefix(3), "part/3/hire/"),
        (keys::model_key("job-9"), "model/job-9"),
        (keys::head_key("quota"), "sys/quota"),
        (keys::head_key("hours"), "sys/hours"),
        (keys::head_key("counties"), "sys/counties"),
        (keys::head_key("models"), "sys/models"),
        (keys::parts_prefix("quota"), "quota/part/"),
        (keys::parts_prefix("hours"), "hours/part/"),
    ];
    for (key, expected) in built {
        assert_eq!(key, expected);
    }
    assert_eq!(wire::ids::task_name("job-000412", 3), "job-000412/3");
}
