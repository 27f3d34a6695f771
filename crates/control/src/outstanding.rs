//! This controller's outstanding requests, and how their answers are handled.

use crate::documents::{self, county_audit};
use crate::jobs::{admission, feasibility, forwarding, query};
use crate::models::{demand, wake_up};
use crate::store::recovery;

/// A user or a peer that waits for an answer, by its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    User(u64),
    Peer(u64),
}

/// An outstanding request. A request with a `term` belongs to that term of leadership; its answer is ignored
/// afterwards.
pub(crate) enum Pending {
    /// A read of the state that all controllers watch.
    SharedRead,
    /// A watch of the state that all controllers watch.
    SharedWatch { generation: u64 },
    /// A candidate requests a lease.
    GrantLease { sent: u64 },
    /// The leader renews its lease.
    RenewLease { lease: u64, sent: u64 },
    /// A candidate writes its leader record.
    WriteLeaderRecord { lease: u64, token: u64 },
    /// A status request to a peer.
    PeerStatus { sent: u64, peer: usize },
    /// Heartbeats that were relayed to the leader.
    RelayedHeartbeats { conns: Vec<u64> },
    /// A command that is relayed to a worker on behalf of the leader.
    RelayedCommand { conn: u64 },
    /// A request whose answer is ignored.
    IgnoreAnswer,
    /// A page of the state that a new leader reads back after a failover.
    Load {
        term: u64,
        step: recovery::RecoveryStep,
    },
    /// The watch of accepted jobs.
    LiveWatch { term: u64 },
    /// The leader's transaction.
    Commit { term: u64 },
    /// A read of a key that shows whether a transaction with unknown outcome was committed.
    ProbeOutcome { term: u64 },
    /// A submitted job is written to the state service.
    Accept {
        submission: admission::Submission,
        infeasible: Option<feasibility::Infeasible>,
        answer_mark: u64,
    },
    /// A read of a job's live record.
    ReadLive { lookup: query::Lookup },
    /// A read of a job's end record.
    ReadEnd { lookup: query::Lookup },
    /// A query of a job's state to a peer.
    PeerQuery {
        lookup: query::Lookup,
        peer: usize,
        sent: u64,
    },
    /// A request to a peer to cancel a job.
    PeerCancel { conn: u64, job: String },
    /// A user's request that was forwarded to a peer.
    Forward {
        forwarded: forwarding::ForwardedRequest,
        peer: usize,
        sent: u64,
        answer_mark: u64,
    },
    /// An operator's request that was forwarded to the leader.
    Admin { conn: u64 },
    /// A request of another front end of this process.
    Frontend { tag: u64 },
    /// A read of the counts by county.
    CounterSheets { term: u64 },
    /// A read of records for an audit of the counts by county.
    Audit {
        term: u64,
        record_set: county_audit::RecordSet,
    },
    /// A read of the models' records.
    Models { term: u64 },
    /// The watch of the models' records.
    ModelWatch { term: u64 },
    /// A write of a model's record.
    ModelWrite { term: u64, model: String },
    /// A read or write of a model's record because of demand for the model.
    WakeUp {
        model: String,
        step: wake_up::WakeUpStep,
    },
    /// Demand for a model that was forwarded to the leader.
    ForwardedDemand { waiter: demand::Waiter },
    /// A notification of the leader of demand for a model.
    LeaderNotified { model: String },
    /// A read of parts of a document.
    Parts { term: u64, kind: documents::KindId },
    /// A request to the cloud for its machine types.
    Catalog,
    /// A request to the cloud for the list of rented machines.
    List { term: u64 },
    /// A request to the cloud for more machines.
    RentMachines { term: u64, name: String },
    /// A return of machines to the cloud.
    ReturnMachines { term: u64, machines: Vec<usize> },
    /// Orders for a worker, sent through a peer if `via`.
    DirectCommand {
        term: u64,
        machine: usize,
        serial: u64,
        via: bool,
    },
    /// A probe of what a worker runs, sent through a peer if `via`.
    Probe {
        term: u64,
        machine: usize,
        serial: u64,
        via: bool,
    },
}

impl Pending {
    /// The term of leadership that the request belongs to, if any.
    pub(crate) fn term(&self) -> Option<u64> {
        use Pending::{
            Accept, Admin, Audit, Catalog, Commit, CounterSheets, DirectCommand, Forward,
            ForwardedDemand, Frontend, GrantLease, IgnoreAnswer, LeaderNotified, List, LiveWatch,
            Load, ModelWatch, ModelWrite, Models, Parts, PeerCancel, PeerQuery, PeerStatus, Probe,
            ProbeOutcome, ReadEnd, ReadLive, RelayedCommand, RelayedHeartbeats, RenewLease,
            RentMachines, ReturnMachines, SharedRead, SharedWatch, WakeUp, WriteLeaderRecord,
        };
        match self {
            Load { term, .. }
            | LiveWatch { term }
            | Commit { term }
            | ProbeOutcome { term }
            | CounterSheets { term }
            | Audit { term, .. }
            | Models { term }
            | ModelWatch { term }
            | ModelWrite { term, .. }
            | Parts { term, .. }
            | List { term }
            | RentMachines { term, .. }
            | ReturnMachines { term, .. }
            | DirectCommand { term, .. }
            | Probe { term, .. } => Some(*term),
            SharedRead
            | SharedWatch { .. }
            | GrantLease { .. }
            | RenewLease { .. }
            | WriteLeaderRecord { .. }
            | PeerStatus { .. }
            | RelayedHeartbeats { .. }
            | RelayedCommand { .. }
            | IgnoreAnswer
            | Accept { .. }
            | ReadLive { .. }
            | ReadEnd { .. }
            | PeerQuery { .. }
            | PeerCancel { .. }
            | Forward { .. }
            | Admin { .. }
            | Frontend { .. }
            | WakeUp { .. }
            | ForwardedDemand { .. }
            | LeaderNotified { .. }
            | Catalog => None,
        }
    }

    /// For log messages, the kind of the transaction that the request contains, if any.
    pub(crate) fn transaction_kind(&self) -> Option<&'static str> {
        match self {
            Pending::Commit { .. } => Some("the leader's transaction"),
            Pending::Accept { .. } => Some("an acceptance"),
            Pending::WriteLeaderRecord { .. } => Some("the leader record"),
            Pending::ModelWrite { .. } => Some("a model's record"),
            Pending::WakeUp {
                step: wake_up::WakeUpStep::Write,
                ..
            } => Some("a wake-up"),
            _ => None,
        }
    }

    /// Whether the answer shows if the state service serves this node: requests to it that it answers at once, which
    /// excludes watches.
    pub(crate) fn shows_state_health(&self) -> bool {
        use Pending::{
            Accept, Audit, Commit, CounterSheets, Frontend, GrantLease, Load, ModelWrite, Models,
            Parts, ProbeOutcome, ReadEnd, ReadLive, RenewLease, SharedRead, WakeUp,
            WriteLeaderRecord,
        };
        matches!(
            self,
            SharedRead
                | GrantLease { .. }
                | RenewLease { .. }
                | WriteLeaderRecord { .. }
                | Load { .. }
                | CounterSheets { .. }
                | Audit { .. }
                | Parts { .. }
                | Commit { .. }
                | ProbeOutcome { .. }
                | Accept { .. }
                | ReadLive { .. }
                | ReadEnd { .. }
                | Frontend { .. }
                | Models { .. }
                | ModelWrite { .. }
                | WakeUp { .. }
        )
    }
}
