//! The sizes of jobs relative to the fleet, as the search for the smallest stretch needs them.

use crate::{Job, Machine, Resources, stretch};

/// The number of tasks on one machine is counted up to this.
const MAX_TASKS_PER_MACHINE: u32 = 10_000;

/// The fleet's machines by size, so that the tasks that fit are counted only once for each size.
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

    /// The size of a job, given how many of its tasks would fit on an empty fleet at once.
    pub fn size(&self, job: &Job) -> stretch::SizedJob {
        let tasks = |(total, count): &(Resources, u32)| {
            f64::from(total.count(&job.need, MAX_TASKS_PER_MACHINE)) * f64::from(*count)
        };
        let parallel_tasks: f64 = self.sizes.iter().map(tasks).sum();
        let estimate = job.estimate.max(1.0);
        stretch::SizedJob {
            arrival: job.arrival,
            work: estimate * f64::from(job.tasks.max(1)),
            remaining: estimate * f64::from(job.pending) / parallel_tasks.max(1.0),
            min_run_time: estimate,
        }
    }
}
