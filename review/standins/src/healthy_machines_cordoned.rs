//! Jobs that were submitted with a mistake fail on every machine until their users cancel them. Do other jobs run on these
//! machines afterwards?

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
const MACHINES: u32 = 2;
/// Services that stay on the machines, jobs with a mistake, and the job that is submitted after the trouble.
const SERVICES: [&str; 2] = ["job-000001", "job-000002"];
const MISTAKES: [&str; 2] = ["job-000011", "job-000012"];
const LATER: &str = "job-000021";

fn job(id: &str, kind: Kind, cores: f64, gpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "vignette-array".into(),
        team: "equipe-qualite".into(),
        kind,
        priority: Priority::Normal,
        tasks: 1,
        cores,
        gpus,
        mem_gb: 27.0,
        image: "img-01".into(),
        image_gb: 6.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: if kind == Kind::Service { 0.0 } else { 50.0 },
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn wait(within_s: u64, mut until: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(within_s);
    while Instant::now() < end {
        if until() {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    false
}

pub fn run(record: File, trouble: bool) -> Verdict {
    let zone = "salle-rennes";
    let platform = Platform {
        types: vec![MachineType {
            name: "menhir-48g".into(),
            cores: 48.0,
            gpus: 8.0,
            mem_gb: 288.0,
            cache_gb: 150.0,
            fetch_gb_per_s: 0.8,
            price: 25.27,
            spot_price: 10.29,
            boot_s: 40.0,
            zones: vec![zone.into()],
        }],
        report_ms: 3000,
        lease_ms: 30_000,
        list_lag_ms: 4000,
        capacity: MACHINES as usize,
        state: Limits {
            rps: 150.0,
            write_rps: 35.0,
            value_kb: 8.0,
            txn_ops: 16,
        },
        run_ms: |_| 10_000,
    };
    let world = match World::start(platform, record) {
        Ok(world) => world,
        Err(e) => return Verdict::CouldNotRun(format!("stand-ins: {e}")),
    };
    world.add_machines(1, MACHINES, "menhir-48g", zone);
    world.lock().mistaken.extend(MISTAKES.map(str::to_owned));
    let cluster = json!({
        "initial_size": 3, "zones": [zone],
        "teams": [team("equipe-qualite", 0.0, 0.0, 48.0, 136.0)],
        "objectives": [{"kind": "guarantee", "within_s": 15.0, "share": 0.8}],
        "workers": {"report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 55.0},
        "state": {"rps": 150.0, "write_rps": 35.0, "value_kb": 8.0, "txn_ops": 16},
        "cloud": {"rps": 8.0, "list_lag_s": 4.0},
        "machine_limits": {"cores": 0.12, "mem_mb": 200.0, "max_sockets": 3500},
        "clock_error_ms": 25.0});
    let controllers = match Controllers::start(&world, &[zone; 3], &cluster, |_, _, a| a) {
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
    let has_run = |id: &str| world.lock().runs.iter().any(|r| job_of(&r.task) == id);
    // A service on each machine: 20 CPUs, 5 GPUs.
    for id in SERVICES {
        if !submit(&job(id, Kind::Service, 20.0, 5.0)) {
            return Verdict::CouldNotRun(format!("{id} was not accepted"));
        }
    }
    if !wait(15, || SERVICES.iter().all(|id| has_run(id))) {
        return Verdict::CouldNotRun("the services did not start".into());
    }
    if trouble {
        for id in MISTAKES {
            if !submit(&job(id, Kind::Array, 5.0, 1.0)) {
                return Verdict::CouldNotRun(format!("{id} was not accepted"));
            }
        }
        // Their users see that nothing comes of them, and cancel them.
        sleep(Duration::from_secs(10));
        for id in MISTAKES {
            let r = controllers.ask_until(
                "POST",
                &format!("/work/{id}/cancel"),
                &[],
                Duration::from_secs(10),
            );
            let state = r.and_then(|r| wire::decode::<JobState>(&r.body).ok());
            if state.is_none_or(|s| s.stage != Stage::Cancelled) {
                return Verdict::CouldNotRun(format!("{id} was not cancelled"));
            }
        }
        world.record("the jobs with a mistake are cancelled: the trouble is over");
    }
    if !submit(&job(LATER, Kind::Array, 5.0, 1.0)) {
        return Verdict::CouldNotRun(format!("{LATER} was not accepted"));
    }
    let since = world.lock().now();
    let mut asked = since;
    loop {
        let now = world.lock().now();
        if has_run(LATER) {
            return Verdict::Held;
        }
        let up = world.up().len();
        let on = world.on_machines().len();
        if up != MACHINES as usize || on != SERVICES.len() {
            return Verdict::CouldNotRun(format!("{up} machines with {on} tasks"));
        }
        if now >= asked + 10_000 {
            asked = now;
            controllers.ask(
                0,
                "GET",
                &format!("/work/{LATER}"),
                &[],
                Duration::from_secs(2),
            );
            world.record(&format!(
                "{up} machines are up; each has one task, and 28 CPUs, 3 GPUs and 261 GB left"
            ));
        }
        if now >= since + WAITS_MS {
            let waited = (now - since) as f64 / 1000.0;
            let why =
                format!("{LATER} has waited for {waited:.0} s while {up} machines had room for it");
            world.record(&format!("BROKEN: {why}"));
            return Verdict::Broken(why);
        }
        sleep(Duration::from_millis(50));
    }
}
