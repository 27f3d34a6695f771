//! What is wrong with a description, and where.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Most faults that are told at once.
const MOST: usize = 50;

/// Where in a description something is wrong.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// The description as a whole.
    Whole,
    /// One entry of a list.
    Entry(String, usize),
}

impl Place {
    pub fn entry(list: &str, i: usize) -> Self {
        Place::Entry(list.to_owned(), i)
    }
}

/// One thing that is wrong, with its place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub place: Place,
    /// The path to the field.
    pub path: String,
    /// Line of a file, counted from 1, where there is one.
    pub line: Option<usize>,
    pub what: String,
}

impl Fault {
    pub fn whole(path: &str, what: impl Into<String>) -> Self {
        Fault { place: Place::Whole, path: path.to_owned(), line: None, what: what.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.path, self.what)
    }
}

impl std::error::Error for Fault {}

/// Gathers faults, of which only so many are kept.
#[derive(Debug, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    pub fn add(&mut self, place: Place, path: impl Into<String>, what: impl Into<String>) {
        if self.0.len() < MOST {
            self.0.push(Fault { place, path: path.into(), line: None, what: what.into() });
        }
    }
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    pub fn into_result<T>(self, ok: T) -> Result<T, Vec<Fault>> {
        if self.0.is_empty() { Ok(ok) } else { Err(self.0) }
    }
}
