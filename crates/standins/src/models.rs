//! Checks of models against the writes to the state service, the tasks on machines and the answers to demand: each
//! generation is begun once and starts its replicas once, and a model whose start was announced gets its replicas.

use model::{Phase, Rec, Spec};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use wire::models::ModelStatus;

/// An answer to a demand request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub asked: u64,
    pub at: u64,
    pub node: usize,
    pub model: String,
    pub status: u16,
    pub told: Option<ModelStatus>,
}

/// Task and machine.
type Replica = (String, String);

#[derive(Default)]
pub struct Models {
    pub spec: Spec,
    pub answers: Vec<Answer>,
    /// The latest record of each model, and how often each phase was written.
    pub recs: BTreeMap<String, Rec>,
    pub written: BTreeMap<&'static str, u64>,
    on: BTreeMap<String, BTreeSet<Replica>>,
    /// Replicas started and lost, by model and generation.
    started_and_lost: BTreeMap<(String, u64), (u32, u32)>,
    /// When the first replica ran, by model and generation.
    pub first_replica_ms: BTreeMap<(String, u64), u64>,
}

impl Models {
    /// Checks the writes of an applied transaction to model records.
    pub fn wrote(
        &mut self,
        now: u64,
        txn: &Value,
        live: impl Fn(&str) -> bool,
    ) -> Result<(), String> {
        for w in txn["writes"].as_array().into_iter().flatten() {
            if let Some(model) = w["remove"].as_str().and_then(|k| k.strip_prefix("model/")) {
                if live(model) {
                    return Err(format!(
                        "{now}: the record of {model} is removed before its job"
                    ));
                }
                self.recs.remove(model);
            }
            let Some(model) = w["write"].as_str().and_then(|k| k.strip_prefix("model/")) else {
                continue;
            };
            let rec = serde_json::from_value::<Rec>(w["v"].clone()).map_err(|e| e.to_string())?;
            if !live(model) {
                return Err(format!(
                    "{now}: the record of {model} is written after the end of its job"
                ));
            }
            let before = self.recs.get(model).cloned().unwrap_or_default();
            let begins = rec.phase == Phase::Waking;
            *self.written.entry(phase_name(rec.phase)).or_default() += 1;
            if rec.generation != before.generation + u64::from(begins) || (begins && before.is_up())
            {
                let describe = |r: &Rec| format!("{:?} {}", r.phase, r.generation);
                return Err(format!(
                    "{now}: {model}: {} after {}",
                    describe(&rec),
                    describe(&before)
                ));
            }
            self.recs.insert(model.to_owned(), rec);
        }
        Ok(())
    }

    /// Checks that an answer names no generation that isn't recorded yet.
    pub fn answered(&mut self, answer: Answer) -> Result<(), String> {
        let told = answer.told.as_ref().map_or(0, |t| t.generation);
        let recorded = self
            .recs
            .get(&answer.model)
            .map_or(u64::MAX, |r| r.generation);
        let wrong = format!(
            "{}: {} is reported in generation {told}, but recorded in {recorded}",
            answer.at, answer.model
        );
        self.answers.push(answer);
        if told > recorded { Err(wrong) } else { Ok(()) }
    }

    /// Checks the replicas that are on machines now.
    pub fn follow(&mut self, now: u64, tasks: impl Iterator<Item = Replica>) -> Result<(), String> {
        let mut on: BTreeMap<String, BTreeSet<Replica>> = BTreeMap::new();
        for (task, machine) in tasks {
            let job = wire::ids::parse_task(&task).map(|(job, _)| job.to_owned());
            if let Some(job) = job.filter(|j| self.recs.contains_key(j)) {
                on.entry(job).or_default().insert((task, machine));
            }
        }
        let empty = BTreeSet::new();
        for (model, rec) in &self.recs {
            let (was, is) = (
                self.on.get(model).unwrap_or(&empty),
                on.get(model).unwrap_or(&empty),
            );
            let least = self.spec.rules.iter().map(|r| r.least).max().unwrap_or(0);
            if rec.phase == Phase::Asleep && is.len() > least as usize && rec.generation > 0 {
                return Err(format!("{now}: {model}: asleep with {} replicas", is.len()));
            }
            if was == is {
                continue;
            }
            let key = (model.clone(), rec.generation);
            let (started, lost) = self.started_and_lost.entry(key.clone()).or_default();
            *started += is.difference(was).count() as u32;
            *lost += was.difference(is).count() as u32;
            if !is.is_empty() && rec.is_up() {
                self.first_replica_ms.entry(key).or_insert(now);
            }
            if *started > rec.wanted + *lost {
                return Err(format!(
                    "{now}: {model}: generation {} started {started} replicas, more than wanted",
                    rec.generation
                ));
            }
        }
        self.on = on;
        Ok(())
    }

    /// Models that are up without a replica, or asleep with replicas although no rule keeps any, or still leaving. To
    /// be called after the simulation has settled.
    pub fn lost(&self, cancelled: impl Fn(&str) -> bool) -> Vec<String> {
        let mut out = Vec::new();
        for (model, rec) in self.recs.iter().filter(|(m, _)| !cancelled(m)) {
            let on = self.on.get(model).map_or(0, BTreeSet::len);
            let wrong = match rec.phase {
                Phase::Asleep => on > 0 && self.spec.rules.iter().all(|r| r.least == 0),
                Phase::Waking | Phase::Awake => on == 0,
                Phase::Leaving => true,
            };
            if wrong {
                out.push(format!("{model}: {:?} with {on} replicas", rec.phase));
            }
        }
        out
    }

    pub fn replicas(&self, model: &str) -> usize {
        self.on.get(model).map_or(0, BTreeSet::len)
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Asleep => "asleep",
        Phase::Waking => "waking",
        Phase::Awake => "awake",
        Phase::Leaving => "leaving",
    }
}
