//! A test harness for one controller with scripted answers of the state service, cloud, workers and peers.

#![allow(dead_code)] // Each test file uses only a part of it.

use control::{Destination, Effect, Event, Node, Now, Tuning};
use serde_json::{Value, json};
use wire::http::{Request, Response};
use wire::settings::Settings;

/// A node, its clock, and the requests that it has sent and that are not answered yet.
pub struct ScriptedNode {
    pub node: Node,
    pub now: u64,
    pub sent: Vec<SentRequest>,
    /// Responses to users and workers: the connection, the status and the body.
    pub responses: Vec<(u64, u16, Value)>,
    revision: u64,
}

#[derive(Debug)]
pub struct SentRequest {
    pub tag: u64,
    pub to: Destination,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// When it times out, and whether the test's script has seen it.
    due: u64,
    seen: bool,
}

impl SentRequest {
    /// Whether it is a transaction that puts or removes a key below a prefix.
    pub fn writes_below(&self, under: &str) -> bool {
        let txn: Value = wire::decode(&self.body).unwrap_or_default();
        let keys = txn["writes"].as_array().into_iter().flatten();
        let mut keys = keys.filter_map(|w| w["write"].as_str().or(w["remove"].as_str()));
        self.path == "/txn" && keys.any(|k| k.starts_with(under))
    }

    /// The decoded body, if it is a command to a worker.
    pub fn command_body(&self) -> Option<Value> {
        matches!(self.to, Destination::Worker(_))
            .then(|| wire::decode(&self.body).expect("commands are decodable"))
    }

    pub fn is_to(&self, machine: &str) -> bool {
        let n = machine.trim_start_matches("host-").trim_start_matches('0');
        matches!(self.to, Destination::Worker(addr) if addr.to_string() == format!("10.1.0.{n}:9000"))
    }

