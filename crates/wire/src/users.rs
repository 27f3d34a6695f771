//! Messages of the users' interface: jobs as they are submitted, their states, and refusals.

use serde::{Deserialize, Serialize};

/// Most tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
/// The bound of the number of tasks in words, as [`MAX_TASKS`] has it.
pub(crate) const TASK_COUNT_RULE: &str = "must be an integer from 1 to 100000";
/// Longest name of a class, team, image, machine type or zone, in bytes.
const MAX_NAME: usize = 120;
/// Machine types that one job may name: as many as a catalogue has.
pub const MAX_TYPES: usize = 64;
/// Largest amount of a resource, a size or a time, in its field's unit.
const MAX_AMOUNT: f64 = 1e9;

/// What is wrong with a submission: the field by its name on the wire, or the body as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid: {field}: {why}")]
pub struct Fault {
    /// The field's name on the wire, or `body`.
    pub field: &'static str,
    /// What is wrong with it, in words for the user.
    pub why: &'static str,
}

impl Fault {
    /// A fault of the body as a whole.
    pub fn body(why: &'static str) -> Self {
        Fault { field: "body", why }
    }
}

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Tasks that run independently.
    #[serde(rename = "array")]
    Array,
    /// Tasks that run only all at the same time.
    #[serde(rename = "group")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// The priority of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Below all others.
    Low,
    /// The default of users.
    Normal,
    /// Above normal work.
    High,
    /// Above all others.
    Production,
}

/// What a user submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id, made by the user: a repeat with the same id submits nothing more.
    #[serde(rename = "nameId")]
    pub id: String,
    /// The class of the job, by which objectives and counts are kept.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team that the job counts against.
    #[serde(rename = "desk")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Its priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// How many tasks it has; at most [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPU cores of one task.
    pub cores: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task, in GB.
    #[serde(rename = "ramGb")]
    pub mem_gb: f64,
    /// The image that its tasks run.
    #[serde(rename = "kit")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Machine types that it may run on; none for all.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The zone that it must run in; none for any.
    #[serde(rename = "hall", default)]
    pub zone: Option<String>,
    /// Whether all its tasks must run in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether its tasks must be spread over zones.
    pub spread: bool,
    /// Whether it may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Expected running time of one task, in seconds.
    #[serde(rename = "expectS")]
    pub estimate_s: f64,
    /// Interval between its checkpoints, in seconds; 0 without any.
    #[serde(rename = "bookmarkS")]
    pub checkpoint_s: f64,
    /// Time that it takes to save a checkpoint, in seconds.
    #[serde(rename = "stashS")]
    pub save_s: f64,
    /// Time from its submission by which it is to be done, in seconds.
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
            check_name(field, name)?;
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(Fault {
                field: "pieces",
                why: TASK_COUNT_RULE,
            });
        }
        if let Some(types) = &self.types {
            check_types(types)?;
        }
        if let Some(zone) = &self.zone {
            check_name("hall", zone)?;
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

fn check_name(field: &'static str, name: &str) -> Result<(), Fault> {
    if (1..=MAX_NAME).contains(&name.len()) {
        return Ok(());
    }
    Err(Fault {
        field,
        why: "must be text of 1 to 120 bytes",
    })
}

fn check_types(types: &[String]) -> Result<(), Fault> {
    let field = "builds";
    if types.is_empty() || types.len() > MAX_TYPES {
        return Err(Fault {
            field,
            why: "must be null or a list of 1 to 64 names",
        });
    }
    types.iter().try_for_each(|name| check_name(field, name))?;
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

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// None of its tasks runs.
    Pending,
    /// Some of its tasks run.
    Running,
    /// All its tasks are completed.
    Done,
    /// It was cancelled.
    Cancelled,
}

impl Stage {
    /// Whether the stage never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }
}

/// The state of a job, as users see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The id of the job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// How far it has come.
    #[serde(rename = "stage")]
    pub stage: Stage,
    /// How many of its tasks are completed.
    #[serde(default)]
    pub done: u32,
    /// How many of its tasks run.
    #[serde(default)]
    pub running: u32,
}

/// The body of a refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The reason, in words.
    pub error: String,
}
