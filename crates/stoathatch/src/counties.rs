//! `stoathatch counties`: shows and changes counties. [`crate::tally`] shows their job counts.

use crate::documents::{DocumentCommand, DocumentKind, ServiceArgs, table};
use clap::Args;
use county::{Apart, Counties, Known, Others, Rule, Spec};
use document::file::Parsed;
use document::{Content, Fault, Past};
use std::process::ExitCode;
use wire::admin::{Shown, Whole};
use wire::settings::Settings;

#[derive(Args)]
pub struct Command {
    #[command(flatten)]
    asked: ServiceArgs,
    #[command(subcommand)]
    verb: DocumentCommand,
}

/// The document kind of counties.
pub enum CountiesDocument {}

impl DocumentKind for CountiesDocument {
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
            None => names_in(spec),
        };
        let built = Counties::build(spec, &known)?;
        let against = if settings.is_some() {
            ""
        } else {
            "; names were not compared with any settings"
        };
        Ok(format!("{}{against}", Spec::size(&built)))
    }
    fn replace(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn parts(shown: &Shown<Spec>) -> (u64, &Spec, &[Past]) {
        (shown.version, &shown.spec, &shown.history)
    }
    fn render(shown: &Shown<Spec>) -> String {
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
            vec![
                c.id.clone(),
                c.title().to_owned(),
                state,
                apart,
                c.rules.len().to_string(),
            ]
        });
        let refused = shown
            .refused
            .iter()
            .map(|why| format!("\nrefused: {why}"))
            .collect::<String>();
        let others = match shown.spec.others {
            Others::Count => "counted apart",
            Others::Refuse => "refused",
        };
        let head = ["id", "name", "state", "apart", "rules"];
        format!(
            "version {}, jobs of no county are {others}{refused}\n{}",
            shown.version,
            table(&head, rows)
        )
    }
}

/// All team and zone names in a document, taken as existing where there are no settings to compare them with.
fn names_in(spec: &Spec) -> Known {
    let rules = || spec.counties.iter().flat_map(|c| &c.rules);
    let all = |of: fn(&Rule) -> &Vec<String>| rules().flat_map(of).cloned().collect();
    let mut known = Known {
        teams: all(|r| &r.teams),
        zones: all(|r| &r.zones),
        desks: None,
    };
    known
        .zones
        .extend(spec.counties.iter().flat_map(|c| c.zones.iter().cloned()));
    known
}

pub fn run(c: &Command) -> ExitCode {
    crate::documents::exit_code(crate::documents::run::<CountiesDocument>(&c.asked, &c.verb))
}
