//! Which version of each kind of document is in force, as every controller follows it, and how it is changed.
//!
//! A controller acts on one whole version. It reads the parts of a new one, checks that it holds together with what
//! it must fit, and only then takes it; one that does not check out is refused, and the last good one stays. A new
//! leader reads all kinds before its first start.
//!
//! A change is made by the leader's own transactions, one after the other: parts that the state service has not yet,
//! then the head, with whatever its kind writes beside it. So a change is in place as a whole or not at all, whoever
//! dies in its midst; what a leader that died had written of parts is in the way of nothing, and is tidied away by
//! the next.

pub(crate) mod counties;
pub(crate) mod county_audit;
pub(crate) mod county_counts;
pub(crate) mod hours;
pub(crate) mod operator_api;
pub(crate) mod quotas;

use crate::documents::counties::County;
use crate::documents::hours::Hours;
use crate::documents::quotas::Quota;
use crate::models::Listed;
use crate::store::commit::{PendingWrite, TransactionDraft};
use crate::store::recovery::Load;
use crate::store::shard::Shard;
use crate::{Destination, Node, Pending};
use document::{Content, Fault, Head, Past, SHORT};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use wire::admin::{self, ChangeOf, Changed, Refused, Shown};
use wire::api::{Condition, Item, Range};
use wire::http::Response;
use wire::records::{self, Record, SharedRecord};

/// What the watch of the heads has not said for so long may be otherwise: it is asked every five seconds.
const STALE_MS: u64 = 6000;
/// Differences that an answer lists.
const DIFFERENCES: usize = 200;

/// The kinds there are. A new one has a line here, in [`for_kind`] and in [`Documents`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KindId {
    Quota,
    Hours,
    Counties,
    Models,
}

pub(crate) const ALL: [KindId; 4] = [
    KindId::Quota,
    KindId::Hours,
    KindId::Counties,
    KindId::Models,
];

/// Does something for a kind that is known by its id alone.
macro_rules! for_kind {
    ($id:expr, $K:ident => $what:expr) => {
        match $id {
            $crate::documents::KindId::Quota => {
                type $K = $crate::documents::quotas::Quota;
                $what
            }
            $crate::documents::KindId::Hours => {
                type $K = $crate::documents::hours::Hours;
                $what
            }
            $crate::documents::KindId::Counties => {
                type $K = $crate::documents::counties::County;
                $what
            }
            $crate::documents::KindId::Models => {
                type $K = $crate::models::Listed;
                $what
            }
        }
    };
}
pub(crate) use for_kind;

#[derive(Default)]
pub(crate) struct Documents {
    pub quota: Doc<Quota>,
    pub hours: Doc<Hours>,
    pub counties: Doc<County>,
    pub models: Doc<Listed>,
}

/// A kind of document, as controllers act on it.
pub(crate) trait Kind: Sized + 'static {
    type Content: Content;
    /// Its changes, and the questions that it alone has.
    type Edit: DeserializeOwned;
    type Ask: DeserializeOwned;
    const ID: KindId;
    /// What is accepted is bound by it: accepts are guarded by its head's stamp.
    const BINDS: bool = false;
    /// Changes that its head's transaction makes.
    const WRITES: usize = 1;

    fn doc(all: &Documents) -> &Doc<Self>;
    fn doc_mut(all: &mut Documents) -> &mut Doc<Self>;
    fn context(node: &Node) -> <Self::Content as Content>::Context;
    fn edited(
        edit: &Self::Edit,
        old: &Self::Content,
        context: &<Self::Content as Content>::Context,
    ) -> Result<Self::Content, Fault>;
    /// The change that puts a document in place as a whole.
    fn set(spec: Self::Content) -> Self::Edit;
    /// A question that no other kind has, asked of the leader.
    fn asked(node: &mut Node, conn: u64, ask: Self::Ask);
    /// The document's answer to "show".
    fn show(node: &Node) -> Vec<u8> {
        Self::doc(&node.shared.documents).shown()
    }
    /// Whether what is there now stands against a new version.
    fn may_change(
        _node: &Node,
        _new: &<Self::Content as Content>::Built,
    ) -> Result<(), Vec<Fault>> {
        Ok(())
    }
    /// What comes of a new version, for whoever asks for it.
    fn told(_node: &Node, _new: &Arc<<Self::Content as Content>::Built>) -> Vec<String> {
        Vec::new()
    }
    /// Another version has come into force here.
    fn in_force(_node: &mut Node) {}
    /// Whether the head may be written now.
    fn settled(_shard: &Shard) -> bool {
        true
    }
    /// The head goes into the next transaction.
    fn before_head(_node: &mut Node) {}
    /// Writes beside the head, in its transaction.
    fn with_head(_draft: &mut TransactionDraft, _shard: &mut Shard, _version: u64) {}
    fn record(head: Head) -> Record {
        Record::Document(records::HeadRecord { document: head })
    }
}

