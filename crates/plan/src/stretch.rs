//! The smallest feasible stretch, by the search of DASEDF (section 3.2 of the paper).

use crate::Secs;

/// A job as the search sees it. Its work is the total run time of its tasks one after the other.
#[derive(Debug, Clone, Copy)]
pub struct SizedJob {
    /// When it was submitted; 0 or less.
    pub arrival: Secs,
    /// Work of all its tasks, the paper's p, which the stretch is measured in.
    pub work: Secs,
    /// Time that its remaining work takes on the whole fleet.
    pub remaining: Secs,
    /// The least time until it can end, whatever its width.
    pub min_run_time: Secs,
}

/// The paper's feasibility test for EDF: in deadline order, each deadline leaves time for all work up to it.
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
        sum += j.remaining;
        if sum.max(j.min_run_time) > due + 1e-9 {
            return false;
        }
    }
    true
}

/// The smallest stretch S, to within 1 %, for which all deadlines r + p·S can be met. Bisects, as in the paper, between
/// the bound that all jobs run at the same time and the bound that they run one after the other.
pub fn smallest_stretch(jobs: &[SizedJob], steps: &mut u64) -> f64 {
    if jobs.is_empty() {
        return 1.0;
    }
    let lower = jobs
        .iter()
        .map(|j| (j.min_run_time - j.arrival) / j.work.max(1e-6))
        .fold(0.0, f64::max);
    let total: f64 = jobs.iter().map(|j| j.remaining + j.min_run_time).sum();
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
