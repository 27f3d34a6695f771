//! Messages of the users' interface: submitted jobs, their states, and errors.

use serde::{Deserialize, Serialize};

/// Maximum number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
/// The error message for a number of tasks outside of 1 to [`MAX_TASKS`].
pub(crate) const TASK_COUNT_RULE: &str = "must be an integer from 1 to 100000";
/// Maximum length of the name of a class, team, image, machine type or zone, in bytes.
const MAX_NAME: usize = 120;
/// Maximum number of machine types that one job may name: as many as a catalogue has.
pub const MAX_TYPES: usize = 64;
/// Maximum of a resource, size or duration, in the unit of its field.
const MAX_AMOUNT: f64 = 1e9;

/// Why a submission is invalid: the field, by its name in the message, or the body as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid: {field}: {why}")]
pub struct Fault {
    /// The field's name in the message, or `body`.
    pub field: &'static str,
    /// What is wrong with the field, as a message for the user.
    pub why: &'static str,
}

impl Fault {
    /// A fault of the body as a whole.
    pub fn body(why: &'static str) -> Self {
        Fault { field: "body", why }
    }
}

/// How the tasks of a job run in relation to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Tasks that run independently.
    #[serde(rename = "array")]
    Array,
    /// Tasks that must all run at the same time.
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
    /// The usual priority of users' jobs.
    Normal,
    /// Above normal work.
    High,
    /// Above all others.
    Production,
}

/// A job as a user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id of the job, chosen by the user. Submitting the same id again has no further effect.
    #[serde(rename = "nameId")]
    pub id: String,
    /// The class of the job, to which objectives and counts refer.
    #[serde(rename = "lot")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "desk")]
    pub team: String,
    /// How the tasks run in relation to each other.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// The priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks; at most [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPU cores per task.
    pub cores: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task, in GB.
    #[serde(rename = "ramGb")]
    pub mem_gb: f64,
    /// The image that the tasks run.
    #[serde(rename = "kit")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Machine types that the job may run on; `None` for all.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The zone that the job must run in; `None` for any.
    #[serde(rename = "hall", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether the tasks must be spread over zones.
    pub spread: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Expected run time of one task, in seconds.
    #[serde(rename = "expectS")]
    pub estimate_s: f64,
    /// Interval between checkpoints, in seconds; 0 if the job has none.
    #[serde(rename = "bookmarkS")]
    pub checkpoint_s: f64,
    /// Time needed to save a checkpoint, in seconds.
    #[serde(rename = "stashS")]
    pub save_s: f64,
    /// Time from submission by which the job should be done, in seconds.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Validates the form of the job and names the first invalid field. Whether the job can ever run is for the
    /// controller to decide.
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

/// The progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// None of its tasks is running.
    Pending,
    /// Some of its tasks are running.
    Running,
    /// All its tasks are completed.
    Done,
    /// The job was cancelled.
    Cancelled,
}

impl Stage {
    /// Whether the stage can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Done | Stage::Cancelled)
    }
}

/// The state of a job as reported to users.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The id of the job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// The stage of the job.
    #[serde(rename = "stage")]
    pub stage: Stage,
    /// Number of completed tasks.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks.
    #[serde(default)]
    pub running: u32,
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The reason, as text.
    pub error: String,
}
