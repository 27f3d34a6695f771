//! Child processes. All end with the tool, however it ends: each hollow one when its standard input does, and each
//! controller by a small guard process that waits for the same.

use crate::messages::{FromWorkers, ToWorkers, write_line};
use crate::size::Size;
use mio::Waker;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::mpsc::Sender;

fn this_program() -> Result<std::path::PathBuf, String> {
    std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))
}

/// A process of hollow workers.
pub struct WorkerProcess {
    child: Child,
    input: BufWriter<ChildStdin>,
}

impl WorkerProcess {
    /// Starts one; what it says is sent on with its number.
    pub fn start(
        number: usize,
        size: &Size,
        sender: Sender<(usize, FromWorkers)>,
        waker: Arc<Waker>,
    ) -> Result<Self, String> {
        let size = serde_json::to_string(size).map_err(|e| e.to_string())?;
        let mut child = Command::new(this_program()?)
            .args(["workers", "--played", &size])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("hollow workers: {e}"))?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err("hollow workers: no pipes".into());
        };
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines() {
                let Ok(message) = line.and_then(|l| Ok(serde_json::from_str(&l)?)) else {
                    break;
                };
                if sender.send((number, message)).is_err() || waker.wake().is_err() {
                    break;
                }
            }
        });
        Ok(WorkerProcess {
            child,
            input: BufWriter::new(input),
        })
    }

    pub fn tell(&mut self, message: &ToWorkers) -> Result<(), String> {
        write_line(&mut self.input, message)
            .and_then(|()| self.input.flush())
            .map_err(|e| format!("hollow workers: {e}"))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        // What its pipe still holds no longer matters.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A controller under its guard.
pub struct Guarded {
    guard: Child,
    pub pid: u32,
}

impl Guarded {
    /// Starts a program with these arguments; its log goes to a file.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        environment: &[(&str, &str)],
        log: &Path,
    ) -> Result<Self, String> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| format!("{}: {e}", log.display()))?;
        let mut guard = Command::new(this_program()?)
            .arg("guard")
            .arg("--")
            .arg(program)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("controller: {e}"))?;
        let mut line = String::new();
        if let Some(output) = guard.stdout.take() {
            let _ = BufReader::new(output).read_line(&mut line);
        }
        match line.trim().parse() {
            Ok(pid) => Ok(Guarded { guard, pid }),
            Err(_) => {
                let _ = guard.wait();
                Err(format!("{}: could not be started", program.display()))
            }
        }
    }

    /// Whether the controller still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.guard.try_wait(), Ok(None))
    }

    /// Kills the controller without notice.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        drop(self.guard.stdin.take());
        let _ = self.guard.wait();
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts a program, says its process id, and kills it once standard input ends. It ends when the program does.
pub fn guard(program: &str, arguments: &[String]) -> ExitCode {
    let child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn();
    let mut child = match child {
        Ok(child) => child,
        Err(e) => {
            eprintln!("{program}: {e}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", child.id());
    let _ = std::io::stdout().flush();
    let (ended, input) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut rest = Vec::new();
        let _ = std::io::stdin().lock().read_to_end(&mut rest);
        let _ = ended.send(());
    });
    loop {
        let is_over = input
            .recv_timeout(std::time::Duration::from_millis(20))
            .is_ok();
        if is_over {
            let _ = child.kill();
        }
        if is_over || matches!(child.try_wait(), Ok(Some(_))) {
            let _ = child.wait();
            return ExitCode::SUCCESS;
        }
    }
}
