//! Watch on accepted jobs: any controller may accept a job, and the leader learns of it through the watch.

use crate::{Destination, Node, Pending};
use std::ops;
use wire::api::Changes;
use wire::http::Response;
use wire::records::{self, JobRecord};

/// Timeout of a watch request. The service answers after 5 s even if there are no changes.
const WATCH_TIMEOUT_MS: u64 = 7000;

/// Delay before a failed watch is restarted.
const RETRY_MS: ops::Range<u64> = 100..400;

/// The watch's progress, and whether a request is in flight.
#[derive(Debug, Default)]
pub(crate) struct LiveWatch {
    revision: u64,
    in_flight: bool,
    retry_at: u64,
}

impl LiveWatch {
    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a watch request is to be sent.
    pub fn is_due(&self, now: u64) -> bool {
        !self.in_flight && now >= self.retry_at
    }

    /// Sets the revision from which changes are watched: that of the first page read during recovery, as everything
    /// was read at this revision or later.
    pub fn start_from(&mut self, revision: u64) {
        if self.revision == 0 {
            self.revision = revision;
        }
    }

    fn begin(&mut self) {
        self.in_flight = true;
    }

    fn ended(&mut self, retry_at: u64) {
        self.in_flight = false;
        self.retry_at = retry_at;
    }

    fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }
}

impl Node {
    pub(crate) fn watch_live_jobs(&mut self) {
        let term = self.term;
        let Some(shard) = &mut self.shard else { return };
        shard.live_watch.begin();
        let path = format!(
            "/changes?under={}&from={}&waitMs=5000",
            records::LIVE,
            shard.live_watch.revision()
        );
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            WATCH_TIMEOUT_MS,
            Pending::LiveWatch { term },
        );
    }

    pub(crate) fn live_changes_received(&mut self, response: Option<Response>) {
        let now = self.now.mono;
        let retry = now + self.rng.u64(RETRY_MS);
        let Some(shard) = &mut self.shard else { return };
        shard.live_watch.ended(retry);
        let Some(response) = response else { return };
        match response.status {
            200 => {}
            410 => return self.step_down("the watch missed changes; all records are read again"),
            _ => return,
        }
        let Some(changes) = self.decode_answer::<Changes<JobRecord>>("state service", &response)
        else {
            return;
        };
        for change in changes.events {
            if let Some(record) = change.value {
                self.writes.take(now, 1.0);
                self.add_accepted_job(record, change.version);
            }
        }
        if let Some(shard) = &mut self.shard {
            shard.live_watch.advance_to(changes.revision);
        }
        self.watch_live_jobs();
    }
}
