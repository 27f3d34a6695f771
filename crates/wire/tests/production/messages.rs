//! Cases for the messages to and from workers, users, the cloud and the state service, and their framing in HTTP.

use crate::peers::{job_state, job_state_least};
use crate::records::{catalog, spec_full, spec_least};
use crate::{Case, message, recorded_bytes, write_only};
use serde_json::json;
use wire::api::{
    Cause, Change, Changes, Condition, Conflict, ErrorBody, Grant, GrantRequest, Heartbeat,
    HireRequest, Item, JobState, Kind, ListedMachine, MachineList, MachineNames, Order, Orders,
    Priority, Range, Redirect, Revision, Stage, TaskStage, TaskStatus, Transaction, Write,
};
use wire::http::{self, Request, Response};
use wire::records::{LeaderRecord, Record, TokenRecord};

pub fn cases() -> Vec<Case> {
    let mut all = user_messages();
    all.extend(worker_messages());
    all.extend(cloud_messages());
    all.extend(state_service_messages());
    all
}

fn user_messages() -> Vec<Case> {
    let ended = |stage| JobState {
        stage,
        ..job_state_least()
    };
    let service = wire::api::JobSpec {
        kind: Kind::Service,
        priority: Priority::Normal,
        ..spec_least()
    };
    let high = wire::api::JobSpec {
        priority: Priority::High,
        ..spec_least()
    };
    let error = ErrorBody {
        error: "invalid: pieces: missing".to_owned(),
    };
    vec![
        message("user-submission-least.msgpack", spec_least()),
        message("user-submission-full.msgpack", spec_full()),
        message("user-submission-standing.msgpack", service),
        message("user-submission-high.msgpack", high),
        message("user-state-pending.msgpack", job_state_least()),
        message("user-state-running.msgpack", job_state()),
        message("user-state-done.msgpack", ended(Stage::Done)),
        message("user-state-cancelled.msgpack", ended(Stage::Cancelled)),
        message("user-error.msgpack", error),
    ]
}

fn worker_messages() -> Vec<Case> {
    let redirect = |to: Option<&str>| Redirect {
        report_to: to.map(str::to_owned),
    };
    vec![
        message("worker-report-least.msgpack", heartbeat_least()),
        message("worker-report-full.msgpack", heartbeat_full()),
        message("worker-orders-least.msgpack", orders_least()),
        message("worker-orders-full.msgpack", orders_full()),
        message("worker-redirect-least.msgpack", redirect(None)),
        message(
            "worker-redirect-full.msgpack",
            redirect(Some("10.0.0.1:80")),
        ),
    ]
}

