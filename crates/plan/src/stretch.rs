//! The smallest stretch: DASEDF's search (section 3.2 of the paper) on the fleet's slots.

use crate::Secs;

/// A job as the search sees it: when it came and its work on one slot, in slot-seconds of the whole fleet.
#[derive(Debug, Clone, Copy)]
pub struct SizedJob {
    /// When it was submitted, 0 or less.
    pub arrival: Secs,
    /// p: one-slot work, which the stretch is measured in.
    pub work: Secs,
    /// What is left of it, as a share of the fleet's time.
    pub left: Secs,
    /// It can't end before this, whatever its width.
    pub min_run_time: Secs,
}

/// The paper's test for EDF: in deadline order, each deadline leaves time for all work before it.
fn feasible(jobs: &[SizedJob], order: &mut Vec<(Secs, usize)>, s: f64, steps: &mut u64) -> bool {
    order.clear();
    order.extend(
        jobs.iter()
            .enumerate()
            .map(|(i, j)| (j.arrival + j.work * s, i)),
    );
    order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut sum = 0.0;
    for (due, i) in order.iter() {
        *steps += 1;
        let j = &jobs[*i];
        sum += j.left;
        if sum.max(j.min_run_time) > due + 1e-9 {
            return false;
        }
    }
    true
}

/// Smallest S, within a hundredth, for which all deadlines r + p·S can hold. Between the bound that all end
/// at once and the bound that they run one after the other, both as in the paper.
pub fn smallest_stretch(jobs: &[SizedJob], steps: &mut u64) -> f64 {
    if jobs.is_empty() {
        return 1.0;
    }
    let lower = jobs
        .iter()
        .map(|j| (j.min_run_time - j.arrival) / j.work.max(1e-6))
        .fold(0.0, f64::max);
    let total: f64 = jobs.iter().map(|j| j.left + j.min_run_time).sum();
    let upper = jobs
        .iter()
        .map(|j| (total - j.arrival) / j.work.max(1e-6))
        .fold(lower, f64::max);
    let mut order = Vec::with_capacity(jobs.len());
    let (mut lo, mut hi) = (lower, upper);
    if feasible(jobs, &mut order, lo, steps) {
        return lo;
    }
    while hi - lo > 0.01 * hi.max(1e-3) {
        let mid = (lo + hi) / 2.0;
        if feasible(jobs, &mut order, mid, steps) {
            hi = mid;
        } else {
            lo = mid;
        }
    }
    hi
}
