//! `stoathatch quota`: shows and changes the quota tree.

use crate::documents::{
    ChangeArgs, CommandError, DocumentCommand, DocumentKind, ServiceArgs, change, json, table,
};
use clap::{Args, Subcommand};
use document::Fault;
use document::file::Parsed;
use quota::{Amounts, Spec, Standing, Team, TeamSpec, Tree};
use std::process::ExitCode;
use wire::admin::{self, Edit, Question};
use wire::settings::Settings;

#[derive(Args)]
pub struct Command {
    #[command(flatten)]
    asked: ServiceArgs,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    #[command(flatten)]
    Common(DocumentCommand),
    /// Move a team, or a node with its subtree, together with its guarantee.
    Move {
        /// The team, or the node.
        name: String,
        /// The new parent node; the root if not given.
        #[arg(long)]
        to: Option<String>,
        #[command(flatten)]
        how: ChangeArgs,
    },
    /// Change the guarantee and maximum of a node.
    Shrink {
        /// The node.
        name: String,
        /// The new guarantee, like `gpus=8`. Can be given several times.
        #[arg(long, value_name = "RESOURCE=UNITS", value_parser = parse_amount)]
        guarantee: Vec<(String, f64)>,
        /// The new maximum. Can be given several times.
        #[arg(long, value_name = "RESOURCE=UNITS", value_parser = parse_amount)]
        max: Vec<(String, f64)>,
        /// Reduce the guarantees below the node proportionally where they would exceed its own.
        #[arg(long)]
        scale: bool,
        #[command(flatten)]
        how: ChangeArgs,
    },
    /// Explain why a team's work waits.
    Why {
        /// Name of the team in the settings.
        team: String,
    },
}

fn parse_amount(text: &str) -> Result<(String, f64), String> {
    let (name, units) = text
        .split_once('=')
        .ok_or("should be RESOURCE=UNITS, like gpus=8")?;
    let units = units
        .trim()
        .parse()
        .map_err(|_| format!("{units:?} is not a number"))?;
    Ok((name.trim().to_owned(), units))
}

/// The document kind of quota trees.
pub enum QuotaDocument {}

impl DocumentKind for QuotaDocument {
    type Spec = Spec;
    type Shown = admin::Tree;
    type Edit = Edit;

    fn parse(text: &str) -> Result<Parsed<Spec>, Vec<Fault>> {
        quota::file::parse(text)
    }
    fn check(spec: &Spec, settings: Option<&Settings>) -> Result<String, Vec<Fault>> {
        let teams = match settings {
            Some(settings) => settings.quota_teams(),
            None => spec.teams.iter().map(team_from_spec).collect(),
        };
        let tree = Tree::build(spec, &teams)?;
        let against = if settings.is_some() {
            ""
        } else {
            "; its teams were not compared with any settings"
        };
        let (nodes, leaves) = (tree.nodes.len(), spec.teams.len());
        Ok(format!(
            "{nodes} nodes, {leaves} teams, {} levels{against}",
            tree.levels()
        ))
    }
    fn replace(spec: Spec) -> Edit {
        Edit::Set { spec }
    }
    fn parts(tree: &admin::Tree) -> (u64, &Spec, &[document::Past]) {
        (tree.version, &tree.spec, &tree.history)
    }
    fn render(tree: &admin::Tree) -> String {
        let mut rows: Vec<Vec<String>> = Vec::new();
        push_rows_below(tree, None, &mut rows);
        let head = ["name", "guaranteed", "at most", "weight", "used", "wanted"];
        let refused = tree
            .refused
            .iter()
            .map(|why| format!("\nrefused: {why}"))
            .collect::<String>();
        format!(
            "version {}{refused}\n{}",
            tree.version,
            table(&head, rows.into_iter())
        )
    }
}

pub fn run(command: &Command) -> ExitCode {
    crate::documents::exit_code(execute(command))
}

