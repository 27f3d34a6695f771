//! Simulated floods of jobs of high priority, a plan a turn: jobs that have waited for long start, and no task is
//! preempted for work of no higher priority.

mod defaults;

use plan::{
    AgingThresholds, Input, Job, Machine, Output, Reservation, Resources, Running, Shape, Team,
    first_share, plan,
};
use proptest::prelude::*;

/// In turns.
const AGING: AgingThresholds = AgingThresholds {
    aged_after: 20.0,
    first_of_all_after: 30.0,
};
const PLACES: u32 = 4;

fn task() -> Resources {
    Resources {
        cores: 1.0,
        gpus: 1.0,
        mem: 1.0,
    }
}

fn job(shape: Shape, priority: u8, tasks: u32) -> Job {
    // A task of a gang fills a machine.
    let places = if shape == Shape::Gang { PLACES } else { 1 };
    let mut need = Resources::default();
    need.add(&task(), f64::from(places));
    Job {
        shape,
        priority,
        arrival: 0.0,
        estimate: 6.0,
        tasks,
        pending: tasks,
        need,
        image_gb: 0.0,
        awaits_first_start: true,
        ..defaults::job()
    }
}

/// A machine that [`PLACES`] tasks of an array fit on.
fn machine() -> Machine {
    Machine {
        usable_at: 0.0,
        total: Resources {
            cores: 4.0,
            gpus: 4.0,
            mem: 4.0,
        },
        images: vec![0],
        slots: 10,
        ..defaults::machine()
    }
}

/// A task on a machine: its job, when it ends, and when it started.
struct Placed {
    job: usize,
    machine: usize,
    ends: i32,
    started_at: i32,
}

/// A simulated fleet that carries out one plan a turn.
struct Fleet {
    machines: usize,
    jobs: Vec<(i32, Job)>,
    placed: Vec<Placed>,
    done: Vec<u32>,
    first_start: Vec<Option<i32>>,
    /// Number of preempted tasks, by job.
    preempted: Vec<u32>,
    with_aging: bool,
}

impl Fleet {
    fn new(machines: usize, jobs: Vec<(i32, Job)>, with_aging: bool) -> Self {
        let n = jobs.len();
        Fleet {
            machines,
            jobs,
            placed: vec![],
            done: vec![0; n],
            first_start: vec![None; n],
            preempted: vec![0; n],
            with_aging,
        }
    }

    /// The planner's input, with the index of each of its jobs here, and those of the tasks on each machine.
    fn input(&self, now: i32) -> (Input, Vec<usize>, Vec<Vec<usize>>) {
        let mut input = Input {
            machines: vec![machine(); self.machines],
            online_factor: 1.5,
            patience: 3.0,
            max_steps: u64::MAX / 4,
            aging: if self.with_aging {
                AGING
            } else {
                AgingThresholds::default()
            },
            ..Input::default()
        };
        input.teams = vec![defaults::team()];
        let mut tasks_on: Vec<Vec<usize>> = vec![vec![]; self.machines];
        let mut claims = vec![0u32; self.jobs.len()];
        for (k, p) in self.placed.iter().enumerate() {
            let job = &self.jobs[p.job].1;
            let (array, first) = (job.shape == Shape::Array, first_share(job.shape, job.tasks));
            let age = f64::from(now - self.jobs[p.job].0);
            let share = self.done[p.job] == 0 && claims[p.job] < first;
            let is_protected_by_aging = self.with_aging
                && array
                && (age >= AGING.first_of_all_after || share && age >= AGING.aged_after);
            claims[p.job] += 1;
            tasks_on[p.machine].push(k);
            input.machines[p.machine].running.push(Running {
                need: job.need,
                expected_end: f64::from(p.ends - now),
                priority: job.priority,
                lost_on_preemption: f64::from(now - p.started_at),
                is_preemptible: array,
                is_protected_by_aging,
                gang: (!array).then_some(p.job as u32),
                ..defaults::running()
            });
        }
        let mut job_indices = Vec::new();
        for (j, (at, job)) in self.jobs.iter().enumerate() {
            let left = job.tasks - self.done[j] - claims[j];
            if *at > now || left == 0 || (job.shape == Shape::Gang && claims[j] > 0) {
                continue;
            }
            let tasks_by_zone = if claims[j] > 0 {
                vec![(0, claims[j])]
            } else {
                vec![]
            };
            let awaits_first_start = job.shape == Shape::Array || self.first_start[j].is_none();
            input.jobs.push(Job {
                arrival: f64::from(at - now),
                pending: left,
                tasks_by_zone,
                awaits_first_start,
                ..job.clone()
            });
            job_indices.push(j);
        }
        (input, job_indices, tasks_on)
    }

