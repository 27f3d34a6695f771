//! Cases for the heads and parts of documents: as their own records, and as the shared records that controllers watch.

use crate::records::{assert_decodes_as_shared, empty_shared_record, record};
use crate::{Case, encode, encoded_as, write_only};
use county::{Apart, CountySpec, Others};
use document::{Content, Head, Past};
use hours::{Agreement, Exception, Holiday, Release, Studio};
use quota::{Amounts, NodeSpec, Over, TeamSpec};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;
use wire::records::{HeadRecord, Record, SharedRecord};

/// A part of a document. It is encoded through a generic value, which determines the order of the fields, and decoded
/// as the type of its kind.
fn part<T>(file: &'static str, value: T) -> Case
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    let generic = serde_json::to_value(&value).expect("the part can be serialized");
    encoded_as(file, encode(file, &Record::Other(generic)), value)
}

pub fn cases() -> Vec<Case> {
    let head = |file, document| record(file, HeadRecord { document }, Record::Document);
    let quota_head = |file, quota| record(file, wire::tree::HeadRecord { quota }, Record::Quota);
    vec![
        head("document-head-least.msgpack", Head::default()),
        head("document-head-full.msgpack", head_full()),
        quota_head("quota-head-least.msgpack", Head::default()),
        quota_head("quota-head-full.msgpack", head_full()),
        part_names(),
        part("quota-part-least.msgpack", quota::Part::default()),
        part("quota-part-full.msgpack", quota_part()),
        part("counties-part-least.msgpack", county::Part::default()),
        part("counties-part-full.msgpack", counties_part()),
        part("hours-part-least.msgpack", hours::Spec::default()),
        part("hours-part-full.msgpack", hours_part()),
        part("models-part-least.msgpack", model::Spec::default()),
        part("models-part-full.msgpack", models_part()),
    ]
}

pub fn history_entry() -> Past {
    Past {
        version: 300,
        change: "0123456789abcdef".to_owned(),
        at_ms: 1_790_000_000_123,
        by: "ida".to_owned(),
        what: "node north: new, below the root".to_owned(),
    }
}

fn head_full() -> Head {
    Head {
        format: 1,
        version: 300,
        parts: vec![
            "b2770a2c7d1f9282cfd68b70".to_owned(),
            "93d9743831526e13ba740182".to_owned(),
        ],
        history: vec![history_entry(), Past::default()],
    }
}

pub fn gpus(units: f64) -> Amounts {
    Amounts::from([("gpus".to_owned(), units)])
}

fn quota_part() -> quota::Part {
    let full = NodeSpec {
        name: "film".to_owned(),
        parent: Some("north".to_owned()),
        guarantee: gpus(8.0),
        max: Amounts::from([("gpus".to_owned(), 12.5), ("cpus".to_owned(), 640.0)]),
        weight: 2.5,
        over: Over::LetEnd,
    };
    let team = TeamSpec {
        name: "comp".to_owned(),
        parent: Some("film".to_owned()),
        guarantee: Some(gpus(2.0)),
        weight: 0.5,
    };
    quota::Part {
        nodes: vec![NodeSpec::new("north", None), full],
        teams: vec![TeamSpec::new("fx", None), team],
    }
}

pub fn quota_spec() -> quota::Spec {
    let part = quota_part();
    quota::Spec {
        nodes: part.nodes,
        teams: part.teams,
    }
}

fn counties_part() -> county::Part {
    let names = |all: &[&str]| all.iter().map(|&n| n.to_owned()).collect::<Vec<_>>();
    let rule = county::Rule {
        teams: names(&["comp", "fx"]),
        desks: names(&["film"]),
        classes: names(&["render"]),
        zones: names(&["north"]),
        images: names(&["images/*"]),
        ids: names(&["job-1*"]),
    };
    let least = CountySpec {
        id: "rest".to_owned(),
        ..CountySpec::default()
    };
    let closed = CountySpec {
        id: "film".to_owned(),
        name: Some("Film".to_owned()),
        apart: Apart::Machine,
        zones: Vec::new(),
        closed: true,
        into: names(&["film-a", "rest"]),
        rules: vec![county::Rule::default()],
    };
    let full = CountySpec {
        id: "film-a".to_owned(),
        name: Some("Film A".to_owned()),
        apart: Apart::Zones,
        zones: names(&["north", "south"]),
        closed: false,
        into: Vec::new(),
        rules: vec![rule],
    };
    county::Part {
        others: Others::Refuse,
        counties: vec![least, closed, full],
    }
}

