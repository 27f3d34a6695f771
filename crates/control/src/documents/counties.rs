//! Counties: the document in force, and the county that a job is bound to when it is accepted.

use crate::documents::county_counts::CountsUnavailable;
use crate::documents::{Document, Documents, Kind, KindId, refusal};
use crate::{Node, documents::quotas::Quota};
use county::{Cell, Counties, Job, Known, OTHER, Spec, Unbound, Unread};
use document::Fault;
use std::collections::BTreeMap;
use std::sync::Arc;
use wire::admin::{self, Whole};
use wire::api::JobSpec;
use wire::records::CountyRecord;
use wire::tally::{Counts, Line, Question};

/// The counties and their rules, as a kind of document.
pub(crate) struct County;

impl Kind for County {
    type Content = Spec;
    type Edit = Whole<Spec>;
    type Query = Question;
    const ID: KindId = KindId::Counties;
    const GUARDS_ACCEPTANCE: bool = true;

    fn document(all: &Documents) -> &Document<Self> {
        &all.counties
    }
    fn document_mut(all: &mut Documents) -> &mut Document<Self> {
        &mut all.counties
    }
    /// Without the nodes of the quota tree, which change independently: only a change of the counties is checked
    /// against them.
    fn context(node: &Node) -> Known {
        let cluster = &node.settings.cluster;
        let teams = cluster.teams.iter().map(|t| t.name.clone()).collect();
        Known {
            teams,
            zones: cluster.zones.iter().cloned().collect(),
            desks: None,
        }
    }
    fn apply_edit(edit: &Whole<Spec>, _: &Spec, _: &Known) -> Result<Spec, Fault> {
        let Whole::Set { spec } = edit;
        Ok(spec.clone())
    }
    fn replacement(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn check_change(node: &Node, new: &Counties) -> Result<(), Vec<Fault>> {
        let faults = node.check_against_state(new);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
    fn consequences(node: &Node, new: &Arc<Counties>) -> Vec<String> {
        let live = node.live_jobs_by_county();
        let closed = new.spec().counties.iter().filter(|c| c.closed);
        let bound = closed.filter_map(|c| Some((c, live.get(&c.id)?)));
        bound
            .map(|(c, n)| format!("{}: {n} live jobs stay bound to it", c.id))
            .collect()
    }
    fn answer_query(node: &mut Node, conn: u64, query: Question) {
        match query {
            Question::Tally { county } => node.counts_queried(conn, county.as_deref()),
            Question::Audit { id } => node.audit_queried(conn, &id),
        }
    }
}

fn unbound_message(unbound: Unbound) -> &'static str {
    match unbound {
        Unbound::NoCounty => "no county: no rule matches the job",
        Unbound::ForeignZone => "the job requests a zone that its county may not use",
    }
}

impl Node {
    /// The county of a job that is accepted now; `None` if no counties are configured.
    pub(crate) fn county_for(&self, spec: &JobSpec) -> Result<Option<CountyRecord>, &'static str> {
        let Some(active) = &self.shared.documents.counties.active else {
            return Ok(None);
        };
        if active.spec.counties.is_empty() {
            return Ok(None);
        }
        let tree = Quota::document(&self.shared.documents)
            .active
            .as_ref()
            .map(|active| &active.built);
        let path = tree
            .and_then(|tree| Some(tree.path(tree.team(&spec.team)?)))
            .unwrap_or_default();
        let desks: Vec<&str> = tree
            .iter()
            .flat_map(|tree| path.iter().map(|n| tree.nodes[n.0 as usize].name.as_str()))
            .collect();
        let job = Job {
            id: &spec.id,
            team: &spec.team,
            desks: &desks,
            class: &spec.class,
            zone: spec.zone.as_deref(),
            image: &spec.image,
        };
        let bound = active.built.bind(&job).map_err(unbound_message)?;
        let (county, version) = (bound.county, active.version);
        Ok(Some(CountyRecord {
            county,
            version,
            alone: bound.alone,
            zones: bound.zones,
        }))
    }

