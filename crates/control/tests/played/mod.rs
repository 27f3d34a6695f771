//! One node, whose peers, state service and cloud answer as a test says.

#![allow(dead_code, reason = "each test file uses a part of it")]

use control::{Destination, Effect, Event, Node, Now, Tuning};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use wire::http::{Request, Response};
use wire::peer::{PeerRequest, PeerStatus, decode, encode};
use wire::settings::Settings;

/// A node, its time, and what it has sent that nobody has answered yet.
pub struct Played {
    pub node: Node,
    pub now: u64,
    pub sent: Vec<Sent>,
    /// Answers to users and peers: their connection, the status, the body and when.
    pub told: Vec<(u64, u16, Vec<u8>, u64)>,
    /// When an answer says to come again, by connection.
    pub again: BTreeMap<u64, Option<u32>>,
}

#[derive(Debug, Clone)]
pub struct Sent {
    pub tag: u64,
    pub to: Destination,
    pub path: String,
    pub body: Vec<u8>,
    pub due: u64,
}

impl Sent {
    pub fn ask(&self) -> Option<PeerRequest> {
        matches!(self.to, Destination::Peer(_)).then(|| decode(&self.body).expect("peers speak so"))
    }
    pub fn is_question(&self) -> bool {
        self.ask()
            .is_some_and(|a| !matches!(a, PeerRequest::PeerStatus(_) | PeerRequest::Leads { .. }))
    }
}

impl Played {
    pub fn new() -> Self {
        Played::with(|_| {})
    }

