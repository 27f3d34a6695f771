//! Answers that are outdated by the time they are given: by what this node has answered meanwhile, by the end of the
//! job, or by a change of leader.

mod node_harness;

use control::Event;
use node_harness::{
    END_KEY, LEADER_KEY, LIVE_KEY, NodeHarness, SentRequest, job_spec, leader_with_one_job,
};
use serde_json::{Value, json};
use wire::api::{JobState, Stage};
use wire::peer::{PeerRequest, PeerResponse, decode, encode};

const JOB: &str = "job-000001";

fn job_state(stage: Stage) -> JobState {
    JobState {
        id: JOB.into(),
        stage,
        done: 0,
        running: 0,
    }
}

fn answered_with(stage: &str) -> Option<(u16, Option<String>)> {
    Some((200, Some(stage.into())))
}

impl NodeHarness {
    /// A follower that knows the leader and the machine types.
    fn follower() -> Self {
        let mut p = NodeHarness::new();
        p.learn_shared_state(Some("burrow-1"));
        p.learn_machine_types();
        p
    }

    fn submit_job(&mut self, conn: u64) {
        self.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }

    /// The next request to this path, or with an empty path the next one that is forwarded to a peer.
    fn expect_sent(&mut self, path: &str) -> SentRequest {
        let sent = self.take_sent(|s| {
            if path.is_empty() {
                s.is_forwarded()
            } else {
                s.path == path
            }
        });
        sent.unwrap_or_else(|| panic!("no {path:?} among {:?}", self.sent))
    }

    fn reply_from_peer(&mut self, answer: &PeerResponse) {
        let sent = self.expect_sent("");
        self.reply(&sent, 200, encode(answer));
    }

    /// Another user's cancel is confirmed through this node, which asked the leader.
    fn confirm_cancel_by_leader(&mut self) {
        self.cancel_job(50);
        let i = self
            .sent
            .iter()
            .rposition(SentRequest::is_forwarded)
            .expect("the leader is asked");
        let sent = self.sent.remove(i);
        self.reply(
            &sent,
            200,
            encode(&PeerResponse::State(job_state(Stage::Cancelled))),
        );
        assert_eq!(self.response_to(50), answered_with("cancelled"));
    }

    fn peer_response(&self, conn: u64) -> Option<PeerResponse> {
        let (_, _, body, _) = self.responses.iter().find(|t| t.0 == conn)?;
        decode(body).ok()
    }
}

/// Sends a user's request; returns the request whose answer is pending, and the body of that answer.
type PendingAnswer = fn(&mut NodeHarness) -> (SentRequest, Vec<u8>);

/// Answers of the leader, of reads, of acceptances and of peers were passed on as they arrived, although this node had
/// already confirmed the job's end.
#[test]
fn pending_answer_yields_to_end_confirmed_meanwhile() {
    let leader: PendingAnswer = |p| {
        p.query_job(1);
        (
            p.expect_sent(""),
            encode(&PeerResponse::State(job_state(Stage::Running))),
        )
    };
    let read: PendingAnswer = |p| {
        p.query_job(1);
        p.reply_from_peer(&PeerResponse::Unknown);
        (p.expect_sent("/keys/live/job-000001"), Vec::new())
    };
    let acceptance: PendingAnswer = |p| {
        p.submit_job(1);
        (p.expect_sent("/txn"), wire::encode(&json!({"ledger": 30})))
    };
    let accepted_by_peer: PendingAnswer = |p| {
        p.submit_job(1);
        let own = p.expect_sent("/txn");
        p.reply(&own, 503, Vec::new());
        (
            p.expect_sent(""),
            encode(&PeerResponse::Accepted(job_state(Stage::Pending))),
        )
    };
    let looked_up: PendingAnswer = |p| {
        p.query_job(1);
        p.reply_from_peer(&PeerResponse::NotNow);
        let read = p.expect_sent("/keys/live/job-000001");
        p.reply(&read, 503, Vec::new());
        (
            p.expect_sent(""),
            encode(&PeerResponse::State(job_state(Stage::Pending))),
        )
    };
    let all = [
        ("an answer of the leader", leader),
        ("a read", read),
        ("an acceptance", acceptance),
        ("a peer's acceptance", accepted_by_peer),
        ("a peer's read", looked_up),
    ];
    for (what, send_request) in all {
        let mut p = NodeHarness::follower();
        let (sent, body) = send_request(&mut p);
        p.confirm_cancel_by_leader();
        p.reply(&sent, 200, body);
        assert_eq!(p.response_to(1), answered_with("cancelled"), "{what}");
    }
}

