//! Description of models in files and records, and its validation.

use crate::file::MODEL;
use crate::{MAX_JOBS, MAX_NAME, MAX_REPLICAS, MAX_RULES, MAX_WAKES};
use document::{Content, Fault, Faults, Packer, Place};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The initial phase of a model without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Begin {
    /// Its submission counts as its first demand.
    #[default]
    Awake,
    /// It starts asleep and waits for demand.
    Asleep,
}

/// Selects `standing` jobs that are models. A job belongs to the first rule of which it matches every criterion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique in the document.
    pub name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Individual jobs, by id.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<String>,
    /// Replicas that are kept without demand; with 0 all machines are released.
    #[serde(default)]
    pub least: u32,
    /// Replicas while the model is awake, if fewer than the job's tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most: Option<u32>,
    /// Seconds without demand after which the model goes to sleep.
    pub idle_s: f64,
    /// Maximum number of wakes within `period_s`.
    #[serde(default = "wakes")]
    pub wakes: u32,
    #[serde(default = "period")]
    pub period_s: f64,
    /// Seconds after which a wake without a running replica is given up; the next wake is then delayed.
    #[serde(default = "give_up")]
    pub give_up_s: f64,
    /// Seconds for which one machine that holds the weights is kept after the model has gone to sleep.
    #[serde(default)]
    pub keep_s: f64,
    #[serde(default)]
    pub begin: Begin,
}

impl Rule {
    pub fn new(name: &str, idle_s: f64) -> Self {
        Rule {
            name: name.to_owned(),
            class: None,
            team: None,
            jobs: Vec::new(),
            least: 0,
            most: None,
            idle_s,
            wakes: wakes(),
            period_s: period(),
            give_up_s: give_up(),
            keep_s: 0.0,
            begin: Begin::Awake,
        }
    }

    fn matches_job(&self, job: &Job<'_>) -> bool {
        self.class.as_deref().is_none_or(|c| c == job.class)
            && self.team.as_deref().is_none_or(|t| t == job.team)
            && (self.jobs.is_empty() || self.jobs.iter().any(|j| j == job.id))
    }

    /// Replicas while the model is awake, for a job with this many tasks.
    pub fn awake_replicas(&self, tasks: u32) -> u32 {
        tasks.min(self.most.unwrap_or(tasks))
    }
    /// Replicas without demand, for a job with this many tasks.
    pub fn resting_replicas(&self, tasks: u32) -> u32 {
        self.least.min(self.awake_replicas(tasks))
    }

    /// Whether this rule matches every job that the later rule matches.
    fn shadows(&self, later: &Rule) -> bool {
        let covers = |own: &Option<String>, later: &Option<String>| own.is_none() || own == later;
        let covers_ids = self.jobs.is_empty()
            || !later.jobs.is_empty() && later.jobs.iter().all(|j| self.jobs.contains(j));
        covers(&self.class, &later.class) && covers(&self.team, &later.team) && covers_ids
    }
}

/// The properties of a `standing` job that decide which rule it belongs to.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub team: &'a str,
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    #[serde(default, rename = "model", skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Rule>,
}

impl Spec {
    /// The rule that a job belongs to.
    pub fn rule(&self, job: &Job<'_>) -> Option<&Rule> {
        self.rules.iter().find(|r| r.matches_job(job))
    }

    /// Validates the document and returns all faults. `teams` are those of the settings, if known.
    pub fn check(&self, teams: Option<&[String]>) -> Result<(), Vec<Fault>> {
        let mut faults = Faults::default();
        if self.rules.len() > MAX_RULES {
            let what = format!(
                "{} rules; at most {MAX_RULES} are allowed",
                self.rules.len()
            );
            return Err(vec![Fault::whole(MODEL, what)]);
        }
        let teams: Option<BTreeSet<&str>> =
            teams.map(|all| all.iter().map(String::as_str).collect());
        let mut names: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ids: BTreeMap<&str, usize> = BTreeMap::new();
        for (i, rule) in self.rules.iter().enumerate() {
            let mut fault = |field: &str, what: String| {
                let name: String = rule.name.chars().take(MAX_NAME).collect();
                faults.add(
                    Place::entry(MODEL, i),
                    format!("{MODEL} {name:?}.{field}"),
                    what,
                );
            };
            rule.check(teams.as_ref(), &mut fault);
            if names.insert(&rule.name, i).is_some() {
                fault("name", "another rule has this name".into());
            }
            for id in &rule.jobs {
                if let Some(other) = ids.insert(id, i) {
                    let other = &self.rules[other].name;
                    fault("jobs", format!("{id:?} is already listed by {other:?}"));
                }
            }
            if let Some(other) = self.rules[..i].iter().find(|r| r.shadows(rule)) {
                fault(
                    "class",
                    format!(
                        "never used: every job that it matches belongs to {:?} before it",
                        other.name
                    ),
                );
            }
        }
        faults.or(())
    }
}

