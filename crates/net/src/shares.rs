//! How the sockets available to the process are divided. Each use has a reserve that no other use can exhaust.

use std::time::Duration;

/// Minimum number of sockets kept for requests to the state service, the cloud and peers, including long polls for
/// changes, so that they do not fail for lack of a socket. Beyond it, outbound connections get a socket only while
/// nothing else needs it.
const MIN_OUTBOUND_RESERVE: usize = 8;

/// How long an idle connection to a host that is queried frequently stays open.
pub const KEEP: Duration = Duration::from_secs(20);
/// How long an idle connection to one of many rarely queried hosts stays open: long enough for related requests.
pub const KEEP_SHORT: Duration = Duration::from_secs(1);

pub(crate) struct SocketLimits {
    /// All connections. The remaining sockets are for files, listeners and connections that are being rejected.
    pub total: usize,
    /// Inbound connections; the rest of `total` stays available for outbound requests.
    pub inbound: usize,
    /// Inbound connections of periodic clients. Beyond this number, each response to such a client closes its
    /// connection and it has to reconnect, so that there is always room for users and peers.
    pub periodic: usize,
    /// With more connections open than this, idle outbound connections are closed, the longest idle first.
    pub idle_threshold: usize,
    /// Sockets that new connections to one of many rarely queried hosts must leave free.
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
