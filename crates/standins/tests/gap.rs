//! The state service refuses the leader alone, another controller takes over and confirms cancels, then the state
//! service is out for all, for longer than a cancel may take, and workers go on reporting to the old leader. Every task
//! of a confirmed cancel still has to end in time.
//!
//! Each scenario, called a day, is generated from its number alone. The tests run a fixed set of days. `GAP_DAYS=N
//! cargo test --release -p standins --test gap -- --nocapture` runs N days for each number of controllers instead, from
//! day `GAP_FROM` (0) on, and prints their number and the longest time that a cancelled task ran on; `GAP_DAY=N` runs a
//! single day, with the controllers' logs if `RUST_LOG` enables them.

use fastrand::Rng;
use standins::days::{Trouble, Who};
use standins::links::{Cut, Frontend, How};
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, TakeOver, World};

const JOBS: u32 = 16;
const CANCEL_MS: u64 = 40_000;
const LEASE_MS: u64 = 15_000;
/// How often a leader renews its lease under the settings of the simulation.
const RENEWAL_MS: u64 = 500;
/// The step in which the simulation advances while it waits for a condition.
const STEP_MS: u64 = 2;
/// The longest wait for the next leader, and for its confirmations of cancels.
const WAIT_MS: u64 = 15_000;

/// The event from which the start of the outage is counted: the refusal, the next leader's record, its learning of that
/// record, its having read all records, the first record of a cancel, the first confirmation of a cancel to a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutageAfter {
    Refusal,
    LeaderRecorded,
    Leads,
    Loaded,
    CancelRecorded,
    CancelConfirmed,
}

/// Which messages between controllers are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerLinks {
    All,
    None,
    /// No messages reach the old leader, or none of its messages reach the others.
    OldHearsNone,
    OldUnheard,
    /// The old leader and the next one do not reach each other.
    OldAndNext,
    /// Each direction of each link is up or down at random.
    Any,
}

/// Which controllers and machines reach each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachineLinks {
    All,
    /// Only the old leader and the machines.
    Old,
    /// The old leader and the machines; the machines' reports reach the other controllers, which cannot send to
    /// machines.
    Reports,
    /// A zone is cut off from the others; a node in it may have been delegated to renew the leases of its machines.
    Zone,
    Any,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Freeze(u64),
    Crash(u64),
}

#[derive(Debug, Clone)]
struct Day {
    nodes: usize,
    seed: u64,
    /// When the refusal begins, within the interval of lease renewals, and how long it lasts.
    refused_at: u64,
    refused_ms: u64,
    take_over: Option<TakeOver>,
    /// The first few cancels begin this long after the refusal, the others when the next leader is recorded; both are
    /// requested `cancels_apart` ms apart.
    first_cancel: u64,
    cancels_apart: u64,
    outage: (OutageAfter, u64),
    outage_ms: u64,
    /// How long the state service is up after the first outage, and how long a second outage lasts.
    second_outage: Option<(u64, u64)>,
    peer_links: PeerLinks,
    machine_links: MachineLinks,
    how: How,
    cloud_out: bool,
    /// Faults of the next leader and of the old one, and how long after the start of the outage they occur.
    next: (Fault, u64),
    old: (Fault, u64),
    /// If not 0, the state service's responses to the old leader are lost until this long after the refusal begins.
    lost_responses_ms: u64,
}

fn fault(rng: &mut Rng) -> (Fault, u64) {
    let ms = if rng.bool() {
        rng.u64(50..8000)
    } else {
        rng.u64(50..500)
    };
    let at = if rng.bool() {
        rng.u64(0..3000)
    } else {
        rng.u64(0..30_000)
    };
    let faults = [
        Fault::None,
        Fault::None,
        Fault::Freeze(ms),
        Fault::Crash(ms),
        Fault::Crash(ms),
    ];
    (faults[rng.usize(0..faults.len())], at)
}