    /// How many orders of a kind the command has.
    pub fn order_count(&self, verb: &str) -> usize {
        let orders = self.command_body().unwrap_or_default();
        orders["orders"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|o| o["verb"] == verb)
            .count()
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

impl ScriptedNode {
    pub fn new() -> Self {
        ScriptedNode::with(|_| {})
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
        ScriptedNode {
            node,
            now,
            sent: Vec::new(),
            responses: Vec::new(),
            revision: 20,
        }
    }

    pub fn step(&mut self, event: Event) {
        for effect in self.node.handle(
            Now {
                mono: self.now,
                wall: self.now,
            },
            event,
        ) {
            match effect {
                Effect::Respond { conn, response: r } => {
                    self.responses.push((
                        conn,
                        r.status,
                        wire::decode(&r.body).unwrap_or_default(),
                    ));
                }
                Effect::Send {
                    tag,
                    to,
                    method,
                    path,
                    body,
                    timeout_ms,
                    ..
                } => {
                    let due = self.now + timeout_ms;
                    self.sent.push(SentRequest {
                        tag,
                        to,
                        method,
                        path,
                        body,
                        due,
                        seen: false,
                    });
                }
                Effect::Frontend { .. } => {}
            }
        }
    }

    /// Ticks until a matching request is sent, and answers none meanwhile.
    pub fn tick_until_sent(
        &mut self,
        what: &str,
        predicate: impl Fn(&SentRequest) -> bool,
    ) -> SentRequest {
        for _ in 0..30 {
            if let Some(i) = self.sent.iter().position(&predicate) {
                return self.sent.remove(i);
            }
            self.now += 50;
            self.step(Event::Tick);
        }
        panic!("{what}: not among {:?}", self.sent);
    }

    pub fn reply(&mut self, sent: &SentRequest, status: u16, body: Value) {
        let response = Some(Response {
            status,
            body: wire::encode(&body),
            close: false,
            retry_after_s: None,
        });
        self.step(Event::Reply {
            tag: sent.tag,
            response,
        });
    }

    pub fn leave_unanswered(&mut self, sent: &SentRequest) {
        self.step(Event::Reply {
            tag: sent.tag,
            response: None,
        });
    }

    pub fn answer_range_read(&mut self, under: &str, items: Value) {
        let start = format!("/keys?under={under}");
        let sent = self.tick_until_sent(under, |s| s.path.starts_with(&start));
        self.reply(
            &sent,
            200,
            json!({"items": items, "more": false, "ledger": 9}),
        );
    }

    /// The node learns that nobody leads the fleet and gets a lease; returns its take-over transaction.
    pub fn campaign(&mut self) -> SentRequest {
        let types =
            json!([{"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "halls": ["a"]}]);
        self.answer_range_read(
            "sys/",
            json!([{"key": "sys/catalog", "v": {"builds": types}, "stamp": 2},
                   {"key": "sys/token", "v": {"token": 3}, "stamp": 3}]),
        );
        let grant = self.tick_until_sent("requests a lease", |s| s.path == "/grants");
        self.reply(&grant, 200, json!({"tenancy": 7}));
        self.tick_until_sent("takes over", |s| s.writes_below("sys/owner/"))
    }

    /// The node takes over as leader and loads one job.
    pub fn become_leader(&mut self) {
        let take = self.campaign();
        self.reply(&take, 200, json!({"ledger": 12}));
        let rec = json!({"spec": job_spec(), "at_ms": 5, "part": 0});
        self.answer_range_read(
            "live/",
            json!([{"key": "live/job-000001", "v": rec, "stamp": 8}]),
        );
        for under in [
            "part/0/rack/",
            "part/0/log/",
            "part/0/hire/",
            "part/0/allot",
            "sys/",
        ] {
            self.answer_range_read(under, json!([]));
        }
        while let Some(i) = self.sent.iter().position(|s| s.path == "/txn") {
            let txn = self.sent.remove(i);
            self.revision += 1;
            self.reply(&txn, 200, json!({"ledger": self.revision}));
        }
    }

    pub fn client_request(&mut self, conn: u64, method: &str, path: &str) {
        let request = Request {
            method: method.into(),
            path: path.into(),
            body: Vec::new(),
            close: false,
        };
        self.step(Event::Client { conn, request });
    }

    /// A worker's heartbeat arrives; returns the answer.
    pub fn heartbeat(&mut self, report: &Value) -> Value {
        let body = wire::encode(report);
        let request = Request {
            method: "POST".into(),
            path: "/hello".into(),
            body,
            close: false,
        };
        self.step(Event::Client {
            conn: WORKER_CONN,
            request,
        });
        self.last_response(WORKER_CONN).clone()
    }

    /// The watch on the state service reports another accepted job.
    pub fn add_live_job(&mut self, id: &str) {
        let watch = self.run_until_sent("watches jobs", |s| {
            s.path.starts_with("/changes?under=live/")
        });
        self.revision += 1;
        let mut spec = job_spec();
        spec["nameId"] = json!(id);
        let change = json!({"write": format!("live/{id}"), "v": {"spec": spec, "at_ms": 5, "part": 0}, "stamp": self.revision});
        self.reply(
            &watch,
            200,
            json!({"ledger": self.revision, "log": [change]}),
        );
    }

    pub fn was_told_stage(&self, stage: &str) -> bool {
        self.responses
            .iter()
            .any(|(_, _, body)| body["stage"] == stage)
    }

    /// The node leads the fleet, with one job and a machine whose worker sends heartbeats and carries out orders.
    pub fn become_leader_with_machine(&mut self) -> ScriptedWorker {
        self.become_leader();
        let mut worker = ScriptedWorker::new("host-000001");
        worker.send_heartbeat(self);
        self.run(1000, &mut |_| None);
        worker.send_heartbeat(self);
        worker
    }

    /// Lets `ms` pass. Each request is first offered to the test's script. Without a scripted answer the state service
    /// accepts transactions and lease renewals, and all other requests time out when they are due.
    pub fn run(&mut self, ms: u64, script: &mut dyn FnMut(&SentRequest) -> Option<ScriptedAnswer>) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 50;
            self.step(Event::Tick);
            for mut sent in std::mem::take(&mut self.sent) {
                let renews = sent.path.starts_with("/grants/") && sent.method == "POST";
                let answer = if std::mem::replace(&mut sent.seen, true) {
                    None
                } else {
                    script(&sent)
                };
                match answer {
                    Some(ScriptedAnswer::NoReply) => self.leave_unanswered(&sent),
                    Some(ScriptedAnswer::Reply(status, body)) => self.reply(&sent, status, body),
                    None if sent.path == "/txn" => {
                        self.revision += 1;
                        self.reply(&sent, 200, json!({"ledger": self.revision}));
                    }
                    None if renews => self.reply(&sent, 200, json!({})),
                    None if sent.due <= self.now => self.leave_unanswered(&sent),
                    Some(ScriptedAnswer::Deferred) | None => self.sent.push(sent),
                }
            }
        }
    }

    /// Runs until a matching request is sent.
    pub fn run_until_sent(
        &mut self,
        what: &str,
        predicate: impl Fn(&SentRequest) -> bool,
    ) -> SentRequest {
        for _ in 0..200 {
            if let Some(i) = self.sent.iter().position(&predicate) {
                return self.sent.remove(i);
            }
            self.run(50, &mut |s| {
                predicate(s).then_some(ScriptedAnswer::Deferred)
            });
        }
        panic!("{what}: was not sent")
    }

    /// The body of the last response to a connection.
    pub fn last_response(&self, conn: u64) -> &Value {
        let responses = self.responses.iter().rev().find(|(c, _, _)| *c == conn);
        responses
            .map(|(_, _, body)| body)
            .expect("the connection got a response")
    }
}

/// How a script answers a request.
pub enum ScriptedAnswer {
    Reply(u16, Value),
    NoReply,
    /// The test answers it later.
    Deferred,
}

/// A worker as seen through its heartbeats and its answers to commands.
pub struct ScriptedWorker {
    pub name: String,
    pub agent_epoch: u64,
    pub seq: u64,
    pub token: u64,
    /// Tasks with their attempts and stages.
    pub tasks: Vec<(String, u64, &'static str)>,
}

/// The connection on which workers send heartbeats.
pub const WORKER_CONN: u64 = 900;

impl ScriptedWorker {
    pub fn new(name: &str) -> Self {
        ScriptedWorker {
            name: name.into(),
            agent_epoch: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
        }
    }

    pub fn next_heartbeat(&mut self) -> Value {
        self.seq += 1;
        let task = |(name, attempt, stage): &(String, u64, &str)| json!({"piece": name, "try": attempt, "stage": stage});
        let tasks: Vec<Value> = self.tasks.iter().map(task).collect();
        let addr = format!(
            "10.1.0.{}:9000",
            self.name
                .trim_start_matches("host-")
                .trim_start_matches('0')
        );
        json!({"burrow": self.name, "addr": addr, "build": "g8", "hall": "a", "loaners": false,
            "tenure": self.agent_epoch, "tick": self.seq, "baton": self.token, "warningS": null, "pieces": tasks})
    }

    /// Sends a heartbeat and carries out the orders in the answer.
    pub fn send_heartbeat(&mut self, p: &mut ScriptedNode) -> Value {
        let body = self.next_heartbeat();
        let answer = p.heartbeat(&body);
        self.apply_orders(&answer);
        answer
    }

    /// Carries out orders; tasks start to run at once.
    pub fn apply_orders(&mut self, orders: &Value) {
        self.token = self.token.max(orders["baton"].as_u64().unwrap_or(0));
        for order in orders["orders"].as_array().into_iter().flatten() {
            let (task, attempt) = (
                order["piece"].as_str().unwrap_or(""),
                order["try"].as_u64().unwrap_or(0),
            );
            let known = self
                .tasks
                .iter()
                .position(|(t, a, _)| t == task && *a == attempt);
            match (order["verb"].as_str(), known) {
                (Some("start"), None) => self.tasks.push((task.into(), attempt, "running")),
                (Some("stop"), Some(i)) => self.tasks[i].2 = "exited",
                (Some("reap"), Some(i)) => drop(self.tasks.remove(i)),
                _ => {}
            }
        }
    }

    /// The answer to a command, if it is for this worker.
    pub fn answer_command(&mut self, sent: &SentRequest) -> Option<ScriptedAnswer> {
        let orders = sent.command_body().filter(|_| sent.is_to(&self.name))?;
        if orders["tenure"].as_u64() != Some(self.agent_epoch) {
            return Some(ScriptedAnswer::Reply(409, self.next_heartbeat()));
        }
        self.apply_orders(&orders);
        Some(ScriptedAnswer::Reply(200, self.next_heartbeat()))
    }

    /// The worker's lease expires: all tasks are killed and forgotten, and a new agent epoch begins.
    pub fn expire_lease(&mut self) {
        self.agent_epoch += 1;
        self.tasks.clear();
    }
}
