//! Whether a job can ever run: the one judgement of all nodes, by the job's own words, the settings, the machine types
//! and the documents in force. What it says counts only together with a transaction that is guarded by the same
//! documents and by the job's absence: an accepted job is never judged again.

use crate::Node;
use crate::leadership::election::SHARD;
use crate::scheduling::quota_usage::takes;
use crate::store::record_sizes;
use std::collections::BTreeSet;
use std::fmt;
use wire::api::{BODY_LIMIT, Catalog, JobSpec, Kind, MachineType};
use wire::records::JobRecord;

/// Amounts that differ by less are equal, as for the planner.
const EPS: f64 = 1e-6;
/// The state service counts values in another form, which takes somewhat more.
const STORED_SIZE_FACTOR: f64 = 1.3;

/// Why a job can never run. Its user reads the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Infeasible {
    UnknownTeam,
    AboveTeamLimit,
    /// A node of the quota tree above the team may use less.
    AboveTreeLimit,
    /// The county's document has no place for it.
    County(String),
    CatalogUnknown,
    FitsNoMachineType,
    FitsNoMachineTypeInCounty,
    /// Its tasks are to be spread over zones, of which only one is left to it.
    CannotSpread,
    /// Its record would be too large together with what is bound to it.
    RecordTooLarge,
    /// Its record would be too large for limits that are to come, mostly for this field.
    FieldTooLong(&'static str),
}

impl fmt::Display for Infeasible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Infeasible::FieldTooLong(field) => return write!(f, "{field}: too long to be kept"),
            Infeasible::UnknownTeam => "unknown team",
            Infeasible::AboveTeamLimit => "more than the team's limit",
            Infeasible::AboveTreeLimit => "more than a node above the team may use",
            Infeasible::County(why) => why,
            Infeasible::CatalogUnknown => "machine types not known yet",
            Infeasible::FitsNoMachineType => "fits no allowed machine type",
            Infeasible::FitsNoMachineTypeInCounty => "fits no machine type in its county's zones",
            Infeasible::CannotSpread => "its tasks are to be spread, and may be in one zone only",
            Infeasible::RecordTooLarge => "too large with what would be agreed for it",
        };
        f.write_str(text)
    }
}

impl Node {
    /// The record of a job accepted now, with all that is agreed for it from then on; or why it can never run.
    pub(crate) fn validated(&self, spec: &JobSpec, wall: u64) -> Result<JobRecord, Infeasible> {
        self.within_limits(spec)?;
        let county = self
            .county_for(spec)
            .map_err(|why| Infeasible::County(why.to_string()))?;
        let catalog = self.catalog().ok_or(Infeasible::CatalogUnknown)?;
        check_zones(spec, catalog, county.as_ref().map_or(&[], |c| &c.zones))?;
        let rec = JobRecord {
            hour: self.hour_for(spec, wall),
            county,
            ..JobRecord::new(spec.clone(), wall, SHARD)
        };
        if self.is_storable(&rec) {
            Ok(rec)
        } else if self.write_limits.are_tight() {
            Err(Infeasible::FieldTooLong(largest_field(spec)))
        } else {
            Err(Infeasible::RecordTooLarge)
        }
    }

    /// Whether the state service takes the record.
    pub(crate) fn is_storable(&self, rec: &JobRecord) -> bool {
        if self.write_limits.are_tight() {
            return record_sizes::length(rec) <= self.write_limits.value_bytes();
        }
        let limit = (self.settings.cluster.state.value_kb * 1024.0).min(BODY_LIMIT as f64);
        wire::encode(rec).len() as f64 * STORED_SIZE_FACTOR <= limit
    }

    /// Whether the team's limit, and all above it, would let the job run if nothing else ran. Of an array one task has to.
    fn within_limits(&self, spec: &JobSpec) -> Result<(), Infeasible> {
        let teams = &self.settings.cluster.teams;
        let team = teams
            .iter()
            .find(|t| t.name == spec.team)
            .ok_or(Infeasible::UnknownTeam)?;
        let tasks = f64::from(concurrent_tasks(spec));
        let over = |max: f64, need: f64| max > 0.0 && need * tasks > max + EPS;
        if over(team.cpus_max, spec.cores) || over(team.gpus_max, spec.gpus) {
            return Err(Infeasible::AboveTeamLimit);
        }
        let all = takes(spec.cores * tasks, spec.gpus * tasks, spec.mem_gb * tasks);
        if self.above_its_tree(&spec.team, &all) {
            return Err(Infeasible::AboveTreeLimit);
        }
        Ok(())
    }
}

/// Names the field that takes most of a record which would be too large.
fn largest_field(spec: &JobSpec) -> &'static str {
    let fields = [
        (record_sizes::length(&spec.class), "lot"),
        (record_sizes::length(&spec.team), "desk"),
        (record_sizes::length(&spec.image), "kit"),
        (record_sizes::length(&spec.zone), "hall"),
        (record_sizes::length(&spec.types), "builds"),
    ];
    let largest = fields.into_iter().max_by_key(|(length, _)| *length);
    largest.map_or("record", |(_, field)| field)
}

/// Tasks that have to run at one time, or the job never does what it is for.
fn concurrent_tasks(spec: &JobSpec) -> u32 {
    if spec.kind == Kind::Array {
        1
    } else {
        spec.tasks
    }
}

/// Whether some zones have machine types for all tasks that must run at one time. How many machines there are is known
/// to nobody.
fn check_zones(spec: &JobSpec, catalog: &Catalog, county: &[String]) -> Result<(), Infeasible> {
    let zones = zones_for(spec, catalog, county);
    if zones.is_empty() {
        let elsewhere = !zones_for(spec, catalog, &[]).is_empty();
        return Err(if elsewhere {
            Infeasible::FitsNoMachineTypeInCounty
        } else {
            Infeasible::FitsNoMachineType
        });
    }
    // One zone has half of the tasks, rounded up; two zones have all. An array goes on with the other half when the
    // first is done.
    let half = spec.tasks.div_ceil(2);
    if spec.spread && concurrent_tasks(spec) > half && (spec.one_zone || zones.len() < 2) {
        return Err(Infeasible::CannotSpread);
    }
    Ok(())
}

/// Where machines that a task fits can be had, for a job that may be in these zones only, or in all.
fn zones_for<'a>(spec: &JobSpec, catalog: &'a Catalog, only: &[String]) -> BTreeSet<&'a str> {
    let fits = |t: &&MachineType| {
        spec.types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name))
            && spec.cores <= t.cores + EPS
            && spec.gpus <= t.gpus + EPS
            && spec.mem_gb <= t.mem_gb + EPS
    };
    let zones = catalog.types.iter().filter(fits).flat_map(|t| &t.zones);
    zones
        .filter(|z| spec.zone.as_ref().is_none_or(|own| own == *z))
        .filter(|z| only.is_empty() || only.contains(z))
        .map(String::as_str)
        .collect()
}
