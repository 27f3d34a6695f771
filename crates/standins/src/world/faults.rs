//! Injection of the faults defined in [`crate::days::Trouble`], at scheduled times or whenever a test requests one.

use super::{Call, Origin, SimEvent, World};
use crate::days::{LATE_REPORT_MS, LATE_WRITE_MS, Machines, NextLeader, Trouble, Who};
use crate::links::{Cut, Frontend};
use std::collections::BTreeMap;
use wire::http::Request;

/// How often injected faults took effect, so that a test can verify that they did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hits {
    /// Delayed and unanswered transactions that were executed, and those that were rejected on execution (by a
    /// condition, an expired lease or a rate limit).
    pub late_writes: u64,
    pub late_refused: u64,
    /// Transactions that were executed without delay but not answered.
    pub unanswered_writes: u64,
    /// Duplicate reports that reached a running node.
    pub copies: u64,
    /// Reports that were held for the next leader and then sent to it.
    pub held_reports: u64,
    /// Reports that were lost because their machine could not connect to any controller.
    pub unsaid: u64,
    /// Copies of commands that reached a machine, and those of them that it carried out and that contained a start.
    pub command_copies: u64,
    pub start_copies: u64,
    /// Messages between hosts that were delayed by slow links.
    pub slow: u64,
    /// Responses to reports, and direct commands, that were lost because the machine receives nothing.
    pub unheard_answers: u64,
    pub unheard_commands: u64,
}

/// State of the lasting faults. They have their own random number generator, so that they don't change what the rest
/// of the simulation draws.
pub(super) struct FaultState {
    pub(super) rng: fastrand::Rng,
    /// The share of messages that is hit, and until when.
    late_writes: (f64, u64),
    unanswered_writes: (f64, u64),
    late_reports: (f64, u64),
    /// Until when a machine, or all machines of a zone, receive nothing.
    deaf: BTreeMap<String, u64>,
    deaf_zones: BTreeMap<&'static str, u64>,
    /// For each node: messages that this incarnation sends until this time are delayed by up to so many milliseconds.
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
    /// Injects a fault now. A fault aimed at the leader hits the current leader, or the last one if there is none.
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
            Trouble::CommandCopies { share, for_ms } => self.copy_commands(share, for_ms),
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
                self.cloud.quick_boot_until = self.cloud.quick_boot_until.max(now + ms)
            }
            Trouble::SlowLinks { ms } => self.slow_links(ms),
        }
    }

    /// Picks machines among those that are running now.
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
        // Removes expired entries, so that the map doesn't outgrow the fleet.
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

    /// Whether a machine loses the response to its report.
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

    /// The delay until an arriving transaction is executed without a response; `None` if it is handled normally.
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

    /// Schedules a duplicate of a report that arrives at the given time, if this report is drawn for it.
    pub(super) fn maybe_duplicate_report(&mut self, node: usize, at: u64, report: &Request) {
        if self.faults.draw(self.faults.late_reports, self.now) {
            let later = at + self.faults.rng.u64(LATE_REPORT_MS);
            self.schedule(
                later,
                SimEvent::Request(node, Origin::Duplicate, report.clone(), false),
            );
        }
    }

    /// The additional delay of a message that a node sends.
    pub(super) fn node_delay_ms(&mut self, n: usize) -> u64 {
        let (incarnation, until, ms) = self.faults.send_delays[n];
        let late = self.now < until && self.hosts[n].incarnation == incarnation;
        if late { self.rng.u64(0..ms) } else { 0 }
    }
}
