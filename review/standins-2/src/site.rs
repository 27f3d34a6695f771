//! The two small deployments of the users' brief.

use serde_json::{Value, json};
use wire::api::{Catalog, MachineType};

pub struct Site {
    pub halls: &'static [&'static str],
    pub lease_s: u64,
    pub cancel_s: u64,
    pub list_lag_s: u64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    cores: f64,
    mem_mb: f64,
    sockets: u64,
    clock_error_ms: f64,
    /// Name, GPUs guaranteed, GPUs at most.
    teams: &'static [(&'static str, f64, f64)],
    /// Name, cores, GPUs, GB, GB/s, price, price when cheap, boot time.
    machine: (&'static str, f64, f64, f64, f64, f64, f64, f64),
    objectives: fn() -> Value,
}

pub static RENNES: Site = Site {
    halls: &["salle-rennes", "salle-brest"],
    lease_s: 30,
    cancel_s: 55,
    list_lag_s: 4,
    rps: 150.0,
    write_rps: 35.0,
    value_kb: 8.0,
    cores: 0.12,
    mem_mb: 200.0,
    sockets: 3500,
    clock_error_ms: 25.0,
    teams: &[
        ("atelier-lorient", 16.0, 56.0),
        ("presse-rennes", 16.0, 32.0),
        ("cinematheque-brest", 32.0, 88.0),
        ("equipe-qualite", 48.0, 136.0),
        ("studio-vannes", 48.0, 152.0),
        ("plateforme-abvv", 48.0, 136.0),
    ],
    machine: ("menhir-48g", 48.0, 8.0, 288.0, 0.8, 25.27, 10.29, 40.0),
    objectives: || {
        json!([
            {"kind": "wait", "class": "keyframe-gang", "within_s": 12.0, "share": 0.85},
            {"kind": "wait", "class": "keyframe-gang", "within_s": 25.0, "share": 0.93},
            {"kind": "finished", "class": "keyframe-gang", "within_s": 150.0, "share": 0.93},
            {"kind": "finished", "class": "vignette-array", "within_s": 200.0, "share": 0.88},
            {"kind": "guarantee", "within_s": 15.0, "share": 0.8}])
    },
};

/// The same with a faster state service: a queue that takes it a quarter of an hour is there within seconds.
pub static NAIROBI_FAST: Site = Site {
    rps: 6000.0,
    write_rps: 2000.0,
    ..NAIROBI
};

pub const NAIROBI: Site = Site {
    halls: &["upperhill", "mombasa-port", "kisumu-lake", "eldoret-rift"],
    lease_s: 34,
    cancel_s: 64,
    list_lag_s: 3,
    rps: 80.0,
    write_rps: 25.0,
    value_kb: 16.0,
    cores: 0.04,
    mem_mb: 72.0,
    sockets: 1000,
    clock_error_ms: 25.0,
    teams: &[
        ("scanning-unit", 16.0, 48.0),
        ("tally-desk", 8.0, 12.0),
        ("field-liaison", 16.0, 40.0),
    ],
    machine: ("baobab-24g", 24.0, 2.0, 192.0, 0.8, 6.75, 2.65, 60.0),
    objectives: || {
        json!([
            {"kind": "wait", "class": "handwriting-gang", "within_s": 35.0, "share": 0.85},
            {"kind": "finished", "class": "handwriting-gang", "within_s": 400.0, "share": 0.9},
            {"kind": "deadline", "class": "scan-read-array", "share": 0.88},
            {"kind": "guarantee", "within_s": 40.0, "share": 0.93}])
    },
};

impl Site {
    pub fn catalog(&self) -> Catalog {
        let (name, cores, gpus, mem_gb, fetch_gb_per_s, price, spot_price, boot_s) = self.machine;
        Catalog {
            types: vec![MachineType {
                name: name.into(),
                cores,
                gpus,
                mem_gb,
                cache_gb: 150.0,
                fetch_gb_per_s,
                price,
                spot_price,
                boot_s,
                zones: self.halls.iter().map(ToString::to_string).collect(),
            }],
        }
    }

    /// The part `cluster` of the settings.
    pub fn cluster(&self, nodes: usize, report_s: f64) -> Value {
        let teams: Vec<Value> = self
            .teams
            .iter()
            .map(|(name, gpus, most)| {
                json!({"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most})
            })
            .collect();
        json!({"initial_size": nodes, "zones": self.halls, "teams": teams, "objectives": (self.objectives)(),
            "workers": {"report_s": report_s, "lease_s": self.lease_s as f64, "gang_wait_s": 40.0,
                "gang_peer_s": 6.0, "cancel_s": self.cancel_s as f64},
            "state": {"rps": self.rps, "write_rps": self.write_rps, "value_kb": self.value_kb, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": self.list_lag_s as f64},
            "machine_limits": {"cores": self.cores, "mem_mb": self.mem_mb, "max_sockets": self.sockets}})
    }

    pub fn clock_error_ms(&self) -> f64 {
        self.clock_error_ms
    }
}
