//! Messages between controllers: CBOR over the same HTTP framing.

use crate::DecodeError;
use crate::users::{JobSpec, JobState};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_bytes::ByteBuf;

/// Deepest nesting of a message that is read, in maps and lists.
const MAX_DEPTH: usize = 16;

/// The path of requests between controllers.
pub const PATH: &str = "/peer";

/// A request from one controller to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The state of a job, from its leader.
    Query {
        /// The id of the job.
        job: String,
    },
    /// Cancel a job for a user.
    Cancel {
        /// The id of the job.
        job: String,
    },
    /// Accept a job, for a node that the state service does not answer.
    Submit {
        /// The job as its user submitted it.
        spec: Box<JobSpec>,
    },
    /// The state of a job, from a node that can read it, or has its end in memory.
    Lookup {
        /// The id of the job.
        job: String,
        /// The leader asks, or has been asked.
        #[serde(default)]
        #[serde(rename = "past_owner")]
        past_leader: bool,
    },
    /// The requester has become the leader. Nothing is decided by it: it only saves those who can't read the state
    /// service from redirecting agents to the wrong node.
    #[serde(rename = "Owns")]
    Leads {
        /// The new leader.
        node: String,
        /// Its fencing token.
        token: u64,
    },
    /// What the requester sees, for what the other sees.
    #[serde(rename = "View")]
    PeerStatus(PeerStatus),
    /// Heartbeats of agents that can't reach the leader, as they were received.
    Reports {
        /// The controller that received the heartbeats.
        node: String,
        /// Heartbeats, encoded as the agents sent them.
        reports: Vec<ByteBuf>,
    },
    /// A command for an agent that the receiver can reach, encoded for the agent.
    #[serde(rename = "Tell")]
    Command {
        /// The machine's name.
        machine: String,
        /// The agent's address and port.
        addr: String,
        /// The encoded orders.
        body: ByteBuf,
    },
    /// A model is wanted. For the leader alone: it is to know of it, so that it does not put the model to sleep.
    Wake {
        /// The id of the model's job.
        model: String,
        /// Whether the request is for the leader alone; others answer that they are not.
        #[serde(rename = "owner")]
        leader: bool,
    },
}

/// The response of one controller to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The state of the job.
    State(JobState),
    /// The job has been accepted just now.
    Accepted(JobState),
    /// The user is refused.
    Refused {
        /// The HTTP status for the user.
        status: u16,
        /// The reason; empty from nodes of versions that did not send it.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        why: String,
    },
    /// The leader does not know the job: look into the state service.
    Unknown,
    /// Not the leader, or without a valid lease.
    NotNow,
    /// What the sender of the response sees.
    #[serde(rename = "View")]
    PeerStatus(PeerStatus),
    /// The encoded answers to heartbeats, in their order; an empty one is a refusal.
    Orders(Vec<ByteBuf>),
    /// The agent's answer to a command.
    #[serde(rename = "Told")]
    CommandResult {
        /// The HTTP status of the agent's answer; 421 if the command was not sent.
        status: u16,
        /// The body of the agent's answer.
        body: ByteBuf,
    },
    /// The status of the model.
    Model(Box<crate::models::ModelStatus>),
}

/// Longest reason that is passed on, in bytes.
pub const MAX_WHY: usize = 200;

impl PeerResponse {
    /// A refusal with as much of the reason as is passed on.
    pub fn refused(status: u16, why: &str) -> Self {
        PeerResponse::Refused {
            status,
            why: bounded(why).to_owned(),
        }
    }
}

/// The beginning of a reason, as much as is passed on.
pub fn bounded(why: &str) -> &str {
    &why[..why.floor_char_boundary(MAX_WHY)]
}

/// What a node sees of the others, and knows itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the node.
    pub node: String,
    /// How long ago the state service has answered it, in milliseconds.
    pub state_ms: Option<u64>,
    /// The highest token that it knows of, if it has read the counter since it began: up to now, it has told nobody of
    /// anything under a higher one.
    pub token: Option<u64>,
    /// Its token, if it leads the fleet and its lease is valid.
    #[serde(rename = "owns")]
    pub leads: Option<u64>,
    /// It leads the fleet, and no agent has reached it directly since.
    #[serde(default)]
    #[serde(rename = "deaf")]
    pub hears_no_agents: bool,
    /// The state service refuses it, or does not answer.
    #[serde(default)]
    pub down: bool,
    /// It leads the fleet, and has agents send heartbeats through all controllers.
    #[serde(default)]
    pub spreads: bool,
    /// From the leader, in an answer: what the requester may keep alive for it in its own zone.
    #[serde(default)]
    #[serde(rename = "keep")]
    pub delegation: Option<LeaseDelegation>,
}

/// The leader's token, and the machines whose leases must not be renewed under it by another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseDelegation {
    /// The leader's fencing token.
    pub token: u64,
    /// Names of machines whose leases must not be renewed.
    pub except: Vec<String>,
}

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory cannot fail for these types.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

/// Decodes a message from CBOR.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    ciborium::de::from_reader_with_recursion_limit(body, MAX_DEPTH).map_err(DecodeError::malformed)
}
