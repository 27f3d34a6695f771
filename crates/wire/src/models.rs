//! What is said of models: by whoever wants one, and by whoever tells how it stands.

use model::{Phase, Why};
use serde::{Deserialize, Serialize};

/// Where operators say that a model is wanted. Any controller takes it and decides.
pub const DEMAND: &str = "/admin/models/demand";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The id of its job.
    pub model: String,
}

/// How a model stands for whoever has asked for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub model: String,
    pub phase: Phase,
    pub generation: u64,
    pub since_ms: u64,
    /// While it wakes: when its first replica is expected, if boots and fetches take what they usually do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_ms: Option<u64>,
    /// Why it is not woken now, and when it may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_before_ms: Option<u64>,
}

/// What only this kind of document is asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// All models, as the owner sees them.
    List {},
}

/// A model as its owner sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    #[serde(flatten)]
    pub told: Told,
    pub rule: String,
    pub class: String,
    pub team: String,
    /// Replicas: those that the generation wants, that are claimed, and that run.
    pub wanted: u32,
    pub claimed: u32,
    pub running: u32,
    /// The node that began this phase, and machines that had the weights.
    pub by: String,
    pub near: Vec<String>,
    pub quiet_ms: u64,
}
