//! How a version is read: the parts that its head names, page by page.

use crate::documents::kind::{ALL, PartOf, prefix};
use crate::documents::{Kind, for_kind};
use crate::state_requests::PageCursor;
use crate::store::recovery::Load;
use crate::{Node, Pending};
use std::collections::BTreeMap;
use wire::api::{Item, Range};
use wire::http::Response;
use wire::records::SharedRecord;

const TIMEOUT_MS: u64 = 3000;
/// Parts that one page has at most.
const PAGE_SIZE: usize = 1000;
/// A new version's parts are read so long after the last time at the earliest.
const REREAD_INTERVAL_MS: u64 = 1000;

/// Parts as they come in, page by page.
pub(super) struct Reading<P> {
    found: BTreeMap<String, (u64, P)>,
    cursor: PageCursor,
}

impl<P> Reading<P> {
    /// Takes the parts of a page; true if another page follows.
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

/// How versions are read.
impl Node {
    /// Follows the heads of all kinds.
    pub(crate) fn documents_tick(&mut self) {
        for kind in ALL {
            for_kind!(kind, K => self.document_tick::<K>());
        }
    }

    /// Reads the parts of a new version, as soon as its head was seen; puts the first one in place.
    fn document_tick<K: Kind>(&mut self) {
        let now = self.now.mono;
        let leader_loads = self.shard.as_ref().is_some_and(|shard| !shard.loaded);
        let document = K::document_mut(&mut self.shared.documents);
        if !document.is_current()
            && document.reading.is_none()
            && now >= document.retry_at
            && !leader_loads
        {
            // Not the leader's budget for claims: once a second at most.
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

    /// A page of parts, or none.
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

    /// Takes the version that the head names, now that all parts are here.
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
            .map(|(name, (stamp, _))| (name.clone(), *stamp))
            .collect();
        if document.is_current() {
            return;
        }
        let parts = found
            .into_iter()
            .map(|(name, (_, part))| (name, part))
            .collect();
        // A version after this one may have taken its parts away: its head is on its way to us.
        let spec = document::join(&document.head, &parts);
        document.activate_or_reject(spec, &context);
    }

    /// A document was read, or could not be.
    fn finish_document_read<K: Kind>(&mut self) {
        let document = K::document(&self.shared.documents);
        let is_complete = document.read_in_term == self.term && document.is_current();
        let leader_loads = self.shard.as_ref().is_some_and(|shard| !shard.loaded);
        match (leader_loads, is_complete) {
            (false, _) => K::version_activated(self),
            (true, true) => self.load_documents(),
            // Without it nothing may start: again, from the heads.
            (true, false) => self.load_later(Load::Heads),
        }
    }

    /// The heads that a leader reads before its first start.
    pub(crate) fn load_heads(&mut self, range: Range<SharedRecord>) {
        let all = &mut self.shared.documents;
        for item in &range.items {
            all.observe_head(&item.key, &item.value, item.version);
        }
        for kind in ALL {
            // What was refused may have been incomplete for us alone.
            for_kind!(kind, K => K::document_mut(all).rejected = None);
        }
    }

    /// Then the parts: all of them, also those that no version names, so that a leader can take them away and writes
    /// none a second time.
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
        self.load_ended();
    }
}
