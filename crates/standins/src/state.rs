//! An in-memory state service with versions, conditional transactions, leases and watches.

use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use wire::api::Condition;

#[derive(Default)]
pub struct State {
    pub revision: u64,
    pub keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    log: Vec<(u64, String, Option<Value>)>,
    /// Changes up to this revision have been compacted and can no longer be watched.
    pub forgotten: u64,
    pub limits: Limits,
    /// Future limits and when each takes effect, in order. Clients get no notice of the change.
    pub limits_from: VecDeque<(u64, Limits)>,
    /// The limits that the settings name, once other limits have taken effect.
    configured: Option<Limits>,
    pub counts: Counts,
    /// Sabotage used to verify the checks: conditions on keys with these prefixes always hold.
    pub unguarded: Vec<&'static str>,
    /// The remaining budgets of requests and changes, and when they were last updated.
    budget: Option<(f64, f64, u64)>,
}

/// Rate and size limits of the service, as the settings describe them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            rps: 400.0,
            write_rps: 200.0,
            value_kb: 8.0,
            txn_ops: 8,
        }
    }
}

/// Counts of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub requests: u64,
    pub changes: u64,
    pub txns: u64,
    /// Requests refused because of a rate limit.
    pub too_fast: u64,
    /// Transactions refused because they exceed a size limit.
    pub too_large: u64,
    pub largest_value: usize,
    /// Reads and watches of the models' records.
    pub models: u64,
}

pub struct Entry {
    pub value: Value,
    pub version: u64,
    pub lease: Option<u64>,
}

/// A watch that waits for a change after a revision.
pub struct Watch {
    pub prefix: String,
    pub from: u64,
    pub until: u64,
}

pub enum Outcome {
    Now(u16, Value),
    Wait(Watch),
}

#[derive(Deserialize)]
struct Txn {
    #[serde(default)]
    guards: Vec<Condition>,
    #[serde(default)]
    writes: Vec<Op>,
}

#[derive(Deserialize)]
struct Op {
    write: Option<String>,
    #[serde(rename = "v")]
    value: Option<Value>,
    #[serde(rename = "tenancy")]
    lease: Option<u64>,
    remove: Option<String>,
}

