//! In a test binary of its own, since it exhausts the file descriptors of the process.

use net::{Door, Event, Net};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Guards against connections that stay pending forever after an accept failed for lack of file descriptors: the poll
/// does not report them a second time, so accepting has to be retried.
#[test]
fn connection_pending_during_fd_exhaustion_is_served_later() {
    let mut net = Net::new(100).expect("an event loop");
    let addr = net
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), Door::Clients)
        .expect("listening");
    let mut client = TcpStream::connect(addr).expect("connected");
    client
        .write_all(b"GET /ready HTTP/1.1\r\n\r\n")
        .expect("sent");
    let (_, hard) = rlimit::Resource::NOFILE.get().expect("a limit");
    let used = std::fs::read_dir("/proc/self/fd").expect("files").count() as u64;
    rlimit::Resource::NOFILE
        .set(used + 3, hard)
        .expect("lowered");
    let mut held = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        held.push(file);
    }
    let served = |net: &mut Net| {
        let events = net.poll(Duration::from_millis(20)).expect("polled");
        events.iter().any(|e| matches!(e, Event::Request { .. }))
    };
    assert!(
        (0..10).all(|_| !served(&mut net)),
        "served without a free file descriptor"
    );
    drop(held);
    let end = Instant::now() + Duration::from_secs(60);
    while !served(&mut net) {
        assert!(
            Instant::now() < end,
            "not served after file descriptors were freed"
        );
    }
}
