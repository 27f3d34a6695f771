//! Jobs are cancelled as their machines begin to hang: how long are their tasks still on these machines?

use crate::Verdict;
use crate::controllers::Controllers;
use crate::world::{Platform, World, job_of, team};
use serde_json::json;
use standins::state::Limits;
use std::collections::BTreeMap;
use std::fs::File;
use std::thread::sleep;
use std::time::{Duration, Instant};
use wire::api::{JobSpec, Kind, MachineType, Priority, Stage};

const CANCEL_S: f64 = 32.0;
const HANG_MS: u64 = 45_000;
/// Machines of the zone, and how many of them hang.
const MACHINES: u32 = 5;
const HUNG: usize = 2;
/// Time for measuring and for messages of the stand-ins, added to the bound.
const MARGIN_MS: u64 = 500;

fn job(id: &str, zone: &str) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "soustitre-gang".into(),
        team: "ecoles-lannion".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cores: 4.0,
        gpus: 0.0,
        mem_gb: 8.0,
        image: "img-01".into(),
        image_gb: 1.2,
        types: None,
        zone: Some(zone.into()),
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 600.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

pub fn run(record: File, trouble: bool) -> Verdict {
    let (here, there) = ("salle-morlaix", "salle-lannion");
    let platform = Platform {
        types: vec![MachineType {
            name: "dolmen-4c".into(),
            cores: 4.0,
            gpus: 0.0,
            mem_gb: 32.0,
            cache_gb: 70.0,
            fetch_gb_per_s: 0.8,
            price: 0.32,
            spot_price: 0.13,
            boot_s: 40.0,
            zones: vec![here.into(), there.into()],
        }],
        report_ms: 1500,
        lease_ms: 12_000,
        list_lag_ms: 8000,
        capacity: (MACHINES + 3) as usize,
        state: Limits {
            rps: 70.0,
            write_rps: 25.0,
            value_kb: 16.0,
            txn_ops: 12,
        },
        run_ms: |_| 600_000,
    };
    let world = match World::start(platform, record) {
        Ok(world) => world,
        Err(e) => return Verdict::CouldNotRun(format!("stand-ins: {e}")),
    };
    world.add_machines(1, MACHINES, "dolmen-4c", here);
    world.add_machines(51, 3, "dolmen-4c", there);
    let cluster = json!({
        "initial_size": 3, "zones": [there, here],
        "teams": [team("ecoles-lannion", 800.0, 2500.0, 0.0, 0.0)],
        "objectives": [{"kind": "guarantee", "within_s": 10.0, "share": 0.78}],
        "workers": {"report_s": 1.5, "lease_s": 12.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": CANCEL_S},
        "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 4.0, "list_lag_s": 8.0},
        "machine_limits": {"cores": 0.096, "mem_mb": 56.0, "max_sockets": 800},
        "clock_error_ms": 250.0});
    let controllers = match Controllers::start(&world, &[there, here, here], &cluster, |_, _, a| a)
    {
        Ok(c) => c,
        Err(e) => return Verdict::CouldNotRun(format!("controllers: {e}")),
    };
    // One job for each machine.
    for n in 1..=MACHINES + 3 {
        let id = format!("job-{n:06}");
        let spec = job(&id, if n <= MACHINES { here } else { there });
        let body = wire::encode(&spec);
        match controllers.ask_until("POST", "/work", &body, Duration::from_secs(20)) {
            Some(r) if r.status == 201 || r.status == 200 => {}
            other => return Verdict::CouldNotRun(format!("{id} was not accepted: {other:?}")),
        }
    }
    let end = Instant::now() + Duration::from_secs(30);
    while world.on_machines().len() < (MACHINES + 3) as usize {
        if Instant::now() > end {
            return Verdict::CouldNotRun("the jobs did not start".into());
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_secs(2));
    // The machines that hang, and the jobs on them.
    let zone_of = |machine: &str| world.lock().workers.get(machine).map(|w| w.zone.clone());
    let chosen: Vec<(String, String)> = world
        .on_machines()
        .into_iter()
        .filter(|(_, m)| zone_of(m).as_deref() == Some(here))
        .take(HUNG)
        .collect();
    if trouble {
        for (_, machine) in &chosen {
            world.hang(machine, HANG_MS);
        }
    }
    // Users are told that the jobs are cancelled.
    let mut told: BTreeMap<String, u64> = BTreeMap::new();
    for (task, _) in &chosen {
        let id = job_of(task).to_owned();
        let r = controllers.ask_until(
            "POST",
            &format!("/work/{id}/cancel"),
            &[],
            Duration::from_secs(10),
        );
        let state = r
            .filter(|r| r.status == 200)
            .and_then(|r| wire::decode::<wire::api::JobState>(&r.body).ok());
        match state {
            Some(s) if s.stage == Stage::Cancelled => {
                told.insert(id, world.lock().now());
            }
            other => return Verdict::CouldNotRun(format!("{id} was not cancelled: {other:?}")),
        }
    }
    // Watches until the bound has passed, and a little longer to see when the tasks go.
    let bound_ms = (CANCEL_S * 1000.0) as u64;
    let mut broken: BTreeMap<String, String> = BTreeMap::new();
    let last = told.values().copied().max().unwrap_or(0);
    loop {
        let now = world.lock().now();
        for (task, machine) in world.on_machines() {
            if let Some(at) = told.get(job_of(&task))
                && now > at + bound_ms + MARGIN_MS
            {
                let line = format!(
                    "task {task} is on {machine} {:.1} s after its user was told that the job is cancelled (cancel_s is {CANCEL_S})",
                    (now - at) as f64 / 1000.0
                );
                broken.entry(task).or_insert_with(|| {
                    world.record(&format!("BROKEN ran_cancelled: {line}"));
                    line
                });
            }
        }
        if now > last + bound_ms + 15_000 {
            break;
        }
        sleep(Duration::from_millis(50));
    }
    drop(controllers);
    match broken.into_values().next() {
        Some(why) => Verdict::Broken(format!("ran_cancelled: {why}")),
        None => Verdict::Held,
    }
}
