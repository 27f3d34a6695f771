//! Deadlines by objectives.

use super::*;

/// Guards against a gang that has already missed an objective going before those that can still meet it.
#[test]
fn earliest_objective_still_achievable_is_used() {
    let objective = |class: &str, within: f64| Objective {
        kind: "wait".into(),
        class: Some(class.into()),
        within_s: Some(within),
        share: None,
    };
    let objectives = [
        objective("c", 250.0),
        objective("c", 150.0),
        objective("other", 20.0),
    ];
    let seen: Vec<Option<f64>> = [0.0, 10.0, 200.0, 300.0]
        .iter()
        .map(|age_s| wait_target(&objectives, "c", Some(10.0), *age_s))
        .collect();
    assert_eq!(seen, [Some(10.0), Some(150.0), Some(250.0), None]);
}
