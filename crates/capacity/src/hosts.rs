//! The state service and the cloud as the tool plays them: the stand-ins of the tests, behind the limits of the
//! settings, with what each controller asks of them counted by kind.

use crate::clock::Millis;
use crate::cluster;
use crate::size::{Sabotage, Size};
use net::ConnId;
use serde::Serialize;
use serde_json::json;
use standins::cloud::Cloud;
use standins::state::{Outcome, State, Watch};
use std::collections::{BTreeMap, HashSet};
use wire::http::Request;

/// Machines boot within these times, in milliseconds.
const BOOT_MS: std::ops::Range<u64> = 1000..6000;
const SNAPSHOT_EVERY_MS: u64 = 1000;

/// Messages of one kind, both ways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Messages {
    pub count: u64,
    pub bytes: u64,
}

impl Messages {
    pub fn add(&mut self, bytes: usize) {
        self.count += 1;
        self.bytes += bytes as u64;
    }
}

/// Who is to be answered: a connection, and the controller at its other end.
#[derive(Debug, Clone, Copy)]
pub struct Requester {
    pub conn: ConnId,
    pub node: usize,
}

/// An answer: status and body.
pub type Answer = (Requester, u16, Vec<u8>);

/// What was asked of the state service.
#[derive(Debug, Clone, Default, Serialize)]
pub struct StateCounts {
    /// By kind: reads, ranges, watches, transactions, leases.
    pub kinds: BTreeMap<&'static str, Messages>,
    pub refused_too_fast: u64,
    pub changes: u64,
    pub largest_value: usize,
    /// Keys and bytes of their values, by the first part of their names.
    pub keys: BTreeMap<String, Messages>,
}

/// The state service with its open watches.
pub struct StateHost {
    state: State,
    watches: Vec<(Watch, Requester)>,
    seen: u64,
    kinds: BTreeMap<&'static str, Messages>,
}

fn kind_of(request: &Request) -> &'static str {
    let path = request.path.as_str();
    match request.method.as_str() {
        "GET" if path.starts_with("/keys/") => "read",
        "GET" if path.starts_with("/keys") => "range",
        "GET" => "watch",
        "POST" if path == "/txn" => "transaction",
        _ => "lease",
    }
}

impl StateHost {
    pub fn new(size: &Size) -> Self {
        let mut state = State::default();
        state.limits = cluster::state_limits(size);
        if size.sabotage == Sabotage::Guards {
            state.unguarded = vec!["sys/", "log/"];
        }
        StateHost {
            state,
            watches: Vec::new(),
            seen: 0,
            kinds: BTreeMap::new(),
        }
    }

    /// Takes a request; what can be answered now is.
    pub fn handle(&mut self, now: Millis, requester: Requester, request: &Request) -> Vec<Answer> {
        let kind = kind_of(request);
        self.state.expire(now);
        let outcome = self
            .state
            .handle(now, &request.method, &request.path, &request.body);
        let mut answers = Vec::new();
        let mut size = request.body.len();
        match outcome {
            Outcome::Now(status, body) => {
                let body = wire::encode(&body);
                size += body.len();
                answers.push((requester, status, body));
            }
            Outcome::Wait(watch) => self.watches.push((watch, requester)),
        }
        self.kinds.entry(kind).or_default().add(size);
        answers.extend(self.wake(now));
        answers
    }

    /// Answers the watches that have something to tell or whose time is over.
    pub fn wake(&mut self, now: Millis) -> Vec<Answer> {
        self.state.expire(now);
        let has_changed = self.state.revision != self.seen;
        self.seen = self.state.revision;
        let mut answers = Vec::new();
        let state = &self.state;
        self.watches.retain(|(watch, requester)| {
            let changes = if has_changed {
                state.changes(&watch.prefix, watch.from)
            } else {
                None
            };
            let over = || json!({"ledger": state.revision, "log": []});
            let Some(body) = changes.or_else(|| (now >= watch.until).then(over)) else {
                return true;
            };
            answers.push((*requester, 200, wire::encode(&body)));
            false
        });
        for (_, _, body) in &answers {
            self.kinds.entry("watch").or_default().bytes += body.len() as u64;
        }
        answers
    }

