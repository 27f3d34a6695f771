//! Bodies of the user, worker, cloud and state interfaces.

use crate::submission::Fault;
use serde::{Deserialize, Serialize};

/// Largest request body, and largest response to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
const MAX_NAME: usize = 120;
/// Machine types that one job may name: as many as a catalogue has.
pub const MAX_TYPES: usize = 64;
const MAX_AMOUNT: f64 = 1e9;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

/// What a user submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "nameId")]
    pub id: String,
    #[serde(rename = "lot")]
    pub class: String,
    #[serde(rename = "desk")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: Kind,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    pub cores: f64,
    pub gpus: f64,
    #[serde(rename = "ramGb")]
    pub mem_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "hall", default)]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expectS")]
    pub estimate_s: f64,
    #[serde(rename = "bookmarkS")]
    pub checkpoint_s: f64,
    #[serde(rename = "stashS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Checks form only, and names the first field that is wrong; whether the job can ever run is for the controller to
    /// say.
    pub fn check(&self) -> Result<(), Fault> {
        if !crate::ids::valid_job_id(&self.id) {
            return Err(Fault {
                field: "nameId",
                why: "must be job- and 1 to 18 digits",
            });
        }
        for (field, name) in [
            ("lot", &self.class),
            ("desk", &self.team),
            ("kit", &self.image),
        ] {
            named(field, name)?;
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(Fault {
                field: "pieces",
                why: "must be an integer from 1 to 100000",
            });
        }
        if let Some(types) = &self.types {
            checked_types(types)?;
        }
        if let Some(zone) = &self.zone {
            named("hall", zone)?;
        }
        let amounts = [
            ("cores", self.cores),
            ("gpus", self.gpus),
            ("ramGb", self.mem_gb),
            ("pullGb", self.image_gb),
            ("expectS", self.estimate_s),
            ("bookmarkS", self.checkpoint_s),
            ("stashS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        match amounts
            .iter()
            .find(|(_, a)| !(0.0..=MAX_AMOUNT).contains(a))
        {
            Some((field, _)) => Err(Fault {
                field,
                why: "must be a finite number from 0 to 1e9",
            }),
            None => Ok(()),
        }
    }
}

fn named(field: &'static str, name: &str) -> Result<(), Fault> {
    if (1..=MAX_NAME).contains(&name.len()) {
        return Ok(());
    }
    Err(Fault {
        field,
        why: "must be text of 1 to 120 bytes",
    })
}

fn checked_types(types: &[String]) -> Result<(), Fault> {
    let field = "builds";
    if types.is_empty() || types.len() > MAX_TYPES {
        return Err(Fault {
            field,
            why: "must be null or a list of 1 to 64 names",
        });
    }
    types.iter().try_for_each(|name| named(field, name))?;
    if types
        .iter()
        .enumerate()
        .any(|(i, name)| types[..i].contains(name))
    {
        return Err(Fault {
            field,
            why: "names a type twice",
        });
    }
    Ok(())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    Pending,
    Running,
    Done,
    Cancelled,
}

impl Stage {
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    #[serde(rename = "nameId")]
    pub id: String,
    #[serde(rename = "stage")]
    pub stage: Stage,
    #[serde(default)]
    pub done: u32,
    #[serde(default)]
    pub running: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}

// ---- workers ----

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStage {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    Peers,
    Incomplete,
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    Unknown,
    /// A cause of a newer protocol: the task is gone and not done, which is all that matters.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "burrow")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    Reap {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    pub orders: Vec<Order>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "answerTo", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

// ---- cloud ----

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    pub cores: f64,
    pub gpus: f64,
    #[serde(rename = "ramGb")]
    pub mem_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", default)]
    pub price: f64,
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    #[serde(rename = "halls", default)]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HireRequest {
    #[serde(rename = "hire")]
    pub request: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "burrows")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "nameId")]
    pub name: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "hall")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "stage")]
    pub stage: String,
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "burrows")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

// ---- state service ----

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Box<crate::records::Record>,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Remove {
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    pub fn put(key: String, value: crate::records::Record) -> Self {
        Write::Put {
            key,
            value: Box::new(value),
            lease: None,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Txn {
    pub guards: Vec<Guard>,
    /// Without any, the versions are only compared.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Why a transaction was not made: the keys whose versions were others than its guards say.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<T> {
    pub key: String,
    #[serde(rename = "v")]
    pub value: T,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Range<T> {
    pub items: Vec<Item<T>>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Change<T> {
    #[serde(rename = "write", default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(
        rename = "v",
        default = "none",
        skip_serializing_if = "Option::is_none"
    )]
    pub value: Option<T>,
    #[serde(rename = "remove", default, skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

fn none<T>() -> Option<T> {
    None
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Changes<T> {
    #[serde(rename = "ledger")]
    pub revision: u64,
    #[serde(rename = "log", default = "Vec::new")]
    pub events: Vec<Change<T>>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}
