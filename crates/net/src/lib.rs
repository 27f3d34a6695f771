//! The event loop of stoathatch: an HTTP/1.1 server and client over `mio`, on one thread, with bounds on connections,
//! buffers and waiting times. It is independent of the scheduler.

mod conn;
mod shares;

use conn::{Conn, Direction, Phase, ReadOutcome};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use shares::SocketLimits;
pub use shares::{KEEP, KEEP_SHORT};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::http::{self, Request, Response};

/// Identifies an inbound connection. An id whose connection has closed is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnId {
    slot: usize,
    generation: u32,
}

/// The listener on which a connection was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    Clients,
    Peers,
    /// Unparsed bytes, for a protocol that the caller implements; the number is the caller's.
    Raw(u8),
    /// HTTP requests to one of many hosts that this process simulates; the number is the caller's.
    Host(u32),
}

impl Door {
    /// Largest request body. Operators use the peers' listener and send whole quota trees.
    fn body_limit(self) -> usize {
        match self {
            Door::Clients => wire::api::BODY_LIMIT,
            Door::Peers | Door::Host(_) => wire::admin::BODY_LIMIT,
            Door::Raw(_) => RAW_READ_LIMIT,
        }
    }
}

#[derive(Debug)]
pub enum Event {
    Request {
        conn: ConnId,
        door: Door,
        request: Request,
    },
    /// A raw connection was accepted. [`Event::Bytes`] follow, and [`Event::Closed`] exactly once at its end.
    Opened {
        conn: ConnId,
        door: Door,
        from: SocketAddr,
    },
    Bytes {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    Closed {
        conn: ConnId,
    },
    /// An outbound request has ended: with a response, or with `None` if it failed or timed out.
    Reply {
        tag: u64,
        response: Option<Response>,
    },
    /// No socket was available for an outbound request; no byte of it was sent.
    Unsent {
        tag: u64,
    },
}

/// A request to another host.
#[derive(Debug)]
pub struct Outgoing<'a> {
    pub tag: u64,
    pub to: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
    pub timeout: Duration,
    pub answer_limit: usize,
    /// How long the connection is kept open for further requests: [`KEEP`], or [`KEEP_SHORT`] for one of many rarely
    /// queried hosts. A connection with a short `keep` is opened only while enough sockets remain for other requests.
    pub keep: Duration,
    /// Idle connections are reused within a lane only. A process that simulates many hosts uses one lane for each.
    pub lane: u32,
}

/// Traffic of all inbound or of all outbound connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    /// Bytes, HTTP headers included.
    pub received: u64,
    pub sent: u64,
    /// Connections opened so far.
    pub connections: u64,
}

impl Flow {
    fn add(&mut self, other: Flow) {
        self.received += other.received;
        self.sent += other.sent;
        self.connections += other.connections;
    }
}

/// Traffic since the event loop was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// On inbound connections.
    pub served: Flow,
    /// On outbound connections.
    pub asked: Flow,
}

impl Traffic {
    fn add(&mut self, conn: &Conn) {
        let flow = Flow {
            received: conn.received,
            sent: conn.sent,
            connections: 1,
        };
        match conn.direction {
            Direction::Inbound(_) => self.served.add(flow),
            Direction::Outbound { .. } => self.asked.add(flow),
        }
    }
}

const WAKE_TOKEN: Token = Token(usize::MAX);
/// Tokens from this value on identify listeners, smaller ones identify connections.
const FIRST_LISTENER_TOKEN: usize = usize::MAX / 2;
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time in which an inbound request has to arrive completely, or its response has to be written.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// A raw connection that receives nothing for this time is closed.
const RAW_IDLE_TIMEOUT: Duration = Duration::from_secs(180);
/// Raw connections: how many buffered bytes end a read; the rest is read in the next turn.
const RAW_READ_LIMIT: usize = 256 << 10;
/// A raw connection with more unsent bytes than this is closed, since its client does not read.
const RAW_WRITE_BUFFER_LIMIT: usize = 8 << 20;
/// Largest number of idle connections kept per host and lane.
const MAX_IDLE_PER_HOST: usize = 8;

