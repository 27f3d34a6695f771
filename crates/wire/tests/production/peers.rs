//! Cases for the requests and responses between controllers.

use crate::messages::{heartbeat_least, orders_full, orders_least};
use crate::records::{spec_full, spec_least};
use crate::{Case, DecodeResult, encode, message, recorded_bytes};
use serde_bytes::ByteBuf;
use wire::api::{JobState, Stage};
use wire::models::ModelStatus;
use wire::peer::{LeaseDelegation, PeerRequest, PeerResponse, PeerStatus};

fn job() -> String {
    "job-000412".to_owned()
}

pub fn cases() -> Vec<Case> {
    let mut all = requests();
    all.extend(responses());
    all
}

/// The case of a request. Its file name begins with the outer name of the variant. The exhaustive match is a
/// reminder that a new variant needs a case.
fn request(file: &'static str, value: PeerRequest) -> Case {
    let name = match value {
        PeerRequest::Query { .. } => "ask-query",
        PeerRequest::Cancel { .. } => "ask-cancel",
        PeerRequest::Submit { .. } => "ask-submit",
        PeerRequest::Lookup { .. } => "ask-lookup",
        PeerRequest::Leads { .. } => "ask-owns",
        PeerRequest::PeerStatus(_) => "ask-view",
        PeerRequest::Reports { .. } => "ask-reports",
        PeerRequest::Command { .. } => "ask-tell",
        PeerRequest::Wake { .. } => "ask-wake",
    };
    assert!(file.starts_with(name), "{file}");
    message(file, value)
}

/// The case of a response. Its file name begins with the outer name of the variant. The exhaustive match is a
/// reminder that a new variant needs a case.
fn response(file: &'static str, value: PeerResponse) -> Case {
    let name = match value {
        PeerResponse::State(_) => "answer-state",
        PeerResponse::Accepted(_) => "answer-accepted",
        PeerResponse::Refused { .. } => "answer-refused",
        PeerResponse::Unknown => "answer-unknown",
        PeerResponse::NotNow => "answer-not-now",
        PeerResponse::PeerStatus(_) => "answer-view",
        PeerResponse::Orders(_) => "answer-orders",
        PeerResponse::CommandResult { .. } => "answer-told",
        PeerResponse::Model(_) => "answer-model",
    };
    assert!(file.starts_with(name), "{file}");
    message(file, value)
}

fn requests() -> Vec<Case> {
    let submit = |spec| PeerRequest::Submit {
        spec: Box::new(spec),
    };
    let wake = |leader| PeerRequest::Wake {
        model: "job-9".to_owned(),
        leader,
    };
    let lookup = |past_leader| PeerRequest::Lookup {
        job: job(),
        past_leader,
    };
    let reports = |reports| PeerRequest::Reports {
        node: "b".to_owned(),
        reports,
    };
    let report = ByteBuf::from(wire::encode(&heartbeat_least()));
    vec![
        request("ask-query.cbor", PeerRequest::Query { job: job() }),
        request("ask-cancel.cbor", PeerRequest::Cancel { job: job() }),
        request("ask-submit-least.cbor", submit(spec_least())),
        request("ask-submit-full.cbor", submit(spec_full())),
        request("ask-lookup.cbor", lookup(false)),
        request("ask-lookup-past-owner.cbor", lookup(true)),
        request(
            "ask-owns.cbor",
            PeerRequest::Leads {
                node: "a".to_owned(),
                token: 70_000,
            },
        ),
        request(
            "ask-view-least.cbor",
            PeerRequest::PeerStatus(peer_status_least()),
        ),
        request(
            "ask-view-full.cbor",
            PeerRequest::PeerStatus(peer_status_full(None)),
        ),
        request("ask-reports-none.cbor", reports(Vec::new())),
        request(
            "ask-reports.cbor",
            reports(vec![report, ByteBuf::from([0x00, 0xff])]),
        ),
        request(
            "ask-tell.cbor",
            PeerRequest::Command {
                machine: "m-1".to_owned(),
                addr: "10.0.0.7:4000".to_owned(),
                body: ByteBuf::from(wire::encode(&orders_full())),
            },
        ),
        request("ask-wake.cbor", wake(false)),
        request("ask-wake-owner.cbor", wake(true)),
    ]
}

