//! Discrete-event simulation of controllers, the state service, the cloud, workers and users in virtual time, with
//! faults drawn from a seed.

pub mod asks;
pub mod asserts;
mod command_copies;
mod day;
mod delays;
mod faults;
mod gateway_clients;
mod held_changes;
mod kept_reports;
mod leader_gaps;
mod machines;
pub mod processor;
mod slow_links;
mod users;

pub use command_copies::SentCommand;
pub use faults::Hits;
pub use users::ExtraActionCounts;

use crate::cloud::{Cloud, name_at};
use crate::links::{Cut, Frontend, How, Links, Place};
use crate::models::{Answer, Models};
use crate::rules::{OnMachine, Rules};
use crate::scene::Scene;
use crate::state::{Limits, Outcome, State, Watch};
use crate::worker::Worker;
use crate::yarn::{Drain, Exchange, Stage as YarnStage, Who};
use control::{Destination, Effect, Event, Node, Now, Tuning};
use gateway::served::{Gateway, Out, Raw, Served};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use wire::admin::{self, Change, Changed, Refused};
use wire::api::{Cause, JobSpec, JobState, Kind, Orders, Priority, Redirect, TaskStage};
use wire::http::{Request, Response};
use wire::models::{DEMAND, Demand};
use wire::settings::Settings;

/// Configuration of one simulation run: its size, its workload, and the faults and sabotage it injects.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub jobs: usize,
    /// Random faults are injected until this time, in milliseconds from the start; after it, all accepted work must
    /// end.
    pub faults_until: u64,
    pub end: u64,
    pub sabotage: Sabotage,
    /// Injects no faults except those that the test requests.
    pub calm: bool,
    /// Over a thousand machines, arrays of hundreds of tasks, and low limits on the state service.
    pub large: bool,
    /// Wide gangs of a single priority, each in one zone, some of them within their team's guarantee.
    pub wide: bool,
    /// Teams, jobs and quota trees defined by the test instead of randomly drawn ones.
    pub scene: Option<Scene>,
}

impl Plan {
    /// Runs a scene without faults except those that the test requests; messages are still delayed occasionally until
    /// `faults_until`, counted from the start. The run stops at `end`.
    pub fn of_scene(seed: u64, nodes: usize, scene: Scene, faults_until: u64, end: u64) -> Self {
        Plan {
            seed,
            nodes,
            jobs: 0,
            faults_until,
            end,
            sabotage: Sabotage::None,
            calm: true,
            large: false,
            wide: false,
            scene: Some(scene),
        }
    }
}

/// What happens to a transaction that takes over leadership. Its sender gets no response in either case; the
/// transaction is executed at once or after a delay in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOver {
    Unanswered,
    Late(u64),
}

/// A deliberate defect, injected to verify that the checks can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    None,
    /// The cloud confirms deletions of machines without carrying them out.
    CloudLies,
    /// Controllers receive a GPU limit for team red that is ten times too high.
    LimitsRaised,
    /// All submissions are changed to allow spot machines.
    SpotAllowed,
    /// Machines ignore stop commands.
    StopsIgnored,
    /// The state service loses the records of all live jobs from time to time.
    KeysLost,
    /// The state service finds a record for every live job that it is asked about.
    StrangersKnown,
    /// Tasks exit as done before their work is finished.
    DoneTooEarly,
    /// The state service loses the records of ended jobs from time to time.
    EndsLost,
    /// The state service loses its log records from time to time.
    LogLost,
    /// Controllers receive quota tree limits that are ten times too high.
    NodesRaised,
    /// In runs with a load balancer: polls of some jobs are never answered, and the state service stops granting
    /// leases.
    PollsLost,
    GrantsLost,
    /// Users are told that their cancel requests have completed, but no node receives them.
    CancelsUnheard,
    /// Some polls of accepted jobs are answered as if the jobs could never run.
    AnswersOlder,
    /// Submissions that are malformed or can never run are answered as accepted.
    AllAccepted,
    /// Machines ignore the start commands of some jobs.
    StartsLost,
}

