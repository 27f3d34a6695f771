//! Feasibility check: whether a job can ever run, given its spec, the settings, the machine types and the documents in
//! force. Every node applies the same check. Its result takes effect only through a transaction whose conditions are
//! the same document versions and the absence of the job, so that an accepted job is never checked again.

use crate::Node;
use crate::leadership::election::SHARD;
use crate::scheduling::quota_usage::resource_amount;
use crate::store::record_sizes;
use std::collections::BTreeSet;
use std::fmt;
use wire::api::{BODY_LIMIT, Catalog, JobSpec, Kind, MachineType};
use wire::records::JobRecord;

/// Amounts that differ by no more than this count as equal. The planner uses the same tolerance.
const EPS: f64 = 1e-6;
/// The state service measures values in another encoding, which is somewhat larger than ours.
const STORED_SIZE_FACTOR: f64 = 1.3;

/// Why a job can never run. The text is sent to the user.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Infeasible {
    UnknownTeam,
    AboveTeamLimit,
    /// A node above the team in the quota tree has a lower limit.
    AboveTreeLimit,
    /// The counties document does not admit the job, for the given reason.
    County(String),
    CatalogUnknown,
    FitsNoMachineType,
    FitsNoMachineTypeInCounty,
    /// Its tasks must be spread over zones, but only one zone is possible.
    CannotSpread,
    /// Its record, with the data bound to the job at acceptance, would exceed the state service's value limit.
    RecordTooLarge,
    /// Its record would exceed the announced tighter limits; this field is the largest.
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
            Infeasible::RecordTooLarge => "too large with the data that would be bound to it",
        };
        f.write_str(text)
    }
}

impl Node {
    /// The record of a job accepted now, including the release time and county that are bound to it; or why the job can
    /// never run.
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

    /// Whether the record is within the state service's value limit.
    pub(crate) fn is_storable(&self, rec: &JobRecord) -> bool {
        if self.write_limits.are_tight() {
            return record_sizes::length(rec) <= self.write_limits.value_bytes();
        }
        let limit = (self.settings.cluster.state.value_kb * 1024.0).min(BODY_LIMIT as f64);
        wire::encode(rec).len() as f64 * STORED_SIZE_FACTOR <= limit
    }

    /// Checks that the limits of the team, and of the nodes above it, would let the job run if nothing else ran. For an
    /// array, it is enough that one task can run.
    fn within_limits(&self, spec: &JobSpec) -> Result<(), Infeasible> {
        let teams = &self.settings.cluster.teams;
        let team = teams
            .iter()
            .find(|t| t.name == spec.team)
            .ok_or(Infeasible::UnknownTeam)?;
        let tasks = f64::from(concurrent_tasks(spec));
        let exceeds = |max: f64, need: f64| max > 0.0 && need * tasks > max + EPS;
        if exceeds(team.cpus_max, spec.cores) || exceeds(team.gpus_max, spec.gpus) {
            return Err(Infeasible::AboveTeamLimit);
        }
        let all = resource_amount(spec.cores * tasks, spec.gpus * tasks, spec.mem_gb * tasks);
        if self.exceeds_quota_tree(&spec.team, &all) {
            return Err(Infeasible::AboveTreeLimit);
        }
        Ok(())
    }
}

/// Wire name of the largest field, for the message about a record that is too large.
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

/// Tasks that must run at the same time for the job to be of use.
fn concurrent_tasks(spec: &JobSpec) -> u32 {
    if spec.kind == Kind::Array {
        1
    } else {
        spec.tasks
    }
}

/// Checks that some zones offer machine types for all tasks that must run at the same time. The number of machines that
/// the cloud could supply is unknown and not checked.
fn check_zones(spec: &JobSpec, catalog: &Catalog, county: &[String]) -> Result<(), Infeasible> {
    let zones = zones_for(spec, catalog, county);
    if zones.is_empty() {
        let fits_outside_county = !zones_for(spec, catalog, &[]).is_empty();
        return Err(if fits_outside_county {
            Infeasible::FitsNoMachineTypeInCounty
        } else {
            Infeasible::FitsNoMachineType
        });
    }
    // When tasks are spread, one zone holds at most half of them, rounded up, and two zones hold all. An array runs the
    // second half after the first.
    let half = spec.tasks.div_ceil(2);
    if spec.spread && concurrent_tasks(spec) > half && (spec.one_zone || zones.len() < 2) {
        return Err(Infeasible::CannotSpread);
    }
    Ok(())
}

/// Zones that offer a machine type large enough for a task. Only the zones in `allowed` count, or all if it is empty.
fn zones_for<'a>(spec: &JobSpec, catalog: &'a Catalog, allowed: &[String]) -> BTreeSet<&'a str> {
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
        .filter(|z| allowed.is_empty() || allowed.contains(z))
        .map(String::as_str)
        .collect()
}
