//! The fake state service, cloud and workers on real loopback sockets, for tests of the real program.

use crate::cloud::Cloud;
use crate::state::{Outcome, State};
use crate::worker::Worker;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use wire::api::{Catalog, Cause, JobSpec, Kind, Orders, Redirect, TaskStage};
use wire::http::{self, Response};
use wire::records::{EndRecord, JobRecord};

/// Sends one request on a new connection and returns the response, or `None` if there was none.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut out = Vec::new();
    http::write_request(&mut out, "loopback", method, path, body);
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

/// Maps method, path and body of a request to status and body of the response.
type Handler = dyn Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Send + Sync;

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
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        while let Ok(Some((request, used))) = http::parse_request(&received, 1 << 20) {
            received.drain(..used);
            let (status, body) = handler(&request.method, &request.path, &request.body);
            let mut out = Vec::new();
            http::write_response(
                &mut out,
                &Response {
                    status,
                    body,
                    close: false,
                    retry_after_s: None,
                },
            );
            stream.write_all(&out)?;
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(());
        }
        received.extend_from_slice(&chunk[..n]);
    }
}

struct Inner {
    start: Instant,
    state: State,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    /// Names of completed tasks, in order of completion.
    completed: Vec<String>,
    /// The first task that was on two machines at once.
    ran_twice: Option<String>,
    /// Tasks of the gateway's jobs run until the test's runners end them.
    has_runners: bool,
    copies: CommandCopies,
}

/// Copies of commands, delivered to their machines on connections of their own.
#[derive(Default)]
struct CommandCopies {
    is_on: bool,
    outstanding: usize,
    delivered: usize,
    /// The first task that a copy started again.
    started: Option<String>,
}

/// How long after a command its copies are delivered, in milliseconds.
const COPY_DELAYS_MS: [u64; 5] = [30, 400, 1500, 4000, 9000];
/// The path on which a worker takes copies of commands, which are not copied again.
const COPY_PATH: &str = "/commands/copy";

/// Fake state service, cloud and workers on loopback ports.
#[derive(Clone)]
pub struct Loopback {
    inner: Arc<Mutex<Inner>>,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
    nodes: Arc<Vec<(String, SocketAddr)>>,
    pub run_ms: u64,
    lease_ms: u64,
}

