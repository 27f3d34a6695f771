//! Tests which county a job is bound to, and which documents are refused.

use county::{Counties, Job, Known, Unbound, differences, file, lost};
use document::{Content, Fault};
use std::collections::BTreeMap;

const FILE: &str = r#"
others = "refuse"
[[county]]
id = "special"
[[county.rule]]
ids = ["job-000007", "job-9*"]
[[county]]
id = "garissa"
name = "Garissa"
apart = "machine"
[[county.rule]]
teams = ["east"]
classes = ["forms"]
[[county.rule]]
images = ["scan-garissa-*"]
[[county]]
id = "nyeri"
apart = "zones"
zones = ["a"]
[[county.rule]]
desks = ["central"]
[[county]]
id = "kitui"
[[county.rule]]
zones = ["b"]
"#;

fn known() -> Known {
    let set = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    Known {
        teams: set(&["east", "west"]),
        zones: set(&["a", "b"]),
        desks: Some(set(&["central"])),
    }
}

fn build(text: &str) -> Result<Counties, Vec<Fault>> {
    let parsed = file::parse(text)?;
    Counties::build(&parsed.spec, &known()).map_err(|f| parsed.locate(f))
}

#[test]
fn first_matching_rule_decides() {
    let counties = build(FILE).expect("the document is valid");
    let job = Job {
        id: "job-000001",
        team: "west",
        class: "maps",
        image: "i",
        ..Job::default()
    };
    let bind = |job: Job<'_>| {
        counties
            .bind(&job)
            .map(|b| (b.county, b.alone, b.zones.join(",")))
    };
    let to = |county: &str, alone, zones: &str| Ok((county.to_owned(), alone, zones.to_owned()));
    assert_eq!(bind(job), Err(Unbound::NoCounty));
    assert_eq!(
        bind(Job {
            team: "east",
            ..job
        }),
        Err(Unbound::NoCounty),
        "a job must match all lists of a rule"
    );
    assert_eq!(
        bind(Job {
            team: "east",
            class: "forms",
            ..job
        }),
        to("garissa", true, "")
    );
    assert_eq!(
        bind(Job {
            image: "scan-garissa-3",
            zone: Some("b"),
            ..job
        }),
        to("garissa", true, "")
    );
    assert_eq!(
        bind(Job {
            id: "job-000007",
            team: "east",
            class: "forms",
            ..job
        }),
        to("special", false, "")
    );
    assert_eq!(
        bind(Job {
            id: "job-912",
            ..job
        }),
        to("special", false, "")
    );
    assert_eq!(
        bind(Job {
            desks: &["all", "central"],
            ..job
        }),
        to("nyeri", false, "a")
    );
    assert_eq!(
        bind(Job {
            desks: &["central"],
            zone: Some("b"),
            ..job
        }),
        Err(Unbound::ForeignZone)
    );
    assert_eq!(
        bind(Job {
            zone: Some("b"),
            ..job
        }),
        to("kitui", false, "")
    );
    let text = file::render(counties.spec()).expect("renders");
    assert_eq!(file::parse(&text).expect("parses").spec, *counties.spec());
}

/// The rule index finds the same county as trying all rules in order.
#[test]
fn rule_index_agrees_with_linear_search() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut name = |p: &str, n: u32| format!("{p}{}", rng.u32(..n));
    let mut text = String::new();
    for i in 0..300 {
        text += &format!("[[county]]\nid = \"c{i}\"\n[[county.rule]]\n");
        text += &format!("classes = [{:?}, {:?}]\n", name("k", 40), name("k", 40));
        if i % 2 == 0 {
            text += &format!(
                "images = [{:?}]\n",
                name("i", 30) + if i % 3 == 0 { "*" } else { "" }
            );
        }
        if i % 5 == 0 {
            text += &format!(
                "teams = [{:?}]\n",
                if i % 10 == 0 { "east" } else { "west" }
            );
        }
    }
    let spec = file::parse(&text).expect("parses").spec;
    // Shadowed rules are refused, so the counties that have them are removed first.
    let mut accepted = spec.clone();
    while let Err(faults) = Counties::build(&accepted, &known()) {
        let ids: Vec<String> = faults
            .iter()
            .filter_map(|f| f.path.split('"').nth(1).map(str::to_owned))
            .collect();
        accepted.counties.retain(|c| !ids.contains(&c.id));
    }
    assert!(accepted.counties.len() > 50);
    let counties = Counties::build(&accepted, &known()).expect("the document is valid");
    let matches_any = |l: &[String], n: &str| {
        l.is_empty()
            || l.iter()
                .any(|p| p.strip_suffix('*').map_or(p == n, |s| n.starts_with(s)))
    };
    for _ in 0..3000 {
        let (class, image) = (
            format!("k{}", rng.u32(..45)),
            format!("i{}", rng.u32(..300)),
        );
        let team = if rng.bool() { "east" } else { "west" };
        let first = accepted.counties.iter().find(|c| {
            let r = &c.rules[0];
            matches_any(&r.classes, &class)
                && matches_any(&r.images, &image)
                && matches_any(&r.teams, team)
        });
        let first = first.map_or(county::OTHER, |c| c.id.as_str());
        let job = Job {
            id: "job-1",
            team,
            class: &class,
            image: &image,
            ..Job::default()
        };
        assert_eq!(counties.bind(&job).map(|b| b.county).as_deref(), Ok(first));
    }
}