/// A version that checks out.
pub(crate) struct Good<C: Content> {
    pub version: u64,
    pub spec: Arc<C>,
    pub built: Arc<C::Built>,
}

impl<C: Content> Clone for Good<C> {
    fn clone(&self) -> Self {
        Good {
            version: self.version,
            spec: self.spec.clone(),
            built: self.built.clone(),
        }
    }
}

type PartOf<K> = <<K as Kind>::Content as Content>::Part;

/// A kind's document, as this controller knows it.
pub(crate) struct Doc<K: Kind> {
    /// The head as last seen, and its stamp; 0 if there is none.
    pub head: Head,
    pub stamp: u64,
    pub good: Option<Good<K::Content>>,
    /// A version that did not check out, and why.
    refused: Option<(u64, String)>,
    /// Parts that are in the state service, by name, with their stamps.
    parts: BTreeMap<String, u64>,
    reading: Option<Reading<PartOf<K>>>,
    /// The term of leadership in which all parts were last read.
    read_in: u64,
    retry_at: u64,
    /// A change on its way into the state service, where we are the leader.
    changing: Option<Changing<K>>,
    /// The one to begin with, where there has never been any.
    pub first: Option<K::Content>,
}

impl<K: Kind> Default for Doc<K> {
    fn default() -> Self {
        Doc {
            head: Head::default(),
            stamp: 0,
            good: None,
            refused: None,
            parts: BTreeMap::new(),
            reading: None,
            read_in: 0,
            retry_at: 0,
            changing: None,
            first: None,
        }
    }
}

/// Parts as they come in, page by page.
struct Reading<P> {
    found: BTreeMap<String, (u64, P)>,
    after: Option<String>,
}

struct Changing<K: Kind> {
    id: String,
    /// Who waits for it; nobody for the first version.
    conn: Option<u64>,
    head: Head,
    good: Good<K::Content>,
    /// Stamp of the head that it follows.
    stamp: u64,
    /// Parts still to be written, and how many of them are on their way.
    parts: VecDeque<(String, PartOf<K>)>,
    busy: usize,
    answer: Changed,
}

impl<K: Kind> Doc<K> {
    /// The version that is acted on here; 0 without one. `None` if there is one that can't be acted on.
    pub fn version(&self) -> Option<u64> {
        match &self.good {
            Some(good) => Some(good.version),
            None if self.head.version == 0 => Some(0),
            None => None,
        }
    }

    /// A head that was read or watched; older ones change nothing.
    fn head_seen(&mut self, head: Head, stamp: u64) {
        if stamp >= self.stamp {
            (self.head, self.stamp) = (head, stamp);
        }
    }

    /// Nothing newer is known than what was taken or refused.
    fn is_current(&self) -> bool {
        let known = self.good.as_ref().map_or(0, |g| g.version);
        let refused = self.refused.as_ref().map_or(0, |(version, _)| *version);
        self.head.version == known || self.head.version == refused
    }

    fn take(&mut self, good: Good<K::Content>) {
        let (name, size) = (K::Content::NAME, K::Content::size(&good.built));
        log::info!("{name}: version {} with {size}", good.version);
        self.good = Some(good);
        self.refused = None;
    }