    fn run_turn(&mut self, now: i32) -> Result<(), TestCaseError> {
        let over: Vec<usize> = self
            .placed
            .iter()
            .filter(|p| p.ends <= now)
            .map(|p| p.job)
            .collect();
        over.into_iter().for_each(|j| self.done[j] += 1);
        self.placed.retain(|p| p.ends > now);
        let (input, job_indices, tasks_on) = self.input(now);
        let out: Output = plan(&input);
        prop_assert_eq!(
            &out.preempted_gangs,
            &Vec::<u32>::new(),
            "without guarantees no gang is preempted"
        );
        for s in &out.starts {
            let j = job_indices[s.job as usize];
            self.first_start[j].get_or_insert(now);
            let ends = now + self.jobs[j].1.estimate as i32;
            let new = || Placed {
                job: j,
                machine: s.machine as usize,
                ends,
                started_at: now,
            };
            self.placed.extend((0..s.count).map(|_| new()));
        }
        let stop: Vec<usize> = out
            .preempts
            .iter()
            .map(|p| tasks_on[p.machine as usize][p.task as usize])
            .collect();
        let most = input.jobs.iter().map(|j| j.priority).max().unwrap_or(0);
        for k in &stop {
            let j = self.placed[*k].job;
            prop_assert!(
                self.jobs[j].1.priority < most,
                "preempted for work of no higher priority"
            );
            self.preempted[j] += 1;
        }
        let mut k = 0;
        self.placed.retain(|_| {
            k += 1;
            !stop.contains(&(k - 1))
        });
        Ok(())
    }
}

/// A lasting flood: gangs of high priority, in each turn twice as many as the fleet completes, and some large jobs of
/// low priority.
fn flood(machines: usize, until: i32, large: &[(i32, Shape, u32)]) -> Vec<(i32, Job)> {
    let a_turn = machines.div_ceil(3);
    let urgent = (0..until).flat_map(|t| (0..a_turn).map(move |_| (t, job(Shape::Gang, 2, 1))));
    let large = large
        .iter()
        .map(|(t, shape, tasks)| (*t, job(*shape, 0, *tasks)));
    large.chain(urgent).collect()
}

/// Runs a flood; keeps the first starts of its first `n` jobs.
fn run_fleet(
    jobs: Vec<(i32, Job)>,
    machines: usize,
    n: usize,
    turns: i32,
    with_aging: bool,
) -> Result<Fleet, TestCaseError> {
    let mut fleet = Fleet::new(machines, jobs, with_aging);
    for now in 0..turns {
        fleet.run_turn(now)?;
    }
    fleet.first_start.truncate(n);
    Ok(fleet)
}

