//! What document changes add to the leader's transactions: first the parts, then the head; and the removal of parts
//! that no version references any more.

use crate::documents::kind::{ALL, prefix};
use crate::documents::{Document, Documents, Kind, KindId, for_kind};
use crate::store::shard::Shard;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use document::Content;
use wire::records::{self, Record};

impl<K: Kind> Document<K> {
    /// Whether all parts of the pending change are written, so that only the head is missing.
    fn is_due(&self) -> bool {
        self.pending_change
            .as_ref()
            .is_some_and(|c| c.parts.is_empty() && c.parts_in_flight == 0)
    }

    /// Parts that the version in force does not reference; none while a change is pending, which may reference them.
    fn unreferenced_parts(&self) -> Vec<(String, u64)> {
        let is_settled = self.pending_change.is_none() && self.version() == Some(self.head.version);
        if !is_settled || self.parts.len() <= self.head.parts.len() {
            return Vec::new();
        }
        let is_unreferenced = |(name, _): &(&String, &u64)| !self.head.parts.contains(name);
        self.parts
            .iter()
            .filter(is_unreferenced)
            .map(|(name, record_version)| (name.clone(), *record_version))
            .collect()
    }
}

impl Documents {
    /// A kind whose head is due and may be written now, if the transaction has room for it.
    pub(super) fn kind_with_due_head(&self, shard: &Shard, budget: usize) -> Option<KindId> {
        ALL.into_iter().find(
            |kind| for_kind!(*kind, K => budget >= K::HEAD_WRITES && K::document(self).is_due() && K::may_write_head(shard)),
        )
    }
}

impl TransactionDraft {
    /// The kind whose head is due, if any, with the number of records that its transaction changes.
    pub fn head_due(all: &Documents, shard: &Shard, budget: usize) -> Option<(KindId, usize)> {
        let kind = all.kind_with_due_head(shard, budget)?;
        Some((kind, for_kind!(kind, K => K::HEAD_WRITES)))
    }

    /// Writes the head of a change whose parts are all written.
    pub fn put_head(&mut self, all: &Documents, shard: &mut Shard, kind: KindId) {
        for_kind!(kind, K => self.put_head_of::<K>(all, shard));
    }

    fn put_head_of<K: Kind>(&mut self, all: &Documents, shard: &mut Shard) {
        let Some(change) = &K::document(all).pending_change else {
            return;
        };
        let version = change.head.version;
        self.put(
            records::head_key(K::Content::KIND),
            change.record_version,
            K::record(change.head.clone()),
        );
        K::write_with_head(self, shard, version);
        self.pending_writes.push(PendingWrite::Head(K::ID));
    }

    /// Writes parts of pending changes, as far as there is room.
    pub fn put_parts(&mut self, all: &mut Documents, room: impl Fn(&TransactionDraft) -> bool) {
        for kind in ALL {
            for_kind!(kind, K => self.put_parts_of::<K>(K::document_mut(all), &room));
        }
    }

    fn put_parts_of<K: Kind>(
        &mut self,
        document: &mut Document<K>,
        room: impl Fn(&TransactionDraft) -> bool,
    ) {
        let Some(change) = &mut document.pending_change else {
            return;
        };
        while room(self)
            && let Some((name, part)) = change.parts.pop_front()
        {
            let value = serde_json::to_value(&part).unwrap_or_default();
            self.put_part(format!("{}{name}", prefix::<K>()), Record::Other(value));
            change.parts_in_flight += 1;
            self.pending_writes
                .push(PendingWrite::DocumentPart(K::ID, name));
        }
    }

    /// Removes parts that no version references.
    pub fn remove_unreferenced_parts(
        &mut self,
        all: &Documents,
        room: impl Fn(&TransactionDraft) -> bool,
    ) {
        for kind in ALL {
            for (name, record_version) in
                for_kind!(kind, K => K::document(all).unreferenced_parts())
            {
                if !room(self) {
                    return;
                }
                self.remove(
                    format!("{}{name}", for_kind!(kind, K => prefix::<K>())),
                    record_version,
                );
                self.pending_writes
                    .push(PendingWrite::RemoveDocumentPart(kind, name));
            }
        }
    }
}

impl Documents {
    /// A part was committed at this revision.
    pub fn part_written(&mut self, kind: KindId, name: String, revision: u64) {
        for_kind!(kind, K => {
            let document = K::document_mut(self);
            document.parts.insert(name, revision);
            if let Some(change) = &mut document.pending_change {
                change.parts_in_flight = change.parts_in_flight.saturating_sub(1);
            }
        });
    }

    /// A part that no version references was removed.
    pub fn part_removed(&mut self, kind: KindId, name: &str) {
        for_kind!(kind, K => K::document_mut(self).parts.remove(name));
    }
}
