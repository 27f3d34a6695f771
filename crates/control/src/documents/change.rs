//! Creates new versions: a change is checked under optimistic concurrency, validated, and handed to the leader's
//! transactions.

use crate::Node;
use crate::documents::kind::{ALL, PartOf};
use crate::documents::operator_api::{refusal, refusal_with_faults};
use crate::documents::{ActiveVersion, Document, Kind, for_kind};
use document::{Content, Head, Past, SHORT};
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use wire::admin::{self, ChangeOf, Changed, Refused};

/// The most differences that an answer lists.
const MAX_DIFFERENCES: usize = 200;

/// A change that is being written to the state service.
pub(super) struct PendingChange<K: Kind> {
    id: String,
    /// The connection of the operator who waits for the answer; `None` for the initial version.
    pub(super) conn: Option<u64>,
    /// The head that is to be written.
    pub(super) head: Head,
    active: ActiveVersion<K::Content>,
    /// Version of the record of the head that this change replaces.
    pub(super) record_version: u64,
    /// Parts that are not part of a transaction yet.
    pub(super) parts: VecDeque<(String, PartOf<K>)>,
    /// Number of parts in transactions whose outcome is not known yet.
    pub(super) parts_in_flight: usize,
    answer: Changed,
}

/// The result of comparing a change with the history and the pending change.
enum Admission {
    New,
    /// The same change is already pending; its latest sender gets the answer.
    Joined,
    /// A retry after a lost answer: the change was already made, as this version.
    AlreadyMade(u64),
    Conflict(Conflict),
}

/// Why a change can't be applied to the version in force.
enum Conflict {
    /// The change expects another version than the one in force.
    Outdated { expected: u64, version: u64 },
    /// Another change is pending.
    InProgress { version: u64 },
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Conflict::Outdated { expected, version } => write!(
                f,
                "made for version {expected}, but version {version} is in force"
            ),
            Conflict::InProgress { version } => {
                write!(f, "another change of version {version} is under way")
            }
        }
    }
}

impl Conflict {
    fn refusal(&self) -> Refused {
        let (Conflict::Outdated { version, .. } | Conflict::InProgress { version }) = self;
        Refused {
            version: Some(*version),
            ..refusal(&self.to_string())
        }
    }
}

/// The history truncates longer ids, so that a retry would be taken for another change.
fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= SHORT && !id.chars().any(char::is_control)
}

/// A summary of a change, in one line, for the history.
fn summarize(differences: &[String]) -> String {
    match differences {
        [] => "nothing".to_owned(),
        [only] => only.clone(),
        [first, others @ ..] => format!("{first} and {} more", others.len()),
    }
}

impl<K: Kind> Document<K> {
    /// Compares a change with the history, the version in force and the pending change.
    fn admit(&mut self, conn: u64, change: &ChangeOf<K::Edit>) -> Admission {
        if let Some(past) = self.head.made(&change.id) {
            return Admission::AlreadyMade(past.version);
        }
        let version = self.head.version;
        if let Some(expected) = change.expect.filter(|expected| *expected != version) {
            return Admission::Conflict(Conflict::Outdated { expected, version });
        }
        match &mut self.pending_change {
            None => Admission::New,
            Some(other) if other.id == change.id => {
                other.conn = Some(conn);
                Admission::Joined
            }
            Some(_) => Admission::Conflict(Conflict::InProgress { version }),
        }
    }

    /// The content in force, without references to anything that has left the context since.
    fn fitting(&self, context: &<K::Content as Content>::Context) -> K::Content {
        let active = self.active.as_ref();
        active
            .map(|active| active.spec.fitting(context))
            .unwrap_or_default()
    }

    /// The parts that the state service does not have yet.
    fn missing(&self, parts: Vec<(String, PartOf<K>)>) -> VecDeque<(String, PartOf<K>)> {
        parts
            .into_iter()
            .filter(|(name, _)| !self.parts.contains_key(name))
            .collect()
    }
}

impl Node {
    /// Handles an operator's change: starts it, refuses it, or answers a dry run.
    pub(crate) fn change<K: Kind>(&mut self, conn: u64, change: ChangeOf<K::Edit>) {
        if !is_valid_id(&change.id) {
            let why = format!("id: must be 1 to {SHORT} bytes without control characters");
            return self.refuse_operator(conn, 400, refusal(&why));
        }
        match K::document_mut(&mut self.shared.documents).admit(conn, &change) {
            Admission::New => self.prepare_or_refuse::<K>(conn, &change),
            Admission::Joined => {}
            Admission::AlreadyMade(version) => self.answer_changed(
                conn,
                &Changed {
                    version,
                    ..Changed::default()
                },
            ),
            Admission::Conflict(conflict) => self.refuse_operator(conn, 409, conflict.refusal()),
        }
    }

    fn prepare_or_refuse<K: Kind>(&mut self, conn: u64, change: &ChangeOf<K::Edit>) {
        match self.prepare::<K>(Some(conn), change) {
            Err(why) => self.refuse_operator(conn, 422, why),
            Ok(prepared) if change.dry_run => {
                let answer = Changed {
                    version: K::document(&self.shared.documents).head.version,
                    dry_run: true,
                    ..prepared.answer
                };
                self.answer_changed(conn, &answer);
            }
            Ok(prepared) => self.start_change(prepared, &change.by),
        }
    }

