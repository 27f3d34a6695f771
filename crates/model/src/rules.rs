//! Decides what to do about demand for a model.

use crate::rec::{DEMAND_REFRESH_RATIO, Phase, Rec};
use crate::spec::Rule;
use serde::{Deserialize, Serialize};

/// Why a model is not woken at present.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It has reached its limit of wakes per period.
    TooOften,
    /// The latest wakes failed; the next has to wait.
    Backoff { failed: u32 },
}

/// What the node that receives demand has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DemandDecision {
    /// Nothing: the model is awake or waking, and the demand follows that generation.
    Follow,
    /// Begin the next generation by writing this record, on condition that the record did not change since it was read.
    Wake(Box<Rec>),
    /// Refuse to wake the model before `until_ms`.
    NotNow { why: Why, until_ms: u64 },
}

/// Decides what to do when `node` receives demand for a model with the record `rec`. A model in [`Phase::Leaving`] is
/// woken too: replicas that are being stopped keep their claims, so none is started again before its end is proved.
pub fn decide_demand(
    rec: &Rec,
    rule: &Rule,
    tasks: u32,
    node: &str,
    now_ms: u64,
) -> DemandDecision {
    if rec.is_up() {
        return DemandDecision::Follow;
    }
    if now_ms < rec.not_before_ms {
        return DemandDecision::NotNow {
            why: Why::Backoff { failed: rec.failed },
            until_ms: rec.not_before_ms,
        };
    }
    let period_ms = (rule.period_s * 1000.0) as u64;
    let recent: Vec<u64> = rec
        .wakes
        .iter()
        .copied()
        .filter(|at| at.saturating_add(period_ms) > now_ms)
        .collect();
    if recent.len() >= rule.wakes as usize {
        let excess = recent.len() - rule.wakes as usize;
        return DemandDecision::NotNow {
            why: Why::TooOften,
            until_ms: recent[excess] + period_ms,
        };
    }
    DemandDecision::Wake(Box::new(rec.begin_generation(rule, tasks, node, now_ms)))
}

impl Rec {
    /// The record that notes demand for an awake model when the owner cannot be reached. A concurrent transition to
    /// sleep that did not take this demand into account then fails, because its condition on the record does not hold.
    pub fn with_demand_at(&self, now_ms: u64) -> Option<Rec> {
        (self.phase == Phase::Awake).then(|| Rec {
            asked_ms: now_ms,
            ..self.clone()
        })
    }
}

impl Rule {
    /// Interval within which nodes report continuing demand again.
    pub fn demand_refresh_ms(&self) -> u64 {
        (self.idle_s * DEMAND_REFRESH_RATIO * 1000.0) as u64
    }
}
