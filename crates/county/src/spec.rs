//! What people and records say of counties, before it is checked, and how one document follows another.

use document::Fault;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What becomes of jobs that no rule fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Others {
    /// They run, and are counted apart, as `(other)`.
    #[default]
    Count,
    /// They are refused, with the reason.
    Refuse,
}

/// What is kept apart on machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Apart {
    #[default]
    Nothing,
    /// On one machine at the same time with no work of any other county, or of none.
    Machine,
    /// Only on machines of the zones that are named.
    Zones,
}

/// A job belongs here if it fits every list that is given. Images and ids may end in `*`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<String>,
    /// Nodes of the quota tree that the job's team hangs below.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub desks: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<String>,
    /// Zones that the job itself asks for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<String>,
    /// Single jobs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ids: Vec<String>,
}

impl Rule {
    /// Its lists with their names.
    pub(crate) fn lists(&self) -> [(&'static str, &[String]); 6] {
        [
            ("teams", &self.teams),
            ("desks", &self.desks),
            ("classes", &self.classes),
            ("zones", &self.zones),
            ("images", &self.images),
            ("ids", &self.ids),
        ]
    }
    /// It fits all that the other does.
    pub(crate) fn covers(&self, other: &Rule) -> bool {
        self.lists()
            .iter()
            .zip(other.lists())
            .all(|((_, mine), (_, theirs))| {
                let is_covered = |t: &String| mine.iter().any(|m| pattern_covers(m, t));
                mine.is_empty() || (!theirs.is_empty() && theirs.iter().all(is_covered))
            })
    }
}

/// Whether a name, or a beginning with `*`, fits all that another does.
fn pattern_covers(a: &str, b: &str) -> bool {
    match a.strip_suffix('*') {
        Some(prefix) => b.strip_suffix('*').unwrap_or(b).starts_with(prefix),
        None => a == b,
    }
}

/// Whether a name of a rule fits that of a job.
pub(crate) fn matches_pattern(pattern: &str, name: &str) -> bool {
    pattern
        .strip_suffix('*')
        .map_or(pattern == name, |prefix| name.starts_with(prefix))
}

#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CountySpec {
    /// Never changes: counts and bindings name it.
    pub id: String,
    /// For people; a county is renamed here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    #[serde(default, skip_serializing_if = "is_default")]
    pub apart: Apart,
    /// With `apart = "zones"`: which.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
    /// No job is bound to it any more; what is bound stays, and so do its counts.
    #[serde(default, skip_serializing_if = "is_default")]
    pub closed: bool,
    /// The counties that a closed one was split into, for those who read its counts later.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub into: Vec<String>,
    #[serde(default, rename = "rule", skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Rule>,
}

impl CountySpec {
    pub fn title(&self) -> &str {
        self.name.as_deref().unwrap_or(&self.id)
    }
}

/// Counties as they are written down; the first rule that fits decides, in the order of the file.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    #[serde(default, skip_serializing_if = "is_default")]
    pub others: Others,
    #[serde(default, rename = "county", skip_serializing_if = "Vec::is_empty")]
    pub counties: Vec<CountySpec>,
}

fn is_default<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

/// What another document changes, a line each, at most so many.
pub fn differences(old: &Spec, new: &Spec, max_lines: usize) -> Vec<String> {
    let by_id = |s: &Spec| {
        s.counties
            .iter()
            .map(|c| (c.id.clone(), c.clone()))
            .collect::<BTreeMap<_, _>>()
    };
    let (before, after) = (by_id(old), by_id(new));
    let mut out = Vec::new();
    if old.others != new.others {
        out.push(
            format!(
                "jobs of no county: {:?} instead of {:?}",
                new.others, old.others
            )
            .to_lowercase(),
        );
    }
    for (id, c) in &after {
        match before.get(id) {
            None => out.push(format!("{id}: new")),
            Some(b) => out.extend(county_differences(b, c)),
        }
    }
    out.extend(
        before
            .keys()
            .filter(|id| !after.contains_key(*id))
            .map(|id| format!("{id}: gone")),
    );
    let order = |s: &Spec| s.counties.iter().map(|c| c.id.clone()).collect::<Vec<_>>();
    if out.is_empty() && order(old) != order(new) {
        out.push("the order of the rules".to_owned());
    }
    out.truncate(max_lines);
    out
}

fn county_differences(before: &CountySpec, after: &CountySpec) -> Vec<String> {
    let id = &after.id;
    let mut out = Vec::new();
    if before.title() != after.title() {
        out.push(format!(
            "{id}: renamed from {:?} to {:?}",
            before.title(),
            after.title()
        ));
    }
    if after.closed && !before.closed {
        let into = if after.into.is_empty() {
            String::new()
        } else {
            format!(", split into {}", after.into.join(", "))
        };
        out.push(format!("{id}: closed{into}; what is bound to it stays so"));
    }
    if before.closed && !after.closed {
        out.push(format!("{id}: open again"));
    }
    if (before.apart, &before.zones) != (after.apart, &after.zones) {
        out.push(format!(
            "{id}: kept apart otherwise, for jobs still to come"
        ));
    }
    if before.rules != after.rules {
        out.push(format!("{id}: other rules, for jobs still to come"));
    }
    out
}

/// Bindings to what the new document no longer has. A county goes only once it was closed in the document before, so
/// that nothing was bound to it since, and once no job is bound to it any more.
pub fn lost(old: &Spec, new: &Spec, live: &BTreeMap<String, u64>) -> Vec<Fault> {
    let removed = old
        .counties
        .iter()
        .filter(|c| new.counties.iter().all(|n| n.id != c.id));
    let fault = |c: &CountySpec| {
        let what = match live.get(&c.id).copied().unwrap_or(0) {
            0 if c.closed => return None,
            0 => "is open in the version in force: close it first, so that nothing is bound meanwhile"
                .to_owned(),
            n => format!("{n} jobs are bound to it: keep it closed until they have ended"),
        };
        Some(Fault::whole(&format!("county {:?}", c.id), what))
    };
    removed.filter_map(fault).collect()
}
