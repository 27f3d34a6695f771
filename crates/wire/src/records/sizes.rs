//! Upper bounds of record lengths, in bytes of JSON: the state service limits the length of a value in its JSON form.
//!
//! Records grow entry by entry. These bounds tell a writer, without encoding, whether the next entry still fits into
//! one value of the state service.

use super::{ClaimsRecord, DoneRecord, KindRecord};

/// Longest decimal number in a record, with its separator.
const MAX_NUMBER_LEN: usize = 24;
/// Most bytes of JSON for one byte of text. Names that the system makes itself need no escapes; names of teams, machine
/// types and zones come from outside and may need them.
const MAX_ESCAPED_BYTE_LEN: usize = 6;
/// Longest task number or count of tasks in claims, with its separator.
const MAX_CLAIM_TASK_LEN: usize = 11;
/// Longest task number or count of tasks in completed tasks, with its separator.
const MAX_DONE_TASK_LEN: usize = 7;
/// How many numbers a record of claims has outside its entries: cores, GPUs, memory and the attempt.
const CLAIMS_NUMBER_COUNT: usize = 4;
/// Field names and punctuation of a record of claims, without its county.
const CLAIMS_FIELDS_LEN: usize = 80;
/// Field names and punctuation of the county in a record of claims, without the county's id.
const COUNTY_FIELDS_LEN: usize = 32;
/// Quotes, brackets and separators around one entry of claims.
const CLAIM_PUNCTUATION_LEN: usize = 6;
/// Field names and punctuation of a record of completed tasks.
const DONE_FIELDS_LEN: usize = 32;
/// Brackets and separators around one range of completed tasks.
const DONE_PUNCTUATION_LEN: usize = 4;
/// Quotes, brackets and separators around one machine of an inventory shard.
const MACHINE_PUNCTUATION_LEN: usize = 8;
/// Field names and punctuation of a [`KindRecord`].
const KIND_FIELDS_LEN: usize = 64;

impl ClaimsRecord {
    /// Maximum length without entries and county.
    pub fn frame(job: &str, team: &str) -> usize {
        job.len()
            + team.len() * MAX_ESCAPED_BYTE_LEN
            + CLAIMS_NUMBER_COUNT * MAX_NUMBER_LEN
            + CLAIMS_FIELDS_LEN
    }

    /// Maximum length that the county adds.
    pub fn county(county: &str) -> usize {
        county.len() + COUNTY_FIELDS_LEN
    }

    /// Maximum length that one entry adds: a machine and a range of tasks.
    pub fn entry(machine: &str) -> usize {
        machine.len() + 2 * MAX_CLAIM_TASK_LEN + CLAIM_PUNCTUATION_LEN
    }
}

impl DoneRecord {
    /// Maximum length that one range of tasks adds.
    pub const ENTRY: usize = 2 * MAX_DONE_TASK_LEN + DONE_PUNCTUATION_LEN;

    /// Maximum length without ranges.
    pub fn frame(job: &str) -> usize {
        job.len() + DONE_FIELDS_LEN
    }
}

impl KindRecord {
    /// Maximum length that a machine adds to its inventory shard, including a [`KindRecord`] of its own.
    pub fn entry(machine: &str, machine_type: &str, zone: &str) -> usize {
        let names = (machine_type.len() + zone.len()) * MAX_ESCAPED_BYTE_LEN;
        machine.len() + MAX_NUMBER_LEN + MACHINE_PUNCTUATION_LEN + names + KIND_FIELDS_LEN
    }
}
