//! Workers that report to a node, are redirected to the leader and return, in fixed and random orders.

use proptest::prelude::*;
use reach::{Leader, LeaderReachability, ReportRoute, Reporter};

const LEADER: Leader = Leader {
    node: 2,
    token: 7,
    accepts_no_workers: false,
};

fn report(paths: &mut LeaderReachability, now: u64, machine: &str, token: u64) -> ReportRoute {
    paths.route_report(
        now,
        &Reporter {
            machine,
            zone: "a",
            token,
        },
        LEADER,
    )
}

/// A worker that has turned away from the leader is served here at once, and stays.
#[test]
fn worker_that_left_the_leader_is_served_here_and_stays() {
    let mut paths = LeaderReachability::default();
    assert_eq!(report(&mut paths, 0, "m", 7), ReportRoute::Accept);
    assert_eq!(report(&mut paths, 5000, "m", 7), ReportRoute::Accept);
    assert!(paths.is_served(5000, "m") && !paths.is_served(5000, "n"));
    assert_eq!(paths.served_count(5000), 1);
}

/// Once some workers of a zone have returned, others of the zone are not sent to the leader; those of other zones are.
#[test]
fn zone_is_suspected_after_some_workers_return() {
    let mut paths = LeaderReachability::default();
    for m in ["m1", "m2", "m3"] {
        assert_eq!(report(&mut paths, 0, m, 1), ReportRoute::Redirect);
    }
    for m in ["m1", "m2"] {
        assert_eq!(report(&mut paths, 5500, m, 1), ReportRoute::Accept);
    }
    assert_eq!(report(&mut paths, 5600, "m9", 1), ReportRoute::Accept);
    let elsewhere = Reporter {
        machine: "x",
        zone: "b",
        token: 1,
    };
    assert_eq!(
        paths.route_report(5600, &elsewhere, LEADER),
        ReportRoute::Redirect
    );
}

/// One machine probes the path from time to time. If it returns, the next probe is later; if not, all are sent.
#[test]
fn one_worker_probes_the_path_before_the_others_follow() {
    let mut paths = LeaderReachability::default();
    let names: Vec<String> = (0..10).map(|i| format!("m{i}")).collect();
    let (mut sent, mut probes) = (None, Vec::new());
    for step in 0..60u64 {
        let now = step * 1000;
        for (i, m) in names.iter().enumerate() {
            // Each machine reports every five seconds; one that was sent is back after five.
            if step % 5 == i as u64 % 5 && sent.is_none_or(|(s, at)| s != i || now >= at + 5000) {
                let route = report(&mut paths, now, m, 7);
                if sent.is_some_and(|(s, _)| s == i) {
                    sent = None;
                }
                if route == ReportRoute::Redirect {
                    probes.push(now);
                    sent = Some((i, now));
                }
            }
        }
    }
    assert!((2..=5).contains(&probes.len()), "{probes:?}");
    // The path opens: the next probe does not return.
    let (mut gone, mut now) = (std::collections::BTreeSet::new(), 60_000);
    while now < 160_000 {
        for m in &names {
            if !gone.contains(m) && report(&mut paths, now, m, 7) == ReportRoute::Redirect {
                gone.insert(m.clone());
            }
        }
        now += 5000;
    }
    assert!(gone.len() >= 9, "{gone:?}");
}

/// The paths to another leader are others, so nothing is known of them.
#[test]
fn suspicion_is_reset_for_another_leader() {
    let mut paths = LeaderReachability::default();
    for m in ["m1", "m2", "m3"] {
        assert_eq!(report(&mut paths, 0, m, 7), ReportRoute::Accept);
    }
    let reporter = Reporter {
        machine: "m4",
        zone: "a",
        token: 7,
    };
    assert_eq!(
        paths.route_report(
            100,
            &reporter,
            Leader {
                node: 1,
                token: 8,
                accepts_no_workers: false,
            }
        ),
        ReportRoute::Redirect
    );
    assert_eq!(paths.served_count(100), 0);
}