    /// The same with other settings.
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
        Played {
            node,
            now,
            sent: Vec::new(),
            told: Vec::new(),
            again: BTreeMap::new(),
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
                    self.again.insert(conn, r.retry_after_s);
                    self.told.push((conn, r.status, r.body, self.now));
                }
                Effect::Send {
                    tag,
                    to,
                    path,
                    body,
                    timeout_ms,
                    ..
                } => {
                    self.sent.push(Sent {
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

    /// Nobody answers for so long: what was sent ends in its time.
    pub fn silence(&mut self, ms: u64) {
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

    pub fn take(&mut self, which: impl Fn(&Sent) -> bool) -> Option<Sent> {
        let i = self.sent.iter().position(which)?;
        Some(self.sent.remove(i))
    }

    pub fn reply(&mut self, sent: &Sent, status: u16, body: Vec<u8>) {
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

    /// The state service answers a read of these records.
    pub fn page(&mut self, under: &str, items: Value) {
        let start = format!("/keys?under={under}");
        let sent = self.take(|s| s.path.starts_with(&start));
        let sent = sent.unwrap_or_else(|| panic!("reads {under}, not {:?}", self.sent));
        self.reply(
            &sent,
            200,
            wire::encode(&json!({"items": items, "more": false, "ledger": 9})),
        );
    }

    /// The node learns what is shared, and who leads the fleet.
    pub fn learns(&mut self, leader: Option<&str>) {
        self.step(Event::Tick);
        let types = json!([{"label": "g8", "cpus": 64.0, "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "halls": ["a"]}]);
        let mut items = vec![
            json!({"key": "sys/catalog", "v": {"types": types}, "stamp": 2}),
            json!({"key": "sys/token", "v": {"token": 3}, "stamp": 3}),
        ];
        items.extend(leader.map(
            |node| json!({"key": "sys/owner/0", "v": {"node": node, "token": 3, "lease": 5}, "stamp": 3}),
        ));
        self.page("sys/", Value::Array(items));
    }

    /// The same with machine types that jobs can be judged by, so that it accepts them.
    pub fn learns_with_types(&mut self, leader: &str) {
        self.step(Event::Tick);
        let types = json!([{"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "localGb": 200.0, "halls": ["a"]}]);
        let items = json!([
            {"key": "sys/catalog", "v": {"builds": types}, "stamp": 2},
            {"key": "sys/token", "v": {"token": 3}, "stamp": 3},
            {"key": "sys/owner/0", "v": {"node": leader, "token": 3, "lease": 5}, "stamp": 3},
        ]);
        self.page("sys/", items);
    }

    /// The only lease is granted, and our name stands on it.
    pub fn takes_over(&mut self) {
        self.learns(None);
        for _ in 0..5 {
            self.now += 100;
            self.step(Event::Tick);
        }
        let grant = self
            .take(|s| s.path == "/grants")
            .expect("asks for a lease");
        self.reply(&grant, 200, wire::encode(&json!({"tenancy": 7})));
        let take = self.take(|s| s.path == "/txn").expect("takes over");
        self.reply(&take, 200, wire::encode(&json!({"ledger": 12})));
    }

    pub fn ask(&mut self, conn: u64, method: &str, path: &str, body: Vec<u8>) {
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
            close: false,
        };
        self.step(Event::Client { conn, request });
    }

    pub fn query(&mut self, conn: u64) {
        self.ask(conn, "GET", "/work/job-000001", Vec::new());
    }

    pub fn asked(&mut self, ask: &PeerRequest) {
        let request = Request {
            method: "POST".into(),
            path: wire::peer::PATH.into(),
            body: encode(ask),
            close: false,
        };
        self.step(Event::Peer { conn: 900, request });
    }

    /// A peer says how it is served.
    pub fn peer_status(&mut self, node: &str, down: bool) {
        let (state_ms, token) = (Some(10), Some(3));
        let peer_status = PeerStatus {
            node: node.into(),
            state_ms,
            token,
            leads: None,
            hears_no_agents: false,
            spreads: false,
            down,
            delegation: None,
        };
        self.asked(&PeerRequest::PeerStatus(peer_status));
    }

    pub fn status(&self, conn: u64) -> Option<u16> {
        self.told.iter().find(|t| t.0 == conn).map(|t| t.1)
    }

    pub fn questions(&self) -> Vec<(Destination, PeerRequest)> {
        self.sent
            .iter()
            .filter(|s| s.is_question())
            .map(|s| (s.to, s.ask().expect("one")))
            .collect()
    }
}

pub fn job() -> Value {
    json!({
        "nameId": "job-000001", "lot": "c", "desk": "effects", "shape": "array", "urgency": "normal", "pieces": 3,
        "cores": 2.0, "gpus": 1.0, "ramGb": 4.0, "kit": "img-0", "pullGb": 1.0, "builds": null, "hall": null,
        "together": false, "spread": false, "loaners": false, "expectS": 10.0, "bookmarkS": 0.0, "stashS": 0.0,
        "dueS": null
    })
}

/// A leader that has read back one job and nothing else, and whose writes are taken so far.
pub fn leader_of_one_job() -> Played {
    let mut p = Played::new();
    p.takes_over();
    p.reads_back();
    p.served(500);
    p
}

impl Played {
    /// The only job is read back, and nothing beside it.
    pub fn reads_back(&mut self) {
        let rec = json!({"spec": job(), "at_ms": 5, "part": 0});
        self.reads_back_jobs(json!([{"key": "live/job-000001", "v": rec, "stamp": 8}]));
    }

    pub fn reads_back_jobs(&mut self, jobs: Value) {
        self.page("live/", jobs);
        self.reads_the_rest();
    }

    /// All that has not been read yet is empty.
    pub fn reads_the_rest(&mut self) {
        while let Some(read) = self.take(|s| s.path.starts_with("/keys?under=")) {
            self.reply(
                &read,
                200,
                wire::encode(&json!({"items": [], "more": false, "ledger": 13})),
            );
        }
    }

    pub fn knows_machine_types(&mut self) {
        let read = self.take(|s| s.path == "/catalog").expect("asks the cloud");
        let kind = json!({"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "localGb": 200.0,
            "fetchGbPerS": 1.0, "hourly": 12.0, "lowPrice": 4.5, "startupS": 45.0, "halls": ["a"]});
        self.reply(&read, 200, wire::encode(&json!({"builds": [kind]})));
    }

    /// For so long the state service takes all writes and renewals at once.
    pub fn served(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            self.step(Event::Tick);
            while let Some(write) = self.take(|s| s.path == "/txn" || s.path.ends_with("/renew")) {
                self.reply(
                    &write,
                    200,
                    wire::encode(&json!({"ledger": self.now, "tenancy": 7})),
                );
            }
        }
    }

    pub fn cancel(&mut self, conn: u64) {
        self.ask(conn, "POST", "/work/job-000001/cancel", Vec::new());
    }

    /// What a user was told: the status, and the stage if there is one.
    pub fn answer(&self, conn: u64) -> Option<(u16, Option<String>)> {
        let (_, status, body, _) = self.told.iter().find(|t| t.0 == conn)?;
        let stage = wire::decode::<Value>(body)
            .ok()
            .and_then(|v| Some(v["stage"].as_str()?.to_owned()));
        Some((*status, stage))
    }

    /// The only transaction under way gets no answer, and is sent again as it was.
    pub fn unheard(&mut self) -> Sent {
        let first = self.take(|s| s.path == "/txn").expect("writes");
        self.step(Event::Reply {
            tag: first.tag,
            response: None,
        });
        self.now += 300;
        self.step(Event::Tick);
        let again = self.take(|s| s.path == "/txn").expect("writes again");
        assert_eq!(first.body, again.body, "the same guards and writes");
        again
    }

    pub fn conflict(&mut self, sent: &Sent, failed: &[&str]) {
        self.reply(
            sent,
            409,
            wire::encode(&json!({"failed": failed, "ledger": 20})),
        );
    }

    /// The record of the job's end, if it is read.
    pub fn end_is(&mut self, stage: &str) -> bool {
        let Some(read) = self.take(|s| s.path == "/keys/end/job-000001") else {
            return false;
        };
        let rec = json!({"key": "end/job-000001", "v": {"stage": stage, "done": 3}, "stamp": 19});
        self.reply(&read, 200, wire::encode(&rec));
        true
    }
}

pub const OWNER: &str = "sys/owner/0";
pub const LIVE: &str = "live/job-000001";
pub const END: &str = "end/job-000001";
