//! The versions in force: what this controller acts on of each kind, and how it follows the heads.

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

/// What the watch of the heads has not said for so long may be otherwise: it is asked every five seconds.
const HEADS_STALE_MS: u64 = 6000;

#[derive(Default)]
pub(crate) struct Documents {
    pub quota: Document<Quota>,
    pub hours: Document<Hours>,
    pub counties: Document<County>,
    pub models: Document<ModelRules>,
}

/// A version that checks out.
pub(crate) struct ActiveVersion<C: Content> {
    /// Its number; they rise by one.
    pub version: u64,
    /// The content as operators wrote it.
    pub spec: Arc<C>,
    /// The content as it is acted on.
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
    /// The head as last seen, and its stamp; 0 if there is none.
    pub head: Head,
    pub stamp: u64,
    /// The version that is acted on.
    pub active: Option<ActiveVersion<K::Content>>,
    /// A version that did not check out, and why.
    pub(super) rejected: Option<(u64, String)>,
    /// Parts that are in the state service, by name, with their stamps.
    pub(super) parts: BTreeMap<String, u64>,
    /// The parts that are being read.
    pub(super) reading: Option<Reading<PartOf<K>>>,
    /// The term of leadership in which all parts were last read.
    pub(super) read_in_term: u64,
    /// Parts are not read again before this.
    pub(super) retry_at: u64,
    /// A change on its way into the state service, where we are the leader.
    pub(super) pending_change: Option<PendingChange<K>>,
    /// The one to begin with, where there has never been any.
    pub first: Option<K::Content>,
}

impl<K: Kind> Default for Document<K> {
    fn default() -> Self {
        Document {
            head: Head::default(),
            stamp: 0,
            active: None,
            rejected: None,
            parts: BTreeMap::new(),
            reading: None,
            read_in_term: 0,
            retry_at: 0,
            pending_change: None,
            first: None,
        }
    }
}

impl<K: Kind> Document<K> {
    /// The version that is acted on here; 0 without one. `None` if there is one that can't be acted on.
    pub fn version(&self) -> Option<u64> {
        match &self.active {
            Some(active) => Some(active.version),
            None if self.head.version == 0 => Some(0),
            None => None,
        }
    }

    /// A head that was read or watched; older ones change nothing.
    pub(super) fn observe_head(&mut self, head: Head, stamp: u64) {
        if stamp >= self.stamp {
            (self.head, self.stamp) = (head, stamp);
        }
    }

    /// Nothing newer is known than what was taken or refused.
    pub(super) fn is_current(&self) -> bool {
        let active_version = self.active.as_ref().map_or(0, |active| active.version);
        let rejected = self.rejected.as_ref().map_or(0, |(version, _)| *version);
        self.head.version == active_version || self.head.version == rejected
    }

    /// Acts on a version from now on.
    pub(super) fn activate(&mut self, active: ActiveVersion<K::Content>) {
        let (name, size) = (K::Content::NAME, K::Content::size(&active.built));
        log::info!("{name}: version {} with {size}", active.version);
        self.active = Some(active);
        self.rejected = None;
    }

    /// Takes a version that was put together from the head's parts, or refuses it.
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

    /// The version that did not check out, and why, in words.
    pub fn rejection(&self) -> Option<String> {
        self.rejected
            .as_ref()
            .map(|(version, why)| format!("version {version}: {why}"))
    }
}

impl Documents {
    /// A head that was read or watched.
    pub fn observe_head(&mut self, key: &str, record: &SharedRecord, stamp: u64) {
        let kind = key
            .strip_prefix(records::SHARED)
            .and_then(KindId::from_name);
        if let (Some(kind), Some(head)) = (kind, &record.document) {
            for_kind!(kind, K => K::document_mut(self).observe_head(head.clone(), stamp));
        }
    }

    /// Nothing that was asked for in another term of leadership is waited for.
    pub fn forget_readings(&mut self) {
        for kind in ALL {
            for_kind!(kind, K => K::document_mut(self).reading = None);
        }
    }
}

/// What binds a job at its acceptance.
impl Node {
    /// Guards by which an accept fails where another version is in force than the one that it was bound by. Nothing
    /// without such documents, unless this node has not heard for a while whether there are any. `None` while the heads, or
    /// a version that was seen, have not been read.
    pub(crate) fn head_conditions(&self) -> Option<Vec<Condition>> {
        // A node that has just begun may know the machine types and not yet whether there are documents.
        if self.shared.revision == 0 {
            return None;
        }
        let mut conditions = Vec::new();
        let stale = self.now.mono >= self.shared.heard_at + HEADS_STALE_MS;
        for kind in ALL {
            let (guards, stamp, is_current) = for_kind!(kind, K => {
                let document = K::document(&self.shared.documents);
                (K::GUARDS_ACCEPTANCE, document.stamp, document.is_current() && document.version().is_some())
            });
            if guards && (stamp > 0 || stale) {
                if !is_current {
                    return None;
                }
                let key = records::head_key(for_kind!(kind, K => <K as Kind>::Content::KIND));
                conditions.push(Condition {
                    key,
                    version: stamp,
                });
            }
        }
        Some(conditions)
    }
}
