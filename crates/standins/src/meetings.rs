//! Combinations of faults ("meetings of troubles"): scenarios in which two or three kinds of faults occur together,
//! drawn from a seed, and a named scenario for each combination that operators have seen break invariants. Jobs of
//! several classes, sizes and teams arrive meanwhile; a share of them is cancelled during the faults.

mod machines;
mod users;

use crate::checks::Verdict;
use crate::checks::starts::AfterCancel;
use crate::days::{BEGIN, Day, Machines, NextLeader, Trouble, Who};
use crate::links::{Frontend, How};
use crate::scene::{Scene, Timed, array};
use crate::state::Limits;
use crate::world::{Plan, Sabotage, World};
use std::collections::BTreeSet;
use std::ops::Range;
use wire::api::{JobSpec, Kind, Priority};

const MACHINES: usize = 12;
/// Jobs arrive until this time.
const ARRIVALS: u64 = BEGIN + 90_000;
/// Time after the last fault until all work must be done.
const AFTER_MS: u64 = 280_000;
const TEAMS: [&str; 3] = ["red", "blue", "green"];

/// Builds one scenario: its faults, and the jobs that arrive meanwhile.
struct DayBuilder {
    rng: fastrand::Rng,
    nodes: usize,
    troubles: Vec<(u64, Trouble)>,
    jobs: JobMix,
    /// How long one-task jobs arrive at four per second.
    one_task_jobs_ms: u64,
    options: machines::JobOptions,
}

/// How the jobs differ between scenarios.
struct JobMix {
    /// Share of the jobs that is cancelled during the faults.
    cancelled_share: f64,
    /// Run time of tasks of class `long`, and the mean intervals at which jobs of class `long` and `short` arrive.
    long_ms: Range<u64>,
    long_every_ms: u64,
    short_every_ms: u64,
}

impl DayBuilder {
    fn new(seed: u64, nodes: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let cancelled_share = 0.2 + 0.5 * rng.f64();
        let jobs = JobMix {
            cancelled_share,
            long_ms: 60_000..100_000,
            long_every_ms: 18_000,
            short_every_ms: 5000,
        };
        DayBuilder {
            rng,
            nodes,
            troubles: Vec::new(),
            jobs,
            one_task_jobs_ms: 0,
            options: machines::JobOptions::default(),
        }
    }

    fn add(&mut self, at: u64, trouble: Trouble) {
        self.troubles.push((at, trouble));
    }

    fn random_ms(&mut self, range: Range<u64>) -> u64 {
        self.rng.u64(range)
    }

    /// The leader in three of five cases, otherwise any node.
    fn random_node(&mut self) -> Who {
        if self.rng.u32(0..5) < 3 {
            Who::Leader
        } else {
            Who::Node(self.rng.usize(0..self.nodes))
        }
    }

    fn random_zone(&mut self) -> &'static str {
        ["a", "b"][self.rng.usize(0..2)]
    }

    fn random_machines(&mut self) -> Machines {
        let (zone, count) = (self.random_zone(), self.rng.usize(1..4));
        [
            Machines::Count(count),
            Machines::Share(0.5),
            Machines::Zone(zone),
        ][self.rng.usize(0..3)]
    }

    /// Random restart delay: almost none, or up to 8 s as at the operators' sites.
    fn restart_delay_ms(&mut self) -> u64 {
        match self.rng.u32(0..3) {
            0 => self.rng.u64(50..150),
            1 => self.rng.u64(150..1000),
            _ => self.rng.u64(1000..8000),
        }
    }

    fn random_mode(&mut self) -> How {
        if self.rng.bool() {
            How::Hold
        } else {
            How::Reset
        }
    }

    fn random_cut(&mut self, from: Frontend) -> Trouble {
        Trouble::Cut {
            who: self.random_node(),
            from,
            how: self.random_mode(),
            ms: self.random_ms(3000..40_000),
        }
    }

    /// Calls `f` with the beginning of each round of faults, `apart` ms after the one before.
    fn rounds(&mut self, rounds: u64, apart: u64, mut f: impl FnMut(&mut Self, u64)) {
        (0..rounds).for_each(|i| f(self, BEGIN + i * apart));
    }
}

