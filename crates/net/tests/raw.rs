//! Raw listeners: unparsed bytes in both directions, one close event per connection, and bounds.

use net::{ConnId, Door, Event, Net};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

fn listening() -> (Net, SocketAddr) {
    let mut net = Net::new(100).expect("an event loop");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = net.listen(any, Door::Raw(3)).expect("listening");
    (net, addr)
}

/// Events reported by the event loop, by connection.
#[derive(Default)]
struct Observed {
    opened: Vec<(ConnId, SocketAddr)>,
    bytes: BTreeMap<u16, Vec<u8>>,
    closed: Vec<ConnId>,
}

impl Observed {
    fn port(&self, id: ConnId) -> u16 {
        self.opened
            .iter()
            .find(|(o, _)| *o == id)
            .expect("opened before")
            .1
            .port()
    }

    /// Polls and records events until the condition holds.
    fn poll_until(&mut self, net: &mut Net, what: &str, holds: impl Fn(&Observed) -> bool) {
        let end = Instant::now() + Duration::from_secs(60);
        while !holds(self) {
            assert!(Instant::now() < end, "never happened: {what}");
            for event in net.poll(Duration::from_millis(5)).expect("polled") {
                match event {
                    Event::Opened { conn, door, from } => {
                        assert_eq!(door, Door::Raw(3));
                        self.opened.push((conn, from));
                    }
                    Event::Bytes { conn, bytes } => {
                        let port = self.port(conn);
                        self.bytes.entry(port).or_default().extend(bytes);
                    }
                    Event::Closed { conn } => {
                        assert!(!self.closed.contains(&conn), "close is reported once");
                        self.closed.push(conn);
                    }
                    other => panic!("unexpected: {other:?}"),
                }
            }
        }
    }
}

#[test]
fn raw_bytes_flow_both_ways_and_close_is_reported_once() {
    let (mut net, addr) = listening();
    let mut observed = Observed::default();
    let mut first = TcpStream::connect(addr).expect("connected");
    let port = first.local_addr().expect("its address").port();
    // More than one read takes and more than the kernel buffers, so another thread writes it.
    let sent: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
    let copy = sent.clone();
    let mut write_half = first.try_clone().expect("a handle");
    let writer = std::thread::spawn(move || write_half.write_all(&copy).expect("written"));
    observed.poll_until(&mut net, "all bytes", |s| {
        s.bytes.get(&port).is_some_and(|b| b.len() == 3_000_000)
    });
    writer.join().expect("written");
    assert_eq!(observed.bytes[&port], sent);
    let id = observed.opened[0].0;
    net.write(id, b"good");
    net.write(id, b"bye");
    net.finish(id);
    observed.poll_until(&mut net, "the end", |s| s.closed == [id]);
    let mut got = String::new();
    first.read_to_string(&mut got).expect("read");
    assert_eq!(got, "goodbye");
    // Writing to a closed connection has no effect, and the close of another connection is reported too.
    net.write(id, b"late");
    let second = TcpStream::connect(addr).expect("connected");
    second.shutdown(Shutdown::Both).expect("closed");
    observed.poll_until(&mut net, "the second end", |s| s.closed.len() == 2);
}

/// A client that reads nothing occupies a bounded amount of memory, and then its connection is closed.
#[test]
fn raw_client_that_reads_nothing_is_closed() {
    let (mut net, addr) = listening();
    let mut observed = Observed::default();
    let _silent = TcpStream::connect(addr).expect("connected");
    observed.poll_until(&mut net, "opened", |s| s.opened.len() == 1);
    let id = observed.opened[0].0;
    let chunk = vec![7; 1 << 20];
    (0..64).for_each(|_| net.write(id, &chunk));
    observed.poll_until(&mut net, "closed", |s| s.closed == [id]);
}
