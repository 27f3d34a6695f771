//! Scenarios ("days") modelled on the operators' own tests: faults ("troubles") at given times, drawn from a seed, for
//! any number of controllers and for fleets of a dozen or of over a thousand machines.

use crate::links::{Frontend, How};
use crate::scene::{Scene, Timed, array};
use crate::state::Limits;
use crate::world::Plan;
use std::collections::BTreeSet;
use std::ops::Range;
use wire::api::{Kind, Priority};

/// Which controllers a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Who {
    Node(usize),
    /// The controller that leads the fleet when the fault begins.
    Leader,
    All,
}

/// Which machines a fault affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Machines {
    /// A number or a share of the machines present, picked at random when the fault begins.
    Count(usize),
    Share(f64),
    /// All machines of a zone, including those that boot during the fault.
    Zone(&'static str),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// Controller processes end and are restarted after `back_ms`.
    Crash {
        who: Who,
        back_ms: u64,
    },
    /// The controller crashes as it sends its `question`th next request to the state service, even if it was restarted
    /// in between.
    Fuse {
        who: Who,
        question: u32,
        back_ms: u64,
    },
    /// Controller processes are suspended while the clock goes on.
    Freeze {
        who: Who,
        ms: u64,
    },
    /// Controllers are cut off from some hosts.
    Cut {
        who: Who,
        from: Frontend,
        how: How,
        ms: u64,
    },
    /// Messages that the current process sends within `for_ms` are delayed by up to `ms`, and delivered to whichever
    /// process is there by then.
    Late {
        who: Who,
        for_ms: u64,
        ms: u64,
    },
    Zone {
        zone: &'static str,
        ms: u64,
    },
    /// The state service answers nobody.
    StateOut {
        ms: u64,
    },
    /// The state service refuses requests of these controllers.
    Refused {
        who: Who,
        ms: u64,
    },
    /// The state service answers slowly.
    StateSlow {
        ms: u64,
    },
    /// Machines fail for good.
    Die {
        machines: usize,
    },
    /// A share of the transactions that reach the state service within `for_ms` gets no answer. They are applied
    /// [`LATE_WRITE_MS`] later, after newer ones of the same node; with `at_once` they are applied immediately and only
    /// the answer is lost.
    LateWrites {
        share: f64,
        for_ms: u64,
        at_once: bool,
    },
    /// A share of the workers' reports sent within `for_ms` is delivered a second time: to the same node
    /// [`LATE_REPORT_MS`] later, or as `next` says when the leader changes. The answer to the copy is dropped.
    LateReports {
        share: f64,
        for_ms: u64,
        next: NextLeader,
    },
    /// A share of the commands that reach machines within `for_ms`, directly or through a relay, arrives again, up to
    /// [`MAX_COMMAND_COPIES`] times and [`COMMAND_COPY_MS`] later. Nobody waits for the answers to the copies.
    CommandCopies {
        share: f64,
        for_ms: u64,
    },
    /// Reports of these machines arrive; answers and direct commands to them are lost.
    Deaf {
        machines: Machines,
        ms: u64,
    },
    /// Within milliseconds after a job was accepted, ended or reported as cancelled, users query all nodes for it and
    /// submit it again at each; a share of the jobs is cancelled immediately.
    CloseLooks {
        ms: u64,
    },
    /// `count` running jobs that are far from done are cancelled within 200 ms; some of their machines hang.
    CancelNow {
        count: usize,
        hang_ms: u64,
    },
    /// A share of the jobs that end is cancelled, queried and submitted again just as the last task ends.
    CancelAtEnd {
        share: f64,
        ms: u64,
    },
    /// Users repeat submissions, cancel jobs that have ended, and submit jobs that can't run or are malformed.
    OddRequests {
        ms: u64,
    },
    /// The controller is cut off from the state service and the other nodes in both directions; workers and users still
    /// reach it.
    CutOff {
        who: Who,
        ms: u64,
    },
    /// These machines reach no controller; direct commands reach them and are answered.
    Mute {
        machines: Machines,
        ms: u64,
    },
    /// These machines are suspended, then continue where they were.
    Hang {
        machines: Machines,
        ms: u64,
    },
    /// Machines rented during this time boot within [`QUICK_BOOT_MS`], some before the rental request is answered.
    QuickBoots {
        ms: u64,
    },
    /// Messages between controllers, machines, cloud and state service are slow, but arrive in order.
    SlowLinks {
        ms: u64,
    },
}

