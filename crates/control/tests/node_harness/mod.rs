//! A test harness for one node, in which the test answers for peers, the state service and the cloud.

#![allow(dead_code, reason = "each test file uses a part of it")]

use control::{Destination, Effect, Event, Node, Now, Tuning};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use wire::http::{Request, Response};
use wire::peer::{PeerRequest, PeerStatus, decode, encode};
use wire::settings::Settings;

/// A node, its clock, and the requests that it has sent and that are not answered yet.
pub struct NodeHarness {
    pub node: Node,
    pub now: u64,
    pub sent: Vec<SentRequest>,
    /// Responses to users and peers: the connection, the status, the body and the time.
    pub responses: Vec<(u64, u16, Vec<u8>, u64)>,
    /// The Retry-After value of each response, in seconds, by connection.
    pub retry_after: BTreeMap<u64, Option<u32>>,
}

#[derive(Debug, Clone)]
pub struct SentRequest {
    pub tag: u64,
    pub to: Destination,
    pub path: String,
    pub body: Vec<u8>,
    pub due: u64,
}

impl SentRequest {
    pub fn peer_request(&self) -> Option<PeerRequest> {
        matches!(self.to, Destination::Peer(_))
            .then(|| decode(&self.body).expect("peer requests are decodable"))
    }
    /// Whether it asks a peer to serve a request: not a peer status, nor an announcement of the leader.
    pub fn is_forwarded(&self) -> bool {
        self.peer_request()
            .is_some_and(|a| !matches!(a, PeerRequest::PeerStatus(_) | PeerRequest::Leads { .. }))
    }
}

impl NodeHarness {
    pub fn new() -> Self {
        NodeHarness::with(|_| {})
    }

    /// A node with changed settings.
    pub fn with(change: impl FnOnce(&mut Settings)) -> Self {
        let text = include_str!("../../../../deploy/settings-example.json");
        let mut settings = serde_json::from_str(text).expect("the example is accepted");
        change(&mut settings);
        let now = 1_000_000;
        let node = Node::new(
            settings,
            Tuning::default(),
            1,
            Now {
                mono: now,
                wall: now,
            },
        );
        NodeHarness {
            node,
            now,
            sent: Vec::new(),
            responses: Vec::new(),
            retry_after: BTreeMap::new(),
        }
    }

    pub fn step(&mut self, event: Event) {
        let effects = self.node.handle(
            Now {
                mono: self.now,
                wall: self.now,
            },
            event,
        );
        for effect in effects {
            match effect {
                Effect::Respond { conn, response: r } => {
                    self.retry_after.insert(conn, r.retry_after_s);
                    self.responses.push((conn, r.status, r.body, self.now));
                }
                Effect::Send {
                    tag,
                    to,
                    path,
                    body,
                    timeout_ms,
                    ..
                } => {
                    self.sent.push(SentRequest {
                        tag,
                        to,
                        path,
                        body,
                        due: self.now + timeout_ms,
                    });
                }
                Effect::Frontend { .. } => {}
            }
        }
    }

    /// Lets `ms` pass without any answers, with ticks; requests time out when they are due.
    pub fn run_without_answers(&mut self, ms: u64) {
        let end = self.now + ms;
        loop {
            let next = self.sent.iter().map(|s| s.due).min().unwrap_or(u64::MAX);
            let tick = (self.now / 100 + 1) * 100;
            if next.min(tick) > end {
                self.now = end;
                return;
            }
            self.now = next.min(tick);
            match self.sent.iter().position(|s| s.due <= self.now) {
                Some(i) => {
                    let tag = self.sent.remove(i).tag;
                    self.step(Event::Reply {
                        tag,
                        response: None,
                    });
                }
                None => self.step(Event::Tick),
            }
        }
    }

    pub fn take_sent(&mut self, predicate: impl Fn(&SentRequest) -> bool) -> Option<SentRequest> {
        let i = self.sent.iter().position(predicate)?;
        Some(self.sent.remove(i))
    }

    pub fn reply(&mut self, sent: &SentRequest, status: u16, body: Vec<u8>) {
        let response = Some(Response {
            status,
            body,
            close: false,
            retry_after_s: None,
        });
        self.step(Event::Reply {
            tag: sent.tag,
            response,
        });
    }

