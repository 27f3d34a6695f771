//! The cases.

use crate::site::{self, Site};
use crate::world::Work;
use crate::{Play, Verdict, nodes};
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};
use wire::api::{JobSpec, Kind, Priority, Stage, TaskStage};

/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
const LEFT_WAITING: Duration = Duration::from_secs(90);

/// The deployment that a case plays in, and how many machines the cloud has for it.
pub fn setting(case: &str) -> Result<(&'static Site, usize), String> {
    match case {
        "small-replicas" => Ok((&site::RENNES, 2)),
        "long-queue" => Ok((&site::NAIROBI_FAST, 2)),
        "switched-on" => Ok((&site::NAIROBI, 6)),
        _ => Err(format!("no such case: {case}")),
    }
}

pub fn run(case: &str, play: &Play) -> Result<Verdict, String> {
    match case {
        "small-replicas" => small_replicas(play),
        "long-queue" => long_queue(play),
        "switched-on" => switched_on(play),
        _ => Err(format!("no such case: {case}")),
    }
}

/// An array of one task, as in the class `scan-read-array`.
fn array(id: u32) -> Work {
    Work {
        spec: JobSpec {
            id: format!("job-{id:06}"),
            class: "scan-read-array".into(),
            team: "scanning-unit".into(),
            kind: Kind::Array,
            priority: Priority::Normal,
            tasks: 1,
            cores: 10.0,
            gpus: 1.0,
            mem_gb: 72.0,
            image: "img-01".into(),
            image_gb: 0.4,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate_s: 2.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        },
        fetch_ms: 500,
        run_ms: Some(2000),
    }
}

/// A service, no two replicas of which fit on a machine.
fn service(id: u32, replicas: u32) -> Work {
    let work = array(id);
    Work {
        spec: JobSpec {
            class: "form-service".into(),
            team: "field-liaison".into(),
            kind: Kind::Service,
            tasks: replicas,
            cores: 13.0,
            spot: false,
            estimate_s: 0.0,
            ..work.spec
        },
        run_ms: None,
        ..work
    }
}

fn submit(play: &Play, work: Work) -> Result<(), String> {
    let id = work.spec.id.clone();
    play.world
        .submit(work)
        .then_some(())
        .ok_or(format!("{id} was not accepted"))
}

/// Waits until a service has a replica on each machine that the cloud has.
fn replicas_run(play: &Play) -> Result<(), String> {
    play.wait("a replica runs on each machine", 25, |w| {
        let i = w.lock();
        let tasks = i.tasks_of("job-000001").into_iter();
        let on: BTreeSet<String> = tasks
            .filter(|(_, stage, _)| *stage == TaskStage::Running)
            .map(|(m, ..)| m)
            .collect();
        (on.len() == i.capacity).then_some(())
    })
}