impl Loopback {
    /// `nodes`: names and addresses of the controllers that workers report to.
    pub fn start(
        catalog: Catalog,
        nodes: Vec<(String, SocketAddr)>,
        run_ms: u64,
        lease_ms: u64,
    ) -> io::Result<Self> {
        let (s, c) = (
            TcpListener::bind("127.0.0.1:0")?,
            TcpListener::bind("127.0.0.1:0")?,
        );
        let inner = Inner {
            start: Instant::now(),
            state: State::default(),
            cloud: Cloud::new(catalog, 8, 200),
            workers: BTreeMap::new(),
            completed: Vec::new(),
            ran_twice: None,
            has_runners: false,
            copies: CommandCopies::default(),
        };
        let all = Loopback {
            inner: Arc::new(Mutex::new(inner)),
            state: s.local_addr()?,
            cloud: c.local_addr()?,
            nodes: Arc::new(nodes),
            run_ms,
            lease_ms,
        };
        let this = all.clone();
        serve(
            s,
            Box::new(move |method, path, body| this.state_service(method, path, body)),
        );
        let this = all.clone();
        let cloud: Box<Handler> = Box::new(move |method, path, body| {
            let mut i = this.lock();
            let now = i.now();
            let mut rng = fastrand::Rng::with_seed(1);
            let (status, body) = i.cloud.handle(now, &mut rng, method, path, body);
            for name in std::mem::take(&mut i.cloud.deleted) {
                i.workers.remove(&name);
            }
            (status, wire::encode(&body))
        });
        serve(c, cloud);
        let this = all.clone();
        thread::spawn(move || {
            loop {
                this.start_booted_workers();
                thread::sleep(Duration::from_millis(50));
            }
        });
        Ok(all)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A poisoned lock is no further problem: the panic that poisoned it has failed the test already.
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn completed(&self) -> Vec<String> {
        self.lock().completed.clone()
    }

    pub fn ran_twice(&self) -> Option<String> {
        self.lock().ran_twice.clone()
    }

    /// Names of tasks that are on machines now.
    pub fn on_machines(&self) -> Vec<String> {
        let i = self.lock();
        i.workers
            .values()
            .flat_map(|w| &w.tasks)
            .filter(|t| t.is_on())
            .map(|t| t.name.clone())
            .collect()
    }

    /// Running tasks of the gateway's jobs: job, task number, attempt, machine and zone.
    pub fn runners(&self) -> Vec<(JobSpec, u32, u64, String, String)> {
        let i = self.lock();
        let mut out = Vec::new();
        for w in i.workers.values() {
            for t in w.tasks.iter().filter(|t| t.stage == TaskStage::Running) {
                let Some((job, task)) = wire::ids::parse_task(&t.name) else {
                    continue;
                };
                let Some(live) = i.state.keys.get(&wire::records::live_key(job)) else {
                    continue;
                };
                let rec = serde_json::from_value::<JobRecord>(live.value.clone());
                if let Some(rec) = rec.ok().filter(|_| wire::ids::reserved_job_id(job)) {
                    out.push((rec.spec, task, t.attempt, w.name.clone(), w.zone.clone()));
                }
            }
        }
        out
    }

    /// From now on tasks of the gateway's jobs run until [`Self::end_task`].
    pub fn with_runners(&self) {
        self.lock().has_runners = true;
    }

    /// From now on each command to a worker arrives again several times, up to seconds later.
    pub fn copy_commands(&self) {
        self.lock().copies.is_on = true;
    }

    /// No further commands are copied. Returns how many copies were delivered once all of them are.
    pub fn finish_copies(&self) -> Option<usize> {
        let mut i = self.lock();
        i.copies.is_on = false;
        (i.copies.outstanding == 0).then_some(i.copies.delivered)
    }

    /// The first task that a copy of a command started again.
    pub fn started_by_copy(&self) -> Option<String> {
        self.lock().copies.started.clone()
    }

    fn schedule_copies(&self, addr: SocketAddr, body: &[u8]) {
        for delay_ms in COPY_DELAYS_MS {
            let (this, body) = (self.clone(), body.to_vec());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                let answer = ask(addr, "POST", COPY_PATH, &body, Duration::from_secs(4));
                let mut i = this.lock();
                i.copies.outstanding -= 1;
                i.copies.delivered += usize::from(answer.is_some());
            });
        }
    }

    /// Ends a running task, as done or as failed.
    pub fn end_task(&self, job: &str, task: u32, attempt: u64, done: bool) {
        let name = wire::ids::task_name(job, task);
        for w in self.lock().workers.values_mut() {
            let is_running = |t: &&mut crate::worker::Task| {
                t.name == name && t.attempt == attempt && t.stage == TaskStage::Running
            };
            for t in w.tasks.iter_mut().filter(is_running) {
                t.stage = TaskStage::Exited;
                t.cause = Some(if done { Cause::Done } else { Cause::Error });
                w.changed = true;
            }
        }
    }

    /// Removes a machine with all its tasks.
    pub fn lose(&self, machine: &str) {
        let mut i = self.lock();
        i.workers.remove(machine);
        if let Some(rented) = i.cloud.machines.get_mut(machine) {
            rented.up_at = None;
        }
    }

    /// Name of the leader in the leader record.
    pub fn leader(&self) -> Option<String> {
        let mut i = self.lock();
        let now = i.now();
        i.state.expire(now);
        let leader = i
            .state
            .keys
            .get("sys/owner/0")?
            .value
            .get("node")?
            .as_str()?
            .to_owned();
        Some(leader)
    }

    pub fn end_of(&self, job: &str) -> Option<EndRecord> {
        serde_json::from_value(
            self.lock()
                .state
                .keys
                .get(&wire::records::end_key(job))?
                .value
                .clone(),
        )
        .ok()
    }

    fn state_service(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let watch = {
            let mut i = self.lock();
            let now = i.now();
            i.state.expire(now);
            match i.state.handle(now, method, path, body) {
                Outcome::Now(status, body) => return (status, wire::encode(&body)),
                Outcome::Wait(w) => w,
            }
        };
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut i = self.lock();
            let now = i.now();
            i.state.expire(now);
            if let Some(v) = i.state.changes(&watch.prefix, watch.from) {
                return (200, wire::encode(&v));
            }
            if now >= watch.until {
                return (
                    200,
                    wire::encode(&json!({"ledger": i.state.revision, "log": []})),
                );
            }
        }
    }

    /// Starts workers on machines that have booted.
    fn start_booted_workers(&self) {
        let mut i = self.lock();
        let now = i.now();
        i.cloud.snapshot(now);
        let up = i.cloud.came_up(now, |n| i.workers.contains_key(n));
        for (name, machine_type, zone, spot) in up {
            let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
                continue;
            };
            let Ok(addr) = listener.local_addr() else {
                continue;
            };
            let mut worker = Worker::new(&name, &machine_type, &zone, spot, 0, now);
            worker.addr = addr.to_string();
            i.workers.insert(name.clone(), worker);
            let (this, n) = (self.clone(), name.clone());
            serve(
                listener,
                Box::new(move |_, path, body| this.handle_direct_request(&n, path, body)),
            );
            let this = self.clone();
            thread::spawn(move || while this.run_worker_once(&name) {});
        }
    }

    fn handle_direct_request(&self, name: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let mut guard = self.lock();
        let i = &mut *guard;
        let now = i.now();
        let task_times = self.task_times(&i.state, i.has_runners);
        let Some(w) = i.workers.get_mut(name) else {
            return (500, Vec::new());
        };
        let mut status = 200;
        let is_copy = path == COPY_PATH;
        if path == "/commands" || is_copy {
            let Ok(orders) = wire::decode::<Orders>(body) else {
                return (400, Vec::new());
            };
            let before = w.tasks.len();
            status = w.commands(&orders, |t| task_times.get(job_of(t)?).copied(), now);
            if is_copy && w.tasks.len() > before {
                let started = w.tasks[before].name.clone();
                i.copies.started.get_or_insert(started);
            }
        }
        let report = w.report(now);
        let addr = w.addr.parse().ok();
        if i.copies.is_on
            && path == "/commands"
            && let Some(addr) = addr
        {
            i.copies.outstanding += COPY_DELAYS_MS.len();
            self.schedule_copies(addr, body);
        }
        (status, wire::encode(&report))
    }

    /// Fetch and run time of the tasks of each submitted job, in milliseconds.
    fn task_times(&self, state: &State, has_runners: bool) -> BTreeMap<String, (u64, u64)> {
        let live = state.keys.iter().filter(|(k, _)| k.starts_with("live/"));
        live.filter_map(|(_, e)| serde_json::from_value::<JobRecord>(e.value.clone()).ok())
            .map(|r| {
                // Services run until they are ended, and so do tasks of the gateway's jobs if the test has runners.
                let runs_until_ended = r.spec.kind == Kind::Service
                    || (has_runners && wire::ids::reserved_job_id(&r.spec.id));
                (
                    r.spec.id,
                    (
                        100,
                        if runs_until_ended {
                            1 << 40
                        } else {
                            self.run_ms
                        },
                    ),
                )
            })
            .collect()
    }

    /// Advances a worker by one step: task stages and, if due, a report. Returns false once its machine is gone.
    fn run_worker_once(&self, name: &str) -> bool {
        thread::sleep(Duration::from_millis(40));
        let (node, report, sent) = {
            let mut guard = self.lock();
            let i = &mut *guard;
            let now = i.now();
            let Some(w) = i.workers.get_mut(name) else {
                return false;
            };
            w.expire(now, self.lease_ms);
            let mut started = Vec::new();
            for t in &mut w.tasks {
                if t.stage == TaskStage::Fetching && t.fetched_at <= now {
                    t.stage = TaskStage::Running;
                    w.changed = true;
                    started.push(t.name.clone());
                } else if t.stage == TaskStage::Running && t.ends_at <= now {
                    t.stage = TaskStage::Exited;
                    t.cause = Some(Cause::Done);
                    w.changed = true;
                    i.completed.push(t.name.clone());
                }
            }
            let due = now >= w.next_report || (w.changed && now + 500 >= w.next_report);
            let report = due.then(|| {
                w.changed = false;
                w.next_report = now + 800;
                let r = w.report(now);
                w.out = Some((r.seq, now));
                r
            });
            let node = w.node;
            for task in started {
                let is_on = |w: &Worker| w.tasks.iter().any(|t| t.name == task && t.is_on());
                if i.workers.values().filter(|w| is_on(w)).count() > 1 {
                    i.ran_twice.get_or_insert(task);
                }
            }
            let Some(report) = report else { return true };
            (node, report, now)
        };
        let seq = report.seq;
        let answer = ask(
            self.nodes[node].1,
            "POST",
            "/hello",
            &wire::encode(&report),
            Duration::from_secs(4),
        );
        let mut i = self.lock();
        let now = i.now();
        let task_times = self.task_times(&i.state, i.has_runners);
        let Some(w) = i.workers.get_mut(name) else {
            return false;
        };
        let orders = answer
            .as_ref()
            .filter(|r| r.status == 200)
            .and_then(|r| wire::decode::<Orders>(&r.body).ok());
        if let Some(orders) = orders {
            w.answered(
                seq,
                sent,
                &orders,
                |t| task_times.get(job_of(t)?).copied(),
                now,
            );
            return true;
        }
        w.out = None;
        let to = answer
            .filter(|r| r.status == 421)
            .and_then(|r| wire::decode::<Redirect>(&r.body).ok()?.report_to);
        match to
            .and_then(|t| self.nodes.iter().position(|(n, _)| *n == t))
            .filter(|t| *t != w.node)
        {
            Some(t) => {
                w.node = t;
                w.next_report = now;
            }
            None => {
                w.node = (w.node + 1) % self.nodes.len();
                w.next_report = now + 300;
            }
        }
        true
    }
}

