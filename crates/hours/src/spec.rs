//! The calendar in its file and record form, before validation. Dates are written `2026-12-24`, times `07:30`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whose jobs are released together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Studio {
    pub name: String,
    /// Its teams, as in the settings.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<String>,
    /// A node of the quota tree: all teams below it that no nearer node or studio of their own claims.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// Its time zone, by its name in the tz database: `Europe/Paris`.
    pub zone: String,
    /// Minutes that a job has at least between its acceptance and its hour.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub notice_min: u32,
}

/// When jobs of a class are released.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Release {
    pub studio: String,
    /// The class of jobs; without one, all that have no release of their own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Local times.
    pub at: Vec<String>,
    /// Weekdays (`mon` to `sun`); every day without any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub days: Vec<String>,
    /// Another notice than the studio's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub notice_min: Option<u32>,
}

/// Days on which a studio releases nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Holiday {
    /// All studios without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub studio: Option<String>,
    pub dates: Vec<String>,
}

/// Other hours on one day, whatever its weekday, also on a holiday.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    pub studio: String,
    /// The class of jobs; without one, all that have no exception of their own on that day.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    pub date: String,
    /// Local times; none at all on that day without any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub at: Vec<String>,
}

/// The hour of a single job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    pub studio: String,
    /// The job's id; it may be yet to come.
    pub job: String,
    /// Local date and time: `2026-12-24T18:00`.
    pub at: String,
}

/// The calendar as it is written down.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    #[serde(default, rename = "studio", skip_serializing_if = "Vec::is_empty")]
    pub studios: Vec<Studio>,
    #[serde(default, rename = "release", skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
    #[serde(default, rename = "holiday", skip_serializing_if = "Vec::is_empty")]
    pub holidays: Vec<Holiday>,
    #[serde(default, rename = "exception", skip_serializing_if = "Vec::is_empty")]
    pub exceptions: Vec<Exception>,
    #[serde(default, rename = "agreement", skip_serializing_if = "Vec::is_empty")]
    pub agreements: Vec<Agreement>,
}

impl Spec {
    /// Whether a studio refers to a node of the quota tree, so that its teams depend on the tree.
    pub fn follows_tree(&self) -> bool {
        self.studios.iter().any(|s| s.node.is_some())
    }
}

fn is_zero(v: &u32) -> bool {
    *v == 0
}
