//! The deadline of a job by the objectives that cover it.

use super::*;

/// A gang that had missed one aim for good stood before those that could still keep it.
#[test]
fn the_first_aim_that_can_still_be_kept_counts() {
    let aim = |class: &str, within: f64| Objective {
        kind: "wait".into(),
        class: Some(class.into()),
        within_s: Some(within),
        share: None,
    };
    let aims = [aim("c", 250.0), aim("c", 150.0), aim("other", 20.0)];
    let seen: Vec<Option<f64>> = [0.0, 10.0, 200.0, 300.0]
        .iter()
        .map(|age| told(&aims, "c", Some(10.0), *age))
        .collect();
    assert_eq!(seen, [Some(10.0), Some(150.0), Some(250.0), None]);
}
