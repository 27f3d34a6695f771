//! Commits the leader's writes, one transaction at a time, each with the changes that have accumulated.
//!
//! Every transaction has conditions on the leader record and on the version of each key it changes, so that one that
//! arrives late, or that an earlier leader sent, changes nothing. If no answer arrives, the same bytes are sent
//! again: at most one of the attempts is applied.

use crate::jobs::job::JobIndex;
use crate::leadership::election::SHARD;
use crate::store::transaction::{OutcomeProbe, PendingWrite, TransactionDraft};
use crate::{Destination, Node, Pending};
use std::ops;
use wire::api::{Conflict, Item, Revision, Transaction};
use wire::http::Response;
use wire::records;

/// Timeout of a transaction or of a probe of its outcome.
const ANSWER_TIMEOUT_MS: u64 = 2000;

/// Delay before a transaction is sent again that was not answered or was refused temporarily.
const RETRY_MS: ops::Range<u64> = 50..250;

/// Delay before a transaction is sent again if the probe of its outcome was not answered.
const PROBE_RETRY_MS: u64 = 200;

const STEP_DOWN_NOT_APPLIED: &str =
    "a transaction was refused, and no earlier attempt of it was applied";

/// The pending transaction, if there is one.
#[derive(Default)]
pub(crate) struct Commit {
    pending_writes: Vec<PendingWrite>,
    /// The encoded transaction; empty if there is none.
    body: Vec<u8>,
    probe: Option<OutcomeProbe>,
    in_flight: bool,
    /// An attempt was not answered: it may have been applied, or may be applied later.
    outcome_unknown: bool,
    retry_at: u64,
    writes: usize,
    /// When raising the token was last attempted.
    pub(super) token_attempted_at: u64,
    /// When results and removed machines were last written without waiting for other writes.
    pub(super) last_cleanup_at: u64,
}

impl Commit {
    /// Whether a transaction is pending: it was begun, and its outcome is not known yet.
    pub fn is_pending(&self) -> bool {
        !self.body.is_empty()
    }

    fn may_send(&self, now: u64) -> bool {
        !self.in_flight && now >= self.retry_at
    }

    fn begin(&mut self, draft: TransactionDraft) {
        self.writes = draft.writes.len();
        self.body = wire::encode(&Transaction {
            conditions: draft.conditions,
            writes: draft.writes,
        });
        self.pending_writes = draft.pending_writes;
        self.probe = draft.probe;
        self.outcome_unknown = false;
    }

    /// Ends the transaction after it was applied, and returns its writes, to be applied in memory.
    pub(super) fn take_applied(&mut self) -> Vec<PendingWrite> {
        self.end()
    }

    fn end(&mut self) -> Vec<PendingWrite> {
        self.body.clear();
        self.outcome_unknown = false;
        std::mem::take(&mut self.pending_writes)
    }

    /// The number of changes and of bytes of the pending transaction.
    pub fn size(&self) -> (usize, usize) {
        (self.writes, self.body.len())
    }

    /// Ends the transaction without sending it again, and returns its writes, to be reverted.
    pub fn abandon(&mut self) -> Vec<PendingWrite> {
        self.end()
    }

    /// No transaction is sent before this time.
    pub fn retry_no_earlier_than(&mut self, time: u64) {
        self.retry_at = time;
    }

    fn ended_jobs(&self) -> Vec<JobIndex> {
        let end = |write: &PendingWrite| match write {
            PendingWrite::End(job) => Some(*job),
            _ => None,
        };
        self.pending_writes.iter().filter_map(end).collect()
    }
}

/// Whether a transaction failed because our leader record has been replaced or removed, or for an unreadable reason.
fn leadership_lost(response: Option<&Response>) -> bool {
    let conflict = response.and_then(|r| wire::decode::<Conflict>(&r.body).ok());
    conflict.is_none_or(|c| c.failed.contains(&records::leader_key(SHARD)))
}

/// The version of an item, whatever its value.
fn version_of(response: &Response) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct IgnoredValue {}
    let item = wire::decode::<Item<IgnoredValue>>(&response.body).ok()?;
    Some(item.version)
}

impl Node {
    /// Sends the next transaction, or the pending one again, if it is time.
    pub(crate) fn flush_commit(&mut self) {
        let now = self.now.mono;
        let may_decide = self.may_decide();
        let Some(shard) = &self.shard else { return };
        if !shard.commit.may_send(now) {
            return;
        }
        if shard.commit.is_pending() {
            // The pending transaction is sent again unchanged.
            if self.requests.available(now) >= 1.0 {
                self.send_transaction();
            }
            return;
        }
        if may_decide && self.may_have_changes {
            self.begin_transaction();
        }
    }

