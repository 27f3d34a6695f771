//! Properties of entitlements on generated trees and demands, and a comparison with all divisions of small budgets.

mod common;

use common::trees;
use proptest::prelude::*;
use quota::{Amount, GPUS, NodeId, QuotaState, Spec, Team, TeamId, Tree, ZERO};
use std::sync::Arc;

fn gpus(n: i64) -> Amount {
    let mut out = ZERO;
    out[GPUS] = n * 1000;
    out
}

fn live(spec: &Spec, teams: &[Team], demands: &[i64]) -> QuotaState {
    let tree = Tree::build(spec, teams).unwrap_or_else(|f| panic!("{f:?}"));
    let mut live = QuotaState::new(Arc::new(tree));
    for (i, d) in demands.iter().take(teams.len()).enumerate() {
        live.set_demand(TeamId(i as u32), gpus(*d));
    }
    live
}

/// All teams in the subtree of a node.
fn teams_below(tree: &Tree, node: NodeId) -> Vec<TeamId> {
    (0..tree.leaves.len() as u32)
        .map(TeamId)
        .filter(|t| tree.path(*t).contains(&node))
        .collect()
}

fn entitled(live: &mut QuotaState, team: TeamId, depth: usize) -> i64 {
    live.entitled(team, depth)[GPUS].unwrap_or(0)
}

