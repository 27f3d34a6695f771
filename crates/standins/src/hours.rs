//! Checks the release hours of jobs against the history of the state service.

use crate::rules::Rules;
use crate::state::State;
use hours::{Around, Calendar, Spec};
use serde_json::Value;
use std::collections::BTreeMap;
use wire::records::{EndRecord, HourRecord, JobRecord, SharedRecord};

/// After this time the first calendar has reached all nodes, and transactions sent before it have been applied.
const FIRST_CALENDAR_PROPAGATION_MS: u64 = 20_000;

/// Follows the history of the state service and checks release hours.
#[derive(Default)]
pub struct Watcher {
    /// Number of changes already checked.
    seen_changes: usize,
    parts: BTreeMap<String, Spec>,
    /// Calendars by version; the latest is in force.
    calendars: BTreeMap<u64, Calendar>,
    /// When the first calendar was written.
    first_calendar_ms: u64,
    /// The current release hour of each accepted job.
    pub hours: BTreeMap<String, Option<HourRecord>>,
    pub moves: usize,
    /// Ended jobs, and whether they ended by their release hour.
    pub kept: BTreeMap<String, bool>,
}

impl Watcher {
    /// Checks new changes: each release hour must be the one that the calendar in force gives for the recorded time of
    /// acceptance, and may change only by an operator's move.
    pub fn follow(&mut self, state: &State, rules: &mut Rules, now: u64) {
        for (_, key, value) in state.history(self.seen_changes) {
            self.seen_changes += 1;
            let Some(value) = value else { continue };
            if self.calendars.is_empty() {
                self.first_calendar_ms = now;
            }
            if let Err(problem) = self.check_put(key, value, now) {
                rules.breaks("hours_moved", format!("{now}: {problem}"));
            }
        }
    }

    fn check_put(&mut self, key: &str, value: &Value, now: u64) -> Result<(), String> {
        if let Some(name) = key.strip_prefix("hours/part/") {
            self.parts.insert(name.to_owned(), read(key, value)?);
        } else if key == "sys/hours" {
            let head = read::<SharedRecord>(key, value)?
                .document
                .ok_or("no document head")?;
            let spec: Spec = document::join(&head, &self.parts)?;
            let built = Calendar::build(&spec, &Around::default()).map_err(|f| f[0].to_string())?;
            self.calendars.insert(head.version, built);
        } else if let Some(job) = key
            .strip_prefix("live/")
            .filter(|_| !self.calendars.is_empty())
        {
            return self.check_job(job, read(key, value)?, now);
        } else if let Some(job) = key.strip_prefix("end/") {
            let Some(Some(hour)) = self.hours.get(job) else {
                return Ok(());
            };
            let end = read::<EndRecord>(key, value)?
                .hour
                .ok_or(format!("{job} ended without its hour"))?;
            if end.due_ms != hour.due_ms {
                return Err(format!(
                    "{job} was due at {}, and ended as due at {}",
                    hour.due_ms, end.due_ms
                ));
            }
            self.kept.insert(job.to_owned(), end.ended_ms <= end.due_ms);
        }
        Ok(())
    }

    fn check_job(&mut self, job: &str, rec: JobRecord, now: u64) -> Result<(), String> {
        let Some(old) = self.hours.insert(job.to_owned(), rec.hour.clone()) else {
            let (version, calendar) = self.calendars.last_key_value().ok_or("no calendar")?;
            let spec = &rec.spec;
            let due = calendar.due(&spec.team, &spec.class, job, rec.at_ms);
            let due = due.filter(|_| spec.kind != wire::api::Kind::Service);
            let hour = due.map(|d| HourRecord {
                due_ms: d.at_ms,
                version: *version,
                moved: None,
            });
            // Nodes that have not received the first calendar yet accept jobs without an hour.
            let may_lack_calendar =
                rec.hour.is_none() && now < self.first_calendar_ms + FIRST_CALENDAR_PROPAGATION_MS;
            return if rec.hour == hour || may_lack_calendar {
                Ok(())
            } else {
                Err(format!(
                    "{job} should be due at {hour:?}, but is due at {:?}",
                    rec.hour
                ))
            };
        };
        let from = old.as_ref().map_or(0, |h| h.due_ms);
        let moved = rec.hour.as_ref().and_then(|h| h.moved.as_ref());
        let is_new = moved.is_some() && old.as_ref().and_then(|h| h.moved.as_ref()) != moved;
        if is_new && moved.is_some_and(|m| m.from_ms == from && !m.by.is_empty()) {
            self.moves += 1;
            return Ok(());
        }
        if rec.hour == old {
            Ok(())
        } else {
            Err(format!(
                "{job} was due at {old:?}, and is due at {:?} now",
                rec.hour
            ))
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(key: &str, value: &Value) -> Result<T, String> {
    serde_json::from_value(value.clone()).map_err(|e| format!("{key}: {e}"))
}
