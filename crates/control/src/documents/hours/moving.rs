//! Moves of hours that operators request: of one job, or of all jobs of a studio to what the calendar in force says.

use crate::Node;
use crate::documents::hours::ReleaseHour;
use crate::documents::refusal;
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

/// The most moves that wait for a transaction.
const MAX_WAITING_MOVES: usize = 20_000;
/// The most moves in one transaction while claims are waiting too.
const MOVES_PER_TRANSACTION: usize = 4;
/// The most moves that an answer lists.
const MAX_MOVED_LINES: usize = 200;
/// Factor for the size of a record: the state service counts it in another encoding than ours, which is somewhat
/// larger.
const STATE_SIZE_FACTOR: f64 = 1.3;

/// A move of a job's hour that is not recorded yet.
#[derive(Debug)]
pub(crate) struct HourMove {
    job_index: JobIndex,
    pub(super) job: String,
    due_ms: u64,
    version: u64,
    by: String,
    /// The connection of the operator who waits for this move; `None` if it is one of a studio's moves.
    pub(super) conn: Option<u64>,
}

/// Why an hour can't be moved.
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
    /// The HTTP status of the answer.
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
            MoveError::UnknownJob(job) => write!(f, "no live job {job:?}"),
            MoveError::NotMovable(job) => {
                write!(f, "{job}: it has ended, or is a service, which has no hour")
            }
            MoveError::NoSuchTime(why) => f.write_str(why),
            MoveError::NoCalendar => f.write_str("no calendar is in force"),
            MoveError::UnknownStudio(studio) => {
                write!(f, "the calendar has no studio {studio:?}")
            }
            MoveError::TooManyMoves => f.write_str("too many moves are waiting to be recorded"),
        }
    }
}

impl Node {
    /// Moves the hour of one job; the operator is answered once the move is recorded.
    pub(super) fn move_hour(&mut self, conn: u64, id: &str, to: &str, by: &str) {
        match self.begin_move(conn, id, to, by) {
            Ok(None) => {}
            Ok(Some(answer)) => self.respond(conn, 200, admin::encode(&answer), None),
            Err(error) => self.answer_move_error(conn, &error),
        }
    }

    fn answer_move_error(&mut self, conn: u64, error: &MoveError) {
        self.refuse_operator(conn, error.status(), refusal(&error.to_string()));
    }

