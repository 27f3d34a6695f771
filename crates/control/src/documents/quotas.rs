//! The quota tree as a kind of document. Its bounds are recorded as the shard's allotment before any task starts under
//! them, and a new version is written in one transaction with the allotment that refers to it.

use crate::documents::{Document, Documents, Kind, KindId};
use crate::scheduling::quota_usage::QuotaUsage;
use crate::store::shard::Shard;
use crate::store::transaction::TransactionDraft;
use crate::{Node, documents};
use document::{Fault, Head};
use quota::{QuotaState, Spec, Tree, edit};
use std::collections::BTreeSet;
use std::sync::Arc;
use wire::admin::{self, Edit, Question};
use wire::records::{AllotmentRecord, Record};
use wire::tree::HeadRecord;

/// The quota tree, as a kind of document.
pub(crate) struct Quota;

/// A validated version of the quota tree.
pub(crate) type ActiveTree = documents::ActiveVersion<Spec>;

impl Kind for Quota {
    type Content = Spec;
    type Edit = Edit;
    type Query = Question;
    const ID: KindId = KindId::Quota;
    /// Each job is checked against its team's path, and studios and counties may refer to nodes of the tree.
    const GUARDS_ACCEPTANCE: bool = true;
    /// The head, and the allotment.
    const HEAD_WRITES: usize = 2;

    fn document(all: &Documents) -> &Document<Quota> {
        &all.quota
    }
    fn document_mut(all: &mut Documents) -> &mut Document<Quota> {
        &mut all.quota
    }
    fn context(node: &Node) -> Vec<quota::Team> {
        node.settings.quota_teams()
    }
    fn apply_edit(edit: &Edit, old: &Spec, teams: &Vec<quota::Team>) -> Result<Spec, Fault> {
        match edit {
            Edit::Set { spec } => Ok(spec.clone()),
            Edit::Move { name, to } => edit::move_subtree(old, teams, name, to.as_deref()),
            Edit::Shrink {
                name,
                guarantee,
                max,
                scale,
            } => edit::shrink(old, teams, name, guarantee, max, *scale),
        }
    }
    fn replacement(spec: Spec) -> Edit {
        Edit::Set { spec }
    }
    fn answer_query(node: &mut Node, conn: u64, Question::Why { team }: Question) {
        let live = node
            .active_or_default_tree()
            .and_then(|tree| node.live_usage(&tree));
        let found = live.and_then(|mut live| live.tree().team(&team).map(|t| live.explain_wait(t)));
        match found {
            Some(why) => node.respond(conn, 200, admin::encode(&why), None),
            None => {
                let why = format!("no team {team:?} in the settings");
                node.refuse_operator(conn, 404, documents::refusal(&why))
            }
        }
    }
    /// The tree with its current usage.
    fn show(node: &Node) -> Vec<u8> {
        let document = &node.shared.documents.quota;
        let (version, spec) = document
            .active
            .as_ref()
            .map_or((0, Spec::default()), |active| {
                (active.version, (*active.spec).clone())
            });
        let live = node
            .active_or_default_tree()
            .and_then(|tree| node.live_usage(&tree));
        admin::encode(&admin::Tree {
            version,
            spec,
            nodes: live.as_ref().map(QuotaState::nodes).unwrap_or_default(),
            teams: live.as_ref().map(QuotaState::teams).unwrap_or_default(),
            history: document.head.history.clone(),
            refused: document.rejection(),
        })
    }
    fn consequences(node: &Node, tree: &Arc<Tree>) -> Vec<String> {
        node.live_usage(tree)
            .map(|live| nodes_above_maximum(&live))
            .unwrap_or_default()
    }
    fn version_activated(node: &mut Node) {
        node.apply_active_tree();
    }
    fn may_write_head(shard: &Shard) -> bool {
        shard.allotment.is_settled()
    }
    /// Claims that were planned under the old bounds must not be recorded with the new ones.
    fn before_head_write(node: &mut Node) {
        node.drop_unrecorded_claims();
    }
    /// Writes the allotment that refers to this version.
    fn write_with_head(draft: &mut TransactionDraft, shard: &mut Shard, version: u64) {
        let Some(allotment) = shard.allotment.current().cloned() else {
            return;
        };
        let allotment = AllotmentRecord {
            tree: version,
            ..allotment
        };
        shard.allotment.write(draft, allotment);
    }
    fn record(head: Head) -> Record {
        Record::Quota(HeadRecord { quota: head })
    }
}

