//! The check for jobs left waiting beside room: what it counts, and what it doesn't.

use standins::checks::room::{BESIDE_ROOM_MS, Free, Room, Up};
use standins::rules::{Job, Rules};
use standins::scene::array;
use wire::api::{JobSpec, Kind};

const ID: &str = "job-000001";

fn job(tasks: u32) -> JobSpec {
    array(1, "red", tasks, 10.0)
}

fn rules(spec: JobSpec) -> Rules {
    let mut rules = Rules::default();
    let accepted = Job {
        spec: Some(spec.clone()),
        accepted: Some(1),
        ..Job::default()
    };
    rules.jobs.insert(spec.id, accepted);
    rules
}

/// A machine with room for so many one-GPU tasks.
fn up(name: &str, zone: &str, gpus: f64) -> Up {
    Up {
        name: name.into(),
        machine_type: "g2".into(),
        zone: zone.into(),
        spot: false,
        whole: Free {
            cores: 16.0,
            gpus,
            mem_gb: 64.0,
        },
        tasks: Vec::new(),
    }
}

/// Whether a job is left waiting beside machines that stay as they are for two minutes.
fn waits(rules: &Rules, up: &[Up]) -> bool {
    waits_while(rules, |_| up.to_vec())
}

fn waits_while(rules: &Rules, up: impl Fn(u64) -> Vec<Up>) -> bool {
    let mut room = Room::default();
    (0..120).for_each(|s| room.look(1000 * s, &up(s), rules));
    let (left, longest) = room.left_waiting();
    assert_eq!(!left.is_empty(), longest >= BESIDE_ROOM_MS);
    left == [ID]
}

#[test]
fn room_counts_where_the_job_may_be() {
    let machine = [up("m", "a", 2.0)];
    assert!(waits(&rules(job(3)), &machine));
    assert!(!waits(&rules(job(3)), &[]));
    let is = |f: fn(&mut JobSpec)| {
        let mut spec = job(3);
        f(&mut spec);
        waits(&rules(spec), &machine)
    };
    assert!(is(|s| s.zone = Some("a".into())) && !is(|s| s.zone = Some("b".into())));
    assert!(
        is(|s| s.types = Some(vec!["g2".into()])) && !is(|s| s.types = Some(vec!["g4".into()]))
    );
    assert!(is(|s| s.gpus = 2.0) && !is(|s| s.gpus = 3.0));
    assert!(!is(|s| s.cores = 17.0) && !is(|s| s.mem_gb = 65.0));
    let lent = [Up {
        spot: true,
        ..up("m", "a", 2.0)
    }];
    assert!(!waits(&rules(job(3)), &lent));
    assert!(waits(
        &rules(JobSpec {
            spot: true,
            ..job(3)
        }),
        &lent
    ));
}

/// A task of it that runs neither ends the wait of the next one, nor is its room free.
#[test]
fn the_next_task_of_an_array_waits_too() {
    let running = |gpus: f64| {
        [Up {
            tasks: vec![(format!("{ID}/0"), 1)],
            ..up("m", "a", gpus)
        }]
    };
    assert!(waits(&rules(job(3)), &running(2.0)));
    assert!(!waits(&rules(job(3)), &running(1.0)));
    assert!(!waits(&rules(job(1)), &running(2.0)));
    let mut rules = rules(job(3));
    rules.jobs.get_mut(ID).expect("the job").done.extend([1, 2]);
    assert!(!waits(&rules, &running(2.0)));
}

#[test]
fn a_team_at_its_limit_waits_rightly() {
    let machine = [Up {
        tasks: vec![(format!("{ID}/0"), 1)],
        ..up("m", "a", 4.0)
    }];
    let with = |limit: f64| {
        let mut rules = rules(job(3));
        rules.gpu_limits.insert("red".into(), limit);
        waits(&rules, &machine)
    };
    assert!(with(2.0) && !with(1.0));
}

/// All tasks of a gang have to fit at once, within its bounds on zones.
#[test]
fn a_gang_waits_for_room_for_all() {
    let two = [up("m", "a", 2.0), up("n", "b", 2.0)];
    let gang = |tasks: u32, f: fn(&mut JobSpec)| {
        let mut spec = JobSpec {
            kind: Kind::Gang,
            ..job(tasks)
        };
        f(&mut spec);
        rules(spec)
    };
    assert!(waits(&gang(4, |_| ()), &two) && !waits(&gang(5, |_| ()), &two));
    assert!(
        waits(&gang(2, |s| s.one_zone = true), &two)
            && !waits(&gang(3, |s| s.one_zone = true), &two)
    );
    assert!(
        waits(&gang(4, |s| s.spread = true), &two)
            && !waits(&gang(4, |s| s.spread = true), &two[..1])
    );
    let mut some_there = two.clone();
    some_there[0].tasks.push((format!("{ID}/0"), 1));
    assert!(!waits(&gang(3, |_| ()), &some_there));
    let mut limited = gang(4, |_| ());
    limited.gpu_limits.insert("red".into(), 3.0);
    assert!(!waits(&limited, &two));
}

/// A start, a moment without room, or room that never stands for long: none of them is a long wait.
#[test]
fn only_what_lasts_counts() {
    let rules = rules(job(9));
    let there = |n: u64| Up {
        tasks: vec![(format!("{ID}/{n}"), 1)],
        ..up("m", "a", 4.0)
    };
    assert!(!waits_while(&rules, |s| vec![there(s / 60)]));
    assert!(!waits_while(&rules, |s| if s == 60 {
        vec![]
    } else {
        vec![up("m", "a", 2.0)]
    }));
    assert!(!waits_while(&rules, |s| vec![up(
        ["m", "n"][s as usize / 4 % 2],
        "a",
        2.0
    )]));
    // Two that have room by turns, each for long enough: there is room at all times.
    let full = |name: &str, is: bool| up(name, "a", if is { 0.0 } else { 2.0 });
    assert!(waits_while(&rules, |s| vec![
        full("m", s / 20 % 2 == 1 && s % 20 > 6),
        full("n", s / 20 % 2 == 0 && s % 20 > 6)
    ]));
}

#[test]
fn whoever_is_not_wanted_or_not_accepted_waits_for_nothing() {
    let machine = [up("m", "a", 2.0)];
    let with = |f: fn(&mut Job)| {
        let mut rules = rules(job(3));
        f(rules.jobs.get_mut(ID).expect("the job"));
        waits(&rules, &machine)
    };
    assert!(with(|_| ()));
    assert!(!with(|j| j.accepted = None) && !with(|j| j.cancel_asked = true));
    assert!(!with(|j| j.told_done = Some(2)) && !with(|j| j.told_cancelled = Some(2)));
}
