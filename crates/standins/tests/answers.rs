//! Three controllers, two jobs and a state service that executes and answers in any order: what any of them has told is
//! the floor for all of them.
//!
//! All that concerns the jobs (questions, submissions, cancels, what nodes ask each other and the state service for them,
//! the leader's watch) waits until the history delivers it, late, twice or never; all else goes at once.

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
    Ask(Wish, usize, usize),
    /// One of the messages that wait is delivered: a request is executed, an answer comes.
    Deliver(usize),
    /// A request is executed, and its answer is lost.
    Unheard(usize),
    Pass(u64),
    /// The state service refuses a node from now on, or serves it again.
    Refused(usize),
}

#[derive(Debug, Clone, Copy)]
enum Wish {
    State,
    Accept,
    /// A submission that can never run, of a job that others submit rightly.
    Impossible,
    Cancel,
}

/// What an answer says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Unknown,
    There,
    Over,
}

#[derive(Debug)]
struct Letter {
    from: usize,
    tag: u64,
    to: Destination,
    method: &'static str,
    path: String,
    body: Vec<u8>,
}

#[derive(Debug)]
enum Mail {
    There(Letter),
    Back(usize, u64, Response),
}

struct Question {
    job: usize,
    floor: Told,
}

struct Cluster {
    nodes: Vec<Node>,
    state: State,
    now: u64,
    refused: [bool; NODES],
    /// What waits for the history, and what goes at once.
    mail: Vec<Mail>,
    at_once: VecDeque<Mail>,
    watches: Vec<(Watch, usize, u64)>,
    timers: BTreeSet<(u64, usize, u64)>,
    conns: u64,
    /// Peers that wait, by connection: who, the tag, and whether the history delivers the answer.
    peers: HashMap<u64, (usize, u64, bool)>,
    users: BTreeMap<u64, Question>,
    /// The highest that any node has told of each job, and each by itself.
    floor: [Told; JOBS],
    own: [[Told; JOBS]; NODES],
    broken: Vec<String>,
    ends_told: u64,
    denials_told: u64,
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
    let mut settings: Value = serde_json::from_str(text).expect("the example is accepted");
    settings["node"] = json!(format!("burrow-{n}"));
    let peer = |p| json!({"node": format!("burrow-{p}"), "domain": "a", "address": format!("127.0.0.1:80{p}3")});
    settings["peers"] = (0..NODES).filter(|p| *p != n).map(peer).collect();
    let settings = serde_json::from_value(settings).expect("so is this");
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

impl Letter {
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
                let ask = peer::decode(&self.body).expect("nodes speak so");
                !matches!(
                    ask,
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
    /// With a leader.
    fn new() -> Self {
        let now = 1_000_000;
        let mut c = Cluster {
            nodes: (0..NODES).map(|n| node(n, now)).collect(),
            state: State::default(),
            now,
            refused: [false; NODES],
            mail: Vec::new(),
            at_once: VecDeque::new(),
            watches: Vec::new(),
            timers: BTreeSet::new(),
            conns: 0,
            peers: HashMap::new(),
            users: BTreeMap::new(),
            floor: [Told::Unknown; JOBS],
            own: [[Told::Unknown; JOBS]; NODES],
            broken: Vec::new(),
            ends_told: 0,
            denials_told: 0,
        };
        c.pass(2000);
        c
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Ask(wish, n, job) => self.ask(wish, n, job),
            Step::Pass(ms) => self.pass(ms),
            Step::Refused(n) => self.refused[n] = !self.refused[n],
            _ if self.mail.is_empty() => {}
            Step::Deliver(i) => {
                let mail = self.mail.remove(i % self.mail.len());
                self.deliver(mail);
            }
            Step::Unheard(i) => {
                let i = i % self.mail.len();
                if let Mail::There(letter) = &self.mail[i]
                    && letter.to == Destination::State
                    && !self.refused[letter.from]
                {
                    let Mail::There(l) = self.mail.remove(i) else {
                        return;
                    };
                    self.state.handle(self.now, l.method, &l.path, &l.body);
                    self.fire_watches();
                }
            }
        }
        self.settle();
    }

