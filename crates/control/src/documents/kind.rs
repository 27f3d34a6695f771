//! The trait that a kind of document implements, and the registry of kinds.

use crate::Node;
use crate::documents::{Document, Documents};
use crate::store::shard::Shard;
use crate::store::transaction::TransactionDraft;
use document::{Content, Fault, Head};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use wire::records::{self, Record};

/// All kinds of documents. A new kind is added here, to [`ALL`], to [`for_kind`] and to [`Documents`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KindId {
    Quota,
    Hours,
    Counties,
    Models,
}

/// All kinds, in the order in which they are read and written.
pub(crate) const ALL: [KindId; 4] = [
    KindId::Quota,
    KindId::Hours,
    KindId::Counties,
    KindId::Models,
];

/// Evaluates an expression with the type of the kind that an id stands for.
macro_rules! for_kind {
    ($kind:expr, $K:ident => $body:expr) => {
        match $kind {
            $crate::documents::KindId::Quota => {
                type $K = $crate::documents::quotas::Quota;
                $body
            }
            $crate::documents::KindId::Hours => {
                type $K = $crate::documents::hours::Hours;
                $body
            }
            $crate::documents::KindId::Counties => {
                type $K = $crate::documents::counties::County;
                $body
            }
            $crate::documents::KindId::Models => {
                type $K = $crate::models::ModelRules;
                $body
            }
        }
    };
}
pub(crate) use for_kind;

/// A kind of document: what controllers need to follow, change and serve it.
pub(crate) trait Kind: Sized + 'static {
    type Content: Content;
    /// Changes that operators can make.
    type Edit: DeserializeOwned;
    /// Queries that only this kind answers.
    type Query: DeserializeOwned;
    const ID: KindId;
    /// Whether jobs are bound by the document when they are accepted. If so, accepting transactions are guarded by the
    /// version of its head.
    const GUARDS_ACCEPTANCE: bool = false;
    /// Number of records that the head's transaction changes.
    const HEAD_WRITES: usize = 1;

    fn document(all: &Documents) -> &Document<Self>;
    fn document_mut(all: &mut Documents) -> &mut Document<Self>;
    fn context(node: &Node) -> <Self::Content as Content>::Context;
    fn apply_edit(
        edit: &Self::Edit,
        old: &Self::Content,
        context: &<Self::Content as Content>::Context,
    ) -> Result<Self::Content, Fault>;
    /// The change that replaces the whole document.
    fn replacement(spec: Self::Content) -> Self::Edit;
    /// Answers a query of this kind; only called on the leader.
    fn answer_query(node: &mut Node, conn: u64, query: Self::Query);
    /// The answer to the request "show".
    fn show(node: &Node) -> Vec<u8> {
        Self::document(&node.shared.documents).encode_shown()
    }
    /// Checks a new version against the current state; a change with faults is refused.
    fn check_change(
        _node: &Node,
        _new: &<Self::Content as Content>::Built,
    ) -> Result<(), Vec<Fault>> {
        Ok(())
    }
    /// Consequences of a new version, a line each, for the operator who changes it.
    fn consequences(_node: &Node, _new: &Arc<<Self::Content as Content>::Built>) -> Vec<String> {
        Vec::new()
    }
    /// Called when another version may have come into force on this node.
    fn version_activated(_node: &mut Node) {}
    /// Whether the head may be written now.
    fn may_write_head(_shard: &Shard) -> bool {
        true
    }
    /// Called before the head is put into a transaction.
    fn before_head_write(_node: &mut Node) {}
    /// Adds the other writes that belong into the head's transaction.
    fn write_with_head(_draft: &mut TransactionDraft, _shard: &mut Shard, _version: u64) {}
    fn record(head: Head) -> Record {
        Record::Document(records::HeadRecord { document: head })
    }
}

/// A part of a kind's content, small enough for one record.
pub(super) type PartOf<K> = <<K as Kind>::Content as Content>::Part;

/// The prefix of the keys of a kind's parts.
pub(super) fn prefix<K: Kind>() -> String {
    records::parts_prefix(K::Content::KIND)
}

impl KindId {
    /// The kind with this name, as in keys and paths.
    pub fn from_name(name: &str) -> Option<KindId> {
        ALL.into_iter()
            .find(|id| for_kind!(*id, K => <K as Kind>::Content::KIND) == name)
    }
}