fn responses() -> Vec<Case> {
    let delegation = |except| LeaseDelegation { token: 17, except };
    let except = vec!["m-1".to_owned(), "m-2".to_owned()];
    let command_result = |status, body| PeerResponse::CommandResult { status, body };
    let orders = ByteBuf::from(wire::encode(&orders_least()));
    let model = |status| PeerResponse::Model(Box::new(status));
    vec![
        response("answer-state.cbor", PeerResponse::State(job_state())),
        response(
            "answer-accepted.cbor",
            PeerResponse::Accepted(job_state_least()),
        ),
        response("answer-refused-least.cbor", PeerResponse::refused(503, "")),
        response(
            "answer-refused-full.cbor",
            PeerResponse::refused(422, "invalid: pieces: missing"),
        ),
        response("answer-unknown.cbor", PeerResponse::Unknown),
        response("answer-not-now.cbor", PeerResponse::NotNow),
        response(
            "answer-view-least.cbor",
            PeerResponse::PeerStatus(peer_status_least()),
        ),
        response(
            "answer-view-full.cbor",
            PeerResponse::PeerStatus(peer_status_full(Some(delegation(except)))),
        ),
        response(
            "answer-view-keep-all.cbor",
            PeerResponse::PeerStatus(peer_status_full(Some(delegation(Vec::new())))),
        ),
        response("answer-orders-none.cbor", PeerResponse::Orders(Vec::new())),
        response(
            "answer-orders.cbor",
            PeerResponse::Orders(vec![orders, ByteBuf::new()]),
        ),
        response(
            "answer-told-least.cbor",
            command_result(503, ByteBuf::new()),
        ),
        response(
            "answer-told-full.cbor",
            command_result(200, ByteBuf::from([0x80, 0xff])),
        ),
        response("answer-model-least.cbor", model(model_status_least())),
        response("answer-model-full.cbor", model(model_status_full())),
    ]
}

pub fn job_state_least() -> JobState {
    JobState {
        id: job(),
        stage: Stage::Pending,
        done: 0,
        running: 0,
    }
}

pub fn job_state() -> JobState {
    JobState {
        id: job(),
        stage: Stage::Running,
        done: 300,
        running: 70_000,
    }
}

fn peer_status_least() -> PeerStatus {
    PeerStatus {
        node: "a".to_owned(),
        state_ms: None,
        token: None,
        leads: None,
        leads_from: None,
        hears_no_agents: false,
        down: false,
        spreads: false,
        delegation: None,
    }
}

fn peer_status_full(delegation: Option<LeaseDelegation>) -> PeerStatus {
    PeerStatus {
        node: "b".to_owned(),
        state_ms: Some(250),
        token: Some(18),
        leads: Some(17),
        leads_from: None,
        hears_no_agents: true,
        down: true,
        spreads: true,
        delegation,
    }
}

pub fn model_status_least() -> ModelStatus {
    ModelStatus {
        model: "job-9".to_owned(),
        phase: model::Phase::Awake,
        generation: 1,
        since_ms: 1_790_000_000_123,
        due_ms: None,
        why: None,
        not_before_ms: None,
    }
}

pub fn model_status_full() -> ModelStatus {
    ModelStatus {
        model: "job-9".to_owned(),
        phase: model::Phase::Asleep,
        generation: 300,
        since_ms: 1_790_000_000_123,
        due_ms: Some(1_790_000_090_000),
        why: Some(model::Why::Backoff { failed: 2 }),
        not_before_ms: Some(1_790_000_120_123),
    }
}

/// A controller of an older version refuses a message that it does not know, and does not take it for another one.
#[test]
fn unknown_requests_and_responses_are_refused() {
    let newer = [
        serde_json::json!({"Newer": {"job": "job-1"}}),
        serde_json::json!({"Newer": null}),
        serde_json::json!("Newer"),
    ];
    for unknown in newer {
        let bytes = encode("ask.cbor", &unknown);
        assert!(
            wire::peer::decode::<PeerRequest>(&bytes).is_err(),
            "{unknown}"
        );
        assert!(
            wire::peer::decode::<PeerResponse>(&bytes).is_err(),
            "{unknown}"
        );
    }
}

/// Unlike in `MessagePack` bodies, where they are refused. So a newer version may append data to a message.
#[test]
fn bytes_after_a_message_are_ignored() {
    for case in cases() {
        let mut bytes = recorded_bytes(case.file);
        bytes.push(0xf6);
        assert_eq!((case.check)(&bytes), DecodeResult::Same, "{}", case.file);
    }
}

#[test]
fn peer_path_is_as_in_production() {
    assert_eq!(wire::peer::PATH, "/peer");
}
