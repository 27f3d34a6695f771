//! How the sockets that the process may have are shared out. Each share has room that no other can fill.

use std::time::Duration;

/// Questions that are not to fail for want of a socket: to the state service, the cloud and peers, which also wait
/// there for news. More than these are let in only while nobody else needs the room.
const OWN_LEAST: usize = 8;

/// An unused connection to a host that is asked again and again.
pub const KEEP: Duration = Duration::from_secs(20);
/// One to a host of many, which is seldom asked twice: long enough for what belongs together.
pub const KEEP_SHORT: Duration = Duration::from_secs(1);

pub(crate) struct Shares {
    /// All connections. The rest is for files, listeners and connections that are just being turned away.
    pub all: usize,
    /// Of those who ask us; the others stay free for what we ask.
    pub served: usize,
    /// Of regulars: beyond these, each is told to connect anew the next time, so that there is always room for
    /// users and peers.
    pub regulars: usize,
    /// With more open than this, unused connections to others are closed, the longest unused first.
    pub unused: usize,
    /// What we ask of hosts of many leaves these free.
    pub own: usize,
}

impl Shares {
    pub fn of(sockets: usize) -> Self {
        let all = sockets * 9 / 10;
        let own = (sockets / 50).max(OWN_LEAST);
        let served = all - (sockets / 10).max(own);
        Shares {
            all,
            served,
            regulars: served * 3 / 4,
            unused: all * 17 / 20,
            own: own / 2,
        }
    }
}
