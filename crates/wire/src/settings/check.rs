//! Validates the values of settings that have been parsed, and names the first field that is invalid.

use super::{Cluster, Settings, StateLimits, Team};
use std::net::SocketAddrV4;

/// Number of conditions and writes that a controller's largest transaction needs.
const MIN_TRANSACTION_OPERATIONS: usize = 4;
/// Smallest upcoming limit on the length of a value, in KB, that a controller can work with.
const MIN_NEXT_VALUE_KB: f64 = 1.0;
/// Number of sockets that a controller needs.
const MIN_SOCKETS: usize = 32;

/// An invalid value in the settings.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The path of the field in the file, such as `cluster.teams[0].cpus`.
    pub field: String,
    /// What is wrong with its value.
    pub problem: SettingsProblem,
}

/// Why a value of the settings is invalid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsProblem {
    /// The text is empty.
    #[error("must not be empty")]
    Empty,
    /// The number is not finite or not above 0.
    #[error("must be above 0, is {value}")]
    NotPositive {
        /// The invalid number.
        value: f64,
    },
    /// The number is not finite or below 0.
    #[error("must be 0 or more, is {value}")]
    Negative {
        /// The invalid number.
        value: f64,
    },
    /// The count is too small.
    #[error("at least {min} are needed")]
    TooFew {
        /// The smallest valid count.
        min: usize,
    },
    /// A required field is missing.
    #[error("missing")]
    Missing,
    /// The number is too small.
    #[error("at least {min} are needed")]
    TooSmall {
        /// The smallest valid number.
        min: f64,
    },
    /// An upcoming limit exceeds the current one.
    #[error("{value} exceeds the current limit of {current}")]
    AboveCurrent {
        /// The invalid number.
        value: f64,
        /// The current limit.
        current: f64,
    },
    /// The text is not an IPv4 address with a port.
    #[error("not an IPv4 address and port: {value:?}")]
    NotAnAddress {
        /// The invalid text.
        value: String,
    },
    /// The name occurs more than once in the same list.
    #[error("{name:?} is named twice")]
    NamedTwice {
        /// The name.
        name: String,
    },
}

impl SettingsProblem {
    fn at(self, field: impl Into<String>) -> SettingsError {
        SettingsError {
            field: field.into(),
            problem: self,
        }
    }
}

impl Settings {
    /// Checks all values, in the order of the file's documentation.
    ///
    /// # Errors
    ///
    /// The first field whose value is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.node.is_empty() {
            return Err(SettingsProblem::Empty.at("node"));
        }
        self.check_addresses()?;
        check_workers(&self.cluster)?;
        check_services(&self.cluster)?;
        self.check_limits()?;
        check_teams(&self.cluster.teams)
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        check_address("client_listen", &self.listen)?;
        check_address("peer_bind", &self.peer_listen)?;
        check_address("endpoints.cloud", &self.endpoints.cloud)?;
        check_address("endpoints.state", &self.endpoints.state)?;
        for (i, peer) in self.peers.iter().enumerate() {
            check_address(format!("peers[{i}].address"), &peer.addr)?;
            let mut earlier = self.peers[..i].iter();
            if peer.node == self.node || earlier.any(|other| other.node == peer.node) {
                let name = peer.node.clone();
                return Err(SettingsProblem::NamedTwice { name }.at(format!("peers[{i}].node")));
            }
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = self.limits();
        check_positive("cluster.machine_limits.cores", limits.cores)?;
        check_positive("cluster.machine_limits.mem_mb", limits.mem_mb)?;
        check_at_least(
            "cluster.machine_limits.max_sockets",
            limits.max_sockets,
            MIN_SOCKETS,
        )
    }
}

fn check_workers(cluster: &Cluster) -> Result<(), SettingsError> {
    let workers = &cluster.workers;
    check_positive("cluster.workers.report_s", workers.report_s)?;
    check_positive("cluster.workers.lease_s", workers.lease_s)?;
    check_positive("cluster.workers.gang_wait_s", workers.gang_wait_s)?;
    check_positive("cluster.workers.gang_peer_s", workers.gang_peer_s)?;
    check_positive("cluster.workers.cancel_s", workers.cancel_s)
}

fn check_services(cluster: &Cluster) -> Result<(), SettingsError> {
    let state = &cluster.state;
    check_positive("cluster.state.rps", state.rps)?;
    check_positive("cluster.state.write_rps", state.write_rps)?;
    check_positive("cluster.state.value_kb", state.value_kb)?;
    check_at_least(
        "cluster.state.txn_ops",
        state.txn_ops,
        MIN_TRANSACTION_OPERATIONS,
    )?;
    check_next(state)?;
    check_positive("cluster.cloud.rps", cluster.cloud.rps)
}

/// Checks the upcoming limits: none may exceed the current one.
fn check_next(state: &StateLimits) -> Result<(), SettingsError> {
    let Some(next) = &state.next else {
        return Ok(());
    };
    let min = MIN_TRANSACTION_OPERATIONS as f64;
    let txn_ops = next.txn_ops.map(|n| n as f64);
    let rps = next.rps.or(Some(state.rps));
    check_next_limit("rps", rps, 0.0, state.rps)?;
    check_next_limit("write_rps", next.write_rps, 0.0, state.write_rps)?;
    check_next_limit("value_kb", next.value_kb, MIN_NEXT_VALUE_KB, state.value_kb)?;
    check_next_limit("txn_ops", txn_ops, min, state.txn_ops as f64)
}

fn check_next_limit(
    name: &str,
    given: Option<f64>,
    min: f64,
    current: f64,
) -> Result<(), SettingsError> {
    let field = format!("cluster.state.next.{name}");
    let Some(value) = given else {
        return Err(SettingsProblem::Missing.at(field));
    };
    check_positive(&field, value)?;
    if value < min {
        return Err(SettingsProblem::TooSmall { min }.at(field));
    }
    if value > current {
        return Err(SettingsProblem::AboveCurrent { value, current }.at(field));
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> Result<(), SettingsError> {
    for (i, team) in teams.iter().enumerate() {
        let amounts = [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ];
        for (field, value) in amounts {
            if !value.is_finite() || value < 0.0 {
                let field = format!("cluster.teams[{i}].{field}");
                return Err(SettingsProblem::Negative { value }.at(field));
            }
        }
        if teams[..i].iter().any(|other| other.name == team.name) {
            let name = team.name.clone();
            let field = format!("cluster.teams[{i}].name");
            return Err(SettingsProblem::NamedTwice { name }.at(field));
        }
    }
    Ok(())
}

fn check_positive(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(SettingsProblem::NotPositive { value }.at(field))
}

fn check_at_least(field: &str, value: usize, min: usize) -> Result<(), SettingsError> {
    if value >= min {
        return Ok(());
    }
    Err(SettingsProblem::TooFew { min }.at(field))
}

fn check_address(field: impl Into<String>, value: &str) -> Result<(), SettingsError> {
    match value.parse::<SocketAddrV4>() {
        Ok(_) => Ok(()),
        Err(_) => Err(SettingsProblem::NotAnAddress {
            value: value.to_owned(),
        }
        .at(field)),
    }
}
