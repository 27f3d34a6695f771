//! The network between hosts. Each link can be cut by itself, in one direction or both, for any period, continuously
//! or flapping. What is sent over a cut link is either held until the cut is over or refused at once.

/// A host at either end of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place<'a> {
    Node(usize),
    State,
    Cloud,
    Users,
    Machine { name: &'a str, zone: &'a str },
}

/// The hosts at one end of a cut.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frontend {
    Any,
    Node(usize),
    Nodes,
    State,
    Cloud,
    Users,
    Machines,
    Machine(String),
    MachinesIn(String),
    /// The nodes and machines in a zone, or all hosts outside it.
    Zone(String),
    Outside(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// Messages are delivered when the cut is over, even if the sender has stopped waiting.
    Hold,
    /// Connections are refused.
    Reset,
}

#[derive(Debug, Clone)]
pub struct Cut {
    pub from: Frontend,
    pub to: Frontend,
    /// Whether the opposite direction is cut as well.
    pub both: bool,
    pub how: How,
    pub since: u64,
    pub until: u64,
    /// A flapping cut alternates between being closed and open for these times.
    pub flaps: Option<(u64, u64)>,
}

impl Cut {
    /// A cut in both directions that holds messages, from now on.
    pub fn between(from: Frontend, to: Frontend, now: u64, ms: u64) -> Self {
        Cut {
            from,
            to,
            both: true,
            how: How::Hold,
            since: now,
            until: now + ms,
            flaps: None,
        }
    }

    /// The end of the present closed period, if the cut is closed now.
    fn active_until(&self, now: u64) -> Option<u64> {
        if now < self.since || now >= self.until {
            return None;
        }
        let Some((closed, open)) = self.flaps else {
            return Some(self.until);
        };
        let offset = (now - self.since) % (closed + open);
        (offset < closed).then(|| (now - offset + closed).min(self.until))
    }
}

/// All cuts, and the zone of each node.
#[derive(Debug, Default)]
pub struct Links {
    cuts: Vec<Cut>,
    pub node_zones: Vec<String>,
}

impl Links {
    pub fn cut(&mut self, cut: Cut) {
        // Removes expired cuts, so that the list doesn't grow without bound.
        self.cuts.retain(|c| c.until > cut.since);
        self.cuts.push(cut);
    }

    /// Whether no cut is active.
    pub fn are_uncut(&self, now: u64) -> bool {
        self.cuts.iter().all(|c| c.active_until(now).is_none())
    }

    fn includes(&self, frontend: &Frontend, place: Place<'_>) -> bool {
        let zone = match place {
            Place::Node(n) => self.node_zones.get(n).map(String::as_str),
            Place::Machine { zone, .. } => Some(zone),
            _ => None,
        };
        match (frontend, place) {
            (Frontend::Any, _)
            | (Frontend::Nodes, Place::Node(_))
            | (Frontend::State, Place::State)
            | (Frontend::Cloud, Place::Cloud)
            | (Frontend::Users, Place::Users)
            | (Frontend::Machines, Place::Machine { .. }) => true,
            (Frontend::Node(a), Place::Node(b)) => *a == b,
            (Frontend::Machine(a), Place::Machine { name, .. }) => a == name,
            (Frontend::MachinesIn(z), Place::Machine { zone, .. }) => z == zone,
            (Frontend::Zone(z), _) => zone == Some(z),
            (Frontend::Outside(z), _) => zone != Some(z),
            _ => false,
        }
    }

    /// Whether a cut blocks a request sent now: until when, and how it fails.
    pub fn blocked(&self, now: u64, from: Place<'_>, to: Place<'_>) -> Option<(u64, How)> {
        let cuts = self.cuts.iter().filter(|c| self.applies(c, from, to));
        let cuts = cuts.filter_map(|c| Some((c.active_until(now)?, c.how)));
        cuts.max_by_key(|(until, how)| (*how == How::Reset, *until))
    }

    /// Whether a cut blocks a response. A cut that refuses connections in one direction lets responses pass on
    /// connections that were opened in the opposite direction.
    pub fn blocks_response(&self, now: u64, from: Place<'_>, to: Place<'_>) -> Option<How> {
        let passes = |c: &Cut| c.how == How::Reset && !c.both;
        let mut cuts = self
            .cuts
            .iter()
            .filter(|c| self.applies(c, from, to) && !passes(c));
        cuts.find(|c| c.active_until(now).is_some()).map(|c| c.how)
    }

    fn applies(&self, c: &Cut, from: Place<'_>, to: Place<'_>) -> bool {
        (self.includes(&c.from, from) && self.includes(&c.to, to))
            || (c.both && self.includes(&c.from, to) && self.includes(&c.to, from))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const AT: Place<'_> = Place::Machine {
        name: "m",
        zone: "a",
    };

    #[test]
    fn cut_zone_reaches_only_itself() {
        let mut links = Links {
            node_zones: vec!["a".into(), "b".into()],
            ..Links::default()
        };
        links.cut(Cut::between(
            Frontend::Zone("a".into()),
            Frontend::Outside("a".into()),
            100,
            50,
        ));
        let closed = |from, to| links.blocked(120, from, to).is_some();
        assert!(closed(Place::Node(0), Place::State) && closed(Place::State, Place::Node(0)));
        assert!(closed(AT, Place::Node(1)) && !closed(AT, Place::Node(0)));
        assert!(!closed(Place::Node(1), Place::State));
        assert_eq!(links.blocked(150, Place::Node(0), Place::State), None);
    }

    #[test]
    fn one_way_flapping_cut_blocks_one_direction_while_closed() {
        let mut links = Links {
            node_zones: vec!["a".into()],
            ..Links::default()
        };
        let cut = Cut::between(Frontend::Node(0), Frontend::Machines, 0, 100);
        links.cut(Cut {
            both: false,
            how: How::Reset,
            flaps: Some((6, 7)),
            ..cut
        });
        assert_eq!(links.blocked(5, Place::Node(0), AT), Some((6, How::Reset)));
        assert_eq!(links.blocked(5, AT, Place::Node(0)), None);
        assert_eq!(links.blocked(6, Place::Node(0), AT), None);
        assert_eq!(
            links.blocked(14, Place::Node(0), AT),
            Some((19, How::Reset))
        );
    }
}
