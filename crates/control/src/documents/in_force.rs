//! The versions in force on this controller, one of each kind, and how they follow the heads.

use crate::Node;
use crate::documents::change::PendingChange;
use crate::documents::counties::County;
use crate::documents::hours::Hours;
use crate::documents::kind::{ALL, PartOf};
use crate::documents::quotas::Quota;
use crate::documents::reading::Reading;
use crate::documents::{Kind, KindId, for_kind};
use crate::models::ModelRules;
use document::{Content, Head};
use std::collections::BTreeMap;
use std::sync::Arc;
use wire::api::Condition;
use wire::records::{self, SharedRecord};

/// The heads are stale if nothing was heard of them for this long: the watch on them is renewed every five seconds.
const HEADS_STALE_MS: u64 = 6000;

#[derive(Default)]
pub(crate) struct Documents {
    pub quota: Document<Quota>,
    pub hours: Document<Hours>,
    pub counties: Document<County>,
    pub models: Document<ModelRules>,
}

/// A validated version.
pub(crate) struct ActiveVersion<C: Content> {
    /// The version number; numbers rise by one.
    pub version: u64,
    /// The content as operators wrote it.
    pub spec: Arc<C>,
    /// The validated form of the content, which the controller acts on.
    pub built: Arc<C::Built>,
}

impl<C: Content> Clone for ActiveVersion<C> {
    fn clone(&self) -> Self {
        ActiveVersion {
            version: self.version,
            spec: self.spec.clone(),
            built: self.built.clone(),
        }
    }
}

/// A kind's document, as this controller knows it.
pub(crate) struct Document<K: Kind> {
    /// The head as last seen.
    pub head: Head,
    /// The version of the head's record in the state service; 0 if there is none.
    pub record_version: u64,
    /// The version in force on this controller.
    pub active: Option<ActiveVersion<K::Content>>,
    /// The latest version that failed validation, and the reason.
    pub(super) rejected: Option<(u64, String)>,
    /// Parts that are in the state service, by name, with the versions of their records.
    pub(super) parts: BTreeMap<String, u64>,
    /// The read of parts that is in progress.
    pub(super) reading: Option<Reading<PartOf<K>>>,
    /// The term of leadership in which all parts were last read.
    pub(super) read_in_term: u64,
    /// Parts are not read again before this time.
    pub(super) retry_at: u64,
    /// A change that this node, as the leader, is writing to the state service.
    pub(super) pending_change: Option<PendingChange<K>>,
    /// The initial content that this node was started with, for when no version has ever existed.
    pub initial_content: Option<K::Content>,
}

impl<K: Kind> Default for Document<K> {
    fn default() -> Self {
        Document {
            head: Head::default(),
            record_version: 0,
            active: None,
            rejected: None,
            parts: BTreeMap::new(),
            reading: None,
            read_in_term: 0,
            retry_at: 0,
            pending_change: None,
            initial_content: None,
        }
    }
}

impl<K: Kind> Document<K> {
    /// The version in force on this controller; 0 if no version exists. `None` if versions exist but none could be
    /// activated.
    pub fn version(&self) -> Option<u64> {
        match &self.active {
            Some(active) => Some(active.version),
            None if self.head.version == 0 => Some(0),
            None => None,
        }
    }

    /// Notes a head that was read or watched, unless it is older than the known one.
    pub(super) fn observe_head(&mut self, head: Head, record_version: u64) {
        if record_version >= self.record_version {
            (self.head, self.record_version) = (head, record_version);
        }
    }

    /// Whether the latest known version has been activated or rejected.
    pub(super) fn is_current(&self) -> bool {
        let active_version = self.active.as_ref().map_or(0, |active| active.version);
        let rejected = self.rejected.as_ref().map_or(0, |(version, _)| *version);
        self.head.version == active_version || self.head.version == rejected
    }

    /// Puts a version in force on this controller.
    pub(super) fn activate(&mut self, active: ActiveVersion<K::Content>) {
        let (name, size) = (K::Content::NAME, K::Content::size(&active.built));
        log::info!("{name}: version {} with {size}", active.version);
        self.active = Some(active);
        self.rejected = None;
    }

    /// Validates a version that was joined from its parts, and activates or rejects it.
    pub(super) fn activate_or_reject(
        &mut self,
        spec: Result<K::Content, String>,
        context: &<K::Content as Content>::Context,
    ) {
        let version = self.head.version;
        let built = spec.and_then(|spec| {
            let built = spec
                .fitting(context)
                .build(context)
                .map_err(|f| f[0].to_string())?;
            Ok(ActiveVersion {
                version,
                spec: Arc::new(spec),
                built: Arc::new(built),
            })
        });
        match built {
            Ok(active) => self.activate(active),
            Err(why) => {
                let kept = self
                    .active
                    .as_ref()
                    .map_or("none".to_owned(), |active| active.version.to_string());
                let name = K::Content::NAME;
                log::error!("{name}: version {version} is refused, {kept} stays in force: {why}");
                self.rejected = Some((version, why));
            }
        }
    }

    /// The rejected version and the reason, as text for operators.
    pub fn rejection(&self) -> Option<String> {
        self.rejected
            .as_ref()
            .map(|(version, why)| format!("version {version}: {why}"))
    }
}

impl Documents {
    /// Notes a head that was read or watched.
    pub fn observe_head(&mut self, key: &str, record: &SharedRecord, record_version: u64) {
        let kind = key
            .strip_prefix(records::SHARED)
            .and_then(KindId::from_name);
        if let (Some(kind), Some(head)) = (kind, &record.document) {
            for_kind!(kind, K => K::document_mut(self).observe_head(head.clone(), record_version));
        }
    }

    /// Drops reads in progress, which belong to another term of leadership.
    pub fn abandon_reads(&mut self) {
        for kind in ALL {
            for_kind!(kind, K => K::document_mut(self).reading = None);
        }
    }
}

impl Node {
    /// Guards for a transaction that accepts a job: it fails if another version of a document is in force than the one
    /// that the job was bound by. A kind without any version adds no guard, unless the heads are stale and a version
    /// may exist by now. `None` while the heads, or a version whose head was seen, have not been read.
    pub(crate) fn head_conditions(&self) -> Option<Vec<Condition>> {
        // A node that has just started may know the machine types before it knows whether there are documents.
        if self.shared.revision == 0 {
            return None;
        }
        let mut conditions = Vec::new();
        let stale = self.now.mono >= self.shared.updated_at + HEADS_STALE_MS;
        for kind in ALL {
            let (guards, record_version, is_current) = for_kind!(kind, K => {
                let document = K::document(&self.shared.documents);
                (K::GUARDS_ACCEPTANCE, document.record_version, document.is_current() && document.version().is_some())
            });
            if guards && (record_version > 0 || stale) {
                if !is_current {
                    return None;
                }
                let key = records::head_key(for_kind!(kind, K => <K as Kind>::Content::KIND));
                conditions.push(Condition {
                    key,
                    version: record_version,
                });
            }
        }
        Some(conditions)
    }
}
