//! YARN's queues over the quota tree: members and desks are queues, teams are the leaves that take applications.

use crate::config::Config;
use quota::{NodeId, Tree};
use std::collections::BTreeMap;
use wire::settings::Settings;

pub const ROOT: &str = "root";

#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    pub path: String,
    pub parent: Option<usize>,
    pub children: Vec<usize>,
    /// The team whose work goes in here.
    pub team: Option<String>,
    /// Guarantee and maximum as shares of the parent's guarantee, 0 to 1; maximum 1 where there is none.
    pub capacity: f32,
    pub maximum: f32,
}

impl Queue {
    pub fn name(&self) -> &str {
        self.path.rsplit('.').next().unwrap_or(&self.path)
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queues {
    pub all: Vec<Queue>,
    by_path: BTreeMap<String, usize>,
    /// Own names; none where several queues have the same.
    by_name: BTreeMap<String, Option<usize>>,
}

/// What stands for a node's or team's size: the largest of its guaranteed amounts, in thousandths.
fn size(amount: &quota::Amount) -> f32 {
    amount
        .iter()
        .filter(|a| **a != quota::UNBOUNDED)
        .copied()
        .max()
        .unwrap_or(0) as f32
}

impl Queues {
    /// The tree in force, or all teams below the root, and the operators' own names for teams.
    pub fn new(settings: &Settings, tree: Option<&Tree>, config: &Config) -> Queues {
        let mut queues = Queues::default();
        queues.add(None, ROOT, None, 1.0, 1.0);
        match tree {
            Some(tree) => queues.add_tree(tree, 0, None),
            None => {
                let share = 1.0 / settings.cluster.teams.len().max(1) as f32;
                for team in &settings.cluster.teams {
                    queues.add(Some(0), &team.name, Some(&team.name), share, 1.0);
                }
            }
        }
        let teams: Vec<&str> = settings
            .cluster
            .teams
            .iter()
            .map(|t| t.name.as_str())
            .collect();
        for (path, team) in &config.queues {
            if teams.contains(&team.as_str()) {
                queues.add_path(path, team);
            } else {
                log::error!("yarn: [queues] {path}: the settings have no team {team:?}");
            }
        }
        queues
    }

    fn add(
        &mut self,
        parent: Option<usize>,
        name: &str,
        team: Option<&str>,
        capacity: f32,
        maximum: f32,
    ) -> usize {
        let path = parent.map_or(name.to_owned(), |p| format!("{}.{name}", self.all[p].path));
        let at = self.all.len();
        if let Some(p) = parent {
            self.all[p].children.push(at);
        }
        self.by_path.insert(path.clone(), at);
        self.by_name
            .entry(name.to_owned())
            .and_modify(|known| *known = None)
            .or_insert(Some(at));
        let team = team.map(str::to_owned);
        self.all.push(Queue {
            path,
            parent,
            children: Vec::new(),
            team,
            capacity,
            maximum,
        });
        at
    }

    fn add_tree(&mut self, tree: &Tree, under: usize, node: Option<NodeId>) {
        let nodes: Vec<(usize, &quota::Node)> = tree
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| n.parent == node)
            .collect();
        let leaves: Vec<_> = tree.leaves.iter().filter(|l| l.parent == node).collect();
        let sum = nodes
            .iter()
            .map(|(_, n)| size(&n.guarantee))
            .chain(leaves.iter().map(|l| size(&l.guarantee)));
        let whole = node
            .map_or(sum.sum(), |n| size(&tree.nodes[n.0 as usize].guarantee))
            .max(1.0);
        let maximum = |max: &quota::Amount| match size(max) {
            m if m > 0.0 => (m / whole).min(1.0),
            _ => 1.0,
        };
        for (i, n) in nodes {
            let at = self.add(
                Some(under),
                &n.name,
                None,
                size(&n.guarantee) / whole,
                maximum(&n.max),
            );
            self.add_tree(tree, at, Some(NodeId(i as u32)));
        }
        for l in leaves {
            self.add(
                Some(under),
                &l.name,
                Some(&l.name),
                size(&l.guarantee) / whole,
                maximum(&l.max),
            );
        }
    }

    /// A queue of the operators' own, with those above it.
    fn add_path(&mut self, path: &str, team: &str) {
        let mut at = 0;
        let names = path
            .strip_prefix("root.")
            .unwrap_or(path)
            .split('.')
            .filter(|n| !n.is_empty());
        for name in names {
            let full = format!("{}.{name}", self.all[at].path);
            at = match self.by_path.get(&full) {
                Some(known) => *known,
                None => self.add(Some(at), name, None, 0.0, 1.0),
            };
        }
        if at != 0 && self.all[at].children.is_empty() {
            self.all[at].team = Some(team.to_owned());
        } else {
            log::error!("yarn: [queues] {path}: other queues are below it, so it takes no work");
        }
    }

    /// A queue by its path, with or without `root`, or by its own name where only one has it.
    pub fn find(&self, name: &str) -> Option<&Queue> {
        let full = |p: &str| self.by_path.get(p).map(|at| &self.all[*at]);
        let found = full(name).or_else(|| full(&format!("{ROOT}.{name}")));
        found.or_else(|| {
            self.by_name
                .get(name)
                .copied()
                .flatten()
                .map(|at| &self.all[at])
        })
    }

    /// A queue and all that are above it, the lowest first.
    pub fn above<'a>(&'a self, queue: &'a Queue) -> impl Iterator<Item = &'a Queue> {
        std::iter::successors(Some(queue), |q| q.parent.map(|p| &self.all[p]))
    }

    pub fn may_submit(&self, config: &Config, queue: &Queue, user: &str) -> bool {
        let named = |q: &Queue| config.submit.get(&q.path);
        // Who names nobody anywhere lets everybody in, as is published.
        let open = self.above(queue).all(|q| named(q).is_none());
        open || self
            .above(queue)
            .any(|q| named(q).is_some_and(|u| u.has(user)))
            || self.may_administer(config, queue, user)
    }

    pub fn may_administer(&self, config: &Config, queue: &Queue, user: &str) -> bool {
        let named = |q: &Queue| config.administer.get(&q.path).is_some_and(|u| u.has(user));
        config.admins.contains(user) || self.above(queue).any(named)
    }
}
