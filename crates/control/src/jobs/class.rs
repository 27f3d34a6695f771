//! Statistics of job classes: run times relative to estimates, and arrivals, from which demand is predicted.

use wire::api::JobSpec;

/// Statistics of one class: run times relative to estimates, and the arrival rate of its jobs.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassStatistics {
    /// Number of runs observed.
    runs: f64,
    /// Moving average of the logarithm of run time over estimate.
    log_ratio: f64,
    /// Jobs per second, as an exponentially decaying average.
    rate: f64,
    /// Wall-clock time of the last update of `rate`.
    rate_updated_at: u64,
    /// Moving averages of the number of tasks per job, and of its square.
    pub tasks: f64,
    pub tasks_squared: f64,
    /// Images, each with its size in GB and a moving average of its share of the jobs.
    pub images: Vec<(String, f64, f64)>,
    /// Spec of the latest job, taken as a model of the next one.
    pub latest_spec: Option<Box<JobSpec>>,
}

/// Time constant of the exponential decay of the arrival rate.
const ARRIVAL_TIME_CONSTANT_MS: f64 = 150_000.0;
/// Caps the expected rate at this many arrivals per time since the last one: at a higher rate, a gap that long would be
/// unlikely.
const MAX_MISSED_ARRIVALS: f64 = 3.0;
/// Weight of the latest job in the share of each image. With this weight, at most about two hundred images are kept.
const IMAGE_WEIGHT: f64 = 0.03;
/// An image whose share is not above this is removed.
const MIN_IMAGE_SHARE: f64 = IMAGE_WEIGHT / 8.0;
/// Weight of the latest job in the averages of tasks per job.
const TASKS_WEIGHT: f64 = 0.1;
/// Lower bound of the weight of a run, however many came before it.
const MIN_RUN_WEIGHT: f64 = 0.05;
/// Bounds of the ratio that one run contributes.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 10.0;
/// Bounds of the factor by which estimates are corrected.
const MIN_FACTOR: f64 = 0.3;
const MAX_FACTOR: f64 = 3.0;

impl ClassStatistics {
    /// Adds a run, given its time over the estimate. Each further run has less weight, down to a twentieth, so that the
    /// correction still follows changes over the day.
    pub fn record_run(&mut self, ratio: f64) {
        self.runs += 1.0;
        let weight = (1.0 / (self.runs + 2.0)).max(MIN_RUN_WEIGHT);
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        self.log_ratio += (ratio.ln() - self.log_ratio) * weight;
    }

    /// Counts a job that was accepted at `at_ms`, a wall-clock time.
    pub fn record_arrival(&mut self, spec: &JobSpec, at_ms: u64) {
        self.rate = self.rate(at_ms) + 1000.0 / ARRIVAL_TIME_CONSTANT_MS;
        self.rate_updated_at = self.rate_updated_at.max(at_ms);
        let weight = if self.latest_spec.is_none() {
            1.0
        } else {
            TASKS_WEIGHT
        };
        let tasks = f64::from(spec.tasks);
        self.tasks += (tasks - self.tasks) * weight;
        self.tasks_squared += (tasks * tasks - self.tasks_squared) * weight;
        self.count_image(spec);
        self.latest_spec = Some(Box::new(spec.clone()));
    }

    /// Raises the share of the job's image and lowers that of all others.
    fn count_image(&mut self, spec: &JobSpec) {
        self.images
            .iter_mut()
            .for_each(|(_, _, share)| *share *= 1.0 - IMAGE_WEIGHT);
        match self
            .images
            .iter_mut()
            .find(|(name, _, _)| *name == spec.image)
        {
            Some((_, gb, share)) => {
                *gb = spec.image_gb;
                *share += IMAGE_WEIGHT;
            }
            None => {
                self.images.retain(|(_, _, share)| *share > MIN_IMAGE_SHARE);
                self.images
                    .push((spec.image.clone(), spec.image_gb, IMAGE_WEIGHT));
            }
        }
    }

    /// Expected jobs per second.
    pub fn rate(&self, wall_ms: u64) -> f64 {
        let elapsed_ms = wall_ms.saturating_sub(self.rate_updated_at) as f64;
        if self.rate_updated_at == 0 {
            return 0.0;
        }
        // A long gap since the last arrival disproves a high rate sooner than the average decays.
        (self.rate * (-elapsed_ms / ARRIVAL_TIME_CONSTANT_MS).exp())
            .min(MAX_MISSED_ARRIVALS * 1000.0 / elapsed_ms.max(1.0))
    }

    /// Factor by which estimates are to be multiplied.
    pub fn estimate_factor(&self) -> f64 {
        self.log_ratio.exp().clamp(MIN_FACTOR, MAX_FACTOR)
    }
}
