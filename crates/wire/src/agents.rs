//! Messages between controllers and the agents on machines: heartbeats, and the orders that answer them.

use serde::{Deserialize, Serialize};

/// How far a task on a machine has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStage {
    /// The agent fetches the task's image.
    Fetching,
    /// The task waits for the other tasks of its gang.
    Waiting,
    /// The task runs.
    Running,
    /// The task saves a checkpoint before it ends.
    Saving,
    /// The task has ended.
    Exited,
}

/// Why a task ended or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It completed its work.
    Done,
    /// It was stopped by an order.
    Stopped,
    /// Another task of its gang is gone.
    Peers,
    /// Its gang was not complete in time.
    Incomplete,
    /// The agent failed to run it.
    Error,
    /// The machine has no room for it.
    #[serde(rename = "full")]
    NoRoom,
    /// An earlier attempt of the task is still on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The agent does not know the task.
    Unknown,
    /// A cause of a newer protocol: the task is gone and not done, which is all that matters.
    #[serde(other)]
    Other,
}

/// The status of one task on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's name: the id of its job and its number.
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt by which it was started.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How far it has come.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why it ended; only in the last stage.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether it saved a checkpoint when it ended; none if it had nothing to save.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// What an agent regularly reports of its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "burrow")]
    pub machine: String,
    /// The agent's address and port.
    pub addr: String,
    /// The machine's type, by its name in the catalogue.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone of the machine.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may take back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The agent's session: a new one begins with every start of the agent.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// The number of this heartbeat within the session.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token of a leader that the agent has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Time until the cloud takes the machine back, in seconds; none without a notice.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// The status of each task on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// An order to an agent, about one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Start the task.
    Start {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt, which every later order and status repeats.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop the task.
    Stop {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt to stop.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task has to save its work, in seconds.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Forget a task that has ended.
    Reap {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt to forget.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a heartbeat, or a message on its own: orders from the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The leader's fencing token; an agent refuses orders with a lower one than it has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The session that the orders are meant for; none for any.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    /// The orders, to be followed one after the other.
    pub orders: Vec<Order>,
}

/// The answer of a controller that does not take the heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The node name of the controller to report to; none if it is not known.
    #[serde(rename = "answerTo", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
