//! One process: the network thread that turns sockets into events for the controller, and back.

use control::overload::precedence::{Backlog, Next, Precedence};
use control::{Destination, Effect, Event, Node, Now, Tuning};
use gateway::served::{Gateway, Out, Raw, Served};
use net::{ConnId, Door, Net, Outgoing};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::http::Request;
use wire::settings::Settings;

/// Numbers of the gateway's doors.
const RPC: Door = Door::Raw(0);
const WEB: Door = Door::Raw(1);
/// What has come in is served for so long before the network is looked at again.
const SLICE: Duration = Duration::from_millis(20);
const STATS_EVERY: Duration = Duration::from_secs(30);

/// Documents to begin with, where there have never been any.
pub struct First {
    pub tree: Option<quota::Spec>,
    pub hours: Option<hours::Spec>,
    pub counties: Option<county::Spec>,
    pub models: Option<model::Spec>,
}

pub struct Service {
    net: Net,
    node: Served,
    start: Instant,
    /// A worker's connection that says nothing for so long is over.
    silent: Duration,
    state: SocketAddr,
    cloud: SocketAddr,
    peers: Vec<SocketAddr>,
    conns: HashMap<u64, ConnId>,
    /// Connections of the gateway's clients, both ways.
    raw: HashMap<u64, ConnId>,
    raw_ids: HashMap<ConnId, u64>,
    next_conn: u64,
    /// What has come in and is still to be served.
    backlog: Backlog<Event>,
    ticked: Instant,
    logged: Instant,
}

fn addr(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|e| format!("{name}: {text:?}: {e}"))
}

/// Milliseconds: the steady clock starts well above 0, so that "long ago" can be said.
fn now(start: Instant) -> Now {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Now {
        mono: 1_000_000 + start.elapsed().as_millis() as u64,
        wall: wall.as_millis() as u64,
    }
}

impl Service {
    pub fn new(
        settings: Settings,
        tuning: Tuning,
        first: First,
        yarn: Option<gateway::Config>,
    ) -> Result<Self, String> {
        let mut net =
            Net::new(settings.limits().max_sockets).map_err(|e| format!("event loop: {e}"))?;
        for (name, text, door) in [
            ("client_listen", &settings.listen, Door::Clients),
            ("peer_bind", &settings.peer_listen, Door::Peers),
        ] {
            net.listen(addr(name, text)?, door)
                .map_err(|e| format!("{name}: can't listen on {text}: {e}"))?;
        }
        if let Some(yarn) = &yarn {
            for (name, at, door) in [("[door] rpc", yarn.rpc, RPC), ("[door] web", yarn.web, WEB)] {
                net.listen(at, door)
                    .map_err(|e| format!("{name}: can't listen on {at}: {e}"))?;
            }
            log::info!(
                "YARN's clients are served on {} (RPC) and {} (REST)",
                yarn.rpc,
                yarn.web
            );
        }
        let start = Instant::now();
        let silent =
            Duration::from_secs_f64((settings.cluster.workers.report_s * 3.0).clamp(1.0, 600.0));
        let state = addr("endpoints.state", &settings.endpoints.state)?;
        let cloud = addr("endpoints.cloud", &settings.endpoints.cloud)?;
        let peers = settings
            .peers
            .iter()
            .map(|p| addr("peers", &p.addr))
            .collect::<Result<_, _>>()?;
        log::info!("{} listens on {}", settings.node, settings.listen);
        // The seed only spreads retries; two nodes must not share it.
        let seed = fastrand::u64(..);
        let node = Node::new(settings, tuning, seed, now(start))
            .with_first_tree(first.tree)
            .with_first_hours(first.hours)
            .with_first_counties(first.counties)
            .with_first_models(first.models);
        let node = Served::new(
            node,
            yarn.map(|c| Ok::<_, String>(Gateway::new(c, secret()?)))
                .transpose()?,
        );
        Ok(Service {
            net,
            node,
            start,
            silent,
            state,
            cloud,
            peers,
            conns: HashMap::new(),
            raw: HashMap::new(),
            raw_ids: HashMap::new(),
            next_conn: 1,
            backlog: Backlog::default(),
            ticked: start,
            logged: start,
        })
    }

    /// Runs until the process is ended.
    pub fn run(mut self) -> Result<(), String> {
        self.tick();
        loop {
            let wait = match self.backlog.is_empty() {
                true => self.next_tick().saturating_duration_since(Instant::now()),
                false => Duration::ZERO,
            };
            let events = self
                .net
                .poll(wait)
                .map_err(|e| format!("event loop: {e}"))?;
            let now = now(self.start).mono;
            for event in events {
                if let Some(event) = self.take_in(event) {
                    self.backlog.push(now, Precedence::of(&event), event);
                }
            }
            self.serve();
            self.tick_if_due();
            self.log_now_and_then();
        }
    }

