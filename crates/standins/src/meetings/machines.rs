//! Named scenarios with combined faults of machines and of the state service. In each the leader crashes, and in most
//! the state service has outages meanwhile.

use super::{AddTroubles, DayBuilder, JobMix};
use crate::days::{BEGIN, Machines, NextLeader, Trouble, Who};
use wire::api::{JobSpec, Priority};

/// Further options of a scenario's jobs and teams.
#[derive(Default)]
pub(super) struct JobOptions {
    /// All cancellations come within this time after the beginning of some fault.
    cancel_within_ms: Option<u64>,
    /// Two thirds of the jobs have to run in a single zone, half of these in a given one.
    binds_zones: bool,
    /// Jobs of all priorities.
    all_priorities: bool,
    /// Maximum that each team may use.
    team_limit: Option<f64>,
}

impl JobOptions {
    /// When a job is cancelled, if cancellations follow the faults.
    pub(super) fn cancel_time(
        &self,
        rng: &mut fastrand::Rng,
        troubles: &[(u64, Trouble)],
    ) -> Option<u64> {
        let within = self.cancel_within_ms?;
        let (at, _) = troubles.get(rng.usize(0..troubles.len().max(1)))?;
        Some(at + rng.u64(0..within))
    }

    pub(super) fn apply(&self, rng: &mut fastrand::Rng, spec: &mut JobSpec) {
        if self.binds_zones && rng.u32(0..3) > 0 {
            spec.zone = rng.bool().then(|| ["a", "b"][rng.usize(0..2)].to_owned());
            spec.one_zone |= spec.zone.is_none();
        }
        if self.all_priorities {
            let all = [
                Priority::Low,
                Priority::Normal,
                Priority::High,
                Priority::Production,
            ];
            spec.priority = all[rng.usize(0..4)];
        }
    }

    pub(super) fn team_limit(&self, usual: f64) -> f64 {
        self.team_limit.unwrap_or(usual)
    }
}

impl DayBuilder {
    /// Within `within` ms after `at` the leader crashes, and an outage of the state service begins.
    fn crash_leader_and_stop_state(&mut self, at: u64, within: u64) {
        let (ends, back_ms) = (self.random_ms(0..within), self.restart_delay_ms());
        self.add(
            at + ends,
            Trouble::Crash {
                who: Who::Leader,
                back_ms,
            },
        );
        let (out, ms) = (self.random_ms(0..within), self.random_ms(2000..10_000));
        self.add(at + out, Trouble::StateOut { ms });
    }

    /// The leader crashes `count` times, about every `apart` ms.
    fn crash_leader_repeatedly(&mut self, count: u64, apart: u64, back: std::ops::Range<u64>) {
        self.rounds(count, apart, |d, at| {
            let (apart, back_ms) = (d.random_ms(0..apart / 2), d.random_ms(back.clone()));
            d.add(
                at + apart,
                Trouble::Crash {
                    who: Who::Leader,
                    back_ms,
                },
            );
        });
    }
}

/// A share of the commands arrives again.
pub(super) fn command_copies(d: &mut DayBuilder) -> Trouble {
    Trouble::CommandCopies {
        share: [0.1, 0.5, 1.0][d.rng.usize(0..3)],
        for_ms: d.random_ms(5000..60_000),
    }
}

