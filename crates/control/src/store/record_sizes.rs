//! Lengths of records and of their entries in JSON, which is the encoding that the state service counts.

use crate::documents::county_counts;
use crate::jobs::job::Job;
use crate::store::write_limits::WriteLimits;
use serde::Serialize;
use wire::records::{ClaimsRecord, KindRecord};

/// Punctuation characters of an entry: `["",,],` around a name and two numbers.
const ENTRY_PUNCTUATION: usize = 7;
/// Maximum number of digits of a task number or of a number of tasks.
const TASK_DIGITS: usize = 6;
/// Number of digits of a wall-clock time in milliseconds, including one in reserve for later centuries.
const TIME_DIGITS: usize = 14;

/// The length of a record as the service counts it.
pub(crate) fn length<T: Serialize>(record: &T) -> usize {
    document::text(record).len()
}

/// Length that claims on a job's tasks add to a log record, without the machines.
pub(crate) fn claims_frame(limits: &WriteLimits, job: &Job) -> usize {
    if !limits.are_tight() {
        return ClaimsRecord::frame(&job.id, &job.team) + county_counts::max_claims_bytes(job);
    }
    // `u64::MAX` has as many digits as any attempt number; one more byte is for the comma.
    length(&ClaimsRecord {
        job: job.id.clone(),
        team: job.team.clone(),
        cores: job.need.cores,
        gpus: job.need.gpus,
        mem_gb: job.need.mem_gb,
        attempt: u64::MAX,
        on: Vec::new(),
        county: county_counts::claims_county(job),
        alone: job.tenant.is_isolated,
    }) + 1
}

/// Length that a claim on a machine adds to the claims of its job.
pub(crate) fn claims_entry(limits: &WriteLimits, machine: &str) -> usize {
    if limits.are_tight() {
        length(&machine) + 2 * TASK_DIGITS + ENTRY_PUNCTUATION
    } else {
        ClaimsRecord::entry(machine)
    }
}

/// Length that a machine adds to an inventory shard that already has machines of its kind.
pub(crate) fn inventory_entry(machine: &str) -> usize {
    length(&machine) + TIME_DIGITS + ENTRY_PUNCTUATION
}

/// Length that a kind of machine adds to an inventory shard.
pub(crate) fn inventory_kind(machine_type: &str, zone: &str) -> usize {
    let kind = KindRecord {
        machine_type: machine_type.to_owned(),
        zone: zone.to_owned(),
        spot: false,
        machines: Vec::new(),
    };
    length(&kind) + 1
}
