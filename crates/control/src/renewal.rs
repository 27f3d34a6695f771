//! How long an owner may keep workers' leases alive.
//!
//! A worker kills its tasks once the last report that was answered was sent more than `lease_s` ago, so each answer
//! lets them live that much longer. An owner that can't renew its own lease hears of no cancel that a later owner
//! tells users; what it renews must be gone within `cancel_s` of the first such cancel. Derived in docs/safety.md.
//!
//! Nothing here gives an order or decides who owns.

use crate::election::Role;
use crate::{Dest, Node, Pending};
use wire::http::Response;
use wire::peer::{self, Answer, Ask};
use wire::settings::Workers;

/// Two clocks that drift apart by 0.05% each, doubled.
const DRIFT: f64 = 0.002;
/// Workers look at their lease now and then, and an end takes a moment.
const SLACK_MS: f64 = 2000.0;
/// An unsure owner asks its peers this often.
const ASK_EVERY_MS: u64 = 1000;

/// How long, in milliseconds, answers may go on after the last moment at which no other node can have told anybody
/// of a cancel: what is renewed at its end is gone `cancel_s` after that moment.
pub(crate) fn bound_ms(workers: &Workers) -> u64 {
    let left = workers.cancel_s * (1.0 - DRIFT) - workers.lease_s * (1.0 + DRIFT);
    (left * 1000.0 - SLACK_MS).max(0.0) as u64
}

/// What the other nodes have said since this one became unsure.
#[derive(Debug, Default)]
pub(crate) struct Vouches {
    /// When the question was sent that all have answered.
    at: Option<u64>,
    /// When the last question was sent, and which peers have answered it.
    asked: u64,
    answered: Vec<bool>,
}

impl Vouches {
    fn ask(&mut self, now: u64, peers: usize) {
        self.asked = now;
        self.answered = vec![false; peers];
        self.note(now);
    }

    fn answer(&mut self, sent: u64, peer: usize) {
        if sent == self.asked
            && let Some(answered) = self.answered.get_mut(peer)
        {
            *answered = true;
            self.note(sent);
        }
    }

    fn note(&mut self, sent: u64) {
        if self.answered.iter().all(|a| *a) {
            self.at = self.at.max(Some(sent));
        }
    }
}

impl Node {
    /// Whether an answer to a worker may renew its lease now.
    pub(crate) fn may_renew(&self) -> bool {
        // What has not been read back yet may have been cancelled long ago.
        let Some(part) = self.part.as_ref().filter(|p| p.loaded) else { return false };
        let Role::Owner { renewed, .. } = self.role else { return false };
        let known = part.vouches.at.map_or(renewed, |at| at.max(renewed));
        self.sure() || self.now.mono < known + bound_ms(&self.settings.cluster.workers)
    }

    /// An owner that is unsure asks all others whether anybody else can have told of a cancel.
    pub(crate) fn renewal_tick(&mut self) {
        let (now, sure, epoch) = (self.now.mono, self.sure(), self.epoch);
        let peers = self.settings.peers.len();
        let Some(part) = self.part.as_mut().filter(|p| p.loaded && !sure) else { return };
        if now < part.vouches.asked + ASK_EVERY_MS {
            return;
        }
        part.vouches.ask(now, peers);
        let body = peer::encode(&Ask::Vouch { token: part.token });
        for peer in 0..peers {
            let what = Pending::Vouch { epoch, sent: now, peer };
            self.send(Dest::Peer(peer), "POST", peer::PATH.into(), body.clone(), ASK_EVERY_MS, what);
        }
    }

    /// Whether no cancel can have been told under a higher token by this node up to now. One that has begun since
    /// must have read the counter first: it may have been the owner before it ended.
    pub(crate) fn vouches_for(&self, token: u64) -> bool {
        self.shared.revision > 0 && self.shared.token <= token && self.hinted_token() <= token
    }

    pub(crate) fn vouched(&mut self, sent: u64, peer: usize, response: Option<Response>) {
        let answer = response.filter(|r| r.status == 200).and_then(|r| peer::decode::<Answer>(&r.body).ok());
        if let (Some(Answer::Vouched), Some(part)) = (answer, &mut self.part) {
            part.vouches.answer(sent, peer);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn workers(lease_s: f64, cancel_s: f64) -> Workers {
        Workers { report_s: 5.0, lease_s, gang_wait_s: 30.0, gang_peer_s: 5.0, cancel_s }
    }

    /// Guards against a bound that lets a task outlive a cancel, whatever an operator sets.
    #[test]
    fn what_is_renewed_last_is_gone_in_time() {
        for lease in [1.0, 10.0, 30.0, 34.0, 600.0] {
            for cancel in [1.0, 30.0, 55.0, 64.0, 3600.0] {
                let bound = bound_ms(&workers(lease, cancel));
                // The owner's clock runs slow and the worker's too.
                let gone = (bound as f64 + lease * 1000.0) * 1.001;
                assert!(bound == 0 || gone < cancel * 1000.0, "{lease} {cancel}: {bound}");
            }
        }
    }

    /// A word counts only if all have given it, for the same question.
    #[test]
    fn one_silent_peer_is_enough_to_end_it() {
        let mut v = Vouches::default();
        v.ask(1000, 2);
        v.answer(1000, 0);
        v.ask(2000, 2);
        v.answer(1000, 1);
        v.answer(2000, 1);
        v.answer(2000, 7);
        assert_eq!(v.at, None);
        v.answer(2000, 0);
        assert_eq!(v.at, Some(2000));
    }
}
