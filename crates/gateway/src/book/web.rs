//! Calls by REST, under `/ws/v1/cluster` as published, and under `/ws/v1/stoathatch` for runners and operators.

use super::clients::page;
use super::runners::CheckIn;
use super::views::{state_name, status_name};
use super::{App, Book, Surface, Told};
use crate::Cx;
use crate::call::{Reply, Web};
use crate::queues::{Queue, ROOT};
use crate::records::{Drain, Stage};
use crate::web::{list, parameter};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use yarn::error::{Class, Fault};
use yarn::proto::{
    ApplicationId, ApplicationState, ApplicationSubmissionContext, ApplicationTimeout,
    ContainerLaunchContext, GetApplicationsRequest, LocalResource, LocalResourceType, NodeReport,
    NodeState, Priority, Resource, ResourceInformation, StringLocalResource, StringString, Url,
};
use yarn::rest;

/// Where runners and operators ask.
pub const OWN: &str = "/ws/v1/stoathatch";

/// What operators ask of a drain.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainAsk {
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub queue: String,
    /// A machine, instead of a queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub machine: Option<String>,
    /// The drain is over.
    #[serde(default)]
    pub off: bool,
    /// What runs is ended after this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<u64>,
    /// No further containers.
    #[serde(default)]
    pub containers: bool,
}

/// The drains that stand, by queue.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Drains {
    pub drains: BTreeMap<String, Drain>,
    /// The same for machines.
    #[serde(default)]
    pub machines: BTreeMap<String, Drain>,
}

type Served = Result<Option<Reply>, Fault>;

fn missing(what: &str) -> Fault {
    Fault::new(Class::ApplicationNotFound, format!("{what} not found"))
}

impl Book {
    pub(super) fn web(&mut self, cx: Cx<'_>, call: u64, user: &str, w: &Web) {
        let (path, query) = w.target.split_once('?').unwrap_or((&w.target, ""));
        let served = if let Some(rest) = path.strip_prefix(rest::ROOT) {
            self.cluster_page(cx, call, user, w, rest, query)
        } else if let Some(rest) = path.strip_prefix(OWN) {
            self.own_page(cx, call, user, w, rest)
        } else {
            Err(missing(path))
        };
        match served {
            Ok(Some(reply)) => self.answer(call, reply),
            Ok(None) => {}
            Err(fault) => {
                self.counts.refused += 1;
                self.answer(call, fault.into());
            }
        }
    }

    fn cluster_page(
        &mut self,
        cx: Cx<'_>,
        call: u64,
        user: &str,
        w: &Web,
        path: &str,
        query: &str,
    ) -> Served {
        let form = w.form();
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let show = |root: &str, bare, value: &dyn erased::Show| {
            Ok(Some(page(200, value.show(form, root, bare))))
        };
        match (w.method.as_str(), parts.as_slice()) {
            ("GET", [] | ["info"]) => show("clusterInfo", false, &self.info()),
            ("GET", ["metrics"]) => show("clusterMetrics", false, &self.metrics(cx)),
            ("GET", ["scheduler"]) => {
                let root = self.queues.find(ROOT).ok_or_else(|| missing("root"))?;
                let scheduler_info = rest::Queue {
                    kind: "capacityScheduler".into(),
                    ..self.queue_page(root, &self.by_queue())
                };
                show("scheduler", false, &rest::Scheduler { scheduler_info })
            }
            ("GET", ["apps"]) => {
                let filter = filter(query)?;
                let app: Vec<rest::App> = self
                    .filtered(&filter)
                    .into_iter()
                    .map(|a| self.app_page(cx, a, user))
                    .collect();
                show("apps", false, &rest::Apps { app })
            }
            ("POST", ["apps"]) => {
                let submission: rest::Submission = body(w)?;
                let context = context(&submission)?;
                self.submit(
                    cx,
                    user,
                    &context,
                    Book::waiter(call, Surface::Web(form), Told::Submitted),
                )?;
                Ok(None)
            }
            ("POST", ["apps", "new-application"]) => {
                self.largest(cx)?;
                self.ask_id(cx, Book::waiter(call, Surface::Web(form), Told::NewId));
                Ok(None)
            }
            ("GET", ["appstatistics"]) => show("appStatInfo", false, &self.statistics(query)),
            ("GET", ["nodes"]) => {
                let states = list(query, "states");
                let all = self.nodes(cx).iter().map(node_page).collect::<Vec<_>>();
                let wanted = |n: &rest::Node| {
                    states.is_empty() || states.iter().any(|s| s.eq_ignore_ascii_case(&n.state))
                };
                show(
                    "nodes",
                    false,
                    &rest::Nodes {
                        node: all.into_iter().filter(wanted).collect(),
                    },
                )
            }
            ("GET", ["nodes", id]) => {
                let all = self.nodes(cx).iter().map(node_page).collect::<Vec<_>>();
                let found = all
                    .into_iter()
                    .find(|n| n.id == *id || n.node_host_name == *id);
                show(
                    "node",
                    false,
                    &found.ok_or_else(|| missing(&format!("node {id}")))?,
                )
            }
            (_, ["apps", id, rest @ ..]) => self.app_pages(cx, call, user, w, id, rest),
            (_, ["delegation-token" | "reservation", ..]) => Err(Fault::new(
                Class::Unsupported,
                "delegation tokens and reservations are not served",
            )),
            _ => Err(missing(path)),
        }
    }

