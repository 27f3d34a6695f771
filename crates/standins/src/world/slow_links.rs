//! Slow links: messages between hosts are delayed, and messages from one host to another stay in order. Traffic of
//! users and of the load balancer is not delayed: its health checks time out after a second, so it would consider
//! every node unhealthy.

use super::{Call, Origin, World};
use crate::cloud::name_at;
use control::Destination;
use std::collections::BTreeMap;

/// The range from which the maximum one-way delay of each slow period is drawn. The minimum delay is a quarter of the
/// maximum.
const MAX_DELAY_MS: std::ops::Range<u64> = 200..1500;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Node(usize),
    State,
    Cloud,
    Machine(String),
}

#[derive(Debug, Default)]
pub(super) struct SlowLinks {
    until: u64,
    max_ms: u64,
    /// When the last message from one host to another arrives. Entries are removed once no message is under way.
    last_arrivals: BTreeMap<(Endpoint, Endpoint), u64>,
}

impl World {
    pub(super) fn slow_links(&mut self, ms: u64) {
        self.slow_links.until = self.slow_links.until.max(self.now + ms);
        self.slow_links.max_ms = self.faults.rng.u64(MAX_DELAY_MS);
    }

    fn links_are_slow(&self) -> bool {
        self.now < self.slow_links.until || !self.slow_links.last_arrivals.is_empty()
    }

    fn endpoint(&self, n: usize, to: Destination) -> Option<Endpoint> {
        Some(match to {
            Destination::State => Endpoint::State,
            Destination::Cloud => Endpoint::Cloud,
            Destination::Peer(i) => Endpoint::Node(self.peer_of(n, i)),
            Destination::Worker(addr) => Endpoint::Machine(name_at(addr)?),
        })
    }

    /// The additional delay of a request that a node sends.
    pub(super) fn send_delay_ms(&mut self, n: usize, to: Destination) -> u64 {
        let to = self
            .links_are_slow()
            .then(|| self.endpoint(n, to))
            .flatten();
        to.map_or(0, |to| self.link_delay_ms(Endpoint::Node(n), to))
    }

    /// The additional delay of a response to a node from the state service, the cloud or a worker.
    pub(super) fn reply_delay_ms(&mut self, c: &Call) -> u64 {
        let from = self
            .links_are_slow()
            .then(|| self.endpoint(c.node, c.to))
            .flatten();
        let rental = if c.to == Destination::Cloud {
            self.rental_delay_ms(&c.path)
        } else {
            0
        };
        rental + from.map_or(0, |from| self.link_delay_ms(from, Endpoint::Node(c.node)))
    }

    /// The additional delay of a node's response.
    pub(super) fn answer_delay_ms(&mut self, n: usize, to: &Origin) -> u64 {
        let to = match to {
            Origin::Worker { name, .. } if self.links_are_slow() => Endpoint::Machine(name.clone()),
            Origin::Peer { node, .. } if self.links_are_slow() => Endpoint::Node(*node),
            _ => return 0,
        };
        self.link_delay_ms(Endpoint::Node(n), to)
    }

    /// The additional delay of a worker's report.
    pub(super) fn report_delay_ms(&mut self, machine: &str, node: usize) -> u64 {
        if !self.links_are_slow() {
            return 0;
        }
        self.link_delay_ms(Endpoint::Machine(machine.to_owned()), Endpoint::Node(node))
    }

    fn link_delay_ms(&mut self, from: Endpoint, to: Endpoint) -> u64 {
        let (now, slow) = (self.now, &mut self.slow_links);
        slow.last_arrivals.retain(|_, arrives_at| *arrives_at > now);
        let delay_ms = if now < slow.until {
            self.faults.rng.u64(slow.max_ms / 4..=slow.max_ms)
        } else {
            0
        };
        let link = (from, to);
        let arrives_at = (now + delay_ms).max(slow.last_arrivals.get(&link).copied().unwrap_or(0));
        self.hits.slow += u64::from(arrives_at > now);
        if arrives_at > now {
            slow.last_arrivals.insert(link, arrives_at);
        }
        arrives_at - now
    }
}
