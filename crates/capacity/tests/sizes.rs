//! Sizes, workloads, gangs and fits, without a process.

use capacity::gangs::{Gangs, Notice};
use capacity::messages::{Change, TaskChange};
use capacity::network::{Network, Place};
use capacity::report::PhaseFigures;
use capacity::size::Size;
use capacity::slopes;
use capacity::timers::Timers;
use capacity::workload::{Workload, parse_id};
use capacity::{cluster, scenario};
use clap::Parser;
use wire::api::Cause;

#[derive(Parser)]
struct Arguments {
    #[command(flatten)]
    size: Size,
}

fn size(flags: &[&str]) -> Size {
    Arguments::parse_from(["test"].iter().chain(flags)).size
}

#[test]
fn a_size_that_cant_be_played_names_its_flag() {
    assert_eq!(size(&[]).check(), Ok(()));
    for (flag, value) in [
        ("--workers", "0"),
        ("--workers", "20001"),
        ("--controllers", "0"),
        ("--controllers", "7"),
        ("--zones", "0"),
        ("--regions", "13"),
        ("--teams", "1"),
        ("--tasks", "0"),
        ("--tasks", "16501"),
        ("--peak-starts", "0"),
        ("--phase-s", "0"),
        ("--memory-mb", "2048"),
        ("--sockets", "31"),
        ("--state-writes", "0"),
        ("--rack", "3301"),
        ("--cores", "NaN"),
    ] {
        let wrong = size(&[flag, value]).check().expect_err(value);
        let named = if flag == "--memory-mb" {
            "--workers"
        } else {
            flag
        };
        assert!(wrong.starts_with(named), "{flag} {value}: {wrong}");
    }
}

#[test]
fn a_job_follows_from_its_number() {
    let size = size(&[]);
    let (here, there) = (Workload::new(&size), Workload::new(&size));
    let base = here.base(size.tasks);
    let mut tasks = 0;
    for job in &base {
        let spec = here.spec(job).expect("a job of the beginning");
        assert_eq!(there.spec(job), Some(spec.clone()));
        assert_eq!(spec.check().map_err(|fault| fault.to_string()), Ok(()));
        assert_eq!(here.run_ms(job), there.run_ms(job));
        assert!(spec.tasks <= size.gang.max(40));
        tasks += spec.tasks;
    }
    let short = size.tasks - tasks;
    assert!(tasks <= size.tasks && short < 40, "{tasks} tasks");
    for id in ["job-000000001", "job-009000000", "job-x", "work"] {
        assert_eq!(parse_id(id), None, "{id}");
    }
}

#[test]
fn documents_of_the_planned_size_check_out() {
    let size = size(&[]);
    let ends = |last: u8| format!("127.0.0.{last}:2379").parse().expect("an address");
    let endpoints = cluster::Endpoints {
        state: ends(1),
        cloud: ends(2),
        peers: (0..6)
            .map(|peer| cluster::listens(&size, peer).peers)
            .collect(),
    };
    let settings = cluster::settings(&size, 0, &endpoints, 1.0);
    let settings: wire::settings::Settings = serde_json::from_value(settings).expect("settings");
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(settings.cluster.teams.len(), 86);
    let tree = quota::Tree::build(&cluster::tree(&size), &settings.quota_teams());
    assert!(tree.is_ok(), "{:?}", tree.err());
}

#[test]
fn regions_have_zones_delays_and_cuts() {
    let size = size(&["--region-delay-ms", "7"]);
    let mut network = Network::new(&size);
    let zones: Vec<usize> = (0..5).flat_map(|region| network.zones_in(region)).collect();
    assert_eq!(zones, (0..12).collect::<Vec<_>>());
    assert!((0..5).all(|region| !network.zones_in(region).is_empty()));
    let (first, last) = (Place::Zone(0), Place::Zone(11));
    assert_eq!(
        (
            network.delay(first, last),
            network.delay(first, Place::Outside)
        ),
        (7, 0)
    );
    network.cut(network.zones_in(4), 100);
    assert!(network.is_blocked(first, last, 99) && network.is_blocked(last, Place::Outside, 99));
    assert!(!network.is_blocked(Place::Zone(10), last, 99));
    assert!(!network.is_blocked(first, last, 100) && network.is_whole(100));
}

