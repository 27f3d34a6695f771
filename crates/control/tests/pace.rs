//! Plans of a node that is short of processor time.

use control::overload::plan_pacing::{MAX_FACTOR, PlanPacing};

const TICK_MS: u64 = 50;
const PLAN_MS: u64 = 1000;

/// Plays a node whose plans and other work take so long, and returns how far apart its plans are at the end.
fn distance(plan_takes: u64, tick_takes: u64) -> u64 {
    let mut plan_pacing = PlanPacing::default();
    let (mut now, mut planned_at, mut apart) = (0, 0, 0);
    for _ in 0..4000 {
        plan_pacing.ticked(now, TICK_MS);
        let mut takes = tick_takes;
        if now >= planned_at + plan_pacing.interval(PLAN_MS) {
            apart = now - planned_at;
            planned_at = now;
            plan_pacing.planned();
            takes += plan_takes;
        }
        now += takes.max(TICK_MS);
    }
    apart
}

#[test]
fn a_node_in_time_plans_as_often_as_it_should() {
    for (plan_takes, tick_takes) in [(0, 0), (100, 0), (300, 20), (450, 50)] {
        let apart = distance(plan_takes, tick_takes);
        assert!(apart < PLAN_MS + 2 * TICK_MS, "{plan_takes}: {apart}");
    }
}

#[test]
fn long_plans_leave_half_of_the_time() {
    for plan_takes in [900, 1500, 2000] {
        let apart = distance(plan_takes, 0);
        assert!(apart * 10 >= plan_takes * 15, "{plan_takes}: {apart}");
        assert!(apart <= plan_takes * 3, "{plan_takes}: {apart}");
    }
}

#[test]
fn plans_are_put_off_but_not_given_up() {
    let longest = PLAN_MS as f64 * MAX_FACTOR;
    for tick_takes in [200, 400] {
        let apart = distance(0, tick_takes) as f64;
        assert!(apart >= longest, "{tick_takes}: {apart}");
        assert!(apart <= longest + 1000.0, "{tick_takes}: {apart}");
    }
}

#[test]
fn a_node_that_has_caught_up_plans_as_before() {
    let mut plan_pacing = PlanPacing::default();
    let mut now = 0;
    for _ in 0..100 {
        plan_pacing.ticked(now, TICK_MS);
        plan_pacing.planned();
        now += 10 * TICK_MS;
    }
    assert_eq!(
        plan_pacing.interval(PLAN_MS),
        (PLAN_MS as f64 * MAX_FACTOR) as u64
    );
    for _ in 0..200 {
        plan_pacing.ticked(now, TICK_MS);
        now += TICK_MS;
    }
    (0..4).for_each(|_| plan_pacing.planned());
    assert_eq!(plan_pacing.interval(PLAN_MS), PLAN_MS);
}

/// A process that stood still for a while plans on as before.
#[test]
fn one_long_pause_puts_no_plan_off() {
    let mut plan_pacing = PlanPacing::default();
    let mut now = 0;
    for _ in 0..100 {
        plan_pacing.ticked(now, TICK_MS);
        now += TICK_MS;
    }
    plan_pacing.ticked(now + 30_000, TICK_MS);
    plan_pacing.planned();
    assert_eq!(plan_pacing.interval(PLAN_MS), PLAN_MS);
}
