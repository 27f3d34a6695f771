//! The settings file that the platform hands over.

use serde::Deserialize;

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub node: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "client_listen")]
    pub listen: String,
    #[serde(rename = "peer_bind")]
    pub peer_listen: String,
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    pub cluster: Cluster,
    #[serde(rename = "machine_limits")]
    pub limits: Option<Limits>,
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    pub node: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "address")]
    pub addr: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: String,
    pub state: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    pub initial_size: u32,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "machine_limits")]
    pub limits: Option<Limits>,
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
}

/// What a team is guaranteed and what it may use at most; a limit of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    pub cores: f64,
    pub mem_mb: f64,
    pub max_sockets: usize,
}

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

    /// The limits stand within `cluster` or beside it, depending on the platform's version.
    pub fn limits(&self) -> Limits {
        self.cluster
            .limits
            .clone()
            .or_else(|| self.limits.clone())
            .unwrap_or(Limits {
                cores: 1.0,
                mem_mb: 512.0,
                max_sockets: 1024,
            })
    }

    /// Names the first field whose value can't be worked with.
    pub fn check(&self) -> Result<(), String> {
        fn positive(name: &str, v: f64) -> Result<(), String> {
            if v.is_finite() && v > 0.0 {
                Ok(())
            } else {
                Err(format!("{name}: must be above 0, is {v}"))
            }
        }
        let c = &self.cluster;
        let addr = |name: &str, a: &str| {
            a.parse::<std::net::SocketAddrV4>()
                .map(|_| ())
                .map_err(|_| format!("{name}: not an IPv4 address and port: {a:?}"))
        };
        if self.node.is_empty() {
            return Err("node: must not be empty".into());
        }
        addr("client_listen", &self.listen)?;
        addr("peer_bind", &self.peer_listen)?;
        addr("endpoints.cloud", &self.endpoints.cloud)?;
        addr("endpoints.state", &self.endpoints.state)?;
        for (i, p) in self.peers.iter().enumerate() {
            addr(&format!("peers[{i}].address"), &p.addr)?;
            if p.node == self.node || self.peers[..i].iter().any(|q| q.node == p.node) {
                return Err(format!("peers[{i}].node: {:?} is named twice", p.node));
            }
        }
        positive("cluster.workers.report_s", c.workers.report_s)?;
        positive("cluster.workers.lease_s", c.workers.lease_s)?;
        positive("cluster.workers.gang_wait_s", c.workers.gang_wait_s)?;
        positive("cluster.workers.gang_peer_s", c.workers.gang_peer_s)?;
        positive("cluster.workers.cancel_s", c.workers.cancel_s)?;
        positive("cluster.state.rps", c.state.rps)?;
        positive("cluster.state.write_rps", c.state.write_rps)?;
        positive("cluster.state.value_kb", c.state.value_kb)?;
        if c.state.txn_ops < 4 {
            return Err("cluster.state.txn_ops: at least 4 are needed".into());
        }
        positive("cluster.cloud.rps", c.cloud.rps)?;
        let limits = self.limits();
        positive("cluster.machine_limits.cores", limits.cores)?;
        positive("cluster.machine_limits.mem_mb", limits.mem_mb)?;
        if limits.max_sockets < 32 {
            return Err("cluster.machine_limits.max_sockets: at least 32 are needed".into());
        }
        for (i, t) in c.teams.iter().enumerate() {
            let parts = [
                ("cpus", t.cpus),
                ("cpus_max", t.cpus_max),
                ("gpus", t.gpus),
                ("gpus_max", t.gpus_max),
            ];
            for (name, v) in parts {
                if !v.is_finite() || v < 0.0 {
                    return Err(format!(
                        "cluster.teams[{i}].{name}: must be 0 or more, is {v}"
                    ));
                }
            }
            if c.teams[..i].iter().any(|o| o.name == t.name) {
                return Err(format!(
                    "cluster.teams[{i}].name: {:?} is named twice",
                    t.name
                ));
            }
        }
        Ok(())
    }
}
