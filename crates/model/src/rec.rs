//! The record of a model in the state service, and the transitions that its owner makes.

use crate::spec::Rule;
use serde::{Deserialize, Serialize};

/// Maximum number of machines that a record lists as holding the model's weights.
pub const MAX_WEIGHT_HOLDERS: usize = 8;
/// Base of the exponential backoff after failed wakes, doubled per consecutive failure: the first failure waits 60 s.
const BASE_BACKOFF_MS: u64 = 30_000;
const MAX_BACKOFF_MS: u64 = 3_600_000;
/// Nodes that see demand report it again within this fraction of the idle time, so an owner waits that much longer
/// than the idle time before the model goes to sleep.
pub(crate) const DEMAND_REFRESH_RATIO: f64 = 0.25;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// At most its minimum of replicas is wanted, and no more exist.
    Asleep,
    /// Replicas are to be started.
    Waking,
    /// At least one replica has run in this generation.
    Awake,
    /// Replicas are being stopped; some may still run.
    Leaving,
}

/// The record of a model. A missing record is equivalent to [`Rec::new`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rec {
    pub phase: Phase,
    /// Incremented by each wake; never decreases.
    pub generation: u64,
    /// Wall-clock time at which this phase began.
    pub since_ms: u64,
    /// The node that began this generation or phase.
    pub by: String,
    /// Number of replicas that the generation wants.
    pub wanted: u32,
    /// Time of the latest demand that could not be reported to the owner directly.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub asked_ms: u64,
    /// Times of the latest wakes, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wakes: Vec<u64>,
    /// Number of consecutive failed wakes.
    #[serde(default, skip_serializing_if = "is_none")]
    pub failed: u32,
    /// Earliest time of the next wake, set by the backoff after a failed one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub not_before_ms: u64,
    /// Machines that held the weights when the record was written; only a hint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub near: Vec<String>,
}

fn is_zero(v: &u64) -> bool {
    *v == 0
}
fn is_none(v: &u32) -> bool {
    *v == 0
}

/// The owner's current view of a model.
#[derive(Debug, Clone, Default)]
pub struct OwnerView {
    /// Replicas that hold a claim, including those being stopped.
    pub claimed: u32,
    /// Replicas that run.
    pub running: u32,
    /// Time since the last demand, according to the reports of all live nodes.
    pub quiet_ms: u64,
    /// Machines that hold the weights.
    pub near: Vec<String>,
}

impl Default for Rec {
    fn default() -> Self {
        Rec::new()
    }
}

impl Rec {
    /// The record of a model without any demand so far.
    pub fn new() -> Self {
        Rec {
            phase: Phase::Asleep,
            generation: 0,
            since_ms: 0,
            by: String::new(),
            wanted: 0,
            asked_ms: 0,
            wakes: Vec::new(),
            failed: 0,
            not_before_ms: 0,
            near: Vec::new(),
        }
    }

    /// Number of replicas that may exist, for a job with this many tasks.
    pub fn replicas(&self, rule: &Rule, tasks: u32) -> u32 {
        match self.phase {
            Phase::Waking | Phase::Awake => self
                .wanted
                .min(rule.awake_replicas(tasks))
                .max(rule.resting_replicas(tasks)),
            Phase::Asleep | Phase::Leaving => rule.resting_replicas(tasks),
        }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.phase, Phase::Waking | Phase::Awake)
    }

    /// The record of the next generation, begun by `node` at `now_ms`.
    pub(crate) fn begin_generation(&self, rule: &Rule, tasks: u32, node: &str, now_ms: u64) -> Rec {
        let mut wakes = self.wakes.clone();
        wakes.push(now_ms);
        let excess = wakes.len().saturating_sub(rule.wakes as usize);
        wakes.drain(..excess);
        Rec {
            phase: Phase::Waking,
            generation: self.generation + 1,
            since_ms: now_ms,
            by: node.to_owned(),
            wanted: rule.awake_replicas(tasks),
            asked_ms: 0,
            wakes,
            ..self.clone()
        }
    }

    /// The record that the owner has to write next, or `None` if nothing changes.
    pub fn next_record(
        &self,
        rule: &Rule,
        tasks: u32,
        node: &str,
        now_ms: u64,
        view: &OwnerView,
    ) -> Option<Rec> {
        let resting = rule.resting_replicas(tasks);
        let phase_ms = now_ms.saturating_sub(self.since_ms);
        let in_phase = |phase: Phase| {
            let mut near = view.near.clone();
            near.truncate(MAX_WEIGHT_HOLDERS);
            let near = if near.is_empty() {
                self.near.clone()
            } else {
                near
            };
            Rec {
                phase,
                since_ms: now_ms,
                by: node.to_owned(),
                near,
                ..self.clone()
            }
        };
        match self.phase {
            Phase::Waking if view.running > 0 => Some(Rec {
                failed: 0,
                not_before_ms: 0,
                ..in_phase(Phase::Awake)
            }),
            Phase::Waking if phase_ms as f64 >= rule.give_up_s * 1000.0 => {
                let failed = self.failed.saturating_add(1);
                let backoff_ms = BASE_BACKOFF_MS
                    .saturating_mul(1 << failed.min(16))
                    .min(MAX_BACKOFF_MS);
                Some(Rec {
                    failed,
                    not_before_ms: now_ms + backoff_ms,
                    ..in_phase(Phase::Leaving)
                })
            }
            Phase::Awake if resting < self.wanted => {
                let since_asked_ms = now_ms.saturating_sub(self.asked_ms);
                let idle_ms = view.quiet_ms.min(phase_ms).min(since_asked_ms) as f64;
                (idle_ms >= rule.idle_s * (1.0 + DEMAND_REFRESH_RATIO) * 1000.0)
                    .then(|| in_phase(Phase::Leaving))
            }
            Phase::Leaving if view.claimed <= resting => Some(in_phase(Phase::Asleep)),
            _ => None,
        }
    }
}
