//! A tree in use: what teams ask for and have, and what each is entitled to.
//!
//! A change touches the path from its team to the root and nothing else. What follows for others is worked out when
//! it is asked for, node by node, and kept as long as nothing below that node changes. All that changes stands in
//! persistent vectors: a clone is a snapshot that shares all but what changes later.

use crate::tree::{Leaf, add_amount};
use crate::water_filling::{ChildDemand, FillLevels, fill_levels};
use crate::{Amount, MAX_RESOURCES, NOTHING, NodeId, TeamId, Tree, UNBOUNDED};
use imbl::Vector;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Entitlement by resource; `None` where nothing of a resource is guaranteed at that level.
pub type Share = [Option<i64>; MAX_RESOURCES];

/// What a team wants and has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Count {
    pub demand: Amount,
    pub used: Amount,
}

/// The levels of a node for the budget that came from one node above it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CachedLevels {
    epoch: u64,
    budget: Amount,
    levels: FillLevels,
}

#[derive(Debug, Clone, Default)]
struct NodeState {
    /// What its children could use, each within its own maximum.
    demand: Amount,
    used: Amount,
    /// What of the wants below it its own guarantee covers.
    guaranteed: Amount,
    /// Rises whenever a child wants or has covered something else.
    epoch: u64,
    /// By the depth of the node that the budget came from.
    cached_levels: Vec<Option<CachedLevels>>,
}

#[derive(Debug, Clone)]
pub struct Live {
    tree: Arc<Tree>,
    teams: Vector<Count>,
    nodes: Vector<NodeState>,
    /// Nodes whose cover is to be worked out anew, the deepest first.
    stale: BTreeSet<(Reverse<u8>, NodeId)>,
    /// Work done, in units that do not depend on the machine it runs on.
    pub steps: u64,
}

fn capped(amount: &Amount, max: &Amount) -> Amount {
    std::array::from_fn(|r| amount[r].min(max[r]))
}

impl Live {
    pub fn new(tree: Arc<Tree>) -> Self {
        let teams = tree.leaves.iter().map(|_| Count::default()).collect();
        let nodes = tree.nodes.iter().map(|_| NodeState::default()).collect();
        Live {
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
    pub fn team(&self, team: TeamId) -> Count {
        self.teams[team.0 as usize]
    }
    /// What all below a node use.
    pub fn used(&self, node: NodeId) -> Amount {
        self.nodes[node.0 as usize].used
    }
    /// What all below a node want.
    pub fn wanted(&self, node: NodeId) -> Amount {
        self.nodes[node.0 as usize].demand
    }

    fn leaf(&self, team: TeamId) -> &Leaf {
        &self.tree.leaves[team.0 as usize]
    }

    /// Notes all that a team could use now, what it has included.
    pub fn set_demand(&mut self, team: TeamId, demand: Amount) {
        let (max, mut at) = (self.leaf(team).max, self.leaf(team).parent);
        let count = &mut self.teams[team.0 as usize];
        let (before, after) = (capped(&count.demand, &max), capped(&demand, &max));
        count.demand = demand;
        self.steps += 1;
        let mut change: Amount = std::array::from_fn(|r| after[r] - before[r]);
        while let Some(n) = at
            && change != NOTHING
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

    /// Notes what a team has, on all machines.
    pub fn set_used(&mut self, team: TeamId, used: Amount) {
        let mut at = self.leaf(team).parent;
        let count = &mut self.teams[team.0 as usize];
        let change: Amount = std::array::from_fn(|r| used[r] - count.used[r]);
        count.used = used;
        self.steps += 1;
        while let Some(n) = at
            && change != NOTHING
        {
            self.steps += 1;
            add_amount(&mut self.nodes[n.0 as usize].used, &change);
            at = self.tree.nodes[n.0 as usize].parent;
        }
    }

    /// How much more may start below a node: the least that any bound from it to the root leaves.
    pub fn headroom(&self, node: Option<NodeId>) -> Amount {
        let mut out = [UNBOUNDED; MAX_RESOURCES];
        for n in self.tree.above(node) {
            let (max, used) = (self.tree.nodes[n.0 as usize].max, self.used(n));
            for r in (0..MAX_RESOURCES).filter(|r| max[*r] != UNBOUNDED) {
                out[r] = out[r].min(max[r] - used[r]);
            }
        }
        out
    }

    /// What a team is entitled to when the guarantee of the node at this depth of its path is divided among all
    /// below it; the depth below its last node is the team itself, and its own guarantee. The higher the node, the
    /// more: siblings' leavings come first, then those of its parent's siblings, and so on.
    pub fn entitled(&mut self, team: TeamId, depth: usize) -> Share {
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

    /// Works out what changed since the last time, once for each node, however many changes there were below it.
    pub fn refresh(&mut self) {
        while let Some((Reverse(depth), n)) = self.stale.pop_first() {
            let budget = self.tree.nodes[n.0 as usize].guarantee;
            let levels = self.levels(n, usize::from(depth), budget);
            let mut guaranteed = NOTHING;
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

    /// Bytes that the counts take, without the tree itself.
    pub fn bytes(&self) -> usize {
        let cached_levels: usize = self
            .nodes
            .iter()
            .map(|s| s.cached_levels.capacity() * size_of::<Option<CachedLevels>>())
            .sum();
        self.teams.len() * size_of::<Count>()
            + self.nodes.len() * size_of::<NodeState>()
            + cached_levels
    }
}
