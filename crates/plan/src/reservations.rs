//! Reservations: machines that are kept free for expected jobs.

use crate::state::PlanState;
use crate::{EPS, Job, Reservation, Secs, Shape};

/// An array that has waited this long without a running task may start one on a reserved machine.
const RESERVATION_WAIT_LIMIT: Secs = 45.0;

impl PlanState<'_> {
    /// Reserves machines for expected jobs. For each expected image, its share of them should have the image, so that
    /// the jobs need not fetch it.
    pub(crate) fn reserve_for_expected_jobs(&mut self) {
        let input = self.input;
        for reservation in &input.reservations {
            let unmet = self.reserve_for(reservation);
            self.output.unmet_reservations.push(unmet);
        }
    }

    /// Reserves machines; returns the number of expected tasks that no capacity was found for.
    fn reserve_for(&mut self, reservation: &Reservation) -> u32 {
        let job = &reservation.template;
        let order = self.machines_for_reservation(reservation);
        let mut left = reservation.count;
        let total_share: f64 = reservation.images.iter().map(|(_, _, share)| share).sum();
        for (image, _, share) in &reservation.images {
            let wanted =
                (f64::from(reservation.count) * share / total_share.max(EPS)).round() as u32;
            let mut wanted = wanted.min(left);
            for m in &order {
                if wanted == 0 {
                    break;
                }
                if self.reserved_until[*m].is_none() && self.images[*m].contains(image) {
                    let n = self.reserve_machine(job, *m);
                    wanted = wanted.saturating_sub(n);
                    left = left.saturating_sub(n);
                }
            }
        }
        for m in order {
            if left == 0 {
                break;
            }
            if self.reserved_until[m].is_none() {
                left = left.saturating_sub(self.reserve_machine(job, m));
            }
        }
        left
    }

    /// Machines that expected tasks fit on, those first where they would start soonest.
    fn machines_for_reservation(&mut self, reservation: &Reservation) -> Vec<usize> {
        let input = self.input;
        let job = &reservation.template;
        // The mean fetch time of the expected jobs on this machine.
        let mean_fetch_time = |m: usize| {
            let missing = reservation
                .images
                .iter()
                .filter(|(image, _, _)| !self.images[m].contains(image));
            let gb: f64 = missing.map(|(_, gb, share)| gb * share).sum();
            gb / input.machines[m].fetch_gb_per_s.max(0.01)
        };
        let has_capacity = |m: &usize| {
            self.can_start_on(job, *m)
                && self.reserved_until[*m].is_none()
                && self.unreserved_capacity(job, *m) > 0
        };
        let mut order: Vec<(f64, usize)> = (0..input.machines.len())
            .filter(has_capacity)
            .map(|m| (mean_fetch_time(m) + self.place_score(job, m), m))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        self.output.steps += input.machines.len() as u64;
        order.into_iter().map(|(_, m)| m).collect()
    }

    fn reserve_machine(&mut self, job: &Job, m: usize) -> u32 {
        self.reserved_until[m] = Some(0.0);
        self.changed_machines.push(m as u32);
        self.output.reserved_machines.push(m as u32);
        self.unreserved_capacity(job, m)
    }

    /// Whether a job may use reserved machines: an array that has waited for long without a task on any machine.
    pub(crate) fn may_use_reservations(&self, i: usize) -> bool {
        let job = &self.input.jobs[i];
        let has_no_tasks = self.tasks_by_zone[i].iter().all(|(_, n)| *n == 0);
        job.shape == Shape::Array
            && -job.arrival >= RESERVATION_WAIT_LIMIT
            && has_no_tasks
            && !self.output.reserved_machines.is_empty()
    }

    /// Starts a first task of an array on a reserved machine, so that it is not starved by jobs that are only expected.
    /// The remaining capacity stays reserved, so that it is given away one task at a time.
    pub(crate) fn start_from_reservations(&mut self, i: usize) -> u32 {
        let kept = self.output.reserved_machines.clone();
        kept.iter()
            .for_each(|m| self.reserved_until[*m as usize] = None);
        self.failed_searches.clear();
        let started = self.start_tasks(i, 1, true);
        self.failed_searches.clear();
        kept.iter()
            .for_each(|m| self.reserved_until[*m as usize] = Some(0.0));
        started
    }
}
