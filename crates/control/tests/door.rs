//! A node's answers to users when it knows little, is not served, or others are: who is asked, in which order, and that
//! whoever asks is answered while he waits.

mod node_harness;

use control::{Destination, Event};
use node_harness::{
    END_KEY, LEADER_KEY, LIVE_KEY, NodeHarness, SentRequest, job_spec, leader_with_one_job,
};
use serde_json::{Value, json};
use wire::peer::{PeerRequest, PeerResponse, decode, encode};

/// Where a restarted node called itself unhealthy until the state service had answered it, each restart in an outage
/// was a removal, and each doubled the balancer's pause: three nodes up, and connections that found none.
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

/// Its users are none the worse for it: what it can't know yet, a peer may, and if that is silent, the other.
#[test]
fn new_node_forwards_submissions() {
    let mut p = NodeHarness::new();
    p.client_request(1, "POST", "/work", wire::encode(&job_spec()));
    let first = p.take_sent(SentRequest::is_forwarded).expect("handed on");
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
        .expect("handed to another");
    assert_ne!(first.to, second.to);
    p.reply(&second, 200, encode(&PeerResponse::refused(422, "")));
    assert_eq!(p.response_status(1), Some(422));
}

/// If nobody is served, a submission is refused at once instead of going round.
#[test]
fn submission_is_refused_at_once_when_all_nodes_are_down() {
    let mut p = NodeHarness::new();
    p.receive_peer_status("burrow-1", true);
    p.receive_peer_status("burrow-2", true);
    p.client_request(1, "POST", "/work", wire::encode(&job_spec()));
    assert_eq!(p.response_status(1), Some(503));
    assert!(p.forwarded_requests().is_empty());
    // One that is served again gets all of it.
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

/// Whoever asks waits 2 s. Leader, state service and peers were each given their own time, 4 s in all.
#[test]
fn query_is_answered_within_two_seconds() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(Some("burrow-1"));
    let asked = p.now;
    p.query_job(1);
    // Nobody says anything, but for a read that takes long.
    p.run_without_answers(1500);
    let read = p
        .take_sent(|s| s.path.starts_with("/keys/live/"))
        .expect("reads");
    p.reply(&read, 404, Vec::new());
    p.run_without_answers(4000);
    let response = p.responses.iter().find(|t| t.0 == 1).expect("is answered");
    assert!(
        response.1 == 503 && response.3 < asked + 2000,
        "{response:?} after {}",
        response.3 - asked
    );
}

/// A node that can't read leaves it to one that can, and not to the leader who has just been asked.
#[test]
fn failed_read_is_forwarded_to_a_peer() {
    let mut p = NodeHarness::new();
    p.learn_shared_state(Some("burrow-1"));
    p.query_job(1);
    let leader = p
        .take_sent(SentRequest::is_forwarded)
        .expect("the owner is asked");
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

/// The same for a node that has asked for all that it may.
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
        "{reads} read, {forwarded} handed on"
    );
}

/// Whoever is asked to look reads at once where the leader was asked before: no question goes in circles.
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

/// A new leader knows what is live from its first page on; nobody else can end it.
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
    // Once its lease may be over, others may have ended it.
    p.run_without_answers(3000);
    p.query_job(2);
    assert_eq!(p.response_status(2), None);
}

/// A cancel whose record landed though nobody heard of it: the repeat fails for it, and the user is told what stands.
#[test]
fn cancel_committed_without_answer_is_confirmed() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    assert_eq!(p.response_to(1), None, "nothing is told before its record");
    let again = p.lose_transaction_answer();
    p.reply_conflict(&again, &[END_KEY, LIVE_KEY]);
    assert_eq!(
        p.response_to(1),
        None,
        "a refused repeat alone says nothing"
    );
    assert!(p.answer_end_read("cancelled"), "what stands is read");
    assert_eq!(p.response_to(1), Some((200, Some("cancelled".into()))));
    p.query_job(2);
    assert_eq!(p.response_to(2), Some((200, Some("cancelled".into()))));
}

/// A leader whose cancel never landed came back from a cut, found that the next leader had recorded an end, and took it
/// for its own: it told its users of a cancel where the other had told `done`, and remembered it for good.
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
        "told {response:?}"
    );
    // What it says from now on it has read anew.
    p.query_job(2);
    p.cancel_job(3);
    for conn in [2, 3] {
        let response = p.response_to(conn);
        assert!(
            response.as_ref().is_none_or(|(status, _)| *status == 503),
            "told {response:?}"
        );
    }
    if let Some(read) = p.take_sent(|s| s.path == "/keys/live/job-000001") {
        p.reply(&read, 404, Vec::new());
        assert!(p.answer_end_read("done"));
        assert_eq!(p.response_to(2), Some((200, Some("done".into()))));
    }
}