    /// Takes a version that was put together from the head's parts, or refuses it.
    fn adopt(
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
            Ok(Good {
                version,
                spec: Arc::new(spec),
                built: Arc::new(built),
            })
        });
        match built {
            Ok(good) => self.take(good),
            Err(why) => {
                let kept = self
                    .good
                    .as_ref()
                    .map_or("none".to_owned(), |g| g.version.to_string());
                let name = K::Content::NAME;
                log::error!("{name}: version {version} is refused, {kept} stays in force: {why}");
                self.refused = Some((version, why));
            }
        }
    }

    pub fn refused(&self) -> Option<String> {
        self.refused
            .as_ref()
            .map(|(version, why)| format!("version {version}: {why}"))
    }

    fn shown(&self) -> Vec<u8> {
        let (version, spec) = self.good.as_ref().map_or((0, K::Content::default()), |g| {
            (g.version, (*g.spec).clone())
        });
        let (history, refused) = (self.head.history.clone(), self.refused());
        admin::encode(&Shown {
            version,
            spec,
            history,
            refused,
        })
    }

    /// All that its change needs is in place but the head.
    fn is_due(&self) -> bool {
        self.changing
            .as_ref()
            .is_some_and(|c| c.parts.is_empty() && c.busy == 0)
    }

    /// Parts that no version names any more, unless a change is about to.
    fn over(&self) -> Vec<(String, u64)> {
        let stands = self.changing.is_none() && self.version() == Some(self.head.version);
        if !stands || self.parts.len() <= self.head.parts.len() {
            return Vec::new();
        }
        let over = |(name, _): &(&String, &u64)| !self.head.parts.contains(name);
        self.parts
            .iter()
            .filter(over)
            .map(|(name, stamp)| (name.clone(), *stamp))
            .collect()
    }
}

fn prefix<K: Kind>() -> String {
    records::parts_prefix(K::Content::KIND)
}

impl KindId {
    /// The kind with this word.
    pub fn named(word: &str) -> Option<KindId> {
        ALL.into_iter()
            .find(|id| for_kind!(*id, K => <K as Kind>::Content::KIND) == word)
    }
}

impl Documents {
    /// A head that was read or watched.
    pub fn head_seen(&mut self, key: &str, rec: &SharedRecord, stamp: u64) {
        let kind = key.strip_prefix(records::SHARED).and_then(KindId::named);
        if let (Some(kind), Some(head)) = (kind, &rec.document) {
            for_kind!(kind, K => K::doc_mut(self).head_seen(head.clone(), stamp));
        }
    }

    /// Nothing that was asked for in another term of leadership is waited for.
    pub fn forget_readings(&mut self) {
        for kind in ALL {
            for_kind!(kind, K => K::doc_mut(self).reading = None);
        }
    }

    /// The kind whose head may be written now, if the transaction has room for it.
    fn due(&self, shard: &Shard, budget: usize) -> Option<KindId> {
        ALL.into_iter().find(
            |kind| for_kind!(*kind, K => budget >= K::WRITES && K::doc(self).is_due() && K::settled(shard)),
        )
    }
}

/// The leader's writes.
impl TransactionDraft {
    /// The changes that the head takes which is due, if one is.
    pub fn head_due(all: &Documents, shard: &Shard, budget: usize) -> Option<(KindId, usize)> {
        let kind = all.due(shard, budget)?;
        Some((kind, for_kind!(kind, K => K::WRITES)))
    }

    pub fn head(&mut self, all: &Documents, shard: &mut Shard, kind: KindId) {
        for_kind!(kind, K => self.head_of::<K>(all, shard));
    }

    fn head_of<K: Kind>(&mut self, all: &Documents, shard: &mut Shard) {
        let Some(change) = &K::doc(all).changing else {
            return;
        };
        let version = change.head.version;
        self.put(
            records::head_key(K::Content::KIND),
            change.stamp,
            K::record(change.head.clone()),
        );
        K::with_head(self, shard, version);
        self.ops.push(PendingWrite::Head(K::ID));
    }

    /// Parts of versions to come, as far as there is room.
    pub fn parts(&mut self, all: &mut Documents, room: impl Fn(&TransactionDraft) -> bool) {
        for kind in ALL {
            for_kind!(kind, K => self.parts_of::<K>(K::doc_mut(all), &room));
        }
    }

    fn parts_of<K: Kind>(&mut self, doc: &mut Doc<K>, room: impl Fn(&TransactionDraft) -> bool) {
        let Some(change) = &mut doc.changing else {
            return;
        };
        while room(self)
            && let Some((name, piece)) = change.parts.pop_front()
        {
            let value = serde_json::to_value(&piece).unwrap_or_default();
            self.put_part(format!("{}{name}", prefix::<K>()), Record::Other(value));
            change.busy += 1;
            self.ops.push(PendingWrite::DocumentPart(K::ID, name));
        }
    }

