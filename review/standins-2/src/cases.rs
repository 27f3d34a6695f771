//! The cases.

use crate::site::{self, Site};
use crate::world::Work;
use crate::{Play, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};
use wire::api::{JobSpec, Kind, Priority, Stage, TaskStage};

/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
const LEFT_WAITING: Duration = Duration::from_secs(90);

/// The deployment that a case plays in, and how many machines the cloud has for it.
pub fn setting(case: &str) -> Result<(&'static Site, usize), String> {
    match case {
        "mistaken-jobs" | "sick-machine" => Ok((&site::NAIROBI, 6)),
        "burst" => Ok((&site::RENNES, 2)),
        _ => Err(format!("no such case: {case}")),
    }
}

pub fn run(case: &str, play: &Play) -> Result<Verdict, String> {
    match case {
        "mistaken-jobs" => mistaken_jobs(play),
        "sick-machine" => sick_machine(play),
        "burst" => burst(play),
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
        mistaken: false,
    }
}

/// A service whose replicas take so many of a machine's two GPUs.
fn service(id: u32, replicas: u32, gpus: u32) -> Work {
    let work = array(id);
    Work {
        spec: JobSpec {
            class: "form-service".into(),
            team: "field-liaison".into(),
            kind: Kind::Service,
            tasks: replicas,
            // No two replicas share a machine, and one with a single GPU leaves room for a task.
            cores: if gpus == 1 { 13.0 } else { 20.0 },
            gpus: f64::from(gpus),
            mem_gb: 72.0 * f64::from(gpus),
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

/// Services take all machines that the cloud has: `open` of them with room for one task more, the others whole.
/// Returns the names of those with room.
fn fill_fleet(play: &Play, open: u32) -> Result<Vec<String>, String> {
    let machines = play.world.lock().capacity as u32;
    submit(play, service(1, machines - open, 2))?;
    submit(play, service(2, open, 1))?;
    play.wait("all replicas run, and each machine has one", 25, |w| {
        let i = w.lock();
        let running = |job: &str| -> Vec<String> {
            let tasks = i.tasks_of(job).into_iter();
            tasks
                .filter(|(_, stage, _)| *stage == TaskStage::Running)
                .map(|(m, ..)| m)
                .collect()
        };
        let (full, with_room) = (running("job-000001"), running("job-000002"));
        let all: BTreeSet<&String> = full.iter().chain(&with_room).collect();
        (all.len() == machines as usize && full.len() + with_room.len() == all.len())
            .then_some(with_room)
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

/// Two users submit a job with a mistake and cancel it once it has failed. Then a third user's sound job is to start.
fn mistaken_jobs(play: &Play) -> Result<Verdict, String> {
    fill_fleet(play, 2)?;
    if play.trouble {
        let ids = [3, 4];
        for id in ids {
            let work = array(id);
            let spec = JobSpec {
                team: "tally-desk".into(),
                ..work.spec
            };
            submit(
                play,
                Work {
                    spec,
                    mistaken: true,
                    ..work
                },
            )?;
        }
        // Their users look after some seconds.
        let _ = play.wait("both have failed on both machines", 8, |w| {
            let i = w.lock();
            let both = ids.iter().all(|id| {
                i.failed
                    .get(&format!("job-{id:06}"))
                    .is_some_and(|on| on.len() == 2)
            });
            both.then_some(())
        });
        thread::sleep(Duration::from_secs(1));
        for id in ids {
            play.world
                .cancel(&format!("job-{id:06}"))
                .ok_or("a cancellation was not answered")?;
        }
    }
    play.world.note("no trouble from here on");
    submit(play, array(5))?;
    watch(play, "job-000005")
}

/// The one machine with room fails every task that it starts, for some seconds in which a job comes. Afterwards the job
/// is to start there.
fn sick_machine(play: &Play) -> Result<Verdict, String> {
    let with_room = fill_fleet(play, 1)?;
    if play.trouble {
        let mut i = play.world.lock();
        for name in &with_room {
            if let Some(m) = i.machines.get_mut(name) {
                m.faulty = true;
            }
            i.note(&format!("{name} fails every task that it starts"));
        }
    }
    submit(play, array(3))?;
    if play.trouble {
        play.wait("the job has failed there", 10, |w| {
            w.lock().failed.get("job-000003").map(|_| ())
        })?;
        thread::sleep(Duration::from_secs(1));
        {
            let mut i = play.world.lock();
            i.machines.values_mut().for_each(|m| m.faulty = false);
            i.note("it is sound again; no trouble from here on");
        }
        // The failed attempt doesn't count as started.
        play.wait("the failed attempt is reaped", 8, |w| {
            w.lock().tasks_of("job-000003").is_empty().then_some(())
        })?;
        // A job of the same shape, of another team, shows that the machine is sound.
        let work = array(4);
        let spec = JobSpec {
            team: "tally-desk".into(),
            ..work.spec
        };
        submit(play, Work { spec, ..work })?;
        play.wait("the second job is done", 15, |w| {
            thread::sleep(Duration::from_millis(900));
            let (_, state) = w.poll(0, "job-000004")?;
            (state?.stage == Stage::Done).then_some(())
        })?;
    }
    watch(play, "job-000003")
}

/// Jobs of an urgent class come three times as often for a while, and end. Then a gang of lower urgency is to start.
fn burst(play: &Play) -> Result<Verdict, String> {
    let jobs = if play.trouble { 3 } else { 1 };
    for id in 0..jobs {
        let work = array(10 + id);
        let spec = JobSpec {
            class: "keyframe-gang".into(),
            team: "presse-rennes".into(),
            kind: Kind::Gang,
            priority: Priority::High,
            cores: 43.0,
            gpus: 8.0,
            mem_gb: 230.0,
            image_gb: 6.0,
            ..work.spec
        };
        submit(play, Work { spec, ..work })?;
    }
    play.wait("the urgent jobs are done", 25, |w| {
        thread::sleep(Duration::from_millis(500));
        let done = (0..jobs).all(|id| {
            let state = w
                .poll(0, &format!("job-{:06}", 10 + id))
                .and_then(|(_, state)| state);
            state.is_some_and(|s| s.stage == Stage::Done)
        });
        done.then_some(())
    })?;
    play.world.note("no trouble from here on");
    let work = array(4);
    let spec = JobSpec {
        class: "mosaic-gang".into(),
        team: "atelier-lorient".into(),
        kind: Kind::Gang,
        priority: Priority::Low,
        ..work.spec
    };
    submit(play, Work { spec, ..work })?;
    watch(play, "job-000004")
}
