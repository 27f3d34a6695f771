//! Which zones the leader can hear, taken from what all their machines do.

use std::collections::BTreeSet;

/// Zones of which not all machines are heard directly.
#[derive(Debug, Default)]
pub(crate) struct ZoneReachability {
    /// Zones most of whose machines can't be heard: rather the network than the machines.
    cut: BTreeSet<String>,
    /// Zones some of whose machines are heard by way of a peer.
    relayed: BTreeSet<String>,
}

impl ZoneReachability {
    /// Whether most of a zone's machines can't be heard.
    pub fn is_cut(&self, zone: &str) -> bool {
        self.cut.contains(zone)
    }

    /// Whether a silent machine of this zone may rather be one that can't be heard.
    pub fn is_doubtful(&self, zone: &str) -> bool {
        self.cut.contains(zone) || self.relayed.contains(zone)
    }

    /// Takes in what was seen at the last look.
    pub fn observe(&mut self, cut: BTreeSet<String>, relayed: BTreeSet<String>) {
        for zone in cut.difference(&self.cut) {
            log::warn!("zone {zone}: many of its machines can't be heard");
        }
        self.cut = cut;
        self.relayed = relayed;
    }
}
