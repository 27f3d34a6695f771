//! Commands to a worker that were never sent, and those that got no answer: what a leader concludes from each.

mod scripted;

use control::{Destination, Effect, Event};
use scripted::{ScriptedNode, ScriptedWorker, SentRequest};
use serde_json::{Value, json};
use wire::http::Response;
use wire::peer::{self, PeerRequest, PeerResponse};

/// The connection on which a peer forwards heartbeats.
const PEER_CONN: u64 = 901;
const SILENT_MS: u64 = 7000;

/// How a worker's heartbeats and commands travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route {
    Direct,
    ViaPeer,
}

impl Route {
    fn heartbeat(self, p: &mut ScriptedNode, worker: &mut ScriptedWorker) -> Value {
        if self == Route::Direct {
            return worker.send_heartbeat(p);
        }
        let body = wire::encode(&worker.next_heartbeat());
        let ask = PeerRequest::Reports {
            node: p.first_peer_name(),
            reports: vec![body.into()],
        };
        let answer = p.request_as_peer(&ask);
        let PeerResponse::Orders(bodies) = answer else {
            panic!("a forwarded heartbeat is answered by orders: {answer:?}");
        };
        let orders: Value = wire::decode(&bodies[0]).expect("orders are decodable");
        worker.apply_orders(&orders);
        orders
    }

    /// The orders of a command that is sent by this route.
    fn command_orders(self, sent: &SentRequest) -> Option<Value> {
        match (self, sent.to) {
            (Route::Direct, Destination::Worker(_)) => sent.command_body(),
            (Route::ViaPeer, Destination::Peer(_)) => match peer::decode(&sent.body) {
                Ok(PeerRequest::Command { body, .. }) => wire::decode(&body).ok(),
                _ => None,
            },
            _ => None,
        }
    }

    fn contains_start(self, sent: &SentRequest) -> bool {
        self.command_orders(sent)
            .is_some_and(|orders| order_count(&orders, "start") > 0)
    }
}

trait PeerRequests {
    fn first_peer_name(&self) -> String;
    fn request_as_peer(&mut self, ask: &PeerRequest) -> PeerResponse;
}

impl PeerRequests for ScriptedNode {
    fn first_peer_name(&self) -> String {
        let text = include_str!("../../../deploy/settings-example.json");
        let settings: wire::settings::Settings =
            serde_json::from_str(text).expect("the example is accepted");
        settings.peers[0].node.clone()
    }

    fn request_as_peer(&mut self, ask: &PeerRequest) -> PeerResponse {
        let request = wire::http::Request {
            method: "POST".into(),
            path: peer::PATH.into(),
            body: peer::encode(ask),
            close: false,
        };
        let now = control::Now {
            mono: self.now,
            wall: self.now,
        };
        let mut answer = None;
        let mut writes = Vec::new();
        for effect in self.node.handle(
            now,
            Event::Peer {
                conn: PEER_CONN,
                request,
            },
        ) {
            match effect {
                Effect::Respond {
                    conn: PEER_CONN,
                    response,
                } => {
                    answer = peer::decode(&response.body).ok();
                }
                Effect::Send { tag, path, .. } if path == "/txn" => writes.push(tag),
                // A probe of an unexpected machine stays unanswered.
                Effect::Send {
                    to: Destination::Worker(_),
                    ..
                } => {}
                other => panic!("unexpected effect: {other:?}"),
            }
        }
        for tag in writes {
            let response = Response {
                status: 200,
                body: wire::encode(&json!({"ledger": 500})),
                close: false,
                retry_after_s: None,
            };
            self.step(Event::Reply {
                tag,
                response: Some(response),
            });
        }
        answer.expect("a peer is answered")
    }
}

fn order_count(orders: &Value, verb: &str) -> usize {
    let orders = orders["orders"].as_array().into_iter().flatten();
    orders.filter(|order| order["verb"] == verb).count()
}

fn peer_response(answer: &PeerResponse) -> Response {
    Response {
        status: 200,
        body: peer::encode(answer),
        close: false,
        retry_after_s: None,
    }
}

fn token_of(orders: &Value) -> u64 {
    orders["baton"].as_u64().expect("orders carry a token")
}

/// A transaction that takes a new range of tokens.
fn raises_token(sent: &SentRequest) -> bool {
    sent.writes_below("sys/token")
}

