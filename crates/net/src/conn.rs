//! A single connection with its buffers.

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
    /// The request has been passed to the application, which has not responded yet.
    Processing,
    Writing,
    /// The outbound request has been sent.
    AwaitingResponse,
    /// Bytes in both directions without HTTP.
    Raw,
}

/// Why reading from the socket stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// No more bytes are available at present.
    Drained,
    /// The buffer exceeds the limit.
    LimitReached,
    /// The remote end has closed the connection.
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
    /// Bytes transferred so far.
    pub received: u64,
    pub sent: u64,
    pub deadline: Instant,
    /// Outbound connections only: when the connection became idle, and how long it may stay idle.
    pub idle_since: Instant,
    pub idle_timeout: Duration,
    /// Idle timeout of a periodic client; see [`crate::Net::mark_periodic`].
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

    /// Returns true once the connection is established.
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

    /// Writes as much as the socket accepts; returns true once the write buffer is empty.
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
        // Frees the memory of a large message; otherwise the connection would hold it for as long as it lives.
        self.wbuf.shrink_to(4096);
        Ok(true)
    }

    /// Reads all available bytes; returns true once the remote end has closed. More than `limit` bytes in the buffer
    /// are an error.
    pub fn read_available(&mut self, limit: usize) -> io::Result<bool> {
        match self.read_up_to(limit)? {
            ReadOutcome::LimitReached => Err(io::ErrorKind::InvalidData.into()),
            outcome => Ok(outcome == ReadOutcome::Eof),
        }
    }

    /// Reads available bytes until the buffer holds more than `limit`.
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
