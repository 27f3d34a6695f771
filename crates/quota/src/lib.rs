//! Hierarchical quotas: a tree of inner nodes, at most [`MAX_DEPTH`] levels deep, with teams as its leaves.
//!
//! A [`Tree`] is validated once and immutable. [`QuotaState`] adds the demand and usage of each team and computes what
//! each is entitled to. [`Spec`] is the unvalidated description in files and records, [`edit`] derives a new one from
//! an old one, and [`mod@file`] reads and writes it for operators.
//!
//! Guaranteed capacity that a team does not use is lent to its siblings first and then upward, level by level. The
//! team is entitled to it again as soon as its demand rises. `docs/quotas/design.md` compares the alternatives and
//! cites the published algorithms.
//!
//! This package must not do I/O, read a clock or draw random numbers. It does not depend on jobs, machines or records.
//!
//! ```
//! use quota::{QuotaState, Spec, Tree, amount};
//! let text = r#"
//! [[node]]
//! name = "studio"
//! guarantee = { gpus = 8.0 }
//! [[team]]
//! name = "comp"
//! parent = "studio"
//! [[team]]
//! name = "fx"
//! parent = "studio"
//! "#;
//! let spec = quota::file::parse(text).map_err(|f| f[0].to_string())?.spec;
//! // The teams of the settings with their guarantees.
//! let comp = quota::Team { guarantee: [("gpus".into(), 2.0)].into(), ..quota::Team::new("comp") };
//! let tree = Tree::build(&spec, &[comp, quota::Team::new("fx")]).map_err(|f| f[0].to_string())?;
//! let mut live = QuotaState::new(tree.into());
//! let (comp, fx) = (live.tree().team("comp").unwrap(), live.tree().team("fx").unwrap());
//! live.set_demand(fx, amount(&[("gpus", 10.0)]));
//! assert_eq!(live.entitled(fx, 0)[quota::GPUS], Some(8_000), "what its sibling does not use");
//! live.set_demand(comp, amount(&[("gpus", 5.0)]));
//! assert_eq!(live.entitled(comp, 1)[quota::GPUS], Some(2_000), "its own guarantee");
//! # Ok::<(), String>(())
//! ```

mod content;
pub mod edit;
pub mod file;
mod live;
mod spec;
mod tree;
mod water_filling;
mod why;

pub use content::Part;
pub use document::{Fault, Place};
pub use live::{EntitledAmounts, QuotaState, TeamUsage};
pub use spec::{Amounts, NodeSpec, Over, Spec, TeamSpec};
pub use tree::{Node, NodeId, Team, TeamId, Tree};
pub use why::{Standing, Why};

/// Resources of a tree: CPUs, GPUs, memory in GB and up to three custom ones.
pub const MAX_RESOURCES: usize = 6;
pub const CPUS: usize = 0;
pub const GPUS: usize = 1;
pub const MEMORY_GB: usize = 2;
/// Names of the resources that every tree has, by resource index.
pub const COMMON_RESOURCES: [&str; 3] = ["cpus", "gpus", "mem_gb"];

/// Maximum number of inner nodes above a team.
pub const MAX_DEPTH: usize = 8;
pub const MAX_NODES: usize = 4_000;
pub const MAX_TEAMS: usize = 20_000;
/// Maximum length of a name, in bytes.
pub const MAX_NAME: usize = 120;
/// Largest amount of a resource; a greater one is rejected as a mistake.
pub const MAX_AMOUNT: f64 = 1e9;

/// Amount of each resource in thousandths of a unit: integers, so that sums are exact in any order.
pub type Amount = [i64; MAX_RESOURCES];
pub const ZERO: Amount = [0; MAX_RESOURCES];
/// A maximum without a limit.
pub const UNBOUNDED: i64 = i64::MAX;

/// Converts units to thousandths. Rounds up, so that rounded demand and usage never slip past a maximum.
pub fn milli(units: f64) -> i64 {
    // The cast saturates, and NaN becomes 0.
    (units * 1000.0 - 1e-6).ceil() as i64
}

/// Builds an amount from names of the common resources and units. Other names are ignored.
pub fn amount(parts: &[(&str, f64)]) -> Amount {
    let mut out = ZERO;
    for (name, units) in parts {
        if let Some(r) = COMMON_RESOURCES.iter().position(|c| c == name) {
            out[r] = milli(*units);
        }
    }
    out
}