/// The same for requests that a peer forwards for its user.
#[test]
fn peer_request_is_answered_with_end_confirmed_meanwhile() {
    let mut p = NodeHarness::follower();
    p.receive_peer_request(&PeerRequest::Lookup {
        job: JOB.into(),
        past_leader: true,
    });
    p.receive_peer_request(&PeerRequest::Submit {
        spec: Box::new(serde_json::from_value(job_spec()).expect("a job")),
    });
    let (read, accept) = (
        p.expect_sent("/keys/live/job-000001"),
        p.expect_sent("/txn"),
    );
    p.confirm_cancel_by_leader();
    p.responses.clear();
    for (sent, status) in [(read, 200), (accept, 200)] {
        p.reply(&sent, status, wire::encode(&json!({"ledger": 30})));
        let answer = p.peer_response(900);
        assert_eq!(
            answer,
            Some(PeerResponse::State(job_state(Stage::Cancelled)))
        );
        p.responses.clear();
    }
}

/// This node accepts a job while a query for it is between its two reads, the first of which found nothing. The query
/// was answered 404 although the job had been accepted with 201. The node now reads once more.
#[test]
fn job_accepted_meanwhile_is_not_answered_as_unknown() {
    let mut p = NodeHarness::follower();
    p.query_job(1);
    p.reply_from_peer(&PeerResponse::Unknown);
    let live = p.expect_sent("/keys/live/job-000001");
    p.reply(&live, 404, Vec::new());
    p.submit_job(2);
    let accept = p.expect_sent("/txn");
    p.reply(&accept, 200, wire::encode(&json!({"ledger": 30})));
    assert_eq!(p.response_to(2), Some((201, Some("pending".into()))));
    let end = p.expect_sent("/keys/end/job-000001");
    p.reply(&end, 404, Vec::new());
    assert_eq!(p.response_to(1), None, "the node reads again");
    let live = p.expect_sent("/keys/live/job-000001");
    p.reply(&live, 200, Vec::new());
    assert_eq!(p.response_to(1), answered_with("pending"));
}

/// A peer's 404 for a forwarded query, and a 422, are also checked against what this node has answered meanwhile.
#[test]
fn refusal_yields_to_answer_given_meanwhile() {
    let mut p = NodeHarness::follower();
    p.query_job(1);
    p.reply_from_peer(&PeerResponse::Unknown);
    let live = p.expect_sent("/keys/live/job-000001");
    p.reply(&live, 503, Vec::new());
    let handed = p.expect_sent("");
    // The state service serves this node again, and another peer submits the job here.
    p.receive_peer_request(&PeerRequest::Submit {
        spec: Box::new(serde_json::from_value(job_spec()).expect("a job")),
    });
    let accept = p.expect_sent("/txn");
    p.reply(&accept, 200, wire::encode(&json!({"ledger": 30})));
    p.reply(&handed, 200, encode(&PeerResponse::refused(404, "")));
    assert_eq!(p.response_to(1).map(|a| a.0), Some(503));

    let mut p = NodeHarness::follower();
    let mut wide = job_spec();
    wide["cores"] = json!(1000.0);
    p.client_request(1, "POST", "/work", wire::encode(&wide));
    let refusal_check = p.expect_sent("/txn");
    p.query_job(2);
    p.reply_from_peer(&PeerResponse::State(job_state(Stage::Running)));
    p.reply(&refusal_check, 200, wire::encode(&json!({"ledger": 30})));
    assert_eq!(p.response_to(1), None, "the node reads again");
    p.run_without_answers(2500);
    assert_eq!(
        p.response_to(1).map(|a| a.0),
        Some(503),
        "and answers 503 where it can't read"
    );
}

/// Reads are not repeated because of an answer that was given before the query arrived.
#[test]
fn earlier_answer_does_not_delay_not_found() {
    let mut p = NodeHarness::follower();
    p.submit_job(2);
    let accept = p.expect_sent("/txn");
    p.reply(&accept, 200, wire::encode(&json!({"ledger": 30})));
    p.query_job(1);
    p.reply_from_peer(&PeerResponse::Unknown);
    for path in ["/keys/live/job-000001", "/keys/end/job-000001"] {
        let read = p.expect_sent(path);
        p.reply(&read, 404, Vec::new());
    }
    assert_eq!(p.response_to(1).map(|a| a.0), Some(404));
}

