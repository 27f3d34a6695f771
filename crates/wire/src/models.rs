//! Demand for models, and their status.

use model::{Phase, Why};
use serde::{Deserialize, Serialize};

/// The path at which operators say that a model is wanted. Any controller handles it.
pub const DEMAND: &str = "/admin/models/demand";

/// An operator's statement that a model is wanted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The id of its job.
    pub model: String,
}

/// The status of a model, for the client that asked for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// The id of the model's job.
    pub model: String,
    /// The phase of its life.
    pub phase: Phase,
    /// The generation of its replicas: a new one begins with every wake.
    pub generation: u64,
    /// When the phase began, as Unix time in milliseconds.
    pub since_ms: u64,
    /// While it wakes: when its first replica is expected, if boots and fetches take what they usually do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_ms: Option<u64>,
    /// Why it is not woken now, and when it may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
    /// When it may be woken at the earliest, as Unix time in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_before_ms: Option<u64>,
}

/// What only this kind of document is asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// All models, as the leader sees them.
    List {},
}

/// A model as its leader sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// The status that every client gets.
    #[serde(flatten)]
    pub told: ModelStatus,
    /// The name of the rule that the model falls under.
    pub rule: String,
    /// The class of its job.
    pub class: String,
    /// The team of its job.
    pub team: String,
    /// Replicas: those that the generation wants, that are claimed, and that run.
    pub wanted: u32,
    /// Replicas that are claimed.
    pub claimed: u32,
    /// Replicas that run.
    pub running: u32,
    /// The node that began this phase, and machines that had the weights.
    pub by: String,
    /// Machines that have the weights.
    pub near: Vec<String>,
    /// How long nobody has asked for it, in milliseconds.
    pub quiet_ms: u64,
}
