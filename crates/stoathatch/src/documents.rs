//! Subcommands that every kind of document has: show it, check a file, put another version in force, and list changes.
//! A kind implements [`DocumentKind`], and may have subcommands of its own beside the common ones.

use crate::ask::{RequestError, send_request};
use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use document::file::Parsed;
use document::{Content, Fault, Past};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wire::admin::{self, AskOf, ChangeOf, Changed};
use wire::settings::Settings;

/// Exit codes: 0 done, 1 rejected, 2 unusable local file or no usable response.
#[derive(Args)]
pub struct ServiceArgs {
    /// Peer address of any controller; if several are given, they are tried in turn.
    #[arg(
        long = "node",
        value_name = "IP:PORT",
        env = "STOATHATCH_NODES",
        value_delimiter = ',',
        global = true
    )]
    pub nodes: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Subcommand)]
pub enum DocumentCommand {
    /// Show the version in force and its present state.
    Show {
        /// Print it in the file format that `set` accepts.
        #[arg(long)]
        file: bool,
    },
    /// Check a file without contacting a controller.
    Check {
        /// The file (TOML).
        file: PathBuf,
        /// Also check against the teams and zones of this settings file.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Replace the version in force.
    Set {
        /// The file; `-` for an empty document, which has the same effect as having none.
        file: PathBuf,
        #[command(flatten)]
        how: ChangeArgs,
    },
    /// List the latest changes.
    History,
    /// Print the JSON Schema of the file format.
    Schema,
}

#[derive(Args)]
pub struct ChangeArgs {
    /// Show what would change and the effects, without changing anything.
    #[arg(long)]
    pub dry_run: bool,
    /// The version that this change applies to; the change is rejected if another one is in force. Default: the
    /// version in force now.
    #[arg(long, value_name = "VERSION")]
    pub expect: Option<u64>,
    /// Who makes the change, for the history.
    #[arg(long, env = "USER", default_value = "unnamed")]
    pub by: String,
}

/// What the common subcommands need to know about a kind of document.
pub trait DocumentKind {
    type Spec: Content + schemars::JsonSchema;
    /// The service's response to `show`.
    type Shown: Serialize + DeserializeOwned;
    type Edit: Serialize;

    fn parse(text: &str) -> Result<Parsed<Self::Spec>, Vec<Fault>>;
    /// Validates a document, also against settings where given. Returns a summary of its size.
    fn check(spec: &Self::Spec, settings: Option<&Settings>) -> Result<String, Vec<Fault>>;
    /// The edit that replaces the whole document.
    fn replace(spec: Self::Spec) -> Self::Edit;
    fn parts(shown: &Self::Shown) -> (u64, &Self::Spec, &[Past]);
    /// Formats the response to `show` as text.
    fn render(shown: &Self::Shown) -> String;
}

/// Why a command did not succeed.
pub enum CommandError {
    /// A file or a request was rejected.
    Refused(Vec<String>),
    /// A local file is unusable, or the service gave no usable response.
    Failed(String),
    /// JSON output of an audit that found differences.
    Differences(String),
}

impl From<RequestError> for CommandError {
    fn from(error: RequestError) -> Self {
        CommandError::from_request_error::<()>(error, None)
    }
}

impl CommandError {
    /// Converts a failed request. Faults found by the service get the line numbers of the file that was sent.
    fn from_request_error<S>(error: RequestError, from: Option<(&Path, &Parsed<S>)>) -> Self {
        match error {
            RequestError::Unreachable(why) => CommandError::Failed(why),
            RequestError::Refused(why) => {
                let version = why.version.map(|v| format!("version in force: {v}"));
                let faults: Vec<String> = match from {
                    Some((path, parsed)) => {
                        let faults = parsed.locate(why.faults);
                        faults
                            .iter()
                            .map(|f| format!("{}: {f}", path.display()))
                            .collect()
                    }
                    None => why.faults.iter().map(ToString::to_string).collect(),
                };
                CommandError::Refused(
                    [why.error]
                        .into_iter()
                        .chain(faults)
                        .chain(version)
                        .collect(),
                )
            }
        }
    }

    fn from_faults(path: &Path, faults: &[Fault]) -> Self {
        CommandError::Refused(
            faults
                .iter()
                .map(|f| format!("{}: {f}", path.display()))
                .collect(),
        )
    }

    fn into_lines(self) -> Vec<String> {
        match self {
            CommandError::Refused(lines) => lines,
            CommandError::Failed(why) | CommandError::Differences(why) => vec![why],
        }
    }
}

/// Prints the result of a command and returns its exit code.
pub fn exit_code(result: Result<String, CommandError>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(CommandError::Differences(text)) => {
            println!("{text}");
            ExitCode::from(1)
        }
        Err(end) => {
            let code = ExitCode::from(if matches!(end, CommandError::Refused(_)) {
                1
            } else {
                2
            });
            end.into_lines()
                .iter()
                .for_each(|line| eprintln!("stoathatch: {line}"));
            code
        }
    }
}

