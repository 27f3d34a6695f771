//! Checks the tallies and machines of counties against the history of the state service, the answers to users and the
//! tasks on machines.

use crate::rules::{OnMachine, Rules};
use crate::state::State;
use county::{Delta, Sheet};
use serde_json::Value;
use std::collections::BTreeMap;
use wire::api::Stage;
use wire::records::{CountyRecord, EndRecord, JobRecord, LogRecord};

/// Done jobs, cancelled jobs and done tasks by county and class.
type Sums = BTreeMap<(String, String), [u64; 3]>;

/// Follows the history of the state service and checks counties and tallies.
#[derive(Default)]
pub struct Watcher {
    /// Number of changes already checked.
    seen_changes: usize,
    /// Jobs with their first county record and their class.
    pub bound: BTreeMap<String, (CountyRecord, String)>,
    pub ended: BTreeMap<String, (Stage, u32)>,
    sums: Sums,
    /// Version of the counties document in force, and whether it has counties.
    version: u64,
    has_counties: bool,
    /// A test has damaged records on purpose, so sums are not compared.
    pub damaged: bool,
    /// Puts of tally sheets, and of log records that contain only counts.
    pub folds: u64,
    pub only_counts: u64,
}

impl Watcher {
    /// Checks new changes of the history, and compares its sums with the recorded ones: the sheets, and the log records
    /// above their watermarks.
    pub fn follow(&mut self, state: &State, rules: &mut Rules, now: u64) {
        for (_, key, value) in state.history(self.seen_changes) {
            self.seen_changes += 1;
            let Some(value) = value else { continue };
            if let Err(problem) = self.check_put(key, value) {
                rules.breaks("tallies_wrong", format!("{now}: {problem}"));
            }
        }
        if self.bound.is_empty() || self.damaged {
            return;
        }
        let recorded = recorded_sums(state);
        if recorded != self.sums {
            let differs =
                |(cell, sums): &(&(String, String), &[u64; 3])| recorded.get(*cell) != Some(*sums);
            let first = self
                .sums
                .iter()
                .find(differs)
                .or_else(|| recorded.iter().find(|(c, _)| !self.sums.contains_key(*c)));
            rules.breaks(
                "tallies_wrong",
                format!(
                    "{now}: ended: {first:?}, recorded: {:?}",
                    first.and_then(|(c, _)| recorded.get(c))
                ),
            );
        }
    }

    fn check_put(&mut self, key: &str, value: &Value) -> Result<(), String> {
        let read = |e: serde_json::Error| format!("{key}: {e}");
        if key == "sys/counties" {
            self.version = value["document"]["version"].as_u64().unwrap_or(0);
            self.has_counties = value["document"]["parts"]
                .as_array()
                .is_some_and(|p| !p.is_empty());
        }
        if key.starts_with("live/") {
            let bound = value["county"]["version"].as_u64();
            if bound != self.has_counties.then_some(self.version) {
                return Err(format!(
                    "{key} is bound by {bound:?} under version {}",
                    self.version
                ));
            }
        }
        // Skips parsing for the vast majority of puts, which have nothing to do with counties.
        let of_county = |job: &str| self.bound.contains_key(job) || value.get("county").is_some();
        if let Some(job) = key.strip_prefix("live/").filter(|j| of_county(j)) {
            let rec = JobRecord::deserialize_from(value).map_err(read)?;
            if let Some(county) = rec.county {
                let new = (county, rec.spec.class);
                let old = self
                    .bound
                    .entry(job.to_owned())
                    .or_insert_with(|| new.clone());
                if *old != new {
                    return Err(format!("{job} was bound to {old:?}, then to {new:?}"));
                }
            }
        } else if let Some(job) = key.strip_prefix("end/").filter(|j| of_county(j)) {
            let rec = EndRecord::deserialize_from(value).map_err(read)?;
            self.ended.insert(job.to_owned(), (rec.stage, rec.done));
            let bound = self
                .bound
                .get(job)
                .map(|(c, class)| (c.county.clone(), class.clone()));
            if bound
                != rec
                    .county
                    .as_ref()
                    .map(|c| (c.county.clone(), c.class.clone()))
            {
                return Err(format!(
                    "{job} was bound to {bound:?} and ended for {:?}",
                    rec.county
                ));
            }
            if let Some(cell) = bound {
                add_counts(&mut self.sums, cell, &counts_of(rec.stage, rec.done));
            }
        } else if key.starts_with("part/0/tally/") {
            self.folds += 1;
        } else if key.starts_with("part/0/log/") && value.get("ended").is_some() {
            let rec = LogRecord::deserialize_from(value).map_err(read)?;
            self.only_counts += u64::from(rec.claims.is_empty() && rec.done.is_empty());
        }
        Ok(())
    }

