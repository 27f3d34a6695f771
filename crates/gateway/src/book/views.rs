//! What clients are shown: always what is recorded.

use super::{App, Book};
use crate::queues::{Queue, ROOT};
use crate::records::{AppRecord, Stage};
use crate::{Cx, token};
use std::collections::HashMap;
use yarn::proto::{
    ApplicationAttemptId, ApplicationAttemptReport, ApplicationReport,
    ApplicationResourceUsageReport, ApplicationState, AttemptState, ContainerId, FinalStatus,
    GetApplicationsRequest, NodeId, NodeReport, NodeState, Priority, QueueInfo, QueueState,
    Resource,
};

impl Stage {
    pub(super) fn proto(self) -> ApplicationState {
        match self {
            Stage::Accepted => ApplicationState::Accepted,
            Stage::Running => ApplicationState::Running,
            Stage::Finished => ApplicationState::Finished,
            Stage::Failed => ApplicationState::Failed,
            Stage::Killed => ApplicationState::Killed,
        }
    }
}

/// The published name of a state.
pub(super) fn state_name(state: ApplicationState) -> &'static str {
    match state {
        ApplicationState::New => "NEW",
        ApplicationState::NewSaving => "NEW_SAVING",
        ApplicationState::Submitted => "SUBMITTED",
        ApplicationState::Accepted => "ACCEPTED",
        ApplicationState::Running => "RUNNING",
        ApplicationState::Finished => "FINISHED",
        ApplicationState::Failed => "FAILED",
        ApplicationState::Killed => "KILLED",
    }
}

pub(super) fn status_name(number: i32) -> &'static str {
    match FinalStatus::try_from(number) {
        Ok(FinalStatus::Succeeded) => "SUCCEEDED",
        Ok(FinalStatus::Failed) => "FAILED",
        Ok(FinalStatus::Killed) => "KILLED",
        Ok(FinalStatus::Ended) => "ENDED",
        _ => "UNDEFINED",
    }
}

impl App {
    /// What is recorded; what is about to be, for one that is not yet.
    pub(super) fn shown(&self) -> &AppRecord {
        self.saved.as_ref().unwrap_or(&self.rec)
    }

    pub(super) fn attempt_state(&self) -> AttemptState {
        let rec = self.shown();
        match rec.stage {
            Stage::Accepted if rec.attempt == 0 => AttemptState::Scheduled,
            Stage::Accepted => AttemptState::Launched,
            Stage::Running => AttemptState::Running,
            Stage::Finished => AttemptState::Finished,
            Stage::Failed => AttemptState::Failed,
            Stage::Killed => AttemptState::Killed,
        }
    }
}

impl Book {
    pub(super) fn attempt_id(&self, rec: &AppRecord, attempt: u32) -> ApplicationAttemptId {
        token::attempt_id(self.cluster.stamp, rec.id, attempt)
    }

    /// An application as `user` may see it.
    pub(super) fn report(&self, app: &App, user: &str) -> ApplicationReport {
        let rec = app.shown();
        let over = rec.stage.is_final();
        let progress = if over {
            1.0
        } else {
            app.session.as_ref().map_or(0.0, |s| s.progress)
        };
        let own = rec.user == user && rec.unmanaged && !over;
        let used = app.groups.used(app);
        let usage = ApplicationResourceUsageReport {
            num_used_containers: Some(used.0 as i32),
            num_reserved_containers: Some(0),
            used_resources: Some(used.1.proto()),
            ..ApplicationResourceUsageReport::default()
        };
        ApplicationReport {
            application_id: Some(self.app_id(rec.id)),
            user: Some(rec.user.clone()),
            queue: Some(rec.queue.clone()),
            name: Some(rec.name.clone()),
            host: Some(
                app.session
                    .as_ref()
                    .map_or("N/A".into(), |s| s.host.clone()),
            ),
            rpc_port: Some(app.session.as_ref().map_or(-1, |s| s.port)),
            yarn_application_state: Some(rec.stage.proto() as i32),
            tracking_url: Some(if rec.tracking.is_empty() {
                "N/A".into()
            } else {
                rec.tracking.clone()
            }),
            diagnostics: Some(rec.diagnostics.clone()),
            start_time: Some(rec.submitted_ms as i64),
            finish_time: Some(rec.finished_ms.unwrap_or(0) as i64),
            final_application_status: Some(rec.outcome),
            usage: Some(usage),
            original_tracking_url: Some(rec.tracking.clone()),
            current_application_attempt_id: Some(self.attempt_id(rec, rec.attempt.max(1))),
            progress: Some(progress),
            application_type: Some(rec.kind.clone()),
            // The master of an unmanaged application is started by whoever submitted it: he is given its token.
            am_rm_token: own.then(|| {
                self.cluster
                    .keys
                    .token(token::KIND, self.attempt_id(rec, rec.attempt), &[])
            }),
            application_tags: rec.tags.clone(),
            unmanaged_application: Some(rec.unmanaged),
            priority: Some(Priority {
                priority: rec.priority,
            }),
            launch_time: Some(rec.launched_ms.unwrap_or(0) as i64),
            submit_time: Some(rec.submitted_ms as i64),
            ..ApplicationReport::default()
        }
    }

