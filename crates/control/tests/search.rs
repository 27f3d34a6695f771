//! Ownership and the end of a cancelled task, searched exhaustively in small: two or three controllers, one worker and
//! one job, whatever is lost, late or repeated, whoever ends and is back at once, and with the state service out.
//!
//! Each guard that docs/safety.md derives its bounds from is taken out in turn, and the search has to notice.
//! `STOATHATCH_SEARCH=large cargo test --release -p control --test search -- --nocapture` searches further.

#[path = "search/model.rs"]
mod model;

use model::{After, Bounds, Lengths, Planted, Step, World};
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::time::Instant;

/// What a search has come to.
struct Found {
    worlds: usize,
    /// Steps from the beginning to the last world.
    depth: usize,
    /// All worlds were seen, not only as many as were asked for.
    whole: bool,
    broken: Option<(&'static str, Vec<Step>)>,
    seconds: f64,
}

/// A number of 64 bits for a world, the same in each run.
#[derive(Default)]
struct Print(u64);

impl Hasher for Print {
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u64(u64::from(*b)));
    }
    fn write_u8(&mut self, n: u8) {
        self.write_u64(u64::from(n));
    }
    fn write_isize(&mut self, n: isize) {
        self.write_u64(n as u64);
    }
    fn write_usize(&mut self, n: usize) {
        self.write_u64(n as u64);
    }
    fn write_u64(&mut self, n: u64) {
        let mixed = u128::from(self.0 ^ n ^ 0x9e37_79b9_7f4a_7c15) * 0xa076_1d64_78bd_642f;
        self.0 = (mixed >> 64) as u64 ^ (mixed as u64).rotate_left(29);
    }
    fn finish(&self) -> u64 {
        self.0
    }
}

fn print_of(world: &World) -> u64 {
    let mut print = Print::default();
    world.hash(&mut print);
    print.finish()
}

/// All worlds that can be reached, those of the fewest steps first, up to a number; stops at the first that is broken.
/// Of the worlds themselves only the newest are held, of the others a number of 64 bits.
fn search(b: &Bounds, most: usize) -> Found {
    let begun = Instant::now();
    let steps = World::steps(b);
    let mut seen: HashSet<u64> = HashSet::new();
    // How each world came about: from which, and by which step.
    let mut came: Vec<(u32, Step)> = vec![(0, Step::Tick)];
    let mut newest = vec![(0u32, World::new(b.nodes).canonical(b).0)];
    seen.insert(print_of(&newest[0].1));
    let mut found = Found {
        worlds: 1,
        depth: 0,
        whole: false,
        broken: None,
        seconds: 0.0,
    };
    'all: while !newest.is_empty() && came.len() < most {
        let mut next = Vec::new();
        for (at, world) in &newest {
            for step in &steps {
                match world.step(*step, b) {
                    After::Nothing | After::Gone => {}
                    After::Broken(what) => {
                        found.broken = Some((what, trace(&came, *at, *step)));
                        break 'all;
                    }
                    After::World(w) => {
                        let w = w.canonical(b).0;
                        if seen.insert(print_of(&w)) {
                            next.push((came.len() as u32, w));
                            came.push((*at, *step));
                        }
                    }
                }
            }
            if came.len() >= most {
                break 'all;
            }
        }
        found.depth += usize::from(!next.is_empty());
        found.whole = next.is_empty();
        newest = next;
    }
    found.worlds = came.len();
    found.seconds = begun.elapsed().as_secs_f64();
    found
}

fn trace(came: &[(u32, Step)], mut at: u32, last: Step) -> Vec<Step> {
    let mut steps = vec![last];
    while at != 0 {
        let (from, step) = came[at as usize];
        steps.push(step);
        at = from;
    }
    steps.reverse();
    steps
}

/// A history in words: nodes are called by where they stood at first, whatever order the worlds are kept in.
fn told(b: &Bounds, steps: &[Step]) -> String {
    let (mut world, mut names) = World::new(b.nodes).canonical(b);
    let mut words = Vec::new();
    for step in steps {
        words.push(step.named(&names));
        if let After::World(w) = world.step(*step, b) {
            let (next, order) = w.canonical(b);
            names = order.map(|n| names[n as usize]);
            world = next;
        }
    }
    words.join(", ")
}

const SHORT: Lengths = Lengths {
    ttl: 1,
    lease: 2,
    cancel: 4,
};
const LONG: Lengths = Lengths {
    ttl: 2,
    lease: 3,
    cancel: 6,
};

/// No search goes further than this.
const MOST: usize = 60_000_000;

fn bounds(
    lengths: Lengths,
    nodes: usize,
    (restarts, outages, tokens): (u8, u8, u8),
    late: bool,
) -> Bounds {
    Bounds {
        lengths,
        nodes,
        restarts,
        outages,
        tokens,
        late,
        literal: false,
        planted: Planted::Nothing,
    }
}

fn said(b: &Bounds, f: &Found) -> String {
    let Bounds {
        nodes,
        restarts,
        outages,
        tokens,
        late,
        literal,
        lengths,
        planted,
    } = b;
    let end = match &f.broken {
        Some((what, steps)) => format!("{what}: {}", told(b, steps)),
        None if f.whole => "all of them".to_owned(),
        None => "not all of them".to_owned(),
    };
    format!(
        "{planted:?}, {nodes} nodes, {restarts} restarts, {outages} outages, tokens to {tokens}, late {late}, literal {literal}, \
         {}/{}/{} ticks: {} worlds, {} steps deep, {:.1} s: {end}",
        lengths.ttl, lengths.lease, lengths.cancel, f.worlds, f.depth, f.seconds
    )
}