/// Demand of the subtree of a node, capped at the maximum of the node and of everything below it.
fn capped_demand(live: &QuotaState, node: NodeId) -> i64 {
    live.demand(node)[GPUS].min(live.tree().nodes[node.0 as usize].max[GPUS])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    /// A node's guarantee is divided completely as long as there is demand below it, and never exceeded. Each child's
    /// guarantee serves its own subtree first, and no team gets less than the lesser of its demand and guarantee.
    #[test]
    fn guarantees_are_fully_divided_and_siblings_come_first(
        (spec, teams) in trees(), demands in prop::collection::vec(0..12i64, 7)
    ) {
        let mut live = live(&spec, &teams, &demands);
        let tree = live.tree().clone();
        // Rounding down loses up to a thousandth per child on each level.
        let slack = (tree.nodes.len() + tree.leaves.len()) as i64;
        for n in (0..tree.nodes.len() as u32).map(NodeId) {
            let node = &tree.nodes[n.0 as usize];
            let depth = usize::from(node.depth);
            let sum: i64 =
                teams_below(&tree, n).into_iter().map(|t| entitled(&mut live, t, depth)).sum();
            let whole = node.guarantee[GPUS].min(capped_demand(&live, n));
            prop_assert!(sum <= whole && sum >= whole - slack, "{}: {sum} of {whole}", node.name);
            for c in &node.children {
                let child = &tree.nodes[c.0 as usize];
                let own = child.guarantee[GPUS].min(capped_demand(&live, *c));
                let sum: i64 = teams_below(&tree, *c).into_iter().map(|t| entitled(&mut live, t, depth)).sum();
                prop_assert!(sum >= own - slack, "{} below {}: {sum} of {own}", child.name, node.name);
            }
        }
        for t in (0..tree.leaves.len() as u32).map(TeamId) {
            let leaf = &tree.leaves[t.0 as usize];
            let own = leaf.guarantee[GPUS].min(live.team(t).demand[GPUS]);
            let depths = tree.path(t).len();
            // Rounding down applies once more at each level.
            let mut above = i64::MAX;
            for depth in 0..=depths {
                let allocated = entitled(&mut live, t, depth);
                prop_assert!(
                    allocated >= own && allocated <= above.saturating_add(slack),
                    "{}: {allocated} at {depth}", leaf.name
                );
                above = allocated;
            }
            prop_assert_eq!(above, own, "the last entitlement is from the team's own guarantee");
        }
    }

    /// After any sequence of changes, cached results equal those of a full computation.
    #[test]
    fn incremental_changes_equal_a_full_computation(
        (spec, teams) in trees(), changes in prop::collection::vec((0..7usize, 0..12i64), 1..30)
    ) {
        let mut incremental = live(&spec, &teams, &[]);
        let mut demands = vec![0; teams.len()];
        for (i, d) in changes {
            let t = i % teams.len();
            demands[t] = d;
            incremental.set_demand(TeamId(t as u32), gpus(d));
            incremental.set_used(TeamId(t as u32), gpus(d / 2));
            let snapshot = incremental.clone();
            let mut full = live(&spec, &teams, &demands);
            for t in (0..teams.len() as u32).map(TeamId) {
                for depth in 0..=incremental.tree().path(t).len() {
                    prop_assert_eq!(incremental.entitled(t, depth), full.entitled(t, depth));
                }
            }
            prop_assert_eq!(snapshot.team(TeamId(t as u32)).demand, gpus(d), "a snapshot does not change");
        }
        let tree = incremental.tree().clone();
        for n in (0..tree.nodes.len() as u32).map(NodeId) {
            let sum: i64 = teams_below(&tree, n).into_iter().map(|t| incremental.team(t).used[GPUS]).sum();
            prop_assert_eq!(incremental.used(n)[GPUS], sum, "usage of a node is the sum of its teams");
            let max = tree.nodes[n.0 as usize].max[GPUS];
            prop_assert!(max == quota::UNBOUNDED || incremental.headroom(Some(n))[GPUS] <= max - sum);
        }
    }

    /// Without inner nodes, a team is entitled to exactly its own guarantee.
    #[test]
    fn flat_tree_entitles_each_team_to_its_own_guarantee((mut spec, teams) in trees(), demands in prop::collection::vec(0..12i64, 7)) {
        spec.nodes.clear();
        spec.teams.iter_mut().for_each(|t| t.parent = None);
        let mut live = live(&spec, &teams, &demands);
        for (i, team) in teams.iter().enumerate() {
            let own = team.guarantee.get("gpus").map(|g| (*g as i64).min(live.team(TeamId(i as u32)).demand[GPUS] / 1000));
            prop_assert_eq!(live.entitled(TeamId(i as u32), 0)[GPUS], own.map(|g| g * 1000));
        }
    }

    /// No division into whole units is fairer by weighted max-min fairness, neither among the nodes below the top node
    /// nor among the teams of one of them. Only the top node has a guarantee.
    #[test]
    fn no_other_division_is_fairer(
        budget in 0..12i64,
        desks in prop::collection::vec((1..4u32, prop::collection::vec((0..6i64, 1..4u32), 1..4)), 1..4)
    ) {
        let mut spec = Spec { nodes: vec![quota::NodeSpec::new("house", None)], teams: vec![] };
        spec.nodes[0].guarantee = [("gpus".to_owned(), budget as f64)].into();
        let (mut teams, mut demands) = (Vec::new(), Vec::new());
        for (d, (weight, below)) in desks.iter().enumerate() {
            let desk = format!("d{d}");
            let weight = f64::from(*weight);
            spec.nodes.push(quota::NodeSpec { weight, ..quota::NodeSpec::new(&desk, Some("house")) });
            for (t, (demand, weight)) in below.iter().enumerate() {
                let name = format!("d{d}t{t}");
                let weight = f64::from(*weight);
                spec.teams.push(quota::TeamSpec { weight, ..quota::TeamSpec::new(&name, Some(&desk)) });
                teams.push(Team::new(&name));
                demands.push(*demand);
            }
        }
        let mut live = QuotaState::new(Arc::new(Tree::build(&spec, &teams).expect("good")));
        demands.iter().enumerate().for_each(|(t, d)| live.set_demand(TeamId(t as u32), gpus(*d)));
        let mut allocated = (0..teams.len()).map(|t| entitled(&mut live, TeamId(t as u32), 0) as f64 / 1000.0);
        let allocated: Vec<Vec<f64>> =
            desks.iter().map(|(_, below)| allocated.by_ref().take(below.len()).collect()).collect();
        let sums: Vec<f64> = allocated.iter().map(|of| of.iter().sum()).collect();
        let wants: Vec<(i64, u32)> =
            desks.iter().map(|(weight, below)| (below.iter().map(|(d, _)| d).sum(), *weight)).collect();
        prop_assert_eq!(find_fairer_division(budget, &wants, &sums), None, "desks {:?}", sums);
        for ((_, below), allocated) in desks.iter().zip(&allocated) {
            let own = allocated.iter().sum::<f64>().floor() as i64;
            prop_assert_eq!(find_fairer_division(own, below, allocated), None, "teams {:?}", allocated);
        }
    }
}