    pub(super) fn attempt_report(&self, app: &App) -> ApplicationAttemptReport {
        let rec = app.shown();
        let id = self.attempt_id(rec, rec.attempt.max(1));
        ApplicationAttemptReport {
            application_attempt_id: Some(id),
            host: app.session.as_ref().map(|s| s.host.clone()),
            rpc_port: app.session.as_ref().map(|s| s.port),
            tracking_url: Some(rec.tracking.clone()),
            original_tracking_url: Some(rec.tracking.clone()),
            diagnostics: Some(rec.diagnostics.clone()),
            state: Some(app.attempt_state() as i32),
            am_container_id: Some(ContainerId::new(id, 0, 1)),
            start_time: Some(rec.launched_ms.unwrap_or(0) as i64),
            finish_time: Some(rec.finished_ms.unwrap_or(0) as i64),
        }
    }

    /// Which recorded applications a filter lets through, newest first.
    pub(super) fn filtered(&self, f: &GetApplicationsRequest) -> Vec<&App> {
        let any = |list: &[String], value: &str| list.is_empty() || list.iter().any(|v| v == value);
        let within = |low: Option<i64>, high: Option<i64>, v: i64| {
            v >= low.unwrap_or(0) && v <= high.unwrap_or(i64::MAX)
        };
        let queues: Vec<&str> = f
            .queues
            .iter()
            .filter_map(|q| self.queues.find(q))
            .map(|q| q.path.as_str())
            .collect();
        let matches = |app: &&App| {
            let Some(rec) = &app.saved else { return false };
            let kind_ok = f.application_types.is_empty()
                || f.application_types
                    .iter()
                    .any(|k| k.eq_ignore_ascii_case(&rec.kind));
            let state_ok = f.application_states.is_empty()
                || f.application_states.contains(&(rec.stage.proto() as i32));
            let queue_ok = f.queues.is_empty()
                || queues
                    .iter()
                    .any(|q| rec.queue == *q || rec.queue.starts_with(&format!("{q}.")));
            let tags_ok = f.application_tags.is_empty()
                || f.application_tags.iter().any(|t| rec.tags.contains(t));
            let name_ok = f.name.as_ref().is_none_or(|n| *n == rec.name);
            let finished = rec
                .finished_ms
                .map_or(f.finish_begin.is_none() && f.finish_end.is_none(), |t| {
                    within(f.finish_begin, f.finish_end, t as i64)
                });
            let started = within(f.start_begin, f.start_end, rec.submitted_ms as i64);
            kind_ok
                && state_ok
                && queue_ok
                && tags_ok
                && name_ok
                && any(&f.users, &rec.user)
                && started
                && finished
        };
        let limit = f
            .limit
            .and_then(|n| usize::try_from(n).ok())
            .unwrap_or(usize::MAX);
        self.apps
            .values()
            .rev()
            .filter(matches)
            .take(limit)
            .collect()
    }

    /// Recorded applications by the path of their queue.
    pub(super) fn by_queue(&self) -> HashMap<&str, Vec<&App>> {
        let mut out: HashMap<&str, Vec<&App>> = HashMap::new();
        for app in self.apps.values().filter(|a| a.saved.is_some()) {
            out.entry(&app.rec.queue).or_default().push(app);
        }
        out
    }

    /// A queue with what is asked for below it; `apps` are to be shown, by queue.
    pub(super) fn queue_info(
        &self,
        queue: &Queue,
        apps: &HashMap<&str, Vec<&App>>,
        children: usize,
        user: &str,
    ) -> QueueInfo {
        let state = if self.drain_of(queue).is_some() {
            QueueState::Draining
        } else {
            QueueState::Running
        };
        let below =
            |child: &usize| self.queue_info(&self.queues.all[*child], apps, children - 1, user);
        let here = apps.get(queue.path.as_str()).into_iter().flatten();
        QueueInfo {
            // Published servers name the leaf only; the root is itself.
            queue_name: Some(if queue.path == ROOT {
                ROOT.into()
            } else {
                queue.path.clone()
            }),
            capacity: Some(queue.capacity),
            maximum_capacity: Some(queue.maximum),
            current_capacity: Some(0.0),
            state: Some(state as i32),
            child_queues: if children == 0 {
                Vec::new()
            } else {
                queue.children.iter().map(below).collect()
            },
            applications: here.map(|a| self.report(a, user)).collect(),
        }
    }

    /// The machines that the scheduler has, as nodes.
    pub(super) fn nodes(&self, cx: Cx<'_>) -> Vec<NodeReport> {
        let types = cx
            .node
            .machine_types()
            .map(|c| c.types.as_slice())
            .unwrap_or_default();
        let of = |name: &str| types.iter().find(|t| t.name == name);
        let node = |m: control::frontend::MachineView<'_>| NodeReport {
            node_id: Some(NodeId {
                host: m.name.to_owned(),
                port: 0,
            }),
            http_address: Some(m.name.to_owned()),
            rack_name: Some(format!("/{}", m.zone)),
            capability: of(m.machine_type).map(|t| Resource {
                memory: Some((t.mem_gb * 1024.0) as i64),
                virtual_cores: Some(t.cores as i32),
                values: Vec::new(),
            }),
            num_containers: Some(m.tasks as i32),
            node_state: Some(if m.up {
                NodeState::Running
            } else {
                NodeState::New
            } as i32),
            node_labels: vec![m.machine_type.to_owned()],
            last_health_report_time: Some(cx.now.wall as i64),
            ..NodeReport::default()
        };
        cx.node.machines().map(node).collect()
    }
}
