//! Ways to make capacity for a task, with their costs.

use crate::{Resources, Secs};

/// A machine that a task can have after a short wait or after preemptions.
#[derive(Clone)]
pub(crate) struct PreemptionOption {
    pub machine: usize,
    /// When the capacity is expected to be free; 0 if tasks are preempted for it.
    pub at: Secs,
    /// Machine-seconds that are lost: the wait or the work of the victims, and the time to fetch the image.
    pub cost: f64,
    /// Tasks to preempt.
    pub victims: Vec<usize>,
    /// Free resources when the option was computed; it is stale once they differ.
    pub free: Resources,
}

/// Options for equivalent jobs, cheapest first: a list for each zone if all tasks must share one, else a single list.
pub(crate) struct PreemptionOptions {
    pub lists: Vec<Vec<PreemptionOption>>,
}

/// Removes the elements at these positions, given in ascending order.
pub(crate) fn remove_at(list: &mut Vec<PreemptionOption>, positions: &[usize]) {
    let Some(last) = positions.last() else {
        return;
    };
    let kept: Vec<PreemptionOption> = list
        .drain(..=*last)
        .enumerate()
        .filter(|(at, _)| positions.binary_search(at).is_err())
        .map(|(_, option)| option)
        .collect();
    list.splice(0..0, kept);
}
