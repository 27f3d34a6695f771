//! Heartbeats that a follower forwards to a leader that is short of processor time.

mod scripted;

use control::{Destination, Event};
use scripted::{ScriptedNode, ScriptedWorker, SentRequest};
use serde_json::json;
use wire::http::Request;
use wire::peer::{self, PeerRequest, PeerStatus};

const LEADER: &str = "burrow-1";
/// Longer than a peer status is trusted, and shorter than an announced leader is remembered.
const UNHEARD_MS: u64 = 4000;

/// The leader announces itself, and that it has heartbeats spread over the followers.
fn announce_slow_leader(p: &mut ScriptedNode) {
    let peer_status = PeerStatus {
        node: LEADER.into(),
        state_ms: Some(10),
        token: Some(5),
        leads: Some(5),
        leads_from: None,
        hears_no_agents: false,
        down: false,
        spreads: true,
        delegation: None,
    };
    let request = Request {
        method: "POST".into(),
        path: peer::PATH.into(),
        body: peer::encode(&PeerRequest::PeerStatus(peer_status)),
        close: false,
    };
    p.step(Event::Peer { conn: 1, request });
}

fn send_heartbeat(p: &mut ScriptedNode, conn: u64, worker: &mut ScriptedWorker) {
    let request = Request {
        method: "POST".into(),
        path: "/hello".into(),
        body: wire::encode(&worker.next_heartbeat()),
        close: false,
    };
    p.step(Event::Client { conn, request });
}

fn is_batch(sent: &SentRequest) -> bool {
    let ask = || peer::decode::<PeerRequest>(&sent.body);
    matches!(sent.to, Destination::Peer(_)) && matches!(ask(), Ok(PeerRequest::Reports { .. }))
}

fn take_batch(p: &mut ScriptedNode) -> SentRequest {
    p.tick_until_sent("a batch of heartbeats", is_batch)
}

fn batch_size(sent: &SentRequest) -> usize {
    match peer::decode::<PeerRequest>(&sent.body) {
        Ok(PeerRequest::Reports { reports, .. }) => reports.len(),
        _ => 0,
    }
}

fn response_status(p: &ScriptedNode, conn: u64) -> Option<u16> {
    let response = p.responses.iter().rev().find(|(c, _, _)| *c == conn);
    response.map(|(_, status, _)| *status)
}

/// Redirecting would make all workers of a follower connect to a leader that is late already. With 3,996 machines at
/// 0.085 of a core they used up all its sockets, so that its peers could not connect, and it lost its lease.
#[test]
fn workers_are_not_redirected_to_a_slow_leader() {
    let mut p = ScriptedNode::new();
    let mut worker = ScriptedWorker::new("host-000001");
    announce_slow_leader(&mut p);
    send_heartbeat(&mut p, 11, &mut worker);
    let sent = take_batch(&mut p);
    announce_slow_leader(&mut p);
    p.leave_unanswered(&sent);
    assert_eq!(response_status(&p, 11), Some(503), "the batch timed out");
    send_heartbeat(&mut p, 12, &mut worker);
    assert_eq!(response_status(&p, 12), Some(503));
}

/// A leader that this follower does not hear from may still be reachable for workers.
#[test]
fn workers_are_redirected_to_a_leader_unreachable_from_here() {
    let mut p = ScriptedNode::new();
    let mut worker = ScriptedWorker::new("host-000001");
    announce_slow_leader(&mut p);
    send_heartbeat(&mut p, 11, &mut worker);
    let sent = take_batch(&mut p);
    p.now += UNHEARD_MS;
    p.leave_unanswered(&sent);
    send_heartbeat(&mut p, 12, &mut worker);
    assert_eq!(response_status(&p, 12), Some(421));
    assert_eq!(p.last_response(12)["answerTo"], json!(LEADER));
}

/// A leader that is late gets fewer and larger batches.
#[test]
fn heartbeats_accumulate_while_a_batch_is_in_flight() {
    let mut p = ScriptedNode::new();
    announce_slow_leader(&mut p);
    let mut workers: Vec<ScriptedWorker> = (1..5)
        .map(|i| ScriptedWorker::new(&format!("host-00000{i}")))
        .collect();
    send_heartbeat(&mut p, 11, &mut workers[0]);
    let first = take_batch(&mut p);
    for (i, worker) in workers[1..].iter_mut().enumerate() {
        send_heartbeat(&mut p, 12 + i as u64, worker);
        p.now += 100;
        p.step(Event::Tick);
        assert!(
            !p.sent.iter().any(is_batch),
            "no batch while the first is in flight"
        );
    }
    p.now += 100;
    p.step(Event::Tick);
    assert_eq!(
        batch_size(&take_batch(&mut p)),
        3,
        "the batch is sent after 400 ms"
    );
    p.leave_unanswered(&first);
}
