//! The TOML file in which operators describe a tree.

use crate::spec::{NodeSpec, Spec, TeamSpec};
use document::Fault;
pub use document::file::MAX_FILE;
use document::file::{self, Lines, Spanned};
use serde::Deserialize;

/// Names of the file's lists, as used in fault paths.
pub(crate) const NODE: &str = "node";
pub(crate) const TEAM: &str = "team";

/// A parsed file with the line numbers of its entries.
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

/// Parses the text of a file. [`crate::Tree::build`] validates the tree.
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    file::parse::<Raw>(text)
}

/// Renders the tree as text that [`parse`] turns back into the same tree.
pub fn render(spec: &Spec) -> Result<String, String> {
    file::render(spec)
}

/// The JSON Schema of quota files, generated from the types.
pub fn schema() -> String {
    file::schema::<Spec>()
}