/// Whether late reports wait for the next leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextLeader {
    No,
    /// When the next leader begins, the copies are delivered to it alone, or to every node.
    CopyToOne,
    CopyToAll,
    /// The reports themselves are held and delivered only to the next leader, once it has begun.
    Held,
}

/// Delay until a late transaction is applied.
pub const LATE_WRITE_MS: Range<u64> = 2000..12_000;
/// Delay until the copy of a report is delivered: up to two leases.
pub const LATE_REPORT_MS: Range<u64> = 2000..30_000;
/// Delay until a copy of a command is delivered: from less than the interval between two reports to several leases.
pub const COMMAND_COPY_MS: Range<u64> = 20..120_000;
/// The most copies of one command.
pub const MAX_COMMAND_COPIES: usize = 3;
/// Boot time of machines while boots are quick.
pub const QUICK_BOOT_MS: Range<u64> = 1000..2000;

impl Trouble {
    /// Time from the beginning of the fault until its last effect.
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
            Trouble::CommandCopies { for_ms, .. } => for_ms + COMMAND_COPY_MS.end,
            Trouble::CloseLooks { ms }
            | Trouble::CancelAtEnd { ms, .. }
            | Trouble::OddRequests { ms } => *ms,
            Trouble::CancelNow { hang_ms, .. } => 200 + hang_ms,
            Trouble::Die { .. } => 0,
        }
    }
}

/// A scenario with a load balancer, users with persistent connections, and checkers.
#[derive(Debug, Clone, Default)]
pub struct Day {
    pub troubles: Vec<(u64, Trouble)>,
    /// Time at which the last fault is over.
    pub quiet: u64,
    /// Tasks of these jobs never get their image, to test that the checkers notice.
    pub held: BTreeSet<String>,
}

/// Faults begin at this time, when the fleet is busy.
pub const BEGIN: u64 = 60_000;

/// Size of the fleet and duration of a scenario.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub machines: usize,
    /// How long faults are injected and jobs arrive.
    pub troubles_ms: u64,
    /// Time after that until all work must be done.
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

    /// Random restart delay: a fraction of a second, or up to 8 s as at the operators' sites.
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

    /// Calls `f` with each multiple of `ms` from the beginning to the end of the faults.
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

    /// These nodes crash periodically; period and restart delay are drawn once per scenario.
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

    /// Crashes all controllers three times, at random moments within the `ms` after `at`.
    fn crash_all_three_times(&mut self, at: u64, ms: u64) {
        for _ in 0..3 {
            let (at, back) = (at + self.rng.u64(0..ms), self.restart_delay_ms());
            self.crash_all(at, back);
        }
    }
}

type AddTroubles = fn(&mut DayBuilder);

/// Each kind of scenario: its name, its faults, and the factor by which more gang jobs arrive meanwhile.
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
            // Each successor crashes at a random step of its takeover.
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
                // Messages in flight are held until their sender has restarted, and reach the new process.
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
                // The leader's last messages arrive after its restart, or after another leader has begun.
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

/// Jobs of the scenario: gangs of high priority, and arrays of low priority and very unequal sizes, in three teams.
fn jobs(rng: &mut fastrand::Rng, size: Size, gang_factor: u32) -> Vec<Timed> {
    let large = size.is_large();
    // Per GPU machine, enough work to fill half of the fleet.
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

/// Names of the kinds of scenarios.
pub fn kinds() -> Vec<&'static str> {
    KINDS.iter().map(|(name, ..)| *name).collect()
}

/// A scenario of the kind with this index in [`kinds`].
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
    // With odd seeds some messages are delayed, until the last fault is over.
    let late_until = if seed % 2 == 1 { quiet_from } else { 0 };
    Plan {
        large: size.is_large(),
        ..Plan::of_scene(seed, nodes, scene, late_until, end)
    }
}
