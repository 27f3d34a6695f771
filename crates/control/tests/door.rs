//! A node's answers to users while it has loaded little, or while the state service serves only some nodes: which peers
//! and services are asked, in which order, and that users are answered before they time out.

mod node_harness;

use control::{Destination, Event};
use node_harness::{
    END_KEY, LEADER_KEY, LIVE_KEY, NodeHarness, SentRequest, job_spec, leader_with_one_job,
};
use serde_json::{Value, json};
use wire::peer::{PeerRequest, PeerResponse, decode, encode};

/// A restarted node reported itself unhealthy until the state service had answered it. During an outage each restart
/// therefore removed the node from the load balancer and doubled the balancer's pause, until connections found no node
/// although all three were up.
#[test]
fn running_node_is_ready_without_state_service() {
    let mut p = NodeHarness::new();
    p.client_request(1, "GET", "/ready", Vec::new());
    p.run_without_answers(9000);
    p.client_request(2, "GET", "/ready", Vec::new());
    assert_eq!(
        (p.response_status(1), p.response_status(2)),
        (Some(200), Some(200))
    );
}

/// A node that can't check a submission yet forwards it to a peer, and to the other peer if the first does not answer.
#[test]
fn new_node_forwards_submissions() {
    let mut p = NodeHarness::new();
    p.client_request(1, "POST", "/work", wire::encode(&job_spec()));
    let first = p
        .take_sent(SentRequest::is_forwarded)
        .expect("forwarded to a peer");
    assert!(
        matches!(first.peer_request(), Some(PeerRequest::Submit { .. })),
        "{first:?}"
    );
    p.step(Event::Reply {
        tag: first.tag,
        response: None,
    });
    let second = p
        .take_sent(SentRequest::is_forwarded)
        .expect("forwarded to the other peer");
    assert_ne!(first.to, second.to);
    p.reply(&second, 200, encode(&PeerResponse::refused(422, "")));
    assert_eq!(p.response_status(1), Some(422));
}

/// While the state service serves no node, a submission is refused at once instead of being forwarded in circles.
#[test]
fn submission_is_refused_at_once_when_all_nodes_are_down() {
    let mut p = NodeHarness::new();
    p.receive_peer_status("burrow-1", true);
    p.receive_peer_status("burrow-2", true);
    p.client_request(1, "POST", "/work", wire::encode(&job_spec()));
    assert_eq!(p.response_status(1), Some(503));
    assert!(p.forwarded_requests().is_empty());
    // A peer that is served again gets the next submission.
    p.receive_peer_status("burrow-2", false);
    p.client_request(2, "POST", "/work", wire::encode(&job_spec()));
    assert!(
        matches!(
            &p.forwarded_requests()[..],
            [(Destination::Peer(1), PeerRequest::Submit { .. })]
        ),
        "{:?}",
        p.forwarded_requests()
    );
}

/// Users wait 2 s for an answer. Leader, state service and peers each had their own timeout, 4 s in all.
#[test]
fn query_is_answered_within_two_seconds() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(Some("burrow-1"));
    let asked = p.now;
    p.query_job(1);
    // Nothing is answered, except for one slow read.
    p.run_without_answers(1500);
    let read = p
        .take_sent(|s| s.path.starts_with("/keys/live/"))
        .expect("reads");
    p.reply(&read, 404, Vec::new());
    p.run_without_answers(4000);
    let response = p
        .responses
        .iter()
        .find(|t| t.0 == 1)
        .expect("the query is answered");
    assert!(
        response.1 == 503 && response.3 < asked + 2000,
        "{response:?} after {}",
        response.3 - asked
    );
}

/// A node that can't read forwards the lookup to a peer that can, and not to the leader that it has just asked.
#[test]
fn failed_read_is_forwarded_to_a_peer() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(Some("burrow-1"));
    p.query_job(1);
    let leader = p
        .take_sent(SentRequest::is_forwarded)
        .expect("the leader is asked");
    p.reply(&leader, 200, encode(&PeerResponse::NotNow));
    let read = p
        .take_sent(|s| s.path.starts_with("/keys/live/"))
        .expect("reads");
    p.reply(&read, 503, Vec::new());
    let asked = p.forwarded_requests();
    assert!(
        matches!(
            &asked[..],
            [(
                Destination::Peer(1),
                PeerRequest::Lookup {
                    past_leader: true,
                    ..
                }
            )]
        ),
        "{asked:?}"
    );
}

