//! Calls by RPC: which are served, and how their answers look.

use super::containers::{Container, Stage as Place};
use super::{App, Book, Surface, Told, Waiter};
use crate::Cx;
use crate::call::{Page, Proved, Reply};
use prost::Message;
use yarn::error::{Class, Fault};
use yarn::master::FinishResponse;
use yarn::proto::{
    ApplicationAttemptId, ApplicationId, ClusterMetrics, ContainerReport,
    GetApplicationAttemptReportRequest, GetApplicationAttemptReportResponse,
    GetApplicationAttemptsRequest, GetApplicationAttemptsResponse, GetApplicationReportRequest,
    GetApplicationReportResponse, GetApplicationsRequest, GetApplicationsResponse,
    GetClusterMetricsResponse, GetClusterNodesRequest, GetClusterNodesResponse,
    GetContainerReportRequest, GetContainerReportResponse, GetContainersRequest,
    GetContainersResponse, GetNewApplicationResponse, GetQueueInfoRequest, GetQueueInfoResponse,
    GetQueueUserAclsResponse, KillApplicationRequest, KillApplicationResponse, NodeId, NodeReport,
    Priority, QueueAcl, QueueUserAcl, SubmitApplicationRequest, SubmitApplicationResponse,
    UpdateApplicationPriorityRequest, UpdateApplicationPriorityResponse,
};
use yarn::rest::{self, Form};
use yarn::rpc::{CLIENT_PROTOCOL, CONTAINER_PROTOCOL, MASTER_PROTOCOL};

/// Calls that published clients make and that are not served, with what they are told.
const REFUSED: &[(&str, &str)] = &[
    (
        "getDelegationToken",
        "delegation tokens are given under Kerberos only",
    ),
    (
        "renewDelegationToken",
        "delegation tokens are given under Kerberos only",
    ),
    (
        "cancelDelegationToken",
        "delegation tokens are given under Kerberos only",
    ),
    ("getNewReservation", "reservations are not served"),
    ("submitReservation", "reservations are not served"),
    ("updateReservation", "reservations are not served"),
    ("deleteReservation", "reservations are not served"),
    ("listReservations", "reservations are not served"),
    (
        "moveApplicationAcrossQueues",
        "an application keeps its queue: its job keeps its team",
    ),
    ("signalToContainer", "signals can't be carried to a task"),
    (
        "updateApplicationTimeouts",
        "a timeout is set with the submission",
    ),
    (
        "failApplicationAttempt",
        "the scheduler starts masters again by itself",
    ),
    (
        "getNodeToLabels",
        "labels are machine types: see getClusterNodes",
    ),
    (
        "getLabelsToNodes",
        "labels are machine types: see getClusterNodes",
    ),
    (
        "getClusterNodeLabels",
        "labels are machine types: see getClusterNodes",
    ),
    ("getResourceProfiles", "resource profiles are not served"),
    ("increaseContainersResource", "a container keeps its size"),
    (
        "reInitializeContainer",
        "a container runs what it was started with",
    ),
    (
        "restartContainer",
        "a container runs what it was started with",
    ),
    (
        "rollbackLastReInitialization",
        "a container runs what it was started with",
    ),
    (
        "commitLastReInitialization",
        "a container runs what it was started with",
    ),
    ("localize", "a container's files are named with its start"),
];

fn read<T: Message + Default>(argument: &[u8]) -> Result<T, Fault> {
    T::decode(argument).map_err(|e| {
        Fault::new(
            Class::BadArgument,
            format!("the argument can't be read: {e}"),
        )
    })
}

/// A call that is answered now, or when a record stands.
type Served = Result<Option<Vec<u8>>, Fault>;

fn now<T: Message>(answer: &T) -> Served {
    Ok(Some(answer.encode_to_vec()))
}

impl Book {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn rpc(
        &mut self,
        cx: Cx<'_>,
        call: u64,
        user: &str,
        proved: Option<Proved>,
        protocol: &str,
        method: &str,
        argument: &[u8],
    ) {
        let served = match protocol {
            CLIENT_PROTOCOL => self.client_call(cx, call, user, method, argument),
            MASTER_PROTOCOL => self.master_call(cx, call, proved, method, argument),
            CONTAINER_PROTOCOL => self.container_call(cx, call, proved, method, argument),
            other => Err(Fault::new(
                Class::NoSuchProtocol,
                format!("Unknown protocol: {other}"),
            )),
        };
        match served {
            Ok(Some(body)) => self.answer(call, Reply::Rpc(body)),
            Ok(None) => {}
            Err(fault) => {
                self.counts.refused += 1;
                self.answer(call, fault.into());
            }
        }
    }

