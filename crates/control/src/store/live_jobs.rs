//! The watch of accepted jobs: any controller accepts, and the leader hears of it here.

use crate::{Destination, Node, Pending};
use wire::api::Changes;
use wire::http::Response;
use wire::records::{self, JobRecord};

impl Node {
    pub(crate) fn watch_live(&mut self) {
        let term = self.term;
        let Some(shard) = &mut self.shard else { return };
        shard.live_busy = true;
        let path = format!(
            "/changes?under={}&from={}&waitMs=5000",
            records::LIVE,
            shard.live_revision
        );
        self.send(
            Destination::State,
            "GET",
            path,
            Vec::new(),
            7000,
            Pending::LiveWatch { term },
        );
    }

    pub(crate) fn live_changes(&mut self, response: Option<Response>) {
        let now = self.now.mono;
        let retry = now + self.rng.u64(100..400);
        let Some(shard) = &mut self.shard else { return };
        shard.live_busy = false;
        shard.live_retry_at = retry;
        let Some(response) = response else { return };
        match response.status {
            200 => {}
            410 => return self.step_down("too many changes were missed; reading everything again"),
            _ => return,
        }
        let Some(changes) = self.read::<Changes<JobRecord>>("state service", &response) else {
            return;
        };
        for change in changes.events {
            if let Some(rec) = change.value {
                self.writes.take(now, 1.0);
                self.job_known(rec, change.version);
            }
        }
        if let Some(shard) = &mut self.shard {
            shard.live_revision = shard.live_revision.max(changes.revision);
        }
        self.watch_live();
    }
}
