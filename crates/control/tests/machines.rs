//! What a leader does with machines that answer commands but send no heartbeats, that hang, or whose messages arrive
//! early or late.

mod scripted;

use scripted::{ScriptedAnswer, ScriptedNode, ScriptedWorker, SentRequest, WORKER_CONN};
use serde_json::json;

const SILENT_MS: u64 = 7000;
const LEASE_MS: u64 = 30_000;

/// Lets `ms` pass in which the worker can open no connection and sends no heartbeat, while commands reach it. Returns
/// the number of starts that it was sent.
fn run_without_heartbeats(p: &mut ScriptedNode, worker: &mut ScriptedWorker, ms: u64) -> usize {
    let mut starts = 0;
    p.run(ms, &mut |sent| {
        if sent.is_to(&worker.name) {
            starts += sent.order_count("start");
        }
        worker.answer_command(sent)
    });
    starts
}

fn job_stage(p: &mut ScriptedNode, job: &str) -> String {
    p.client_request(1, "GET", &format!("/work/{job}"));
    p.last_response(1)["stage"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// A worker that could open no connection still answered commands, so it kept getting new tasks. All were killed when
/// its lease expired, since commands do not renew it.
#[test]
fn machine_without_heartbeats_gets_no_tasks_late_in_its_lease() {
    let mut p = ScriptedNode::new();
    let mut worker = p.become_leader_with_machine();
    assert_eq!(
        run_without_heartbeats(&mut p, &mut worker, SILENT_MS),
        3,
        "tasks start while its last heartbeat is recent"
    );
    assert_eq!(job_stage(&mut p, "job-000001"), "running");
    // Another job arrives; the machine has room for it.
    p.add_live_job("job-000002");
    assert_eq!(
        run_without_heartbeats(&mut p, &mut worker, LEASE_MS - SILENT_MS),
        0,
        "nothing starts late in the lease"
    );
    worker.expire_lease();
    let mut returned = false;
    let mut starts = 0;
    p.run(12_000, &mut |sent| {
        starts += sent.order_count("start");
        returned |= sent.path == "/machines/delete";
        worker.answer_command(sent)
    });
    assert_eq!(starts, 0, "nothing starts in its next agent epoch");
    assert_eq!(
        job_stage(&mut p, "job-000001"),
        "pending",
        "the leader learns that its tasks have ended"
    );
    assert!(returned, "the machine is returned once no task is on it");
}

/// The leader soon learns that tasks on a machine without heartbeats have ended with its agent epoch.
#[test]
fn machine_without_heartbeats_is_asked_for_its_tasks() {
    let mut p = ScriptedNode::new();
    let mut worker = p.become_leader_with_machine();
    run_without_heartbeats(&mut p, &mut worker, SILENT_MS + 2000);
    assert_eq!(job_stage(&mut p, "job-000001"), "running");
    worker.expire_lease();
    run_without_heartbeats(&mut p, &mut worker, 3000);
    assert_eq!(job_stage(&mut p, "job-000001"), "pending");
}

/// A start in the answer to a heartbeat counts as in flight until the next heartbeat. When a worker sent no more
/// heartbeats and showed its next agent epoch in answers to commands, such tasks were never taken as ended, and their
/// room never became free.
#[test]
fn unacknowledged_starts_end_with_the_agent_epoch() {
    let mut p = ScriptedNode::new();
    let mut worker = p.become_leader_with_machine();
    let starts = p.run_until_sent("the first starts", |s| s.order_count("start") > 0);
    p.add_live_job("job-000002");
    p.run(2500, &mut |_| None);
    worker.apply_orders(&starts.command_body().expect("a command"));
    let report = worker.next_heartbeat();
    p.reply(&starts, 200, report);
    let answer = worker.send_heartbeat(&mut p);
    assert!(
        answer.to_string().contains("job-000002"),
        "the other starts go with an answer: {answer}"
    );
    worker.expire_lease();
    run_without_heartbeats(&mut p, &mut worker, SILENT_MS + 3000);
    assert_eq!(job_stage(&mut p, "job-000002"), "pending");
    assert_eq!(worker.tasks.len(), 0);
    let mut returned = false;
    p.run(10_000, &mut |sent| {
        returned |= sent.path == "/machines/delete";
        worker.answer_command(sent)
    });
    assert!(returned, "the machine is returned once no task is on it");
}

/// Claims recorded for a machine that meanwhile stopped answering are withdrawn if nothing was sent for them.
#[test]
fn claims_never_sent_are_withdrawn() {
    let mut p = ScriptedNode::new();
    p.become_leader_with_machine();
    let starts = p.run_until_sent("the first starts", |s| s.order_count("start") > 0);
    p.add_live_job("job-000002");
    // The claims are recorded while a command that is never answered is in flight, so the state of the machine is
    // unknown.
    p.run(2500, &mut |_| None);
    p.leave_unanswered(&starts);
    let mut other = ScriptedWorker::new("host-000002");
    other.send_heartbeat(&mut p);
    let mut started = 0;
    for _ in 0..8 {
        p.run(3000, &mut |s| {
            started += if s.is_to("host-000002") {
                s.order_count("start")
            } else {
                0
            };
            // Commands to the first machine stay unanswered, and so do requests to the cloud.
            other
                .answer_command(s)
                .or_else(|| s.is_to("host-000001").then_some(ScriptedAnswer::NoReply))
        });
        let body = other.next_heartbeat();
        let answer = p.heartbeat(&body);
        started += answer.to_string().matches("\"start\"").count();
        other.apply_orders(&answer);
    }
    assert_eq!(
        started, 3,
        "the three tasks of the second job, for which nothing was sent"
    );
}

/// A machine hung while its job was cancelled, and the stop order was lost. The next command to it stops the tasks
/// first.
#[test]
fn first_contact_after_a_hang_stops_cancelled_tasks() {
    let mut p = ScriptedNode::new();
    let mut worker = p.become_leader_with_machine();
    run_without_heartbeats(&mut p, &mut worker, 1500);
    let old = worker.next_heartbeat();
    let newer = worker.next_heartbeat();
    p.heartbeat(&newer);
    p.client_request(2, "POST", "/work/job-000001/cancel");
    let lost = |s: &SentRequest| s.is_to("host-000001").then_some(ScriptedAnswer::NoReply);
    p.run(500, &mut |s| lost(s));
    assert_eq!(p.last_response(2)["stage"], "cancelled");
    // An outdated heartbeat: its worker may still wait for the answer, which renews the lease.
    let answer = p.heartbeat(&old);
    assert!(
        answer.to_string().contains("\"stop\""),
        "the answer renews the lease without stop orders: {answer}"
    );
    let mut first = None;
    p.run(SILENT_MS + 2000, &mut |s| {
        if s.is_to("host-000001") && first.is_none() {
            first = Some(s.order_count("stop"));
        }
        lost(s)
    });
    assert_eq!(first, Some(3), "the next command has the stop orders");
}

/// While the state service refused its reads, a new leader repeated the same read as fast as the refusals arrived, and
/// used up the request budget of all nodes.
#[test]
fn recovery_pauses_after_a_refused_read() {
    let mut p = ScriptedNode::new();
    let take = p.campaign();
    p.reply(&take, 200, json!({"ledger": 12}));
    let mut asked = 0;
    p.run(3000, &mut |s| {
        let page = s.path.starts_with("/keys?under=live/");
        asked += u32::from(page);
        page.then(|| ScriptedAnswer::Reply(503, json!({"error": "trouble"})))
    });
    assert!((5..=30).contains(&asked), "read {asked} times in 3 s");
}

/// A machine was lost while its inventory shard was being written, and another took its place in memory. The second was
/// taken to be in the record, and got tasks of which the next leader would not have known.
#[test]
fn machine_in_a_reused_place_is_not_taken_as_recorded() {
    let mut p = ScriptedNode::new();
    p.become_leader();
    ScriptedWorker::new("host-000001").send_heartbeat(&mut p);
    let inventory_shard =
        p.run_until_sent("the inventory shard", |s| s.writes_below("part/0/rack/"));
    let list = p.run_until_sent("a list of the machines", |s| {
        s.path.starts_with("/machines?")
    });
    let failed = json!({"nameId": "host-000001", "addr": "10.1.0.1:9000", "build": "g8", "hall": "a", "loaners": false,
        "stage": "failed", "ageS": 9.0});
    p.reply(&list, 200, json!({"burrows": [failed], "more": false}));
    let delete = p.run_until_sent("returns the machine", |s| s.path == "/machines/delete");
    p.reply(&delete, 200, json!({}));
    let mut second = ScriptedWorker::new("host-000002");
    second.send_heartbeat(&mut p);
    // So many jobs are accepted by other nodes that this node may write almost nothing for a while.
    for i in 2..140 {
        p.add_live_job(&format!("job-{i:06}"));
    }
    p.reply(&inventory_shard, 200, json!({"ledger": 500}));
    second.send_heartbeat(&mut p);
    let (mut recorded, mut early) = (false, Vec::new());
    p.run(6000, &mut |s| {
        let text: serde_json::Value = wire::decode(&s.body).unwrap_or_default();
        let names = |under: &str| {
            let writes = text["writes"].as_array().into_iter().flatten();
            let mut writes =
                writes.filter(|w| w["write"].as_str().is_some_and(|k| k.starts_with(under)));
            s.path == "/txn" && writes.any(|w| w.to_string().contains("host-000002"))
        };
        recorded |= names("part/0/rack/");
        if names("part/0/log/") && !recorded {
            early.push(text.to_string());
        }
        second.answer_command(s)
    });
    assert!(recorded, "the machine is recorded in the end");
    assert!(
        early.is_empty(),
        "claims on the machine before it is recorded: {early:?}"
    );
    assert!(p.responses.iter().any(|(c, _, _)| *c == WORKER_CONN));
}
