//! Fair share in the quota tree: how much of its due guarantee a team uses, and the tree in the planner's form.

use quota::{Amount, MAX_RESOURCES, QuotaState, TeamId, Tree, ZERO};
use std::collections::HashMap;

/// The used share of the guarantee that is due to a node above the team, for the least fulfilled of them; at most 1.
/// The wait objective of guaranteed work is scaled by it, so that the least fulfilled team has the earliest deadline.
pub(super) fn fulfilled_share(live: &QuotaState, team: TeamId) -> f64 {
    let tree = live.tree();
    let node = |n: &quota::NodeId| {
        let guarantee = tree.nodes[n.0 as usize].guarantee;
        let (used, wanted) = (live.used(*n), live.demand(*n));
        let due: Amount = std::array::from_fn(|r| guarantee[r].min(wanted[r]));
        let shares = (0..MAX_RESOURCES).filter(|r| due[*r] > 0);
        shares
            .map(|r| used[r] as f64 / due[r] as f64)
            .fold(None, |a: Option<f64>, b| Some(a.map_or(b, |a| a.max(b))))
    };
    tree.path(team).iter().filter_map(node).fold(1.0, f64::min)
}

/// Whether the team or the root of its path has a guarantee. A team outside any node counts as having
/// one.
fn may_have_guarantee(tree: &Tree, team: TeamId) -> bool {
    let leaf = &tree.leaves[team.0 as usize];
    let path = tree.path(team);
    path.is_empty() || leaf.guarantee != ZERO || tree.nodes[path[0].0 as usize].guarantee != ZERO
}

/// Teams without a guarantee of their own or at the root of their path.
pub(super) fn unguaranteed_teams(tree: &Tree, teams: &HashMap<&str, u16>) -> Vec<u16> {
    let lacks_guarantee = |name: &str| {
        tree.team(name)
            .is_some_and(|t| !may_have_guarantee(tree, t))
    };
    teams
        .iter()
        .filter(|(name, _)| lacks_guarantee(name))
        .map(|(_, t)| *t)
        .collect()
}

/// The tree's nodes as groups of the planner. All claims below a node count against its maximum.
pub(super) fn planner_groups(tree: &Tree, live: &QuotaState) -> Vec<plan::Group> {
    let units = |v: i64| {
        if v == quota::UNBOUNDED {
            f64::INFINITY
        } else {
            v as f64 / 1000.0
        }
    };
    let res = |a: &Amount| plan::Resources {
        cores: units(a[quota::CPUS]),
        gpus: units(a[quota::GPUS]),
        mem: units(a[quota::MEMORY_GB]),
    };
    let group = |(i, node): (usize, &quota::Node)| plan::Group {
        used: res(&live.used(quota::NodeId(i as u32))),
        max: res(&node.max),
        preempts_excess: node.over == quota::Over::Reclaim,
    };
    tree.nodes.iter().enumerate().map(group).collect()
}
