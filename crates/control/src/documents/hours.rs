//! Release hours: bound at acceptance, caps of deadlines in the plan, and what is told of them.
//!
//! A job's hour is worked out once, from the recorded time of its acceptance, and stands in its record from the
//! accepting transaction on. Here it is only read. What moves it is an operator's move: a transaction of the leader's
//! that writes the job's record anew, with who, when and from what.

use crate::Node;
use crate::documents::{Doc, Documents, Kind, KindId, refused};
use crate::jobs::job::{Ending, Job, JobIndex};
use crate::leadership::election::SHARD;
use crate::store::shard::Shard;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use ::hours::{Around, Spec, TeamAt};
use document::{Content, Fault};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use wire::admin::{self, Whole};
use wire::api::{Catalog, JobSpec, Kind as Shape, Stage};
use wire::hours::{Ask, Line, List, Moved, Risk, State};
use wire::records::{self, EndHourRecord, HourRecord, JobRecord, MovedRecord, Record};

/// Ended jobs that are remembered for lists.
const ENDED: usize = 10_000;
/// Moves that wait for their transactions.
const MOVES: usize = 20_000;
/// Moves that one transaction takes while claims wait too.
const MOVES_A_TURN: usize = 4;
/// Jobs that an answer lists, and lines of what moves.
const LINES: usize = 5_000;
const MOVED_LINES: usize = 200;
/// Changes of state that are logged one by one in a turn; of more only the number.
const LOGGED: usize = 20;
/// Between the plan that a job is in and the start of its tasks: its record, and the way to the worker.
const START_S: f64 = 2.0;

/// The kind of document.
pub(crate) struct Hours;

impl Kind for Hours {
    type Content = Spec;
    type Edit = Whole<Spec>;
    type Ask = Ask;
    const ID: KindId = KindId::Hours;
    const BINDS: bool = true;

    fn doc(all: &Documents) -> &Doc<Hours> {
        &all.hours
    }
    fn doc_mut(all: &mut Documents) -> &mut Doc<Hours> {
        &mut all.hours
    }
    fn context(node: &Node) -> Around {
        let tree = node.quota_tree();
        let path = |team: &str| {
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
            path: path(&t.name).unwrap_or_default(),
        });
        let nodes = tree.iter().flat_map(|t| &t.nodes).map(|n| n.name.clone());
        Around {
            teams: Some(teams.collect()),
            nodes: nodes.collect(),
        }
    }
    fn edited(
        Whole::Set { spec }: &Whole<Spec>,
        _old: &Spec,
        _around: &Around,
    ) -> Result<Spec, Fault> {
        Ok(spec.clone())
    }
    fn set(spec: Spec) -> Whole<Spec> {
        Whole::Set { spec }
    }
    fn asked(node: &mut Node, conn: u64, ask: Ask) {
        match ask {
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

/// A job's hour in the leader's memory.
#[derive(Debug, Clone)]
pub(crate) struct Hour {
    pub rec: HourRecord,
    /// What was last said of it.
    answer_history: State,
    /// When its job's end was written.
    ended_ms: u64,
}

impl Hour {
    pub fn new(rec: HourRecord) -> Box<Hour> {
        Box::new(Hour {
            rec,
            answer_history: State::Due,
            ended_ms: 0,
        })
    }
}

struct Ended {
    job: String,
    team: String,
    class: String,
    hour: HourRecord,
    state: State,
    late_s: Option<f64>,
}

#[derive(Debug)]
pub(crate) struct Move {
    ix: JobIndex,
    job: String,
    due_ms: u64,
    version: u64,
    by: String,
    /// Who waits for it alone.
    conn: Option<u64>,
}

/// The hours of the shard's jobs.
#[derive(Default)]
pub(crate) struct Watch {
    /// Jobs that have not ended, by hour: those whose hour is yet to come, and the others.
    ahead: BTreeSet<(u64, JobIndex)>,
    past: BTreeSet<(u64, JobIndex)>,
    ended: VecDeque<Ended>,
    moves: VecDeque<Move>,
    /// Moves of jobs that have ended meanwhile.
    late: Vec<Move>,
    /// Operators whose moves are not recorded yet.
    waiting: BTreeSet<u64>,
}

impl Watch {
    pub fn add(&mut self, job: &Job, ix: JobIndex) {
        if let Some(hour) = &job.hour {
            self.ahead.insert((hour.rec.due_ms, ix));
        }
    }

    fn forget(&mut self, due_ms: u64, ix: JobIndex) {
        self.ahead.remove(&(due_ms, ix));
        self.past.remove(&(due_ms, ix));
    }

    /// A job's end is recorded.
    pub fn ended(&mut self, job: &Job, ix: JobIndex, stage: Stage) {
        let Some(hour) = &job.hour else { return };
        let due = hour.rec.due_ms;
        self.forget(due, ix);
        let late = (hour.ended_ms > due).then(|| (hour.ended_ms - due) as f64 / 1000.0);
        let (state, late_s) = match (stage, late) {
            (Stage::Cancelled, _) => (State::Withdrawn, None),
            (_, Some(late)) => (State::Missed, Some(late)),
            _ => (State::Kept, None),
        };
        match late_s {
            Some(late) => log::warn!("job {}: released {late:.1} s after its hour", job.id),
            None => log::info!("job {}: its hour is {}", job.id, word(state)),
        }
        if self.ended.len() >= ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended {
            job: job.id.clone(),
            team: job.team.clone(),
            class: job
                .spec
                .as_ref()
                .map(|s| s.class.clone())
                .unwrap_or_default(),
            hour: hour.rec.clone(),
            state,
            late_s,
        });
    }

    /// Operators who have not been answered.
    pub fn unanswered(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.waiting)
    }
}

