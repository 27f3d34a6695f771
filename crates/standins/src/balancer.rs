//! The users' load balancer as the protocol specifies it: which nodes it considers healthy, and which node it chooses
//! for a connection. It handles no requests; the simulation sends its health checks and reports the result of each
//! connection attempt.

use std::collections::VecDeque;

pub const PROBE_INTERVAL_MS: u64 = 1000;
/// A connection that a node has not accepted within this time has failed.
pub const CONNECT_TIMEOUT_MS: u64 = 500;
/// How many nodes are tried for one connection.
pub const MAX_CONNECT_ATTEMPTS: usize = 3;
const READD_DELAY_MS: u64 = 3000;
const MAX_READD_DELAY_MS: u64 = 60_000;
const READD_DELAY_DOUBLES_WITHIN_MS: u64 = 120_000;
const RAMP_UP_MS: u64 = 10_000;
const RESET_MS: u64 = 5000;
const SKIP_MS: u64 = 3000;

#[derive(Debug, Default)]
struct Node {
    healthy_at: Option<u64>,
    removed_at: Option<u64>,
    was_healthy: bool,
    /// The results of the last six health checks, latest first.
    probes: VecDeque<bool>,
    readd_delay_ms: u64,
    /// The number of consecutive failed connections, and until when the node is skipped because of them.
    consecutive_failures: u32,
    skipped_until: u64,
}

impl Node {
    fn last_probes_were(&self, n: usize, ok: bool) -> bool {
        self.probes.len() >= n && self.probes.iter().take(n).all(|p| *p == ok)
    }

    fn probed(&mut self, now: u64, ok: bool) {
        self.probes.push_front(ok);
        self.probes.truncate(6);
        if self.healthy_at.is_some() {
            // Failures from before the node became healthy again count among the six. This is the strictest reading
            // of the protocol.
            let failed = self.probes.iter().filter(|p| !**p).count();
            if !ok && (self.last_probes_were(2, false) || failed >= 3) {
                let again = self
                    .removed_at
                    .is_some_and(|at| now <= at + READD_DELAY_DOUBLES_WITHIN_MS);
                self.readd_delay_ms = if again {
                    (2 * self.readd_delay_ms).min(MAX_READD_DELAY_MS)
                } else {
                    READD_DELAY_MS
                };
                (self.healthy_at, self.removed_at) = (None, Some(now));
            }
        } else if ok {
            let may = self
                .removed_at
                .is_none_or(|at| now >= at + self.readd_delay_ms);
            if !self.was_healthy || (self.last_probes_were(2, true) && may) {
                (self.healthy_at, self.was_healthy) = (Some(now), true);
            }
        }
    }

    /// The fraction of its share of new connections that a node gets while it ramps up.
    fn ramp_up_factor(&self, now: u64) -> f64 {
        let since = now - self.healthy_at.unwrap_or(now);
        (since as f64 / RAMP_UP_MS as f64).clamp(0.1, 1.0)
    }
}

#[derive(Debug)]
pub struct Balancer {
    nodes: Vec<Node>,
}

impl Balancer {
    pub fn new(nodes: usize) -> Self {
        Balancer {
            nodes: (0..nodes).map(|_| Node::default()).collect(),
        }
    }

    pub fn probed(&mut self, now: u64, n: usize, ok: bool) {
        self.nodes[n].probed(now, ok);
    }

    pub fn is_healthy(&self, n: usize) -> bool {
        self.nodes[n].healthy_at.is_some()
    }

    /// Whether the node's open connections must be reset.
    pub fn should_reset(&self, now: u64, n: usize) -> bool {
        let node = &self.nodes[n];
        node.healthy_at.is_none() && node.removed_at.is_some_and(|at| now >= at + RESET_MS)
    }

    /// Chooses a node for a new connection, or for one that the nodes in `tried` did not accept.
    pub fn choose(
        &self,
        now: u64,
        rng: &mut fastrand::Rng,
        open: &[usize],
        tried: &[usize],
    ) -> Option<usize> {
        let eligible = |n: &usize| {
            self.nodes[*n].healthy_at.is_some()
                && self.nodes[*n].skipped_until <= now
                && !tried.contains(n)
        };
        let all: Vec<usize> = (0..self.nodes.len()).filter(eligible).collect();
        let mut candidates: Vec<usize> = all
            .iter()
            .copied()
            .filter(|n| rng.f64() < self.nodes[*n].ramp_up_factor(now))
            .collect();
        if candidates.is_empty() {
            candidates = all;
        }
        rng.shuffle(&mut candidates);
        candidates.into_iter().min_by_key(|n| open[*n])
    }