/// Who sent a request, and so who handles its response.
#[derive(Clone)]
enum Origin {
    User {
        job: String,
        kind: RequestKind,
        asked: u64,
    },
    /// A user's request outside the regular submit, poll and cancel sequence.
    ExtraAction {
        job: String,
        kind: RequestKind,
        asked: u64,
    },
    Worker {
        name: String,
        number: u64,
        sent: u64,
    },
    Peer {
        node: usize,
        incarnation: u64,
        tag: u64,
    },
    Operator {
        change: Box<Change>,
    },
    /// The load balancer's health check.
    Probe {
        node: usize,
        asked: u64,
    },
    DocumentRequest {
        path: String,
        ask: Value,
    },
    Demand {
        model: String,
        node: usize,
        asked: u64,
    },
    /// An arbitrary body that a test sends as a submission.
    RawSubmission {
        node: usize,
        job: String,
        asked: u64,
    },
    /// A duplicate of an earlier request; its response is discarded.
    Duplicate,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

/// A request sent by a node.
struct Call {
    node: usize,
    incarnation: u64,
    tag: u64,
    to: Destination,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    /// A transaction that the state service executes without sending a response.
    unanswered: bool,
}

/// An event of the simulation. Nodes are given by index and gateway connections by number; `Tick` and `Reply` also carry
/// the node's incarnation, and `Reply` the tag of its request.
enum SimEvent {
    Tick(usize, u64),
    Arrive(Call),
    Reply(usize, u64, u64, Option<Response>),
    /// A request arrives at a node, on the peer listener if the flag is set, otherwise on the client listener.
    Request(usize, Origin, Request, bool),
    Answer(Origin, Option<Response>),
    /// The client of this request stops waiting for the response.
    RequestTimeout(u64),
    WorldTick,
    UserRequest(RequestKind, String),
    ExtraAction(users::ExtraAction),
    OperatorChange(Box<Change>),
    DocumentRequest(String, Value),
    ModelDemand(String, Option<usize>),
    Restart(usize),
    RandomFault,
    /// Bytes for a node, or for the client at the other end of the connection.
    BytesToNode(u64, Vec<u8>),
    BytesToClient(u64, Vec<u8>),
    /// A connection is closed, or its client stops waiting.
    ConnectionEnd(u64),
    /// The load balancer checks a node's health, or a scheduled fault of the run begins.
    HealthProbe(usize),
    ScheduledFault(usize),
    /// A controller's processor is free to handle the next event.
    ProcessorFree(usize),
    /// A copy of a command reaches the machine of this name.
    CommandCopy(String, Vec<u8>),
}

/// A client's connection to the gateway, which carries a single call.
struct GatewayConn {
    who: Who,
    node: usize,
    incarnation: u64,
    exchange: Exchange,
}

/// A host on which one controller process runs, is suspended or is down.
struct Host {
    node: Option<Served>,
    incarnation: u64,
    /// The state service refuses this node's requests until this time.
    refused_until: u64,
    /// The process is suspended until this time.
    frozen_until: u64,
    processor: processor::Processor,
    drift: f64,
    /// The number in the node's configured name: its own index, unless a test gives two nodes the same name.
    name: usize,
}

pub struct World {
    plan: Plan,
    rng: fastrand::Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: HashMap<usize, SimEvent>,
    serial: usize,
    hosts: Vec<Host>,
    pub state: State,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    watches: Vec<(Watch, usize, u64, u64)>,
    open_calls: HashSet<(usize, u64, u64)>,
    conns: HashMap<u64, Origin>,
    next_conn: u64,
    state_outage_until: u64,
    /// The end of the last outage for which all leases have been renewed to their full duration.
    leases_renewed_for: u64,
    /// What happens to the next takeover transaction.
    take_over: Option<TakeOver>,
    cloud_outage_until: u64,
    /// The state service responds slowly until this time.
    state_slow_until: u64,
    /// The network cuts in force.
    links: Links,
    /// This node crashes right after sending its next transaction.
    crash_at_next_txn: Option<usize>,
    /// For each node that is to crash: the number of requests to the state service left before it does, and its
    /// restart delay.
    crash_countdowns: BTreeMap<usize, (u32, u64)>,
    /// Delay of the last transaction that the crashing node sends.
    last_txn_delay_ms: u64,
    /// Restart delay of crashed nodes, if a test overrides the default.
    restart_after_ms: Option<u64>,
    /// Number of tasks that were preempted.
    pub stopped: u64,
    pub rules: Rules,
    pub models: Models,
    run_ms: BTreeMap<String, u64>,
    /// How long machines take to fetch an image.
    fetch_ms: u64,
    tuning: Tuning,
    /// Responses to operators' quota changes by change ID: the last status and the version.
    pub changes: BTreeMap<String, (u16, u64)>,
    /// Responses to operators' requests about other documents: the request, the last status and the response body.
    pub answers: Vec<(Value, u16, Value)>,
    /// Checks the release hours against the state service's history.
    pub hours: crate::hours::Watcher,
    /// Checks the counts by county against the state service's history, once some job belongs to a county.
    pub counties: crate::counties::Watcher,
    /// Run time lost with stopped attempts, in milliseconds.
    pub lost_ms: u64,
    /// In scenes: how much run time each task had saved when it was stopped. A restarted task runs for that much
    /// less.
    saved_ms: BTreeMap<String, u64>,
    /// When each task first ran, in milliseconds from the start.
    pub began: BTreeMap<String, u64>,
    /// YARN clients, application masters and runners.
    pub yarn: YarnStage,
    gateway_conns: BTreeMap<u64, GatewayConn>,
    /// Response times of user requests, in milliseconds.
    pub waits: Vec<u64>,
    /// Responses to the arbitrary submissions that a test sent.
    pub odd: Vec<asks::OddAnswer>,
    /// When a user last received the state of each job.
    answered_at: BTreeMap<String, u64>,
    /// Number of submission attempts that were refused or not answered.
    pub refused: u64,
    /// Number of tasks that were killed because a lease expired, or whose machine was returned to the cloud.
    pub lost: u64,
    /// Number of task results that were discarded on lease expiry before a controller collected them.
    pub forgotten: u64,
    /// How long the leader took to process each batch of bytes from gateway clients, in nanoseconds of real time.
    pub call_ns: Vec<u64>,
    day: Option<Box<day::DayRun>>,
    faults: faults::FaultState,
    users: users::UserFaults,
    /// How often injected faults took effect so far.
    pub hits: Hits,
    /// Messages that a test delays or duplicates.
    delays: delays::MessageDelays,
    held_changes: held_changes::HeldChanges,
    kept_reports: kept_reports::KeptReports,
    command_copies: command_copies::CommandCopies,
    slow_links: slow_links::SlowLinks,
    /// Processor costs of the controllers, if they are simulated.
    costs: Option<processor::Costs>,
    leader_gaps: leader_gaps::LeaderGaps,
}

/// Virtual time at which every simulation starts.
const START_MS: u64 = 1_000_000;
pub const LEASE_MS: u64 = 15_000;
/// Default restart delay of a crashed node.
const RESTART_MS: u64 = 2500;
const CANCEL_MS: u64 = 40_000;
const FETCH_MS: u64 = 1000;

/// Default zones of a scene that names none.
const ZONES: [&str; 2] = ["a", "b"];

/// Zones of the machines; nodes are assigned to them round robin.
fn zone_names(plan: &Plan) -> Vec<String> {
    let named = plan.scene.iter().flat_map(|scene| &scene.zones);
    let named: Vec<String> = named.cloned().collect();
    if named.is_empty() {
        ZONES.map(str::to_owned).to_vec()
    } else {
        named
    }
}

const LARGE_STATE_LIMITS: Limits = Limits {
    rps: 100.0,
    write_rps: 25.0,
    value_kb: 8.0,
    txn_ops: 16,
};
const LARGE_FLEET_MACHINES: usize = 1200;

fn controller_settings(
    node: usize,
    plan: &Plan,
    limit: f64,
    state: Limits,
    report_s: f64,
) -> Settings {
    let nodes = plan.nodes;
    let zones = zone_names(plan);
    // With wide gangs, some gangs fit within their team's guarantee, which must then be met promptly.
    let (red, blue) = if plan.wide { (6.0, 8.0) } else { (2.0, 4.0) };
    let promise = if plan.wide || plan.scene.is_some() {
        json!([{"kind": "guarantee", "within_s": 5.0, "share": 0.9}])
    } else {
        json!([])
    };
    let teams = match &plan.scene {
        Some(scene) => scene.teams_json(),
        None => {
            json!([{"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": red, "gpus_max": limit},
                      {"name": "blue", "cpus": 0.0, "cpus_max": 0.0, "gpus": blue, "gpus_max": 0.0}])
        }
    };
    let name = |i: usize| format!("burrow-{i}");
    let peers: Vec<Value> = (0..nodes)
        .filter(|i| *i != node)
        .map(
            |i| json!({"node": name(i), "domain": zones[i % zones.len()], "address": format!("10.0.0.{}:8081", i + 1)}),
        )
        .collect();
    let mut v = json!({"node": name(node), "domain": zones[node % zones.len()], "client_listen": format!("10.0.0.{}:8080", node + 1),
        "peer_bind": format!("10.0.0.{}:8081", node + 1), "peers": peers,
        "endpoints": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {"initial_size": nodes, "zones": zones,
            "teams": teams,
            "objectives": promise,
            "workers": {"report_s": report_s, "lease_s": LEASE_MS as f64 / 1000.0, "gang_wait_s": 10.0,
                        "gang_peer_s": 3.0, "cancel_s": CANCEL_MS as f64 / 1000.0},
            "state": {"rps": state.rps, "write_rps": state.write_rps, "value_kb": state.value_kb, "txn_ops": state.txn_ops},
            "cloud": {"rps": 20.0, "list_lag_s": 2.0},
            "machine_limits": {"cores": 1.0, "mem_mb": 100.0, "max_sockets": 500}}});

    if let Some(next) = plan.scene.as_ref().and_then(|scene| scene.next) {
        v["cluster"]["state"]["next"] = json!({"write_rps": next.write_rps, "value_kb": next.value_kb, "txn_ops": next.txn_ops});
    }
    serde_json::from_value(v).expect("valid settings for a simulated controller")
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let catalog = wire::api::Catalog {
            types: ["g2", "g4"]
                .iter()
                .zip([2.0, 4.0])
                .map(|(name, gpus)| wire::api::MachineType {
                    name: (*name).to_owned(),
                    cores: gpus * 8.0,
                    gpus,
                    mem_gb: 64.0,
                    cache_gb: 20.0,
                    fetch_gb_per_s: 2.0,
                    price: gpus,
                    spot_price: gpus / 2.0,
                    boot_s: 5.0,
                    zones: zone_names(&plan),
                })
                .collect(),
        };
        let mut tuning = Tuning::default();
        for (section, key, value) in [
            ("fleet", "silent_s", "6"),
            ("fleet", "idle_s", "10"),
            ("owner", "ttl_ms", "2000"),
        ] {
            tuning.set(section, key, value).expect("known setting");
        }
        let mut world = World {
            rng: fastrand::Rng::with_seed(plan.seed),
            now: START_MS,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            hosts: Vec::new(),
            state: State::default(),
            cloud: Cloud::new(catalog, 12, 2000),
            workers: BTreeMap::new(),
            watches: Vec::new(),
            open_calls: HashSet::new(),
            conns: HashMap::new(),
            next_conn: 1,
            state_outage_until: 0,
            leases_renewed_for: 0,
            take_over: None,
            cloud_outage_until: 0,
            state_slow_until: 0,
            links: Links::default(),
            crash_at_next_txn: None,
            crash_countdowns: BTreeMap::new(),
            last_txn_delay_ms: 0,
            restart_after_ms: None,
            stopped: 0,
            rules: Rules {
                cancel_ms: CANCEL_MS,
                ..Rules::default()
            },
            models: Models::default(),
            run_ms: BTreeMap::new(),
            fetch_ms: FETCH_MS,
            tuning,
            changes: BTreeMap::new(),
            answers: Vec::new(),
            hours: Default::default(),
            counties: Default::default(),
            lost_ms: 0,
            saved_ms: BTreeMap::new(),
            began: BTreeMap::new(),
            yarn: YarnStage::default(),
            gateway_conns: BTreeMap::new(),
            waits: Vec::new(),
            odd: Vec::new(),
            answered_at: BTreeMap::new(),
            refused: 0,
            lost: 0,
            forgotten: 0,
            call_ns: Vec::new(),
            day: None,
            faults: faults::FaultState::new(plan.seed, plan.nodes),
            users: users::UserFaults::new(plan.seed),
            hits: Hits::default(),
            delays: Default::default(),
            held_changes: Default::default(),
            kept_reports: Default::default(),
            command_copies: Default::default(),
            slow_links: Default::default(),
            costs: None,
            leader_gaps: Default::default(),
            plan,
        };
        if world.plan.large {
            world.state.limits = LARGE_STATE_LIMITS;
            world.cloud.capacity = LARGE_FLEET_MACHINES;
            world.tuning = Tuning::default();
        }
        if world.plan.large && world.plan.scene.is_some() {
            world
                .tuning
                .set("fleet", "idle_s", "10")
                .expect("known setting");
        }
        world.cloud.ignores_deletes = world.plan.sabotage == Sabotage::CloudLies;
        match world.plan.scene.clone() {
            Some(scene) => {
                world.cloud.capacity = scene.machines;
                world.state.limits = scene.limits.unwrap_or(world.state.limits);
                world
                    .tuning
                    .set("admin", "door", "1")
                    .expect("known setting");
                let limits = scene.teams.iter().filter(|t| t.max > 0.0);
                world.rules.gpu_limits = limits.map(|t| (t.name.clone(), t.max)).collect();
            }
            None => {
                let limit = world.red_gpu_limit();
                world.rules.gpu_limits.insert("red".into(), limit);
            }
        }
        world.begin();
        world
    }

    fn report_ms(&self) -> u64 {
        if self.plan.large { 4000 } else { 1000 }
    }

    /// The number of GPUs that team red may use at once.
    fn red_gpu_limit(&self) -> f64 {
        match (self.plan.large, self.plan.wide) {
            (true, _) => 900.0,
            (_, true) => 20.0,
            _ => 4.0,
        }
    }

    fn schedule(&mut self, time: u64, event: SimEvent) {
        self.serial += 1;
        self.events.insert(self.serial, event);
        self.queue
            .push(Reverse((time, self.serial as u64, self.serial)));
    }