fn word(state: State) -> String {
    match state {
        State::Due => "to be kept".into(),
        State::AtRisk(risk) => format!("at risk: {}", format!("{risk:?}").to_lowercase()),
        State::Missed => "missed".into(),
        State::Kept => "kept".into(),
        State::Withdrawn => "withdrawn".into(),
    }
}

/// What the end of a job with an hour says of it.
pub(crate) fn end_rec(job: &mut Job, ended_ms: u64) -> Option<EndHourRecord> {
    let hour = job.hour.as_mut()?;
    hour.ended_ms = ended_ms;
    Some(EndHourRecord {
        due_ms: hour.rec.due_ms,
        ended_ms,
    })
}

impl Node {
    /// The hour of a job that is accepted now, by the calendar in force. Services have none: they do not end.
    pub(crate) fn hour_for(&self, spec: &JobSpec, accepted_ms: u64) -> Option<HourRecord> {
        let good = self.shared.documents.hours.good.as_ref()?;
        if spec.kind == Shape::Service {
            return None;
        }
        let due = good
            .built
            .due(&spec.team, &spec.class, &spec.id, accepted_ms)?;
        Some(HourRecord {
            due_ms: due.at_ms,
            version: good.version,
            moved: None,
        })
    }

    /// Another quota tree is in force: studios that are nodes of it have other teams from now on.
    pub(crate) fn refit_hours(&mut self) {
        let Some(good) = self
            .shared
            .documents
            .hours
            .good
            .clone()
            .filter(|g| g.spec.follows_tree())
        else {
            return;
        };
        let around = Hours::context(self);
        match good.spec.fitting(&around).build(&around) {
            Ok(built) => {
                let good = crate::documents::Good {
                    built: Arc::new(built),
                    ..good
                };
                self.shared.documents.hours.good = Some(good);
            }
            Err(faults) => log::error!(
                "release hours with the new quota tree: {}; studios stay",
                faults[0]
            ),
        }
    }
}

/// In the plan.
impl Hour {
    /// Caps a planned job's deadline: the hour, less what start, fetch and saving take. One that can't be kept any
    /// more caps nothing: it must not stand before those that can. The planner itself leaves arrays time to fetch.
    pub fn cap(&self, job: plan::Job, spec: &JobSpec, catalog: &Catalog, wall: u64) -> plan::Job {
        let left = self.left(wall) - START_S - spec.save_s;
        let fetch = fetch_s(spec, catalog);
        if left - fetch < job.estimate {
            return job;
        }
        let own = if spec.kind == Shape::Gang {
            left - fetch
        } else {
            left
        };
        plan::Job {
            due: Some(job.due.map_or(own, |due| due.min(own))),
            ..job
        }
    }

