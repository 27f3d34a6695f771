//! A document as operators write it, in TOML.

use crate::spec::{Fault, Place, Rule, Spec};
use serde::Deserialize;
use toml::Spanned;

/// Larger files are refused unread.
pub const MAX_FILE: usize = 4 << 20;

/// A file that could be read, and the lines of its rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Parsed {
    pub spec: Spec,
    lines: Vec<usize>,
}

impl Parsed {
    /// Adds the lines to what is wrong with the document.
    pub fn locate(&self, faults: Vec<Fault>) -> Vec<Fault> {
        let line = |place: Place| match place {
            Place::Whole => None,
            Place::Rule(i) => self.lines.get(i).copied(),
        };
        faults.into_iter().map(|f| Fault { line: f.line.or(line(f.place)), ..f }).collect()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    model: Vec<Spanned<Rule>>,
}

/// Reads a file's text. Whether it holds together is for [`Spec::check`] to say.
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    let whole = |line, what: String| {
        vec![Fault { place: Place::Whole, path: "file".into(), line, what: what.trim().to_owned() }]
    };
    if text.len() > MAX_FILE {
        return Err(whole(None, format!("{} bytes; at most {MAX_FILE} are read", text.len())));
    }
    let line = |at: usize| text.bytes().take(at).filter(|b| *b == b'\n').count() + 1;
    let raw: Raw =
        toml::from_str(text).map_err(|e| whole(e.span().map(|s| line(s.start)), e.message().to_owned()))?;
    Ok(Parsed {
        lines: raw.model.iter().map(|r| line(r.span().start)).collect(),
        spec: Spec { rules: raw.model.into_iter().map(Spanned::into_inner).collect() },
    })
}