    fn begin(&mut self) {
        for n in 0..self.plan.nodes {
            let drift = 1.0 + self.rng.f64() * 0.0005;
            let incarnation = 0;
            self.hosts.push(Host {
                node: None,
                incarnation,
                refused_until: 0,
                frozen_until: 0,
                processor: Default::default(),
                drift,
                name: n,
            });
            let zones = zone_names(&self.plan);
            self.links.node_zones.push(zones[n % zones.len()].clone());
            self.schedule(self.now, SimEvent::Restart(n));
        }
        self.schedule(self.now, SimEvent::WorldTick);
        if !self.plan.calm {
            self.schedule(self.now + 5000, SimEvent::RandomFault);
        }
        let start = self.now;
        if let Some(scene) = self.plan.scene.clone() {
            return self.begin_scene(scene);
        }
        for i in 0..self.plan.jobs {
            let job = self.draw_job(i);
            let id = job.id.clone();
            let at = start + 1000 + self.rng.u64(0..self.plan.faults_until);
            if self.rng.f64() < 0.25 {
                let wait = self.rng.u64(0..30_000);
                self.schedule(
                    at + wait,
                    SimEvent::UserRequest(RequestKind::Cancel, id.clone()),
                );
            }
            if job.kind == Kind::Service {
                // A service holds its capacity until it is cancelled; other jobs would wait for it legitimately.
                self.schedule(
                    start + self.plan.faults_until + 20_000,
                    SimEvent::UserRequest(RequestKind::Cancel, id.clone()),
                );
            }
            let (low, high) = if self.plan.wide {
                (10_000, 60_000)
            } else {
                (1000, 15_000)
            };
            self.run_ms.insert(id.clone(), self.rng.u64(low..high));
            self.rules.jobs.entry(id.clone()).or_default().spec = Some(job);
            self.schedule(at, SimEvent::UserRequest(RequestKind::Submit, id));
        }
        self.schedule(
            start + 2000,
            SimEvent::UserRequest(RequestKind::Poll, "job-999999".into()),
        );
    }

    fn begin_scene(&mut self, scene: Scene) {
        let start = self.now;
        self.yarn.clients = scene.clients;
        self.yarn.undead = scene.undead;
        self.yarn.drains = scene
            .drains
            .into_iter()
            .map(|(at, ask)| Drain::new(start + at, ask))
            .collect();
        self.yarn
            .clients
            .iter_mut()
            .for_each(|c| c.starts_at(start));
        for (at, path, ask) in scene.asks {
            self.schedule(start + at, SimEvent::DocumentRequest(path, ask));
        }
        for (at, change) in scene.changes {
            self.schedule(start + at, SimEvent::OperatorChange(Box::new(change)));
        }
        self.models.spec = scene.models.unwrap_or_default();
        for (at, model, node) in scene.demands {
            self.schedule(start + at, SimEvent::ModelDemand(model, node));
        }
        for job in scene.jobs {
            let id = job.spec.id.clone();
            self.run_ms.insert(id.clone(), job.run_ms);
            if let Some(wait) = job.cancel_ms {
                self.schedule(
                    start + job.at + wait,
                    SimEvent::UserRequest(RequestKind::Cancel, id.clone()),
                );
            }
            self.rules.jobs.entry(id.clone()).or_default().spec = Some(job.spec);
            self.schedule(
                start + job.at,
                SimEvent::UserRequest(RequestKind::Submit, id),
            );
        }
        if let Some(day) = scene.day {
            self.begin_day(day);
        }
    }

    /// An operator sends a quota change to a random node.
    fn send_change(&mut self, change: Box<Change>) {
        let mut asked = change.clone();
        if self.plan.sabotage == Sabotage::NodesRaised
            && let admin::Edit::Set { spec } = &mut asked.edit
        {
            spec.nodes
                .iter_mut()
                .flat_map(|n| n.max.values_mut())
                .for_each(|m| *m *= 10.0);
        }
        let body = admin::encode(&admin::Ask::Change(*asked));
        let request = Request {
            method: "POST".into(),
            path: admin::PATH.into(),
            body,
            close: false,
        };
        let n = self.rng.usize(0..self.plan.nodes);
        self.step(SimEvent::Request(
            n,
            Origin::Operator { change },
            request,
            true,
        ));
    }

    /// An operator sends a request about a document to a random node.
    pub fn inquire(&mut self, path: String, ask: Value) {
        let request = Request {
            method: "POST".into(),
            path: path.clone(),
            body: admin::encode(&ask),
            close: false,
        };
        let n = self.rng.usize(0..self.plan.nodes);
        self.step(SimEvent::Request(
            n,
            Origin::DocumentRequest { path, ask },
            request,
            true,
        ));
    }

    fn document_answered(&mut self, path: String, ask: Value, response: Option<Response>) {
        let status = response.as_ref().map_or(0, |r| r.status);
        let body = response
            .and_then(|r| serde_json::from_slice(&r.body).ok())
            .unwrap_or_default();
        if status == 0 || status == 503 {
            let again = self.now + self.rng.u64(200..900);
            return self.schedule(again, SimEvent::DocumentRequest(path, ask));
        }
        self.answers.push((ask, status, body));
    }

    /// Requests a model from the given node, or from a random one.
    pub fn demand(&mut self, model: &str, node: Option<usize>) {
        let n = node.unwrap_or_else(|| self.rng.usize(0..self.plan.nodes));
        let body = admin::encode(&Demand {
            model: model.to_owned(),
        });
        let request = Request {
            method: "POST".into(),
            path: DEMAND.into(),
            body,
            close: false,
        };
        let origin = Origin::Demand {
            model: model.to_owned(),
            node: n,
            asked: self.now,
        };
        self.step(SimEvent::Request(n, origin, request, true));
    }

    /// Checks the tasks on the machines against the rules for models.
    fn check_models(&mut self) {
        if self.plan.scene.as_ref().is_none_or(|s| s.models.is_none()) {
            return;
        }
        let on = self.workers.values().flat_map(tasks_on_machine);
        let on: Vec<_> = on
            .map(|o| (o.task.to_owned(), o.machine.to_owned()))
            .collect();
        if let Err(what) = self.models.follow(self.now, on.into_iter()) {
            self.rules.breaks("cold_starts_twice", what);
        }
    }

    fn check_model_writes(&mut self, body: &[u8]) {
        let Ok(txn) = wire::decode::<Value>(body) else {
            return;
        };
        let live = |m: &str| self.state.keys.contains_key(&format!("live/{m}"));
        if let Err(what) = self.models.wrote(self.now, &txn, live) {
            self.rules.breaks("cold_starts_twice", what);
        }
    }

    /// Handles the response to an operator's change, and retries the change if there was none or the node was
    /// unavailable.
    fn change_answered(&mut self, change: Box<Change>, response: Option<Response>) {
        let status = response.as_ref().map_or(0, |r| r.status);
        let body = response.map(|r| r.body).unwrap_or_default();
        let version = match status {
            200 => admin::decode::<Changed>(&body).map_or(0, |c| c.version),
            _ => admin::decode::<Refused>(&body)
                .ok()
                .and_then(|r| r.version)
                .unwrap_or(0),
        };
        self.changes.insert(change.id.clone(), (status, version));
        if status == 0 || status == 503 {
            let again = self.now + self.rng.u64(500..2000);
            self.schedule(again, SimEvent::OperatorChange(change));
        }
    }