pub fn heartbeat_least() -> Heartbeat {
    Heartbeat {
        machine: "m-1".to_owned(),
        addr: "10.0.0.7:4000".to_owned(),
        machine_type: "small".to_owned(),
        zone: "north".to_owned(),
        spot: false,
        agent_epoch: 1,
        seq: 0,
        token: 0,
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn heartbeat_full() -> Heartbeat {
    let task = |n: u32, stage, cause, saved| TaskStatus {
        task: format!("job-000412/{n}"),
        attempt: 1 << 33,
        stage,
        cause,
        saved,
    };
    let exited = |n, cause| task(n, TaskStage::Exited, Some(cause), None);
    Heartbeat {
        machine: "m-2".to_owned(),
        addr: "10.0.0.8:4000".to_owned(),
        machine_type: "big".to_owned(),
        zone: "south".to_owned(),
        spot: true,
        agent_epoch: 70_000,
        seq: 300,
        token: 17,
        notice_s: Some(29.5),
        tasks: vec![
            task(0, TaskStage::Fetching, None, None),
            task(1, TaskStage::Waiting, None, None),
            task(2, TaskStage::Running, None, None),
            task(3, TaskStage::Saving, None, Some(false)),
            task(4, TaskStage::Exited, Some(Cause::Stopped), Some(true)),
            exited(5, Cause::Done),
            exited(6, Cause::Peers),
            exited(7, Cause::Incomplete),
            exited(8, Cause::Error),
            exited(9, Cause::NoRoom),
            exited(10, Cause::Busy),
            exited(11, Cause::Unknown),
            exited(12, Cause::Other),
        ],
    }
}

pub fn orders_least() -> Orders {
    Orders {
        token: 0,
        agent_epoch: None,
        orders: Vec::new(),
    }
}

pub fn orders_full() -> Orders {
    let task = |n: u32| format!("job-000412/{n}");
    Orders {
        token: 17,
        agent_epoch: Some(70_000),
        orders: vec![
            Order::Start {
                task: task(0),
                attempt: 300,
            },
            Order::Stop {
                task: task(1),
                attempt: 2,
                grace_s: 30.0,
            },
            Order::Reap {
                task: task(2),
                attempt: 1 << 33,
            },
        ],
    }
}

fn cloud_messages() -> Vec<Case> {
    let rental = HireRequest {
        request: "hire-17".to_owned(),
        machine_type: "big".to_owned(),
        zone: "north".to_owned(),
        spot: true,
        count: 40,
    };
    let names = |names: &[&str]| MachineNames {
        machines: names.iter().map(|&n| n.to_owned()).collect(),
    };
    let listed = |addr: &str, age_s| ListedMachine {
        name: "m-1".to_owned(),
        addr: addr.to_owned(),
        machine_type: "big".to_owned(),
        zone: "north".to_owned(),
        spot: true,
        stage: "up".to_owned(),
        age_s,
    };
    let list = |machines, more| MachineList { machines, more };
    let machines = vec![listed("", 0.0), listed("10.0.0.7:4000", 12.5)];
    vec![
        message("cloud-catalog.msgpack", catalog()),
        message("cloud-hire.msgpack", rental),
        message("cloud-names-least.msgpack", names(&[])),
        message("cloud-names-full.msgpack", names(&["m-1", "m-2"])),
        message("cloud-list-least.msgpack", list(Vec::new(), false)),
        message("cloud-list-full.msgpack", list(machines, true)),
    ]
}

fn leader() -> LeaderRecord {
    LeaderRecord {
        node: "a".to_owned(),
        token: 17,
        lease: 5,
        incarnation: 0,
    }
}

fn item() -> Item<LeaderRecord> {
    Item {
        key: "sys/owner/0".to_owned(),
        value: leader(),
        version: 300,
    }
}

fn state_service_messages() -> Vec<Case> {
    let range = |items, more| Range {
        items,
        more,
        revision: 70_000,
    };
    let changes = |events| Changes::<LeaderRecord> {
        revision: 70_000,
        events,
    };
    let conflict = |failed: &[&str]| Conflict {
        failed: failed.iter().map(|&k| k.to_owned()).collect(),
    };
    let conditions_only = Transaction {
        conditions: vec![condition()],
        writes: Vec::new(),
    };
    vec![
        write_only(
            "state-txn-least.msgpack",
            &conditions_only,
            json!({"guards": [{"key": "sys/token", "stamp": 300}]}),
        ),
        write_only("state-txn-full.msgpack", &txn(), txn_as_json()),
        message("state-revision.msgpack", Revision { revision: 70_000 }),
        message("state-conflict-least.msgpack", conflict(&[])),
        message("state-conflict-full.msgpack", conflict(&["sys/token"])),
        message("state-item.msgpack", item()),
        message("state-range-least.msgpack", range(Vec::new(), false)),
        message("state-range-full.msgpack", range(vec![item()], true)),
        message("state-changes-least.msgpack", changes(Vec::new())),
        message("state-changes-full.msgpack", changes(events())),
        message(
            "state-grant-request.msgpack",
            GrantRequest { ttl_ms: 10_000 },
        ),
        message(
            "state-grant.msgpack",
            Grant {
                lease: 5_000_000_000,
            },
        ),
    ]
}

fn condition() -> Condition {
    Condition {
        key: "sys/token".to_owned(),
        version: 300,
    }
}

fn events() -> Vec<Change<LeaderRecord>> {
    vec![
        Change {
            put: Some("sys/owner/0".to_owned()),
            value: Some(leader()),
            remove: None,
            version: 300,
        },
        Change {
            put: None,
            value: None,
            remove: Some("sys/owner/0".to_owned()),
            version: 301,
        },
    ]
}

fn txn() -> Transaction {
    Transaction {
        conditions: vec![condition()],
        writes: vec![
            Write::put(
                "sys/token".to_owned(),
                Record::Token(TokenRecord { token: 17 }),
            ),
            Write::Put {
                key: "sys/owner/0".to_owned(),
                value: Box::new(Record::Leader(leader())),
                lease: Some(5),
            },
            Write::Remove {
                key: "part/0/log/0000000000000001".to_owned(),
            },
        ],
    }
}

fn txn_as_json() -> serde_json::Value {
    json!({
        "guards": [{"key": "sys/token", "stamp": 300}],
        "writes": [
            {"write": "sys/token", "v": {"token": 17}},
            {
                "write": "sys/owner/0",
                "v": {"node": "a", "token": 17, "lease": 5},
                "tenancy": 5,
            },
            {"remove": "part/0/log/0000000000000001"},
        ],
    })
}

#[test]
fn submissions_parse_to_the_job_specs_of_their_records() {
    let parse =
        |file| wire::submission::read(&recorded_bytes(file)).expect("the submission is valid");
    assert_eq!(parse("user-submission-least.msgpack"), spec_least());
    assert_eq!(parse("user-submission-full.msgpack"), spec_full());
}

/// Workers may run a newer version than controllers, with causes that the controllers do not know.
#[test]
fn unknown_cause_decodes_as_other() {
    let newer = json!({"piece": "job-1/0", "try": 1, "stage": "exited", "cause": "newer"});
    let report: TaskStatus = wire::decode(&wire::encode(&newer)).expect("the task status decodes");
    assert_eq!(report.cause, Some(Cause::Other));
}

#[test]
fn unknown_task_stages_and_orders_are_refused() {
    let stage = json!({"piece": "job-1/0", "try": 1, "stage": "newer"});
    assert!(wire::decode::<TaskStatus>(&wire::encode(&stage)).is_err());
    let order = json!({"verb": "newer", "piece": "job-1/0", "try": 1});
    assert!(wire::decode::<Order>(&wire::encode(&order)).is_err());
}

const GET: &str = "GET /v1/jobs/job-1 HTTP/1.1\r\nHost: state:80\r\n\r\n";
const POST: &str = "POST /peer HTTP/1.1\r\nHost: b:81\r\n\
    Content-Type: application/msgpack\r\nContent-Length: 2\r\n\r\nok";

#[test]
fn requests_are_framed_as_in_production() {
    let request = |method: &str, path: &str, body: &[u8]| Request {
        method: method.to_owned(),
        path: path.to_owned(),
        body: body.to_vec(),
        close: false,
    };
    let all = [
        (GET, "state:80", request("GET", "/v1/jobs/job-1", b"")),
        (POST, "b:81", request("POST", "/peer", b"ok")),
    ];
    for (text, host, expected) in all {
        let mut written = Vec::new();
        http::write_request(
            &mut written,
            host,
            &expected.method,
            &expected.path,
            &expected.body,
        );
        assert_eq!(String::from_utf8_lossy(&written), text);
        let read = http::parse_request(text.as_bytes(), wire::api::BODY_LIMIT);
        assert_eq!(read, Ok(Some((expected, text.len()))));
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\n\
    Content-Length: 2\r\n\r\nok";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/msgpack\r\n\
    Retry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

#[test]
fn responses_are_framed_as_in_production() {
    let ok = Response {
        status: 200,
        body: b"ok".to_vec(),
        close: false,
        retry_after_s: None,
    };
    let busy = Response {
        status: 503,
        body: Vec::new(),
        close: true,
        retry_after_s: Some(2),
    };
    for (text, expected) in [(OK, ok), (BUSY, busy)] {
        let mut written = Vec::new();
        http::write_response(&mut written, &expected);
        assert_eq!(String::from_utf8_lossy(&written), text);
        let read = http::parse_response(text.as_bytes(), wire::api::BODY_LIMIT, false);
        assert_eq!(read, Ok(Some((expected, text.len()))));
    }
}