    /// Takes away what no version names.
    pub fn parts_over(&mut self, all: &Documents, room: impl Fn(&TransactionDraft) -> bool) {
        for kind in ALL {
            for (name, stamp) in for_kind!(kind, K => K::doc(all).over()) {
                if !room(self) {
                    return;
                }
                self.remove(
                    format!("{}{name}", for_kind!(kind, K => prefix::<K>())),
                    stamp,
                );
                self.ops.push(PendingWrite::RemoveDocumentPart(kind, name));
            }
        }
    }
}

impl Documents {
    pub fn part_written(&mut self, kind: KindId, name: String, revision: u64) {
        for_kind!(kind, K => {
            let doc = K::doc_mut(self);
            doc.parts.insert(name, revision);
            if let Some(change) = &mut doc.changing {
                change.busy = change.busy.saturating_sub(1);
            }
        });
    }

    pub fn part_over(&mut self, kind: KindId, name: &str) {
        for_kind!(kind, K => K::doc_mut(self).parts.remove(name));
    }
}

/// How versions are read.
impl Node {
    pub(crate) fn documents_tick(&mut self) {
        for kind in ALL {
            for_kind!(kind, K => self.document_tick::<K>());
        }
    }

    /// Reads the parts of a new version, as soon as its head was seen; puts the first one in place.
    fn document_tick<K: Kind>(&mut self) {
        let now = self.now.mono;
        let leader_loads = self.shard.as_ref().is_some_and(|p| !p.loaded);
        let doc = K::doc_mut(&mut self.shared.documents);
        if !doc.is_current() && doc.reading.is_none() && now >= doc.retry_at && !leader_loads {
            // Not the leader's budget for claims: once a second at most.
            doc.retry_at = now + 1000;
            self.read_parts::<K>();
        }
        self.first_version::<K>();
    }

    /// Starts to read all parts, from the first page.
    fn read_parts<K: Kind>(&mut self) {
        let doc = K::doc_mut(&mut self.shared.documents);
        doc.reading = Some(Reading {
            found: BTreeMap::new(),
            after: None,
        });
        self.read_page::<K>();
    }

    fn read_page<K: Kind>(&mut self) {
        let Some(reading) = &K::doc(&self.shared.documents).reading else {
            return;
        };
        let mut path = format!("/keys?under={}&limit=1000", prefix::<K>());
        if let Some(after) = &reading.after {
            path.push_str(&format!("&from={after}"));
        }
        let what = Pending::Parts {
            term: self.term,
            kind: K::ID,
        };
        self.send(Destination::State, "GET", path, Vec::new(), 3000, what);
    }

    pub(crate) fn parts_received<K: Kind>(&mut self, response: Option<Response>) {
        let page = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<Range<PartOf<K>>>("state service", &r));
        let context = K::context(self);
        let term = self.term;
        let doc = K::doc_mut(&mut self.shared.documents);
        let Some(page) = page else {
            doc.reading = None;
            return self.document_read::<K>();
        };
        let Some(reading) = &mut doc.reading else {
            return;
        };
        reading.after = page.items.last().map(|i| i.key.clone());
        let more = page.more && !page.items.is_empty();
        for Item {
            key,
            value,
            version,
        } in page.items
        {
            if let Some(name) = key.strip_prefix(&prefix::<K>()) {
                reading.found.insert(name.to_owned(), (version, value));
            }
        }
        if more {
            return self.read_page::<K>();
        }
        let found = doc.reading.take().map(|r| r.found).unwrap_or_default();
        doc.read_in = term;
        doc.parts = found
            .iter()
            .map(|(name, (stamp, _))| (name.clone(), *stamp))
            .collect();
        let parts = found
            .into_iter()
            .map(|(name, (_, piece))| (name, piece))
            .collect();
        if !doc.is_current() {
            let spec = document::join(&doc.head, &parts);
            // A version after this one may have taken its parts away: its head is on its way to us.
            doc.adopt(spec, &context);
        }
        self.document_read::<K>();
    }

    /// A document was read, or could not be.
    fn document_read<K: Kind>(&mut self) {
        let doc = K::doc(&self.shared.documents);
        let whole = doc.read_in == self.term && doc.is_current();
        let leader_loads = self.shard.as_ref().is_some_and(|p| !p.loaded);
        match (leader_loads, whole) {
            (false, _) => K::in_force(self),
            (true, true) => self.load_documents(),
            // Without it nothing may start: again, from the heads.
            (true, false) => self.load_later(Load::Heads),
        }
    }

    /// The heads that a leader reads before its first start.
    pub(crate) fn load_heads(&mut self, range: Range<SharedRecord>) {
        let all = &mut self.shared.documents;
        for item in &range.items {
            all.head_seen(&item.key, &item.value, item.version);
        }
        for kind in ALL {
            // What was refused may have been incomplete for us alone.
            for_kind!(kind, K => K::doc_mut(all).refused = None);
        }
    }

    /// Then the parts: all of them, also those that no version names, so that a leader can take them away and writes
    /// none a second time.
    pub(crate) fn load_documents(&mut self) {
        for kind in ALL {
            let lacks = for_kind!(kind, K => {
                let doc = K::doc(&self.shared.documents);
                doc.head.version > 0 && (doc.read_in != self.term || !doc.is_current())
            });
            if lacks {
                return for_kind!(kind, K => self.read_parts::<K>());
            }
        }
        self.load_ended();
    }
}