/// Finds a division into whole units that is fairer than the given one. `wants` holds demands and weights.
fn find_fairer_division(budget: i64, wants: &[(i64, u32)], allocated: &[f64]) -> Option<Vec<i64>> {
    let weighted_shares = |allocated: &[f64]| {
        let mut out: Vec<f64> = allocated
            .iter()
            .zip(wants)
            .map(|(h, (_, w))| h / f64::from(*w))
            .collect();
        out.sort_by(f64::total_cmp);
        out
    };
    let ours = weighted_shares(allocated);
    let demands: Vec<i64> = wants.iter().map(|(d, _)| *d).collect();
    divisions(budget, &demands).into_iter().find(|other| {
        let theirs = weighted_shares(&other.iter().map(|n| *n as f64).collect::<Vec<_>>());
        // The first share that differs by more than rounding decides.
        let first = ours
            .iter()
            .zip(&theirs)
            .find(|(a, b)| (*a - *b).abs() > 0.01);
        first.is_some_and(|(a, b)| a < b)
    })
}

/// All divisions into whole units that give nobody more than it wants and at most `budget` in total.
fn divisions(budget: i64, wants: &[i64]) -> Vec<Vec<i64>> {
    let Some((first, rest)) = wants.split_first() else {
        return vec![Vec::new()];
    };
    let mut out = Vec::new();
    for n in 0..=(*first).min(budget) {
        for mut tail in divisions(budget - n, rest) {
            tail.insert(0, n);
            out.push(tail);
        }
    }
    out
}

/// With two resources, a team does not get more of a scarce one by demanding another as well, and what one team leaves
/// of a resource is available to the others.
#[test]
fn allocation_follows_the_dominant_share() {
    let mut spec = Spec {
        nodes: vec![quota::NodeSpec::new("n", None)],
        teams: vec![],
    };
    spec.nodes[0].guarantee = quota::Amounts::from([("cpus".into(), 90.0), ("gpus".into(), 18.0)]);
    let teams = [Team::new("a"), Team::new("b")];
    spec.teams = teams
        .iter()
        .map(|t| quota::TeamSpec::new(&t.name, Some("n")))
        .collect();
    let tree = Tree::build(&spec, &teams).expect("good");
    let mut live = QuotaState::new(Arc::new(tree));
    let (a, b) = (TeamId(0), TeamId(1));
    // The example of the dominant resource fairness paper (Ghodsi et al., 2011), ten times as large and with GPUs in
    // place of memory: tasks of 10 CPUs and 4 GPUs against tasks of 30 CPUs and 1 GPU.
    live.set_demand(a, quota::amount(&[("cpus", 1000.0), ("gpus", 400.0)]));
    live.set_demand(b, quota::amount(&[("cpus", 3000.0), ("gpus", 100.0)]));
    let (allocated_a, allocated_b) = (live.entitled(a, 0), live.entitled(b, 0));
    let share = |allocated: Option<i64>, of: i64| allocated.unwrap_or(0) * 100 / (of * 1000);
    assert_eq!(
        (
            share(allocated_a[GPUS], 18),
            share(allocated_b[quota::CPUS], 90)
        ),
        (85, 66),
        "{allocated_a:?} {allocated_b:?}"
    );
    let all = |r: usize| allocated_a[r].unwrap_or(0) + allocated_b[r].unwrap_or(0);
    assert!(
        all(quota::CPUS) >= 89_990 && all(GPUS) >= 17_990,
        "no capacity stays unused while there is demand"
    );
}
