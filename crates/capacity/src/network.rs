//! Where hosts stand: zones in regions, delays between regions, and cuts.

use crate::clock::Millis;
use crate::size::Size;

/// The first region holds the state service and the cloud; users reach the cluster from there too.
const HOME: usize = 0;

/// A host's place: in a zone, or beside the zones in the home region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Zone(usize),
    Outside,
}

struct Cut {
    zones: Vec<usize>,
    until: Millis,
}

/// Delays and cuts between places.
pub struct Network {
    zones: usize,
    regions: usize,
    delay_ms: u64,
    cuts: Vec<Cut>,
}

impl Network {
    pub fn new(size: &Size) -> Self {
        Network {
            zones: size.zones,
            regions: size.regions,
            delay_ms: size.region_delay_ms,
            cuts: Vec::new(),
        }
    }

    /// Zones are dealt out evenly, in order.
    pub fn region_of(&self, zone: usize) -> usize {
        zone * self.regions / self.zones
    }

    /// All zones of a region.
    pub fn zones_in(&self, region: usize) -> Vec<usize> {
        (0..self.zones)
            .filter(|zone| self.region_of(*zone) == region)
            .collect()
    }

    fn region(&self, place: Place) -> usize {
        match place {
            Place::Zone(zone) => self.region_of(zone),
            Place::Outside => HOME,
        }
    }

    /// One way, in milliseconds.
    pub fn delay(&self, from: Place, to: Place) -> u64 {
        if self.region(from) == self.region(to) {
            0
        } else {
            self.delay_ms
        }
    }

    /// These zones reach nobody outside them until then.
    pub fn cut(&mut self, zones: Vec<usize>, until: Millis) {
        self.cuts.push(Cut { zones, until });
    }

    pub fn is_blocked(&self, from: Place, to: Place, now: Millis) -> bool {
        let inside = |cut: &Cut, place: Place| match place {
            Place::Zone(zone) => cut.zones.contains(&zone),
            Place::Outside => false,
        };
        let mut cuts = self.cuts.iter().filter(|cut| now < cut.until);
        cuts.any(|cut| inside(cut, from) != inside(cut, to))
    }

    /// Whether anything is cut now.
    pub fn is_whole(&self, now: Millis) -> bool {
        self.cuts.iter().all(|cut| now >= cut.until)
    }
}
