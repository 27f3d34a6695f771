//! Days of the operators' own kind: troubles at their times, drawn from a seed, for any number of controllers and for
//! fleets of a dozen or of over a thousand machines.

use crate::links::{Frontend, How};
use crate::scene::{Scene, Timed, array};
use crate::state::Limits;
use crate::world::Plan;
use std::collections::BTreeSet;
use std::ops::Range;
use wire::api::{Kind, Priority};

/// Whom a trouble hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Who {
    Node(usize),
    /// Whichever leads the fleet then.
    Leader,
    All,
}

/// Which machines a trouble hits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Machines {
    /// So many, or such a share of those that are there, drawn when it begins.
    Count(usize),
    Share(f64),
    /// All in a zone, also those that come up meanwhile.
    Zone(&'static str),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// Processes end and are started again after so long.
    Crash {
        who: Who,
        back_ms: u64,
    },
    /// It crashes as it sends this one of its next questions to the state service, whichever life it is in by then.
    Fuse {
        who: Who,
        question: u32,
        back_ms: u64,
    },
    /// Processes stand still while their clocks run on.
    Freeze {
        who: Who,
        ms: u64,
    },
    /// Cut off from some hosts.
    Cut {
        who: Who,
        from: Frontend,
        how: How,
        ms: u64,
    },
    /// What its present life sends in this time comes up to so much later, whoever is there by then.
    Late {
        who: Who,
        for_ms: u64,
        ms: u64,
    },
    Zone {
        zone: &'static str,
        ms: u64,
    },
    /// The state service answers nobody, or none of these, or slowly.
    StateOut {
        ms: u64,
    },
    Refused {
        who: Who,
        ms: u64,
    },
    StateSlow {
        ms: u64,
    },
    /// So many machines die.
    Die {
        machines: usize,
    },
    /// Of the transactions that come to the state service in this time, such a share gets no answer and is carried out
    /// [`LATE_WRITE_MS`] later, after newer ones of the same node; or at once, so that only the answer is lost.
    LateWrites {
        share: f64,
        for_ms: u64,
        at_once: bool,
    },
    /// Of such a share of the workers' reports that are sent in this time, a copy comes again to the same node
    /// [`LATE_REPORT_MS`] later, or with the next leader; its answer goes nowhere.
    LateReports {
        share: f64,
        for_ms: u64,
        next: NextLeader,
    },
    /// Their reports arrive; answers and direct commands to them are lost.
    Deaf {
        machines: Machines,
        ms: u64,
    },
    /// Right after a job was accepted, ended or told as cancelled, users ask all nodes within milliseconds, and submit it
    /// once more at each; a share is cancelled at once.
    CloseLooks {
        ms: u64,
    },
    /// So many jobs that run and have long to go are cancelled within a fifth of a second; some of their machines hang.
    CancelNow {
        count: usize,
        hang_ms: u64,
    },
    /// Such a share of the jobs that end is cancelled, asked for and submitted again as its last task ends.
    CancelAtEnd {
        share: f64,
        ms: u64,
    },
    /// Users repeat submissions, cancel what is over, and submit what can't run or has no form.
    OddRequests {
        ms: u64,
    },
    /// Cut from the state service and from the other nodes, both ways; workers and users still reach it.
    CutOff {
        who: Who,
        ms: u64,
    },
    /// These machines reach no controller; direct commands reach them and are answered.
    Mute {
        machines: Machines,
        ms: u64,
    },
    /// These machines stand still, then go on where they were.
    Hang {
        machines: Machines,
        ms: u64,
    },
    /// Machines that are rented in this time are up within [`QUICK_BOOT_MS`], some before their rental is answered.
    QuickBoots {
        ms: u64,
    },
    /// What controllers, machines, cloud and state service send each other takes long, and comes in order.
    SlowLinks {
        ms: u64,
    },
}

/// Whether copies of late reports wait for the next leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextLeader {
    No,
    /// As it begins, the copies come to it alone, or to every node.
    CopyToOne,
    CopyToAll,
    /// The reports themselves come to it once it has begun, and nowhere before.
    Held,
}

