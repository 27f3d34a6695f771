//! Job status is monotonic for users: once any of three controllers has reported a status of a job, none may report an
//! earlier one, in whatever order the state service executes and answers requests.
//!
//! Random histories of two jobs. Requests and responses that concern the jobs (between nodes, to the state service, and
//! the leader's watch) are held until the history delivers them, in any order; all others are delivered at once.

use control::{Destination, Effect, Event, Node, Now, Tuning};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::{Value, json};
use standins::state::{Outcome, State, Watch};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use wire::http::{Request, Response};
use wire::peer::{self, PeerRequest};

const NODES: usize = 3;
const JOBS: usize = 2;
const HISTORIES: u32 = 200;
const STEPS: usize = 120;

#[derive(Debug, Clone)]
enum Step {
    Request(UserRequest, usize, usize),
    /// Delivers one of the held messages: executes a request, or passes on a response.
    Deliver(usize),
    /// The state service executes a held request, and the response is lost.
    LoseResponse(usize),
    Advance(u64),
    /// The state service starts or stops refusing a node.
    ToggleRefusal(usize),
}

#[derive(Debug, Clone, Copy)]
enum UserRequest {
    State,
    Submit,
    /// A submission that no machine has room for, with the identifier of a job that others submit validly.
    Impossible,
    Cancel,
}

/// The status of a job in a response, in the order in which a job passes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum JobStatus {
    Unknown,
    Exists,
    Ended,
}

