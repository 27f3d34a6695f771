//! Tracks release hours: which are upcoming or have passed, and the state of each.

use crate::Node;
use crate::documents::hours::HourMove;
use crate::documents::refusal;
use crate::jobs::job::{Job, JobIndex};
use crate::store::shard::Shard;
use std::collections::{BTreeSet, VecDeque};
use wire::api::Stage;
use wire::hours::State;
use wire::records::{EndHourRecord, HourRecord};

/// The most ended jobs that are remembered for lists.
const MAX_ENDED: usize = 10_000;
/// The most changes of state that are logged one by one at a time; of the others, only the number is logged.
const MAX_LOGGED: usize = 20;

/// A job's release hour in the leader's memory.
#[derive(Debug, Clone)]
pub(crate) struct ReleaseHour {
    /// The hour in the job's record.
    pub record: HourRecord,
    /// The state that was last determined.
    pub(super) state: State,
    /// The time of the job's end, as recorded.
    ended_ms: u64,
}

impl ReleaseHour {
    /// The hour of a job that was accepted or read back.
    pub fn new(record: HourRecord) -> Box<ReleaseHour> {
        Box::new(ReleaseHour {
            record,
            state: State::Due,
            ended_ms: 0,
        })
    }
}

/// The hour of a job that has ended, for lists.
pub(super) struct EndedHour {
    pub(super) job: String,
    pub(super) team: String,
    pub(super) class: String,
    pub(super) hour: HourRecord,
    pub(super) state: State,
    pub(super) late_s: Option<f64>,
}

/// The release hours of the shard's jobs.
#[derive(Default)]
pub(crate) struct ReleaseHourWatch {
    /// Jobs that have not ended and whose hour is in the future, by hour.
    pub(super) upcoming: BTreeSet<(u64, JobIndex)>,
    /// Likewise, those whose hour has passed.
    pub(super) passed: BTreeSet<(u64, JobIndex)>,
    /// The jobs that ended last.
    pub(super) ended: VecDeque<EndedHour>,
    /// Moves that wait for a transaction.
    pub(super) moves: VecDeque<HourMove>,
    /// Moves that can't be made: their jobs have ended meanwhile, or have records without room for a move.
    pub(super) rejected_moves: Vec<HourMove>,
    /// Connections of operators whose moves are not recorded yet.
    pub(super) waiting_operators: BTreeSet<u64>,
}

impl ReleaseHourWatch {
    /// Adds the hour of a job, if it has one.
    pub fn add(&mut self, job: &Job, job_index: JobIndex) {
        if let Some(hour) = &job.hour {
            self.upcoming.insert((hour.record.due_ms, job_index));
        }
    }

    /// Queues a move again after its transaction was refused, before moves that came after it.
    pub fn requeue_move(&mut self, hour_move: HourMove) {
        self.moves.push_front(hour_move);
    }

    /// Removes an hour.
    pub(super) fn forget(&mut self, due_ms: u64, job_index: JobIndex) {
        self.upcoming.remove(&(due_ms, job_index));
        self.passed.remove(&(due_ms, job_index));
    }

    /// Determines whether a job's hour was kept, once the job's end is recorded.
    pub fn ended(&mut self, job: &Job, job_index: JobIndex, stage: Stage) {
        let Some(hour) = &job.hour else { return };
        let due = hour.record.due_ms;
        self.forget(due, job_index);
        let late = (hour.ended_ms > due).then(|| (hour.ended_ms - due) as f64 / 1000.0);
        let (state, late_s) = match (stage, late) {
            (Stage::Cancelled, _) => (State::Withdrawn, None),
            (_, Some(late)) => (State::Missed, Some(late)),
            _ => (State::Kept, None),
        };
        match late_s {
            Some(late) => log::warn!(
                "job {}: released {late:.1} s after its release hour",
                job.id
            ),
            None => log::info!(
                "job {}: its release hour is {}",
                job.id,
                describe_state(state)
            ),
        }
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedHour {
            job: job.id.clone(),
            team: job.team.clone(),
            class: job
                .spec
                .as_ref()
                .map(|s| s.class.clone())
                .unwrap_or_default(),
            hour: hour.record.clone(),
            state,
            late_s,
        });
    }

    /// Takes the connections of operators who have not been answered.
    pub fn unanswered(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.waiting_operators)
    }
}

fn describe_state(state: State) -> String {
    match state {
        State::Due => "expected to be kept".into(),
        State::AtRisk(risk) => format!("at risk: {}", format!("{risk:?}").to_lowercase()),
        State::Missed => "missed".into(),
        State::Kept => "kept".into(),
        State::Withdrawn => "withdrawn".into(),
    }
}

/// The hour in the record of a job's end.
pub(crate) fn record_end_of_hour(job: &mut Job, ended_ms: u64) -> Option<EndHourRecord> {
    let hour = job.hour.as_mut()?;
    hour.ended_ms = ended_ms;
    Some(EndHourRecord {
        due_ms: hour.record.due_ms,
        ended_ms,
    })
}

impl Node {
    /// Marks hours that have passed as missed, and refuses moves that can't be made.
    pub(crate) fn hours_tick(&mut self) {
        let wall = self.now.wall;
        let Some(shard) = &mut self.shard else { return };
        let missed = shard.missed_hours(wall);
        shard.set_states(missed, wall);
        for hour_move in std::mem::take(&mut shard.hours.rejected_moves) {
            self.refuse_move(hour_move);
        }
    }

    fn refuse_move(&mut self, hour_move: HourMove) {
        let why = format!(
            "{}: the job has ended meanwhile, or its record has no room for the move",
            hour_move.job
        );
        log::info!("hour not moved: {why}");
        let Some(conn) = hour_move.conn else { return };
        if let Some(shard) = &mut self.shard {
            shard.hours.waiting_operators.remove(&conn);
        }
        self.refuse_operator(conn, 409, refusal(&why));
    }
}

impl Shard {
    /// Hours that have passed since the last call, of jobs that are not ending.
    fn missed_hours(&mut self, wall: u64) -> Vec<(JobIndex, State)> {
        let mut missed = Vec::new();
        while let Some(first) = self.hours.upcoming.first().copied()
            && first.0 < wall
        {
            self.hours.upcoming.pop_first();
            self.hours.passed.insert(first);
            // If the job is ending, the recorded time of its end decides whether the hour was kept.
            if self.job(first.1).is_some_and(|job| !job.is_ending()) {
                missed.push((first.1, State::Missed));
            }
        }
        missed
    }

    /// Sets new states of hours, and logs the first ones.
    pub(super) fn set_states(&mut self, changes: Vec<(JobIndex, State)>, wall: u64) {
        let unlogged = changes.len().saturating_sub(MAX_LOGGED);
        for (n, (job_index, state)) in changes.into_iter().enumerate() {
            let Some(job) = self.jobs.get_mut(job_index) else {
                continue;
            };
            let Some(hour) = &mut job.hour else { continue };
            hour.state = state;
            if n < MAX_LOGGED {
                log::info!(
                    "job {}: its release hour, {:.0} s from now, is {}",
                    job.id,
                    hour.seconds_left(wall),
                    describe_state(state)
                );
            }
        }
        if unlogged > 0 {
            log::info!("{unlogged} more release hours have changed their state");
        }
    }
}
