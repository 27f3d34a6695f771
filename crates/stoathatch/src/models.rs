//! `stoathatch models`: which service jobs are models, the state of each, and demand for one.

use crate::ask::send_request;
use crate::documents::{CommandError, DocumentCommand, DocumentKind, ServiceArgs, json, table};
use clap::{Args, Subcommand};
use document::file::Parsed;
use document::{Content, Fault};
use model::{Phase, Spec, Why};
use std::process::ExitCode;
use wire::admin::{Shown, Whole};
use wire::models::{Ask, DEMAND, Demand, ModelStatus, Standing};
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
    /// List the models, each with its phase, generation, since when it is in this phase, and why it is not awake.
    List,
    /// Report demand for a model, which wakes it. Repeating this while it wakes does not start another wake.
    Demand {
        /// The id of its job.
        model: String,
    },
}

/// The document kind of model lists.
pub enum ModelsDocument {}

impl DocumentKind for ModelsDocument {
    type Spec = Spec;
    type Shown = Shown<Spec>;
    type Edit = Whole<Spec>;

    fn parse(text: &str) -> Result<Parsed<Spec>, Vec<Fault>> {
        model::file::parse(text)
    }
    fn check(spec: &Spec, settings: Option<&Settings>) -> Result<String, Vec<Fault>> {
        let teams = settings.map(|s| s.cluster.teams.iter().map(|t| t.name.clone()).collect());
        let against = if settings.is_some() {
            ""
        } else {
            "; its teams were not compared with any settings"
        };
        Ok(format!("{}{against}", Spec::size(&spec.build(&teams)?)))
    }
    fn replace(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn parts(shown: &Shown<Spec>) -> (u64, &Spec, &[document::Past]) {
        (shown.version, &shown.spec, &shown.history)
    }
    fn render(shown: &Shown<Spec>) -> String {
        let any = |v: &Option<String>| v.clone().unwrap_or_else(|| "any".to_owned());
        let rows = shown.spec.rules.iter().map(|r| {
            let jobs = if r.jobs.is_empty() {
                "all".to_owned()
            } else {
                r.jobs.len().to_string()
            };
            let most = r.most.map_or_else(|| "all".to_owned(), |n| n.to_string());
            let idle = format!("{} s", r.idle_s);
            let wakes = format!("{} in {} s", r.wakes, r.period_s);
            vec![
                r.name.clone(),
                any(&r.class),
                any(&r.team),
                jobs,
                r.least.to_string(),
                most,
                idle,
                wakes,
            ]
        });
        let head = [
            "rule", "class", "team", "jobs", "least", "most", "idle", "wakes",
        ];
        let refused = shown
            .refused
            .iter()
            .map(|why| format!("\nrefused: {why}"))
            .collect::<String>();
        format!("version {}{refused}\n{}", shown.version, table(&head, rows))
    }
}

pub fn run(command: &Command) -> ExitCode {
    crate::documents::exit_code(execute(command))
}

fn execute(c: &Command) -> Result<String, CommandError> {
    let service = &c.asked;
    match &c.verb {
        Verb::Common(common) => crate::documents::run::<ModelsDocument>(service, common),
        Verb::List => {
            let all: Vec<Standing> = service.query::<ModelsDocument, _>(&Ask::List {})?;
            Ok(if service.json {
                json(&all)
            } else {
                render_list(&all)
            })
        }
        Verb::Demand { model } => {
            // Demand is idempotent, so the request may be retried at any controller.
            let status: ModelStatus = send_request(
                &service.nodes,
                DEMAND,
                &Demand {
                    model: model.clone(),
                },
                true,
            )?;
            Ok(if service.json {
                json(&status)
            } else {
                format!("{}: {}", status.model, render_status(&status))
            })
        }
    }
}

fn render_status(status: &ModelStatus) -> String {
    let phase = match status.phase {
        Phase::Asleep => "asleep",
        Phase::Waking => "waking",
        Phase::Awake => "awake",
        Phase::Leaving => "going to sleep",
    };
    let due = status
        .due_ms
        .map(|at| format!(", due at unix time {}", at / 1000))
        .unwrap_or_default();
    let why = match &status.why {
        Some(Why::TooOften) => ", woken as often as it may be".to_owned(),
        Some(Why::Backoff { failed }) => format!(", the last {failed} wakes came to nothing"),
        None => String::new(),
    };
    let until = status
        .not_before_ms
        .map(|at| format!(", not before unix time {}", at / 1000));
    format!(
        "{phase}, generation {}{due}{why}{}",
        status.generation,
        until.unwrap_or_default()
    )
}

fn render_list(all: &[Standing]) -> String {
    let rows = all.iter().map(|m| {
        let quiet = format!("{} s", m.quiet_ms / 1000);
        let replicas = format!("{} of {}", m.running, m.wanted);
        let since = (m.told.since_ms / 1000).to_string();
        let team = m.team.clone();
        vec![
            m.told.model.clone(),
            m.rule.clone(),
            team,
            render_status(&m.told),
            since,
            replicas,
            quiet,
            m.by.clone(),
        ]
    });
    table(
        &[
            "model", "rule", "team", "state", "since", "running", "quiet", "by",
        ],
        rows,
    )
}
