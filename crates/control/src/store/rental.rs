//! Rentals: machines that are asked of the cloud.

use wire::records::RentalRecord;

/// Machines that are being rented: a request to the cloud under a name, repeated until there is an answer.
pub(crate) struct Rental {
    pub record: RentalRecord,
    pub version: u64,
    /// The request is out.
    pub busy: bool,
    pub retry_at: u64,
    pub state: RentalState,
}

impl Rental {
    /// One that was read back.
    pub fn recorded(record: RentalRecord, version: u64) -> Self {
        Rental {
            record,
            version,
            busy: false,
            retry_at: 0,
            state: RentalState::Recorded,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RentalState {
    /// Not yet in the state service.
    New,
    Recorded,
    /// Answered, and to be taken out of the state service.
    Over,
}
