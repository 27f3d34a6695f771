//! What makes a kind of document, and the registry of those there are.

use crate::Node;
use crate::documents::{Document, Documents};
use crate::store::shard::Shard;
use crate::store::transaction::TransactionDraft;
use document::{Content, Fault, Head};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use wire::records::{self, Record};

/// The kinds there are. A new one has a line here, in [`for_kind`] and in [`Documents`].
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

/// Does something for a kind that is known by its id alone.
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

/// A kind of document, as controllers act on it.
pub(crate) trait Kind: Sized + 'static {
    type Content: Content;
    /// Its changes, and the questions that it alone has.
    type Edit: DeserializeOwned;
    type Query: DeserializeOwned;
    const ID: KindId;
    /// What is accepted is bound by it: accepts are guarded by its head's stamp.
    const GUARDS_ACCEPTANCE: bool = false;
    /// Changes that its head's transaction makes.
    const HEAD_WRITES: usize = 1;

    fn document(all: &Documents) -> &Document<Self>;
    fn document_mut(all: &mut Documents) -> &mut Document<Self>;
    fn context(node: &Node) -> <Self::Content as Content>::Context;
    fn apply_edit(
        edit: &Self::Edit,
        old: &Self::Content,
        context: &<Self::Content as Content>::Context,
    ) -> Result<Self::Content, Fault>;
    /// The change that puts a document in place as a whole.
    fn replacement(spec: Self::Content) -> Self::Edit;
    /// A question that no other kind has, asked of the leader.
    fn answer_query(node: &mut Node, conn: u64, query: Self::Query);
    /// The document's answer to "show".
    fn show(node: &Node) -> Vec<u8> {
        Self::document(&node.shared.documents).encode_shown()
    }
    /// Whether what is there now stands against a new version.
    fn check_change(
        _node: &Node,
        _new: &<Self::Content as Content>::Built,
    ) -> Result<(), Vec<Fault>> {
        Ok(())
    }
    /// What comes of a new version, for whoever asks for it.
    fn consequences(_node: &Node, _new: &Arc<<Self::Content as Content>::Built>) -> Vec<String> {
        Vec::new()
    }
    /// Another version has come into force here.
    fn version_activated(_node: &mut Node) {}
    /// Whether the head may be written now.
    fn may_write_head(_shard: &Shard) -> bool {
        true
    }
    /// The head goes into the next transaction.
    fn before_head_write(_node: &mut Node) {}
    /// Writes beside the head, in its transaction.
    fn write_with_head(_draft: &mut TransactionDraft, _shard: &mut Shard, _version: u64) {}
    fn record(head: Head) -> Record {
        Record::Document(records::HeadRecord { document: head })
    }
}

/// A piece of a kind's content, of the size of a record.
pub(super) type PartOf<K> = <<K as Kind>::Content as Content>::Part;

/// The prefix of the keys of a kind's parts.
pub(super) fn prefix<K: Kind>() -> String {
    records::parts_prefix(K::Content::KIND)
}

impl KindId {
    /// The kind with this word.
    pub fn from_name(name: &str) -> Option<KindId> {
        ALL.into_iter()
            .find(|id| for_kind!(*id, K => <K as Kind>::Content::KIND) == name)
    }
}
