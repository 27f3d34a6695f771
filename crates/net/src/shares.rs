//! How the sockets that the process may have are shared out. Each share has room that no other can fill.

use std::time::Duration;

/// Questions that are not to fail for want of a socket: to the state service, the cloud and peers, which also wait
/// there for news. More than these are let in only while nobody else needs the room.
const MIN_OUTBOUND_RESERVE: usize = 8;

/// An unused connection to a host that is asked again and again.
pub const KEEP: Duration = Duration::from_secs(20);
/// One to a host of many, which is seldom asked twice: long enough for what belongs together.
pub const KEEP_SHORT: Duration = Duration::from_secs(1);

pub(crate) struct SocketLimits {
    /// All connections. The rest is for files, listeners and connections that are just being turned away.
    pub total: usize,
    /// Of those who ask us; the others stay free for what we ask.
    pub inbound: usize,
    /// Of periodic: beyond these, each is told to connect anew the next time, so that there is always room for
    /// users and peers.
    pub periodic: usize,
    /// With more open than this, unused connections to others are closed, the longest unused first.
    pub idle_threshold: usize,
    /// What we ask of hosts of many leaves these free.
    pub outbound_reserve: usize,
}

impl SocketLimits {
    pub fn for_sockets(sockets: usize) -> Self {
        let total = sockets * 9 / 10;
        let outbound_reserve = (sockets / 50).max(MIN_OUTBOUND_RESERVE);
        let inbound = total - (sockets / 10).max(outbound_reserve);
        SocketLimits {
            total,
            inbound,
            periodic: inbound * 3 / 4,
            idle_threshold: total * 17 / 20,
            outbound_reserve: outbound_reserve / 2,
        }
    }
}
