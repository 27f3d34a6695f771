//! Clients of the gateway, which open a connection for each call, and the runners of applications on the machines.

use super::{GatewayConn, START_MS, SimEvent, World};
use crate::links::Place;
use crate::yarn::{Exchange, Next, Runner, Who};
use gateway::served::Raw;
use serde_json::Value;
use std::collections::HashSet;
use wire::api::{Cause, TaskStage};

impl World {
    /// Starts the calls that are due, each on its own connection to a random node.
    pub(super) fn yarn_tick(&mut self) {
        if self.plan.scene.as_ref().is_none_or(|s| s.yarn.is_none()) {
            return;
        }
        self.sync_runners();
        for (who, ask) in self.yarn.due(self.now) {
            self.open_call(who, ask);
        }
    }

    /// Opens a connection to a random node for one call.
    fn open_call(&mut self, who: Who, ask: crate::yarn::Ask) {
        let (exchange, web, first) = Exchange::begin(ask);
        let conn = self.open_conn(who, exchange, web);
        self.schedule(self.now + 6000, SimEvent::ConnectionEnd(conn));
        let faulty = self.now < START_MS + self.plan.faults_until && !self.plan.calm;
        let mut delay = self.rng.u64(1..5);
        // Occasionally the data arrives so late that its client has stopped waiting.
        if faulty && self.rng.u32(0..60) == 0 {
            delay += self.rng.u64(1000..60_000);
        }
        self.schedule(self.now + delay, SimEvent::BytesToNode(conn, first));
    }

    fn open_conn(&mut self, who: Who, exchange: Exchange, web: bool) -> u64 {
        let node = self.rng.usize(0..self.plan.nodes);
        let conn = self.next_conn;
        self.next_conn += 1;
        let incarnation = self.hosts[node].incarnation;
        self.gateway_conns.insert(
            conn,
            GatewayConn {
                who,
                node,
                incarnation,
                exchange,
            },
        );
        let from = std::net::IpAddr::from([127, 0, 0, 1]);
        self.conn_input(conn, Raw::Opened { web, from });
        conn
    }

    /// Makes a call on behalf of a test and waits for the response.
    pub fn call(&mut self, ask: crate::yarn::Ask) -> crate::yarn::Answer {
        self.yarn.answered = None;
        self.open_call(Who::Test, ask);
        let end = self.now + 10_000;
        // The simulation stops once a rule is broken. Without this check, the loop would never end.
        while self.yarn.answered.is_none() && self.now < end {
            let before = self.now;
            self.run_for(100);
            let broken = (&self.rules.broken, &self.yarn.checks.broken);
            assert!(
                self.now > before || self.yarn.answered.is_some(),
                "the simulation stopped before the call was answered; broken rules: {broken:?}"
            );
        }
        self.yarn.answered.take().flatten()
    }

    /// Sends arbitrary bytes on a connection that the client neither reads from nor closes.
    pub fn pour(&mut self, web: bool, bytes: Vec<u8>) {
        let ask = crate::yarn::Ask::Web {
            method: "GET",
            target: String::new(),
            body: Vec::new(),
        };
        let (exchange, _, _) = Exchange::begin(ask);
        let conn = self.open_conn(Who::Test, exchange, web);
        self.schedule(self.now + 1, SimEvent::BytesToNode(conn, bytes));
        self.run_for(2);
    }