    /// Serves what waits, until it is time to look for what has come meanwhile. A tick that is due does not wait.
    fn serve(&mut self) {
        let until = Instant::now() + SLICE;
        while Instant::now() < until {
            match self.backlog.pop(now(self.start).mono) {
                Some(Next::Serve(event)) => self.feed_if_asked(event),
                Some(Next::Refuse(Event::Client { conn, .. })) => {
                    self.feed(Event::Late { conn });
                }
                Some(Next::Refuse(event)) => self.feed(event),
                None => return,
            }
            self.tick_if_due();
        }
    }

    /// What nobody waits for any more is dropped.
    fn feed_if_asked(&mut self, event: Event) {
        if let Event::Client { conn, .. } | Event::Peer { conn, .. } = &event
            && let Some(id) = self.conns.get(conn)
            && !self.net.is_awaiting_response(*id)
        {
            self.conns.remove(conn);
            return;
        }
        self.feed(event);
    }

    fn next_tick(&self) -> Instant {
        self.ticked + Duration::from_millis(self.node.node().wait_ms())
    }

    fn tick_if_due(&mut self) {
        if Instant::now() >= self.next_tick() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.ticked = Instant::now();
        self.feed(Event::Tick);
    }

    fn log_now_and_then(&mut self) {
        if self.logged.elapsed() < STATS_EVERY {
            return;
        }
        self.logged = Instant::now();
        let node = self.node.node();
        log::info!("{}: {:?}", node.role_name(), node.stats());
        if let Some(book) = self.node.book() {
            log::info!("yarn: {:?}", book.counts());
        }
    }

    /// What has come in by the network, as the controller takes it. The gateway is given its bytes at once.
    fn take_in(&mut self, event: net::Event) -> Option<Event> {
        match event {
            net::Event::Request {
                conn,
                door,
                request,
            } => return self.requested(conn, door, request),
            net::Event::Opened { conn, door, from } => {
                let id = self.next_conn;
                self.next_conn += 1;
                self.raw.insert(id, conn);
                self.raw_ids.insert(conn, id);
                let opened = Raw::Opened {
                    web: door == WEB,
                    from: from.ip(),
                };
                self.feed_raw(id, opened);
            }
            net::Event::Bytes { conn, bytes } => {
                if let Some(id) = self.raw_ids.get(&conn).copied() {
                    self.feed_raw(id, Raw::Bytes(bytes));
                }
            }
            net::Event::Closed { conn } => {
                if let Some(id) = self.raw_ids.remove(&conn) {
                    self.raw.remove(&id);
                    self.feed_raw(id, Raw::Closed);
                }
            }
            net::Event::Reply { tag, response } => return Some(Event::Reply { tag, response }),
            net::Event::Unsent { tag } => return Some(Event::Unsent { tag }),
        }
        None
    }

    fn requested(&mut self, conn: ConnId, door: Door, request: Request) -> Option<Event> {
        let id = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(id, conn);
        if door == Door::Clients && request.path == "/hello" {
            self.net.mark_periodic(conn, self.silent);
        }
        match door {
            Door::Clients => Some(Event::Client { conn: id, request }),
            Door::Peers => Some(Event::Peer { conn: id, request }),
            // Raw doors hand over bytes, and no hosts are played here.
            Door::Raw(_) | Door::Host(_) => None,
        }
    }

    fn feed(&mut self, event: Event) {
        let outs = self.node.handle(now(self.start), event);
        self.carry_out(outs);
    }

    fn feed_raw(&mut self, conn: u64, event: Raw) {
        let outs = self.node.raw(now(self.start), conn, event);
        self.carry_out(outs);
    }

    fn carry_out(&mut self, outs: Vec<Out>) {
        for out in outs {
            match out {
                Out::Node(effect) => self.carry_out_one(effect),
                Out::Write { conn, bytes } => {
                    if let Some(id) = self.raw.get(&conn) {
                        self.net.write(*id, &bytes);
                    }
                }
                Out::Close { conn } => {
                    if let Some(id) = self.raw.get(&conn) {
                        self.net.finish(*id);
                    }
                }
            }
        }
    }

    fn carry_out_one(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { conn, response } => {
                if let Some(id) = self.conns.remove(&conn) {
                    self.net.respond(id, response);
                }
            }
            Effect::Send {
                tag,
                to,
                method,
                path,
                body,
                timeout_ms,
                answer_limit,
            } => {
                // A worker is told something now and then; the others are always being asked.
                let (to, keep) = match to {
                    Destination::State => (self.state, net::KEEP),
                    Destination::Cloud => (self.cloud, net::KEEP),
                    Destination::Peer(i) => (self.peers[i], net::KEEP),
                    Destination::Worker(addr) => (addr, net::KEEP_SHORT),
                };
                let timeout = Duration::from_millis(timeout_ms);
                let (path, body) = (path.as_str(), body.as_slice());
                self.net.send(Outgoing {
                    tag,
                    to,
                    method,
                    path,
                    body,
                    timeout,
                    answer_limit,
                    keep,
                    lane: 0,
                });
            }
            // The gateway's own requests have ended with it.
            Effect::Frontend { .. } => {}
        }
    }
}

/// Random bytes for the gateway's keys.
fn secret() -> Result<[u8; 32], String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|e| format!("random bytes: {e}"))?;
    Ok(bytes)
}
