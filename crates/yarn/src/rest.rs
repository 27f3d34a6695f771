//! The resource manager's REST interface under `/ws/v1/cluster`: request and response bodies in JSON or XML.
//!
//! Times are in milliseconds since 1970 (0 if not reached yet), memory is in MiB. A single value is accepted where a
//! list is expected, because published clients send lists of one in this way.

use crate::error::Fault;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

pub const ROOT: &str = "/ws/v1/cluster";

/// The format of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    Json,
    Xml,
}

impl Form {
    /// Selects the format from an `Accept` or `Content-Type` header: the first listed media type that is supported.
    /// JSON if the header is empty, `None` if it lists only unsupported types.
    pub fn wanted(accept: &str) -> Option<Form> {
        let mut has_unsupported = false;
        for part in accept
            .split(',')
            .map(|p| p.split(';').next().unwrap_or("").trim())
        {
            match part.to_ascii_lowercase().as_str() {
                "" => {}
                "application/json" | "*/*" | "application/*" => return Some(Form::Json),
                "application/xml" | "text/xml" => return Some(Form::Xml),
                _ => has_unsupported = true,
            }
        }
        (!has_unsupported).then_some(Form::Json)
    }

    pub fn content_type(self) -> &'static str {
        match self {
            Form::Json => "application/json",
            Form::Xml => "application/xml",
        }
    }
}

/// Renders a body. XML always has the root element; JSON has it unless `omit_json_root` is set, for bodies whose
/// published JSON form has no root.
pub fn render<T: Serialize>(form: Form, root: &str, omit_json_root: bool, value: &T) -> Vec<u8> {
    match form {
        Form::Json if omit_json_root => serde_json::to_vec(value).unwrap_or_default(),
        Form::Json => serde_json::to_vec(&json!({ root: value })).unwrap_or_default(),
        Form::Xml => quick_xml::se::to_string_with_root(root, value)
            .unwrap_or_default()
            .into_bytes(),
    }
}

/// Parses a body. The name of the XML root element is ignored; a JSON body is parsed as it is, so a root has to be part
/// of `T`.
pub fn read<T: for<'de> Deserialize<'de>>(form: Form, body: &[u8]) -> Result<T, String> {
    match form {
        Form::Json => {
            let mut value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
            wrap_single_values(&mut value);
            serde_json::from_value(value).map_err(|e| e.to_string())
        }
        Form::Xml => {
            let text = std::str::from_utf8(body).map_err(|e| e.to_string())?;
            quick_xml::de::from_str(text).map_err(|e| e.to_string())
        }
    }
}

/// Names of the fields that contain lists.
const LIST_FIELDS: [&str; 4] = ["entry", "tag", "timeout", "resourceInformation"];

/// Wraps single values of list fields in a list, because clients send a list of one as a bare value.
fn wrap_single_values(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                wrap_single_values(field);
                if LIST_FIELDS.contains(&name.as_str()) && !field.is_array() {
                    let single = field.take();
                    *field = Value::Array(if single.is_null() {
                        Vec::new()
                    } else {
                        vec![single]
                    });
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(wrap_single_values),
        _ => {}
    }
}

