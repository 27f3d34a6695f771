//! What controllers say to each other: CBOR over the same HTTP framing.

use crate::BadBody;
use crate::api::{JobSpec, JobState};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

pub const PATH: &str = "/peer";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// The state of a job, from its owner.
    Query { job: String },
    /// Cancel a job for a user.
    Cancel { job: String },
    /// Accept a job, for a node that the state service does not answer.
    Submit { spec: Box<JobSpec> },
    /// The state of a job, from a node that can read it.
    Lookup { job: String },
    /// The asker has become the owner. Nothing is decided by it: it only saves those who can't read the state
    /// service from sending workers the wrong way.
    Owns { node: String, token: u64 },
    /// An owner that is unsure asks whether anybody can have told of a cancel under a higher token than its own.
    Vouch { token: u64 },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    State(JobState),
    /// The job has been accepted just now.
    Accepted(JobState),
    /// What the user is to be told instead.
    Refused {
        status: u16,
    },
    /// The owner does not know the job: look into the state service.
    Unknown,
    /// Not the owner, or not sure of it.
    NotNow,
    /// Up to now, this node has told nobody of a cancel under a higher token.
    Vouched,
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory cannot fail for these types.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, BadBody> {
    ciborium::de::from_reader_with_recursion_limit(body, 16).map_err(|e| BadBody(e.to_string()))
}
