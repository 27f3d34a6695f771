//! Scenes: teams, jobs and operators' changes that a test defines itself, with their times.

use crate::state::State;
use quota::{Spec, Tree};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use wire::admin::{Change, Edit};
use wire::api::{JobSpec, Kind, Priority};
use wire::tree::{Head, HeadRecord, PartRecord};

/// A team in the settings: its guaranteed GPUs and its limit (0 for no limit).
#[derive(Debug, Clone)]
pub struct Team {
    pub name: String,
    pub guarantee: f64,
    pub max: f64,
}

/// A job, when it is submitted, the run time of each task, and how long after submission it is cancelled.
#[derive(Debug, Clone)]
pub struct Timed {
    pub at: u64,
    pub run_ms: u64,
    pub cancel_ms: Option<u64>,
    pub spec: JobSpec,
}

#[derive(Debug, Clone, Default)]
pub struct Scene {
    pub teams: Vec<Team>,
    pub jobs: Vec<Timed>,
    pub changes: Vec<(u64, Change)>,
    /// Operators' requests about other documents, with time and path. Each is retried until it is answered.
    pub asks: Vec<(u64, String, Value)>,
    /// The maximum number of machines that the cloud rents out.
    pub machines: usize,
    /// Zones of the machines; nodes are assigned to them round robin. Two zones are used if this is empty.
    pub zones: Vec<String>,
    /// Settings of the gateway that runs next to each controller, and the gateway's clients.
    pub yarn: Option<gateway::Config>,
    pub clients: Vec<crate::yarn::Client>,
    /// Drains that an operator requests, with their times.
    pub drains: Vec<(u64, gateway::book::web::DrainAsk)>,
    /// The delay, in milliseconds, of the gateway's transactions on the state service; without a gateway, of all
    /// transactions.
    pub records_ms: u64,
    /// Limits of the state service, if not the default ones.
    pub limits: Option<crate::state::Limits>,
    /// Limits that the state service will have later, as the settings announce them.
    pub next: Option<crate::state::Limits>,
    /// One in so many of these transactions is held for some seconds, and executed after its sender has gone on or
    /// crashed.
    pub held_one_in: u32,
    /// Each node's wall clock is ahead of the previous node's by this many milliseconds.
    pub skew_ms: u64,
    /// Models, and requests for them with their times, to the given node or a random one.
    pub models: Option<model::Spec>,
    pub demands: Vec<(u64, String, Option<usize>)>,
    /// Application masters keep running after their task has gone, as if their machine were merely unreachable.
    pub undead: bool,
    /// Users connect through a load balancer, and faults are injected at scheduled times.
    pub day: Option<crate::days::Day>,
}

impl Scene {
    pub fn team(mut self, name: &str, guarantee: f64, max: f64) -> Self {
        self.teams.push(Team {
            name: name.into(),
            guarantee,
            max,
        });
        self
    }

    /// An operator puts this quota tree in force at the given time.
    pub fn tree(mut self, at: u64, id: &str, spec: &Spec) -> Self {
        self.changes
            .push((at, change(id, None, Edit::Set { spec: spec.clone() })));
        self
    }

    pub fn quota_teams(&self) -> Vec<quota::Team> {
        let gpus = |v: f64| {
            if v > 0.0 {
                [("gpus".to_owned(), v)].into()
            } else {
                BTreeMap::new()
            }
        };
        let team = |t: &Team| quota::Team {
            name: t.name.clone(),
            guarantee: gpus(t.guarantee),
            max: gpus(t.max),
        };
        self.teams.iter().map(team).collect()
    }

    /// The teams in the format of the settings.
    pub fn teams_json(&self) -> Value {
        let team = |t: &Team| json!({"name": t.name, "cpus": 0.0, "cpus_max": 0.0, "gpus": t.guarantee, "gpus_max": t.max});
        self.teams.iter().map(team).collect()
    }

    /// The quota tree in the state service. If sabotage raised its limits, the original limits are restored.
    pub fn tree_in(&self, state: &State, raised: bool) -> Result<(u64, Tree), String> {
        let read =
            |v: &Value| serde_json::from_value::<HeadRecord>(v.clone()).map_err(|e| e.to_string());
        let entry = state.keys.get(wire::records::QUOTA);
        let head = entry.map_or(Ok(Head::default()), |e| read(&e.value).map(|r| r.quota))?;
        let parts = state.keys.iter().filter_map(|(k, e)| {
            let name = k.strip_prefix(wire::records::QUOTA_PARTS)?;
            Some((
                name.to_owned(),
                serde_json::from_value::<PartRecord>(e.value.clone()).ok()?,
            ))
        });
        let mut spec = wire::tree::join(&head, &parts.collect())?;
        if raised {
            spec.nodes
                .iter_mut()
                .flat_map(|n| n.max.values_mut())
                .for_each(|m| *m /= 10.0);
        }
        let tree = Tree::build(&spec, &self.quota_teams()).map_err(|f| f[0].to_string())?;
        Ok((head.version, tree))
    }
}

/// An operator's change, based on the version `expect` or on whatever is in force.
pub fn change(id: &str, expect: Option<u64>, edit: Edit) -> Change {
    Change {
        id: id.into(),
        by: "operator".into(),
        expect,
        dry_run: false,
        edit,
    }
}

/// An array of one-GPU tasks that can save checkpoints, without constraints on machines.
pub fn array(id: u32, team: &str, tasks: u32, estimate_s: f64) -> JobSpec {
    JobSpec {
        id: format!("job-{id:06}"),
        class: "c".into(),
        team: team.into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cores: 2.0,
        gpus: 1.0,
        mem_gb: 4.0,
        image: "img-0".into(),
        image_gb: 2.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s,
        checkpoint_s: 3.0,
        save_s: 0.5,
        deadline_s: None,
    }
}
