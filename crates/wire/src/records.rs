//! What controllers keep in the state service. All records of a shard carry its number in their keys,
//! so that a split into several shards needs no new layout.

use crate::api::{Catalog, JobSpec, Stage};
use serde::{Deserialize, Serialize};

/// The shard of the fleet that one controller owns.
pub type ShardId = u32;

/// Everything that every controller follows: leaders, tokens, the catalogue.
pub const SHARED: &str = "sys/";
pub const TOKEN: &str = "sys/token";
pub const CATALOG: &str = "sys/catalog";
pub const LIVE: &str = "live/";
pub const ENDED: &str = "end/";
/// [`head_key`] and [`parts_prefix`] of the quota tree.
pub const QUOTA: &str = "sys/quota";
pub const QUOTA_PARTS: &str = "quota/part/";
/// Records of doors beside the users' own.
pub const SIDE: &str = "side/";

/// Models that were ever woken, by the ids of their jobs.
pub const MODELS: &str = "model/";

pub fn model_key(model: &str) -> String {
    format!("{MODELS}{model}")
}
/// Which version of a kind of document is in force; every controller follows it. Its parts are read when it changes.
pub fn head_key(kind: &str) -> String {
    format!("{SHARED}{kind}")
}
pub fn parts_prefix(kind: &str) -> String {
    format!("{kind}/part/")
}
pub fn leader_key(shard: ShardId) -> String {
    format!("sys/owner/{shard}")
}
pub fn live_key(job: &str) -> String {
    format!("live/{job}")
}
pub fn end_key(job: &str) -> String {
    format!("end/{job}")
}
/// Sixteen digits, so that the order of the keys is that of the numbers.
pub fn log_key(shard: ShardId, number: u64) -> String {
    format!("{}{number:016x}", log_prefix(shard))
}
pub fn log_prefix(shard: ShardId) -> String {
    format!("part/{shard}/log/")
}
pub fn inventory_key(shard: ShardId, number: u64) -> String {
    format!("{}{number}", inventory_prefix(shard))
}
pub fn inventory_prefix(shard: ShardId) -> String {
    format!("part/{shard}/rack/")
}
pub fn allotment_key(shard: ShardId) -> String {
    format!("part/{shard}/allot")
}
/// Sheets of counts by county.
pub fn tally_key(shard: ShardId, number: u32) -> String {
    format!("{}{number}", tally_prefix(shard))
}
pub fn tally_prefix(shard: ShardId) -> String {
    format!("part/{shard}/tally/")
}
pub fn rentals_prefix(shard: ShardId) -> String {
    format!("part/{shard}/hire/")
}

/// Who leads a shard. Attached to the leader's lease, so that it goes when the leader does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    pub token: u64,
    /// Tells a lost answer to our own take-over from somebody else's.
    pub lease: u64,
    /// Which incarnation of the node wrote it; 0 in records of before.
    #[serde(default, skip_serializing_if = "is_zero")]
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The room that a shard may give each team; the shards' allotments add up to the team's limit at most.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AllotmentRecord {
    pub teams: Vec<TeamAllotment>,
    /// Where a list of all teams would be too large: a digest of it. The shard has the whole of each limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whole: Option<String>,
    /// The version of the quota tree whose bounds the shard keeps, all of them being its own as long as it is the only
    /// one; 0 without a tree. Nothing starts under a version that does not stand here.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tree: u64,
}

impl AllotmentRecord {
    /// All limits whole, in a record of at most `value` bytes.
    pub fn whole(teams: Vec<TeamAllotment>, tree: u64, value: usize) -> Self {
        let list = AllotmentRecord {
            teams,
            whole: None,
            tree,
        };
        if document::text(&list).len() <= value {
            return list;
        }
        AllotmentRecord {
            teams: Vec::new(),
            whole: Some(document::digest(&list.teams)),
            tree,
        }
    }
}

fn is_zero(v: &u64) -> bool {
    *v == 0
}
fn is_false(v: &bool) -> bool {
    !*v
}

/// A limit of 0 means none, as in the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamAllotment {
    pub name: String,
    pub cpus_max: f64,
    pub gpus_max: f64,
}

/// The one counter that all tokens come from; it only rises.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRecord {
    pub token: u64,
}

/// A job that was accepted and has not ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day of the acceptance; good within the clock error of the settings.
    pub at_ms: u64,
    #[serde(rename = "part")]
    pub shard: ShardId,
    /// What was agreed for it when it was accepted. Read from here, never worked out again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hour: Option<HourRecord>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<CountyRecord>,
}

impl JobRecord {
    /// One that nothing was agreed for.
    pub fn new(spec: JobSpec, at_ms: u64, shard: ShardId) -> Self {
        JobRecord {
            spec,
            at_ms,
            shard,
            hour: None,
            county: None,
        }
    }
}

/// The hour by which a job is to be released.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HourRecord {
    /// Time of day, in milliseconds.
    pub due_ms: u64,
    /// The version of the calendar that said so.
    pub version: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<MovedRecord>,
}

