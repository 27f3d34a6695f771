//! A tree as operators write it: TOML, since INI can't hold lists of things with parts.

use crate::spec::{Fault, NodeSpec, Place, Spec, TeamSpec};
use serde::Deserialize;
use toml::Spanned;

/// Larger files are refused unread: 20,000 teams take less.
pub const MAX_FILE: usize = 4 << 20;

/// A file that could be read, and the lines of its parts.
#[derive(Debug, Clone, PartialEq)]
pub struct Parsed {
    pub spec: Spec,
    nodes: Vec<usize>,
    teams: Vec<usize>,
}

impl Parsed {
    /// Adds the lines to what is wrong with the tree.
    pub fn locate(&self, faults: Vec<Fault>) -> Vec<Fault> {
        let line = |place: Place| match place {
            Place::Whole => None,
            Place::Node(i) => self.nodes.get(i).copied(),
            Place::Team(i) => self.teams.get(i).copied(),
        };
        faults.into_iter().map(|f| Fault { line: f.line.or(line(f.place)), ..f }).collect()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    node: Vec<Spanned<NodeSpec>>,
    #[serde(default)]
    team: Vec<Spanned<TeamSpec>>,
}

/// Reads a file's text. Whether the tree holds together is for [`crate::Tree::build`] to say.
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    let whole = |line, what: String| {
        vec![Fault { place: Place::Whole, path: "file".into(), line, what: what.trim().to_owned() }]
    };
    if text.len() > MAX_FILE {
        return Err(whole(None, format!("{} bytes; at most {MAX_FILE} are read", text.len())));
    }
    let raw: Raw = toml::from_str(text)
        .map_err(|e| whole(e.span().map(|s| line_of(text, s.start)), e.message().to_owned()))?;
    let starts: Vec<usize> = std::iter::once(0).chain(text.match_indices('\n').map(|(i, _)| i + 1)).collect();
    let line = |at: usize| starts.partition_point(|s| *s <= at);
    Ok(Parsed {
        nodes: raw.node.iter().map(|n| line(n.span().start)).collect(),
        teams: raw.team.iter().map(|t| line(t.span().start)).collect(),
        spec: Spec {
            nodes: raw.node.into_iter().map(Spanned::into_inner).collect(),
            teams: raw.team.into_iter().map(Spanned::into_inner).collect(),
        },
    })
}

/// The tree as text that [`parse`] reads back to the same.
pub fn render(spec: &Spec) -> Result<String, String> {
    toml::to_string(spec).map_err(|e| e.to_string())
}

/// The published schema of such files (JSON Schema), generated from the types.
pub fn schema() -> String {
    let schema = schemars::schema_for!(Spec);
    format!("{:#}", schema.as_value())
}

fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|b| *b == b'\n').count() + 1
}
