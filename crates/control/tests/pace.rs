//! How often a node plans when it is short of processor time.

use control::overload::plan_pacing::{MAX_INTERVAL_FACTOR, PlanPacing};

const TICK_MS: u64 = 50;
const PLAN_MS: u64 = 1000;

/// Simulates a node whose plans and ticks take this long; returns the interval between its last two plans.
fn final_plan_interval(plan_ms: u64, tick_ms: u64) -> u64 {
    let mut plan_pacing = PlanPacing::default();
    let (mut now, mut planned_at, mut interval) = (0, 0, 0);
    for _ in 0..4000 {
        plan_pacing.record_tick(now, TICK_MS);
        let mut busy_ms = tick_ms;
        if now >= planned_at + plan_pacing.interval(PLAN_MS) {
            interval = now - planned_at;
            planned_at = now;
            plan_pacing.record_plan();
            busy_ms += plan_ms;
        }
        now += busy_ms.max(TICK_MS);
    }
    interval
}

#[test]
fn node_on_time_plans_at_the_set_interval() {
    for (plan_ms, tick_ms) in [(0, 0), (100, 0), (300, 20), (450, 50)] {
        let interval = final_plan_interval(plan_ms, tick_ms);
        assert!(interval < PLAN_MS + 2 * TICK_MS, "{plan_ms}: {interval}");
    }
}

#[test]
fn long_plans_leave_time_for_other_work() {
    for plan_ms in [900, 1500, 2000] {
        let interval = final_plan_interval(plan_ms, 0);
        assert!(interval * 10 >= plan_ms * 15, "{plan_ms}: {interval}");
        assert!(interval <= plan_ms * 3, "{plan_ms}: {interval}");
    }
}

#[test]
fn late_node_delays_plans_up_to_a_limit() {
    let longest = PLAN_MS as f64 * MAX_INTERVAL_FACTOR;
    for tick_ms in [200, 400] {
        let interval = final_plan_interval(0, tick_ms) as f64;
        assert!(interval >= longest, "{tick_ms}: {interval}");
        assert!(interval <= longest + 1000.0, "{tick_ms}: {interval}");
    }
}

#[test]
fn plan_interval_recovers_once_a_node_is_on_time() {
    let mut plan_pacing = PlanPacing::default();
    let mut now = 0;
    for _ in 0..100 {
        plan_pacing.record_tick(now, TICK_MS);
        plan_pacing.record_plan();
        now += 10 * TICK_MS;
    }
    assert_eq!(
        plan_pacing.interval(PLAN_MS),
        (PLAN_MS as f64 * MAX_INTERVAL_FACTOR) as u64
    );
    for _ in 0..200 {
        plan_pacing.record_tick(now, TICK_MS);
        now += TICK_MS;
    }
    (0..4).for_each(|_| plan_pacing.record_plan());
    assert_eq!(plan_pacing.interval(PLAN_MS), PLAN_MS);
}

/// A process that was paused once plans as often as before.
#[test]
fn single_long_pause_does_not_delay_plans() {
    let mut plan_pacing = PlanPacing::default();
    let mut now = 0;
    for _ in 0..100 {
        plan_pacing.record_tick(now, TICK_MS);
        now += TICK_MS;
    }
    plan_pacing.record_tick(now + 30_000, TICK_MS);
    plan_pacing.record_plan();
    assert_eq!(plan_pacing.interval(PLAN_MS), PLAN_MS);
}
