//! Random troubles for some time, with the rules checked on what users are told and what is on the machines.

use crate::Verdict;
use crate::controllers::Controllers;
use crate::net::ask;
use crate::world::{Fault, Platform, World, job_of, team};
use serde_json::json;
use standins::state::Limits;
use std::collections::BTreeMap;
use std::fs::File;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};
use wire::api::{JobSpec, JobState, Kind, MachineType, Priority, Stage};

const CANCEL_MS: u64 = 32_000;

#[derive(Default, Clone, Debug)]
struct Known {
    /// When an answer said so, by the world's clock.
    accepted: Option<u64>,
    done: Option<u64>,
    cancelled: Option<u64>,
    asked_cancel: bool,
}

type Jobs = Arc<Mutex<BTreeMap<String, Known>>>;

#[allow(clippy::too_many_arguments)]
fn note(
    jobs: &Jobs,
    broken: &Mutex<Vec<String>>,
    world: &World,
    id: &str,
    sent: u64,
    what: &str,
    status: u16,
    state: Option<&JobState>,
) {
    let now = world.lock().now();
    let mut jobs = jobs.lock().expect("lock");
    let Some(k) = jobs.get_mut(id) else { return };
    let bad = |why: String| {
        world.record(&format!("BROKEN {why}"));
        broken.lock().expect("lock").push(why);
    };
    let before = |t: Option<u64>| t.is_some_and(|t| t < sent);
    if matches!(status, 404 | 400 | 422) && before(k.accepted) {
        bad(format!("forgotten: {what} {id}: {status}"));
    }
    if !matches!(status, 200 | 201) {
        return;
    }
    let Some(s) = state else { return };
    k.accepted.get_or_insert(now);
    match s.stage {
        Stage::Done => {
            if k.cancelled.is_some() {
                bad(format!("went_back: {what} {id} done after cancelled"));
            }
            k.done.get_or_insert(now);
        }
        Stage::Cancelled => {
            if k.done.is_some() || !k.asked_cancel {
                bad(format!("went_back: {what} {id} cancelled ({k:?})"));
            }
            k.cancelled.get_or_insert(now);
        }
        other => {
            if before(k.done) || before(k.cancelled) {
                bad(format!(
                    "went_back: {what} {id} {other:?}, sent {sent} ({k:?})"
                ));
            }
        }
    }
}