    /// Seconds until the hour.
    fn left(&self, wall: u64) -> f64 {
        (self.rec.due_ms as f64 - wall as f64) / 1000.0
    }
}

/// The least time that the image takes.
fn fetch_s(spec: &JobSpec, catalog: &Catalog) -> f64 {
    let allowed = |name: &String| spec.types.as_ref().is_none_or(|list| list.contains(name));
    let rates = catalog
        .types
        .iter()
        .filter(|t| allowed(&t.name))
        .map(|t| t.fetch_gb_per_s);
    spec.image_gb / rates.fold(0.01, f64::max)
}

/// What a plan means for the jobs in it.
#[derive(Default)]
struct Seen {
    pending: u32,
    started: u32,
    /// A planned job of it.
    like: usize,
}

impl Node {
    /// Says what a plan means for hours: whether each can be kept with the places that its job has now.
    pub(crate) fn hours_planned(
        &mut self,
        input: &plan::Input,
        output: &plan::Output,
        jobs: &[JobIndex],
    ) {
        let wall = self.now.wall;
        let Some(shard) = &mut self.shard else { return };
        if shard.hours.ahead.is_empty() {
            return;
        }
        let Some(catalog) = &self.shared.catalog else {
            return;
        };
        let mut seen: BTreeMap<JobIndex, Seen> = BTreeMap::new();
        for (i, ix) in jobs.iter().enumerate() {
            if shard.job(*ix).is_some_and(|j| j.hour.is_some()) {
                let of = seen.entry(*ix).or_default();
                of.pending += input.jobs[i].pending;
                of.like = i;
            }
        }
        for start in &output.starts {
            if let Some(of) = jobs.get(start.job as usize).and_then(|ix| seen.get_mut(ix)) {
                of.started += start.count;
            }
        }
        let booting = shard
            .machines
            .iter()
            .flatten()
            .any(|m| !m.up && !m.deleting && !m.failed);
        let mut changes = Vec::new();
        for (ix, of) in seen {
            let Some(job) = shard.jobs.get(ix) else {
                continue;
            };
            let (Some(hour), Some(spec)) = (&job.hour, &job.spec) else {
                continue;
            };
            if hour.answer_history == State::Missed || job.is_ending() {
                continue;
            }
            let planned = &input.jobs[of.like];
            let places = job.claimed.len() as u32 + of.started;
            let later = of
                .pending
                .saturating_sub(of.started)
                .div_ceil(places.max(1));
            let rounds = if places == 0 { 1 } else { later + 1 };
            let needs = planned.estimate * f64::from(rounds)
                + fetch_s(spec, catalog)
                + START_S
                + spec.save_s;
            let risk = (hour.left(wall) < needs).then(|| {
                let cut = |z: &String| shard.zones.is_cut(z);
                let all_cut = || self.settings.cluster.zones.iter().all(cut);
                let full = |g: &u16| {
                    let group = &input.groups[usize::from(*g)];
                    let free = plan::Res {
                        cores: group.max.cores - group.used.cores,
                        gpus: group.max.gpus - group.used.gpus,
                        mem: group.max.mem - group.used.mem,
                    };
                    free.count(&planned.need, 1) == 0
                };
                let team = &input.teams[usize::from(planned.team)];
                if spec.zone.as_ref().map_or_else(all_cut, cut) {
                    Risk::Cut
                } else if places == 0
                    && (team.allows(&planned.need, 1) == 0
                        || (!input.groups.is_empty() && team.path.iter().any(full)))
                {
                    Risk::Quota
                } else if places > 0 && job.running == 0 {
                    Risk::Image
                } else if booting {
                    Risk::Boot
                } else {
                    Risk::Room
                }
            });
            let state = risk.map_or(State::Due, State::AtRisk);
            if state != hour.answer_history {
                changes.push((ix, state));
            }
        }
        shard.say_hours(changes, wall);
    }

