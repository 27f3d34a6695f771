//! Transactions whose answer is lost, or arrives after another node has taken over: what a node may conclude.

mod scripted;

use control::Destination;
use scripted::{ScriptedNode, SentRequest};
use serde_json::json;
use wire::peer::PeerRequest;

fn writes_end_record(sent: &SentRequest) -> bool {
    sent.writes_below("end/")
}

/// The state service did not answer, then refused this node alone, and another node took over and ended the job as
/// done. Since the end's key existed, the node took its own cancel to be recorded although it was never committed,
/// confirmed it, and kept it in memory for good.
#[test]
fn end_by_later_leader_is_not_taken_as_own() {
    let mut p = ScriptedNode::new();
    p.become_leader();
    p.client_request(1, "POST", "/work/job-000001/cancel");
    let first = p.tick_until_sent("the end", writes_end_record);
    p.leave_unanswered(&first);
    let second = p.tick_until_sent("the repeated end", writes_end_record);
    assert_eq!(first.body, second.body);
    p.reply(
        &second,
        409,
        json!({"failed": ["sys/owner/0", "live/job-000001", "end/job-000001"], "ledger": 99}),
    );
    if let Some(i) = p.sent.iter().position(|s| s.path == "/keys/end/job-000001") {
        let read = p.sent.remove(i);
        let end = json!({"key": "end/job-000001", "v": {"stage": "done", "done": 3}, "stamp": 90});
        p.reply(&read, 200, end);
    }
    assert!(!p.was_told_stage("cancelled"), "{:?}", p.responses);
    // Nor does the node answer so from memory.
    p.client_request(2, "GET", "/work/job-000001");
    assert!(!p.was_told_stage("cancelled"), "{:?}", p.responses);
}

/// While the node's own leader record is still stored, no other node can have written the end: the first copy of the
/// transaction was committed, and the cancel is confirmed.
#[test]
fn committed_first_copy_is_recognised() {
    let mut p = ScriptedNode::new();
    p.become_leader();
    p.client_request(1, "POST", "/work/job-000001/cancel");
    let first = p.tick_until_sent("the end", writes_end_record);
    p.leave_unanswered(&first);
    let second = p.tick_until_sent("the repeated end", writes_end_record);
    p.reply(
        &second,
        409,
        json!({"failed": ["live/job-000001", "end/job-000001"], "ledger": 31}),
    );
    let read = p.tick_until_sent("a read of the end record", |s| {
        s.method == "GET" && s.path == "/keys/end/job-000001"
    });
    let end = json!({"key": "end/job-000001", "v": {"stage": "cancelled", "done": 0}, "stamp": 30});
    p.reply(&read, 200, end);
    assert!(p.was_told_stage("cancelled"), "{:?}", p.responses);
}

/// The answer that confirmed a take-over arrived after the lease had expired and another node had taken over. The node
/// then derived a token from the other node's, which was recorded nowhere, and announced it to all peers.
#[test]
fn superseded_take_over_is_ignored() {
    let mut p = ScriptedNode::new();
    let take = p.campaign();
    let watch = p.tick_until_sent("watches the shared state", |s| {
        s.path.starts_with("/changes?under=sys/")
    });
    let leader = json!({"node": "burrow-1", "token": 5, "lease": 9, "life": 4});
    p.reply(
        &watch,
        200,
        json!({"ledger": 15, "log": [{"write": "sys/token", "v": {"token": 5}, "stamp": 15},
                                     {"write": "sys/owner/0", "v": leader, "stamp": 15}]}),
    );
    p.reply(&take, 200, json!({"ledger": 12}));
    let peer_requests: Vec<PeerRequest> = p
        .sent
        .iter()
        .filter(|s| matches!(s.to, Destination::Peer(_)))
        .filter_map(|s| wire::peer::decode(&s.body).ok())
        .collect();
    assert!(
        !peer_requests
            .iter()
            .any(|a| matches!(a, PeerRequest::Leads { .. })),
        "{peer_requests:?}"
    );
    assert_eq!(p.node.leader_among_peers(), Some(0));
}
