//! Lengths of records and of what is added to them, in the form that the state service counts: JSON.

use crate::documents::county_counts;
use crate::jobs::job::Job;
use crate::store::write_limits::WriteLimits;
use serde::Serialize;
use wire::records::{ClaimsRecord, KindRecord};

/// Characters between the parts of an entry: `["",,],` around a name and two numbers.
const ENTRY_PUNCTUATION: usize = 7;
/// Digits of the longest task number or count of tasks.
const TASK_DIGITS: usize = 6;
/// Digits of a time of day in milliseconds, with room for a later century.
const TIME_DIGITS: usize = 14;

/// How long a record is as the service counts it.
pub(crate) fn length<T: Serialize>(record: &T) -> usize {
    document::text(record).len()
}

/// What claims on a job's tasks add to a log record, without the machines.
pub(crate) fn claims_frame(limits: &WriteLimits, job: &Job) -> usize {
    if !limits.are_tight() {
        return ClaimsRecord::frame(&job.id, &job.team) + county_counts::claims_bytes(job);
    }
    // With a comma. Attempts have at most twenty digits.
    length(&ClaimsRecord {
        job: job.id.clone(),
        team: job.team.clone(),
        cores: job.need.cores,
        gpus: job.need.gpus,
        mem_gb: job.need.mem_gb,
        attempt: u64::MAX,
        on: Vec::new(),
        county: county_counts::claims_county(job),
        alone: job.tenant.alone,
    }) + 1
}

/// What one claim on a machine adds to those of its job.
pub(crate) fn claims_entry(limits: &WriteLimits, machine: &str) -> usize {
    if limits.are_tight() {
        length(&machine) + 2 * TASK_DIGITS + ENTRY_PUNCTUATION
    } else {
        ClaimsRecord::entry(machine)
    }
}

/// What a machine adds to an inventory shard that has machines of its kind already.
pub(crate) fn inventory_entry(machine: &str) -> usize {
    length(&machine) + TIME_DIGITS + ENTRY_PUNCTUATION
}

/// What its kind adds to an inventory shard.
pub(crate) fn inventory_kind(machine_type: &str, zone: &str) -> usize {
    let kind = KindRecord {
        machine_type: machine_type.to_owned(),
        zone: zone.to_owned(),
        spot: false,
        machines: Vec::new(),
    };
    length(&kind) + 1
}
