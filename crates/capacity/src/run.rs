//! One run: real controllers, hollow everything else, and the phases of a day.

mod measure;
mod phases;

use crate::checker::Checker;
use crate::children::WorkerProcess;
use crate::clock::{self, Millis};
use crate::cluster::{self, Endpoints};
use crate::controllers::{Controllers, Program};
use crate::gangs::{Gangs, Notice};
use crate::hosts::{Booted, CloudHost, Messages, Requester, StateHost};
use crate::messages::{Change, Controller, Counts, FromWorkers, TaskChange, ToWorkers};
use crate::network::{Network, Place};
use crate::operator::{Operator, Probe};
use crate::report::Heartbeat;
use crate::scenario::{Fault, Phase};
use crate::size::Size;
use crate::timers::Timers;
use crate::users::{Ask, Next, Users};
use crate::workload::{Class, Workload};
use measure::Measure;
use net::{ConnId, Door, Net, Outgoing};
use phases::Course;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::Duration;
use wire::http::{Request, Response};

/// Sockets that the tool itself may use.
const SOCKETS: usize = 8000;
const LONGEST_WAIT_MS: u64 = 20;
const TICK_MS: u64 = 20;
const SECOND_MS: u64 = 1000;
/// How long the state service and the cloud take themselves.
const STATE_MS: u64 = 2;
const CLOUD_MS: u64 = 50;
/// Nobody waits longer for a peer.
const PEER_TIMEOUT_MS: u64 = 60_000;
const OPERATOR_TIMEOUT_MS: u64 = 15_000;
const HEALTH_TIMEOUT_MS: u64 = 1000;
const ANSWER_LIMIT: usize = wire::admin::ANSWER_LIMIT;
/// Lanes of users come first, then one for each link between controllers, and these.
const LINKS_LANE: u32 = 1 << 30;
const HEALTH_LANE: u32 = 1 << 31;
const OPERATOR_LANE: u32 = HEALTH_LANE + 64;

/// Which of the tool's listeners a request came in by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    State(usize),
    Cloud(usize),
    Peer { from: usize, to: usize },
}

/// Something that is due.
enum Due {
    /// An answer reaches a controller.
    Respond {
        conn: ConnId,
        node: usize,
        response: Response,
    },
    /// A request reaches its host.
    Arrive {
        conn: ConnId,
        link: Link,
        request: Request,
    },
    Submit(String),
    User(Next),
    Probe(Probe),
    ProbeCancel {
        node: usize,
        job: String,
    },
    Health,
    Tick,
    Second,
    Arrival(Arrival),
    Fault(Fault),
    PhaseEnd,
}

/// What arrives at a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Arrival {
    Daily,
    Urgent,
    Peak,
    Change,
}

/// A request of the tool's own that waits for its answer.
enum Call {
    User {
        ask: Ask,
        asked: Millis,
    },
    Health(usize),
    Change {
        request: crate::operator::Request,
        asked: Millis,
    },
    Probe {
        probe: Probe,
        job: String,
        asked: Millis,
    },
    ProbeCancel {
        node: usize,
        job: String,
        asked: Millis,
    },
    Peer {
        conn: ConnId,
        from: usize,
        to: usize,
        path: String,
        size: usize,
    },
}

/// Machines that are to be gone before the cloud says so.
struct Deletion {
    conn: ConnId,
    node: usize,
    response: Response,
    left: BTreeSet<usize>,
}

/// A way to a controller: on connections of which lane, and how long an answer is waited for.
#[derive(Debug, Clone, Copy)]
struct Route {
    to: SocketAddr,
    lane: u32,
    timeout_ms: u64,
}

/// The tool while it plays.
pub struct Run {
    size: Size,
    workload: Workload,
    net: Net,
    timers: Timers<Due>,
    network: Network,
    links: Vec<Link>,
    controllers: Controllers,
    workers: Vec<WorkerProcess>,
    counts: Vec<Counts>,
    from_workers: Receiver<(usize, FromWorkers)>,
    state: StateHost,
    cloud: CloudHost,
    users: Users,
    operator: Operator,
    checker: Checker,
    gangs: Gangs,
    calls: HashMap<u64, Call>,
    next_tag: u64,
    deletions: HashMap<u64, Deletion>,
    next_deletion: u64,
    /// Messages of each controller by the kind of host at the other end.
    messages: Vec<BTreeMap<String, Messages>>,
    serials: HashMap<Class, u64>,
    rng: fastrand::Rng,
    course: Course,
    measure: Measure,
    is_quiet: bool,
}