    fn begin_transaction(&mut self) {
        let now = self.now;
        let limits = self.write_limits;
        let writes = self.writes.available(now.mono).floor().max(0.0) as usize;
        let budget = writes.min(limits.changes());
        if budget < 1 || self.requests.available(now.mono) < 1.0 {
            return;
        }
        self.may_have_changes = false;
        self.prepare_due_head(budget);
        let Some(shard) = &mut self.shard else { return };
        let draft = TransactionDraft::fill(shard, &mut self.shared, &limits, budget, now);
        if let Some(draft) = draft {
            shard.commit.begin(draft);
            self.send_transaction();
        }
    }

    fn send_transaction(&mut self) {
        let term = self.term;
        let Some(shard) = &mut self.shard else { return };
        shard.commit.in_flight = true;
        let body = shard.commit.body.clone();
        self.writes.take(self.now.mono, shard.commit.writes as f64);
        self.send(
            Destination::State,
            "POST",
            "/txn".into(),
            body,
            ANSWER_TIMEOUT_MS,
            Pending::Commit { term },
        );
    }

    /// Handles the answer to a transaction; `None` if there was no answer.
    pub(crate) fn commit_answered(&mut self, response: Option<Response>) {
        let retry_at = self.now.mono + self.rng.u64(RETRY_MS);
        let Some(shard) = &mut self.shard else { return };
        shard.commit.in_flight = false;
        // Changes may have accumulated meanwhile.
        self.may_have_changes = true;
        let Some(response) = response else {
            shard.commit.outcome_unknown = true;
            shard.commit.retry_at = retry_at;
            return self.update_possibly_ended_jobs();
        };
        match response.status {
            200 => match wire::decode::<Revision>(&response.body) {
                Ok(r) => {
                    self.refusals.reset();
                    self.apply(r.revision)
                }
                Err(_) => self.step_down("the answer to a transaction is unreadable"),
            },
            409 if shard.commit.outcome_unknown && leadership_lost(Some(&response)) => {
                // A later leader may have written the same keys: their versions say nothing about our own attempts.
                self.step_down("another leader, or none, stands in the state service");
            }
            // Only this term's transactions write these keys, so a conflict means that an earlier attempt was
            // applied. A transaction refused for its size may also have been applied by an earlier attempt, before
            // the limits changed.
            409 | 400 if shard.commit.outcome_unknown => self.probe_outcome(),
            400 => self.split_refused_transaction(),
            429 | 503 => shard.commit.retry_at = retry_at,
            other => {
                let body = String::from_utf8_lossy(&response.body);
                self.step_down(&format!(
                    "a transaction was refused with status {other}: {body:?}"
                ));
            }
        }
    }

    /// Reads the probe's key to find out whether an earlier attempt was applied.
    fn probe_outcome(&mut self) {
        let term = self.term;
        let Some(shard) = &mut self.shard else { return };
        let Some(probe) = &shard.commit.probe else {
            return self.step_down("a transaction with an unknown outcome has no key to check");
        };
        let path = format!("/keys/{}", probe.key);
        shard.commit.in_flight = true;
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            ANSWER_TIMEOUT_MS,
            Pending::ProbeOutcome { term },
        );
    }

    /// Updates the jobs whose ends are in an unanswered transaction. The ends may have been recorded, and other
    /// controllers may read and report them before this one knows; from then on the tasks of cancelled jobs have to
    /// be stopped.
    fn update_possibly_ended_jobs(&mut self) {
        let Some(shard) = &self.shard else { return };
        for job in shard.commit.ended_jobs() {
            self.job_changed(job);
        }
    }

    /// Handles the answer to the probe of a transaction whose outcome is unknown.
    pub(crate) fn outcome_probe_answered(&mut self, response: Option<Response>) {
        let Some(shard) = &mut self.shard else { return };
        shard.commit.in_flight = false;
        let Some(probe) = shard.commit.probe.clone() else {
            return;
        };
        match response {
            Some(r) if r.status == 200 => match version_of(&r) {
                Some(version) if !probe.removed && version != probe.version_before => {
                    self.apply(version)
                }
                _ => self.step_down(STEP_DOWN_NOT_APPLIED),
            },
            Some(r) if r.status == 404 && probe.removed => self.apply(0),
            Some(r) if r.status == 404 => self.step_down(STEP_DOWN_NOT_APPLIED),
            // The next attempt of the transaction leads to another probe.
            _ => shard.commit.retry_at = self.now.mono + PROBE_RETRY_MS,
        }
    }
}
