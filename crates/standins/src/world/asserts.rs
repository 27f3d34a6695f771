//! What every test of a played world asserts.

use super::World;

/// Panics if a rule was broken in what has been played so far; `what` names the case.
#[track_caller]
pub fn assert_rules_kept(world: &World, what: &str) {
    assert!(
        world.rules.broken.is_empty(),
        "{what}: {:?}",
        world.rules.broken
    );
}

/// Panics if accepted work has not ended; `what` names the case.
#[track_caller]
pub fn assert_all_ended(world: &World, what: &str) {
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{what}: never ended: {unfinished:?}");
}