/// The same for a node that has used up its budget of reads.
#[test]
fn node_out_of_reads_forwards_queries() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(None);
    (1..200).for_each(|conn| p.query_job(conn));
    let reads = p
        .sent
        .iter()
        .filter(|s| s.path.starts_with("/keys/live/"))
        .count();
    let forwarded = p.forwarded_requests().len();
    assert!(
        reads > 20 && forwarded == 199 - reads && p.responses.is_empty(),
        "{reads} read, {forwarded} forwarded"
    );
}

/// A lookup for which the leader was asked before is read at once, so that no query is forwarded in circles.
#[test]
fn lookup_past_leader_is_not_sent_back_to_leader() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(Some("burrow-1"));
    p.receive_peer_request(&PeerRequest::Lookup {
        job: "job-000001".into(),
        past_leader: true,
    });
    assert!(p.forwarded_requests().is_empty());
    assert!(p.take_sent(|s| s.path.starts_with("/keys/live/")).is_some());
    p.receive_peer_request(&PeerRequest::Lookup {
        job: "job-000001".into(),
        past_leader: false,
    });
    assert!(matches!(
        &p.forwarded_requests()[..],
        [(Destination::Peer(0), PeerRequest::Query { .. })]
    ));
}

/// A new leader answers for live jobs from the first page of records that it loads; no other node can end them.
#[test]
fn new_leader_answers_for_loaded_jobs() {
    let mut p = NodeHarness::new();
    p.become_leader();
    let rec = json!({"spec": job_spec(), "at_ms": 5, "part": 0});
    p.answer_range_read(
        "live/",
        json!([{"key": "live/job-000001", "v": rec, "stamp": 8}]),
    );
    p.query_job(1);
    assert_eq!(p.response_status(1), Some(200), "{:?}", p.sent);
    // Once its lease may have expired, another leader may have ended the job.
    p.run_without_answers(3000);
    p.query_job(2);
    assert_eq!(p.response_status(2), None);
}

/// A cancel is committed but its answer is lost. The repeated transaction fails, and the user gets the stored end.
#[test]
fn cancel_committed_without_answer_is_confirmed() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    assert_eq!(
        p.response_to(1),
        None,
        "not answered before the end is recorded"
    );
    let again = p.lose_transaction_answer();
    p.reply_conflict(&again, &[END_KEY, LIVE_KEY]);
    assert_eq!(
        p.response_to(1),
        None,
        "not answered because of the refused repeat alone"
    );
    assert!(p.answer_end_read("cancelled"), "the end record is read");
    assert_eq!(p.response_to(1), Some((200, Some("cancelled".into()))));
    p.query_job(2);
    assert_eq!(p.response_to(2), Some((200, Some("cancelled".into()))));
}

/// A leader was cut off before its cancel was committed. When it was back it found that the next leader had recorded an
/// end, and took that for its own: it confirmed a cancel although the other leader had answered `done`, and kept it in
/// memory.
#[test]
fn end_by_another_leader_is_not_taken_as_own() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    let again = p.lose_transaction_answer();
    p.reply_conflict(&again, &[LEADER_KEY, END_KEY, LIVE_KEY]);
    p.answer_end_read("done");
    let response = p.response_to(1);
    assert!(
        response.as_ref().is_none_or(|(status, _)| *status == 503),
        "got {response:?}"
    );
    // From now on it answers only from new reads.
    p.query_job(2);
    p.cancel_job(3);
    for conn in [2, 3] {
        let response = p.response_to(conn);
        assert!(
            response.as_ref().is_none_or(|(status, _)| *status == 503),
            "got {response:?}"
        );
    }
    if let Some(read) = p.take_sent(|s| s.path == "/keys/live/job-000001") {
        p.reply(&read, 404, Vec::new());
        assert!(p.answer_end_read("done"));
        assert_eq!(p.response_to(2), Some((200, Some("done".into()))));
    }
}

