//! What the teams may use of the shard: the allotment that is recorded, and the one that is to be.

use crate::leadership::election::SHARD;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use wire::records::{self, AllotmentRecord, Record};

/// Nothing is started before an allotment is recorded.
#[derive(Debug, Default)]
pub(crate) struct AllotmentState {
    /// What was read or written last.
    current: Option<AllotmentRecord>,
    /// Its version in the state service; 0 while it is being written, and where there is none.
    version: u64,
    /// The allotment that is to be written down instead.
    wanted: Option<AllotmentRecord>,
}

impl AllotmentState {
    /// What was read or written last, whether or not it is recorded yet.
    pub fn current(&self) -> Option<&AllotmentRecord> {
        self.current.as_ref()
    }

    /// Whether one is recorded, and none is to take its place.
    pub fn is_settled(&self) -> bool {
        self.version > 0 && self.wanted.is_none()
    }

    /// Whether this one is current, and none is to take its place.
    pub fn is_settled_on(&self, allotment: &AllotmentRecord) -> bool {
        self.current.as_ref() == Some(allotment) && self.wanted.is_none()
    }

    /// The one in the state service, as it was read back.
    pub fn load(&mut self, allotment: AllotmentRecord, version: u64) {
        self.current = Some(allotment);
        self.version = version;
    }

    /// This one is to be written down.
    pub fn want(&mut self, allotment: AllotmentRecord) {
        self.wanted = Some(allotment);
    }

    /// This one is to be written down unless it is current.
    pub fn want_if_other(&mut self, allotment: AllotmentRecord) {
        self.wanted = (self.current.as_ref() != Some(&allotment)).then_some(allotment);
    }

    /// Puts the allotment that is wanted, if one is, in the place of the one that is recorded.
    pub fn write_wanted(&mut self, draft: &mut TransactionDraft) {
        if let Some(allotment) = self.wanted.take() {
            self.put(draft, allotment.clone(), Some(allotment));
        }
    }

    /// Puts an allotment in the place of the one that is recorded, together with the head that it goes with.
    pub fn write(&mut self, draft: &mut TransactionDraft, allotment: AllotmentRecord) {
        self.put(draft, allotment, None);
    }

    /// `wanted` is what is wanted again should the transaction be refused.
    fn put(
        &mut self,
        draft: &mut TransactionDraft,
        allotment: AllotmentRecord,
        wanted: Option<AllotmentRecord>,
    ) {
        draft.put(
            records::allotment_key(SHARD),
            self.version,
            Record::Allotment(allotment.clone()),
        );
        let previous = AllotmentState {
            current: self.current.replace(allotment),
            version: std::mem::take(&mut self.version),
            wanted,
        };
        draft
            .pending_writes
            .push(PendingWrite::Allotment(Box::new(previous)));
    }

    /// What was written was refused: this stood before it. One that has come to be wanted meanwhile stays wanted.
    pub fn revert(&mut self, previous: AllotmentState) {
        let wanted = self.wanted.take().or(previous.wanted);
        *self = AllotmentState { wanted, ..previous };
    }

    /// What was written is in place at this revision.
    pub fn recorded(&mut self, revision: u64) {
        self.version = revision;
    }
}
