//! `stoathatch yarn`: manages YARN applications, queues and drains, and submits bundles.

use crate::ask::send_once;
use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use gateway::book::web::{DrainAsk, Drains, OWN};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use yarn::rest::{self, Form};

/// How long a request is retried, at each address in turn.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(60);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);

/// Exit codes: 0 done, 1 rejected, 2 no usable response.
#[derive(Args)]
pub struct Command {
    /// REST address (`[door] web`) of any controller; if several are given, they are tried in turn.
    #[arg(
        long = "web",
        value_name = "IP:PORT",
        env = "STOATHATCH_YARN_WEB",
        value_delimiter = ',',
        global = true
    )]
    nodes: Vec<SocketAddr>,
    /// User name to send with requests.
    #[arg(
        long = "as",
        value_name = "USER",
        env = "USER",
        default_value = "unnamed",
        global = true
    )]
    user: String,
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// List applications, newest first.
    List {
        /// Only applications in this state, like RUNNING. Can be given several times.
        #[arg(long)]
        state: Vec<String>,
        /// Only this queue and those below it.
        #[arg(long)]
        queue: Option<String>,
        /// Largest number of applications to list.
        #[arg(long)]
        limit: Option<u32>,
    },
    /// Show one application.
    Status {
        /// Application id, like `application_..._0001`.
        id: String,
    },
    /// Kill an application and wait until it has ended.
    Kill { id: String },
    /// Submit a bundle (a tool with its files, command and resources) and print the application's id.
    Submit {
        /// Bundle file (TOML).
        bundle: PathBuf,
        /// Wait until the application has ended; exit code 1 if it did not succeed.
        #[arg(long)]
        wait: bool,
    },
    /// List queues with their capacities and drains.
    Queues,
    /// Start or end a drain: a drained queue (`root`: the whole service) accepts no new applications, a drained
    /// machine gets no further containers.
    Drain {
        /// Name of the queue, or of the machine with `--machine`.
        name: String,
        /// Drain a machine; its running containers may finish.
        #[arg(long)]
        machine: bool,
        /// Kill what still runs there after this time.
        #[arg(long, value_name = "SECONDS")]
        within: Option<u64>,
        /// Also give running applications no further containers.
        #[arg(long)]
        containers: bool,
        /// End the drain.
        #[arg(long, conflicts_with_all = ["within", "containers"])]
        off: bool,
    },
    /// Print the JSON Schema of bundle files.
    Schema,
}

/// A tool that is run as a whole: what it needs, and how it starts.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct Bundle {
    /// Shown in lists.
    name: String,
    /// The queue that it is submitted to.
    queue: String,
    /// Application type; operators map types to classes.
    #[serde(default = "bundle_type")]
    kind: String,
    /// Started by the shell of its image.
    command: String,
    #[serde(default)]
    environment: BTreeMap<String, String>,
    /// MiB of memory.
    #[schemars(range(min = 1))]
    memory_mb: i64,
    #[serde(default = "one")]
    #[schemars(range(min = 0))]
    cores: i32,
    #[serde(default)]
    #[schemars(range(min = 0))]
    gpus: i64,
    /// Higher is sooner.
    #[serde(default)]
    priority: i32,
    /// Times that its process may fail.
    #[serde(default = "two")]
    attempts: i32,
    /// It is ended after so many seconds.
    #[serde(default)]
    within_s: Option<i64>,
    /// Files and archives that are there when it starts, by the name that it finds them under.
    #[serde(default)]
    files: BTreeMap<String, BundleFile>,
    #[serde(default)]
    tags: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct BundleFile {
    /// Where its image fetches it from.
    url: String,
    /// It is unpacked.
    #[serde(default)]
    archive: bool,
    #[serde(default)]
    size: i64,
}

fn bundle_type() -> String {
    "BUNDLE".into()
}
fn one() -> i32 {
    1
}
fn two() -> i32 {
    2
}