/// How versions are made.
impl Node {
    pub(crate) fn change<K: Kind>(&mut self, conn: u64, change: ChangeOf<K::Edit>) {
        // A longer one would be remembered cut, and a repeat taken for another change.
        if change.id.is_empty()
            || change.id.len() > SHORT
            || change.id.chars().any(char::is_control)
        {
            let why = format!("id: must be 1 to {SHORT} bytes without control characters");
            return self.deny_admin(conn, 400, refused(&why));
        }
        let doc = K::doc_mut(&mut self.shared.documents);
        if let Some(past) = doc.head.made(&change.id) {
            // A repeat after a lost answer.
            let answer = Changed {
                version: past.version,
                ..Changed::default()
            };
            return self.respond(conn, 200, admin::encode(&answer), None);
        }
        let version = doc.head.version;
        if let Some(expected) = change.expect
            && expected != version
        {
            let error = format!("made for version {expected}, but version {version} is in force");
            return self.deny_admin(
                conn,
                409,
                Refused {
                    version: Some(version),
                    ..refused(&error)
                },
            );
        }
        if let Some(other) = &mut doc.changing {
            if other.id == change.id {
                other.conn = Some(conn);
                return;
            }
            let error = format!("another change of version {version} is under way");
            return self.deny_admin(
                conn,
                409,
                Refused {
                    version: Some(version),
                    ..refused(&error)
                },
            );
        }
        match self.prepare::<K>(Some(conn), &change) {
            Err(why) => self.deny_admin(conn, 422, why),
            Ok(ready) if change.dry_run => {
                let answer = Changed {
                    version,
                    dry_run: true,
                    ..ready.answer
                };
                self.respond(conn, 200, admin::encode(&answer), None);
            }
            Ok(ready) => self.begin(ready, &change.by),
        }
    }

    fn begin<K: Kind>(&mut self, ready: Changing<K>, by: &str) {
        log::info!(
            "{}: version {} by {by:?} is to be written",
            K::Content::NAME,
            ready.head.version
        );
        K::doc_mut(&mut self.shared.documents).changing = Some(ready);
        self.to_write = true;
    }

    /// Makes the new version and checks it; nothing is changed yet.
    fn prepare<K: Kind>(
        &self,
        conn: Option<u64>,
        change: &ChangeOf<K::Edit>,
    ) -> Result<Changing<K>, Refused> {
        let doc = K::doc(&self.shared.documents);
        let context = K::context(self);
        let old = doc
            .good
            .as_ref()
            .map(|g| g.spec.fitting(&context))
            .unwrap_or_default();
        let spec =
            K::edited(&change.edit, &old, &context).map_err(|fault| faulty::<K>(vec![fault]))?;
        let built = Arc::new(spec.build(&context).map_err(faulty::<K>)?);
        K::may_change(self, &built).map_err(faulty::<K>)?;
        let value = crate::store::commit::value_limit(self.settings.cluster.state.value_kb);
        let parts = document::split(&spec, value).map_err(|e| refused(&e))?;
        let differences = K::Content::differences(&old, &spec, DIFFERENCES);
        let words = differences.first().map_or("nothing", String::as_str);
        let more = if differences.len() > 1 {
            format!(" and {} more", differences.len() - 1)
        } else {
            String::new()
        };
        let what = format!("{words}{more}");
        let past = Past::new(
            doc.head.version + 1,
            &change.id,
            self.now.wall,
            &change.by,
            &what,
        );
        let names = parts.iter().map(|(name, _)| name.clone()).collect();
        let head = doc.head.next(names, past, value).map_err(|e| refused(&e))?;
        let head = Head {
            format: K::Content::FORMAT,
            ..head
        };
        let above = K::told(self, &built);
        let answer = Changed {
            version: head.version,
            dry_run: false,
            differences,
            above,
        };
        let parts = parts
            .into_iter()
            .filter(|(name, _)| !doc.parts.contains_key(name))
            .collect();
        let good = Good {
            version: head.version,
            spec: Arc::new(spec),
            built,
        };
        Ok(Changing {
            id: change.id.clone(),
            conn,
            head,
            good,
            stamp: doc.stamp,
            parts,
            busy: 0,
            answer,
        })
    }

