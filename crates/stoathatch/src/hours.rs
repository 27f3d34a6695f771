//! `stoathatch hours`: the calendar of release hours, and the deadlines of jobs.

use crate::documents::{CommandError, DocumentCommand, DocumentKind, ServiceArgs, json, table};
use clap::{Args, Subcommand};
use document::file::Parsed;
use document::{Content, Fault};
use hours::{Around, Calendar, Spec, TeamAt};
use std::process::ExitCode;
use wire::admin::{Shown, Whole};
use wire::hours::{Ask, Line, List, Moved, Risk, State};
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
    /// List when jobs are due, which are at risk and why, and which deadlines were kept or missed.
    List {
        /// Only jobs of this studio.
        studio: Option<String>,
    },
    /// Change the release hour of a job, or set one if it has none.
    Move {
        /// The job's id.
        job: String,
        /// Local time of its studio, like 2026-12-24T18:00, or a time with an offset.
        #[arg(long)]
        to: String,
        /// Who makes the change, for the job's record.
        #[arg(long, env = "USER", default_value = "unnamed")]
        by: String,
    },
    /// Reset the release hours of a studio's pending jobs to the calendar in force.
    Reagree {
        /// The studio.
        studio: String,
        /// Show which hours would change, without changing them.
        #[arg(long)]
        dry_run: bool,
        /// Who makes the change, for the jobs' records.
        #[arg(long, env = "USER", default_value = "unnamed")]
        by: String,
    },
}

/// The document kind of release calendars.
pub enum HoursDocument {}

impl DocumentKind for HoursDocument {
    type Spec = Spec;
    type Shown = Shown<Spec>;
    type Edit = Whole<Spec>;

    fn parse(text: &str) -> Result<Parsed<Spec>, Vec<Fault>> {
        hours::file::parse(text)
    }
    /// The nodes of the quota tree are known to a running service only, so every node named here is accepted.
    fn check(spec: &Spec, settings: Option<&Settings>) -> Result<String, Vec<Fault>> {
        let named = |s: &Settings| {
            let teams = s.cluster.teams.iter();
            teams
                .map(|t| TeamAt {
                    name: t.name.clone(),
                    path: Vec::new(),
                })
                .collect()
        };
        let nodes = spec.studios.iter().filter_map(|s| s.node.clone()).collect();
        let calendar = Calendar::build(
            spec,
            &Around {
                teams: settings.map(named),
                nodes,
            },
        )?;
        let against = if settings.is_some() {
            ""
        } else {
            "; its teams were not compared with any settings"
        };
        Ok(format!("{}{against}", Spec::size(&calendar)))
    }
    fn replace(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn parts(shown: &Shown<Spec>) -> (u64, &Spec, &[document::Past]) {
        (shown.version, &shown.spec, &shown.history)
    }
    fn render(shown: &Shown<Spec>) -> String {
        let class = |c: &Option<String>| c.clone().unwrap_or_else(|| "any".to_owned());
        let days = |d: &[String]| {
            if d.is_empty() {
                "every day".to_owned()
            } else {
                d.join(" ")
            }
        };
        let studio = |name: &str| shown.spec.studios.iter().find(|s| s.name == name);
        let rows = shown.spec.releases.iter().map(|r| {
            let zone = studio(&r.studio)
                .map(|s| s.zone.clone())
                .unwrap_or_default();
            let notice = r
                .notice_min
                .or(studio(&r.studio).map(|s| s.notice_min))
                .unwrap_or(0);
            vec![
                r.studio.clone(),
                class(&r.class),
                r.at.join(" "),
                days(&r.days),
                zone,
                format!("{notice} min"),
            ]
        });
        let head = ["studio", "class", "at", "on", "zone", "notice"];
        let refused = shown
            .refused
            .iter()
            .map(|why| format!("\nrefused: {why}"))
            .collect::<String>();
        let own = format!(
            "{} exceptions, {} holidays, {} agreements (show --file lists them)",
            shown.spec.exceptions.len(),
            shown
                .spec
                .holidays
                .iter()
                .map(|h| h.dates.len())
                .sum::<usize>(),
            shown.spec.agreements.len()
        );
        format!(
            "version {}{refused}\n{}\n{own}",
            shown.version,
            table(&head, rows)
        )
    }
}

pub fn run(command: &Command) -> ExitCode {
    crate::documents::exit_code(execute(command))
}

fn execute(c: &Command) -> Result<String, CommandError> {
    let service = &c.asked;
    match &c.verb {
        Verb::Common(common) => crate::documents::run::<HoursDocument>(service, common),
        Verb::List { studio } => {
            let list: List = service.query::<HoursDocument, _>(&Ask::List {
                studio: studio.clone(),
            })?;
            Ok(if service.json {
                json(&list)
            } else {
                render_list(&list)
            })
        }
        Verb::Move { job, to, by } => {
            let ask = Ask::Move {
                job: job.clone(),
                to: to.clone(),
                by: by.clone(),
            };
            request_move(service, &ask)
        }
        Verb::Reagree {
            studio,
            dry_run,
            by,
        } => {
            let ask = Ask::Reagree {
                studio: studio.clone(),
                by: by.clone(),
                dry_run: *dry_run,
            };
            request_move(service, &ask)
        }
    }
}

fn request_move(service: &ServiceArgs, ask: &Ask) -> Result<String, CommandError> {
    let moved: Moved = service.query::<HoursDocument, _>(ask)?;
    if service.json {
        return Ok(json(&moved));
    }
    let words = if moved.dry_run { "would move" } else { "move" };
    let lines = moved
        .lines
        .iter()
        .map(|line| format!("  {line}\n"))
        .collect::<String>();
    Ok(format!("{} hours {words}\n{lines}", moved.jobs))
}

fn render_list(list: &List) -> String {
    let rows = list.lines.iter().map(|l| {
        let studio = l.studio.clone().unwrap_or_else(|| "-".to_owned());
        let moved = l
            .moved
            .as_ref()
            .map(|m| format!("by {}", m.by))
            .unwrap_or_default();
        vec![
            studio,
            l.due.clone(),
            l.job.clone(),
            l.class.clone(),
            render_state(l),
            moved,
        ]
    });
    let more = if list.more > 0 {
        format!("\nand {} more", list.more)
    } else {
        String::new()
    };
    format!(
        "{}{more}",
        table(&["studio", "due", "job", "class", "", "moved"], rows)
    )
}

fn render_state(line: &Line) -> String {
    let late = line
        .late_s
        .map(|s| format!(" by {s:.0} s"))
        .unwrap_or_default();
    match line.state {
        State::Due => "due".to_owned(),
        State::AtRisk(risk) => format!("at risk: {}", render_risk(risk)),
        State::Missed => format!("missed{late}"),
        State::Kept => "kept".to_owned(),
        State::Withdrawn => "cancelled".to_owned(),
    }
}

fn render_risk(risk: Risk) -> &'static str {
    match risk {
        Risk::Room => "no room",
        Risk::Quota => "its team is at its bound",
        Risk::Image => "its image is being fetched",
        Risk::Boot => "machines are booting",
        Risk::Cut => "its zone is cut off",
    }
}
