//! Troubles of the one list, brought about in a day at their times or by a test at any moment.

use super::{Call, Origin, SimEvent, World};
use crate::days::{LATE_REPORT_MS, LATE_WRITE_MS, Machines, NextLeader, Trouble, Who};
use crate::links::{Cut, Frontend};
use std::collections::BTreeMap;
use wire::http::Request;

/// What troubles hit so far, so that a test sees that they did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hits {
    /// Late and unanswered transactions: carried out, and refused as they came (a guard, a lease that had ended, too many at once).
    pub late_writes: u64,
    pub late_refused: u64,
    /// Of them, those that came at once.
    pub unanswered_writes: u64,
    /// Copies of reports that came to a node that was there.
    pub copies: u64,
    /// Reports that waited for the next leader and were sent to it.
    pub held_reports: u64,
    /// Reports of mute machines.
    pub unsaid: u64,
    /// Messages between hosts that took long.
    pub slow: u64,
    /// Answers and direct commands that deaf machines didn't hear.
    pub unheard_answers: u64,
    pub unheard_commands: u64,
}

/// Troubles that last, and what they draw from: nothing else in a world draws from it.
pub(super) struct FaultState {
    pub(super) rng: fastrand::Rng,
    /// Share, and until when.
    late_writes: (f64, u64),
    unanswered_writes: (f64, u64),
    late_reports: (f64, u64),
    /// Until when machines, and all machines of a zone, are deaf.
    deaf: BTreeMap<String, u64>,
    deaf_zones: BTreeMap<&'static str, u64>,
    /// What this life of a node sends until then comes up to so much later: life, until, milliseconds.
    send_delays: Vec<(u64, u64, u64)>,
    pub(super) last_leader: usize,
}

impl FaultState {
    pub(super) fn new(seed: u64, nodes: usize) -> Self {
        FaultState {
            rng: fastrand::Rng::with_seed(seed ^ 0x6c61_7465),
            late_writes: (0.0, 0),
            unanswered_writes: (0.0, 0),
            late_reports: (0.0, 0),
            deaf: BTreeMap::new(),
            deaf_zones: BTreeMap::new(),
            send_delays: vec![(0, 0, 0); nodes],
            last_leader: 0,
        }
    }

    pub(super) fn draw(&mut self, (share, until): (f64, u64), now: u64) -> bool {
        now < until && self.rng.f64() < share
    }
}

impl World {
    /// Brings a trouble about now; its leader is whoever leads the fleet, or did last.
    pub fn bring(&mut self, trouble: &Trouble) {
        let leader = self.leader_at().unwrap_or(self.faults.last_leader);
        self.inject_with_leader(trouble, leader);
    }

    pub(super) fn inject_with_leader(&mut self, trouble: &Trouble, leader: usize) {
        let now = self.now;
        let nodes = |who: Who| match who {
            Who::Node(n) => n..n + 1,
            Who::Leader => leader..leader + 1,
            Who::All => 0..self.plan.nodes,
        };
        match trouble.clone() {
            Trouble::Crash { who, back_ms } => {
                nodes(who).for_each(|n| self.crash_controller(n, back_ms))
            }
            Trouble::Fuse {
                who,
                question,
                back_ms,
            } => {
                self.crash_countdowns
                    .extend(nodes(who).map(|n| (n, (question, back_ms))));
            }
            Trouble::Freeze { who, ms } => {
                for n in nodes(who) {
                    self.hosts[n].frozen_until = self.hosts[n].frozen_until.max(now + ms);
                }
            }
            Trouble::Cut { who, from, how, ms } => {
                for n in nodes(who) {
                    self.cut(Cut {
                        how,
                        ..Cut::between(Frontend::Node(n), from.clone(), now, ms)
                    });
                }
            }
            Trouble::Late { who, for_ms, ms } => {
                for n in nodes(who) {
                    self.faults.send_delays[n] = (self.hosts[n].incarnation, now + for_ms, ms);
                }
            }
            Trouble::Zone { zone, ms } => self.cut_off(zone, ms),
            Trouble::StateOut { ms } => {
                self.state_outage_until = self.state_outage_until.max(now + ms)
            }
            Trouble::Refused { who, ms } => {
                nodes(who).for_each(|n| self.hosts[n].refused_until = now + ms);
            }
            Trouble::StateSlow { ms } => self.state_slow_until = now + ms,
            Trouble::Die { machines } => {
                let mut names: Vec<String> = self.workers.keys().cloned().collect();
                self.rng.shuffle(&mut names);
                names.truncate(machines);
                names.iter().for_each(|m| self.kill_machine(m));
            }
            Trouble::LateWrites {
                share,
                for_ms,
                at_once: false,
            } => self.faults.late_writes = (share, now + for_ms),
            Trouble::LateWrites {
                share,
                for_ms,
                at_once: true,
            } => {
                self.faults.unanswered_writes = (share, now + for_ms);
            }
            Trouble::LateReports {
                share,
                for_ms,
                next: NextLeader::No,
            } => {
                self.faults.late_reports = (share, now + for_ms);
            }
            Trouble::LateReports {
                share,
                for_ms,
                next,
            } => self.keep_for_next(share, for_ms, next),
            Trouble::Deaf { machines, ms } => self.deafen(machines, now + ms),
            Trouble::CloseLooks { .. }
            | Trouble::CancelNow { .. }
            | Trouble::CancelAtEnd { .. }
            | Trouble::OddRequests { .. } => self.inject_user_fault(trouble),
            Trouble::CutOff { who, ms } => {
                for n in nodes(who) {
                    self.cut(Cut::between(Frontend::Node(n), Frontend::State, now, ms));
                    self.cut(Cut::between(Frontend::Node(n), Frontend::Nodes, now, ms));
                }
            }
            Trouble::Mute { machines, ms } => self.mute(machines, ms),
            Trouble::Hang { machines, ms } => self
                .draw_machines(machines)
                .iter()
                .for_each(|m| self.hang(m, ms)),
            Trouble::QuickBoots { ms } => {
                self.cloud.quick_until = self.cloud.quick_until.max(now + ms)
            }
            Trouble::SlowLinks { ms } => self.slow_links(ms),
        }
    }