fn query_param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl State {
    /// All changes from index `from` on.
    pub fn history(&self, from: usize) -> &[(u64, String, Option<Value>)] {
        self.log.get(from..).unwrap_or_default()
    }

    pub fn expire(&mut self, now: u64) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(l, _)| *l)
            .collect();
        over.into_iter().for_each(|l| self.end_lease(l));
    }

    /// Renews all leases to their full duration, as the service does after an outage.
    pub fn renew_all(&mut self, now: u64) {
        self.leases
            .values_mut()
            .for_each(|(end, ttl)| *end = now + *ttl);
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log.push((self.revision, key.to_owned(), None));
        }
    }

    pub fn changes(&self, prefix: &str, from: u64) -> Option<Value> {
        // The log is ordered by revision.
        let first = self.log.partition_point(|(rev, _, _)| *rev <= from);
        let log: Vec<Value> = self.log[first..]
            .iter()
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(rev, key, value)| match value {
                Some(v) => json!({"write": key, "v": v, "stamp": rev}),
                None => json!({"remove": key, "stamp": rev}),
            })
            .collect();
        (!log.is_empty()).then(|| json!({"ledger": self.revision, "log": log}))
    }

    pub fn handle(&mut self, now: u64, method: &str, path: &str, body: &[u8]) -> Outcome {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        self.change_limits(now);
        self.counts.requests += 1;
        self.counts.models += u64::from(query.contains("under=model/") || path.contains("/model/"));
        if !self.take_budget(now, 1.0, 0.0) {
            return Outcome::Now(429, json!({}));
        }
        let segments: Vec<&str> = path.trim_start_matches('/').splitn(2, '/').collect();
        match (method, segments.as_slice()) {
            ("GET", ["keys", key]) => match self.keys.get(*key) {
                Some(e) => Outcome::Now(200, json!({"key": key, "v": e.value, "stamp": e.version})),
                None => Outcome::Now(404, json!({"ledger": self.revision})),
            },
            ("GET", ["keys"]) => self.range(query),
            ("GET", ["changes"]) => {
                let prefix = query_param(query, "under").unwrap_or("");
                let from = query_param(query, "from")
                    .and_then(|f| f.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = query_param(query, "waitMs")
                    .and_then(|f| f.parse().ok())
                    .unwrap_or(0);
                if from < self.forgotten {
                    return Outcome::Now(410, json!({}));
                }
                match self.changes(prefix, from) {
                    Some(v) => Outcome::Now(200, v),
                    None => Outcome::Wait(Watch {
                        prefix: prefix.to_owned(),
                        from,
                        until: now + wait,
                    }),
                }
            }
            ("POST", ["txn"]) => self.txn(now, body),
            ("POST", ["grants"]) => {
                let ttl = wire::decode::<wire::api::GrantRequest>(body).map_or(1000, |g| g.ttl_ms);
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + ttl, ttl));
                Outcome::Now(200, json!({"tenancy": self.next_lease}))
            }
            ("POST", ["grants", rest]) => {
                let lease = rest
                    .strip_suffix("/renew")
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(0);
                match self.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = now + *ttl;
                        Outcome::Now(200, json!({"tenancy": lease}))
                    }
                    None => Outcome::Now(404, json!({})),
                }
            }
            ("DELETE", ["grants", lease]) => {
                self.end_lease(lease.parse().unwrap_or(0));
                Outcome::Now(200, json!({}))
            }
            _ => Outcome::Now(400, json!({"error": "malformed"})),
        }
    }

    fn range(&self, query: &str) -> Outcome {
        let prefix = query_param(query, "under").unwrap_or("");
        let from = query_param(query, "from").unwrap_or("");
        let limit: usize = query_param(query, "limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(1000);
        let mut found = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from);
        let items: Vec<Value> = found
            .by_ref()
            .take(limit)
            .map(|(k, e)| json!({"key": k, "v": e.value, "stamp": e.version}))
            .collect();
        let more = found.next().is_some();
        Outcome::Now(
            200,
            json!({"items": items, "more": more, "ledger": self.revision}),
        )
    }

    fn change_limits(&mut self, now: u64) {
        while let Some((_, limits)) = self.limits_from.pop_front_if(|(from, _)| *from <= now) {
            self.configured.get_or_insert(self.limits);
            self.limits = limits;
        }
    }

    /// The limits that the settings name, whatever limits are in effect.
    pub fn configured_limits(&self) -> Limits {
        self.configured.unwrap_or(self.limits)
    }

    /// Takes from the budgets of requests and changes. Both allow a burst of one second's worth.
    fn take_budget(&mut self, now: u64, requests: f64, changes: f64) -> bool {
        let l = self.limits;
        let (mut r, mut c, at) = self.budget.unwrap_or((l.rps, l.write_rps, now));
        let elapsed_s = now.saturating_sub(at) as f64 / 1000.0;
        (r, c) = (
            (r + elapsed_s * l.rps).min(l.rps),
            (c + elapsed_s * l.write_rps).min(l.write_rps),
        );
        let ok = r >= requests && c >= changes;
        if ok {
            (r, c) = (r - requests, c - changes);
        } else {
            self.counts.too_fast += 1;
        }
        self.budget = Some((r, c, now));
        ok
    }

    fn txn(&mut self, now: u64, body: &[u8]) -> Outcome {
        let Ok(txn) = wire::decode::<Txn>(body) else {
            return Outcome::Now(400, json!({"error": "malformed"}));
        };
        let sizes = txn
            .writes
            .iter()
            .filter_map(|w| w.value.as_ref())
            .map(|v| v.to_string().len());
        let (largest, all) = sizes.fold((0, 0), |(most, sum), n| (most.max(n), sum + n));
        self.counts.largest_value = self.counts.largest_value.max(largest);
        if txn.writes.len() > self.limits.txn_ops
            || txn.guards.len() > 4 * self.limits.txn_ops
            || largest as f64 > self.limits.value_kb * 1024.0
            || all > 64 * 1024
        {
            self.counts.too_large += 1;
            return Outcome::Now(400, json!({"error": "too large"}));
        }
        if !self.take_budget(now, 0.0, txn.writes.len() as f64) {
            return Outcome::Now(429, json!({}));
        }
        self.counts.txns += 1;
        self.counts.changes += txn.writes.len() as u64;
        if txn
            .writes
            .iter()
            .filter_map(|w| w.lease)
            .any(|l| !self.leases.contains_key(&l))
        {
            return Outcome::Now(400, json!({"error": "no such lease"}));
        }
        let failed: Vec<&String> = txn
            .guards
            .iter()
            .filter(|g| !self.unguarded.iter().any(|k| g.key.starts_with(k)))
            .filter(|g| self.keys.get(&g.key).map_or(0, |e| e.version) != g.version)
            .map(|g| &g.key)
            .collect();
        if !failed.is_empty() {
            return Outcome::Now(409, json!({"failed": failed, "ledger": self.revision}));
        }
        self.revision += 1;
        for op in txn.writes {
            if let (Some(key), Some(value)) = (op.write, op.value) {
                self.log
                    .push((self.revision, key.clone(), Some(value.clone())));
                self.keys.insert(
                    key,
                    Entry {
                        value,
                        version: self.revision,
                        lease: op.lease,
                    },
                );
            } else if let Some(key) = op.remove {
                self.remove(&key);
            }
        }
        Outcome::Now(200, json!({"ledger": self.revision}))
    }
}
