//! The controller process: one thread that translates network events into events for the controller, and the
//! controller's effects into network calls.

use control::overload::precedence::{Backlog, Next, Precedence};
use control::{Destination, Effect, Event, Node, Now, Tuning};
use gateway::served::{Gateway, Out, Raw, Served};
use net::{ConnId, Door, Net, Outgoing};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::http::Request;
use wire::settings::Settings;

/// Listeners of the YARN gateway.
const RPC_LISTENER: Door = Door::Raw(0);
const WEB_LISTENER: Door = Door::Raw(1);
/// How long the backlog is served before the network is polled again.
const SERVE_SLICE: Duration = Duration::from_millis(20);
const STATS_INTERVAL: Duration = Duration::from_secs(30);

/// Documents to use where the deployment has never had any of that kind.
pub struct InitialDocuments {
    pub tree: Option<quota::Spec>,
    pub hours: Option<hours::Spec>,
    pub counties: Option<county::Spec>,
    pub models: Option<model::Spec>,
}

pub struct Service {
    net: Net,
    node: Served,
    start: Instant,
    /// Idle timeout of workers' connections.
    worker_timeout: Duration,
    state: SocketAddr,
    cloud: SocketAddr,
    peers: Vec<SocketAddr>,
    conns: HashMap<u64, ConnId>,
    /// Connections of the gateway's clients: from the gateway's number to the connection, and the reverse.
    raw_conns: HashMap<u64, ConnId>,
    raw_conn_ids: HashMap<ConnId, u64>,
    next_conn: u64,
    /// Events received and not yet handled.
    backlog: Backlog<Event>,
    last_tick: Instant,
    last_stats: Instant,
}

fn parse_addr(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|e| format!("{name}: {text:?}: {e}"))
}