type MakeTrouble = fn(&mut DayBuilder) -> Trouble;

/// Every kind of fault, with random parameters.
const FAULTS: [(&str, MakeTrouble); 29] = [
    ("crash", |d| Trouble::Crash {
        who: d.random_node(),
        back_ms: d.restart_delay_ms(),
    }),
    ("crash-all", |d| Trouble::Crash {
        who: Who::All,
        back_ms: d.restart_delay_ms(),
    }),
    ("fuse", |d| Trouble::Fuse {
        who: d.random_node(),
        question: d.rng.u32(1..25),
        back_ms: d.restart_delay_ms(),
    }),
    ("freeze", |d| Trouble::Freeze {
        who: d.random_node(),
        ms: d.random_ms(1000..20_000),
    }),
    ("cut-state", |d| d.random_cut(Frontend::State)),
    ("cut-peers", |d| d.random_cut(Frontend::Nodes)),
    ("cut-machines", |d| d.random_cut(Frontend::Machines)),
    ("late", |d| Trouble::Late {
        who: d.random_node(),
        for_ms: d.random_ms(300..5000),
        ms: d.random_ms(1000..15_000),
    }),
    ("zone", |d| Trouble::Zone {
        zone: d.random_zone(),
        ms: d.random_ms(5000..40_000),
    }),
    ("state-out", |d| Trouble::StateOut {
        ms: d.random_ms(3000..45_000),
    }),
    ("refused", |d| Trouble::Refused {
        who: d.random_node(),
        ms: d.random_ms(3000..40_000),
    }),
    ("state-slow", |d| Trouble::StateSlow {
        ms: d.random_ms(5000..40_000),
    }),
    ("die", |d| Trouble::Die {
        machines: d.rng.usize(1..4),
    }),
    ("late-writes", |d| Trouble::LateWrites {
        share: [0.1, 0.3, 0.7][d.rng.usize(0..3)],
        for_ms: d.random_ms(3000..40_000),
        at_once: false,
    }),
    ("late-reports", |d| Trouble::LateReports {
        share: [0.1, 0.5, 1.0][d.rng.usize(0..3)],
        for_ms: d.random_ms(3000..40_000),
        next: NextLeader::No,
    }),
    ("deaf", |d| Trouble::Deaf {
        machines: d.random_machines(),
        ms: d.random_ms(3000..40_000),
    }),
    ("close-looks", users::close_looks),
    ("cancel-now", users::cancel_now),
    ("cancel-at-end", users::cancel_at_end),
    ("odd-requests", users::odd_requests_trouble),
    ("cut-off", |d| Trouble::CutOff {
        who: d.random_node(),
        ms: d.random_ms(3000..60_000),
    }),
    ("unanswered-writes", |d| Trouble::LateWrites {
        share: [0.1, 0.3, 0.7][d.rng.usize(0..3)],
        for_ms: d.random_ms(3000..40_000),
        at_once: true,
    }),
    ("reports-for-next", |d| {
        let next = [NextLeader::CopyToOne, NextLeader::CopyToAll][d.rng.usize(0..2)];
        let share = [0.1, 0.5, 1.0][d.rng.usize(0..3)];
        Trouble::LateReports {
            share,
            for_ms: d.random_ms(3000..40_000),
            next,
        }
    }),
    ("reports-held", |d| {
        let share = [0.1, 0.3, 1.0][d.rng.usize(0..3)];
        Trouble::LateReports {
            share,
            for_ms: d.random_ms(3000..30_000),
            next: NextLeader::Held,
        }
    }),
    ("mute", |d| Trouble::Mute {
        machines: d.random_machines(),
        ms: d.random_ms(3000..40_000),
    }),
    ("hang", |d| Trouble::Hang {
        machines: d.random_machines(),
        ms: d.random_ms(1000..20_000),
    }),
    ("quick-boots", |d| Trouble::QuickBoots {
        ms: d.random_ms(10_000..60_000),
    }),
    ("slow-links", |d| Trouble::SlowLinks {
        ms: d.random_ms(5000..40_000),
    }),
    ("command-copies", machines::command_copies),
];

/// Names of all kinds of faults.
pub fn kinds() -> Vec<&'static str> {
    FAULTS.iter().map(|(name, _)| *name).collect()
}