/// Guards against taking a leader that raised its token for another one: the state was reset, and the whole fleet was
/// sent to the leader that it could not reach.
#[test]
fn leader_with_a_higher_token_keeps_its_state() {
    let mut paths = LeaderReachability::default();
    assert_eq!(report(&mut paths, 0, "m", 7), ReportRoute::Accept);
    let higher = Leader { token: 9, ..LEADER };
    for token in [7, 8, 9] {
        let reporter = Reporter {
            machine: "m",
            zone: "a",
            token,
        };
        assert_eq!(
            paths.route_report(100 * token, &reporter, higher),
            ReportRoute::Accept
        );
        assert_eq!(
            paths.route_report(
                100 * token,
                &Reporter {
                    machine: "new",
                    ..reporter
                },
                higher
            ),
            ReportRoute::Accept
        );
    }
}

/// No worker, not even the first, is sent to a leader that says that it hears from none.
#[test]
fn no_worker_is_sent_to_a_leader_that_hears_none() {
    let mut paths = LeaderReachability::default();
    let reporter = Reporter {
        machine: "m",
        zone: "a",
        token: 1,
    };
    assert_eq!(
        paths.route_report(
            0,
            &reporter,
            Leader {
                accepts_no_workers: true,
                ..LEADER
            }
        ),
        ReportRoute::Accept
    );
}

/// No worker is sent to a leader that spreads reports over all nodes, and reports here do not count as failures of the
/// path to it.
#[test]
fn no_worker_is_sent_to_a_leader_that_spreads_reports() {
    let mut paths = LeaderReachability::default();
    let reporter = |machine| Reporter {
        machine,
        zone: "a",
        token: LEADER.token,
    };
    let spreading = Leader {
        accepts_no_workers: true,
        ..LEADER
    };
    for machine in ["m1", "m2", "m3"] {
        assert_eq!(
            paths.route_report(0, &reporter(machine), spreading),
            ReportRoute::Accept
        );
    }
    assert!(paths.is_served(0, "m3"));
    let newcomer = Reporter {
        token: 0,
        ..reporter("m4")
    };
    assert_eq!(
        paths.route_report(100, &newcomer, LEADER),
        ReportRoute::Redirect
    );
}

proptest! {
    /// In any order of reports, a worker that returns is not sent again at once, and the number of served workers is
    /// bounded.
    #[test]
    fn returning_worker_is_accepted(calls in prop::collection::vec((0u64..8000, 0usize..6, 0usize..2, 0u64..9), 1..400)) {
        let mut paths = LeaderReachability::default();
        let mut now = 0;
        let mut sent: std::collections::HashMap<(usize, usize), u64> = Default::default();
        for (gap, machine, zone, token) in calls {
            now += gap;
            let (name, zone_name) = (format!("m{machine}-{zone}"), format!("z{zone}"));
            let reporter = Reporter { machine: &name, zone: &zone_name, token };
            let route = paths.route_report(now, &reporter, LEADER);
            if let Some(at) = sent.remove(&(machine, zone)) {
                prop_assert!(now >= at + 20_000 || route == ReportRoute::Accept, "sent twice in a row");
            }
            if route == ReportRoute::Redirect {
                sent.insert((machine, zone), now);
            }
            prop_assert!(paths.served_count(now) <= 12);
        }
    }

    /// More machines and zones than are tracked.
    #[test]
    fn memory_is_bounded_for_any_number_of_names(seed in 0u64..4) {
        let mut paths = LeaderReachability::default();
        for i in 0..9000u64 {
            let (name, zone) = (format!("m{seed}-{i}"), format!("z{}", i % 100));
            paths.route_report(i, &Reporter { machine: &name, zone: &zone, token: 7 }, LEADER);
        }
        prop_assert!(paths.served_count(9000) <= 8192);
    }
}
