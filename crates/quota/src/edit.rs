//! Derives new trees from existing ones. Nothing here changes the tree in force: the result is validated and replaces
//! it as a whole.

use crate::spec::{Amounts, NodeSpec, Spec, TeamSpec};
use crate::{Team, milli};
use document::Fault;
use std::collections::{BTreeMap, BTreeSet, HashMap};

impl Spec {
    fn node_index(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|n| n.name == name)
    }

    /// The names of a node and its ancestors, nearest first. Ends at an unknown name; the depth limit ends a cycle.
    fn path_to_root(&self, from: Option<&str>) -> Vec<String> {
        let parents: BTreeMap<&str, Option<&str>> = self
            .nodes
            .iter()
            .map(|n| (n.name.as_str(), n.parent.as_deref()))
            .collect();
        let mut out: Vec<String> = Vec::new();
        let mut at = from;
        while let Some(name) = at
            && out.len() <= crate::MAX_DEPTH
            && parents.contains_key(name)
        {
            out.push(name.to_owned());
            at = parents[name];
        }
        out
    }
}

/// Moves a team, or a node with its subtree, below another node or the root. Its guarantee moves with it: it is
/// subtracted from the former ancestors and added to the new ones.
pub fn move_subtree(
    spec: &Spec,
    teams: &[Team],
    name: &str,
    to: Option<&str>,
) -> Result<Spec, Fault> {
    let mut out = spec.clone();
    if let Some(to) = to
        && spec.node_index(to).is_none()
    {
        return Err(Fault::whole("to", format!("{to:?} is no node of the tree")));
    }
    let from: Option<String>;
    let moved_guarantee: Amounts;
    if let Some(i) = spec.node_index(name) {
        if spec.path_to_root(to).iter().any(|above| above == name) {
            return Err(Fault::whole(
                "to",
                format!("{name:?} can't be moved below itself"),
            ));
        }
        from = spec.nodes[i].parent.clone();
        moved_guarantee = spec.nodes[i].guarantee.clone();
        out.nodes[i].parent = to.map(str::to_owned);
    } else {
        let Some(team) = teams.iter().find(|t| t.name == name) else {
            return Err(Fault::whole(
                "name",
                format!("{name:?} is neither a node nor a team"),
            ));
        };
        let at = out
            .teams
            .iter()
            .position(|t| t.name == name)
            .unwrap_or_else(|| {
                out.teams.push(TeamSpec::new(name, None));
                out.teams.len() - 1
            });
        from = out.teams[at].parent.clone();
        moved_guarantee = out.teams[at]
            .guarantee
            .clone()
            .unwrap_or_else(|| team.guarantee.clone());
        out.teams[at].parent = to.map(str::to_owned);
    }
    let (old_path, new_path) = (spec.path_to_root(from.as_deref()), spec.path_to_root(to));
    for node in &mut out.nodes {
        let (leaves, enters) = (old_path.contains(&node.name), new_path.contains(&node.name));
        if leaves != enters {
            adjust_guarantee(node, &moved_guarantee, if enters { 1 } else { -1 });
        }
    }
    Ok(out)
}

fn adjust_guarantee(node: &mut NodeSpec, by: &Amounts, sign: i64) {
    for (name, units) in by {
        let have = node.guarantee.entry(name.clone()).or_default();
        // In thousandths, so that moving there and back restores the exact amounts.
        *have = (milli(*have) + sign * milli(*units)).max(0) as f64 / 1000.0;
    }
    node.guarantee.retain(|_, units| *units > 0.0);
}

/// Sets a node's guarantee and maximum. If its children's guarantees then exceed its own, `scale` reduces them
/// proportionally throughout the subtree. Without `scale`, validation rejects the tree and reports the excess.
pub fn shrink(
    spec: &Spec,
    teams: &[Team],
    name: &str,
    guarantee: &Amounts,
    max: &Amounts,
    scale: bool,
) -> Result<Spec, Fault> {
    let Some(i) = spec.node_index(name) else {
        return Err(Fault::whole(
            "name",
            format!("{name:?} is no node of the tree"),
        ));
    };
    let mut out = spec.clone();
    let node = &mut out.nodes[i];
    node.guarantee
        .extend(guarantee.iter().map(|(r, units)| (r.clone(), *units)));
    node.max
        .extend(max.iter().map(|(r, units)| (r.clone(), *units)));
    if scale {
        for (r, limit) in &node.max {
            if let Some(units) = node.guarantee.get_mut(r) {
                *units = units.min(*limit);
            }
        }
        let children = Children::of(&out);
        let settings_by_team: HashMap<&str, &Amounts> = teams
            .iter()
            .map(|t| (t.name.as_str(), &t.guarantee))
            .collect();
        // No valid tree is deeper; the bound also ends the loop for a tree with a cycle.
        let mut level = vec![i];
        for _ in 0..=crate::MAX_DEPTH {
            level = level
                .into_iter()
                .flat_map(|n| children.scale_children(&mut out, &settings_by_team, n))
                .collect();
        }
    }
    Ok(out)
}

/// The direct children of each node, as indices.
struct Children {
    nodes: HashMap<String, Vec<usize>>,
    teams: HashMap<String, Vec<usize>>,
}

impl Children {
    fn of(spec: &Spec) -> Self {
        let mut out = Children {
            nodes: HashMap::new(),
            teams: HashMap::new(),
        };
        for (i, n) in spec.nodes.iter().enumerate() {
            n.parent
                .iter()
                .for_each(|p| out.nodes.entry(p.clone()).or_default().push(i));
        }
        for (i, t) in spec.teams.iter().enumerate() {
            t.parent
                .iter()
                .for_each(|p| out.teams.entry(p.clone()).or_default().push(i));
        }
        out
    }

