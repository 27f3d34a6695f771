//! Jobs as the search of the stretch sees them.

use crate::{Job, Machine, Resources, stretch};

/// Tasks of one machine that are counted at most.
const MAX_TASKS_PER_MACHINE: u32 = 10_000;

/// The fleet's machines by size, so that slots are counted once for each size.
pub(crate) struct FleetCapacity {
    sizes: Vec<(Resources, u32)>,
}

impl FleetCapacity {
    pub fn of(machines: &[Machine]) -> Self {
        let mut sizes: Vec<(Resources, u32)> = Vec::new();
        for machine in machines {
            match sizes.iter_mut().find(|(total, _)| *total == machine.total) {
                Some((_, count)) => *count += 1,
                None => sizes.push((machine.total, 1)),
            }
        }
        FleetCapacity { sizes }
    }

    /// A job against the slots that it would have alone.
    pub fn size(&self, job: &Job) -> stretch::SizedJob {
        let tasks = |(total, count): &(Resources, u32)| {
            f64::from(total.count(&job.need, MAX_TASKS_PER_MACHINE)) * f64::from(*count)
        };
        let slots: f64 = self.sizes.iter().map(tasks).sum();
        let estimate = job.estimate.max(1.0);
        stretch::SizedJob {
            arrival: job.arrival,
            work: estimate * f64::from(job.tasks.max(1)),
            left: estimate * f64::from(job.pending) / slots.max(1.0),
            min_run_time: estimate,
        }
    }
}
