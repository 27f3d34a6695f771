//! Statistics of job classes: run times against estimates, and arrivals, from which demand is predicted.

use wire::api::JobSpec;

/// What was seen of a class: run times against estimates, and how often its jobs come.
#[derive(Debug, Clone, Default)]
pub(crate) struct Class {
    /// Runs seen, and the logarithm of their times over the estimates, as a mean that forgets.
    runs: f64,
    log_ratio: f64,
    /// Jobs a second, as a mean that forgets, and the time of day it was last brought up to.
    rate: f64,
    rate_updated_at: u64,
    /// Tasks a job, and their square, as means that forget.
    pub tasks: f64,
    pub tasks_squared: f64,
    /// Images with their size and their share of the jobs, as means that forget.
    pub images: Vec<(String, f64, f64)>,
    /// Its latest job, which the next is expected to resemble.
    pub like: Option<Box<JobSpec>>,
}

/// Arrivals longer ago than this hardly count.
const ARRIVAL_TIME_CONSTANT_MS: f64 = 150_000.0;
/// So many arrivals fitting into the time since the last one would make that silence unlikely.
const MAX_MISSED_ARRIVALS: f64 = 3.0;
/// How fast the share of an image follows the arrivals; with it, some two hundred images are remembered at most.
const IMAGE_WEIGHT: f64 = 0.03;
/// An image with no greater share is forgotten.
const MIN_IMAGE_SHARE: f64 = IMAGE_WEIGHT / 8.0;
/// How fast the mean of tasks a job follows the arrivals.
const TASKS_WEIGHT: f64 = 0.1;
/// A run counts for no less than this, however many came before it.
const MIN_RUN_WEIGHT: f64 = 0.05;
/// One run proves no more than these, and estimates are corrected by no more than those.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 10.0;
const MIN_FACTOR: f64 = 0.3;
const MAX_FACTOR: f64 = 3.0;

impl Class {
    /// Learns from a run, by its time over the estimate. Each run moves the correction less, down to a twentieth, so that it follows the day.
    pub fn learn(&mut self, ratio: f64) {
        self.runs += 1.0;
        let weight = (1.0 / (self.runs + 2.0)).max(MIN_RUN_WEIGHT);
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        self.log_ratio += (ratio.ln() - self.log_ratio) * weight;
    }

    /// Counts a job that was accepted at that time of day.
    pub fn arrived(&mut self, spec: &JobSpec, at_ms: u64) {
        self.rate = self.rate(at_ms) + 1000.0 / ARRIVAL_TIME_CONSTANT_MS;
        self.rate_updated_at = self.rate_updated_at.max(at_ms);
        let weight = if self.like.is_none() {
            1.0
        } else {
            TASKS_WEIGHT
        };
        let tasks = f64::from(spec.tasks);
        self.tasks += (tasks - self.tasks) * weight;
        self.tasks_squared += (tasks * tasks - self.tasks_squared) * weight;
        self.count_image(spec);
        self.like = Some(Box::new(spec.clone()));
    }

    /// Raises the share of a job's image at the cost of all others.
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

    /// Jobs a second that are to be expected.
    pub fn rate(&self, wall_ms: u64) -> f64 {
        let elapsed_ms = wall_ms.saturating_sub(self.rate_updated_at) as f64;
        if self.rate_updated_at == 0 {
            return 0.0;
        }
        // A long silence speaks against a high rate sooner than the mean forgets it.
        (self.rate * (-elapsed_ms / ARRIVAL_TIME_CONSTANT_MS).exp())
            .min(MAX_MISSED_ARRIVALS * 1000.0 / elapsed_ms.max(1.0))
    }

    /// What estimates are to be multiplied by.
    pub fn factor(&self) -> f64 {
        self.log_ratio.exp().clamp(MIN_FACTOR, MAX_FACTOR)
    }
}
