//! The platform of a small deployment on loopback and the real clock: state service, cloud and workers. They follow
//! the protocol; machines can be made to hang, and requests to the state service can be handled in another way.

use crate::net::{self, Answer, ask};
use serde_json::{Value, json};
use standins::cloud::{Cloud, Rental};
use standins::state::{Limits, Outcome, State};
use standins::worker::Worker;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use wire::api::{Catalog, Kind, MachineType, Orders, Redirect, TaskStage};
use wire::http::Request;
use wire::records::JobRecord;

/// Time that a worker waits for the answer to its report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which an image is fetched.
const FETCH_MS: u64 = 300;

/// What the platform of a case is like.
#[derive(Clone)]
pub struct Platform {
    pub types: Vec<MachineType>,
    pub report_ms: u64,
    pub lease_ms: u64,
    pub list_lag_ms: u64,
    /// Most machines that the cloud has.
    pub capacity: usize,
    pub state: Limits,
    /// Run time of a task in milliseconds, by the id of its job; services and unknown jobs run until they are ended.
    pub run_ms: fn(&str) -> u64,
}

/// A task that came onto a machine, and when it left it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub machine: String,
    pub to: Option<u64>,
}

pub struct Inner {
    pub start: Instant,
    pub state: State,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    addresses: BTreeMap<String, String>,
    /// Hung machines, and until when.
    pub hung: BTreeMap<String, u64>,
    /// Machines that fail every task that they start.
    pub sick: BTreeSet<String>,
    /// Jobs that were submitted with a mistake: their tasks fail on every machine.
    pub mistaken: BTreeSet<String>,
    pub runs: Vec<Run>,
    /// Intercepts requests to the state service.
    pub state_fault: Option<Arc<StateFault>>,
    /// Whether a node is cut from the state service: its requests are held.
    pub state_cut: Option<Arc<StateCut>>,
    record: File,
}

/// Whether a node is cut from the state service now.
pub type StateCut = dyn Fn(usize) -> bool + Send + Sync;

/// Decides what happens to a request of a node to the state service at this time.
pub type StateFault = dyn Fn(u64, usize, &Request) -> Fault + Send + Sync;

/// What happens to a request to the state service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// It is served.
    None,
    /// It is refused with 503 and not executed.
    Refuse,
    /// It is executed, and the answer is lost.
    LoseAnswer,
    /// It is executed after this time in milliseconds, and not answered.
    Late(u64),
}

impl Inner {
    pub fn now(&self) -> u64 {
        1_000_000 + self.start.elapsed().as_millis() as u64
    }

    /// Writes a line to `record.txt`, with the seconds since the start.
    pub fn record(&mut self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:9.3} {line}");
    }

    fn close_runs(&mut self, machine: &str, why: &str) {
        let now = self.now();
        let on: Vec<String> = self
            .workers
            .get(machine)
            .map(|w| {
                w.tasks
                    .iter()
                    .filter(|t| t.is_on())
                    .map(|t| format!("{}#{}", t.name, t.attempt))
                    .collect()
            })
            .unwrap_or_default();
        let mut ended = Vec::new();
        for run in self
            .runs
            .iter_mut()
            .filter(|r| r.machine == machine && r.to.is_none())
        {
            if !on.contains(&run.task) {
                run.to = Some(now);
                ended.push(run.task.clone());
            }
        }
        for task in ended {
            self.record(&format!("machine {machine}: task {task} left ({why})"));
        }
    }
}

#[derive(Clone)]
pub struct World {
    pub inner: Arc<Mutex<Inner>>,
    pub platform: Arc<Platform>,
    pub cloud: SocketAddr,
    pub nodes: Arc<Mutex<Vec<(String, SocketAddr)>>>,
}

