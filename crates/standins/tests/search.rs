//! Exhaustive test of all short fault sequences against the real controller code: three nodes, a state service, one
//! worker that cannot be commanded directly, and one job whose user cancels it. At each of a few steps, more than a
//! second apart, one fault is applied; every combination of faults is run.
//!
//! `crates/control/tests/search.rs` explores every ordering of every step in a model. This test covers fewer sequences,
//! but runs the code itself.

use control::{Destination, Effect, Event, Node, Now, Tuning};
use serde_json::{Value, json};
use standins::state::{Outcome, State, Watch};
use std::collections::{BTreeMap, HashMap};
use wire::api::{Order, Orders, Redirect};
use wire::http::{Request, Response};
use wire::settings::Settings;

const NODES: usize = 3;
/// Worker leases last 3 s and cancellations may take 8 s, the shortest values that leave time to renew leases after the
/// last contact: 2.98 s.
const LEASE_MS: u64 = 3000;
const CANCEL_MS: u64 = 8000;
const TTL_MS: u64 = 1000;
/// Number of steps at which a fault may be applied, and the time between them.
const STEPS: usize = 4;
const STEP_MS: u64 = 1300;
const JOB: &str = "job-000001";

/// What may be applied at a step. The old leader is the node that leads the fleet at first; the new one is the current
/// leader, or the next node while the old one still leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The state service starts or stops refusing the old leader.
    ToggleRefusal,
    /// The state service goes out for all nodes, or comes back.
    ToggleOutage,
    RestartOld,
    RestartNew,
}

const FAULTS: [Fault; 5] = [
    Fault::Nothing,
    Fault::ToggleRefusal,
    Fault::ToggleOutage,
    Fault::RestartOld,
    Fault::RestartNew,
];

/// Which requests are delivered between the old leader and the other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peers {
    All,
    /// The old leader's requests are delivered and answered; requests to it are lost.
    OldLeaderRequests,
    Nothing,
}

#[derive(Debug, Clone)]
struct FaultSequence {
    faults: [Fault; STEPS],
    peers: Peers,
    /// The step from which on the user requests the cancellation.
    cancel_step: usize,
}

enum Message {
    /// For one incarnation of a node: node, incarnation, event.
    Node(usize, u64, Event),
    /// A watch has reached its timeout.
    WatchTimeout(u64),
}

struct Worker {
    reports_to: usize,
    latest_token: u64,
    seq: u64,
    /// When the last report that was answered was sent.
    lease_renewed_at: u64,
    next_report_at: u64,
    /// The connection of the unanswered report, and when it was sent.
    pending: Option<(u64, u64)>,
}

#[derive(Debug, Clone, Copy)]
enum Connection {
    User,
    Worker,
    Peer {
        node: usize,
        incarnation: u64,
        tag: u64,
    },
}

struct Simulation {
    now: u64,
    sequence: FaultSequence,
    state: State,
    outage: bool,
    refused: bool,
    nodes: Vec<(Node, u64)>,
    old_leader: usize,
    scheduled: BTreeMap<(u64, u64), Message>,
    sent: u64,
    conns: HashMap<u64, Connection>,
    watches: BTreeMap<u64, (usize, u64, u64, Watch)>,
    worker: Worker,
    confirmed: Option<u64>,
    /// What ended the task: a stop order or the expiry of its lease.
    ended_by: Option<&'static str>,
}

fn name(n: usize) -> String {
    format!("burrow-{n}")
}

fn settings(n: usize) -> Settings {
    let mut s: Value = serde_json::from_str(include_str!("../../../deploy/settings-example.json"))
        .expect("settings example is not valid JSON");
    s["node"] = name(n).into();
    let peers = (0..NODES).filter(|p| *p != n);
    let peers = peers.map(
        |p| json!({"node": name(p), "domain": "a", "address": format!("127.0.0.1:{}", 9000 + p)}),
    );
    s["peers"] = peers.collect();
    s["domain"] = "a".into();
    s["cluster"]["workers"]["report_s"] = 0.5.into();
    s["cluster"]["workers"]["lease_s"] = (LEASE_MS as f64 / 1000.0).into();
    s["cluster"]["workers"]["cancel_s"] = (CANCEL_MS as f64 / 1000.0).into();
    serde_json::from_value(s).expect("settings example was rejected")
}

