//! Rejected documents, and the transitions of a model over time.

use model::{DemandDecision, OwnerView, Phase, Rec, Rule, Why, decide_demand, file};

const DOC: &str = r#"
[[model]]
name = "chat"
class = "serve"
team = "assistants"
most = 2
idle_s = 60
wakes = 2
period_s = 600

[[model]]
name = "one"
jobs = ["job-000001"]
least = 1
idle_s = 60
"#;

#[test]
fn invalid_documents_are_rejected_with_line_and_field() {
    let parsed = file::parse(DOC).expect("readable");
    assert_eq!(parsed.spec.check(Some(&["assistants".to_owned()])), Ok(()));
    let all_faults = |text: &str| {
        let parsed = file::parse(text).expect("readable");
        let faults = parsed
            .spec
            .check(Some(&["assistants".to_owned()]))
            .err()
            .unwrap_or_default();
        parsed
            .locate(faults)
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    let faults_after = |from: &str, to: &str| all_faults(&DOC.replace(from, to)).join("; ");
    let cases = [
        (
            "\"assistants\"",
            "\"strangers\"",
            "line 2: model \"chat\".team: no team \"strangers\"",
        ),
        (
            "least = 1",
            "least = 2\nmost = 1",
            "line 11: model \"one\".least: 2 is greater than `most`, 1",
        ),
        ("most = 2", "most = 0", "model \"chat\".most"),
        ("wakes = 2", "wakes = 99", "model \"chat\".wakes"),
        (
            "idle_s = 60\nwakes",
            "idle_s = 0\nwakes",
            "model \"chat\".idle_s",
        ),
        (
            "idle_s = 60\nwakes",
            "idle_s = nan\nwakes",
            "model \"chat\".idle_s",
        ),
        ("\"one\"", "\"chat\"", "another rule has this name"),
        (
            "jobs = [\"job-000001\"]",
            "class = \"serve\"\nteam = \"assistants\"",
            "never used",
        ),
        (
            "jobs = [\"job-000001\"]",
            "jobs = [\"job-1\", \"job-1\"]",
            "is already listed by",
        ),
        (
            "jobs = [\"job-000001\"]",
            "",
            "every standing job would be a model",
        ),
    ];
    for (from, to, expected) in cases {
        let faults = faults_after(from, to);
        assert!(faults.contains(expected), "{to}: {faults}");
    }
    let unknown = file::parse(&DOC.replace("most = 2", "mots = 2")).expect_err("an unknown field");
    assert!(
        unknown[0].line == Some(6) && unknown[0].what.contains("mots"),
        "{unknown:?}"
    );
}

fn wake(rec: &Rec, rule: &Rule, now_ms: u64) -> Rec {
    match decide_demand(rec, rule, 4, "n", now_ms) {
        DemandDecision::Wake(rec) => *rec,
        other => panic!("{other:?}"),
    }
}

fn next(rec: &Rec, rule: &Rule, now_ms: u64, seen: (u32, u32, u64)) -> Option<Rec> {
    let (claimed, running, quiet_ms) = seen;
    rec.next_record(
        rule,
        4,
        "n",
        now_ms,
        &OwnerView {
            claimed,
            running,
            quiet_ms,
            near: vec!["m".into(); 20],
        },
    )
}

/// A model is woken, becomes idle, goes to sleep and is woken again up to its limit. Further demand is refused until
/// the period is over.
#[test]
fn model_is_woken_at_most_wakes_times_per_period() {
    let rule = file::parse(DOC).expect("readable").spec.rules.remove(0);
    let mut rec = wake(&Rec::new(), &rule, 1000);
    assert_eq!(
        (rec.phase, rec.generation, rec.replicas(&rule, 4)),
        (Phase::Waking, 1, 2)
    );
    assert_eq!(
        decide_demand(&rec, &rule, 4, "n", 1001),
        DemandDecision::Follow
    );
    assert_eq!(next(&rec, &rule, 2000, (1, 0, 0)), None);
    rec = next(&rec, &rule, 3000, (2, 1, 0)).expect("a replica runs");
    assert_eq!((rec.phase, rec.near.len()), (Phase::Awake, 8));
    // Time without demand counts only from the moment at which the model became awake.
    assert_eq!(next(&rec, &rule, 4000, (2, 2, 500_000)), None);
    assert_eq!(
        next(&rec, &rule, 100_000, (2, 2, 74_000)),
        None,
        "the owner waits a quarter longer than the idle time, within which nodes report demand again"
    );
    let touched = rec.with_demand_at(90_000).expect("awake");
    assert_eq!(
        next(&touched, &rule, 100_000, (2, 2, 90_000)),
        None,
        "demand that could not be reported to the owner"
    );
    rec = next(&rec, &rule, 100_000, (2, 2, 75_000)).expect("idle");
    assert_eq!((rec.phase, rec.replicas(&rule, 4)), (Phase::Leaving, 0));
    assert_eq!(
        next(&rec, &rule, 100_001, (1, 0, 0)),
        None,
        "one replica may still run"
    );
    rec = next(&rec, &rule, 101_000, (0, 0, 0)).expect("proved gone");
    assert_eq!(rec.phase, Phase::Asleep);
    rec = wake(&rec, &rule, 102_000);
    assert_eq!((rec.generation, rec.wakes.len()), (2, 2));
    rec = Rec {
        phase: Phase::Asleep,
        ..rec
    };
    let too_often = DemandDecision::NotNow {
        why: Why::TooOften,
        until_ms: 601_000,
    };
    assert_eq!(decide_demand(&rec, &rule, 4, "n", 103_000), too_often);
    assert_eq!(wake(&rec, &rule, 601_000).wakes, [102_000, 601_000]);
}

#[test]
fn failed_wakes_back_off_exponentially() {
    let rule = Rule {
        give_up_s: 100.0,
        period_s: 1.0,
        ..Rule::new("m", 60.0)
    };
    let (mut rec, mut now, mut waits) = (Rec::new(), 0, Vec::new());
    for _ in 0..4 {
        rec = wake(&rec, &rule, now);
        assert_eq!(next(&rec, &rule, now + 99_000, (4, 0, 0)), None);
        now += 100_000;
        rec = next(&rec, &rule, now, (4, 0, 0)).expect("given up");
        rec = next(&rec, &rule, now, (0, 0, 0)).expect("gone");
        assert!(matches!(
            decide_demand(&rec, &rule, 4, "n", now),
            DemandDecision::NotNow {
                why: Why::Backoff { .. },
                ..
            }
        ));
        waits.push(rec.not_before_ms - now);
        now = rec.not_before_ms;
    }
    assert_eq!(waits, [60_000, 120_000, 240_000, 480_000]);
    rec = next(&wake(&rec, &rule, now), &rule, now + 1, (4, 1, 0)).expect("up");
    assert_eq!((rec.failed, rec.not_before_ms), (0, 0));
}

#[test]
fn model_at_its_least_replicas_is_asleep() {
    let rule = Rule {
        least: 1,
        ..Rule::new("m", 60.0)
    };
    let rec = Rec {
        phase: Phase::Leaving,
        wanted: 4,
        ..Rec::new()
    };
    assert_eq!(rec.replicas(&rule, 4), 1);
    assert_eq!(next(&rec, &rule, 1000, (2, 1, 0)), None);
    assert_eq!(
        next(&rec, &rule, 1000, (1, 1, 0)).map(|r| r.phase),
        Some(Phase::Asleep)
    );
}

#[test]
fn deployed_example_is_valid() {
    let parsed =
        file::parse(include_str!("../../../deploy/models-example.toml")).expect("readable");
    assert_eq!(
        (parsed.spec.check(None), parsed.spec.rules.len()),
        (Ok(()), 2)
    );
}
