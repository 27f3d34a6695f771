//! A tree in use: the demand and usage of its teams, and their entitlements.
//!
//! A change updates only the path from its team to the root. The effect on other teams is computed lazily, node by
//! node, and cached until something below that node changes. Mutable state is kept in persistent vectors, so a clone
//! is a cheap snapshot that shares everything that does not change afterwards.

use crate::tree::{Leaf, add_amount};
use crate::water_filling::{ChildDemand, FillLevels, fill_levels};
use crate::{Amount, MAX_RESOURCES, NodeId, TeamId, Tree, UNBOUNDED, ZERO};
use imbl::Vector;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Entitlement by resource; `None` if the node that it comes from guarantees nothing of the resource.
pub type EntitledAmounts = [Option<i64>; MAX_RESOURCES];

/// Demand and usage of a team.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TeamUsage {
    pub demand: Amount,
    pub used: Amount,
}

/// Cached fill levels of a node, for a budget that comes from one node of its path.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CachedLevels {
    epoch: u64,
    budget: Amount,
    levels: FillLevels,
}

#[derive(Debug, Clone, Default)]
struct NodeState {
    /// Demand of all children, each capped at its own maximum.
    demand: Amount,
    used: Amount,
    /// The part of the demand that the node's own guarantee covers.
    guaranteed: Amount,
    /// Incremented when the demand or the guaranteed part of a child changes; invalidates cached levels.
    epoch: u64,
    /// Indexed by the depth of the node that the budget comes from.
    cached_levels: Vec<Option<CachedLevels>>,
}

#[derive(Debug, Clone)]
pub struct QuotaState {
    tree: Arc<Tree>,
    teams: Vector<TeamUsage>,
    nodes: Vector<NodeState>,
    /// Nodes whose `guaranteed` amount has to be recomputed, deepest first.
    stale: BTreeSet<(Reverse<u8>, NodeId)>,
    /// Steps of computation so far: a measure of work that does not depend on the hardware.
    pub steps: u64,
}

fn capped(amount: &Amount, max: &Amount) -> Amount {
    std::array::from_fn(|r| amount[r].min(max[r]))
}

