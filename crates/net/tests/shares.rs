//! How sockets are divided between uses when they run short, on loopback.

use net::{Door, Event, KEEP, KEEP_SHORT, Net, Outgoing};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use wire::http::Response;

/// A remote host that responds to each request or to none, and tracks its open connections.
struct Host {
    listener: TcpListener,
    conns: Vec<TcpStream>,
    answers: bool,
}

impl Host {
    fn new(answers: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("nonblocking");
        Host {
            listener,
            conns: Vec::new(),
            answers,
        }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("its address")
    }

    fn serve(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).expect("nonblocking");
            self.conns.push(stream);
        }
        let answers = self.answers;
        self.conns
            .retain_mut(|conn| match conn.read(&mut [0; 1024]) {
                Ok(0) => false,
                Ok(_) if answers => conn
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .is_ok(),
                Ok(_) => true,
                Err(e) => e.kind() == ErrorKind::WouldBlock,
            });
    }
}

fn send(net: &mut Net, tag: u64, host: &Host, keep: Duration) {
    let (to, timeout) = (host.addr(), Duration::from_secs(50));
    net.send(Outgoing {
        tag,
        to,
        method: "GET",
        path: "/",
        body: &[],
        timeout,
        answer_limit: 100,
        keep,
        lane: 0,
    });
}

/// Polls until the condition holds. Returns how each outbound request ended: true if it got a response, false if it
/// was not sent.
fn poll_until(
    net: &mut Net,
    hosts: &mut [Host],
    mut is_done: impl FnMut(&[Host], &[(u64, bool)]) -> bool,
) -> Vec<(u64, bool)> {
    let mut results = Vec::new();
    let end = Instant::now() + Duration::from_secs(40);
    while !is_done(hosts, &results) {
        assert!(
            Instant::now() < end,
            "the condition never held: {results:?}"
        );
        for event in net.poll(Duration::from_millis(5)).expect("polled") {
            match event {
                Event::Reply { tag, response } => {
                    results.push((tag, response.expect("an answer").status == 200))
                }
                Event::Unsent { tag } => results.push((tag, false)),
                Event::Request { conn, request, .. } => {
                    match request.path.as_str() {
                        "/regular" => net.mark_periodic(conn, Duration::from_secs(60)),
                        "/gone" => net.mark_periodic(conn, Duration::from_secs(1)),
                        _ => {}
                    }
                    let body = Vec::new();
                    net.respond(
                        conn,
                        Response {
                            status: 200,
                            body,
                            close: false,
                            retry_after_s: None,
                        },
                    );
                }
                _ => {}
            }
        }
        hosts.iter_mut().for_each(Host::serve);
    }
    results
}

/// A connection with a short `keep` is closed soon after its response, one with the normal `keep` is not.
#[test]
fn short_keep_connection_is_closed_soon_after_response() {
    let mut net = Net::new(200).expect("an event loop");
    let mut hosts = [Host::new(true), Host::new(true)];
    send(&mut net, 1, &hosts[0], KEEP);
    send(&mut net, 2, &hosts[1], KEEP_SHORT);
    poll_until(&mut net, &mut hosts, |_, results| results.len() == 2);
    poll_until(&mut net, &mut hosts, |hosts, _| hosts[1].conns.is_empty());
    assert_eq!(hosts[0].conns.len(), 1);
}

/// Idle outbound connections above the threshold are closed long before their idle timeout.
#[test]
fn idle_outbound_connections_are_closed_above_threshold() {
    // 90 connections; with more than 76 open, idle ones are closed.
    let mut net = Net::new(100).expect("an event loop");
    let mut hosts: Vec<Host> = (0..85).map(|_| Host::new(true)).collect();
    for (tag, host) in hosts.iter().enumerate() {
        send(&mut net, tag as u64, host, Duration::from_secs(1000));
    }
    poll_until(&mut net, &mut hosts, |_, results| results.len() == 85);
    poll_until(&mut net, &mut hosts, |hosts, _| {
        hosts.iter().map(|h| h.conns.len()).sum::<usize>() <= 76
    });
}

/// Unanswered requests with a short `keep` leave sockets for other requests. One that finds no socket is reported as
/// unsent rather than as unanswered.
#[test]
fn short_keep_requests_leave_sockets_for_others() {
    let mut net = Net::new(32).expect("an event loop");
    let mut hosts: Vec<Host> = (0..30).map(|_| Host::new(false)).collect();
    hosts.push(Host::new(true));
    for (tag, host) in hosts[..30].iter().enumerate() {
        send(&mut net, tag as u64, host, KEEP_SHORT);
    }
    send(&mut net, 99, &hosts[30], KEEP);
    let results = poll_until(&mut net, &mut hosts, |_, results| {
        results.contains(&(99, true))
    });
    let unsent = results.iter().filter(|(_, answered)| !answered).count();
    assert!((1..30).contains(&unsent), "{results:?}");
}

/// With more periodic clients than their limit, each is answered, and enough of their connections are closed for other
/// clients to be accepted and to stay connected.
#[test]
fn periodic_clients_over_limit_are_answered_with_connection_close() {
    // 28 connections, 20 of them inbound, 15 of these for periodic clients.
    let mut net = Net::new(32).expect("an event loop");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = net.listen(any, Door::Clients).expect("listening");
    let answered = |net: &mut Net, path: &str| {
        let mut client = TcpStream::connect(addr).expect("connected");
        client.set_nonblocking(true).expect("nonblocking");
        client
            .write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
            .expect("written");
        let mut got = Vec::new();
        poll_until(net, &mut [], |_, _| {
            let mut chunk = [0; 256];
            let n = client.read(&mut chunk).unwrap_or(0);
            got.extend_from_slice(&chunk[..n]);
            got.ends_with(b"\r\n\r\n")
        });
        let text = String::from_utf8(got).expect("text");
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        (client, text.contains("Connection: close"))
    };
    let users: Vec<_> = (0..4).map(|_| answered(&mut net, "/user")).collect();
    let periodic: Vec<_> = (0..40).map(|_| answered(&mut net, "/regular")).collect();
    assert_eq!(
        periodic
            .iter()
            .filter(|(_, close_announced)| *close_announced)
            .count(),
        25
    );
    assert!(users.iter().all(|(_, close_announced)| !close_announced));
    for (mut user, _) in users {
        let kept = user.read(&mut [0; 16]).expect_err("still open");
        assert_eq!(kept.kind(), ErrorKind::WouldBlock);
    }
}

/// The connection of a silent periodic client is closed much sooner than that of another silent client.
#[test]
fn silent_periodic_client_is_closed_before_other_clients() {
    let mut net = Net::new(32).expect("an event loop");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = net.listen(any, Door::Clients).expect("listening");
    let mut clients = ["/gone", "/user"].map(|path| {
        let mut client = TcpStream::connect(addr).expect("connected");
        client.set_nonblocking(true).expect("nonblocking");
        client
            .write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
            .expect("written");
        client
    });
    poll_until(&mut net, &mut [], |_, _| {
        matches!(clients[0].read(&mut [0; 256]), Ok(0))
    });
    while clients[1].read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
    let kept = clients[1].read(&mut [0; 256]).expect_err("still open");
    assert_eq!(kept.kind(), ErrorKind::WouldBlock);
}