    /// Queues the move of a job's hour; returns the answer if the hour is already the requested one.
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
        let (job_index, job) = movable_job(shard, id)?;
        let studio = calendar.studio_of(&job.team).unwrap_or_default();
        let due_ms = calendar.moment(studio, to).map_err(MoveError::NoSuchTime)?;
        let line = moved_line(job, due_ms, &calendar);
        if is_due_at(job, due_ms) {
            // A retry after a lost answer, or a move to the same hour.
            let line = format!("{id}: is already at {}", calendar.local(studio, due_ms));
            return Ok(Some(Moved {
                lines: vec![line],
                ..Moved::default()
            }));
        }
        if shard.hours.moves.len() >= MAX_WAITING_MOVES {
            return Err(MoveError::TooManyMoves);
        }
        log::info!("writing move of hour: {line}, requested by {by:?}");
        shard.hours.waiting_operators.insert(conn);
        shard.hours.moves.push_back(HourMove {
            job_index,
            job: id.to_owned(),
            due_ms,
            version,
            by: sanitized_name(by),
            conn: Some(conn),
        });
        self.may_have_changes = true;
        Ok(None)
    }

    /// Moves the hours of a studio's jobs to what the calendar in force says.
    pub(super) fn reagree(&mut self, conn: u64, studio: &str, by: &str, dry_run: bool) {
        match self.begin_reagreement(studio, by, dry_run) {
            Ok(None) => {}
            Ok(Some(answer)) => self.respond(conn, 200, admin::encode(&answer), None),
            Err(error) => self.answer_move_error(conn, &error),
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
        for (job_index, job, due_ms) in jobs_to_reagree(shard, &active.built, studio) {
            if lines.len() < MAX_MOVED_LINES {
                lines.push(moved_line(job, due_ms, &active.built));
            }
            moves.push(HourMove {
                job_index,
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
            log::info!(
                "writing moves of the hours of {jobs} jobs of {studio}, requested by {by:?}"
            );
            shard.hours.moves.extend(moves);
            self.may_have_changes = true;
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
        .and_then(|job_index| Some((job_index, shard.job(job_index)?)));
    let (job_index, job) = found
        .filter(|(_, job)| job.spec.is_some())
        .ok_or_else(|| MoveError::UnknownJob(id.to_owned()))?;
    if job.is_ending() || job.kind() == JobKind::Service {
        return Err(MoveError::NotMovable(id.to_owned()));
    }
    Ok((job_index, job))
}

/// A studio's jobs whose hours differ from the calendar in force, with the hours that it gives them.
fn jobs_to_reagree<'a>(
    shard: &'a Shard,
    calendar: &'a Calendar,
    studio: &'a str,
) -> impl Iterator<Item = (JobIndex, &'a Job, u64)> {
    shard
        .jobs
        .iter()
        .enumerate()
        .filter_map(move |(job_index, job)| {
            let job = job.filter(|job| job.ending == Ending::Undecided)?;
            let spec = job.spec.as_ref().filter(|s| s.kind != JobKind::Service)?;
            if calendar.studio_of(&job.team) != Some(studio) {
                return None;
            }
            let due = calendar.due(&job.team, &spec.class, &job.id, job.at_ms)?;
            (!is_due_at(job, due.at_ms)).then_some((job_index, job, due.at_ms))
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

impl TransactionDraft {
    /// Writes the records of jobs whose hours move. Ends of jobs are put into the transaction earlier, so moves don't
    /// delay them.
    pub fn put_hour_moves(
        &mut self,
        shard: &mut Shard,
        wall: u64,
        value_bytes: usize,
        room: impl Fn(&TransactionDraft) -> bool,
    ) {
        let max_moves = if shard.claim_log.unrecorded_claims.is_empty() {
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
                .job(hour_move.job_index)
                .filter(|job| job.id == hour_move.job && job.ending == Ending::Undecided);
            let Some((job, spec)) = job.and_then(|job| Some((job, job.spec.as_ref()?))) else {
                shard.hours.rejected_moves.push(hour_move);
                continue;
            };
            let key = records::live_key(&job.id);
            if self.has_condition_on(&key) {
                // Moved twice: the second move is written once the first is committed.
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
    /// The record of a moved hour was committed at this revision.
    pub(crate) fn hour_moved(&mut self, hour_move: HourMove, wall: u64, revision: u64) {
        let Some(shard) = &mut self.shard else { return };
        hour_move.conn.iter().for_each(|conn| {
            shard.hours.waiting_operators.remove(conn);
        });
        let Some(job) = shard.job_mut(hour_move.job_index) else {
            return;
        };
        let record = hour_move.record(job, wall);
        let from_ms = record.moved.as_ref().map_or(0, |m| m.from_ms);
        job.version = revision;
        job.hour = Some(ReleaseHour::new(record));
        let job = shard.jobs.get(hour_move.job_index);
        shard.hours.forget(from_ms, hour_move.job_index);
        if let Some(job) = job {
            shard.hours.add(job, hour_move.job_index);
        }
        shard.plan_triggers.request();
        let line = format!(
            "{}: from {from_ms} to {} ms by {:?}",
            hour_move.job, hour_move.due_ms, hour_move.by
        );
        log::info!("moved hour: {line}");
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

    /// Answers the operators of pending moves when a term of leadership ends. Whether an hour was moved can only be
    /// read from the job's record.
    pub(crate) fn abandon_hour_moves(&mut self, mut shard: Shard) -> Shard {
        for conn in shard.hours.unanswered() {
            self.refuse_operator(
                conn,
                503,
                refusal("the leader changed; see the list of hours for whether the hour was moved"),
            );
        }
        shard
    }
}
