//! Messages between controllers and the agents on machines: heartbeats and orders.

use serde::{Deserialize, Serialize};

/// The stage of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStage {
    /// The agent is fetching the task's image.
    Fetching,
    /// The task is waiting for the other tasks of its gang.
    Waiting,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint before it ends.
    Saving,
    /// The task has ended.
    Exited,
}

/// Why a task ended or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The task completed its work.
    Done,
    /// The task was stopped by an order.
    Stopped,
    /// Another task of the same gang is gone.
    Peers,
    /// The gang was not complete in time.
    Incomplete,
    /// The agent failed to run the task.
    Error,
    /// The machine does not have enough free resources.
    #[serde(rename = "full")]
    NoRoom,
    /// An earlier attempt of the task is still on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The agent does not know the task.
    Unknown,
    /// A cause from a newer version of the protocol. It is enough to know that the task is gone and not done.
    #[serde(other)]
    Other,
}

/// The status of one task on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's name: the id of its job and its number.
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt that started the task.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// The stage of the task.
    #[serde(rename = "stage")]
    pub stage: TaskStage,
    /// Why the task ended; set only in the last stage.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether the task saved a checkpoint when it ended; `None` if it had nothing to save.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// An agent's periodic report on its machine.
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
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The agent's session. Every start of the agent begins a new one.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// The sequence number of the heartbeat within the session.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token of a leader that the agent has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Time until the cloud reclaims the machine, in seconds; `None` without a reclaim notice.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// The status of each task on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// An order to an agent concerning one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Start the task.
    Start {
        /// The task's name.
        #[serde(rename = "piece")]
        task: String,
        /// The attempt, which all later orders and statuses of the task repeat.
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
        /// Time that the task has for saving a checkpoint, in seconds.
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

/// Orders from the leader, as the response to a heartbeat or as a request of their own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The leader's fencing token. An agent refuses orders whose token is lower than the highest it has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The agent session that the orders are for; `None` for any.
    #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    /// The orders, to be executed in this sequence.
    pub orders: Vec<Order>,
}

/// The response of a controller that does not accept the heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The node name of the controller to send heartbeats to; `None` if it is not known.
    #[serde(rename = "answerTo", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
