//! Future capacity: when running tasks are expected to end, and what is reserved in advance.

use crate::{Resources, Secs, Tenant};
use std::collections::{BTreeMap, HashMap};

/// Changes of a machine's free capacity after now that this plan makes.
#[derive(Clone, Default)]
pub(crate) struct Timeline {
    /// Tasks that this plan starts: expected end, resources and tenant.
    pub ends: Vec<(Secs, Resources, Tenant)>,
    /// Advance reservations of capacity: begin, resources and tenant.
    pub reserved: Vec<(Secs, Resources, Tenant)>,
}

/// The number of further tasks that fit on a machine from a time on.
#[derive(Clone, Copy)]
pub(crate) struct Release {
    pub at: Secs,
    pub machine: usize,
    pub count: u32,
}

/// Releases of capacity by time, in one zone or in all.
pub(crate) struct Releases {
    pub zone: Option<u16>,
    /// By the bits of the time, which order like the time since it is never negative, and machine.
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

/// Releases of capacity for equivalent jobs: a list for each zone if all tasks must share one, else a single list.
pub(crate) struct FutureCapacity {
    pub lists: Vec<Releases>,
    /// Number of changes of capacity that are taken into account, see `PlanState::changed_machines`.
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