/// How much later a late transaction is carried out.
pub const LATE_WRITE_MS: Range<u64> = 2000..12_000;
/// How much later the copy of a report comes: up to two leases.
pub const LATE_REPORT_MS: Range<u64> = 2000..30_000;
/// How soon machines are up while boots are quick.
pub const QUICK_BOOT_MS: Range<u64> = 1000..2000;

impl Trouble {
    /// How long it lasts.
    pub fn ms(&self) -> u64 {
        match self {
            Trouble::Crash { back_ms, .. } | Trouble::Fuse { back_ms, .. } => *back_ms,
            Trouble::Freeze { ms, .. }
            | Trouble::Cut { ms, .. }
            | Trouble::Zone { ms, .. }
            | Trouble::StateOut { ms }
            | Trouble::Refused { ms, .. }
            | Trouble::StateSlow { ms } => *ms,
            Trouble::Deaf { ms, .. } | Trouble::CutOff { ms, .. } => *ms,
            Trouble::Mute { ms, .. } | Trouble::Hang { ms, .. } => *ms,
            Trouble::QuickBoots { ms } | Trouble::SlowLinks { ms } => *ms,
            Trouble::Late { for_ms, ms, .. } => for_ms + ms,
            Trouble::LateWrites { for_ms, .. } => for_ms + LATE_WRITE_MS.end,
            Trouble::LateReports { for_ms, .. } => for_ms + LATE_REPORT_MS.end,
            Trouble::CloseLooks { ms }
            | Trouble::CancelAtEnd { ms, .. }
            | Trouble::OddRequests { ms } => *ms,
            Trouble::CancelNow { hang_ms, .. } => 200 + hang_ms,
            Trouble::Die { .. } => 0,
        }
    }
}

/// A day with a balancer, users that keep their connections, and checkers.
#[derive(Debug, Clone, Default)]
pub struct Day {
    pub troubles: Vec<(u64, Trouble)>,
    /// The last trouble is over by then.
    pub quiet: u64,
    /// For tests of the tests: tasks of these jobs never get their image.
    pub held: BTreeSet<String>,
}

/// Troubles begin here, when the fleet is at work.
pub const BEGIN: u64 = 60_000;

/// How large a day is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub machines: usize,
    /// Troubles, and arrivals, last so long.
    pub troubles_ms: u64,
    /// Until everything ought to be done.
    pub after_ms: u64,
}

impl Size {
    /// A dozen machines, for tests.
    pub const SMALL: Size = Size {
        machines: 12,
        troubles_ms: 60_000,
        after_ms: 280_000,
    };

    pub const fn fleet(machines: usize) -> Size {
        Size {
            machines,
            troubles_ms: 150_000,
            after_ms: 270_000,
        }
    }

    fn is_large(&self) -> bool {
        self.machines > 100
    }
}

struct DayBuilder {
    rng: fastrand::Rng,
    nodes: usize,
    size: Size,
    troubles: Vec<(u64, Trouble)>,
}

impl DayBuilder {
    fn random_node(&mut self) -> Who {
        Who::Node(self.rng.usize(0..self.nodes))
    }

    /// How soon processes are back on this day: within a fraction of a second, or as late as the sites have it.
    fn restart_delay_ms(&mut self) -> u64 {
        match self.rng.u32(0..4) {
            0 => self.rng.u64(50..100),
            1 | 2 => self.rng.u64(100..400),
            _ => self.rng.u64(400..8000),
        }
    }

    fn end(&self) -> u64 {
        BEGIN + self.size.troubles_ms
    }

    fn add(&mut self, at: u64, trouble: Trouble) {
        self.troubles.push((at, trouble));
    }

    /// Something every so often, until troubles end.
    fn every(&mut self, ms: u64, mut f: impl FnMut(&mut Self, u64)) {
        for at in (BEGIN..self.end()).step_by(ms.max(1) as usize) {
            f(self, at);
        }
    }

    fn crash_all(&mut self, at: u64, back_ms: u64) {
        self.add(
            at,
            Trouble::Crash {
                who: Who::All,
                back_ms,
            },
        );
    }

