//! Cancellation of jobs, and follow-up of job changes: a broken gang is stopped, and an ended job is removed from
//! memory.

use crate::jobs::job::{Ending, JobIndex};
use crate::jobs::peer_requests::peer_answer;
use crate::jobs::query::Purpose;
use crate::{Node, Pending, Requester};
use wire::api::{Kind, Stage};
use wire::http::Response;
use wire::peer::{PeerRequest, PeerResponse};

/// Timeout of a cancellation that is forwarded to the leader.
const CANCEL_TIMEOUT_MS: u64 = 3500;
/// Maximum number of requesters that wait for the end of one job.
const MAX_WAITERS: usize = 16;

impl Node {
    /// A user's cancellation. Only the leader decides it; other nodes forward it there.
    pub(super) fn cancel_requested(&mut self, conn: u64, id: String) {
        if !wire::ids::valid_job_id(&id) {
            return self.refuse(conn, 404, "no such job");
        }
        if self.leads() {
            return self.cancel(&id, Requester::User(conn));
        }
        if let Some(state) = self.final_states.get(&id) {
            return self.answer_state(Requester::User(conn), state);
        }
        let Some(peer) = self.leader_peer() else {
            return self.refuse(conn, 503, "no leader is known");
        };
        let request = PeerRequest::Cancel { job: id.clone() };
        let pending = Pending::PeerCancel { conn, job: id };
        self.send_peer_request(peer, &request, CANCEL_TIMEOUT_MS, pending);
    }

    /// The leader's answer to a forwarded cancellation. A job that the leader does not hold in memory may have ended,
    /// so its record decides.
    pub(crate) fn cancel_answered(&mut self, conn: u64, job: String, response: Option<Response>) {
        match peer_answer(response) {
            Some(PeerResponse::State(state)) if state.id == job => {
                self.answer_state(Requester::User(conn), state)
            }
            Some(PeerResponse::Unknown) => {
                let lookup = self.new_lookup(Requester::User(conn), job, Purpose::Cancel);
                self.read_job(lookup)
            }
            _ => self.refuse(conn, 503, "the leader does not respond"),
        }
    }

    /// Follows up on a change of a job: stops the remaining tasks of a broken gang, and removes an ended job without
    /// claims from memory.
    pub(crate) fn job_changed(&mut self, ix: JobIndex) {
        self.may_have_changes = true;
        self.model_changed(ix);
        let Some(shard) = &mut self.shard else { return };
        shard.plan_triggers.request();
        shard.queue_job_write(ix);
        let Some(job) = shard.job_mut(ix) else { return };
        if job.kind() == Kind::Gang && !job.is_ending() {
            job.is_gang_broken = !job.claimed.is_empty() && !job.has_whole_gang_claimed();
        }
        if job.must_stop_tasks() || job.is_gang_broken {
            for machine_index in job.machines() {
                shard.stop_job(ix, machine_index, 0.0);
            }
        }
        shard.update_cancelled_with_claims(ix);
        shard.maybe_forget_job(ix);
    }

    /// Handles a cancellation on the leader.
    pub(crate) fn cancel(&mut self, id: &str, requester: Requester) {
        if let Some(state) = self.final_states.get(id) {
            return self.answer_state(requester, state);
        }
        if !self.may_decide() {
            return self.answer_undecided(requester);
        }
        self.may_have_changes = true;
        let Some(shard) = &mut self.shard else { return };
        let Some(ix) = shard.jobs.index_of(id) else {
            return self.cancel_unknown(requester, id);
        };
        let Some(job) = shard.job_mut(ix) else { return };
        match job.ending {
            // Only claims are left of this job here, and whether it was done or cancelled is not known. The record
            // decides, so that a cancelled job is not reported as done.
            Ending::BeforeTerm => return self.cancel_unknown(requester, id),
            Ending::Recorded(_) => {
                let state = job.state();
                return self.answer_state(requester, state);
            }
            Ending::Undecided => {
                log::info!("job {}: cancelled by its user", job.id);
                job.ending = Ending::Decided(Stage::Cancelled);
                job.unrecorded_tasks.clear();
            }
            // An end is already to be recorded. The requester is told that end, whichever it is.
            _ => {}
        }
        if job.waiters.len() >= MAX_WAITERS {
            return self.answer_undecided(requester);
        }
        job.waiters.push(requester);
        shard.update_cancelled_with_claims(ix);
        shard.queue_job_write(ix);
    }

    /// Releases all requesters that wait for a job's end once the leader's lease is no longer valid. A pending write of
    /// the end may or may not succeed; a retry by the requester gets the outcome from the leader or the state service.
    pub(crate) fn waiters_tick(&mut self) {
        let has_valid_lease = self.has_valid_lease();
        let Some(shard) = &mut self.shard else { return };
        if std::mem::replace(&mut shard.had_valid_lease, has_valid_lease) && !has_valid_lease {
            for requester in shard.take_waiters() {
                self.answer_undecided(requester);
            }
        }
    }
}
