//! Assertions that tests share about a simulated run.

use super::World;

/// Panics if a rule has been broken in the run so far; `what` names the test case.
#[track_caller]
pub fn assert_rules_kept(world: &World, what: &str) {
    assert!(
        world.rules.broken.is_empty(),
        "{what}: {:?}",
        world.rules.broken
    );
}

/// Panics if an accepted job has not ended; `what` names the test case.
#[track_caller]
pub fn assert_all_ended(world: &World, what: &str) {
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{what}: never ended: {unfinished:?}");
}
