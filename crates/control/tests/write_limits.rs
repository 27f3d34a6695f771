//! A node whose settings name smaller, upcoming limits of the state service.

mod node_harness;

use node_harness::{NodeHarness, job_spec};
use serde_json::{Value, json};
use wire::settings::NextGiven;

fn node_with_upcoming_limits() -> NodeHarness {
    let mut p = NodeHarness::with(|settings| {
        settings.cluster.state.next = Some(NextGiven {
            rps: None,
            write_rps: Some(20.0),
            value_kb: Some(1.75),
            txn_ops: Some(5),
        });
    });
    p.learn_shared_state_with_types("burrow-1");
    p.now += 1000;
    p.step(control::Event::Tick);
    p
}

fn machine_type_names(n: usize) -> Value {
    let mut names = vec!["g8".to_owned()];
    names.extend((0..n).map(|i| format!("a-type-with-a-long-name-of-its-own-{i:04}")));
    json!(names)
}

fn response_text(p: &NodeHarness, conn: u64) -> String {
    let response = p.responses.iter().find(|t| t.0 == conn);
    let response = response.unwrap_or_else(|| panic!("not answered; outstanding: {:?}", p.sent));
    let body: Value = wire::decode(&response.2).expect("a decodable body");
    format!(
        "{} {}",
        response.1,
        body["error"].as_str().unwrap_or_default()
    )
}

/// A job whose record fits the current limits but not the upcoming ones is refused permanently, in a transaction
/// guarded by the job's absence, and the error names the field.
#[test]
fn job_too_large_for_upcoming_limits_is_refused() {
    let escaped = || json!("\u{1}".repeat(120));
    let cases = [
        ("builds", vec![("builds", machine_type_names(60))]),
        (
            "lot",
            vec![("lot", escaped()), ("kit", json!("\u{1}".repeat(119)))],
        ),
        (
            "kit",
            vec![("kit", escaped()), ("lot", json!("\u{1}".repeat(119)))],
        ),
    ];
    for (field, values) in cases {
        let mut p = node_with_upcoming_limits();
        let mut spec = job_spec();
        for (name, value) in values {
            spec[name] = value;
        }
        p.client_request(1, "POST", "/work", wire::encode(&spec));
        let txn = p
            .take_sent(|s| s.path == "/txn")
            .expect("a guarded transaction");
        let body: Value = wire::decode(&txn.body).expect("a transaction");
        assert!(body.get("writes").is_none(), "{field}: nothing is written");
        p.reply(&txn, 200, wire::encode(&json!({"ledger": 40})));
        let response = response_text(&p, 1);
        assert!(
            response.starts_with("422") && response.contains(field),
            "{field}: {response}"
        );
    }
}

/// A job that was accepted under larger limits stays known, whatever is accepted now.
#[test]
fn repeat_of_a_larger_accepted_job_is_not_refused() {
    let mut p = node_with_upcoming_limits();
    let mut spec = job_spec();
    spec["builds"] = machine_type_names(60);
    p.client_request(1, "POST", "/work", wire::encode(&spec));
    let txn = p
        .take_sent(|s| s.path == "/txn")
        .expect("a guarded transaction");
    let failed = json!({"failed": ["live/job-000001"], "ledger": 40});
    p.reply(&txn, 409, wire::encode(&failed));
    p.run_without_answers(1500);
    assert_ne!(p.response_status(1), Some(422));
    assert_ne!(p.response_status(1), Some(400));
}

/// Without upcoming limits the same job is accepted.
#[test]
fn job_is_accepted_without_upcoming_limits() {
    let mut p = NodeHarness::new();
    p.learn_shared_state_with_types("burrow-1");
    p.now += 1000;
    p.step(control::Event::Tick);
    let mut spec = job_spec();
    spec["builds"] = machine_type_names(60);
    p.client_request(1, "POST", "/work", wire::encode(&spec));
    let txn = p.take_sent(|s| s.path == "/txn").expect("accepts");
    let body: Value = wire::decode(&txn.body).expect("a transaction");
    assert!(body.get("writes").is_some());
}
