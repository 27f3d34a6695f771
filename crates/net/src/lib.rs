//! The event loop of stoathatch: HTTP/1.1 both ways over `mio`, on one thread, with bounded
//! connections, buffers and waits. It knows nothing of jobs.

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

/// A connection of somebody who asked us something; stale ids are harmless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnId {
    slot: usize,
    generation: u32,
}

/// Which of our listeners a request came in by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    Clients,
    Peers,
    /// Bytes as they come, for a protocol of the caller's, under a number of the caller's.
    Raw(u8),
    /// Requests for one of many hosts that this process plays, under a number of the caller's.
    Host(u32),
}

impl Door {
    /// Largest body of a request; operators come by the peers' door, with whole trees.
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
    /// Somebody came by a raw door. What he sends follows, and then his end, exactly once.
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
    /// The end of something we sent: an answer, or `None` if none came in time.
    Reply {
        tag: u64,
        response: Option<Response>,
    },
    /// There was no socket for it, and not a byte of it has left.
    Unsent {
        tag: u64,
    },
}

/// Something to ask another host.
#[derive(Debug)]
pub struct Outgoing<'a> {
    pub tag: u64,
    pub to: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
    pub timeout: Duration,
    pub answer_limit: usize,
    /// How long the connection is kept for the next question: [`KEEP`], or [`KEEP_SHORT`] for a host of many, which
    /// is asked only while that leaves room for the others.
    pub keep: Duration,
    /// Connections are shared within a lane only: a process that plays many hosts has one for each.
    pub lane: u32,
}

/// What has passed in one direction of asking.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    /// Bytes, heads included.
    pub received: u64,
    pub sent: u64,
    /// Connections that were opened.
    pub connections: u64,
}

impl Flow {
    fn add(&mut self, other: Flow) {
        self.received += other.received;
        self.sent += other.sent;
        self.connections += other.connections;
    }
}

/// All that has passed since the loop began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// On connections of those who ask us.
    pub served: Flow,
    /// On connections to those whom we ask.
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
/// Tokens from here on are listeners', those below connections'.
const FIRST_LISTENER_TOKEN: usize = usize::MAX / 2;
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// A request that takes longer than this to arrive, or an answer that takes longer to be taken.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// A raw connection that says nothing for so long is closed.
const RAW_IDLE_TIMEOUT: Duration = Duration::from_secs(180);
/// Most bytes of a raw connection that are handed over at once.
const RAW_READ_LIMIT: usize = 256 << 10;
/// A raw connection that leaves more than this unread is closed.
const RAW_WRITE_BUFFER_LIMIT: usize = 8 << 20;
/// More idle connections to one host than this are closed.
const MAX_IDLE_PER_HOST: usize = 8;

pub struct Net {
    poll: Poll,
    events: Events,
    listeners: Vec<(TcpListener, Door)>,
    /// Listeners whose last accept failed: connections may wait there, and nothing will say so.
    accept_retries: BTreeSet<usize>,
    conns: Vec<Option<Conn>>,
    free_slots: Vec<usize>,
    generation: u32,
    /// Unused connections to others, by host and lane.
    idle_pool: HashMap<(SocketAddr, u32), Vec<usize>>,
    /// Of connections that have ended.
    closed_traffic: Traffic,
    limits: SocketLimits,
    inbound: usize,
    periodic: usize,
    open: usize,
    last_sweep: Instant,
    pending_events: Vec<Event>,
}

impl Net {
    /// `sockets` bounds all together; most of them are for those who ask us.
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

    /// Listens there, and says where: port 0 stands for any free one.
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

    /// What has passed so far, on all connections that there are and were.
    pub fn traffic(&self) -> Traffic {
        let mut all = self.closed_traffic;
        self.conns.iter().flatten().for_each(|conn| all.add(conn));
        all
    }

    /// Lets another thread end a [`Net::poll`] early.
    pub fn waker(&self) -> io::Result<Arc<Waker>> {
        Ok(Arc::new(Waker::new(self.poll.registry(), WAKE_TOKEN)?))
    }

    /// Waits for at most `timeout` and hands over what has come in.
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
                // These concern the one connection only.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue;
                }
                // Files have run out, or the like: those who wait are not announced again, so they are looked for.
                Err(e) => {
                    log::warn!("net: can't accept: {e}");
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
                log::warn!("net: too many connections, turning one away");
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

    /// Closes connections to others that nobody uses, the longest unused first.
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

    /// Whoever asks on this connection comes back at his own pace for ever. Where such clients fill their share, the
    /// answer ends the connection, so that they are served all the same and leave room for others in between. One that
    /// has been silent for much longer than its pace has gone, and has come again on another connection.
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
            log::warn!("net: can't watch a connection: {e}");
            self.free_slots.push(slot);
            return None;
        }
        self.open += 1;
        self.inbound += usize::from(matches!(conn.direction, Direction::Inbound(_)));
        self.conns[slot] = Some(conn);
        Some(slot)
    }

    /// Closes a connection; whoever waits for an answer on it is told that none came.
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

    /// Sends bytes on a raw connection. One that does not take them is closed.
    pub fn write(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(conn) = self.raw(id) else { return };
        conn.wbuf.extend_from_slice(bytes);
        if conn.wbuf.len() > RAW_WRITE_BUFFER_LIMIT {
            return self.close(id.slot);
        }
        self.on_writable(id.slot, Instant::now());
    }

    /// Closes a raw connection, once what was written has been taken.
    pub fn finish(&mut self, id: ConnId) {
        let Some(conn) = self.raw(id) else { return };
        conn.close_after = true;
        conn.deadline = Instant::now() + TRANSFER_TIMEOUT;
        if conn.wbuf.is_empty() {
            self.close(id.slot);
        }
    }

    /// Answers a request. An answer for a connection that has gone is dropped.
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

    /// Ends the connection of a request without an answer, as a host that is gone would.
    pub fn abandon(&mut self, id: ConnId) {
        if self.is_awaiting_response(id) {
            self.close(id.slot);
        }
    }

    /// Whether somebody still waits there for an answer.
    pub fn is_awaiting_response(&self, id: ConnId) -> bool {
        let conn = self.conns.get(id.slot).and_then(Option::as_ref);
        conn.is_some_and(|c| c.generation == id.generation && c.phase == Phase::Processing)
    }

    /// Asks another host. The end always comes as an [`Event::Reply`] or an [`Event::Unsent`], never from within this
    /// call.
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
                // Only now and then is an answer larger than the socket's buffer.
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

    /// Hands over what has come in on a raw connection. More than a chunk at once is left for the next turn.
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
            // A connection that is over by our word is not read any more.
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
            // The edge is spent: ask to be told again.
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
                        // Whoever asked has closed the connection, and hears no answer.
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
                    // Bytes without a question, or the end: not to be used again.
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
                        log::warn!("net: unreadable answer from {to}");
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
