//! Messages between controllers: CBOR over HTTP.

use crate::DecodeError;
use crate::users::{JobSpec, JobState};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_bytes::ByteBuf;

/// Maximum nesting depth of maps and lists in a message.
const MAX_DEPTH: usize = 16;

/// The path of requests between controllers.
pub const PATH: &str = "/peer";

/// A request from one controller to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks the leader for the state of a job.
    Query {
        /// The id of the job.
        job: String,
    },
    /// Cancels a job on behalf of a user.
    Cancel {
        /// The id of the job.
        job: String,
    },
    /// Submits a job on behalf of a node that gets no response from the state service.
    Submit {
        /// The job as its user submitted it.
        spec: Box<JobSpec>,
    },
    /// Asks for the state of a job from a node that can read the state service or has the job's final state in memory.
    Lookup {
        /// The id of the job.
        job: String,
        /// Whether the leader need not be asked: it makes the request itself, or has been asked before.
        #[serde(default)]
        #[serde(rename = "past_owner")]
        past_leader: bool,
    },
    /// Announces that the requester has become the leader. No decision depends on it: it only keeps nodes that can't
    /// read the state service from redirecting agents to the wrong node.
    #[serde(rename = "Owns")]
    Leads {
        /// The new leader.
        node: String,
        /// Its fencing token.
        token: u64,
    },
    /// Sends the requester's status and asks for the receiver's.
    #[serde(rename = "View")]
    PeerStatus(PeerStatus),
    /// Relays heartbeats of agents that can't reach the leader.
    Reports {
        /// The controller that received the heartbeats.
        node: String,
        /// Heartbeats, encoded as the agents sent them.
        reports: Vec<ByteBuf>,
    },
    /// Asks the receiver to relay a command to an agent that it can reach.
    #[serde(rename = "Tell")]
    Command {
        /// The machine's name.
        machine: String,
        /// The agent's address and port.
        addr: String,
        /// The orders, encoded for the agent.
        body: ByteBuf,
    },
    /// Requests a model. If `leader` is set, it tells the leader of the demand, so that it does not put the model to
    /// sleep.
    Wake {
        /// The id of the model's job.
        model: String,
        /// Whether only the leader handles the request; other nodes answer [`PeerResponse::NotNow`].
        #[serde(rename = "owner")]
        leader: bool,
    },
}

/// The response of one controller to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The state of the job.
    State(JobState),
    /// The job has been accepted by this request.
    Accepted(JobState),
    /// The user's request is refused.
    Refused {
        /// The HTTP status for the user.
        status: u16,
        /// The reason; empty in responses from versions that did not send it.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        why: String,
    },
    /// The leader does not know the job; the requester has to read it from the state service.
    Unknown,
    /// The node is not the leader or has no valid lease.
    NotNow,
    /// The status of the responding node.
    #[serde(rename = "View")]
    PeerStatus(PeerStatus),
    /// The encoded responses to relayed heartbeats, in the same order; an empty one is a refusal.
    Orders(Vec<ByteBuf>),
    /// The agent's response to a relayed command.
    #[serde(rename = "Told")]
    CommandResult {
        /// The HTTP status of the agent's response; 421 if the command was not sent.
        status: u16,
        /// The body of the agent's response.
        body: ByteBuf,
    },
    /// The status of the model.
    Model(Box<crate::models::ModelStatus>),
}

/// Maximum length of the reason for a refusal, in bytes. Longer ones are truncated.
pub const MAX_WHY: usize = 200;

impl PeerResponse {
    /// A refusal with the reason truncated to [`MAX_WHY`] bytes.
    pub fn refused(status: u16, why: &str) -> Self {
        PeerResponse::Refused {
            status,
            why: bounded(why).to_owned(),
        }
    }
}

/// The reason truncated to [`MAX_WHY`] bytes, at a character boundary.
pub fn bounded(why: &str) -> &str {
    &why[..why.floor_char_boundary(MAX_WHY)]
}

/// A node's status and its view of the state service and the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the node.
    pub node: String,
    /// Time since the last response of the state service to the node, in milliseconds.
    pub state_ms: Option<u64>,
    /// The highest fencing token that the node knows of, if it has read the token counter since its start. It has not
    /// sent any message under a higher token so far.
    pub token: Option<u64>,
    /// The node's fencing token, if it leads the fleet and its lease is valid.
    #[serde(rename = "owns")]
    pub leads: Option<u64>,
    /// The lowest token that the node may use in messages to agents, if it leads the fleet; `leads` is the highest.
    /// Versions that have a single token leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leads_from: Option<u64>,
    /// Whether the node leads the fleet and no agent has reached it directly since it became the leader.
    #[serde(default)]
    #[serde(rename = "deaf")]
    pub hears_no_agents: bool,
    /// Whether the state service refuses the node's requests or does not respond.
    #[serde(default)]
    pub down: bool,
    /// Whether the node leads the fleet and distributes the agents' heartbeats over all controllers.
    #[serde(default)]
    pub spreads: bool,
    /// In a response of the leader: permission for the requester to renew leases of agents in its own zone on the
    /// leader's behalf.
    #[serde(default)]
    #[serde(rename = "keep")]
    pub delegation: Option<LeaseDelegation>,
}

/// Permission to renew the leases of agents on the leader's behalf, except on some machines.
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
    // Encoding these types into memory can't fail.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

/// Decodes a message from CBOR.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    ciborium::de::from_reader_with_recursion_limit(body, MAX_DEPTH).map_err(DecodeError::malformed)
}