pub fn counties_spec() -> county::Spec {
    let part = counties_part();
    county::Spec {
        others: part.others,
        counties: part.counties,
    }
}

pub fn hours_part() -> hours::Spec {
    let text = str::to_owned;
    hours::Spec {
        studios: vec![
            Studio {
                name: text("lyon"),
                teams: Vec::new(),
                node: None,
                zone: text("Europe/Paris"),
                notice_min: 0,
            },
            Studio {
                name: text("oslo"),
                teams: vec![text("comp")],
                node: Some(text("north")),
                zone: text("Europe/Oslo"),
                notice_min: 90,
            },
        ],
        releases: vec![
            Release {
                studio: text("lyon"),
                class: None,
                at: vec![text("07:30")],
                days: Vec::new(),
                notice_min: None,
            },
            Release {
                studio: text("oslo"),
                class: Some(text("render")),
                at: vec![text("07:30"), text("18:00")],
                days: vec![text("mon"), text("fri")],
                notice_min: Some(15),
            },
        ],
        holidays: vec![
            Holiday {
                studio: None,
                dates: vec![text("2026-12-25")],
            },
            Holiday {
                studio: Some(text("lyon")),
                dates: vec![text("2026-07-14")],
            },
        ],
        exceptions: vec![
            Exception {
                studio: text("lyon"),
                class: None,
                date: text("2026-12-24"),
                at: Vec::new(),
            },
            Exception {
                studio: text("oslo"),
                class: Some(text("render")),
                date: text("2026-12-24"),
                at: vec![text("12:00")],
            },
        ],
        agreements: vec![Agreement {
            studio: text("oslo"),
            job: text("job-000412"),
            at: text("2026-12-24T18:00"),
        }],
    }
}

pub fn models_part() -> model::Spec {
    let full = model::Rule {
        name: "chat".to_owned(),
        class: Some("serve".to_owned()),
        team: Some("fx".to_owned()),
        jobs: vec!["job-9".to_owned()],
        least: 1,
        most: Some(4),
        idle_s: 900.0,
        wakes: 3,
        period_s: 7200.5,
        give_up_s: 600.0,
        keep_s: 60.0,
        begin: model::Begin::Asleep,
    };
    model::Spec {
        rules: vec![model::Rule::new("rest", 300.0), full],
    }
}

#[test]
fn document_heads_decode_as_shared_records() {
    let document = |head| SharedRecord {
        document: Some(head),
        ..empty_shared_record()
    };
    assert_decodes_as_shared("document-head-least.msgpack", document(Head::default()));
    assert_decodes_as_shared("document-head-full.msgpack", document(head_full()));
    assert_decodes_as_shared("quota-head-least.msgpack", document(Head::default()));
    assert_decodes_as_shared("quota-head-full.msgpack", document(head_full()));
}

/// The name of a part is a digest of its content. If the digests changed, the documents in force could not be assembled
/// from their stored parts.
fn part_names() -> Case {
    fn names<C: Content>(content: &C) -> Vec<String> {
        let parts = document::split(content, PART_BYTES).expect("each entry fits into a part");
        parts.into_iter().map(|(name, _)| name).collect()
    }
    let all = serde_json::json!({
        "quota": names(&quota_spec()),
        "counties": names(&counties_spec()),
        "hours": names(&hours_part()),
        "models": names(&models_part()),
    });
    write_only("part-names.json", &all, all.clone())
}

/// Small enough that most of the documents are split into more than one part.
const PART_BYTES: usize = 300;
