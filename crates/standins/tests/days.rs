//! Small days of each kind that operators run themselves: quick restarts during all kinds of faults, with users behind
//! a load balancer, and no job forgotten. To run one day:
//! `cargo run -p standins --example own_days -- small KIND SEED NODES`.

use standins::checks::Verdict;
use standins::days::{Size, kinds, plan};
use standins::world::{Plan, Sabotage, World};

fn run_day(plan: Plan) -> (World, Verdict) {
    let mut world = World::new(plan);
    world.run_day();
    let verdict = world.verdict();
    (world, verdict)
}

/// Every kind of day with 3, 5 and 7 controllers.
#[test]
fn no_job_is_forgotten_and_every_group_is_served() {
    let days = (0..kinds().len()).flat_map(|kind| [3, 5, 7].map(|nodes| (kind, nodes)));
    for (i, (kind, nodes)) in days.enumerate() {
        let seed = 100 + i as u64;
        let (world, v) = run_day(plan(kind, seed, nodes, Size::SMALL));
        let what = format!("{} ({kind}), seed {seed}, {nodes} nodes", kinds()[kind]);
        assert!(
            world.rules.broken.is_empty(),
            "{what}: {:?}",
            world.rules.broken
        );
        assert!(
            v.forgotten_75.is_empty(),
            "{what}: forgotten {:?}",
            v.forgotten_75
        );
        assert!(
            v.served_below_half.is_empty(),
            "{what}: {:?}",
            v.served_below_half
        );
        assert!(
            v.largest_late.is_empty(),
            "{what}: late {:?}",
            v.largest_late
        );
        assert!(
            v.jobs > 20 && v.done * 10 > v.jobs * 9,
            "{what}: {} of {} done",
            v.done,
            v.jobs
        );
        assert_eq!(world.state.counts.too_large, 0, "{what}");
    }
}

fn run_holding_back(kind: usize, which: fn(&wire::api::JobSpec) -> bool) -> Verdict {
    let mut plan = plan(kind, 1, 3, Size::SMALL);
    let scene = plan.scene.as_mut().expect("days are scenes");
    let day = scene.day.as_mut().expect("days have faults");
    day.held = scene
        .jobs
        .iter()
        .filter(|j| which(&j.spec))
        .map(|j| j.spec.id.clone())
        .collect();
    run_day(plan).1
}

/// Each check fails when the property that it checks is violated on purpose.
#[test]
fn each_day_check_fails_when_its_property_is_violated() {
    let is_below_half =
        |v: &Verdict, group: &str| v.served_below_half.iter().any(|g| g.starts_with(group));
    let v = run_holding_back(0, |s| s.team == "red");
    assert!(
        is_below_half(&v, "team red") && !is_below_half(&v, "team blue"),
        "{v:?}"
    );
    let v = run_holding_back(0, |s| s.class == "gang");
    assert!(
        is_below_half(&v, "class gang") && !is_below_half(&v, "class array"),
        "{v:?}"
    );
    let v = run_holding_back(0, |s| s.class == "array" && s.tasks > 4);
    assert!(
        is_below_half(&v, "largest of array") && !is_below_half(&v, "class gang"),
        "{v:?}"
    );
    assert!(!v.largest_late.is_empty(), "{v:?}");
    let sabotaged = |sabotage| {
        run_day(Plan {
            sabotage,
            ..plan(5, 1, 3, Size::SMALL)
        })
        .1
    };
    let v = sabotaged(Sabotage::PollsLost);
    assert!(
        v.longest_unanswered_s > 75.0 && v.forgotten_75.iter().all(|j| j.ends_with('7')),
        "{v:?}"
    );
    assert!(!v.forgotten_75.is_empty(), "{v:?}");
    assert!(sabotaged(Sabotage::GrantsLost).longest_without_leader_s > 60.0);
    assert!(sabotaged(Sabotage::None).longest_without_leader_s < 10.0);
}

/// A day with the same seed has the same verdict, so that a recorded one can be reproduced.
#[test]
fn days_are_deterministic() {
    let verdict = || format!("{:?}", run_day(plan(6, 3, 5, Size::SMALL)).1);
    assert_eq!(verdict(), verdict());
}