    /// Checks that no transaction that changes the limits also records claims, since those were planned under the old
    /// limits.
    fn check_claims_with_bounds(&mut self, body: &[u8]) {
        let Ok(txn) = wire::decode::<Value>(body) else {
            return;
        };
        let writes = txn["writes"].as_array().map_or(&[][..], Vec::as_slice);
        let puts = |key: &'static str| {
            let at = move |w: &&Value| w["write"].as_str().is_some_and(|k| k.starts_with(key));
            writes.iter().filter(at)
        };
        let claims =
            puts("part/0/log/").any(|w| w["v"]["claims"].as_array().is_some_and(|c| !c.is_empty()));
        if claims && puts("part/0/allot").next().is_some() {
            self.rules.breaks(
                "old_plan",
                format!(
                    "{}: claims in the transaction that changes bounds",
                    self.now
                ),
            );
        }
    }

    /// Tracks the quota tree that the partition's allotment record names, whenever it changes.
    fn check_quota_tree(&mut self) {
        let Some(scene) = &self.plan.scene else {
            return;
        };
        let version = |s: &State| s.keys.get("part/0/allot")?.value.get("tree")?.as_u64();
        let named = version(&self.state).unwrap_or(0);
        if named as usize == self.rules.trees.len() {
            return;
        }
        let raised = self.plan.sabotage == Sabotage::NodesRaised;
        match scene.tree_in(&self.state, raised) {
            Ok((version, tree)) if version == named => self.rules.trees.push((self.now, tree)),
            Ok((version, _)) => self
                .rules
                .breaks("half_tree", format!("{}: {named} but {version}", self.now)),
            Err(why) => self
                .rules
                .breaks("half_tree", format!("{}: version {named}: {why}", self.now)),
        }
    }

    /// Names of all tasks that are currently on machines.
    pub fn on_machines(&self) -> Vec<String> {
        self.workers
            .values()
            .flat_map(tasks_on_machine)
            .map(|o| o.task.to_owned())
            .collect()
    }

    fn draw_job(&mut self, i: usize) -> JobSpec {
        let kind = match self.rng.u32(0..10) {
            0..5 => Kind::Array,
            5..9 => Kind::Gang,
            _ => Kind::Service,
        };
        let team = if self.rng.bool() { "red" } else { "blue" };
        let (few, most) = match (self.plan.large, kind) {
            (true, Kind::Array) => (100, 400),
            (false, Kind::Array) => (1, 7),
            _ if self.plan.wide => (2, 8),
            _ => (1, 3),
        };
        let one_zone = self.plan.wide || self.rng.u32(0..3) == 0;
        let zone = (self.rng.u32(0..5) == 0).then(|| "b".to_owned());
        let urgency = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ][self.rng.usize(0..4)];
        JobSpec {
            id: format!("job-{:06}", 1000 + i),
            class: "c".into(),
            team: team.into(),
            kind,
            priority: if self.plan.wide {
                Priority::Normal
            } else {
                urgency
            },
            tasks: self.rng.u32(few..=most),
            cores: 2.0,
            gpus: 1.0,
            mem_gb: 4.0,
            image: format!("img-{}", self.rng.u32(0..3)),
            image_gb: 2.0,
            types: (self.rng.u32(0..4) == 0).then(|| vec!["g4".to_owned()]),
            spread: !one_zone && zone.is_none() && self.rng.u32(0..4) == 0,
            zone,
            one_zone,
            spot: self.rng.bool(),
            estimate_s: if self.plan.wide { 35.0 } else { 8.0 },
            checkpoint_s: if self.rng.bool() { 3.0 } else { 0.0 },
            save_s: 0.5,
            deadline_s: None,
        }
    }

    /// Runs the simulation to its end, or until a rule is broken.
    pub fn run(&mut self) {
        self.run_for(self.plan.end);
    }

    /// Runs the simulation for the given time, or until a rule is broken.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(Reverse((time, _, _))) = self.queue.peek().copied() {
            if time > end || !self.rules.broken.is_empty() || !self.yarn.checks.broken.is_empty() {
                return;
            }
            let Some(Reverse((_, _, id))) = self.queue.pop() else {
                return;
            };
            self.now = time;
            if let Some(event) = self.events.remove(&id) {
                self.step(event);
            }
        }
    }

    /// Isolates all machines of a zone from the network and returns their names.
    pub fn cut_zone(&mut self, zone: &str, ms: u64) -> Vec<String> {
        self.cut(Cut::between(
            Frontend::MachinesIn(zone.to_owned()),
            Frontend::Any,
            self.now,
            ms,
        ));
        let machines = self.workers.values().filter(|w| w.zone == zone);
        machines.map(|w| w.name.clone()).collect()
    }

    /// Sets a tuning option for all controllers that start from now on.
    pub fn tune(&mut self, section: &str, key: &str, value: &str) {
        self.tuning.set(section, key, value).expect("known setting");
    }

    /// Number of worker reports that reached the leader through another node.
    pub fn relayed(&self) -> u64 {
        self.hosts
            .iter()
            .filter_map(|h| h.node.as_ref())
            .map(|n| n.node().stats().relayed)
            .sum()
    }

    pub fn cut(&mut self, cut: Cut) {
        self.links.cut(cut);
    }

    /// Cuts a zone, including its nodes and machines, off from everything outside it.
    pub fn cut_off(&mut self, zone: &str, ms: u64) {
        let (inside, outside) = (
            Frontend::Zone(zone.to_owned()),
            Frontend::Outside(zone.to_owned()),
        );
        self.cut(Cut::between(inside, outside, self.now, ms));
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    /// The cloud responds to every request with an error for the given time.
    pub fn cloud_out(&mut self, ms: u64) {
        self.cloud_outage_until = self.now + ms;
    }

    /// Sets what happens to the next takeover transaction.
    pub fn take_over_is(&mut self, fate: TakeOver) {
        self.take_over = Some(fate);
    }

    /// The state service is unavailable to everybody for the given time.
    pub fn state_out(&mut self, ms: u64) {
        self.state_outage_until = self.now + ms;
    }

    /// The node that currently leads the fleet with a confirmed lease.
    pub fn leader_at(&self) -> Option<usize> {
        self.hosts.iter().position(|h| {
            h.node
                .as_ref()
                .is_some_and(|n| n.node().role_name() == "leader")
        })
    }

    /// A user asks random nodes to cancel a job, and retries until the cancellation is confirmed.
    pub fn cancel(&mut self, job: &str) {
        self.schedule(
            self.now,
            SimEvent::UserRequest(RequestKind::Cancel, job.to_owned()),
        );
    }

    /// Same as [`World::cancel`], after a delay.
    pub fn cancel_in(&mut self, job: &str, ms: u64) {
        self.schedule(
            self.now + ms,
            SimEvent::UserRequest(RequestKind::Cancel, job.to_owned()),
        );
    }

    /// The current session number of each running machine.
    pub fn sessions(&self) -> BTreeMap<String, u64> {
        self.workers
            .iter()
            .map(|(name, w)| (name.clone(), w.session))
            .collect()
    }

    /// Number of sessions that workers have lost to lease expiry so far.
    pub fn sessions_lost(&self) -> u64 {
        self.workers.values().map(|w| w.session - 1).sum()
    }

    /// The index of node `n`'s `i`th peer.
    fn peer_of(&self, n: usize, i: usize) -> usize {
        (0..self.plan.nodes).filter(|p| *p != n).nth(i).unwrap_or(0)
    }

    fn worker_at(&self, addr: std::net::SocketAddr) -> Option<&Worker> {
        self.workers.get(&name_at(addr)?)
    }

    /// The network cut that blocks a node's request, if any: until when, and how it fails.
    fn sending_is_cut(&self, n: usize, to: Destination) -> Option<(u64, How)> {
        if self.links.are_uncut(self.now) {
            return None;
        }
        self.links
            .blocked(self.now, Place::Node(n), self.place(n, to)?)
    }

    fn reply_is_cut(&self, c: &Call) -> bool {
        if self.links.are_uncut(self.now) {
            return false;
        }
        let from = self.place(c.node, c.to);
        from.is_some_and(|p| {
            self.links
                .blocks_response(self.now, p, Place::Node(c.node))
                .is_some()
        })
    }

    fn place(&self, n: usize, to: Destination) -> Option<Place<'_>> {
        Some(match to {
            Destination::State => Place::State,
            Destination::Cloud => Place::Cloud,
            Destination::Peer(i) => Place::Node(self.peer_of(n, i)),
            Destination::Worker(addr) => {
                let w = self.worker_at(addr)?;
                Place::Machine {
                    name: &w.name,
                    zone: &w.zone,
                }
            }
        })
    }

    /// How a network cut blocks a node's response, if it does.
    fn answer_is_cut(&self, n: usize, to: &Origin) -> Option<How> {
        let to = match to {
            Origin::User { .. }
            | Origin::ExtraAction { .. }
            | Origin::RawSubmission { .. }
            | Origin::Operator { .. }
            | Origin::DocumentRequest { .. }
            | Origin::Demand { .. }
            | Origin::Probe { .. } => Place::Users,
            Origin::Duplicate => return None,
            Origin::Peer { node, .. } => Place::Node(*node),
            Origin::Worker { name, .. } => {
                let w = self.workers.get(name)?;
                Place::Machine {
                    name: &w.name,
                    zone: &w.zone,
                }
            }
        };
        self.links.blocks_response(self.now, Place::Node(n), to)
    }

    /// Whether the cloud still has this machine rented out.
    pub fn is_rented(&self, machine: &str) -> bool {
        self.cloud.machines.contains_key(machine)
    }

    /// The state service refuses requests of the current leader for the given time.
    pub fn refuse_leader(&mut self, ms: u64) {
        let leader = |h: &&mut Host| {
            h.node
                .as_ref()
                .is_some_and(|n| n.node().role_name() == "leader")
        };
        let until = self.now + ms;
        self.hosts
            .iter_mut()
            .filter(leader)
            .for_each(|h| h.refused_until = until);
    }

    /// The controller that currently leads the fleet.
    pub fn leader(&self) -> Option<&Served> {
        self.hosts
            .iter()
            .filter_map(|h| h.node.as_ref())
            .find(|n| n.node().term().is_some())
    }

    /// IDs of all applications recorded in the state service.
    pub fn applications(&self) -> Vec<u32> {
        let id = |k: &String| k.strip_prefix(gateway::records::APPS)?.parse().ok();
        self.state.keys.keys().filter_map(id).collect()
    }

    /// Names of the machines that tasks of the job are on.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let has = |w: &&Worker| {
            w.tasks
                .iter()
                .any(|t| t.is_on() && wire::ids::parse_task(&t.name).is_some_and(|(j, _)| j == job))
        };
        self.workers
            .values()
            .filter(has)
            .map(|w| w.name.clone())
            .collect()
    }

    /// A machine fails, together with all tasks on it.
    pub fn lose(&mut self, machine: &str) {
        self.kill_machine(machine);
    }

    /// IDs of accepted jobs, other than services, that have not ended according to their users.
    pub fn unfinished(&self) -> Vec<&str> {
        self.rules
            .jobs
            .iter()
            .filter(|(_, j)| {
                j.accepted.is_some() && j.told_done.is_none() && j.told_cancelled.is_none()
            })
            .filter(|(_, j)| j.spec.as_ref().is_some_and(|s| s.kind != Kind::Service))
            .map(|(id, _)| id.as_str())
            .collect()
    }

    fn step(&mut self, ev: SimEvent) {
        if let Some(until) = self.deferred_until(&ev) {
            return self.schedule(until, ev);
        }
        let Some(ev) = self.defer(ev) else { return };
        match ev {
            SimEvent::Restart(n) => {
                self.drop_waiting(n);
                let raised = if self.plan.sabotage == Sabotage::LimitsRaised {
                    10.0
                } else {
                    1.0
                };
                let limit = self.red_gpu_limit() * raised;
                let seed = self.rng.u64(..);
                let now = self.node_now(n);
                self.hosts[n].incarnation += 1;
                let report_s = self.report_ms() as f64 / 1000.0;
                let named = self.state.configured_limits();
                let mut settings = controller_settings(n, &self.plan, limit, named, report_s);
                settings.node = format!("burrow-{}", self.hosts[n].name);
                let node = Node::new(settings, self.tuning.clone(), seed, now);
                let node =
                    node.with_first_models(self.plan.scene.as_ref().and_then(|s| s.models.clone()));
                let config = self.plan.scene.as_ref().and_then(|s| s.yarn.clone());
                let gateway = config.map(|c| Gateway::new(c, [seed as u8; 32]));
                self.hosts[n].node = Some(Served::new(node, gateway));
                let incarnation = self.hosts[n].incarnation;
                self.schedule(self.now, SimEvent::Tick(n, incarnation));
            }
            SimEvent::Tick(n, incarnation) => {
                if self.hosts[n].incarnation == incarnation && self.hosts[n].node.is_some() {
                    self.deliver(n, Event::Tick);
                    self.schedule(self.now + 50, SimEvent::Tick(n, incarnation));
                }
            }
            SimEvent::Arrive(call) => self.arrive(call),
            SimEvent::Reply(n, incarnation, tag, response) => {
                if self.open_calls.remove(&(n, incarnation, tag))
                    && self.hosts[n].incarnation == incarnation
                    && self.hosts[n].node.is_some()
                {
                    self.deliver(n, Event::Reply { tag, response });
                }
            }
            SimEvent::Request(n, origin, request, peer) => {
                if self.hosts[n].node.is_none() {
                    return self.schedule(self.now + 500, SimEvent::Answer(origin, None));
                }
                // Requests from workers and nodes were checked against network cuts when they were sent.
                self.hits.copies += u64::from(matches!(origin, Origin::Duplicate));
                let users = !matches!(
                    origin,
                    Origin::Worker { .. } | Origin::Peer { .. } | Origin::Duplicate
                );
                if users
                    && self
                        .links
                        .blocked(self.now, Place::Users, Place::Node(n))
                        .is_some()
                {
                    return self.schedule(self.now + 500, SimEvent::Answer(origin, None));
                }
                if let Some(answer) = self.sabotaged_answer(&origin) {
                    return self.schedule(self.now + 2, SimEvent::Answer(origin, Some(answer)));
                }
                let conn = self.next_conn;
                self.next_conn += 1;
                self.conns.insert(conn, origin);
                self.schedule(self.now + 5000, SimEvent::RequestTimeout(conn));
                self.deliver(
                    n,
                    if peer {
                        Event::Peer { conn, request }
                    } else {
                        Event::Client { conn, request }
                    },
                );
            }
            SimEvent::Answer(origin, response) => self.answer(origin, response),
            SimEvent::RequestTimeout(conn) => {
                if let Some(origin) = self.conns.remove(&conn) {
                    self.answer(origin, None);
                }
            }
            SimEvent::WorldTick => self.world_tick(),
            SimEvent::UserRequest(kind, job) => self.send_request_to_any(kind, job),
            SimEvent::ExtraAction(action) => self.run_extra_action(action),
            SimEvent::OperatorChange(change) => self.send_change(change),
            SimEvent::DocumentRequest(path, ask) => self.inquire(path, ask),
            SimEvent::ModelDemand(model, node) => self.demand(&model, node),
            SimEvent::RandomFault => self.inject_random_fault(),
            SimEvent::BytesToNode(conn, bytes) => self.conn_input(conn, Raw::Bytes(bytes)),
            SimEvent::BytesToClient(conn, bytes) => self.conn_output(conn, &bytes),
            SimEvent::ConnectionEnd(conn) => self.conn_ended(conn),
            SimEvent::HealthProbe(n) => self.probe(n),
            SimEvent::ScheduledFault(i) => self.inject_scheduled_fault(i),
            SimEvent::ProcessorFree(n) => self.processor_free(n),
            SimEvent::CommandCopy(machine, body) => self.deliver_command_copy(machine, body),
        }
    }

    fn node_now(&self, n: usize) -> Now {
        let mono = (self.now as f64 * self.hosts[n].drift) as u64;
        let skew = self.plan.scene.as_ref().map_or(0, |s| s.skew_ms);
        Now {
            mono,
            wall: self.now + skew * n as u64,
        }
    }

    fn deliver(&mut self, n: usize, event: Event) {
        let now = self.node_now(n);
        let cost = self.event_cost(&event);
        let Some(node) = self.hosts[n].node.as_mut() else {
            return;
        };
        let before = node.node().stats().clone();
        let outs = node.handle(now, event);
        let after = node.node().stats();
        let steps = after.plan_steps - before.plan_steps;
        self.stopped += after.preempts - before.preempts;
        self.charge_processor(n, cost, steps);
        self.apply_outputs(n, outs);
    }

    fn apply_outputs(&mut self, n: usize, outs: Vec<Out>) {
        let incarnation = self.hosts[n].incarnation;
        let mut dies = None;
        for out in outs {
            let effect = match out {
                Out::Node(effect) => effect,
                Out::Write { conn, bytes } => {
                    let faulty = self.now < START_MS + self.plan.faults_until && !self.plan.calm;
                    // Occasionally the connection breaks and the response is lost with it.
                    if faulty && self.rng.u32(0..40) == 0 {
                        self.schedule(self.now + 1, SimEvent::ConnectionEnd(conn));
                    } else {
                        let at = self.now + self.rng.u64(1..5);
                        self.schedule(at, SimEvent::BytesToClient(conn, bytes));
                    }
                    continue;
                }
                Out::Close { conn } => {
                    self.schedule(self.now + 6, SimEvent::ConnectionEnd(conn));
                    continue;
                }
            };
            self.check_orders_sent(n, &effect);
            match effect {
                Effect::Respond { conn, response } => {
                    if let Some(origin) = self.conns.remove(&conn) {
                        let cut = self.answer_is_cut(n, &origin);
                        // A delayed response arrives after its receiver has stopped waiting.
                        let slow = match origin {
                            Origin::Worker { .. } => self.delays.answer_delay_ms(self.now),
                            _ => 0,
                        };
                        let slow = slow + self.answer_delay_ms(n, &origin);
                        let (at, response) = match cut {
                            None => (self.now + slow + self.rng.u64(1..5), Some(response)),
                            Some(How::Reset) => (self.now + self.rng.u64(1..5), None),
                            Some(How::Hold) => (self.now + 4000, None),
                        };
                        self.schedule(at, SimEvent::Answer(origin, response));
                    }
                }
                // Handled between the node and its gateway; nothing is sent.
                Effect::Frontend { .. } => {}
                Effect::Send {
                    tag,
                    to,
                    method,
                    path,
                    body,
                    timeout_ms,
                    ..
                } => {
                    let last = self.crash_at_next_txn == Some(n) && path == "/txn";
                    if last {
                        dies = Some(RESTART_MS);
                    }
                    dies = self.count_down_to_crash(n, to).or(dies);
                    self.open_calls.insert((n, incarnation, tag));
                    self.schedule(
                        self.now + timeout_ms,
                        SimEvent::Reply(n, incarnation, tag, None),
                    );
                    let mut delay = self.rng.u64(1..8);
                    let faulty = self.now < START_MS + self.plan.faults_until;
                    // A cut that holds messages delivers them once it is over. Occasionally a message is slow without
                    // a cut.
                    if let Some((until, how)) = self.sending_is_cut(n, to) {
                        if how == How::Reset {
                            self.schedule(self.now + 2, SimEvent::Reply(n, incarnation, tag, None));
                            continue;
                        }
                        delay += until - self.now;
                    } else if faulty && self.rng.u32(0..300) == 0 {
                        delay += self.rng.u64(1000..40_000);
                    }
                    if path == "/txn" {
                        delay += self.record_delay(&body)
                            + if last { self.last_txn_delay_ms } else { 0 };
                    }
                    delay += self.node_delay_ms(n) + self.send_delay_ms(n, to);
                    let late = self.take_over_delay_ms(&path, &body);
                    if matches!(to, Destination::Worker(_)) {
                        delay += self.delays.command_delay_ms(self.now);
                    }
                    self.schedule(
                        self.now + delay + late.unwrap_or(0),
                        SimEvent::Arrive(Call {
                            node: n,
                            incarnation,
                            tag,
                            to,
                            method,
                            path,
                            body,
                            unanswered: late.is_some(),
                        }),
                    );
                }
            }
        }
        if let Some(back) = dies {
            self.crash_at_next_txn = self.crash_at_next_txn.filter(|d| *d != n);
            self.crash_controller(n, back);
        }
    }

    /// If the transaction takes over leadership and a fate was set for it: the delay until it is executed without a
    /// response.
    fn take_over_delay_ms(&mut self, path: &str, body: &[u8]) -> Option<u64> {
        let fate = self
            .take_over
            .filter(|_| path == "/txn" && takes_over(body))?;
        self.take_over = None;
        match fate {
            TakeOver::Unanswered => Some(0),
            TakeOver::Late(ms) => Some(ms),
        }
    }

    /// Counts a node's request to the state service. Returns the restart delay if the node crashes while sending this
    /// request.
    fn count_down_to_crash(&mut self, n: usize, to: Destination) -> Option<u64> {
        let counts = to == Destination::State && self.now < self.faults_over_at();
        let (left, back) = self.crash_countdowns.get_mut(&n).filter(|_| counts)?;
        *left = left.saturating_sub(1);
        let crashes = (*left == 0).then_some(*back);
        if crashes.is_some() {
            self.crash_countdowns.remove(&n);
        }
        crashes
    }

    /// The additional delay of a transaction that writes the gateway's records or, without a gateway, of any one.
    fn record_delay(&mut self, body: &[u8]) -> u64 {
        let Some(scene) = &self.plan.scene else {
            return 0;
        };
        let (slow, held) = (scene.records_ms, scene.held_one_in);
        let concerned = scene.yarn.is_none() || body.windows(10).any(|w| w == b"side/yarn/");
        if slow + u64::from(held) == 0 || !concerned {
            return 0;
        }
        let is_held = held > 0 && self.rng.u32(0..held) == 0;
        slow + if is_held { self.rng.u64(2500..9000) } else { 0 }
    }

    fn reply(&mut self, c: &Call, status: u16, body: &Value) {
        let response = Response {
            status,
            body: wire::encode(body),
            close: false,
            retry_after_s: None,
        };
        let faulty = self.now < START_MS + self.plan.faults_until;
        let cut = self.reply_is_cut(c);
        if (faulty && self.rng.u32(0..200) == 0) || cut {
            return;
        }
        let slow = c.to == Destination::State && self.state_slow_until > self.now;
        let mut at = self.now
            + if slow {
                self.rng.u64(20..500)
            } else {
                self.rng.u64(1..8)
            };
        at += self.reply_delay_ms(c);
        self.schedule(
            at,
            SimEvent::Reply(c.node, c.incarnation, c.tag, Some(response)),
        );
    }

    fn arrive(&mut self, c: Call) {
        match c.to {
            Destination::State => {
                // An unanswered transaction has already been accepted; only an outage still postpones it.
                if c.unanswered && self.state_outage_until > self.now {
                    return self.schedule(self.state_outage_until + 100, SimEvent::Arrive(c));
                }
                let refused = !c.unanswered && self.hosts[c.node].refused_until > self.now;
                if self.state_outage_until > self.now || refused {
                    return self.reply(&c, 503, &json!({"error": "trouble"}));
                }
                let Some(c) = self.maybe_hold(c) else { return };
                if let Some(ms) = self.write_delay_ms(&c) {
                    return self.schedule(
                        self.now + ms,
                        SimEvent::Arrive(Call {
                            unanswered: true,
                            ..c
                        }),
                    );
                }
                self.expire_leases();
                if self.plan.sabotage == Sabotage::GrantsLost
                    && self.now > START_MS + 60_000
                    && c.path == "/grants"
                {
                    return self.reply(&c, 503, &json!({"error": "trouble"}));
                }
                match self.state.handle(self.now, c.method, &c.path, &c.body) {
                    Outcome::Now(status, body) => {
                        if c.path == "/txn" && status == 200 && self.plan.scene.is_some() {
                            self.note_yarn_jobs(&c.body);
                            self.check_claims_with_bounds(&c.body);
                            self.check_quota_tree();
                            self.hours.follow(&self.state, &mut self.rules, self.now);
                            self.counties.follow(&self.state, &mut self.rules, self.now);
                            self.check_model_writes(&c.body);
                        }
                        let stranger = self.plan.sabotage == Sabotage::StrangersKnown;
                        if stranger && status == 404 && c.path.starts_with("/keys/live/") {
                            return self.reply(&c, 200, &json!({"key": "x", "v": {}, "stamp": 1}));
                        }
                        if !c.unanswered {
                            self.reply(&c, status, &body);
                        } else if status == 200 {
                            self.hits.late_writes += 1;
                        } else {
                            self.hits.late_refused += 1;
                        }
                    }
                    Outcome::Wait(w) => self.watches.push((w, c.node, c.incarnation, c.tag)),
                }
                self.fire_watches();
            }
            Destination::Cloud => {
                if self.cloud_outage_until > self.now {
                    return self.reply(&c, 503, &json!({"error": "trouble"}));
                }
                let (status, body) =
                    self.cloud
                        .handle(self.now, &mut self.rng, c.method, &c.path, &c.body);
                let deleted: Vec<String> = std::mem::take(&mut self.cloud.deleted)
                    .into_iter()
                    .collect();
                for name in deleted {
                    if !self.cloud.ignores_deletes {
                        let gone = self.workers.remove(&name);
                        self.lost += gone.iter().flat_map(tasks_on_machine).count() as u64;
                    }
                }
                self.reply(&c, status, &body);
            }
            Destination::Peer(i) => {
                let to = self.peer_of(c.node, i);
                let request = Request {
                    method: c.method.into(),
                    path: c.path,
                    body: c.body,
                    close: false,
                };
                let origin = Origin::Peer {
                    node: c.node,
                    incarnation: c.incarnation,
                    tag: c.tag,
                };
                self.maybe_copy_relayed_command(to, &request);
                self.step(SimEvent::Request(to, origin, request, true));
            }
            Destination::Worker(addr) => {
                let name = name_at(addr).filter(|n| self.workers.contains_key(n));
                let Some(name) = name.filter(|n| !self.misses_command(n)) else {
                    return;
                };
                let until = self.workers[&name].hung_until;
                if until > self.now {
                    // The command is executed once the machine resumes.
                    return self.schedule(until, SimEvent::Arrive(c));
                }
                if c.path == "/commands" {
                    self.note_command(&name, &c.body);
                }
                let Some((status, report)) = self.request_worker(&name, &c.path, &c.body) else {
                    return;
                };
                self.reply(&c, status, &report);
            }
        }
    }

    /// A direct request reaches a worker. Returns the status and the body of the response.
    fn request_worker(&mut self, name: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
        let (jobs, runs, saved_ms) = (&self.rules.jobs, &self.run_ms, &self.saved_ms);
        let fetch_ms = self.fetch_ms;
        let worker = self.workers.get_mut(name)?;
        let (killed, results) = worker.expire(self.now, LEASE_MS);
        self.lost += killed;
        self.forgotten += results;
        let mut status = 200;
        if path == "/commands" {
            let orders = wire::decode::<Orders>(body).ok()?;
            status = worker.commands(
                &orders,
                |t| task_times(jobs, runs, saved_ms, fetch_ms, t),
                self.now,
            );
        }
        let report = serde_json::to_value(worker.report(self.now)).unwrap_or_default();
        Some((status, report))
    }

    /// Expires leases, or renews all of them to their full duration on the first call after an outage.
    fn expire_leases(&mut self) {
        if self.leases_renewed_for != self.state_outage_until {
            self.leases_renewed_for = self.state_outage_until;
            self.state.renew_all(self.state_outage_until);
        }
        self.state.expire(self.now);
    }

    fn fire_watches(&mut self) {
        let waiting = std::mem::take(&mut self.watches);
        for (w, node, incarnation, tag) in waiting {
            let silent =
                self.state_outage_until > self.now || self.hosts[node].refused_until > self.now;
            let found = if silent {
                None
            } else {
                self.state.changes(&w.prefix, w.from)
            };
            let body = found.or_else(|| {
                (w.until <= self.now && !silent)
                    .then(|| json!({"ledger": self.state.revision.max(w.from), "log": []}))
            });
            match body {
                Some(body) => {
                    let call = Call {
                        node,
                        incarnation,
                        tag,
                        to: Destination::State,
                        method: "GET",
                        path: String::new(),
                        body: Vec::new(),
                        unanswered: false,
                    };
                    self.reply(&call, 200, &body);
                }
                None => self.watches.push((w, node, incarnation, tag)),
            }
        }
    }

    fn answer(&mut self, origin: Origin, response: Option<Response>) {
        match origin {
            Origin::Peer {
                node,
                incarnation,
                tag,
            } => {
                let at = self.now + 1;
                self.schedule(at, SimEvent::Reply(node, incarnation, tag, response));
            }
            Origin::Operator { change } => self.change_answered(change, response),
            Origin::Probe { node, asked } => self.probe_answered(node, asked, response),
            Origin::ExtraAction { job, kind, asked } => {
                self.answer_extra(job, kind, asked, response)
            }
            Origin::User { job, kind, asked } if self.day.is_some() => {
                self.answer_balanced(job, kind, asked, response)
            }
            Origin::DocumentRequest { path, ask } => self.document_answered(path, ask, response),
            Origin::Demand { model, node, asked } => {
                let status = response.as_ref().map_or(0, |r| r.status);
                let told = response.and_then(|r| admin::decode(&r.body).ok());
                let answer = Answer {
                    asked,
                    at: self.now,
                    node,
                    model,
                    status,
                    told,
                };
                if let Err(what) = self.models.answered(answer) {
                    self.rules.breaks("models_lost", what);
                }
            }
            Origin::User { job, kind, asked } => {
                let status = response.as_ref().map_or(0, |r| r.status);
                self.waits.push(self.now - asked);
                let taken = matches!(status, 200 | 201 | 400 | 422);
                self.refused += u64::from(kind == RequestKind::Submit && !taken);
                let state = response
                    .as_ref()
                    .and_then(|r| wire::decode::<JobState>(&r.body).ok());
                let stage = state.map(|s| s.stage);
                self.rules.told(
                    self.now,
                    asked,
                    &job,
                    status,
                    stage,
                    kind == RequestKind::Submit,
                );
                self.check_recorded(&job, stage);
                self.note_user_answer(&job, asked, status, stage);
                let over = stage.is_some_and(|s| s.is_final());
                let wait = self.rng.u64(500..2500);
                match kind {
                    RequestKind::Submit if status == 200 || status == 201 => {
                        self.schedule(
                            self.now + wait,
                            SimEvent::UserRequest(RequestKind::Poll, job),
                        );
                    }
                    RequestKind::Submit if status == 400 || status == 422 => {}
                    RequestKind::Poll if over => {
                        // Some users submit the same job again much later.
                        if self.rng.u32(0..3) == 0 {
                            self.schedule(
                                self.now + 10 * wait,
                                SimEvent::UserRequest(RequestKind::Submit, job),
                            );
                        }
                    }
                    RequestKind::Poll if status == 404 => {}
                    RequestKind::Cancel if over || status == 404 => {}
                    _ => self.schedule(self.now + wait, SimEvent::UserRequest(kind, job)),
                }
            }
            Origin::RawSubmission { node, job, asked } => {
                self.raw_submission_answered(node, job, asked, response)
            }
            Origin::Duplicate => {}
            Origin::Worker { name, .. } if response.is_some() && self.misses_answer(&name) => {}
            Origin::Worker { name, number, sent } => {
                let (jobs, runs, saved_ms) = (&self.rules.jobs, &self.run_ms, &self.saved_ms);
                let fetch_ms = self.fetch_ms;
                let nodes = self.plan.nodes;
                let Some(w) = self.workers.get_mut(&name) else {
                    return;
                };
                if w.hung_until > self.now || w.out != Some((number, sent)) {
                    return;
                }
                match response {
                    Some(r) if r.status == 200 => {
                        if let Ok(orders) = wire::decode::<Orders>(&r.body) {
                            w.answered(
                                number,
                                sent,
                                &orders,
                                |t| task_times(jobs, runs, saved_ms, fetch_ms, t),
                                self.now,
                            );
                        }
                    }
                    Some(r) if r.status == 421 => {
                        let to = wire::decode::<Redirect>(&r.body)
                            .ok()
                            .and_then(|r| r.report_to);
                        let to = to.and_then(|t| t.strip_prefix("burrow-")?.parse::<usize>().ok());
                        w.out = None;
                        match to.filter(|t| *t != w.node && *t < nodes) {
                            Some(t) => {
                                w.node = t;
                                w.next_report = self.now + 100;
                            }
                            None => {
                                w.node = (w.node + 1) % nodes;
                                w.next_report = self.now + 1000;
                            }
                        }
                    }
                    _ => {
                        w.out = None;
                        w.node = (w.node + 1) % nodes;
                        w.next_report = self.now + 1000;
                    }
                }
            }
        }
    }

    fn send_request_to_any(&mut self, kind: RequestKind, job: String) {
        let n = self.rng.usize(0..self.plan.nodes);
        self.send_request_to(n, kind, job);
    }

    fn send_request_to(&mut self, n: usize, kind: RequestKind, job: String) {
        let Some(entry) = self.rules.jobs.get_mut(&job) else {
            let request = Request {
                method: "GET".into(),
                path: format!("/work/{job}"),
                body: Vec::new(),
                close: false,
            };
            return self.step(SimEvent::Request(
                n,
                Origin::User {
                    job,
                    kind,
                    asked: self.now,
                },
                request,
                false,
            ));
        };
        let (method, path, body) = match kind {
            RequestKind::Submit => {
                entry.submitted = true;
                let mut spec = entry.spec.clone();
                if let Some(s) = spec
                    .as_mut()
                    .filter(|_| self.plan.sabotage == Sabotage::SpotAllowed)
                {
                    s.spot = true;
                }
                ("POST", "/work".to_owned(), wire::encode(&spec))
            }
            RequestKind::Poll => ("GET", format!("/work/{job}"), Vec::new()),
            RequestKind::Cancel => {
                if entry.accepted.is_none() {
                    let at = self.now + 2000;
                    return self.schedule(at, SimEvent::UserRequest(kind, job));
                }
                entry.cancel_asked = true;
                ("POST", format!("/work/{job}/cancel"), Vec::new())
            }
        };
        let request = Request {
            method: method.into(),
            path,
            body,
            close: false,
        };
        if self.day.is_some() {
            return self.send_balanced(job, kind, request);
        }
        self.step(SimEvent::Request(
            n,
            Origin::User {
                job,
                kind,
                asked: self.now,
            },
            request,
            false,
        ));
    }

    fn world_tick(&mut self) {
        let now = self.now;
        self.schedule(now + 100, SimEvent::WorldTick);
        if self.state_outage_until <= now {
            self.expire_leases();
        }
        self.fire_watches();
        if now.is_multiple_of(500) {
            self.cloud.snapshot(now);
        }
        if self.plan.sabotage == Sabotage::KeysLost && now.is_multiple_of(20_000) {
            self.state.keys.retain(|k, _| !k.starts_with("live/"));
        }
        if self.plan.sabotage == Sabotage::LogLost && now.is_multiple_of(3000) {
            self.state.keys.retain(|k, _| !k.contains("/log/"));
        }
        if self.plan.sabotage == Sabotage::EndsLost && now.is_multiple_of(10_000) {
            self.state.keys.retain(|k, _| !k.starts_with("end/"));
        }
        for (name, machine_type, zone, spot) in
            self.cloud.came_up(now, |n| self.workers.contains_key(n))
        {
            let node = self.rng.usize(0..self.plan.nodes);
            let mut w = Worker::new(&name, &machine_type, &zone, spot, node, now);
            w.ignores_stops = self.plan.sabotage == Sabotage::StopsIgnored;
            w.ignores_starts = self.plan.sabotage == Sabotage::StartsLost;
            self.workers.insert(name, w);
        }
        let taken = |w: &&Worker| w.taken_at.is_some_and(|at| at <= now);
        let taken: Vec<String> = self
            .workers
            .values()
            .filter(taken)
            .map(|w| w.name.clone())
            .collect();
        for name in taken {
            self.workers.remove(&name);
            self.cloud.machines.remove(&name);
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.worker_tick(&name);
        }
        self.gang_tick();
        self.users_tick();
        self.check_models();
        self.yarn_tick();
        self.check_leader();
        self.check_room();
        self.leader_gaps
            .note(now, self.leader_at(), self.round_ms());
        if self.plan.large && now.is_multiple_of(1000) {
            let on: Vec<OnMachine<'_>> = self.workers.values().flat_map(tasks_on_machine).collect();
            self.rules.check_all(now, &on);
            self.rules.all_apart(now, &on, &self.counties);
        }
        // A large fleet is checked as a whole once a second.
        if self.plan.large && !now.is_multiple_of(1000) {
            return;
        }
        for task in self.on_machines() {
            self.rules.is_on(now, &task);
        }
    }

    /// Advances one worker: task progress, lease expiry, and reports to the controllers.
    fn worker_tick(&mut self, name: &str) {
        let now = self.now;
        let report_ms = self.report_ms();
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.hung_until > now {
            return;
        }
        let (killed, results) = w.expire(now, LEASE_MS);
        self.lost += killed;
        self.forgotten += results;
        let mut begun = Vec::new();
        let early = self.plan.sabotage == Sabotage::DoneTooEarly;
        let is_held = |task: &str| self.day.as_ref().is_some_and(|b| b.is_fetch_blocked(task));
        for t in &mut w.tasks {
            let gang = wire::ids::parse_task(&t.name)
                .and_then(|(id, _)| self.rules.jobs.get(id)?.spec.as_ref())
                .is_some_and(|s| s.kind == Kind::Gang);
            if t.stage == TaskStage::Fetching && t.fetched_at <= now && !is_held(&t.name) {
                t.stage = if gang {
                    TaskStage::Waiting
                } else {
                    TaskStage::Running
                };
                t.since = now;
                w.changed = true;
                begun.push((t.name.clone(), gang));
            } else if t.stage == TaskStage::Running && t.ends_at <= now && !gang {
                t.stage = TaskStage::Exited;
                t.cause = Some(Cause::Done);
                w.changed = true;
                self.rules.completed(&t.name);
            } else if early && t.stage == TaskStage::Running {
                t.stage = TaskStage::Exited;
                t.cause = Some(Cause::Done);
                w.changed = true;
            }
        }
        if w.out.is_some_and(|(_, sent)| sent + 4000 <= now) {
            w.out = None;
            w.node = (w.node + 1) % self.plan.nodes;
            w.next_report = now + 1000;
        }
        let mut send = None;
        if w.out.is_none() && (now >= w.next_report || (w.changed && now >= w.told_at + 500)) {
            w.changed = false;
            w.next_report = now + self.rng.u64(report_ms * 3 / 4..report_ms * 5 / 4);
            w.told_at = now;
            let report = w.report(now);
            w.out = Some((report.seq, now));
            send = Some((w.node, report));
        }
        for what in w.reaped_early.drain(..) {
            self.rules
                .breaks("reaped_early", format!("{}: {what}", self.now));
        }
        for (task, ms) in std::mem::take(&mut w.stopped) {
            let job = wire::ids::parse_task(&task).and_then(|(id, _)| self.rules.jobs.get(id));
            let saves = job
                .and_then(|j| j.spec.as_ref())
                .is_some_and(|s| s.checkpoint_s > 0.0);
            if saves && self.plan.scene.is_some() {
                *self.saved_ms.entry(task).or_default() += ms;
            } else {
                self.lost_ms += ms;
            }
        }
        let (zone, machine_type, spot) = (w.zone.clone(), w.machine_type.clone(), w.spot);
        if self.plan.scene.is_some() {
            for (task, gang) in &begun {
                self.began.entry(task.clone()).or_insert(now - START_MS);
                if let Some((job, _)) = wire::ids::parse_task(task).filter(|_| !gang) {
                    self.note_running(job);
                }
            }
        }
        // A large fleet is checked as a whole once a second instead.
        if self.plan.large {
            self.rules.starts += begun.len() as u64;
            begun.clear();
        }
        for (task, _) in begun {
            let others: Vec<OnMachine<'_>> = self
                .workers
                .values()
                .flat_map(tasks_on_machine)
                .filter(|o| !(o.machine == name && o.task == task))
                .collect();
            let new = OnMachine {
                task: &task,
                machine: name,
                zone: &zone,
                machine_type: &machine_type,
                spot,
            };
            self.rules.started(now, &new, &others);
            self.rules.apart(now, &new, &others, &self.counties);
        }
        if let Some((node, report)) = send {
            self.delays.record_report(&report);
            let request = Request {
                method: "POST".into(),
                path: "/hello".into(),
                body: wire::encode(&report),
                close: false,
            };
            let origin = Origin::Worker {
                name: name.to_owned(),
                number: report.seq,
                sent: now,
            };
            let mut at = now + 2;
            let from = Place::Machine { name, zone: &zone };
            // Occasionally a report is held up and arrives late.
            if let Some((until, how)) = self.links.blocked(now, from, Place::Node(node)) {
                self.hits.unsaid += u64::from(how == How::Reset);
                match how {
                    How::Reset => return self.schedule(at, SimEvent::Answer(origin, None)),
                    How::Hold => at = until,
                }
            } else if now < START_MS + self.plan.faults_until && self.rng.u32(0..200) == 0 {
                at += self.rng.u64(1000..20_000);
            }
            at += self.report_delay_ms(name, node);
            self.maybe_duplicate_report(node, at, &request);
            if let Some(origin) = self.keep_report(origin, &request) {
                self.schedule(at, SimEvent::Request(node, origin, request, false));
            }
        }
    }

    /// Advances gangs: the tasks of one attempt start together, end together and fail together.
    fn gang_tick(&mut self) {
        let now = self.now;
        let mut groups: BTreeMap<(String, u64), Vec<GangMember>> = BTreeMap::new();
        for w in self.workers.values() {
            for t in w.tasks.iter().filter(|t| t.stage != TaskStage::Exited) {
                let Some((id, n)) = wire::ids::parse_task(&t.name) else {
                    continue;
                };
                let gang = self
                    .rules
                    .jobs
                    .get(id)
                    .and_then(|j| j.spec.as_ref())
                    .is_some_and(|s| s.kind == Kind::Gang);
                if gang {
                    groups.entry((id.to_owned(), t.attempt)).or_default().push((
                        w.name.clone(),
                        n,
                        t.stage,
                        t.since,
                    ));
                }
            }
        }
        for ((id, attempt), members) in groups {
            let size = self.rules.jobs[&id].spec.as_ref().map_or(1, |s| s.tasks);
            let run = self.run_ms.get(&id).copied().unwrap_or(1000);
            let all =
                |s: TaskStage| members.len() == size as usize && members.iter().all(|m| m.2 == s);
            let running = members.iter().any(|m| m.2 == TaskStage::Running);
            let since = members.iter().map(|m| m.3).max().unwrap_or(now);
            let mut exit = None;
            let mut start = false;
            if all(TaskStage::Waiting) {
                start = true;
                self.note_running(&id);
            } else if all(TaskStage::Running) {
                if since + run <= now {
                    exit = Some(Cause::Done);
                }
            } else if running {
                exit = Some(Cause::Peers);
            }
            if exit == Some(Cause::Done) {
                self.rules.completed(&wire::ids::task_name(&id, 0));
            }
            for w in self.workers.values_mut().filter(|w| w.hung_until <= now) {
                for t in w
                    .tasks
                    .iter_mut()
                    .filter(|t| t.attempt == attempt && t.stage != TaskStage::Exited)
                {
                    if wire::ids::parse_task(&t.name).is_none_or(|(j, _)| j != id) {
                        continue;
                    }
                    let late = t.stage == TaskStage::Waiting && t.since + 10_000 <= now && !start;
                    if start {
                        t.stage = TaskStage::Running;
                        t.since = now;
                        w.changed = true;
                    } else if let Some(cause) = exit.or(late.then_some(Cause::Incomplete)) {
                        t.stage = TaskStage::Exited;
                        t.cause = Some(cause);
                        w.changed = true;
                    }
                }
            }
        }
    }

    fn inject_random_fault(&mut self) {
        let now = self.now;
        if now > START_MS + self.plan.faults_until {
            return;
        }
        let next = now + self.rng.u64(1500..9000);
        self.schedule(next, SimEvent::RandomFault);
        let n = self.rng.usize(0..self.plan.nodes);
        let long = self.rng.u64(500..25_000);
        let machine = {
            let names: Vec<&String> = self.workers.keys().collect();
            (!names.is_empty()).then(|| names[self.rng.usize(0..names.len())].clone())
        };
        match self.rng.u32(0..16) {
            11 => self.state_slow_until = now + long,
            12 => self.crash_at_next_txn = Some(n),
            13 => {
                self.cut_zone("b", long);
            }
            14 | 15 => {
                // One or many spot machines are reclaimed, most of them after a notice.
                let mut rng = self.rng.fork();
                let wave = rng.bool();
                for w in self.workers.values_mut().filter(|w| w.spot) {
                    if w.taken_at.is_none()
                        && (if wave {
                            rng.u32(0..3) == 0
                        } else {
                            Some(&w.name) == machine.as_ref()
                        })
                    {
                        w.taken_at = Some(
                            now + if rng.u32(0..4) == 0 {
                                0
                            } else {
                                rng.u64(1000..8000)
                            },
                        );
                        w.changed = true;
                    }
                }
            }
            10 => {
                // Most machines fail at the same time.
                let mut rng = self.rng.fork();
                let all: Vec<String> = self.workers.keys().cloned().collect();
                for m in all.into_iter().filter(|_| rng.u32(0..5) > 0) {
                    self.kill_machine(&m);
                }
            }
            0 | 1 => self.crash_controller(n, RESTART_MS),
            2 => (0..self.plan.nodes).for_each(|n| self.crash_controller(n, 3000)),
            3 => self.state_outage_until = self.state_outage_until.max(now + long.min(12_000)),
            4 => self.hosts[n].refused_until = now + long,
            5 => self.cut(Cut::between(Frontend::Node(n), Frontend::Any, now, long)),
            6 => self.cloud_outage_until = now + long,
            7 => self.state.forgotten = self.state.revision,
            8 => {
                if let Some(w) = machine.and_then(|m| self.workers.get_mut(&m)) {
                    w.hung_until = now + long;
                }
            }
            _ => {
                // The machine fails, and the cloud doesn't notice for a while.
                if let Some(m) = machine {
                    self.kill_machine(&m);
                }
            }
        }
    }

    /// The leader crashes right after sending its next transaction, and restarts after the default delay.
    pub fn doom_leader(&mut self) {
        let leader = |h: &Host| {
            h.node
                .as_ref()
                .is_some_and(|n| n.node().role_name() == "leader")
        };
        self.crash_at_next_txn = self.hosts.iter().position(leader);
    }

    /// A node crashes right after sending its next transaction, which arrives with the given delay.
    pub fn doom(&mut self, n: usize, last_txn_delay_ms: u64) {
        (self.crash_at_next_txn, self.last_txn_delay_ms) = (Some(n), last_txn_delay_ms);
    }

    /// A node crashes right after sending its `nth` request to the state service from now on.
    pub fn dies_asking(&mut self, n: usize, nth: u32) {
        self.crash_countdowns.insert(n, (nth, RESTART_MS));
    }

    /// Sets the restart delay of nodes that crash from now on.
    pub fn come_back_after(&mut self, ms: u64) {
        self.restart_after_ms = Some(ms);
    }

    /// From their next restart on, the nodes' settings name the limits that the state service will have later.
    pub fn name_next_limits(&mut self, next: Limits) {
        if let Some(scene) = &mut self.plan.scene {
            scene.next = Some(next);
        }
    }

    /// From its next restart on, node `n` uses the name of node `to`, so that two nodes share one name.
    pub fn rename(&mut self, n: usize, to: usize) {
        self.hosts[n].name = to;
    }

    /// A controller crashes and restarts after the default delay.
    pub fn crash_node(&mut self, n: usize) {
        self.crash_controller(n, RESTART_MS);
    }

    /// All controllers crash at once and restart after a while.
    pub fn crash_all(&mut self) {
        (0..self.plan.nodes).for_each(|n| self.crash_controller(n, 3000));
    }

    /// All controllers crash at once; each restarts after `back` milliseconds plus a random delay below `apart`.
    pub fn crash_all_for(&mut self, apart: u64, back: u64) {
        for n in 0..self.plan.nodes {
            let back = back + self.rng.u64(0..apart);
            self.crash_controller(n, back);
        }
    }

    /// Writes into the state service directly, as a foreign client would.
    pub fn write(&mut self, write: wire::api::Write) {
        let txn = wire::api::Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        let outcome = self
            .state
            .handle(self.now, "POST", "/txn", &wire::encode(&txn));
        assert!(
            matches!(outcome, Outcome::Now(200, _)),
            "the simulated state service accepts the write"
        );
        self.fire_watches();
    }

    fn kill_machine(&mut self, machine: &str) {
        self.workers.remove(machine);
        if let Some(r) = self.cloud.machines.get_mut(machine) {
            r.up_at = None;
        }
    }

    fn crash_controller(&mut self, n: usize, back: u64) {
        if self.hosts[n].node.take().is_some() {
            let broken: Vec<u64> = self
                .gateway_conns
                .iter()
                .filter(|(_, w)| w.node == n)
                .map(|(c, _)| *c)
                .collect();
            broken
                .into_iter()
                .for_each(|conn| self.schedule(self.now + 5, SimEvent::ConnectionEnd(conn)));
            self.hosts[n].incarnation += 1;
            let back = self.restart_after_ms.unwrap_or(back);
            self.schedule(self.now + back, SimEvent::Restart(n));
        }
    }
}

