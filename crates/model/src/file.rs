//! The TOML file in which operators list models.

use crate::spec::{Rule, Spec};
use document::Fault;
use document::file::{self, Lines, Spanned};
use serde::Deserialize;

/// Name of the file's list, as used in fault paths.
pub(crate) const MODEL: &str = "model";

/// A parsed file with the line numbers of its rules.
pub type Parsed = file::Parsed<Spec>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    model: Vec<Spanned<Rule>>,
}

impl file::Raw for Raw {
    type Spec = Spec;
    fn spec(self, lines: &mut Lines) -> Spec {
        Spec {
            rules: lines.list(MODEL, self.model),
        }
    }
}

/// Parses the text of a file. [`Spec::check`] validates the result.
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    file::parse::<Raw>(text)
}
