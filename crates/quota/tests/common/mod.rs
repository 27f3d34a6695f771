//! Strategies for generated trees, all valid by construction.

use proptest::prelude::*;
use quota::{Amounts, NodeSpec, Spec, Team, TeamSpec};

fn gpus(n: u32) -> Amounts {
    if n == 0 {
        Amounts::new()
    } else {
        [("gpus".to_owned(), f64::from(n))].into()
    }
}

/// Random choices for a node or team: its parent, whether it has a maximum, its own guarantee and its weight.
type Draw = (prop::sample::Index, bool, u32, u32);

/// A tree with amounts of GPUs, and the teams of the settings.
pub fn trees() -> impl Strategy<Value = (Spec, Vec<Team>)> {
    let draw = || {
        (
            any::<prop::sample::Index>(),
            any::<bool>(),
            0..6u32,
            1..4u32,
        )
    };
    (
        prop::collection::vec(draw(), 0..6),
        prop::collection::vec(draw(), 1..7),
    )
        .prop_map(|(nodes, teams)| {
            let mut spec = Spec::default();
            let mut leaves = Vec::new();
            for (i, (parent, _, _, weight)) in nodes.iter().enumerate() {
                // An earlier node, or the root.
                let parent = spec
                    .nodes
                    .get(parent.index(i + 1))
                    .map(|p: &NodeSpec| p.name.clone());
                let mut node = NodeSpec::new(&format!("n{i}"), parent.as_deref());
                node.weight = f64::from(*weight);
                spec.nodes.push(node);
            }
            for (i, (parent, bounded, own, weight)) in teams.iter().enumerate() {
                let name = format!("t{i}");
                let parent = spec
                    .nodes
                    .get(parent.index(nodes.len() + 1))
                    .map(|p| p.name.clone());
                let max = if *bounded {
                    gpus(own + 3)
                } else {
                    Amounts::new()
                };
                leaves.push(Team {
                    name: name.clone(),
                    guarantee: gpus(*own),
                    max,
                });
                spec.teams.push(TeamSpec {
                    weight: f64::from(*weight),
                    ..TeamSpec::new(&name, parent.as_deref())
                });
            }
            set_guarantees_and_maxima(&mut spec, &leaves, &nodes);
            (spec, leaves)
        })
}

/// Sets the guarantee of each node, from the leaves up: the sum of its children's and its own random addition.
fn set_guarantees_and_maxima(spec: &mut Spec, leaves: &[Team], draws: &[Draw]) {
    for i in (0..spec.nodes.len()).rev() {
        let name = spec.nodes[i].name.clone();
        let is_child = |parent: &Option<String>| parent.as_deref() == Some(&name);
        let gpu_count = |a: &Amounts| a.get("gpus").copied().unwrap_or(0.0) as u32;
        let inner: u32 = spec
            .nodes
            .iter()
            .filter(|n| is_child(&n.parent))
            .map(|n| gpu_count(&n.guarantee))
            .sum();
        let teams: u32 = spec
            .teams
            .iter()
            .zip(leaves)
            .filter(|(t, _)| is_child(&t.parent))
            .map(|(_, l)| gpu_count(&l.guarantee))
            .sum();
        spec.nodes[i].guarantee = gpus(inner + teams + draws[i].2);
    }
    // Sets some maxima, from the root down: at least the node's guarantee, at most its parent's maximum.
    for (i, draw) in draws.iter().enumerate() {
        let own = spec.nodes[i].guarantee.get("gpus").copied().unwrap_or(0.0) as u32;
        let parent = spec.nodes[i].parent.clone();
        let above = spec.nodes.iter().find(|n| Some(&n.name) == parent.as_ref());
        let above = above.and_then(|p| p.max.get("gpus")).copied();
        if draw.1 {
            let max = f64::from(own + draw.3).min(above.unwrap_or(f64::INFINITY));
            spec.nodes[i].max = [("gpus".to_owned(), max)].into();
        }
    }
}
