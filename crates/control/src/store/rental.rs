//! Rentals: requests to the cloud for machines.

use wire::records::RentalRecord;

/// A named request to the cloud for machines, repeated until it is answered.
pub(crate) struct Rental {
    pub record: RentalRecord,
    pub version: u64,
    /// Whether the request is in flight.
    pub in_flight: bool,
    pub retry_at: u64,
    pub state: RentalState,
}

impl Rental {
    /// A rental that was read back from the state service.
    pub fn recorded(record: RentalRecord, version: u64) -> Self {
        Rental {
            record,
            version,
            in_flight: false,
            retry_at: 0,
            state: RentalState::Recorded,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RentalState {
    /// Not recorded in the state service yet.
    New,
    Recorded,
    /// Answered; its record is to be removed.
    Answered,
}
