//! What a run has measured, for people and as one line of JSON, beside what the plan asks for.

use crate::hosts::{Messages, StateCounts};
use crate::size::Size;
use comfy_table::{Table, presets};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Times of one kind, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    pub count: u64,
    pub p50: u64,
    pub p99: u64,
    pub max: u64,
}

impl Quantiles {
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Quantiles {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

impl std::fmt::Display for Quantiles {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.count == 0 {
            return f.write_str("-");
        }
        write!(
            f,
            "{}/{}/{} of {}",
            self.p50, self.p99, self.max, self.count
        )
    }
}

/// What one controller's role has taken in a phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct RoleUsage {
    /// Cores, in the mean and in the busiest second.
    pub cpu: f64,
    pub cpu_peak: f64,
    pub rss_mb: f64,
    pub files: usize,
}

/// What workers cost the protocol, each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct WorkerFigures {
    pub bytes_out_per_s: f64,
    pub bytes_in_per_s: f64,
    pub connections_per_min: f64,
    pub requests_per_s: f64,
    /// Of the hollow worker, in cores and in MB: a bound of what the protocol asks.
    pub cpu: f64,
    pub rss_mb: f64,
}

/// All figures of one phase. Rates are by the second.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PhaseFigures {
    pub name: String,
    pub seconds: f64,
    pub leader: Option<usize>,
    pub leader_changes: u32,
    pub leader_usage: RoleUsage,
    /// The busiest of the others.
    pub follower_usage: RoleUsage,
    /// Mean of the others.
    pub follower_cpu: f64,
    pub workers: usize,
    pub tasks_on: usize,
    pub jobs: f64,
    pub starts_asked: f64,
    pub starts: f64,
    /// In the best ten seconds.
    pub starts_best: f64,
    pub ends: f64,
    pub lost_tasks: u64,
    pub submitted: u64,
    pub accepted: u64,
    pub refused: u64,
    pub given_up: u64,
    pub polls: f64,
    pub unanswered: u64,
    pub accept_ms: Quantiles,
    pub start_ms: BTreeMap<String, Quantiles>,
    pub changes: f64,
    pub changes_failed: u64,
    pub change_commit_ms: Quantiles,
    pub change_in_force_ms: Quantiles,
    pub changes_never_in_force: u64,
    pub state_requests: f64,
    pub state_changes: f64,
    pub state_bytes: f64,
    pub state_too_fast: u64,
    pub state_kinds: BTreeMap<String, f64>,
    pub cloud_requests: f64,
    pub reports: f64,
    pub reports_unserved: f64,
    pub commands: f64,
    pub orders: f64,
    pub starts_refused: u64,
    pub leases_ended: u64,
    /// Requests a second that the leader has from or to each kind of host.
    pub leader_messages: BTreeMap<String, f64>,
    pub worker: WorkerFigures,
    /// The tool's own processor time, in cores: its state service, cloud, users and checks.
    pub tool_cpu: f64,
}

/// A figure beside what the plan asks for.
#[derive(Debug, Clone, Serialize)]
pub struct Aim {
    pub what: &'static str,
    pub aim: f64,
    pub measured: Option<f64>,
    pub is_met: bool,
}

/// Tasks that started and ended, whatever the cause, as the workers told it.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct TaskChanges {
    pub started: u64,
    pub ended: u64,
}

/// A whole run.
#[derive(Debug, Clone, Serialize)]
pub struct Heartbeat {
    pub size: Size,
    pub phases: Vec<PhaseFigures>,
    pub state: StateCounts,
    pub cloud: Messages,
    pub rules_broken: BTreeMap<String, String>,
    pub not_done: Vec<String>,
    pub longest_cancelled_ms: u64,
    pub most_tasks_on: usize,
    pub tasks: TaskChanges,
    /// Tasks on machines at the end, as the checker of the rules has it.
    pub tasks_on: usize,
    pub tasks_completed: u64,
    pub jobs_never_started: usize,
    pub processes: usize,
    pub memory_mb: f64,
    pub aims: Vec<Aim>,
}

impl Heartbeat {
    /// Nothing was broken, and the run did what it says.
    pub fn is_good(&self) -> bool {
        self.rules_broken.is_empty() && self.not_done.is_empty()
    }