/// Whether a transaction writes a leader record.
fn takes_over(body: &[u8]) -> bool {
    let txn = wire::decode::<Value>(body).unwrap_or_default();
    let writes = txn["writes"].as_array().map_or(&[][..], Vec::as_slice);
    writes.iter().any(|w| {
        w["write"]
            .as_str()
            .is_some_and(|k| k.starts_with("sys/owner/"))
    })
}

fn tasks_on_machine(w: &Worker) -> impl Iterator<Item = OnMachine<'_>> {
    w.tasks.iter().filter(|t| t.is_on()).map(|t| OnMachine {
        task: &t.name,
        machine: &w.name,
        zone: &w.zone,
        machine_type: &w.machine_type,
        spot: w.spot,
    })
}

/// A task of a gang: machine, task number, stage, and when the stage began.
type GangMember = (String, u32, TaskStage, u64);

/// Fetch time and run time of a task, if its job was submitted.
fn task_times(
    jobs: &BTreeMap<String, crate::rules::Job>,
    runs: &BTreeMap<String, u64>,
    saved_ms: &BTreeMap<String, u64>,
    fetch_ms: u64,
    task: &str,
) -> Option<(u64, u64)> {
    let (id, _) = wire::ids::parse_task(task)?;
    let job = jobs.get(id)?.spec.as_ref()?;
    let run = if job.kind == Kind::Service {
        10_000_000
    } else {
        *runs.get(id)?
    };
    let run = run.saturating_sub(saved_ms.get(task).copied().unwrap_or(0));
    Some((fetch_ms, run))
}
