//! Upper bounds of the lengths of records, in bytes of the JSON form that limits on values are counted in.
//!
//! Records grow entry by entry. With these bounds a writer knows, without encoding, when the next entry would no longer
//! fit into one value of the state service.

use super::{ClaimsRecord, DoneRecord, KindRecord};

/// Longest decimal number that a record holds, with what separates two numbers.
const MAX_NUMBER_LEN: usize = 24;
/// Most bytes that JSON takes for one byte of text. Our own names are plain; names of teams, machine types and zones are
/// not ours, and may need escapes.
const MAX_ESCAPED_BYTE_LEN: usize = 6;
/// A task number or a count of tasks, with its separator, in claims.
const MAX_CLAIM_TASK_LEN: usize = 11;
/// A task number or a count of tasks, with its separator, in completed tasks.
const MAX_DONE_TASK_LEN: usize = 7;
/// Numbers in a record of claims beside its entries: cores, GPUs, memory and the attempt.
const CLAIMS_NUMBER_COUNT: usize = 4;
/// Field names and punctuation of a record of claims without its county.
const CLAIMS_FIELDS_LEN: usize = 80;
/// The fields of the county in a record of claims, without its id.
const COUNTY_FIELDS_LEN: usize = 32;
/// Quotes, brackets and separators around one entry of claims.
const CLAIM_PUNCTUATION_LEN: usize = 6;
/// Field names and punctuation of a record of completed tasks.
const DONE_FIELDS_LEN: usize = 32;
/// Brackets and separators around one range of completed tasks.
const DONE_PUNCTUATION_LEN: usize = 4;
/// Quotes, brackets and separators around one machine of an inventory shard.
const MACHINE_PUNCTUATION_LEN: usize = 8;
/// Field names and punctuation of a kind of machines.
const KIND_FIELDS_LEN: usize = 64;

impl ClaimsRecord {
    /// The length without its entries and its county.
    pub fn frame(job: &str, team: &str) -> usize {
        job.len()
            + team.len() * MAX_ESCAPED_BYTE_LEN
            + CLAIMS_NUMBER_COUNT * MAX_NUMBER_LEN
            + CLAIMS_FIELDS_LEN
    }

    /// What its county adds.
    pub fn county(county: &str) -> usize {
        county.len() + COUNTY_FIELDS_LEN
    }

    /// What one entry adds: a machine and a range of tasks.
    pub fn entry(machine: &str) -> usize {
        machine.len() + 2 * MAX_CLAIM_TASK_LEN + CLAIM_PUNCTUATION_LEN
    }
}

impl DoneRecord {
    /// What one range of tasks adds.
    pub const ENTRY: usize = 2 * MAX_DONE_TASK_LEN + DONE_PUNCTUATION_LEN;

    /// The length without its ranges.
    pub fn frame(job: &str) -> usize {
        job.len() + DONE_FIELDS_LEN
    }
}

impl KindRecord {
    /// What a machine adds to its inventory shard, its kind included.
    pub fn entry(machine: &str, machine_type: &str, zone: &str) -> usize {
        let names = (machine_type.len() + zone.len()) * MAX_ESCAPED_BYTE_LEN;
        machine.len() + MAX_NUMBER_LEN + MACHINE_PUNCTUATION_LEN + names + KIND_FIELDS_LEN
    }
}