impl Day {
    fn generate(nodes: usize, seed: u64) -> Day {
        let mut rng = Rng::with_seed(seed * 8 + nodes as u64);
        let from = [
            OutageAfter::Refusal,
            OutageAfter::LeaderRecorded,
            OutageAfter::Leads,
            OutageAfter::Loaded,
            OutageAfter::CancelRecorded,
            OutageAfter::CancelConfirmed,
        ];
        let from = from[rng.usize(0..from.len())];
        let peer_links = [
            PeerLinks::All,
            PeerLinks::None,
            PeerLinks::OldHearsNone,
            PeerLinks::OldUnheard,
            PeerLinks::OldAndNext,
            PeerLinks::Any,
        ];
        let machine_links = [
            MachineLinks::All,
            MachineLinks::Old,
            MachineLinks::Old,
            MachineLinks::Reports,
            MachineLinks::Zone,
            MachineLinks::Any,
        ];
        let late = TakeOver::Late(rng.u64(1..4000));
        let take_over = [None, None, None, Some(TakeOver::Unanswered), Some(late)];
        let most = if from == OutageAfter::Refusal {
            8000
        } else {
            [100, 1000, 4000][rng.usize(0..3)]
        };
        Day {
            nodes,
            seed,
            refused_at: rng.u64(0..RENEWAL_MS),
            refused_ms: if rng.u32(0..4) == 0 {
                rng.u64(1500..14_000)
            } else {
                150_000
            },
            take_over: take_over[rng.usize(0..take_over.len())],
            first_cancel: if rng.u32(0..3) == 0 {
                0
            } else {
                rng.u64(1500..4500)
            },
            cancels_apart: rng.u64(2..100),
            outage: (from, rng.u64(0..most)),
            outage_ms: rng.u64(45_000..70_000),
            second_outage: (rng.u32(0..3) == 0)
                .then(|| (rng.u64(50..4000), rng.u64(45_000..70_000))),
            peer_links: peer_links[rng.usize(0..peer_links.len())],
            machine_links: machine_links[rng.usize(0..machine_links.len())],
            how: [How::Hold, How::Reset][rng.usize(0..2)],
            cloud_out: rng.u32(0..4) > 0,
            next: fault(&mut rng),
            old: fault(&mut rng),
            lost_responses_ms: if rng.u32(0..6) == 0 {
                rng.u64(1..1500)
            } else {
                0
            },
        }
    }
}

/// The results of some days.
#[derive(Debug, Clone, Copy, Default)]
struct Summary {
    days: u64,
    /// Days on which cancels were confirmed before the outage.
    confirmed: u64,
    /// Days on which a cancelled task ran on for longer than a lease, so that some controller renewed it.
    renewed: u64,
    longest_ms: u64,
}

impl Summary {
    fn add(&mut self, other: Summary) {
        self.days += other.days;
        self.confirmed += other.confirmed;
        self.renewed += other.renewed;
        self.longest_ms = self.longest_ms.max(other.longest_ms);
    }
}

fn world(day: &Day) -> World {
    let job = |i| Timed {
        at: 500,
        run_ms: 600_000,
        cancel_ms: None,
        spec: array(1000 + i, "red", 2, 60.0),
    };
    let scene = Scene {
        jobs: (0..JOBS).map(job).collect(),
        machines: 12,
        ..Scene::default()
    };
    World::new(Plan::of_scene(
        day.seed,
        day.nodes,
        scene.team("red", 40.0, 0.0),
        0,
        600_000,
    ))
}

/// The node and the token of the leader record.
fn leader_record(world: &World) -> Option<(usize, u64)> {
    let rec = &world.state.keys.get("sys/owner/0")?.value;
    let node = rec["node"]
        .as_str()?
        .strip_prefix("burrow-")?
        .parse()
        .ok()?;
    Some((node, rec["token"].as_u64()?))
}

fn confirmed_cancels(world: &World) -> usize {
    world
        .rules
        .jobs
        .values()
        .filter(|j| j.told_cancelled.is_some())
        .count()
}

/// Runs until the condition holds, for at most `ms`. Returns whether it holds.
fn run_until(world: &mut World, ms: u64, mut condition: impl FnMut(&World) -> bool) -> bool {
    let (end, mut step) = (world.now() + ms, STEP_MS);
    while world.now() + step <= end && !condition(world) {
        let before = world.now();
        world.run_for(step);
        // Virtual time only advances to the next event, which may be more than one step away.
        step = if world.now() == before {
            step + STEP_MS
        } else {
            STEP_MS
        };
    }
    condition(world)
}

/// Runs to a time, or to the last event before it.
fn run_to(world: &mut World, at: u64) {
    world.run_for(at.saturating_sub(world.now()));
}

/// How long links stay cut: longer than the rest of the day.
const REST_OF_DAY_MS: u64 = 300_000;

impl Day {
    fn one_way(&self, world: &mut World, from: Frontend, to: Frontend) {
        let cut = Cut::between(from, to, world.now(), REST_OF_DAY_MS);
        world.cut(Cut {
            both: false,
            how: self.how,
            ..cut
        });
    }

    fn both_ways(&self, world: &mut World, from: Frontend, to: Frontend) {
        let cut = Cut::between(from, to, world.now(), REST_OF_DAY_MS);
        world.cut(Cut {
            how: self.how,
            ..cut
        });
    }

