//! The order in which a node serves waiting requests.

use control::overload::precedence::{
    Backlog, Next, Precedence, READ_MAX_WAIT_MS, SUBMISSION_MAX_WAIT_MS,
};
use proptest::prelude::*;
use wire::http::Request;

fn request(method: &str, path: &str) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        body: Vec::new(),
        close: false,
    }
}

#[test]
fn heartbeats_and_cancels_precede_submissions() {
    let cases = [
        ("POST", "/hello", Precedence::Worker),
        ("GET", "/ready", Precedence::Worker),
        ("POST", "/work/job-000001/cancel", Precedence::Cancel),
        ("POST", "/work/job-000001/cancel?x=1", Precedence::Cancel),
        ("GET", "/work/job-000001", Precedence::Read),
        ("POST", "/work", Precedence::Submission),
        ("PUT", "/nothing", Precedence::Submission),
    ];
    for (method, path, expected) in cases {
        let seen = Precedence::of_client(&request(method, path));
        assert_eq!(seen, expected, "{method} {path}");
    }
    assert!(cases.is_sorted_by_key(|(_, _, precedence)| *precedence));
}

const ALL: [Precedence; 6] = [
    Precedence::Own,
    Precedence::Peer,
    Precedence::Worker,
    Precedence::Cancel,
    Precedence::Read,
    Precedence::Submission,
];

/// A reference implementation of the backlog that walks over a plain list.
#[derive(Default)]
struct ReferenceBacklog(Vec<(u64, Precedence, usize)>);

impl ReferenceBacklog {
    fn pop(&mut self, now: u64) -> Option<Next<usize>> {
        for (precedence, max_wait_ms) in [
            (Precedence::Submission, SUBMISSION_MAX_WAIT_MS),
            (Precedence::Read, READ_MAX_WAIT_MS),
        ] {
            let is_late = |(arrived, p, _): &(u64, Precedence, usize)| {
                *p == precedence && now > arrived + max_wait_ms
            };
            if let Some(index) = self.0.iter().position(is_late) {
                return Some(Next::Refuse(self.0.remove(index).2));
            }
        }
        let first = (0..self.0.len()).min_by_key(|index| (self.0[*index].1, *index))?;
        Some(Next::Serve(self.0.remove(first).2))
    }
}

proptest! {
    /// No request is lost or served twice, whatever arrives and however long it waits.
    #[test]
    fn backlog_matches_reference_list(
        steps in prop::collection::vec((0u64..400, 0usize..6, any::<bool>()), 1..300)
    ) {
        let (mut backlog, mut reference) = (Backlog::default(), ReferenceBacklog::default());
        let mut now = 0;
        for (item, (elapsed, precedence, pops)) in steps.into_iter().enumerate() {
            now += elapsed;
            if pops {
                prop_assert_eq!(backlog.pop(now), reference.pop(now));
            } else {
                backlog.push(now, ALL[precedence], item);
                reference.0.push((now, ALL[precedence], item));
            }
            prop_assert_eq!(backlog.is_empty(), reference.0.is_empty());
        }
        let rest = reference.0.len();
        prop_assert_eq!(backlog.drain().count(), rest);
    }
}
