//! What controllers keep in the state service. All records of a part carry its number in their keys,
//! so that a split into several parts needs no new layout.

use crate::api::{Catalog, JobSpec, Stage};
use serde::{Deserialize, Serialize};

/// The part of the fleet that one controller owns.
pub type Part = u32;

/// Everything that every controller follows: owners, tokens, the catalogue.
pub const SHARED: &str = "sys/";
pub const TOKEN: &str = "sys/token";
pub const CATALOG: &str = "sys/catalog";
pub const LIVE: &str = "live/";
pub const DONE: &str = "done/";

pub fn owner_key(part: Part) -> String {
    format!("sys/owner/{part}")
}
pub fn live_key(job: &str) -> String {
    format!("live/{job}")
}
pub fn end_key(job: &str) -> String {
    format!("end/{job}")
}
pub fn done_key(job: &str, chunk: u32) -> String {
    format!("done/{job}/{chunk}")
}
pub fn machines_prefix(part: Part) -> String {
    format!("part/{part}/machine/")
}
pub fn allot_key(part: Part) -> String {
    format!("part/{part}/allot")
}
pub fn hires_prefix(part: Part) -> String {
    format!("part/{part}/hire/")
}

/// Who owns a part. Attached to the owner's lease, so that it goes when the owner does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnerRec {
    pub node: String,
    pub token: u64,
    /// Tells a lost answer to our own take-over from somebody else's.
    pub lease: u64,
}

/// The room that a part may give each team; the parts' allotments add up to the team's limit at most.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AllotRec {
    pub teams: Vec<AllotedTeam>,
}

/// A limit of 0 means none, as in the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AllotedTeam {
    pub name: String,
    pub cpus_max: f64,
    pub gpus_max: f64,
}

/// The one counter that all tokens come from; it only rises.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRec {
    pub token: u64,
}

/// A job that was accepted and has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRec {
    pub spec: JobSpec,
    /// Time of day of the acceptance; good within the clock error of the settings.
    pub at_ms: u64,
    pub part: Part,
}

/// The final state of a job. Kept for ever.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndRec {
    pub stage: Stage,
    pub done: u32,
}

/// Completed tasks of a job that has not ended, `TASKS_PER_CHUNK` of them a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DoneRec {
    pub tasks: String,
}

pub const TASKS_PER_CHUNK: u32 = 8192;

/// Four tasks a hexadecimal digit: text, since the state service holds nothing binary.
pub fn pack_bits(bits: &[bool]) -> String {
    bits.chunks(4)
        .map(|c| c.iter().enumerate().fold(0u32, |v, (i, b)| v | (u32::from(*b) << i)))
        .filter_map(|v| char::from_digit(v, 16))
        .collect()
}

/// Indices of the set bits; unknown digits count as none.
pub fn unpack_bits(text: &str) -> impl Iterator<Item = u32> + '_ {
    text.chars().enumerate().flat_map(|(i, c)| {
        let v = c.to_digit(16).unwrap_or(0);
        (0..4u32).filter(move |b| v >> b & 1 == 1).map(move |b| i as u32 * 4 + b)
    })
}

/// The tasks of one job on one machine. What they take stands here too, so that it counts against the team's
/// limit until they are gone, also when the job itself has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimsRec {
    pub job: String,
    pub team: String,
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    /// Task number and attempt.
    pub tasks: Vec<(u32, u64)>,
}

/// A machine and the tasks that may be on it. A task is entered here before its start is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRec {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub hired_ms: u64,
    #[serde(default)]
    pub claims: Vec<ClaimsRec>,
}

/// A rental request whose answer has not been recorded yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HireRec {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub at_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    Owner(OwnerRec),
    Token(TokenRec),
    Job(JobRec),
    End(EndRec),
    Done(DoneRec),
    Machine(MachineRec),
    Hire(HireRec),
    Catalog(Catalog),
    Allot(AllotRec),
}

/// What stands under [`SHARED`], read without knowing beforehand which.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedRec {
    #[serde(default)]
    pub node: Option<String>,
    #[serde(default)]
    pub token: Option<u64>,
    #[serde(default)]
    pub lease: Option<u64>,
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<crate::api::MachineType>>,
}
