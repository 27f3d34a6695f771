//! Which quota tree is in force, as every controller follows it.
//!
//! A controller acts on one whole version. It reads the parts of a new one, checks that it holds together with the
//! teams of the settings, and only then takes it; one that does not check out is refused, and the last good one stays.

use crate::part::Load;
use crate::{Dest, Node, Pending};
use quota::{Spec, Tree};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wire::api::{Item, Range};
use wire::http::Response;
use wire::records;
use wire::tree::{Head, PartRec};

/// A version that checks out.
#[derive(Clone)]
pub(crate) struct Good {
    pub version: u64,
    pub spec: Arc<Spec>,
    pub tree: Arc<Tree>,
}

#[derive(Default)]
pub(crate) struct Quotas {
    /// The head as last seen, and its stamp; 0 if there is none.
    pub head: Head,
    pub stamp: u64,
    pub good: Option<Good>,
    /// A version that did not check out, and why.
    pub refused: Option<(u64, String)>,
    /// Parts that are in the state service, by name, with their stamps.
    pub parts: BTreeMap<String, u64>,
    reading: Option<Reading>,
    retry_at: u64,
}

/// Parts as they come in, page by page.
#[derive(Default)]
struct Reading {
    found: BTreeMap<String, (u64, PartRec)>,
    after: Option<String>,
}

impl Quotas {
    /// Nothing that was asked for in another term of ownership is waited for.
    pub fn forget_reading(&mut self) {
        self.reading = None;
    }

    /// The version whose bounds hold here; 0 without a tree. `None` if there is one that can't be acted on.
    pub fn version(&self) -> Option<u64> {
        match &self.good {
            Some(good) => Some(good.version),
            None if self.head.version == 0 => Some(0),
            None => None,
        }
    }

    /// A head that was read or watched; older ones change nothing.
    pub fn head_seen(&mut self, head: Head, stamp: u64) {
        if stamp >= self.stamp {
            (self.head, self.stamp) = (head, stamp);
        }
    }

    fn is_current(&self) -> bool {
        let known = self.good.as_ref().map_or(0, |g| g.version);
        let refused = self.refused.as_ref().map_or(0, |(version, _)| *version);
        self.head.version == known || self.head.version == refused
    }

    fn take(&mut self, good: Good) {
        let (nodes, teams) = (good.tree.nodes.len(), good.tree.leaves.len());
        log::info!("quota tree: version {} with {nodes} nodes and {teams} teams", good.version);
        self.good = Some(good);
        self.refused = None;
    }

    /// Takes a tree that was put together from the head's parts, or refuses it.
    fn adopt(&mut self, spec: Result<Spec, String>, teams: &[quota::Team]) {
        let version = self.head.version;
        let built = spec.and_then(|spec| {
            let tree = Tree::build(&fitting(&spec, teams), teams).map_err(|f| f[0].to_string())?;
            Ok(Good { version, spec: Arc::new(spec), tree: Arc::new(tree) })
        });
        match built {
            Ok(good) => self.take(good),
            Err(why) => {
                let kept = self.good.as_ref().map_or("none".to_owned(), |g| g.version.to_string());
                log::error!("quota tree: version {version} is refused, {kept} stays in force: {why}");
                self.refused = Some((version, why));
            }
        }
    }
}

/// A tree without the teams that have left the settings: they have no work, and their places go with the next change.
pub(crate) fn fitting(spec: &Spec, teams: &[quota::Team]) -> Spec {
    let known: BTreeSet<&str> = teams.iter().map(|t| t.name.as_str()).collect();
    let here = |t: &&quota::TeamSpec| known.contains(t.name.as_str());
    Spec { nodes: spec.nodes.clone(), teams: spec.teams.iter().filter(here).cloned().collect() }
}

impl Node {
    /// Reads the parts of a new version, as soon as its head was seen.
    pub(crate) fn quotas_tick(&mut self) {
        let now = self.now.mono;
        let owner_loads = self.part.as_ref().is_some_and(|p| !p.loaded);
        let q = &mut self.shared.quotas;
        if q.is_current() || q.reading.is_some() || now < q.retry_at || owner_loads {
            return;
        }
        // Not the owner's budget for claims: once a second at most.
        q.retry_at = now + 1000;
        self.read_tree();
    }

    /// Starts to read all parts, from the first page.
    pub(crate) fn read_tree(&mut self) {
        self.shared.quotas.reading = Some(Reading::default());
        self.read_tree_page();
    }

