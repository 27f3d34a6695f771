//! The leader loses the state service and the other controllers, while users still reach it. Are questions about jobs
//! answered that come on connections to this node?

use crate::Verdict;
use crate::balancer::{Balancer, way_to};
use crate::controllers::Controllers;
use crate::world::{Platform, World, team};
use serde_json::json;
use standins::state::Limits;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};
use wire::api::{JobSpec, JobState, Kind, MachineType, Priority};
use wire::http::{self, Response};

/// All polls for a job fail for this long: it is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(90);
const CUT: Duration = Duration::from_secs(97);
const USERS: usize = 6;

/// A user's connection through the load balancer. It stays open until one side closes it or a response does not come; a
/// user who reconnects also closes it after each answer that is neither 200 nor 201.
struct Connection {
    to: SocketAddr,
    stream: Option<TcpStream>,
    reconnects: bool,
}

impl Connection {
    fn ask(&mut self, method: &str, path: &str, body: &[u8], wait: Duration) -> Option<Response> {
        let answer = self.try_ask(method, path, body, wait);
        let failed = |r: &Response| self.reconnects && !matches!(r.status, 200 | 201);
        if answer.as_ref().is_none_or(|r| r.close || failed(r)) {
            self.stream = None;
        }
        answer
    }

    fn try_ask(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Option<Response> {
        if self.stream.is_none() {
            self.stream = TcpStream::connect_timeout(&self.to, wait).ok();
        }
        let stream = self.stream.as_mut()?;
        stream.set_read_timeout(Some(wait)).ok()?;
        let mut out = Vec::new();
        http::write_request(&mut out, "loopback", method, path, body);
        stream.write_all(&out).ok()?;
        let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
        let end = Instant::now() + wait;
        loop {
            let n = stream.read(&mut chunk).ok()?;
            received.extend_from_slice(&chunk[..n]);
            match http::parse_response(&received, 1 << 20, n == 0) {
                Ok(Some((response, _))) => return Some(response),
                Ok(None) if n > 0 && Instant::now() < end => {}
                _ => return None,
            }
        }
    }
}

/// Every second user of a node reconnects.
fn reconnects(user: usize) -> bool {
    user >= USERS / 2
}

/// What a user has seen.
#[derive(Clone, Default)]
struct Seen {
    accepted: bool,
    last_answer: Option<Instant>,
    polls: u32,
    answered: u32,
    /// Polls that failed since the last answer.
    failed: u32,
    connections: u32,
}

fn user(n: usize, to: SocketAddr, world: &World, seen: &Mutex<Vec<Seen>>, stop: &AtomicBool) {
    let id = format!("job-{:06}", n + 1);
    let spec = JobSpec {
        id: id.clone(),
        class: "vignette-array".into(),
        team: "equipe-qualite".into(),
        kind: Kind::Array,
        priority: Priority::Low,
        tasks: 1,
        cores: 5.0,
        gpus: 1.0,
        mem_gb: 27.0,
        image: "img-01".into(),
        image_gb: 6.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 300.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    };
    let mut connection = Connection {
        to,
        stream: None,
        reconnects: reconnects(n),
    };
    let body = wire::encode(&spec);
    while !stop.load(Ordering::Relaxed) {
        let accepted = seen.lock().expect("lock")[n].accepted;
        let was_open = connection.stream.is_some();
        let (method, path, body, wait) = if accepted {
            ("GET", format!("/work/{id}"), &[][..], 2)
        } else {
            ("POST", "/work".to_owned(), &body[..], 5)
        };
        let answer = connection.ask(method, &path, body, Duration::from_secs(wait));
        let status = answer.as_ref().map_or(0, |r| r.status);
        let state = answer.and_then(|r| wire::decode::<JobState>(&r.body).ok());
        let stage = state.map_or("-".to_owned(), |s| format!("{:?}", s.stage));
        world.record(&format!("user {n}: {method} {path}: {status} {stage}"));
        let mut all = seen.lock().expect("lock");
        let me = &mut all[n];
        me.connections += u32::from(!was_open);
        me.polls += u32::from(accepted);
        if matches!(status, 200 | 201) {
            (me.accepted, me.last_answer, me.failed) = (true, Some(Instant::now()), 0);
            me.answered += u32::from(accepted);
        } else {
            me.failed += u32::from(accepted);
        }
        drop(all);
        sleep(Duration::from_secs(if accepted { 5 } else { 1 }));
    }
}

pub fn run(record: File, trouble: bool) -> Verdict {
    let zones = ["salle-rennes", "salle-brest"];
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
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
        }],
        report_ms: 3000,
        lease_ms: 30_000,
        list_lag_ms: 4000,
        capacity: 2,
        state: Limits {
            rps: 150.0,
            write_rps: 35.0,
            value_kb: 8.0,
            txn_ops: 16,
        },
        run_ms: |_| 600_000,
    };
    let world = match World::start(platform, record) {
        Ok(world) => world,
        Err(e) => return Verdict::CouldNotRun(format!("stand-ins: {e}")),
    };
    world.add_machines(1, 1, "menhir-48g", zones[0]);
    world.add_machines(51, 1, "menhir-48g", zones[1]);
    let cluster = json!({
        "initial_size": 3, "zones": zones,
        "teams": [team("equipe-qualite", 0.0, 0.0, 48.0, 136.0)],
        "objectives": [],
        "workers": {"report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 55.0},
        "state": {"rps": 150.0, "write_rps": 35.0, "value_kb": 8.0, "txn_ops": 16},
        "cloud": {"rps": 8.0, "list_lag_s": 4.0},
        "machine_limits": {"cores": 0.12, "mem_mb": 200.0, "max_sockets": 3500},
        "clock_error_ms": 25.0});
    // Each node's ways to the others, both directions, can be cut.
    let cuts: Vec<Arc<AtomicBool>> = (0..3).map(|_| Arc::new(AtomicBool::new(false))).collect();
    let pair: Vec<Arc<AtomicBool>> = (0..9).map(|_| Arc::new(AtomicBool::new(false))).collect();
    let way = |from: usize, to: usize, addr: SocketAddr| {
        way_to(addr, &pair[from * 3 + to]).unwrap_or(addr)
    };
    let controllers =
        match Controllers::start(&world, &[zones[0], zones[1], zones[0]], &cluster, way) {
            Ok(c) => c,
            Err(e) => return Verdict::CouldNotRun(format!("controllers: {e}")),
        };
    let hold = cuts.clone();
    world.lock().state_cut = Some(Arc::new(move |node| hold[node].load(Ordering::Relaxed)));
    let balancer = match Balancer::start(&controllers.clients) {
        Ok(b) => b,
        Err(e) => return Verdict::CouldNotRun(format!("balancer: {e}")),
    };
    let end = Instant::now() + Duration::from_secs(10);
    while !balancer.is_ready() || world.leader().is_none() {
        if Instant::now() > end {
            return Verdict::CouldNotRun("the controllers did not come up".into());
        }
        sleep(Duration::from_millis(50));
    }
    let seen = Arc::new(Mutex::new(vec![Seen::default(); USERS]));
    let stop = Arc::new(AtomicBool::new(false));
    for n in 0..USERS {
        let (world, seen, stop, to) = (world.clone(), seen.clone(), stop.clone(), balancer.addr);
        thread::spawn(move || user(n, to, &world, &seen, &stop));
        sleep(Duration::from_millis(100));
    }
    let end = Instant::now() + Duration::from_secs(12);
    while !seen
        .lock()
        .expect("lock")
        .iter()
        .all(|s| s.accepted && s.answered > 0)
    {
        if Instant::now() > end {
            return Verdict::CouldNotRun("the jobs were not accepted and asked for in time".into());
        }
        sleep(Duration::from_millis(50));
    }
    let leader = world
        .leader()
        .and_then(|l| l.trim_start_matches("burrow-").parse::<usize>().ok());
    let Some(leader) = leader else {
        return Verdict::CouldNotRun("nobody leads".into());
    };
    if trouble {
        world.record(&format!(
            "burrow-{leader}, the leader, is cut from the state service and the other controllers"
        ));
        cuts[leader].store(true, Ordering::Relaxed);
        for other in (0..3).filter(|o| *o != leader) {
            pair[leader * 3 + other].store(true, Ordering::Relaxed);
            pair[other * 3 + leader].store(true, Ordering::Relaxed);
        }
    }
    sleep(CUT);
    let all = seen.lock().expect("lock").clone();
    stop.store(true, Ordering::Relaxed);
    let silent =
        |s: &Seen| s.failed > 0 && s.last_answer.is_some_and(|at| at.elapsed() > FORGOTTEN);
    let forgotten: Vec<usize> = (0..USERS).filter(|n| silent(&all[*n])).collect();
    let served = all.iter().filter(|s| s.failed == 0).count();
    if forgotten.is_empty() || served * 2 <= USERS {
        return Verdict::Held;
    }
    let each: Vec<String> = forgotten
        .iter()
        .map(|n| {
            format!(
                "user {n}: {} polls on {} connection(s)",
                all[*n].failed, all[*n].connections
            )
        })
        .collect();
    let why = format!(
        "all polls failed for 90 s ({}); {served} of {USERS} users were answered; healthy nodes: {:?}",
        each.join(", "),
        balancer.healthy()
    );
    world.record(&format!("BROKEN forgotten: {why}"));
    drop(controllers);
    Verdict::Broken(format!("forgotten: {why}"))
}
