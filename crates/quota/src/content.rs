//! The quota tree as a versioned document.

use crate::{NodeSpec, Spec, Team, TeamSpec, Tree, edit};
use document::{Content, Fault, Packer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The nodes and teams of a tree that are stored in one record.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Part {
    #[serde(default)]
    pub nodes: Vec<NodeSpec>,
    #[serde(default)]
    pub teams: Vec<TeamSpec>,
}

impl Content for Spec {
    const KIND: &'static str = "quota";
    const NAME: &'static str = "quota tree";
    type Part = Part;
    /// The teams of the settings.
    type Context = Vec<Team>;
    type Built = Tree;

    fn pack(&self, into: &mut Packer<Part>) {
        self.nodes
            .iter()
            .for_each(|n| into.push(n, |p| p.nodes.push(n.clone())));
        self.teams
            .iter()
            .for_each(|t| into.push(t, |p| p.teams.push(t.clone())));
    }
    fn unpack(&mut self, part: &Part) {
        self.nodes.extend(part.nodes.iter().cloned());
        self.teams.extend(part.teams.iter().cloned());
    }
    fn build(&self, teams: &Vec<Team>) -> Result<Tree, Vec<Fault>> {
        Tree::build(self, teams)
    }
    fn differences(old: &Self, new: &Self, most: usize) -> Vec<String> {
        edit::differences(old, new, most)
    }
    fn size(tree: &Tree) -> String {
        format!("{} nodes and {} teams", tree.nodes.len(), tree.leaves.len())
    }
    /// Drops teams that are no longer in the settings: they have no work, and the next change removes their entries.
    fn fitting(&self, teams: &Vec<Team>) -> Spec {
        let known: BTreeSet<&str> = teams.iter().map(|t| t.name.as_str()).collect();
        let is_known = |t: &&TeamSpec| known.contains(t.name.as_str());
        Spec {
            nodes: self.nodes.clone(),
            teams: self.teams.iter().filter(is_known).cloned().collect(),
        }
    }
}
