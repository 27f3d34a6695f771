//! Reserved ports of the tests' controllers.

use crate::common::hold_port;
use std::net::{TcpListener, TcpStream};

/// Guards against a controller that can't start because its port was assigned to another socket: neither listeners nor
/// outgoing connections get a held port, while it can still be bound by number, repeatedly.
#[test]
fn held_ports_are_not_assigned_to_others() {
    let held: Vec<_> = (0..50).map(|_| hold_port().expect("a port")).collect();
    let server = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let to = server.local_addr().expect("its address");
    let is_held = |addr| held.iter().any(|(_, h)| *h == addr);
    for _ in 0..2000 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        assert!(!is_held(listener.local_addr().expect("its address")));
        let out = TcpStream::connect(to).expect("connected");
        assert!(!is_held(out.local_addr().expect("its address")));
        drop(server.accept());
    }
    for (_, addr) in &held {
        (0..2).for_each(|_| {
            drop(TcpListener::bind(addr).expect("a held port can be bound by its number"))
        });
    }
}
