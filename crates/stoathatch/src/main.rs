//! The stoathatch cluster scheduler.

mod ask;
mod config;
mod counties;
mod documents;
mod hours;
mod models;
mod quota;
mod service;
mod tally;
mod tools;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Schedules jobs onto rented machines. One process of a small group that share a state service.
#[derive(Parser)]
#[command(
    version,
    subcommand_negates_reqs = true,
    args_conflicts_with_subcommands = true
)]
struct Args {
    /// The settings file (JSON) that the platform hands over.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Operators' own settings (INI); all have defaults.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_INI")]
    ini: Option<PathBuf>,
    /// A quota tree to begin with (TOML); used only if the deployment has never had one.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_QUOTA")]
    quota: Option<PathBuf>,
    /// A calendar of release hours to begin with (TOML); used only if the deployment has never had one.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_HOURS")]
    hours: Option<PathBuf>,
    /// Counties to begin with (TOML); used only if the deployment has never had any.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_COUNTIES")]
    counties: Option<PathBuf>,
    /// A list of models to begin with (TOML); used only if the deployment has never had one.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_MODELS")]
    models: Option<PathBuf>,
    /// Serve YARN's clients too, as this file says (INI); without it nothing listens for them.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_YARN")]
    yarn: Option<PathBuf>,
    /// Check the settings, print the operators' values in force, and end.
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

/// What operators ask a running service.
#[derive(Subcommand)]
enum Command {
    /// Quotas of members, desks and teams.
    Quota(quota::Command),
    /// Release hours of studios' jobs.
    Hours(hours::Command),
    /// Counties: whose jobs are whose.
    Counties(counties::Command),
    /// The counties' counts, and their audit.
    Tally(tally::Command),
    /// Models that sleep while nobody asks for them.
    Models(models::Command),
    /// Applications of YARN's clients, their queues, and drains.
    Yarn(tools::Command),
}

fn main() -> ExitCode {
    let args = Args::parse();
    match &args.command {
        Some(Command::Quota(command)) => return quota::run(command),
        Some(Command::Hours(command)) => return hours::run(command),
        Some(Command::Counties(command)) => return counties::run(command),
        Some(Command::Tally(command)) => return tally::run(command),
        Some(Command::Models(command)) => return models::run(command),
        Some(Command::Yarn(command)) => return tools::run(command),
        None => {}
    }
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let filter = match level.to_ascii_lowercase().as_str() {
        "debug" => log::LevelFilter::Debug,
        "error" => log::LevelFilter::Error,
        "warn" => log::LevelFilter::Warn,
        _ => log::LevelFilter::Info,
    };
    env_logger::Builder::new()
        .filter_level(filter)
        .format(|f, r| {
            use std::io::Write;
            writeln!(
                f,
                "{} {}",
                r.level().as_str().to_ascii_lowercase(),
                r.args()
            )
        })
        .init();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("stoathatch: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let config = args.config.as_ref().ok_or("--config is missing")?;
    let settings = config::settings(config)?;
    let tuning = match &args.ini {
        Some(path) => config::tuning(path)?,
        None => control::Tuning::default(),
    };
    let initial = service::InitialDocuments {
        tree: initial_document::<quota::QuotaDocument>(args.quota.as_ref(), &settings)?,
        hours: initial_document::<hours::HoursDocument>(args.hours.as_ref(), &settings)?,
        counties: initial_document::<counties::CountiesDocument>(
            args.counties.as_ref(),
            &settings,
        )?,
        models: initial_document::<models::ModelsDocument>(args.models.as_ref(), &settings)?,
    };
    let yarn = args.yarn.as_deref().map(config::yarn).transpose()?;
    if args.check {
        for (section, key, value, meaning) in tuning.list() {
            println!("[{section}] {key} = {value}  ; {meaning}");
        }
        return Ok(());
    }
    service::Service::new(settings, tuning, initial, yarn)?.run()
}

/// The document that a deployment begins with, if one is named.
fn initial_document<T: documents::DocumentKind>(
    path: Option<&PathBuf>,
    settings: &wire::settings::Settings,
) -> Result<Option<T::Spec>, String> {
    path.map(|path| documents::initial_document::<T>(path, settings))
        .transpose()
}
