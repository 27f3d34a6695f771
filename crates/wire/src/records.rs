//! Records that controllers keep in the state service. The keys of all records of a shard contain its number, so that
//! splitting the fleet into several shards needs no new key layout.

mod allotments;
mod claims;
mod documents;
mod inventory;
mod jobs;
mod keys;
mod leadership;
mod serde_defaults;
mod sizes;

pub use allotments::{AllotmentRecord, TeamAllotment};
pub use claims::{ClaimsRecord, DoneRecord, LogRecord, ranges, unrange};
pub use documents::HeadRecord;
pub use inventory::{InventoryRecord, KindRecord, RentalRecord};
pub use jobs::{
    CountedRecord, CountyRecord, EndHourRecord, EndRecord, HourRecord, JobRecord, MovedRecord,
};
pub use keys::*;
pub use leadership::{LeaderRecord, SharedRecord, TokenRecord};

use crate::cloud::Catalog;
use serde::Serialize;

/// The value of a key, as controllers write it. The encoding has no type tag: the key determines the kind of record.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// Who leads a shard.
    Leader(LeaderRecord),
    /// The counter of fencing tokens.
    Token(TokenRecord),
    /// An accepted job that has not ended.
    Job(Box<JobRecord>),
    /// The final state of a job.
    End(EndRecord),
    /// An entry of the claim log.
    Log(LogRecord),
    /// A shard of the machine inventory.
    InventoryShard(InventoryRecord),
    /// A pending rental request.
    Rental(RentalRecord),
    /// Job and task counts by county and class.
    Tally(county::Sheet),
    /// The catalogue of machine types.
    Catalog(Catalog),
    /// The resources that a shard may give each team.
    Allotment(AllotmentRecord),
    /// The head of the quota tree.
    Quota(crate::tree::HeadRecord),
    /// The head of another document.
    Document(HeadRecord),
    /// The lifecycle state of a model.
    Model(model::Rec),
    /// A part of a document, in the form of that kind of document, or a record of a front end other than the users'
    /// interface, in that front end's own form.
    Other(serde_json::Value),
}