    /// The controller that leads, by its record.
    pub fn leader(&self, controllers: usize) -> Option<usize> {
        let record = self.state.keys.get("sys/owner/0")?;
        let name = record.value.get("node")?.as_str()?;
        (0..controllers).find(|node| cluster::node_name(*node) == name)
    }

    pub fn counts(&self) -> StateCounts {
        StateCounts {
            kinds: self.kinds.clone(),
            refused_too_fast: self.state.counts.too_fast,
            changes: self.state.counts.changes,
            largest_value: self.state.counts.largest_value,
            keys: BTreeMap::new(),
        }
    }

    /// The same with all keys looked at.
    pub fn counts_with_keys(&self) -> StateCounts {
        let mut counts = self.counts();
        for (key, entry) in &self.state.keys {
            let kind = key.split('/').next().unwrap_or(key);
            let bytes = entry.value.to_string().len();
            counts.keys.entry(kind.to_owned()).or_default().add(bytes);
        }
        counts
    }
}

/// A machine that has come up.
#[derive(Debug, Clone, PartialEq)]
pub struct Booted {
    pub machine: String,
    pub zone: usize,
}

/// The cloud, with the machines that were ever up.
pub struct CloudHost {
    cloud: Cloud,
    rng: fastrand::Rng,
    known: HashSet<String>,
    snapshot_at: Millis,
    /// What is left of this second's requests.
    level: f64,
    level_at: Millis,
    rps: f64,
    requests: Messages,
}

impl CloudHost {
    pub fn new(size: &Size) -> Self {
        let mut cloud = Cloud::new(cluster::catalog(size), size.workers, cluster::list_lag_ms());
        cloud.boot_ms = BOOT_MS;
        let port = size.worker_port;
        cloud.address = Box::new(move |machine| cluster::worker_address(machine, port).to_string());
        CloudHost {
            cloud,
            rng: fastrand::Rng::with_seed(size.seed),
            known: HashSet::new(),
            snapshot_at: 0,
            level: 2.0 * size.cloud_rps,
            level_at: 0,
            rps: size.cloud_rps,
            requests: Messages::default(),
        }
    }

    /// Status and body, and the machines that are to be gone before it is sent.
    pub fn handle(&mut self, now: Millis, request: &Request) -> (u16, Vec<u8>, Vec<String>) {
        let gone = now.saturating_sub(self.level_at) as f64 / 1000.0;
        self.level = (self.level + gone * self.rps).min(2.0 * self.rps);
        self.level_at = now;
        if self.level < 1.0 {
            return (
                429,
                wire::encode(&json!({"error": "too many requests"})),
                Vec::new(),
            );
        }
        self.level -= 1.0;
        let (status, body) = self.cloud.handle(
            now,
            &mut self.rng,
            &request.method,
            &request.path,
            &request.body,
        );
        let body = wire::encode(&body);
        self.requests.add(request.body.len() + body.len());
        let deleted = std::mem::take(&mut self.cloud.deleted);
        (status, body, deleted.into_iter().collect())
    }

    /// Machines that have come up since the last call; the list of what is rented is renewed.
    pub fn tick(&mut self, now: Millis) -> Vec<Booted> {
        if now >= self.snapshot_at {
            self.snapshot_at = now + SNAPSHOT_EVERY_MS;
            self.cloud.snapshot(now);
        }
        let up = self.cloud.came_up(now, |name| self.known.contains(name));
        let mut booted = Vec::new();
        for (machine, _, zone, _) in up {
            self.known.insert(machine.clone());
            if let Some(zone) = cluster::zone_index(&zone) {
                booted.push(Booted { machine, zone });
            }
        }
        booted
    }

    /// A machine dies with all that is on it; it stays listed until it is deleted.
    pub fn lose(&mut self, machine: &str) {
        if let Some(rented) = self.cloud.machines.get_mut(machine) {
            rented.up_at = None;
        }
    }

    /// Machines that are up, with their zones.
    pub fn up(&self, now: Millis) -> Vec<Booted> {
        let machines = self.cloud.machines.iter();
        let up = machines.filter(|(_, rented)| rented.up_at.is_some_and(|at| at <= now));
        up.filter_map(|(machine, rented)| {
            Some(Booted {
                machine: machine.clone(),
                zone: cluster::zone_index(&rented.zone)?,
            })
        })
        .collect()
    }

    pub fn requests(&self) -> Messages {
        self.requests
    }
}