    fn ask(&mut self, wish: Wish, n: usize, job: usize) {
        let (method, path, body) = match wish {
            Wish::State => ("GET", format!("/work/{}", id(job)), Vec::new()),
            Wish::Cancel => ("POST", format!("/work/{}/cancel", id(job)), Vec::new()),
            Wish::Accept => ("POST", "/work".to_owned(), wire::encode(&spec(job, 2.0))),
            Wish::Impossible => ("POST", "/work".to_owned(), wire::encode(&spec(job, 1000.0))),
        };
        self.conns += 1;
        let conn = self.conns;
        self.users.insert(
            conn,
            Question {
                job,
                floor: self.floor[job],
            },
        );
        let request = Request {
            method: method.into(),
            path,
            body,
            close: false,
        };
        self.step(n, Event::Client { conn, request });
    }

    fn step(&mut self, n: usize, event: Event) {
        for effect in self.nodes[n].handle(
            Now {
                mono: self.now,
                wall: self.now,
            },
            event,
        ) {
            match effect {
                Effect::Respond { conn, response } => self.answered(n, conn, response),
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
                    let letter = Letter {
                        from: n,
                        tag,
                        to,
                        method,
                        path,
                        body,
                    };
                    if letter.concerns_jobs() {
                        self.mail.push(Mail::There(letter));
                    } else {
                        self.at_once.push_back(Mail::There(letter));
                    }
                }
                Effect::Frontend { .. } => {}
            }
        }
    }

    fn settle(&mut self) {
        while let Some(mail) = self.at_once.pop_front() {
            self.deliver(mail);
        }
    }

    fn deliver(&mut self, mail: Mail) {
        let letter = match mail {
            Mail::Back(n, tag, response) => {
                return self.step(
                    n,
                    Event::Reply {
                        tag,
                        response: Some(response),
                    },
                );
            }
            Mail::There(letter) => letter,
        };
        let waits = letter.concerns_jobs();
        let Letter {
            from,
            tag,
            to,
            method,
            path,
            body,
        } = letter;
        match to {
            Destination::State if self.refused[from] && !path.starts_with("/changes") => {
                self.back(
                    from,
                    tag,
                    waits,
                    response(503, &json!({"error": "trouble"})),
                );
            }
            Destination::State => {
                match self.state.handle(self.now, method, &path, &body) {
                    Outcome::Now(status, value) => {
                        self.back(from, tag, waits, response(status, &value))
                    }
                    Outcome::Wait(watch) => self.watches.push((watch, from, tag)),
                }
                self.fire_watches();
            }
            Destination::Cloud if path == "/catalog" => {
                self.back(from, tag, false, response(200, &catalog()))
            }
            Destination::Cloud | Destination::Worker(_) => {
                self.back(from, tag, false, response(503, &json!({})))
            }
            Destination::Peer(p) => {
                self.conns += 1;
                self.peers.insert(self.conns, (from, tag, waits));
                let to = if p < from { p } else { p + 1 };
                let request = Request {
                    method: method.into(),
                    path,
                    body,
                    close: false,
                };
                self.step(
                    to,
                    Event::Peer {
                        conn: self.conns,
                        request,
                    },
                );
            }
        }
    }

    fn back(&mut self, n: usize, tag: u64, waits: bool, response: Response) {
        let mail = Mail::Back(n, tag, response);
        if waits {
            self.mail.push(mail)
        } else {
            self.at_once.push_back(mail)
        }
    }