/// What is needed beside the size.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Another controller program than the one that `deploy/service.toml` builds.
    pub binary: Option<PathBuf>,
    /// No progress on the terminal.
    pub quiet: bool,
}

/// Plays a run to its end.
pub fn play(size: &Size, options: &Options) -> Result<Heartbeat, String> {
    size.check()?;
    check_ports(size)?;
    let program = Program::find(options.binary.as_deref())?;
    let folder = folder()?;
    let run = Run::start(size, program, &folder, options.quiet);
    let report = run.and_then(Run::play);
    // Logs of a run that failed are worth a look.
    if report.as_ref().is_ok_and(Heartbeat::is_good) {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs and settings: {}", folder.display());
    }
    report
}

fn folder() -> Result<PathBuf, String> {
    let name = format!(
        "stoathatch-capacity-{}-{}",
        std::process::id(),
        clock::now()
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    Ok(folder)
}

/// Names the first port that somebody else has.
fn check_ports(size: &Size) -> Result<(), String> {
    let taken = |at: SocketAddr| std::net::TcpListener::bind(at).err();
    for node in 0..size.controllers {
        let listens = cluster::listens(size, node);
        for at in [listens.clients, listens.peers] {
            if let Some(e) = taken(at) {
                return Err(format!("--port: {at}: {e}"));
            }
        }
    }
    let at = cluster::worker_address("host-000001", size.worker_port);
    match taken(at) {
        Some(e) => Err(format!("--worker-port: {at}: {e}")),
        None => Ok(()),
    }
}

impl Run {
    fn start(
        size: &Size,
        program: Program,
        folder: &std::path::Path,
        is_quiet: bool,
    ) -> Result<Self, String> {
        let mut net = Net::new(SOCKETS).map_err(|e| format!("event loop: {e}"))?;
        let waker = net.waker().map_err(|e| format!("event loop: {e}"))?;
        let (sender, from_workers) = mpsc::channel();
        let mut workers = start_workers(size, &sender, &waker)?;
        let mut links = Vec::new();
        let mut endpoints = Vec::new();
        for node in 0..size.controllers {
            endpoints.push(open_links(&mut net, &mut links, size, node)?);
        }
        let controllers = Controllers::start(size, program, folder, &endpoints)?;
        let addresses = (0..size.controllers).map(|node| Controller {
            node: cluster::node_name(node),
            address: cluster::listens(size, node).clients.to_string(),
            zone: cluster::controller_zone(size, node),
        });
        let addresses: Vec<Controller> = addresses.collect();
        for process in &mut workers {
            process.tell(&ToWorkers::Controllers(addresses.clone()))?;
        }
        let workload = Workload::new(size);
        let cancel_ms = (size.cancel_s * 1000.0) as u64;
        let nodes = size.controllers;
        Ok(Run {
            users: Users::new(workload.clone(), nodes, size.seed),
            operator: Operator::new(size),
            checker: Checker::new(cluster::team_limit(size), cancel_ms),
            network: Network::new(size),
            state: StateHost::new(size),
            cloud: CloudHost::new(size),
            counts: vec![Counts::default(); workers.len()],
            messages: vec![BTreeMap::new(); nodes],
            rng: fastrand::Rng::with_seed(size.seed),
            course: Course::new(size),
            measure: Measure::new(nodes),
            size: size.clone(),
            workload,
            net,
            timers: Timers::default(),
            links,
            controllers,
            workers,
            from_workers,
            gangs: Gangs::default(),
            calls: HashMap::new(),
            next_tag: 0,
            deletions: HashMap::new(),
            next_deletion: 0,
            serials: HashMap::new(),
            is_quiet,
        })
    }

    fn play(mut self) -> Result<Heartbeat, String> {
        let now = clock::now();
        for due in [Due::Tick, Due::Second, Due::Health] {
            self.timers.add(now, due);
        }
        self.begin_phase(now);
        while !self.course.is_over() {
            let now = clock::now();
            let due = self.timers.next_due().unwrap_or(now);
            let wait = due.saturating_sub(now).min(LONGEST_WAIT_MS);
            let events = self.net.poll(Duration::from_millis(wait));
            for event in events.map_err(|e| format!("event loop: {e}"))? {
                self.network_event(event);
            }
            while let Ok((process, message)) = self.from_workers.try_recv() {
                self.workers_said(process, message)?;
            }
            let now = clock::now();
            while let Some((_, due)) = self.timers.pop_due(now) {
                self.due(now, due)?;
            }
        }
        Ok(self.finish())
    }

    fn network_event(&mut self, event: net::Event) {
        let now = clock::now();
        match event {
            net::Event::Request {
                conn,
                door: Door::Host(number),
                request,
            } => self.requested(now, conn, self.links[number as usize], request),
            net::Event::Reply { tag, response } => self.replied(now, tag, response),
            net::Event::Unsent { tag } => self.replied(now, tag, None),
            _ => {}
        }
    }

    /// A controller asks: the request arrives after the delay of its way, or not at all.
    fn requested(&mut self, now: Millis, conn: ConnId, link: Link, request: Request) {
        let (from, to) = self.ends(link);
        if self.network.is_blocked(from, to, now) {
            return;
        }
        let own = match link {
            Link::State(_) => STATE_MS,
            Link::Cloud(_) => CLOUD_MS,
            Link::Peer { .. } => 0,
        };
        let due = now + own + self.network.delay(from, to);
        self.timers.add(
            due,
            Due::Arrive {
                conn,
                link,
                request,
            },
        );
    }

    fn place(&self, node: usize) -> Place {
        Place::Zone(cluster::controller_zone(&self.size, node))
    }

    fn ends(&self, link: Link) -> (Place, Place) {
        match link {
            Link::State(node) | Link::Cloud(node) => (self.place(node), Place::Outside),
            Link::Peer { from, to } => (self.place(from), self.place(to)),
        }
    }

    fn due(&mut self, now: Millis, due: Due) -> Result<(), String> {
        match due {
            Due::Respond {
                conn,
                node,
                response,
            } => self.respond(now, conn, node, response),
            Due::Arrive {
                conn,
                link,
                request,
            } => self.arrived(now, conn, link, request)?,
            Due::Submit(job) => self.submit(now, &job),
            Due::User(next) => self.user(now, next),
            Due::Probe(probe) => self.probe(now, probe),
            Due::ProbeCancel { node, job } => self.cancel_probe(now, node, job),
            Due::Health => self.check_health(now),
            Due::Tick => self.tick(now)?,
            Due::Second => self.second(now)?,
            Due::Arrival(arrival) => self.arrival(now, arrival),
            Due::Fault(fault) => self.fault(now, fault)?,
            Due::PhaseEnd => self.end_phase(now),
        }
        Ok(())
    }

    fn arrived(
        &mut self,
        now: Millis,
        conn: ConnId,
        link: Link,
        request: Request,
    ) -> Result<(), String> {
        match link {
            Link::State(node) => {
                let requester = Requester { conn, node };
                self.count(node, "state", request.body.len());
                let answers = self.state.handle(now, requester, &request);
                self.answer_state(now, answers);
            }
            Link::Cloud(node) => {
                self.count(node, "cloud", request.body.len());
                let (status, body, gone) = self.cloud.handle(now, &request);
                let response = response(status, body);
                self.delete(now, conn, node, response, gone)?;
            }
            Link::Peer { from, to } => self.relay(conn, from, to, request),
        }
        Ok(())
    }

    fn count(&mut self, node: usize, kind: &str, bytes: usize) {
        self.messages[node]
            .entry(kind.to_owned())
            .or_default()
            .add(bytes);
    }

    fn answer_state(&mut self, now: Millis, answers: Vec<crate::hosts::Answer>) {
        for (requester, status, body) in answers {
            let due = now
                + self
                    .network
                    .delay(Place::Outside, self.place(requester.node));
            self.timers.add(
                due,
                Due::Respond {
                    conn: requester.conn,
                    node: requester.node,
                    response: response(status, body),
                },
            );
        }
    }

    /// Answers a controller that the state service or the cloud can reach.
    fn respond(&mut self, now: Millis, conn: ConnId, node: usize, response: Response) {
        if !self
            .network
            .is_blocked(Place::Outside, self.place(node), now)
        {
            self.net.respond(conn, response);
        }
    }

    /// The cloud answers once the machines that it was told to delete are gone.
    fn delete(
        &mut self,
        now: Millis,
        conn: ConnId,
        node: usize,
        response: Response,
        gone: Vec<String>,
    ) -> Result<(), String> {
        let mut by_process: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        for machine in gone {
            by_process
                .entry(self.process_of(&machine))
                .or_default()
                .push(machine);
        }
        let delay = self.network.delay(Place::Outside, self.place(node));
        if by_process.is_empty() {
            let due = Due::Respond {
                conn,
                node,
                response,
            };
            self.timers.add(now + delay, due);
            return Ok(());
        }
        self.next_deletion += 1;
        let request = self.next_deletion;
        let left = by_process.keys().copied().collect();
        for (process, machines) in by_process {
            self.workers[process].tell(&ToWorkers::Remove { machines, request })?;
        }
        let deletion = Deletion {
            conn,
            node,
            response,
            left,
        };
        self.deletions.insert(request, deletion);
        Ok(())
    }

    /// Machines are dealt out to the processes by their numbers.
    fn process_of(&self, machine: &str) -> usize {
        let number: usize = machine.trim_start_matches("host-").parse().unwrap_or(0);
        number % self.workers.len()
    }

    /// Hands a controller's request on to its peer.
    fn relay(&mut self, conn: ConnId, from: usize, to: usize, request: Request) {
        let size = request.body.len();
        let lane = LINKS_LANE + (from * self.size.controllers + to) as u32;
        let route = self.to_peers(to, lane, PEER_TIMEOUT_MS);
        let call = Call::Peer {
            conn,
            from,
            to,
            path: request.path.clone(),
            size,
        };
        let method = match request.method.as_str() {
            "GET" => "GET",
            _ => "POST",
        };
        self.send(route, method, &request.path, &request.body, call);
    }

    /// The way to a controller's door for users.
    fn to_clients(&self, node: usize, lane: u32, timeout_ms: u64) -> Route {
        Route {
            to: cluster::listens(&self.size, node).clients,
            lane,
            timeout_ms,
        }
    }

    /// The way to its door for peers and operators.
    fn to_peers(&self, node: usize, lane: u32, timeout_ms: u64) -> Route {
        Route {
            to: cluster::listens(&self.size, node).peers,
            lane,
            timeout_ms,
        }
    }

    fn send(&mut self, route: Route, method: &str, path: &str, body: &[u8], call: Call) {
        self.next_tag += 1;
        self.calls.insert(self.next_tag, call);
        self.net.send(Outgoing {
            tag: self.next_tag,
            to: route.to,
            method,
            path,
            body,
            timeout: Duration::from_millis(route.timeout_ms),
            answer_limit: ANSWER_LIMIT,
            keep: net::KEEP,
            lane: route.lane,
        });
    }

    fn replied(&mut self, now: Millis, tag: u64, response: Option<Response>) {
        let Some(call) = self.calls.remove(&tag) else {
            return;
        };
        match call {
            Call::User { ask, asked } => self.user_answered(now, asked, &ask, response),
            Call::Health(node) => {
                let is_up = response.is_some_and(|r| r.status == 200);
                let is_reached = !self
                    .network
                    .is_blocked(Place::Outside, self.place(node), now);
                self.users.balancer.probed(now, node, is_up && is_reached);
            }
            Call::Change { request, asked } => {
                let probes = self
                    .operator
                    .answered(now, asked, &request, response.as_ref());
                for probe in probes {
                    self.timers.add(now, Due::Probe(probe));
                }
            }
            Call::Probe { probe, job, asked } => {
                self.probed(now, asked, probe, job, response.as_ref());
            }
            Call::ProbeCancel { node, job, asked } => {
                self.probe_cancelled(now, asked, node, job, response.as_ref());
            }
            Call::Peer {
                conn,
                from,
                to,
                path,
                size,
            } => self.peer_answered(now, conn, (from, to), (&path, size), response),
        }
    }

    fn peer_answered(
        &mut self,
        now: Millis,
        conn: ConnId,
        (from, to): (usize, usize),
        (path, size): (&str, usize),
        response: Option<Response>,
    ) {
        let bytes = size + response.as_ref().map_or(0, |r| r.body.len());
        let kind = path.split(['?', '/']).nth(1).unwrap_or("");
        self.count(from, &format!("to-peer {kind}"), bytes);
        self.count(to, &format!("from-peer {kind}"), bytes);
        let (there, here) = (self.place(to), self.place(from));
        if self.network.is_blocked(there, here, now) {
            return;
        }
        match response {
            Some(response) => self.net.respond(conn, response),
            None => self.net.abandon(conn),
        }
    }

    fn user(&mut self, now: Millis, next: Next) {
        let ask = match self.users.ask(now, &next) {
            Ok(Some(ask)) => ask,
            Ok(None) => return,
            Err(later) => return self.timers.add(later.at, Due::User(later)),
        };
        if ask.question == crate::users::Question::Cancel {
            self.checker.cancel_asked(&ask.job);
        }
        self.count(ask.node, "users", ask.body.len());
        let route = self.to_clients(ask.node, ask.lane, ask.timeout_ms);
        let (method, path, body) = (ask.method, ask.path.clone(), ask.body.clone());
        let call = Call::User { ask, asked: now };
        self.send(route, method, &path, &body, call);
    }

    fn user_answered(&mut self, now: Millis, asked: Millis, ask: &Ask, response: Option<Response>) {
        // Users come by the home region: a controller that is cut off does not reach them.
        let is_reached = !self
            .network
            .is_blocked(Place::Outside, self.place(ask.node), now);
        let response = response.filter(|_| is_reached);
        let next = self
            .users
            .answered(now, asked, ask, response, &mut self.checker);
        if let Some(next) = next {
            self.timers.add(next.at, Due::User(next));
        }
    }

    fn submit(&mut self, now: Millis, job: &str) {
        if let Some(next) = self.users.submit(now, job, &mut self.checker) {
            self.timers.add(next.at, Due::User(next));
        }
    }

    fn next_job(&mut self, class: Class) -> String {
        let serial = self.serials.entry(class).or_insert(0);
        *serial += 1;
        class.job_id(*serial - 1)
    }

    fn check_health(&mut self, now: Millis) {
        for node in 0..self.size.controllers {
            let route = self.to_clients(node, HEALTH_LANE + node as u32, HEALTH_TIMEOUT_MS);
            self.send(route, "GET", "/ready", &[], Call::Health(node));
        }
        self.timers.add(now + SECOND_MS, Due::Health);
    }

    fn change(&mut self, now: Millis) {
        let request = self.operator.change();
        let node = self.reachable(now, request.node);
        let route = self.to_peers(node, OPERATOR_LANE, OPERATOR_TIMEOUT_MS);
        let (path, body) = (request.path.clone(), request.body.clone());
        let call = Call::Change {
            request,
            asked: now,
        };
        self.send(route, "POST", &path, &body, call);
    }

    /// This controller, or the next one that runs and is not cut off.
    fn reachable(&self, now: Millis, node: usize) -> usize {
        let nodes = self.size.controllers;
        let is_reached = |node: &usize| {
            let is_cut = self
                .network
                .is_blocked(Place::Outside, self.place(*node), now);
            self.controllers.is_up(*node) && !is_cut
        };
        let mut all = (0..nodes).map(|offset| (node + offset) % nodes);
        all.find(is_reached).unwrap_or(node)
    }

    fn probe(&mut self, now: Millis, probe: Probe) {
        let job = Class::Probe.job_id(probe.serial);
        let Some(spec) = self.workload.spec(&job) else {
            return;
        };
        let body = wire::encode(&spec);
        self.checker.submitted(spec);
        let lane = OPERATOR_LANE + 1 + probe.node as u32;
        let route = self.to_clients(probe.node, lane, OPERATOR_TIMEOUT_MS);
        let call = Call::Probe {
            probe,
            job,
            asked: now,
        };
        self.send(route, "POST", "/work", &body, call);
    }

    fn probed(
        &mut self,
        now: Millis,
        asked: Millis,
        probe: Probe,
        job: String,
        response: Option<&Response>,
    ) {
        self.tell_checker(now, asked, &job, response, true);
        let status = response.map(|r| r.status);
        let is_reached = self.controllers.is_up(probe.node)
            && !self
                .network
                .is_blocked(Place::Outside, self.place(probe.node), now);
        if status == Some(201) {
            let node = probe.node;
            self.timers.add(now, Due::ProbeCancel { node, job });
        }
        // Nobody asks a controller that is down or cut off whether it has heard of a change.
        if let Some(again) = self.operator.probed(now, probe, status)
            && is_reached
        {
            self.timers
                .add(now + crate::operator::PROBE_MS, Due::Probe(again));
        }
    }

    fn cancel_probe(&mut self, now: Millis, node: usize, job: String) {
        self.checker.cancel_asked(&job);
        let node = self.reachable(now, node);
        let path = format!("/work/{job}/cancel");
        let lane = OPERATOR_LANE + 1 + node as u32;
        let route = self.to_clients(node, lane, OPERATOR_TIMEOUT_MS);
        let call = Call::ProbeCancel {
            node,
            job,
            asked: now,
        };
        self.send(route, "POST", &path, &[], call);
    }

    fn probe_cancelled(
        &mut self,
        now: Millis,
        asked: Millis,
        node: usize,
        job: String,
        response: Option<&Response>,
    ) {
        self.tell_checker(now, asked, &job, response, false);
        if response.is_none_or(|r| r.status != 200) {
            let node = (node + 1) % self.size.controllers;
            self.timers
                .add(now + SECOND_MS, Due::ProbeCancel { node, job });
        }
    }

    fn tell_checker(
        &mut self,
        now: Millis,
        asked: Millis,
        job: &str,
        response: Option<&Response>,
        is_submission: bool,
    ) {
        let Some(response) = response else {
            return;
        };
        let state = wire::decode::<wire::api::JobState>(&response.body).ok();
        self.checker.told(crate::checker::Told {
            asked,
            at: now,
            job: job.to_owned(),
            status: response.status,
            stage: state.map(|s| s.stage),
            is_submission,
        });
    }

    fn workers_said(&mut self, process: usize, message: FromWorkers) -> Result<(), String> {
        match message {
            FromWorkers::Failed(why) => return Err(why),
            FromWorkers::Task(change) => self.task_changed(change)?,
            FromWorkers::Counts(counts) => self.counts[process] = counts,
            FromWorkers::Removed { request } => {
                let Some(deletion) = self.deletions.get_mut(&request) else {
                    return Ok(());
                };
                deletion.left.remove(&process);
                if deletion.left.is_empty()
                    && let Some(done) = self.deletions.remove(&request)
                {
                    let delay = self.network.delay(Place::Outside, self.place(done.node));
                    let due = Due::Respond {
                        conn: done.conn,
                        node: done.node,
                        response: done.response,
                    };
                    self.timers.add(clock::now() + delay, due);
                }
            }
        }
        Ok(())
    }

    fn task_changed(&mut self, change: TaskChange) -> Result<(), String> {
        let job = wire::ids::parse_task(&change.task).map(|(job, _)| job.to_owned());
        if let Some(job) = job {
            if let Change::On { fetch_ms } = change.what {
                self.users.started(change.at, &job, fetch_ms);
            }
            self.measure.task_changed(&change);
            if let Some(width) = self.is_gang(&job) {
                let notice = self.gangs.changed(&change, &job, width);
                self.tell_gang(notice)?;
            }
        }
        self.checker.task(change);
        Ok(())
    }

    fn tell_gang(&mut self, notice: Option<Notice>) -> Result<(), String> {
        let message = match notice {
            None => return Ok(()),
            Some(Notice::Complete { job, attempt }) => ToWorkers::GangComplete {
                job,
                attempt,
                at: clock::now(),
            },
            Some(Notice::Broken { job, attempt }) => ToWorkers::GangBroken { job, attempt },
        };
        self.workers
            .iter_mut()
            .try_for_each(|process| process.tell(&message))
    }

    fn tick(&mut self, now: Millis) -> Result<(), String> {
        let answers = self.state.wake(now);
        self.answer_state(now, answers);
        for Booted { machine, zone } in self.cloud.tick(now) {
            let process = self.process_of(&machine);
            self.workers[process].tell(&ToWorkers::Boot { machine, zone })?;
        }
        self.checker.check(now);
        self.timers.add(now + TICK_MS, Due::Tick);
        Ok(())
    }
}

fn response(status: u16, body: Vec<u8>) -> Response {
    Response {
        status,
        body,
        close: false,
        retry_after_s: None,
    }
}

fn start_workers(
    size: &Size,
    sender: &Sender<(usize, FromWorkers)>,
    waker: &std::sync::Arc<mio::Waker>,
) -> Result<Vec<WorkerProcess>, String> {
    (0..size.processes())
        .map(|number| WorkerProcess::start(number, size, sender.clone(), waker.clone()))
        .collect()
}

/// Opens the listeners that stand for the hosts around one controller.
fn open_links(
    net: &mut Net,
    links: &mut Vec<Link>,
    size: &Size,
    node: usize,
) -> Result<Endpoints, String> {
    let mut open = |link: Link| {
        links.push(link);
        let at = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let door = Door::Host(links.len() as u32 - 1);
        net.listen(at, door).map_err(|e| format!("{link:?}: {e}"))
    };
    let state = open(Link::State(node))?;
    let cloud = open(Link::Cloud(node))?;
    let mut peers = Vec::new();
    for to in 0..size.controllers {
        peers.push(open(Link::Peer { from: node, to })?);
    }
    Ok(Endpoints {
        state,
        cloud,
        peers,
    })
}

/// The phase that is played, for those who show it.
fn describe(phase: &Phase) -> String {
    format!("{} ({:.0} s)", phase.kind.name(), phase.seconds)
}