/// Name and faults of each scenario.
pub(super) const NAMED_DAYS: [(&str, AddTroubles); 14] = [
    // Commands that were carried out arrive again, while tasks are cancelled, machines hang past their leases, and all
    // controllers or the leader come back within a second.
    ("command-copies", |d| {
        d.jobs.cancelled_share = 0.5;
        let copies = Trouble::CommandCopies {
            share: 0.7,
            for_ms: 80_000,
        };
        d.add(BEGIN, copies);
        d.rounds(5, 16_000, |d, at| {
            let (who, back_ms) = (
                [Who::Leader, Who::All, Who::Node(d.rng.usize(0..d.nodes))][d.rng.usize(0..3)],
                d.random_ms(50..900),
            );
            let apart = d.random_ms(0..8000);
            d.add(at + apart, Trouble::Crash { who, back_ms });
            let hang_ms = d.random_ms(500..6000);
            d.add(at + 2000, Trouble::CancelNow { count: 4, hang_ms });
            let (machines, ms) = (d.random_machines(), d.random_ms(4000..22_000));
            d.add(at + 9000, Trouble::Hang { machines, ms });
        });
    }),
    // Transactions are applied at once, but their answers are lost, while other nodes read what they wrote.
    ("answers-lost", |d| {
        d.jobs.cancelled_share = 0.6;
        d.add(
            BEGIN,
            Trouble::LateWrites {
                share: 0.4,
                for_ms: 80_000,
                at_once: true,
            },
        );
        d.rounds(4, 20_000, |d, at| d.crash_leader_and_stop_state(at, 16_000));
    }),
    // Copies of old reports are delivered to every controller, or to the next leader, just as it begins.
    ("old-reports-at-a-take-over", |d| {
        d.jobs.cancelled_share = 0.4;
        d.rounds(4, 22_000, |d, at| {
            let next = [NextLeader::CopyToOne, NextLeader::CopyToAll][d.rng.usize(0..2)];
            d.add(
                at,
                Trouble::LateReports {
                    share: 0.7,
                    for_ms: 20_000,
                    next,
                },
            );
            let ms = d.random_ms(4000..18_000);
            d.add(
                at + 1000,
                Trouble::Deaf {
                    machines: Machines::Share(0.3),
                    ms,
                },
            );
            d.crash_leader_and_stop_state(at + 4000, 16_000);
        });
    }),
    // Reports are held until the next leader has begun, and delivered to it.
    ("reports-held", |d| {
        d.jobs.cancelled_share = 0.4;
        d.rounds(4, 22_000, |d, at| {
            let (share, for_ms) = (
                [0.2, 0.5, 1.0][d.rng.usize(0..3)],
                d.random_ms(4000..14_000),
            );
            d.add(
                at,
                Trouble::LateReports {
                    share,
                    for_ms,
                    next: NextLeader::Held,
                },
            );
            d.crash_leader_and_stop_state(at + 2000, 12_000);
        });
    }),
    // Machines reach no controller, while direct commands reach them.
    ("mute", |d| {
        d.jobs.cancelled_share = 0.5;
        d.rounds(3, 32_000, |d, at| {
            let (machines, ms) = (d.random_machines(), d.random_ms(8000..30_000));
            d.add(at, Trouble::Mute { machines, ms });
            let (apart, ms) = (d.random_ms(0..10_000), d.random_ms(3000..20_000));
            d.add(
                at + apart,
                Trouble::Mute {
                    machines: Machines::Count(2),
                    ms,
                },
            );
            d.crash_leader_and_stop_state(at, 20_000);
        });
    }),
    // New machines boot within two seconds and get work at once while writes are late, and the leader crashes.
    ("quick-boots", |d| {
        d.jobs = JobMix {
            cancelled_share: 0.4,
            long_ms: 20_000..50_000,
            long_every_ms: 9000,
            short_every_ms: 4000,
        };
        d.add(BEGIN, Trouble::QuickBoots { ms: 90_000 });
        d.rounds(5, 16_000, |d, at| {
            let (for_ms, at_once) = (d.random_ms(5000..14_000), d.rng.bool());
            d.add(
                at,
                Trouble::LateWrites {
                    share: 0.4,
                    for_ms,
                    at_once,
                },
            );
            if d.rng.bool() {
                d.add(at + 500, Trouble::StateSlow { ms: for_ms });
            }
            let (apart, machines) = (d.random_ms(0..4000), d.rng.usize(2..6));
            d.add(at + apart, Trouble::Die { machines });
            d.crash_leader_and_stop_state(at + 6000, 9000);
        });
    }),
    // Every team is at its limit while jobs on unreachable or hanging machines are cancelled, and the leader changes.
    ("at-the-limits", |d| {
        d.jobs = JobMix {
            cancelled_share: 0.5,
            long_ms: 40_000..80_000,
            long_every_ms: 6000,
            short_every_ms: 6000,
        };
        (d.options.cancel_within_ms, d.options.team_limit) = (Some(6000), Some(8.0));
        d.rounds(4, 24_000, |d, at| {
            let (machines, ms) = (d.random_machines(), d.random_ms(4000..18_000));
            let hidden = [
                Trouble::Hang { machines, ms },
                Trouble::Mute { machines, ms },
                Trouble::Deaf { machines, ms },
                Trouble::Zone {
                    zone: d.random_zone(),
                    ms,
                },
            ];
            let one = hidden[d.rng.usize(0..4)].clone();
            d.add(at, one);
            d.crash_leader_and_stop_state(at, 8000);
        });
    }),
    // Jobs are cancelled within seconds of a leader change.
    ("cancels-in-a-hand-over", |d| {
        d.jobs = JobMix {
            cancelled_share: 0.7,
            long_ms: 60_000..100_000,
            long_every_ms: 8000,
            short_every_ms: 4000,
        };
        d.options.cancel_within_ms = Some(4000);
        d.crash_leader_repeatedly(6, 15_000, 50..4000);
        let at = BEGIN + d.random_ms(10_000..70_000);
        d.crash_leader_and_stop_state(at, 4000);
    }),
    // Ten leader changes in two minutes.
    ("ten-leaders", |d| {
        d.jobs.cancelled_share = 0.4;
        d.crash_leader_repeatedly(10, 12_000, 50..6000);
    }),
    // Ten leader changes, with outages of the state service meanwhile.
    ("ten-leaders-in-outages", |d| {
        d.jobs.cancelled_share = 0.4;
        d.crash_leader_repeatedly(10, 12_000, 50..3000);
        d.rounds(3, 38_000, |d, at| {
            let (apart, ms) = (d.random_ms(0..10_000), d.random_ms(10_000..26_000));
            d.add(at + apart, Trouble::StateOut { ms });
            let (within, back_ms) = (d.random_ms(0..ms), d.restart_delay_ms());
            d.add(
                at + apart + within,
                Trouble::Crash {
                    who: Who::All,
                    back_ms,
                },
            );
        });
    }),
    // All controllers are down for longer than a lease.
    ("all-away", |d| {
        d.jobs.cancelled_share = 0.4;
        d.rounds(2, 60_000, |d, at| {
            let back_ms = d.random_ms(16_000..30_000);
            d.add(
                at,
                Trouble::Crash {
                    who: Who::All,
                    back_ms,
                },
            );
            d.crash_leader_and_stop_state(at + 28_000, 16_000);
        });
    }),
    // A zone with workers and a controller is cut off for longer than a lease.
    ("zone-away", |d| {
        d.jobs.cancelled_share = 0.5;
        d.rounds(2, 60_000, |d, at| {
            let (zone, ms) = (d.random_zone(), d.random_ms(18_000..45_000));
            d.add(at, Trouble::Zone { zone, ms });
            d.crash_leader_and_stop_state(at, 40_000);
        });
    }),
    // Arrays and other jobs that are bound to one zone lose machines.
    ("zones-lose-machines", |d| {
        d.jobs.cancelled_share = 0.3;
        d.options.binds_zones = true;
        d.rounds(4, 22_000, |d, at| {
            let (apart, machines) = (d.random_ms(0..8000), d.rng.usize(1..5));
            d.add(at + apart, Trouble::Die { machines });
            let (zone, ms) = (Machines::Zone(d.random_zone()), d.random_ms(3000..18_000));
            let away = [
                Trouble::Hang { machines: zone, ms },
                Trouble::Mute { machines: zone, ms },
            ];
            let one = away[d.rng.usize(0..2)].clone();
            d.add(at, one);
            d.crash_leader_and_stop_state(at, 18_000);
        });
    }),
    // More work than capacity, in all priorities, over slow links.
    ("crowded-over-slow-links", |d| {
        d.jobs = JobMix {
            cancelled_share: 0.3,
            long_ms: 30_000..60_000,
            long_every_ms: 5000,
            short_every_ms: 4000,
        };
        d.options.all_priorities = true;
        d.rounds(3, 32_000, |d, at| {
            let ms = d.random_ms(10_000..30_000);
            d.add(at, Trouble::SlowLinks { ms });
            d.crash_leader_and_stop_state(at, 28_000);
        });
    }),
];
