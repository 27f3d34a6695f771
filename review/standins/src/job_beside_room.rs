//! A machine fails the tasks that it starts, and is returned. Do the jobs that failed there run on the machine that comes
//! in its place?

use crate::Verdict;
use crate::controllers::Controllers;
use crate::world::{Platform, World, job_of, team};
use serde_json::json;
use standins::state::Limits;
use std::fs::File;
use std::thread::sleep;
use std::time::{Duration, Instant};
use wire::api::{JobSpec, JobState, Kind, MachineType, Priority, Stage};

/// From this time on, a job that waits beside room is a broken rule.
const WAITS_MS: u64 = 90_000;
const CPUS: f64 = 24.0;
const GPUS: f64 = 2.0;
/// The ids of the jobs in question, and of one that is submitted after the trouble.
const JOBS: [&str; 2] = ["job-000003", "job-000004"];
const LATER: &str = "job-000005";

fn job(id: &str, cores: f64, gpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "scan-read-array".into(),
        team: "scanning-unit".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cores,
        gpus,
        mem_gb: 72.0,
        image: "img-01".into(),
        image_gb: 0.2,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 100.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// Run times: the jobs in question 10 s, the others longer than the case.
fn run_ms(id: &str) -> u64 {
    if JOBS.contains(&id) { 10_000 } else { 600_000 }
}

fn wait(within_s: u64, mut until: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(within_s);
    while Instant::now() < end {
        if until() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    false
}

pub fn run(record: File, trouble: bool) -> Verdict {
    let zone = "upperhill";
    let platform = Platform {
        types: vec![MachineType {
            name: "baobab-24g".into(),
            cores: CPUS,
            gpus: GPUS,
            mem_gb: 192.0,
            cache_gb: 150.0,
            fetch_gb_per_s: 1.0,
            price: 6.75,
            spot_price: 2.65,
            boot_s: 2.0,
            zones: vec![zone.into()],
        }],
        report_ms: 3000,
        lease_ms: 34_000,
        list_lag_ms: 3000,
        capacity: 3,
        state: Limits {
            rps: 80.0,
            write_rps: 25.0,
            value_kb: 16.0,
            txn_ops: 16,
        },
        run_ms,
    };
    let world = match World::start(platform, record) {
        Ok(world) => world,
        Err(e) => return Verdict::CouldNotRun(format!("stand-ins: {e}")),
    };
    world.add_machines(1, 3, "baobab-24g", zone);
    let cluster = json!({
        "initial_size": 3, "zones": [zone],
        "teams": [team("scanning-unit", 0.0, 0.0, 16.0, 48.0)],
        "objectives": [{"kind": "guarantee", "within_s": 40.0, "share": 0.93}],
        "workers": {"report_s": 3.0, "lease_s": 34.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 64.0},
        "state": {"rps": 80.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 8.0, "list_lag_s": 3.0},
        "machine_limits": {"cores": 0.04, "mem_mb": 72.0, "max_sockets": 1000},
        "clock_error_ms": 25.0});
    let controllers = match Controllers::start(&world, &[zone, zone, zone], &cluster, |_, _, a| a) {
        Ok(c) => c,
        Err(e) => return Verdict::CouldNotRun(format!("controllers: {e}")),
    };
    let submit = |spec: &JobSpec| {
        let r = controllers.ask_until(
            "POST",
            "/work",
            &wire::encode(spec),
            Duration::from_secs(20),
        );
        r.is_some_and(|r| r.status == 201 || r.status == 200)
    };
    let machine_of = |id: &str| {
        world
            .on_machines()
            .into_iter()
            .find(|(t, _)| job_of(t) == id)
            .map(|(_, m)| m)
    };
    // Two jobs that take a machine each; the third machine has room.
    for id in ["job-000001", "job-000002"] {
        if !submit(&job(id, 20.0, GPUS)) {
            return Verdict::CouldNotRun(format!("{id} was not accepted"));
        }
    }
    if !wait(20, || world.on_machines().len() == 2) {
        return Verdict::CouldNotRun("the first jobs did not start".into());
    }
    let free = |world: &World| {
        let taken: Vec<String> = world.on_machines().into_iter().map(|(_, m)| m).collect();
        world.up().into_iter().find(|m| !taken.contains(m))
    };
    let Some(third) = free(&world) else {
        return Verdict::CouldNotRun("no machine is free".into());
    };
    if trouble {
        world.sicken(&third);
    }
    for id in JOBS {
        if !submit(&job(id, 10.0, 1.0)) {
            return Verdict::CouldNotRun(format!("{id} was not accepted"));
        }
    }
    let stage = |id: &str| {
        let r = controllers.ask(
            0,
            "GET",
            &format!("/work/{id}"),
            &[],
            Duration::from_secs(2),
        );
        r.and_then(|r| wire::decode::<JobState>(&r.body).ok())
            .map(|s| s.stage)
    };
    if !trouble {
        let done = wait(60, || {
            sleep(Duration::from_secs(2));
            JOBS.iter().all(|id| stage(id) == Some(Stage::Done))
        });
        return if done {
            Verdict::Held
        } else {
            Verdict::Broken("the jobs were not done within 60 s".into())
        };
    }
    // The trouble ends with the machine: another one comes in its place, and a later job begins there.
    if !wait(20, || !world.up().contains(&third)) {
        return Verdict::CouldNotRun(format!("{third} was not returned"));
    }
    world.record("the trouble is over");
    let runs = || JOBS.iter().find_map(|id| machine_of(id).map(|m| (*id, m)));
    if !wait(20, || free(&world).is_some() || runs().is_some()) {
        return Verdict::CouldNotRun("no other machine came".into());
    }
    if !submit(&job(LATER, 10.0, 1.0)) {
        return Verdict::CouldNotRun(format!("{LATER} was not accepted"));
    }
    if !wait(10, || machine_of(LATER).is_some()) {
        return Verdict::CouldNotRun(format!("{LATER} did not start"));
    }
    let beside = machine_of(LATER).unwrap_or_default();
    let since = world.lock().now();
    world.record(&format!(
        "{beside} runs {LATER} and has 14 CPUs, 1 GPU and 120 GB left"
    ));
    let mut asked = 0;
    loop {
        if let Some((id, machine)) = runs() {
            world.record(&format!("{id} runs on {machine}"));
            return Verdict::Held;
        }
        if machine_of(LATER).as_deref() != Some(&beside) {
            return Verdict::CouldNotRun(format!("{LATER} left {beside}"));
        }
        let now = world.lock().now();
        if now >= asked + 10_000 {
            asked = now;
            if JOBS.iter().any(|id| stage(id).is_some_and(Stage::is_final)) {
                return Verdict::Held;
            }
        }
        if now >= since + WAITS_MS {
            let waited = (now - since) as f64 / 1000.0;
            let why = format!(
                "{} and {} have waited for {waited:.0} s while {beside} had room for either",
                JOBS[0], JOBS[1]
            );
            world.record(&format!("BROKEN: {why}"));
            return Verdict::Broken(why);
        }
        sleep(Duration::from_millis(50));
    }
}