    fn app_pages(
        &mut self,
        cx: Cx<'_>,
        call: u64,
        user: &str,
        w: &Web,
        id: &str,
        rest: &[&str],
    ) -> Served {
        let form = w.form();
        let number = ApplicationId::parse(id);
        if number.is_none() {
            return Err(Fault::new(
                Class::BadArgument,
                format!("Invalid ApplicationId: {id}"),
            ));
        }
        let app = self.known(number)?;
        let rec = app.shown();
        let show = |root: &str, bare, value: &dyn erased::Show| {
            Ok(Some(page(200, value.show(form, root, bare))))
        };
        match (w.method.as_str(), rest) {
            ("GET", []) => show("app", false, &self.app_page(cx, app, user)),
            ("GET", ["state"]) => show(
                "appstate",
                true,
                &rest::AppState {
                    state: state_name(rec.stage.proto()).into(),
                },
            ),
            ("GET", ["queue"]) => show(
                "appqueue",
                true,
                &rest::AppQueue {
                    queue: rec.queue.clone(),
                },
            ),
            ("GET", ["priority"]) => show(
                "apppriority",
                true,
                &rest::AppPriority {
                    priority: rec.priority,
                },
            ),
            ("GET", ["appattempts"]) => show(
                "appAttempts",
                false,
                &rest::AppAttempts {
                    app_attempt: vec![self.attempt_page(app)],
                },
            ),
            ("PUT", ["state"]) => {
                let wanted: rest::AppState = body(w)?;
                if wanted.state != "KILLED" {
                    return Err(Fault::new(
                        Class::BadArgument,
                        "state: only KILLED can be asked for",
                    ));
                }
                self.kill(
                    cx,
                    user,
                    number,
                    None,
                    Book::waiter(call, Surface::Web(form), Told::Killing),
                )?;
                Ok(None)
            }
            ("PUT", ["priority"]) => {
                let wanted: rest::AppPriority = body(w)?;
                let waiter = Book::waiter(call, Surface::Web(form), Told::Priority);
                self.set_priority(cx, user, number, wanted.priority, waiter)?;
                Ok(None)
            }
            ("PUT", ["queue"]) => Err(Fault::new(
                Class::Unsupported,
                "an application keeps its queue: its job keeps its team",
            )),
            _ => Err(missing(&format!("{id}/{}", rest.join("/")))),
        }
    }

    /// Pages that only this service has.
    fn own_page(&mut self, cx: Cx<'_>, call: u64, user: &str, w: &Web, path: &str) -> Served {
        let form = w.form();
        match (w.method.as_str(), path) {
            ("POST", "/checkin") => {
                let check_in: CheckIn = body(w)?;
                let told = self.check_in(cx, &check_in)?;
                Ok(Some(page(200, rest::render(form, "told", true, &told))))
            }
            ("GET", "/drains") => Ok(Some(page(
                200,
                rest::render(form, "drains", true, &self.drains()),
            ))),
            ("PUT", "/drains") => {
                let ask: DrainAsk = body(w)?;
                let wall = cx.now.wall;
                let until_ms = ask
                    .within_s
                    .map(|s| wall.saturating_add(s.saturating_mul(1000)));
                let drain = (!ask.off).then_some(Drain {
                    since_ms: wall,
                    until_ms,
                    containers: ask.containers,
                });
                let waiter = Book::waiter(call, Surface::Web(form), Told::Drained);
                match &ask.machine {
                    Some(machine) => self.set_machine_drain(cx, user, machine, drain, waiter)?,
                    None => self.set_drain(cx, user, &ask.queue, drain, waiter)?,
                }
                Ok(None)
            }
            _ => Err(missing(path)),
        }
    }

