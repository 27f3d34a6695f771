//! Requests for models, and the status of models.

use model::{Phase, Why};
use serde::{Deserialize, Serialize};

/// The path of [`Demand`] requests. Any controller handles them.
pub const DEMAND: &str = "/admin/models/demand";

/// An operator's request for a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The id of its job.
    pub model: String,
}

/// The status of a model, for the client that requested it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// The id of the model's job.
    pub model: String,
    /// The phase of the model's lifecycle.
    pub phase: Phase,
    /// The generation of its replicas. Every wake-up begins a new one.
    pub generation: u64,
    /// When the phase began, as Unix time in milliseconds.
    pub since_ms: u64,
    /// While the model wakes up: when its first replica is expected, given the usual times for booting and fetching.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_ms: Option<u64>,
    /// Why the model is not woken up now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
    /// The earliest time at which the model may be woken up, as Unix time in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_before_ms: Option<u64>,
}

/// Requests that only this kind of document has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Lists all models as the leader sees them.
    List {},
}

/// A model as the leader sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// The status that every client gets.
    #[serde(flatten)]
    pub told: ModelStatus,
    /// The name of the rule that applies to the model.
    pub rule: String,
    /// The class of its job.
    pub class: String,
    /// The team of its job.
    pub team: String,
    /// Desired number of replicas of this generation.
    pub wanted: u32,
    /// Number of replicas with a claim on a machine.
    pub claimed: u32,
    /// Number of running replicas.
    pub running: u32,
    /// The node that began this phase.
    pub by: String,
    /// Machines that had the model's weights.
    pub near: Vec<String>,
    /// Time since the last request for the model, in milliseconds.
    pub quiet_ms: u64,
}
