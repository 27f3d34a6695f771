//! Records in the room that one may take: texts for people are cut, and what can't be cut is refused when it is asked.

use crate::records::{AppRecord, DrainRecord, cut};
use control::write_limits::WriteLimits;
use serde::Serialize;
use yarn::error::{Class, Fault};

/// Part of a record that is left for what is said of an application later: its diagnostics and its tracking address.
const LATER: usize = 4;

fn length<T: Serialize>(record: &T) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |text| text.len())
}

/// The record as it is to be written: where it would be too large its longest texts are cut.
pub(super) fn fitted(rec: &AppRecord, limits: &WriteLimits) -> AppRecord {
    let mut rec = rec.clone();
    if !limits.are_tight() {
        return rec;
    }
    let over = |rec: &AppRecord| length(rec).saturating_sub(limits.value_bytes());
    let most = rec.diagnostics.len().saturating_sub(over(&rec));
    rec.diagnostics = cut(&rec.diagnostics, most);
    let most = rec.tracking.len().saturating_sub(over(&rec));
    rec.tracking = cut(&rec.tracking, most);
    // Only in records of before: what is accepted now has room for all its tags.
    while over(&rec) > 0 && rec.tags.pop().is_some() {}
    rec
}

/// Refuses an application whose record would leave no room for what is said of it later.
pub(super) fn check_app(rec: &AppRecord, limits: &WriteLimits) -> Result<(), Fault> {
    if !limits.are_tight() {
        return Ok(());
    }
    let most = limits.value_bytes() - limits.value_bytes() / LATER;
    let all = length(rec);
    if all <= most {
        return Ok(());
    }
    let fields = [
        ("application tags", length(&rec.tags)),
        ("application name", length(&rec.name)),
        ("application type", length(&rec.kind)),
        ("node label expression", length(&rec.label)),
        ("user", length(&rec.user)),
    ];
    let largest = fields.iter().max_by_key(|(_, n)| *n);
    let field = largest.map_or("application", |(name, _)| name);
    Err(Fault::new(
        Class::InvalidRequest,
        format!("{field}: too long; the record would take {all} bytes, and {most} are left for it"),
    ))
}

/// Refuses a drain that the record of all drains has no room for.
pub(super) fn check_drains(rec: &DrainRecord, limits: &WriteLimits) -> Result<(), Fault> {
    if !limits.are_tight() || length(rec) <= limits.value_bytes() {
        return Ok(());
    }
    let why = format!(
        "drains: {} queues and {} machines are more than a record holds",
        rec.queues.len(),
        rec.machines.len()
    );
    Err(Fault::new(Class::Yarn, why))
}