#[derive(Debug)]
struct Message {
    from: usize,
    tag: u64,
    to: Destination,
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

#[derive(Debug)]
enum InFlight {
    Request(Message),
    Response(usize, u64, Response),
}

struct PendingRequest {
    job: usize,
    reported_before: JobStatus,
}

struct Cluster {
    nodes: Vec<Node>,
    state: State,
    now: u64,
    refused: [bool; NODES],
    /// Messages that the history delivers, and messages that are delivered at once.
    held: Vec<InFlight>,
    immediate: VecDeque<InFlight>,
    watches: Vec<(Watch, usize, u64)>,
    timers: BTreeSet<(u64, usize, u64)>,
    connections: u64,
    /// Nodes that await a response from a peer, by connection: the node, the tag, and whether the response is held.
    peers: HashMap<u64, (usize, u64, bool)>,
    user_requests: BTreeMap<u64, PendingRequest>,
    /// The latest status that any node has reported of each job, and that each node has.
    highest_reported: [JobStatus; JOBS],
    highest_by_node: [[JobStatus; JOBS]; NODES],
    violations: Vec<String>,
    ended_responses: u64,
    unknown_responses: u64,
}

fn id(job: usize) -> String {
    format!("job-{:06}", job + 1)
}

fn spec(job: usize, cores: f64) -> Value {
    json!({
        "nameId": id(job), "lot": "c", "desk": "effects", "shape": "array", "urgency": "normal", "pieces": 3,
        "cores": cores, "gpus": 1.0, "ramGb": 4.0, "kit": "img-0", "pullGb": 1.0, "builds": null, "hall": null,
        "together": false, "spread": false, "loaners": false, "expectS": 10.0, "bookmarkS": 0.0, "stashS": 0.0,
        "dueS": null
    })
}

fn catalog() -> Value {
    json!({"builds": [{"label": "g8", "cores": 64.0, "gpus": 8.0, "ramGb": 512.0, "localGb": 200.0,
        "fetchGbPerS": 1.0, "hourly": 12.0, "lowPrice": 4.5, "startupS": 45.0, "halls": ["a"]}]})
}

fn node(n: usize, now: u64) -> Node {
    let text = include_str!("../../../deploy/settings-example.json");
    let mut settings: Value = serde_json::from_str(text).expect("the example settings are JSON");
    settings["node"] = json!(format!("burrow-{n}"));
    let peer = |p| json!({"node": format!("burrow-{p}"), "domain": "a", "address": format!("127.0.0.1:80{p}3")});
    settings["peers"] = (0..NODES).filter(|p| *p != n).map(peer).collect();
    let settings = serde_json::from_value(settings).expect("the changed settings are valid");
    Node::new(
        settings,
        Tuning::default(),
        n as u64 + 1,
        Now {
            mono: now,
            wall: now,
        },
    )
}

fn response(status: u16, body: &Value) -> Response {
    Response {
        status,
        body: wire::encode(body),
        close: false,
        retry_after_s: None,
    }
}

impl Message {
    fn concerns_jobs(&self) -> bool {
        match self.to {
            Destination::State if self.path == "/txn" => {
                let txn: Value = wire::decode(&self.body).unwrap_or_default();
                let mut guards = txn["guards"].as_array().into_iter().flatten();
                guards.any(|g| g["key"].as_str().is_some_and(|k| k.starts_with("live/")))
            }
            Destination::State => {
                self.path.starts_with("/keys/live/") || self.path.starts_with("/keys/end/")
            }
            Destination::Peer(_) => {
                let request = peer::decode(&self.body).expect("nodes send valid peer requests");
                !matches!(
                    request,
                    PeerRequest::PeerStatus(_)
                        | PeerRequest::Leads { .. }
                        | PeerRequest::Reports { .. }
                )
            }
            _ => false,
        }
    }
}

impl Cluster {
    /// A cluster after 2 s, which has a leader.
    fn new() -> Self {
        let now = 1_000_000;
        let mut c = Cluster {
            nodes: (0..NODES).map(|n| node(n, now)).collect(),
            state: State::default(),
            now,
            refused: [false; NODES],
            held: Vec::new(),
            immediate: VecDeque::new(),
            watches: Vec::new(),
            timers: BTreeSet::new(),
            connections: 0,
            peers: HashMap::new(),
            user_requests: BTreeMap::new(),
            highest_reported: [JobStatus::Unknown; JOBS],
            highest_by_node: [[JobStatus::Unknown; JOBS]; NODES],
            violations: Vec::new(),
            ended_responses: 0,
            unknown_responses: 0,
        };
        c.advance(2000);
        c
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Request(user_request, n, job) => self.send_user_request(user_request, n, job),
            Step::Advance(ms) => self.advance(ms),
            Step::ToggleRefusal(n) => self.refused[n] = !self.refused[n],
            _ if self.held.is_empty() => {}
            Step::Deliver(i) => {
                let in_flight = self.held.remove(i % self.held.len());
                self.deliver(in_flight);
            }
            Step::LoseResponse(i) => {
                let i = i % self.held.len();
                if let InFlight::Request(message) = &self.held[i]
                    && message.to == Destination::State
                    && !self.refused[message.from]
                {
                    let InFlight::Request(l) = self.held.remove(i) else {
                        return;
                    };
                    self.state.handle(self.now, l.method, &l.path, &l.body);
                    self.fire_watches();
                }
            }
        }
        self.deliver_immediate();
    }

    fn send_user_request(&mut self, user_request: UserRequest, n: usize, job: usize) {
        let (method, path, body) = match user_request {
            UserRequest::State => ("GET", format!("/work/{}", id(job)), Vec::new()),
            UserRequest::Cancel => ("POST", format!("/work/{}/cancel", id(job)), Vec::new()),
            UserRequest::Submit => ("POST", "/work".to_owned(), wire::encode(&spec(job, 2.0))),
            UserRequest::Impossible => {
                ("POST", "/work".to_owned(), wire::encode(&spec(job, 1000.0)))
            }
        };
        self.connections += 1;
        let conn = self.connections;
        self.user_requests.insert(
            conn,
            PendingRequest {
                job,
                reported_before: self.highest_reported[job],
            },
        );
        let request = Request {
            method: method.into(),
            path,
            body,
            close: false,
        };
        self.handle_event(n, Event::Client { conn, request });
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        for effect in self.nodes[n].handle(
            Now {
                mono: self.now,
                wall: self.now,
            },
            event,
        ) {
            match effect {
                Effect::Respond { conn, response } => self.on_user_response(n, conn, response),
                Effect::Send {
                    tag,
                    to,
                    method,
                    path,
                    body,
                    timeout_ms,
                    ..
                } => {
                    self.timers.insert((self.now + timeout_ms, n, tag));
                    let message = Message {
                        from: n,
                        tag,
                        to,
                        method,
                        path,
                        body,
                    };
                    if message.concerns_jobs() {
                        self.held.push(InFlight::Request(message));
                    } else {
                        self.immediate.push_back(InFlight::Request(message));
                    }
                }
                Effect::Frontend { .. } => {}
            }
        }
    }

