//! The load balancer in front of the controllers, as the protocol describes it, and cuts between hosts.

use crate::net::ask;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Probes of a node in a row that make it unhealthy, or healthy again.
const PROBES: u32 = 2;
/// Connections to a node that has been unhealthy for this time are reset.
const RESET_AFTER: Duration = Duration::from_secs(5);

struct Node {
    addr: SocketAddr,
    healthy: bool,
    ever: bool,
    good: u32,
    bad: u32,
    unhealthy_since: Option<Instant>,
    /// Clients' ends of the open connections to it, by number.
    open: BTreeMap<u64, TcpStream>,
}

/// A connection-level load balancer: it does not look into requests, and does not move open connections.
pub struct Balancer {
    pub addr: SocketAddr,
    nodes: Arc<Mutex<Vec<Node>>>,
}

impl Balancer {
    pub fn start(nodes: &[SocketAddr]) -> io::Result<Balancer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let node = |addr: &SocketAddr| Node {
            addr: *addr,
            healthy: false,
            ever: false,
            good: 0,
            bad: 0,
            unhealthy_since: None,
            open: BTreeMap::new(),
        };
        let nodes = Arc::new(Mutex::new(nodes.iter().map(node).collect::<Vec<_>>()));
        let all = nodes.clone();
        thread::spawn(move || {
            loop {
                probe(&all);
                sleep(Duration::from_secs(1));
            }
        });
        let all = nodes.clone();
        thread::spawn(move || {
            for (number, client) in listener.incoming().flatten().enumerate() {
                connect(&all, client, number as u64);
            }
        });
        Ok(Balancer { addr, nodes })
    }

    /// Whether all nodes are healthy.
    pub fn is_ready(&self) -> bool {
        self.nodes.lock().expect("lock").iter().all(|n| n.healthy)
    }

    /// The nodes that are healthy now, by their position.
    pub fn healthy(&self) -> Vec<usize> {
        let nodes = self.nodes.lock().expect("lock");
        (0..nodes.len()).filter(|n| nodes[*n].healthy).collect()
    }
}

fn probe(nodes: &Mutex<Vec<Node>>) {
    let all: Vec<SocketAddr> = nodes.lock().expect("lock").iter().map(|n| n.addr).collect();
    for (at, addr) in all.into_iter().enumerate() {
        let answer = ask(addr, "GET", "/ready", &[], Duration::from_secs(1));
        let good = answer.is_some_and(|r| r.status == 200);
        let mut nodes = nodes.lock().expect("lock");
        let node = &mut nodes[at];
        (node.good, node.bad) = if good {
            (node.good + 1, 0)
        } else {
            (0, node.bad + 1)
        };
        if node.good >= PROBES || (good && !node.ever) {
            (node.healthy, node.ever, node.unhealthy_since) = (true, true, None);
        } else if node.bad >= PROBES && node.healthy {
            (node.healthy, node.unhealthy_since) = (false, Some(Instant::now()));
        }
        if node
            .unhealthy_since
            .is_some_and(|at| at.elapsed() >= RESET_AFTER)
        {
            for stream in std::mem::take(&mut node.open).into_values() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Connects a client with the healthy node that has the fewest open connections.
fn connect(nodes: &Arc<Mutex<Vec<Node>>>, client: TcpStream, number: u64) {
    let mut all = nodes.lock().expect("lock");
    let healthy = (0..all.len()).filter(|n| all[*n].healthy);
    let Some(at) = healthy.min_by_key(|n| all[*n].open.len()) else {
        return;
    };
    let Ok(server) = TcpStream::connect_timeout(&all[at].addr, Duration::from_millis(500)) else {
        return;
    };
    all[at].open.extend(client.try_clone().map(|c| (number, c)));
    let never = Arc::new(AtomicBool::new(false));
    let nodes = nodes.clone();
    let closed = move || {
        nodes.lock().expect("lock")[at].open.remove(&number);
    };
    pump(&client, &server, &never, closed);
    pump(&server, &client, &never, || {});
}

/// Copies bytes one way until the connection ends; while the way is cut, they are held.
fn pump(
    from: &TcpStream,
    to: &TcpStream,
    cut: &Arc<AtomicBool>,
    closed: impl FnOnce() + Send + 'static,
) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let cut = cut.clone();
    thread::spawn(move || {
        let mut chunk = [0; 8192];
        loop {
            let n = from.read(&mut chunk).unwrap_or(0);
            while cut.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(20));
            }
            if n == 0 || to.write_all(&chunk[..n]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return closed();
            }
        }
    });
}

/// A way to an address that can be cut: nothing passes then, and what was sent is held.
pub fn way_to(target: SocketAddr, cut: &Arc<AtomicBool>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let cut = cut.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || {
                while cut.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(20));
                }
                if let Ok(server) = TcpStream::connect(target) {
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    pump(&client, &server, &cut, || {});
                    pump(&server, &client, &cut, || {});
                }
            });
        }
    });
    Ok(addr)
}