type AddTroubles = fn(&mut DayBuilder);

/// A scenario for each combination of faults that broke invariants at operators.
const NAMED_DAYS: [(&str, AddTroubles); 19] = [
    ("asked-everywhere", users::asked_everywhere),
    (
        "asked-everywhere-troubled",
        users::asked_everywhere_with_leader_crashes,
    ),
    ("cancelled-at-end", users::cancelled_at_the_end),
    (
        "cancelled-at-end-troubled",
        users::cancelled_at_the_end_with_leader_crashes,
    ),
    ("many-cancelled", users::many_cancelled),
    (
        "many-cancelled-troubled",
        users::many_cancelled_with_leader_crashes,
    ),
    ("one-task-jobs", users::one_task_jobs),
    (
        "one-task-jobs-troubled",
        users::one_task_jobs_with_leader_crashes,
    ),
    ("odd-users", users::odd_requests),
    (
        "odd-users-troubled",
        users::odd_requests_with_leader_crashes,
    ),
    // Twice the state service refuses the leader alone, then answers nobody for longer than a cancellation may take.
    ("refused-then-out", |d| {
        d.jobs = JobMix {
            cancelled_share: 0.5,
            long_ms: 100_000..187_000,
            long_every_ms: 9000,
            short_every_ms: 20_000,
        };
        d.rounds(2, 90_000, |d, at| {
            let (ms, apart, out) = (
                d.random_ms(3000..16_000),
                d.random_ms(1000..7000),
                d.random_ms(41_000..46_000),
            );
            d.add(
                at,
                Trouble::Refused {
                    who: Who::Leader,
                    ms,
                },
            );
            // The outage stays below a minute, since users give up a submission after that.
            d.add(at + apart, Trouble::StateOut { ms: out });
        });
    }),
    // The state service answers slowly, refuses the leader and goes down meanwhile, while users cancel and query jobs.
    ("slow-then-refused", |d| {
        d.jobs.cancelled_share = 0.6;
        d.rounds(3, 30_000, |d, at| {
            d.add(at, Trouble::StateSlow { ms: 25_000 });
            let (refused, out) = (d.random_ms(500..10_000), d.random_ms(5000..20_000));
            let (ms, all) = (d.random_ms(2000..12_000), d.random_ms(1000..8000));
            d.add(
                at + refused,
                Trouble::Refused {
                    who: Who::Leader,
                    ms,
                },
            );
            d.add(at + out, Trouble::StateOut { ms: all });
        });
    }),
    // Commands and answers are delayed for seconds, then the machine continues.
    ("commands-held", |d| {
        d.jobs.cancelled_share = 0.5;
        d.rounds(6, 14_000, |d, at| {
            let (for_ms, ms) = (d.random_ms(1000..6000), d.random_ms(2000..12_000));
            d.add(
                at,
                Trouble::Late {
                    who: Who::Leader,
                    for_ms,
                    ms,
                },
            );
            let (apart, ms) = (d.random_ms(0..8000), d.random_ms(1000..6000));
            d.add(
                at + apart,
                Trouble::Cut {
                    who: Who::Leader,
                    from: Frontend::Machines,
                    how: How::Hold,
                    ms,
                },
            );
        });
    }),
    // The leader crashes while machines with long tasks are unreachable, or don't receive the next leader's messages.
    ("leader-ends-unheard", |d| {
        (d.jobs.cancelled_share, d.jobs.long_every_ms) = (0.3, 9000);
        d.rounds(3, 40_000, |d, at| {
            let (zone, ms) = (d.random_zone(), d.random_ms(6000..25_000));
            let machines = [Machines::Share(0.4), Machines::Zone(zone)][d.rng.usize(0..2)];
            d.add(at, Trouble::Deaf { machines, ms });
            let (cut, apart, back_ms) = (
                d.random_ms(3000..15_000),
                d.random_ms(0..6000),
                d.restart_delay_ms(),
            );
            if d.rng.bool() {
                let (from, how) = (Frontend::MachinesIn(zone.into()), d.random_mode());
                d.add(
                    at,
                    Trouble::Cut {
                        who: Who::All,
                        from,
                        how,
                        ms: cut,
                    },
                );
            }
            d.add(
                at + apart,
                Trouble::Crash {
                    who: Who::Leader,
                    back_ms,
                },
            );
        });
    }),
    // Transactions are applied late, after newer ones, also those of a leader that has crashed since.
    ("late-writes", |d| {
        d.jobs.cancelled_share = 0.5;
        d.add(
            BEGIN,
            Trouble::LateWrites {
                share: 0.3,
                for_ms: 80_000,
                at_once: false,
            },
        );
        d.rounds(5, 16_000, |d, at| {
            let (apart, back_ms) = (d.random_ms(1000..14_000), d.restart_delay_ms());
            d.add(
                at + apart,
                Trouble::Crash {
                    who: Who::Leader,
                    back_ms,
                },
            );
        });
    }),
    // Jobs of two or three tasks that end far apart, with leader changes in between.
    ("short-jobs-apart", |d| {
        d.jobs = JobMix {
            cancelled_share: 0.2,
            long_ms: 40_000..70_000,
            long_every_ms: 20_000,
            short_every_ms: 2500,
        };
        d.rounds(6, 14_000, |d, at| {
            let (apart, back_ms) = (d.random_ms(0..9000), d.restart_delay_ms());
            d.add(
                at + apart,
                Trouble::Crash {
                    who: Who::Leader,
                    back_ms,
                },
            );
            let (die, ms) = (d.random_ms(0..12_000), d.random_ms(2000..17_000));
            d.add(
                at + die,
                Trouble::Deaf {
                    machines: Machines::Count(2),
                    ms,
                },
            );
            if d.rng.bool() {
                d.add(at + die, Trouble::Die { machines: 1 });
            }
        });
    }),
    // The leader is cut off from the state service and its peers, while workers and users still reach it.
    ("leader-cut-off", |d| {
        (d.jobs.cancelled_share, d.jobs.long_every_ms) = (0.6, 9000);
        d.rounds(3, 40_000, |d, at| {
            let (ms, apart) = (d.random_ms(8000..60_000), d.random_ms(3000..12_000));
            d.add(
                at,
                Trouble::CutOff {
                    who: Who::Leader,
                    ms,
                },
            );
            if d.rng.bool() {
                d.add(
                    at + apart,
                    Trouble::CutOff {
                        who: Who::Leader,
                        ms: ms / 2,
                    },
                );
            }
        });
    }),
    // Leadership moves to another node and back; then all nodes crash and one returns, sometimes within a second.
    ("hand-over-and-back", |d| {
        d.jobs.cancelled_share = 0.4;
        d.rounds(5, 18_000, |d, at| {
            for apart in [0, 700, 1500, 2500] {
                let (apart, back_ms) = (apart + d.random_ms(0..700), d.random_ms(50..600));
                d.add(
                    at + apart,
                    Trouble::Crash {
                        who: Who::Leader,
                        back_ms,
                    },
                );
            }
            let (all, back_ms) = (d.random_ms(4000..12_000), d.random_ms(4000..15_000));
            // All crash; one of them crashes just before and has a shorter restart delay, so it returns first.
            d.add(
                at + all,
                Trouble::Crash {
                    who: Who::All,
                    back_ms,
                },
            );
            let (one, soon) = (d.rng.usize(0..d.nodes), d.random_ms(50..1000));
            d.add(
                at + all - 1,
                Trouble::Crash {
                    who: Who::Node(one),
                    back_ms: soon,
                },
            );
        });
    }),
    // Reports of earlier sessions and attempts arrive after newer ones, across leader changes.
    ("old-reports", |d| {
        d.jobs.cancelled_share = 0.4;
        d.add(
            BEGIN,
            Trouble::LateReports {
                share: 0.6,
                for_ms: 80_000,
                next: NextLeader::No,
            },
        );
        d.rounds(4, 20_000, |d, at| {
            let (apart, ms) = (d.random_ms(0..10_000), d.random_ms(10_000..25_000));
            d.add(
                at + apart,
                Trouble::Deaf {
                    machines: Machines::Share(0.3),
                    ms,
                },
            );
            let (apart, back_ms) = (d.random_ms(0..18_000), d.restart_delay_ms());
            d.add(
                at + apart,
                Trouble::Crash {
                    who: Who::Leader,
                    back_ms,
                },
            );
        });
    }),
];

