//! Messages of the application master and container management protocols, with their published field numbers.

use crate::proto::{
    ApplicationAcl, ContainerId, ContainerLaunchContext, ContainerState, FinalStatus, NodeId,
    NodeReport, Priority, Resource, ResourceRequest, Token,
};

/// Command to an application master in an allocate response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum MasterCommand {
    Resync = 1,
    Shutdown = 2,
}

/// Exit statuses that YARN reports in place of the process's own, to tell how a container ended.
pub mod exit {
    /// The container was released by its application, or lost with its node.
    pub const ABORTED: i32 = -100;
    pub const KILLED_BY_MASTER: i32 = -105;
    /// The container has not finished yet.
    pub const UNKNOWN: i32 = -1000;
}

/// The resource name of a request that any node can satisfy.
pub const ANY: &str = "*";
/// The resource type name of GPUs.
pub const GPUS: &str = "yarn.io/gpu";

#[derive(Clone, PartialEq, prost::Message)]
pub struct RegisterRequest {
    #[prost(string, optional, tag = "1")]
    pub host: Option<String>,
    #[prost(int32, optional, tag = "2")]
    pub rpc_port: Option<i32>,
    #[prost(string, optional, tag = "3")]
    pub tracking_url: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct RegisterResponse {
    #[prost(message, optional, tag = "1")]
    pub maximum_capability: Option<Resource>,
    #[prost(bytes = "vec", optional, tag = "2")]
    pub client_to_am_key: Option<Vec<u8>>,
    #[prost(message, repeated, tag = "3")]
    pub acls: Vec<ApplicationAcl>,
    #[prost(message, repeated, tag = "4")]
    pub containers_from_previous_attempts: Vec<Container>,
    #[prost(string, optional, tag = "5")]
    pub queue: Option<String>,
    #[prost(message, repeated, tag = "6")]
    pub nm_tokens: Vec<NmToken>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct FinishRequest {
    #[prost(string, optional, tag = "1")]
    pub diagnostics: Option<String>,
    #[prost(string, optional, tag = "2")]
    pub tracking_url: Option<String>,
    #[prost(enumeration = "FinalStatus", optional, tag = "3")]
    pub final_status: Option<i32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct FinishResponse {
    #[prost(bool, optional, tag = "1")]
    pub is_unregistered: Option<bool>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Container {
    #[prost(message, optional, tag = "1")]
    pub id: Option<ContainerId>,
    #[prost(message, optional, tag = "2")]
    pub node_id: Option<NodeId>,
    #[prost(string, optional, tag = "3")]
    pub node_http_address: Option<String>,
    #[prost(message, optional, tag = "4")]
    pub resource: Option<Resource>,
    #[prost(message, optional, tag = "5")]
    pub priority: Option<Priority>,
    #[prost(message, optional, tag = "6")]
    pub container_token: Option<Token>,
    #[prost(int32, optional, tag = "7")]
    pub execution_type: Option<i32>,
    #[prost(int64, optional, tag = "8")]
    pub allocation_request_id: Option<i64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ContainerStatus {
    #[prost(message, optional, tag = "1")]
    pub container_id: Option<ContainerId>,
    #[prost(enumeration = "ContainerState", optional, tag = "2")]
    pub state: Option<i32>,
    #[prost(string, optional, tag = "3")]
    pub diagnostics: Option<String>,
    #[prost(int32, optional, tag = "4")]
    pub exit_status: Option<i32>,
    #[prost(message, optional, tag = "5")]
    pub capability: Option<Resource>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct NmToken {
    #[prost(message, optional, tag = "1")]
    pub node_id: Option<NodeId>,
    #[prost(message, optional, tag = "2")]
    pub token: Option<Token>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Blacklist {
    #[prost(string, repeated, tag = "1")]
    pub additions: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    pub removals: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AllocateRequest {
    #[prost(message, repeated, tag = "1")]
    pub ask: Vec<ResourceRequest>,
    #[prost(message, repeated, tag = "2")]
    pub release: Vec<ContainerId>,
    #[prost(message, optional, tag = "3")]
    pub blacklist: Option<Blacklist>,
    #[prost(int32, optional, tag = "4")]
    pub response_id: Option<i32>,
    #[prost(float, optional, tag = "5")]
    pub progress: Option<f32>,
    #[prost(message, repeated, tag = "7")]
    pub update_requests: Vec<UpdateContainer>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct UpdateContainer {
    #[prost(int32, optional, tag = "1")]
    pub container_version: Option<i32>,
    #[prost(message, optional, tag = "2")]
    pub container_id: Option<ContainerId>,
    #[prost(int32, optional, tag = "3")]
    pub update_type: Option<i32>,
    #[prost(message, optional, tag = "4")]
    pub capability: Option<Resource>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct AllocateResponse {
    #[prost(enumeration = "MasterCommand", optional, tag = "1")]
    pub command: Option<i32>,
    #[prost(int32, optional, tag = "2")]
    pub response_id: Option<i32>,
    #[prost(message, repeated, tag = "3")]
    pub allocated: Vec<Container>,
    #[prost(message, repeated, tag = "4")]
    pub completed: Vec<ContainerStatus>,
    #[prost(message, optional, tag = "5")]
    pub limit: Option<Resource>,
    #[prost(message, repeated, tag = "6")]
    pub updated_nodes: Vec<NodeReport>,
    #[prost(int32, optional, tag = "7")]
    pub num_cluster_nodes: Option<i32>,
    #[prost(message, repeated, tag = "9")]
    pub nm_tokens: Vec<NmToken>,
    #[prost(message, optional, tag = "12")]
    pub am_rm_token: Option<Token>,
    #[prost(message, optional, tag = "13")]
    pub application_priority: Option<Priority>,
    #[prost(message, repeated, tag = "16")]
    pub update_errors: Vec<UpdateError>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct UpdateError {
    #[prost(string, optional, tag = "1")]
    pub reason: Option<String>,
    #[prost(message, optional, tag = "2")]
    pub request: Option<UpdateContainer>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StartContainersRequest {
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<StartContainer>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StartContainer {
    #[prost(message, optional, tag = "1")]
    pub context: Option<ContainerLaunchContext>,
    #[prost(message, optional, tag = "2")]
    pub container_token: Option<Token>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StartContainersResponse {
    #[prost(message, repeated, tag = "2")]
    pub succeeded: Vec<ContainerId>,
    #[prost(message, repeated, tag = "3")]
    pub failed: Vec<ContainerException>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ContainerException {
    #[prost(message, optional, tag = "1")]
    pub container_id: Option<ContainerId>,
    #[prost(message, optional, tag = "2")]
    pub exception: Option<SerializedException>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SerializedException {
    #[prost(string, optional, tag = "1")]
    pub message: Option<String>,
    #[prost(string, optional, tag = "2")]
    pub trace: Option<String>,
    #[prost(string, optional, tag = "3")]
    pub class_name: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StopContainersRequest {
    #[prost(message, repeated, tag = "1")]
    pub containers: Vec<ContainerId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StopContainersResponse {
    #[prost(message, repeated, tag = "1")]
    pub succeeded: Vec<ContainerId>,
    #[prost(message, repeated, tag = "2")]
    pub failed: Vec<ContainerException>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetContainerStatusesRequest {
    #[prost(message, repeated, tag = "1")]
    pub containers: Vec<ContainerId>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct GetContainerStatusesResponse {
    #[prost(message, repeated, tag = "1")]
    pub statuses: Vec<ContainerStatus>,
    #[prost(message, repeated, tag = "2")]
    pub failed: Vec<ContainerException>,
}
