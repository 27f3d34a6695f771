//! What becomes of a model that somebody asks for.

use crate::rec::{DEMAND_REFRESH_RATIO, Phase, Rec};
use crate::spec::Rule;
use serde::{Deserialize, Serialize};

/// Why a model is not woken now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It was woken as often as it may be.
    TooOften,
    /// The last wakes came to nothing.
    Backoff { failed: u32 },
}

/// What is to be done about demand, by whoever hears of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asked {
    /// It is awake, or a generation is on its way: that one is followed.
    Follow,
    /// The next generation begins by writing this, under a guard on the record as it was read.
    Wake(Box<Rec>),
    NotNow {
        why: Why,
        until_ms: u64,
    },
}

/// A model whose record is `rec` is asked for at `node`. A model that is leaving is woken too: replicas that are on
/// their way out still hold their places, so none is started a second time before it is proved gone.
pub fn asked(rec: &Rec, rule: &Rule, tasks: u32, node: &str, now_ms: u64) -> Asked {
    if rec.is_up() {
        return Asked::Follow;
    }
    if now_ms < rec.not_before_ms {
        return Asked::NotNow {
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
        return Asked::NotNow {
            why: Why::TooOften,
            until_ms: recent[excess] + period_ms,
        };
    }
    Asked::Wake(Box::new(rec.begin_generation(rule, tasks, node, now_ms)))
}

impl Rec {
    /// Demand for a model that is up, where the owner can't be told of it: the record says so, and a sleep that was
    /// decided without it fails on its guard.
    pub fn touched(&self, now_ms: u64) -> Option<Rec> {
        (self.phase == Phase::Awake).then(|| Rec {
            asked_ms: now_ms,
            ..self.clone()
        })
    }
}

impl Rule {
    /// Nodes say again within this time that a model is wanted.
    pub fn say_again_ms(&self) -> u64 {
        (self.idle_s * DEMAND_REFRESH_RATIO * 1000.0) as u64
    }
}