fn peer_of(n: usize, index: usize) -> usize {
    (0..NODES)
        .filter(|p| *p != n)
        .nth(index)
        .expect("no peer at this index")
}

fn new_node(n: usize, incarnation: u64, now: u64) -> Node {
    let mut tuning = Tuning::default();
    tuning
        .set("owner", "ttl_ms", &TTL_MS.to_string())
        .expect("ttl_ms was rejected");
    Node::new(
        settings(n),
        tuning,
        incarnation * 10 + n as u64,
        Now {
            mono: now,
            wall: now,
        },
    )
}

fn post(path: &str, body: Vec<u8>) -> Request {
    Request {
        method: "POST".into(),
        path: path.into(),
        body,
        close: false,
    }
}

impl Simulation {
    fn new(sequence: FaultSequence) -> Self {
        let now = 1_000_000;
        let mut simulation = Simulation {
            now,
            sequence,
            state: State::default(),
            outage: false,
            refused: false,
            nodes: (0..NODES).map(|n| (new_node(n, 1, now), 1)).collect(),
            old_leader: NODES,
            scheduled: BTreeMap::new(),
            sent: 0,
            conns: HashMap::new(),
            watches: BTreeMap::new(),
            worker: Worker {
                reports_to: 0,
                latest_token: 0,
                seq: 0,
                lease_renewed_at: now,
                next_report_at: now,
                pending: None,
            },
            confirmed: None,
            ended_by: None,
        };
        simulation.write_initial_records();
        simulation
    }

