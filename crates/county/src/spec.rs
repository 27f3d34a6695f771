//! The counties document before validation, and comparisons between two of its versions.

use document::Fault;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How to treat jobs that no rule matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Others {
    /// Run them, and count them separately, as `(other)`.
    #[default]
    Count,
    /// Refuse them, with the reason.
    Refuse,
}

/// How a county's jobs are isolated from other jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Apart {
    #[default]
    Nothing,
    /// They never share a machine at the same time with jobs of another county or of no county.
    Machine,
    /// They run only on machines in the listed zones.
    Zones,
}

/// A job matches the rule if it matches every non-empty list. Images and ids may end in `*`, which matches any suffix.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<String>,
    /// Nodes of the quota tree that are ancestors of the job's team.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub desks: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<String>,
    /// Zones that the job requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<String>,
    /// Job ids.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ids: Vec<String>,
}

impl Rule {
    /// The lists of this rule, with their field names.
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
    /// Whether this rule matches every job that `other` matches.
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

/// Whether the name or `*` pattern `a` matches every name that `b` matches.
fn pattern_covers(a: &str, b: &str) -> bool {
    match a.strip_suffix('*') {
        Some(prefix) => b.strip_suffix('*').unwrap_or(b).starts_with(prefix),
        None => a == b,
    }
}

/// Whether a name or `*` pattern of a rule matches a name of a job.
pub(crate) fn matches_pattern(pattern: &str, name: &str) -> bool {
    pattern
        .strip_suffix('*')
        .map_or(pattern == name, |prefix| name.starts_with(prefix))
}

#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CountySpec {
    /// Must never change: counts and bindings refer to it.
    pub id: String,
    /// Display name. Unlike the id, it can be changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    #[serde(default, skip_serializing_if = "is_default")]
    pub apart: Apart,
    /// The zones that jobs may run in; set if, and only if, `apart = "zones"`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
    /// No further jobs are bound to the county. Existing bindings and counts remain.
    #[serde(default, skip_serializing_if = "is_default")]
    pub closed: bool,
    /// The counties that a closed county was split into; information for readers of its counts.
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

/// The counties document. The first matching rule decides, in the order of the file.
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

/// The changes from `old` to `new`, one line each, at most `max_lines`.
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

/// Faults for counties that `new` must not remove yet. A county can be removed only if it is closed in `old`, so that
/// no job can be bound to it in the meantime, and if no live job is bound to it. `live` is the number of live jobs by
/// county.
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
