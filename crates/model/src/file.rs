//! A list of models as operators write it.

use crate::spec::{Rule, Spec};
use document::Fault;
use document::file::{self, Lines, Spanned};
use serde::Deserialize;

/// The list of a file, as faults name it.
pub(crate) const MODEL: &str = "model";

/// A file that could be read, and the lines of its rules.
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

/// Reads a file's text. Whether it holds together is for [`Spec::check`] to say.
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    file::parse::<Raw>(text)
}