    /// Scales the guarantees of a node's children to fit its own, and caps their maxima at its own. Returns the
    /// children that are inner nodes.
    fn scale_children(
        &self,
        spec: &mut Spec,
        settings_by_team: &HashMap<&str, &Amounts>,
        at: usize,
    ) -> Vec<usize> {
        let NodeSpec {
            name,
            guarantee: own,
            max,
            ..
        } = spec.nodes[at].clone();
        let inner = self.nodes.get(&name).cloned().unwrap_or_default();
        let leaves = self.teams.get(&name).cloned().unwrap_or_default();
        let team_guarantee = |t: &TeamSpec| {
            let from_settings = || settings_by_team.get(t.name.as_str()).map(|g| (*g).clone());
            t.guarantee
                .clone()
                .or_else(from_settings)
                .unwrap_or_default()
        };
        let mut sums: BTreeMap<String, i64> = BTreeMap::new();
        let inner_guarantees = inner.iter().map(|i| spec.nodes[*i].guarantee.clone());
        for (r, units) in inner_guarantees
            .chain(leaves.iter().map(|i| team_guarantee(&spec.teams[*i])))
            .flatten()
        {
            *sums.entry(r).or_default() += milli(units);
        }
        let scaled = |given: &Amounts| -> Amounts {
            let scaled_units = |r: &String, units: &f64| {
                let (sum, own) = (
                    sums.get(r).copied().unwrap_or(0),
                    own.get(r).map_or(0, |v| milli(*v)),
                );
                if sum <= own {
                    return *units;
                }
                let scaled_units =
                    i128::from(milli(*units)) * i128::from(own) / i128::from(sum.max(1));
                scaled_units as f64 / 1000.0
            };
            given
                .iter()
                .map(|(r, units)| (r.clone(), scaled_units(r, units)))
                .collect()
        };
        for i in leaves {
            let before = team_guarantee(&spec.teams[i]);
            let after = scaled(&before);
            if after != before {
                spec.teams[i].guarantee = Some(after);
            }
        }
        for i in &inner {
            let n = &mut spec.nodes[*i];
            n.guarantee = scaled(&n.guarantee);
            for (r, limit) in &max {
                for units in [n.max.get_mut(r), n.guarantee.get_mut(r)]
                    .into_iter()
                    .flatten()
                {
                    *units = units.min(*limit);
                }
            }
        }
        inner
    }
}

/// Describes the differences between two trees, one per line. Past `max_lines`, a last line counts the rest.
pub fn differences(old: &Spec, new: &Spec, max_lines: usize) -> Vec<String> {
    let mut out = Vec::new();
    let nodes = |s: &Spec| -> BTreeMap<String, NodeSpec> {
        s.nodes
            .iter()
            .map(|n| (n.name.clone(), n.clone()))
            .collect()
    };
    let (before, after) = (nodes(old), nodes(new));
    let root = |p: &Option<String>| p.clone().unwrap_or_else(|| "the root".into());
    for name in before.keys().chain(after.keys()).collect::<BTreeSet<_>>() {
        match (before.get(name), after.get(name)) {
            (Some(_), None) => out.push(format!("node {name}: removed")),
            (None, Some(n)) => out.push(format!("node {name}: new, below {}", root(&n.parent))),
            (Some(a), Some(b)) if a != b => {
                if a.parent != b.parent {
                    out.push(format!(
                        "node {name}: from {} to {}",
                        root(&a.parent),
                        root(&b.parent)
                    ));
                }
                out.extend(amount_differences(
                    name,
                    "guarantee",
                    &a.guarantee,
                    &b.guarantee,
                ));
                out.extend(amount_differences(name, "max", &a.max, &b.max));
                if (a.weight, a.over) != (b.weight, b.over) {
                    let was = format!("weight {} over {:?}", a.weight, a.over);
                    out.push(format!(
                        "node {name}: {was} -> weight {} over {:?}",
                        b.weight, b.over
                    ));
                }
            }
            _ => {}
        }
    }
    let teams = |s: &Spec| -> BTreeMap<String, TeamSpec> {
        s.teams
            .iter()
            .map(|t| (t.name.clone(), t.clone()))
            .collect()
    };
    let (before, after) = (teams(old), teams(new));
    for name in before.keys().chain(after.keys()).collect::<BTreeSet<_>>() {
        let none = TeamSpec::new(name, None);
        let (a, b) = (
            before.get(name).unwrap_or(&none),
            after.get(name).unwrap_or(&none),
        );
        if a.parent != b.parent {
            out.push(format!(
                "team {name}: from {} to {}",
                root(&a.parent),
                root(&b.parent)
            ));
        }
        if (a.weight, &a.guarantee) != (b.weight, &b.guarantee) {
            let (a, b) = ((a.weight, &a.guarantee), (b.weight, &b.guarantee));
            out.push(format!("team {name}: weight and guarantee {a:?} -> {b:?}"));
        }
    }
    let more = out.len().saturating_sub(max_lines);
    out.truncate(max_lines);
    if more > 0 {
        out.push(format!("and {more} more"));
    }
    out
}

fn amount_differences(name: &str, field: &str, a: &Amounts, b: &Amounts) -> Vec<String> {
    let show = |a: &Amounts, r: &String| a.get(r).map_or("none".to_owned(), f64::to_string);
    let all: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    let changed = all.into_iter().filter(|r| a.get(*r) != b.get(*r));
    changed
        .map(|r| {
            format!(
                "node {name}: {field} of {r} {} -> {}",
                show(a, r),
                show(b, r)
            )
        })
        .collect()
}
