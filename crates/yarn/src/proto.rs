//! Messages of the application client protocol, with their published field numbers. Names follow the published ones
//! without the suffix `Proto`. Memory sizes are in MiB, times in milliseconds since 1970.

/// States of an application, in the order in which it goes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ApplicationState {
    New = 1,
    NewSaving = 2,
    Submitted = 3,
    Accepted = 4,
    Running = 5,
    Finished = 6,
    Failed = 7,
    Killed = 8,
}

/// The outcome that an application reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum FinalStatus {
    Undefined = 0,
    Succeeded = 1,
    Failed = 2,
    Killed = 3,
    Ended = 4,
}

/// States of an application attempt, which is one run of its application master.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum AttemptState {
    New = 1,
    Submitted = 2,
    Scheduled = 3,
    AllocatedSaving = 4,
    Allocated = 5,
    Launched = 6,
    Failed = 7,
    Running = 8,
    Finishing = 9,
    Finished = 10,
    Killed = 11,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ContainerState {
    New = 1,
    Running = 2,
    Complete = 3,
}

/// States of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum NodeState {
    New = 1,
    Running = 2,
    Unhealthy = 3,
    Decommissioned = 4,
    Lost = 5,
    Rebooted = 6,
    Decommissioning = 7,
    Shutdown = 8,
}

/// Whether a queue accepts new applications.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum QueueState {
    Stopped = 1,
    Running = 2,
    Draining = 3,
}

/// Operations on a queue that a user can be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum QueueAcl {
    SubmitApplications = 1,
    AdministerQueue = 2,
}