prop_compose! {
    fn large()(at in 0i32..20, array: bool, tasks in 30u32..90, width in 2u32..5) -> (i32, Shape, u32) {
        if array { (at, Shape::Array, tasks) } else { (at, Shape::Gang, width) }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(26), ..ProptestConfig::default() })]

    /// Each large job starts within the aging threshold, twice the longest run time and the time that large jobs before
    /// it take, though twice the work that the fleet can do keeps coming. Without aging none does.
    #[test]
    fn large_jobs_start_within_the_aging_bound_during_a_flood(machines in 6usize..10, large in prop::collection::vec(large(), 1..4)) {
        let turns = 130;
        let jobs = flood(machines, turns, &large);
        let fleet = run_fleet(jobs.clone(), machines, large.len(), turns, true)?;
        for (k, (began, (at, shape, tasks))) in fleet.first_start.iter().zip(&large).enumerate() {
            let before = large.iter().enumerate().filter(|(o, l)| *o != k && l.0 <= *at);
            let loads: u32 = before.map(|(_, (_, s, n))| if *s == Shape::Array { n.div_ceil(PLACES) } else { *n }).sum();
            let bound = AGING.aged_after as i32 + 12 + (loads * 6).div_ceil(machines as u32) as i32;
            let waited = began.map(|b| b - at);
            prop_assert!(waited.is_some_and(|w| w <= bound), "{shape:?} of {tasks}: {waited:?}, {bound}");
        }
        let started: Vec<i32> = large.iter().filter(|l| l.0 > 1).map(|l| l.0).collect();
        let without_aging = run_fleet(jobs, machines, large.len(), turns, false)?;
        let late = without_aging.first_start.iter().zip(&large).filter(|(b, l)| l.0 > 1 && b.is_none()).count();
        prop_assert_eq!(late, started.len(), "large jobs start without aging too: the flood shows nothing");
    }

    /// A job that started so late is not preempted at once by the next gang of high priority: some of its tasks
    /// complete.
    #[test]
    fn late_started_array_completes_tasks_during_a_flood(machines in 6usize..10, tasks in 60u32..300) {
        let turns = 70;
        let fleet = run_fleet(flood(machines, turns, &[(2, Shape::Array, tasks)]), machines, 1, turns, true)?;
        prop_assert!(fleet.done[0] >= first_share(Shape::Array, tasks).min(PLACES), "done: {}", fleet.done[0]);
    }

    /// A job whose first share has started is served as if it were not aged, and no other job is affected.
    #[test]
    fn aged_job_with_its_first_share_gets_no_further_precedence(machines in 3usize..6, tasks in 17u32..100, gangs in 0usize..6) {
        let mut jobs = flood(machines, 1, &[(0, Shape::Array, tasks)]);
        jobs.extend((0..gangs).map(|_| (0, job(Shape::Gang, 2, 1))));
        let mut fleet = Fleet::new(machines, jobs, true);
        let has = first_share(Shape::Array, tasks);
        fleet.placed.extend((0..has).map(|k| Placed { job: 0, machine: (k / PLACES) as usize, ends: 50, started_at: -5 }));
        let (mut input, _, _) = fleet.input(0);
        let young = plan(&input);
        // It is the only job of its priority, so that aging has no effect within it.
        input.jobs[0].arrival = -AGING.aged_after;
        let old = plan(&input);
        let sums = |out: &Output| {
            let mut sums = std::collections::BTreeMap::new();
            out.starts.iter().for_each(|s| *sums.entry((s.job, s.machine)).or_insert(0) += s.count);
            sums
        };
        prop_assert_eq!(sums(&young), sums(&old));
        prop_assert_eq!(young.preempts, old.preempts);
    }
}

/// Starts of an array that was submitted so long ago, on a machine that is reserved for expected gangs.
fn starts_beside_reservation(waited: f64, running: u32) -> u32 {
    let mut array = Job {
        arrival: -waited,
        ..job(Shape::Array, 1, 3)
    };
    array.tasks_by_zone = if running > 0 {
        vec![(0, running)]
    } else {
        vec![]
    };
    let template = job(Shape::Gang, 3, 1);
    let input = Input {
        machines: vec![machine()],
        jobs: vec![array],
        teams: vec![Team {
            cores_max: 1e9,
            gpus_max: 1e9,
            ..defaults::team()
        }],
        reservations: vec![Reservation {
            template,
            count: 1,
            images: vec![(0, 0.0, 1.0)],
        }],
        online_factor: 1.0,
        max_steps: 1_000_000,
        ..Input::default()
    };
    plan(&input).starts.iter().map(|s| s.count).sum()
}

/// Capacity for expected gangs stays reserved, except that an array that has waited for long may start a first task.
#[test]
fn array_is_not_starved_by_reservations() {
    assert_eq!(starts_beside_reservation(10.0, 0), 0);
    assert_eq!(starts_beside_reservation(60.0, 0), 1);
    assert_eq!(starts_beside_reservation(60.0, 1), 0);
}
