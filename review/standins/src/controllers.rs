//! The controllers: processes that the deploy file's command starts, each with a settings file in a temporary folder.

use crate::net::ask;
use crate::world::World;
use serde_json::Value;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;
use wire::http::Response;

/// Processes that run, for [`end_all`].
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all controllers at once, for a case that takes too long.
pub fn end_all() {
    for id in RUNNING.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
    }
    let _ = std::fs::remove_dir_all(folder());
}

/// The temporary folder of this run.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("stoathatch-review-{}", std::process::id()))
}

pub struct Controllers {
    /// Program and arguments before the settings file.
    run: Vec<String>,
    folder: PathBuf,
    files: Vec<PathBuf>,
    pub children: Vec<Option<Child>>,
    pub clients: Vec<SocketAddr>,
    pub envs: Vec<(String, String)>,
    world: World,
}

/// Distinct free ports on loopback.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let held: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}

impl Controllers {
    /// Writes the settings and starts a controller for each zone given. `cluster` is that part of the settings.
    pub fn start(
        world: &World,
        zones: &[&str],
        cluster: &Value,
        proxied: impl Fn(usize, usize, SocketAddr) -> SocketAddr,
    ) -> io::Result<Self> {
        let run =
            std::env::var("RUN").unwrap_or_else(|_| "target/release/stoathatch --config".into());
        let folder = folder();
        std::fs::create_dir_all(&folder)?;
        let n = zones.len();
        let ports = free_ports(2 * n)?;
        let (clients, peers) = (ports[..n].to_vec(), ports[n..].to_vec());
        let mut files = Vec::new();
        for node in 0..n {
            let others: Vec<Value> = (0..n)
                .filter(|o| *o != node)
                .map(|o| serde_json::json!({"node": format!("burrow-{o}"), "domain": zones[o], "address": proxied(node, o, peers[o]).to_string()}))
                .collect();
            let settings = serde_json::json!({
                "node": format!("burrow-{node}"), "domain": zones[node],
                "client_listen": clients[node].to_string(), "peer_bind": peers[node].to_string(),
                "peers": others,
                "endpoints": {"cloud": world.cloud.to_string(), "state": world.state_for(node)?.to_string()},
                "cluster": cluster,
            });
            let file = folder.join(format!("burrow-{node}.json"));
            std::fs::write(&file, settings.to_string())?;
            files.push(file);
        }
        *world.nodes.lock().expect("lock") = clients
            .iter()
            .enumerate()
            .map(|(i, a)| (format!("burrow-{i}"), *a))
            .collect();
        let mut c = Controllers {
            run: run.split_whitespace().map(str::to_owned).collect(),
            folder,
            files,
            children: (0..n).map(|_| None).collect(),
            clients,
            envs: Vec::new(),
            world: world.clone(),
        };
        for node in 0..n {
            c.spawn(node)?;
        }
        Ok(c)
    }

    pub fn spawn(&mut self, node: usize) -> io::Result<()> {
        let log = self.folder.join(format!("burrow-{node}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&self.files[node])
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
            )
            .envs(self.envs.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.world
            .record(&format!("controller burrow-{node}: started"));
        RUNNING.lock().expect("lock").push(child.id());
        self.children[node] = Some(child);
        Ok(())
    }

    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            RUNNING.lock().expect("lock").retain(|id| *id != child.id());
            let _ = child.wait();
            self.world
                .record(&format!("controller burrow-{node}: killed"));
        }
    }

    /// Nodes whose process has ended by itself.
    pub fn ended(&mut self) -> Vec<(usize, String)> {
        let mut out = Vec::new();
        for (n, child) in self.children.iter_mut().enumerate() {
            if let Some(c) = child
                && let Ok(Some(status)) = c.try_wait()
            {
                out.push((n, status.to_string()));
            }
        }
        out
    }

    /// The end of a controller's log.
    pub fn log_of(&self, node: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("burrow-{node}.log"))).unwrap_or_default()
    }

    /// One request of a user to one node, recorded.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Response> {
        let response = ask(self.clients[node], method, path, body, timeout);
        let said = response.as_ref().map_or("no response".to_owned(), |r| {
            let body = wire::decode::<Value>(&r.body).map_or(String::new(), |v| v.to_string());
            format!("{} {body}", r.status)
        });
        self.world
            .record(&format!("user: {method} {path} at burrow-{node}: {said}"));
        response
    }

    /// A request of a user, repeated at one node after the other until it is answered with something other than 429
    /// and 503, for at most `within`.
    pub fn ask_until(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Option<Response> {
        let end = std::time::Instant::now() + within;
        let mut node = 0;
        while std::time::Instant::now() < end {
            let n = node % self.clients.len();
            node += 1;
            if self.children[n].is_none() {
                continue;
            }
            match self.ask(n, method, path, body, Duration::from_secs(5)) {
                Some(r) if r.status != 429 && r.status != 503 => return Some(r),
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|n| self.kill(n));
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