    /// Hours that are past.
    pub(crate) fn hours_tick(&mut self) {
        let wall = self.now.wall;
        let Some(shard) = &mut self.shard else { return };
        let mut missed = Vec::new();
        while let Some(first) = shard
            .hours
            .ahead
            .first()
            .copied()
            .filter(|(due, _)| *due < wall)
        {
            shard.hours.ahead.pop_first();
            shard.hours.past.insert(first);
            // The end of what has ended meanwhile says whether its hour was kept.
            if shard.job(first.1).is_some_and(|j| !j.is_ending()) {
                missed.push((first.1, State::Missed));
            }
        }
        shard.say_hours(missed, wall);
        for hour in std::mem::take(&mut shard.hours.late) {
            let why = format!(
                "{}: it has ended meanwhile, or its record has no room for the move",
                hour.job
            );
            log::info!("hour of {why}");
            let Some(conn) = hour.conn else { continue };
            if let Some(shard) = &mut self.shard {
                shard.hours.waiting.remove(&conn);
            }
            self.deny_admin(conn, 409, refused(&why));
        }
    }
}

impl Shard {
    fn say_hours(&mut self, changes: Vec<(JobIndex, State)>, wall: u64) {
        let more = changes.len().saturating_sub(LOGGED);
        for (n, (ix, state)) in changes.into_iter().enumerate() {
            let Some(job) = self.jobs.get_mut(ix) else {
                continue;
            };
            let Some(hour) = &mut job.hour else { continue };
            hour.answer_history = state;
            if n < LOGGED {
                log::info!(
                    "job {}: its hour, {:.0} s from now, is {}",
                    job.id,
                    hour.left(wall),
                    word(state)
                );
            }
        }
        if more > 0 {
            log::info!("and {more} more hours");
        }
    }
}

/// What operators ask.
impl Node {
    fn list_hours(&mut self, conn: u64, studio: Option<&str>) {
        let calendar = self
            .shared
            .documents
            .hours
            .good
            .as_ref()
            .map(|g| g.built.clone())
            .unwrap_or_default();
        let Some(shard) = &self.shard else { return };
        let mut all: Vec<Line> = Vec::new();
        let mut more = 0;
        let mut line = |job: &str,
                        team: &str,
                        class: &str,
                        hour: &HourRecord,
                        state: State,
                        late_s: Option<f64>| {
            let of = calendar.studio_of(team);
            if studio.is_some() && studio != of {
                return;
            }
            if all.len() >= LINES {
                more += 1;
                return;
            }
            all.push(Line {
                job: job.to_owned(),
                studio: of.map(str::to_owned),
                team: team.to_owned(),
                class: class.to_owned(),
                due_ms: hour.due_ms,
                due: calendar.local(of.unwrap_or_default(), hour.due_ms),
                state,
                late_s,
                moved: hour.moved.clone(),
            });
        };
        for (due, ix) in shard.hours.past.iter().chain(&shard.hours.ahead) {
            let Some(job) = shard.job(*ix) else { continue };
            let (Some(hour), Some(spec)) = (&job.hour, &job.spec) else {
                continue;
            };
            let late = (hour.answer_history == State::Missed)
                .then(|| (self.now.wall as f64 - *due as f64) / 1000.0);
            line(
                &job.id,
                &job.team,
                &spec.class,
                &hour.rec,
                hour.answer_history,
                late,
            );
        }
        for e in shard.hours.ended.iter().rev() {
            line(&e.job, &e.team, &e.class, &e.hour, e.state, e.late_s);
        }
        let answer = List { lines: all, more };
        self.respond(conn, 200, admin::encode(&answer), None);
    }

