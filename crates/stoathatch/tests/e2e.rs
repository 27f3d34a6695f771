//! The real program as three processes on loopback, against the stand-ins. Waits on conditions only.

use standins::loopback::{Loopback, ask, settings};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use wire::api::{Catalog, JobSpec, JobState, Kind, MachineType, Priority, Stage};

struct Controllers {
    files: Vec<std::path::PathBuf>,
    children: Vec<Option<Child>>,
    clients: Vec<SocketAddr>,
}

impl Controllers {
    fn start(&mut self, n: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_stoathatch"))
            .arg("--config")
            .arg(&self.files[n])
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("error".into()))
            .stdin(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.children[n] = Some(child);
    }

    fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    /// Asks any node that answers; the last answer that is not "later".
    fn ask(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Option<JobState>)> {
        (0..self.clients.len()).filter(|n| self.children[*n].is_some()).find_map(|n| {
            let r = ask(self.clients[n], method, path, body, Duration::from_secs(4))?;
            (r.status != 503 && r.status != 429).then(|| (r.status, wire::decode(&r.body).ok()))
        })
    }

    fn stage(&self, job: &str) -> Option<Stage> {
        self.ask("GET", &format!("/work/{job}"), &[])?.1.map(|s| s.stage)
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|n| self.kill(n));
        self.files.iter().for_each(|f| {
            let _ = std::fs::remove_file(f);
        });
    }
}

/// Generous: a loaded host must not change the verdict.
fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(120);
    loop {
        if let Some(v) = found() {
            return v;
        }
        assert!(Instant::now() < end, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn ports(n: usize) -> Vec<SocketAddr> {
    let held: Vec<TcpListener> = (0..n).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    held.iter().map(|l| l.local_addr().expect("its address")).collect()
}

fn job(id: &str, kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "red".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cores: 1.0,
        gpus: 1.0,
        mem_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

#[test]
fn jobs_run_through_kills_and_restarts() {
    let (clients, peers) = (ports(3), ports(3));
    let nodes = clients.iter().enumerate().map(|(i, a)| (format!("burrow-{i}"), *a)).collect();
    let kind = MachineType {
        name: "g4".into(),
        cores: 16.0,
        gpus: 4.0,
        mem_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 10.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["a".into()],
    };
    let world = Loopback::start(Catalog { types: vec![kind] }, nodes, 1500, 20_000).expect("stand-ins");
    let files: Vec<_> = (0..3)
        .map(|n| {
            let path = std::env::temp_dir().join(format!("stoathatch-e2e-{}-{n}.json", std::process::id()));
            let text = settings(n, &clients, &peers, world.cloud, world.state).to_string();
            std::fs::write(&path, text).expect("settings written");
            path
        })
        .collect();
    let mut c = Controllers { files, children: vec![None, None, None], clients };
    (0..3).for_each(|n| c.start(n));

    // Submit and run; a repeated submission is the same job; strangers are unknown.
    let first = wire::encode(&job("job-000001", Kind::Array, 3));
    assert_eq!(until("accepted", || c.ask("POST", "/work", &first)).0, 201);
    assert_eq!(until("known", || c.ask("POST", "/work", &first)).0, 200);
    assert_eq!(until("unknown", || c.ask("GET", "/work/job-000009", &[])).0, 404);
    assert_eq!(until("malformed", || c.ask("POST", "/work", b"\x81\xa1x\x01")).0, 400);
    let impossible = wire::encode(&JobSpec { gpus: 100.0, ..job("job-000008", Kind::Array, 1) });
    assert_eq!(until("impossible", || c.ask("POST", "/work", &impossible)).0, 422);
    until("the array done", || (c.stage("job-000001")? == Stage::Done).then_some(()));
    assert_eq!(world.completed().len(), 3);

    // Cancel a service: its replicas go.
    let service = wire::encode(&job("job-000002", Kind::Service, 2));
    until("service accepted", || c.ask("POST", "/work", &service));
    until("replicas up", || (world.on_machines().len() == 2).then_some(()));
    let cancelled = until("cancelled", || c.ask("POST", "/work/job-000002/cancel", &[]));
    assert_eq!(cancelled.1.map(|s| s.stage), Some(Stage::Cancelled));
    until("replicas gone", || world.on_machines().is_empty().then_some(()));

    // Kill the owner while a job runs, and then all.
    let second = wire::encode(&job("job-000003", Kind::Array, 8));
    until("second accepted", || c.ask("POST", "/work", &second));
    until("it runs", || (!world.on_machines().is_empty()).then_some(()));
    let owner = until("an owner", || world.owner());
    let n: usize = owner.trim_start_matches("burrow-").parse().expect("a node");
    c.kill(n);
    until("another owner", || world.owner().filter(|o| *o != owner));
    until("second done", || (c.stage("job-000003")? == Stage::Done).then_some(()));
    let third = wire::encode(&job("job-000004", Kind::Gang, 1));
    until("third accepted", || c.ask("POST", "/work", &third));
    (0..3).for_each(|n| c.kill(n));
    (0..3).for_each(|n| c.start(n));
    until("third done", || (c.stage("job-000004")? == Stage::Done).then_some(()));

    // What was over still is, after all processes were replaced.
    assert_eq!(until("first", || c.stage("job-000001")), Stage::Done);
    assert_eq!(until("service", || c.stage("job-000002")), Stage::Cancelled);
    assert_eq!(world.end_of("job-000003").map(|e| e.done), Some(8));
    assert_eq!(world.ran_twice(), None);
}
