//! What the state service holds of a model, and what its owner makes of it.

use crate::spec::Rule;
use serde::{Deserialize, Serialize};

/// Machines that a record names as having the weights.
pub const MAX_NEAR: usize = 8;
/// After a wake that came to nothing the next one waits this long, twice as long each time.
const BASE_BACKOFF_MS: u64 = 30_000;
const MAX_BACKOFF_MS: u64 = 3_600_000;
/// Demand is said again within this part of the idle time, by nodes that hear of it; an owner waits as much longer.
pub(crate) const DEMAND_REFRESH_RATIO: f64 = 0.25;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No more than its least replicas are wanted, and no more are there.
    Asleep,
    /// They are to be started.
    Waking,
    /// One at least has run in this generation.
    Awake,
    /// Replicas are being stopped; some may still be there.
    Leaving,
}

/// The record of a model. One that was never written is as good as [`Rec::new`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rec {
    pub phase: Phase,
    /// Rises with each wake and never falls.
    pub generation: u64,
    /// Time of day at which it came into this phase.
    pub since_ms: u64,
    /// The node that began this generation, or this phase.
    pub by: String,
    /// Replicas that the generation wants.
    pub wanted: u32,
    /// The last demand that nobody could tell the owner of.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub asked_ms: u64,
    /// Times of the latest wakes, the oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wakes: Vec<u64>,
    /// Wakes in a row that came to nothing, and when the next may begin.
    #[serde(default, skip_serializing_if = "is_none")]
    pub failed: u32,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub not_before_ms: u64,
    /// Machines that had the weights when the record was written: a hint only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub near: Vec<String>,
}

fn is_zero(v: &u64) -> bool {
    *v == 0
}
fn is_none(v: &u32) -> bool {
    *v == 0
}

/// What its owner sees of a model now.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Replicas that are claimed, also those on their way out, and those that run.
    pub claimed: u32,
    pub running: u32,
    /// How long nobody has asked, as far as all live nodes have said.
    pub quiet_ms: u64,
    /// Machines that have the weights.
    pub near: Vec<String>,
}

impl Default for Rec {
    fn default() -> Self {
        Rec::new()
    }
}

impl Rec {
    /// A model that nobody has ever asked for.
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

    /// Replicas that may be there of a job of so many tasks.
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

    /// The next generation, begun by a node at a time.
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

    /// What the owner has to write next, if anything.
    pub fn next(
        &self,
        rule: &Rule,
        tasks: u32,
        node: &str,
        now_ms: u64,
        seen: &Seen,
    ) -> Option<Rec> {
        let resting = rule.resting_replicas(tasks);
        let phase_ms = now_ms.saturating_sub(self.since_ms);
        let in_phase = |phase: Phase| {
            let mut near = seen.near.clone();
            near.truncate(MAX_NEAR);
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
            Phase::Waking if seen.running > 0 => Some(Rec {
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
                let idle_ms = seen.quiet_ms.min(phase_ms).min(since_asked_ms) as f64;
                (idle_ms >= rule.idle_s * (1.0 + DEMAND_REFRESH_RATIO) * 1000.0)
                    .then(|| in_phase(Phase::Leaving))
            }
            Phase::Leaving if seen.claimed <= resting => Some(in_phase(Phase::Asleep)),
            _ => None,
        }
    }
}