    fn move_hour(&mut self, conn: u64, id: &str, to: &str, by: &str) {
        let calendar = self
            .shared
            .documents
            .hours
            .good
            .as_ref()
            .map(|g| (g.built.clone(), g.version));
        let (calendar, version) = calendar.unwrap_or_default();
        let Some(shard) = &mut self.shard else { return };
        let found = shard
            .jobs
            .index_of(id)
            .and_then(|ix| Some((ix, shard.job(ix)?)));
        let Some((ix, job)) = found.filter(|(_, j)| j.spec.is_some()) else {
            return self.deny_admin(
                conn,
                404,
                refused(&format!("no job {id:?} that has not ended")),
            );
        };
        if job.is_ending() || job.kind() == Shape::Service {
            return self.deny_admin(
                conn,
                409,
                refused(&format!("{id}: it has ended, or never does")),
            );
        }
        let studio = calendar.studio_of(&job.team).unwrap_or_default();
        let due_ms = match calendar.moment(studio, to) {
            Ok(due) => due,
            Err(why) => return self.deny_admin(conn, 422, refused(&why)),
        };
        let line = moved_line(job, due_ms, &calendar);
        if job.hour.as_ref().is_some_and(|h| h.rec.due_ms == due_ms) {
            // A repeat after a lost answer, or nothing to do.
            let answer = Moved {
                lines: vec![format!(
                    "{id}: stands at {}",
                    calendar.local(studio, due_ms)
                )],
                ..Moved::default()
            };
            return self.respond(conn, 200, admin::encode(&answer), None);
        }
        if shard.hours.moves.len() >= MOVES {
            return self.deny_admin(conn, 503, refused("too many moves are under way"));
        }
        log::info!("hour of {line} by {by:?} is to be written");
        shard.hours.waiting.insert(conn);
        let by = short(by);
        shard.hours.moves.push_back(Move {
            ix,
            job: id.to_owned(),
            due_ms,
            version,
            by,
            conn: Some(conn),
        });
        self.to_write = true;
    }

    fn reagree(&mut self, conn: u64, studio: &str, by: &str, dry_run: bool) {
        let Some(good) = self.shared.documents.hours.good.clone() else {
            return self.deny_admin(conn, 404, refused("no calendar is in force"));
        };
        let calendar = &good.built;
        if !calendar.studios().contains(&studio) {
            return self.deny_admin(
                conn,
                404,
                refused(&format!("{studio:?} is no studio of the calendar")),
            );
        }
        let Some(shard) = &mut self.shard else { return };
        let mut moves: Vec<Move> = Vec::new();
        let mut lines = Vec::new();
        for (ix, job) in shard.jobs.iter().enumerate() {
            let Some(job) = job.as_ref().filter(|j| j.ending == Ending::No) else {
                continue;
            };
            let Some(spec) = job.spec.as_ref().filter(|s| s.kind != Shape::Service) else {
                continue;
            };
            if calendar.studio_of(&job.team) != Some(studio) {
                continue;
            }
            let Some(due) = calendar.due(&job.team, &spec.class, &job.id, job.at_ms) else {
                continue;
            };
            if job.hour.as_ref().is_some_and(|h| h.rec.due_ms == due.at_ms) {
                continue;
            }
            if lines.len() < MOVED_LINES {
                lines.push(moved_line(job, due.at_ms, calendar));
            }
            let (job, by, version) = (job.id.clone(), short(by), good.version);
            moves.push(Move {
                ix,
                job,
                due_ms: due.at_ms,
                version,
                by,
                conn: None,
            });
        }
        let jobs = moves.len();
        if !dry_run {
            if shard.hours.moves.len() + jobs > MOVES {
                return self.deny_admin(conn, 503, refused("too many moves are under way"));
            }
            log::info!("hours of {jobs} jobs of {studio} by {by:?} are to be written");
            shard.hours.moves.extend(moves);
            self.to_write = true;
        }
        let answer = Moved {
            dry_run,
            jobs,
            lines,
        };
        self.respond(conn, 200, admin::encode(&answer), None);
    }
}

fn short(by: &str) -> String {
    by.chars()
        .filter(|c| !c.is_control())
        .take(document::SHORT)
        .collect()
}

