//! Compares the cost of a change in a large tree with a full recomputation. The last line of output is JSON.

use quota::{Amounts, NodeSpec, QuotaState, Spec, Team, TeamId, TeamSpec, Tree, amount};
use std::sync::Arc;

const TEAMS: usize = 10_000;
/// Levels of the tree: the inner nodes above a team, and the team itself.
const LEVELS: usize = 6;
const CHANGES: usize = 5_000;

/// A tree with the same branching factor at every level.
fn balanced_tree() -> (Spec, Vec<Team>) {
    let branch = (TEAMS as f64).powf(1.0 / LEVELS as f64);
    let mut spec = Spec::default();
    let mut parents: Vec<Option<String>> = vec![None];
    let units = |n: f64| Amounts::from([("cpus".to_owned(), n * 8.0), ("gpus".to_owned(), n)]);
    for level in 1..LEVELS {
        let count = branch.powi(level as i32).round() as usize;
        let mut names = Vec::new();
        for i in 0..count {
            let parent = parents[i * parents.len() / count].clone();
            let mut node = NodeSpec::new(&format!("l{level}-{i}"), parent.as_deref());
            node.weight = 1.0 + (i % 3) as f64;
            names.push(Some(node.name.clone()));
            spec.nodes.push(node);
        }
        parents = names;
    }
    let teams: Vec<Team> = (0..TEAMS)
        .map(|i| Team {
            guarantee: units(2.0),
            ..Team::new(&format!("team-{i}"))
        })
        .collect();
    for (i, team) in teams.iter().enumerate() {
        spec.teams.push(TeamSpec::new(
            &team.name,
            parents[i * parents.len() / TEAMS].as_deref(),
        ));
    }
    // Each node is guaranteed 25% more than the sum of its children.
    let mut child_guarantees: std::collections::HashMap<String, f64> = Default::default();
    spec.teams.iter().for_each(|t| {
        *child_guarantees
            .entry(t.parent.clone().unwrap_or_default())
            .or_default() += 2.0
    });
    for node in spec.nodes.iter_mut().rev() {
        let own = child_guarantees.get(&node.name).copied().unwrap_or(0.0) * 1.25;
        node.guarantee = units(own);
        *child_guarantees
            .entry(node.parent.clone().unwrap_or_default())
            .or_default() += own;
    }
    (spec, teams)
}

fn main() {
    let (spec, teams) = balanced_tree();
    let tree = Tree::build(&spec, &teams).unwrap_or_else(|f| panic!("{}", f[0]));
    let mut live = QuotaState::new(Arc::new(tree));
    let mut rng = fastrand::Rng::with_seed(1);
    for t in 0..TEAMS {
        let gpus = rng.u32(0..6);
        live.set_demand(
            TeamId(t as u32),
            amount(&[("cpus", f64::from(gpus * 8)), ("gpus", f64::from(gpus))]),
        );
    }
    live.refresh();
    let entitled_sum = |live: &mut QuotaState| {
        let before = live.steps;
        let sum: i64 = (0..TEAMS as u32)
            .filter_map(|t| live.entitled(TeamId(t), 0)[quota::GPUS])
            .sum();
        (live.steps - before, sum)
    };
    let full_steps = live.steps;
    let (query_all_steps, _) = entitled_sum(&mut live);
    let mut updates: Vec<u64> = Vec::with_capacity(CHANGES);
    for _ in 0..CHANGES {
        let gpus = rng.u32(0..6);
        let team = TeamId(rng.u32(0..TEAMS as u32));
        let before = live.steps;
        live.set_demand(
            team,
            amount(&[("cpus", f64::from(gpus * 8)), ("gpus", f64::from(gpus))]),
        );
        live.refresh();
        updates.push(live.steps - before);
    }
    updates.sort_unstable();
    let (_, sum) = entitled_sum(&mut live);
    // A recomputation from the same demands must give the same result.
    let mut recomputed = QuotaState::new(live.tree().clone());
    (0..TEAMS as u32)
        .map(TeamId)
        .for_each(|t| recomputed.set_demand(t, live.team(t).demand));
    assert_eq!(
        entitled_sum(&mut recomputed).1,
        sum,
        "incremental and full computation differ"
    );
    let p99 = updates[updates.len() * 99 / 100];
    eprintln!(
        "querying the entitlements of all teams took {query_all_steps} steps; {} inner nodes",
        spec.nodes.len()
    );
    println!(
        "{{\"teams\":{TEAMS},\"levels\":{},\"update_steps_p50\":{},\"update_steps_p99\":{p99},\"full_steps\":{full_steps},\"bytes_per_team\":{},\"incremental_ratio\":{:.0}}}",
        live.tree().levels() + 1,
        updates[updates.len() / 2],
        live.bytes() / TEAMS,
        full_steps as f64 / p99 as f64
    );
}
