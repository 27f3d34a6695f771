//! Scaling out by rentals. Each is recorded in the state service before it is requested from the cloud.

use crate::agents::machine::Machine;
use crate::leadership::election::SHARD;
use crate::provisioning::REQUEST_COST;
use crate::store::cloud_calls::MachineKind;
use crate::store::rental::{Rental, RentalState};
use crate::store::shard::Shard;
use crate::{Node, Pending};
use std::ops::Range;
use wire::api::{ErrorBody, HireRequest, MachineNames};
use wire::http::Response;
use wire::records::RentalRecord;

/// Maximum number of machines in one rental.
const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Delay before a rental is requested again after an attempt whose outcome is unknown.
const RETRY_DELAY_MS: Range<u64> = 500..1500;
/// The cloud's error text when it has no machines of the kind.
const NO_CAPACITY: &str = "no capacity";

/// Outcome of a request for machines.
enum RentalAnswer {
    /// The machines that were rented, possibly fewer than requested.
    Granted(Vec<String>),
    /// No machines, for lack of capacity or because the cloud rejects the request.
    Refused,
    /// The outcome is not known: the rental is requested again under the same name.
    Unknown,
}

impl Node {
    /// Adds a rental. It is sent to the cloud once its record is stored.
    pub(crate) fn add_rental(&mut self, machine_type: &str, zone: &str, spot: bool, count: u32) {
        let wall = self.now.wall;
        let Some(shard) = &mut self.shard else { return };
        let serial = shard.next_serial();
        let name = format!("r-{SHARD}-{}-{serial}", shard.token());
        log::info!("rental {name}: {count} of {machine_type} in {zone}, spot {spot}");
        let rec = RentalRecord {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            count: count.min(MAX_MACHINES_PER_RENTAL),
            at_ms: wall,
        };
        shard.rentals.insert(
            name,
            Rental {
                record: rec,
                version: 0,
                in_flight: false,
                retry_at: 0,
                state: RentalState::New,
            },
        );
    }

    /// Requests the rentals that are recorded and due. A request is repeated under the same name until it is answered.
    pub(super) fn send_rentals(&mut self) {
        let (now, term) = (self.now.mono, self.term);
        let Some(shard) = &self.shard else { return };
        let is_due = |rental: &Rental| {
            rental.state == RentalState::Recorded && !rental.in_flight && rental.retry_at <= now
        };
        let due: Vec<(String, RentalRecord)> = shard
            .rentals
            .iter()
            .filter(|(_, rental)| is_due(rental))
            .map(|(name, rental)| (name.clone(), rental.record.clone()))
            .collect();
        for (name, rec) in due {
            if !self.cloud.try_take(now, REQUEST_COST) {
                break;
            }
            if let Some(rental) = self
                .shard
                .as_mut()
                .and_then(|shard| shard.rentals.get_mut(&name))
            {
                rental.in_flight = true;
            }
            let body = wire::encode(&HireRequest {
                request: name.clone(),
                machine_type: rec.machine_type,
                zone: rec.zone,
                spot: rec.spot,
                count: rec.count,
            });
            let pending = Pending::RentMachines { term, name };
            self.send_cloud_request("POST", "/machines".into(), body, pending);
        }
    }

    /// Handles the cloud's answer to a rental, or its absence.
    pub(crate) fn rental_answered(&mut self, name: String, response: Option<Response>) {
        let now = self.now.mono;
        let answer = self.rental_answer(response);
        let wait = self.rng.u64(RETRY_DELAY_MS);
        let Some(shard) = &mut self.shard else { return };
        let Some(rental) = shard.rentals.get_mut(&name) else {
            return;
        };
        self.may_have_changes = true;
        rental.in_flight = false;
        let rec = rental.record.clone();
        match answer {
            RentalAnswer::Granted(machines) => {
                rental.state = RentalState::Answered;
                shard.rental_granted(&rec, machines, now);
            }
            RentalAnswer::Refused => {
                log::info!("rental {name}: refused, or no capacity");
                rental.state = RentalState::Answered;
                shard.rental_refused(&rec, now);
            }
            RentalAnswer::Unknown => rental.retry_at = now + wait,
        }
        shard.plan_triggers.request();
    }

    fn rental_answer(&mut self, response: Option<Response>) -> RentalAnswer {
        let Some(response) = response else {
            return RentalAnswer::Unknown;
        };
        let has_no_capacity = || {
            wire::decode::<ErrorBody>(&response.body).is_ok_and(|body| body.error == NO_CAPACITY)
        };
        match response.status {
            200 => self
                .decode_answer::<MachineNames>("cloud", &response)
                .map_or(RentalAnswer::Unknown, |got| {
                    RentalAnswer::Granted(got.machines)
                }),
            400 => RentalAnswer::Refused,
            503 if has_no_capacity() => RentalAnswer::Refused,
            _ => RentalAnswer::Unknown,
        }
    }
}

impl Shard {
    /// Adds the machines of a rental, except those that are already known or were returned.
    fn rental_granted(&mut self, rec: &RentalRecord, machines: Vec<String>, now: u64) {
        let kind = kind_of(rec);
        if (machines.len() as u32) < rec.count {
            self.cloud_calls.partly_refused(kind, now);
        } else {
            self.cloud_calls.supplied(&kind);
        }
        for name in machines {
            if self.machines.contains(&name) || self.returned.contains(&name) {
                continue;
            }
            let (machine_type, zone) = (&rec.machine_type, &rec.zone);
            let machine = Machine::unrecorded(&name, machine_type, zone, rec.spot, rec.at_ms, now);
            self.add_machine(machine);
        }
    }

    /// Pauses rentals of this kind of machine, for longer with each consecutive refusal.
    fn rental_refused(&mut self, rec: &RentalRecord, now: u64) {
        self.cloud_calls.refused(kind_of(rec), now);
    }
}

/// Machine type, zone and whether it is spot: the unit in which the cloud may lack capacity.
fn kind_of(rec: &RentalRecord) -> MachineKind {
    (rec.machine_type.clone(), rec.zone.clone(), rec.spot)
}
