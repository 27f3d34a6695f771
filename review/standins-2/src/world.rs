//! State service, cloud, machines with their workers, and users, on loopback and the real clock. They follow the
//! protocol page; where a case needs a disruption, it sets it here.

use crate::site::Site;
use serde_json::{Value, json};
use standins::loopback::ask;
use standins::state::{Limits, Outcome, State};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use wire::api::{Catalog, Cause, Heartbeat, HireRequest, JobSpec, JobState, MachineNames};
use wire::api::{Order, Orders, Redirect, TaskStage, TaskStatus};
use wire::http::{self, Response};

pub const REPORT_MS: u64 = 3000;

/// What a job's tasks do on a sound machine.
#[derive(Clone)]
pub struct Work {
    pub spec: JobSpec,
    pub fetch_ms: u64,
    /// `None`: until stopped.
    pub run_ms: Option<u64>,
}

pub struct Task {
    pub piece: String,
    pub attempt: u64,
    pub stage: TaskStage,
    pub cause: Option<Cause>,
    fetched_at: u64,
    /// When it ends by itself, and how.
    ends: Option<(u64, Cause)>,
}

pub struct Machine {
    pub name: String,
    pub hall: String,
    pub loaners: bool,
    pub up: bool,
    up_at: u64,
    since: u64,
    addr: String,
    session: u64,
    tick: u64,
    baton: u64,
    leased: u64,
    reported: u64,
    next_report: u64,
    changed: bool,
    node: usize,
    pub tasks: Vec<Task>,
}

pub struct Inner {
    start: Instant,
    site: &'static Site,
    pub state: State,
    pub catalog: Catalog,
    /// The most machines that the cloud has.
    pub capacity: usize,
    pub boot_ms: u64,
    pub machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, Vec<String>>,
    last: u64,
    pub works: BTreeMap<String, Work>,
    record: File,
}

#[derive(Clone)]
pub struct World {
    inner: Arc<Mutex<Inner>>,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    pub clients: Arc<Vec<SocketAddr>>,
}

type Answer = (u16, Vec<u8>);
type Handler = dyn Fn(&str, &str, &[u8]) -> Answer + Send + Sync;

fn serve(listener: TcpListener, handler: Box<Handler>) {
    let handler: Arc<Handler> = handler.into();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut received = Vec::new();
    let mut chunk = [0; 16384];
    loop {
        while let Ok(Some((request, used))) = http::parse_request(&received, 1 << 20) {
            received.drain(..used);
            let (status, body) = handler(&request.method, &request.path, &request.body);
            let mut out = Vec::new();
            let response = Response {
                status,
                body,
                close: false,
                retry_after_s: None,
            };
            http::write_response(&mut out, &response);
            stream.write_all(&out)?;
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        received.extend_from_slice(&chunk[..n]);
    }
}

/// A user's connection, kept for further requests.
struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    fn new(to: SocketAddr) -> Client {
        Client { to, stream: None }
    }

    fn ask(&mut self, method: &str, path: &str, body: &[u8]) -> Option<Response> {
        let answer = self.try_ask(method, path, body);
        if answer.as_ref().is_none_or(|r| r.close) {
            self.stream = None;
        }
        answer
    }

    fn try_ask(&mut self, method: &str, path: &str, body: &[u8]) -> Option<Response> {
        let wait = Duration::from_secs(5);
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, wait).ok()?;
            stream.set_read_timeout(Some(wait)).ok()?;
            stream.set_nodelay(true).ok()?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        let mut out = Vec::new();
        http::write_request(&mut out, "controllers", method, path, body);
        stream.write_all(&out).ok()?;
        let mut received = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let n = stream.read(&mut chunk).ok()?;
            received.extend_from_slice(&chunk[..n]);
            match http::parse_response(&received, 1 << 20, n == 0) {
                Ok(Some((response, _))) => return Some(response),
                Ok(None) if n > 0 => {}
                _ => return None,
            }
        }
    }
}