    fn client_call(
        &mut self,
        cx: Cx<'_>,
        call: u64,
        user: &str,
        method: &str,
        argument: &[u8],
    ) -> Served {
        let later = |told| Book::waiter(call, Surface::Rpc, told);
        match method {
            "getNewApplication" => {
                self.largest(cx)?;
                self.ask_id(cx, later(Told::NewId));
                Ok(None)
            }
            "submitApplication" => {
                let r: SubmitApplicationRequest = read(argument)?;
                let context = r.context.ok_or_else(|| {
                    Fault::new(
                        Class::BadArgument,
                        "application submission context: is missing",
                    )
                })?;
                self.submit(cx, user, &context, later(Told::Submitted))?;
                Ok(None)
            }
            "forceKillApplication" => {
                let r: KillApplicationRequest = read(argument)?;
                self.kill(
                    cx,
                    user,
                    r.application_id,
                    r.diagnostics.as_deref(),
                    later(Told::Killing),
                )?;
                Ok(None)
            }
            "updateApplicationPriority" => {
                let r: UpdateApplicationPriorityRequest = read(argument)?;
                self.set_priority(
                    cx,
                    user,
                    r.application_id,
                    r.priority.unwrap_or_default().priority,
                    later(Told::Priority),
                )?;
                Ok(None)
            }
            "getApplicationReport" => {
                let r: GetApplicationReportRequest = read(argument)?;
                let report = self.report(self.known(r.application_id)?, user);
                now(&GetApplicationReportResponse {
                    report: Some(report),
                })
            }
            "getApplications" => {
                let r: GetApplicationsRequest = read(argument)?;
                let applications = self
                    .filtered(&r)
                    .into_iter()
                    .map(|a| self.report(a, user))
                    .collect();
                now(&GetApplicationsResponse { applications })
            }
            _ => self.client_question(cx, user, method, argument),
        }
    }

    fn client_question(&mut self, cx: Cx<'_>, user: &str, method: &str, argument: &[u8]) -> Served {
        match method {
            "getClusterMetrics" => {
                let (up, all) = cx
                    .node
                    .machines()
                    .fold((0, 0), |(up, all), m| (up + i32::from(m.up), all + 1));
                let zero = Some(0);
                let metrics = ClusterMetrics {
                    num_node_managers: Some(all),
                    num_active_nms: Some(up),
                    num_decommissioned_nms: zero,
                    num_lost_nms: zero,
                    num_unhealthy_nms: zero,
                    num_rebooted_nms: zero,
                };
                now(&GetClusterMetricsResponse {
                    metrics: Some(metrics),
                })
            }
            "getClusterNodes" => {
                let r: GetClusterNodesRequest = read(argument)?;
                let wanted = |n: &NodeReport| {
                    r.states.is_empty() || n.node_state.is_some_and(|s| r.states.contains(&s))
                };
                now(&GetClusterNodesResponse {
                    nodes: self.nodes(cx).into_iter().filter(wanted).collect(),
                })
            }
            "getQueueInfo" => {
                let r: GetQueueInfoRequest = read(argument)?;
                let queue = self.queue(r.queue_name.as_deref().unwrap_or("root"))?;
                let levels = if r.recursive == Some(true) {
                    32
                } else {
                    usize::from(r.include_child_queues == Some(true))
                };
                let apps = if r.include_applications == Some(true) {
                    self.by_queue()
                } else {
                    Default::default()
                };
                let info = self.queue_info(queue, &apps, levels, user);
                now(&GetQueueInfoResponse {
                    queue_info: Some(info),
                })
            }
            "getQueueUserAcls" => {
                let acls = self.queues.all.iter().map(|q| {
                    let submit = self
                        .queues
                        .may_submit(cx.config, q, user)
                        .then_some(QueueAcl::SubmitApplications as i32);
                    let administer = self
                        .queues
                        .may_administer(cx.config, q, user)
                        .then_some(QueueAcl::AdministerQueue as i32);
                    let user_acls = submit.into_iter().chain(administer).collect();
                    QueueUserAcl {
                        queue_name: Some(q.path.clone()),
                        user_acls,
                    }
                });
                now(&GetQueueUserAclsResponse {
                    acls: acls.collect(),
                })
            }
            "getApplicationAttempts" => {
                let r: GetApplicationAttemptsRequest = read(argument)?;
                now(&GetApplicationAttemptsResponse {
                    attempts: vec![self.attempt_report(self.known(r.application_id)?)],
                })
            }
            "getApplicationAttemptReport" => {
                let r: GetApplicationAttemptReportRequest = read(argument)?;
                let app = self.attempted(r.application_attempt_id)?;
                now(&GetApplicationAttemptReportResponse {
                    report: Some(self.attempt_report(app)),
                })
            }
            "getContainers" => {
                let r: GetContainersRequest = read(argument)?;
                let app = self.attempted(r.application_attempt_id)?;
                now(&GetContainersResponse {
                    containers: app
                        .groups
                        .containers
                        .values()
                        .map(container_report)
                        .collect(),
                })
            }
            "getContainerReport" => {
                let r: GetContainerReportRequest = read(argument)?;
                let id = r.container_id.unwrap_or_default();
                let app = self.attempted(id.app_attempt_id)?;
                let found = app.groups.containers.get(&id.id).map(container_report);
                let missing = || {
                    Fault::new(
                        Class::ContainerNotFound,
                        format!("Container with id '{id}' doesn't exist in RM."),
                    )
                };
                now(&GetContainerReportResponse {
                    report: Some(found.ok_or_else(missing)?),
                })
            }
            other => Err(not_served(other)),
        }
    }