    /// So many nodes crash again and again; how often and how soon they are back is the day's.
    fn crash_loop(&mut self, who: &[Who]) {
        let interval_ms = self.rng.u64(100..5000);
        let back_ms = if interval_ms < 400 {
            self.rng.u64(50..100)
        } else {
            self.restart_delay_ms().min(interval_ms)
        };
        let who = who.to_vec();
        self.every(interval_ms, |d, at| {
            who.iter()
                .for_each(|w| d.add(at, Trouble::Crash { who: *w, back_ms }))
        });
    }

    /// All three times in a row, somewhere in the trouble that lasts so long.
    fn crash_all_three_times(&mut self, at: u64, ms: u64) {
        for _ in 0..3 {
            let (at, back) = (at + self.rng.u64(0..ms), self.restart_delay_ms());
            self.crash_all(at, back);
        }
    }
}

type AddTroubles = fn(&mut DayBuilder);

/// Each kind of day: its name, what happens, and how many times as many gangs come meanwhile.
const KINDS: [(&str, AddTroubles, u32); 16] = [
    ("calm", |_| {}, 1),
    (
        "loop of one",
        |d| {
            let one = d.random_node();
            d.crash_loop(&[one]);
        },
        1,
    ),
    (
        "loop of two",
        |d| d.crash_loop(&[Who::Node(0), Who::Node(1)]),
        1,
    ),
    ("loop of the owner", |d| d.crash_loop(&[Who::Leader]), 1),
    ("loop of all", |d| d.crash_loop(&[Who::All]), 1),
    (
        "all every 3 s, back after 0.15 s",
        |d| d.every(3000, |d, at| d.crash_all(at, 150)),
        1,
    ),
    (
        "crashes at each step of a take-over",
        |d| {
            // Whoever takes over next crashes at one step of it, and the next one at another.
            d.every(4000, |d, at| {
                let back = d.restart_delay_ms();
                d.add(
                    at,
                    Trouble::Crash {
                        who: Who::Leader,
                        back_ms: back,
                    },
                );
                for n in 0..d.nodes {
                    let (question, back_ms) = (d.rng.u32(1..25), d.restart_delay_ms());
                    d.add(
                        at + 1,
                        Trouble::Fuse {
                            who: Who::Node(n),
                            question,
                            back_ms,
                        },
                    );
                }
            });
        },
        1,
    ),
    (
        "outages with crashes of all",
        |d| {
            d.every(22_000, |d, at| {
                d.add(at, Trouble::StateOut { ms: 8000 });
                let (within, back) = (d.rng.u64(0..8000), d.restart_delay_ms());
                d.crash_all(at + within, back);
            })
        },
        1,
    ),
    (
        "outage of 30 s, three crashes",
        |d| {
            d.add(BEGIN, Trouble::StateOut { ms: 30_000 });
            d.crash_all_three_times(BEGIN, 30_000);
        },
        1,
    ),
    (
        "cuts from the state service, crashes",
        |d| {
            d.every(16_000, |d, at| {
                d.add(
                    at,
                    Trouble::Cut {
                        who: Who::All,
                        from: Frontend::State,
                        how: How::Hold,
                        ms: 7000,
                    },
                );
                let (within, back) = (d.rng.u64(0..7000), d.restart_delay_ms());
                d.add(
                    at + within,
                    Trouble::Crash {
                        who: Who::Leader,
                        back_ms: back,
                    },
                );
            })
        },
        1,
    ),
    (
        "freezes with quick restarts",
        |d| {
            d.every(12_000, |d, at| {
                let (who, ms, back_ms) = (
                    d.random_node(),
                    d.rng.u64(1000..10_000),
                    d.restart_delay_ms(),
                );
                d.add(at, Trouble::Freeze { who, ms });
                let within = d.rng.u64(0..ms);
                d.add(at + within, Trouble::Crash { who, back_ms });
                d.add(
                    at + 500,
                    Trouble::Freeze {
                        who: Who::Leader,
                        ms: ms / 2,
                    },
                );
            })
        },
        1,
    ),
    (
        "a zone cut, three crashes, machines die",
        |d| {
            let (zone, machines) = (["a", "b"][d.rng.usize(0..2)], d.size.machines / 10);
            d.add(BEGIN, Trouble::Zone { zone, ms: 40_000 });
            d.crash_all_three_times(BEGIN, 40_000);
            d.add(BEGIN + 15_000, Trouble::Die { machines });
        },
        1,
    ),
    (
        "owner cut from the state, crashes, peers refuse",
        |d| {
            d.every(30_000, |d, at| {
                d.add(
                    at,
                    Trouble::Cut {
                        who: Who::Leader,
                        from: Frontend::State,
                        how: How::Hold,
                        ms: 15_000,
                    },
                );
                d.add(
                    at,
                    Trouble::Cut {
                        who: Who::All,
                        from: Frontend::Nodes,
                        how: How::Reset,
                        ms: 20_000,
                    },
                );
                let (who, back_ms) = (d.random_node(), d.restart_delay_ms());
                d.add(at + 4000, Trouble::Crash { who, back_ms });
                d.add(
                    at + 9000,
                    Trouble::Crash {
                        who: Who::Leader,
                        back_ms,
                    },
                );
            })
        },
        1,
    ),
    (
        "refused owners, a slow state service",
        |d| {
            d.every(20_000, |d, at| {
                d.add(
                    at,
                    Trouble::Refused {
                        who: Who::Leader,
                        ms: 10_000,
                    },
                );
                d.add(at + 5000, Trouble::StateSlow { ms: 10_000 });
                let back_ms = d.restart_delay_ms();
                d.add(
                    at + 12_000,
                    Trouble::Crash {
                        who: Who::Leader,
                        back_ms,
                    },
                );
            })
        },
        1,
    ),
    (
        "messages of former lives held",
        |d| {
            d.every(5000, |d, at| {
                // What is under way is held until after its sender is back, and comes to the new life.
                let (who, back_ms) = (d.random_node(), d.rng.u64(50..300));
                let from = [
                    Frontend::State,
                    Frontend::Nodes,
                    Frontend::Machines,
                    Frontend::Users,
                ][d.rng.usize(0..4)]
                .clone();
                d.add(
                    at,
                    Trouble::Cut {
                        who,
                        from,
                        how: How::Hold,
                        ms: 2000,
                    },
                );
                let within = d.rng.u64(200..1800);
                d.add(at + within, Trouble::Crash { who, back_ms });
                // The leader's last messages come after the next life has begun, or another leader.
                let ms = d.rng.u64(200..12_000);
                d.add(
                    at + 2500,
                    Trouble::Late {
                        who: Who::Leader,
                        for_ms: 300,
                        ms,
                    },
                );
                d.add(
                    at + 2800,
                    Trouble::Crash {
                        who: Who::Leader,
                        back_ms,
                    },
                );
            })
        },
        1,
    ),
    (
        "flood of gangs, a zone cut, machines die, all crash",
        |d| {
            d.add(
                BEGIN + 20_000,
                Trouble::Zone {
                    zone: "b",
                    ms: 20_000,
                },
            );
            let (machines, back) = (d.size.machines / 6, d.restart_delay_ms());
            d.add(BEGIN + 30_000, Trouble::Die { machines });
            d.crash_all(BEGIN + 35_000, back);
            d.crash_all(BEGIN + 60_000, 150);
        },
        5,
    ),
];

