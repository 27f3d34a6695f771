//! `stoathatch counties`: what operators see and change of counties, and their counts.

use crate::documents::{Asked, Common, End, Table, json, table};
use clap::{Args, Subcommand};
use county::{Apart, Counties, Known, Others, Rule, Spec};
use document::file::Parsed;
use document::{Content, Fault, Past};
use std::process::ExitCode;
use std::time::Duration;
use wire::admin::{Shown, Whole};
use wire::settings::Settings;
use wire::tally::{Audit, Counts, Line, Question};

#[derive(Args)]
pub struct Command {
    #[command(flatten)]
    asked: Asked,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    #[command(flatten)]
    Common(Common),
    /// Accepted, live, done and cancelled jobs, and done tasks, as of one revision.
    Tally {
        /// Its id; all of them without it.
        county: Option<String>,
    },
    /// Count again from all records, and name each difference. Exit code 1 if there is one.
    Audit,
}

/// The counties' part in the common verbs.
pub enum Partition {}

impl Table for Partition {
    type Spec = Spec;
    type Shown = Shown<Spec>;
    type Edit = Whole<Spec>;

    fn parse(text: &str) -> Result<Parsed<Spec>, Vec<Fault>> {
        county::file::parse(text)
    }
    fn check(spec: &Spec, settings: Option<&Settings>) -> Result<String, Vec<Fault>> {
        let known = match settings {
            Some(s) => Known {
                teams: s.cluster.teams.iter().map(|t| t.name.clone()).collect(),
                zones: s.cluster.zones.iter().cloned().collect(),
                desks: None,
            },
            None => named(spec),
        };
        let built = Counties::build(spec, &known)?;
        let against = if settings.is_some() { "" } else { "; names were not compared with any settings" };
        Ok(format!("{}{against}", Spec::size(&built)))
    }
    fn set(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn parts(shown: &Shown<Spec>) -> (u64, &Spec, &[Past]) {
        (shown.version, &shown.spec, &shown.history)
    }
    fn shown(shown: &Shown<Spec>) -> String {
        let rows = shown.spec.counties.iter().map(|c| {
            let apart = match c.apart {
                Apart::Nothing => "-".to_owned(),
                Apart::Machine => "machine".to_owned(),
                Apart::Zones => format!("zones {}", c.zones.join(", ")),
            };
            let state = match (c.closed, c.into.is_empty()) {
                (false, _) => "open".to_owned(),
                (true, true) => "closed".to_owned(),
                (true, false) => format!("closed, into {}", c.into.join(", ")),
            };
            vec![c.id.clone(), c.title().to_owned(), state, apart, c.rules.len().to_string()]
        });
        let refused = shown.refused.iter().map(|why| format!("\nrefused: {why}")).collect::<String>();
        let others = match shown.spec.others {
            Others::Count => "counted apart",
            Others::Refuse => "refused",
        };
        let head = ["id", "name", "state", "apart", "rules"];
        format!("version {}, jobs of no county are {others}{refused}\n{}", shown.version, table(&head, rows))
    }
}

/// All names that a document has, taken as known.
fn named(spec: &Spec) -> Known {
    let rules = || spec.counties.iter().flat_map(|c| &c.rules);
    let all = |of: fn(&Rule) -> &Vec<String>| rules().flat_map(of).cloned().collect();
    let mut known = Known { teams: all(|r| &r.teams), zones: all(|r| &r.zones), desks: None };
    known.zones.extend(spec.counties.iter().flat_map(|c| c.zones.iter().cloned()));
    known
}

pub fn run(command: &Command) -> ExitCode {
    crate::documents::end(execute(command))
}

fn execute(c: &Command) -> Result<String, End> {
    let asked = &c.asked;
    match &c.verb {
        Verb::Common(common) => crate::documents::run::<Partition>(asked, common),
        Verb::Tally { county } => {
            let counts: Counts = asked.ask::<Partition, _>(&Question::Tally { county: county.clone() })?;
            Ok(if asked.json { json(&counts) } else { told(&counts) })
        }
        Verb::Audit => audit(asked),
    }
}

fn told(counts: &Counts) -> String {
    let row = |l: &Line| {
        let name = l.name.clone().unwrap_or_else(|| l.county.clone());
        let counts = [l.accepted, l.live, l.done, l.cancelled, l.done_tasks].map(|n| n.to_string());
        [l.county.clone(), name, l.class.clone()].into_iter().chain(counts).collect()
    };
    let head = ["county", "name", "class", "accepted", "live", "done", "cancelled", "done tasks"];
    format!("as of revision {}\n{}", counts.revision, table(&head, counts.lines.iter().map(row)))
}

/// Asks until the audit is through. An owner that is lost takes it along; the next begins it anew.
fn audit(asked: &Asked) -> Result<String, End> {
    let question = Question::Audit { id: format!("{:016x}", fastrand::u64(..)) };
    loop {
        match asked.ask::<Partition, Audit>(&question)? {
            Audit::Running { read } => {
                eprintln!("{read} records read");
                std::thread::sleep(Duration::from_secs(1));
            }
            done if asked.json => return Ok(json(&done)),
            Audit::Done { revision, read, differences } if differences.is_empty() => {
                return Ok(format!("as of revision {revision}: the counts are those of {read} records"));
            }
            Audit::Done { revision, differences, .. } => {
                let head = format!("as of revision {revision} the counts differ from the records");
                return Err(End::Refused([head].into_iter().chain(differences).collect()));
            }
        }
    }
}