impl World {
    /// Starts the state service, the cloud and the workers of machines as they come up.
    pub fn start(platform: Platform, record: File) -> std::io::Result<World> {
        let catalog = Catalog {
            types: platform.types.clone(),
        };
        let mut cloud = Cloud::new(catalog, platform.capacity, platform.list_lag_ms);
        let boot = platform.types.iter().map(|t| t.boot_s).fold(1.0, f64::max);
        cloud.boot_ms = (boot * 600.0) as u64..(boot * 1500.0) as u64;
        let mut state = State::default();
        state.limits = platform.state;
        let inner = Inner {
            start: Instant::now(),
            state,
            cloud,
            workers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            hung: BTreeMap::new(),
            sick: BTreeSet::new(),
            mistaken: BTreeSet::new(),
            runs: Vec::new(),
            state_fault: None,
            state_cut: None,
            record,
        };
        let inner = Arc::new(Mutex::new(inner));
        let here: Arc<Mutex<Option<World>>> = Arc::new(Mutex::new(None));
        let of = |here: &Arc<Mutex<Option<World>>>| here.lock().expect("lock").clone();
        let a = here.clone();
        let cloud_addr = net::serve(Box::new(move |r| of(&a)?.serve_cloud(r)))?;
        let world = World {
            inner,
            platform: Arc::new(platform),
            cloud: cloud_addr,
            nodes: Arc::default(),
        };
        *here.lock().expect("lock") = Some(world.clone());
        let this = world.clone();
        thread::spawn(move || {
            loop {
                this.start_booted();
                thread::sleep(Duration::from_millis(50));
            }
        });
        Ok(world)
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn record(&self, line: &str) {
        self.lock().record(line);
    }

    /// Adds machines that are up from the start.
    pub fn add_machines(&self, first: u32, count: u32, machine_type: &str, zone: &str) {
        let mut i = self.lock();
        let now = i.now();
        for n in first..first + count {
            let rental = Rental {
                machine_type: machine_type.to_owned(),
                zone: zone.to_owned(),
                spot: false,
                since: now.saturating_sub(600_000),
                up_at: Some(now),
            };
            i.cloud
                .machines
                .insert(format!("host-{:06}", n + 900_000), rental);
        }
    }

    /// Makes a machine hang: it neither answers nor reports, and its tasks are not executed.
    pub fn hang(&self, machine: &str, ms: u64) {
        let mut i = self.lock();
        let until = i.now() + ms;
        i.hung.insert(machine.to_owned(), until);
        i.record(&format!(
            "machine {machine}: hangs for {:.1} s",
            ms as f64 / 1000.0
        ));
    }

    fn is_hung(&self, machine: &str) -> bool {
        let i = self.lock();
        i.hung.get(machine).is_some_and(|until| i.now() < *until)
    }

    fn wait_while_hung(&self, machine: &str) -> bool {
        let was = self.is_hung(machine);
        while self.is_hung(machine) {
            thread::sleep(Duration::from_millis(20));
        }
        was
    }

    /// Makes a machine fail every task that it starts.
    pub fn sicken(&self, machine: &str) {
        let mut i = self.lock();
        i.sick.insert(machine.to_owned());
        i.record(&format!(
            "machine {machine}: fails every task that it starts from now on"
        ));
    }

    /// Names of the machines whose workers are up.
    pub fn up(&self) -> Vec<String> {
        self.lock().workers.keys().cloned().collect()
    }

    /// Tasks that are on machines now, with their machines.
    pub fn on_machines(&self) -> Vec<(String, String)> {
        let i = self.lock();
        i.runs
            .iter()
            .filter(|r| r.to.is_none())
            .map(|r| (r.task.clone(), r.machine.clone()))
            .collect()
    }

    pub fn leader(&self) -> Option<String> {
        let mut i = self.lock();
        let now = i.now();
        i.state.expire(now);
        Some(
            i.state
                .keys
                .get("sys/owner/0")?
                .value
                .get("node")?
                .as_str()?
                .to_owned(),
        )
    }

    /// The state service at a port of its own for one node.
    pub fn state_for(&self, node: usize) -> std::io::Result<SocketAddr> {
        let this = self.clone();
        net::serve(Box::new(move |r| this.serve_state(node, r)))
    }

    fn fault(&self, node: usize, r: &Request) -> Fault {
        let (hook, now) = {
            let i = self.lock();
            (i.state_fault.clone(), i.now())
        };
        hook.map_or(Fault::None, |f| f(now, node, r))
    }

    /// Waits while a node is cut from the state service.
    fn wait_while_cut(&self, node: usize) {
        loop {
            let cut = self.lock().state_cut.clone();
            if !cut.is_some_and(|cut| cut(node)) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn serve_state(&self, node: usize, r: &Request) -> Answer {
        self.wait_while_cut(node);
        let answer = self.execute_state(node, r);
        self.wait_while_cut(node);
        answer
    }

    fn execute_state(&self, node: usize, r: &Request) -> Answer {
        let fault = self.fault(node, r);
        match fault {
            Fault::Refuse => return Some((503, wire::encode(&json!({"error": "trouble"})))),
            Fault::Late(ms) => {
                let (this, r) = (self.clone(), r.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(ms));
                    let mut i = this.lock();
                    let now = i.now();
                    i.state.expire(now);
                    i.state.handle(now, &r.method, &r.path, &r.body);
                });
                return None;
            }
            Fault::None | Fault::LoseAnswer => {}
        }
        let watch = {
            let mut i = self.lock();
            let now = i.now();
            i.state.expire(now);
            match i.state.handle(now, &r.method, &r.path, &r.body) {
                Outcome::Now(..) if fault == Fault::LoseAnswer => return None,
                Outcome::Now(status, body) => return Some((status, wire::encode(&body))),
                Outcome::Wait(w) => w,
            }
        };
        loop {
            thread::sleep(Duration::from_millis(5));
            if self.fault(node, r) == Fault::Refuse {
                continue;
            }
            let mut i = self.lock();
            let now = i.now();
            i.state.expire(now);
            if let Some(v) = i.state.changes(&watch.prefix, watch.from) {
                return Some((200, wire::encode(&v)));
            }
            if now >= watch.until {
                let none = json!({"ledger": i.state.revision, "log": []});
                return Some((200, wire::encode(&none)));
            }
        }
    }

    fn serve_cloud(&self, r: &Request) -> Answer {
        let mut i = self.lock();
        let now = i.now();
        let addresses = i.addresses.clone();
        i.cloud.address = Box::new(move |n| addresses.get(n).cloned().unwrap_or_default());
        let mut rng = fastrand::Rng::new();
        let (status, body) = i.cloud.handle(now, &mut rng, &r.method, &r.path, &r.body);
        if r.path == "/machines" {
            i.record(&format!("cloud: POST /machines: {status} {body}"));
        }
        // Here all machines come up.
        let boot = i.cloud.boot_ms.clone();
        for rental in i.cloud.machines.values_mut().filter(|m| m.up_at.is_none()) {
            rental.up_at = Some(now + rng.u64(boot.clone()));
        }
        for name in std::mem::take(&mut i.cloud.deleted) {
            i.record(&format!("cloud: machine {name} deleted"));
            i.workers.remove(&name);
            i.close_runs(&name, "the machine is gone");
        }
        Some((status, wire::encode(&body)))
    }

    fn start_booted(&self) {
        let mut i = self.lock();
        let now = i.now();
        i.cloud.snapshot(now);
        let up = i.cloud.came_up(now, |n| i.workers.contains_key(n));
        for (name, machine_type, zone, spot) in up {
            let (this, n) = (self.clone(), name.clone());
            let Ok(addr) = net::serve(Box::new(move |r| this.serve_worker(&n, r))) else {
                continue;
            };
            let mut worker = Worker::new(&name, &machine_type, &zone, spot, 0, now);
            worker.addr = addr.to_string();
            i.addresses.insert(name.clone(), addr.to_string());
            i.workers.insert(name.clone(), worker);
            i.record(&format!("machine {name}: up in {zone}"));
            let this = self.clone();
            thread::spawn(move || while this.step_worker(&name) {});
        }
    }

    /// Fetch and run times of the tasks of the jobs that have not ended.
    fn times(&self, i: &Inner) -> BTreeMap<String, (u64, u64)> {
        let live = i.state.keys.iter().filter(|(k, _)| k.starts_with("live/"));
        live.filter_map(|(_, e)| serde_json::from_value::<JobRecord>(e.value.clone()).ok())
            .map(|r| {
                let run = if r.spec.kind == Kind::Service {
                    1 << 40
                } else {
                    (self.platform.run_ms)(&r.spec.id)
                };
                (r.spec.id, (FETCH_MS, run))
            })
            .collect()
    }

    fn serve_worker(&self, name: &str, r: &Request) -> Answer {
        self.wait_while_hung(name);
        let mut i = self.lock();
        let now = i.now();
        let times = self.times(&i);
        let lease = self.platform.lease_ms;
        let w = i.workers.get_mut(name)?;
        w.expire(now, lease);
        let mut status = 200;
        if r.path == "/commands" {
            let Ok(orders) = wire::decode::<Orders>(&r.body) else {
                return Some((400, Vec::new()));
            };
            status = w.commands(&orders, |t| times.get(job_of(t)).copied(), now);
        }
        let body = wire::encode(&w.report(now));
        i.close_runs(name, "command");
        Some((status, body))
    }

    /// One step of a worker; false once its machine is gone.
    fn step_worker(&self, name: &str) -> bool {
        thread::sleep(Duration::from_millis(25));
        self.wait_while_hung(name);
        let lease = self.platform.lease_ms;
        let (to, report, sent) = {
            let mut guard = self.lock();
            let i = &mut *guard;
            let now = i.now();
            let Some(w) = i.workers.get_mut(name) else {
                return false;
            };
            let killed = w.expire(now, lease).0;
            let mut started = Vec::new();
            let mut failed = Vec::new();
            let sick = i.sick.contains(name);
            for t in &mut w.tasks {
                let fails = sick || i.mistaken.contains(job_of(&t.name));
                if fails && t.stage == TaskStage::Fetching && t.fetched_at <= now {
                    t.stage = TaskStage::Exited;
                    t.cause = Some(wire::api::Cause::Error);
                    w.changed = true;
                    failed.push(format!("{}#{}", t.name, t.attempt));
                } else if t.stage == TaskStage::Fetching && t.fetched_at <= now {
                    t.stage = TaskStage::Running;
                    w.changed = true;
                    started.push(format!("{}#{}", t.name, t.attempt));
                } else if t.stage == TaskStage::Running && t.ends_at <= now {
                    t.stage = TaskStage::Exited;
                    t.cause = Some(wire::api::Cause::Done);
                    w.changed = true;
                }
            }
            let due = now >= w.next_report || (w.changed && now + 500 >= w.next_report);
            let report = due.then(|| {
                w.changed = false;
                w.next_report = now + self.platform.report_ms;
                let r = w.report(now);
                w.out = Some((r.seq, now));
                r
            });
            let node = w.node;
            if killed > 0 {
                i.record(&format!(
                    "machine {name}: lease expired, {killed} tasks killed"
                ));
            }
            i.close_runs(name, "exited or killed");
            for task in failed {
                i.record(&format!("machine {name}: task {task} exited, error"));
            }
            for task in started {
                i.record(&format!("machine {name}: task {task} runs"));
                i.runs.push(Run {
                    task,
                    machine: name.to_owned(),

                    to: None,
                });
            }
            let nodes = self.nodes.lock().expect("lock");
            if nodes.is_empty() {
                return true;
            }
            let Some(report) = report else { return true };
            (nodes[node % nodes.len()].1, report, now)
        };
        let seq = report.seq;
        let answer = ask(to, "POST", "/hello", &wire::encode(&report), REPORT_TIMEOUT);
        self.wait_while_hung(name);
        let mut i = self.lock();
        let now = i.now();
        let times = self.times(&i);
        let Some(w) = i.workers.get_mut(name) else {
            return false;
        };
        w.expire(now, lease);
        // An answer that comes after the time that the worker waits is dropped.
        let answer = answer.filter(|_| now < sent + REPORT_TIMEOUT.as_millis() as u64 + 100);
        let orders = answer
            .as_ref()
            .filter(|r| r.status == 200)
            .and_then(|r| wire::decode::<Orders>(&r.body).ok());
        if let Some(orders) = orders {
            w.answered(seq, sent, &orders, |t| times.get(job_of(t)).copied(), now);
            i.close_runs(name, "order");
            return true;
        }
        w.out = None;
        let nodes = self.nodes.lock().expect("lock");
        let named = answer
            .filter(|r| r.status == 421)
            .and_then(|r| wire::decode::<Redirect>(&r.body).ok()?.report_to);
        match named
            .and_then(|t| nodes.iter().position(|(n, _)| *n == t))
            .filter(|t| *t != w.node)
        {
            Some(t) => {
                w.node = t;
                w.next_report = now;
            }
            None => {
                w.node = (w.node + 1) % nodes.len();
                w.next_report = now + 1000;
            }
        }
        true
    }
}

/// The id of a task's job.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

/// Teams without limits but those given.
pub fn team(name: &str, cpus: f64, cpus_max: f64, gpus: f64, gpus_max: f64) -> Value {
    json!({"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": gpus, "gpus_max": gpus_max})
}
