//! Messages of the users' interface: jobs as they are submitted, their states, and refusals.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Most tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
const MAX_NAME: usize = 120;
/// Machine types that one job may name: as many as a catalogue has.
pub const MAX_TYPES: usize = 64;
const MAX_AMOUNT: f64 = 1e9;

/// What is wrong with a submission: the field by its name on the wire, or the body as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    pub field: &'static str,
    pub why: &'static str,
}

impl Fault {
    pub fn body(why: &'static str) -> Self {
        Fault { field: "body", why }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid: {}: {}", self.field, self.why)
    }
}

impl std::error::Error for Fault {}

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
