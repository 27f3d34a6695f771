//! A controller with the gateway beside it: the same events and effects as a controller alone, and raw connections.
//!
//! Calls go to the node that leads the fleet: here, or over the peers' side. Whoever can't be answered in time is told so
//! at once, in words that make his client try again; a call that another node handed over is never handed on.

use crate::book::Book;
use crate::call::{Call, PEER_PATH, Reply};
use crate::config::Config;
use crate::conns::{Conns, Did};
use crate::{Act, Cx};
use control::frontend::FIRST_CONNECTION;
use control::{Destination, Effect, Event, Node, Now};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use wire::http::{Request, Response};
use yarn::error::{Class, Fault};

/// Numbers from here on are the gateway's, for requests to peers.
pub const TAGS: u64 = 1 << 63;
/// A call is given up after this time, in milliseconds, one that another node has handed over a little sooner.
const PATIENCE_MS: u64 = 5_000;
const PEER_PATIENCE_MS: u64 = 4_500;
const SWEEP_MS: u64 = 500;

/// What happens on a raw connection.
#[derive(Debug)]
pub enum Raw {
    /// By the REST door, or else by that of RPC.
    Opened {
        web: bool,
        from: IpAddr,
    },
    Bytes(Vec<u8>),
    Closed,
}

#[derive(Debug)]
pub enum Out {
    Node(Effect),
    Write { conn: u64, bytes: Vec<u8> },
    Close { conn: u64 },
}

/// Who waits for a reply.
#[derive(Debug, Clone, Copy)]
enum Requester {
    Conn { conn: u64, serial: u64 },
    Peer { conn: u64 },
}

struct Waiting {
    requester: Requester,
    until: u64,
    /// Another node was asked, under the call's own number.
    handed: bool,
}

/// The gateway's own state.
pub struct Gateway {
    config: Arc<Config>,
    secret: [u8; 32],
    conns: Conns,
    book: Option<Book>,
    waiting: BTreeMap<u64, Waiting>,
    /// The number of the next call.
    next: u64,
    swept: u64,
}

impl Gateway {
    /// `secret`: random bytes, new for each process.
    pub fn new(config: Config, secret: [u8; 32]) -> Gateway {
        let config = Arc::new(config);
        Gateway {
            conns: Conns::new(config.clone(), secret),
            config,
            secret,
            book: None,
            waiting: BTreeMap::new(),
            next: 1,
            swept: 0,
        }
    }
}

/// A controller, with a gateway beside it or without.
pub struct Served {
    node: Node,
    gateway: Option<Gateway>,
    out: Vec<Out>,
}

impl Served {
    pub fn new(node: Node, gateway: Option<Gateway>) -> Served {
        let node = if gateway.is_some() {
            node.with_frontend()
        } else {
            node
        };
        Served {
            node,
            gateway,
            out: Vec::new(),
        }
    }

    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The applications, where this node leads the fleet.
    pub fn book(&self) -> Option<&Book> {
        self.gateway.as_ref()?.book.as_ref()
    }

    /// Connections of the gateway, and those of them that are in the midst of a frame.
    pub fn connections(&self) -> (usize, usize) {
        self.gateway.as_ref().map_or((0, 0), |g| g.conns.counts())
    }

    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Out> {
        match event {
            Event::Peer { conn, request }
                if self.gateway.is_some() && request.path == PEER_PATH =>
            {
                self.peer_call(now, conn, &request);
            }
            Event::Reply { tag, response } if tag >= TAGS => self.peer_replied(now, tag, response),
            Event::Unsent { tag } if tag >= TAGS => self.peer_replied(now, tag, None),
            Event::Tick => {
                self.feed(now, Event::Tick);
                self.tick(now);
            }
            other => self.feed(now, other),
        }
        self.settle(now);
        std::mem::take(&mut self.out)
    }

