//! Release hours: the time by which a job should be done, by the calendar of its studio. An hour is bound when its job
//! is accepted, caps the job's deadline in the plan, and is reported to operators.
//!
//! A job's hour is computed once, from the recorded time of its acceptance, and is part of the job's record from the
//! accepting transaction on. Only an operator can move it: the leader then writes the job's record again, with the
//! operator's name, the time and the hour before.

mod listing;
mod moving;
mod risk;
mod watch;

pub(crate) use moving::HourMove;
pub(crate) use watch::{ReleaseHour, ReleaseHourWatch, record_end_of_hour};

use crate::Node;
use crate::documents::{ActiveVersion, Document, Documents, Kind, KindId};
use ::hours::{Around, Spec, TeamAt};
use document::{Content, Fault};
use std::sync::Arc;
use wire::admin::Whole;
use wire::api::{JobSpec, Kind as JobKind};
use wire::hours::Ask;
use wire::records::HourRecord;

/// The calendar of release hours, as a kind of document.
pub(crate) struct Hours;

impl Kind for Hours {
    type Content = Spec;
    type Edit = Whole<Spec>;
    type Query = Ask;
    const ID: KindId = KindId::Hours;
    const GUARDS_ACCEPTANCE: bool = true;

    fn document(all: &Documents) -> &Document<Hours> {
        &all.hours
    }
    fn document_mut(all: &mut Documents) -> &mut Document<Hours> {
        &mut all.hours
    }
    fn context(node: &Node) -> Around {
        let tree = node.quota_tree();
        let node_path = |team: &str| {
            let tree = tree.as_ref()?;
            let path = tree.path(tree.team(team)?);
            Some(
                path.into_iter()
                    .map(|n| tree.nodes[n.0 as usize].name.clone())
                    .collect(),
            )
        };
        let teams = node.settings.cluster.teams.iter();
        let teams = teams.map(|t| TeamAt {
            name: t.name.clone(),
            path: node_path(&t.name).unwrap_or_default(),
        });
        let nodes = tree.iter().flat_map(|t| &t.nodes).map(|n| n.name.clone());
        Around {
            teams: Some(teams.collect()),
            nodes: nodes.collect(),
        }
    }
    fn apply_edit(
        Whole::Set { spec }: &Whole<Spec>,
        _old: &Spec,
        _around: &Around,
    ) -> Result<Spec, Fault> {
        Ok(spec.clone())
    }
    fn replacement(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn answer_query(node: &mut Node, conn: u64, query: Ask) {
        match query {
            Ask::List { studio } => node.list_hours(conn, studio.as_deref()),
            Ask::Move { job, to, by } => node.move_hour(conn, &job, &to, &by),
            Ask::Reagree {
                studio,
                by,
                dry_run,
            } => node.reagree(conn, &studio, &by, dry_run),
        }
    }
}

impl Node {
    /// The hour of a job that is accepted now, by the calendar in force. Services have none: they do not end.
    pub(crate) fn hour_for(&self, spec: &JobSpec, accepted_ms: u64) -> Option<HourRecord> {
        let active = self.shared.documents.hours.active.as_ref()?;
        if spec.kind == JobKind::Service {
            return None;
        }
        let due = active
            .built
            .due(&spec.team, &spec.class, &spec.id, accepted_ms)?;
        Some(HourRecord {
            due_ms: due.at_ms,
            version: active.version,
            moved: None,
        })
    }

    /// Builds the calendar again for a new quota tree: studios that refer to its nodes may have other teams now.
    pub(crate) fn rebuild_calendar(&mut self) {
        let Some(active) = self
            .shared
            .documents
            .hours
            .active
            .clone()
            .filter(|active| active.spec.follows_tree())
        else {
            return;
        };
        let around = Hours::context(self);
        match active.spec.fitting(&around).build(&around) {
            Ok(built) => {
                let active = ActiveVersion {
                    built: Arc::new(built),
                    ..active
                };
                self.shared.documents.hours.active = Some(active);
            }
            Err(faults) => log::error!(
                "release hours do not fit the new quota tree: {}; studios keep their teams",
                faults[0]
            ),
        }
    }
}
