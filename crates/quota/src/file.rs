//! A tree as operators write it.

use crate::spec::{NodeSpec, Spec, TeamSpec};
use document::Fault;
pub use document::file::MAX_FILE;
use document::file::{self, Lines, Spanned};
use serde::Deserialize;

/// Lists of a file, as faults name them.
pub(crate) const NODE: &str = "node";
pub(crate) const TEAM: &str = "team";

/// A file that could be read, and the lines of its parts.
pub type Parsed = file::Parsed<Spec>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    node: Vec<Spanned<NodeSpec>>,
    #[serde(default)]
    team: Vec<Spanned<TeamSpec>>,
}

impl file::Raw for Raw {
    type Spec = Spec;
    fn spec(self, lines: &mut Lines) -> Spec {
        Spec {
            nodes: lines.list(NODE, self.node),
            teams: lines.list(TEAM, self.team),
        }
    }
}

/// Reads a file's text. Whether the tree holds together is for [`crate::Tree::build`] to say.
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    file::parse::<Raw>(text)
}

/// The tree as text that [`parse`] reads back to the same.
pub fn render(spec: &Spec) -> Result<String, String> {
    file::render(spec)
}

/// The published schema of such files (JSON Schema), generated from the types.
pub fn schema() -> String {
    file::schema::<Spec>()
}