/// Nodes whose usage is above their maximum, and what happens to the excess, a line each.
fn nodes_above_maximum(live: &QuotaState) -> Vec<String> {
    let tree = live.tree();
    let mut lines = Vec::new();
    for (i, node) in tree.nodes.iter().enumerate() {
        let used = live.used(quota::NodeId(i as u32));
        for (r, name) in tree
            .resources
            .iter()
            .enumerate()
            .filter(|(r, _)| used[*r] > node.max[*r])
        {
            let excess = (used[r] - node.max[r]) as f64 / 1000.0;
            let consequence = match node.over {
                quota::Over::Reclaim => "stopped with time to save",
                quota::Over::LetEnd => "left to finish",
            };
            lines.push(format!(
                "{}: {excess} {name} above the new maximum, {consequence}",
                node.name
            ));
        }
    }
    lines
}

impl Node {
    /// The usage of a tree at this moment.
    fn live_usage(&self, tree: &Arc<Tree>) -> Option<QuotaState> {
        Some(QuotaUsage::new(self.shard.as_ref()?, tree.clone()).live)
    }

    /// The tree in force, or a tree of the teams alone if there is none.
    fn active_or_default_tree(&self) -> Option<Arc<Tree>> {
        match &self.shared.documents.quota.active {
            Some(active) => Some(active.built.clone()),
            None => Tree::build(&Spec::default(), &self.settings.quota_teams())
                .ok()
                .map(Arc::new),
        }
    }

    /// On the leader, has the bounds of a new version recorded before any task starts under them.
    pub(crate) fn apply_active_tree(&mut self) {
        self.rebuild_calendar();
        let whole = self.whole_allotment();
        let Some(shard) = self.shard.as_mut().filter(|shard| shard.loaded) else {
            return;
        };
        if shard.allotment.is_settled_on(&whole) {
            return;
        }
        shard.allotment.request(whole);
        shard.plan_triggers.request();
        self.may_have_changes = true;
        // Claims that were planned under the old bounds and are not recorded yet are planned again.
        self.drop_unrecorded_claims();
    }

    /// Drops all claims that are neither being recorded nor sent to their machine.
    pub(crate) fn drop_unrecorded_claims(&mut self) {
        let Some(shard) = &mut self.shard else { return };
        let mut jobs = BTreeSet::new();
        let unrecorded: Vec<_> = shard.claim_log.unrecorded_claims.drain(..).collect();
        for id in unrecorded {
            let is_unsent = shard.claim_mut(&id).is_some_and(|c| {
                c.state == crate::agents::machine::ClaimState::New && !c.is_sent()
            });
            if is_unsent {
                shard.drop_claim(&id);
                jobs.insert(id.job);
            } else {
                shard.claim_log.unrecorded_claims.push_back(id);
            }
        }
        for job_index in jobs {
            self.job_changed(job_index);
        }
    }

    /// Whether an amount exceeds the maximum of any node on a team's path.
    pub(crate) fn exceeds_quota_tree(&self, team: &str, all: &quota::Amount) -> bool {
        let Some(active) = &self.shared.documents.quota.active else {
            return false;
        };
        let tree = &active.built;
        let path = tree.team(team).map(|t| tree.path(t)).unwrap_or_default();
        let exceeds_max = |n: &quota::NodeId| {
            let max = &tree.nodes[n.0 as usize].max;
            all.iter().zip(max).any(|(need, max)| need > max)
        };
        path.iter().any(exceeds_max)
    }
}
