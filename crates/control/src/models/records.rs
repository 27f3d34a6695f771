//! The leader's copy of the records of models: read before it starts any task, then kept up to date by a watch.

use crate::models::{LeaderState, ReadState, VersionedRecord, set_replicas};
use crate::state_requests::PageCursor;
use crate::store::recovery::RecoveryStep;
use crate::{Node, Pending};
use model::Rec;
use wire::api::{Change, Changes, Item, Range};
use wire::http::Response;
use wire::records;

const READ_TIMEOUT_MS: u64 = 3000;
/// Longer than the state service holds a watch open.
const WATCH_TIMEOUT_MS: u64 = 7000;
/// The most records in one page, when they are read after a failover.
const PAGE_SIZE: usize = 500;

impl Node {
    /// Whether a new leader still has to read records before it starts any task. If so, they are read, and the load
    /// continues after that.
    pub(crate) fn needs_model_records(&mut self) -> bool {
        self.apply_model_rules();
        if !self.models.in_force() {
            return false;
        }
        let term = self.term;
        if self.models.leader_state.term != term {
            self.models.leader_state = LeaderState {
                term,
                ..LeaderState::default()
            };
        }
        if self.models.leader_state.read == ReadState::NotRead {
            self.read_models();
        }
        self.models.leader_state.read != ReadState::Complete
    }

    /// Reads the next page of records.
    pub(crate) fn read_models(&mut self) {
        let leader_state = &mut self.models.leader_state;
        leader_state.read = ReadState::InProgress;
        let path = leader_state.cursor.path(records::MODELS, PAGE_SIZE);
        let pending = Pending::Models { term: self.term };
        self.get_state(path, READ_TIMEOUT_MS, pending);
    }

    /// Handles a page of records; `None` if there was no answer.
    pub(crate) fn models_received(&mut self, response: Option<Response>) {
        let Some(page) = self.read_state::<Range<Rec>>(response) else {
            return self.retry_load_later(RecoveryStep::Models);
        };
        let leader_state = &mut self.models.leader_state;
        if leader_state.cursor.is_at_start() {
            leader_state.revision = page.revision;
        }
        let has_more = leader_state.cursor.advance(&page);
        for Item {
            key,
            value,
            version,
        } in page.items
        {
            if let Some(model) = key.strip_prefix(records::MODELS) {
                leader_state.records.insert(
                    model.to_owned(),
                    VersionedRecord {
                        record: value,
                        record_version: version,
                    },
                );
            }
        }
        if has_more {
            return self.read_models();
        }
        let leader_state = &mut self.models.leader_state;
        (leader_state.read, leader_state.cursor) = (ReadState::Complete, PageCursor::default());
        self.update_model_bindings();
        if self.shard.as_ref().is_some_and(|shard| !shard.loaded) {
            self.finish_recovery();
        }
    }

    /// Updates the leader's copy of a record that was read or written, and the replicas that may run.
    pub(crate) fn record_observed(&mut self, model: &str, known: VersionedRecord) {
        let leader_state = &mut self.models.leader_state;
        // The answer to a late read must not replace a newer record.
        if leader_state
            .records
            .get(model)
            .is_some_and(|current| current.record_version > known.record_version)
        {
            return;
        }
        leader_state.records.insert(model.to_owned(), known.clone());
        leader_state.to_check.insert(model.to_owned());
        let Some(shard) = &mut self.shard else { return };
        let Some(index) = shard.jobs.index_of(model) else {
            return;
        };
        let Some(job) = shard.job(index) else { return };
        let Some(rule) = job.spec.as_ref().and_then(|spec| self.models.rule(spec)) else {
            return;
        };
        set_replicas(shard, index, known.record.replicas(&rule, job.tasks));
    }

    /// Requests changes of records after the last known revision.
    pub(super) fn watch_models(&mut self) {
        let term = self.term;
        self.models.leader_state.watch_in_flight = true;
        let from = self.models.leader_state.revision;
        let path = format!("/changes?under={}&from={from}&waitMs=5000", records::MODELS);
        self.get_state(path, WATCH_TIMEOUT_MS, Pending::ModelWatch { term });
    }

    /// Handles changes of records; a watch may also end without any.
    pub(crate) fn model_changes_received(&mut self, response: Option<Response>) {
        let retry = self.now.mono + self.rng.u64(100..400);
        let leader_state = &mut self.models.leader_state;
        leader_state.watch_in_flight = false;
        leader_state.next_watch_at = retry;
        let Some(response) = response else { return };
        if response.status == 410 {
            // The changes since then are not available any more (410): all records are read again.
            (leader_state.read, leader_state.cursor) = (ReadState::NotRead, PageCursor::default());
            return;
        }
        if response.status != 200 {
            return;
        }
        let Some(changes) = self.decode_answer::<Changes<Rec>>("state service", &response) else {
            return;
        };
        let leader_state = &mut self.models.leader_state;
        leader_state.next_watch_at = 0;
        leader_state.revision = leader_state.revision.max(changes.revision);
        for change in changes.events {
            self.record_changed(change);
        }
    }

    fn record_changed(&mut self, change: Change<Rec>) {
        let key = change
            .put
            .as_deref()
            .or(change.remove.as_deref())
            .unwrap_or_default();
        let Some(model) = key.strip_prefix(records::MODELS).map(str::to_owned) else {
            return;
        };
        let record_version = change.version;
        match change.value {
            Some(record) => self.record_observed(
                &model,
                VersionedRecord {
                    record,
                    record_version,
                },
            ),
            None => self
                .models
                .leader_state
                .records
                .retain(|name, known| *name != model || known.record_version > record_version),
        }
    }
}
