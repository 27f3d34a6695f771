//! The operators' door, on the peers' side: what the tree is, why work waits, and changes of the tree.
//!
//! Any controller takes a request; the owner answers it. A change is made by the owner's own transactions, one after
//! the other: parts that the state service has not yet, then in one the head and the part's allotment. So a change is
//! in place as a whole or not at all, whoever dies in its midst; what an owner that died had written of parts is in
//! the way of nothing, and is tidied away by the next.

use crate::quotas::{Good, fitting};
use crate::standing::Counted;
use crate::{Dest, Node, Pending};
use quota::{Live, Spec, Tree, edit};
use std::collections::VecDeque;
use std::sync::Arc;
use wire::admin::{self, Ask, Change, Changed, Edit, Refused};
use wire::http::{Request, Response};
use wire::tree::{Head, PartRec, Past, SHORT};

/// A controller has this long to have the owner answer, a whole change included.
const FORWARD_MS: u64 = 15_000;
/// Differences that an answer lists.
const DIFFERENCES: usize = 200;

/// A change on its way into the state service.
pub(crate) struct Changing {
    id: String,
    /// Who waits for it; nobody for the first tree.
    conn: Option<u64>,
    pub head: Head,
    pub good: Good,
    /// Stamp of the head that it follows.
    pub stamp: u64,
    /// Parts still to be written, and how many of them are on their way.
    pub parts: VecDeque<(String, PartRec)>,
    pub busy: usize,
    answer: Changed,
}

impl Changing {
    /// All its parts are in place: the head may follow.
    pub fn is_due(&self) -> bool {
        self.parts.is_empty() && self.busy == 0
    }
}

impl Node {
    /// A request at the door, if it is one for it.
    pub(crate) fn admin_asked(&mut self, conn: u64, request: &Request) -> bool {
        if request.path != admin::PATH || self.tuning.door < 1.0 {
            return false;
        }
        if request.method != "POST" {
            self.deny_admin(conn, 405, refused("method not allowed"));
        } else if !self.owns() {
            self.forward_admin(conn, request);
        } else if !self.decides() {
            self.deny_admin(conn, 503, refused("the owner is not sure of itself now"));
        } else {
            match admin::decode::<Ask>(&request.body) {
                Ok(Ask::Show) => self.show_tree(conn),
                Ok(Ask::Why { team }) => self.why(conn, &team),
                Ok(Ask::Change(change)) => self.change_tree(conn, change),
                Err(e) => self.deny_admin(conn, 400, refused(&e.to_string())),
            }
        }
        true
    }

    fn forward_admin(&mut self, conn: u64, request: &Request) {
        let Some(peer) = self.owner_peer() else {
            return self.deny_admin(conn, 503, refused("no owner now"));
        };
        let what = Pending::Admin { conn };
        self.send(Dest::Peer(peer), "POST", admin::PATH.into(), request.body.clone(), FORWARD_MS, what);
    }

    pub(crate) fn admin_answered(&mut self, conn: u64, response: Option<Response>) {
        match response {
            Some(r) => self.respond(conn, r.status, r.body, r.retry_after_s),
            None => {
                self.deny_admin(conn, 503, refused("the owner does not answer; a change may have been made"))
            }
        }
    }

    fn deny_admin(&mut self, conn: u64, status: u16, why: Refused) {
        let retry = (status == 503).then_some(1);
        self.respond(conn, status, admin::encode(&why), retry);
    }

    /// The tree with the counts of this moment.
    fn counted(&self, tree: &Arc<Tree>) -> Option<Live> {
        Some(Counted::new(self.part.as_ref()?, tree.clone()).live)
    }

    fn show_tree(&mut self, conn: u64) {
        let q = &self.shared.quotas;
        let (version, spec) =
            q.good.as_ref().map_or((0, Spec::default()), |g| (g.version, (*g.spec).clone()));
        let live = self.tree_here().and_then(|tree| self.counted(&tree));
        let refused = q.refused.as_ref().map(|(version, why)| format!("version {version}: {why}"));
        let answer = admin::Tree {
            version,
            spec,
            nodes: live.as_ref().map(Live::nodes).unwrap_or_default(),
            teams: live.as_ref().map(Live::teams).unwrap_or_default(),
            history: q.head.history.clone(),
            refused,
        };
        self.respond(conn, 200, admin::encode(&answer), None);
    }

    fn why(&mut self, conn: u64, team: &str) {
        let live = self.tree_here().and_then(|tree| self.counted(&tree));
        let found = live.and_then(|mut live| live.tree().team(team).map(|t| live.why(t)));
        match found {
            Some(why) => self.respond(conn, 200, admin::encode(&why), None),
            None => self.deny_admin(conn, 404, refused(&format!("no team {team:?} in the settings"))),
        }
    }

    /// The tree in force; without one, the teams alone.
    fn tree_here(&self) -> Option<Arc<Tree>> {
        match &self.shared.quotas.good {
            Some(good) => Some(good.tree.clone()),
            None => Tree::build(&Spec::default(), &self.settings.quota_teams()).ok().map(Arc::new),
        }
    }

