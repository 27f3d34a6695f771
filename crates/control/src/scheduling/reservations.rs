//! Expected arrivals as reservations of capacity, for work that may not wait for a machine to boot.

use super::objectives::{guarantee_aim, wait_aims};
use super::plan_input::{Names, shaped};
use crate::Tuning;
use crate::store::shard::Shard;
use wire::api::{Kind, MachineType, Priority};
use wire::settings::Objective;

/// Room for the jobs that come while a machine boots and fetches, in classes whose users expect a start within
/// less than that: by an aim for the class, or for all work within its team's guarantee.
pub(super) fn spares(
    shard: &mut Shard,
    aims: &[Objective],
    names: &Names<'_>,
    tuning: &Tuning,
    wall: u64,
) -> Vec<plan::Spare> {
    let guaranteed = guarantee_aim(aims);
    let mut out: Vec<plan::Spare> = Vec::new();
    for (class, seen) in &shard.classes {
        let Some(spec) = &seen.like else { continue };
        let own = wait_aims(aims, class).map(|within| (within, tuning.spare));
        let Some(team) = names.teams.get(spec.team.as_str()) else {
            continue;
        };
        let like = shaped(spec, &mut shard.images, names, *team);
        let lead = |t: &MachineType| t.boot_s + spec.image_gb / t.fetch_gb_per_s.max(0.01);
        let fitting = names
            .catalog
            .types
            .iter()
            .enumerate()
            .filter(|(i, _)| like.types >> i & 1 == 1);
        let Some(lead) = fitting.map(|(_, t)| lead(t)).reduce(f64::min) else {
            continue;
        };
        // What is of low urgency waits for a machine to boot. A gang that lacks one place has none, while an array
        // starts with what there is. Who may wait for a while needs room only for what comes in the rest of the time.
        let may_hold = spec.priority > Priority::Low && !names.unheld.contains(team);
        let promised = guaranteed
            .filter(|_| may_hold)
            .map(|within| match spec.kind {
                Kind::Gang => (within, tuning.spare),
                _ => (
                    within,
                    tuning.spare_guaranteed * (1.0 - within / lead).max(0.0).sqrt(),
                ),
            });
        // A class may have a patient aim of its own and yet do work that is guaranteed to start soon.
        let hasty = own.chain(promised).filter(|(within, _)| *within < lead);
        let Some(share) = hasty.map(|(_, share)| share).reduce(f64::max) else {
            continue;
        };
        // Machines that end their work make room for as many jobs as come; what is kept is for the difference
        // between the two, which has the deviation of the arrivals in the time that a new machine takes.
        let deviation = (seen.rate(wall) * lead * seen.tasks_squared.clamp(1.0, 40_000.0)).sqrt();
        let count = (deviation * share).round() as u32;
        let images = seen.images.iter();
        let images = images
            .map(|(name, gb, share)| (shard.images.get(name), *gb, *share))
            .collect();
        if count > 0 {
            out.push(plan::Spare {
                like,
                count,
                images,
            });
        }
    }
    out.sort_by_key(|s| (std::cmp::Reverse(s.like.priority), s.like.image));
    out
}