/// A process that stood still for longer than its lease answers nothing from memory, to users or peers, and decides
/// nothing, though it has heard of no other leader.
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

/// An answer to a renewal is as good as its sending time, however late it comes: the lease may have ended since.
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

/// What was under way in an earlier term of the same process is nothing to the next one: its end may never have landed.
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
        "who waited is told to come again"
    );
    p.sent.clear();
    p.become_leader();
    p.recover_one_job();
    p.run_accepting_writes(500);
    p.cancel_job(2);
    p.reply(&commit, 200, wire::encode(&json!({"ledger": 14})));
    assert_eq!(p.response_to(2), None, "told before its record");
    p.run_accepting_writes(200);
    assert_eq!(p.response_to(2), Some((200, Some("cancelled".into()))));
}

/// A submission that comes again much later, at a node that knows nothing of it: what stands there is told, through all
/// three places where it may be.
#[test]
fn late_repeat_of_submission_gets_stored_state() {
    for end in [None, Some("done"), Some("cancelled")] {
        let mut p = NodeHarness::new();
        p.learn_shared_state(None);
        p.learn_machine_types();
        p.client_request(1, "POST", "/work", wire::encode(&job_spec()));
        let accept = p
            .take_sent(|s| s.path == "/txn")
            .expect("tries to accept it");
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

/// A take-over that lands after its node has given up on it is waited out like anybody's: a process takes the place of
/// a former incarnation only, never of itself.
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
        // Of another life under its name it knows that it is over.
        let campaigns = p.sent.iter().any(|s| s.path == "/grants");
        assert_eq!(campaigns, incarnation == Some(77), "{incarnation:?}");
    }
}

/// An end on its way may have landed, and others may have read it and told of it: until its leader knows, it says no more
/// than what stands in the state service. It went on saying that the job ran.
#[test]
fn leader_with_end_in_flight_answers_nothing_from_memory() {
    let mut p = leader_with_one_job();
    p.cancel_job(1);
    assert!(
        p.sent.iter().any(|s| s.path == "/txn"),
        "its record is on its way"
    );
    p.query_job(2);
    p.client_request(3, "POST", "/work", wire::encode(&job_spec()));
    assert_eq!(
        (p.response_to(2), p.response_to(3)),
        (None, None),
        "told from memory"
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

/// Whoever is turned away comes back when those before have been served: sent back a second later each time, the same
/// users filled what an overloaded node could serve.
#[test]
fn retry_after_grows_with_refused_requests() {
    use control::overload::load_shedding::LONGEST_S;
    const USERS: u64 = 1000;
    let mut p = NodeHarness::new();
    p.learn_shared_state_with_types("burrow-1");
    for conn in 1..=USERS {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    let waits: Vec<u32> = (1..=USERS)
        .filter(|conn| p.response_status(*conn) == Some(429))
        .map(|conn| p.retry_after[&conn].expect("a time to come back"))
        .collect();
    assert!(waits.len() as u64 > USERS / 2, "{}", waits.len());
    assert!(waits.is_sorted(), "{waits:?}");
    assert_eq!((waits.first(), waits.last()), (Some(&1), Some(&LONGEST_S)));
    // They have been served since.
    p.now += u64::from(LONGEST_S) * 1000 + 1000;
    for conn in USERS + 1..=USERS + 100 {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    let first = (USERS + 1..=USERS + 100).find(|conn| p.response_status(*conn) == Some(429));
    assert_eq!(first.map(|conn| p.retry_after[&conn]), Some(Some(1)));
}

/// What is left to ask the state service goes to questions about accepted jobs before it goes to new ones.
#[test]
fn submission_flood_leaves_reads_for_queries() {
    // Requests are scarcer than changes.
    let mut p = NodeHarness::with(|settings| settings.cluster.state.rps = 30.0);
    p.learn_shared_state_with_types("burrow-1");
    for conn in 1..=1000 {
        p.client_request(conn, "POST", "/work", wire::encode(&job_spec()));
    }
    assert_eq!(p.response_status(1000), Some(429));
    p.query_job(2000);
    let leader = p
        .take_sent(SentRequest::is_forwarded)
        .expect("the owner is asked");
    p.reply(&leader, 200, encode(&PeerResponse::NotNow));
    assert!(
        p.take_sent(|s| s.path.starts_with("/keys/live/")).is_some(),
        "no read is left"
    );
}

/// While the state service is away everybody is refused, and may be served the moment it is back: that is no reason to
/// be sent away for longer, also not for those who only ask.
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
