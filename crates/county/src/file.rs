//! The TOML file format of counties.

use crate::spec::{CountySpec, Others, Spec};
use document::Fault;
use document::file::{Lines, Parsed, Raw, Spanned};
pub use document::file::{MAX_FILE, render};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    others: Others,
    #[serde(default)]
    county: Vec<Spanned<CountySpec>>,
}

impl Raw for File {
    type Spec = Spec;
    fn spec(self, lines: &mut Lines) -> Spec {
        Spec {
            others: self.others,
            counties: lines.list("county", self.county),
        }
    }
}

/// Parses a file's text. Its content is validated by [`crate::Counties::build`].
pub fn parse(text: &str) -> Result<Parsed<Spec>, Vec<Fault>> {
    document::file::parse::<File>(text)
}