fn all_named_days() -> impl Iterator<Item = &'static (&'static str, AddTroubles)> {
    NAMED_DAYS.iter().chain(&machines::NAMED_DAYS)
}

/// Names of the named scenarios.
pub fn named() -> Vec<&'static str> {
    all_named_days().map(|(name, _)| *name).collect()
}

/// A scenario in which faults of these kinds occur together, and its name.
pub fn meeting(seed: u64, nodes: usize, kinds: &[usize]) -> (Plan, String) {
    let names: Vec<&str> = kinds.iter().map(|k| FAULTS[*k].0).collect();
    let name = names.join("+");
    let mut d = DayBuilder::new(seed ^ hash(&name), nodes);
    // Far enough apart that two outages don't merge into one that is long enough for users to give up submissions.
    let apart = d.random_ms(70_000..85_000);
    d.rounds(2, apart, |d, at| {
        // Half of the rounds have their faults within 1.5 s, the others within 14 s.
        let within = if d.rng.bool() { 1500 } else { 14_000 };
        for kind in kinds {
            let (later, trouble) = (d.random_ms(0..within), FAULTS[*kind].1(d));
            d.add(at + later, trouble);
        }
    });
    (d.plan(seed), name)
}

/// The scenario with this name: one of [`named`], or kinds of faults joined by `+`.
pub fn day(name: &str, seed: u64, nodes: usize) -> Option<Plan> {
    if let Some((_, troubles)) = all_named_days().find(|(n, _)| *n == name) {
        let mut d = DayBuilder::new(seed ^ hash(name), nodes);
        troubles(&mut d);
        return Some(d.plan(seed));
    }
    let kind = |name: &str| FAULTS.iter().position(|(n, _)| *n == name);
    let kinds: Option<Vec<usize>> = name.split('+').map(kind).collect();
    Some(meeting(seed, nodes, &kinds?).0)
}

