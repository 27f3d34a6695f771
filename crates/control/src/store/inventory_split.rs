//! Splits inventory shards whose records exceed the current limit on values. The transaction that rewrites the shard
//! also distributes its machines over new shards, so that every machine is in exactly one shard at any time.
//!
//! A shard whose split would need more changes than a transaction may have keeps its recorded contents until enough
//! of its machines are gone. Until then, a new leader finds machines in it that no longer exist. It treats them as
//! silent, and learns from the cloud that they are gone, as it does for any other machine.

use crate::agents::machine::Machine;
use crate::store::record_sizes;
use crate::store::shard::Shard;
use std::collections::BTreeSet;
use wire::records::{InventoryRecord, KindRecord};

/// Length of an inventory shard's record without its machines.
const RECORD_OVERHEAD: usize = 16;

fn is_kind(kind: &KindRecord, machine: &Machine) -> bool {
    kind.machine_type == machine.machine_type
        && kind.zone == machine.zone
        && kind.spot == machine.spot
}

fn are_one_kind(a: &Machine, b: &Machine) -> bool {
    a.machine_type == b.machine_type && a.zone == b.zone && a.spot == b.spot
}

/// Some of an inventory shard's machines, with a record of their own.
pub(crate) struct InventoryPiece {
    pub machines: Vec<usize>,
    pub record: InventoryRecord,
    size: usize,
}

impl Default for InventoryPiece {
    fn default() -> Self {
        InventoryPiece {
            machines: Vec::new(),
            record: InventoryRecord::default(),
            size: RECORD_OVERHEAD,
        }
    }
}

impl InventoryPiece {
    /// Length that a machine would add to the record.
    fn added_by(&self, machine: &Machine) -> usize {
        let known = self.record.kinds.iter().any(|k| is_kind(k, machine));
        let kind = if known {
            0
        } else {
            record_sizes::inventory_kind(&machine.machine_type, &machine.zone)
        };
        record_sizes::inventory_entry(&machine.name) + kind
    }

    fn add(&mut self, machine_index: usize, machine: &Machine) {
        self.size += self.added_by(machine);
        self.machines.push(machine_index);
        let entry = (machine.name.clone(), machine.rented_ms);
        match self.record.kinds.iter_mut().find(|k| is_kind(k, machine)) {
            Some(kind) => kind.machines.push(entry),
            None => self.record.kinds.push(KindRecord {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                machines: vec![entry],
            }),
        }
    }

    /// Names of its machines.
    pub fn names(&self) -> Vec<String> {
        let machines = self.record.kinds.iter().flat_map(|k| &k.machines);
        machines.map(|(name, _)| name.clone()).collect()
    }
}

impl Shard {
    /// Moves the machines of an inventory shard that were never recorded to new shards. Returns false if there are
    /// none.
    pub fn split_unrecorded(&mut self, number: u64, max_bytes: usize) -> bool {
        let Some(inventory_shard) = self.claim_log.inventory.get(&number) else {
            return false;
        };
        let is_new = |m: &usize| self.machine(*m).is_some_and(|machine| !machine.recorded);
        let new: BTreeSet<usize> = inventory_shard
            .machines
            .iter()
            .copied()
            .filter(is_new)
            .collect();
        if new.is_empty() {
            return false;
        }
        for piece in self.inventory_pieces(&new, max_bytes) {
            let into = self.move_to_new_inventory_shard(number, &piece.machines);
            self.claim_log.grown_inventory.insert(into);
        }
        true
    }

    /// Distributes machines of an inventory shard over records of at most `max_bytes` bytes each. One record is
    /// enough unless the shard was recorded when values could be larger.
    pub fn inventory_pieces(
        &self,
        indices: &BTreeSet<usize>,
        max_bytes: usize,
    ) -> Vec<InventoryPiece> {
        let machines = || indices.iter().filter_map(|m| Some((*m, self.machine(*m)?)));
        let mut whole = InventoryPiece::default();
        for (machine_index, machine) in machines() {
            whole.add(machine_index, machine);
        }
        if record_sizes::length(&whole.record) <= max_bytes {
            return vec![whole];
        }
        let mut pieces = vec![InventoryPiece::default()];
        for (machine_index, machine) in machines() {
            let full = |p: &InventoryPiece| {
                !p.machines.is_empty() && p.size + p.added_by(machine) > max_bytes
            };
            if pieces.last().is_none_or(full) {
                pieces.push(InventoryPiece::default());
            }
            if let Some(piece) = pieces.last_mut() {
                piece.add(machine_index, machine);
            }
        }
        pieces
    }

    /// Moves machines of an inventory shard to a new one, which is not recorded yet. Returns its number.
    pub fn move_to_new_inventory_shard(&mut self, from: u64, machines: &[usize]) -> u64 {
        let sizes = machines.iter().filter_map(|m| self.machine(*m));
        let size: usize = sizes.map(|m| m.size).sum();
        let number = self.claim_log.split_inventory_shard(from, machines, size);
        for machine_index in machines {
            if let Some(machine) = self.machine_mut(*machine_index) {
                machine.inventory_shard = number;
            }
        }
        number
    }

    /// Moves all machines of an inventory shard that was not recorded back to the shard they came from.
    pub fn undo_inventory_split(&mut self, number: u64, from: u64) {
        for machine_index in self.claim_log.merge_inventory_shard(number, from) {
            if let Some(machine) = self.machine_mut(machine_index) {
                machine.inventory_shard = from;
            }
        }
    }

    /// Assigns a machine that is to be recorded to an inventory shard, where lengths are computed exactly. Returns
    /// the shard's number.
    pub fn assign_inventory_shard_exact(&mut self, machine_index: usize) -> u64 {
        let limit = self.limits.value_bytes().saturating_sub(RECORD_OVERHEAD);
        let Some(machine) = self.machine(machine_index) else {
            return 0;
        };
        let entry = record_sizes::inventory_entry(&machine.name);
        let kind = record_sizes::inventory_kind(&machine.machine_type, &machine.zone);
        let fits_with_same_kind =
            self.claim_log
                .inventory
                .iter()
                .next_back()
                .is_some_and(|(_, r)| {
                    let mut others = r.machines.iter().filter_map(|o| self.machine(*o));
                    r.size + entry <= limit && others.any(|o| are_one_kind(o, machine))
                });
        let size = if fits_with_same_kind {
            entry
        } else {
            entry + kind
        };
        if let Some(machine) = self.machine_mut(machine_index) {
            machine.size = size;
        }
        self.claim_log
            .assign_inventory_shard(machine_index, size, limit)
    }
}
