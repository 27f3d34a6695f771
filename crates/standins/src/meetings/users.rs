//! Days by name of what users do within milliseconds, and how the troubles of users are drawn.

use super::{Draw, Jobs};
use crate::days::{BEGIN, Trouble, Who};
use crate::scene::{Timed, array};

/// One-task jobs that come four a second.
const RAPID_EVERY_MS: u64 = 250;
const RAPID_CANCELLED: f64 = 0.25;

pub(super) fn looks(d: &mut Draw) -> Trouble {
    Trouble::CloseLooks {
        ms: d.ms(5000..40_000),
    }
}

pub(super) fn cancels(d: &mut Draw) -> Trouble {
    Trouble::CancelNow {
        count: d.rng.usize(3..12),
        hang_ms: hang(d),
    }
}

pub(super) fn cancels_at_end(d: &mut Draw) -> Trouble {
    Trouble::CancelAtEnd {
        share: [0.2, 0.5, 1.0][d.rng.usize(0..3)],
        ms: d.ms(5000..40_000),
    }
}

pub(super) fn odd(d: &mut Draw) -> Trouble {
    Trouble::OddRequests {
        ms: d.ms(5000..40_000),
    }
}

/// Not at all, within the machines' lease, or beyond it; always shorter than a cancel may take.
fn hang(d: &mut Draw) -> u64 {
    match d.rng.u32(0..3) {
        0 => 0,
        1 => d.ms(2000..14_000),
        _ => d.ms(15_000..36_000),
    }
}

/// The leader ends and the state service is out in between, again and again.
fn between(d: &mut Draw) {
    d.rounds(3, 28_000, |d, at| {
        let (apart, back_ms) = (d.ms(500..12_000), d.back());
        d.add(
            at + apart,
            Trouble::Crash {
                who: Who::Leader,
                back_ms,
            },
        );
        let (later, ms) = (d.ms(8000..20_000), d.ms(1000..8000));
        d.add(at + later, Trouble::StateOut { ms });
    });
}

/// Questions, repeats and cancels at all nodes within milliseconds of anything that users are told.
pub(super) fn asked_everywhere(d: &mut Draw) {
    d.jobs.cancelled = 0.4;
    d.add(BEGIN, Trouble::CloseLooks { ms: 85_000 });
}

pub(super) fn asked_everywhere_between(d: &mut Draw) {
    asked_everywhere(d);
    between(d);
}

/// A cancel, a question or a repeat meets the end of the last task.
pub(super) fn cancelled_at_the_end(d: &mut Draw) {
    d.jobs = Jobs {
        cancelled: 0.1,
        long_ms: 20_000..40_000,
        long_every: 20_000,
        short_every: 2500,
    };
    d.add(
        BEGIN,
        Trouble::CancelAtEnd {
            share: 0.6,
            ms: 85_000,
        },
    );
}

pub(super) fn cancelled_at_the_end_between(d: &mut Draw) {
    cancelled_at_the_end(d);
    between(d);
}

/// Many are cancelled at the moment at which the leader changes, and machines of theirs hang.
pub(super) fn many_cancelled(d: &mut Draw) {
    d.jobs = Jobs {
        cancelled: 0.2,
        long_ms: 60_000..100_000,
        long_every: 6000,
        short_every: 8000,
    };
    d.rounds(4, 22_000, |d, at| {
        let (apart, hang_ms) = (d.ms(0..1200), hang(d));
        let leader = match d.rng.u32(0..3) {
            0 => Trouble::Refused {
                who: Who::Leader,
                ms: d.ms(3000..12_000),
            },
            1 => Trouble::Freeze {
                who: Who::Leader,
                ms: d.ms(2000..9000),
            },
            _ => Trouble::Crash {
                who: Who::Leader,
                back_ms: d.back(),
            },
        };
        d.add(at + 600, leader);
        d.add(at + apart, Trouble::CancelNow { count: 8, hang_ms });
    });
}

pub(super) fn many_cancelled_between(d: &mut Draw) {
    many_cancelled(d);
    between(d);
}

/// One-task jobs four a second, a quarter of them cancelled.
pub(super) fn one_task_jobs(d: &mut Draw) {
    d.jobs.long_every = 40_000;
    d.rapid_ms = 120_000;
}

pub(super) fn one_task_jobs_between(d: &mut Draw) {
    one_task_jobs(d);
    between(d);
}

/// Submissions of what can't run or has no form, repeats, and cancels of what is over.
pub(super) fn odd_requests(d: &mut Draw) {
    d.add(BEGIN, Trouble::OddRequests { ms: 85_000 });
}

pub(super) fn odd_requests_between(d: &mut Draw) {
    odd_requests(d);
    between(d);
}

impl Draw {
    /// One-task jobs, as long as the day has them.
    pub(super) fn draw_rapid(&mut self, jobs: &mut Vec<Timed>) {
        for at in (BEGIN..BEGIN + self.rapid_ms).step_by(RAPID_EVERY_MS as usize) {
            let at = at + self.ms(0..RAPID_EVERY_MS);
            let run_ms = self.ms(1000..4000);
            let team = super::TEAMS[self.rng.usize(0..3)];
            let spec = array(1000 + jobs.len() as u32, team, 1, run_ms as f64 / 1000.0);
            let spec = self.dress("one", spec);
            let cancel_ms = (self.rng.f64() < RAPID_CANCELLED).then(|| self.ms(0..6000));
            jobs.push(Timed {
                at,
                run_ms,
                cancel_ms,
                spec,
            });
        }
    }
}
