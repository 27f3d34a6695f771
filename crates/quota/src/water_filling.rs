//! Weighted water-filling at one node: divides the budget left after the children's guarantees among them.
//!
//! The allocations of all unsatisfied children grow together, so that the dominant share of each (relative to the
//! node's budget) grows in proportion to its weight. A child stops growing in a resource once that is exhausted, and
//! altogether once its demand is met. The result is one fill level per resource, from which any child's allocation
//! follows directly.

use crate::{Amount, MAX_RESOURCES, ZERO};

/// The demand of one child on its parent's budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ChildDemand {
    /// The part covered by the child's own guarantee, allocated before the rest is shared.
    pub guaranteed: Amount,
    /// All that the child could use, including the guaranteed part.
    pub demand: Amount,
    pub weight: f64,
}

/// The level at which each resource is exhausted; infinity if it is not.
pub(crate) type FillLevels = [f64; MAX_RESOURCES];

impl ChildDemand {
    fn unmet(&self, r: usize) -> i64 {
        (self.demand[r] - self.guaranteed[r]).max(0)
    }

    /// The level at which the child's demand is fully met.
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

    /// The child's allocation from the budget at these levels.
    pub fn allocation(&self, budget: &Amount, levels: &FillLevels) -> Amount {
        let saturation = self.saturation_level(budget);
        std::array::from_fn(|r| {
            if budget[r] <= 0 {
                return 0;
            }
            let unmet = self.unmet(r);
            // Without the epsilon, floating-point error could round an exact result down by a thousandth.
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

/// Computes the fill levels for a budget. Counts one step per child.
pub(crate) fn fill_levels(
    budget: &Amount,
    children: &[ChildDemand],
    steps: &mut u64,
) -> FillLevels {
    *steps += children.len() as u64;
    let mut remaining = *budget;
    let mut total_unmet = ZERO;
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

/// The level at which `remaining` of one resource is exhausted. `by_saturation` is sorted by saturation level.
fn fill_level(remaining: f64, r: usize, by_saturation: &[(f64, &ChildDemand)]) -> f64 {
    // Allocated at level L: the unmet demand of the saturated children, and L times the rate of the others.
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
