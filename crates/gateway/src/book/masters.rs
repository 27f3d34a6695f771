//! Masters: they register, ask for containers with each heartbeat, and say goodbye.
//!
//! A session lives with the leader and is not recorded: after a take-over a master is told to register again, and says
//! again what it asks for, as is published for a resource manager that was restarted. What bounds it is checked before
//! anything of a heartbeat is taken, so a refused one has changed nothing.

use super::apps::Size;
use super::containers::{AskKey, Container, Shape, Stage as Place, number_of};
use super::{Book, Waiter};
use crate::call::Proved;
use crate::records::{self, Ending, Stage, cut};
use crate::{Cx, token};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use yarn::error::{Class, Fault};
use yarn::master::Container as Container_;
use yarn::master::{
    ANY, AllocateRequest, AllocateResponse, ContainerException, ContainerStatus, FinishRequest,
    GetContainerStatusesRequest, GetContainerStatusesResponse, MasterCommand, NmToken,
    RegisterRequest, RegisterResponse, SerializedException, StartContainersRequest,
    StartContainersResponse, StopContainersRequest, StopContainersResponse, UpdateContainer,
    UpdateError, exit,
};
use yarn::proto::{ApplicationAttemptId, ContainerId, FinalStatus, NodeId, Priority};

/// Machines that a master may refuse.
const BLACKLIST: usize = 1000;
/// Runners have so long to tell a new leader what they run, in milliseconds.
const SETTLING_MS: u64 = 10_000;
/// Completed containers that are still shown.
const SHOWN: usize = 200;
/// Containers that one heartbeat hands out.
const GIVEN_AT_ONCE: usize = 500;

/// What a master asks for at one priority and size, by name.
#[derive(Debug, Clone, Default)]
struct Names {
    any: u32,
    relax: bool,
    zones: BTreeMap<String, u32>,
    hosts: BTreeMap<String, u32>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    priority: i32,
    number: i64,
    size: Size,
    label: Option<String>,
}

pub(super) struct Session {
    pub attempt: u32,
    pub host: String,
    pub port: i32,
    pub progress: f32,
    pub heard_at: u64,
    /// The last response, for a heartbeat that is repeated.
    last: (i32, Vec<u8>),
    lines: BTreeMap<Line, Names>,
    /// How many containers are still wanted.
    pub asks: BTreeMap<AskKey, u32>,
    /// Shapes that the scheduler can never run.
    pub refused: BTreeSet<Shape>,
    pub blacklist: BTreeSet<String>,
    /// Given, and not told yet.
    pub given: Vec<i64>,
    pub completed: Vec<ContainerStatus>,
    /// Told with the last response; known to the master once he answers it.
    told: Vec<i64>,
}

fn fenced(id: ApplicationAttemptId) -> Fault {
    let why = format!("Application attempt {id} doesn't exist in ApplicationMasterService cache.");
    Fault::new(Class::AttemptNotFound, why)
}

impl Session {
    fn new(attempt: u32, host: String, port: i32, now: u64) -> Session {
        Session {
            attempt,
            host,
            port,
            progress: 0.0,
            heard_at: now,
            last: (0, Vec::new()),
            lines: BTreeMap::new(),
            asks: BTreeMap::new(),
            refused: BTreeSet::new(),
            blacklist: BTreeSet::new(),
            given: Vec::new(),
            completed: Vec::new(),
            told: Vec::new(),
        }
    }

    /// The end of a container is known to its master, or will be.
    pub fn owes(&self, container: i64) -> bool {
        self.told.contains(&container)
            || self
                .completed
                .iter()
                .any(|c| c.container_id.is_some_and(|i| i.id == container))
    }

    /// Takes one of the containers that are asked for off the count.
    fn take(&mut self, key: &AskKey) {
        if let Some(n) = self.asks.get_mut(key) {
            *n -= 1;
            if *n == 0 {
                self.asks.remove(key);
            }
        }
        let line = Line {
            priority: key.priority,
            number: key.number,
            size: key.shape.size,
            label: key.shape.label.clone(),
        };
        let Some(names) = self.lines.get_mut(&line) else {
            return;
        };
        names.any = names.any.saturating_sub(1);
        if let Some(n) = key.shape.zone.as_ref().and_then(|z| names.zones.get_mut(z)) {
            *n = n.saturating_sub(1);
        }
        if names.any == 0 {
            self.lines.remove(&line);
        }
    }

