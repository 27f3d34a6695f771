//! A validated, immutable tree, with dense indices for names.

use crate::file::{NODE, TEAM};
use crate::spec::{Amounts, NodeSpec, Over, Spec};
use crate::{
    Amount, COMMON_RESOURCES, MAX_AMOUNT, MAX_DEPTH, MAX_NAME, MAX_NODES, MAX_RESOURCES, MAX_TEAMS,
    UNBOUNDED,
};
use crate::{ZERO, milli};
use document::{Fault, Faults, short};
use std::collections::HashMap;

/// Index of an inner node. Parents have lower indices than their children.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub u32);

/// Index of a team, which is a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamId(pub u32);

/// A team of the settings, with amounts in units. As in the settings, a maximum of 0 means no maximum.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: String,
    pub guarantee: Amounts,
    pub max: Amounts,
}

impl Team {
    /// A team without guarantee or maximum.
    pub fn new(name: &str) -> Self {
        Team {
            name: name.to_owned(),
            guarantee: Amounts::new(),
            max: Amounts::new(),
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    pub name: String,
    pub parent: Option<NodeId>,
    /// Number of inner nodes above this one.
    pub depth: u8,
    pub guarantee: Amount,
    pub max: Amount,
    pub weight: f64,
    pub over: Over,
    pub children: Vec<NodeId>,
    pub teams: Vec<TeamId>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Leaf {
    pub name: String,
    pub parent: Option<NodeId>,
    pub guarantee: Amount,
    pub max: Amount,
    pub weight: f64,
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tree {
    pub resources: Vec<String>,
    pub nodes: Vec<Node>,
    pub leaves: Vec<Leaf>,
    node_ids: HashMap<String, NodeId>,
    team_ids: HashMap<String, TeamId>,
}

impl Tree {
    /// Validates a description against the teams of the settings. Returns all faults, not only the first.
    pub fn build(spec: &Spec, teams: &[Team]) -> Result<Tree, Vec<Fault>> {
        let mut builder = Builder {
            spec,
            faults: Faults::default(),
            tree: Tree::default(),
        };
        builder.check_sizes(teams);
        if builder.faults.is_empty() {
            builder.collect_resources();
            let order = builder.parents_first();
            builder.add_nodes(&order);
            builder.add_teams(teams);
            builder.check_guarantee_sums();
        }
        builder.faults.or(builder.tree)
    }

    pub fn node(&self, name: &str) -> Option<NodeId> {
        self.node_ids.get(name).copied()
    }
    pub fn team(&self, name: &str) -> Option<TeamId> {
        self.team_ids.get(name).copied()
    }
    /// The ancestors of a team, topmost first.
    pub fn path(&self, team: TeamId) -> Vec<NodeId> {
        self.with_ancestors(self.leaves[team.0 as usize].parent)
    }
    /// A node and its ancestors, topmost first.
    pub fn with_ancestors(&self, node: Option<NodeId>) -> Vec<NodeId> {
        let mut out = Vec::new();
        let mut at = node;
        while let Some(n) = at {
            out.push(n);
            at = self.nodes[n.0 as usize].parent;
        }
        out.reverse();
        out
    }
    pub fn resource(&self, name: &str) -> Option<usize> {
        self.resources.iter().position(|r| r == name)
    }
    /// The largest number of inner nodes above a team.
    pub fn levels(&self) -> usize {
        let depth = |p: &Leaf| {
            p.parent
                .map_or(0, |n| usize::from(self.nodes[n.0 as usize].depth) + 1)
        };
        self.leaves.iter().map(depth).max().unwrap_or(0)
    }
}

struct Builder<'a> {
    spec: &'a Spec,
    faults: Faults,
    tree: Tree,
}

/// Where a description has a fault: as a whole, or in the node or team with this index.
#[derive(Clone, Copy)]
enum Place {
    Whole,
    Node(usize),
    Team(usize),
}

impl Builder<'_> {
    fn fault(&mut self, place: Place, field: &str, what: impl Into<String>) {
        let dot = if field.is_empty() { "" } else { "." };
        let (list, i, name) = match place {
            Place::Whole => return self.faults.add(document::Place::Whole, field, what),
            Place::Node(i) => (NODE, i, &self.spec.nodes[i].name),
            Place::Team(i) => (TEAM, i, &self.spec.teams[i].name),
        };
        let path = format!("{list} {:?}{dot}{field}", short(name));
        self.faults.add(document::Place::entry(list, i), path, what);
    }

    fn check_sizes(&mut self, teams: &[Team]) {
        let (nodes, leaves) = (
            self.spec.nodes.len(),
            self.spec.teams.len().max(teams.len()),
        );
        if nodes > MAX_NODES {
            self.fault(
                Place::Whole,
                "node",
                format!("{nodes} nodes; at most {MAX_NODES} are allowed"),
            );
        }
        if leaves > MAX_TEAMS {
            self.fault(
                Place::Whole,
                "team",
                format!("{leaves} teams; at most {MAX_TEAMS} are allowed"),
            );
        }
    }

    fn collect_resources(&mut self) {
        let spec = self.spec;
        let mut all: Vec<String> = COMMON_RESOURCES.iter().map(|c| (*c).to_owned()).collect();
        let of_nodes = spec
            .nodes
            .iter()
            .flat_map(|n| n.guarantee.keys().chain(n.max.keys()));
        let of_teams = spec
            .teams
            .iter()
            .filter_map(|t| t.guarantee.as_ref())
            .flat_map(|g| g.keys());
        for name in of_nodes.chain(of_teams) {
            if !all.contains(name) && all.len() <= MAX_RESOURCES {
                all.push(name.clone());
            }
        }
        if all.len() > MAX_RESOURCES {
            let own = MAX_RESOURCES - COMMON_RESOURCES.len();
            self.fault(
                Place::Whole,
                "",
                format!(
                    "more than {own} resources besides {}",
                    COMMON_RESOURCES.join(", ")
                ),
            );
            all.truncate(MAX_RESOURCES);
        }
        all[COMMON_RESOURCES.len()..].sort();
        self.tree.resources = all;
    }

    /// Validates amounts and converts them to thousandths by resource; `default` applies to those not given.
    fn checked_amounts(
        &mut self,
        place: Place,
        field: &str,
        given: &Amounts,
        default: i64,
    ) -> Amount {
        let mut out = [default; MAX_RESOURCES];
        for (name, units) in given {
            let Some(r) = self.tree.resource(name) else {
                continue;
            };
            if !units.is_finite() || *units < 0.0 || *units > MAX_AMOUNT {
                let what = format!("must be from 0 to {MAX_AMOUNT:e}, is {units}");
                self.fault(place, &format!("{field}.{name}"), what);
            } else {
                out[r] = milli(*units);
            }
        }
        out
    }

    fn check_weight(&mut self, place: Place, weight: f64) {
        if !(weight.is_finite() && (1e-3..=1e6).contains(&weight)) {
            self.fault(
                place,
                "weight",
                format!("must be from 0.001 to 1000000, is {weight}"),
            );
        }
    }

    fn check_name(&mut self, place: Place, name: &str) {
        if name.is_empty() || name.len() > MAX_NAME || name.chars().any(char::is_control) {
            self.fault(
                place,
                "name",
                format!("must be 1 to {MAX_NAME} bytes without control characters"),
            );
        }
    }

    /// Indices of the nodes in an order in which parents come before their children.
    fn parents_first(&mut self) -> Vec<usize> {
        let spec = self.spec;
        let mut index: HashMap<&str, usize> = HashMap::new();
        for (i, n) in spec.nodes.iter().enumerate() {
            self.check_name(Place::Node(i), &n.name);
            if index.insert(&n.name, i).is_some() {
                self.fault(Place::Node(i), "name", "is named twice");
            }
        }
        let mut children: HashMap<usize, Vec<usize>> = HashMap::new();
        let mut order: Vec<usize> = Vec::new();
        for (i, n) in spec.nodes.iter().enumerate() {
            match n.parent.as_deref().map(|p| index.get(p)) {
                None => order.push(i),
                Some(Some(p)) => children.entry(*p).or_default().push(i),
                Some(None) => self.fault(
                    Place::Node(i),
                    "parent",
                    unknown_parent(n.parent.as_deref()),
                ),
            }
        }
        let mut at = 0;
        while at < order.len() {
            order.extend(children.remove(&order[at]).unwrap_or_default());
            at += 1;
        }
        // A node that is not reached from the root is in or below a cycle, or below an unknown parent.
        let mut unreached: Vec<usize> = children.into_values().flatten().collect();
        unreached.sort_unstable();
        for i in unreached {
            if is_in_cycle(spec, &index, i) {
                self.fault(Place::Node(i), "parent", "is in a cycle of parents");
            }
        }
        order
    }

    fn add_nodes(&mut self, order: &[usize]) {
        let spec = self.spec;
        let mut places: Vec<Place> = Vec::new();
        for i in order {
            let (n, place) = (&spec.nodes[*i], Place::Node(*i));
            let parent = n.parent.as_deref().and_then(|p| self.tree.node(p));
            let depth = parent.map_or(0, |p| self.tree.nodes[p.0 as usize].depth.saturating_add(1));
            if usize::from(depth) >= MAX_DEPTH {
                self.fault(
                    place,
                    "parent",
                    format!("is deeper than {MAX_DEPTH} levels"),
                );
            }
            let guarantee = self.checked_amounts(place, "guarantee", &n.guarantee, 0);
            let max = self.checked_amounts(place, "max", &n.max, UNBOUNDED);
            self.check_weight(place, n.weight);
            self.check_guarantee_limit(place, guarantee, max, "its own maximum");
            if let Some(p) = parent {
                let above = self.tree.nodes[p.0 as usize].max;
                self.check_guarantee_limit(place, guarantee, above, "its parent's maximum");
                let bounded = std::array::from_fn(|r| if max[r] == UNBOUNDED { 0 } else { max[r] });
                self.check_max_limit(place, bounded, above);
            }
            let id = NodeId(self.tree.nodes.len() as u32);
            self.tree.node_ids.insert(n.name.clone(), id);
            if let Some(p) = parent {
                self.tree.nodes[p.0 as usize].children.push(id);
            }
            self.tree
                .nodes
                .push(new_node(n, parent, depth, guarantee, max));
            places.push(place);
        }
    }

    fn check_guarantee_limit(
        &mut self,
        place: Place,
        guarantee: Amount,
        max: Amount,
        limit_name: &str,
    ) {
        for r in 0..self.tree.resources.len() {
            if guarantee[r] > max[r] {
                let field = format!("guarantee.{}", self.tree.resources[r]);
                let what = format!(
                    "{} is above {limit_name}, {}",
                    display_units(guarantee[r]),
                    display_units(max[r])
                );
                self.fault(place, &field, what);
            }
        }
    }

    fn check_max_limit(&mut self, place: Place, max: Amount, above: Amount) {
        for r in 0..self.tree.resources.len() {
            if max[r] > above[r] {
                let field = format!("max.{}", self.tree.resources[r]);
                let what = format!(
                    "{} is above its parent's, {}",
                    display_units(max[r]),
                    display_units(above[r])
                );
                self.fault(place, &field, what);
            }
        }
    }

    /// Adds the teams that the description names, then all others directly below the root.
    fn add_teams(&mut self, teams: &[Team]) {
        let spec = self.spec;
        let by_name: HashMap<&str, &Team> = teams.iter().map(|t| (t.name.as_str(), t)).collect();
        for (i, t) in spec.teams.iter().enumerate() {
            let place = Place::Team(i);
            self.check_weight(place, t.weight);
            if self.tree.team_ids.contains_key(&t.name) {
                self.fault(place, "name", "is named twice");
                continue;
            }
            let Some(team) = by_name.get(t.name.as_str()) else {
                self.fault(place, "name", "is no team of the settings");
                continue;
            };
            let parent = t.parent.as_deref().and_then(|p| self.tree.node(p));
            if t.parent.is_some() && parent.is_none() {
                self.fault(place, "parent", unknown_parent(t.parent.as_deref()));
            }
            let settings_guarantee = self.checked_amounts(place, "guarantee", &team.guarantee, 0);
            let guarantee = match &t.guarantee {
                Some(own) => {
                    let own = self.checked_amounts(place, "guarantee", own, 0);
                    self.check_guarantee_limit(
                        place,
                        own,
                        settings_guarantee,
                        "what the settings guarantee",
                    );
                    own
                }
                None => settings_guarantee,
            };
            self.add_leaf(team, parent, guarantee, t.weight);
        }
        for team in teams {
            if !self.tree.team_ids.contains_key(&team.name) {
                let guarantee =
                    self.checked_amounts(Place::Whole, "settings.teams", &team.guarantee, 0);
                self.add_leaf(team, None, guarantee, 1.0);
            }
        }
    }

    fn add_leaf(&mut self, team: &Team, parent: Option<NodeId>, guarantee: Amount, weight: f64) {
        let mut max = self.checked_amounts(Place::Whole, "settings.teams", &team.max, 0);
        max.iter_mut()
            .filter(|m| **m == 0)
            .for_each(|m| *m = UNBOUNDED);
        let id = TeamId(self.tree.leaves.len() as u32);
        self.tree.team_ids.insert(team.name.clone(), id);
        if let Some(p) = parent {
            self.tree.nodes[p.0 as usize].teams.push(id);
        }
        self.tree.leaves.push(Leaf {
            name: team.name.clone(),
            parent,
            guarantee,
            max,
            weight,
        });
    }

    /// Checks that the guarantees of a node's children add up to no more than its own.
    fn check_guarantee_sums(&mut self) {
        let mut sums = vec![ZERO; self.tree.nodes.len()];
        let inner = self.tree.nodes.iter().map(|n| (n.parent, n.guarantee));
        let leaves = self.tree.leaves.iter().map(|l| (l.parent, l.guarantee));
        for (parent, guarantee) in inner.chain(leaves) {
            if let Some(p) = parent {
                add_amount(&mut sums[p.0 as usize], &guarantee);
            }
        }
        for (id, sum) in sums.into_iter().enumerate() {
            let own = self.tree.nodes[id].guarantee;
            for r in 0..self.tree.resources.len() {
                if sum[r] > own[r] {
                    let name = &self.tree.nodes[id].name;
                    let at = self.spec.nodes.iter().position(|n| n.name == *name);
                    let place = at.map_or(Place::Whole, Place::Node);
                    let field = format!("guarantee.{}", self.tree.resources[r]);
                    let over = display_units(sum[r] - own[r]);
                    let what = format!(
                        "its children are guaranteed {}, {over} more than its own {}",
                        display_units(sum[r]),
                        display_units(own[r])
                    );
                    self.fault(place, &field, what);
                }
            }
        }
    }
}

fn new_node(
    n: &NodeSpec,
    parent: Option<NodeId>,
    depth: u8,
    guarantee: Amount,
    max: Amount,
) -> Node {
    Node {
        name: n.name.clone(),
        parent,
        depth,
        guarantee,
        max,
        weight: n.weight,
        over: n.over,
        children: Vec::new(),
        teams: Vec::new(),
    }
}

/// Whether following the parents of a node leads back to it.
fn is_in_cycle(spec: &Spec, index: &HashMap<&str, usize>, from: usize) -> bool {
    let mut at = from;
    for _ in 0..spec.nodes.len() {
        let Some(parent) = spec.nodes[at].parent.as_deref().and_then(|p| index.get(p)) else {
            return false;
        };
        if *parent == from {
            return true;
        }
        at = *parent;
    }
    false
}

fn unknown_parent(parent: Option<&str>) -> String {
    format!(
        "{:?} is no node of this tree",
        short(parent.unwrap_or_default())
    )
}

/// Formats thousandths as units.
pub(crate) fn display_units(milli: i64) -> String {
    if milli == UNBOUNDED {
        "none".to_owned()
    } else {
        (milli as f64 / 1000.0).to_string()
    }
}

pub(crate) fn add_amount(sum: &mut Amount, amount: &Amount) {
    sum.iter_mut()
        .zip(amount)
        .for_each(|(a, b)| *a = a.saturating_add(*b));
}