/// The current time in milliseconds. The monotonic clock starts well above 0, so that earlier times can be represented.
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
        initial: InitialDocuments,
        yarn: Option<gateway::Config>,
    ) -> Result<Self, String> {
        let mut net =
            Net::new(settings.limits().max_sockets).map_err(|e| format!("event loop: {e}"))?;
        for (name, text, door) in [
            ("client_listen", &settings.listen, Door::Clients),
            ("peer_bind", &settings.peer_listen, Door::Peers),
        ] {
            net.listen(parse_addr(name, text)?, door)
                .map_err(|e| format!("{name}: can't listen on {text}: {e}"))?;
        }
        if let Some(yarn) = &yarn {
            for (name, at, door) in [
                ("[door] rpc", yarn.rpc, RPC_LISTENER),
                ("[door] web", yarn.web, WEB_LISTENER),
            ] {
                net.listen(at, door)
                    .map_err(|e| format!("{name}: can't listen on {at}: {e}"))?;
            }
            log::info!(
                "YARN gateway listens on {} (RPC) and {} (REST)",
                yarn.rpc,
                yarn.web
            );
        }
        let start = Instant::now();
        let worker_timeout =
            Duration::from_secs_f64((settings.cluster.workers.report_s * 3.0).clamp(1.0, 600.0));
        let state = parse_addr("endpoints.state", &settings.endpoints.state)?;
        let cloud = parse_addr("endpoints.cloud", &settings.endpoints.cloud)?;
        let peers = settings
            .peers
            .iter()
            .map(|p| parse_addr("peers", &p.addr))
            .collect::<Result<_, _>>()?;
        log::info!("{} listens on {}", settings.node, settings.listen);
        // Nodes must not share a seed: it spreads their retries and identifies this incarnation of the node.
        let seed = fastrand::u64(..);
        let node = Node::new(settings, tuning, seed, now(start))
            .with_first_tree(initial.tree)
            .with_first_hours(initial.hours)
            .with_first_counties(initial.counties)
            .with_first_models(initial.models);
        let node = Served::new(
            node,
            yarn.map(|c| Ok::<_, String>(Gateway::new(c, random_secret()?)))
                .transpose()?,
        );
        Ok(Service {
            net,
            node,
            start,
            worker_timeout,
            state,
            cloud,
            peers,
            conns: HashMap::new(),
            raw_conns: HashMap::new(),
            raw_conn_ids: HashMap::new(),
            next_conn: 1,
            backlog: Backlog::default(),
            last_tick: start,
            last_stats: start,
        })
    }

    /// Runs until the process is terminated.
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
                if let Some(event) = self.translate(event) {
                    self.backlog.push(now, Precedence::of(&event), event);
                }
            }
            self.serve_backlog();
            self.tick_if_due();
            self.log_stats_if_due();
        }
    }

    /// Handles events of the backlog for at most [`SERVE_SLICE`]. A tick that becomes due meanwhile runs at once.
    fn serve_backlog(&mut self) {
        let until = Instant::now() + SERVE_SLICE;
        while Instant::now() < until {
            match self.backlog.pop(now(self.start).mono) {
                Some(Next::Serve(event)) => self.handle_if_awaited(event),
                Some(Next::Refuse(Event::Client { conn, .. })) => {
                    self.handle(Event::Late { conn });
                }
                Some(Next::Refuse(event)) => self.handle(event),
                None => return,
            }
            self.tick_if_due();
        }
    }

    /// Handles an event, but drops a request whose client no longer waits for the response.
    fn handle_if_awaited(&mut self, event: Event) {
        if let Event::Client { conn, .. } | Event::Peer { conn, .. } = &event
            && let Some(id) = self.conns.get(conn)
            && !self.net.is_awaiting_response(*id)
        {
            self.conns.remove(conn);
            return;
        }
        self.handle(event);
    }

    fn next_tick(&self) -> Instant {
        self.last_tick + Duration::from_millis(self.node.node().wait_ms())
    }

    fn tick_if_due(&mut self) {
        if Instant::now() >= self.next_tick() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.last_tick = Instant::now();
        self.handle(Event::Tick);
    }

    fn log_stats_if_due(&mut self) {
        if self.last_stats.elapsed() < STATS_INTERVAL {
            return;
        }
        self.last_stats = Instant::now();
        let node = self.node.node();
        if let Some(tokens) = node.tokens() {
            log::info!("{}: tokens {tokens:?}", node.role_name());
        }
        log::info!("{}: {:?}", node.role_name(), node.stats());
        if let Some(book) = self.node.book() {
            log::info!("yarn: {:?}", book.counts());
        }
    }

    /// Translates a network event into a controller event. Events of raw connections go to the gateway at once.
    fn translate(&mut self, event: net::Event) -> Option<Event> {
        match event {
            net::Event::Request {
                conn,
                door,
                request,
            } => return self.translate_request(conn, door, request),
            net::Event::Opened { conn, door, from } => {
                let id = self.next_conn;
                self.next_conn += 1;
                self.raw_conns.insert(id, conn);
                self.raw_conn_ids.insert(conn, id);
                let opened = Raw::Opened {
                    web: door == WEB_LISTENER,
                    from: from.ip(),
                };
                self.handle_raw(id, opened);
            }
            net::Event::Bytes { conn, bytes } => {
                if let Some(id) = self.raw_conn_ids.get(&conn).copied() {
                    self.handle_raw(id, Raw::Bytes(bytes));
                }
            }
            net::Event::Closed { conn } => {
                if let Some(id) = self.raw_conn_ids.remove(&conn) {
                    self.raw_conns.remove(&id);
                    self.handle_raw(id, Raw::Closed);
                }
            }
            net::Event::Reply { tag, response } => return Some(Event::Reply { tag, response }),
            net::Event::Unsent { tag } => return Some(Event::Unsent { tag }),
        }
        None
    }

    fn translate_request(&mut self, conn: ConnId, door: Door, request: Request) -> Option<Event> {
        let id = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(id, conn);
        if door == Door::Clients && request.path == "/hello" {
            self.net.mark_periodic(conn, self.worker_timeout);
        }
        match door {
            Door::Clients => Some(Event::Client { conn: id, request }),
            Door::Peers => Some(Event::Peer { conn: id, request }),
            // Raw listeners deliver bytes rather than requests, and this process simulates no hosts.
            Door::Raw(_) | Door::Host(_) => None,
        }
    }

    fn handle(&mut self, event: Event) {
        let outputs = self.node.handle(now(self.start), event);
        self.apply(outputs);
    }

    fn handle_raw(&mut self, conn: u64, event: Raw) {
        let outputs = self.node.raw(now(self.start), conn, event);
        self.apply(outputs);
    }

    fn apply(&mut self, outputs: Vec<Out>) {
        for output in outputs {
            match output {
                Out::Node(effect) => self.apply_effect(effect),
                Out::Write { conn, bytes } => {
                    if let Some(id) = self.raw_conns.get(&conn) {
                        self.net.write(*id, &bytes);
                    }
                }
                Out::Close { conn } => {
                    if let Some(id) = self.raw_conns.get(&conn) {
                        self.net.finish(*id);
                    }
                }
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
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
                // Each worker gets requests only rarely, the other destinations all the time.
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
            // Effects for the gateway are handled by `Served` and don't reach this point.
            Effect::Frontend { .. } => {}
        }
    }
}

/// Returns random bytes for the gateway's keys.
fn random_secret() -> Result<[u8; 32], String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|e| format!("random bytes: {e}"))?;
    Ok(bytes)
}