    /// What the leader sees of jobs comes when the history has it; what is shared, at once.
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
                Some(body) => self.back(n, tag, watch.prefix == "live/", response(200, &body)),
                None => self.watches.push((watch, n, tag)),
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 50).min(end);
            self.state.expire(self.now);
            self.fire_watches();
            self.settle();
            while let Some(timer) = self
                .timers
                .first()
                .copied()
                .filter(|(due, ..)| *due <= self.now)
            {
                self.timers.remove(&timer);
                let (_, n, tag) = timer;
                self.step(
                    n,
                    Event::Reply {
                        tag,
                        response: None,
                    },
                );
            }
            (0..NODES).for_each(|n| self.step(n, Event::Tick));
            self.settle();
        }
    }

    fn answered(&mut self, n: usize, conn: u64, response: Response) {
        if let Some((from, tag, waits)) = self.peers.remove(&conn) {
            return self.back(from, tag, waits, response);
        }
        let Some(question) = self.users.remove(&conn) else {
            return self
                .broken
                .push(format!("{}: connection {conn} is answered twice", self.now));
        };
        let body: Value = wire::decode(&response.body).unwrap_or_default();
        let stage = body["stage"].as_str();
        let told = match (response.status, stage) {
            (404 | 422, _) => Told::Unknown,
            (200 | 201, Some("done" | "cancelled")) => Told::Over,
            (200 | 201, _) => Told::There,
            _ => return,
        };
        let job = question.job;
        let stands = self.stands(job);
        let floor = question.floor.max(self.own[n][job]);
        let end = self
            .state
            .keys
            .get(&format!("end/{}", id(job)))
            .map(|e| e.value["stage"].as_str());
        if told < floor || told > stands || told == Told::Over && end != Some(stage) {
            self.broken.push(format!(
                "{}: node {n} tells {} {stage:?}, {floor:?} was told",
                self.now, response.status
            ));
        }
        self.floor[job] = self.floor[job].max(told);
        self.own[n][job] = self.own[n][job].max(told);
        self.ends_told += u64::from(told == Told::Over);
        self.denials_told += u64::from(told == Told::Unknown);
    }

    fn stands(&self, job: usize) -> Told {
        let there = |under: &str| {
            self.state
                .keys
                .contains_key(&format!("{under}/{}", id(job)))
        };
        match (there("end"), there("live")) {
            (true, _) => Told::Over,
            (false, true) => Told::There,
            (false, false) => Told::Unknown,
        }
    }

    /// All is served and delivered again: nobody waits, and every node tells what stands.
    fn ends(&mut self) {
        self.refused = [false; NODES];
        self.goes_on(12_000);
        if !self.users.is_empty() {
            self.broken
                .push(format!("{} are not answered", self.users.len()));
        }
        for (n, job) in (0..NODES).flat_map(|n| (0..JOBS).map(move |job| (n, job))) {
            self.own[n][job] = Told::Unknown;
            self.ask(Wish::State, n, job);
            self.goes_on(1000);
            let (told, stands) = (self.own[n][job], self.stands(job));
            if told != stands || !self.users.is_empty() {
                self.broken.push(format!(
                    "node {n} tells {told:?} in the end, and {stands:?} stands"
                ));
            }
        }
    }

    fn goes_on(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.pass(50);
            while !self.mail.is_empty() {
                let mail = self.mail.remove(0);
                self.deliver(mail);
                self.settle();
            }
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let wish = prop_oneof![
        5 => Just(Wish::State), 3 => Just(Wish::Accept), 1 => Just(Wish::Impossible), 3 => Just(Wish::Cancel)
    ];
    let step = prop_oneof![
        6 => (wish, 0..NODES, 0..JOBS).prop_map(|(wish, n, job)| Step::Ask(wish, n, job)),
        12 => (0..64usize).prop_map(Step::Deliver),
        1 => (0..64usize).prop_map(Step::Unheard),
        3 => (1..300u64).prop_map(Step::Pass),
        1 => (0..NODES).prop_map(Step::Refused),
    ];
    prop::collection::vec(step, 1..STEPS)
}

#[test]
fn no_node_tells_less_than_any_has_told() {
    let (ends, denials) = (Cell::new(0), Cell::new(0));
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..Config::default()
    };
    let played = TestRunner::new(config).run(&steps(), |steps| {
        let mut cluster = Cluster::new();
        steps.iter().for_each(|step| cluster.play(step));
        cluster.ends();
        ends.set(ends.get() + cluster.ends_told);
        denials.set(denials.get() + cluster.denials_told);
        prop_assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
        Ok(())
    });
    if let Err(e) = played {
        panic!("{e}");
    }
    println!(
        "{} ends and {} denials were told",
        ends.get(),
        denials.get()
    );
    assert!(
        ends.get() > 800 && denials.get() > 400,
        "{} ends, {} denials",
        ends.get(),
        denials.get()
    );
}
