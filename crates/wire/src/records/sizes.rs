//! Upper bounds of the lengths of records, in bytes of the JSON form that limits on values are counted in.
//!
//! Records grow entry by entry. With these bounds a writer knows, without encoding, when the next entry would no longer
//! fit into one value of the state service.

use super::{ClaimsRecord, DoneRecord, KindRecord};

/// Longest decimal number that a record holds, with what separates two numbers.
const NUMBER: usize = 24;
/// Most bytes that JSON takes for one byte of text. Our own names are plain; names of teams, machine types and zones are
/// not ours, and may need escapes.
const ESCAPED_BYTE: usize = 6;
/// A task number or a count of tasks, with its separator, in claims.
const CLAIMED_TASK: usize = 11;
/// A task number or a count of tasks, with its separator, in completed tasks.
const COMPLETED_TASK: usize = 7;
/// Numbers in a record of claims beside its entries: cores, GPUs, memory and the attempt.
const CLAIMS_NUMBERS: usize = 4;
/// Field names and punctuation of a record of claims without its county.
const CLAIMS_FIELDS: usize = 80;
/// The fields of the county in a record of claims, without its id.
const COUNTY_FIELDS: usize = 32;
/// Quotes, brackets and separators around one entry of claims.
const CLAIM_PUNCTUATION: usize = 6;
/// Field names and punctuation of a record of completed tasks.
const DONE_FIELDS: usize = 32;
/// Brackets and separators around one range of completed tasks.
const DONE_PUNCTUATION: usize = 4;
/// Quotes, brackets and separators around one machine of an inventory shard.
const MACHINE_PUNCTUATION: usize = 8;
/// Field names and punctuation of a kind of machines.
const KIND_FIELDS: usize = 64;

impl ClaimsRecord {
    /// The length without its entries and its county.
    pub fn frame(job: &str, team: &str) -> usize {
        job.len() + team.len() * ESCAPED_BYTE + CLAIMS_NUMBERS * NUMBER + CLAIMS_FIELDS
    }

    /// What its county adds.
    pub fn county(county: &str) -> usize {
        county.len() + COUNTY_FIELDS
    }

    /// What one entry adds: a machine and a range of tasks.
    pub fn entry(machine: &str) -> usize {
        machine.len() + 2 * CLAIMED_TASK + CLAIM_PUNCTUATION
    }
}

impl DoneRecord {
    /// What one range of tasks adds.
    pub const ENTRY: usize = 2 * COMPLETED_TASK + DONE_PUNCTUATION;

    /// The length without its ranges.
    pub fn frame(job: &str) -> usize {
        job.len() + DONE_FIELDS
    }
}

impl KindRecord {
    /// What a machine adds to its inventory shard, its kind included.
    pub fn entry(machine: &str, machine_type: &str, zone: &str) -> usize {
        let names = (machine_type.len() + zone.len()) * ESCAPED_BYTE;
        machine.len() + NUMBER + MACHINE_PUNCTUATION + names + KIND_FIELDS
    }
}