pub fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or(piece)
}

impl Inner {
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1000
    }

    /// Writes a line to the record.
    pub fn note(&mut self, text: &str) {
        let at = (self.now() - 1000) as f64 / 1000.0;
        let _ = writeln!(self.record, "{at:8.3} {text}");
    }

    /// What is free on a machine: cores, GPUs, GB. Tasks that fetch their image count as used.
    pub fn free(&self, m: &Machine) -> (f64, f64, f64) {
        let kind = &self.catalog.types[0];
        let mut free = (kind.cores, kind.gpus, kind.mem_gb);
        for t in m.tasks.iter().filter(|t| t.stage != TaskStage::Exited) {
            if let Some(w) = self.works.get(job_of(&t.piece)) {
                free.0 -= w.spec.cores;
                free.1 -= w.spec.gpus;
                free.2 -= w.spec.mem_gb;
            }
        }
        free
    }

    pub fn has_room(&self, m: &Machine, spec: &JobSpec) -> bool {
        let (cores, gpus, ram) = self.free(m);
        m.up && spec.cores <= cores + 1e-6
            && spec.gpus <= gpus + 1e-6
            && spec.mem_gb <= ram + 1e-6
            && (spec.spot || !m.loaners)
            && spec.zone.as_ref().is_none_or(|z| *z == m.hall)
    }

    /// Tasks of a job on machines, as (machine, stage, cause).
    pub fn tasks_of(&self, job: &str) -> Vec<(String, TaskStage, Option<Cause>)> {
        let mut out = Vec::new();
        for m in self.machines.values() {
            for t in m.tasks.iter().filter(|t| job_of(&t.piece) == job) {
                out.push((m.name.clone(), t.stage, t.cause));
            }
        }
        out
    }

    fn report(&mut self, name: &str) -> Option<Heartbeat> {
        let kind = self.catalog.types[0].name.clone();
        let m = self.machines.get_mut(name)?;
        m.tick += 1;
        Some(Heartbeat {
            machine: m.name.clone(),
            addr: m.addr.clone(),
            machine_type: kind,
            zone: m.hall.clone(),
            spot: m.loaners,
            agent_epoch: m.session,
            seq: m.tick,
            token: m.baton,
            notice_s: None,
            tasks: m
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.piece.clone(),
                    attempt: t.attempt,
                    stage: t.stage,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        })
    }

    /// Stores the token, unless it is lower than the highest seen.
    fn accepts(&mut self, name: &str, baton: u64) -> bool {
        let Some(m) = self.machines.get_mut(name) else {
            return false;
        };
        if baton < m.baton {
            return false;
        }
        m.changed |= baton > m.baton;
        m.baton = baton;
        true
    }

    fn execute(&mut self, name: &str, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => self.start(name, task, *attempt),
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let line = format!("{name}: stop {task} try {attempt} windDownS {grace_s}");
                    let Some(m) = self.machines.get_mut(name) else {
                        return;
                    };
                    let running = m.tasks.iter_mut().find(|t| {
                        t.piece == *task && t.attempt == *attempt && t.stage != TaskStage::Exited
                    });
                    if let Some(t) = running {
                        t.stage = TaskStage::Exited;
                        t.cause = Some(Cause::Stopped);
                        m.changed = true;
                        self.note(&line);
                    }
                }
                Order::Reap { task, attempt } => {
                    if let Some(m) = self.machines.get_mut(name) {
                        m.tasks.retain(|t| {
                            t.piece != *task
                                || t.attempt != *attempt
                                || t.stage != TaskStage::Exited
                        });
                        m.changed = true;
                    }
                }
            }
        }
    }

    fn start(&mut self, name: &str, piece: &str, attempt: u64) {
        let now = self.now();
        let work = self.works.get(job_of(piece)).cloned();
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let mut same = m.tasks.iter().filter(|t| t.piece == piece);
        if same.clone().any(|t| t.attempt == attempt) {
            return;
        }
        let refused = if same.any(|t| t.stage != TaskStage::Exited) {
            Some(Cause::Busy)
        } else {
            match &work {
                None => Some(Cause::Unknown),
                Some(w)
                    if !self.has_room(
                        m,
                        &JobSpec {
                            zone: None,
                            spot: true,
                            ..w.spec.clone()
                        },
                    ) =>
                {
                    Some(Cause::NoRoom)
                }
                Some(_) => None,
            }
        };
        let (fetch, run) = work.map_or((0, None), |w| (w.fetch_ms, w.run_ms));
        let ends = run.map(|run| (now + fetch + run, Cause::Done));
        self.note(&format!(
            "{name}: start {piece} try {attempt}{}",
            refused.map_or(String::new(), |c| format!(", refused: {c:?}"))
        ));
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.changed = true;
        m.tasks.push(Task {
            piece: piece.to_owned(),
            attempt,
            stage: if refused.is_some() {
                TaskStage::Exited
            } else {
                TaskStage::Fetching
            },
            cause: refused,
            fetched_at: now + fetch,
            ends,
        });
    }

    /// Lets time pass for all machines.
    fn step(&mut self) {
        let now = self.now();
        let mut lines = Vec::new();
        for m in self.machines.values_mut().filter(|m| m.up) {
            if now > m.leased + self.site.lease_s * 1000 {
                m.session += 1;
                m.tasks.clear();
                m.leased = now;
                m.changed = true;
                lines.push(format!("{}: lease over, session {}", m.name, m.session));
            }
            for t in &mut m.tasks {
                if t.stage == TaskStage::Fetching && t.fetched_at <= now {
                    t.stage = TaskStage::Running;
                    m.changed = true;
                    lines.push(format!("{}: runs {} try {}", m.name, t.piece, t.attempt));
                }
                if t.stage == TaskStage::Running
                    && let Some((_, cause)) = t.ends.filter(|(at, _)| *at <= now)
                {
                    t.stage = TaskStage::Exited;
                    t.cause = Some(cause);
                    m.changed = true;
                    lines.push(format!(
                        "{}: {} try {} exits: {cause:?}",
                        m.name, t.piece, t.attempt
                    ));
                }
            }
        }
        lines.iter().for_each(|l| self.note(l));
    }

    fn cloud(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        let now = self.now();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        match (method, path) {
            ("GET", "/catalog") => (200, serde_json::to_value(&self.catalog).unwrap_or_default()),
            ("GET", "/machines") => {
                let from = query
                    .split('&')
                    .find_map(|p| p.strip_prefix("from="))
                    .unwrap_or("");
                let kind = self.catalog.types[0].name.clone();
                let all = self
                    .machines
                    .values()
                    .filter(|m| m.since + self.site.list_lag_s * 1000 <= now);
                let list: Vec<Value> = all
                    .filter(|m| m.name.as_str() > from)
                    .map(|m| {
                        json!({"nameId": m.name, "addr": m.addr, "build": kind, "hall": m.hall,
                            "loaners": m.loaners, "stage": if m.up { "running" } else { "starting" },
                            "ageS": (now - m.since) as f64 / 1000.0})
                    })
                    .collect();
                (200, json!({"burrows": list, "more": false}))
            }
            ("POST", "/machines") => match wire::decode::<HireRequest>(body) {
                Ok(h) => self.hire(now, h),
                Err(_) => (400, json!({"error": "malformed"})),
            },
            ("POST", "/machines/delete") => match wire::decode::<MachineNames>(body) {
                Ok(names) => {
                    for name in names.machines {
                        if self.machines.remove(&name).is_some() {
                            self.note(&format!("cloud: {name} deleted"));
                        }
                    }
                    (200, json!({}))
                }
                Err(_) => (400, json!({"error": "malformed"})),
            },
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn hire(&mut self, now: u64, h: HireRequest) -> (u16, Value) {
        if let Some(old) = self.hires.get(&h.request) {
            return (200, json!({"burrows": old}));
        }
        let room = self.capacity.saturating_sub(self.machines.len());
        if room == 0 {
            self.note(&format!("cloud: {} refused, no capacity", h.request));
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..room.min(h.count as usize) {
            self.last += 1;
            let name = format!("host-{:06}", self.last);
            let m = Machine {
                name: name.clone(),
                hall: h.zone.clone(),
                loaners: h.spot,
                up: false,
                up_at: now + self.boot_ms,
                since: now,
                addr: String::new(),
                session: 1,
                tick: 0,
                baton: 0,
                leased: 0,
                reported: 0,
                next_report: 0,
                changed: false,
                node: 0,
                tasks: Vec::new(),
            };
            self.machines.insert(name.clone(), m);
            self.note(&format!("cloud: {} rents {name} in {}", h.request, h.zone));
            names.push(name);
        }
        self.hires.insert(h.request, names.clone());
        (200, json!({"burrows": names}))
    }
}

impl World {
    pub fn new(
        site: &'static Site,
        capacity: usize,
        clients: Vec<SocketAddr>,
        record: File,
    ) -> io::Result<World> {
        let (s, c) = (
            TcpListener::bind("127.0.0.1:0")?,
            TcpListener::bind("127.0.0.1:0")?,
        );
        let mut state = State::default();
        state.limits = Limits {
            rps: site.rps,
            write_rps: site.write_rps,
            value_kb: site.value_kb,
            txn_ops: 16,
        };
        let inner = Inner {
            start: Instant::now(),
            site,
            state,
            catalog: site.catalog(),
            capacity,
            boot_ms: 1500,
            machines: BTreeMap::new(),
            hires: BTreeMap::new(),
            last: 0,
            works: BTreeMap::new(),
            record,
        };
        let world = World {
            inner: Arc::new(Mutex::new(inner)),
            state: s.local_addr()?,
            cloud: c.local_addr()?,
            clients: Arc::new(clients),
        };
        let w = world.clone();
        serve(
            s,
            Box::new(move |method, path, body| w.state_service(method, path, body)),
        );
        let w = world.clone();
        serve(
            c,
            Box::new(move |method, path, body| {
                let (status, body) = w.lock().cloud(method, path, body);
                (status, wire::encode(&body))
            }),
        );
        let w = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                w.lock().step();
                w.boot();
            }
        });
        Ok(world)
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn note(&self, text: &str) {
        self.lock().note(text);
    }

    fn state_service(&self, method: &str, path: &str, body: &[u8]) -> Answer {
        let watch = {
            let mut i = self.lock();
            let now = i.now();
            i.state.expire(now);
            match i.state.handle(now, method, path, body) {
                Outcome::Now(status, body) => return (status, wire::encode(&body)),
                Outcome::Wait(watch) => watch,
            }
        };
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut i = self.lock();
            let now = i.now();
            i.state.expire(now);
            if let Some(changes) = i.state.changes(&watch.prefix, watch.from) {
                return (200, wire::encode(&changes));
            }
            if now >= watch.until {
                return (
                    200,
                    wire::encode(&json!({"ledger": i.state.revision, "log": []})),
                );
            }
        }
    }

    /// Starts the workers of machines that have booted.
    fn boot(&self) {
        let mut i = self.lock();
        let now = i.now();
        let due: Vec<String> = i
            .machines
            .values()
            .filter(|m| !m.up && m.up_at <= now)
            .map(|m| m.name.clone())
            .collect();
        for name in due {
            let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
                continue;
            };
            let Ok(addr) = listener.local_addr() else {
                continue;
            };
            if let Some(m) = i.machines.get_mut(&name) {
                m.up = true;
                m.addr = addr.to_string();
                m.leased = now;
            }
            i.note(&format!("{name}: up"));
            let (w, n) = (self.clone(), name.clone());
            serve(
                listener,
                Box::new(move |_, path, body| w.direct(&n, path, body)),
            );
            let w = self.clone();
            thread::spawn(move || while w.report_if_due(&name) {});
        }
    }

    /// A request to a worker.
    fn direct(&self, name: &str, path: &str, body: &[u8]) -> Answer {
        let mut i = self.lock();
        let Some(session) = i.machines.get(name).map(|m| m.session) else {
            return (503, Vec::new());
        };
        let mut status = 200;
        if path == "/commands" {
            let Ok(orders) = wire::decode::<Orders>(body) else {
                return (400, Vec::new());
            };
            match orders.agent_epoch {
                None => return (400, Vec::new()),
                Some(epoch) if epoch == session && i.accepts(name, orders.token) => {
                    i.execute(name, &orders.orders);
                }
                Some(_) => status = 409,
            }
        }
        match i.report(name) {
            Some(report) => (status, wire::encode(&report)),
            None => (503, Vec::new()),
        }
    }

    /// Sends a worker's report if it is due. False once the machine is gone.
    fn report_if_due(&self, name: &str) -> bool {
        thread::sleep(Duration::from_millis(20));
        let (node, report, sent, session) = {
            let mut i = self.lock();
            let now = i.now();
            let Some(m) = i.machines.get_mut(name) else {
                return false;
            };
            let due = now >= m.next_report || (m.changed && now >= m.reported + 500);
            if !due {
                return true;
            }
            m.changed = false;
            m.reported = now;
            // Give or take a quarter.
            m.next_report = now + REPORT_MS * 3 / 4 + (m.tick * 7919) % (REPORT_MS / 2);
            let (node, session) = (m.node, m.session);
            match i.report(name) {
                Some(report) => (node, report, now, session),
                None => return false,
            }
        };
        let body = wire::encode(&report);
        let answer = ask(
            self.clients[node],
            "POST",
            "/hello",
            &body,
            Duration::from_secs(4),
        );
        let mut i = self.lock();
        let now = i.now();
        let status = answer.as_ref().map(|r| r.status);
        let Some(m) = i.machines.get_mut(name) else {
            return false;
        };
        if status == Some(200) {
            let orders = answer.and_then(|r| wire::decode::<Orders>(&r.body).ok());
            if let Some(orders) = orders
                && m.session == session
                && i.accepts(name, orders.token)
            {
                if let Some(m) = i.machines.get_mut(name) {
                    m.leased = sent;
                }
                i.execute(name, &orders.orders);
            }
            return true;
        }
        let to = answer
            .filter(|r| r.status == 421)
            .and_then(|r| wire::decode::<Redirect>(&r.body).ok()?.report_to)
            .and_then(|node| node.strip_prefix("burrow-")?.parse::<usize>().ok())
            .filter(|to| *to != node && *to < self.clients.len());
        match to {
            Some(to) => {
                m.node = to;
                m.next_report = now;
            }
            None => {
                m.node = (node + 1) % self.clients.len();
                m.next_report = now + 1000;
            }
        }
        true
    }

    // ---- users ----

    /// Sends a user's request by way of one node after the other, until it is answered or 60 s have passed.
    fn request(&self, method: &str, path: &str, body: &[u8], good: &[u16]) -> Option<JobState> {
        let end = Instant::now() + Duration::from_secs(60);
        let mut node = 0;
        while Instant::now() < end {
            let to = self.clients[node % self.clients.len()];
            let answer = ask(to, method, path, body, Duration::from_secs(5));
            let status = answer.as_ref().map(|r| r.status);
            let state = answer.and_then(|r| wire::decode::<JobState>(&r.body).ok());
            let said = state
                .as_ref()
                .map(|s| format!(" {:?} done {} running {}", s.stage, s.done, s.running));
            self.note(&format!(
                "user: {method} {path} at burrow-{}: {}{}",
                node % self.clients.len(),
                status.map_or("no answer".into(), |s| s.to_string()),
                said.unwrap_or_default()
            ));
            match status {
                Some(status) if good.contains(&status) => return state,
                Some(400 | 422) => return None,
                _ => {}
            }
            node += 1;
            thread::sleep(Duration::from_secs(1));
        }
        None
    }

    /// Submits a job, and uploads its description for the workers.
    pub fn submit(&self, work: Work) -> bool {
        let body = wire::encode(&work.spec);
        self.note(&format!(
            "user: submits {}: {:?} of {} tasks of {} cores, {} GPUs, {} GB, class {}, team {}",
            work.spec.id,
            work.spec.kind,
            work.spec.tasks,
            work.spec.cores,
            work.spec.gpus,
            work.spec.mem_gb,
            work.spec.class,
            work.spec.team
        ));
        self.lock().works.insert(work.spec.id.clone(), work);
        self.request("POST", "/work", &body, &[200, 201]).is_some()
    }

    /// Submits many jobs, by way of all controllers at the same time, each until it is accepted. Returns how many were.
    pub fn submit_all(&self, works: Vec<Work>, most: Duration) -> usize {
        const CLIENTS: usize = 24;
        let end = Instant::now() + most;
        {
            let mut i = self.lock();
            for work in &works {
                i.works.insert(work.spec.id.clone(), work.clone());
            }
        }
        let mut shares: Vec<Vec<Work>> = vec![Vec::new(); CLIENTS];
        for (k, work) in works.into_iter().enumerate() {
            shares[k % CLIENTS].push(work);
        }
        let clients = shares.into_iter().enumerate().map(|(k, share)| {
            let to = self.clients[k % self.clients.len()];
            thread::spawn(move || {
                let mut client = Client::new(to);
                let accepted = share.iter().filter(|work| {
                    let body = wire::encode(&work.spec);
                    while Instant::now() < end {
                        match client.ask("POST", "/work", &body) {
                            Some(r) if matches!(r.status, 200 | 201) => return true,
                            Some(r) => {
                                let wait = r.retry_after_s.unwrap_or(1).max(1);
                                thread::sleep(Duration::from_secs(wait.into()));
                            }
                            None => thread::sleep(Duration::from_secs(1)),
                        }
                    }
                    false
                });
                accepted.count()
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().filter_map(|c| c.join().ok()).sum()
    }

    /// One request to one controller: the status of its answer.
    pub fn once(&self, node: usize, method: &str, path: &str, body: &[u8]) -> Option<u16> {
        let answer = ask(
            self.clients[node],
            method,
            path,
            body,
            Duration::from_secs(5),
        );
        let status = answer.as_ref().map(|r| r.status);
        let text = answer.map(|r| String::from_utf8_lossy(&r.body).into_owned());
        let text = text.unwrap_or_default();
        let shown: String = text.chars().filter(|c| !c.is_control()).collect();
        self.note(&format!(
            "user: {method} {path} at burrow-{node}: {status:?} {shown}"
        ));
        status
    }

    /// One question about a job.
    pub fn poll(&self, node: usize, job: &str) -> Option<(u16, Option<JobState>)> {
        let path = format!("/work/{job}");
        let answer = ask(
            self.clients[node],
            "GET",
            &path,
            &[],
            Duration::from_secs(2),
        );
        let (status, body) = answer.map(|r| (r.status, r.body))?;
        let state = wire::decode::<JobState>(&body).ok();
        let said = state
            .as_ref()
            .map(|s| format!(" {:?} done {} running {}", s.stage, s.done, s.running));
        self.note(&format!(
            "user: GET {path} at burrow-{node}: {status}{}",
            said.unwrap_or_default()
        ));
        Some((status, state))
    }
}
