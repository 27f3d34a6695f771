//! Reachability of zones from the leader, judged by the behaviour of all their machines.

use std::collections::BTreeSet;

/// Zones whose machines do not all reach the leader directly.
#[derive(Debug, Default)]
pub(crate) struct ZoneReachability {
    /// Zones in which so many machines are silent that a network failure is likelier than failures of the machines.
    cut: BTreeSet<String>,
    /// Zones some of whose machines reach the leader through a peer.
    relayed: BTreeSet<String>,
}

impl ZoneReachability {
    /// Whether so many of a zone's machines are silent that the zone counts as cut off.
    pub fn is_cut(&self, zone: &str) -> bool {
        self.cut.contains(zone)
    }

    /// Whether a silent machine of this zone may still be running, with only its connection to the leader lost.
    pub fn may_be_cut_off(&self, zone: &str) -> bool {
        self.cut.contains(zone) || self.relayed.contains(zone)
    }

    /// Replaces the sets with the latest observation, and logs zones that are newly cut off.
    pub fn observe(&mut self, cut: BTreeSet<String>, relayed: BTreeSet<String>) {
        for zone in cut.difference(&self.cut) {
            log::warn!("zone {zone}: many of its machines are silent");
        }
        self.cut = cut;
        self.relayed = relayed;
    }
}