    /// Puts the document in place that this node was started with, if there has never been any.
    fn first_version<K: Kind>(&mut self) {
        let doc = K::doc(&self.shared.documents);
        if doc.first.is_none()
            || doc.head.version > 0
            || doc.changing.is_some()
            || !self.shared.known
        {
            return;
        }
        if !self.may_decide() {
            return;
        }
        let Some(spec) = K::doc_mut(&mut self.shared.documents).first.take() else {
            return;
        };
        let (id, by) = ("first".to_owned(), self.settings.node.clone());
        let change = ChangeOf {
            id,
            by,
            expect: Some(0),
            dry_run: false,
            edit: K::set(spec),
        };
        match self.prepare::<K>(None, &change) {
            Ok(ready) => self.begin(ready, &change.by),
            Err(why) => {
                let faults: String = why.faults.iter().map(|f| format!("; {f}")).collect();
                log::error!(
                    "the first {} is refused: {}{faults}",
                    K::Content::NAME,
                    why.error
                );
            }
        }
    }

    /// A head goes into the next transaction.
    pub(crate) fn before_heads(&mut self, budget: usize) {
        let due = self
            .shard
            .as_ref()
            .and_then(|shard| self.shared.documents.due(shard, budget));
        if let Some(kind) = due {
            for_kind!(kind, K => K::before_head(self));
        }
    }

    /// The head of a change stands in the state service, at this revision.
    pub(crate) fn head_written<K: Kind>(&mut self, revision: u64) {
        let doc = K::doc_mut(&mut self.shared.documents);
        let Some(done) = doc.changing.take() else {
            return;
        };
        doc.head_seen(done.head, revision);
        doc.take(done.good);
        K::in_force(self);
        if let Some(conn) = done.conn {
            self.respond(conn, 200, admin::encode(&done.answer), None);
        }
    }

    /// A term of leadership is over: whether a change was made is for its record to say.
    pub(crate) fn documents_let_go(&mut self) {
        self.shared.documents.forget_readings();
        for kind in ALL {
            let conn = for_kind!(kind, K => {
                K::doc_mut(&mut self.shared.documents).changing.take().and_then(|c| c.conn)
            });
            if let Some(conn) = conn {
                let why = "the owner changed; ask for the history whether the change was made";
                self.deny_admin(conn, 503, refused(why));
            }
        }
    }
}

/// What binds a job at its acceptance.
impl Node {
    /// Guards by which an accept fails where another version is in force than the one that it was bound by. Nothing
    /// without such documents, unless this node has not heard for a while whether there are any. `None` while the heads, or
    /// a version that was seen, have not been read.
    pub(crate) fn head_guards(&self) -> Option<Vec<Condition>> {
        // A node that has just begun may know the machine types and not yet whether there are documents.
        if self.shared.revision == 0 {
            return None;
        }
        let mut out = Vec::new();
        let stale = self.now.mono >= self.shared.heard_at + STALE_MS;
        for kind in ALL {
            let (binds, stamp, current) = for_kind!(kind, K => {
                let doc = K::doc(&self.shared.documents);
                (K::BINDS, doc.stamp, doc.is_current() && doc.version().is_some())
            });
            if binds && (stamp > 0 || stale) {
                if !current {
                    return None;
                }
                let key = records::head_key(for_kind!(kind, K => <K as Kind>::Content::KIND));
                out.push(Condition {
                    key,
                    version: stamp,
                });
            }
        }
        Some(out)
    }
}

pub(crate) fn refused(why: &str) -> Refused {
    Refused {
        error: why.to_owned(),
        ..Refused::default()
    }
}

fn faulty<K: Kind>(faults: Vec<Fault>) -> Refused {
    let why = format!(
        "the {} is refused; the one in force stays",
        K::Content::NAME
    );
    Refused {
        faults,
        ..refused(&why)
    }
}
