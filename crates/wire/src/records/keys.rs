//! Keys of the records, and the prefixes by which they are listed.

/// The number of a shard: the part of the fleet that one controller leads.
pub type ShardId = u32;

/// Prefix of the records that every controller watches: leaders, the token counter, the catalogue, document heads.
pub const SHARED: &str = "sys/";
/// The counter of fencing tokens.
pub const TOKEN: &str = "sys/token";
/// The catalogue of machine types.
pub const CATALOG: &str = "sys/catalog";
/// Prefix of the records of jobs that have not ended.
pub const LIVE: &str = "live/";
/// Prefix of the final states of jobs.
pub const ENDED: &str = "end/";
/// The head of the quota tree: [`head_key`] of its kind.
pub const QUOTA: &str = "sys/quota";
/// Prefix of the quota tree's parts: [`parts_prefix`] of its kind.
pub const QUOTA_PARTS: &str = "quota/part/";
/// Prefix of the records of front ends other than the users' interface.
pub const FRONTEND_PREFIX: &str = "side/";

/// Prefix of the records of models that have been woken at least once, by the ids of their jobs.
pub const MODELS: &str = "model/";

/// The record of a model, by the id of its job.
pub fn model_key(model: &str) -> String {
    format!("{MODELS}{model}")
}
/// The head of a kind of document, which names the version in force. Every controller watches it and reads the
/// document's parts when it changes.
pub fn head_key(kind: &str) -> String {
    format!("{SHARED}{kind}")
}
/// Prefix of the parts of a kind of document.
pub fn parts_prefix(kind: &str) -> String {
    format!("{kind}/part/")
}
/// The leader record of a shard.
pub fn leader_key(shard: ShardId) -> String {
    format!("{SHARED}owner/{shard}")
}
/// A job that has not ended.
pub fn live_key(job: &str) -> String {
    format!("{LIVE}{job}")
}
/// The final state of a job.
pub fn end_key(job: &str) -> String {
    format!("{ENDED}{job}")
}
/// A record of a shard's claim log. The number is written as sixteen hexadecimal digits, so that keys sort by number.
pub fn log_key(shard: ShardId, number: u64) -> String {
    format!("{}{number:016x}", log_prefix(shard))
}
/// Prefix of a shard's claim log.
pub fn log_prefix(shard: ShardId) -> String {
    format!("part/{shard}/log/")
}
/// A shard of the machine inventory.
pub fn inventory_key(shard: ShardId, number: u64) -> String {
    format!("{}{number}", inventory_prefix(shard))
}
/// Prefix of a shard's machine inventory.
pub fn inventory_prefix(shard: ShardId) -> String {
    format!("part/{shard}/rack/")
}
/// The resources that a shard may give each team.
pub fn allotment_key(shard: ShardId) -> String {
    format!("part/{shard}/allot")
}
/// A record of job and task counts by county and class.
pub fn tally_key(shard: ShardId, number: u32) -> String {
    format!("{}{number}", tally_prefix(shard))
}
/// Prefix of a shard's records of counts.
pub fn tally_prefix(shard: ShardId) -> String {
    format!("part/{shard}/tally/")
}
/// Prefix of a shard's pending rental requests.
pub fn rentals_prefix(shard: ShardId) -> String {
    format!("part/{shard}/hire/")
}
