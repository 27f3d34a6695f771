//! Reserves capacity for expected arrivals of jobs that should start sooner than a rented machine boots.

use super::objectives::{guarantee_objective, wait_objectives};
use super::plan_input::NameIndex;
use super::plan_jobs::planner_job;
use crate::Tuning;
use crate::jobs::class::ClassStatistics;
use crate::store::shard::{self, Shard};
use wire::api::{JobSpec, Kind, MachineType, Priority};
use wire::settings::Objective;

/// Lower bound on the speed at which images are fetched, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 0.01;
/// Upper bound on the mean square of a class's tasks per job.
const MAX_TASKS_SQUARED: f64 = 40_000.0;

/// Reservations for jobs that arrive while a machine boots and fetches its image. Covers the classes that should start
/// sooner than that, by an objective for the class or for all work within its team's guarantee.
pub(super) fn reservations(
    shard: &mut Shard,
    objectives: &[Objective],
    names: &NameIndex<'_>,
    tuning: &Tuning,
    wall: u64,
) -> Vec<plan::Reservation> {
    let context = ReservationContext {
        objectives,
        names,
        tuning,
        wall,
    };
    let Shard {
        classes, images, ..
    } = shard;
    let mut reservations: Vec<plan::Reservation> = classes
        .iter()
        .filter_map(|(name, class)| context.reservation(name, class, images))
        .collect();
    reservations.sort_by_key(|r| (std::cmp::Reverse(r.template.priority), r.template.image));
    reservations
}

/// The inputs of a reservation besides the job class.
struct ReservationContext<'a> {
    objectives: &'a [Objective],
    names: &'a NameIndex<'a>,
    tuning: &'a Tuning,
    wall: u64,
}

impl ReservationContext<'_> {
    /// The capacity to reserve for a class, if any.
    fn reservation(
        &self,
        name: &str,
        class: &ClassStatistics,
        images: &mut shard::NameInterner,
    ) -> Option<plan::Reservation> {
        let spec = class.latest_spec.as_ref()?;
        let team = *self.names.teams.get(spec.team.as_str())?;
        let template = planner_job(spec, images, self.names, team);
        let lead_s = self.lead_s(spec, template.machine_types)?;
        let share = self.share(name, spec, team, lead_s)?;
        // On average, ending tasks free as much room as arriving jobs need. The reservation covers the fluctuation
        // around that: the standard deviation of the arrivals during the lead time.
        let tasks_squared = class.tasks_squared.clamp(1.0, MAX_TASKS_SQUARED);
        let deviation = (class.rate(self.wall) * lead_s * tasks_squared).sqrt();
        let count = (deviation * share).round() as u32;
        let images = class
            .images
            .iter()
            .map(|(name, gb, share)| (images.get(name), *gb, *share))
            .collect();
        (count > 0).then_some(plan::Reservation {
            template,
            count,
            images,
        })
    }

    /// The shortest time in which a newly rented machine of these types runs a task, in seconds.
    fn lead_s(&self, spec: &JobSpec, types: u64) -> Option<f64> {
        let lead =
            |t: &MachineType| t.boot_s + spec.image_gb / t.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        self.names
            .catalog
            .types
            .iter()
            .enumerate()
            .filter(|(i, _)| types >> i & 1 == 1)
            .map(|(_, machine_type)| lead(machine_type))
            .reduce(f64::min)
    }

    /// The multiple of the arrivals' standard deviation to reserve for a class. `None` if all its jobs may wait for a
    /// rented machine. A class with a lenient objective of its own may still do guaranteed work that should start soon.
    fn share(&self, name: &str, spec: &JobSpec, team: u16, lead_s: f64) -> Option<f64> {
        let own =
            wait_objectives(self.objectives, name).map(|within_s| (within_s, self.tuning.spare));
        let guaranteed = self.guaranteed_share(spec, team, lead_s);
        own.chain(guaranteed)
            .filter(|(within_s, _)| *within_s < lead_s)
            .map(|(_, share)| share)
            .reduce(f64::max)
    }

    /// The wait objective for work within the team's guarantee, and the multiple of the deviation to reserve for it.
    fn guaranteed_share(&self, spec: &JobSpec, team: u16, lead_s: f64) -> Option<(f64, f64)> {
        // Low-priority work waits for a machine to boot.
        if spec.priority <= Priority::Low || self.names.unguaranteed_teams.contains(&team) {
            return None;
        }
        let within_s = guarantee_objective(self.objectives)?;
        // A gang can't start unless there is room for all its tasks, while an array starts with the room there is. Work
        // that may wait for part of the lead time needs room only for the arrivals in the rest of it.
        let share = match spec.kind {
            Kind::Gang => self.tuning.spare,
            _ => self.tuning.spare_guaranteed * (1.0 - within_s / lead_s).max(0.0).sqrt(),
        };
        Some((within_s, share))
    }
}