impl Bundle {
    /// Reads and validates a bundle; the error names path, line and field.
    fn read(path: &Path) -> Result<Bundle, CommandError> {
        let fault =
            |e: &dyn std::fmt::Display| CommandError::Refused(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| fault(&e))?;
        let bundle: Bundle = toml::from_str(&text).map_err(|e| {
            let line = e.span().map_or(1, |s| {
                text[..s.start.min(text.len())].lines().count().max(1)
            });
            fault(&format!("line {line}: {}", e.message()))
        })?;
        let bad = [
            (
                bundle.command.trim().is_empty(),
                "command: must not be empty",
            ),
            (bundle.memory_mb <= 0, "memory_mb: must be above 0"),
            (
                bundle.cores < 0 || bundle.gpus < 0,
                "cores, gpus: must not be below 0",
            ),
            (bundle.attempts < 1, "attempts: must be 1 or more"),
        ];
        match bad.iter().find(|(is, _)| *is) {
            Some((_, why)) => Err(fault(why)),
            None => Ok(bundle),
        }
    }

    fn submission(&self, id: String) -> rest::Submission {
        let file = |(key, f): (&String, &BundleFile)| rest::Entry {
            key: key.clone(),
            value: rest::LocalResource {
                resource: f.url.clone(),
                kind: if f.archive {
                    "ARCHIVE".into()
                } else {
                    "FILE".into()
                },
                visibility: "APPLICATION".into(),
                size: f.size,
                timestamp: 0,
            },
        };
        let variable = |(key, value): (&String, &String)| rest::Entry {
            key: key.clone(),
            value: value.clone(),
        };
        let gpus = rest::Information {
            name: yarn::master::GPUS.into(),
            value: self.gpus,
            units: String::new(),
        };
        let named = (self.gpus > 0).then(|| rest::Informations { each: vec![gpus] });
        let timeout = |s: &i64| rest::Timeout {
            kind: "LIFETIME".into(),
            remaining_s: *s,
            ..rest::Timeout::default()
        };
        rest::Submission {
            application_id: id,
            application_name: self.name.clone(),
            queue: self.queue.clone(),
            priority: self.priority,
            am_container_spec: rest::Launch {
                local_resources: rest::Entries {
                    entry: self.files.iter().map(file).collect(),
                },
                environment: rest::Entries {
                    entry: self.environment.iter().map(variable).collect(),
                },
                commands: rest::Commands {
                    command: self.command.clone(),
                },
            },
            max_app_attempts: self.attempts,
            resource: rest::Capability {
                memory: self.memory_mb,
                vcores: self.cores,
                named,
            },
            application_type: self.kind.clone(),
            application_tags: rest::Tags {
                tag: self.tags.clone(),
            },
            application_timeouts: rest::Timeouts {
                timeout: self.within_s.iter().map(timeout).collect(),
            },
            ..rest::Submission::default()
        }
    }
}

enum CommandError {
    Refused(String),
    Failed(String),
}

/// Response bodies, which wrap their content in one named field.
#[derive(Deserialize)]
struct AppsResponse {
    apps: rest::Apps,
}
#[derive(Deserialize)]
struct AppResponse {
    app: rest::App,
}
#[derive(Deserialize)]
struct SchedulerResponse {
    scheduler: rest::Scheduler,
}
#[derive(Deserialize)]
struct ErrorResponse {
    #[serde(rename = "RemoteException")]
    exception: rest::RemoteException,
}

