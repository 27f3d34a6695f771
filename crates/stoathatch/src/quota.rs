//! `stoathatch quota`: what operators see and change of the quota tree.

use crate::ask::{Failed, ask};
use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use quota::{Amounts, Spec, Standing, Team, TeamSpec, Tree, file};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wire::admin::{Ask, Change, Changed, Edit};

/// Exit codes: 0 done, 1 refused, 2 could not be asked.
#[derive(Args)]
pub struct Command {
    /// A controller's peer address; several are tried in turn. Any controller will do.
    #[arg(
        long = "node",
        value_name = "IP:PORT",
        env = "STOATHATCH_NODES",
        value_delimiter = ',',
        global = true
    )]
    nodes: Vec<SocketAddr>,
    /// Print JSON, for programs.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// The tree in force, with what is used and wanted.
    Show {
        /// Print it as a file that `set` takes.
        #[arg(long)]
        file: bool,
    },
    /// Check a tree's file, without asking anybody.
    Check {
        /// The tree's file (TOML).
        file: PathBuf,
        /// Check against the teams of this settings file too.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Put another tree in the place of the one in force.
    Set {
        /// The tree's file; `-` for an empty tree, which takes quotas back to the teams alone.
        file: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// Move a team, or a node with all below it; its guarantee goes along.
    Move {
        /// The team, or the node.
        name: String,
        /// The node that it is to hang below; the root without it.
        #[arg(long)]
        to: Option<String>,
        #[command(flatten)]
        how: How,
    },
    /// Give a node other bounds.
    Shrink {
        /// The node.
        name: String,
        /// What it is guaranteed from now on: `gpus=8`. Can be given several times.
        #[arg(long, value_name = "RESOURCE=UNITS", value_parser = amount)]
        guarantee: Vec<(String, f64)>,
        /// What it may use at most from now on.
        #[arg(long, value_name = "RESOURCE=UNITS", value_parser = amount)]
        max: Vec<(String, f64)>,
        /// Cut what is guaranteed below it in proportion, where it would be more.
        #[arg(long)]
        scale: bool,
        #[command(flatten)]
        how: How,
    },
    /// The latest changes.
    History,
    /// Why a team's work waits.
    Why {
        /// As in the settings.
        team: String,
    },
    /// The schema of tree files (JSON Schema).
    Schema,
}

#[derive(Args)]
struct How {
    /// Say what would change and what would be stopped, and change nothing.
    #[arg(long)]
    dry_run: bool,
    /// The version that this change is made for; the one in force now, if not given.
    #[arg(long, value_name = "VERSION")]
    expect: Option<u64>,
    /// Who makes the change, for the history.
    #[arg(long, env = "USER", default_value = "unnamed")]
    by: String,
}

fn amount(text: &str) -> Result<(String, f64), String> {
    let (name, units) = text.split_once('=').ok_or("should be RESOURCE=UNITS, like gpus=8")?;
    let units = units.trim().parse().map_err(|_| format!("{units:?} is not a number"))?;
    Ok((name.trim().to_owned(), units))
}

/// Faults of a file, or whatever else ends a command.
enum End {
    Refused(Vec<String>),
    Failed(String),
}

impl From<Failed> for End {
    fn from(failed: Failed) -> Self {
        End::located(failed, None)
    }
}

impl End {
    /// What the service has refused, with the lines of the file that it was sent from.
    fn located(failed: Failed, from: Option<(&Path, &file::Parsed)>) -> Self {
        match failed {
            Failed::Unreachable(why) => End::Failed(why),
            Failed::Refused(why) => {
                let version = why.version.map(|v| format!("version in force: {v}"));
                let faults: Vec<String> = match from {
                    Some((path, parsed)) => {
                        let faults = parsed.locate(why.faults);
                        faults.iter().map(|f| format!("{}: {f}", path.display())).collect()
                    }
                    None => why.faults.iter().map(ToString::to_string).collect(),
                };
                End::Refused([why.error].into_iter().chain(faults).chain(version).collect())
            }
        }
    }
}

pub fn run(command: &Command) -> ExitCode {
    match execute(command) {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(End::Refused(lines)) => {
            lines.iter().for_each(|line| eprintln!("stoathatch: {line}"));
            ExitCode::from(1)
        }
        Err(End::Failed(why)) => {
            eprintln!("stoathatch: {why}");
            ExitCode::from(2)
        }
    }
}

fn execute(c: &Command) -> Result<String, End> {
    match &c.verb {
        Verb::Schema => Ok(file::schema()),
        Verb::Check { file, config } => check(file, config.as_deref()),
        Verb::Show { file } => {
            let tree: wire::admin::Tree = ask(&c.nodes, &Ask::Show)?;
            match (file, c.json) {
                (true, _) => file::render(&tree.spec).map_err(End::Failed),
                (_, true) => Ok(json(&tree)),
                _ => Ok(shown(&tree)),
            }
        }
        Verb::History => {
            let tree: wire::admin::Tree = ask(&c.nodes, &Ask::Show)?;
            if c.json {
                return Ok(json(&tree.history));
            }
            let rows = tree.history.iter().map(|p| {
                vec![p.version.to_string(), (p.at_ms / 1000).to_string(), p.by.clone(), p.what.clone()]
            });
            Ok(table(&["version", "unix time", "by", "what"], rows))
        }
        Verb::Why { team } => {
            let why: quota::Why = ask(&c.nodes, &Ask::Why { team: team.clone() })?;
            Ok(if c.json { json(&why) } else { reasons(&why) })
        }
        Verb::Set { file, how } => {
            if file == Path::new("-") {
                return change(c, how, Edit::Set { spec: Spec::default() }, None);
            }
            let parsed = read(file)?;
            change(c, how, Edit::Set { spec: parsed.spec.clone() }, Some((file, &parsed)))
        }
        Verb::Move { name, to, how } => {
            change(c, how, Edit::Move { name: name.clone(), to: to.clone() }, None)
        }
        Verb::Shrink { name, guarantee, max, scale, how } => {
            let all = |list: &[(String, f64)]| list.iter().cloned().collect::<Amounts>();
            let (guarantee, max) = (all(guarantee), all(max));
            change(c, how, Edit::Shrink { name: name.clone(), guarantee, max, scale: *scale }, None)
        }
    }
}

fn read(path: &Path) -> Result<file::Parsed, End> {
    let text = std::fs::read_to_string(path).map_err(|e| End::Failed(format!("{}: {e}", path.display())))?;
    file::parse(&text).map_err(|faults| placed(path, &faults))
}

fn placed(path: &Path, faults: &[quota::Fault]) -> End {
    End::Refused(faults.iter().map(|f| format!("{}: {f}", path.display())).collect())
}

fn check(path: &Path, config: Option<&Path>) -> Result<String, End> {
    let parsed = read(path)?;
    let teams = match config {
        Some(config) => crate::config::settings(config).map_err(End::Failed)?.quota_teams(),
        None => parsed.spec.teams.iter().map(named).collect(),
    };
    let tree = Tree::build(&parsed.spec, &teams).map_err(|faults| placed(path, &parsed.locate(faults)))?;
    let against = if config.is_some() { "" } else { "; its teams were not compared with any settings" };
    let (nodes, leaves) = (tree.nodes.len(), parsed.spec.teams.len());
    Ok(format!("{}: {nodes} nodes, {leaves} teams, {} levels{against}", path.display(), tree.levels()))
}

/// A team as far as the tree itself says.
fn named(t: &TeamSpec) -> Team {
    Team { guarantee: t.guarantee.clone().unwrap_or_default(), ..Team::new(&t.name) }
}

fn change(c: &Command, how: &How, edit: Edit, from: Option<(&Path, &file::Parsed)>) -> Result<String, End> {
    let expect = match how.expect {
        Some(version) => version,
        None => ask::<wire::admin::Tree>(&c.nodes, &Ask::Show)?.version,
    };
    // Made once: each try carries the same, so that it is made at most once.
    let id = format!("{:016x}", fastrand::u64(..));
    let (by, dry_run) = (how.by.clone(), how.dry_run);
    let change = Change { id, by, expect: Some(expect), dry_run, edit };
    let done: Changed = ask(&c.nodes, &Ask::Change(change)).map_err(|f| End::located(f, from))?;
    if c.json {
        return Ok(json(&done));
    }
    let mut out = if done.dry_run {
        format!("version {} stays; this would change:\n", done.version)
    } else {
        format!("version {} is in force\n", done.version)
    };
    done.differences.iter().chain(&done.above).for_each(|line| out.push_str(&format!("  {line}\n")));
    Ok(out)
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(head.iter().copied());
    rows.for_each(|row| {
        table.add_row(row);
    });
    table.to_string()
}

fn amounts(a: &Amounts) -> String {
    if a.is_empty() {
        return "-".to_owned();
    }
    a.iter().map(|(name, units)| format!("{name} {units}")).collect::<Vec<_>>().join(", ")
}

fn shown(tree: &wire::admin::Tree) -> String {
    let mut rows: Vec<Vec<String>> = Vec::new();
    below(tree, None, &mut rows);
    let head = ["name", "guaranteed", "at most", "weight", "used", "wanted"];
    let refused = tree.refused.iter().map(|why| format!("\nrefused: {why}")).collect::<String>();
    format!("version {}{refused}\n{}", tree.version, table(&head, rows.into_iter()))
}

/// Teams and nodes directly below a node, each node followed by what is below it.
fn below(tree: &wire::admin::Tree, parent: Option<&str>, rows: &mut Vec<Vec<String>>) {
    let row = |s: &Standing, mark: &str| {
        let name = format!("{}{mark}{}", "  ".repeat(s.depth), s.name);
        let weight = s.weight.to_string();
        vec![name, amounts(&s.guarantee), amounts(&s.max), weight, amounts(&s.used), amounts(&s.wanted)]
    };
    for team in tree.teams.iter().filter(|t| t.parent.as_deref() == parent) {
        rows.push(row(team, ""));
    }
    for node in tree.nodes.iter().filter(|n| n.parent.as_deref() == parent) {
        rows.push(row(node, "/"));
        below(tree, Some(&node.name), rows);
    }
}

fn reasons(why: &quota::Why) -> String {
    let mut out = format!("{}: uses {}, wants {}\n", why.team, amounts(&why.used), amounts(&why.wanted));
    for (name, share) in &why.entitled {
        out.push_str(&format!("entitled by {name} to {}\n", amounts(share)));
    }
    for bound in &why.bounded_by {
        out.push_str(&format!("bounded by {bound}\n"));
    }
    for (name, over) in &why.borrowed {
        out.push_str(&format!("{name} uses {} beyond its guarantee\n", amounts(over)));
    }
    let when = match (why.short.is_empty(), why.borrowed.is_empty(), why.bounded_by.is_empty()) {
        (true, _, true) => "nothing is due to it that it does not have: more waits for free room",
        (true, _, false) => "nothing is due to it that it does not have, and its bound leaves no room",
        (false, _, false) => "short of what it is entitled to, but a bound leaves no room",
        (false, true, _) => "short of what it is entitled to; nobody borrows: it waits for machines",
        (false, false, _) => {
            "short of what it is entitled to: the next plan calls it back from the first above, \
                              unless that ends within 15 s; then the time to save"
        }
    };
    out.push_str(&format!("short of {}: {when}\n", amounts(&why.short)));
    out
}
