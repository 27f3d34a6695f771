//! The settings file that the platform hands over.

mod check;

pub use check::{SettingsError, SettingsProblem};

use serde::Deserialize;

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of this node.
    pub node: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address and port for users and agents.
    #[serde(rename = "client_listen")]
    pub listen: String,
    /// Address and port for other controllers and operators.
    #[serde(rename = "peer_bind")]
    pub peer_listen: String,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Addresses of other services.
    pub endpoints: Endpoints,
    /// What all controllers have in common.
    pub cluster: Cluster,
    /// The limits of this machine, where the platform puts them outside of `cluster`.
    #[serde(rename = "machine_limits")]
    pub limits: Option<Limits>,
    /// The error of the machine's clock at most, in milliseconds, where the platform puts it outside of `cluster`.
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// The name of its node.
    pub node: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Its address and port for other controllers.
    #[serde(rename = "address")]
    pub addr: String,
}

/// Addresses of the services that controllers use.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address and port of the cloud's interface.
    pub cloud: String,
    /// Address and port of the state service.
    pub state: String,
}

/// What all controllers of a cluster have in common.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// How many machines the cluster begins with.
    pub initial_size: u32,
    /// The zones.
    pub zones: Vec<String>,
    /// The teams and their quotas.
    pub teams: Vec<Team>,
    /// What the platform measures the cluster by.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the agents.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// The limits of a controller's machine.
    #[serde(rename = "machine_limits")]
    pub limits: Option<Limits>,
    /// The error of a machine's clock at most, in milliseconds.
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
}

/// What a team is guaranteed and what it may use at most; a limit of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed CPU cores.
    pub cpus: f64,
    /// CPU cores at most.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// GPUs at most.
    pub gpus_max: f64,
}

/// A service level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: String,
    /// The class of jobs that it is for; none for all.
    #[serde(default)]
    pub class: Option<String>,
    /// The time that is aimed at, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs that are to be within it, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Timing of the agents, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats.
    pub report_s: f64,
    /// An agent ends its tasks when the last heartbeat that was answered was sent longer ago than this.
    pub lease_s: f64,
    /// How long a task of a gang waits for the others to start.
    pub gang_wait_s: f64,
    /// Time within which a gang's other tasks end when one of them is gone.
    pub gang_peer_s: f64,
    /// Time after the confirmation of a cancel within which all tasks of the job are gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Requests per second that write.
    pub write_rps: f64,
    /// Largest value, in KB.
    pub value_kb: f64,
    /// Most conditions and writes in one transaction.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextGiven>,
}

/// `state.next` as it was given. What is missing is for [`Settings::check`] to say.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextGiven {
    /// Requests per second; those of now where it is left out.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Requests per second that write.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, in KB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most conditions and writes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits that may hold at any time, beside those that do now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NextLimits {
    /// Requests per second.
    pub rps: f64,
    /// Requests per second that write.
    pub write_rps: f64,
    /// Largest value, in KB.
    pub value_kb: f64,
    /// Most conditions and writes in one transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// The limits to come, if any are named. None also for an incomplete set, which is refused at the start.
    pub fn next_limits(&self) -> Option<NextLimits> {
        let next = self.next.as_ref()?;
        Some(NextLimits {
            rps: next.rps.unwrap_or(self.rps),
            write_rps: next.write_rps?,
            value_kb: next.value_kb?,
            txn_ops: next.txn_ops?,
        })
    }
}

/// Limits of the cloud's interface.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How old the list of machines may be, in seconds.
    pub list_lag_s: f64,
}

/// Limits of a controller's machine.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// CPU cores; may be a fraction.
    pub cores: f64,
    /// Memory, in MB.
    pub mem_mb: f64,
    /// Most sockets that are open at once.
    pub max_sockets: usize,
}

/// The limits of a controller's machine where the platform names none.
const DEFAULT_LIMITS: Limits = Limits {
    cores: 1.0,
    mem_mb: 512.0,
    max_sockets: 1024,
};

impl Settings {
    /// The teams as leaves of a quota tree.
    pub fn quota_teams(&self) -> Vec<quota::Team> {
        let given = |parts: [(&str, f64); 2]| {
            parts
                .into_iter()
                .filter(|(_, v)| *v > 0.0)
                .map(|(name, v)| (name.to_owned(), v))
                .collect()
        };
        let team = |t: &Team| quota::Team {
            name: t.name.clone(),
            guarantee: given([("cpus", t.cpus), ("gpus", t.gpus)]),
            max: given([("cpus", t.cpus_max), ("gpus", t.gpus_max)]),
        };
        self.cluster.teams.iter().map(team).collect()
    }

    /// The limits of this machine: within `cluster` or beside it, depending on the platform's version.
    pub fn limits(&self) -> Limits {
        self.cluster
            .limits
            .clone()
            .or_else(|| self.limits.clone())
            .unwrap_or(DEFAULT_LIMITS)
    }
}