fn execute(c: &Command) -> Result<String, CommandError> {
    let service = &c.asked;
    match &c.verb {
        Verb::Common(common) => crate::documents::run::<QuotaDocument>(service, common),
        Verb::Why { team } => {
            let why: quota::Why =
                service.query::<QuotaDocument, _>(&Question::Why { team: team.clone() })?;
            Ok(if service.json {
                json(&why)
            } else {
                render_why(&why)
            })
        }
        Verb::Move { name, to, how } => change::<QuotaDocument>(
            service,
            how,
            Edit::Move {
                name: name.clone(),
                to: to.clone(),
            },
            None,
        ),
        Verb::Shrink {
            name,
            guarantee,
            max,
            scale,
            how,
        } => {
            let all = |list: &[(String, f64)]| list.iter().cloned().collect::<Amounts>();
            let (guarantee, max) = (all(guarantee), all(max));
            let edit = Edit::Shrink {
                name: name.clone(),
                guarantee,
                max,
                scale: *scale,
            };
            change::<QuotaDocument>(service, how, edit, None)
        }
    }
}

/// A team with what the tree itself states about it, for checks without settings.
fn team_from_spec(t: &TeamSpec) -> Team {
    Team {
        guarantee: t.guarantee.clone().unwrap_or_default(),
        ..Team::new(&t.name)
    }
}

fn format_amounts(a: &Amounts) -> String {
    if a.is_empty() {
        return "-".to_owned();
    }
    a.iter()
        .map(|(name, units)| format!("{name} {units}"))
        .collect::<Vec<_>>()
        .join(", ")
}

/// Adds the rows of the teams and nodes directly below a node, each node followed by its own subtree.
fn push_rows_below(tree: &admin::Tree, parent: Option<&str>, rows: &mut Vec<Vec<String>>) {
    let row = |s: &Standing, mark: &str| {
        let name = format!("{}{mark}{}", "  ".repeat(s.depth), s.name);
        let weight = s.weight.to_string();
        vec![
            name,
            format_amounts(&s.guarantee),
            format_amounts(&s.max),
            weight,
            format_amounts(&s.used),
            format_amounts(&s.wanted),
        ]
    };
    for team in tree.teams.iter().filter(|t| t.parent.as_deref() == parent) {
        rows.push(row(team, ""));
    }
    for node in tree.nodes.iter().filter(|n| n.parent.as_deref() == parent) {
        rows.push(row(node, "/"));
        push_rows_below(tree, Some(&node.name), rows);
    }
}

fn render_why(why: &quota::Why) -> String {
    let mut out = format!(
        "{}: uses {}, wants {}\n",
        why.team,
        format_amounts(&why.used),
        format_amounts(&why.wanted)
    );
    for (name, share) in &why.entitled {
        out.push_str(&format!(
            "entitled by {name} to {}\n",
            format_amounts(share)
        ));
    }
    for bound in &why.bounded_by {
        out.push_str(&format!("bounded by {bound}\n"));
    }
    for (name, over) in &why.borrowed {
        out.push_str(&format!(
            "{name} uses {} beyond its guarantee\n",
            format_amounts(over)
        ));
    }
    let when = match (
        why.short.is_empty(),
        why.borrowed.is_empty(),
        why.bounded_by.is_empty(),
    ) {
        (true, _, true) => "nothing is due to it that it does not have: more waits for free room",
        (true, _, false) => {
            "nothing is due to it that it does not have, and its bound leaves no room"
        }
        (false, _, false) => "short of what it is entitled to, but a bound leaves no room",
        (false, true, _) => {
            "short of what it is entitled to; nobody borrows: it waits for machines"
        }
        (false, false, _) => {
            "short of what it is entitled to: the next plan calls it back from the first above, \
                              unless that ends within 15 s; then the time to save"
        }
    };
    out.push_str(&format!(
        "short of {}: {when}\n",
        format_amounts(&why.short)
    ));
    out
}