    /// What a line of names comes to: any machine, or certain zones only.
    fn settle(&mut self, line: &Line) {
        self.asks.retain(|k, _| {
            !(k.priority == line.priority
                && k.number == line.number
                && k.shape.size == line.size
                && k.shape.label == line.label)
        });
        let Some(names) = self.lines.get(line) else {
            return;
        };
        let key = |zone| AskKey {
            priority: line.priority,
            number: line.number,
            shape: Shape {
                size: line.size,
                label: line.label.clone(),
                zone,
            },
        };
        if names.relax {
            self.asks
                .extend((names.any > 0).then(|| (key(None), names.any)));
        } else {
            let zones = names.zones.iter().filter(|(_, n)| **n > 0);
            self.asks.extend(
                zones
                    .map(|(z, n)| (key(Some(z.clone())), (*n).min(names.any)))
                    .filter(|(_, n)| *n > 0),
            );
        }
    }
}

impl Book {
    /// The application whose master a connection has proved to be; fenced if another attempt is in force.
    fn mastered(&self, proved: Option<Proved>) -> Result<u32, Fault> {
        let denied = || {
            Fault::new(
                Class::AccessDenied,
                "a master shows the token of its application",
            )
        };
        let proved = proved.ok_or_else(denied)?;
        let id = token::attempt_id(self.cluster.stamp, proved.app, proved.attempt);
        let app = self
            .apps
            .get(&proved.app)
            .filter(|a| a.rec.attempt == proved.attempt);
        app.map(|_| proved.app).ok_or_else(|| fenced(id))
    }

    pub(super) fn register(
        &mut self,
        cx: Cx<'_>,
        proved: Option<Proved>,
        r: &RegisterRequest,
        waiter: Waiter,
    ) -> Result<(), Fault> {
        let id = self.mastered(proved)?;
        let host = cut(r.host.as_deref().unwrap_or(""), records::SHORT);
        let port = r.rpc_port.unwrap_or(-1);
        let tracking = cut(r.tracking_url.as_deref().unwrap_or(""), records::LONG);
        let Some(app) = self.apps.get_mut(&id) else {
            return Ok(());
        };
        if app.rec.stage.is_final() {
            return Err(fenced(token::attempt_id(
                self.cluster.stamp,
                id,
                app.rec.attempt,
            )));
        }
        // Whoever repeats it after a lost answer is the same master: he proves it by his token.
        if app
            .session
            .as_ref()
            .is_none_or(|s| s.attempt != app.rec.attempt)
        {
            app.session = Some(Session::new(app.rec.attempt, host, port, cx.now.mono));
        }
        if app.rec.stage == Stage::Accepted {
            app.rec.stage = Stage::Running;
            app.rec.launched_ms = Some(cx.now.wall);
        }
        app.rec.tracking = tracking;
        if app.saved.as_ref() != Some(&app.rec) {
            self.touch(id);
        }
        self.when_saved(cx, id, waiter);
        Ok(())
    }

    /// What a master is told that has registered.
    pub(super) fn registered(&self, cx: Cx<'_>, id: u32) -> Result<RegisterResponse, Fault> {
        let app = self
            .apps
            .get(&id)
            .ok_or_else(|| Fault::new(Class::Retriable, "the application has gone"))?;
        let live = app
            .groups
            .containers
            .values()
            .filter(|c| app.rec.keep && !c.is_over());
        Ok(RegisterResponse {
            maximum_capability: Some(self.largest(cx)?.proto()),
            queue: Some(app.rec.queue.clone()),
            containers_from_previous_attempts: live.map(|c| self.container(cx, c)).collect(),
            ..RegisterResponse::default()
        })
    }

