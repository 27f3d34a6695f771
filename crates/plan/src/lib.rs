//! The planner: pure functions from jobs and machines to task starts, preemptions and machine rentals.
//! No I/O, clock or randomness. The design and its sources are in `docs/design.md`.

#![warn(missing_docs)]

mod advance_reservations;
mod anti_affinity;
mod candidates;
mod failed_searches;
mod gang;
mod independent_tasks;
mod input;
mod job_kind;
mod job_sizes;
mod limit_enforcement;
mod output;
mod placement;
mod planner;
mod preemption_options;
mod priority_preemption;
mod quota_preemption;
mod reservations;
mod resources;
mod scale_out;
mod starvation_aging;
mod state;
mod stretch;
mod tenant;
mod timeline;

pub use input::{Group, Input, Job, Machine, Reservation, Running, Search, Shape, Team};
pub use output::{Output, Preempt, Start};
pub use planner::plan;
pub use resources::Resources;
pub use scale_out::{MachineOffer, RentalRequest, ScaleOutInput, scale_out};
pub use starvation_aging::{AgingThresholds, first_share};
pub use stretch::{SizedJob, smallest_stretch};
pub use tenant::Tenant;

pub(crate) use resources::EPS;

/// Jobs of this priority and above are planned as they arrive.
pub const URGENT: u8 = 3;

/// Seconds relative to the time of the plan: now is 0, the past is negative.
pub type Secs = f64;

/// Factor by which a round of tasks is planned longer than its estimate, since the run times of a job's tasks differ
/// from each other and from the estimate.
pub(crate) const RUN_TIME_SLACK: f64 = 1.25;

/// The count of a zone in a list of counts, added as 0 if it is missing.
fn count_in(zones: &mut Vec<(u16, u32)>, zone: u16) -> &mut u32 {
    let at = zones
        .iter()
        .position(|(z, _)| *z == zone)
        .unwrap_or_else(|| {
            zones.push((zone, 0));
            zones.len() - 1
        });
    &mut zones[at].1
}
