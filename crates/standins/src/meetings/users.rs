//! Named scenarios of user requests within milliseconds of each other, and faults that users cause.

use super::{DayBuilder, JobMix};
use crate::days::{BEGIN, Trouble, Who};
use crate::scene::{Timed, array};

/// One-task jobs arrive four times a second.
const ONE_TASK_JOB_INTERVAL_MS: u64 = 250;
const ONE_TASK_JOB_CANCELLED_SHARE: f64 = 0.25;

pub(super) fn close_looks(d: &mut DayBuilder) -> Trouble {
    Trouble::CloseLooks {
        ms: d.random_ms(5000..40_000),
    }
}

pub(super) fn cancel_now(d: &mut DayBuilder) -> Trouble {
    Trouble::CancelNow {
        count: d.rng.usize(3..12),
        hang_ms: random_hang_ms(d),
    }
}

pub(super) fn cancel_at_end(d: &mut DayBuilder) -> Trouble {
    Trouble::CancelAtEnd {
        share: [0.2, 0.5, 1.0][d.rng.usize(0..3)],
        ms: d.random_ms(5000..40_000),
    }
}

pub(super) fn odd_requests_trouble(d: &mut DayBuilder) -> Trouble {
    Trouble::OddRequests {
        ms: d.random_ms(5000..40_000),
    }
}

/// No hang, one within the machines' lease, or one beyond it; always shorter than a cancellation may take.
fn random_hang_ms(d: &mut DayBuilder) -> u64 {
    match d.rng.u32(0..3) {
        0 => 0,
        1 => d.random_ms(2000..14_000),
        _ => d.random_ms(15_000..36_000),
    }
}

/// The leader crashes and the state service has an outage, three times.
fn crash_leaders_with_outages(d: &mut DayBuilder) {
    d.rounds(3, 28_000, |d, at| {
        let (apart, back_ms) = (d.random_ms(500..12_000), d.restart_delay_ms());
        d.add(
            at + apart,
            Trouble::Crash {
                who: Who::Leader,
                back_ms,
            },
        );
        let (later, ms) = (d.random_ms(8000..20_000), d.random_ms(1000..8000));
        d.add(at + later, Trouble::StateOut { ms });
    });
}

/// Queries, repeated submissions and cancellations at all nodes within milliseconds of any answer to a user.
pub(super) fn asked_everywhere(d: &mut DayBuilder) {
    d.jobs.cancelled_share = 0.4;
    d.add(BEGIN, Trouble::CloseLooks { ms: 85_000 });
}

pub(super) fn asked_everywhere_with_leader_crashes(d: &mut DayBuilder) {
    asked_everywhere(d);
    crash_leaders_with_outages(d);
}

/// Cancellations, queries and repeated submissions coincide with the end of the last task.
pub(super) fn cancelled_at_the_end(d: &mut DayBuilder) {
    d.jobs = JobMix {
        cancelled_share: 0.1,
        long_ms: 20_000..40_000,
        long_every_ms: 20_000,
        short_every_ms: 2500,
    };
    d.add(
        BEGIN,
        Trouble::CancelAtEnd {
            share: 0.6,
            ms: 85_000,
        },
    );
}

pub(super) fn cancelled_at_the_end_with_leader_crashes(d: &mut DayBuilder) {
    cancelled_at_the_end(d);
    crash_leaders_with_outages(d);
}

/// Many jobs are cancelled just as the leader fails, and some of their machines hang.
pub(super) fn many_cancelled(d: &mut DayBuilder) {
    d.jobs = JobMix {
        cancelled_share: 0.2,
        long_ms: 60_000..100_000,
        long_every_ms: 6000,
        short_every_ms: 8000,
    };
    d.rounds(4, 22_000, |d, at| {
        let (apart, hang_ms) = (d.random_ms(0..1200), random_hang_ms(d));
        let leader = match d.rng.u32(0..3) {
            0 => Trouble::Refused {
                who: Who::Leader,
                ms: d.random_ms(3000..12_000),
            },
            1 => Trouble::Freeze {
                who: Who::Leader,
                ms: d.random_ms(2000..9000),
            },
            _ => Trouble::Crash {
                who: Who::Leader,
                back_ms: d.restart_delay_ms(),
            },
        };
        d.add(at + 600, leader);
        d.add(at + apart, Trouble::CancelNow { count: 8, hang_ms });
    });
}

pub(super) fn many_cancelled_with_leader_crashes(d: &mut DayBuilder) {
    many_cancelled(d);
    crash_leaders_with_outages(d);
}

/// One-task jobs arrive four times a second; a quarter of them is cancelled.
pub(super) fn one_task_jobs(d: &mut DayBuilder) {
    d.jobs.long_every_ms = 40_000;
    d.one_task_jobs_ms = 120_000;
}

pub(super) fn one_task_jobs_with_leader_crashes(d: &mut DayBuilder) {
    one_task_jobs(d);
    crash_leaders_with_outages(d);
}

/// Jobs that can't run or are malformed, repeated submissions, and cancellations of jobs that have ended.
pub(super) fn odd_requests(d: &mut DayBuilder) {
    d.add(BEGIN, Trouble::OddRequests { ms: 85_000 });
}

pub(super) fn odd_requests_with_leader_crashes(d: &mut DayBuilder) {
    odd_requests(d);
    crash_leaders_with_outages(d);
}

impl DayBuilder {
    /// Adds one-task jobs for as long as the scenario has them.
    pub(super) fn add_one_task_jobs(&mut self, jobs: &mut Vec<Timed>) {
        for at in (BEGIN..BEGIN + self.one_task_jobs_ms).step_by(ONE_TASK_JOB_INTERVAL_MS as usize)
        {
            let at = at + self.random_ms(0..ONE_TASK_JOB_INTERVAL_MS);
            let run_ms = self.random_ms(1000..4000);
            let team = super::TEAMS[self.rng.usize(0..3)];
            let spec = array(1000 + jobs.len() as u32, team, 1, run_ms as f64 / 1000.0);
            let spec = self.with_class("one", spec);
            let cancel_ms =
                (self.rng.f64() < ONE_TASK_JOB_CANCELLED_SHARE).then(|| self.random_ms(0..6000));
            jobs.push(Timed {
                at,
                run_ms,
                cancel_ms,
                spec,
            });
        }
    }
}