    pub fn raw(&mut self, now: Now, conn: u64, event: Raw) -> Vec<Out> {
        let Some(g) = &mut self.gateway else {
            return vec![Out::Close { conn }];
        };
        match event {
            Raw::Opened { web, from } => {
                if !g.conns.opened(now.mono, conn, web, from) {
                    self.out.push(Out::Close { conn });
                }
            }
            Raw::Closed => g.conns.closed(conn),
            Raw::Bytes(bytes) => {
                let did = g.conns.bytes(now.mono, conn, &bytes);
                self.did(now, conn, did);
            }
        }
        self.settle(now);
        std::mem::take(&mut self.out)
    }

    /// Gives the node an event, and the gateway what concerns it of the effects.
    fn feed(&mut self, now: Now, event: Event) {
        for effect in self.node.handle(now, event) {
            match effect {
                Effect::Respond { conn, response } if conn >= FIRST_CONNECTION => {
                    self.with_book(now, |book, cx| book.native_answered(cx, conn, &response));
                }
                Effect::Frontend { tag, answer } => {
                    let good = self
                        .with_book(now, |book, cx| book.frontend_answered(cx, tag, answer))
                        .unwrap_or(true);
                    if !good {
                        log::warn!(
                            "yarn: a record was changed by somebody else: all are read anew"
                        );
                        self.drop_book(
                            now,
                            Class::Retriable,
                            "the applications are being read again",
                        );
                    }
                }
                other => self.out.push(Out::Node(other)),
            }
        }
    }