#[test]
fn invalid_documents_are_refused_with_line_and_path() {
    let fault_texts = |text: &str| match build(text) {
        Ok(_) => "accepted".to_owned(),
        Err(f) => f
            .iter()
            .map(Fault::to_string)
            .collect::<Vec<_>>()
            .join("; "),
    };
    let c = |rest: &str| format!("\n[[county]]\nid = \"x\"\n{rest}");
    let cases = [
        ("others = \"refuse\"".to_owned(), "others: without any rule"),
        (
            "other = 1".to_owned(),
            "line 1: file: unknown field `other`",
        ),
        (
            c("[[county.rule]]\nteams = [\"north\"]"),
            "line 2: county \"x\".rule[0].teams: no team \"north\"",
        ),
        (
            c("[[county.rule]]\nzones = [\"c\"]"),
            "rule[0].zones: no zone \"c\"",
        ),
        (
            c("[[county.rule]]\ndesks = [\"c\"]"),
            "rule[0].desks: no desk \"c\"",
        ),
        (c("[[county.rule]]\n"), "has no lists"),
        (c("[[county.rule]]\nids = [\"*\"]"), "not just \"*\""),
        (c("apart = \"zones\""), ".zones: must be set if"),
        (c("zones = [\"a\"]"), ".zones: must be set if"),
        (
            c("apart = \"zones\"\nzones = [\"a\"]\n[[county.rule]]\nzones = [\"b\"]"),
            "the county may not use any of these zones",
        ),
        (
            c("closed = true\n[[county.rule]]\nteams = [\"east\"]"),
            "a closed county must have no rules",
        ),
        (
            c("closed = true\ninto = [\"y\"]"),
            "no other county has the id \"y\"",
        ),
        (c(&c("")), "line 5: county \"x\": duplicate county id"),
        (c("").replace('x', "X y"), ".id: must be"),
        (
            c(
                "[[county.rule]]\nimages = [\"a*\"]\n[[county.rule]]\nimages = [\"ab*\", \"ac\"]\nteams = [\"east\"]",
            ),
            "county \"x\".rule[1]: never applies: county \"x\".rule[0]",
        ),
        (
            format!("others = \"{}\"", "x".repeat(file::MAX_FILE)),
            "bytes; at most",
        ),
        (
            (0..2001)
                .map(|i| format!("[[county]]\nid=\"c{i}\"\n"))
                .collect(),
            "2001 counties",
        ),
    ];
    for (text, why) in cases {
        let fault_text = fault_texts(&text);
        assert!(fault_text.contains(why), "{why:?} is not in {fault_text:?}");
    }
}

#[test]
fn county_is_removed_only_once_closed_and_without_jobs() {
    let spec = |text: &str| file::parse(text).expect("parses").spec;
    let open = spec(
        "[[county]]\nid = \"a\"\nname = \"A\"\n[[county.rule]]\nteams = [\"east\"]\n[[county]]\nid = \"b\"",
    );
    let closed = spec(
        "[[county]]\nid = \"a\"\nname = \"Ay\"\nclosed = true\ninto = [\"b\"]\n[[county]]\nid = \"b\"",
    );
    let removed = spec("[[county]]\nid = \"b\"");
    let live = BTreeMap::from([("a".to_owned(), 2)]);
    let none = BTreeMap::new();
    let faults = |old, new, live| {
        lost(old, new, live)
            .iter()
            .map(Fault::to_string)
            .collect::<String>()
    };
    assert!(faults(&open, &removed, &none).contains("close it first"));
    assert!(faults(&closed, &removed, &live).contains("2 jobs are bound to it"));
    assert_eq!(faults(&closed, &removed, &none), "");
    assert_eq!(faults(&open, &closed, &live), "");
    let changes = differences(&open, &closed, 10);
    assert_eq!(changes[0], "a: renamed from \"A\" to \"Ay\"");
    assert!(changes[1].contains("closed, split into b"), "{changes:?}");
}

/// Removing a team or a quota node that no longer exists also removes rules that name nothing else in that list, so
/// that no rule matches more jobs than before.
#[test]
fn rules_that_name_only_unknown_names_are_removed() {
    let spec = file::parse(FILE).expect("parses").spec;
    let reduced = Known {
        desks: Some(Default::default()),
        teams: ["west".to_owned()].into(),
        ..known()
    };
    let fitting = spec.fitting(&reduced);
    let counties = Counties::build(&fitting, &reduced).expect("the document is valid");
    let job = Job {
        id: "job-1",
        team: "east",
        class: "forms",
        desks: &["central"],
        image: "i",
        zone: None,
    };
    assert_eq!(counties.bind(&job), Err(Unbound::NoCounty));
}
