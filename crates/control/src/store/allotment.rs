//! The allotment, which limits what teams may use of the shard: the recorded one, and the one to replace it.

use crate::leadership::election::SHARD;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use wire::records::{self, AllotmentRecord, Record};

/// The current and the requested allotment. Nothing is started before an allotment is recorded.
#[derive(Debug, Default)]
pub(crate) struct AllotmentState {
    /// The allotment that was last read or written.
    current: Option<AllotmentRecord>,
    /// Its version in the state service; 0 while it is being written, and if there is none.
    version: u64,
    /// The allotment that is to be written in its place.
    requested: Option<AllotmentRecord>,
}

impl AllotmentState {
    /// The allotment that was last read or written, whether or not it is recorded yet.
    pub fn current(&self) -> Option<&AllotmentRecord> {
        self.current.as_ref()
    }

    /// Whether an allotment is recorded, and none is waiting to replace it.
    pub fn is_settled(&self) -> bool {
        self.version > 0 && self.requested.is_none()
    }

    /// Whether this allotment is current, and none is waiting to replace it.
    pub fn is_settled_on(&self, allotment: &AllotmentRecord) -> bool {
        self.current.as_ref() == Some(allotment) && self.requested.is_none()
    }

    /// Sets the allotment that was read from the state service.
    pub fn load(&mut self, allotment: AllotmentRecord, version: u64) {
        self.current = Some(allotment);
        self.version = version;
    }

    /// Requests that an allotment be written.
    pub fn request(&mut self, allotment: AllotmentRecord) {
        self.requested = Some(allotment);
    }

    /// Requests that an allotment be written unless it is current. Any earlier request is dropped.
    pub fn request_if_different(&mut self, allotment: AllotmentRecord) {
        self.requested = (self.current.as_ref() != Some(&allotment)).then_some(allotment);
    }

    /// Adds the requested allotment, if there is one, to a transaction.
    pub fn write_requested(&mut self, draft: &mut TransactionDraft) {
        if let Some(allotment) = self.requested.take() {
            self.put(draft, allotment.clone(), Some(allotment));
        }
    }

    /// Adds an allotment to the transaction that also writes the document head it belongs to.
    pub fn write(&mut self, draft: &mut TransactionDraft, allotment: AllotmentRecord) {
        self.put(draft, allotment, None);
    }

    /// `requested` is the request to be restored if the transaction is refused.
    fn put(
        &mut self,
        draft: &mut TransactionDraft,
        allotment: AllotmentRecord,
        requested: Option<AllotmentRecord>,
    ) {
        draft.put(
            records::allotment_key(SHARD),
            self.version,
            Record::Allotment(allotment.clone()),
        );
        let previous = AllotmentState {
            current: self.current.replace(allotment),
            version: std::mem::take(&mut self.version),
            requested,
        };
        draft
            .pending_writes
            .push(PendingWrite::Allotment(Box::new(previous)));
    }

    /// Restores the state before a write that was refused. An allotment requested meanwhile stays requested.
    pub fn revert(&mut self, previous: AllotmentState) {
        let requested = self.requested.take().or(previous.requested);
        *self = AllotmentState {
            requested,
            ..previous
        };
    }

    /// Records that the written allotment was committed at this revision.
    pub fn recorded(&mut self, revision: u64) {
        self.version = revision;
    }
}
