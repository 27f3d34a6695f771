//! Bodies of the user, worker, cloud and state interfaces.

use serde::{Deserialize, Serialize};

/// Largest request body, and largest response to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
const MAX_NAME: usize = 120;
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
    /// Checks form only; whether the job can ever run is for the controller to say.
    pub fn check(&self) -> Result<(), &'static str> {
        if !crate::ids::valid_job_id(&self.id) {
            return Err("nameId");
        }
        let name_ok = |s: &str| !s.is_empty() && s.len() <= MAX_NAME;
        if !name_ok(&self.class) || !name_ok(&self.team) || !name_ok(&self.image) {
            return Err("lot, desk or kit");
        }
        if self.zone.as_deref().is_some_and(|z| !name_ok(z)) {
            return Err("hall");
        }
        if let Some(types) = &self.types
            && (types.len() > 16 || types.iter().any(|t| !name_ok(t)))
        {
            return Err("builds");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err("pieces");
        }
        let amounts = [
            self.cores,
            self.gpus,
            self.mem_gb,
            self.image_gb,
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
            self.deadline_s.unwrap_or(0.0),
        ];
        if amounts.iter().any(|a| !a.is_finite() || *a < 0.0 || *a > MAX_AMOUNT) {
            return Err("amounts");
        }
        Ok(())
    }
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
pub struct TaskReport {
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
pub struct Report {
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
    pub session: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
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
    pub session: Option<u64>,
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
        Write::Put { key, value: Box::new(value), lease: None }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Txn {
    pub guards: Vec<Guard>,
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
    #[serde(rename = "v", default = "none", skip_serializing_if = "Option::is_none")]
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