/// A process that was paused for longer than its lease answers neither users nor peers from memory, and decides
/// nothing, although it has not heard of another leader.
#[test]
fn leader_paused_past_its_lease_answers_nothing_from_memory() {
    let mut p = leader_with_one_job();
    p.query_job(1);
    assert_eq!(p.response_to(1), Some((200, Some("pending".into()))));
    p.now += 3000;
    p.query_job(2);
    assert_eq!(p.response_to(2), None, "it asks the state service");
    p.receive_peer_request(&PeerRequest::Query {
        job: "job-000001".into(),
    });
    let response = p.responses.pop().expect("peers are answered at once");
    assert_eq!(
        decode::<PeerResponse>(&response.2).ok(),
        Some(PeerResponse::NotNow)
    );
    p.cancel_job(3);
    assert_eq!(p.response_to(3).map(|a| a.0), Some(503));
    assert!(
        p.take_sent(|s| s.path == "/txn").is_none(),
        "it writes nothing"
    );
}

/// A lease renewal counts from the time of its request, however late the answer arrives: the lease may have expired
/// since.
#[test]
fn lease_renewal_counts_from_its_request() {
    let mut p = leader_with_one_job();
    p.now += 1000;
    p.step(Event::Tick);
    let renewal = p.take_sent(|s| s.path.ends_with("/renew")).expect("renews");
    p.now += 2900;
    p.reply(&renewal, 200, wire::encode(&json!({"tenancy": 7})));
    p.query_job(1);
    p.cancel_job(2);
    assert_eq!(
        (p.response_to(1), p.response_to(2).map(|a| a.0)),
        (None, Some(503))
    );
}

/// The answer to a transaction of an earlier term of the same process must not confirm a cancel in the next term, whose
/// own transaction may never be committed.
#[test]
fn transaction_of_earlier_term_confirms_no_cancel() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    let commit = p.take_sent(|s| s.path == "/txn").expect("writes");
    p.now += 1000;
    p.step(Event::Tick);
    let renewal = p.take_sent(|s| s.path.ends_with("/renew")).expect("renews");
    p.reply(&renewal, 404, Vec::new());
    assert_eq!(
        p.response_to(1).map(|a| a.0),
        Some(503),
        "the waiting user is asked to retry"
    );
    p.sent.clear();
    p.become_leader();
    p.recover_one_job();
    p.run_accepting_writes(500);
    p.cancel_job(2);
    p.reply(&commit, 200, wire::encode(&json!({"ledger": 14})));
    assert_eq!(
        p.response_to(2),
        None,
        "answered before the end is recorded"
    );
    p.run_accepting_writes(200);
    assert_eq!(p.response_to(2), Some((200, Some("cancelled".into()))));
}

/// A submission is repeated much later, at a node that does not know the job: the answer is the stored state, whether
/// the job is live, done or cancelled.
#[test]
fn late_repeat_of_submission_gets_stored_state() {
    for end in [None, Some("done"), Some("cancelled")] {
        let mut p = NodeHarness::new();
        p.learn_shared_state(None);
        p.learn_machine_types();
        p.client_request(1, "POST", "/work", wire::encode(&job_spec()));
        let accept = p
            .take_sent(|s| s.path == "/txn")
            .expect("tries to accept the job");
        p.reply_conflict(&accept, &[if end.is_some() { END_KEY } else { LIVE_KEY }]);
        let read = p
            .take_sent(|s| s.path == "/keys/live/job-000001")
            .expect("reads");
        p.reply(&read, if end.is_some() { 404 } else { 200 }, Vec::new());
        if let Some(stage) = end {
            assert!(p.answer_end_read(stage));
        }
        assert_eq!(
            p.response_to(1),
            Some((200, Some(end.unwrap_or("pending").into())))
        );
    }
}

/// A take-over that is committed after its node has given up on it must expire like any other node's record: a process
/// replaces the record of a former incarnation, but never one of its own.
#[test]
fn own_late_take_over_is_not_replaced() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(None);
    (0..5).for_each(|_| {
        p.now += 100;
        p.step(Event::Tick);
    });
    let grant = p
        .take_sent(|s| s.path == "/grants")
        .expect("asks for a lease");
    p.reply(&grant, 200, wire::encode(&json!({"tenancy": 7})));
    let take = p.take_sent(|s| s.path == "/txn").expect("takes over");
    let written = wire::decode::<Value>(&take.body).expect("a transaction");
    let mine = written["writes"]
        .as_array()
        .and_then(|w| w.iter().find(|w| w["write"] == LEADER_KEY))
        .expect("its record");
    for incarnation in [mine["v"]["life"].as_u64(), Some(77)] {
        p.run_without_answers(4500);
        while !p
            .sent
            .iter()
            .any(|s| s.path.starts_with("/keys?under=sys/"))
        {
            p.run_without_answers(100);
        }
        let rec = json!({"node": "burrow-0", "token": 4, "lease": 7, "life": incarnation});
        let token = json!({"key": "sys/token", "v": {"token": 4}, "stamp": 12});
        p.answer_range_read(
            "sys/",
            json!([{"key": LEADER_KEY, "v": rec, "stamp": 12}, token]),
        );
        p.run_without_answers(1500);
        // It knows that a former incarnation under its name has ended.
        let campaigns = p.sent.iter().any(|s| s.path == "/grants");
        assert_eq!(campaigns, incarnation == Some(77), "{incarnation:?}");
    }
}