    pub fn phase(&self, name: &str) -> Option<&PhaseFigures> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    /// The plan's figures, with what was measured beside them.
    pub fn aims_of(&self) -> Vec<Aim> {
        let below = |what, aim: f64, measured: Option<f64>| Aim {
            what,
            aim,
            measured,
            is_met: measured.is_some_and(|m| m <= aim),
        };
        let steady = self.phase("steady");
        let peak = self.phase("peak");
        let urgent = |phase: Option<&PhaseFigures>| {
            let times = phase?.start_ms.get("urgent")?;
            (times.count > 0).then_some(times.p99 as f64)
        };
        // What never came into force took longer than anybody looked.
        let in_force = |phase: Option<&PhaseFigures>| {
            let phase = phase.filter(|p| p.change_in_force_ms.count > 0)?;
            let never = phase.changes_never_in_force > 0;
            Some(if never {
                f64::INFINITY
            } else {
                phase.change_in_force_ms.max as f64
            })
        };
        let either = |figure: fn(&PhaseFigures) -> f64| {
            let figures = [steady, peak].into_iter().flatten().map(figure);
            figures.reduce(f64::max)
        };
        let starts = peak.map(|p| p.starts_best);
        vec![
            Aim {
                what: "task starts a second at the peak, best ten seconds",
                aim: self.size.peak_starts,
                measured: starts,
                is_met: starts.is_some_and(|s| s >= self.size.peak_starts),
            },
            below("urgent start, p99 ms, steady", 1000.0, urgent(steady)),
            below("urgent start, p99 ms, peak", 1000.0, urgent(peak)),
            below(
                "configuration in force, max ms, steady",
                8000.0,
                in_force(steady),
            ),
            below(
                "configuration in force, max ms, peak",
                8000.0,
                in_force(peak),
            ),
            below("worker's processor, cores", 0.013, either(|p| p.worker.cpu)),
            below("worker's memory, MB", 256.0, either(|p| p.worker.rss_mb)),
            below(
                "worker's bytes a second, both ways",
                9000.0,
                either(|p| p.worker.bytes_in_per_s + p.worker.bytes_out_per_s),
            ),
            below(
                "leader's processor, cores, busiest second",
                1.0,
                either(|p| p.leader_usage.cpu_peak),
            ),
        ]
    }

    /// The table for people.
    pub fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN);
        let mut header = vec!["figure".to_owned()];
        header.extend(self.phases.iter().map(|p| p.name.clone()));
        table.set_header(header);
        for (name, show) in ROWS {
            let mut row = vec![(*name).to_owned()];
            row.extend(self.phases.iter().map(show));
            table.add_row(row);
        }
        table
    }
}

type Row = (&'static str, fn(&PhaseFigures) -> String);

fn started(phase: &PhaseFigures, class: &str) -> String {
    let none = Quantiles::default();
    phase.start_ms.get(class).unwrap_or(&none).to_string()
}

const ROWS: &[Row] = &[
    ("seconds", |p| format!("{:.0}", p.seconds)),
    ("workers, tasks on them", |p| {
        format!("{}, {}", p.workers, p.tasks_on)
    }),
    ("starts a second, asked", |p| {
        format!("{:.1}", p.starts_asked)
    }),
    ("starts a second, mean, best 10 s", |p| {
        format!("{:.1}, {:.1}", p.starts, p.starts_best)
    }),
    ("ends a second", |p| format!("{:.1}", p.ends)),
    ("submission accepted, ms p50/p99/max", |p| {
        p.accept_ms.to_string()
    }),
    ("urgent started, ms", |p| started(p, "urgent")),
    ("peak's arrays started, ms", |p| started(p, "peak")),
    ("steady arrays started, ms", |p| started(p, "steady-array")),
    ("steady gangs started, ms", |p| started(p, "steady-gang")),
    ("changes a second, failed", |p| {
        format!("{:.2}, {}", p.changes, p.changes_failed)
    }),
    ("change answered, ms", |p| p.change_commit_ms.to_string()),
    ("change in force at a controller, ms", |p| {
        p.change_in_force_ms.to_string()
    }),
    ("leader, changes of leader", |p| {
        let leader = p.leader.map_or("-".to_owned(), |l| l.to_string());
        format!("{leader}, {}", p.leader_changes)
    }),
    ("leader cores, busiest second", |p| {
        format!("{:.3}, {:.2}", p.leader_usage.cpu, p.leader_usage.cpu_peak)
    }),
    ("leader MB, files", |p| {
        format!("{:.1}, {}", p.leader_usage.rss_mb, p.leader_usage.files)
    }),
    ("followers' cores, busiest second", |p| {
        format!("{:.3}, {:.2}", p.follower_cpu, p.follower_usage.cpu_peak)
    }),
    ("follower MB, files", |p| {
        format!("{:.1}, {}", p.follower_usage.rss_mb, p.follower_usage.files)
    }),
    ("reports a second, not served", |p| {
        format!("{:.1}, {:.1}", p.reports, p.reports_unserved)
    }),
    ("commands, orders a second", |p| {
        format!("{:.1}, {:.1}", p.commands, p.orders)
    }),
    ("state requests, changes a second", |p| {
        format!("{:.1}, {:.1}", p.state_requests, p.state_changes)
    }),
    ("state bytes a second, refused", |p| {
        format!("{:.0}, {}", p.state_bytes, p.state_too_fast)
    }),
    ("cloud requests a second", |p| {
        format!("{:.2}", p.cloud_requests)
    }),
    ("a worker's bytes a second, out, in", |p| {
        format!(
            "{:.0}, {:.0}",
            p.worker.bytes_out_per_s, p.worker.bytes_in_per_s
        )
    }),
    ("a worker's connections a minute, requests a second", |p| {
        format!(
            "{:.2}, {:.2}",
            p.worker.connections_per_min, p.worker.requests_per_s
        )
    }),
    ("a hollow worker's cores, MB", |p| {
        format!("{:.5}, {:.3}", p.worker.cpu, p.worker.rss_mb)
    }),
    ("starts refused, leases ended, tasks lost", |p| {
        format!("{}, {}, {}", p.starts_refused, p.leases_ended, p.lost_tasks)
    }),
    ("the tool's own cores", |p| format!("{:.2}", p.tool_cpu)),
];
