//! Room to come: when what runs now is expected to end, and what of that is promised to gangs.

use crate::{Resources, Secs, Tenant};
use std::collections::{BTreeMap, HashMap};

/// What is known of a machine's room beyond this moment.
#[derive(Clone, Default)]
pub(crate) struct Timeline {
    /// Ends of the tasks that this plan starts.
    pub ends: Vec<(Secs, Resources, Tenant)>,
    /// Room that belongs to a gang from a time on.
    pub reserved: Vec<(Secs, Resources, Tenant)>,
}

/// Places that fall free on a machine at a time.
#[derive(Clone, Copy)]
pub(crate) struct Release {
    pub at: Secs,
    pub machine: usize,
    pub count: u32,
}

/// Places by the time at which they fall free, in one zone or in all.
pub(crate) struct Releases {
    pub zone: Option<u16>,
    /// Times are 0 or more, so their bits have their order.
    pub by_time: BTreeMap<(u64, usize), u32>,
    pub by_machine: HashMap<usize, Vec<u64>>,
}

impl Releases {
    pub fn add(&mut self, at: Secs, machine: usize, count: u32) {
        let bits = at.max(0.0).to_bits();
        self.by_time.insert((bits, machine), count);
        self.by_machine.entry(machine).or_default().push(bits);
    }

    pub fn remove_machine(&mut self, machine: usize) {
        for bits in self.by_machine.remove(&machine).unwrap_or_default() {
            self.by_time.remove(&(bits, machine));
        }
    }

    pub fn releases(&self) -> impl Iterator<Item = Release> + '_ {
        let all = self.by_time.iter();
        all.map(|((bits, machine), count)| Release {
            at: f64::from_bits(*bits),
            machine: *machine,
            count: *count,
        })
    }
}

/// What falls free for tasks of a kind: a list for each zone where all must be in one, else one list.
pub(crate) struct FutureCapacity {
    pub lists: Vec<Releases>,
    /// Changes of room that were looked at.
    pub changes_seen: usize,
}

impl FutureCapacity {
    pub fn new(zones: &[Option<u16>]) -> Self {
        let list = |zone: &Option<u16>| Releases {
            zone: *zone,
            by_time: BTreeMap::new(),
            by_machine: HashMap::new(),
        };
        FutureCapacity {
            lists: zones.iter().map(list).collect(),
            changes_seen: 0,
        }
    }
}
