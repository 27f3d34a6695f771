//! The event loop with slow, malformed, idle and vanished clients on loopback.

use net::{Door, Event, Net};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use wire::http::Response;

fn listening(max: usize) -> (Net, SocketAddr) {
    let mut net = Net::new(max).expect("an event loop");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = net.listen(any, Door::Clients).expect("listening");
    (net, addr)
}

fn client(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connected");
    stream.set_nonblocking(true).expect("nonblocking");
    stream
}

/// Reads available bytes; returns true once the event loop has closed the connection.
fn read_some(stream: &mut TcpStream, got: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 256];
    match stream.read(&mut chunk) {
        Ok(0) => true,
        Ok(n) => {
            got.extend_from_slice(&chunk[..n]);
            false
        }
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Runs the event loop and echoes the body of each request, until `is_done` holds. Returns the number of requests.
fn serve(net: &mut Net, mut is_done: impl FnMut() -> bool) -> usize {
    let mut served = 0;
    let end = Instant::now() + Duration::from_secs(60);
    while !is_done() {
        assert!(Instant::now() < end, "the condition never held");
        for event in net.poll(Duration::from_millis(5)).expect("polled") {
            if let Event::Request { conn, request, .. } = event {
                served += 1;
                net.respond(
                    conn,
                    Response {
                        status: 200,
                        body: request.body,
                        close: false,
                        retry_after_s: None,
                    },
                );
            }
        }
    }
    served
}

/// A request that arrives byte by byte is handed over and answered once it is complete.
#[test]
fn request_arriving_byte_by_byte_is_answered() {
    let (mut net, addr) = listening(100);
    let mut slow = client(addr);
    let text = b"POST /work HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
    let (mut sent, mut got) = (0, Vec::new());
    let served = serve(&mut net, || {
        if sent < text.len() {
            sent += slow.write(&text[sent..=sent]).unwrap_or(0);
        }
        read_some(&mut slow, &mut got);
        got.ends_with(b"hello")
    });
    assert_eq!(served, 1);
}

/// A malformed request gets an error status, and its connection is closed.
#[test]
fn malformed_request_gets_400_and_is_closed() {
    let (mut net, addr) = listening(100);
    let mut malformed = client(addr);
    malformed
        .write_all(b"\x16\x03\x01 nonsense\r\n\r\n")
        .expect("written");
    let mut got = Vec::new();
    let served = serve(&mut net, || read_some(&mut malformed, &mut got));
    assert_eq!(served, 0);
    assert!(
        got.starts_with(b"HTTP/1.1 400"),
        "{:?}",
        String::from_utf8_lossy(&got)
    );
}

/// With more connections than sockets, those that have been idle longest are closed and new ones are served.
#[test]
fn new_connections_evict_longest_idle_ones() {
    let (mut net, addr) = listening(20);
    let mut idle: Vec<TcpStream> = (0..40).map(|_| client(addr)).collect();
    let mut ignored = Vec::new();
    serve(&mut net, || {
        idle.iter_mut()
            .map(|s| u32::from(read_some(s, &mut ignored)))
            .sum::<u32>()
            >= 26
    });
    let (mut newcomer, mut got) = (client(addr), Vec::new());
    newcomer
        .write_all(b"GET /ready HTTP/1.1\r\n\r\n")
        .expect("written");
    serve(&mut net, || {
        read_some(&mut newcomer, &mut got);
        got.starts_with(b"HTTP/1.1 200")
    });
}

/// A request ends by its timeout if the host never responds, and also if the host refuses the connection.
#[test]
fn outgoing_requests_end_by_timeout_or_refusal() {
    let (mut net, _) = listening(20);
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let refusing = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port");
    for (tag, to) in [
        (1, silent.local_addr().expect("its address")),
        (2, refusing),
    ] {
        let timeout = Duration::from_millis(200);
        net.send(net::Outgoing {
            tag,
            to,
            method: "GET",
            path: "/",
            body: &[],
            timeout,
            answer_limit: 100,
            keep: net::KEEP,
            lane: 0,
        });
    }
    let end = Instant::now() + Duration::from_secs(60);
    let mut ended = Vec::new();
    while ended.len() < 2 && Instant::now() < end {
        for event in net.poll(Duration::from_millis(5)).expect("polled") {
            if let Event::Reply { tag, response } = event {
                assert!(response.is_none());
                ended.push(tag);
            }
        }
    }
    ended.sort_unstable();
    assert_eq!(ended, [1, 2]);
}

/// Guards against handing over requests whose client has already closed the connection: an overloaded node spent its
/// time on responses that nobody could receive.
#[test]
fn request_from_closed_connection_is_dropped() {
    let (mut net, addr) = listening(100);
    let text = b"POST /work HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
    for _ in 0..20 {
        let mut closed = client(addr);
        assert_eq!(closed.write(text).expect("sent"), text.len());
        drop(closed);
    }
    let mut open = client(addr);
    assert_eq!(open.write(text).expect("sent"), text.len());
    let mut got = Vec::new();
    let served = serve(&mut net, || {
        read_some(&mut open, &mut got);
        got.ends_with(b"hello")
    });
    assert_eq!(served, 1);
}