    fn deliver_immediate(&mut self) {
        while let Some(in_flight) = self.immediate.pop_front() {
            self.deliver(in_flight);
        }
    }

    fn deliver(&mut self, in_flight: InFlight) {
        let message = match in_flight {
            InFlight::Response(n, tag, response) => {
                return self.handle_event(
                    n,
                    Event::Reply {
                        tag,
                        response: Some(response),
                    },
                );
            }
            InFlight::Request(message) => message,
        };
        let is_held = message.concerns_jobs();
        let Message {
            from,
            tag,
            to,
            method,
            path,
            body,
        } = message;
        match to {
            Destination::State if self.refused[from] && !path.starts_with("/changes") => {
                self.send_response(
                    from,
                    tag,
                    is_held,
                    response(503, &json!({"error": "trouble"})),
                );
            }
            Destination::State => {
                match self.state.handle(self.now, method, &path, &body) {
                    Outcome::Now(status, value) => {
                        self.send_response(from, tag, is_held, response(status, &value))
                    }
                    Outcome::Wait(watch) => self.watches.push((watch, from, tag)),
                }
                self.fire_watches();
            }
            Destination::Cloud if path == "/catalog" => {
                self.send_response(from, tag, false, response(200, &catalog()))
            }
            Destination::Cloud | Destination::Worker(_) => {
                self.send_response(from, tag, false, response(503, &json!({})))
            }
            Destination::Peer(p) => {
                self.connections += 1;
                self.peers.insert(self.connections, (from, tag, is_held));
                let to = if p < from { p } else { p + 1 };
                let request = Request {
                    method: method.into(),
                    path,
                    body,
                    close: false,
                };
                self.handle_event(
                    to,
                    Event::Peer {
                        conn: self.connections,
                        request,
                    },
                );
            }
        }
    }

    fn send_response(&mut self, n: usize, tag: u64, is_held: bool, response: Response) {
        let in_flight = InFlight::Response(n, tag, response);
        if is_held {
            self.held.push(in_flight)
        } else {
            self.immediate.push_back(in_flight)
        }
    }

    /// Responses to the leader's watch of jobs are held; those to watches of shared records are delivered at once.
    fn fire_watches(&mut self) {
        for (watch, n, tag) in std::mem::take(&mut self.watches) {
            let found = if self.refused[n] {
                None
            } else {
                self.state.changes(&watch.prefix, watch.from)
            };
            let over = (watch.until <= self.now && !self.refused[n])
                .then(|| json!({"ledger": self.state.revision.max(watch.from), "log": []}));
            match found.or(over) {
                Some(body) => {
                    self.send_response(n, tag, watch.prefix == "live/", response(200, &body))
                }
                None => self.watches.push((watch, n, tag)),
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 50).min(end);
            self.state.expire(self.now);
            self.fire_watches();
            self.deliver_immediate();
            while let Some(timer) = self
                .timers
                .first()
                .copied()
                .filter(|(due, ..)| *due <= self.now)
            {
                self.timers.remove(&timer);
                let (_, n, tag) = timer;
                self.handle_event(
                    n,
                    Event::Reply {
                        tag,
                        response: None,
                    },
                );
            }
            (0..NODES).for_each(|n| self.handle_event(n, Event::Tick));
            self.deliver_immediate();
        }
    }