    fn answer_changed(&mut self, conn: u64, answer: &Changed) {
        self.respond(conn, 200, admin::encode(answer), None);
    }

    fn start_change<K: Kind>(&mut self, prepared: PendingChange<K>, by: &str) {
        log::info!(
            "{}: writing version {}, requested by {by:?}",
            K::Content::NAME,
            prepared.head.version
        );
        K::document_mut(&mut self.shared.documents).pending_change = Some(prepared);
        self.may_have_changes = true;
    }

    /// Builds and validates the new version; no state is changed yet.
    fn prepare<K: Kind>(
        &self,
        conn: Option<u64>,
        change: &ChangeOf<K::Edit>,
    ) -> Result<PendingChange<K>, Refused> {
        let document = K::document(&self.shared.documents);
        let context = K::context(self);
        let old = document.fitting(&context);
        let spec = K::apply_edit(&change.edit, &old, &context)
            .map_err(|fault| refusal_with_faults::<K>(vec![fault]))?;
        let built = Arc::new(spec.build(&context).map_err(refusal_with_faults::<K>)?);
        K::check_change(self, &built).map_err(refusal_with_faults::<K>)?;
        let value_limit = self.write_limits.value_bytes();
        let parts = document::split(&spec, value_limit).map_err(|e| refusal(&e))?;
        let differences = K::Content::differences(&old, &spec, MAX_DIFFERENCES);
        let past = Past::new(
            document.head.version + 1,
            &change.id,
            self.now.wall,
            &change.by,
            &summarize(&differences),
        );
        let names = parts.iter().map(|(name, _)| name.clone()).collect();
        let head = document
            .head
            .next(names, past, value_limit)
            .map_err(|e| refusal(&e))?;
        let head = Head {
            format: K::Content::FORMAT,
            ..head
        };
        let answer = Changed {
            version: head.version,
            dry_run: false,
            differences,
            above: K::consequences(self, &built),
        };
        let active = ActiveVersion {
            version: head.version,
            spec: Arc::new(spec),
            built,
        };
        Ok(PendingChange {
            id: change.id.clone(),
            conn,
            head,
            active,
            record_version: document.record_version,
            parts: document.missing(parts),
            parts_in_flight: 0,
            answer,
        })
    }

    /// Starts to write the document that this node was started with, if no version has ever existed.
    pub(super) fn write_initial_version<K: Kind>(&mut self) {
        let document = K::document(&self.shared.documents);
        let is_needed = document.initial_content.is_some()
            && document.head.version == 0
            && document.pending_change.is_none()
            && self.shared.is_current;
        if !is_needed || !self.may_decide() {
            return;
        }
        let Some(spec) = K::document_mut(&mut self.shared.documents)
            .initial_content
            .take()
        else {
            return;
        };
        let (id, by) = ("first".to_owned(), self.settings.node.clone());
        let change = ChangeOf {
            id,
            by,
            expect: Some(0),
            dry_run: false,
            edit: K::replacement(spec),
        };
        match self.prepare::<K>(None, &change) {
            Ok(prepared) => self.start_change(prepared, &change.by),
            Err(refusal) => {
                let faults: String = refusal.faults.iter().map(|f| format!("; {f}")).collect();
                log::error!(
                    "the initial {} is refused: {}{faults}",
                    K::Content::NAME,
                    refusal.error
                );
            }
        }
    }

    /// Lets the kind whose head is due prepare for the next transaction.
    pub(crate) fn prepare_due_head(&mut self, budget: usize) {
        let due_kind = self
            .shard
            .as_ref()
            .and_then(|shard| self.shared.documents.kind_with_due_head(shard, budget));
        if let Some(kind) = due_kind {
            for_kind!(kind, K => K::before_head_write(self));
        }
    }

    /// The head of a change was committed at this revision: the new version is in force.
    pub(crate) fn head_written<K: Kind>(&mut self, revision: u64) {
        let document = K::document_mut(&mut self.shared.documents);
        let Some(change) = document.pending_change.take() else {
            return;
        };
        document.observe_head(change.head, revision);
        document.activate(change.active);
        K::version_activated(self);
        if let Some(conn) = change.conn {
            self.answer_changed(conn, &change.answer);
        }
    }

    /// Drops a change whose parts are larger than the records that may be written now. Nothing of it is in force: an
    /// operator has to send it again, and the initial version is prepared again.
    pub(crate) fn abandon_oversized_change<K: Kind>(&mut self) {
        let document = K::document_mut(&mut self.shared.documents);
        let Some(change) = document.pending_change.take() else {
            return;
        };
        match change.conn {
            Some(conn) => {
                let why =
                    "records must be smaller than before; the change was not made, send it again";
                self.refuse_operator(conn, 503, refusal(why));
            }
            None => document.initial_content = Some((*change.active.spec).clone()),
        }
    }

    /// Answers the operators of pending changes when a term of leadership ends. Whether a change was made can only be
    /// read from the head.
    pub(crate) fn abandon_document_changes(&mut self) {
        self.shared.documents.abandon_reads();
        for kind in ALL {
            let conn = for_kind!(kind, K => {
                K::document_mut(&mut self.shared.documents).pending_change.take().and_then(|c| c.conn)
            });
            if let Some(conn) = conn {
                let why = "the leader changed; see the history for whether the change was made";
                self.refuse_operator(conn, 503, refusal(why));
            }
        }
    }
}