impl ServiceArgs {
    /// Sends a query about a document kind.
    pub fn query<T: DocumentKind, A: DeserializeOwned>(
        &self,
        question: &impl Serialize,
    ) -> Result<A, RequestError> {
        send_request(&self.nodes, &admin::path(T::Spec::KIND), question, false)
    }

    fn fetch<T: DocumentKind>(&self) -> Result<T::Shown, RequestError> {
        self.query::<T, _>(&AskOf::<T::Edit>::Show)
    }
}

pub fn run<T: DocumentKind>(
    service: &ServiceArgs,
    common: &DocumentCommand,
) -> Result<String, CommandError> {
    match common {
        DocumentCommand::Schema => Ok(document::file::schema::<T::Spec>()),
        DocumentCommand::Check { file, config } => {
            let parsed = read_document::<T>(file)?;
            let settings = config
                .as_deref()
                .map(crate::config::settings)
                .transpose()
                .map_err(CommandError::Failed)?;
            let checked = T::check(&parsed.spec, settings.as_ref());
            let words = checked
                .map_err(|faults| CommandError::from_faults(file, &parsed.locate(faults)))?;
            Ok(format!("{}: {words}", file.display()))
        }
        DocumentCommand::Show { file } => {
            let shown = service.fetch::<T>()?;
            match (file, service.json) {
                (true, _) => {
                    document::file::render(T::parts(&shown).1).map_err(CommandError::Failed)
                }
                (_, true) => Ok(json(&shown)),
                _ => Ok(T::render(&shown)),
            }
        }
        DocumentCommand::History => {
            let shown = service.fetch::<T>()?;
            let (_, _, history) = T::parts(&shown);
            if service.json {
                return Ok(json(&history));
            }
            let rows = history.iter().map(|p| {
                vec![
                    p.version.to_string(),
                    (p.at_ms / 1000).to_string(),
                    p.by.clone(),
                    p.what.clone(),
                ]
            });
            Ok(table(&["version", "unix time", "by", "what"], rows))
        }
        DocumentCommand::Set { file, how } if file == Path::new("-") => {
            change::<T>(service, how, T::replace(T::Spec::default()), None)
        }
        DocumentCommand::Set { file, how } => {
            let parsed = read_document::<T>(file)?;
            change::<T>(
                service,
                how,
                T::replace(parsed.spec.clone()),
                Some((file, &parsed)),
            )
        }
    }
}

fn read_document<T: DocumentKind>(path: &Path) -> Result<Parsed<T::Spec>, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| CommandError::Failed(format!("{}: {e}", path.display())))?;
    T::parse(&text).map_err(|faults| CommandError::from_faults(path, &faults))
}

/// Reads an initial document and checks it against the settings. The error lists all faults with path and line.
pub fn initial_document<T: DocumentKind>(
    path: &Path,
    settings: &Settings,
) -> Result<T::Spec, String> {
    let parsed = read_document::<T>(path).map_err(|end| end.into_lines().join("\n"))?;
    match T::check(&parsed.spec, Some(settings)) {
        Ok(_) => Ok(parsed.spec),
        Err(faults) => Err(CommandError::from_faults(path, &parsed.locate(faults))
            .into_lines()
            .join("\n")),
    }
}

/// Requests a change and describes its result.
pub fn change<T: DocumentKind>(
    service: &ServiceArgs,
    how: &ChangeArgs,
    edit: T::Edit,
    from: Option<(&Path, &Parsed<T::Spec>)>,
) -> Result<String, CommandError> {
    let expect = match how.expect {
        Some(version) => version,
        None => T::parts(&service.fetch::<T>()?).0,
    };
    // All attempts carry the same id, so that the change is made at most once.
    let id = format!("{:016x}", fastrand::u64(..));
    let (by, dry_run) = (how.by.clone(), how.dry_run);
    let change = AskOf::Change(ChangeOf {
        id,
        by,
        expect: Some(expect),
        dry_run,
        edit,
    });
    let path = admin::path(T::Spec::KIND);
    let changed: Changed = send_request(&service.nodes, &path, &change, true)
        .map_err(|f| CommandError::from_request_error(f, from))?;
    if service.json {
        return Ok(json(&changed));
    }
    let mut out = if changed.dry_run {
        format!("version {} stays; this would change:\n", changed.version)
    } else {
        format!("version {} is in force\n", changed.version)
    };
    changed
        .differences
        .iter()
        .chain(&changed.above)
        .for_each(|line| out.push_str(&format!("  {line}\n")));
    Ok(out)
}

pub fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

pub fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_header(head.iter().copied());
    rows.for_each(|row| {
        table.add_row(row);
    });
    table.to_string()
}