/// The kind of a file that is provided to a container.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum LocalResourceType {
    Archive = 1,
    File = 2,
    Pattern = 3,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct ApplicationId {
    #[prost(int32, required, tag = "1")]
    pub id: i32,
    #[prost(int64, required, tag = "2")]
    pub cluster_timestamp: i64,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct ApplicationAttemptId {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
    #[prost(int32, required, tag = "2")]
    pub attempt_id: i32,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct ContainerId {
    #[prost(message, optional, tag = "1")]
    pub app_id: Option<ApplicationId>,
    #[prost(message, optional, tag = "2")]
    pub app_attempt_id: Option<ApplicationAttemptId>,
    #[prost(int64, required, tag = "3")]
    pub id: i64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ResourceInformation {
    #[prost(string, required, tag = "1")]
    pub key: String,
    #[prost(int64, optional, tag = "2")]
    pub value: Option<i64>,
    #[prost(string, optional, tag = "3")]
    pub units: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Resource {
    #[prost(int64, optional, tag = "1")]
    pub memory: Option<i64>,
    #[prost(int32, optional, tag = "2")]
    pub virtual_cores: Option<i32>,
    #[prost(message, repeated, tag = "3")]
    pub values: Vec<ResourceInformation>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Priority {
    #[prost(int32, required, tag = "1")]
    pub priority: i32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeId {
    #[prost(string, required, tag = "1")]
    pub host: String,
    #[prost(int32, required, tag = "2")]
    pub port: i32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Token {
    #[prost(bytes = "vec", required, tag = "1")]
    pub identifier: Vec<u8>,
    #[prost(bytes = "vec", required, tag = "2")]
    pub password: Vec<u8>,
    #[prost(string, required, tag = "3")]
    pub kind: String,
    #[prost(string, required, tag = "4")]
    pub service: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Url {
    #[prost(string, optional, tag = "1")]
    pub scheme: Option<String>,
    #[prost(string, optional, tag = "2")]
    pub host: Option<String>,
    #[prost(int32, optional, tag = "3")]
    pub port: Option<i32>,
    #[prost(string, optional, tag = "4")]
    pub file: Option<String>,
    #[prost(string, optional, tag = "5")]
    pub user_info: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct LocalResource {
    #[prost(message, optional, tag = "1")]
    pub resource: Option<Url>,
    #[prost(int64, optional, tag = "2")]
    pub size: Option<i64>,
    #[prost(int64, optional, tag = "3")]
    pub timestamp: Option<i64>,
    #[prost(enumeration = "LocalResourceType", optional, tag = "4")]
    pub kind: Option<i32>,
    #[prost(int32, optional, tag = "5")]
    pub visibility: Option<i32>,
    #[prost(string, optional, tag = "6")]
    pub pattern: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StringLocalResource {
    #[prost(string, required, tag = "1")]
    pub key: String,
    #[prost(message, optional, tag = "2")]
    pub value: Option<LocalResource>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StringBytes {
    #[prost(string, required, tag = "1")]
    pub key: String,
    #[prost(bytes = "vec", optional, tag = "2")]
    pub value: Option<Vec<u8>>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StringString {
    #[prost(string, required, tag = "1")]
    pub key: String,
    #[prost(string, optional, tag = "2")]
    pub value: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ApplicationAcl {
    #[prost(int32, optional, tag = "1")]
    pub access_type: Option<i32>,
    #[prost(string, optional, tag = "2")]
    pub acl: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ContainerLaunchContext {
    #[prost(message, repeated, tag = "1")]
    pub local_resources: Vec<StringLocalResource>,
    #[prost(bytes = "vec", optional, tag = "2")]
    pub tokens: Option<Vec<u8>>,
    #[prost(message, repeated, tag = "3")]
    pub service_data: Vec<StringBytes>,
    #[prost(message, repeated, tag = "4")]
    pub environment: Vec<StringString>,
    #[prost(string, repeated, tag = "5")]
    pub command: Vec<String>,
    #[prost(message, repeated, tag = "6")]
    pub application_acls: Vec<ApplicationAcl>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ApplicationTimeout {
    #[prost(int32, optional, tag = "1")]
    pub kind: Option<i32>,
    #[prost(int64, optional, tag = "2")]
    pub timeout: Option<i64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ResourceRequest {
    #[prost(message, optional, tag = "1")]
    pub priority: Option<Priority>,
    #[prost(string, optional, tag = "2")]
    pub resource_name: Option<String>,
    #[prost(message, optional, tag = "3")]
    pub capability: Option<Resource>,
    #[prost(int32, optional, tag = "4")]
    pub num_containers: Option<i32>,
    #[prost(bool, optional, tag = "5")]
    pub relax_locality: Option<bool>,
    #[prost(string, optional, tag = "6")]
    pub node_label_expression: Option<String>,
    #[prost(int64, optional, tag = "8")]
    pub allocation_request_id: Option<i64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ApplicationSubmissionContext {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
    #[prost(string, optional, tag = "2")]
    pub application_name: Option<String>,
    #[prost(string, optional, tag = "3")]
    pub queue: Option<String>,
    #[prost(message, optional, tag = "4")]
    pub priority: Option<Priority>,
    #[prost(message, optional, tag = "5")]
    pub am_container_spec: Option<ContainerLaunchContext>,
    #[prost(bool, optional, tag = "6")]
    pub cancel_tokens_when_complete: Option<bool>,
    #[prost(bool, optional, tag = "7")]
    pub unmanaged_am: Option<bool>,
    #[prost(int32, optional, tag = "8")]
    pub max_app_attempts: Option<i32>,
    #[prost(message, optional, tag = "9")]
    pub resource: Option<Resource>,
    #[prost(string, optional, tag = "10")]
    pub application_type: Option<String>,
    #[prost(bool, optional, tag = "11")]
    pub keep_containers: Option<bool>,
    #[prost(string, repeated, tag = "12")]
    pub application_tags: Vec<String>,
    #[prost(int64, optional, tag = "13")]
    pub attempt_failures_validity_interval: Option<i64>,
    #[prost(bytes = "vec", optional, tag = "15")]
    pub reservation_id: Option<Vec<u8>>,
    #[prost(string, optional, tag = "16")]
    pub node_label_expression: Option<String>,
    #[prost(message, repeated, tag = "17")]
    pub am_container_resource_request: Vec<ResourceRequest>,
    #[prost(message, repeated, tag = "18")]
    pub application_timeouts: Vec<ApplicationTimeout>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ApplicationResourceUsageReport {
    #[prost(int32, optional, tag = "1")]
    pub num_used_containers: Option<i32>,
    #[prost(int32, optional, tag = "2")]
    pub num_reserved_containers: Option<i32>,
    #[prost(message, optional, tag = "3")]
    pub used_resources: Option<Resource>,
    #[prost(message, optional, tag = "4")]
    pub reserved_resources: Option<Resource>,
    #[prost(message, optional, tag = "5")]
    pub needed_resources: Option<Resource>,
    #[prost(int64, optional, tag = "6")]
    pub memory_seconds: Option<i64>,
    #[prost(int64, optional, tag = "7")]
    pub vcore_seconds: Option<i64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ApplicationReport {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
    #[prost(string, optional, tag = "2")]
    pub user: Option<String>,
    #[prost(string, optional, tag = "3")]
    pub queue: Option<String>,
    #[prost(string, optional, tag = "4")]
    pub name: Option<String>,
    #[prost(string, optional, tag = "5")]
    pub host: Option<String>,
    #[prost(int32, optional, tag = "6")]
    pub rpc_port: Option<i32>,
    #[prost(message, optional, tag = "7")]
    pub client_to_am_token: Option<Token>,
    #[prost(enumeration = "ApplicationState", optional, tag = "8")]
    pub yarn_application_state: Option<i32>,
    #[prost(string, optional, tag = "9")]
    pub tracking_url: Option<String>,
    #[prost(string, optional, tag = "10")]
    pub diagnostics: Option<String>,
    #[prost(int64, optional, tag = "11")]
    pub start_time: Option<i64>,
    #[prost(int64, optional, tag = "12")]
    pub finish_time: Option<i64>,
    #[prost(enumeration = "FinalStatus", optional, tag = "13")]
    pub final_application_status: Option<i32>,
    #[prost(message, optional, tag = "14")]
    pub usage: Option<ApplicationResourceUsageReport>,
    #[prost(string, optional, tag = "15")]
    pub original_tracking_url: Option<String>,
    #[prost(message, optional, tag = "16")]
    pub current_application_attempt_id: Option<ApplicationAttemptId>,
    #[prost(float, optional, tag = "17")]
    pub progress: Option<f32>,
    #[prost(string, optional, tag = "18")]
    pub application_type: Option<String>,
    #[prost(message, optional, tag = "19")]
    pub am_rm_token: Option<Token>,
    #[prost(string, repeated, tag = "20")]
    pub application_tags: Vec<String>,
    #[prost(bool, optional, tag = "22")]
    pub unmanaged_application: Option<bool>,
    #[prost(message, optional, tag = "23")]
    pub priority: Option<Priority>,
    #[prost(int64, optional, tag = "27")]
    pub launch_time: Option<i64>,
    #[prost(int64, optional, tag = "28")]
    pub submit_time: Option<i64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ApplicationAttemptReport {
    #[prost(message, optional, tag = "1")]
    pub application_attempt_id: Option<ApplicationAttemptId>,
    #[prost(string, optional, tag = "2")]
    pub host: Option<String>,
    #[prost(int32, optional, tag = "3")]
    pub rpc_port: Option<i32>,
    #[prost(string, optional, tag = "4")]
    pub tracking_url: Option<String>,
    #[prost(string, optional, tag = "5")]
    pub diagnostics: Option<String>,
    #[prost(enumeration = "AttemptState", optional, tag = "6")]
    pub state: Option<i32>,
    #[prost(message, optional, tag = "7")]
    pub am_container_id: Option<ContainerId>,
    #[prost(string, optional, tag = "8")]
    pub original_tracking_url: Option<String>,
    #[prost(int64, optional, tag = "9")]
    pub start_time: Option<i64>,
    #[prost(int64, optional, tag = "10")]
    pub finish_time: Option<i64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ContainerReport {
    #[prost(message, optional, tag = "1")]
    pub container_id: Option<ContainerId>,
    #[prost(message, optional, tag = "2")]
    pub resource: Option<Resource>,
    #[prost(message, optional, tag = "3")]
    pub node_id: Option<NodeId>,
    #[prost(message, optional, tag = "4")]
    pub priority: Option<Priority>,
    #[prost(int64, optional, tag = "5")]
    pub creation_time: Option<i64>,
    #[prost(int64, optional, tag = "6")]
    pub finish_time: Option<i64>,
    #[prost(string, optional, tag = "7")]
    pub diagnostics_info: Option<String>,
    #[prost(string, optional, tag = "8")]
    pub log_url: Option<String>,
    #[prost(int32, optional, tag = "9")]
    pub container_exit_status: Option<i32>,
    #[prost(enumeration = "ContainerState", optional, tag = "10")]
    pub container_state: Option<i32>,
    #[prost(string, optional, tag = "11")]
    pub node_http_address: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeReport {
    #[prost(message, optional, tag = "1")]
    pub node_id: Option<NodeId>,
    #[prost(string, optional, tag = "2")]
    pub http_address: Option<String>,
    #[prost(string, optional, tag = "3")]
    pub rack_name: Option<String>,
    #[prost(message, optional, tag = "4")]
    pub used: Option<Resource>,
    #[prost(message, optional, tag = "5")]
    pub capability: Option<Resource>,
    #[prost(int32, optional, tag = "6")]
    pub num_containers: Option<i32>,
    #[prost(enumeration = "NodeState", optional, tag = "7")]
    pub node_state: Option<i32>,
    #[prost(string, optional, tag = "8")]
    pub health_report: Option<String>,
    #[prost(int64, optional, tag = "9")]
    pub last_health_report_time: Option<i64>,
    #[prost(string, repeated, tag = "10")]
    pub node_labels: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ClusterMetrics {
    #[prost(int32, optional, tag = "1")]
    pub num_node_managers: Option<i32>,
    #[prost(int32, optional, tag = "2")]
    pub num_decommissioned_nms: Option<i32>,
    #[prost(int32, optional, tag = "3")]
    pub num_active_nms: Option<i32>,
    #[prost(int32, optional, tag = "4")]
    pub num_lost_nms: Option<i32>,
    #[prost(int32, optional, tag = "5")]
    pub num_unhealthy_nms: Option<i32>,
    #[prost(int32, optional, tag = "6")]
    pub num_rebooted_nms: Option<i32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueInfo {
    #[prost(string, optional, tag = "1")]
    pub queue_name: Option<String>,
    #[prost(float, optional, tag = "2")]
    pub capacity: Option<f32>,
    #[prost(float, optional, tag = "3")]
    pub maximum_capacity: Option<f32>,
    #[prost(float, optional, tag = "4")]
    pub current_capacity: Option<f32>,
    #[prost(enumeration = "QueueState", optional, tag = "5")]
    pub state: Option<i32>,
    #[prost(message, repeated, tag = "6")]
    pub child_queues: Vec<QueueInfo>,
    #[prost(message, repeated, tag = "7")]
    pub applications: Vec<ApplicationReport>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueUserAcl {
    #[prost(string, optional, tag = "1")]
    pub queue_name: Option<String>,
    #[prost(enumeration = "QueueAcl", repeated, packed = "false", tag = "2")]
    pub user_acls: Vec<i32>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GetNewApplicationRequest {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetNewApplicationResponse {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
    #[prost(message, optional, tag = "2")]
    pub maximum_capability: Option<Resource>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitApplicationRequest {
    #[prost(message, optional, tag = "1")]
    pub context: Option<ApplicationSubmissionContext>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SubmitApplicationResponse {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationReportRequest {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationReportResponse {
    #[prost(message, optional, tag = "1")]
    pub report: Option<ApplicationReport>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct KillApplicationRequest {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
    #[prost(string, optional, tag = "2")]
    pub diagnostics: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct KillApplicationResponse {
    #[prost(bool, optional, tag = "1")]
    pub is_kill_completed: Option<bool>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationsRequest {
    #[prost(string, repeated, tag = "1")]
    pub application_types: Vec<String>,
    #[prost(
        enumeration = "ApplicationState",
        repeated,
        packed = "false",
        tag = "2"
    )]
    pub application_states: Vec<i32>,
    #[prost(string, repeated, tag = "3")]
    pub users: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    pub queues: Vec<String>,
    #[prost(int64, optional, tag = "5")]
    pub limit: Option<i64>,
    #[prost(int64, optional, tag = "6")]
    pub start_begin: Option<i64>,
    #[prost(int64, optional, tag = "7")]
    pub start_end: Option<i64>,
    #[prost(int64, optional, tag = "8")]
    pub finish_begin: Option<i64>,
    #[prost(int64, optional, tag = "9")]
    pub finish_end: Option<i64>,
    #[prost(string, repeated, tag = "10")]
    pub application_tags: Vec<String>,
    #[prost(int32, optional, tag = "11")]
    pub scope: Option<i32>,
    #[prost(string, optional, tag = "12")]
    pub name: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationsResponse {
    #[prost(message, repeated, tag = "1")]
    pub applications: Vec<ApplicationReport>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GetClusterMetricsRequest {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetClusterMetricsResponse {
    #[prost(message, optional, tag = "1")]
    pub metrics: Option<ClusterMetrics>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetClusterNodesRequest {
    #[prost(enumeration = "NodeState", repeated, packed = "false", tag = "1")]
    pub states: Vec<i32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetClusterNodesResponse {
    #[prost(message, repeated, tag = "1")]
    pub nodes: Vec<NodeReport>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetQueueInfoRequest {
    #[prost(string, optional, tag = "1")]
    pub queue_name: Option<String>,
    #[prost(bool, optional, tag = "2")]
    pub include_applications: Option<bool>,
    #[prost(bool, optional, tag = "3")]
    pub include_child_queues: Option<bool>,
    #[prost(bool, optional, tag = "4")]
    pub recursive: Option<bool>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetQueueInfoResponse {
    #[prost(message, optional, tag = "1")]
    pub queue_info: Option<QueueInfo>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GetQueueUserAclsRequest {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetQueueUserAclsResponse {
    #[prost(message, repeated, tag = "1")]
    pub acls: Vec<QueueUserAcl>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationAttemptReportRequest {
    #[prost(message, optional, tag = "1")]
    pub application_attempt_id: Option<ApplicationAttemptId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationAttemptReportResponse {
    #[prost(message, optional, tag = "1")]
    pub report: Option<ApplicationAttemptReport>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationAttemptsRequest {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetApplicationAttemptsResponse {
    #[prost(message, repeated, tag = "1")]
    pub attempts: Vec<ApplicationAttemptReport>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetContainerReportRequest {
    #[prost(message, optional, tag = "1")]
    pub container_id: Option<ContainerId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetContainerReportResponse {
    #[prost(message, optional, tag = "1")]
    pub report: Option<ContainerReport>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetContainersRequest {
    #[prost(message, optional, tag = "1")]
    pub application_attempt_id: Option<ApplicationAttemptId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetContainersResponse {
    #[prost(message, repeated, tag = "1")]
    pub containers: Vec<ContainerReport>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct MoveApplicationRequest {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
    #[prost(string, optional, tag = "2")]
    pub target_queue: Option<String>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MoveApplicationResponse {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct UpdateApplicationPriorityRequest {
    #[prost(message, optional, tag = "1")]
    pub application_id: Option<ApplicationId>,
    #[prost(message, optional, tag = "2")]
    pub priority: Option<Priority>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct UpdateApplicationPriorityResponse {
    #[prost(message, optional, tag = "1")]
    pub priority: Option<Priority>,
}
