//! Quotas that nest: members hold desks, desks hold teams, as deep as [`MAX_DEPTH`].
//!
//! A [`Tree`] is checked once and never changes; [`Live`] adds to it what each team asks for and uses, and says
//! what each is entitled to. [`Spec`] is what people and records say of a tree, [`edit`] makes a new one from an
//! old one, [`mod@file`] reads and writes it for operators.
//!
//! Share that a team does not use goes first to its siblings and then upward, level by level, and comes back when
//! it is asked for. `docs/quotas/design.md` weighs the ways and names their published sources.
//!
//! This package may not do I/O, read a clock or draw random numbers. It knows nothing of jobs, machines or records.
//!
//! ```
//! use quota::{Live, Spec, Tree, amount};
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
//! // The teams of the settings, with what these guarantee.
//! let comp = quota::Team { guarantee: [("gpus".into(), 2.0)].into(), ..quota::Team::new("comp") };
//! let tree = Tree::build(&spec, &[comp, quota::Team::new("fx")]).map_err(|f| f[0].to_string())?;
//! let mut live = Live::new(tree.into());
//! let (comp, fx) = (live.tree().team("comp").unwrap(), live.tree().team("fx").unwrap());
//! live.set_demand(fx, amount(&[("gpus", 10.0)]));
//! assert_eq!(live.entitled(fx, 0)[quota::GPUS], Some(8_000), "what its sibling leaves");
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
pub use live::{Count, Live, Share};
pub use spec::{Amounts, NodeSpec, Over, Spec, TeamSpec};
pub use tree::{Node, NodeId, Team, TeamId, Tree};
pub use why::{Standing, Why};

/// Resources of a tree: processors, GPUs, memory in GB, and up to three that it names itself.
pub const MAX_RESOURCES: usize = 6;
pub const CPUS: usize = 0;
pub const GPUS: usize = 1;
pub const MEM: usize = 2;
/// The names that every tree has, in the order of their numbers.
pub const COMMON: [&str; 3] = ["cpus", "gpus", "mem_gb"];

/// Inner nodes above a team, at most.
pub const MAX_DEPTH: usize = 8;
pub const MAX_NODES: usize = 4_000;
pub const MAX_TEAMS: usize = 20_000;
/// Bytes of a name, and the largest amount of a resource that can be told apart from a mistake.
pub const MAX_NAME: usize = 120;
pub const MAX_AMOUNT: f64 = 1e9;

/// Amounts of each resource in thousandths, so that sums are exact in any order.
pub type Amount = [i64; MAX_RESOURCES];
pub const NOTHING: Amount = [0; MAX_RESOURCES];
/// No bound.
pub const UNBOUNDED: i64 = i64::MAX;

/// Thousandths of a number of units; demand and use are rounded up, so that no bound is passed by rounding.
pub fn milli(units: f64) -> i64 {
    // A cast saturates, and what is no number counts as nothing.
    (units * 1000.0 - 1e-6).ceil() as i64
}

/// An amount of the common resources, by name; names that are not common are left out.
pub fn amount(parts: &[(&str, f64)]) -> Amount {
    let mut out = NOTHING;
    for (name, units) in parts {
        if let Some(r) = COMMON.iter().position(|c| c == name) {
            out[r] = milli(*units);
        }
    }
    out
}