    fn change_tree(&mut self, conn: u64, change: Change) {
        // A longer one would be remembered cut, and a repeat taken for another change.
        if change.id.is_empty() || change.id.len() > SHORT || change.id.chars().any(char::is_control) {
            let why = format!("id: must be 1 to {SHORT} bytes without control characters");
            return self.deny_admin(conn, 400, refused(&why));
        }
        let head = &self.shared.quotas.head;
        if let Some(past) = head.made(&change.id) {
            // A repeat after a lost answer.
            let answer = Changed { version: past.version, ..Changed::default() };
            return self.respond(conn, 200, admin::encode(&answer), None);
        }
        let version = head.version;
        if let Some(expected) = change.expect
            && expected != version
        {
            let error = format!("made for version {expected}, but version {version} is in force");
            return self.deny_admin(conn, 409, Refused { version: Some(version), ..refused(&error) });
        }
        if let Some(other) = self.part.as_mut().and_then(|p| p.changing.as_mut()) {
            if other.id == change.id {
                other.conn = Some(conn);
                return;
            }
            let error = format!("another change of version {version} is under way");
            return self.deny_admin(conn, 409, Refused { version: Some(version), ..refused(&error) });
        }
        match self.prepare(Some(conn), &change) {
            Err(why) => self.deny_admin(conn, 422, why),
            Ok(ready) if change.dry_run => {
                let answer = Changed { version, dry_run: true, ..ready.answer };
                self.respond(conn, 200, admin::encode(&answer), None);
            }
            Ok(ready) => self.begin_change(ready, &change.by),
        }
    }

    fn begin_change(&mut self, ready: Changing, by: &str) {
        log::info!("quota tree: version {} by {by:?} is to be written", ready.head.version);
        if let Some(part) = &mut self.part {
            part.changing = Some(ready);
        }
        self.to_write = true;
    }

    /// Makes the new tree and checks it; nothing is changed yet.
    fn prepare(&self, conn: Option<u64>, change: &Change) -> Result<Changing, Refused> {
        let q = &self.shared.quotas;
        let teams = self.settings.quota_teams();
        let old = q.good.as_ref().map(|g| fitting(&g.spec, &teams)).unwrap_or_default();
        let new = match &change.edit {
            Edit::Set { spec } => Ok(spec.clone()),
            Edit::Move { name, to } => edit::transfer(&old, &teams, name, to.as_deref()),
            Edit::Shrink { name, guarantee, max, scale } => {
                edit::shrink(&old, &teams, name, guarantee, max, *scale)
            }
        };
        let spec = new.map_err(|fault| faulty(&[fault]))?;
        let tree = Arc::new(Tree::build(&spec, &teams).map_err(|faults| faulty(&faults))?);
        let value = crate::commit::value_limit(self.settings.cluster.state.value_kb);
        let parts = wire::tree::split(&spec, value).map_err(|e| refused(&e))?;
        let differences = edit::differences(&old, &spec, DIFFERENCES);
        let words = differences.first().map_or("nothing", String::as_str);
        let more = if differences.len() > 1 {
            format!(" and {} more", differences.len() - 1)
        } else {
            String::new()
        };
        let what = format!("{words}{more}");
        let past = Past::new(q.head.version + 1, &change.id, self.now.wall, &change.by, &what);
        let names = parts.iter().map(|(name, _)| name.clone()).collect();
        let head = q.head.next(names, past, value).map_err(|e| refused(&e))?;
        let above = self.counted(&tree).map(|live| above(&live)).unwrap_or_default();
        let answer = Changed { version: head.version, dry_run: false, differences, above };
        let parts = parts.into_iter().filter(|(name, _)| !q.parts.contains_key(name)).collect();
        let good = Good { version: head.version, spec: Arc::new(spec), tree };
        Ok(Changing { id: change.id.clone(), conn, head, good, stamp: q.stamp, parts, busy: 0, answer })
    }

    /// Puts the tree in place that this node was started with, if there has never been any.
    pub(crate) fn first_tree(&mut self) {
        let idle = self.part.as_ref().is_some_and(|p| p.loaded && p.changing.is_none());
        if self.shared.quotas.head.version > 0 || !self.shared.known || !idle || !self.decides() {
            return;
        }
        let Some(spec) = self.first.take() else { return };
        let (id, by) = ("first".to_owned(), self.settings.node.clone());
        let change = Change { id, by, expect: Some(0), dry_run: false, edit: Edit::Set { spec } };
        match self.prepare(None, &change) {
            Ok(ready) => self.begin_change(ready, &change.by),
            Err(why) => {
                let faults: String = why.faults.iter().map(|f| format!("; {f}")).collect();
                log::error!("the first quota tree is refused: {}{faults}", why.error);
            }
        }
    }

    /// The head of a change stands in the state service, at this revision.
    pub(crate) fn tree_changed(&mut self, revision: u64) {
        let Some(done) = self.part.as_mut().and_then(|p| p.changing.take()) else { return };
        self.tree_committed(done.head, done.good, revision);
        if let Some(conn) = done.conn {
            self.respond(conn, 200, admin::encode(&done.answer), None);
        }
    }

    /// We are no longer the owner: whether the change was made is for its record to say.
    pub(crate) fn change_cut_short(&mut self, change: Changing) {
        let error = "the owner changed; ask for the history whether the change was made".to_owned();
        if let Some(conn) = change.conn {
            self.deny_admin(conn, 503, refused(&error));
        }
    }
}

fn refused(why: &str) -> Refused {
    Refused { error: why.to_owned(), ..Refused::default() }
}

fn faulty(faults: &[quota::Fault]) -> Refused {
    Refused { faults: faults.to_vec(), ..refused("the tree is refused; the one in force stays") }
}

/// What is above its bound, and what becomes of it.
fn above(live: &Live) -> Vec<String> {
    let tree = live.tree();
    let mut out = Vec::new();
    for (i, node) in tree.nodes.iter().enumerate() {
        let used = live.used(quota::NodeId(i as u32));
        for (r, name) in tree.resources.iter().enumerate().filter(|(r, _)| used[*r] > node.max[*r]) {
            let over = (used[r] - node.max[r]) as f64 / 1000.0;
            let then = match node.over {
                quota::Over::Reclaim => "stopped with the time to save",
                quota::Over::LetEnd => "left to end",
            };
            out.push(format!("{}: {over} {name} above the new maximum, {then}", node.name));
        }
    }
    out
}