fn moved_line(job: &Job, due_ms: u64, calendar: &::hours::Calendar) -> String {
    let studio = calendar.studio_of(&job.team).unwrap_or_default();
    let local = |ms| calendar.local(studio, ms);
    let from = job
        .hour
        .as_ref()
        .map_or_else(|| "none".to_owned(), |h| local(h.rec.due_ms));
    let before = job.hour.as_ref().and_then(|h| h.rec.moved.as_ref());
    let before = before
        .map(|m| format!(" (moved by {} before)", m.by))
        .unwrap_or_default();
    format!("{}: from {from} to {}{before}", job.id, local(due_ms))
}

/// Moves on their way.
impl TransactionDraft {
    /// Writes the records of jobs whose hours move. Their ends, which come first, are in nobody's way.
    pub fn moves(
        &mut self,
        shard: &mut Shard,
        wall: u64,
        value: usize,
        room: impl Fn(&TransactionDraft) -> bool,
    ) {
        let most = if shard.claim_log.fresh.is_empty() {
            usize::MAX
        } else {
            MOVES_A_TURN
        };
        for _ in 0..most {
            if !room(self) {
                return;
            }
            let Some(hour) = shard.hours.moves.pop_front() else {
                return;
            };
            let job = shard
                .job(hour.ix)
                .filter(|j| j.id == hour.job && j.ending == Ending::No);
            let Some((job, spec)) = job.and_then(|j| Some((j, j.spec.as_ref()?))) else {
                shard.hours.late.push(hour);
                continue;
            };
            let key = records::live_key(&job.id);
            if self.writes_to(&key) {
                // Moved twice: the second follows when the first is in place.
                shard.hours.moves.push_front(hour);
                return;
            }
            let rec = JobRecord {
                hour: Some(hour.rec(job, wall)),
                county: job.county.clone(),
                ..JobRecord::new((**spec).clone(), job.at_ms, SHARD)
            };
            // Counted in another form by the service, which takes somewhat more.
            if wire::encode(&rec).len() as f64 * 1.3 > value as f64 {
                shard.hours.late.push(hour);
                continue;
            }
            self.put(key, job.version, Record::Job(Box::new(rec)));
            self.pending_writes.push(PendingWrite::Hour(hour, wall));
        }
    }
}

impl Move {
    fn rec(&self, job: &Job, at_ms: u64) -> HourRecord {
        let from_ms = job.hour.as_ref().map_or(0, |h| h.rec.due_ms);
        let moved = MovedRecord {
            by: self.by.clone(),
            at_ms,
            from_ms,
        };
        HourRecord {
            due_ms: self.due_ms,
            version: self.version,
            moved: Some(moved),
        }
    }
}

impl Node {
    /// The record of a moved hour is in place at this revision.
    pub(crate) fn hour_moved(&mut self, hour: Move, wall: u64, revision: u64) {
        let Some(shard) = &mut self.shard else { return };
        hour.conn.iter().for_each(|c| {
            shard.hours.waiting.remove(c);
        });
        let Some(job) = shard.job_mut(hour.ix) else {
            return;
        };
        let rec = hour.rec(job, wall);
        let from = rec.moved.as_ref().map_or(0, |m| m.from_ms);
        job.version = revision;
        job.hour = Some(Hour::new(rec));
        let job = shard.jobs.get(hour.ix);
        shard.hours.forget(from, hour.ix);
        if let Some(job) = job {
            shard.hours.add(job, hour.ix);
        }
        shard.plan_triggers.request();
        let line = format!(
            "{}: from {from} to {} ms by {:?}",
            hour.job, hour.due_ms, hour.by
        );
        log::info!("hour of {line} is moved");
        let answer = Moved {
            dry_run: false,
            jobs: 1,
            lines: vec![line],
        };
        hour.conn
            .into_iter()
            .for_each(|conn| self.respond(conn, 200, admin::encode(&answer), None));
    }

    /// A term of leadership is over: whether an hour was moved is for the job's record to say.
    pub(crate) fn hours_let_go(&mut self, mut shard: Shard) -> Shard {
        for conn in shard.hours.unanswered() {
            self.deny_admin(
                conn,
                503,
                refused("the owner changed; the list tells whether the hour was moved"),
            );
        }
        shard
    }
}
