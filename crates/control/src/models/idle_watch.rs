//! The idle watch: the leader looks at all models that are up or on their way, scales those to zero that nobody has
//! asked for, and stops the replicas that a record does not want.

use crate::Node;
use crate::jobs::job::{Ending, Job, JobIndex};
use crate::models::weights::machines_near;
use crate::scheduling::planning::grace;
use model::{Asked, Phase, Seen, asked};
use std::collections::BTreeSet;

/// Models that are up, or on their way, are looked at this often.
const LOOK_MS: u64 = 250;
/// The leader's transactions for models that are out at once; the rest wait for the next look.
const MOST_OUT: usize = 32;

impl Node {
    pub(crate) fn models_tick(&mut self) {
        self.wakes_tick();
        if !self.models.in_force() || !self.may_decide() || self.models_to_read() {
            return;
        }
        let now = self.now.mono;
        if !self.models.owned.watching && now >= self.models.owned.watch_at {
            self.watch_models();
        }
        if now < self.models.owned.looked_at + LOOK_MS {
            return;
        }
        self.models.owned.looked_at = now;
        let wall = self.now.wall;
        self.models.owned.kept.retain(|_, (until, _)| *until > wall);
        let due: Vec<String> = std::mem::take(&mut self.models.owned.due)
            .into_iter()
            .collect();
        for model in due {
            if self.look_at_model(&model) {
                self.models.is_due(&model);
            }
        }
        self.take_over_records();
    }

    /// What the leader sees of a model.
    pub(super) fn seen(&self, job: &Job) -> Seen {
        let now = self.now.mono;
        let since = self.shard.as_ref().map_or(0, |p| p.since);
        let heard = self.models.wakes.heard(&job.id).max(since);
        let near = self
            .shard
            .as_ref()
            .map(|p| machines_near(p, job))
            .unwrap_or_default();
        Seen {
            claimed: job.claimed.len() as u32,
            running: job.running,
            quiet_ms: now.saturating_sub(heard),
            near,
        }
    }

    /// Writes what follows for a model, and stops what is no longer wanted. True if it is to be looked at again.
    fn look_at_model(&mut self, model: &str) -> bool {
        if let Some(out) = self.models.owned.out.get(model) {
            if !out.busy && out.retry_at <= self.now.mono {
                self.send_model(model);
            }
            return true;
        }
        let Some(shard) = &self.shard else {
            return false;
        };
        let Some(ix) = shard.job_index.get(model).copied() else {
            return false;
        };
        let Some(job) = shard.job(ix).filter(|j| j.ending == Ending::No) else {
            return false;
        };
        let Some(spec) = job.spec.as_ref() else {
            return false;
        };
        let Some(rule) = self.models.rule(spec) else {
            return false;
        };
        let known = self.models.known(model).unwrap_or_default();
        let seen = self.seen(job);
        let node = self.settings.node.clone();
        let (wall, tasks, version) = (self.now.wall, job.tasks, job.version);
        let first = known.stamp == 0 && (rule.begin == model::Begin::Awake || seen.claimed > 0);
        let missed =
            known.stamp > 0 && !known.rec.is_up() && self.asked_since(model, known.rec.since_ms);
        let next = if first || missed {
            match asked(&known.rec, &rule, tasks, &node, wall) {
                Asked::Wake(rec) => Some(*rec),
                _ => known.rec.next(&rule, tasks, &node, wall, &seen),
            }
        } else {
            known.rec.next(&rule, tasks, &node, wall, &seen)
        };
        if known.stamp > 0 && !known.rec.is_up() {
            self.stop_replicas(ix, known.rec.replicas(&rule, tasks));
        }
        let Some(rec) = next else {
            return known.rec.phase != Phase::Asleep || seen.claimed > 0;
        };
        if self.models.owned.out.len() >= MOST_OUT {
            return true;
        }
        self.keep_weights(model, &rule, &rec);
        self.write_model(model, Some(rec), known.stamp, Some(version));
        true
    }

    /// Whether somebody has asked for it here after it was put to sleep: what had been decided before that came late.
    fn asked_since(&self, model: &str, since_ms: u64) -> bool {
        let heard = self.models.wakes.heard(model);
        heard > 0
            && self
                .now
                .wall
                .saturating_sub(self.now.mono.saturating_sub(heard))
                > since_ms
    }

    /// Stops all replicas but the first few.
    fn stop_replicas(&mut self, ix: JobIndex, stay: u32) {
        let Some(shard) = &mut self.shard else { return };
        let Some(job) = shard.job(ix) else { return };
        let grace = job.spec.as_deref().map_or(0.0, grace);
        let mut tasks: Vec<u32> = job.claimed.keys().copied().collect();
        tasks.sort_unstable();
        let over: BTreeSet<u32> = tasks.into_iter().skip(stay as usize).collect();
        let on = job
            .claimed
            .iter()
            .filter(|(t, _)| over.contains(t))
            .flat_map(|(_, c)| c);
        let machines: BTreeSet<usize> = on.map(|(m, _)| *m).collect();
        for m in machines {
            let Some(machine) = shard.machine_mut(m) else {
                continue;
            };
            let mut news = false;
            for claim in machine
                .claims
                .iter_mut()
                .filter(|c| c.job == ix && over.contains(&c.task))
            {
                news |= claim.stop.is_none();
                claim.stop.get_or_insert(grace);
            }
            if news {
                shard.push.insert(m);
            }
        }
    }
}