impl Content for Spec {
    const KIND: &'static str = "models";
    const NAME: &'static str = "list of models";
    type Part = Spec;
    /// The teams of the settings, if known.
    type Context = Option<Vec<String>>;
    type Built = Spec;

    fn pack(&self, into: &mut Packer<Spec>) {
        self.rules
            .iter()
            .for_each(|r| into.push(r, |part| part.rules.push(r.clone())));
    }
    fn unpack(&mut self, part: &Spec) {
        self.rules.extend(part.rules.iter().cloned());
    }
    fn build(&self, teams: &Option<Vec<String>>) -> Result<Spec, Vec<Fault>> {
        self.check(teams.as_deref()).map(|()| self.clone())
    }
    fn differences(old: &Spec, new: &Spec, max_lines: usize) -> Vec<String> {
        let by_name = |s: &Spec| {
            s.rules
                .iter()
                .map(|r| (r.name.clone(), r.clone()))
                .collect::<BTreeMap<_, _>>()
        };
        let (before, after) = (by_name(old), by_name(new));
        let mut out = Vec::new();
        for name in before.keys().chain(after.keys()).collect::<BTreeSet<_>>() {
            match (before.get(name), after.get(name)) {
                (Some(_), None) => out.push(format!("{MODEL} {name}: removed")),
                (None, Some(_)) => out.push(format!("{MODEL} {name}: new")),
                (Some(was), Some(is)) if was != is => out.push(format!("{MODEL} {name}: changed")),
                _ => {}
            }
        }
        out.truncate(max_lines);
        out
    }
    fn size(built: &Spec) -> String {
        format!("{} rules", built.rules.len())
    }
    /// Drops rules for teams that are no longer in the settings: they match no jobs.
    fn fitting(&self, teams: &Option<Vec<String>>) -> Spec {
        let applies = |r: &&Rule| match (&r.team, teams) {
            (Some(team), Some(teams)) => teams.contains(team),
            _ => true,
        };
        Spec {
            rules: self.rules.iter().filter(applies).cloned().collect(),
        }
    }
}

impl Rule {
    fn check(&self, teams: Option<&BTreeSet<&str>>, fault: &mut impl FnMut(&str, String)) {
        let is_valid_name =
            |s: &str| !s.is_empty() && s.len() <= MAX_NAME && !s.chars().any(char::is_control);
        if !is_valid_name(&self.name) {
            fault(
                "name",
                format!("must be 1 to {MAX_NAME} bytes without control characters"),
            );
        }
        if self.class.as_deref().is_some_and(|c| !is_valid_name(c)) {
            fault(
                "class",
                format!("must be 1 to {MAX_NAME} bytes without control characters"),
            );
        }
        if let Some(team) = self
            .team
            .as_deref()
            .filter(|t| teams.is_some_and(|all| !all.contains(t)))
        {
            fault("team", format!("no team {team:?} in the settings"));
        }
        if self.class.is_none() && self.team.is_none() && self.jobs.is_empty() {
            fault(
                "class",
                "set a class, a team or jobs: otherwise every standing job would be a model".into(),
            );
        }
        if self.jobs.len() > MAX_JOBS {
            fault(
                "jobs",
                format!("{} ids; at most {MAX_JOBS} are allowed", self.jobs.len()),
            );
        }
        if let Some(id) = self.jobs.iter().find(|j| !is_valid_name(j)) {
            fault("jobs", format!("{id:?} is not a valid id"));
        }
        let most = self.most.unwrap_or(MAX_REPLICAS);
        if most == 0 || most > MAX_REPLICAS {
            fault("most", format!("must be 1 to {MAX_REPLICAS}"));
        }
        if self.least > most {
            fault(
                "least",
                format!("{} is greater than `most`, {most}", self.least),
            );
        }
        if self.wakes == 0 || self.wakes > MAX_WAKES {
            fault("wakes", format!("must be 1 to {MAX_WAKES}"));
        }
        let times = [
            ("idle_s", self.idle_s, 1.0, WEEK),
            ("period_s", self.period_s, 1.0, WEEK),
            ("give_up_s", self.give_up_s, 10.0, WEEK),
            ("keep_s", self.keep_s, 0.0, DAY),
        ];
        for (field, value, from, to) in times {
            if !(from..=to).contains(&value) {
                fault(
                    field,
                    format!("must be from {from} to {to} seconds, is {value}"),
                );
            }
        }
    }
}

const DAY: f64 = 86_400.0;
const WEEK: f64 = 7.0 * DAY;

fn wakes() -> u32 {
    12
}
fn period() -> f64 {
    3600.0
}
fn give_up() -> f64 {
    900.0
}
