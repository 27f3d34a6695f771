//! Moves of hours: an operator's move of one job, or of all that a studio agrees on anew, until they are recorded.

use crate::Node;
use crate::documents::hours::Hour;
use crate::documents::refused;
use crate::jobs::job::{Ending, Job, JobIndex};
use crate::leadership::election::SHARD;
use crate::store::shard::Shard;
use crate::store::transaction::{PendingWrite, TransactionDraft};
use ::hours::Calendar;
use std::fmt;
use wire::admin;
use wire::api::Kind as JobKind;
use wire::hours::Moved;
use wire::records::{self, HourRecord, JobRecord, MovedRecord, Record};

/// Moves that wait for their transactions.
const MAX_WAITING_MOVES: usize = 20_000;
/// Moves that one transaction takes while claims wait too.
const MOVES_PER_TRANSACTION: usize = 4;
/// Lines of what moves that an answer lists.
const MAX_MOVED_LINES: usize = 200;
/// The state service counts a record in another form than ours, which takes somewhat more.
const STATE_SIZE_FACTOR: f64 = 1.3;

#[derive(Debug)]
pub(crate) struct HourMove {
    ix: JobIndex,
    pub(super) job: String,
    due_ms: u64,
    version: u64,
    by: String,
    /// Who waits for it alone.
    pub(super) conn: Option<u64>,
}

/// Why an hour is not moved.
enum MoveError {
    UnknownJob(String),
    /// The job has ended or is ending, or is a service.
    NotMovable(String),
    NoSuchTime(String),
    NoCalendar,
    UnknownStudio(String),
    TooManyMoves,
}

impl MoveError {
    /// The status of its answer.
    fn status(&self) -> u16 {
        match self {
            MoveError::UnknownJob(_) | MoveError::NoCalendar | MoveError::UnknownStudio(_) => 404,
            MoveError::NotMovable(_) => 409,
            MoveError::NoSuchTime(_) => 422,
            MoveError::TooManyMoves => 503,
        }
    }
}

impl fmt::Display for MoveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MoveError::UnknownJob(job) => write!(f, "no job {job:?} that has not ended"),
            MoveError::NotMovable(job) => write!(f, "{job}: it has ended, or never does"),
            MoveError::NoSuchTime(why) => f.write_str(why),
            MoveError::NoCalendar => f.write_str("no calendar is in force"),
            MoveError::UnknownStudio(studio) => {
                write!(f, "{studio:?} is no studio of the calendar")
            }
            MoveError::TooManyMoves => f.write_str("too many moves are under way"),
        }
    }
}

/// What operators ask.
impl Node {
    /// Moves the hour of one job; the operator is answered once that is recorded.
    pub(super) fn move_hour(&mut self, conn: u64, id: &str, to: &str, by: &str) {
        match self.begin_move(conn, id, to, by) {
            Ok(None) => {}
            Ok(Some(answer)) => self.respond(conn, 200, admin::encode(&answer), None),
            Err(error) => self.deny_move(conn, &error),
        }
    }

    fn deny_move(&mut self, conn: u64, error: &MoveError) {
        self.deny_admin(conn, error.status(), refused(&error.to_string()));
    }

    /// Puts a job's move among those that wait; what to answer if its hour stands there already.
    fn begin_move(
        &mut self,
        conn: u64,
        id: &str,
        to: &str,
        by: &str,
    ) -> Result<Option<Moved>, MoveError> {
        let active = self.shared.documents.hours.active.as_ref();
        let (calendar, version) = active
            .map(|active| (active.built.clone(), active.version))
            .unwrap_or_default();
        let Some(shard) = &mut self.shard else {
            return Ok(None);
        };
        let (ix, job) = movable_job(shard, id)?;
        let studio = calendar.studio_of(&job.team).unwrap_or_default();
        let due_ms = calendar.moment(studio, to).map_err(MoveError::NoSuchTime)?;
        let line = moved_line(job, due_ms, &calendar);
        if is_due_at(job, due_ms) {
            // A repeat after a lost answer, or nothing to do.
            let line = format!("{id}: stands at {}", calendar.local(studio, due_ms));
            return Ok(Some(Moved {
                lines: vec![line],
                ..Moved::default()
            }));
        }
        if shard.hours.moves.len() >= MAX_WAITING_MOVES {
            return Err(MoveError::TooManyMoves);
        }
        log::info!("hour of {line} by {by:?} is to be written");
        shard.hours.waiting_operators.insert(conn);
        shard.hours.moves.push_back(HourMove {
            ix,
            job: id.to_owned(),
            due_ms,
            version,
            by: sanitized_name(by),
            conn: Some(conn),
        });
        self.to_write = true;
        Ok(None)
    }