    fn drains(&self) -> Drains {
        Drains {
            drains: self.drained.queues.clone(),
            machines: self.drained.machines.clone(),
        }
    }

    pub(super) fn tell_drains(&mut self, waiter: super::Waiter) {
        let Surface::Web(form) = waiter.form else {
            return;
        };
        let body = rest::render(form, "drains", true, &self.drains());
        self.answer(waiter.call, page(200, body));
    }

    fn info(&self) -> rest::ClusterInfo {
        rest::ClusterInfo {
            id: self.cluster.stamp,
            started_on: self.cluster.stamp,
            state: "STARTED".into(),
            ha_state: "ACTIVE".into(),
            resource_manager_version: concat!("stoathatch ", env!("CARGO_PKG_VERSION")).into(),
            // The published interface that is served; clients look at its first number.
            hadoop_version: "3.3.0".into(),
        }
    }

    fn metrics(&self, cx: Cx<'_>) -> rest::ClusterMetrics {
        let mut m = rest::ClusterMetrics::default();
        for app in self.apps.values().filter(|a| a.saved.is_some()) {
            m.apps_submitted += 1;
            match app.shown().stage {
                Stage::Accepted => m.apps_pending += 1,
                Stage::Running => m.apps_running += 1,
                Stage::Finished => m.apps_completed += 1,
                Stage::Failed => m.apps_failed += 1,
                Stage::Killed => m.apps_killed += 1,
            }
            let (n, size) = app.groups.used(app);
            m.containers_allocated += n as u64;
            m.allocated_mb += size.memory_mb as u64;
            m.allocated_virtual_cores += size.cores as u64;
            let wanted = app
                .session
                .as_ref()
                .map_or(0, |s| s.asks.values().map(|n| u64::from(*n)).sum());
            m.containers_pending += wanted;
        }
        for node in self.nodes(cx) {
            let capability = node.capability.unwrap_or_default();
            m.total_mb += capability.memory.unwrap_or(0) as u64;
            m.total_virtual_cores += capability.virtual_cores.unwrap_or(0) as u64;
            m.total_nodes += 1;
            m.active_nodes += u64::from(node.node_state == Some(NodeState::Running as i32));
        }
        m.available_mb = m.total_mb.saturating_sub(m.allocated_mb);
        m.available_virtual_cores = m
            .total_virtual_cores
            .saturating_sub(m.allocated_virtual_cores);
        m
    }

    fn queue_page(&self, queue: &Queue, apps: &HashMap<&str, Vec<&App>>) -> rest::Queue {
        let pages = queue
            .children
            .iter()
            .map(|c| self.queue_page(&self.queues.all[*c], apps));
        let below: Vec<rest::Queue> = pages.collect();
        let live = |a: &&&App| !a.shown().stage.is_final();
        let here = apps
            .get(queue.path.as_str())
            .into_iter()
            .flatten()
            .filter(live)
            .count() as u64;
        rest::Queue {
            kind: String::new(),
            capacity: f64::from(queue.capacity) * 100.0,
            used_capacity: 0.0,
            max_capacity: f64::from(queue.maximum) * 100.0,
            queue_name: queue.name().to_owned(),
            queue_path: queue.path.clone(),
            state: if self.drain_of(queue).is_some() {
                "DRAINING".into()
            } else {
                "RUNNING".into()
            },
            num_applications: here + below.iter().map(|q| q.num_applications).sum::<u64>(),
            queues: (!below.is_empty()).then_some(rest::Queues { queue: below }),
        }
    }