    /// Machines that are there now, as a trouble chooses them.
    pub(super) fn draw_machines(&mut self, machines: Machines) -> Vec<String> {
        let in_zone = |zone: &str| {
            let there = self.workers.values().filter(|w| w.zone == zone);
            there.map(|w| w.name.clone()).collect()
        };
        let mut names: Vec<String> = self.workers.keys().cloned().collect();
        let count = match machines {
            Machines::Count(count) => count,
            Machines::Share(share) => (share * names.len() as f64).ceil() as usize,
            Machines::Zone(zone) => return in_zone(zone),
        };
        self.faults.rng.shuffle(&mut names);
        names.truncate(count);
        names
    }

    fn deafen(&mut self, machines: Machines, until: u64) {
        if let Machines::Zone(zone) = machines {
            let end = self.faults.deaf_zones.entry(zone).or_default();
            *end = until.max(*end);
            return;
        }
        let now = self.now;
        // Those that hear again are forgotten, so that the table stays as large as the fleet.
        self.faults.deaf.retain(|_, end| *end > now);
        for name in self.draw_machines(machines) {
            let end = self.faults.deaf.entry(name).or_default();
            *end = until.max(*end);
        }
    }

    fn is_deaf(&self, machine: &str) -> bool {
        let faults = &self.faults;
        let zone = self.workers.get(machine).map_or("", |w| w.zone.as_str());
        let ends = [faults.deaf.get(machine), faults.deaf_zones.get(zone)];
        ends.into_iter().flatten().any(|end| self.now < *end)
    }

    /// Whether a machine doesn't hear the answer to its report.
    pub(super) fn misses_answer(&mut self, machine: &str) -> bool {
        let deaf = self.is_deaf(machine);
        self.hits.unheard_answers += u64::from(deaf);
        deaf
    }

    pub(super) fn misses_command(&mut self, machine: &str) -> bool {
        let deaf = self.is_deaf(machine);
        self.hits.unheard_commands += u64::from(deaf);
        deaf
    }

    /// A transaction has come to the state service: by how much later it is carried out, if it is a late one.
    pub(super) fn write_delay_ms(&mut self, c: &Call) -> Option<u64> {
        if c.path != "/txn" || c.unanswered {
            return None;
        }
        if self.faults.draw(self.faults.unanswered_writes, self.now) {
            self.hits.unanswered_writes += 1;
            return Some(0);
        }
        let late = self.faults.draw(self.faults.late_writes, self.now);
        late.then(|| self.faults.rng.u64(LATE_WRITE_MS))
    }

    /// A report has been sent that comes at this time; a copy of it may come again.
    pub(super) fn maybe_duplicate_report(&mut self, node: usize, at: u64, report: &Request) {
        if self.faults.draw(self.faults.late_reports, self.now) {
            let later = at + self.faults.rng.u64(LATE_REPORT_MS);
            self.schedule(
                later,
                SimEvent::Request(node, Origin::Duplicate, report.clone(), false),
            );
        }
    }

    /// How much later comes what a node sends.
    pub(super) fn node_delay_ms(&mut self, n: usize) -> u64 {
        let (incarnation, until, ms) = self.faults.send_delays[n];
        let late = self.now < until && self.hosts[n].incarnation == incarnation;
        if late { self.rng.u64(0..ms) } else { 0 }
    }
}