/// A node that has become the leader and has loaded the job meanwhile answers with what it knows, not with what its
/// earlier read found.
#[test]
fn new_leader_checks_not_found_against_loaded_jobs() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(None);
    p.query_job(1);
    let live = p.expect_sent("/keys/live/job-000001");
    p.reply(&live, 404, Vec::new());
    for _ in 0..5 {
        p.now += 100;
        p.step(Event::Tick);
    }
    let grant = p.expect_sent("/grants");
    p.reply(&grant, 200, wire::encode(&json!({"tenancy": 7})));
    let take = p.expect_sent("/txn");
    p.reply(&take, 200, wire::encode(&json!({"ledger": 12})));
    p.recover_one_job();
    let end = p.expect_sent("/keys/end/job-000001");
    p.reply(&end, 404, Vec::new());
    assert_eq!(p.response_to(1), answered_with("pending"));
}

/// A cancel is answered once its record is written. When the leader could no longer tell whether its lease was valid,
/// users and peers that waited for a cancel got no answer until their connection timed out.
#[test]
fn cancels_are_answered_when_leader_lease_may_have_expired() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    p.receive_peer_request(&PeerRequest::Cancel { job: JOB.into() });
    let asked = p.now;
    p.run_without_answers(8000);
    let user = p
        .responses
        .iter()
        .find(|t| t.0 == 1)
        .expect("the user is answered");
    assert!(
        user.1 == 503 && user.3 <= asked + 3500,
        "{user:?} after {}",
        user.3 - asked
    );
    assert_eq!(p.peer_response(900), Some(PeerResponse::NotNow));
}

/// A leader that steps down answers waiting users and peers at once.
#[test]
fn cancels_are_answered_when_leader_steps_down() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    p.receive_peer_request(&PeerRequest::Cancel { job: JOB.into() });
    let txn = p.expect_sent("/txn");
    p.reply_conflict(&txn, &[LEADER_KEY]);
    assert_eq!(
        (p.response_to(1).map(|a| a.0), p.peer_response(900)),
        (Some(503), Some(PeerResponse::NotNow))
    );
    // It does not know whether the cancel was recorded, so it answers nothing from memory.
    p.query_job(2);
    assert_eq!(p.response_to(2), None);
}

/// A cancel reaches the leader before the leader's watch reports the job, so the leader reads the job. If the watch
/// reports it during the read, the job is cancelled at once, at best before its first start. Formerly the user was
/// asked to retry.
#[test]
fn cancel_that_overtakes_the_watch_succeeds() {
    for found in [200, 404] {
        let mut p = NodeHarness::new();
        p.become_leader();
        p.recover_jobs(json!([]));
        p.run_accepting_writes(500);
        p.cancel_job(1);
        let live = p.expect_sent("/keys/live/job-000001");
        let watch = p
            .take_sent(|s| s.path.starts_with("/changes?under=live/"))
            .expect("watches");
        let rec = json!({"spec": job_spec(), "at_ms": 5, "part": 0});
        p.reply(
            &watch,
            200,
            wire::encode(
                &json!({"ledger": 31, "log": [{"write": LIVE_KEY, "v": rec, "stamp": 31}]}),
            ),
        );
        p.reply(&live, found, Vec::new());
        if found == 404 {
            // The read was served before the acceptance, and its answer was delayed.
            let end = p.expect_sent("/keys/end/job-000001");
            p.reply(&end, 404, Vec::new());
        }
        assert_eq!(
            p.response_to(1),
            None,
            "not answered before the end is recorded"
        );
        p.run_accepting_writes(200);
        assert_eq!(p.response_to(1), answered_with("cancelled"), "{found}");
    }
}

/// A leader that has loaded a job of three tasks on one machine, the first `done` of which are recorded as done.
fn leader_with_results(done: u32) -> NodeHarness {
    let mut p = NodeHarness::new();
    p.become_leader();
    p.learn_machine_types();
    let rec = json!({"spec": job_spec(), "at_ms": 5, "part": 0});
    p.answer_range_read("live/", json!([{"key": LIVE_KEY, "v": rec, "stamp": 8}]));
    let machines =
        json!({"machine_type": "g8", "zone": "a", "spot": false, "machines": [["host-1", 5]]});
    p.answer_range_read(
        "part/0/rack/",
        json!([{"key": "part/0/rack/0", "v": {"kinds": [machines]}, "stamp": 9}]),
    );
    let claims = json!({"job": JOB, "team": "effects", "cores": 2.0, "gpus": 1.0, "mem_gb": 4.0, "attempt": EARLIER_ATTEMPT,
        "on": [["host-1", 0, 3]]});
    let results = json!({"job": JOB, "tasks": [[0, done]]});
    let log = json!({"claims": [claims], "done": [results]});
    p.answer_range_read(
        "part/0/log/",
        json!([{"key": wire::records::log_key(0, EARLIER_ATTEMPT), "v": log, "stamp": 9}]),
    );
    p.answer_remaining_reads();
    p
}