    fn app_page(&self, cx: Cx<'_>, app: &App, user: &str) -> rest::App {
        let rec = app.shown();
        let report = self.report(app, user);
        let (used, size) = app.groups.used(app);
        let until = rec.finished_ms.unwrap_or(cx.now.wall);
        rest::App {
            id: self.app_id(rec.id).to_string(),
            user: rec.user.clone(),
            name: rec.name.clone(),
            queue: rec.queue.clone(),
            state: state_name(rec.stage.proto()).into(),
            final_status: status_name(rec.outcome).into(),
            progress: report.progress.unwrap_or(0.0) * 100.0,
            tracking_ui: if rec.stage.is_final() {
                "History".into()
            } else {
                "ApplicationMaster".into()
            },
            tracking_url: rec.tracking.clone(),
            diagnostics: rec.diagnostics.clone(),
            cluster_id: self.cluster.stamp,
            application_type: rec.kind.clone(),
            application_tags: rec.tags.join(","),
            priority: rec.priority,
            started_time: rec.submitted_ms as i64,
            launch_time: rec.launched_ms.unwrap_or(0) as i64,
            finished_time: rec.finished_ms.unwrap_or(0) as i64,
            elapsed_time: until.saturating_sub(rec.submitted_ms) as i64,
            allocated_mb: size.memory_mb,
            allocated_vcores: size.cores.into(),
            running_containers: used as i64,
            unmanaged_application: rec.unmanaged,
        }
    }

    fn attempt_page(&self, app: &App) -> rest::AppAttempt {
        let report = self.attempt_report(app);
        rest::AppAttempt {
            id: app.shown().attempt.max(1),
            start_time: report.start_time.unwrap_or(0),
            finished_time: report.finish_time.unwrap_or(0),
            container_id: report
                .am_container_id
                .map(|c| c.to_string())
                .unwrap_or_default(),
            app_attempt_id: report
                .application_attempt_id
                .map(|a| a.to_string())
                .unwrap_or_default(),
            ..rest::AppAttempt::default()
        }
    }

    /// How many applications there are of each state and type.
    fn statistics(&self, query: &str) -> rest::AppStatistics {
        let states = list(query, "states");
        let kinds = list(query, "applicationTypes");
        let mut counts: BTreeMap<(&str, String), u64> = BTreeMap::new();
        for app in self.apps.values().filter(|a| a.saved.is_some()) {
            let rec = app.shown();
            let state = state_name(rec.stage.proto());
            let state_ok =
                states.is_empty() || states.iter().any(|s| s.eq_ignore_ascii_case(state));
            let kind_ok =
                kinds.is_empty() || kinds.iter().any(|k| k.eq_ignore_ascii_case(&rec.kind));
            if state_ok && kind_ok {
                let kind = if kinds.is_empty() {
                    "*".to_owned()
                } else {
                    rec.kind.clone()
                };
                *counts.entry((state, kind)).or_default() += 1;
            }
        }
        let item = |((state, kind), count): ((&str, String), u64)| rest::StatItem {
            state: state.into(),
            kind,
            count,
        };
        rest::AppStatistics {
            stat_item: counts.into_iter().map(item).collect(),
        }
    }
}

/// Bodies of any shape behind one name.
mod erased {
    use serde::Serialize;
    use yarn::rest::{Form, render};

    pub trait Show {
        fn show(&self, form: Form, root: &str, bare: bool) -> Vec<u8>;
    }

    impl<T: Serialize> Show for T {
        fn show(&self, form: Form, root: &str, bare: bool) -> Vec<u8> {
            render(form, root, bare, self)
        }
    }
}

fn body<T: for<'de> Deserialize<'de>>(w: &Web) -> Result<T, Fault> {
    rest::read(w.form_in(), &w.body)
        .map_err(|e| Fault::new(Class::BadArgument, format!("the body can't be read: {e}")))
}

fn node_page(n: &NodeReport) -> rest::Node {
    let name = n
        .node_id
        .as_ref()
        .map(|i| i.host.clone())
        .unwrap_or_default();
    let capability = n.capability.clone().unwrap_or_default();
    let running = n.node_state == Some(NodeState::Running as i32);
    rest::Node {
        rack: n.rack_name.clone().unwrap_or_default(),
        state: if running {
            "RUNNING".into()
        } else {
            "NEW".into()
        },
        id: name.clone(),
        node_host_name: name.clone(),
        node_http_address: name,
        last_health_update: n.last_health_report_time.unwrap_or(0),
        health_report: String::new(),
        num_containers: n.num_containers.unwrap_or(0) as u64,
        used_memory_mb: 0,
        avail_memory_mb: capability.memory.unwrap_or(0) as u64,
        used_virtual_cores: 0,
        available_virtual_cores: capability.virtual_cores.unwrap_or(0) as u64,
    }
}