    pub(super) fn unregister(
        &mut self,
        cx: Cx<'_>,
        proved: Option<Proved>,
        r: &FinishRequest,
        waiter: Waiter,
    ) -> Result<(), Fault> {
        let id = self.mastered(proved)?;
        let Some(app) = self.apps.get_mut(&id) else {
            return Ok(());
        };
        if !app.rec.stage.is_final() {
            if app.session.is_none() {
                return Err(not_registered(token::attempt_id(
                    self.cluster.stamp,
                    id,
                    app.rec.attempt,
                )));
            }
            app.rec.outcome = r.final_status.unwrap_or(FinalStatus::Undefined as i32);
            app.rec.diagnostics = cut(r.diagnostics.as_deref().unwrap_or(""), records::LONG);
            app.rec.tracking = cut(r.tracking_url.as_deref().unwrap_or(""), records::LONG);
            // A kill that is recorded already goes first.
            if app.rec.ending.is_none() {
                self.finish(cx, id, Stage::Finished);
            }
        }
        self.when_saved(cx, id, waiter);
        Ok(())
    }

    /// One heartbeat. A repeated one is answered as it was.
    pub(super) fn allocate(
        &mut self,
        cx: Cx<'_>,
        proved: Option<Proved>,
        r: &AllocateRequest,
    ) -> Result<Vec<u8>, Fault> {
        let id = self.mastered(proved)?;
        self.counts.heartbeats += 1;
        let Some(app) = self.apps.get_mut(&id) else {
            return Ok(Vec::new());
        };
        let attempt = token::attempt_id(self.cluster.stamp, id, app.rec.attempt);
        if app.rec.stage.is_final() {
            return Err(fenced(attempt));
        }
        let Some(session) = app
            .session
            .as_mut()
            .filter(|s| s.attempt == app.rec.attempt)
        else {
            return Err(not_registered(attempt));
        };
        session.heard_at = cx.now.mono;
        let number = r.response_id.unwrap_or(0);
        let (last, ref bytes) = session.last;
        if number == last.wrapping_sub(1) && last > 0 {
            return Ok(bytes.clone());
        }
        if number != last {
            let why = format!(
                "Invalid responseId in AllocateRequest from application attempt: {attempt}, expect responseId to be {last}, but get {number}"
            );
            return Err(Fault::new(Class::Yarn, why));
        }
        let changed = self.check_asks(cx, id, r)?;
        if let Some(session) = self.apps.get_mut(&id).and_then(|a| a.session.as_mut()) {
            // He has the response before this one.
            session.told.clear();
            session.progress = r
                .progress
                .filter(|p| p.is_finite())
                .unwrap_or(0.0)
                .clamp(0.0, 1.0);
            if let Some(blacklist) = &r.blacklist {
                blacklist.removals.iter().for_each(|n| {
                    session.blacklist.remove(n);
                });
                let room = BLACKLIST.saturating_sub(session.blacklist.len());
                session
                    .blacklist
                    .extend(blacklist.additions.iter().take(room).cloned());
            }
            for (line, names) in changed {
                if names.any == 0 {
                    session.lines.remove(&line);
                } else {
                    session.lines.insert(line.clone(), names);
                }
                session.settle(&line);
            }
        }
        for container in &r.release {
            self.stop_container(
                cx,
                id,
                container.id,
                exit::ABORTED,
                "Container released by application",
            );
        }
        self.groups_wanted(cx, id);
        Ok(self.beat(cx, id, &r.update_requests))
    }