    /// Checks that users were told the same results that were counted.
    pub fn users(&self, rules: &mut Rules) {
        let mut wrong = Vec::new();
        for (id, job) in rules
            .jobs
            .iter()
            .filter(|(id, _)| self.bound.contains_key(*id))
        {
            let told = (job.told_done.is_some(), job.told_cancelled.is_some());
            let stage = self.ended.get(id).map(|(stage, _)| *stage);
            let agrees = match told {
                (true, _) => stage == Some(Stage::Done),
                (_, true) => stage == Some(Stage::Cancelled),
                _ => true,
            };
            if !agrees {
                wrong.push(format!(
                    "{id}: users were told {told:?}, {stage:?} was counted"
                ));
            }
        }
        wrong
            .into_iter()
            .for_each(|problem| rules.breaks("tallies_wrong", problem));
    }

    /// Ended jobs and done tasks by county and class, by the history.
    pub fn sums(&self) -> &Sums {
        &self.sums
    }
}

trait FromValue: Sized {
    fn deserialize_from(value: &Value) -> Result<Self, serde_json::Error>;
}

impl<T: serde::de::DeserializeOwned> FromValue for T {
    fn deserialize_from(value: &Value) -> Result<Self, serde_json::Error> {
        serde_json::from_value(value.clone())
    }
}

fn counts_of(stage: Stage, done: u32) -> [u64; 3] {
    let cancelled = u64::from(stage == Stage::Cancelled);
    [1 - cancelled, cancelled, u64::from(done)]
}

fn add_counts(sums: &mut Sums, cell: (String, String), more: &[u64; 3]) {
    let sum = sums.entry(cell).or_default();
    sum.iter_mut().zip(more).for_each(|(s, m)| *s += m);
}

/// The sums that a reader of the present records gets.
fn recorded_sums(state: &State) -> Sums {
    let mut sums = Sums::new();
    let mut watermarks: BTreeMap<(String, String), u64> = BTreeMap::new();
    let cell_of = |d: &Delta| {
        (
            (d.county.clone(), d.class.clone()),
            [d.done, d.cancelled, d.tasks],
        )
    };
    for (_, entry) in state
        .keys
        .range("part/0/tally/".to_owned().."part/0/tally0".to_owned())
    {
        let Ok(sheet) = Sheet::deserialize_from(&entry.value) else {
            continue;
        };
        for (cell, more) in sheet.cells.iter().map(cell_of) {
            watermarks.insert(cell.clone(), sheet.upto);
            add_counts(&mut sums, cell, &more);
        }
    }
    for (key, entry) in state
        .keys
        .range("part/0/log/".to_owned().."part/0/log0".to_owned())
    {
        let number = key
            .rsplit('/')
            .next()
            .and_then(|n| u64::from_str_radix(n, 16).ok())
            .unwrap_or(0);
        let Ok(rec) = LogRecord::deserialize_from(&entry.value) else {
            continue;
        };
        for (cell, more) in rec
            .ended
            .iter()
            .map(cell_of)
            .filter(|(cell, _)| watermarks.get(cell).is_none_or(|m| *m < number))
        {
            add_counts(&mut sums, cell, &more);
        }
    }
    sums
}

impl Rules {
    /// Applies [`Self::apart`] to all tasks that are on machines.
    pub fn all_apart(&mut self, now: u64, on: &[OnMachine<'_>], watcher: &Watcher) {
        if watcher.bound.is_empty() {
            return;
        }
        for on_one_machine in on.chunk_by(|a, b| a.machine == b.machine) {
            on_one_machine
                .iter()
                .for_each(|task| self.apart(now, task, on_one_machine, watcher));
        }
    }

    /// Checks a task that starts on a machine: its county may use the zone, and share the machine with the tasks there.
    pub fn apart(
        &mut self,
        now: u64,
        new: &OnMachine<'_>,
        others: &[OnMachine<'_>],
        watcher: &Watcher,
    ) {
        let county = |task: &str| {
            let job = wire::ids::parse_task(task).map(|(id, _)| id)?;
            watcher.bound.get(job).map(|(c, _)| c)
        };
        let own = county(new.task);
        if own.is_some_and(|c| !c.zones.is_empty() && !c.zones.iter().any(|z| z == new.zone)) {
            self.breaks("mixed", format!("{now}: {} in {}", new.task, new.zone));
        }
        for o in others.iter().filter(|o| o.machine == new.machine) {
            let other = county(o.task);
            let same = own.map(|c| &c.county) == other.map(|c| &c.county);
            let alone = own.is_some_and(|c| c.alone) || other.is_some_and(|c| c.alone);
            if alone && !same {
                self.breaks(
                    "mixed",
                    format!("{now}: {} beside {} on {}", new.task, o.task, o.machine),
                );
            }
        }
    }
}
