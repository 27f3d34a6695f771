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

/// Schedules jobs onto rented machines. Runs one controller of a small group that shares a state service.
#[derive(Parser)]
#[command(
    version,
    subcommand_negates_reqs = true,
    args_conflicts_with_subcommands = true
)]
struct Args {
    /// Settings file (JSON) provided by the platform.
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Operators' tuning file (INI); every value has a default.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_INI")]
    ini: Option<PathBuf>,
    /// Initial quota tree (TOML); used only if the deployment has never had one.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_QUOTA")]
    quota: Option<PathBuf>,
    /// Initial calendar of release hours (TOML); used only if the deployment has never had one.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_HOURS")]
    hours: Option<PathBuf>,
    /// Initial counties (TOML); used only if the deployment has never had any.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_COUNTIES")]
    counties: Option<PathBuf>,
    /// Initial list of models (TOML); used only if the deployment has never had one.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_MODELS")]
    models: Option<PathBuf>,
    /// Configuration of the YARN gateway (INI); without it the gateway is disabled.
    #[arg(long, value_name = "FILE", env = "STOATHATCH_YARN")]
    yarn: Option<PathBuf>,
    /// Check all given files, print the tuning values in force, and exit.
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Subcommands for operators of a running service.
#[derive(Subcommand)]
enum Command {
    /// Show and change quotas of members, desks and teams.
    Quota(quota::Command),
    /// Show and change release hours of studios' jobs.
    Hours(hours::Command),
    /// Show and change counties, which define whose jobs are whose.
    Counties(counties::Command),
    /// Show and audit the job counts of counties.
    Tally(tally::Command),
    /// Show and change models, which sleep while there is no demand for them.
    Models(models::Command),
    /// Manage YARN applications, queues and drains.
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

/// Reads the initial document if a file is given.
fn initial_document<T: documents::DocumentKind>(
    path: Option<&PathBuf>,
    settings: &wire::settings::Settings,
) -> Result<Option<T::Spec>, String> {
    path.map(|path| documents::initial_document::<T>(path, settings))
        .transpose()
}
