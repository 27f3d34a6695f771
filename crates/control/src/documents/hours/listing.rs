//! The list of hours for operators: hours that have passed, upcoming hours, and hours of ended jobs.

use crate::Node;
use crate::documents::hours::watch::EndedHour;
use crate::jobs::job::Job;
use ::hours::Calendar;
use std::sync::Arc;
use wire::admin;
use wire::hours::{Line, List, State};
use wire::records::HourRecord;

/// The most jobs that an answer lists.
const MAX_LINES: usize = 5_000;

/// The lines of an answer, up to [`MAX_LINES`].
struct Listing<'a> {
    calendar: Arc<Calendar>,
    /// Only this studio's jobs are listed.
    studio: Option<&'a str>,
    list: List,
}

/// The data of one line.
struct Entry<'a> {
    job: &'a str,
    team: &'a str,
    class: &'a str,
    hour: &'a HourRecord,
    state: State,
    late_s: Option<f64>,
}

impl Entry<'_> {
    /// The entry of a job that has not ended; `None` if it has no hour.
    fn of_job(job: &Job, due_ms: u64, wall: u64) -> Option<Entry<'_>> {
        let (hour, spec) = (job.hour.as_ref()?, job.spec.as_ref()?);
        let is_missed = hour.state == State::Missed;
        Some(Entry {
            job: &job.id,
            team: &job.team,
            class: &spec.class,
            hour: &hour.record,
            state: hour.state,
            late_s: is_missed.then(|| (wall as f64 - due_ms as f64) / 1000.0),
        })
    }

    fn of_ended(ended: &EndedHour) -> Entry<'_> {
        Entry {
            job: &ended.job,
            team: &ended.team,
            class: &ended.class,
            hour: &ended.hour,
            state: ended.state,
            late_s: ended.late_s,
        }
    }
}

impl Listing<'_> {
    fn add(&mut self, entry: &Entry<'_>) {
        let studio = self.calendar.studio_of(entry.team);
        if self.studio.is_some() && self.studio != studio {
            return;
        }
        if self.list.lines.len() >= MAX_LINES {
            self.list.more += 1;
            return;
        }
        self.list.lines.push(Line {
            job: entry.job.to_owned(),
            studio: studio.map(str::to_owned),
            team: entry.team.to_owned(),
            class: entry.class.to_owned(),
            due_ms: entry.hour.due_ms,
            due: self
                .calendar
                .local(studio.unwrap_or_default(), entry.hour.due_ms),
            state: entry.state,
            late_s: entry.late_s,
            moved: entry.hour.moved.clone(),
        });
    }
}

impl Node {
    /// Lists all hours, or those of one studio.
    pub(super) fn list_hours(&mut self, conn: u64, studio: Option<&str>) {
        let active = self.shared.documents.hours.active.as_ref();
        let calendar = active
            .map(|active| active.built.clone())
            .unwrap_or_default();
        let Some(shard) = &self.shard else { return };
        let mut listing = Listing {
            calendar,
            studio,
            list: List::default(),
        };
        for (due_ms, job_index) in shard.hours.passed.iter().chain(&shard.hours.upcoming) {
            let job = shard.job(*job_index);
            if let Some(entry) = job.and_then(|job| Entry::of_job(job, *due_ms, self.now.wall)) {
                listing.add(&entry);
            }
        }
        for ended in shard.hours.ended.iter().rev() {
            listing.add(&Entry::of_ended(ended));
        }
        self.respond(conn, 200, admin::encode(&listing.list), None);
    }
}