/// FNV-1a hash, so that scenarios with the same seed and different names differ.
fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl DayBuilder {
    fn plan(mut self, seed: u64) -> Plan {
        let quiet = self
            .troubles
            .iter()
            .map(|(at, t)| at + t.ms())
            .max()
            .unwrap_or(BEGIN);
        self.troubles.sort_by_key(|(at, _)| *at);
        let jobs = self.make_jobs(quiet);
        // Every third seed has a state service with low limits.
        let low_limits = Limits {
            rps: 80.0,
            write_rps: 25.0,
            value_kb: 8.0,
            txn_ops: 8,
        };
        let limits = (seed % 3 == 2).then_some(low_limits);
        let day = Day {
            troubles: self.troubles,
            quiet,
            held: BTreeSet::new(),
        };
        let scene = Scene {
            jobs,
            machines: MACHINES,
            limits,
            day: Some(day),
            ..Scene::default()
        };
        let limit = |usual| self.options.team_limit(usual);
        let scene = scene
            .team("red", 8.0, limit(24.0))
            .team("blue", 8.0, limit(28.0));
        let scene = scene.team("green", 8.0, limit(0.0));
        Plan::of_scene(seed, self.nodes, scene, 0, quiet + AFTER_MS)
    }

    fn make_jobs(&mut self, quiet: u64) -> Vec<Timed> {
        let mut jobs = Vec::new();
        let (long, long_every_ms, short_every_ms) = (
            self.jobs.long_ms.clone(),
            self.jobs.long_every_ms,
            self.jobs.short_every_ms,
        );
        self.add_jobs("array", 11_000, 3..13, 8000..20_000, quiet, &mut jobs);
        self.add_jobs("gang", 13_000, 2..5, 8000..25_000, quiet, &mut jobs);
        self.add_jobs("short", short_every_ms, 2..4, 1500..6000, quiet, &mut jobs);
        self.add_jobs("long", long_every_ms, 1..4, long, quiet, &mut jobs);
        self.add_one_task_jobs(&mut jobs);
        jobs
    }

    /// Adds jobs of a class that arrive every `every` ms on average.
    fn add_jobs(
        &mut self,
        class: &str,
        every: u64,
        tasks: Range<u32>,
        run: Range<u64>,
        quiet: u64,
        jobs: &mut Vec<Timed>,
    ) {
        let mut at = self.random_ms(1000..every);
        while at < ARRIVALS {
            let run_ms = self.random_ms(run.clone());
            let team = TEAMS[self.rng.usize(0..3)];
            let tasks = self.rng.u32(tasks.clone());
            let spec = array(
                1000 + jobs.len() as u32,
                team,
                tasks,
                run_ms as f64 / 1000.0,
            );
            let spec = self.with_class(class, spec);
            let cancel_ms = (self.rng.f64() < self.jobs.cancelled_share)
                .then(|| self.cancel_time(at, quiet) - at);
            jobs.push(Timed {
                at,
                run_ms,
                cancel_ms,
                spec,
            });
            at += self.random_ms(1..2 * every);
        }
    }

    /// A time up to 15 s after the beginning of some fault, or any time until the last fault is over.
    fn cancel_time(&mut self, submitted: u64, quiet: u64) -> u64 {
        if let Some(at) = self.options.cancel_time(&mut self.rng, &self.troubles) {
            return at.max(submitted + 200);
        }
        let near_trouble = self.rng.bool();
        let at = match self.troubles.len() {
            n if n > 0 && near_trouble => {
                self.troubles[self.rng.usize(0..n)].0 + self.rng.u64(0..15_000)
            }
            _ => self.rng.u64(BEGIN - 5000..quiet.max(BEGIN + 1)),
        };
        at.max(submitted + 200)
    }

    fn with_class(&mut self, class: &str, mut spec: JobSpec) -> JobSpec {
        spec.class = class.into();
        spec.priority = [Priority::Low, Priority::Normal][self.rng.usize(0..2)];
        if class == "gang" {
            (spec.kind, spec.priority) = (Kind::Gang, Priority::High);
            spec.one_zone = self.rng.bool();
        }
        spec.spot = self.rng.bool();
        // Half of the long jobs lose all progress when they are stopped.
        if class == "long" && self.rng.bool() {
            spec.checkpoint_s = 0.0;
        }
        self.options.apply(&mut self.rng, &mut spec);
        spec
    }
}

