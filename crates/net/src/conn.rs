//! One connection and its buffers.

use crate::Door;
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Copy)]
pub(crate) enum Direction {
    Inbound(Door),
    Outbound {
        to: SocketAddr,
        lane: u32,
        tag: u64,
        limit: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Idle,
    Connecting,
    Reading,
    /// The request is with the service.
    Processing,
    Writing,
    /// Our request is out.
    AwaitingResponse,
    /// Bytes both ways, without requests.
    Raw,
}

/// What reading came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// Nothing more is there now.
    Drained,
    /// The bound was reached.
    LimitReached,
    /// The other side has closed.
    Eof,
}

pub(crate) struct Conn {
    pub stream: TcpStream,
    pub direction: Direction,
    pub phase: Phase,
    pub connecting: bool,
    pub close_after: bool,
    pub rbuf: Vec<u8>,
    pub wbuf: Vec<u8>,
    written: usize,
    /// Bytes that have passed.
    pub received: u64,
    pub sent: u64,
    pub deadline: Instant,
    /// Unused since, and kept unused for so long: of those to others.
    pub idle_since: Instant,
    pub idle_timeout: Duration,
    /// See [`crate::Net::mark_periodic`]: how long it may be silent.
    pub periodic_timeout: Option<Duration>,
    pub generation: u32,
}

impl Conn {
    pub fn new(stream: TcpStream, direction: Direction, deadline: Instant) -> Self {
        Conn {
            stream,
            direction,
            phase: Phase::Idle,
            connecting: false,
            close_after: false,
            rbuf: Vec::new(),
            wbuf: Vec::new(),
            written: 0,
            received: 0,
            sent: 0,
            deadline,
            idle_since: deadline,
            idle_timeout: Duration::ZERO,
            periodic_timeout: None,
            generation: 0,
        }
    }

    /// True once the connection stands.
    pub fn finish_connect(&mut self) -> io::Result<bool> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connecting = false;
                Ok(true)
            }
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Writes what it can; true once nothing is left.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.written < self.wbuf.len() {
            match self.stream.write(&self.wbuf[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.written += n;
                    self.sent += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.written = 0;
        self.wbuf.clear();
        // One large answer must not hold its memory for the connection's whole life.
        self.wbuf.shrink_to(4096);
        Ok(true)
    }

    /// Reads what is there; true once the other side has closed. More than `limit` is an error.
    pub fn read_available(&mut self, limit: usize) -> io::Result<bool> {
        match self.read_up_to(limit)? {
            ReadOutcome::LimitReached => Err(io::ErrorKind::InvalidData.into()),
            outcome => Ok(outcome == ReadOutcome::Eof),
        }
    }

    /// Reads what is there, until more than `limit` bytes are held.
    pub fn read_up_to(&mut self, limit: usize) -> io::Result<ReadOutcome> {
        let mut chunk = [0u8; 16 * 1024];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(ReadOutcome::Eof),
                Ok(n) => {
                    self.received += n as u64;
                    self.rbuf.extend_from_slice(&chunk[..n]);
                    if self.rbuf.len() > limit {
                        return Ok(ReadOutcome::LimitReached);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(ReadOutcome::Drained),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    pub fn consume(&mut self, used: usize) {
        self.rbuf.drain(..used);
        if self.rbuf.is_empty() {
            self.rbuf.shrink_to(4096);
        }
    }
}