/// Jobs of the day: gangs of high urgency, and arrays of low urgency and very unequal sizes, in three teams.
fn jobs(rng: &mut fastrand::Rng, size: Size, gang_factor: u32) -> Vec<Timed> {
    let large = size.is_large();
    // For each GPU-carrying machine as much work as fills half of the fleet.
    let scale = size.machines as f64 / if large { 1200.0 } else { 12.0 };
    let end = BEGIN + size.troubles_ms;
    let (gangs_a_minute, arrays_a_minute) = if large {
        (80.0 * scale, 15.0 * scale)
    } else {
        (10.0, 6.0)
    };
    let mut jobs = Vec::new();
    let mut add =
        |class: &str, kind: Kind, at: u64, tasks: u32, run_ms: u64, rng: &mut fastrand::Rng| {
            let mut spec = array(
                1000 + jobs.len() as u32,
                ["red", "blue", "green"][rng.usize(0..3)],
                tasks,
                run_ms as f64 / 1000.0,
            );
            (spec.class, spec.kind) = (class.into(), kind);
            spec.priority = if kind == Kind::Gang {
                Priority::High
            } else {
                Priority::Low
            };
            if kind == Kind::Gang && large {
                (spec.cores, spec.gpus, spec.mem_gb) = (16.0, 2.0, 24.0);
            }
            spec.spot = rng.bool();
            spec.one_zone = kind == Kind::Gang && rng.bool();
            let cancel_ms = (rng.u32(0..12) == 0).then(|| rng.u64(0..30_000));
            jobs.push(Timed {
                at,
                run_ms,
                cancel_ms,
                spec,
            });
        };
    let mut at = 1000.0;
    while (at as u64) < end {
        let is_flood = (BEGIN..BEGIN + 90_000).contains(&(at as u64));
        let rate = if is_flood {
            gangs_a_minute * f64::from(gang_factor)
        } else {
            gangs_a_minute
        };
        at += 120_000.0 / rate * rng.f64();
        let run = if large {
            rng.u64(50_000..110_000)
        } else {
            rng.u64(5000..20_000)
        };
        add(
            "gang",
            Kind::Gang,
            at as u64,
            [1, 2, 4][rng.usize(0..3)],
            run,
            rng,
        );
    }
    at = 1000.0;
    while (at as u64) < end {
        at += 120_000.0 / arrays_a_minute * rng.f64();
        let width_factor = if rng.u32(0..10) == 0 { 5 } else { 1 };
        let (tasks, run) = match large {
            true => (
                rng.u32(40..160) * width_factor.min(4),
                rng.u64(30_000..70_000),
            ),
            false => (rng.u32(1..7) * width_factor, rng.u64(3000..12_000)),
        };
        add("array", Kind::Array, at as u64, tasks, run, rng);
    }
    jobs
}

