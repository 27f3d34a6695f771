//! Reports for operators on the nodes and teams of a tree in use.

use crate::tree::display_units;
use crate::{Amount, Amounts, MAX_RESOURCES, NodeId, QuotaState, TeamId, UNBOUNDED};
use serde::{Deserialize, Serialize};

/// Current state of a node or team; amounts in units.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Standing {
    pub name: String,
    /// Number of inner nodes above it.
    pub depth: usize,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    pub guarantee: Amounts,
    /// Only the resources that have a maximum.
    pub max: Amounts,
    pub weight: f64,
    pub used: Amounts,
    /// Demand, including what is used.
    pub wanted: Amounts,
}

/// Explains why a team's work waits; amounts in units.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Why {
    pub team: String,
    /// The team's ancestors, topmost first.
    pub path: Vec<String>,
    pub used: Amounts,
    pub wanted: Amounts,
    /// The team's entitlement from the guarantee of each node on its path, and finally from its own.
    pub entitled: Vec<(String, Amounts)>,
    /// Nodes on the path, or the team itself, whose maximum leaves no room for the demand.
    pub bounded_by: Vec<String>,
    /// Siblings of the team and of its ancestors that use more than their guarantee, with the excess. The nearest come
    /// first: borrowed capacity is reclaimed from them first.
    pub borrowed: Vec<(String, Amounts)>,
    /// What the team lacks of its entitlements: this much is reclaimed from borrowers.
    pub short: Amounts,
}

fn amounts_by_name(live: &QuotaState, amount: &Amount) -> Amounts {
    let names = live.tree().resources.iter().zip(amount);
    let named = names.filter(|(_, v)| **v != 0 && **v != UNBOUNDED);
    named
        .map(|(name, v)| (name.clone(), *v as f64 / 1000.0))
        .collect()
}

impl QuotaState {
    /// The state of all nodes, parents first.
    pub fn nodes(&self) -> Vec<Standing> {
        let row = |(i, n): (usize, &crate::Node)| {
            let id = NodeId(i as u32);
            Standing {
                name: n.name.clone(),
                depth: usize::from(n.depth),
                parent: n
                    .parent
                    .map(|p| self.tree().nodes[p.0 as usize].name.clone()),
                guarantee: amounts_by_name(self, &n.guarantee),
                max: amounts_by_name(self, &n.max),
                weight: n.weight,
                used: amounts_by_name(self, &self.used(id)),
                wanted: amounts_by_name(self, &self.demand(id)),
            }
        };
        self.tree().nodes.iter().enumerate().map(row).collect()
    }

    pub fn teams(&self) -> Vec<Standing> {
        let row = |(i, l): (usize, &crate::tree::Leaf)| {
            let count = self.team(TeamId(i as u32));
            let parent = l.parent.map(|p| &self.tree().nodes[p.0 as usize]);
            Standing {
                name: l.name.clone(),
                depth: parent.map_or(0, |p| usize::from(p.depth) + 1),
                parent: parent.map(|p| p.name.clone()),
                guarantee: amounts_by_name(self, &l.guarantee),
                max: amounts_by_name(self, &l.max),
                weight: l.weight,
                used: amounts_by_name(self, &count.used),
                wanted: amounts_by_name(self, &count.demand),
            }
        };
        self.tree().leaves.iter().enumerate().map(row).collect()
    }

    pub fn explain_wait(&mut self, team: TeamId) -> Why {
        let tree = self.tree().clone();
        let leaf = &tree.leaves[team.0 as usize];
        let path = tree.path(team);
        let count = self.team(team);
        let name = |n: &NodeId| tree.nodes[n.0 as usize].name.clone();
        let mut entitled = Vec::new();
        let mut highest_share = [0; MAX_RESOURCES];
        let mut is_guaranteed = [false; MAX_RESOURCES];
        for depth in 0..=path.len() {
            let share = self.entitled(team, depth);
            (0..MAX_RESOURCES).for_each(|r| is_guaranteed[r] |= share[r].is_some());
            let share = share.map(|v| v.unwrap_or(0));
            (0..MAX_RESOURCES).for_each(|r| highest_share[r] = highest_share[r].max(share[r]));
            entitled.push((
                path.get(depth).map_or_else(|| leaf.name.clone(), name),
                amounts_by_name(self, &share),
            ));
        }
        let short: Amount =
            std::array::from_fn(|r| (highest_share[r].min(count.demand[r]) - count.used[r]).max(0));
        let mut bounded_by = Vec::new();
        let is_waiting_for = |r: usize| count.demand[r] > count.used[r];
        let exhausted_resource = |max: &Amount, used: &Amount| {
            (0..MAX_RESOURCES).find(|r| is_waiting_for(*r) && used[*r] >= max[*r])
        };
        let bounds = path
            .iter()
            .map(|n| (name(n), tree.nodes[n.0 as usize].max, self.used(*n)));
        for (who, max, used) in bounds.chain([(leaf.name.clone(), leaf.max, count.used)]) {
            if let Some(r) = exhausted_resource(&max, &used) {
                let (has, limit) = (display_units(used[r]), display_units(max[r]));
                bounded_by.push(format!(
                    "{who}: uses {has} of at most {limit} {}",
                    tree.resources[r]
                ));
            }
        }
        Why {
            team: leaf.name.clone(),
            path: path.iter().map(name).collect(),
            used: amounts_by_name(self, &count.used),
            wanted: amounts_by_name(self, &count.demand),
            entitled,
            bounded_by,
            borrowed: self.borrowers(team, &path, &is_guaranteed),
            short: amounts_by_name(self, &short),
        }
    }

    /// Siblings of the team, then of its parent and so on, that use more than their guarantee. Counts only resources
    /// in which the team or a node on its path has a guarantee.
    fn borrowers(
        &self,
        team: TeamId,
        path: &[NodeId],
        is_guaranteed: &[bool],
    ) -> Vec<(String, Amounts)> {
        let tree = self.tree();
        let above_guarantee = |used: &Amount, own: &Amount| {
            std::array::from_fn(|r| {
                if is_guaranteed[r] {
                    (used[r] - own[r]).max(0)
                } else {
                    0
                }
            })
        };
        let mut out = Vec::new();
        for level in (0..=path.len()).rev() {
            let parent = level.checked_sub(1).map(|l| path[l]);
            let teams = tree
                .leaves
                .iter()
                .enumerate()
                .filter(|(i, l)| l.parent == parent && *i != team.0 as usize);
            let teams = teams.map(|(i, l)| {
                (
                    l.name.clone(),
                    above_guarantee(&self.team(TeamId(i as u32)).used, &l.guarantee),
                )
            });
            let inner = tree.nodes.iter().enumerate();
            let inner = inner
                .filter(|(i, n)| n.parent == parent && path.get(level) != Some(&NodeId(*i as u32)));
            let inner = inner.map(|(i, n)| {
                (
                    n.name.clone(),
                    above_guarantee(&self.used(NodeId(i as u32)), &n.guarantee),
                )
            });
            let borrowers = teams
                .chain(inner)
                .filter(|(_, over): &(String, Amount)| over.iter().any(|v| *v > 0));
            out.extend(borrowers.map(|(name, over)| (name, amounts_by_name(self, &over))));
        }
        out
    }
}
