//! One-task jobs come several times as often for some seconds. Does a gang that is submitted once they are done start on
//! the machines that are idle then?

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
/// One-task jobs before the gang, with the trouble and without it, and the time between two of them.
const FLOOD: u32 = 12;
const CALM: u32 = 1;
const EVERY: Duration = Duration::from_millis(250);
const GANG: &str = "job-000900";

fn job(id: &str, class: &str, priority: Priority) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: class.into(),
        team: "scanning-unit".into(),
        kind: Kind::Gang,
        priority,
        tasks: 1,
        cores: 10.0,
        gpus: 2.0,
        mem_gb: 77.0,
        image: "img-01".into(),
        image_gb: 6.0,
        types: None,
        zone: None,
        one_zone: true,
        spread: false,
        spot: false,
        estimate_s: 2.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

pub fn run(record: File, trouble: bool) -> Verdict {
    let zone = "upperhill";
    let platform = Platform {
        types: vec![MachineType {
            name: "baobab-24g".into(),
            cores: 24.0,
            gpus: 2.0,
            mem_gb: 192.0,
            cache_gb: 150.0,
            fetch_gb_per_s: 1.0,
            price: 6.75,
            spot_price: 2.65,
            boot_s: 60.0,
            zones: vec![zone.into()],
        }],
        report_ms: 3000,
        lease_ms: 34_000,
        list_lag_ms: 3000,
        capacity: MACHINES as usize,
        state: Limits {
            rps: 80.0,
            write_rps: 25.0,
            value_kb: 16.0,
            txn_ops: 16,
        },
        run_ms: |_| 700,
    };
    let world = match World::start(platform, record) {
        Ok(world) => world,
        Err(e) => return Verdict::CouldNotRun(format!("stand-ins: {e}")),
    };
    world.add_machines(1, MACHINES, "baobab-24g", zone);
    let cluster = json!({
        "initial_size": 3, "zones": [zone],
        "teams": [team("scanning-unit", 0.0, 0.0, 16.0, 48.0)],
        "objectives": [{"kind": "wait", "class": "handwriting-gang", "within_s": 35.0, "share": 0.85}],
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
    let ids: Vec<String> = (1..=if trouble { FLOOD } else { CALM })
        .map(|n| format!("job-{n:06}"))
        .collect();
    for id in &ids {
        if !submit(&job(id, "handwriting-gang", Priority::High)) {
            return Verdict::CouldNotRun(format!("{id} was not accepted"));
        }
        sleep(EVERY);
    }
    let end = Instant::now() + Duration::from_secs(20);
    while !ids.iter().all(|id| stage(id) == Some(Stage::Done)) {
        if Instant::now() > end {
            return Verdict::CouldNotRun("the first jobs were not done in time".into());
        }
        sleep(Duration::from_millis(500));
    }
    world.record("all of these jobs are done: the trouble is over");
    if !submit(&job(GANG, "scan-read-gang", Priority::Normal)) {
        return Verdict::CouldNotRun(format!("{GANG} was not accepted"));
    }
    let since = world.lock().now();
    let began = world.up();
    let mut asked = since;
    loop {
        let now = world.lock().now();
        let used: Vec<String> = {
            let i = world.lock();
            if i.runs.iter().any(|r| job_of(&r.task) == GANG) {
                return Verdict::Held;
            }
            let later = i.runs.iter().filter(|r| r.to.is_none_or(|to| to > since));
            later.map(|r| r.machine.clone()).collect()
        };
        // Machines that have been up all the time, without a task.
        let up = world.up();
        let idle = began
            .iter()
            .filter(|m| up.contains(m) && !used.contains(m))
            .count();
        if idle == 0 {
            return Verdict::CouldNotRun("no machine was idle all the time".into());
        }
        if now >= asked + 10_000 {
            asked = now;
            stage(GANG);
            world.record(&format!(
                "{idle} machines have been up and without a task since {GANG} came"
            ));
        }
        if now >= since + WAITS_MS {
            let waited = (now - since) as f64 / 1000.0;
            let why = format!(
                "{GANG} has waited for {waited:.0} s beside {idle} machines that were idle all the time"
            );
            world.record(&format!("BROKEN: {why}"));
            return Verdict::Broken(why);
        }
        sleep(Duration::from_millis(50));
    }
}