    /// Moves the hours of a studio's jobs to what the calendar in force says.
    pub(super) fn reagree(&mut self, conn: u64, studio: &str, by: &str, dry_run: bool) {
        match self.begin_reagreement(studio, by, dry_run) {
            Ok(None) => {}
            Ok(Some(answer)) => self.respond(conn, 200, admin::encode(&answer), None),
            Err(error) => self.deny_move(conn, &error),
        }
    }

    fn begin_reagreement(
        &mut self,
        studio: &str,
        by: &str,
        dry_run: bool,
    ) -> Result<Option<Moved>, MoveError> {
        let active = self.shared.documents.hours.active.clone();
        let active = active.ok_or(MoveError::NoCalendar)?;
        if !active.built.studios().contains(&studio) {
            return Err(MoveError::UnknownStudio(studio.to_owned()));
        }
        let Some(shard) = &mut self.shard else {
            return Ok(None);
        };
        let mut moves: Vec<HourMove> = Vec::new();
        let mut lines = Vec::new();
        for (ix, job, due_ms) in jobs_to_reagree(shard, &active.built, studio) {
            if lines.len() < MAX_MOVED_LINES {
                lines.push(moved_line(job, due_ms, &active.built));
            }
            moves.push(HourMove {
                ix,
                job: job.id.clone(),
                due_ms,
                version: active.version,
                by: sanitized_name(by),
                conn: None,
            });
        }
        let jobs = moves.len();
        if !dry_run {
            if shard.hours.moves.len() + jobs > MAX_WAITING_MOVES {
                return Err(MoveError::TooManyMoves);
            }
            log::info!("hours of {jobs} jobs of {studio} by {by:?} are to be written");
            shard.hours.moves.extend(moves);
            self.to_write = true;
        }
        Ok(Some(Moved {
            dry_run,
            jobs,
            lines,
        }))
    }
}

/// The job with this id, if its hour can be moved.
fn movable_job<'a>(shard: &'a Shard, id: &str) -> Result<(JobIndex, &'a Job), MoveError> {
    let found = shard
        .jobs
        .index_of(id)
        .and_then(|ix| Some((ix, shard.job(ix)?)));
    let (ix, job) = found
        .filter(|(_, job)| job.spec.is_some())
        .ok_or_else(|| MoveError::UnknownJob(id.to_owned()))?;
    if job.is_ending() || job.kind() == JobKind::Service {
        return Err(MoveError::NotMovable(id.to_owned()));
    }
    Ok((ix, job))
}

/// A studio's jobs whose hours are other than the calendar says now, with what it says.
fn jobs_to_reagree<'a>(
    shard: &'a Shard,
    calendar: &'a Calendar,
    studio: &'a str,
) -> impl Iterator<Item = (JobIndex, &'a Job, u64)> {
    shard.jobs.iter().enumerate().filter_map(move |(ix, job)| {
        let job = job.filter(|job| job.ending == Ending::No)?;
        let spec = job.spec.as_ref().filter(|s| s.kind != JobKind::Service)?;
        if calendar.studio_of(&job.team) != Some(studio) {
            return None;
        }
        let due = calendar.due(&job.team, &spec.class, &job.id, job.at_ms)?;
        (!is_due_at(job, due.at_ms)).then_some((ix, job, due.at_ms))
    })
}

fn is_due_at(job: &Job, due_ms: u64) -> bool {
    job.hour
        .as_ref()
        .is_some_and(|hour| hour.record.due_ms == due_ms)
}

