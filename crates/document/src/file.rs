//! Document files written by operators. The format is TOML, since INI can't express lists of structured entries.

use crate::{Fault, Place};
use schemars::JsonSchema;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
pub use toml::Spanned;

/// Files of more bytes are rejected before parsing. A quota tree of 20,000 teams is smaller than this.
pub const MAX_FILE: usize = 4 << 20;

/// The deserialized form of a file, whose entries carry their byte spans.
pub trait Raw: DeserializeOwned {
    type Spec;
    /// Converts to the document and records the lines of its entries with [`Lines::list`].
    fn spec(self, lines: &mut Lines) -> Self::Spec;
}

/// The line of each entry in the file.
#[derive(Debug, Clone, PartialEq)]
pub struct Lines {
    /// Byte offset at which each line starts.
    line_starts: Vec<usize>,
    /// Line numbers of the entries of each list.
    entries: BTreeMap<&'static str, Vec<usize>>,
}

impl Lines {
    fn from_text(text: &str) -> Self {
        let line_starts = std::iter::once(0)
            .chain(text.match_indices('\n').map(|(i, _)| i + 1))
            .collect();
        Lines {
            line_starts,
            entries: BTreeMap::new(),
        }
    }
    fn line_at(&self, byte: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= byte)
    }
    /// Records the lines of a list's entries, after those already recorded for the list, and returns the entries.
    pub fn list<T>(&mut self, name: &'static str, all: Vec<Spanned<T>>) -> Vec<T> {
        let lines: Vec<usize> = all.iter().map(|s| self.line_at(s.span().start)).collect();
        self.entries.entry(name).or_default().extend(lines);
        all.into_iter().map(Spanned::into_inner).collect()
    }
}

/// A parsed file and the lines of its entries.
#[derive(Debug, Clone, PartialEq)]
pub struct Parsed<S> {
    pub spec: S,
    lines: Lines,
}

impl<S> Parsed<S> {
    /// Sets the line numbers of faults in the document.
    pub fn locate(&self, faults: Vec<Fault>) -> Vec<Fault> {
        let line = |place: &Place| match place {
            Place::Whole => None,
            Place::Entry(list, i) => self.lines.entries.get(list.as_str())?.get(*i).copied(),
        };
        faults
            .into_iter()
            .map(|f| Fault {
                line: f.line.or_else(|| line(&f.place)),
                ..f
            })
            .collect()
    }
}

/// Parses the text of a file. The document is validated by [`crate::Content::build`].
pub fn parse<R: Raw>(text: &str) -> Result<Parsed<R::Spec>, Vec<Fault>> {
    let mut lines = Lines::from_text(text);
    let file_fault = |line, what: &str| {
        vec![Fault {
            line,
            ..Fault::whole("file", what.trim())
        }]
    };
    if text.len() > MAX_FILE {
        return Err(file_fault(
            None,
            &format!("{} bytes; at most {MAX_FILE} are allowed", text.len()),
        ));
    }
    let raw: R = toml::from_str(text)
        .map_err(|e| file_fault(e.span().map(|s| lines.line_at(s.start)), e.message()))?;
    let spec = raw.spec(&mut lines);
    Ok(Parsed { spec, lines })
}

/// Renders a document as TOML, from which [`parse`] returns an equal document.
pub fn render<S: Serialize>(spec: &S) -> Result<String, String> {
    toml::to_string(spec).map_err(|e| e.to_string())
}

/// The published JSON Schema of the files, generated from the types.
pub fn schema<S: JsonSchema>() -> String {
    let schema = schemars::schema_for!(S);
    format!("{:#}", schema.as_value())
}