    /// The application of an attempt that is in force, or was.
    fn attempted(&self, id: Option<ApplicationAttemptId>) -> Result<&App, Fault> {
        let id = id.unwrap_or_default();
        let app = self.known(id.application_id)?;
        let missing = || {
            Fault::new(
                Class::AttemptNotFound,
                format!("ApplicationAttempt with id '{id}' doesn't exist in RM."),
            )
        };
        (id.attempt_id as u32 == app.shown().attempt.max(1))
            .then_some(app)
            .ok_or_else(missing)
    }

    fn master_call(
        &mut self,
        cx: Cx<'_>,
        call: u64,
        proved: Option<Proved>,
        method: &str,
        argument: &[u8],
    ) -> Served {
        let later = |told| Book::waiter(call, Surface::Rpc, told);
        match method {
            "registerApplicationMaster" => {
                self.register(cx, proved, &read(argument)?, later(Told::Registered))?;
                Ok(None)
            }
            "allocate" => self.allocate(cx, proved, &read(argument)?).map(Some),
            "finishApplicationMaster" => {
                self.unregister(cx, proved, &read(argument)?, later(Told::Unregistered))?;
                Ok(None)
            }
            other => Err(not_served(other)),
        }
    }

    fn container_call(
        &mut self,
        cx: Cx<'_>,
        call: u64,
        proved: Option<Proved>,
        method: &str,
        argument: &[u8],
    ) -> Served {
        match method {
            "startContainers" => {
                let answer = self.start_containers(cx, proved, &read(argument)?, call)?;
                Ok(answer.map(|a| a.encode_to_vec()))
            }
            "stopContainers" => now(&self.stop_containers(cx, proved, &read(argument)?)?),
            "getContainerStatuses" => now(&self.container_statuses(proved, &read(argument)?)?),
            other => Err(not_served(other)),
        }
    }

    /// A new priority: containers that are asked for from now on have it.
    pub(super) fn set_priority(
        &mut self,
        cx: Cx<'_>,
        user: &str,
        id: Option<ApplicationId>,
        priority: i32,
        waiter: Waiter,
    ) -> Result<(), Fault> {
        let app = self.known(id)?;
        self.may_change(cx, user, &app.rec)?;
        let id = app.rec.id;
        if app.rec.stage.is_final() {
            return Err(Fault::new(
                Class::Yarn,
                format!("{} is over: its priority stays", self.app_id(id)),
            ));
        }
        let most = cx.config.most.priority;
        if let Some(app) = self.apps.get_mut(&id) {
            app.rec.priority = priority.clamp(-most, most);
        }
        self.touch(id);
        self.when_saved(cx, id, waiter);
        Ok(())
    }