fn sanitized_name(by: &str) -> String {
    by.chars()
        .filter(|c| !c.is_control())
        .take(document::SHORT)
        .collect()
}

fn moved_line(job: &Job, due_ms: u64, calendar: &Calendar) -> String {
    let studio = calendar.studio_of(&job.team).unwrap_or_default();
    let local = |ms| calendar.local(studio, ms);
    let from = job
        .hour
        .as_ref()
        .map_or_else(|| "none".to_owned(), |h| local(h.record.due_ms));
    let before = job.hour.as_ref().and_then(|h| h.record.moved.as_ref());
    let before = before
        .map(|m| format!(" (moved by {} before)", m.by))
        .unwrap_or_default();
    format!("{}: from {from} to {}{before}", job.id, local(due_ms))
}

/// Moves on their way.
impl TransactionDraft {
    /// Writes the records of jobs whose hours move. Their ends, which come first, are in nobody's way.
    pub fn hour_moves(
        &mut self,
        shard: &mut Shard,
        wall: u64,
        value_bytes: usize,
        room: impl Fn(&TransactionDraft) -> bool,
    ) {
        let max_moves = if shard.claim_log.fresh.is_empty() {
            usize::MAX
        } else {
            MOVES_PER_TRANSACTION
        };
        for _ in 0..max_moves {
            if !room(self) {
                return;
            }
            let Some(hour_move) = shard.hours.moves.pop_front() else {
                return;
            };
            let job = shard
                .job(hour_move.ix)
                .filter(|job| job.id == hour_move.job && job.ending == Ending::No);
            let Some((job, spec)) = job.and_then(|job| Some((job, job.spec.as_ref()?))) else {
                shard.hours.rejected_moves.push(hour_move);
                continue;
            };
            let key = records::live_key(&job.id);
            if self.writes_to(&key) {
                // Moved twice: the second follows when the first is in place.
                shard.hours.moves.push_front(hour_move);
                return;
            }
            let record = JobRecord {
                hour: Some(hour_move.record(job, wall)),
                county: job.county.clone(),
                ..JobRecord::new((**spec).clone(), job.at_ms, SHARD)
            };
            if wire::encode(&record).len() as f64 * STATE_SIZE_FACTOR > value_bytes as f64 {
                shard.hours.rejected_moves.push(hour_move);
                continue;
            }
            self.put(key, job.version, Record::Job(Box::new(record)));
            self.pending_writes
                .push(PendingWrite::Hour(hour_move, wall));
        }
    }
}

impl HourMove {
    fn record(&self, job: &Job, at_ms: u64) -> HourRecord {
        let from_ms = job.hour.as_ref().map_or(0, |h| h.record.due_ms);
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
    pub(crate) fn hour_moved(&mut self, hour_move: HourMove, wall: u64, revision: u64) {
        let Some(shard) = &mut self.shard else { return };
        hour_move.conn.iter().for_each(|conn| {
            shard.hours.waiting_operators.remove(conn);
        });
        let Some(job) = shard.job_mut(hour_move.ix) else {
            return;
        };
        let record = hour_move.record(job, wall);
        let from_ms = record.moved.as_ref().map_or(0, |m| m.from_ms);
        job.version = revision;
        job.hour = Some(Hour::new(record));
        let job = shard.jobs.get(hour_move.ix);
        shard.hours.forget(from_ms, hour_move.ix);
        if let Some(job) = job {
            shard.hours.add(job, hour_move.ix);
        }
        shard.plan_triggers.request();
        let line = format!(
            "{}: from {from_ms} to {} ms by {:?}",
            hour_move.job, hour_move.due_ms, hour_move.by
        );
        log::info!("hour of {line} is moved");
        let answer = Moved {
            dry_run: false,
            jobs: 1,
            lines: vec![line],
        };
        hour_move
            .conn
            .into_iter()
            .for_each(|conn| self.respond(conn, 200, admin::encode(&answer), None));
    }

    /// A term of leadership is over: whether an hour was moved is for the job's record to say.
    pub(crate) fn abandon_hour_moves(&mut self, mut shard: Shard) -> Shard {
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