/// Follows a job that was accepted, with no trouble left: until a task of it starts, or until it has waited for 90 s
/// while one and the same machine that fits had room. Its team has nothing else on machines.
fn watch(play: &Play, job: &str) -> Result<Verdict, String> {
    let begun = Instant::now();
    let mut room_since: BTreeMap<String, Instant> = BTreeMap::new();
    let mut polled = 0;
    loop {
        let now = Instant::now();
        let placed = {
            let i = play.world.lock();
            let spec = i
                .works
                .get(job)
                .map(|w| w.spec.clone())
                .ok_or("unknown job")?;
            let room: BTreeSet<String> = i
                .machines
                .values()
                .filter(|m| i.has_room(m, &spec))
                .map(|m| m.name.clone())
                .collect();
            room_since.retain(|name, _| room.contains(name));
            room.into_iter().for_each(|name| {
                room_since.entry(name).or_insert(now);
            });
            !i.tasks_of(job).is_empty()
        };
        if placed {
            let waited = begun.elapsed().as_secs_f64();
            play.wait(&format!("{job} is done"), 15, |w| {
                thread::sleep(Duration::from_millis(900));
                let (_, state) = w.poll(0, job)?;
                (state?.stage == Stage::Done).then_some(())
            })?;
            return Ok(Verdict::Held(format!(
                "{job} started after {waited:.1} s and was done"
            )));
        }
        if begun.elapsed().as_secs() >= polled {
            play.world.poll((polled / 5 % 3) as usize, job);
            polled += 5;
        }
        let longest = room_since
            .iter()
            .max_by_key(|(_, since)| now.duration_since(**since));
        if let Some((machine, since)) = longest
            && now.duration_since(*since) >= LEFT_WAITING
        {
            let s = now.duration_since(*since).as_secs_f64();
            return Ok(Verdict::Broken(format!(
                "{job} waits, while {machine} has had room for it for {s:.1} s"
            )));
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Controllers are restarted one after the other with the gateway switched on. A job that was accepted before is
/// submitted again at each of them.
fn switched_on(play: &Play) -> Result<Verdict, String> {
    let id = "job-918273645546372819";
    let work = array(1);
    let spec = JobSpec {
        id: id.into(),
        ..work.spec
    };
    let body = wire::encode(&spec);
    submit(play, Work { spec, ..work })?;
    let repeat = |node: usize| -> Result<u16, String> {
        // Until it is answered, a second apart, as users do.
        for _ in 0..20 {
            let status = play.world.once(node, "POST", "/work", &body);
            if let Some(status) = status.filter(|s| !matches!(s, 429 | 503)) {
                return Ok(status);
            }
            thread::sleep(Duration::from_secs(1));
        }
        Err(format!("burrow-{node} does not decide"))
    };
    for node in 0..nodes::NODES {
        let status = repeat(node)?;
        if status != 200 {
            return Err(format!(
                "burrow-{node} answered {status} before any restart"
            ));
        }
    }
    for node in 0..nodes::NODES {
        play.nodes.kill(node);
        play.world.note(&format!("burrow-{node} ends"));
        thread::sleep(Duration::from_secs(3));
        let (rpc, web) = play.gateways[node];
        let file = play.nodes.write(
            &format!("yarn-{node}.ini"),
            &format!("[door]\nrpc = {rpc}\nweb = {web}\n"),
        )?;
        let variables = [("STOATHATCH_YARN", file.as_path())];
        play.nodes
            .run(node, if play.trouble { &variables } else { &[] })?;
        let how = if play.trouble {
            "with the gateway"
        } else {
            "as before"
        };
        play.world.note(&format!("burrow-{node} is back, {how}"));
        play.wait("it takes requests", 10, |w| {
            (w.once(node, "GET", "/ready", &[]) == Some(200)).then_some(())
        })?;
        thread::sleep(Duration::from_secs(7));
    }
    play.wait("the job is told as done", 30, |w| {
        thread::sleep(Duration::from_secs(1));
        let (_, state) = w.poll(0, id)?;
        (state?.stage == Stage::Done).then_some(())
    })?;
    let mut refused = Vec::new();
    for node in 0..nodes::NODES {
        let status = repeat(node)?;
        if matches!(status, 400 | 422) {
            refused.push(format!("burrow-{node} with {status}"));
        }
    }
    if refused.is_empty() {
        return Ok(Verdict::Held(
            "the repeated submission was answered with the job's state".into(),
        ));
    }
    Ok(Verdict::Broken(format!(
        "the repeated submission of {id}, which is done, was refused by {}",
        refused.join(", ")
    )))
}

/// A service of many small replicas runs. Beside it a job of one task is to start.
fn small_replicas(play: &Play) -> Result<Verdict, String> {
    let replicas = if play.trouble { 400 } else { 100 };
    let small = array(1);
    let spec = JobSpec {
        class: "apercu-agents".into(),
        team: "plateforme-abvv".into(),
        kind: Kind::Service,
        tasks: replicas,
        cores: 0.1,
        gpus: 0.0,
        mem_gb: 0.2,
        spot: false,
        estimate_s: 0.0,
        ..small.spec
    };
    submit(
        play,
        Work {
            spec,
            run_ms: None,
            ..small
        },
    )?;
    let mut before = (0, Instant::now());
    let running = play.wait("the replicas that start have started", 30, |w| {
        let tasks = w.lock().tasks_of("job-000001").into_iter();
        let running = tasks
            .filter(|(_, stage, _)| *stage == TaskStage::Running)
            .count();
        if running != before.0 {
            before = (running, Instant::now());
        }
        (running >= 100 && before.1.elapsed() > Duration::from_secs(5)).then_some(running)
    })?;
    play.world
        .note(&format!("{running} of {replicas} replicas run"));
    let work = array(2);
    let spec = JobSpec {
        class: "vignette-array".into(),
        team: "atelier-lorient".into(),
        priority: Priority::Low,
        cores: 5.0,
        mem_gb: 27.0,
        ..work.spec
    };
    submit(play, Work { spec, ..work })?;
    watch(play, "job-000002")
}

/// Many jobs of one task are submitted, more than there is room for. A further one of higher urgency is to start beside
/// them, or room on the machines is to be used for others.
fn long_queue(play: &Play) -> Result<Verdict, String> {
    let machines = play.world.lock().capacity;
    submit(play, service(1, machines as u32))?;
    let jobs = if play.trouble { 26_000 } else { 1_000 };
    let probe = |k: u32| {
        let work = array(100_000 + k);
        let spec = JobSpec {
            class: "pin-probes".into(),
            priority: Priority::Low,
            estimate_s: 5.0 + f64::from(k % 196),
            ..work.spec
        };
        Work { spec, ..work }
    };
    play.world.note(&format!(
        "users: submit job-100000 and on, {jobs} jobs of one task"
    ));
    let accepted = play
        .world
        .submit_all((0..jobs).map(probe).collect(), Duration::from_secs(30));
    play.world
        .note(&format!("{accepted} of them were accepted"));
    if accepted < jobs as usize {
        return Err(format!("{accepted} of {jobs} jobs were accepted in time"));
    }
    replicas_run(play)?;
    let work = array(2);
    let spec = JobSpec {
        class: "handwriting-gang".into(),
        team: "tally-desk".into(),
        kind: Kind::Gang,
        priority: Priority::High,
        mem_gb: 77.0,
        ..work.spec
    };
    submit(play, Work { spec, ..work })?;
    watch(play, "job-000002")
}
