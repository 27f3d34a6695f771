//! Which tasks guarantees cover, in flat and nested quotas.

use super::*;
use crate::jobs::job::Job;
use crate::leadership::token_range::TokenRange;
use quota::{Tree, amount};
use std::sync::Arc;
use wire::api::Priority;
use wire::records::JobRecord;

fn spec(id: u32, team: &str, tasks: u32, cores: f64, gpus: f64) -> JobSpec {
    JobSpec {
        id: format!("job-{id}"),
        class: "c".into(),
        team: team.into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cores,
        gpus,
        mem_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn share(gpus: i64) -> EntitledAmounts {
    let mut out = [None; MAX_RESOURCES];
    out[quota::GPUS] = Some(gpus * 1000);
    out
}

/// With 100,000 jobs of 10,000 teams on six levels, a start costs steps only on the path of its own team.
#[test]
fn quota_update_costs_steps_only_on_the_path_of_the_changed_job() {
    let mut spec_of_tree = quota::Spec::default();
    for i in 0..1111u32 {
        // Ten children each: levels of 1, 10, 100 and 1,000 nodes, and below the last node one more with its teams.
        let parent = (i > 0).then(|| format!("n{}", (i - 1) / 10));
        spec_of_tree
            .nodes
            .push(quota::NodeSpec::new(&format!("n{i}"), parent.as_deref()));
    }
    spec_of_tree
        .nodes
        .push(quota::NodeSpec::new("deep", Some("n1110")));
    spec_of_tree.nodes[0].guarantee = [("cpus".to_owned(), 50_000.0)].into();
    let teams: Vec<quota::Team> = (0..10_000)
        .map(|i| quota::Team::new(&format!("t{i}")))
        .collect();
    for (i, team) in teams.iter().enumerate() {
        let parent = if i % 1000 == 999 {
            "deep".to_owned()
        } else {
            format!("n{}", 111 + i % 1000)
        };
        spec_of_tree
            .teams
            .push(quota::TeamSpec::new(&team.name, Some(&parent)));
    }
    let tree = Arc::new(Tree::build(&spec_of_tree, &teams).expect("good"));
    assert_eq!(tree.levels() + 1, 6);
    let mut shard = Shard::new(
        TokenRange::after(0),
        1,
        0,
        &crate::store::write_limits::WriteLimits::of_values(16.0),
    );
    for i in 0..100_000u32 {
        let spec = spec(i, &teams[i as usize % 10_000].name, 2, 1.0, 0.0);
        shard.add_job(Job::new(JobRecord::new(spec, u64::from(i), 0), 1));
    }
    shard.take_changed_since_plan();
    let mut usage = QuotaUsage::new(&shard, tree);
    let all = usage.live.steps;
    for job_index in [0, 999, 55_555] {
        shard.job_mut(job_index).expect("there").add_claim(0, 7, 1);
        let changed = shard.take_changed_since_plan();
        assert_eq!(changed, [job_index]);
        let before = usage.live.steps;
        usage.update(&shard, changed);
        let steps = usage.live.steps - before;
        assert!(
            steps <= 2 * 7 && steps * 1000 < all,
            "job {job_index}: {steps} steps of {all}"
        );
    }
    assert!(usage.is_consistent(&shard));
    assert_eq!(
        nested_levels(&shard, &open_jobs(&shard), &mut usage.live).len(),
        100_000
    );
}

/// The wait objective of a guarantee is scaled by the share of its due guarantee that the least fulfilled node uses.
/// In a flat tree, and where nothing is due, the share is 1.
#[test]
fn least_fulfilled_node_determines_the_fulfilled_share() {
    let gpus = |n: f64| [("gpus".to_owned(), n)].into();
    let node = |name: &str, parent, n| quota::NodeSpec {
        guarantee: gpus(n),
        ..quota::NodeSpec::new(name, parent)
    };
    let spec = quota::Spec {
        nodes: vec![
            node("house", None, 20.0),
            node("a", Some("house"), 10.0),
            node("b", Some("house"), 10.0),
        ],
        teams: vec![
            quota::TeamSpec::new("ta", Some("a")),
            quota::TeamSpec::new("tb", Some("b")),
        ],
    };
    let teams = ["ta", "tb", "flat"].map(quota::Team::new);
    let mut live = QuotaState::new(Tree::build(&spec, &teams).expect("good").into());
    let at = |n: f64| amount(&[("gpus", n)]);
    for (team, demand, used) in [(0, 10.0, 2.0), (1, 12.0, 8.0), (2, 5.0, 0.0)] {
        live.set_demand(TeamId(team), at(demand));
        live.set_used(TeamId(team), at(used));
    }
    // Node a uses 2 of 10, node b 8 of 10, and their parent 10 of 20.
    assert_eq!(
        [0, 1, 2].map(|t| fulfilled_share(&live, TeamId(t))),
        [0.2, 0.5, 1.0]
    );
    live.set_used(TeamId(0), at(30.0));
    assert_eq!(fulfilled_share(&live, TeamId(0)), 1.0, "never more");
    live.set_demand(TeamId(0), at(0.0));
    live.set_demand(TeamId(1), at(0.0));
    assert_eq!(fulfilled_share(&live, TeamId(1)), 1.0, "nothing is due");
}

/// Arrays are covered task by task, gangs all or nothing, and tasks covered on a level are covered on those above.
#[test]
fn guarantee_levels_cover_tasks_as_far_as_they_fit() {
    let mut left = [share(10), share(6), share(3)];
    let two = resource_amount(1.0, 2.0, 1.0);
    assert_eq!(allocate_levels(&mut left, &two, 4, Kind::Array), [4, 3, 1]);
    // 2, 0 and 1 GPUs are left.
    assert_eq!(
        allocate_levels(&mut left, &resource_amount(0.0, 1.0, 0.0), 2, Kind::Gang),
        [2, 0, 0]
    );
    assert_eq!(
        allocate_levels(&mut left, &resource_amount(0.0, 1.0, 0.0), 1, Kind::Service),
        [1, 1, 1]
    );
    assert_eq!(
        allocate_levels(&mut left, &resource_amount(8.0, 0.0, 1.0), 9, Kind::Array),
        [0, 0, 0],
        "nothing of it is guaranteed"
    );
    let levels = vec![4, 3, 1];
    assert_eq!(
        (0..5)
            .map(|k| covering_levels(&levels, k))
            .collect::<Vec<_>>(),
        [3, 2, 2, 1, 0]
    );
}

fn team(name: &str, cpus: f64, gpus: f64) -> Team {
    Team {
        name: name.into(),
        cpus,
        cpus_max: 0.0,
        gpus,
        gpus_max: 0.0,
    }
}

/// Guards against counting resources that are not guaranteed: GPU jobs of a team that is guaranteed only CPUs were
/// never within its guarantee.
#[test]
fn only_guaranteed_resources_count_against_a_guarantee() {
    let teams = [
        team("cpus", 20.0, 0.0),
        team("gpus", 0.0, 4.0),
        team("both", 20.0, 4.0),
    ];
    let mut shard = Shard::new(
        TokenRange::after(0),
        1,
        0,
        &crate::store::write_limits::WriteLimits::of_values(16.0),
    );
    let jobs = [
        ("cpus", 3, 6.0, 1.0, true), // 18 of 20 CPUs, though no GPU is guaranteed.
        ("cpus", 1, 6.0, 0.0, false), // Beyond the guarantee together with the job before.
        ("gpus", 4, 60.0, 1.0, true), // The CPUs do not count.
        ("gpus", 1, 1.0, 0.0, false), // Uses none of the guaranteed resources.
        ("both", 4, 2.0, 1.0, true), // Fits in both.
        ("both", 1, 2.0, 1.0, false), // No GPU is left.
        ("none", 1, 1.0, 0.0, false), // An unknown team.
    ];
    for (i, (team, tasks, cores, gpus, _)) in jobs.iter().enumerate() {
        let spec = spec(i as u32, team, *tasks, *cores, *gpus);
        shard.add_job(Job::new(JobRecord::new(spec, i as u64, 0), 1));
    }
    let within = within_guarantee(&shard, &open_jobs(&shard), &teams);
    for (i, (team, .., expected)) in jobs.iter().enumerate() {
        assert_eq!(within.contains(&i), *expected, "job {i} of {team}");
    }
}

/// A flat tree with the guarantees of the settings covers the same jobs as no tree, so that plans are identical.
#[test]
fn flat_tree_and_settings_give_the_same_entitlement() {
    let teams = [
        team("a", 20.0, 0.0),
        team("b", 0.3333, 4.0),
        team("c", 0.0, 0.0),
    ];
    let leaves: Vec<quota::Team> = teams
        .iter()
        .map(|t| quota::Team {
            guarantee: [("cpus".to_owned(), t.cpus), ("gpus".to_owned(), t.gpus)].into(),
            ..quota::Team::new(&t.name)
        })
        .collect();
    let mut spec_of_tree = quota::Spec::default();
    spec_of_tree
        .teams
        .extend(["a", "c"].map(|t| quota::TeamSpec::new(t, None)));
    let tree = quota::Tree::build(&spec_of_tree, &leaves).expect("good");
    let active = ActiveTree {
        version: 1,
        spec: spec_of_tree.into(),
        built: tree.into(),
    };
    let index: HashMap<&str, u16> = teams
        .iter()
        .enumerate()
        .map(|(i, t)| (t.name.as_str(), i as u16))
        .collect();
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..200 {
        let mut shard = Shard::new(
            TokenRange::after(0),
            1,
            0,
            &crate::store::write_limits::WriteLimits::of_values(16.0),
        );
        for i in 0..12 {
            let team = ["a", "b", "c"][rng.usize(0..3)];
            let (tasks, cores) = (rng.u32(1..5), [0.1111, 1.0, 6.0][rng.usize(0..3)]);
            let spec = spec(i, team, tasks, cores, f64::from(rng.u32(0..3)));
            shard.add_job(Job::new(JobRecord::new(spec, u64::from(i), 0), 1));
        }
        let without = entitlement(&mut shard, &teams, None, &index);
        let with = entitlement(&mut shard, &teams, Some(&active), &index);
        assert_eq!(without.flat, with.flat);
        assert!(with.nested.is_empty() && with.fulfilled.is_empty() && shard.quota_usage.is_none());
    }
}
