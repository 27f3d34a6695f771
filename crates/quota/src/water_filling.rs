//! Water-filling at one node: what is left of its budget goes to its children by weight.
//!
//! All children that want more rise together, each at a pace by which its dominant share (of the node's budget)
//! grows with its weight. A child stops in a resource when that has run out, and altogether when it has what it
//! wants. So the state of a node is one level for each resource, from which any child's part follows at once.

use crate::{Amount, MAX_RESOURCES, NOTHING};

/// What one child asks of its parent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ChildDemand {
    /// Covered by its own guarantee: it has this before anything is shared.
    pub guaranteed: Amount,
    /// All that it could use.
    pub demand: Amount,
    pub weight: f64,
}

/// The level at which each resource ran out; infinity where it did not.
pub(crate) type FillLevels = [f64; MAX_RESOURCES];

impl ChildDemand {
    fn unmet(&self, r: usize) -> i64 {
        (self.demand[r] - self.guaranteed[r]).max(0)
    }

    /// The level at which it has all that it wants.
    fn saturation_level(&self, budget: &Amount) -> f64 {
        let share = |r: usize| {
            if budget[r] > 0 {
                self.unmet(r) as f64 / budget[r] as f64
            } else {
                0.0
            }
        };
        (0..MAX_RESOURCES).map(share).fold(0.0, f64::max) / self.weight
    }

    /// Its part of the budget at these levels.
    pub fn allocation(&self, budget: &Amount, levels: &FillLevels) -> Amount {
        let saturation = self.saturation_level(budget);
        std::array::from_fn(|r| {
            if budget[r] <= 0 {
                return 0;
            }
            let unmet = self.unmet(r);
            // What is whole must not lose a thousandth to the last bit of a division.
            let scaled = |of: f64| (unmet as f64 * (of / saturation) + 1e-6).floor() as i64;
            let extra = if levels[r] >= saturation {
                unmet
            } else {
                scaled(levels[r])
            };
            self.guaranteed[r] + extra
        })
    }
}

/// Finds the levels for a budget. Takes a step for each child.
pub(crate) fn fill_levels(
    budget: &Amount,
    children: &[ChildDemand],
    steps: &mut u64,
) -> FillLevels {
    *steps += children.len() as u64;
    let mut remaining = *budget;
    let mut total_unmet = NOTHING;
    for child in children {
        for r in 0..MAX_RESOURCES {
            remaining[r] -= child.guaranteed[r];
            total_unmet[r] += child.unmet(r);
        }
    }
    let mut out = [f64::INFINITY; MAX_RESOURCES];
    if (0..MAX_RESOURCES).all(|r| budget[r] <= 0 || total_unmet[r] <= remaining[r]) {
        return out;
    }
    let mut by_saturation: Vec<(f64, &ChildDemand)> = children
        .iter()
        .map(|a| (a.saturation_level(budget), a))
        .collect();
    by_saturation.sort_by(|a, b| a.0.total_cmp(&b.0));
    for r in (0..MAX_RESOURCES).filter(|r| budget[*r] > 0 && total_unmet[*r] > remaining[*r]) {
        out[r] = fill_level(remaining[r].max(0) as f64, r, &by_saturation);
    }
    out
}

/// The level at which `left` of one resource has run out. `order` rises by the level at which each child is full.
fn fill_level(remaining: f64, r: usize, by_saturation: &[(f64, &ChildDemand)]) -> f64 {
    // Taken at level L: what the full ones want, and L times the pace of the others.
    let rate = |(saturation, child): &(f64, &ChildDemand)| {
        if *saturation > 0.0 {
            child.unmet(r) as f64 / saturation
        } else {
            0.0
        }
    };
    let mut total_rate: f64 = by_saturation.iter().map(rate).sum();
    let mut allocated = 0.0;
    for entry in by_saturation.iter().filter(|entry| entry.0 > 0.0) {
        if allocated + total_rate * entry.0 >= remaining {
            return ((remaining - allocated) / total_rate.max(f64::MIN_POSITIVE)).max(0.0);
        }
        allocated += entry.1.unmet(r) as f64;
        total_rate -= rate(entry);
    }
    f64::INFINITY
}
