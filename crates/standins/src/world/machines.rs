//! Machines that reach no controller, machines that are up before anybody has heard of their rental, and what room
//! machines have.

use super::World;
use crate::checks::room::{Free, Up};
use crate::days::Machines;
use crate::links::{Cut, Frontend, How};
use crate::worker::Worker;
use wire::api::TaskStage;

/// While boots are quick, a rental is answered up to so much later: after its machines are up.
const MAX_RENTAL_DELAY_MS: u64 = 4000;

impl World {
    /// These can't open connections to controllers. What is sent to them directly arrives and is answered.
    pub(super) fn mute(&mut self, machines: Machines, ms: u64) {
        let sides = match machines {
            // Those too that come up meanwhile.
            Machines::Zone(zone) => vec![Frontend::MachinesIn(zone.to_owned())],
            some => self
                .draw_machines(some)
                .into_iter()
                .map(Frontend::Machine)
                .collect(),
        };
        for frontend in sides {
            let both_ways = Cut::between(frontend, Frontend::Nodes, self.now, ms);
            self.cut(Cut {
                both: false,
                how: How::Reset,
                ..both_ways
            });
        }
    }

    pub fn zone_of(&self, machine: &str) -> Option<&str> {
        self.workers.get(machine).map(|w| w.zone.as_str())
    }

    /// By how much later the cloud answers a rental.
    pub(super) fn rental_delay_ms(&mut self, path: &str) -> u64 {
        let quick = path == "/machines" && self.now < self.cloud.quick_until;
        if quick {
            self.rng.u64(0..MAX_RENTAL_DELAY_MS)
        } else {
            0
        }
    }
}

impl World {
    /// Once a second after the troubles of a small day: whether jobs wait beside room.
    pub(super) fn check_room(&mut self) {
        let now = self.now;
        if self.plan.large || !now.is_multiple_of(1000) || now < self.faults_over_at() {
            return;
        }
        let there = self
            .workers
            .values()
            .filter(|w| w.hung_until <= now && w.taken_at.is_none());
        let up: Vec<Up> = there.filter_map(|w| self.observe_machine(w)).collect();
        if let Some(day) = self.day.as_mut() {
            day.checks.room.look(now, &up, &self.rules);
        }
    }

    fn observe_machine(&self, w: &Worker) -> Option<Up> {
        let of_type = self
            .cloud
            .catalog
            .types
            .iter()
            .find(|t| t.name == w.machine_type)?;
        let on = w.tasks.iter().filter(|t| t.stage != TaskStage::Exited);
        Some(Up {
            name: w.name.clone(),
            machine_type: w.machine_type.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            whole: Free {
                cores: of_type.cores,
                gpus: of_type.gpus,
                mem_gb: of_type.mem_gb,
            },
            tasks: on.map(|t| (t.name.clone(), t.attempt)).collect(),
        })
    }
}
