//! Messages between controllers and the agents on machines: heartbeats, and the orders that answer them.

use serde::{Deserialize, Serialize};

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
    pub session: u64,
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
    pub session: Option<u64>,
    pub orders: Vec<Order>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "answerTo", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
