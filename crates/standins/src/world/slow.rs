//! Slow links: what hosts send each other takes long, and what one sends another comes in order. Users and their balancer
//! are not slowed down: its probes wait for a second, and would take every node out.

use super::{Call, Origin, World};
use crate::cloud::name_at;
use control::Destination;
use std::collections::BTreeMap;

/// The slowest message of such a spell, drawn for each, takes this long one way; the quickest a quarter of it.
const SLOWEST_MS: std::ops::Range<u64> = 200..1500;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Host {
    Node(usize),
    State,
    Cloud,
    Machine(String),
}

#[derive(Debug, Default)]
pub(super) struct Slow {
    until: u64,
    most: u64,
    /// When the last message from one host to another comes; forgotten once nothing is under way.
    last: BTreeMap<(Host, Host), u64>,
}

impl World {
    pub(super) fn slow_links(&mut self, ms: u64) {
        self.slow.until = self.slow.until.max(self.now + ms);
        self.slow.most = self.troubles.rng.u64(SLOWEST_MS);
    }

    fn links_are_slow(&self) -> bool {
        self.now < self.slow.until || !self.slow.last.is_empty()
    }

    fn host(&self, n: usize, to: Destination) -> Option<Host> {
        Some(match to {
            Destination::State => Host::State,
            Destination::Cloud => Host::Cloud,
            Destination::Peer(i) => Host::Node(self.peer_of(n, i)),
            Destination::Worker(addr) => Host::Machine(name_at(addr)?),
        })
    }

    /// How much later comes what a node sends.
    pub(super) fn send_lateness(&mut self, n: usize, to: Destination) -> u64 {
        let to = self.links_are_slow().then(|| self.host(n, to)).flatten();
        to.map_or(0, |to| self.link_lateness(Host::Node(n), to))
    }

    /// The same of what it is answered by others than nodes.
    pub(super) fn reply_lateness(&mut self, c: &Call) -> u64 {
        let from = self
            .links_are_slow()
            .then(|| self.host(c.node, c.to))
            .flatten();
        let rental = if c.to == Destination::Cloud {
            self.rental_lateness(&c.path)
        } else {
            0
        };
        rental + from.map_or(0, |from| self.link_lateness(from, Host::Node(c.node)))
    }

    /// The same of what a node answers.
    pub(super) fn answer_lateness(&mut self, n: usize, to: &Origin) -> u64 {
        let to = match to {
            Origin::Worker { name, .. } if self.links_are_slow() => Host::Machine(name.clone()),
            Origin::Peer { node, .. } if self.links_are_slow() => Host::Node(*node),
            _ => return 0,
        };
        self.link_lateness(Host::Node(n), to)
    }

    /// The same of a report.
    pub(super) fn report_lateness(&mut self, machine: &str, node: usize) -> u64 {
        if !self.links_are_slow() {
            return 0;
        }
        self.link_lateness(Host::Machine(machine.to_owned()), Host::Node(node))
    }

    fn link_lateness(&mut self, from: Host, to: Host) -> u64 {
        let (now, slow) = (self.now, &mut self.slow);
        slow.last.retain(|_, comes| *comes > now);
        let takes = if now < slow.until {
            self.troubles.rng.u64(slow.most / 4..=slow.most)
        } else {
            0
        };
        let link = (from, to);
        let comes = (now + takes).max(slow.last.get(&link).copied().unwrap_or(0));
        self.hits.slow += u64::from(comes > now);
        if comes > now {
            slow.last.insert(link, comes);
        }
        comes - now
    }
}