/// An attempt started by the previous leader.
const EARLIER_ATTEMPT: u64 = (3 << 32) | 1;

impl NodeHarness {
    /// The worker reports that all tasks of the job are done.
    fn report_all_tasks_done(&mut self) {
        let done = |task: u32| json!({"piece": format!("{JOB}/{task}"), "try": EARLIER_ATTEMPT, "stage": "exited", "cause": "done"});
        let report = json!({"burrow": "host-1", "addr": "10.1.0.1:9000", "build": "g8", "hall": "a", "loaners": false,
            "tenure": 1, "tick": 9, "baton": 3, "warningS": null, "pieces": [done(0), done(1), done(2)]});
        self.client_request(70, "POST", "/hello", wire::encode(&report));
    }

    /// The transaction in flight that ends the job, and the stage that it records.
    fn take_end_transaction(&mut self) -> (SentRequest, String) {
        let end_stage = |s: &SentRequest| {
            let txn = wire::decode::<Value>(&s.body).unwrap_or_default();
            let mut writes = txn["writes"]
                .as_array()
                .cloned()
                .unwrap_or_default()
                .into_iter();
            let end = writes.find(|w| w["write"] == END_KEY)?;
            Some(end["v"]["stage"].as_str()?.to_owned())
        };
        for _ in 0..20 {
            while let Some(txn) = self.take_sent(|s| s.path == "/txn") {
                if let Some(stage) = end_stage(&txn) {
                    return (txn, stage);
                }
                self.reply(&txn, 200, wire::encode(&json!({"ledger": 30 + self.now})));
            }
            self.now += 50;
            self.step(Event::Tick);
        }
        panic!("no transaction ends the job, among {:?}", self.sent);
    }
}

/// A cancel races with the end of the last task. Whichever is written first is the end of the job, and all waiting
/// users and peers get it, whether the leader's transaction is answered or the leader has to read the record.
#[test]
fn job_cancelled_while_it_ends_has_one_end() {
    for (cancelled_first, answered) in [(true, true), (true, false), (false, true), (false, false)]
    {
        let mut p = leader_with_results(2);
        if cancelled_first {
            p.cancel_job(1);
        } else {
            p.report_all_tasks_done();
        }
        let (txn, stage) = p.take_end_transaction();
        assert_eq!(stage, if cancelled_first { "cancelled" } else { "done" });
        p.report_all_tasks_done();
        p.cancel_job(2);
        p.receive_peer_request(&PeerRequest::Cancel { job: JOB.into() });
        p.submit_job(3);
        p.query_job(4);
        assert_eq!(
            [1, 2, 3, 4].map(|conn| p.response_to(conn)),
            [None, None, None, None],
            "not answered from memory"
        );
        if answered {
            p.reply(&txn, 200, wire::encode(&json!({"ledger": 2_000_000})));
        } else {
            p.step(Event::Reply {
                tag: txn.tag,
                response: None,
            });
            p.now += 300;
            p.step(Event::Tick);
            let again = p.expect_sent("/txn");
            p.reply_conflict(&again, &[END_KEY, LIVE_KEY]);
            while p.answer_end_read(&stage) {}
        }
        p.query_job(5);
        p.cancel_job(6);
        let waited = if cancelled_first {
            vec![1, 2, 5, 6]
        } else {
            vec![2, 5, 6]
        };
        for conn in waited {
            assert_eq!(
                p.response_to(conn),
                answered_with(&stage),
                "{conn}: {cancelled_first} {answered}"
            );
        }
        match p.peer_response(900) {
            Some(PeerResponse::State(s)) => assert_eq!(s.stage == Stage::Done, !cancelled_first),
            other => panic!("the peer got {other:?}"),
        }
        // Requests that depend on a read served before the end get the end too.
        while let Some(read) = p.take_sent(|s| s.path == "/keys/live/job-000001") {
            p.reply(&read, 200, Vec::new());
        }
        assert_eq!(
            (p.response_to(3), p.response_to(4)),
            (answered_with(&stage), answered_with(&stage))
        );
    }
}