    /// What a heartbeat's asks come to, line by line, if all of them can be taken.
    fn check_asks(
        &self,
        cx: Cx<'_>,
        id: u32,
        r: &AllocateRequest,
    ) -> Result<BTreeMap<Line, Names>, Fault> {
        let mut changed: BTreeMap<Line, Names> = BTreeMap::new();
        let Some(app) = self.apps.get(&id) else {
            return Ok(changed);
        };
        let Some(session) = &app.session else {
            return Ok(changed);
        };
        let refuse = |why: String| Fault::new(Class::InvalidRequest, why);
        let most = &cx.config.most;
        if r.ask.len() > most.asks * 16 || r.release.len() > most.containers as usize {
            return Err(refuse(format!(
                "{} asks and {} releases at once",
                r.ask.len(),
                r.release.len()
            )));
        }
        let largest = if r.ask.is_empty() {
            None
        } else {
            Some(self.largest(cx)?)
        };
        for ask in &r.ask {
            let size = Size::read(ask.capability.as_ref())?;
            if largest.is_some_and(|l| !size.fits(l)) {
                return Err(refuse(format!(
                    "Invalid resource request! {size:?} is more than the largest machine has"
                )));
            }
            let n = u32::try_from(ask.num_containers.unwrap_or(0))
                .ok()
                .filter(|n| *n <= most.containers);
            let n =
                n.ok_or_else(|| refuse(format!("number of containers: 0 to {}", most.containers)))?;
            let line = Line {
                priority: ask.priority.unwrap_or_default().priority,
                number: ask.allocation_request_id.unwrap_or(-1),
                size,
                label: ask.node_label_expression.clone().filter(|l| !l.is_empty()),
            };
            let known = || {
                session.lines.get(&line).cloned().unwrap_or(Names {
                    relax: true,
                    ..Names::default()
                })
            };
            let names = changed.entry(line.clone()).or_insert_with(known);
            let name = ask.resource_name.as_deref().unwrap_or(ANY);
            match name.strip_prefix('/') {
                _ if name == ANY => {
                    (names.any, names.relax) = (n, ask.relax_locality.unwrap_or(true))
                }
                Some(zone) => {
                    names.zones.insert(zone.to_owned(), n);
                }
                None => {
                    names.hosts.insert(name.to_owned(), n);
                }
            }
        }
        let zones = &cx.node.settings().cluster.zones;
        for (line, names) in &mut changed {
            names.zones.retain(|_, n| *n > 0);
            names.hosts.retain(|_, n| *n > 0);
            if names.zones.len() + names.hosts.len() > most.asks * 16 {
                return Err(refuse("too many places are named".into()));
            }
            let strict = !names.relax && names.any > 0;
            if strict && names.zones.is_empty() {
                return Err(refuse(
                    "a container can't be bound to a host here; racks (zones) are served".into(),
                ));
            }
            if let Some(zone) = names.zones.keys().find(|z| strict && !zones.contains(z)) {
                return Err(refuse(format!("there is no rack (zone) /{zone}")));
            }
            let types = cx
                .node
                .machine_types()
                .map(|c| c.types.as_slice())
                .unwrap_or_default();
            if let Some(label) = line
                .label
                .as_ref()
                .filter(|l| !types.iter().any(|t| t.name == **l))
            {
                return Err(refuse(format!(
                    "there is no node label (machine type) {label:?}"
                )));
            }
        }
        let lines = session
            .lines
            .keys()
            .chain(changed.keys())
            .collect::<BTreeSet<_>>()
            .len();
        if lines > most.asks {
            return Err(refuse(format!(
                "more than {} different requests are outstanding",
                most.asks
            )));
        }
        let held = app
            .groups
            .containers
            .values()
            .filter(|c| !c.is_over())
            .count() as u64;
        let kept = session
            .lines
            .iter()
            .filter(|(l, _)| !changed.contains_key(*l))
            .map(|(_, n)| u64::from(n.any));
        let asked: u64 = kept.chain(changed.values().map(|n| u64::from(n.any))).sum();
        if asked + held > u64::from(most.containers) {
            return Err(refuse(format!(
                "{asked} containers asked for and {held} held are more than {}",
                most.containers
            )));
        }
        if changed.values().any(|n| n.any > 0) && self.holds_containers(&app.rec.queue) {
            return Err(Fault::new(
                Class::InvalidRequest,
                format!("Queue {} is DRAINING: no further containers", app.rec.queue),
            ));
        }
        Ok(changed)
    }

