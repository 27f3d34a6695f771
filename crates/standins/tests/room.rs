//! The check for jobs that are left waiting although there is capacity: which cases it reports, and which not.

use standins::checks::room::{BESIDE_ROOM_MS, Free, Room, Up};
use standins::rules::{Job, Rules};
use standins::scene::array;
use wire::api::{JobSpec, Kind};

const JOB_ID: &str = "job-000001";

fn job(tasks: u32) -> JobSpec {
    array(1, "red", tasks, 10.0)
}

fn rules_with_job(spec: JobSpec) -> Rules {
    let mut rules = Rules::default();
    let accepted = Job {
        spec: Some(spec.clone()),
        accepted: Some(1),
        ..Job::default()
    };
    rules.jobs.insert(spec.id, accepted);
    rules
}

/// A machine with the given number of GPUs.
fn machine_with_gpus(name: &str, zone: &str, gpus: f64) -> Up {
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

/// Whether the job is reported as left waiting when the machines stay unchanged for two minutes.
fn is_left_waiting(rules: &Rules, machines: &[Up]) -> bool {
    is_left_waiting_with(rules, |_| machines.to_vec())
}

fn is_left_waiting_with(rules: &Rules, machines_at: impl Fn(u64) -> Vec<Up>) -> bool {
    let mut room = Room::default();
    (0..120).for_each(|s| room.look(1000 * s, &machines_at(s), rules));
    let (left, longest) = room.left_waiting();
    assert_eq!(!left.is_empty(), longest >= BESIDE_ROOM_MS);
    left == [JOB_ID]
}

#[test]
fn only_allowed_machines_count_as_capacity_for_a_job() {
    let machine = [machine_with_gpus("m", "a", 2.0)];
    assert!(is_left_waiting(&rules_with_job(job(3)), &machine));
    assert!(!is_left_waiting(&rules_with_job(job(3)), &[]));
    let is = |f: fn(&mut JobSpec)| {
        let mut spec = job(3);
        f(&mut spec);
        is_left_waiting(&rules_with_job(spec), &machine)
    };
    assert!(is(|s| s.zone = Some("a".into())) && !is(|s| s.zone = Some("b".into())));
    assert!(
        is(|s| s.types = Some(vec!["g2".into()])) && !is(|s| s.types = Some(vec!["g4".into()]))
    );
    assert!(is(|s| s.gpus = 2.0) && !is(|s| s.gpus = 3.0));
    assert!(!is(|s| s.cores = 17.0) && !is(|s| s.mem_gb = 65.0));
    let spot = [Up {
        spot: true,
        ..machine_with_gpus("m", "a", 2.0)
    }];
    assert!(!is_left_waiting(&rules_with_job(job(3)), &spot));
    assert!(is_left_waiting(
        &rules_with_job(JobSpec {
            spot: true,
            ..job(3)
        }),
        &spot
    ));
}

/// A running task of the array does not end the wait of its next task, and the capacity that it uses is not free.
#[test]
fn waiting_array_is_reported_while_another_task_runs() {
    let running = |gpus: f64| {
        [Up {
            tasks: vec![(format!("{JOB_ID}/0"), 1)],
            ..machine_with_gpus("m", "a", gpus)
        }]
    };
    assert!(is_left_waiting(&rules_with_job(job(3)), &running(2.0)));
    assert!(!is_left_waiting(&rules_with_job(job(3)), &running(1.0)));
    assert!(!is_left_waiting(&rules_with_job(job(1)), &running(2.0)));
    let mut rules = rules_with_job(job(3));
    rules
        .jobs
        .get_mut(JOB_ID)
        .expect("the job")
        .done
        .extend([1, 2]);
    assert!(!is_left_waiting(&rules, &running(2.0)));
}

#[test]
fn job_of_a_team_at_its_limit_is_not_reported() {
    let machine = [Up {
        tasks: vec![(format!("{JOB_ID}/0"), 1)],
        ..machine_with_gpus("m", "a", 4.0)
    }];
    let with = |limit: f64| {
        let mut rules = rules_with_job(job(3));
        rules.gpu_limits.insert("red".into(), limit);
        is_left_waiting(&rules, &machine)
    };
    assert!(with(2.0) && !with(1.0));
}

/// All tasks of a gang must fit at the same time, within its zone constraints.
#[test]
fn gang_is_reported_only_with_capacity_for_all_tasks() {
    let two = [
        machine_with_gpus("m", "a", 2.0),
        machine_with_gpus("n", "b", 2.0),
    ];
    let gang = |tasks: u32, f: fn(&mut JobSpec)| {
        let mut spec = JobSpec {
            kind: Kind::Gang,
            ..job(tasks)
        };
        f(&mut spec);
        rules_with_job(spec)
    };
    assert!(is_left_waiting(&gang(4, |_| ()), &two) && !is_left_waiting(&gang(5, |_| ()), &two));
    assert!(
        is_left_waiting(&gang(2, |s| s.one_zone = true), &two)
            && !is_left_waiting(&gang(3, |s| s.one_zone = true), &two)
    );
    assert!(
        is_left_waiting(&gang(4, |s| s.spread = true), &two)
            && !is_left_waiting(&gang(4, |s| s.spread = true), &two[..1])
    );
    let mut some_there = two.clone();
    some_there[0].tasks.push((format!("{JOB_ID}/0"), 1));
    assert!(!is_left_waiting(&gang(3, |_| ()), &some_there));
    let mut limited = gang(4, |_| ());
    limited.gpu_limits.insert("red".into(), 3.0);
    assert!(!is_left_waiting(&limited, &two));
}

/// A task start, a moment without capacity, or capacity that is never free for long do not count as a long wait.
#[test]
fn only_lasting_capacity_is_reported() {
    let rules = rules_with_job(job(9));
    let there = |n: u64| Up {
        tasks: vec![(format!("{JOB_ID}/{n}"), 1)],
        ..machine_with_gpus("m", "a", 4.0)
    };
    assert!(!is_left_waiting_with(&rules, |s| vec![there(s / 60)]));
    assert!(!is_left_waiting_with(&rules, |s| if s == 60 {
        vec![]
    } else {
        vec![machine_with_gpus("m", "a", 2.0)]
    }));
    assert!(!is_left_waiting_with(&rules, |s| vec![machine_with_gpus(
        ["m", "n"][s as usize / 4 % 2],
        "a",
        2.0
    )]));
    // Two machines have capacity in turn, each for long enough, so that there is always capacity.
    let full = |name: &str, is: bool| machine_with_gpus(name, "a", if is { 0.0 } else { 2.0 });
    assert!(is_left_waiting_with(&rules, |s| vec![
        full("m", s / 20 % 2 == 1 && s % 20 > 6),
        full("n", s / 20 % 2 == 0 && s % 20 > 6)
    ]));
}

#[test]
fn unaccepted_cancelled_and_ended_jobs_are_not_reported() {
    let machine = [machine_with_gpus("m", "a", 2.0)];
    let with = |f: fn(&mut Job)| {
        let mut rules = rules_with_job(job(3));
        f(rules.jobs.get_mut(JOB_ID).expect("the job"));
        is_left_waiting(&rules, &machine)
    };
    assert!(with(|_| ()));
    assert!(!with(|j| j.accepted = None) && !with(|j| j.cancel_asked = true));
    assert!(!with(|j| j.told_done = Some(2)) && !with(|j| j.told_cancelled = Some(2)));
}
