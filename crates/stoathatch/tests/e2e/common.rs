//! Controllers as real processes for the tests on loopback. Waits on conditions only.

use serde_json::Value;
use standins::loopback::{Loopback, ask, settings};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use wire::api::{Catalog, JobSpec, JobState, Kind, MachineType, Priority, Stage};

/// Three controllers as real processes, against stand-ins of this process.
pub struct Controllers {
    files: Vec<std::path::PathBuf>,
    children: Vec<Option<Child>>,
    pub clients: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// Further arguments of each process.
    options: Vec<String>,
}

impl Controllers {
    /// Writes settings for these teams, and starts all.
    pub fn new(
        name: &str,
        kind: MachineType,
        run_ms: u64,
        teams: &Value,
        options: &[&str],
    ) -> (Self, Loopback) {
        let (clients, peers) = (ports(3), ports(3));
        let nodes = clients.iter().enumerate().map(|(i, a)| (format!("burrow-{i}"), *a)).collect();
        let world = Loopback::start(Catalog { types: vec![kind] }, nodes, run_ms, 20_000).expect("stand-ins");
        let files: Vec<_> = (0..3)
            .map(|n| {
                let file = format!("stoathatch-{name}-{}-{n}.json", std::process::id());
                let path = std::env::temp_dir().join(file);
                let text = settings(n, &clients, &peers, world.cloud, world.state, teams).to_string();
                std::fs::write(&path, text).expect("settings written");
                path
            })
            .collect();
        let options = options.iter().map(ToString::to_string).collect();
        let mut c = Controllers { files, children: vec![None, None, None], clients, peers, options };
        (0..3).for_each(|n| c.start(n));
        (c, world)
    }

    pub fn settings(&self) -> &std::path::Path {
        &self.files[0]
    }

    pub fn start(&mut self, n: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_stoathatch"))
            .arg("--config")
            .arg(&self.files[n])
            .args(&self.options)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("error".into()))
            .stdin(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.children[n] = Some(child);
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    /// Asks any node that answers; the last answer that is not "later".
    pub fn ask(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Option<JobState>)> {
        (0..self.clients.len()).filter(|n| self.children[*n].is_some()).find_map(|n| {
            let r = ask(self.clients[n], method, path, body, Duration::from_secs(4))?;
            (r.status != 503 && r.status != 429).then(|| (r.status, wire::decode(&r.body).ok()))
        })
    }

    pub fn stage(&self, job: &str) -> Option<Stage> {
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
pub fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(120);
    loop {
        if let Some(v) = found() {
            return v;
        }
        assert!(Instant::now() < end, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn ports(n: usize) -> Vec<SocketAddr> {
    let held: Vec<TcpListener> = (0..n).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    held.iter().map(|l| l.local_addr().expect("its address")).collect()
}

pub fn four_gpus(boot_s: f64) -> MachineType {
    MachineType {
        name: "g4".into(),
        cores: 16.0,
        gpus: 4.0,
        mem_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 10.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s,
        zones: vec!["a".into()],
    }
}

pub fn job(id: &str, kind: Kind, tasks: u32) -> JobSpec {
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