impl Inner {
    fn now(&self) -> u64 {
        1_000_000 + self.start.elapsed().as_millis() as u64
    }
}

fn job_of(task: &str) -> Option<&str> {
    wire::ids::parse_task(task).map(|(job, _)| job)
}

/// Settings of one of several controllers on loopback, in the form that the platform supplies.
pub fn settings(
    node: usize,
    clients: &[SocketAddr],
    peers: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
    teams: &Value,
) -> Value {
    let others: Vec<Value> = (0..clients.len())
        .filter(|i| *i != node)
        .map(|i| json!({"node": format!("burrow-{i}"), "domain": "a", "address": peers[i].to_string()}))
        .collect();
    json!({"node": format!("burrow-{node}"), "domain": "a", "client_listen": clients[node].to_string(),
        "peer_bind": peers[node].to_string(), "peers": others,
        "endpoints": {"cloud": cloud.to_string(), "state": state.to_string()},
        "cluster": {"initial_size": clients.len(), "zones": ["a"],
            "teams": teams,
            "workers": {"report_s": 0.8, "lease_s": 20.0, "gang_wait_s": 10.0, "gang_peer_s": 3.0, "cancel_s": 20.0},
            "state": {"rps": 300.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 20.0, "list_lag_s": 0.2},
            "machine_limits": {"cores": 1.0, "mem_mb": 200.0, "max_sockets": 500}}, "clock_error_ms": 5.0})
}
