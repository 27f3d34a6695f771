//! The command line of the scale run.

use capacity::children;
use capacity::hollow;
use capacity::run::{self, Options};
use capacity::size::Size;
use capacity::slopes;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Rules were broken, or the run did not do what it says.
const FAILED: u8 = 1;
/// The run could not be played as asked.
const UNUSABLE: u8 = 2;

/// Measures what stoathatch takes at a planned size, on one machine: real controllers, hollow workers.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one size.
    Run {
        #[command(flatten)]
        size: Size,
        #[command(flatten)]
        how: How,
    },
    /// Plays several sizes, and fits what grows with them.
    Slopes {
        #[command(flatten)]
        size: Size,
        #[command(flatten)]
        how: How,
        /// Numbers of workers, each with load in proportion.
        #[arg(long, value_delimiter = ',', default_values_t = [400, 800, 1600, 3300])]
        sizes: Vec<usize>,
        /// Draws the controllers' processor time to this file (SVG).
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Writes settings and a quota tree of the size to a folder.
    Documents {
        #[command(flatten)]
        size: Size,
        #[arg(long)]
        folder: PathBuf,
    },
    /// Hollow workers, started by the other commands.
    #[command(hide = true)]
    Workers {
        #[arg(long)]
        played: String,
    },
    /// A program that ends with the tool.
    #[command(hide = true)]
    Guard {
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<String>,
    },
}

#[derive(clap::Args)]
struct How {
    /// A controller program that is taken as it is; without it deploy/service.toml's is built.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// No progress on the terminal.
    #[arg(long)]
    quiet: bool,
}

impl From<How> for Options {
    fn from(how: How) -> Self {
        Options {
            binary: how.binary,
            quiet: how.quiet,
        }
    }
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Run { size, how } => play(&size, &how.into()),
        Command::Slopes {
            size,
            how,
            sizes,
            plot,
        } => measure(&size, &sizes, &how.into(), plot.as_deref()),
        Command::Documents { size, folder } => {
            capacity::cluster::write_documents(&size, &folder).map(|()| true)
        }
        Command::Workers { played } => serde_json::from_str(&played)
            .map_err(|e| e.to_string())
            .and_then(hollow::run)
            .map(|()| true),
        Command::Guard { command } => return children::guard(&command[0], &command[1..]),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(why) => {
            eprintln!("stoathatch-capacity: {why}");
            ExitCode::from(UNUSABLE)
        }
    }
}

fn play(size: &Size, options: &Options) -> Result<bool, String> {
    let report = run::play(size, options)?;
    println!("{}\n", report.table());
    for aim in &report.aims {
        let measured = aim
            .measured
            .map_or("not measured".to_owned(), |m| format!("{m:.4}"));
        let verdict = if aim.is_met { "met" } else { "missed" };
        println!("{verdict:>7}: {}: {measured} (plan: {})", aim.what, aim.aim);
    }
    for (rule, what) in &report.rules_broken {
        println!(" broken: {rule}: {what}");
    }
    for what in &report.not_done {
        println!("not done: {what}");
    }
    println!(
        "\n{}",
        serde_json::to_string(&report).map_err(|e| e.to_string())?
    );
    Ok(report.is_good())
}

fn measure(
    size: &Size,
    sizes: &[usize],
    options: &Options,
    plot: Option<&std::path::Path>,
) -> Result<bool, String> {
    if sizes.is_empty() || sizes.contains(&0) {
        return Err("--sizes: numbers of workers from 1 up are needed".into());
    }
    size.check()?;
    let slopes = slopes::measure(size, sizes, options, plot)?;
    for run in &slopes.runs {
        println!("{} workers\n\n{}\n", run.size.workers, run.table());
    }
    println!("{}\n", slopes.table());
    println!(
        "{}",
        serde_json::to_string(&slopes).map_err(|e| e.to_string())?
    );
    Ok(slopes.is_good())
}
