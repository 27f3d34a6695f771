//! Reads versions: all parts of a kind, page by page, which are then joined as the head says.

use crate::documents::kind::{ALL, PartOf, prefix};
use crate::documents::{Kind, for_kind};
use crate::state_requests::PageCursor;
use crate::store::recovery::RecoveryStep;
use crate::{Node, Pending};
use std::collections::BTreeMap;
use wire::api::{Item, Range};
use wire::http::Response;
use wire::records::SharedRecord;

const TIMEOUT_MS: u64 = 3000;
/// The most parts in one page.
const PAGE_SIZE: usize = 1000;
/// The shortest time between two reads of the parts of a kind.
const REREAD_INTERVAL_MS: u64 = 1000;

/// A read in progress of all parts of a kind, page by page.
pub(super) struct Reading<P> {
    found: BTreeMap<String, (u64, P)>,
    cursor: PageCursor,
}

impl<P> Reading<P> {
    /// Adds the parts of a page; true if another page follows.
    fn add(&mut self, page: Range<P>, prefix: &str) -> bool {
        let has_more = self.cursor.advance(&page);
        for Item {
            key,
            value,
            version,
        } in page.items
        {
            if let Some(name) = key.strip_prefix(prefix) {
                self.found.insert(name.to_owned(), (version, value));
            }
        }
        has_more
    }
}

impl Node {
    /// Follows the heads of all kinds.
    pub(crate) fn documents_tick(&mut self) {
        for kind in ALL {
            for_kind!(kind, K => self.document_tick::<K>());
        }
    }

    /// Starts to read the parts of a version whose head was seen; writes the initial version if there is none.
    fn document_tick<K: Kind>(&mut self) {
        let now = self.now.mono;
        let leader_loads = self.shard.as_ref().is_some_and(|shard| !shard.loaded);
        let document = K::document_mut(&mut self.shared.documents);
        if !document.is_current()
            && document.reading.is_none()
            && now >= document.retry_at
            && !leader_loads
        {
            // At most once a second, so that retries don't use up the leader's request budget for claims.
            document.retry_at = now + REREAD_INTERVAL_MS;
            self.read_parts::<K>();
        }
        self.write_initial_version::<K>();
    }

    /// Starts to read all parts, from the first page.
    fn read_parts<K: Kind>(&mut self) {
        let document = K::document_mut(&mut self.shared.documents);
        document.reading = Some(Reading {
            found: BTreeMap::new(),
            cursor: PageCursor::default(),
        });
        self.read_page::<K>();
    }

    fn read_page<K: Kind>(&mut self) {
        let Some(reading) = &K::document(&self.shared.documents).reading else {
            return;
        };
        let path = reading.cursor.path(&prefix::<K>(), PAGE_SIZE);
        let pending = Pending::Parts {
            term: self.term,
            kind: K::ID,
        };
        self.get_state(path, TIMEOUT_MS, pending);
    }

    /// Handles a page of parts; `None` if there was no answer.
    pub(crate) fn parts_received<K: Kind>(&mut self, response: Option<Response>) {
        let page = self.read_state::<Range<PartOf<K>>>(response);
        let document = K::document_mut(&mut self.shared.documents);
        let Some(page) = page else {
            document.reading = None;
            return self.finish_document_read::<K>();
        };
        let Some(reading) = &mut document.reading else {
            return;
        };
        if reading.add(page, &prefix::<K>()) {
            return self.read_page::<K>();
        }
        self.all_parts_read::<K>();
        self.finish_document_read::<K>();
    }

    /// Activates or rejects the version that the head describes, once all parts were read.
    fn all_parts_read<K: Kind>(&mut self) {
        let context = K::context(self);
        let term = self.term;
        let document = K::document_mut(&mut self.shared.documents);
        let found = document
            .reading
            .take()
            .map(|reading| reading.found)
            .unwrap_or_default();
        document.read_in_term = term;
        document.parts = found
            .iter()
            .map(|(name, (record_version, _))| (name.clone(), *record_version))
            .collect();
        if document.is_current() {
            return;
        }
        let parts = found
            .into_iter()
            .map(|(name, (_, part))| (name, part))
            .collect();
        // Parts are missing if a later version has already removed them; its head will be seen soon.
        let spec = document::join(&document.head, &parts);
        document.activate_or_reject(spec, &context);
    }

    /// Continues after a document was read, or could not be read.
    fn finish_document_read<K: Kind>(&mut self) {
        let document = K::document(&self.shared.documents);
        let is_complete = document.read_in_term == self.term && document.is_current();
        let leader_loads = self.shard.as_ref().is_some_and(|shard| !shard.loaded);
        match (leader_loads, is_complete) {
            (false, _) => K::version_activated(self),
            (true, true) => self.load_documents(),
            // A new leader starts no task without the document: it reads again, beginning with the heads.
            (true, false) => self.retry_load_later(RecoveryStep::Heads),
        }
    }

    /// Notes the heads that a new leader reads before it starts any task.
    pub(crate) fn load_heads(&mut self, range: Range<SharedRecord>) {
        let all = &mut self.shared.documents;
        for item in &range.items {
            all.observe_head(&item.key, &item.value, item.version);
        }
        for kind in ALL {
            // The version may have been rejected only because this node had read it incompletely.
            for_kind!(kind, K => K::document_mut(all).rejected = None);
        }
    }

    /// Reads the parts, after the heads: all of them, including those that no version references, so that the leader
    /// can remove these and does not write a part that already exists.
    pub(crate) fn load_documents(&mut self) {
        for kind in ALL {
            let is_missing = for_kind!(kind, K => {
                let document = K::document(&self.shared.documents);
                document.head.version > 0 && (document.read_in_term != self.term || !document.is_current())
            });
            if is_missing {
                return for_kind!(kind, K => self.read_parts::<K>());
            }
        }
        self.finish_recovery();
    }
}