impl Command {
    /// Sends a request to the controllers in turn until one responds. Every request may be repeated, since a submission
    /// carries its application id.
    fn request(&self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, CommandError> {
        let mark = if path.contains('?') { '&' } else { '?' };
        let user: String = self.user.bytes().map(percent_encode).collect();
        let target = format!("{path}{mark}user.name={user}");
        let end = Instant::now() + TOTAL_TIMEOUT;
        let mut last = "no controller address was given (--web IP:PORT)".to_owned();
        for node in self.nodes.iter().cycle() {
            if Instant::now() >= end {
                break;
            }
            match send_once(*node, method, &target, body, ATTEMPT_TIMEOUT) {
                Ok(r) if r.status < 300 => return Ok(r.body),
                Ok(r) => {
                    let why = rest::read::<ErrorResponse>(Form::Json, &r.body)
                        .map(|f| f.exception.message);
                    let why = why.unwrap_or_else(|_| format!("status {}", r.status));
                    if !matches!(r.status, 429 | 503) {
                        return Err(CommandError::Refused(why));
                    }
                    last = format!("{node}: {why}");
                    let wait = u64::from(r.retry_after_s.unwrap_or(1).clamp(1, 10));
                    std::thread::sleep(Duration::from_secs(wait));
                }
                Err(e) => {
                    last = format!("{node}: {e}");
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        }
        Err(CommandError::Failed(last))
    }

    fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<(T, Vec<u8>), CommandError> {
        let body = self.request("GET", path, &[])?;
        let read = rest::read(Form::Json, &body).map_err(CommandError::Failed)?;
        Ok((read, body))
    }

    fn run(&self) -> Result<(), CommandError> {
        match &self.verb {
            Verb::List {
                state,
                queue,
                limit,
            } => {
                let mut path = format!("{}/apps?states={}", rest::ROOT, state.join(","));
                queue
                    .iter()
                    .for_each(|q| path.push_str(&format!("&queue={q}")));
                limit
                    .iter()
                    .for_each(|n| path.push_str(&format!("&limit={n}")));
                let (res, body): (AppsResponse, _) = self.get(&path)?;
                self.print(&body, || fmt_apps(&res.apps.app))
            }
            Verb::Status { id } => {
                let (res, body): (AppResponse, _) =
                    self.get(&format!("{}/apps/{id}", rest::ROOT))?;
                self.print(&body, || fmt_app(&res.app))
            }
            Verb::Kill { id } => self.kill(id),
            Verb::Submit { bundle, wait } => self.submit(bundle, *wait),
            Verb::Queues => {
                let (res, body): (SchedulerResponse, _) =
                    self.get(&format!("{}/scheduler", rest::ROOT))?;
                let (drains, _): (Drains, _) = self.get(&format!("{OWN}/drains"))?;
                self.print(&body, || fmt_queues(&res.scheduler.scheduler_info, &drains))
            }
            Verb::Drain {
                name,
                machine,
                within,
                containers,
                off,
            } => {
                let machine = machine.then(|| name.clone());
                let ask = DrainAsk {
                    queue: name.clone(),
                    machine,
                    off: *off,
                    within_s: *within,
                    containers: *containers,
                };
                let body = rest::render(Form::Json, "", true, &ask);
                let body = self.request("PUT", &format!("{OWN}/drains"), &body)?;
                let drains: Drains = rest::read(Form::Json, &body).map_err(CommandError::Failed)?;
                self.print(&body, || fmt_drains(&drains))
            }
            Verb::Schema => {
                let schema = schemars::schema_for!(Bundle);
                println!(
                    "{}",
                    serde_json::to_string_pretty(&schema).unwrap_or_default()
                );
                Ok(())
            }
        }
    }

    fn print(&self, body: &[u8], table: impl FnOnce() -> String) -> Result<(), CommandError> {
        if self.json {
            println!("{}", String::from_utf8_lossy(body));
        } else {
            println!("{}", table());
        }
        Ok(())
    }

    fn kill(&self, id: &str) -> Result<(), CommandError> {
        let body = rest::render(
            Form::Json,
            "",
            true,
            &rest::AppState {
                state: "KILLED".into(),
            },
        );
        self.request("PUT", &format!("{}/apps/{id}/state", rest::ROOT), &body)?;
        let app = self.wait_until_ended(id)?;
        println!("{id} {}", app.state);
        Ok(())
    }

    fn wait_until_ended(&self, id: &str) -> Result<rest::App, CommandError> {
        loop {
            let (res, _): (AppResponse, _) = self.get(&format!("{}/apps/{id}", rest::ROOT))?;
            if matches!(res.app.state.as_str(), "FINISHED" | "FAILED" | "KILLED") {
                return Ok(res.app);
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    }

    fn submit(&self, path: &Path, wait: bool) -> Result<(), CommandError> {
        let bundle = Bundle::read(path)?;
        let body = self.request("POST", &format!("{}/apps/new-application", rest::ROOT), &[])?;
        let new: rest::NewApplication =
            rest::read(Form::Json, &body).map_err(CommandError::Failed)?;
        let id = new.application_id;
        // Printed before the submission is sent, so that its status can be queried even if the response is lost.
        println!("{id}");
        let body = rest::render(Form::Json, "", true, &bundle.submission(id.clone()));
        self.request("POST", &format!("{}/apps", rest::ROOT), &body)?;
        if !wait {
            return Ok(());
        }
        let app = self.wait_until_ended(&id)?;
        println!("{} {}", app.state, app.final_status);
        if app.final_status == "SUCCEEDED" {
            Ok(())
        } else {
            Err(CommandError::Refused(app.diagnostics))
        }
    }
}

fn percent_encode(byte: u8) -> String {
    if byte.is_ascii_alphanumeric() || b"-_.".contains(&byte) {
        return char::from(byte).to_string();
    }
    format!("%{byte:02X}")
}

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(head);
    table
}

fn fmt_apps(apps: &[rest::App]) -> String {
    let mut t = table(&[
        "id",
        "user",
        "queue",
        "type",
        "state",
        "final",
        "containers",
        "name",
    ]);
    for a in apps {
        let containers = a.running_containers.to_string();
        t.add_row([
            &a.id,
            &a.user,
            &a.queue,
            &a.application_type,
            &a.state,
            &a.final_status,
            &containers,
            &a.name,
        ]);
    }
    t.to_string()
}

fn fmt_app(a: &rest::App) -> String {
    let mut t = table(&["", ""]);
    let seconds = format!("{:.1} s", a.elapsed_time as f64 / 1000.0);
    for (name, value) in [
        ("id", &a.id),
        ("name", &a.name),
        ("user", &a.user),
        ("queue", &a.queue),
        ("type", &a.application_type),
        ("tags", &a.application_tags),
        ("state", &a.state),
        ("final status", &a.final_status),
        ("time", &seconds),
        ("diagnostics", &a.diagnostics),
    ] {
        t.add_row([name, value]);
    }
    t.to_string()
}

fn fmt_queues(root: &rest::Queue, drains: &Drains) -> String {
    let mut t = table(&[
        "queue",
        "guaranteed",
        "at most",
        "applications",
        "state",
        "until (ms since 1970)",
    ]);
    let mut left = vec![root];
    while let Some(q) = left.pop() {
        let until = drains.drains.get(&q.queue_path).and_then(|d| d.until_ms);
        let until = until.map_or(String::new(), |ms| ms.to_string());
        let (capacity, most) = (
            format!("{:.0}%", q.capacity),
            format!("{:.0}%", q.max_capacity),
        );
        t.add_row([
            &q.queue_path,
            &capacity,
            &most,
            &q.num_applications.to_string(),
            &q.state,
            &until,
        ]);
        left.extend(q.queues.iter().flat_map(|c| &c.queue).rev());
    }
    t.to_string()
}

fn fmt_drains(drains: &Drains) -> String {
    if drains.drains.is_empty() && drains.machines.is_empty() {
        return "nothing is drained".into();
    }
    let mut t = table(&["drained", "until (ms since 1970)", "further containers"]);
    for (queue, d) in drains.drains.iter().chain(&drains.machines) {
        let until = d
            .until_ms
            .map_or("as long as it takes".into(), |ms| ms.to_string());
        t.add_row([
            queue.clone(),
            until,
            if d.containers { "none" } else { "yes" }.into(),
        ]);
    }
    t.to_string()
}

pub fn run(command: &Command) -> ExitCode {
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Refused(why)) => {
            eprintln!("stoathatch yarn: {why}");
            ExitCode::from(1)
        }
        Err(CommandError::Failed(why)) => {
            eprintln!("stoathatch yarn: no usable response: {why}");
            ExitCode::from(2)
        }
    }
}
