//! The controllers: processes started with the command of the deploy file.

use crate::site::Site;
use crate::world::REPORT_MS;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

pub const NODES: usize = 3;

/// Running controllers; they are killed when this is dropped.
#[derive(Clone)]
pub struct Nodes {
    children: Arc<Mutex<Vec<Option<Child>>>>,
    command: Vec<String>,
    folder: PathBuf,
}

/// Addresses for each controller: users' and peers' sides, and the gateway's two. They are on a loopback address of this
/// process alone, and below the ports that connections are given, so nobody else comes by them.
pub fn addresses() -> io::Result<[Vec<SocketAddr>; 4]> {
    let pid = std::process::id();
    let host = Ipv4Addr::new(127, 1 + (pid / 250 % 250) as u8, 1 + (pid % 250) as u8, 1);
    let all: Vec<SocketAddr> = (0..4 * NODES as u16)
        .map(|k| SocketAddr::from((host, 12_000 + k)))
        .collect();
    for addr in &all {
        TcpListener::bind(addr)?;
    }
    let of = |k: usize| all[k * NODES..(k + 1) * NODES].to_vec();
    Ok([of(0), of(1), of(2), of(3)])
}

/// The `run` command of the deploy file.
fn run_command() -> Result<Vec<String>, String> {
    let text = fs::read_to_string("deploy/service.toml").map_err(|e| e.to_string())?;
    let table: toml::Table = text
        .parse()
        .map_err(|e| format!("deploy/service.toml: {e}"))?;
    let run = table
        .get("run")
        .and_then(|r| r.as_str())
        .ok_or("deploy/service.toml: no run")?;
    Ok(run.split_whitespace().map(str::to_owned).collect())
}

fn settings(
    site: &Site,
    n: usize,
    clients: &[SocketAddr],
    peers: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
) -> Value {
    let hall = |n: usize| site.halls[n % site.halls.len()];
    let others: Vec<Value> = (0..NODES)
        .filter(|k| *k != n)
        .map(|k| json!({"node": format!("burrow-{k}"), "domain": hall(k), "address": peers[k].to_string()}))
        .collect();
    json!({"node": format!("burrow-{n}"), "domain": hall(n), "client_listen": clients[n].to_string(),
        "peer_bind": peers[n].to_string(), "peers": others,
        "endpoints": {"cloud": cloud.to_string(), "state": state.to_string()},
        "cluster": site.cluster(NODES, REPORT_MS as f64 / 1000.0),
        "clock_error_ms": site.clock_error_ms()})
}

impl Nodes {
    /// Writes the settings of all controllers and starts them.
    pub fn start(
        site: &Site,
        folder: &Path,
        clients: &[SocketAddr],
        peers: &[SocketAddr],
        cloud: SocketAddr,
        state: SocketAddr,
    ) -> Result<Nodes, String> {
        let nodes = Nodes {
            children: Arc::new(Mutex::new((0..NODES).map(|_| None).collect())),
            command: run_command()?,
            folder: folder.to_owned(),
        };
        for n in 0..NODES {
            let text = settings(site, n, clients, peers, cloud, state).to_string();
            fs::write(nodes.file(n), text).map_err(|e| e.to_string())?;
        }
        for n in 0..NODES {
            nodes.run(n, &[])?;
        }
        Ok(nodes)
    }

    fn file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("burrow-{n}.json"))
    }

    /// Starts a controller, with further variables.
    pub fn run(&self, n: usize, variables: &[(&str, &Path)]) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("burrow-{n}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .arg(self.file(n))
            .envs(variables.iter().copied())
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.command[0]))?;
        self.lock()[n] = Some(child);
        Ok(())
    }

    /// Writes a file for a controller and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.folder.join(name);
        fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Option<Child>>> {
        self.children.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether all controllers run.
    pub fn all_run(&self) -> bool {
        self.lock()
            .iter_mut()
            .all(|c| c.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None))))
    }

    pub fn kill(&self, n: usize) {
        if let Some(mut child) = self.lock()[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn kill_all(&self) {
        (0..NODES).for_each(|n| self.kill(n));
    }
}