/// An operator's last move of an hour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MovedRecord {
    pub by: String,
    pub at_ms: u64,
    /// 0 if it had none.
    pub from_ms: u64,
}

/// The county that a job counts for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountyRecord {
    /// Its stable id.
    pub county: String,
    /// The version that bound it.
    pub version: u64,
    /// It shares no machine with other work at the same time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
    /// The only zones that it may run in; none for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
}

/// The final state of a job. Kept for ever.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    pub stage: Stage,
    pub done: u32,
    /// By when it was to end, and when it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hour: Option<EndHourRecord>,
    /// Where it was counted, so that counts can be made again from the records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<CountedRecord>,
}

/// What became of a job's hour: times of day, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndHourRecord {
    pub due_ms: u64,
    pub ended_ms: u64,
}

/// The county and the class that an ended job is counted in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountedRecord {
    pub county: String,
    pub class: String,
}

/// Machines that may exist: one leaves its inventory shard only when the cloud has said that it is gone. What a log record
/// says of a machine that stands in no inventory shard is void.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct InventoryRecord {
    pub kinds: Vec<KindRecord>,
}

/// Machines of one type and zone, with the time of day of their rental.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub machines: Vec<(String, u64)>,
}

/// What changed in one turn: claims that were made, on any number of machines, and results. A record is removed
/// once all that it says has been overtaken; until then it may also name claims that have ended.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LogRecord {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimsRecord>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<DoneRecord>,
    /// What ended in the same transaction, by county and class. The record stays until that is in their sheets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<county::Delta>,
}

/// Claims on tasks of one job by one attempt. What a task takes stands here too, so that it counts against the
/// team's limit until it is gone, also when the job itself has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimsRecord {
    pub job: String,
    pub team: String,
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub attempt: u64,
    /// Machine, first task, and how many tasks from there on.
    pub on: Vec<(String, u32, u32)>,
    /// Whose work it is, and whether it shares no machine: this holds until the tasks are gone, also when the job
    /// itself has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub county: Option<String>,
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
}

/// Completed tasks of a job that has not ended: the first, and how many from there on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DoneRecord {
    pub job: String,
    pub tasks: Vec<(u32, u32)>,
}

/// Digits of the longest number that a record holds, with what stands between two numbers.
const NUMBER: usize = 24;

impl ClaimsRecord {
    /// Bounds the length in the form that limits are counted in, without its entries.
    pub fn frame(job: &str, team: &str) -> usize {
        // JSON escapes at most six bytes for one; our own names are plain, teams are not ours.
        job.len() + team.len() * 6 + 4 * NUMBER + 80
    }
    /// The same for the county.
    pub fn county(county: &str) -> usize {
        county.len() + 32
    }
    /// The same for one entry.
    pub fn entry(machine: &str) -> usize {
        machine.len() + 2 * 11 + 6
    }
}

impl DoneRecord {
    pub fn frame(job: &str) -> usize {
        job.len() + 32
    }
    pub const ENTRY: usize = 2 * 7 + 4;
}

impl KindRecord {
    /// Bounds what a machine adds to its inventory shard's length, its kind included.
    pub fn entry(machine: &str, machine_type: &str, zone: &str) -> usize {
        machine.len() + NUMBER + 8 + (machine_type.len() + zone.len()) * 6 + 64
    }
}

/// Numbers in rising order as ranges: the first, and how many from there on.
pub fn ranges(tasks: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for t in tasks {
        match out.last_mut() {
            Some((first, n)) if *first + *n == t => *n += 1,
            _ => out.push((t, 1)),
        }
    }
    out
}

/// The reverse of [`ranges`]. No record makes us count further than a job can have tasks.
pub fn unrange(ranges: &[(u32, u32)]) -> impl Iterator<Item = u32> + '_ {
    ranges.iter().flat_map(|(first, n)| {
        let n = (*n).min(crate::api::MAX_TASKS.saturating_sub(*first));
        *first..first.saturating_add(n)
    })
}

/// A rental request whose answer has not been recorded yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub at_ms: u64,
}

/// The head of a document other than the quota tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeadRecord {
    pub document: document::Head,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    Leader(LeaderRecord),
    Token(TokenRecord),
    Job(Box<JobRecord>),
    End(EndRecord),
    Log(LogRecord),
    InventoryShard(InventoryRecord),
    Rental(RentalRecord),
    Tally(county::Sheet),
    Catalog(Catalog),
    Allotment(AllotmentRecord),
    Quota(crate::tree::HeadRecord),
    Document(HeadRecord),
    Model(model::Rec),
    /// A part of a document, in its kind's form; or what a door beside the users' own keeps, in that door's.
    Other(serde_json::Value),
}

/// What stands under [`SHARED`], read without knowing beforehand which.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedRecord {
    #[serde(default)]
    pub node: Option<String>,
    #[serde(default)]
    pub token: Option<u64>,
    #[serde(default)]
    pub lease: Option<u64>,
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The head of a document; the key tells which.
    #[serde(default, alias = "quota")]
    pub document: Option<document::Head>,
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<crate::api::MachineType>>,
}