    /// Starts a runner for each running task of the gateway's jobs, and removes the runners of tasks that no longer
    /// run.
    fn sync_runners(&mut self) {
        let now = self.now;
        let mut here = HashSet::new();
        let mut new = Vec::new();
        for w in self.workers.values() {
            for t in w.tasks.iter().filter(|t| t.stage == TaskStage::Running) {
                let Some((job, task)) = wire::ids::parse_task(&t.name) else {
                    continue;
                };
                if !wire::ids::reserved_job_id(job) {
                    continue;
                }
                let key = (t.name.clone(), t.attempt);
                let spec = self.rules.jobs.get(job).and_then(|j| j.spec.as_ref());
                if let Some(spec) = spec.filter(|_| !self.yarn.runners.contains_key(&key)) {
                    new.push((
                        key.clone(),
                        Runner::new(spec, task, t.attempt, &w.name, &w.zone, now),
                    ));
                }
                here.insert(key);
            }
        }
        self.yarn.runners.extend(new);
        self.yarn.gone(&here);
        // A task exits when its runner has finished.
        for w in self.workers.values_mut().filter(|w| w.hung_until <= now) {
            for t in w.tasks.iter_mut().filter(|t| t.stage == TaskStage::Running) {
                let runner = self.yarn.runners.get(&(t.name.clone(), t.attempt));
                if let Some(done) = runner.and_then(|r| r.over) {
                    t.stage = TaskStage::Exited;
                    t.cause = Some(if done { Cause::Done } else { Cause::Error });
                    w.changed = true;
                    if done {
                        self.rules.completed(&t.name);
                    }
                }
            }
        }
    }

    pub(super) fn conn_input(&mut self, conn: u64, event: Raw) {
        let Some(connection) = self.gateway_conns.get(&conn) else {
            return;
        };
        let (n, incarnation) = (connection.node, connection.incarnation);
        let now = self.node_now(n);
        let cut = self
            .links
            .blocked(self.now, Place::Users, Place::Node(n))
            .is_some();
        let host = &mut self.hosts[n];
        let Some(node) = host
            .node
            .as_mut()
            .filter(|_| host.incarnation == incarnation && !cut)
        else {
            return;
        };
        let (leads, begun) = (node.node().term().is_some(), std::time::Instant::now());
        let outs = node.raw(now, conn, event);
        if leads {
            self.call_ns.push(begun.elapsed().as_nanos() as u64);
        }
        self.apply_outputs(n, outs);
    }

    pub(super) fn conn_output(&mut self, conn: u64, bytes: &[u8]) {
        let Some(connection) = self.gateway_conns.get_mut(&conn) else {
            return;
        };
        match connection.exchange.bytes(bytes) {
            Next::Wait => {}
            Next::Send(bytes) => self.schedule(self.now + 1, SimEvent::BytesToNode(conn, bytes)),
            Next::Over(answer) => {
                if let Some(connection) = self.gateway_conns.remove(&conn) {
                    self.yarn.answer(self.now, &connection.who, answer);
                    self.close_at_node(conn, &connection);
                }
            }
        }
    }

    /// The connection breaks, or its client stops waiting.
    pub(super) fn conn_ended(&mut self, conn: u64) {
        if let Some(connection) = self.gateway_conns.remove(&conn) {
            self.yarn.answer(self.now, &connection.who, None);
            self.close_at_node(conn, &connection);
        }
    }

    fn close_at_node(&mut self, conn: u64, connection: &GatewayConn) {
        let now = self.node_now(connection.node);
        let host = &mut self.hosts[connection.node];
        if let Some(node) = host
            .node
            .as_mut()
            .filter(|_| host.incarnation == connection.incarnation)
        {
            let outs = node.raw(now, conn, Raw::Closed);
            self.apply_outputs(connection.node, outs);
        }
    }

    /// Registers jobs that the gateway had accepted, so that workers can run them.
    pub(super) fn note_yarn_jobs(&mut self, body: &[u8]) {
        let Ok(txn) = wire::decode::<Value>(body) else {
            return;
        };
        for w in txn["writes"].as_array().into_iter().flatten() {
            let Some(job) = w["write"].as_str().and_then(|k| k.strip_prefix("live/")) else {
                continue;
            };
            if !wire::ids::reserved_job_id(job) {
                continue;
            }
            let Ok(rec) = serde_json::from_value::<wire::records::JobRecord>(w["v"].clone()) else {
                continue;
            };
            self.yarn.checks.accepted(job);
            self.run_ms.insert(job.to_owned(), 10_000_000);
            let entry = self.rules.jobs.entry(job.to_owned()).or_default();
            (entry.spec, entry.submitted) = (Some(rec.spec), true);
        }
    }
}
