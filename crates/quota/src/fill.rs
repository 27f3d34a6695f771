//! Water-filling at one node: what is left of its budget goes to its children by weight.
//!
//! All children that want more rise together, each at a pace by which its dominant share (of the node's budget)
//! grows with its weight. A child stops in a resource when that has run out, and altogether when it has what it
//! wants. So the state of a node is one level for each resource, from which any child's part follows at once.

use crate::{Amount, MAX_RESOURCES, NOTHING};

/// What one child asks of its parent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ask {
    /// Covered by its own guarantee: it has this before anything is shared.
    pub base: Amount,
    /// All that it could use.
    pub want: Amount,
    pub weight: f64,
}

/// The level at which each resource ran out; infinity where it did not.
pub(crate) type Levels = [f64; MAX_RESOURCES];

impl Ask {
    fn unmet(&self, r: usize) -> i64 {
        (self.want[r] - self.base[r]).max(0)
    }

    /// The level at which it has all that it wants.
    fn full(&self, budget: &Amount) -> f64 {
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
    pub fn part(&self, budget: &Amount, levels: &Levels) -> Amount {
        let full = self.full(budget);
        std::array::from_fn(|r| {
            if budget[r] <= 0 {
                return 0;
            }
            let unmet = self.unmet(r);
            // What is whole must not lose a thousandth to the last bit of a division.
            let part = |of: f64| (unmet as f64 * (of / full) + 1e-6).floor() as i64;
            let extra = if levels[r] >= full {
                unmet
            } else {
                part(levels[r])
            };
            self.base[r] + extra
        })
    }
}

/// Finds the levels for a budget. Takes a step for each child.
pub(crate) fn levels(budget: &Amount, asks: &[Ask], steps: &mut u64) -> Levels {
    *steps += asks.len() as u64;
    let mut left = *budget;
    let mut open = NOTHING;
    for ask in asks {
        for r in 0..MAX_RESOURCES {
            left[r] -= ask.base[r];
            open[r] += ask.unmet(r);
        }
    }
    let mut out = [f64::INFINITY; MAX_RESOURCES];
    if (0..MAX_RESOURCES).all(|r| budget[r] <= 0 || open[r] <= left[r]) {
        return out;
    }
    let mut order: Vec<(f64, &Ask)> = asks.iter().map(|a| (a.full(budget), a)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    for r in (0..MAX_RESOURCES).filter(|r| budget[*r] > 0 && open[*r] > left[*r]) {
        out[r] = level(left[r].max(0) as f64, r, &order);
    }
    out
}

/// The level at which `left` of one resource has run out. `order` rises by the level at which each child is full.
fn level(left: f64, r: usize, order: &[(f64, &Ask)]) -> f64 {
    // Taken at level L: what the full ones want, and L times the pace of the others.
    let pace = |(full, ask): &(f64, &Ask)| {
        if *full > 0.0 {
            ask.unmet(r) as f64 / full
        } else {
            0.0
        }
    };
    let mut rising: f64 = order.iter().map(pace).sum();
    let mut taken = 0.0;
    for o in order.iter().filter(|o| o.0 > 0.0) {
        if taken + rising * o.0 >= left {
            return ((left - taken) / rising.max(f64::MIN_POSITIVE)).max(0.0);
        }
        taken += o.1.unmet(r) as f64;
        rising -= pace(o);
    }
    f64::INFINITY
}
