//! How much of a second's requests and writes to the state service a leader's users leave to the leader itself.

mod scripted;

use control::Event;
use scripted::{ScriptedNode, job_spec};
use serde_json::json;
use wire::http::Request;

/// The share of the state service's write rate that the leader may use.
const LEADER_SHARE: f64 = 0.9;

/// A flood of submissions to the leader: it accepts no more at once than it may write, and leaves a part of the
/// second's writes for claims and ends, although its watch has reported none of the accepted jobs yet.
#[test]
fn submissions_to_leader_leave_writes_for_claims() {
    let mut p =
        ScriptedNode::with(|settings| settings.cluster.state.write_rps = 30.0 / LEADER_SHARE);
    p.become_leader();
    // After the take-over a full second's budget is available again.
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