impl QuotaState {
    pub fn new(tree: Arc<Tree>) -> Self {
        let teams = tree.leaves.iter().map(|_| TeamUsage::default()).collect();
        let nodes = tree.nodes.iter().map(|_| NodeState::default()).collect();
        QuotaState {
            tree,
            teams,
            nodes,
            stale: BTreeSet::new(),
            steps: 0,
        }
    }

    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }
    pub fn team(&self, team: TeamId) -> TeamUsage {
        self.teams[team.0 as usize]
    }
    /// Total usage below a node.
    pub fn used(&self, node: NodeId) -> Amount {
        self.nodes[node.0 as usize].used
    }
    /// Total demand below a node, with each child capped at its maximum.
    pub fn demand(&self, node: NodeId) -> Amount {
        self.nodes[node.0 as usize].demand
    }

    fn leaf(&self, team: TeamId) -> &Leaf {
        &self.tree.leaves[team.0 as usize]
    }

    /// Sets the demand of a team, including what it already uses.
    pub fn set_demand(&mut self, team: TeamId, demand: Amount) {
        let (max, mut at) = (self.leaf(team).max, self.leaf(team).parent);
        let count = &mut self.teams[team.0 as usize];
        let (before, after) = (capped(&count.demand, &max), capped(&demand, &max));
        count.demand = demand;
        self.steps += 1;
        let mut change: Amount = std::array::from_fn(|r| after[r] - before[r]);
        while let Some(n) = at
            && change != ZERO
        {
            self.steps += 1;
            let node = &self.tree.nodes[n.0 as usize];
            let state = &mut self.nodes[n.0 as usize];
            let before = capped(&state.demand, &node.max);
            add_amount(&mut state.demand, &change);
            let after = capped(&state.demand, &node.max);
            change = std::array::from_fn(|r| after[r] - before[r]);
            state.epoch += 1;
            self.stale.insert((Reverse(node.depth), n));
            at = node.parent;
        }
    }

    /// Sets the usage of a team, over all machines.
    pub fn set_used(&mut self, team: TeamId, used: Amount) {
        let mut at = self.leaf(team).parent;
        let count = &mut self.teams[team.0 as usize];
        let change: Amount = std::array::from_fn(|r| used[r] - count.used[r]);
        count.used = used;
        self.steps += 1;
        while let Some(n) = at
            && change != ZERO
        {
            self.steps += 1;
            add_amount(&mut self.nodes[n.0 as usize].used, &change);
            at = self.tree.nodes[n.0 as usize].parent;
        }
    }

    /// How much more may start below a node: the least that is left under any maximum from it to the root.
    pub fn headroom(&self, node: Option<NodeId>) -> Amount {
        let mut out = [UNBOUNDED; MAX_RESOURCES];
        for n in self.tree.with_ancestors(node) {
            let (max, used) = (self.tree.nodes[n.0 as usize].max, self.used(n));
            for r in (0..MAX_RESOURCES).filter(|r| max[*r] != UNBOUNDED) {
                out[r] = out[r].min(max[r] - used[r]);
            }
        }
        out
    }

    /// The entitlement of a team when the guarantee of the node at this depth of its path is divided among all teams
    /// below that node. The depth after the last node stands for the team itself and its own guarantee. A higher node
    /// entitles to at least as much, as unused guarantees of siblings are added first, then those of the parent's
    /// siblings, and so on.
    pub fn entitled(&mut self, team: TeamId, depth: usize) -> EntitledAmounts {
        self.refresh();
        let path = self.tree.path(team);
        let Some(origin) = path.get(depth) else {
            let leaf = self.leaf(team);
            let guaranteed = self.team_demand(team).guaranteed;
            return std::array::from_fn(|r| (leaf.guarantee[r] > 0).then_some(guaranteed[r]));
        };
        let guarantee = self.tree.nodes[origin.0 as usize].guarantee;
        let mut budget = guarantee;
        for (i, n) in path.iter().enumerate().skip(depth) {
            let levels = self.levels(*n, depth, budget);
            let child = path
                .get(i + 1)
                .map_or_else(|| self.team_demand(team), |c| self.node_demand(*c));
            budget = child.allocation(&budget, &levels);
        }
        std::array::from_fn(|r| (guarantee[r] > 0).then_some(budget[r]))
    }

    /// Recomputes the guaranteed amounts of changed nodes, once per node however many changes there were below it.
    pub fn refresh(&mut self) {
        while let Some((Reverse(depth), n)) = self.stale.pop_first() {
            let budget = self.tree.nodes[n.0 as usize].guarantee;
            let levels = self.levels(n, usize::from(depth), budget);
            let mut guaranteed = ZERO;
            for child in self.child_demands(n) {
                add_amount(&mut guaranteed, &child.allocation(&budget, &levels));
            }
            if self.nodes[n.0 as usize].guaranteed != guaranteed {
                self.nodes[n.0 as usize].guaranteed = guaranteed;
                if let Some(p) = self.tree.nodes[n.0 as usize].parent {
                    self.nodes[p.0 as usize].epoch += 1;
                    self.stale
                        .insert((Reverse(self.tree.nodes[p.0 as usize].depth), p));
                }
            }
        }
    }

    fn levels(&mut self, n: NodeId, origin_depth: usize, budget: Amount) -> FillLevels {
        let state = &self.nodes[n.0 as usize];
        self.steps += 1;
        if let Some(Some(cached)) = state.cached_levels.get(origin_depth)
            && (cached.epoch, cached.budget) == (state.epoch, budget)
        {
            return cached.levels;
        }
        let epoch = state.epoch;
        let levels = fill_levels(&budget, &self.child_demands(n), &mut self.steps);
        let cached_levels = &mut self.nodes[n.0 as usize].cached_levels;
        if cached_levels.len() <= origin_depth {
            cached_levels.resize(origin_depth + 1, None);
        }
        cached_levels[origin_depth] = Some(CachedLevels {
            epoch,
            budget,
            levels,
        });
        levels
    }

    fn child_demands(&self, n: NodeId) -> Vec<ChildDemand> {
        let node = &self.tree.nodes[n.0 as usize];
        let inner = node.children.iter().map(|c| self.node_demand(*c));
        inner
            .chain(node.teams.iter().map(|t| self.team_demand(*t)))
            .collect()
    }

    fn node_demand(&self, n: NodeId) -> ChildDemand {
        let (node, state) = (&self.tree.nodes[n.0 as usize], &self.nodes[n.0 as usize]);
        ChildDemand {
            guaranteed: state.guaranteed,
            demand: capped(&state.demand, &node.max),
            weight: node.weight,
        }
    }

    fn team_demand(&self, team: TeamId) -> ChildDemand {
        let leaf = self.leaf(team);
        let demand = capped(&self.teams[team.0 as usize].demand, &leaf.max);
        ChildDemand {
            guaranteed: capped(&demand, &leaf.guarantee),
            demand,
            weight: leaf.weight,
        }
    }

    /// Approximate memory of the mutable state in bytes, without the tree itself.
    pub fn bytes(&self) -> usize {
        let cached_levels: usize = self
            .nodes
            .iter()
            .map(|s| s.cached_levels.capacity() * size_of::<Option<CachedLevels>>())
            .sum();
        self.teams.len() * size_of::<TeamUsage>()
            + self.nodes.len() * size_of::<NodeState>()
            + cached_levels
    }
}
