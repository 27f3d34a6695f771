//! Reports kept for the next leader: either copies of reports sent to the previous leader, which arrive just as the
//! next one takes over, or the reports themselves, which reach no other leader.

use super::{Origin, SimEvent, World};
use crate::days::{LATE_REPORT_MS, NextLeader};
use std::collections::VecDeque;
use wire::http::Request;

/// The maximum number of kept reports; the oldest are dropped first.
const MAX_KEPT: usize = 512;
/// Copies arrive within this time after a new leader is seen. Held reports are spread over a longer time, so that
/// some arrive after it has acted.
const COPY_SPREAD_MS: u64 = 300;
const HELD_SPREAD_MS: u64 = 4000;

struct KeptReport {
    next: NextLeader,
    origin: Origin,
    request: Request,
    /// The report is dropped if there is no new leader by then.
    until: u64,
}

/// The observed leader: its node and its leadership token.
type LeaderTerm = (usize, u64);

#[derive(Default)]
pub(super) struct KeptReports {
    share_until: (f64, u64),
    next: Option<NextLeader>,
    reports: VecDeque<KeptReport>,
    leader: Option<LeaderTerm>,
}

impl World {
    pub(super) fn keep_for_next(&mut self, share: f64, for_ms: u64, next: NextLeader) {
        self.kept_reports.share_until = (share, self.now + for_ms);
        self.kept_reports.next = Some(next);
    }

    /// Called for each report that a worker sends. Returns `None` if the report is held.
    pub(super) fn keep_report(&mut self, origin: Origin, request: &Request) -> Option<Origin> {
        let next = self
            .kept_reports
            .next
            .filter(|_| self.faults.draw(self.kept_reports.share_until, self.now));
        let Some(next) = next else {
            return Some(origin);
        };
        let (first, kept) = match next {
            NextLeader::Held => (None, origin),
            _ => (Some(origin), Origin::Duplicate),
        };
        let until = self.kept_reports.share_until.1 + LATE_REPORT_MS.end;
        self.kept_reports.reports.push_back(KeptReport {
            next,
            origin: kept,
            request: request.clone(),
            until,
        });
        if self.kept_reports.reports.len() > MAX_KEPT {
            self.kept_reports.reports.pop_front();
        }
        first
    }

    /// Called while a node leads. Sends the kept reports if the node or its token differs from the last ones seen.
    pub(super) fn note_leader(&mut self, node: usize) {
        let term = self.hosts[node].node.as_ref().and_then(|n| n.node().term());
        let Some(token) = term else { return };
        if self
            .kept_reports
            .leader
            .replace((node, token))
            .is_none_or(|before| before == (node, token))
        {
            return;
        }
        for report in std::mem::take(&mut self.kept_reports.reports) {
            if report.until > self.now {
                self.deliver_kept_report(node, report);
            }
        }
    }

    fn deliver_kept_report(&mut self, leader: usize, report: KeptReport) {
        let nodes = match report.next {
            NextLeader::CopyToAll => 0..self.plan.nodes,
            _ => leader..leader + 1,
        };
        let within = if report.next == NextLeader::Held {
            HELD_SPREAD_MS
        } else {
            COPY_SPREAD_MS
        };
        self.hits.held_reports += u64::from(report.next == NextLeader::Held);
        for node in nodes {
            let at = self.now + self.faults.rng.u64(0..within);
            self.schedule(
                at,
                SimEvent::Request(node, report.origin.clone(), report.request.clone(), false),
            );
        }
    }
}