    pub fn connected(&mut self, now: u64, n: usize, ok: bool) {
        let node = &mut self.nodes[n];
        node.consecutive_failures = if ok { 0 } else { node.consecutive_failures + 1 };
        if node.consecutive_failures >= 3 {
            (node.consecutive_failures, node.skipped_until) = (0, now + SKIP_MS);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Health after each check, for checks once a second starting at one second.
    fn health(probes: &str) -> String {
        let mut node = Node::default();
        let after = |(i, p)| {
            node.probed(1000 * (i as u64 + 1), p == '+');
            if node.healthy_at.is_some() { '+' } else { '-' }
        };
        probes.chars().enumerate().map(after).collect()
    }

    #[test]
    fn node_is_removed_and_readded_after_the_probes_that_the_protocol_names() {
        // The first success is enough. Two failures in a row, or three among the last six, remove the node.
        assert_eq!(health("-+-+-+"), "-+++--");
        assert_eq!(health("+--"), "++-");
        assert_eq!(health("+-+-+-"), "+++++-");
        // It takes two successes to come back, and at least three seconds; after the second removal, six.
        assert_eq!(health("+--++++"), "++---++");
        assert_eq!(health("+--++++++++--++++++"), "++---+++++++------+");
    }

    #[test]
    fn readd_delay_doubles_up_to_a_minute_and_resets_after_two_minutes() {
        let mut node = Node::default();
        let (mut now, mut delays) = (0, Vec::new());
        for calm in [0, 0, 0, 0, 0, 0, 0, 130_000] {
            node.probed(now, true);
            while node.healthy_at.is_none() {
                now += 1000;
                node.probed(now, true);
            }
            if let Some(at) = node.removed_at {
                delays.push((now - at) / 1000);
            }
            for _ in 0..6 + calm / 1000 {
                now += 1000;
                node.probed(now, true);
            }
            now += 2000;
            node.probed(now - 1000, false);
            node.probed(now, false);
        }
        node.probed(now + 1000, true);
        node.probed(now + 3000, true);
        assert_eq!(delays, [3, 6, 12, 24, 48, 60, 60]);
        assert!(
            node.healthy_at.is_some(),
            "the re-add delay is back to three seconds"
        );
    }

    #[test]
    fn new_connections_go_to_the_least_loaded_node_and_reset_five_seconds_after_removal() {
        let mut b = Balancer::new(3);
        let mut rng = fastrand::Rng::with_seed(1);
        assert_eq!(b.choose(0, &mut rng, &[0; 3], &[]), None);
        (0..3).for_each(|n| b.probed(0, n, true));
        assert_eq!(b.choose(20_000, &mut rng, &[5, 2, 9], &[]), Some(1));
        assert_eq!(b.choose(20_000, &mut rng, &[5, 2, 9], &[1]), Some(0));
        // The node is skipped after three consecutive failures.
        (0..3).for_each(|_| b.connected(20_000, 1, false));
        assert_eq!(b.choose(22_999, &mut rng, &[5, 2, 9], &[]), Some(0));
        assert_eq!(b.choose(23_000, &mut rng, &[5, 2, 9], &[]), Some(1));
        b.probed(24_000, 0, false);
        b.probed(25_000, 0, false);
        assert!(!b.is_healthy(0) && !b.should_reset(29_999, 0) && b.should_reset(30_000, 0));
        // The node's share ramps up over ten seconds, although it has no connections.
        b.probed(30_000, 0, true);
        b.probed(31_000, 0, true);
        let mut to = |now| {
            (0..1000)
                .filter(|_| b.choose(now, &mut rng, &[0, 9, 9], &[]) == Some(0))
                .count()
        };
        let (early, half, late) = (to(31_500), to(36_000), to(41_000));
        assert!((50..200).contains(&early) && (400..600).contains(&half) && late == 1000);
    }
}
