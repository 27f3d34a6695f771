//! What controllers keep in the state service. All records of a shard carry its number in their keys,
//! so that a split into several shards needs no new layout.

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

/// The value of a key, as controllers write it. The encoding does not tell the kind; the key does.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Record {
    /// Who leads a shard.
    Leader(LeaderRecord),
    /// The counter of fencing tokens.
    Token(TokenRecord),
    /// A job that was accepted and has not ended.
    Job(Box<JobRecord>),
    /// The final state of a job.
    End(EndRecord),
    /// An entry of the claim log.
    Log(LogRecord),
    /// A shard of the inventory of machines.
    InventoryShard(InventoryRecord),
    /// A rental request that is not answered yet.
    Rental(RentalRecord),
    /// A sheet of counts by county.
    Tally(county::Sheet),
    /// The catalogue of machine types.
    Catalog(Catalog),
    /// What a shard may give each team.
    Allotment(AllotmentRecord),
    /// The head of the quota tree.
    Quota(crate::tree::HeadRecord),
    /// The head of another document.
    Document(HeadRecord),
    /// The life of a model.
    Model(model::Rec),
    /// A part of a document, in its kind's form; or a record of another front end than the users' interface, in that one's.
    Other(serde_json::Value),
}