    fn read_tree_page(&mut self) {
        let Some(reading) = &self.shared.quotas.reading else { return };
        let mut path = format!("/keys?under={}&limit=1000", records::QUOTA_PARTS);
        if let Some(after) = &reading.after {
            path.push_str(&format!("&from={after}"));
        }
        self.send(Dest::State, "GET", path, Vec::new(), 3000, Pending::TreeParts { epoch: self.epoch });
    }

    pub(crate) fn tree_parts_came(&mut self, response: Option<Response>) {
        let page = response
            .filter(|r| r.status == 200)
            .and_then(|r| self.read::<Range<PartRec>>("state service", &r));
        let Some(page) = page else {
            self.shared.quotas.reading = None;
            return self.tree_read();
        };
        let q = &mut self.shared.quotas;
        let Some(reading) = &mut q.reading else { return };
        reading.after = page.items.last().map(|i| i.key.clone());
        let more = page.more && !page.items.is_empty();
        for Item { key, value, version } in page.items {
            if let Some(name) = key.strip_prefix(records::QUOTA_PARTS) {
                reading.found.insert(name.to_owned(), (version, value));
            }
        }
        if more {
            return self.read_tree_page();
        }
        let found = q.reading.take().unwrap_or_default().found;
        q.parts = found.iter().map(|(name, (stamp, _))| (name.clone(), *stamp)).collect();
        let parts = found.into_iter().map(|(name, (_, part))| (name, part)).collect();
        if !q.is_current() {
            let spec = wire::tree::join(&q.head, &parts);
            // A version after this one may have taken its parts away: its head is on its way to us.
            let teams = self.settings.quota_teams();
            self.shared.quotas.adopt(spec, &teams);
        }
        self.tree_read();
    }

    /// The head that an owner reads before its first start, and then the parts: all of them, also those that no version
    /// names, so that it can take them away and writes none a second time.
    pub(crate) fn load_tree_head(&mut self, range: Range<records::SharedRec>) {
        for item in range.items.into_iter().filter(|i| i.key == records::QUOTA) {
            if let Some(head) = item.value.quota {
                self.shared.quotas.head_seen(head, item.version);
            }
        }
        // What was refused may have been incomplete for us alone.
        self.shared.quotas.refused = None;
    }

    /// The tree was read, or could not be.
    fn tree_read(&mut self) {
        let owner_loads = self.part.as_ref().is_some_and(|p| !p.loaded);
        if !owner_loads {
            self.tree_in_force();
        } else if self.shared.quotas.is_current() {
            self.load_ended();
        } else {
            // Without it nothing may start: again, from the head.
            self.load(Load::Tree);
        }
    }

    /// A new version of ours is in place in the state service.
    pub(crate) fn tree_committed(&mut self, head: Head, good: Good, stamp: u64) {
        self.shared.quotas.head_seen(head, stamp);
        self.shared.quotas.take(good);
        self.tree_in_force();
    }

    /// Where we are the owner, the bounds of a new version are recorded before anything starts under them.
    pub(crate) fn tree_in_force(&mut self) {
        let whole = self.whole_allotment();
        let Some(part) = self.part.as_mut().filter(|p| p.loaded) else { return };
        let stands = part.allot.as_ref() == Some(&whole) && part.allot_wanted.is_none();
        if stands {
            return;
        }
        part.allot_wanted = Some(whole);
        part.plan_due = true;
        self.to_write = true;
        // What was planned under the old bounds and not recorded yet is planned anew.
        self.drop_unrecorded();
    }

    /// Takes back all claims of which neither a record nor a start is on its way.
    pub(crate) fn drop_unrecorded(&mut self) {
        let Some(part) = &mut self.part else { return };
        let mut jobs = BTreeSet::new();
        let fresh: Vec<_> = part.ledger.fresh.drain(..).collect();
        for id in fresh {
            let new =
                part.claim_mut(&id).is_some_and(|c| c.state == crate::machines::ClaimState::New && !c.sent);
            if new {
                part.drop_claim(&id);
                jobs.insert(id.job);
            } else {
                part.ledger.fresh.push_back(id);
            }
        }
        for ix in jobs {
            self.job_changed(ix);
        }
    }

    /// Whether this is more than some node above a team may use at all.
    pub(crate) fn above_its_tree(&self, team: &str, all: &quota::Amount) -> bool {
        let Some(good) = &self.shared.quotas.good else { return false };
        let tree = &good.tree;
        let path = tree.team(team).map(|t| tree.path(t)).unwrap_or_default();
        let over = |n: &quota::NodeId| {
            let max = &tree.nodes[n.0 as usize].max;
            all.iter().zip(max).any(|(need, max)| need > max)
        };
        path.iter().any(over)
    }
}
