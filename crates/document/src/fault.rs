//! Validation errors of a document and their locations.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The location of a fault in a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Form", into = "Form")]
pub enum Place {
    /// The document as a whole.
    Whole,
    /// An entry of one of the document's lists: the list's name and the index.
    Entry(String, usize),
}

impl Place {
    pub fn entry(list: &str, index: usize) -> Self {
        Place::Entry(list.to_owned(), index)
    }
}

/// The serialized form in records and responses: `"whole"`, or `{"node": 3}`.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Form {
    Whole(String),
    Entry(BTreeMap<String, usize>),
}

impl From<Form> for Place {
    fn from(form: Form) -> Self {
        match form {
            Form::Whole(_) => Place::Whole,
            Form::Entry(at) => at
                .into_iter()
                .next()
                .map_or(Place::Whole, |(list, i)| Place::Entry(list, i)),
        }
    }
}

impl From<Place> for Form {
    fn from(place: Place) -> Self {
        match place {
            Place::Whole => Form::Whole("whole".to_owned()),
            Place::Entry(list, i) => Form::Entry([(list, i)].into()),
        }
    }
}

/// One validation error and its location.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub place: Place,
    /// Path to the field, such as `node "a".guarantee.gpus`.
    pub path: String,
    /// Line number in the file, starting at 1, if known.
    pub line: Option<usize>,
    pub what: String,
}

impl Fault {
    pub fn whole(path: &str, what: impl Into<String>) -> Self {
        Fault {
            place: Place::Whole,
            path: path.to_owned(),
            line: None,
            what: what.into(),
        }
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

/// Faults found beyond this number are not reported.
const MAX_FAULTS: usize = 50;

/// The faults that a check has found so far, at most `MAX_FAULTS`.
#[derive(Debug, Clone, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    pub fn add(&mut self, place: Place, path: impl Into<String>, what: impl Into<String>) {
        if self.0.len() < MAX_FAULTS {
            self.0.push(Fault {
                place,
                path: path.into(),
                line: None,
                what: what.into(),
            });
        }
    }
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Returns `good` if no fault was found, and the faults otherwise.
    pub fn or<T>(self, good: T) -> Result<T, Vec<Fault>> {
        if self.0.is_empty() {
            Ok(good)
        } else {
            Err(self.0)
        }
    }
}

/// Truncates a name from outside the program for use in messages.
pub fn short(name: &str) -> String {
    name.chars().take(60).collect()
}