    fn with_book<T>(&mut self, now: Now, f: impl FnOnce(&mut Book, Cx<'_>) -> T) -> Option<T> {
        let g = self.gateway.as_mut()?;
        let cx = Cx {
            now,
            node: &self.node,
            config: &g.config,
            secret: &g.secret,
        };
        g.book.as_mut().map(|book| f(book, cx))
    }

    /// Carries out what the book wants, until it wants nothing more.
    fn settle(&mut self, now: Now) {
        loop {
            let acts = self
                .with_book(now, |book, _| book.take_acts())
                .unwrap_or_default();
            if acts.is_empty() {
                return;
            }
            for act in acts {
                match act {
                    Act::Native {
                        ask,
                        method,
                        path,
                        body,
                    } => {
                        let request = Request {
                            method: method.into(),
                            path,
                            body,
                            close: false,
                        };
                        self.feed(now, Event::Client { conn: ask, request });
                    }
                    Act::Frontend { tag, request } => {
                        self.feed(now, Event::Frontend { tag, request })
                    }
                    Act::Answer { call, reply } => self.answer(now, call, reply),
                }
            }
        }
    }

    fn tick(&mut self, now: Now) {
        let term = self.node.term();
        let Some(g) = &mut self.gateway else { return };
        let current = g.book.as_ref().map(Book::term);
        if current != term {
            if current.is_some() {
                self.drop_book(now, Class::Standby, "this node no longer owns the fleet");
            }
            if let (Some(term), Some(g)) = (term, &mut self.gateway) {
                let first = g.next;
                g.next += 1 << 40;
                g.book = Some(Book::new(term, first));
            }
        }
        self.with_book(now, Book::tick);
        let Some(g) = &mut self.gateway else { return };
        if now.mono >= g.swept + SWEEP_MS {
            g.swept = now.mono;
            for conn in g.conns.slow(now.mono) {
                g.conns.closed(conn);
                self.out.push(Out::Close { conn });
            }
            self.give_up(now);
        }
    }

    /// Numbers of calls, and those that books use, never meet: a late answer finds nobody.
    fn drop_book(&mut self, now: Now, class: Class, why: &str) {
        let Some(g) = &mut self.gateway else { return };
        g.book = None;
        let left: Vec<u64> = g
            .waiting
            .iter()
            .filter(|(_, w)| !w.handed)
            .map(|(c, _)| *c)
            .collect();
        for call in left {
            self.answer(now, call, Fault::new(class, why).into());
        }
    }

    /// Calls that took too long get their answer: it may have been done, and can be repeated.
    fn give_up(&mut self, now: Now) {
        let Some(g) = &self.gateway else { return };
        let late: Vec<u64> = g
            .waiting
            .iter()
            .filter(|(_, w)| now.mono >= w.until)
            .map(|(c, _)| *c)
            .collect();
        for call in late {
            self.with_book(now, |book, _| book.given_up(call));
            self.answer(
                now,
                call,
                Fault::new(
                    Class::Retriable,
                    "not answered in time; it may have been done",
                )
                .into(),
            );
        }
    }

    fn did(&mut self, now: Now, conn: u64, did: Vec<Did>) {
        for d in did {
            match d {
                Did::Write(bytes) => self.out.push(Out::Write { conn, bytes }),
                Did::Close => self.out.push(Out::Close { conn }),
                Did::Call(serial, call) => self.route(now, Requester::Conn { conn, serial }, call),
            }
        }
    }

    /// Has a call answered where the fleet is owned.
    fn route(&mut self, now: Now, requester: Requester, call: Call) {
        let Some(g) = &mut self.gateway else { return };
        let number = g.next;
        g.next += 1;
        let from_peer = matches!(requester, Requester::Peer { .. });
        let until = now.mono
            + if from_peer {
                PEER_PATIENCE_MS
            } else {
                PATIENCE_MS
            };
        let full = g.waiting.len() >= g.config.most.calls;
        g.waiting.insert(
            number,
            Waiting {
                requester,
                until,
                handed: false,
            },
        );
        if full {
            let fault = Fault::new(Class::Retriable, "too many calls are not answered yet");
            return self.answer(now, number, fault.into());
        }
        if self.node.term().is_some() && g.book.is_some() {
            self.with_book(now, |book, cx| book.call(cx, number, call));
            return;
        }
        let peer = self.node.leader_among_peers().filter(|_| !from_peer);
        let Some(peer) = peer else {
            let fault = Fault::new(
                Class::Standby,
                "this node does not own the fleet, and knows of none that does",
            );
            return self.answer(now, number, fault.into());
        };
        if let Some(waiting) = g.waiting.get_mut(&number) {
            waiting.handed = true;
        }
        self.out.push(Out::Node(Effect::Send {
            tag: TAGS | number,
            to: Destination::Peer(peer),
            method: "POST",
            path: PEER_PATH.into(),
            body: wire::peer::encode(&call),
            timeout_ms: PATIENCE_MS,
            answer_limit: 8 << 20,
        }));
    }

    fn answer(&mut self, now: Now, call: u64, reply: Reply) {
        let Some(g) = &mut self.gateway else { return };
        let Some(waiting) = g.waiting.remove(&call) else {
            return;
        };
        match waiting.requester {
            Requester::Conn { conn, serial } => {
                let did = g.conns.reply(now.mono, conn, serial, reply);
                self.did(now, conn, did);
            }
            Requester::Peer { conn } => {
                let body = wire::peer::encode(&reply);
                let response = Response {
                    status: 200,
                    body,
                    close: false,
                    retry_after_s: None,
                };
                self.out.push(Out::Node(Effect::Respond { conn, response }));
            }
        }
    }

    fn peer_call(&mut self, now: Now, conn: u64, request: &Request) {
        match wire::peer::decode::<Call>(&request.body) {
            Ok(call) => self.route(now, Requester::Peer { conn }, call),
            Err(e) => {
                log::warn!("yarn: a peer's call can't be read: {e}");
                let response = Response {
                    status: 400,
                    body: Vec::new(),
                    close: false,
                    retry_after_s: None,
                };
                self.out.push(Out::Node(Effect::Respond { conn, response }));
            }
        }
    }

    fn peer_replied(&mut self, now: Now, tag: u64, response: Option<Response>) {
        let read = |r: Response| wire::peer::decode::<Reply>(&r.body).ok();
        let reply = response.filter(|r| r.status == 200).and_then(read);
        let lost = || {
            Fault::new(
                Class::Retriable,
                "the node that owns the fleet does not answer; it may have been done",
            )
            .into()
        };
        self.answer(now, tag & !TAGS, reply.unwrap_or_else(lost));
    }
}