    /// Writes one machine and one job, whose task an earlier leader has started on the machine.
    fn write_initial_records(&mut self) {
        let spec = json!({
            "nameId": JOB, "lot": "c", "desk": "effects", "shape": "array", "urgency": "normal", "pieces": 1,
            "cores": 2.0, "gpus": 1.0, "ramGb": 4.0, "kit": "img-0", "pullGb": 1.0, "builds": null, "hall": null,
            "together": false, "spread": false, "loaners": false, "expectS": 600.0, "bookmarkS": 0.0, "stashS": 0.0,
            "dueS": null
        });
        let kind = json!({"label": "g8", "cpus": 64.0, "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "halls": ["a"]});
        let inventory_shard = json!({"machine_type": "g8", "zone": "a", "spot": false, "machines": [["host-000001", 1]]});
        let claim = json!({"job": JOB, "team": "effects", "cores": 2.0, "gpus": 1.0, "mem_gb": 4.0, "attempt": 7,
            "on": [["host-000001", 0, 1]]});
        let records = [
            ("sys/catalog", json!({"types": [kind]})),
            ("sys/token", json!({"token": 1})),
            (
                "live/job-000001",
                json!({"spec": spec, "at_ms": 5, "part": 0}),
            ),
            ("part/0/rack/1", json!({"kinds": [inventory_shard]})),
            ("part/0/log/0000000000000001", json!({"claims": [claim]})),
        ];
        let writes: Vec<Value> = records
            .into_iter()
            .map(|(key, v)| json!({"write": key, "v": v}))
            .collect();
        let body = wire::encode(&json!({"guards": [], "writes": writes}));
        let done = self.state.handle(self.now, "POST", "/txn", &body);
        assert!(
            matches!(done, Outcome::Now(200, _)),
            "state service rejected the initial records"
        );
    }

    fn schedule(&mut self, after: u64, message: Message) {
        self.sent += 1;
        self.scheduled
            .insert((self.now + after, self.sent), message);
    }

    fn reply(&mut self, after: u64, to: (usize, u64, u64), answer: Option<(u16, Vec<u8>)>) {
        let (node, incarnation, tag) = to;
        let response = answer.map(|(status, body)| Response {
            status,
            body,
            close: false,
            retry_after_s: None,
        });
        self.schedule(
            after,
            Message::Node(node, incarnation, Event::Reply { tag, response }),
        );
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = Now {
            mono: self.now,
            wall: self.now,
        };
        let incarnation = self.nodes[n].1;
        for effect in self.nodes[n].0.handle(now, event) {
            match effect {
                Effect::Send {
                    tag,
                    to,
                    method,
                    path,
                    body,
                    timeout_ms,
                    ..
                } => {
                    self.send((n, incarnation, tag), to, method, &path, body, timeout_ms);
                }
                Effect::Respond { conn, response } => self.handle_response(n, conn, response),
                Effect::Frontend { .. } => {}
            }
        }
    }

    fn send(
        &mut self,
        from: (usize, u64, u64),
        to: Destination,
        method: &str,
        path: &str,
        body: Vec<u8>,
        wait: u64,
    ) {
        let n = from.0;
        match to {
            Destination::State if self.outage || self.refused && n == self.old_leader => {
                self.reply(5, from, Some((503, Vec::new())));
            }
            Destination::State => match self.state.handle(self.now, method, path, &body) {
                Outcome::Now(status, v) => self.reply(5, from, Some((status, wire::encode(&v)))),
                Outcome::Wait(watch) => {
                    self.sent += 1;
                    let id = self.sent;
                    let until = watch.until - self.now;
                    self.watches.insert(id, (from.0, from.1, from.2, watch));
                    self.schedule(until, Message::WatchTimeout(id));
                }
            },
            // The cloud accepts no returns, so only a stop order or lease expiry can end the task.
            Destination::Cloud if method == "GET" => {
                let kind = json!({"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "localGb": 200.0,
                    "fetchGbPerS": 1.0, "hourly": 12.0, "lowPrice": 4.5, "startupS": 45.0, "halls": ["a"]});
                let machine = json!({"nameId": "host-000001", "addr": "10.1.0.1:9000", "build": "g8", "hall": "a",
                    "loaners": false, "stage": "running", "ageS": 100.0});
                let all = json!({"builds": [kind], "burrows": [machine], "more": false});
                self.reply(5, from, Some((200, wire::encode(&all))));
            }
            Destination::Cloud => self.reply(5, from, Some((503, Vec::new()))),
            Destination::Worker(_) => self.reply(wait, from, None),
            Destination::Peer(index) => {
                let peer = peer_of(n, index);
                let delivered = match self.sequence.peers {
                    Peers::All => true,
                    Peers::OldLeaderRequests => peer != self.old_leader,
                    Peers::Nothing => peer != self.old_leader && n != self.old_leader,
                };
                if !delivered {
                    return self.reply(wait, from, None);
                }
                let conn = self.connect(Connection::Peer {
                    node: n,
                    incarnation: from.1,
                    tag: from.2,
                });
                let event = Event::Peer {
                    conn,
                    request: post(path, body),
                };
                let incarnation = self.nodes[peer].1;
                self.schedule(5, Message::Node(peer, incarnation, event));
                self.reply(wait, from, None);
            }
        }
    }

    fn connect(&mut self, conn: Connection) -> u64 {
        self.sent += 1;
        self.conns.insert(self.sent, conn);
        self.sent
    }

    fn handle_response(&mut self, n: usize, conn: u64, r: Response) {
        match self.conns.remove(&conn) {
            Some(Connection::Peer {
                node,
                incarnation,
                tag,
            }) => self.reply(5, (node, incarnation, tag), Some((r.status, r.body))),
            Some(Connection::User) if r.status == 200 => {
                let stage = wire::decode::<Value>(&r.body)
                    .ok()
                    .map(|v| v["stage"].clone());
                if stage == Some("cancelled".into()) {
                    self.confirmed.get_or_insert(self.now);
                }
            }
            Some(Connection::Worker) => self.handle_worker_response(n, conn, &r),
            _ => {}
        }
    }

    /// Handles a response as the worker protocol demands.
    fn handle_worker_response(&mut self, n: usize, conn: u64, r: &Response) {
        let Some((_, sent)) = self.worker.pending.filter(|(c, _)| *c == conn) else {
            return;
        };
        self.worker.pending = None;
        if r.status == 200 {
            let Ok(orders) = wire::decode::<Orders>(&r.body) else {
                return;
            };
            if orders.token >= self.worker.latest_token {
                self.worker.latest_token = orders.token;
                self.worker.lease_renewed_at = sent;
                if orders
                    .orders
                    .iter()
                    .any(|o| matches!(o, Order::Stop { .. }))
                {
                    self.ended_by = Some("stopped");
                }
            }
            return;
        }
        let to = wire::decode::<Redirect>(&r.body)
            .ok()
            .filter(|_| r.status == 421)
            .and_then(|r| r.report_to);
        let to = to.and_then(|to| (0..NODES).find(|p| name(*p) == to && *p != n));
        self.worker.reports_to = to.unwrap_or((n + 1) % NODES);
        self.worker.next_report_at = self.now + if to.is_some() { 100 } else { 1000 };
    }

    fn step_worker(&mut self) {
        if self.now > self.worker.lease_renewed_at + LEASE_MS {
            self.ended_by = self.ended_by.or(Some("lease"));
        }
        if self
            .worker
            .pending
            .is_some_and(|(_, sent)| sent + 4000 <= self.now)
        {
            self.worker.pending = None;
            self.worker.reports_to = (self.worker.reports_to + 1) % NODES;
        }
        if self.worker.pending.is_some() || self.now < self.worker.next_report_at {
            return;
        }
        self.worker.seq += 1;
        self.worker.next_report_at = self.now + 500;
        let task = json!({"piece": format!("{JOB}/0"), "try": 7, "stage": "running"});
        let report = json!({"burrow": "host-000001", "addr": "10.1.0.1:9000", "build": "g8", "hall": "a",
            "loaners": false, "tenure": 1, "tick": self.worker.seq, "baton": self.worker.latest_token, "pieces": [task]});
        let conn = self.connect(Connection::Worker);
        self.worker.pending = Some((conn, self.now));
        let at = self.worker.reports_to;
        self.handle(
            at,
            Event::Client {
                conn,
                request: post("/hello", wire::encode(&report)),
            },
        );
    }

    fn request_cancellation(&mut self) {
        for n in 0..NODES {
            let conn = self.connect(Connection::User);
            self.handle(
                n,
                Event::Client {
                    conn,
                    request: post(&format!("/work/{JOB}/cancel"), Vec::new()),
                },
            );
        }
    }

    /// The leader by the record in the state service, whichever nodes know of it.
    fn leader(&self) -> Option<usize> {
        let rec = self.state.keys.get("sys/owner/0")?;
        (0..NODES).find(|n| rec.value["node"] == name(*n))
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Nothing => {}
            Fault::ToggleRefusal => self.refused = !self.refused,
            Fault::ToggleOutage => {
                self.outage = !self.outage;
                if !self.outage {
                    self.state.renew_all(self.now);
                }
            }
            Fault::RestartOld => self.restart(self.old_leader),
            Fault::RestartNew => {
                let new = self
                    .leader()
                    .filter(|n| *n != self.old_leader)
                    .unwrap_or((self.old_leader + 1) % NODES);
                self.restart(new);
            }
        }
    }

    fn restart(&mut self, n: usize) {
        let incarnation = self.nodes[n].1 + 1;
        self.nodes[n] = (new_node(n, incarnation, self.now), incarnation);
        self.watches.retain(|_, (node, ..)| *node != n);
        if self.worker.reports_to == n && self.worker.pending.take().is_some() {
            self.worker.next_report_at = self.now + 1000;
            self.worker.reports_to = (n + 1) % NODES;
        }
    }

    fn run(&mut self, ms: u64, request_cancel: bool) {
        let end = self.now + ms;
        while self.now < end && self.ended_by.is_none() {
            if self.now.is_multiple_of(100) {
                if !self.outage {
                    self.state.expire(self.now);
                }
                (0..NODES).for_each(|n| self.handle(n, Event::Tick));
                self.step_worker();
                if request_cancel && self.confirmed.is_none() && self.now.is_multiple_of(500) {
                    self.request_cancellation();
                }
            }
            self.deliver();
            self.answer_watches();
            self.now += 5;
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self
            .scheduled
            .first_entry()
            .filter(|e| e.key().0 <= self.now)
        {
            match entry.remove() {
                Message::Node(n, incarnation, event) if self.nodes[n].1 == incarnation => {
                    self.handle(n, event)
                }
                Message::Node(..) => {}
                Message::WatchTimeout(id) => {
                    let Some((n, incarnation, tag, _)) = self.watches.remove(&id) else {
                        continue;
                    };
                    let nothing = json!({"ledger": self.state.revision, "log": []});
                    self.reply(
                        5,
                        (n, incarnation, tag),
                        Some((200, wire::encode(&nothing))),
                    );
                }
            }
        }
    }

    /// Answers a watch that has changes. While the service is out, or refuses the node, its watches wait.
    fn answer_watches(&mut self) {
        if self.outage {
            return;
        }
        let (refused, old_leader) = (self.refused, self.old_leader);
        let due = self
            .watches
            .iter()
            .filter(|(_, (n, ..))| !(refused && *n == old_leader))
            .find_map(|(id, (.., w))| Some((*id, self.state.changes(&w.prefix, w.from)?)));
        if let Some((id, changes)) = due
            && let Some((n, incarnation, tag, _)) = self.watches.remove(&id)
        {
            self.reply(
                5,
                (n, incarnation, tag),
                Some((200, wire::encode(&changes))),
            );
        }
    }

    /// Runs the whole sequence and returns how long the task ran after the cancellation was confirmed.
    fn run_to_end(mut self) -> RunResult {
        // Time for a leader to be elected, to read all records and to serve the worker.
        self.run(3000, false);
        self.old_leader = self.leader().expect("no node leads the fleet");
        assert_eq!(
            (self.worker.reports_to, self.worker.latest_token),
            (self.old_leader, 2),
            "{:?}: the leader does not serve the worker",
            self.sequence
        );
        let faults = self.sequence.faults;
        for (i, fault) in faults.into_iter().enumerate() {
            self.apply(fault);
            self.run(STEP_MS, i >= self.sequence.cancel_step);
        }
        let most = CANCEL_MS + 4 * STEP_MS;
        self.run(most, true);
        let ran_on_ms = self
            .confirmed
            .map_or(0, |confirmed| self.now.saturating_sub(confirmed));
        RunResult {
            ran_on_ms,
            confirmed: self.confirmed.is_some(),
            ended_by: self.ended_by,
        }
    }
}

struct RunResult {
    ran_on_ms: u64,
    confirmed: bool,
    ended_by: Option<&'static str>,
}

fn fault_sequences() -> Vec<FaultSequence> {
    let mut all = Vec::new();
    for i in 0..FAULTS.len().pow(STEPS as u32) {
        let faults = std::array::from_fn(|m| FAULTS[i / FAULTS.len().pow(m as u32) % FAULTS.len()]);
        for peers in [Peers::All, Peers::OldLeaderRequests, Peers::Nothing] {
            for cancel_step in [1, 2] {
                all.push(FaultSequence {
                    faults,
                    peers,
                    cancel_step,
                });
            }
        }
    }
    all
}

/// Guards against a leader that goes on renewing leases when another may have confirmed a cancellation. Fails without
/// the bound in `control::leadership::lease_bound` (`may_renew`).
#[test]
fn cancelled_task_stops_in_time_in_every_short_fault_sequence() {
    let all = fault_sequences();
    let mut stopped = 0;
    let mut leases = 0;
    let mut confirmed = 0;
    let mut longest = 0;
    for sequence in &all {
        let end = Simulation::new(sequence.clone()).run_to_end();
        assert!(
            end.ran_on_ms <= CANCEL_MS,
            "{sequence:?}: {} ms",
            end.ran_on_ms
        );
        stopped += usize::from(end.ended_by == Some("stopped"));
        leases += usize::from(end.ended_by == Some("lease"));
        confirmed += usize::from(end.confirmed);
        longest = longest.max(end.ran_on_ms);
    }
    println!(
        "{} fault sequences: {confirmed} confirmed, {stopped} stopped, {leases} by lease, {longest} ms",
        all.len()
    );
    // Runs in which no cancellation is confirmed, or every task is stopped at once, would prove nothing.
    assert!(
        confirmed >= 2000 && leases >= 400 && longest >= LEASE_MS,
        "{confirmed} confirmed, {leases} leases, {longest} ms"
    );
}
