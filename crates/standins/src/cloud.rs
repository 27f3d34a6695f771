//! An in-memory cloud with a fixed catalog, machines that boot late or never, and a list of machines that lags
//! behind.

use crate::days::QUICK_BOOT_MS;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use wire::api::{Catalog, HireRequest, MachineNames};

pub struct Rental {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub since: u64,
    /// When the machine is up; `None` if it never will be.
    pub up_at: Option<u64>,
}

/// By default, the share of rented machines that never come up.
const NEVER_UP_SHARE: f64 = 0.03;

pub struct Cloud {
    pub catalog: Catalog,
    pub machines: BTreeMap<String, Rental>,
    hired_by_request: BTreeMap<String, Vec<String>>,
    last_id: u64,
    pub capacity: usize,
    /// Past lists of machines and when each was current.
    snapshots: Vec<(u64, Vec<Value>)>,
    pub list_lag_ms: u64,
    /// Machines that are rented before this time boot almost immediately.
    pub quick_boot_until: u64,
    /// Sabotage used to verify the checks: deletions are confirmed but not carried out.
    pub ignores_deletes: bool,
    pub deleted: BTreeSet<String>,
    /// The address of the machine with this name.
    pub address: Box<dyn Fn(&str) -> String + Send>,
    /// The range of boot times in milliseconds.
    pub boot_ms: std::ops::Range<u64>,
    /// The share of rented machines that never come up.
    pub never_up_share: f64,
}

impl Cloud {
    pub fn new(catalog: Catalog, capacity: usize, list_lag_ms: u64) -> Self {
        Cloud {
            catalog,
            machines: BTreeMap::new(),
            hired_by_request: BTreeMap::new(),
            last_id: 0,
            capacity,
            snapshots: Vec::new(),
            list_lag_ms,
            quick_boot_until: 0,
            ignores_deletes: false,
            deleted: BTreeSet::new(),
            address: Box::new(address),
            boot_ms: 1000..9000,
            never_up_share: NEVER_UP_SHARE,
        }
    }

    /// Name, type, zone and spot flag of machines that are up and not known yet.
    pub fn came_up(
        &self,
        now: u64,
        known: impl Fn(&str) -> bool,
    ) -> Vec<(String, String, String, bool)> {
        let up = self
            .machines
            .iter()
            .filter(|(n, r)| r.up_at.is_some_and(|at| at <= now) && !known(n));
        up.map(|(n, r)| (n.clone(), r.machine_type.clone(), r.zone.clone(), r.spot))
            .collect()
    }

    pub fn snapshot(&mut self, now: u64) {
        let list = self
            .machines
            .iter()
            .map(|(name, r)| {
                let up = r.up_at.is_some_and(|at| at <= now);
                json!({"nameId": name, "addr": (self.address)(name), "build": r.machine_type, "hall": r.zone,
                    "loaners": r.spot, "stage": if up { "running" } else { "starting" },
                    "ageS": (now - r.since) as f64 / 1000.0})
            })
            .collect();
        self.snapshots.push((now, list));
        self.snapshots
            .retain(|(at, _)| at + 3 * self.list_lag_ms > now);
    }

    pub fn handle(
        &mut self,
        now: u64,
        rng: &mut fastrand::Rng,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Value) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        match (method, path) {
            ("GET", "/catalog") => (200, serde_json::to_value(&self.catalog).unwrap_or_default()),
            ("GET", "/machines") => {
                let lag = rng.u64(0..=2 * self.list_lag_ms);
                let list = self
                    .snapshots
                    .iter()
                    .rev()
                    .find(|(at, _)| at + lag <= now)
                    .map(|(_, l)| l.as_slice());
                let from = query
                    .split('&')
                    .find_map(|p| p.strip_prefix("from="))
                    .unwrap_or("");
                let after = |v: &&Value| v["nameId"].as_str().is_some_and(|n| n > from);
                let mut rest = list.unwrap_or_default().iter().filter(after);
                let page: Vec<&Value> = rest.by_ref().take(500).collect();
                (200, json!({"burrows": page, "more": rest.next().is_some()}))
            }
            ("POST", "/machines") => match wire::decode::<HireRequest>(body) {
                Ok(h) => self.hire(now, rng, h),
                Err(_) => (400, json!({"error": "malformed"})),
            },
            ("POST", "/machines/delete") => match wire::decode::<MachineNames>(body) {
                Ok(names) => {
                    for name in names.machines {
                        if !self.ignores_deletes {
                            self.machines.remove(&name);
                        }
                        self.deleted.insert(name);
                    }
                    (200, json!({}))
                }
                Err(_) => (400, json!({"error": "malformed"})),
            },
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn hire(&mut self, now: u64, rng: &mut fastrand::Rng, h: HireRequest) -> (u16, Value) {
        if let Some(old) = self.hired_by_request.get(&h.request) {
            return (200, json!({"burrows": old}));
        }
        let room = self.capacity.saturating_sub(self.machines.len());
        if room == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..room.min(h.count as usize) {
            self.last_id += 1;
            let name = format!("host-{:06}", self.last_id);
            let boot = if now < self.quick_boot_until {
                QUICK_BOOT_MS
            } else {
                self.boot_ms.clone()
            };
            let up_at = (rng.f64() > self.never_up_share).then(|| now + rng.u64(boot));
            let rental = Rental {
                machine_type: h.machine_type.clone(),
                zone: h.zone.clone(),
                spot: h.spot,
                since: now,
                up_at,
            };
            self.machines.insert(name.clone(), rental);
            names.push(name);
        }
        self.hired_by_request.insert(h.request, names.clone());
        (200, json!({"burrows": names}))
    }
}

/// The address of a machine. It is unique, and [`name_at`] maps it back to the name.
pub fn address(name: &str) -> String {
    let n: u64 = name.trim_start_matches("host-").parse().unwrap_or(0);
    format!("10.1.{}.{}:9000", n / 250, n % 250 + 1)
}

/// The name of the machine at an address.
pub fn name_at(addr: std::net::SocketAddr) -> Option<String> {
    let std::net::IpAddr::V4(ip) = addr.ip() else {
        return None;
    };
    let [_, _, c, d] = ip.octets();
    let n = (u32::from(c) * 250 + u32::from(d)).checked_sub(1)?;
    Some(format!("host-{n:06}"))
}