    fn cut_peers(&self, world: &mut World, old: usize, rng: &mut Rng) {
        match self.peer_links {
            PeerLinks::All | PeerLinks::OldAndNext => {}
            PeerLinks::None => self.both_ways(world, Frontend::Nodes, Frontend::Nodes),
            PeerLinks::OldHearsNone => self.one_way(world, Frontend::Nodes, Frontend::Node(old)),
            PeerLinks::OldUnheard => self.one_way(world, Frontend::Node(old), Frontend::Nodes),
            PeerLinks::Any => {
                for (a, b) in (0..self.nodes).flat_map(|a| (0..self.nodes).map(move |b| (a, b))) {
                    if a != b && rng.bool() {
                        self.one_way(world, Frontend::Node(a), Frontend::Node(b));
                    }
                }
            }
        }
    }

    fn cut_machines(&self, world: &mut World, old: usize, rng: &mut Rng) {
        let others: Vec<usize> = (0..self.nodes).filter(|n| *n != old).collect();
        for n in others {
            match self.machine_links {
                MachineLinks::All | MachineLinks::Zone => {}
                MachineLinks::Old => self.both_ways(world, Frontend::Node(n), Frontend::Machines),
                MachineLinks::Reports => self.one_way(world, Frontend::Node(n), Frontend::Machines),
                MachineLinks::Any => match rng.u32(0..4) {
                    0 => self.both_ways(world, Frontend::Node(n), Frontend::Machines),
                    1 => self.one_way(world, Frontend::Node(n), Frontend::Machines),
                    2 => self.one_way(world, Frontend::Machines, Frontend::Node(n)),
                    _ => {}
                },
            }
        }
        if self.machine_links == MachineLinks::Zone {
            world.cut_off(["a", "b"][rng.usize(0..2)], REST_OF_DAY_MS);
        }
    }

    fn inject(&self, world: &mut World, node: usize, fault: Fault) {
        let who = Who::Node(node);
        match fault {
            Fault::None => {}
            Fault::Freeze(ms) => world.bring(&Trouble::Freeze { who, ms }),
            Fault::Crash(back_ms) => world.bring(&Trouble::Crash { who, back_ms }),
        }
    }

    fn run(&self) -> Summary {
        let mut world = world(self);
        let mut rng = Rng::with_seed(self.seed);
        world.run_for(18_000);
        let old = world.leader_at().expect("a node leads the fleet");
        let (_, token) = leader_record(&world).expect("there is a leader record");
        if self.cloud_out {
            world.cloud_out(REST_OF_DAY_MS);
        }
        self.cut_machines(&mut world, old, &mut rng);
        self.cut_peers(&mut world, old, &mut rng);
        if self.lost_responses_ms > 0 {
            let cut = Cut::between(
                Frontend::State,
                Frontend::Node(old),
                world.now(),
                self.refused_at + self.lost_responses_ms,
            );
            world.cut(Cut { both: false, ..cut });
        }
        if let Some(take_over) = self.take_over {
            world.take_over_is(take_over);
        }
        world.run_for(self.refused_at);
        world.bring(&Trouble::Refused {
            who: Who::Node(old),
            ms: self.refused_ms,
        });
        self.cancel(&mut world, 0..JOBS / 4, self.first_cancel);
        let next = self.wait_for_outage(&mut world, old, token);
        let confirmed_before = confirmed_cancels(&world);
        world.bring(&Trouble::StateOut { ms: self.outage_ms });
        let mut faults = [
            (self.next.1, next, self.next.0),
            (self.old.1, old, self.old.0),
        ];
        faults.sort_by_key(|(at, _, _)| *at);
        let outage_start = world.now();
        for (at, node, fault) in faults {
            run_to(&mut world, outage_start + at);
            self.inject(&mut world, node, fault);
        }
        if let Some((open, ms)) = self.second_outage {
            run_to(&mut world, outage_start + self.outage_ms + open);
            world.bring(&Trouble::StateOut { ms });
        }
        world.run_for(self.outage_ms + CANCEL_MS);
        assert!(
            world.rules.broken.is_empty(),
            "{:?}\n{self:?}",
            world.rules.broken
        );
        let longest_ms = world.rules.longest_cancelled_ms;
        log::info!(
            "cancels confirmed before the outage: {confirmed_before}, in all: {}; longest cancelled: {longest_ms} ms: {self:?}",
            confirmed_cancels(&world)
        );
        Summary {
            days: 1,
            confirmed: u64::from(confirmed_before > 0),
            renewed: u64::from(longest_ms > LEASE_MS + 1000),
            longest_ms,
        }
    }