    /// Answers the read of a key range in the state service with these records.
    pub fn answer_range_read(&mut self, under: &str, items: Value) {
        let start = format!("/keys?under={under}");
        let sent = self.take_sent(|s| s.path.starts_with(&start));
        let sent = sent.unwrap_or_else(|| panic!("no read of {under} among {:?}", self.sent));
        self.reply(
            &sent,
            200,
            wire::encode(&json!({"items": items, "more": false, "ledger": 9})),
        );
    }

    /// Answers the read of the shared state: the token, and which node leads the fleet.
    pub fn learn_shared_state(&mut self, leader: Option<&str>) {
        self.step(Event::Tick);
        let types = json!([{"label": "g8", "cpus": 64.0, "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "halls": ["a"]}]);
        let mut items = vec![
            json!({"key": "sys/catalog", "v": {"types": types}, "stamp": 2}),
            json!({"key": "sys/token", "v": {"token": 3}, "stamp": 3}),
        ];
        items.extend(leader.map(
            |node| json!({"key": "sys/owner/0", "v": {"node": node, "token": 3, "lease": 5}, "stamp": 3}),
        ));
        self.answer_range_read("sys/", Value::Array(items));
    }

    /// Answers the read of the shared state with machine types too, so that the node can check and accept jobs.
    pub fn learn_shared_state_with_types(&mut self, leader: &str) {
        self.step(Event::Tick);
        let types = json!([{"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "localGb": 200.0, "halls": ["a"]}]);
        let items = json!([
            {"key": "sys/catalog", "v": {"builds": types}, "stamp": 2},
            {"key": "sys/token", "v": {"token": 3}, "stamp": 3},
            {"key": "sys/owner/0", "v": {"node": leader, "token": 3, "lease": 5}, "stamp": 3},
        ]);
        self.answer_range_read("sys/", items);
    }

    /// Grants the leader's lease and accepts the node's leader record.
    pub fn become_leader(&mut self) {
        self.learn_shared_state(None);
        for _ in 0..5 {
            self.now += 100;
            self.step(Event::Tick);
        }
        let grant = self
            .take_sent(|s| s.path == "/grants")
            .expect("requests a lease");
        self.reply(&grant, 200, wire::encode(&json!({"tenancy": 7})));
        let take = self.take_sent(|s| s.path == "/txn").expect("takes over");
        self.reply(&take, 200, wire::encode(&json!({"ledger": 12})));
    }

    pub fn client_request(&mut self, conn: u64, method: &str, path: &str, body: Vec<u8>) {
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
            close: false,
        };
        self.step(Event::Client { conn, request });
    }

    pub fn query_job(&mut self, conn: u64) {
        self.client_request(conn, "GET", "/work/job-000001", Vec::new());
    }

    pub fn receive_peer_request(&mut self, request: &PeerRequest) {
        let request = Request {
            method: "POST".into(),
            path: wire::peer::PATH.into(),
            body: encode(request),
            close: false,
        };
        self.step(Event::Peer { conn: 900, request });
    }

    /// A peer reports whether the state service serves it.
    pub fn receive_peer_status(&mut self, node: &str, down: bool) {
        let (state_ms, token) = (Some(10), Some(3));
        let peer_status = PeerStatus {
            node: node.into(),
            state_ms,
            token,
            leads: None,
            leads_from: None,
            hears_no_agents: false,
            spreads: false,
            down,
            delegation: None,
        };
        self.receive_peer_request(&PeerRequest::PeerStatus(peer_status));
    }

    pub fn response_status(&self, conn: u64) -> Option<u16> {
        self.responses.iter().find(|t| t.0 == conn).map(|t| t.1)
    }

    pub fn forwarded_requests(&self) -> Vec<(Destination, PeerRequest)> {
        self.sent
            .iter()
            .filter(|s| s.is_forwarded())
            .map(|s| (s.to, s.peer_request().expect("a peer request")))
            .collect()
    }
}

pub fn job_spec() -> Value {
    json!({
        "nameId": "job-000001", "lot": "c", "desk": "effects", "shape": "array", "urgency": "normal", "pieces": 3,
        "cores": 2.0, "gpus": 1.0, "ramGb": 4.0, "kit": "img-0", "pullGb": 1.0, "builds": null, "hall": null,
        "together": false, "spread": false, "loaners": false, "expectS": 10.0, "bookmarkS": 0.0, "stashS": 0.0,
        "dueS": null
    })
}

/// A leader that has loaded one job and nothing else, and whose writes so far were accepted.
pub fn leader_with_one_job() -> NodeHarness {
    let mut p = NodeHarness::new();
    p.become_leader();
    p.recover_one_job();
    p.run_accepting_writes(500);
    p
}

impl NodeHarness {
    /// Answers the loading of records with one job and nothing else.
    pub fn recover_one_job(&mut self) {
        let rec = json!({"spec": job_spec(), "at_ms": 5, "part": 0});
        self.recover_jobs(json!([{"key": "live/job-000001", "v": rec, "stamp": 8}]));
    }

    pub fn recover_jobs(&mut self, jobs: Value) {
        self.answer_range_read("live/", jobs);
        self.answer_remaining_reads();
    }

    /// Answers all outstanding range reads with no records.
    pub fn answer_remaining_reads(&mut self) {
        while let Some(read) = self.take_sent(|s| s.path.starts_with("/keys?under=")) {
            self.reply(
                &read,
                200,
                wire::encode(&json!({"items": [], "more": false, "ledger": 13})),
            );
        }
    }

    pub fn learn_machine_types(&mut self) {
        let read = self
            .take_sent(|s| s.path == "/catalog")
            .expect("asks the cloud");
        let kind = json!({"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "localGb": 200.0,
            "fetchGbPerS": 1.0, "hourly": 12.0, "lowPrice": 4.5, "startupS": 45.0, "halls": ["a"]});
        self.reply(&read, 200, wire::encode(&json!({"builds": [kind]})));
    }

    /// Lets `ms` pass while the state service accepts all writes and lease renewals at once.
    pub fn run_accepting_writes(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            self.step(Event::Tick);
            while let Some(write) =
                self.take_sent(|s| s.path == "/txn" || s.path.ends_with("/renew"))
            {
                self.reply(
                    &write,
                    200,
                    wire::encode(&json!({"ledger": self.now, "tenancy": 7})),
                );
            }
        }
    }

    pub fn cancel_job(&mut self, conn: u64) {
        self.client_request(conn, "POST", "/work/job-000001/cancel", Vec::new());
    }

    /// The response to a connection: the status, and the job's stage if there is one.
    pub fn response_to(&self, conn: u64) -> Option<(u16, Option<String>)> {
        let (_, status, body, _) = self.responses.iter().find(|t| t.0 == conn)?;
        let stage = wire::decode::<Value>(body)
            .ok()
            .and_then(|v| Some(v["stage"].as_str()?.to_owned()));
        Some((*status, stage))
    }

    /// Lets the transaction in flight end without an answer; returns the node's identical second attempt.
    pub fn lose_transaction_answer(&mut self) -> SentRequest {
        let first = self.take_sent(|s| s.path == "/txn").expect("writes");
        self.step(Event::Reply {
            tag: first.tag,
            response: None,
        });
        self.now += 300;
        self.step(Event::Tick);
        let repeated = self.take_sent(|s| s.path == "/txn").expect("writes again");
        assert_eq!(first.body, repeated.body, "the same guards and writes");
        repeated
    }

    pub fn reply_conflict(&mut self, sent: &SentRequest, failed: &[&str]) {
        self.reply(
            sent,
            409,
            wire::encode(&json!({"failed": failed, "ledger": 20})),
        );
    }

    /// Answers the read of the job's end record, if there is one; returns whether there was.
    pub fn answer_end_read(&mut self, stage: &str) -> bool {
        let Some(read) = self.take_sent(|s| s.path == "/keys/end/job-000001") else {
            return false;
        };
        let rec = json!({"key": "end/job-000001", "v": {"stage": stage, "done": 3}, "stamp": 19});
        self.reply(&read, 200, wire::encode(&rec));
        true
    }
}

pub const LEADER_KEY: &str = "sys/owner/0";
pub const LIVE_KEY: &str = "live/job-000001";
pub const END_KEY: &str = "end/job-000001";
