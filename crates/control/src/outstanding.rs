//! Requests of this controller's that are not answered yet, and what each answer belongs to.

use crate::documents::{self, county_audit};
use crate::jobs::{admission, feasibility, forwarding, query};
use crate::models::{demand, wake_up};
use crate::store::recovery;

/// A user or a peer that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    User(u64),
    Peer(u64),
}

/// What an answer that is still out belongs to. `term` ties it to one term of leadership.
pub(crate) enum Pending {
    /// A read of what all controllers follow.
    SharedRead,
    /// A watch of what all controllers follow.
    SharedWatch { generation: u64 },
    /// A candidate asks for a lease.
    GrantLease { sent: u64 },
    /// The leader renews its lease.
    RenewLease { lease: u64, sent: u64 },
    /// A candidate puts its leader record.
    WriteLeaderRecord { lease: u64, token: u64 },
    /// A peer is asked for its status.
    PeerStatus { sent: u64, peer: usize },
    /// Heartbeats that were handed on to the leader.
    Relayed { conns: Vec<u64> },
    /// A command that is handed on to a worker for the leader.
    Tell { conn: u64 },
    /// Nobody waits for it.
    IgnoreAnswer,
    /// A page of what is read back after a failover.
    Load { term: u64, what: recovery::Load },
    /// The watch of accepted jobs.
    LiveWatch { term: u64 },
    /// A transaction of the leader's.
    Commit { term: u64 },
    /// Whether a transaction whose outcome is unknown is in place.
    Verify { term: u64 },
    /// A job is put into the state service.
    Accept {
        submission: admission::Submission,
        denied: Option<feasibility::Infeasible>,
        mark: u64,
    },
    /// Whether a job is live.
    ReadLive { question: query::Question },
    /// Whether a job has ended.
    ReadEnd { question: query::Question },
    /// A peer is asked for a job's state.
    PeerQuery {
        question: query::Question,
        peer: usize,
        sent: u64,
    },
    /// A peer is asked to cancel a job.
    PeerCancel { conn: u64, job: String },
    /// A user's request that was forwarded to a peer.
    Forward {
        forwarded: forwarding::ForwardedRequest,
        peer: usize,
        sent: u64,
        mark: u64,
    },
    /// An operator's request that was forwarded to the leader.
    Admin { conn: u64 },
    /// What another front end of this process has asked.
    Frontend { tag: u64 },
    /// Counts by county are read back.
    Sheets { term: u64 },
    /// Records are read for an audit of the counts by county.
    Audit {
        term: u64,
        record_set: county_audit::RecordSet,
    },
    /// Records of models are read back.
    Models { term: u64 },
    /// The watch of records of models.
    ModelWatch { term: u64 },
    /// A record of a model is written.
    ModelWrite { term: u64, model: String },
    /// A model's record is read or written for demand.
    WakeUp { model: String, step: wake_up::Step },
    /// Demand for a model that was forwarded to the leader.
    WakeForward { waiter: demand::Waiter },
    /// The leader is told of demand for a model.
    LeaderNotified { model: String },
    /// Parts of a document are read.
    Parts { term: u64, kind: documents::KindId },
    /// The cloud is asked for its machine types.
    Catalog,
    /// The cloud is asked for our machines.
    List { term: u64 },
    /// The cloud is asked for more machines.
    Rental { term: u64, name: String },
    /// Machines are returned to the cloud.
    Delete { term: u64, machines: Vec<usize> },
    /// Orders are sent to a worker, by way of a peer or not.
    Direct {
        term: u64,
        machine: usize,
        serial: u64,
        via: bool,
    },
    /// A worker is asked what it runs, by way of a peer or not.
    Probe {
        term: u64,
        machine: usize,
        serial: u64,
        via: bool,
    },
}

impl Pending {
    /// The term of leadership that it was sent in, if it belongs to one.
    pub(crate) fn term(&self) -> Option<u64> {
        use Pending::{
            Accept, Admin, Audit, Catalog, Commit, Delete, Direct, Forward, Frontend, GrantLease,
            IgnoreAnswer, LeaderNotified, List, LiveWatch, Load, ModelWatch, ModelWrite, Models,
            Parts, PeerCancel, PeerQuery, PeerStatus, Probe, ReadEnd, ReadLive, Relayed,
            RenewLease, Rental, SharedRead, SharedWatch, Sheets, Tell, Verify, WakeForward, WakeUp,
            WriteLeaderRecord,
        };
        match self {
            Load { term, .. }
            | LiveWatch { term }
            | Commit { term }
            | Verify { term }
            | Sheets { term }
            | Audit { term, .. }
            | Models { term }
            | ModelWatch { term }
            | ModelWrite { term, .. }
            | Parts { term, .. }
            | List { term }
            | Rental { term, .. }
            | Delete { term, .. }
            | Direct { term, .. }
            | Probe { term, .. } => Some(*term),
            SharedRead
            | SharedWatch { .. }
            | GrantLease { .. }
            | RenewLease { .. }
            | WriteLeaderRecord { .. }
            | PeerStatus { .. }
            | Relayed { .. }
            | Tell { .. }
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
            | WakeForward { .. }
            | LeaderNotified { .. }
            | Catalog => None,
        }
    }

    /// What is written, where it is a transaction.
    pub(crate) fn transaction_kind(&self) -> Option<&'static str> {
        match self {
            Pending::Commit { .. } => Some("the leader's transaction"),
            Pending::Accept { .. } => Some("an acceptance"),
            Pending::WriteLeaderRecord { .. } => Some("a take-over"),
            Pending::ModelWrite { .. } => Some("a model's record"),
            Pending::WakeUp {
                step: wake_up::Step::Write,
                ..
            } => Some("a wake"),
            _ => None,
        }
    }

    /// A question to the state service that is answered at once if it serves us.
    pub(crate) fn shows_state_health(&self) -> bool {
        use Pending::{
            Accept, Audit, Commit, Frontend, GrantLease, Load, ModelWrite, Models, Parts, ReadEnd,
            ReadLive, RenewLease, SharedRead, Sheets, Verify, WakeUp, WriteLeaderRecord,
        };
        matches!(
            self,
            SharedRead
                | GrantLease { .. }
                | RenewLease { .. }
                | WriteLeaderRecord { .. }
                | Load { .. }
                | Sheets { .. }
                | Audit { .. }
                | Parts { .. }
                | Commit { .. }
                | Verify { .. }
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
