//! Keys of the records, and the prefixes under which they are listed.

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