/// The names of the kinds of days.
pub fn kinds() -> Vec<&'static str> {
    KINDS.iter().map(|(name, ..)| *name).collect()
}

/// One day of a kind, as [`kinds`] counts them.
pub fn plan(kind: usize, seed: u64, nodes: usize, size: Size) -> Plan {
    let (_, troubles, gang_factor) = KINDS[kind];
    let mut builder = DayBuilder {
        rng: fastrand::Rng::with_seed(seed),
        nodes,
        size,
        troubles: Vec::new(),
    };
    troubles(&mut builder);
    let quiet_from = builder
        .troubles
        .iter()
        .map(|(at, t)| at + t.ms())
        .max()
        .unwrap_or(BEGIN);
    let gpus = size.machines as f64 * 3.0;
    let scale = size.machines as f64 / 1200.0;
    let limits = Limits {
        rps: 150.0 * scale,
        write_rps: 35.0 * scale,
        value_kb: 8.0,
        txn_ops: 16,
    };
    let scene = Scene {
        jobs: jobs(&mut builder.rng, size, gang_factor),
        machines: size.machines,
        limits: size.is_large().then_some(limits),
        day: Some(Day {
            troubles: builder.troubles,
            quiet: quiet_from,
            held: BTreeSet::new(),
        }),
        ..Scene::default()
    };
    let scene = scene
        .team("red", gpus / 6.0, gpus * 0.6)
        .team("blue", gpus / 6.0, gpus * 0.8)
        .team("green", gpus / 6.0, 0.0);
    let end = BEGIN + size.troubles_ms + size.after_ms;
    // On every other day messages are late now and then, until the last trouble is over.
    let late_until = if seed % 2 == 1 { quiet_from } else { 0 };
    Plan {
        large: size.is_large(),
        ..Plan::of_scene(seed, nodes, scene, late_until, end)
    }
}
