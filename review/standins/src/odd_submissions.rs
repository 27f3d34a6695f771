//! Odd but valid submissions, to see whether a controller ends or stops answering.

use crate::Verdict;
use crate::controllers::Controllers;
use crate::world::{Platform, World, team};
use serde_json::json;
use standins::state::Limits;
use std::fs::File;
use std::thread::sleep;
use std::time::{Duration, Instant};
use wire::api::{JobSpec, Kind, MachineType, Priority};

pub fn run(record: File) -> Verdict {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let mut rng = fastrand::Rng::with_seed(seed);
    let t = |name: &str, cores, gpus| MachineType {
        name: name.into(),
        cores,
        gpus,
        mem_gb: 64.0,
        cache_gb: 70.0,
        fetch_gb_per_s: 0.8,
        price: 0.32,
        spot_price: 0.13,
        boot_s: 2.0,
        zones: vec!["a".into(), "b".into()],
    };
    let platform = Platform {
        types: vec![t("c4", 4.0, 0.0), t("g2", 16.0, 2.0)],
        report_ms: 1500,
        lease_ms: 12_000,
        list_lag_ms: 2000,
        capacity: 40,
        state: Limits {
            rps: 300.0,
            write_rps: 100.0,
            value_kb: 8.0,
            txn_ops: 16,
        },
        run_ms: |_| 1500,
    };
    let world = World::start(platform, record).expect("world");
    let cluster = json!({
        "initial_size": 3, "zones": ["a", "b"],
        "teams": [team("x", 8.0, 0.0, 2.0, 8.0), team("y", 0.0, 20.0, 0.0, 0.0)],
        "objectives": [{"kind": "guarantee", "within_s": 10.0, "share": 0.78}, {"kind":"wait","class":"c0","within_s":5.0,"share":0.9},{"kind":"finished","class":"c1","within_s":50.0,"share":0.9}],
        "workers": {"report_s": 1.5, "lease_s": 12.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 32.0},
        "state": {"rps": 300.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
        "cloud": {"rps": 10.0, "list_lag_s": 2.0},
        "machine_limits": {"cores": 0.5, "mem_mb": 200.0, "max_sockets": 800},
        "clock_error_ms": 250.0});
    let mut controllers =
        Controllers::start(&world, &["a", "b", "a"], &cluster, |_, _, a| a).expect("controllers");
    let end = Instant::now()
        + Duration::from_secs(
            std::env::var("FOR_S")
                .ok()
                .and_then(|s| s.parse().ok())
                .unwrap_or(60),
        );
    let mut n = 0;
    let amounts = [
        0.0,
        1e-320,
        1e-12,
        1e-7,
        1e-6,
        1e-4,
        0.001,
        0.1,
        0.5,
        1.0,
        2.0,
        3.999_999_5,
        4.0,
        1e3,
        1e9,
    ];
    let mut slow = 0;
    let mut statuses = std::collections::BTreeMap::new();
    while Instant::now() < end {
        n += 1;
        let pick = |rng: &mut fastrand::Rng| amounts[rng.usize(..amounts.len())];
        let small = |rng: &mut fastrand::Rng| amounts[rng.usize(..13)];
        let spec = JobSpec {
            id: format!("job-{n:06}"),
            class: format!("c{}", rng.u32(..3)),
            team: if rng.bool() { "x".into() } else { "y".into() },
            kind: [Kind::Array, Kind::Gang, Kind::Service][rng.usize(..3)],
            priority: [
                Priority::Low,
                Priority::Normal,
                Priority::High,
                Priority::Production,
            ][rng.usize(..4)],
            tasks: [1, 1, 2, 3, 5, 64, 65, 1000, 99_999, 100_000][rng.usize(..10)],
            cores: small(&mut rng),
            gpus: if rng.bool() { 0.0 } else { small(&mut rng) },
            mem_gb: small(&mut rng),
            image: format!("i{}", rng.u32(..3)),
            image_gb: pick(&mut rng),
            types: None,
            zone: None,
            one_zone: rng.bool(),
            spread: rng.u32(..4) == 0,
            spot: rng.bool(),
            estimate_s: pick(&mut rng),
            checkpoint_s: pick(&mut rng),
            save_s: pick(&mut rng),
            deadline_s: rng.bool().then(|| pick(&mut rng)),
        };
        let begun = Instant::now();
        let r = controllers.ask(
            (n % 3) as usize,
            "POST",
            "/work",
            &wire::encode(&spec),
            Duration::from_secs(5),
        );
        *statuses.entry(r.map_or(0, |r| r.status)).or_insert(0) += 1;
        if begun.elapsed() > Duration::from_secs(2) {
            slow += 1;
            println!("slow answer after {spec:?}");
        }
        if rng.u32(..3) == 0 {
            let id = rng.u32(1..=n);
            controllers.ask(
                (n % 3) as usize,
                "POST",
                &format!("/work/job-{id:06}/cancel"),
                &[],
                Duration::from_secs(5),
            );
        }
        if let Some((node, status)) = controllers.ended().first() {
            let log = controllers.log_of(*node);
            let tail: Vec<&str> = log.lines().rev().take(12).collect();
            return Verdict::Broken(format!(
                "burrow-{node} ended: {status}\n{}",
                tail.into_iter().rev().collect::<Vec<_>>().join("\n")
            ));
        }
        sleep(Duration::from_millis(120));
    }
    println!("{n} submissions, {slow} slow, {statuses:?}");
    Verdict::Held
}