/// A command for which no socket was free was not sent, so it can't be executed later: no higher token is needed, and
/// its starts go with the answer to the next heartbeat. A command that was sent and not answered may still be executed,
/// so the worker gets a higher token before the starts are sent again.
#[test]
fn unsent_command_raises_no_token() {
    for (route, sent) in [
        (Route::Direct, false),
        (Route::ViaPeer, false),
        (Route::Direct, true),
    ] {
        let mut p = ScriptedNode::new();
        p.become_leader();
        let mut worker = ScriptedWorker::new("host-000001");
        route.heartbeat(&mut p, &mut worker);
        p.run(1000, &mut |_| None);
        route.heartbeat(&mut p, &mut worker);
        let command = p.run_until_sent("the first starts", |s| route.contains_start(s));
        let token = route
            .command_orders(&command)
            .map(|orders| token_of(&orders));
        p.sent.retain(|s| !raises_token(s));
        let answer = route.heartbeat(&mut p, &mut worker);
        assert_eq!(
            order_count(&answer, "start"),
            0,
            "while the command is in flight: {route:?}"
        );
        if sent {
            p.leave_unanswered(&command);
        } else {
            p.step(Event::Unsent { tag: command.tag });
        }
        let answer = route.heartbeat(&mut p, &mut worker);
        assert_eq!(
            order_count(&answer, "start") > 0,
            !sent,
            "claims that were not sent go with the next answer: {route:?}, {answer}"
        );
        let raised = Some(token_of(&answer)) > token;
        assert_eq!(raised, sent, "whether the token is raised: {route:?}");
        let mut written = p.sent.iter().any(raises_token);
        p.run(1000, &mut |s| {
            written |= raises_token(s);
            None
        });
        assert!(!written, "a token of the leader's own range: {route:?}");
        if sent {
            // The command is no longer in flight: once the worker has seen the higher token, it gets its orders.
            let answer = route.heartbeat(&mut p, &mut worker);
            assert!(order_count(&answer, "start") > 0, "{route:?}: {answer}");
        }
    }
}

/// A relay says that it did not send a command; a copy of the request to the relay may still reach the worker by way of
/// it. The job is cancelled before or after the worker's next heartbeat, which does not list the task. The claim is given
/// up only once the worker has a higher token than the start's.
#[test]
fn start_that_a_relay_did_not_send_is_given_up_only_under_a_higher_token() {
    for heard_before_cancel in [false, true] {
        let route = Route::ViaPeer;
        let mut p = ScriptedNode::new();
        p.become_leader();
        let mut worker = ScriptedWorker::new("host-000001");
        route.heartbeat(&mut p, &mut worker);
        p.run(1000, &mut |_| None);
        route.heartbeat(&mut p, &mut worker);
        let command = p.run_until_sent("the first starts", |s| route.contains_start(s));
        let token = route
            .command_orders(&command)
            .map(|orders| token_of(&orders));
        p.step(Event::Reply {
            tag: command.tag,
            response: Some(peer_response(&PeerResponse::refused(421, ""))),
        });
        if heard_before_cancel {
            // The worker drops the answer, and with it the starts that are sent again.
            let heartbeat = wire::encode(&worker.next_heartbeat());
            let ask = PeerRequest::Reports {
                node: p.first_peer_name(),
                reports: vec![heartbeat.into()],
            };
            p.request_as_peer(&ask);
        }
        p.client_request(1, "POST", "/work/job-000001/cancel");
        let stop = p.run_until_sent("the stop", |s| route.command_orders(s).is_some());
        assert!(
            p.was_told_stage("cancelled"),
            "the cancellation is confirmed"
        );
        let answered = PeerResponse::CommandResult {
            status: 200,
            body: wire::encode(&worker.next_heartbeat()).into(),
        };
        p.step(Event::Reply {
            tag: stop.tag,
            response: Some(peer_response(&answered)),
        });
        let answer = route.heartbeat(&mut p, &mut worker);
        assert!(
            Some(token_of(&answer)) > token,
            "heard before the cancellation: {heard_before_cancel}, {answer}"
        );
    }
}

/// A machine that could not be probed because no socket was free has not failed to answer: it is probed again and kept.
/// A machine that was probed and does not answer is returned to the cloud.
#[test]
fn machine_is_not_returned_for_unsent_probes() {
    for sent in [false, true] {
        let mut p = ScriptedNode::new();
        let worker = p.become_leader_with_machine();
        let mut probes = 0;
        let mut returned = false;
        let end = p.now + 3 * SILENT_MS;
        while p.now < end {
            p.run(50, &mut |s| {
                returned |= s.path == "/machines/delete";
                None
            });
            while let Some(i) = p.sent.iter().position(|s| s.is_to(&worker.name)) {
                let command = p.sent.remove(i);
                let orders = command.command_body().expect("a command");
                probes += u32::from(orders["orders"] == json!([]));
                if sent {
                    p.leave_unanswered(&command);
                } else {
                    p.step(Event::Unsent { tag: command.tag });
                }
            }
        }
        assert_eq!(returned, sent, "returned, after {probes} probes");
        let least = if sent { 1 } else { 5 };
        assert!(
            probes >= least,
            "expected at least {least} probes, got {probes}"
        );
    }
}
