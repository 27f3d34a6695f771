//! Machines that answer commands and report nothing, that hang, that come early or late: what one leader does with them.

mod scripted;

use scripted::{ScriptedAnswer, ScriptedNode, ScriptedWorker, SentRequest, WORKER_CONN};
use serde_json::json;

const SILENT_MS: u64 = 7000;
const LEASE_MS: u64 = 30_000;

/// Its worker can open no connection for so long, while commands reach it. Starts that it was sent.
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

/// A worker that could open no connection was heard by commands, so that it got new tasks all the time; each was killed
/// with its lease, which commands do not renew.
#[test]
fn machine_without_heartbeats_gets_no_tasks_late_in_its_lease() {
    let mut p = ScriptedNode::new();
    let mut worker = p.become_leader_with_machine();
    assert_eq!(
        run_without_heartbeats(&mut p, &mut worker, SILENT_MS),
        3,
        "its tasks begin while it has just reported"
    );
    assert_eq!(job_stage(&mut p, "job-000001"), "running");
    // Another job comes; the machine has room.
    p.add_live_job("job-000002");
    assert_eq!(
        run_without_heartbeats(&mut p, &mut worker, LEASE_MS - SILENT_MS),
        0,
        "nothing begins in the last of a lease"
    );
    worker.expire_lease();
    let mut returned = false;
    let mut starts = 0;
    p.run(12_000, &mut |sent| {
        starts += sent.order_count("start");
        returned |= sent.path == "/machines/delete";
        worker.answer_command(sent)
    });
    assert_eq!(starts, 0, "nor in its next session");
    assert_eq!(
        job_stage(&mut p, "job-000001"),
        "pending",
        "what became of its tasks is learnt"
    );
    assert!(returned, "it is given back once nothing is on it");
}

/// What became of tasks on a mute machine is learnt soon: their end, and that of the session.
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

/// A start in the answer to a report is under way until the next report. A worker that reports no more, and answers
/// commands, showed its next session: its tasks were never taken for gone, their room never for free.
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
        "the others go with an answer: {answer}"
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
    assert!(returned, "nothing is on it any more");
}

/// Claims that were recorded for a machine that fell mute meanwhile wait for nothing.
#[test]
fn claims_never_sent_are_withdrawn() {
    let mut p = ScriptedNode::new();
    p.become_leader_with_machine();
    let starts = p.run_until_sent("the first starts", |s| s.order_count("start") > 0);
    p.add_live_job("job-000002");
    // Recorded while a command is under way, which is never answered: a machine of which nothing is known.
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
            // What is asked of the first goes on without an answer, and so does the cloud.
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
        "the three of the second job, of which nothing was sent"
    );
}

/// A machine hung as its job was cancelled, and the stop was lost. The next that is asked of it stops the task first.
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
    // A report that was overtaken: its worker may wait for the answer, which renews.
    let answer = p.heartbeat(&old);
    assert!(
        answer.to_string().contains("\"stop\""),
        "an answer that renews without the stops: {answer}"
    );
    let mut first = None;
    p.run(SILENT_MS + 2000, &mut |s| {
        if s.is_to("host-000001") && first.is_none() {
            first = Some(s.order_count("stop"));
        }
        lost(s)
    });
    assert_eq!(first, Some(3), "what is asked next has the stops");
}

/// While the state service refused it, who had taken over asked for the same page again and again as fast as refusals
/// came, and used up what all nodes may ask.
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
    assert!((5..=30).contains(&asked), "{asked} times in 3 s");
}

/// A machine went while its inventory shard was being written, and another one took its place in memory: that one was taken to
/// stand in the record, and got tasks which the next leader would not have known of.
#[test]
fn machine_in_a_reused_place_is_not_taken_as_recorded() {
    let mut p = ScriptedNode::new();
    p.become_leader();
    ScriptedWorker::new("host-000001").send_heartbeat(&mut p);
    let inventory_shard = p.run_until_sent("its rack", |s| s.writes_below("part/0/rack/"));
    let list = p.run_until_sent("the machines", |s| s.path.starts_with("/machines?"));
    let failed = json!({"nameId": "host-000001", "addr": "10.1.0.1:9000", "build": "g8", "hall": "a", "loaners": false,
        "stage": "failed", "ageS": 9.0});
    p.reply(&list, 200, json!({"burrows": [failed], "more": false}));
    let delete = p.run_until_sent("gives it back", |s| s.path == "/machines/delete");
    p.reply(&delete, 200, json!({}));
    let mut second = ScriptedWorker::new("host-000002");
    second.send_heartbeat(&mut p);
    // So many are accepted elsewhere that this node may write next to nothing for a while.
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
    assert!(recorded, "it is recorded in the end");
    assert!(
        early.is_empty(),
        "claims on it before it stands in a rack: {early:?}"
    );
    assert!(p.responses.iter().any(|(c, _, _)| *c == WORKER_CONN));
}