    /// The response to a heartbeat, kept for its repeat.
    fn beat(&mut self, cx: Cx<'_>, id: u32, updates: &[UpdateContainer]) -> Vec<u8> {
        let Some(app) = self.apps.get_mut(&id) else {
            return Vec::new();
        };
        let keys_number = self.cluster.keys.number;
        let attempt = token::attempt_id(self.cluster.stamp, id, app.rec.attempt);
        let Some(session) = &mut app.session else {
            return Vec::new();
        };
        let given: Vec<i64> = session
            .given
            .drain(..session.given.len().min(GIVEN_AT_ONCE))
            .collect();
        let completed = std::mem::take(&mut session.completed);
        session.told = completed
            .iter()
            .filter_map(|c| c.container_id)
            .map(|c| c.id)
            .collect();
        let response_id = session.last.0.wrapping_add(1).max(1);
        forget_old(&mut app.groups.containers);
        let app = &self.apps[&id];
        let allocated: Vec<Container_> = given
            .iter()
            .filter_map(|c| app.groups.containers.get(c))
            .map(|c| self.container(cx, c))
            .collect();
        let nm_token = NmToken {
            node_id: Some(self.here(cx)),
            token: Some(self.cluster.keys.token("NMToken", attempt, &[])),
        };
        let response = AllocateResponse {
            command: app.rec.ending.map(|_| MasterCommand::Shutdown as i32),
            response_id: Some(response_id),
            nm_tokens: if allocated.is_empty() {
                Vec::new()
            } else {
                vec![nm_token]
            },
            allocated,
            completed,
            limit: self.largest(cx).ok().map(Size::proto),
            num_cluster_nodes: Some(cx.node.machine_count() as i32),
            // A master of an older key is given the new token before the old one is refused.
            am_rm_token: (keys_number > 1)
                .then(|| self.cluster.keys.token(token::KIND, attempt, &[])),
            application_priority: Some(Priority {
                priority: app.rec.priority,
            }),
            update_errors: updates.iter().map(refused_update).collect(),
            ..AllocateResponse::default()
        };
        let bytes = response.encode_to_vec();
        if let Some(session) = self.apps.get_mut(&id).and_then(|a| a.session.as_mut()) {
            session.last = (response_id, bytes.clone());
        }
        bytes
    }

    /// Where masters describe what containers are to run: here, for all machines.
    fn here(&self, cx: Cx<'_>) -> NodeId {
        let host = cx
            .config
            .public
            .clone()
            .unwrap_or_else(|| cx.config.rpc.ip().to_string());
        NodeId {
            host,
            port: i32::from(cx.config.rpc.port()),
        }
    }

    pub(super) fn container(&self, cx: Cx<'_>, c: &Container) -> Container_ {
        let attempt = c.id.app_attempt_id.unwrap_or_default();
        let token = self
            .cluster
            .keys
            .token(token::CONTAINER_KIND, attempt, &c.id.id.to_be_bytes());
        Container_ {
            id: Some(c.id),
            node_id: Some(self.here(cx)),
            node_http_address: Some(c.machine.clone()),
            resource: Some(c.key.shape.size.proto()),
            priority: Some(Priority {
                priority: c.key.priority,
            }),
            container_token: Some(token),
            execution_type: None,
            allocation_request_id: Some(c.key.number),
        }
    }

    /// Gives a free place the container that its master wants most, if it wants one there.
    pub(super) fn give(&mut self, cx: Cx<'_>, id: u32, at: (u32, u32)) -> Option<i64> {
        let stamp = self.cluster.stamp;
        let machine = &self.apps.get(&id)?.groups.slots.get(&at)?.machine;
        if self.drain.machines.contains_key(machine) {
            return None;
        }
        let app = self.apps.get_mut(&id)?;
        let session = app.session.as_mut()?;
        let slot = app.groups.slots.get(&at).filter(|s| !s.spent)?;
        if session.blacklist.contains(&slot.machine) {
            return None;
        }
        let key = session
            .asks
            .keys()
            .find(|k| k.shape == slot.shape)
            .cloned()?;
        session.take(&key);
        let attempt = token::attempt_id(stamp, id, app.rec.attempt);
        let container = ContainerId::new(attempt, 0, number_of(at) as u64);
        session.given.push(container.id);
        let new = Container::new(container, &slot.machine, &slot.zone, key, cx.now.wall);
        self.counts.containers += 1;
        app.groups.containers.insert(container.id, new);
        let slot = app.groups.slots.get_mut(&at)?;
        (slot.container, slot.spent) = (Some(container.id), true);
        Some(container.id)
    }