pub struct Net {
    poll: Poll,
    events: Events,
    listeners: Vec<(TcpListener, Door)>,
    /// Listeners whose last accept failed. Connections may still be pending there, but the poll does not report them
    /// again, so accepting is retried in each sweep.
    accept_retries: BTreeSet<usize>,
    conns: Vec<Option<Conn>>,
    free_slots: Vec<usize>,
    generation: u32,
    /// Slots of idle outbound connections by host and lane.
    idle_pool: HashMap<(SocketAddr, u32), Vec<usize>>,
    /// Traffic of connections that have been closed.
    closed_traffic: Traffic,
    limits: SocketLimits,
    /// Open connections: inbound ones, those marked periodic, and all.
    inbound: usize,
    periodic: usize,
    open: usize,
    last_sweep: Instant,
    pending_events: Vec<Event>,
}

impl Net {
    /// `sockets` bounds all sockets together; most of them are for inbound connections.
    pub fn new(sockets: usize) -> io::Result<Self> {
        Ok(Net {
            poll: Poll::new()?,
            events: Events::with_capacity(256),
            listeners: Vec::new(),
            accept_retries: BTreeSet::new(),
            conns: Vec::new(),
            free_slots: Vec::new(),
            generation: 0,
            idle_pool: HashMap::new(),
            closed_traffic: Traffic::default(),
            limits: SocketLimits::for_sockets(sockets),
            inbound: 0,
            periodic: 0,
            open: 0,
            last_sweep: Instant::now(),
            pending_events: Vec::new(),
        })
    }

    /// Opens a listener and returns its address. Port 0 selects any free port.
    pub fn listen(&mut self, addr: SocketAddr, door: Door) -> io::Result<SocketAddr> {
        let mut listener = TcpListener::bind(addr)?;
        let token = Token(FIRST_LISTENER_TOKEN + self.listeners.len());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        let bound = listener.local_addr()?;
        self.listeners.push((listener, door));
        Ok(bound)
    }

    /// Traffic so far on all open and closed connections.
    pub fn traffic(&self) -> Traffic {
        let mut all = self.closed_traffic;
        self.conns.iter().flatten().for_each(|conn| all.add(conn));
        all
    }