/// Searched whole, with the least number of worlds that it must have come to: a search of nothing proves nothing.
fn holds(b: &Bounds, least: usize) {
    let found = search(b, MOST);
    println!("{}", said(b, &found));
    assert!(found.broken.is_none(), "{}", said(b, &found));
    assert!(found.whole && found.worlds >= least, "{}", said(b, &found));
}

/// Two nodes: the gap between a leader that lost the state service and its heir, with restarts and outages twice.
#[test]
fn a_cancelled_task_is_gone_in_time_between_two_nodes() {
    holds(&bounds(SHORT, 2, (2, 2, 3), false), 500_000);
}

/// The same without what the model takes at once, since it only lets a task live longer: each word, charge and renewal
/// is a step that may be missing. What is found without a guard is found here too.
#[test]
fn a_cancelled_task_is_gone_in_time_step_by_step() {
    use Planted::{CountsUnread, KeeperNoBound, LongBound, NoBound};
    let b = Bounds {
        literal: true,
        ..bounds(SHORT, 2, (1, 1, 2), false)
    };
    holds(&b, 140_000);
    for planted in [NoBound, LongBound, CountsUnread, KeeperNoBound] {
        let b = Bounds { planted, ..b };
        let found = search(&b, 600_000);
        println!("{}", said(&b, &found));
        assert!(found.broken.is_some(), "{}", said(&b, &found));
    }
}

/// Lengths that leave a leader sure, and a bound running, over several ticks.
#[test]
fn a_cancelled_task_is_gone_in_time_with_longer_leases() {
    holds(&bounds(LONG, 2, (1, 1, 2), false), 120_000);
}

/// Answers, words and transactions that come late, and transactions that come twice.
#[test]
fn a_cancelled_task_is_gone_in_time_though_messages_are_late() {
    holds(&bounds(SHORT, 2, (1, 1, 2), true), 600_000);
}

/// Three nodes: one may confirm, one renew, and one vouch.
#[test]
fn a_cancelled_task_is_gone_in_time_among_three_nodes() {
    holds(&bounds(SHORT, 3, (1, 1, 2), false), 450_000);
}

/// Each guard that is taken out is noticed, in the rule that it is there for and within so many worlds.
#[test]
fn the_search_finds_each_guard_that_is_missing() {
    use Planted::*;
    let lives = "a cancelled task outlives its time";
    let twice = "a token is given out twice";
    let two = "two lives are sure that they own the fleet";
    let plain = bounds(SHORT, 2, (1, 1, 3), false);
    let late = bounds(SHORT, 2, (1, 1, 2), true);
    let three = bounds(SHORT, 3, (0, 1, 2), false);
    let all = [
        (NoBound, plain, lives),
        (LongBound, plain, lives),
        (Majority, three, lives),
        (CountsUnread, plain, lives),
        (CountsHearsay, plain, lives),
        (VouchesForAnyToken, plain, lives),
        (VouchesFromArrival, three, lives),
        (KeeperNoBound, plain, lives),
        (KeeperFromArrival, late, lives),
        (KeepsCancelled, plain, lives),
        (UnsureCharges, plain, lives),
        (HeirKeepsToken, plain, twice),
        (EarlyAnswer, plain, lives),
        (RenewedFromAnswer, late, two),
        (NoGuards, plain, twice),
        (NoTokenGuard, plain, twice),
        (SureTooLong, plain, two),
        (TellsFirst, plain, lives),
        (NoStops, plain, lives),
        (WaitsForAnswer, plain, lives),
        (UnguardedEnd, plain, lives),
    ];
    for (planted, b, rule) in all {
        let b = Bounds { planted, ..b };
        let found = search(&b, 600_000);
        println!("{}", said(&b, &found));
        assert_eq!(
            found.broken.as_ref().map(|(what, _)| *what),
            Some(rule),
            "{}",
            said(&b, &found)
        );
    }
}

/// What other guards cover: all worlds without it are seen, and nothing breaks in them. The leader record's guard is
/// covered by the token's, and not the other way round; a lease delegate that knows of a later leader by its own bound; the
/// life's mark by both guards.
#[test]
fn some_guards_are_covered_by_others() {
    for (planted, least) in [
        (Planted::NoLeaderGuard, 80_000),
        (Planted::KeepsBelow, 150_000),
        (Planted::NoMark, 150_000),
    ] {
        let tokens = if planted == Planted::NoLeaderGuard {
            2
        } else {
            3
        };
        holds(
            &Bounds {
                planted,
                ..bounds(SHORT, 2, (1, 1, tokens), false)
            },
            least,
        );
    }
}

/// Further, by command alone: minutes, and some gigabytes.
#[test]
fn a_larger_search_by_command() {
    if std::env::var("STOATHATCH_SEARCH").as_deref() != Ok("large") {
        return println!("not asked for: STOATHATCH_SEARCH=large");
    }
    for (b, least) in [
        (
            Bounds {
                literal: true,
                ..bounds(SHORT, 2, (1, 1, 3), false)
            },
            600_000,
        ),
        (
            Bounds {
                literal: true,
                ..bounds(SHORT, 3, (0, 1, 2), false)
            },
            400_000,
        ),
        (bounds(SHORT, 2, (1, 1, 3), true), 1_500_000),
        (bounds(LONG, 2, (2, 2, 3), false), 1_500_000),
        (bounds(LONG, 2, (1, 1, 2), true), 1_500_000),
        (bounds(SHORT, 3, (0, 1, 2), true), 1_500_000),
        (bounds(SHORT, 3, (1, 1, 3), false), 1_500_000),
        (bounds(LONG, 3, (1, 1, 2), false), 1_500_000),
    ] {
        holds(&b, least);
    }
}