    /// Has a container ended; one that nobody has begun is over at once.
    pub(super) fn stop_container(
        &mut self,
        cx: Cx<'_>,
        id: u32,
        container: i64,
        status: i32,
        why: &str,
    ) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        let Some(c) = app
            .groups
            .containers
            .get_mut(&container)
            .filter(|c| !c.is_over())
        else {
            return;
        };
        if c.stage == Place::Running {
            c.stopping.get_or_insert(status);
            return;
        }
        self.complete(cx, id, container, status, why);
        if let Some(session) = self.apps.get_mut(&id).and_then(|a| a.session.as_mut()) {
            session.given.retain(|g| *g != container);
        }
    }

    // ---- container management ----

    /// The containers that a master describes: each is started when its runner comes for it.
    pub(super) fn start_containers(
        &mut self,
        cx: Cx<'_>,
        proved: Option<Proved>,
        r: &StartContainersRequest,
        call: u64,
    ) -> Result<Option<StartContainersResponse>, Fault> {
        let id = self.mastered(proved)?;
        let mut described = Vec::new();
        for request in &r.requests {
            let launch = request.context.clone().unwrap_or_default();
            let checked = request
                .container_token
                .as_ref()
                .and_then(|t| self.cluster.keys.check(t, 8));
            let of = |a: ApplicationAttemptId| a.application_id == Some(self.app_id(id));
            let more = checked
                .filter(|(attempt, _)| of(*attempt))
                .map(|(_, more)| more);
            let container = more.and_then(|m| m.first_chunk::<8>().map(|b| i64::from_be_bytes(*b)));
            let container = container.ok_or_else(|| {
                Fault::new(Class::AccessDenied, "the container's token is not good")
            })?;
            if launch.encoded_len() > cx.config.most.launch {
                let why = format!(
                    "launch description: at most {} bytes",
                    cx.config.most.launch
                );
                return Err(Fault::new(Class::BadArgument, why));
            }
            described.push((container, launch));
        }
        let young = cx.now.mono < self.begun + SETTLING_MS;
        let known = |c: &i64| {
            self.apps
                .get(&id)
                .is_some_and(|a| a.groups.containers.contains_key(c))
        };
        if young && !described.iter().all(|(c, _)| known(c)) {
            let why = "the containers of an earlier owner are being looked for";
            return Err(Fault::new(Class::Retriable, why));
        }
        let mut answer = StartContainersResponse::default();
        for (container, launch) in described {
            let Some(app) = self.apps.get_mut(&id) else {
                continue;
            };
            match app.groups.containers.get_mut(&container) {
                // Also for one that is over since: this call may be repeated since its answer was lost, and how it
                // ended is told with a heartbeat.
                Some(c) if c.started => answer.succeeded.push(c.id),
                Some(c) if !c.is_over() => {
                    c.stage = Place::Described(launch.encode_to_vec());
                    c.starting.push(call);
                    self.starts.entry(call).or_default().open.insert(container);
                }
                other => {
                    let why =
                        "the container is over, or was lost with the node that gave it".to_owned();
                    let gone = ContainerId {
                        id: container,
                        ..ContainerId::default()
                    };
                    let id = other.map_or(gone, |c| c.id);
                    answer.failed.push(failure(id, why));
                }
            }
        }
        match self.starts.get_mut(&call) {
            Some(start) => {
                start.answer = answer;
                Ok(None)
            }
            None => Ok(Some(answer)),
        }
    }

    /// One of the containers of a start is with its runner, or over: when all are, the master is answered.
    pub(super) fn start_over(&mut self, id: u32, call: u64, container: i64) {
        let Some(start) = self.starts.get_mut(&call) else {
            return;
        };
        start.open.remove(&container);
        // Other applications have containers of the same number.
        match self
            .apps
            .get(&id)
            .and_then(|a| a.groups.containers.get(&container))
        {
            Some(c) if c.started => start.answer.succeeded.push(c.id),
            Some(c) => start
                .answer
                .failed
                .push(failure(c.id, c.diagnostics.clone())),
            None => {}
        }
        if start.open.is_empty() {
            let body = start.answer.encode_to_vec();
            self.starts.remove(&call);
            self.answer(call, crate::call::Reply::Rpc(body));
        }
    }

    pub(super) fn stop_containers(
        &mut self,
        cx: Cx<'_>,
        proved: Option<Proved>,
        r: &StopContainersRequest,
    ) -> Result<StopContainersResponse, Fault> {
        let id = self.mastered(proved)?;
        for c in &r.containers {
            self.stop_container(
                cx,
                id,
                c.id,
                exit::KILLED_BY_MASTER,
                "Container killed by the ApplicationMaster.",
            );
        }
        Ok(StopContainersResponse {
            succeeded: r.containers.clone(),
            failed: Vec::new(),
        })
    }

    pub(super) fn container_statuses(
        &self,
        proved: Option<Proved>,
        r: &GetContainerStatusesRequest,
    ) -> Result<GetContainerStatusesResponse, Fault> {
        let id = self.mastered(proved)?;
        let app = self.apps.get(&id);
        let mut answer = GetContainerStatusesResponse::default();
        for asked in &r.containers {
            match app.and_then(|a| a.groups.containers.get(&asked.id)) {
                Some(c) => answer.statuses.push(c.status()),
                None => answer
                    .failed
                    .push(failure(*asked, "the container is not known here".into())),
            }
        }
        Ok(answer)
    }

    /// An attempt's successor is in force: its session and, unless they are kept, its containers go.
    pub(super) fn fence(&mut self, cx: Cx<'_>, id: u32) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        if app.session.take().is_some() {
            self.counts.fenced += 1;
        }
        let Some(app) = self.apps.get_mut(&id).filter(|a| !a.rec.keep) else {
            return;
        };
        let left: Vec<i64> = app
            .groups
            .containers
            .iter()
            .filter(|(_, c)| !c.is_over())
            .map(|(c, _)| *c)
            .collect();
        for c in left {
            self.stop_container(
                cx,
                id,
                c,
                exit::ABORTED,
                "The attempt that it belonged to is over",
            );
        }
    }

    /// A master's runner says that its process failed.
    pub(super) fn master_failed(&mut self, id: u32, status: i32) {
        let Some(app) = self.apps.get_mut(&id).filter(|a| !a.rec.stage.is_final()) else {
            return;
        };
        app.rec.failures += 1;
        let (failures, most) = (app.rec.failures, app.rec.max_attempts);
        self.touch(id);
        if failures >= most {
            let why = format!(
                "Application failed {failures} times due to AM container exiting with exitCode: {status}"
            );
            self.end(id, Ending::Failed, &why);
        }
    }
}

/// A call that describes containers, until their runners have them.
#[derive(Default)]
pub(super) struct Start {
    pub open: BTreeSet<i64>,
    answer: StartContainersResponse,
}

fn not_registered(id: ApplicationAttemptId) -> Fault {
    Fault::new(
        Class::NotRegistered,
        format!("AppMaster is not registered for known application attempt {id}. Register first."),
    )
}

fn failure(id: ContainerId, why: String) -> ContainerException {
    let exception = SerializedException {
        message: Some(why),
        trace: None,
        class_name: Some(Class::Yarn.name().to_owned()),
    };
    ContainerException {
        container_id: Some(id),
        exception: Some(exception),
    }
}

fn refused_update(update: &UpdateContainer) -> UpdateError {
    UpdateError {
        reason: Some("a container keeps its size here".into()),
        request: Some(update.clone()),
    }
}

/// Of those that are over, the latest are shown.
fn forget_old(containers: &mut BTreeMap<i64, Container>) {
    let over: Vec<i64> = containers
        .iter()
        .filter(|(_, c)| c.is_over())
        .map(|(id, _)| *id)
        .collect();
    for id in over.iter().take(over.len().saturating_sub(SHOWN)) {
        containers.remove(id);
    }
}