#[test]
fn timers_come_in_their_order() {
    let mut timers = Timers::default();
    for (due, what) in [(5, 'c'), (3, 'a'), (5, 'd'), (3, 'b')] {
        timers.add(due, what);
    }
    assert_eq!((timers.len(), timers.next_due()), (4, Some(3)));
    assert_eq!(timers.pop_due(2), None);
    let all: String = std::iter::from_fn(|| timers.pop_due(5))
        .map(|(_, what)| what)
        .collect();
    assert_eq!(all, "abcd");
    assert!(timers.is_empty());
}

fn change(task: u32, what: Change) -> TaskChange {
    TaskChange {
        at: 0,
        task: format!("job-2/{task}"),
        attempt: 9,
        machine: "host-1".into(),
        zone: 0,
        what,
    }
}

#[test]
fn a_gang_starts_together_and_breaks_once() {
    let on = Change::On { fetch_ms: 0 };
    let gone = Change::Off { cause: None };
    let peers = Change::Off {
        cause: Some(Cause::Peers),
    };
    let mut gangs = Gangs::default();
    let mut told = |task, what| gangs.changed(&change(task, what), "job-2", 3);
    let broken = Notice::Broken {
        job: "job-2".into(),
        attempt: 9,
    };
    let complete = Notice::Complete {
        job: "job-2".into(),
        attempt: 9,
    };
    // One that is gone before the gang has started is replaced.
    assert_eq!(told(0, on), None);
    assert_eq!(told(1, on), None);
    assert_eq!(told(1, gone), None);
    assert_eq!(told(1, on), None);
    assert_eq!(told(2, on), Some(complete));
    assert_eq!(told(0, gone), Some(broken));
    assert_eq!(told(1, peers), None);
    assert_eq!(told(2, peers), None);
}

#[test]
fn a_fit_finds_what_figures_are_made_of() {
    let phases: Vec<PhaseFigures> = (1..9)
        .flat_map(|n| (0..4).map(move |load| (f64::from(n), f64::from(load))))
        .map(|(n, load)| {
            let mut phase = PhaseFigures {
                workers: (n * 100.0) as usize,
                jobs: load * n,
                starts: load * load * 10.0,
                changes: f64::from(load > 1.0),
                ..PhaseFigures::default()
            };
            phase.reports = 2.0 + 0.2 * n * 100.0 + 0.5 * phase.starts;
            phase
        })
        .collect();
    let phases: Vec<&PhaseFigures> = phases.iter().collect();
    let fit = slopes::fit(&phases, &("reports a second", |p| p.reports));
    let near = |a: f64, b: f64| (a - b).abs() < 1e-6;
    let slopes: Vec<f64> = fit.slopes.iter().map(|(_, slope)| *slope).collect();
    assert!(
        near(fit.intercept, 2.0) && near(fit.residual, 0.0),
        "{fit:?}"
    );
    assert!(near(slopes[0], 0.2) && near(slopes[2], 0.5), "{fit:?}");
    assert!(near(slopes[1], 0.0) && near(slopes[3], 0.0), "{fit:?}");
}

#[test]
fn each_scenario_begins_with_a_fill_and_ends_settled() {
    for name in ["all", "steady", "peak", "failures", "region"] {
        let size = size(&["--scenario", name]);
        let phases = scenario::phases(&size);
        let first = phases.first().map(|p| p.kind);
        let last = phases.last().map(|p| p.kind);
        assert_eq!(first, Some(scenario::Kind::Fill), "{name}");
        assert_eq!(last, Some(scenario::Kind::Settle), "{name}");
        for phase in &phases {
            let faults = scenario::faults(&size, phase);
            assert!(faults.iter().all(|(at, _)| *at < phase.seconds), "{name}");
        }
    }
}
