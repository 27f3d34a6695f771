//! Applies committed transactions to the state in memory.

use crate::Node;
use crate::Requester;
use crate::agents::machine::ClaimState;
use crate::documents::{KindId, for_kind, hours};
use crate::jobs::job::{Ending, JobIndex};
use crate::leadership::token_range::TokenRange;
use crate::store::claim_log::Segment;
use crate::store::claim_records::{PendingLogRecord, PendingResults, ResultScope};
use crate::store::rental::RentalState;
use crate::store::shard::Shard;
use crate::store::transaction::PendingWrite;
use std::collections::BTreeSet;
use wire::api::JobState;

/// Actions that follow once all writes of a transaction are applied, since they may depend on any of them.
#[derive(Default)]
struct PostCommitActions {
    changed_jobs: BTreeSet<JobIndex>,
    answers: Vec<(Requester, JobState)>,
    written_heads: Vec<KindId>,
    moved_hours: Vec<(hours::HourMove, u64)>,
}

impl Node {
    /// Applies the pending transaction, which was committed at this revision.
    pub(super) fn apply(&mut self, revision: u64) {
        let Some(shard) = &mut self.shard else { return };
        let mut actions = PostCommitActions::default();
        for write in shard.commit.take_applied() {
            self.apply_write(write, revision, &mut actions);
        }
        for (hour, wall) in actions.moved_hours {
            self.hour_moved(hour, wall, revision);
        }
        for kind in actions.written_heads {
            for_kind!(kind, K => self.head_written::<K>(revision));
        }
        for (requester, state) in actions.answers {
            self.answer_state(requester, state);
        }
        for job in actions.changed_jobs {
            self.job_changed(job);
        }
        self.push_orders();
    }

    fn apply_write(&mut self, write: PendingWrite, revision: u64, actions: &mut PostCommitActions) {
        let Some(shard) = &mut self.shard else { return };
        match write {
            PendingWrite::End(job) => self.end_recorded(job, actions),
            PendingWrite::Token(token) => self.token_raised(token, revision),
            PendingWrite::Rental(name) => shard.rental_recorded(&name, revision),
            PendingWrite::RemoveRental(name) => {
                shard.rentals.remove(&name);
            }
            PendingWrite::Log(log) => shard.log_recorded(log, revision),
            PendingWrite::CounterSheets(fold) => shard.counter_sheets_written(&fold, revision),
            PendingWrite::RemoveLog(number) => {
                shard.claim_log.segments.remove(&number);
            }
            PendingWrite::InventoryShard(number, machines)
            | PendingWrite::InventoryPiece(number, _, machines) => {
                shard.inventory_recorded(number, &machines, revision)
            }
            PendingWrite::RemoveInventoryShard(..) => {}
            PendingWrite::Allotment(_) => shard.allotment.recorded(revision),
            PendingWrite::DocumentPart(kind, name) => {
                self.shared.documents.part_written(kind, name, revision)
            }
            PendingWrite::RemoveDocumentPart(kind, name) => {
                self.shared.documents.part_removed(kind, &name)
            }
            PendingWrite::Head(kind) => actions.written_heads.push(kind),
            PendingWrite::Hour(hour, wall) => actions.moved_hours.push((hour, wall)),
            PendingWrite::Catalog => {
                self.shared.catalog_version = self.shared.catalog_version.max(revision);
            }
        }
    }

    fn end_recorded(&mut self, index: JobIndex, actions: &mut PostCommitActions) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job_mut(index) else {
            return;
        };
        actions.changed_jobs.insert(index);
        let Ending::Writing(stage) = job.ending else {
            return;
        };
        job.ending = Ending::Recorded(stage);
        log::info!("job {}: {stage:?}", job.id);
        let state: JobState = job.state();
        let waiters = std::mem::take(&mut job.waiters);
        self.final_states
            .insert_if_absent(&job.id, stage, job.done_count);
        let answers = waiters.into_iter().map(|w| (w, state.clone()));
        actions.answers.extend(answers);
        let segments = std::mem::take(&mut job.segments);
        if let Some(job) = shard.jobs.get(index) {
            shard.hours.ended(job, index, stage);
        }
        shard.claim_log.release_results(index, segments);
    }

    fn token_raised(&mut self, token: u64, revision: u64) {
        let Some(shard) = &mut self.shard else { return };
        shard.tokens = TokenRange::ending_at(token);
        log::info!(
            "token raised to {token}: tokens {} to {token}, at revision {revision}",
            shard.tokens.first()
        );
        shard.raise_token = false;
        self.shared.token = token;
        self.shared.highest_token = self.shared.highest_token.max(token);
        self.shared.token_version = self.shared.token_version.max(revision);
        for (machine_index, machine) in shard.machines.iter().enumerate() {
            if machine
                .as_ref()
                .is_some_and(|x| x.fence.is_higher_token_due())
            {
                shard.machines_with_orders.insert(machine_index);
            }
        }
    }
}

impl Shard {
    fn rental_recorded(&mut self, name: &str, revision: u64) {
        if let Some(rental) = self.rentals.get_mut(name) {
            rental.state = RentalState::Recorded;
            rental.version = revision;
        }
    }

    fn inventory_recorded(&mut self, number: u64, machines: &[String], revision: u64) {
        if let Some(inventory_shard) = self.claim_log.inventory.get_mut(&number) {
            inventory_shard.version = revision;
        }
        for name in machines {
            let index = self.machines.index_of(name);
            let machine = index.and_then(|m| self.machine_mut(m));
            if let Some(machine) = machine.filter(|m| m.inventory_shard == number) {
                let was_recorded = std::mem::replace(&mut machine.recorded, true);
                if !was_recorded {
                    self.plan_triggers.request();
                }
            }
        }
    }

    /// Applies a committed log record: its claims may be sent to workers, and tasks with recorded results may be
    /// reaped.
    fn log_recorded(&mut self, log: PendingLogRecord, revision: u64) {
        let mut segment = Segment {
            version: revision,
            has_unfolded_counts: self
                .county_counts
                .log_recorded(log.number, log.ended, revision),
            ..Segment::default()
        };
        for id in log.claims {
            // A claim that has ended meanwhile is in the record all the same, as in any older record.
            let Some(claim) = self.claim_mut(&id) else {
                continue;
            };
            let previous_segment = std::mem::replace(&mut claim.segment, log.number);
            let is_new = claim.state == ClaimState::Writing;
            claim.state = ClaimState::Recorded;
            segment.live_claims += 1;
            segment.claims.push(id);
            if is_new {
                self.machines_with_orders.insert(id.machine);
            } else {
                self.claim_log.release_claim(previous_segment);
            }
        }
        for results in log.results {
            let job = results.job;
            if self.results_recorded(results, log.number) {
                segment.jobs.insert(job);
            }
        }
        self.claim_log.add_segment(log.number, segment);
    }

    /// Applies recorded results. Returns whether the job still needs them to be in this segment.
    fn results_recorded(&mut self, results: PendingResults, segment: u64) -> bool {
        let index = results.job;
        let Some(job) = self
            .job_mut(index)
            .filter(|j| j.ending == Ending::Undecided)
        else {
            return false;
        };
        match results.scope {
            ResultScope::All => {
                let old = std::mem::replace(&mut job.segments, BTreeSet::from([segment]));
                self.claim_log.release_results(index, old);
            }
            ResultScope::Unrecorded => {
                for task in results.tasks {
                    job.unrecorded_tasks.remove(&task);
                }
                job.segments.insert(segment);
            }
        }
        true
    }
}
