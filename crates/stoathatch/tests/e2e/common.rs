//! Starts and stops controllers as real processes on loopback. Waits for conditions, never for fixed times.

use serde_json::Value;
use socket2::{Domain, Socket, Type};
use standins::loopback::{Loopback, ask, settings};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use wire::api::{Catalog, JobSpec, JobState, Kind, MachineType, Priority, Stage};

/// Three controllers as real processes, against simulated services in the test process.
pub struct Controllers {
    files: Vec<std::path::PathBuf>,
    children: Vec<Option<Child>>,
    pub clients: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// Addresses of the YARN gateways' listeners, if these are enabled.
    pub rpc: Vec<SocketAddr>,
    pub web: Vec<SocketAddr>,
    /// Additional command line arguments of each process.
    options: Vec<Vec<String>>,
    /// Reserves the ports, also while a process is down.
    _held: Vec<(Socket, SocketAddr)>,
}

impl Controllers {
    /// Writes settings with these teams and starts all controllers.
    pub fn new(
        name: &str,
        kind: MachineType,
        run_ms: u64,
        teams: &Value,
        options: &[&str],
    ) -> (Self, Loopback) {
        Controllers::with_yarn(name, kind, run_ms, teams, options, None)
    }

    /// Like [`Controllers::new`], with a YARN gateway in each controller if `yarn` is given: further lines of its file.
    pub fn with_yarn(
        name: &str,
        kind: MachineType,
        run_ms: u64,
        teams: &Value,
        options: &[&str],
        yarn: Option<&str>,
    ) -> (Self, Loopback) {
        let held: Vec<_> = (0..12).map(|_| hold_port().expect("a port")).collect();
        let [clients, peers, rpc, web] =
            [0, 1, 2, 3].map(|i| held.chunks(4).map(|c| c[i].1).collect::<Vec<_>>());
        let nodes = clients
            .iter()
            .enumerate()
            .map(|(i, a)| (format!("burrow-{i}"), *a))
            .collect();
        let world = Loopback::start(Catalog { types: vec![kind] }, nodes, run_ms, 20_000)
            .expect("stand-ins");
        let mut files: Vec<_> = (0..3)
            .map(|n| {
                let file = format!("stoathatch-{name}-{}-{n}.json", std::process::id());
                let path = std::env::temp_dir().join(file);
                let text =
                    settings(n, &clients, &peers, world.cloud, world.state, teams).to_string();
                std::fs::write(&path, text).expect("settings written");
                path
            })
            .collect();
        let options: Vec<String> = options.iter().map(ToString::to_string).collect();
        let mut options = vec![options; 3];
        if let Some(more) = yarn {
            for n in 0..3 {
                let file = format!("stoathatch-{name}-{}-{n}.ini", std::process::id());
                let path = std::env::temp_dir().join(file);
                let text = format!("[door]\nrpc = {}\nweb = {}\n{more}", rpc[n], web[n]);
                std::fs::write(&path, text).expect("written");
                options[n].extend(["--yarn".to_owned(), path.to_string_lossy().into_owned()]);
                files.push(path);
            }
        }
        let children = vec![None, None, None];
        let mut c = Controllers {
            files,
            children,
            clients,
            peers,
            rpc,
            web,
            options,
            _held: held,
        };
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
            .args(&self.options[n])
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("error".into()),
            )
            .stdin(Stdio::null())
            .spawn()
            .expect("the program can be started");
        self.children[n] = Some(child);
    }

    pub fn runs(&self, n: usize) -> bool {
        self.children[n].is_some()
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    /// Sends a request to the running nodes in turn; returns the first response that is not 503 or 429.
    pub fn ask(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Option<JobState>)> {
        (0..self.clients.len())
            .filter(|n| self.children[*n].is_some())
            .find_map(|n| {
                let r = ask(self.clients[n], method, path, body, Duration::from_secs(4))?;
                (r.status != 503 && r.status != 429).then(|| (r.status, wire::decode(&r.body).ok()))
            })
    }

    pub fn stage(&self, job: &str) -> Option<Stage> {
        self.ask("GET", &format!("/work/{job}"), &[])?
            .1
            .map(|s| s.stage)
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

/// Waits until a condition holds. The limit is generous, so that a loaded host does not fail the test.
pub fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(120);
    loop {
        if let Some(v) = found() {
            return v;
        }
        assert!(Instant::now() < end, "never happened: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Reserves a free port: binds it without listening. The program can still bind and listen there, since both sides set
/// `SO_REUSEADDR`. A port that is only found free and released again can be assigned to another connection or listener
/// before the program binds it; a test failed that way when one of its three controllers could not start.
pub fn hold_port() -> std::io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    let addr = socket
        .local_addr()?
        .as_socket()
        .ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, addr))
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