    fn cancel(&self, world: &mut World, jobs: std::ops::Range<u32>, first: u64) {
        for (i, job) in jobs.enumerate() {
            world.cancel_in(
                &format!("job-{:06}", 1000 + job),
                first + i as u64 * self.cancels_apart,
            );
        }
    }

    /// Runs until the outage begins. Returns the node that leads by then, or the old leader's successor by number if
    /// there is no leader record.
    fn wait_for_outage(&self, world: &mut World, old: usize, token: u64) -> usize {
        let is_next_recorded = |w: &World| leader_record(w).is_some_and(|(_, t)| t > token);
        let (from, after) = self.outage;
        if from != OutageAfter::Refusal {
            run_until(world, WAIT_MS, is_next_recorded);
        }
        // The last jobs are never cancelled.
        self.cancel(world, JOBS / 4..JOBS - 3, 0);
        let next = leader_record(world).map_or((old + 1) % self.nodes, |(n, _)| n);
        if self.peer_links == PeerLinks::OldAndNext && next != old {
            self.both_ways(world, Frontend::Node(old), Frontend::Node(next));
        }
        match from {
            OutageAfter::Refusal | OutageAfter::LeaderRecorded => {}
            OutageAfter::Leads => {
                run_until(world, WAIT_MS, |w| w.leader_at().is_some_and(|n| n != old));
            }
            OutageAfter::Loaded => {
                run_until(world, WAIT_MS, |w| w.leader_at().is_some_and(|n| n != old));
                // Reading the records takes a dozen messages.
                world.run_for(40);
            }
            OutageAfter::CancelRecorded => {
                let ended = |w: &World| w.state.keys.keys().any(|k| k.starts_with("end/"));
                run_until(world, WAIT_MS, ended);
            }
            OutageAfter::CancelConfirmed => {
                run_until(world, WAIT_MS, |w| confirmed_cancels(w) > 0);
            }
        }
        world.run_for(after);
        next
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs the fixed days, or those that the environment variables select.
fn sweep(nodes: usize, fixed: u64) {
    let _ = env_logger::builder().is_test(false).try_init();
    let from = number("GAP_DAY").or(number("GAP_FROM")).unwrap_or(0);
    let days = number("GAP_DAY").map(|_| 1).or(number("GAP_DAYS"));
    let mut summary = Summary::default();
    for seed in from..from + days.unwrap_or(fixed) {
        summary.add(Day::generate(nodes, seed).run());
    }
    println!("gap: {nodes} nodes, from day {from}: {summary:?}, of {CANCEL_MS} ms");
    if days.is_none() {
        assert!(
            summary.confirmed * 4 > summary.days,
            "too few days with a cancel confirmed before the outage: {summary:?}"
        );
        assert!(
            summary.renewed * 20 > summary.days,
            "too few days with a cancelled task renewed: {summary:?}"
        );
    }
}

#[test]
fn cancelled_tasks_end_in_time_with_three_controllers() {
    sweep(3, 100);
}

#[test]
fn cancelled_tasks_end_in_time_with_five_controllers() {
    sweep(5, 60);
}

#[test]
fn cancelled_tasks_end_in_time_with_seven_controllers() {
    sweep(7, 40);
}

/// The leader's transactions are executed but not answered, and the other controllers, which cannot reach it, read that
/// a job is cancelled and report that. The leader used to report the job as running, and did not stop it, for as long
/// as its transactions were unanswered.
#[test]
fn jobs_whose_cancel_may_be_recorded_are_stopped_and_not_reported_running() {
    let mut all = 0;
    for seed in 0..6 {
        let mut world = world(&Day::generate(3, seed));
        world.run_for(18_000);
        let old = world.leader_at().expect("a node leads the fleet");
        for n in (0..3).filter(|n| *n != old) {
            let cut = Cut::between(Frontend::Node(n), Frontend::Node(old), world.now(), 100_000);
            world.cut(Cut {
                how: How::Reset,
                ..cut
            });
        }
        world.bring(&Trouble::LateWrites {
            share: 1.0,
            for_ms: 70_000,
            at_once: false,
        });
        (0..4u32)
            .for_each(|i| world.cancel_in(&format!("job-{:06}", 1000 + i), u64::from(i) * 3000));
        world.run_for(90_000);
        assert!(
            world.rules.broken.is_empty(),
            "seed {seed}: {:?}",
            world.rules.broken
        );
        all += confirmed_cancels(&world);
    }
    assert!(all > 8, "only {all} cancels were confirmed");
}
