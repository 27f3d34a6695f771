//! The real part: controller processes as `deploy/service.toml` starts them, and what they take of the machine.

use crate::children::Guarded;
use crate::clock::{self, Millis};
use crate::cluster::{self, Endpoints, OPERATOR_SETTINGS};
use crate::size::{Sabotage, Size};
use procfs::process::Process;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::process::Command;

const SERVICE_FILE: &str = "deploy/service.toml";
/// A killed controller is back after this time.
const BACK_MS: u64 = 3000;
/// Controllers are told this many times the teams' limits, where that is broken on purpose.
const RAISED: f64 = 10.0;

/// How the service is built and started.
#[derive(Deserialize)]
struct ServiceFile {
    build: String,
    run: String,
}

/// The program and the arguments that come before the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    path: PathBuf,
    arguments: Vec<String>,
}

impl Program {
    /// As `deploy/service.toml` says, built first; `path` names another program, which is taken as it is.
    pub fn find(path: Option<&Path>) -> Result<Self, String> {
        let text = std::fs::read_to_string(SERVICE_FILE);
        let text =
            text.map_err(|e| format!("{SERVICE_FILE}: {e} (run it from the repository's root)"))?;
        let service: ServiceFile =
            toml::from_str(&text).map_err(|e| format!("{SERVICE_FILE}: {e}"))?;
        let mut words = service.run.split_whitespace().map(str::to_owned);
        let named = words
            .next()
            .ok_or_else(|| format!("{SERVICE_FILE}: run is empty"))?;
        let arguments = words.collect();
        if path.is_none() {
            build(&service.build)?;
        }
        let path = path.map_or_else(|| PathBuf::from(named), Path::to_owned);
        if !path.is_file() {
            return Err(format!("--binary: {}: no such program", path.display()));
        }
        let program = Program { path, arguments };
        program.check_version()?;
        Ok(program)
    }

    fn check_version(&self) -> Result<(), String> {
        let output = Command::new(&self.path).arg("--version").output();
        let output = output.map_err(|e| format!("--binary: {}: {e}", self.path.display()))?;
        let said = String::from_utf8_lossy(&output.stdout);
        let wanted = env!("CARGO_PKG_VERSION");
        if said.split_whitespace().eq(["stoathatch", wanted]) {
            return Ok(());
        }
        Err(format!(
            "--binary: {} is {:?}, not stoathatch {wanted}",
            self.path.display(),
            said.trim()
        ))
    }
}

fn build(command: &str) -> Result<(), String> {
    let mut words = command.split_whitespace();
    let program = words
        .next()
        .ok_or_else(|| format!("{SERVICE_FILE}: build is empty"))?;
    let status = Command::new(program).args(words).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("{command}: {status}")),
        Err(e) => Err(format!("{command}: {e}")),
    }
}

/// What a process has taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time since it began, in seconds.
    pub cpu_s: f64,
    pub rss_mb: f64,
    pub files: usize,
}

/// Reads what a process has taken; nothing if it is gone.
pub fn usage(pid: u32) -> Option<Usage> {
    let process = Process::new(pid as i32).ok()?;
    let stat = process.stat().ok()?;
    let ticks = procfs::ticks_per_second() as f64;
    Some(Usage {
        cpu_s: (stat.utime + stat.stime) as f64 / ticks,
        rss_mb: (stat.rss * procfs::page_size()) as f64 / 1e6,
        files: process.fd_count().unwrap_or(0),
    })
}

struct Controller {
    process: Option<Guarded>,
    settings: PathBuf,
    back_at: Option<Millis>,
    /// Processor time of its ended processes.
    before_s: f64,
    last: Usage,
}

/// All controllers of a run.
pub struct Controllers {
    program: Program,
    folder: PathBuf,
    all: Vec<Controller>,
}

impl Controllers {
    /// Writes their settings and starts them.
    pub fn start(
        size: &Size,
        program: Program,
        folder: &Path,
        endpoints: &[Endpoints],
    ) -> Result<Self, String> {
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            Ok::<_, String>(path)
        };
        write("operator.ini", OPERATOR_SETTINGS)?;
        let tree = toml::to_string(&cluster::tree(size)).map_err(|e| e.to_string())?;
        write("quota.toml", &tree)?;
        let raised = size.sabotage == Sabotage::Limits;
        let mut all = Vec::new();
        for (node, ends) in endpoints.iter().enumerate() {
            let settings = cluster::settings(size, node, ends, if raised { RAISED } else { 1.0 });
            let settings = write(&format!("settings-{node}.json"), &settings.to_string())?;
            all.push(Controller {
                process: None,
                settings,
                back_at: None,
                before_s: 0.0,
                last: Usage::default(),
            });
        }
        let mut controllers = Controllers {
            program,
            folder: folder.to_owned(),
            all,
        };
        for node in 0..controllers.all.len() {
            controllers.launch(node)?;
        }
        Ok(controllers)
    }

    fn launch(&mut self, node: usize) -> Result<(), String> {
        let path = |name: &str| self.folder.join(name).to_string_lossy().into_owned();
        let settings = self.all[node].settings.to_string_lossy().into_owned();
        let mut arguments: Vec<&str> = self.program.arguments.iter().map(String::as_str).collect();
        arguments.push(&settings);
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".to_owned());
        let environment = [
            ("STOATHATCH_INI", path("operator.ini")),
            ("STOATHATCH_QUOTA", path("quota.toml")),
            ("LOG_LEVEL", level),
        ];
        let environment = environment
            .each_ref()
            .map(|(name, value)| (*name, value.as_str()));
        let log = self.folder.join(format!("controller-{node}.log"));
        let process = Guarded::start(&self.program.path, &arguments, &environment, &log)?;
        self.all[node].process = Some(process);
        self.all[node].back_at = None;
        Ok(())
    }

    /// Kills one without notice; it is back after a while.
    pub fn kill(&mut self, node: usize) {
        let controller = &mut self.all[node];
        if let Some(process) = controller.process.take() {
            process.kill();
            controller.before_s += controller.last.cpu_s;
            controller.last = Usage::default();
            controller.back_at = Some(clock::now() + BACK_MS);
        }
    }

    /// Starts those whose time has come. An end that nobody asked for is an error.
    pub fn tick(&mut self, now: Millis) -> Result<(), String> {
        for node in 0..self.all.len() {
            let controller = &mut self.all[node];
            if let Some(process) = &mut controller.process
                && !process.runs()
            {
                let log = self.folder.join(format!("controller-{node}.log"));
                let text = std::fs::read_to_string(&log).unwrap_or_default();
                let last = text.lines().last().unwrap_or("no log");
                return Err(format!("controller {node} ended by itself: {last}"));
            }
            if controller.back_at.is_some_and(|at| now >= at) {
                self.launch(node)?;
            }
        }
        Ok(())
    }

    /// What each has taken so far, its ended processes included.
    pub fn usage(&mut self) -> Vec<Usage> {
        let mut all = Vec::new();
        for controller in &mut self.all {
            if let Some(process) = &controller.process
                && let Some(usage) = usage(process.pid)
            {
                controller.last = usage;
            }
            all.push(Usage {
                cpu_s: controller.before_s + controller.last.cpu_s,
                ..controller.last
            });
        }
        all
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.all[node].process.is_some()
    }
}