/// What a list's parameters ask for; one that can't be read is refused by name.
fn filter(query: &str) -> Result<GetApplicationsRequest, Fault> {
    let bad = |name: &str, value: &str| {
        Fault::new(
            Class::BadArgument,
            format!("{name}: {value:?} can't be read"),
        )
    };
    let number = |name: &str| match parameter(query, name) {
        Some(v) => v.parse::<i64>().map(Some).map_err(|_| bad(name, &v)),
        None => Ok(None),
    };
    let mut states = Vec::new();
    for name in list(query, "states")
        .into_iter()
        .chain(list(query, "state"))
    {
        let known = (1..=8).filter_map(|n| ApplicationState::try_from(n).ok());
        let found = known
            .into_iter()
            .find(|s| state_name(*s).eq_ignore_ascii_case(&name));
        states.push(found.ok_or_else(|| bad("states", &name))? as i32);
    }
    Ok(GetApplicationsRequest {
        application_types: list(query, "applicationTypes"),
        application_states: states,
        users: list(query, "user"),
        queues: list(query, "queue"),
        limit: number("limit")?,
        start_begin: number("startedTimeBegin")?,
        start_end: number("startedTimeEnd")?,
        finish_begin: number("finishedTimeBegin")?,
        finish_end: number("finishedTimeEnd")?,
        application_tags: list(query, "applicationTags"),
        scope: None,
        name: parameter(query, "name"),
    })
}

/// The same submission as RPC would carry it.
fn context(s: &rest::Submission) -> Result<ApplicationSubmissionContext, Fault> {
    let bad = |why: String| Fault::new(Class::BadArgument, why);
    let id = ApplicationId::parse(&s.application_id)
        .ok_or_else(|| bad(format!("application-id: {:?}", s.application_id)))?;
    let spec = &s.am_container_spec;
    let local = |e: &rest::Entry<rest::LocalResource>| StringLocalResource {
        key: e.key.clone(),
        value: Some(LocalResource {
            resource: Some(Url {
                file: Some(e.value.resource.clone()),
                ..Url::default()
            }),
            size: Some(e.value.size),
            timestamp: Some(e.value.timestamp),
            kind: Some(match e.value.kind.to_ascii_uppercase().as_str() {
                "ARCHIVE" => LocalResourceType::Archive,
                "PATTERN" => LocalResourceType::Pattern,
                _ => LocalResourceType::File,
            } as i32),
            ..LocalResource::default()
        }),
    };
    let launch = ContainerLaunchContext {
        local_resources: spec.local_resources.entry.iter().map(local).collect(),
        environment: spec
            .environment
            .entry
            .iter()
            .map(|e| StringString {
                key: e.key.clone(),
                value: Some(e.value.clone()),
            })
            .collect(),
        command: if spec.commands.command.is_empty() {
            Vec::new()
        } else {
            vec![spec.commands.command.clone()]
        },
        ..ContainerLaunchContext::default()
    };
    let named = s.resource.named.iter().flat_map(|n| &n.each);
    let values = named.map(|i| ResourceInformation {
        key: i.name.clone(),
        value: Some(i.value),
        units: Some(i.units.clone()),
    });
    let timeout = |t: &rest::Timeout| ApplicationTimeout {
        kind: Some(1),
        timeout: Some(t.remaining_s),
    };
    let text = |t: &str| (!t.is_empty()).then(|| t.to_owned());
    Ok(ApplicationSubmissionContext {
        application_id: Some(id),
        application_name: text(&s.application_name),
        queue: text(&s.queue),
        priority: Some(Priority {
            priority: s.priority,
        }),
        am_container_spec: Some(launch),
        unmanaged_am: Some(s.unmanaged_am),
        max_app_attempts: Some(s.max_app_attempts),
        resource: Some(Resource {
            memory: Some(s.resource.memory),
            virtual_cores: Some(s.resource.vcores),
            values: values.collect(),
        }),
        application_type: text(&s.application_type),
        keep_containers: Some(s.keep_containers_across_application_attempts),
        application_tags: s.application_tags.tag.clone(),
        node_label_expression: s.app_node_label_expression.clone(),
        application_timeouts: s.application_timeouts.timeout.iter().map(timeout).collect(),
        ..ApplicationSubmissionContext::default()
    })
}