    /// Lets another thread end a [`Net::poll`] early.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKE_TOKEN)?))
    }

    /// Waits for at most `timeout` and returns the events that occurred.
    pub fn poll(&mut self, timeout: Duration) -> io::Result<Vec<Event>> {
        let timeout = if self.pending_events.is_empty() {
            timeout.min(SWEEP_INTERVAL)
        } else {
            Duration::ZERO
        };
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        let now = Instant::now();
        let ready: Vec<(Token, bool, bool)> = self
            .events
            .iter()
            .map(|e| {
                (
                    e.token(),
                    e.is_readable() || e.is_read_closed(),
                    e.is_writable(),
                )
            })
            .collect();
        for (token, readable, writable) in ready {
            if token == WAKE_TOKEN {
                continue;
            }
            if token.0 >= FIRST_LISTENER_TOKEN {
                self.accept(token.0 - FIRST_LISTENER_TOKEN, now);
                continue;
            }
            if writable {
                self.on_writable(token.0, now);
            }
            if readable {
                self.on_readable(token.0, now);
            }
        }
        if now.duration_since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
            std::mem::take(&mut self.accept_retries)
                .into_iter()
                .for_each(|index| self.accept(index, now));
        }
        Ok(std::mem::take(&mut self.pending_events))
    }

    fn accept(&mut self, index: usize, now: Instant) {
        loop {
            let (listener, door) = &self.listeners[index];
            let door = *door;
            let (stream, from) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // These errors concern this connection only.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue;
                }
                // File descriptors or the like have run out. The poll does not report the pending connections again,
                // so the sweep retries.
                Err(e) => {
                    log::warn!("net: failed to accept a connection: {e}");
                    self.accept_retries.insert(index);
                    return;
                }
            };
            if self.inbound >= self.limits.inbound {
                self.close_longest_idle_inbound();
            }
            if self.open >= self.limits.total {
                self.close_idle_outbound(1);
            }
            if self.inbound >= self.limits.inbound || self.open >= self.limits.total {
                log::warn!("net: too many connections, rejecting a new one");
                continue;
            }
            let _ = stream.set_nodelay(true);
            let raw = matches!(door, Door::Raw(_));
            let mut conn = Conn::new(
                stream,
                Direction::Inbound(door),
                now + if raw { RAW_IDLE_TIMEOUT } else { IDLE_TIMEOUT },
            );
            if raw {
                conn.phase = Phase::Raw;
            }
            let slot = self.insert(conn, Interest::READABLE).filter(|_| raw);
            if let Some(conn) = slot.and_then(|slot| self.conn_id(slot)) {
                self.pending_events.push(Event::Opened { conn, door, from });
            }
        }
    }

    fn close_longest_idle_inbound(&mut self) {
        let oldest = self
            .conns
            .iter()
            .enumerate()
            .filter_map(|(i, c)| c.as_ref().map(|c| (i, c)))
            .filter(|(_, c)| matches!(c.direction, Direction::Inbound(_)) && c.phase == Phase::Idle)
            .min_by_key(|(_, c)| c.deadline)
            .map(|(i, _)| i);
        if let Some(slot) = oldest {
            self.close(slot);
        }
    }

    /// Closes up to `max` idle outbound connections, the longest idle first.
    fn close_idle_outbound(&mut self, max: usize) {
        let unused = self.conns.iter().enumerate().filter_map(|(i, c)| {
            let c = c.as_ref().filter(|c| {
                matches!(c.direction, Direction::Outbound { .. }) && c.phase == Phase::Idle
            })?;
            Some((c.idle_since, i))
        });
        let mut unused: Vec<(Instant, usize)> = unused.collect();
        unused.sort_unstable();
        unused
            .into_iter()
            .take(max)
            .for_each(|(_, slot)| self.close(slot));
    }

    /// Marks a connection whose client sends requests periodically, without end. While there are more of these than
    /// their limit, responses to them close the connection: they are still served and leave room for others between
    /// their requests. `idle_timeout` should be well above the client's period: a client that has been silent for
    /// longer has gone, or has reconnected.
    pub fn mark_periodic(&mut self, id: ConnId, idle_timeout: Duration) {
        let Some(Some(conn)) = self.conns.get_mut(id.slot) else {
            return;
        };
        if conn.generation == id.generation
            && conn
                .periodic_timeout
                .replace(idle_timeout.min(IDLE_TIMEOUT))
                .is_none()
        {
            self.periodic += 1;
        }
    }

    fn insert(&mut self, mut conn: Conn, interest: Interest) -> Option<usize> {
        self.generation = self.generation.wrapping_add(1);
        conn.generation = self.generation;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.conns.push(None);
            self.conns.len() - 1
        });
        if let Err(e) = self
            .poll
            .registry()
            .register(&mut conn.stream, Token(slot), interest)
        {
            log::warn!("net: failed to register a connection with the poll: {e}");
            self.free_slots.push(slot);
            return None;
        }
        self.open += 1;
        self.inbound += usize::from(matches!(conn.direction, Direction::Inbound(_)));
        self.conns[slot] = Some(conn);
        Some(slot)
    }

    /// Closes a connection. An outbound request in progress on it ends without a response.
    fn close(&mut self, slot: usize) {
        let Some(mut conn) = self.conns.get_mut(slot).and_then(Option::take) else {
            return;
        };
        self.closed_traffic.add(&conn);
        let _ = self.poll.registry().deregister(&mut conn.stream);
        self.free_slots.push(slot);
        self.open -= 1;
        self.periodic -= usize::from(conn.periodic_timeout.is_some());
        match conn.direction {
            Direction::Inbound(door) => {
                self.inbound -= 1;
                if matches!(door, Door::Raw(_)) {
                    let conn = ConnId {
                        slot,
                        generation: conn.generation,
                    };
                    self.pending_events.push(Event::Closed { conn });
                }
            }
            Direction::Outbound { to, lane, tag, .. } => {
                if conn.phase == Phase::Idle {
                    if let Some(pool) = self.idle_pool.get_mut(&(to, lane)) {
                        pool.retain(|s| *s != slot);
                        if pool.is_empty() {
                            self.idle_pool.remove(&(to, lane));
                        }
                    }
                } else {
                    self.pending_events.push(Event::Reply {
                        tag,
                        response: None,
                    });
                }
            }
        }
    }

    fn conn_id(&self, slot: usize) -> Option<ConnId> {
        let conn = self.conns.get(slot)?.as_ref()?;
        Some(ConnId {
            slot,
            generation: conn.generation,
        })
    }

    fn raw(&mut self, id: ConnId) -> Option<&mut Conn> {
        let conn = self.conns.get_mut(id.slot)?.as_mut()?;
        (conn.generation == id.generation && conn.phase == Phase::Raw).then_some(conn)
    }

    /// Sends bytes on a raw connection. The connection is closed if its client does not read and too many are unsent.
    pub fn write(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(conn) = self.raw(id) else { return };
        conn.wbuf.extend_from_slice(bytes);
        if conn.wbuf.len() > RAW_WRITE_BUFFER_LIMIT {
            return self.close(id.slot);
        }
        self.on_writable(id.slot, Instant::now());
    }

    /// Closes a raw connection once all written bytes have been sent.
    pub fn finish(&mut self, id: ConnId) {
        let Some(conn) = self.raw(id) else { return };
        conn.close_after = true;
        conn.deadline = Instant::now() + TRANSFER_TIMEOUT;
        if conn.wbuf.is_empty() {
            self.close(id.slot);
        }
    }

    /// Responds to a request. The response is dropped if the connection has been closed.
    pub fn respond(&mut self, id: ConnId, mut response: Response) {
        let now = Instant::now();
        let Some(Some(conn)) = self.conns.get_mut(id.slot) else {
            return;
        };
        if conn.generation != id.generation || conn.phase != Phase::Processing {
            return;
        }
        let over_limit = conn.periodic_timeout.is_some() && self.periodic > self.limits.periodic;
        conn.close_after |= response.close || over_limit;
        response.close = conn.close_after;
        http::write_response(&mut conn.wbuf, &response);
        conn.phase = Phase::Writing;
        conn.deadline = now + TRANSFER_TIMEOUT;
        self.on_writable(id.slot, now);
    }

    /// Closes the connection of a request without a response, as a failed host would.
    pub fn abandon(&mut self, id: ConnId) {
        if self.is_awaiting_response(id) {
            self.close(id.slot);
        }
    }

    /// Whether the client of this connection still waits for a response.
    pub fn is_awaiting_response(&self, id: ConnId) -> bool {
        let conn = self.conns.get(id.slot).and_then(Option::as_ref);
        conn.is_some_and(|c| c.generation == id.generation && c.phase == Phase::Processing)
    }

    /// Sends a request to another host. It always ends with an [`Event::Reply`] or an [`Event::Unsent`] from a later
    /// [`Net::poll`].
    pub fn send(&mut self, o: Outgoing<'_>) {
        let now = Instant::now();
        let slot = self
            .take_idle(o.to, o.lane)
            .or_else(|| self.connect(o.to, o.keep, now));
        let Some(slot) = slot else {
            self.pending_events.push(Event::Unsent { tag: o.tag });
            return;
        };
        let Some(conn) = self.conns[slot].as_mut() else {
            return;
        };
        conn.idle_timeout = o.keep;
        conn.direction = Direction::Outbound {
            to: o.to,
            lane: o.lane,
            tag: o.tag,
            limit: o.answer_limit,
        };
        conn.phase = if conn.connecting {
            Phase::Connecting
        } else {
            Phase::Writing
        };
        conn.deadline = now + o.timeout;
        http::write_request(&mut conn.wbuf, &o.to.to_string(), o.method, o.path, o.body);
        if !conn.connecting {
            self.on_writable(slot, now);
        }
    }

    fn take_idle(&mut self, to: SocketAddr, lane: u32) -> Option<usize> {
        let pool = self.idle_pool.get_mut(&(to, lane))?;
        let slot = pool.pop();
        if pool.is_empty() {
            self.idle_pool.remove(&(to, lane));
        }
        slot
    }

    fn connect(&mut self, to: SocketAddr, keep: Duration, now: Instant) -> Option<usize> {
        let reserve = if keep < KEEP {
            self.limits.outbound_reserve
        } else {
            0
        };
        if self.open + reserve >= self.limits.total {
            self.close_idle_outbound(1);
        }
        if self.open + reserve >= self.limits.total {
            return None;
        }
        let stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let mut conn = Conn::new(
            stream,
            Direction::Outbound {
                to,
                lane: 0,
                tag: 0,
                limit: 0,
            },
            now + TRANSFER_TIMEOUT,
        );
        conn.connecting = true;
        self.insert(conn, Interest::READABLE | Interest::WRITABLE)
    }

    fn on_writable(&mut self, slot: usize, now: Instant) {
        let Some(Some(conn)) = self.conns.get_mut(slot) else {
            return;
        };
        if conn.connecting {
            match conn.finish_connect() {
                Ok(true) => {
                    let _ = conn.stream.set_nodelay(true);
                    if conn.phase == Phase::Connecting {
                        conn.phase = Phase::Writing;
                    }
                }
                Ok(false) => return,
                Err(_) => return self.close(slot),
            }
        }
        match conn.flush() {
            Err(_) => self.close(slot),
            Ok(false) => {
                // Write readiness is requested only when needed: messages rarely exceed the socket's send buffer.
                let interest = Interest::READABLE | Interest::WRITABLE;
                if self
                    .poll
                    .registry()
                    .reregister(&mut conn.stream, Token(slot), interest)
                    .is_err()
                {
                    self.close(slot);
                }
            }
            Ok(true) if conn.phase == Phase::Raw && conn.close_after => self.close(slot),
            Ok(true) if conn.phase == Phase::Writing => {
                if matches!(conn.direction, Direction::Outbound { .. }) {
                    conn.phase = Phase::AwaitingResponse;
                } else if conn.close_after {
                    self.close(slot);
                } else {
                    conn.phase = Phase::Idle;
                    conn.deadline = now + conn.periodic_timeout.unwrap_or(IDLE_TIMEOUT);
                    if !conn.rbuf.is_empty() {
                        self.parse(slot, false, now);
                    }
                }
            }
            Ok(true) => {}
        }
    }

    /// Reports bytes received on a raw connection. What exceeds [`RAW_READ_LIMIT`] is left for the next turn.
    fn read_raw(&mut self, slot: usize, now: Instant) {
        let Some(Some(conn)) = self.conns.get_mut(slot) else {
            return;
        };
        let conn_id = ConnId {
            slot,
            generation: conn.generation,
        };
        let ended = conn.read_up_to(RAW_READ_LIMIT);
        if !conn.rbuf.is_empty() {
            // Bytes that arrive after `finish` are discarded.
            let bytes = std::mem::take(&mut conn.rbuf);
            if !conn.close_after {
                conn.deadline = now + RAW_IDLE_TIMEOUT;
                self.pending_events.push(Event::Bytes {
                    conn: conn_id,
                    bytes,
                });
            }
        }
        match ended {
            Ok(ReadOutcome::Drained) => {}
            // Readiness is edge-triggered: registering again makes the poll report the remaining bytes.
            Ok(ReadOutcome::LimitReached) => {
                let Some(Some(conn)) = self.conns.get_mut(slot) else {
                    return;
                };
                let interest = Interest::READABLE | Interest::WRITABLE;
                if self
                    .poll
                    .registry()
                    .reregister(&mut conn.stream, Token(slot), interest)
                    .is_err()
                {
                    self.close(slot);
                }
            }
            Ok(ReadOutcome::Eof) | Err(_) => self.close(slot),
        }
    }

    fn on_readable(&mut self, slot: usize, now: Instant) {
        let Some(Some(conn)) = self.conns.get_mut(slot) else {
            return;
        };
        if conn.phase == Phase::Raw {
            return self.read_raw(slot, now);
        }
        if conn.connecting {
            return;
        }
        let limit = match conn.direction {
            Direction::Inbound(door) => door.body_limit() + 16 * 1024,
            Direction::Outbound { limit, .. } => limit + 16 * 1024,
        };
        match conn.read_available(limit) {
            Ok(ended) => self.parse(slot, ended, now),
            Err(_) => self.close(slot),
        }
    }

    fn parse(&mut self, slot: usize, ended: bool, now: Instant) {
        let Some(Some(conn)) = self.conns.get_mut(slot) else {
            return;
        };
        match conn.direction {
            Direction::Inbound(door) => {
                if conn.phase == Phase::Idle && !conn.rbuf.is_empty() {
                    conn.phase = Phase::Reading;
                    conn.deadline = now + TRANSFER_TIMEOUT;
                }
                if conn.phase == Phase::Reading {
                    match http::parse_request(&conn.rbuf, door.body_limit()) {
                        Ok(None) => {}
                        // The client has closed the connection and can't receive a response.
                        Ok(Some(_)) if ended => {}
                        Ok(Some((request, used))) => {
                            conn.consume(used);
                            conn.phase = Phase::Processing;
                            conn.close_after |= request.close;
                            let id = ConnId {
                                slot,
                                generation: conn.generation,
                            };
                            self.pending_events.push(Event::Request {
                                conn: id,
                                door,
                                request,
                            });
                        }
                        Err(error) => {
                            let status = error.status();
                            conn.phase = Phase::Processing;
                            let id = ConnId {
                                slot,
                                generation: conn.generation,
                            };
                            let body = wire::encode(&wire::api::ErrorBody {
                                error: "bad request".into(),
                            });
                            self.respond(
                                id,
                                Response {
                                    status,
                                    body,
                                    close: true,
                                    retry_after_s: None,
                                },
                            );
                            return;
                        }
                    }
                }
                if ended {
                    self.close(slot);
                }
            }
            Direction::Outbound {
                to,
                lane,
                tag,
                limit,
            } => {
                if conn.phase == Phase::Idle || conn.rbuf.is_empty() {
                    // Bytes without a request, or the end of the stream: the connection can't be reused.
                    if ended || !conn.rbuf.is_empty() {
                        self.close(slot);
                    }
                    return;
                }
                match http::parse_response(&conn.rbuf, limit, ended) {
                    Ok(None) => {}
                    Ok(Some((response, used))) => {
                        conn.consume(used);
                        let reusable = !response.close
                            && !ended
                            && conn.rbuf.is_empty()
                            && conn.wbuf.is_empty();
                        conn.phase = Phase::Idle;
                        conn.idle_since = now;
                        conn.deadline = now + conn.idle_timeout;
                        self.pending_events.push(Event::Reply {
                            tag,
                            response: Some(response),
                        });
                        let pool = self.idle_pool.entry((to, lane)).or_default();
                        pool.push(slot);
                        if !reusable || pool.len() > MAX_IDLE_PER_HOST {
                            self.close(slot);
                        }
                    }
                    Err(_) => {
                        log::warn!("net: malformed response from {to}");
                        self.close(slot);
                    }
                }
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        for slot in 0..self.conns.len() {
            let expired = self.conns[slot]
                .as_ref()
                .is_some_and(|c| c.phase != Phase::Processing && c.deadline <= now);
            if expired {
                self.close(slot);
            }
        }
        if self.open > self.limits.idle_threshold {
            self.close_idle_outbound(self.open - self.limits.idle_threshold);
        }
    }
}