/// An end in flight may have been committed, and others may have read and reported it. Until the leader knows, it
/// answers only from the state service. It used to go on answering that the job was running.
#[test]
fn leader_with_end_in_flight_answers_nothing_from_memory() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    assert!(
        p.sent.iter().any(|s| s.path == "/txn"),
        "the end record is in flight"
    );
    p.query_job(2);
    p.client_request(3, "POST", "/work", wire::encode(&job_spec()));
    assert_eq!(
        (p.response_to(2), p.response_to(3)),
        (None, None),
        "answered from memory"
    );
    p.receive_peer_request(&PeerRequest::Query {
        job: "job-000001".into(),
    });
    let response = p.responses.pop().expect("peers are answered at once");
    assert_eq!(
        decode::<PeerResponse>(&response.2).ok(),
        Some(PeerResponse::Unknown)
    );
    let read = p
        .take_sent(|s| s.path == "/keys/live/job-000001")
        .expect("reads");
    p.reply(&read, 404, Vec::new());
    assert!(p.answer_end_read("cancelled"));
    assert_eq!(p.response_to(2), Some((200, Some("cancelled".into()))));
}

/// Retry-After grows with the number of refused requests, so that users come back once those before them have been
/// served. When all were asked to retry after one second, the same users filled the capacity of an overloaded node.
#[test]
fn retry_after_grows_with_refused_requests() {
    use control::overload::load_shedding::MAX_RETRY_AFTER_S;
    const USERS: u64 = 1000;
    let mut p = NodeHarness::new();
    p.learn_shared_state_with_types("burrow-1");
    for conn in 1..=USERS {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    let waits: Vec<u32> = (1..=USERS)
        .filter(|conn| p.response_status(*conn) == Some(429))
        .map(|conn| p.retry_after[&conn].expect("a Retry-After value"))
        .collect();
    assert!(waits.len() as u64 > USERS / 2, "{}", waits.len());
    assert!(waits.is_sorted(), "{waits:?}");
    assert_eq!(
        (waits.first(), waits.last()),
        (Some(&1), Some(&MAX_RETRY_AFTER_S))
    );
    // By now they have been served.
    p.now += u64::from(MAX_RETRY_AFTER_S) * 1000 + 1000;
    for conn in USERS + 1..=USERS + 100 {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    let first = (USERS + 1..=USERS + 100).find(|conn| p.response_status(*conn) == Some(429));
    assert_eq!(first.map(|conn| p.retry_after[&conn]), Some(Some(1)));
}

/// The remaining budget of reads goes to queries for accepted jobs before it goes to new submissions.
#[test]
fn submission_flood_leaves_reads_for_queries() {
    // The rate of requests is lower than the rate of writes.
    let mut p = NodeHarness::with(|settings| settings.cluster.state.rps = 30.0);
    p.learn_shared_state_with_types("burrow-1");
    for conn in 1..=1000 {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    assert_eq!(p.response_status(1000), Some(429));
    p.query_job(2000);
    let leader = p
        .take_sent(SentRequest::is_forwarded)
        .expect("the leader is asked");
    p.reply(&leader, 200, encode(&PeerResponse::NotNow));
    assert!(
        p.take_sent(|s| s.path.starts_with("/keys/live/")).is_some(),
        "no read is left"
    );
}

/// During an outage of the state service all requests are refused, and can be served as soon as it is back. Retry-After
/// therefore stays short, however many requests are refused.
#[test]
fn retry_after_stays_short_while_state_service_is_down() {
    let mut p = NodeHarness::new();
    p.receive_peer_status("burrow-1", true);
    p.receive_peer_status("burrow-2", true);
    for conn in 1..=1000 {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    assert_eq!(p.response_status(1000), Some(503));
    assert_eq!(p.retry_after[&1000], Some(1));
}
