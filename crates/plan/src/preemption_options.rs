//! Machines that can be cleared for a task, by cost.

use crate::{Resources, Secs};

/// A machine that can be had for a task.
#[derive(Clone)]
pub(crate) struct PreemptionOption {
    pub machine: usize,
    /// When it is free by itself.
    pub at: Secs,
    /// Machine-seconds that are lost: work of the stopped, and the time that the image takes.
    pub cost: f64,
    /// Tasks that have to be stopped.
    pub victims: Vec<usize>,
    /// Its room when this was found out.
    pub free: Resources,
}

/// What can be had for tasks of a kind, cheapest first: a list for each zone where all must be in one, else one list.
pub(crate) struct PreemptionOptions {
    pub lists: Vec<Vec<PreemptionOption>>,
}

/// Takes out what stands at these places, given in their order.
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
