//! The settings file that the platform provides.

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
    /// Addresses of the services that the controller uses.
    pub endpoints: Endpoints,
    /// The settings that all controllers share.
    pub cluster: Cluster,
    /// The limits of this machine, if the platform sets them outside of `cluster`.
    #[serde(rename = "machine_limits")]
    pub limits: Option<Limits>,
    /// Maximum error of the machine's clock, in milliseconds, if the platform sets it outside of `cluster`.
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

/// The settings that all controllers of a cluster share.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Number of machines that the cluster starts with.
    pub initial_size: u32,
    /// The zones.
    pub zones: Vec<String>,
    /// The teams and their quotas.
    pub teams: Vec<Team>,
    /// The service level objectives that the platform measures.
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
    /// Maximum error of a machine's clock, in milliseconds.
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
}

/// A team's guaranteed and maximum resources. A maximum of 0 means no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed CPU cores.
    pub cpus: f64,
    /// Maximum number of CPU cores.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum number of GPUs.
    pub gpus_max: f64,
}

/// A service level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: String,
    /// The class of jobs that it applies to; `None` for all.
    #[serde(default)]
    pub class: Option<String>,
    /// Target time, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of jobs that must be within the target time, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Timing of the agents, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats.
    pub report_s: f64,
    /// Lease of an agent: it ends its tasks once this time has passed since it sent the last heartbeat that was
    /// answered.
    pub lease_s: f64,
    /// How long a task of a gang waits for the gang's other tasks to start.
    pub gang_wait_s: f64,
    /// Time within which the other tasks of a gang end after one of them is gone.
    pub gang_peer_s: f64,
    /// Time after the confirmation of a cancellation within which all tasks of the job are gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Write requests per second.
    pub write_rps: f64,
    /// Largest value, in KB.
    pub value_kb: f64,
    /// Maximum number of conditions and writes in one transaction.
    pub txn_ops: usize,
    /// Limits that will take effect at some later time, without notice.
    #[serde(default)]
    pub next: Option<NextGiven>,
}

/// `state.next` as it stands in the file. [`Settings::check`] reports fields that are missing.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextGiven {
    /// Requests per second; the current limit if omitted.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Write requests per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, in KB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of conditions and writes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits that may take effect at any time, in addition to the current ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NextLimits {
    /// Requests per second.
    pub rps: f64,
    /// Write requests per second.
    pub write_rps: f64,
    /// Largest value, in KB.
    pub value_kb: f64,
    /// Maximum number of conditions and writes in one transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// The upcoming limits, if there are any. Also `None` for an incomplete set, which [`Settings::check`] refuses.
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
    /// Maximum age of the information in the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Limits of a controller's machine.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// CPU cores; may be fractional.
    pub cores: f64,
    /// Memory, in MB.
    pub mem_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}

/// The limits of a controller's machine if the platform sets none.
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

    /// The limits of this machine. Depending on its version, the platform sets them in `cluster` or beside it.
    pub fn limits(&self) -> Limits {
        self.cluster
            .limits
            .clone()
            .or_else(|| self.limits.clone())
            .unwrap_or(DEFAULT_LIMITS)
    }
}
