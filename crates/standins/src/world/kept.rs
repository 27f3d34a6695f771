//! Reports kept for the next leader: copies of what went to the one before, which come just as the next one begins, or the
//! reports themselves, which come to it and to nobody before.

use super::{Ev, Origin, World};
use crate::days::{LATE_REPORT_MS, NextLeader};
use std::collections::VecDeque;
use wire::http::Request;

/// So many are kept at most; the oldest go first.
const MOST: usize = 512;
/// Copies come so soon after a leader is seen, and what was held up once it has acted.
const AS_IT_BEGINS_MS: u64 = 300;
const HELD_MS: u64 = 4000;

struct One {
    next: NextLeader,
    origin: Origin,
    request: Request,
    /// Lost if no other leader has begun by then.
    until: u64,
}

/// Who leads, as it is seen: the node and its token.
type Leader = (usize, u64);

#[derive(Default)]
pub(super) struct Kept {
    share: (f64, u64),
    next: Option<NextLeader>,
    reports: VecDeque<One>,
    leader: Option<Leader>,
}

impl World {
    pub(super) fn keep_for_next(&mut self, share: f64, for_ms: u64, next: NextLeader) {
        self.kept.share = (share, self.now + for_ms);
        self.kept.next = Some(next);
    }

    /// A report is sent. One that is held is kept, and not given back.
    pub(super) fn keep_report(&mut self, origin: Origin, request: &Request) -> Option<Origin> {
        let next = self
            .kept
            .next
            .filter(|_| self.troubles.hits(self.kept.share, self.now));
        let Some(next) = next else {
            return Some(origin);
        };
        let (first, kept) = match next {
            NextLeader::Held => (None, origin),
            _ => (Some(origin), Origin::Nobody),
        };
        let until = self.kept.share.1 + LATE_REPORT_MS.end;
        self.kept.reports.push_back(One {
            next,
            origin: kept,
            request: request.clone(),
            until,
        });
        if self.kept.reports.len() > MOST {
            self.kept.reports.pop_front();
        }
        first
    }

    /// Somebody leads. If another one did before, or under another token, what was kept comes.
    pub(super) fn leads(&mut self, node: usize) {
        let term = self.hosts[node].node.as_ref().and_then(|n| n.node().term());
        let Some(token) = term else { return };
        if self
            .kept
            .leader
            .replace((node, token))
            .is_none_or(|before| before == (node, token))
        {
            return;
        }
        for one in std::mem::take(&mut self.kept.reports) {
            if one.until > self.now {
                self.comes_to(node, one);
            }
        }
    }

    fn comes_to(&mut self, leader: usize, one: One) {
        let nodes = match one.next {
            NextLeader::CopyToAll => 0..self.plan.nodes,
            _ => leader..leader + 1,
        };
        let within = if one.next == NextLeader::Held {
            HELD_MS
        } else {
            AS_IT_BEGINS_MS
        };
        self.hits.held_reports += u64::from(one.next == NextLeader::Held);
        for node in nodes {
            let at = self.now + self.troubles.rng.u64(0..within);
            self.at(
                at,
                Ev::Request(node, one.origin.clone(), one.request.clone(), false),
            );
        }
    }
}