/// Results of a scenario.
#[derive(Debug, Clone, Default)]
pub struct Played {
    pub rules_broken: usize,
    pub verdict: Verdict,
    /// The longest time that a task of a cancelled job was on a machine after its user was told, and the allowed time.
    pub cancelled_life_ms: u64,
    pub cancel_ms: u64,
    pub lost: u64,
    pub after_cancel: AfterCancel,
    /// Changes requested of the state service, per job.
    pub changes_per_job: f64,
    /// Every broken invariant and every job or group that was not served.
    pub failures: Vec<String>,
}

/// Runs a scenario. With odd seeds these settings have their defaults instead of the shorter times of other
/// simulations.
pub fn play(plan: Plan) -> (World, Played) {
    let uses_default_settings = plan.seed % 2 == 1;
    let mut world = World::new(plan);
    if uses_default_settings {
        for (section, key, value) in [
            ("fleet", "silent_s", "7"),
            ("fleet", "idle_s", "5"),
            ("owner", "ttl_ms", "3000"),
        ] {
            world.tune(section, key, value);
        }
    }
    world.run_day();
    let verdict = world.verdict();
    let ordered_after_cancel = world.rules.after_cancel.failure();
    let played = Played {
        rules_broken: world.rules.broken.len(),
        failures: verdict
            .failures(&world.rules)
            .into_iter()
            .chain(ordered_after_cancel)
            .collect(),
        changes_per_job: world.state.counts.changes as f64 / verdict.jobs.max(1) as f64,
        verdict,
        after_cancel: world.rules.after_cancel.clone(),
        cancelled_life_ms: world.rules.longest_cancelled_ms,
        cancel_ms: world.rules.cancel_ms,
        lost: world.lost,
    };
    (world, played)
}

/// The same scenario with a deliberate fault in the system, to test that the checkers notice it.
pub fn sabotaged(plan: Plan, sabotage: Sabotage) -> Played {
    play(Plan { sabotage, ..plan }).1
}
