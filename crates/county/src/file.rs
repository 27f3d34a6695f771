//! Counties as operators write them: TOML.

use crate::fault::{Fault, Place};
use crate::spec::{CountySpec, Others, Spec};
use serde::Deserialize;
use toml::Spanned;

/// Larger files are refused unread.
pub const MAX_FILE: usize = 4 << 20;

/// A file that could be read, and the lines of its counties.
#[derive(Debug, Clone, PartialEq)]
pub struct Parsed {
    pub spec: Spec,
    counties: Vec<usize>,
}

impl Parsed {
    /// Adds the lines to what is wrong with the counties.
    pub fn locate(&self, faults: Vec<Fault>) -> Vec<Fault> {
        let line = |place: &Place| match place {
            Place::Whole => None,
            Place::Entry(_, i) => self.counties.get(*i).copied(),
        };
        faults.into_iter().map(|f| Fault { line: f.line.or(line(&f.place)), ..f }).collect()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    others: Others,
    #[serde(default)]
    county: Vec<Spanned<CountySpec>>,
}

/// Reads a file's text. Whether it holds together is for [`crate::Counties::build`] to say.
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    let whole = |line, what: &str| vec![Fault { line, ..Fault::whole("file", what.trim()) }];
    if text.len() > MAX_FILE {
        return Err(whole(None, &format!("{} bytes; at most {MAX_FILE} are read", text.len())));
    }
    let line = |at: usize| text.bytes().take(at).filter(|b| *b == b'\n').count() + 1;
    let raw: Raw = toml::from_str(text).map_err(|e| whole(e.span().map(|s| line(s.start)), e.message()))?;
    Ok(Parsed {
        counties: raw.county.iter().map(|c| line(c.span().start)).collect(),
        spec: Spec {
            others: raw.others,
            counties: raw.county.into_iter().map(Spanned::into_inner).collect(),
        },
    })
}

/// The counties as text that [`parse`] reads back to the same.
pub fn render(spec: &Spec) -> Result<String, String> {
    toml::to_string(spec).map_err(|e| e.to_string())
}