    // ---- answers to those who waited for a record ----

    pub(super) fn tell(&mut self, cx: Cx<'_>, id: u32, waiter: Waiter) {
        let Some(app) = self.apps.get(&id) else {
            return;
        };
        let rec = app.shown();
        let reply = match (waiter.form, waiter.told) {
            (Surface::Rpc, Told::Killing) => rpc(&KillApplicationResponse {
                is_kill_completed: Some(rec.stage.is_final()),
            }),
            (Surface::Rpc, Told::Priority) => rpc(&UpdateApplicationPriorityResponse {
                priority: Some(Priority {
                    priority: rec.priority,
                }),
            }),
            (Surface::Rpc, Told::Registered) => self
                .registered(cx, id)
                .map_or_else(Reply::from, |r| rpc(&r)),
            (Surface::Rpc, Told::Unregistered) => rpc(&FinishResponse {
                is_unregistered: Some(rec.stage.is_final()),
            }),
            (Surface::Rpc, _) => rpc(&SubmitApplicationResponse {}),
            (Surface::Web(form), told) => web_reply(form, told, &self.app_id(id).to_string(), rec),
        };
        self.answer(waiter.call, reply);
    }

    pub(super) fn tell_id(&mut self, cx: Cx<'_>, waiter: Waiter, id: ApplicationId) {
        let most = match self.largest(cx) {
            Ok(most) => most,
            Err(fault) => return self.answer(waiter.call, fault.into()),
        };
        let reply = match waiter.form {
            Surface::Rpc => rpc(&GetNewApplicationResponse {
                application_id: Some(id),
                maximum_capability: Some(most.proto()),
            }),
            Surface::Web(form) => {
                let capability = rest::Capability {
                    memory: most.memory_mb,
                    vcores: most.cores,
                    named: None,
                };
                let new = rest::NewApplication {
                    application_id: id.to_string(),
                    maximum_resource_capability: capability,
                };
                page(200, rest::render(form, "NewApplication", true, &new))
            }
        };
        self.answer(waiter.call, reply);
    }
}

fn rpc<T: Message>(answer: &T) -> Reply {
    Reply::Rpc(answer.encode_to_vec())
}

pub(super) fn page(status: u16, body: Vec<u8>) -> Reply {
    Reply::Web(Page {
        status,
        body,
        location: None,
    })
}

fn web_reply(form: Form, told: Told, id: &str, rec: &crate::records::AppRecord) -> Reply {
    let state = super::views::state_name(rec.stage.proto());
    match told {
        Told::Submitted => {
            let location = Some(format!("{}/apps/{id}", rest::ROOT));
            Reply::Web(Page {
                status: 202,
                body: Vec::new(),
                location,
            })
        }
        Told::Priority => page(
            200,
            rest::render(
                form,
                "apppriority",
                true,
                &rest::AppPriority {
                    priority: rec.priority,
                },
            ),
        ),
        // 202: it is on its way; whoever asks again later is told 200.
        _ => {
            let status = if rec.stage.is_final() { 200 } else { 202 };
            page(
                status,
                rest::render(
                    form,
                    "appstate",
                    true,
                    &rest::AppState {
                        state: state.into(),
                    },
                ),
            )
        }
    }
}

fn not_served(method: &str) -> Fault {
    match REFUSED.iter().find(|(m, _)| *m == method) {
        Some((_, why)) => Fault::new(Class::Unsupported, format!("{method}: {why}")),
        None => Fault::new(
            Class::NoSuchMethod,
            format!("Unknown method {method} called"),
        ),
    }
}

fn container_report(c: &Container) -> ContainerReport {
    let status = c.status();
    let over = c.stage == Place::Complete;
    ContainerReport {
        container_id: Some(c.id),
        resource: status.capability,
        node_id: Some(NodeId {
            host: c.machine.clone(),
            port: 0,
        }),
        priority: Some(Priority {
            priority: c.key.priority,
        }),
        creation_time: Some(c.created_ms as i64),
        finish_time: Some(c.finished_ms as i64),
        diagnostics_info: status.diagnostics,
        log_url: None,
        container_exit_status: over.then_some(c.exit),
        container_state: status.state,
        node_http_address: Some(c.zone.clone()),
    }
}