    fn on_user_response(&mut self, n: usize, conn: u64, response: Response) {
        if let Some((from, tag, is_held)) = self.peers.remove(&conn) {
            return self.send_response(from, tag, is_held, response);
        }
        let Some(pending) = self.user_requests.remove(&conn) else {
            return self.violations.push(format!(
                "{}: connection {conn} got a second response",
                self.now
            ));
        };
        let body: Value = wire::decode(&response.body).unwrap_or_default();
        let stage = body["stage"].as_str();
        let reported = match (response.status, stage) {
            (404 | 422, _) => JobStatus::Unknown,
            (200 | 201, Some("done" | "cancelled")) => JobStatus::Ended,
            (200 | 201, _) => JobStatus::Exists,
            _ => return,
        };
        let job = pending.job;
        let recorded = self.recorded_status(job);
        let least_allowed = pending.reported_before.max(self.highest_by_node[n][job]);
        let end = self
            .state
            .keys
            .get(&format!("end/{}", id(job)))
            .map(|e| e.value["stage"].as_str());
        if reported < least_allowed
            || reported > recorded
            || reported == JobStatus::Ended && end != Some(stage)
        {
            self.violations.push(format!(
                "{}: node {n} reports {} {stage:?}, but {least_allowed:?} was reported before",
                self.now, response.status
            ));
        }
        self.highest_reported[job] = self.highest_reported[job].max(reported);
        self.highest_by_node[n][job] = self.highest_by_node[n][job].max(reported);
        self.ended_responses += u64::from(reported == JobStatus::Ended);
        self.unknown_responses += u64::from(reported == JobStatus::Unknown);
    }

    fn recorded_status(&self, job: usize) -> JobStatus {
        let exists = |prefix: &str| {
            self.state
                .keys
                .contains_key(&format!("{prefix}/{}", id(job)))
        };
        match (exists("end"), exists("live")) {
            (true, _) => JobStatus::Ended,
            (false, true) => JobStatus::Exists,
            (false, false) => JobStatus::Unknown,
        }
    }

    /// Serves and delivers everything again: each user has a response, and each node reports what is recorded.
    fn check_final_state(&mut self) {
        self.refused = [false; NODES];
        self.advance_and_deliver(12_000);
        if !self.user_requests.is_empty() {
            self.violations.push(format!(
                "{} user requests have no response",
                self.user_requests.len()
            ));
        }
        for (n, job) in (0..NODES).flat_map(|n| (0..JOBS).map(move |job| (n, job))) {
            self.highest_by_node[n][job] = JobStatus::Unknown;
            self.send_user_request(UserRequest::State, n, job);
            self.advance_and_deliver(1000);
            let (reported, recorded) = (self.highest_by_node[n][job], self.recorded_status(job));
            if reported != recorded || !self.user_requests.is_empty() {
                self.violations.push(format!(
                    "node {n} reports {reported:?} in the end, but {recorded:?} is recorded"
                ));
            }
        }
    }

    fn advance_and_deliver(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.advance(50);
            while !self.held.is_empty() {
                let in_flight = self.held.remove(0);
                self.deliver(in_flight);
                self.deliver_immediate();
            }
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let user_request = prop_oneof![
        5 => Just(UserRequest::State),
        3 => Just(UserRequest::Submit),
        1 => Just(UserRequest::Impossible),
        3 => Just(UserRequest::Cancel)
    ];
    let step = prop_oneof![
        6 => (user_request, 0..NODES, 0..JOBS)
            .prop_map(|(user_request, n, job)| Step::Request(user_request, n, job)),
        12 => (0..64usize).prop_map(Step::Deliver),
        1 => (0..64usize).prop_map(Step::LoseResponse),
        3 => (1..300u64).prop_map(Step::Advance),
        1 => (0..NODES).prop_map(Step::ToggleRefusal),
    ];
    prop::collection::vec(step, 1..STEPS)
}

#[test]
fn no_node_reports_an_older_job_status_than_was_reported_before() {
    let (ends, denials) = (Cell::new(0), Cell::new(0));
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..Config::default()
    };
    let played = TestRunner::new(config).run(&steps(), |steps| {
        let mut cluster = Cluster::new();
        steps.iter().for_each(|step| cluster.apply(step));
        cluster.check_final_state();
        ends.set(ends.get() + cluster.ended_responses);
        denials.set(denials.get() + cluster.unknown_responses);
        prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        Ok(())
    });
    if let Err(e) = played {
        panic!("{e}");
    }
    println!(
        "{} ends and {} unknown jobs were reported",
        ends.get(),
        denials.get()
    );
    assert!(
        ends.get() > 800 && denials.get() > 400,
        "{} ends, {} unknown jobs",
        ends.get(),
        denials.get()
    );
}