/// Renders the body of an error response.
pub fn error(form: Form, fault: &Fault) -> Vec<u8> {
    let class = fault.class.name();
    let simple_name = class.rsplit('.').next().unwrap_or(class);
    let body = RemoteException {
        exception: simple_name.to_owned(),
        message: fault.message.clone(),
        java_class_name: class.to_owned(),
    };
    render(form, "RemoteException", false, &body)
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RemoteException {
    pub exception: String,
    pub message: String,
    pub java_class_name: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClusterInfo {
    pub id: i64,
    pub started_on: i64,
    pub state: String,
    pub ha_state: String,
    pub resource_manager_version: String,
    pub hadoop_version: String,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClusterMetrics {
    pub apps_submitted: u64,
    pub apps_completed: u64,
    pub apps_pending: u64,
    pub apps_running: u64,
    pub apps_failed: u64,
    pub apps_killed: u64,
    #[serde(rename = "reservedMB")]
    pub reserved_mb: u64,
    #[serde(rename = "availableMB")]
    pub available_mb: u64,
    #[serde(rename = "allocatedMB")]
    pub allocated_mb: u64,
    pub reserved_virtual_cores: u64,
    pub available_virtual_cores: u64,
    pub allocated_virtual_cores: u64,
    pub containers_allocated: u64,
    pub containers_reserved: u64,
    pub containers_pending: u64,
    #[serde(rename = "totalMB")]
    pub total_mb: u64,
    pub total_virtual_cores: u64,
    pub total_nodes: u64,
    pub lost_nodes: u64,
    pub unhealthy_nodes: u64,
    pub decommissioning_nodes: u64,
    pub decommissioned_nodes: u64,
    pub rebooted_nodes: u64,
    pub active_nodes: u64,
    pub shutdown_nodes: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct App {
    pub id: String,
    pub user: String,
    pub name: String,
    pub queue: String,
    pub state: String,
    pub final_status: String,
    pub progress: f32,
    #[serde(rename = "trackingUI")]
    pub tracking_ui: String,
    pub tracking_url: String,
    pub diagnostics: String,
    pub cluster_id: i64,
    pub application_type: String,
    pub application_tags: String,
    pub priority: i32,
    pub started_time: i64,
    pub launch_time: i64,
    pub finished_time: i64,
    pub elapsed_time: i64,
    #[serde(rename = "allocatedMB")]
    pub allocated_mb: i64,
    #[serde(rename = "allocatedVCores")]
    pub allocated_vcores: i64,
    pub running_containers: i64,
    pub unmanaged_application: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Apps {
    #[serde(default)]
    pub app: Vec<App>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AppAttempt {
    pub id: u32,
    pub start_time: i64,
    pub finished_time: i64,
    pub container_id: String,
    pub node_http_address: String,
    pub node_id: String,
    pub logs_link: String,
    pub app_attempt_id: String,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AppAttempts {
    #[serde(default)]
    pub app_attempt: Vec<AppAttempt>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatItem {
    pub state: String,
    #[serde(rename = "type")]
    pub kind: String,
    pub count: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AppStatistics {
    #[serde(default)]
    pub stat_item: Vec<StatItem>,
}

/// The state of an application, used both to report it and to request a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppState {
    pub state: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppQueue {
    pub queue: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppPriority {
    pub priority: i32,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Node {
    pub rack: String,
    pub state: String,
    pub id: String,
    pub node_host_name: String,
    #[serde(rename = "nodeHTTPAddress")]
    pub node_http_address: String,
    pub last_health_update: i64,
    pub health_report: String,
    pub num_containers: u64,
    #[serde(rename = "usedMemoryMB")]
    pub used_memory_mb: u64,
    #[serde(rename = "availMemoryMB")]
    pub avail_memory_mb: u64,
    pub used_virtual_cores: u64,
    pub available_virtual_cores: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Nodes {
    #[serde(default)]
    pub node: Vec<Node>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queues {
    #[serde(default)]
    pub queue: Vec<Queue>,
}

/// A queue and its child queues; capacities are percentages of the whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Queue {
    #[serde(rename = "type", default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    pub capacity: f64,
    pub used_capacity: f64,
    pub max_capacity: f64,
    pub queue_name: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub queue_path: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub state: String,
    #[serde(default)]
    pub num_applications: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queues: Option<Queues>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Scheduler {
    pub scheduler_info: Queue,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Capability {
    pub memory: i64,
    #[serde(rename = "vCores")]
    pub vcores: i32,
    #[serde(
        rename = "resourceInformations",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub named: Option<Informations>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Informations {
    #[serde(rename = "resourceInformation", default)]
    pub each: Vec<Information>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Information {
    pub name: String,
    pub value: i64,
    #[serde(default)]
    pub units: String,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct NewApplication {
    pub application_id: String,
    pub maximum_resource_capability: Capability,
}

/// An application submission. Omitted fields have the published defaults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Submission {
    pub application_id: String,
    pub application_name: String,
    pub queue: String,
    pub priority: i32,
    pub am_container_spec: Launch,
    #[serde(rename = "unmanaged-AM")]
    pub unmanaged_am: bool,
    pub max_app_attempts: i32,
    pub resource: Capability,
    pub application_type: String,
    pub keep_containers_across_application_attempts: bool,
    pub application_tags: Tags,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub app_node_label_expression: Option<String>,
    pub application_timeouts: Timeouts,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Launch {
    pub local_resources: Entries<LocalResource>,
    pub environment: Entries<String>,
    pub commands: Commands,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Commands {
    pub command: String,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Tags {
    pub tag: Vec<String>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Timeouts {
    pub timeout: Vec<Timeout>,
}

/// Limit on an application's lifetime, in seconds from its submission; a longer-running application is ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Timeout {
    #[serde(rename = "type")]
    pub kind: String,
    #[serde(rename = "expiryTime", default)]
    pub expiry_time: String,
    #[serde(rename = "remainingTimeInSeconds", default)]
    pub remaining_s: i64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Deserialize<'de>"))]
pub struct Entries<T> {
    #[serde(default = "Vec::new")]
    pub entry: Vec<Entry<T>>,
}

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Entries { entry: Vec::new() }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry<T> {
    pub key: String,
    pub value: T,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LocalResource {
    pub resource: String,
    #[serde(rename = "type")]
    pub kind: String,
    pub visibility: String,
    pub size: i64,
    pub timestamp: i64,
}
