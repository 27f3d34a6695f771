//! What a leader's users and the front end beside it leave of a second's requests and changes.

mod scripted;

use control::Event;
use scripted::{ScriptedNode, job_spec};
use serde_json::json;
use wire::http::Request;

/// The share of the state service's changes that the leader may make.
const LEADER_SHARE: f64 = 0.9;

/// A flood of submissions to the leader: it accepts no more at once than it may write, and claims and ends find a
/// part of the second's changes left. Its watch has counted none of them yet.
#[test]
fn submissions_to_leader_leave_writes_for_claims() {
    let mut p =
        ScriptedNode::with(|settings| settings.cluster.state.write_rps = 30.0 / LEADER_SHARE);
    p.become_leader();
    // A second's worth is there again after the take-over.
    p.run(3000, &mut |_| None);
    let accepts = |p: &ScriptedNode| p.sent.iter().filter(|s| s.writes_below("live/")).count();
    assert_eq!(accepts(&p), 0);
    for n in 0..100 {
        let mut spec = job_spec();
        spec["nameId"] = json!(format!("job-{:06}", 412 + n));
        let request = Request {
            method: "POST".into(),
            path: "/work".into(),
            body: wire::encode(&spec),
            close: false,
        };
        p.step(Event::Client {
            conn: 1 + n,
            request,
        });
    }
    assert_eq!(accepts(&p), 27);
}
