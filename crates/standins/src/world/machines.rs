//! Machines that can't reach any controller, machines that are up before the response to their rental, and free
//! capacity.

use super::World;
use crate::checks::room::{Free, Up};
use crate::days::Machines;
use crate::links::{Cut, Frontend, How};
use crate::worker::Worker;
use wire::api::TaskStage;

/// While machines boot quickly, the response to a rental is delayed by up to this time, so that it can arrive after
/// its machines are up.
const MAX_RENTAL_DELAY_MS: u64 = 4000;

impl World {
    /// These machines can't open connections to controllers. Direct requests still reach them and are answered.
    pub(super) fn mute(&mut self, machines: Machines, ms: u64) {
        let sides = match machines {
            // Includes machines that start during the fault.
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

    /// All machines that are rented from now on come up.
    pub fn all_machines_come_up(&mut self) {
        self.cloud.never_up_share = 0.0;
    }

    pub fn zone_of(&self, machine: &str) -> Option<&str> {
        self.workers.get(machine).map(|w| w.zone.as_str())
    }

    /// The additional delay of the cloud's response to a rental.
    pub(super) fn rental_delay_ms(&mut self, path: &str) -> u64 {
        let quick = path == "/machines" && self.now < self.cloud.quick_boot_until;
        if quick {
            self.rng.u64(0..MAX_RENTAL_DELAY_MS)
        } else {
            0
        }
    }
}

impl World {
    /// Once a second after the faults of a run with a small fleet, checks whether jobs wait although there is
    /// capacity for them.
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
