//! One process: the network thread that turns sockets into events for the controller, and back.

use control::{Dest, Effect, Event, Node, Now, Tuning};
use net::{ConnId, Door, Net, Outgoing};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::settings::Settings;

const STATS_EVERY: Duration = Duration::from_secs(30);

pub struct Service {
    net: Net,
    node: Node,
    start: Instant,
    state: SocketAddr,
    cloud: SocketAddr,
    peers: Vec<SocketAddr>,
    conns: HashMap<u64, ConnId>,
    next_conn: u64,
    logged: Instant,
}

fn addr(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|e| format!("{name}: {text:?}: {e}"))
}

/// Milliseconds: the steady clock starts well above 0, so that "long ago" can be said.
fn now(start: Instant) -> Now {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { mono: 1_000_000 + start.elapsed().as_millis() as u64, wall: wall.as_millis() as u64 }
}

impl Service {
    pub fn new(settings: Settings, tuning: Tuning, tree: Option<quota::Spec>) -> Result<Self, String> {
        let mut net = Net::new(settings.limits().max_sockets).map_err(|e| format!("event loop: {e}"))?;
        for (name, text, door) in [
            ("client_listen", &settings.listen, Door::Clients),
            ("peer_bind", &settings.peer_listen, Door::Peers),
        ] {
            net.listen(addr(name, text)?, door)
                .map_err(|e| format!("{name}: can't listen on {text}: {e}"))?;
        }
        let start = Instant::now();
        let state = addr("endpoints.state", &settings.endpoints.state)?;
        let cloud = addr("endpoints.cloud", &settings.endpoints.cloud)?;
        let peers = settings.peers.iter().map(|p| addr("peers", &p.addr)).collect::<Result<_, _>>()?;
        log::info!("{} listens on {}", settings.node, settings.listen);
        // The seed only spreads retries; two nodes must not share it.
        let seed = fastrand::u64(..);
        let node = Node::new(settings, tuning, seed, now(start)).with_first_tree(tree);
        Ok(Service {
            net,
            node,
            start,
            state,
            cloud,
            peers,
            conns: HashMap::new(),
            next_conn: 1,
            logged: start,
        })
    }

    /// Runs until the process is ended.
    pub fn run(mut self) -> Result<(), String> {
        let mut ticked = Instant::now();
        self.feed(Event::Tick);
        loop {
            let wait = Duration::from_millis(self.node.wait_ms());
            let left = (ticked + wait).saturating_duration_since(Instant::now());
            let events = self.net.poll(left).map_err(|e| format!("event loop: {e}"))?;
            for event in events {
                match event {
                    net::Event::Request { conn, door, request } => {
                        let id = self.next_conn;
                        self.next_conn += 1;
                        self.conns.insert(id, conn);
                        self.feed(match door {
                            Door::Clients => Event::Client { conn: id, request },
                            Door::Peers => Event::Peer { conn: id, request },
                            Door::Raw(_) => continue,
                        });
                    }
                    net::Event::Opened { .. } | net::Event::Bytes { .. } | net::Event::Closed { .. } => {}
                    net::Event::Reply { tag, response } => self.feed(Event::Reply { tag, response }),
                }
            }
            if ticked.elapsed() >= wait {
                ticked = Instant::now();
                self.feed(Event::Tick);
            }
            if self.logged.elapsed() >= STATS_EVERY {
                self.logged = Instant::now();
                log::info!("{}: {:?}", self.node.role_name(), self.node.stats());
            }
        }
    }

    fn feed(&mut self, event: Event) {
        for effect in self.node.handle(now(self.start), event) {
            match effect {
                Effect::Side { .. } => {}
                Effect::Respond { conn, response } => {
                    if let Some(id) = self.conns.remove(&conn) {
                        self.net.respond(id, response);
                    }
                }
                Effect::Send { tag, to, method, path, body, timeout_ms, answer_limit } => {
                    let to = match to {
                        Dest::State => self.state,
                        Dest::Cloud => self.cloud,
                        Dest::Peer(i) => self.peers[i],
                        Dest::Worker(addr) => addr,
                    };
                    let timeout = Duration::from_millis(timeout_ms);
                    self.net.send(Outgoing {
                        tag,
                        to,
                        method,
                        path: &path,
                        body: &body,
                        timeout,
                        answer_limit,
                    });
                }
            }
        }
    }
}