    fn live_jobs_by_county(&self) -> BTreeMap<String, u64> {
        let mut live: BTreeMap<String, u64> = BTreeMap::new();
        let jobs = self
            .shard
            .iter()
            .flat_map(|shard| shard.jobs.iter().flatten())
            .filter(|job| !job.is_end_recorded());
        for county in jobs.filter_map(|job| job.county.as_ref()) {
            *live.entry(county.county.clone()).or_default() += 1;
        }
        live
    }

    /// Faults of a new document in the current state: counties that it drops although they are open or have live jobs,
    /// and nodes that the quota tree does not have.
    fn check_against_state(&self, new: &Counties) -> Vec<Fault> {
        let counties = &self.shared.documents.counties;
        let mut faults = Vec::new();
        if let Some(old) = &counties.active {
            faults = county::lost(&old.spec, new.spec(), &self.live_jobs_by_county());
            // Until a county was closed, jobs may have been bound to it whose acceptance this leader has not seen yet.
            let seen_revision = self
                .shard
                .as_ref()
                .map_or(0, |shard| shard.live_watch.revision());
            let drops_county = old
                .spec
                .counties
                .iter()
                .any(|c| new.county(&c.id).is_none());
            if drops_county && seen_revision < counties.record_version {
                let message = "jobs accepted under the version in force were not all seen yet; retry in a second";
                faults.push(Fault::whole("county", message));
            }
        }
        let tree = Quota::document(&self.shared.documents).active.as_ref();
        let is_known =
            |desk: &String| tree.is_some_and(|t| t.built.nodes.iter().any(|n| n.name == *desk));
        for (c, r, desk) in new.desks().filter(|(_, _, desk)| !is_known(desk)) {
            let path = format!("county {c:?}.rule[{r}].desks");
            faults.push(Fault::whole(
                &path,
                format!("no node {desk:?} in the quota tree"),
            ));
        }
        faults.truncate(50);
        faults
    }

    fn counts_queried(&mut self, conn: u64, county: Option<&str>) {
        let Some(shard) = &mut self.shard else { return };
        let (revision, rows) = match shard.counts_by_county() {
            Ok(counts) => counts,
            Err(why) => return self.refuse_operator(conn, 503, refusal(unavailable_message(why))),
        };
        let active = self.shared.documents.counties.active.as_ref();
        let name = |id: &str| active.and_then(|active| active.built.county(id)?.name.clone());
        let is_wanted = |cell: &Cell| county.is_none_or(|c| c == cell.county);
        let is_known =
            |c: &str| c == OTHER || active.is_some_and(|active| active.built.county(c).is_some());
        let lines: Vec<Line> = rows
            .into_iter()
            .filter(|(cell, _)| is_wanted(cell))
            .map(|(cell, row)| Line {
                name: name(&cell.county),
                county: cell.county,
                class: cell.class,
                accepted: row.live + row.ended.done + row.ended.cancelled,
                live: row.live,
                done: row.ended.done,
                cancelled: row.ended.cancelled,
                done_tasks: row.ended.tasks,
            })
            .collect();
        if let Some(c) = county.filter(|c| lines.is_empty() && !is_known(c)) {
            return self.refuse_operator(conn, 404, refusal(&format!("no county {c:?}")));
        }
        self.respond(conn, 200, admin::encode(&Counts { revision, lines }), None);
    }

    fn audit_queried(&mut self, conn: u64, id: &str) {
        let Some(shard) = &mut self.shard else { return };
        match shard.audit(id) {
            Ok(Some(progress)) => self.respond(conn, 200, admin::encode(&progress), None),
            Ok(None) => self.refuse_operator(conn, 409, refusal("another audit is under way")),
            Err(why) => self.refuse_operator(conn, 503, refusal(unavailable_message(why))),
        }
    }
}

fn unavailable_message(why: CountsUnavailable) -> &'static str {
    match why {
        CountsUnavailable::Unread(Unread::NotYet) => {
            "counts are held back: their records are being read"
        }
        CountsUnavailable::Unread(Unread::Bad) => {
            "counts are held back: a record of them can't be understood"
        }
        CountsUnavailable::Behind => "counts are held back: acceptances were not seen far enough",
    }
}