pub fn run(record: File) -> Verdict {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let for_s = std::env::var("FOR_S")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(100);
    let mut rng = fastrand::Rng::with_seed(seed);
    let platform = Platform {
        types: vec![MachineType {
            name: "c4".into(),
            cores: 4.0,
            gpus: 2.0,
            mem_gb: 64.0,
            cache_gb: 70.0,
            fetch_gb_per_s: 0.8,
            price: 0.32,
            spot_price: 0.13,
            boot_s: 2.0,
            zones: vec!["a".into(), "b".into()],
        }],
        report_ms: 1500,
        lease_ms: 12_000,
        list_lag_ms: 1000,
        capacity: 14,
        state: Limits {
            rps: 300.0,
            write_rps: 100.0,
            value_kb: 8.0,
            txn_ops: 16,
        },
        run_ms: |id| 1000 + id.bytes().map(u64::from).sum::<u64>() * 7919 % 9000,
    };
    let world = World::start(platform, record).expect("world");
    world.add_machines(1, 4, "c4", "a");
    world.add_machines(51, 4, "c4", "b");
    let cluster = json!({
        "initial_size": 3, "zones": ["a", "b"],
        "teams": [team("x", 0.0, 0.0, 4.0, 16.0)],
        "objectives": [{"kind": "guarantee", "within_s": 10.0, "share": 0.78}],
        "workers": {"report_s": 1.5, "lease_s": 12.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 32.0},
        "state": {"rps": 300.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
        "cloud": {"rps": 10.0, "list_lag_s": 1.0},
        "machine_limits": {"cores": 0.5, "mem_mb": 200.0, "max_sockets": 800},
        "clock_error_ms": 250.0});
    let mut c =
        Controllers::start(&world, &["a", "b", "a"], &cluster, |_, _, a| a).expect("controllers");
    let jobs: Jobs = Arc::default();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    // State faults: per node until, and shares.
    let outage: Arc<[AtomicU64; 3]> =
        Arc::new([AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0)]);
    let late_until = Arc::new(AtomicU64::new(0));
    let (o, l) = (outage.clone(), late_until.clone());
    world.lock().state_fault = Some(Arc::new(move |now, node, r| {
        if now < o[node].load(Ordering::Relaxed) {
            return Fault::Refuse;
        }
        if now < l.load(Ordering::Relaxed) && r.path == "/txn" {
            return match fastrand::u32(..10) {
                0..=1 => Fault::LoseAnswer,
                2..=3 => Fault::Late(fastrand::u64(2000..12_000)),
                _ => Fault::None,
            };
        }
        Fault::None
    }));
    let clients = c.clients.clone();
    let mut threads = Vec::new();
    // Users.
    for u in 0..4u64 {
        let (jobs, broken, world, clients, stop) = (
            jobs.clone(),
            broken.clone(),
            world.clone(),
            clients.clone(),
            stop.clone(),
        );
        let mut rng = fastrand::Rng::with_seed(seed * 100 + u);
        threads.push(thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                let id = format!("job-{u}{n:05}");
                let tasks = rng.u32(1..4);
                jobs.lock()
                    .expect("lock")
                    .insert(id.clone(), Known::default());
                let spec = JobSpec {
                    id: id.clone(),
                    class: "k".into(),
                    team: "x".into(),
                    kind: Kind::Array,
                    priority: if rng.bool() {
                        Priority::Normal
                    } else {
                        Priority::High
                    },
                    tasks,
                    cores: 1.0,
                    gpus: 1.0,
                    mem_gb: 4.0,
                    image: "i".into(),
                    image_gb: 0.5,
                    types: None,
                    zone: None,
                    one_zone: rng.u32(..4) == 0,
                    spread: false,
                    spot: true,
                    estimate_s: 5.0,
                    checkpoint_s: 0.0,
                    save_s: 0.0,
                    deadline_s: None,
                };
                let body = wire::encode(&spec);
                let call = |node: usize, method: &str, path: String, body: &[u8]| {
                    let sent = world.lock().now();
                    let r = ask(
                        clients[node],
                        method,
                        &path,
                        body,
                        Duration::from_secs(if method == "GET" { 2 } else { 5 }),
                    );
                    let state = r
                        .as_ref()
                        .and_then(|r| wire::decode::<JobState>(&r.body).ok());
                    let status = r.map_or(0, |r| r.status);
                    let stage = state.as_ref().map(|s| s.stage);
                    world.record(&format!(
                        "user {u}: {method} {path} at {node}: {status} {stage:?}"
                    ));
                    note(
                        &jobs,
                        &broken,
                        &world,
                        path.split('/').nth(2).unwrap_or(&id),
                        sent,
                        method,
                        status,
                        state.as_ref(),
                    );
                    (status, stage)
                };
                let mut accepted = false;
                for _ in 0..20 {
                    let (s, _) = call(rng.usize(..3), "POST", "/work".to_owned(), &body);
                    if matches!(s, 200 | 201) {
                        accepted = true;
                        break;
                    }
                    sleep(Duration::from_millis(300));
                }
                if accepted {
                    // Close looks.
                    for node in 0..3 {
                        call(node, "GET", format!("/work/{id}"), &[]);
                    }
                    if rng.u32(..3) == 0 {
                        sleep(Duration::from_millis(rng.u64(..4000)));
                        jobs.lock()
                            .expect("lock")
                            .get_mut(&id)
                            .expect("known")
                            .asked_cancel = true;
                        for _ in 0..10 {
                            let (s, _) =
                                call(rng.usize(..3), "POST", format!("/work/{id}/cancel"), &[]);
                            if s == 200 {
                                break;
                            }
                            sleep(Duration::from_millis(500));
                        }
                        for node in 0..3 {
                            call(node, "GET", format!("/work/{id}"), &[]);
                        }
                    }
                }
                // Another job of before.
                for _ in 0..3 {
                    let old = format!("job-{u}{:05}", rng.u32(1..=n));
                    let (_, stage) = call(rng.usize(..3), "GET", format!("/work/{old}"), &[]);
                    if stage.is_some_and(Stage::is_final) {
                        for node in 0..3 {
                            call(node, "GET", format!("/work/{old}"), &[]);
                        }
                    }
                }
                sleep(Duration::from_millis(rng.u64(100..900)));
            }
        }));
    }
    // The check of what is on machines.
    {
        let (jobs, broken, world, stop) =
            (jobs.clone(), broken.clone(), world.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            let mut seen = std::collections::BTreeSet::new();
            while !stop.load(Ordering::Relaxed) {
                let now = world.lock().now();
                let mut on: BTreeMap<String, Vec<String>> = BTreeMap::new();
                let runs = world.on_machines();
                let gpus = runs.len();
                for (t, m) in runs {
                    let name = t.split('#').next().unwrap_or("").to_owned();
                    let id = job_of(&name).to_owned();
                    on.entry(name).or_default().push(m);
                    let told = jobs
                        .lock()
                        .expect("lock")
                        .get(&id)
                        .and_then(|k| k.cancelled);
                    if told.is_some_and(|at| now > at + CANCEL_MS + 500) && seen.insert(t.clone()) {
                        world.record(&format!("BROKEN ran_cancelled {t}"));
                        broken
                            .lock()
                            .expect("lock")
                            .push(format!("ran_cancelled {t}"));
                    }
                }
                for (t, m) in on.into_iter().filter(|(_, m)| m.len() > 1) {
                    if seen.insert(t.clone()) {
                        world.record(&format!("BROKEN ran_twice {t} on {m:?}"));
                        broken
                            .lock()
                            .expect("lock")
                            .push(format!("ran_twice {t} on {m:?}"));
                    }
                }
                if gpus > 16 && seen.insert(format!("quota{gpus}")) {
                    world.record(&format!("BROKEN quota {gpus}"));
                    broken.lock().expect("lock").push(format!("quota {gpus}"));
                }
                sleep(Duration::from_millis(20));
            }
        }));
    }
    // Troubles.
    let end = Instant::now() + Duration::from_secs(for_s);
    let signal = |c: &Controllers, n: usize, s: &str| {
        if let Some(child) = &c.children[n] {
            let _ = Command::new("kill")
                .arg(s)
                .arg(child.id().to_string())
                .status();
        }
    };
    let mut resume: Vec<(Instant, usize, bool)> = Vec::new();
    sleep(Duration::from_secs(4));
    while Instant::now() < end {
        let now = Instant::now();
        for (_, n, stopped) in resume.extract_if(.., |(at, _, _)| *at <= now) {
            if stopped {
                signal(&c, n, "-CONT");
                world.record(&format!("controller burrow-{n}: goes on"));
            } else {
                c.spawn(n).expect("spawn");
            }
        }
        let busy = |n: usize| resume.iter().any(|(_, m, _)| *m == n);
        let leader = world
            .leader()
            .and_then(|l| l.trim_start_matches("burrow-").parse::<usize>().ok())
            .unwrap_or(0);
        let target = if rng.u32(..3) > 0 {
            leader
        } else {
            rng.usize(..3)
        };
        let wall = world.lock().now();
        match rng.u32(..9) {
            0 | 1 if !busy(target) => {
                signal(&c, target, "-STOP");
                world.record(&format!("controller burrow-{target}: stands still"));
                resume.push((
                    now + Duration::from_millis(rng.u64(200..9000)),
                    target,
                    true,
                ));
            }
            2 if !busy(target) => {
                c.kill(target);
                resume.push((
                    now + Duration::from_millis(rng.u64(50..3000)),
                    target,
                    false,
                ));
            }
            3 if resume.is_empty() => {
                for n in 0..3 {
                    c.kill(n);
                    resume.push((now + Duration::from_millis(rng.u64(50..2000)), n, false));
                }
            }
            4 => {
                let until = wall + rng.u64(1000..9000);
                world.record("state service: out");
                outage
                    .iter()
                    .for_each(|o| o.store(until, Ordering::Relaxed));
            }
            5 | 6 => {
                world.record(&format!("state service: refuses burrow-{target}"));
                outage[target].store(wall + rng.u64(2000..12_000), Ordering::Relaxed);
            }
            7 => {
                world.record("state service: late and lost answers");
                late_until.store(wall + 5000, Ordering::Relaxed);
            }
            _ => {
                let up = world.up();
                if !up.is_empty() {
                    world.hang(&up[rng.usize(..up.len())], rng.u64(1000..15_000));
                }
            }
        }
        sleep(Duration::from_millis(rng.u64(300..4000)));
        for (n, status) in c.ended() {
            broken
                .lock()
                .expect("lock")
                .push(format!("burrow-{n} ended by itself: {status}"));
            c.children[n] = None;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for (_, n, stopped) in resume {
        if stopped {
            signal(&c, n, "-CONT");
        }
    }
    threads.into_iter().for_each(|t| {
        let _ = t.join();
    });
    let jobs = jobs.lock().expect("lock");
    let count = |f: fn(&Known) -> bool| jobs.values().filter(|k| f(k)).count();
    println!(
        "{} jobs, {} accepted, {} done, {} cancelled, {} runs",
        jobs.len(),
        count(|k| k.accepted.is_some()),
        count(|k| k.done.is_some()),
        count(|k| k.cancelled.is_some()),
        world.lock().runs.len()
    );
    let broken = broken.lock().expect("lock");
    match broken.first() {
        Some(why) => Verdict::Broken(format!("{} in all; {why}", broken.len())),
        None => Verdict::Held,
    }
}
