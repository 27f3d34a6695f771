//! Applications: how they come in, how their master's job is followed, and how they end.

use super::{App, Asked, Book, Groups, Native, Surface, Told, Waiter, Want};
use crate::queues::Queue;
use crate::records::{self, AppRecord, Ending, Stage, cut};
use crate::{Act, Cx, token};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use control::frontend::FIRST_CONNECTION;
use prost::Message;
use sha2::{Digest, Sha256};
use wire::api::{JobSpec, JobState, Kind, Stage as JobStage};
use wire::http::Response;
use yarn::error::{Class, Fault};
use yarn::master::GPUS;
use yarn::proto::{
    ApplicationId, ApplicationSubmissionContext, ContainerLaunchContext, FinalStatus, Resource,
};

/// A job's state is asked for again after this time, in milliseconds, or later if there are many.
const POLL_MS: u64 = 1000;
const POLLS_A_SECOND: u64 = 100;
/// A refused request to the scheduler is repeated after this time.
const AGAIN_MS: u64 = 1000;
/// A master that has said goodbye is cancelled if it stays for longer.
const LEAVE_MS: u64 = 30_000;
/// Cancels of one application's jobs that are out at once.
const CANCELS: usize = 8;
/// Published kind of a timeout that bounds an application's whole life.
const LIFETIME: i32 = 1;

/// Amounts as they are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Size {
    pub memory_mb: i64,
    pub cores: i32,
    pub gpus: i64,
}

impl Size {
    /// Reads a resource; one that the scheduler does not count is refused by name.
    pub fn read(resource: Option<&Resource>) -> Result<Size, Fault> {
        let bad = |why: String| Fault::new(Class::InvalidRequest, why);
        let r = resource.ok_or_else(|| bad("no resource is given".into()))?;
        let mut size = Size {
            memory_mb: r.memory.unwrap_or(0),
            cores: r.virtual_cores.unwrap_or(1),
            gpus: 0,
        };
        for named in &r.values {
            let value = named.value.unwrap_or(0);
            match named.key.as_str() {
                GPUS => size.gpus = value,
                "memory-mb" => size.memory_mb = value,
                "vcores" => size.cores = i32::try_from(value).unwrap_or(-1),
                _ if value == 0 => {}
                other => return Err(bad(format!("resource {other:?} is not counted here"))),
            }
        }
        if size.memory_mb <= 0 || size.cores < 0 || size.gpus < 0 {
            return Err(bad(format!(
                "memory must be above 0 and nothing below: {size:?}"
            )));
        }
        Ok(size)
    }

    pub fn proto(self) -> Resource {
        let info = |key: &str, value, units: &str| yarn::proto::ResourceInformation {
            key: key.into(),
            value: Some(value),
            units: Some(units.into()),
        };
        let values = vec![
            info("memory-mb", self.memory_mb, "Mi"),
            info("vcores", self.cores.into(), ""),
            info(GPUS, self.gpus, ""),
        ];
        Resource {
            memory: Some(self.memory_mb),
            virtual_cores: Some(self.cores),
            values,
        }
    }

    pub fn fits(self, most: Size) -> bool {
        self.memory_mb <= most.memory_mb && self.cores <= most.cores && self.gpus <= most.gpus
    }
}

/// The job of an application's master (group 0), or of some of its containers.
pub(super) fn job_id(app: u32, group: u32) -> String {
    format!("job-9{app:010}{group:07}")
}

/// The reverse of [`job_id`].
pub(super) fn parse_job(id: &str) -> Option<(u32, u32)> {
    let digits = id
        .strip_prefix("job-9")
        .filter(|d| d.len() == 17 && d.bytes().all(|b| b.is_ascii_digit()))?;
    let (app, group) = digits.split_at(10);
    Some((app.parse().ok()?, group.parse().ok()?))
}

/// A digest of what was submitted, the same however lists without an order were written.
fn print(user: &str, context: &ApplicationSubmissionContext) -> String {
    let mut c = context.clone();
    c.application_tags.sort_unstable();
    if let Some(launch) = &mut c.am_container_spec {
        launch.environment.sort_by(|a, b| a.key.cmp(&b.key));
        launch.local_resources.sort_by(|a, b| a.key.cmp(&b.key));
        launch.service_data.sort_by(|a, b| a.key.cmp(&b.key));
    }
    let mut digest = Sha256::new();
    digest.update(user.as_bytes());
    digest.update([0]);
    digest.update(c.encode_to_vec());
    token::hex(&digest.finalize())
}

/// A description in parts that each fit a record.
pub(super) fn in_parts(launch: &ContainerLaunchContext, value_kb: f64) -> Vec<String> {
    let text = BASE64.encode(launch.encode_to_vec());
    let most = ((value_kb * 1024.0 * 0.6) as usize).max(256);
    text.as_bytes()
        .chunks(most)
        .map(|c| String::from_utf8_lossy(c).into_owned())
        .collect()
}

impl App {
    pub(super) fn new(rec: AppRecord, parts: Vec<String>) -> App {
        App {
            described: rec.parts,
            rec,
            saved: None,
            version: 0,
            parts,
            waiters: Vec::new(),
            native: Native::Unsent,
            asking: false,
            master_over: false,
            rest_until: 0,
            due: 0,
            session: None,
            launch: None,
            reading: false,
            groups: Groups::default(),
        }
    }

    pub(super) fn size(&self) -> Size {
        Size {
            memory_mb: self.rec.memory_mb,
            cores: self.rec.cores,
            gpus: self.rec.gpus,
        }
    }

    /// What a native user would submit for it.
    fn job(&self, cx: Cx<'_>) -> JobSpec {
        let work = &cx.config.work;
        let spec = task(cx, &self.rec, self.size(), 0, 1);
        JobSpec {
            estimate_s: work.master_s,
            spot: false,
            types: self.rec.label.clone().map(|l| vec![l]),
            ..spec
        }
    }
}

/// The job of tasks of one size.
pub(super) fn task(cx: Cx<'_>, rec: &AppRecord, size: Size, group: u32, tasks: u32) -> JobSpec {
    let work = &cx.config.work;
    JobSpec {
        id: job_id(rec.id, group),
        class: cx.config.class(&rec.kind).to_owned(),
        team: rec.team.clone(),
        kind: Kind::Array,
        priority: cx.config.urgency(rec.priority),
        tasks,
        cores: size.cores.into(),
        gpus: size.gpus as f64,
        mem_gb: size.memory_mb as f64 / 1024.0,
        image: work.image.clone(),
        image_gb: work.image_gb,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: work.spot,
        estimate_s: work.estimate_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

impl Book {
    // ---- ids ----

    pub(super) fn ask_id(&mut self, cx: Cx<'_>, waiter: Waiter) {
        if self.next_id <= self.granted {
            return self.new_id(cx, waiter);
        }
        if self.id_waiters.is_empty() {
            self.cluster.given = self.next_id.saturating_add(super::IDS_AT_ONCE - 1);
            self.store.touch(super::Key::Cluster);
        }
        self.id_waiters.push(waiter);
    }

    /// Gives an id that the record allows for; without one left, whoever asked waits again.
    pub(super) fn new_id(&mut self, cx: Cx<'_>, waiter: Waiter) {
        if self.next_id > self.granted {
            return self.ask_id(cx, waiter);
        }
        let id = self.app_id(self.next_id);
        self.next_id += 1;
        self.tell_id(cx, waiter, id);
    }

    pub(super) fn app_id(&self, id: u32) -> ApplicationId {
        ApplicationId {
            id: id as i32,
            cluster_timestamp: self.cluster.stamp,
        }
    }

    /// The number of an id that is ours.
    pub(super) fn own(&self, id: Option<ApplicationId>) -> Result<u32, Fault> {
        let id = id.ok_or_else(|| Fault::new(Class::BadArgument, "application id: is missing"))?;
        let known = id.cluster_timestamp == self.cluster.stamp && id.id > 0;
        let unknown = || {
            Fault::new(
                Class::ApplicationNotFound,
                format!("Application with id '{id}' doesn't exist here."),
            )
        };
        known.then_some(id.id as u32).ok_or_else(unknown)
    }

    /// An application that is recorded.
    pub(super) fn known(&self, id: Option<ApplicationId>) -> Result<&App, Fault> {
        let number = self.own(id)?;
        let app = self.apps.get(&number).filter(|a| a.saved.is_some());
        app.ok_or_else(|| {
            let id = self.app_id(number);
            Fault::new(
                Class::ApplicationNotFound,
                format!("Application with id '{id}' doesn't exist in RM."),
            )
        })
    }

    // ---- coming in ----

    /// Takes a submission, or says at once why not. A repeat of a known one is the same application.
    pub(super) fn submit(
        &mut self,
        cx: Cx<'_>,
        user: &str,
        context: &ApplicationSubmissionContext,
        waiter: Waiter,
    ) -> Result<(), Fault> {
        let bad = |why: String| Fault::new(Class::BadArgument, why);
        let id = self.own(context.application_id).map_err(|f| Fault {
            class: Class::Yarn,
            ..f
        })?;
        let print = print(user, context);
        if let Some(app) = self.apps.get_mut(&id) {
            if app.rec.print != print {
                let why = "was submitted before by somebody else, or with another content";
                return Err(Fault::new(
                    Class::Yarn,
                    format!("{} {why}", self.app_id(id)),
                ));
            }
            if app.saved.is_some() {
                self.tell(cx, id, waiter);
            } else {
                app.waiters.push(waiter);
            }
            return Ok(());
        }
        // Guards against a second placement: it may have been submitted, run and been forgotten.
        if id <= self.cluster.forgotten || id > self.granted || id >= self.next_id {
            return Err(Fault::new(
                Class::Yarn,
                format!("{}: ask for a new id", self.app_id(id)),
            ));
        }
        let queue = self.open_queue(cx, user, context.queue.as_deref().unwrap_or("default"))?;
        self.within_bounds(cx, user)?;
        let size = Size::read(master_resource(context))?;
        let most = self.largest(cx)?;
        if !size.fits(most) {
            return Err(Fault::new(
                Class::InvalidRequest,
                format!("{size:?} is more than the largest machine has: {most:?}"),
            ));
        }
        let priority = context.priority.unwrap_or_default().priority;
        if context
            .reservation_id
            .as_ref()
            .is_some_and(|r| !r.is_empty())
        {
            return Err(Fault::new(
                Class::Unsupported,
                "reservations are not served",
            ));
        }
        let tags = &context.application_tags;
        if tags.len() > records::TAGS || tags.iter().any(|t| t.len() > records::TAG) {
            return Err(bad(format!(
                "tags: at most {} of {} bytes",
                records::TAGS,
                records::TAG
            )));
        }
        let unmanaged = context.unmanaged_am.unwrap_or(false);
        let launch = context.am_container_spec.clone().unwrap_or_default();
        if launch.encoded_len() > cx.config.most.launch {
            return Err(bad(format!(
                "am container spec: at most {} bytes",
                cx.config.most.launch
            )));
        }
        if !unmanaged && launch.command.iter().all(String::is_empty) {
            return Err(bad("am container spec: has no command".into()));
        }
        let parts = if unmanaged {
            Vec::new()
        } else {
            in_parts(&launch, cx.node.write_limits().value_kb())
        };
        let life = context
            .application_timeouts
            .iter()
            .find(|t| t.kind.unwrap_or(LIFETIME) == LIFETIME);
        let wall = cx.now.wall;
        let attempts = context
            .max_app_attempts
            .filter(|n| *n > 0)
            .map_or(cx.config.work.attempts, |n| n as u32);
        let text =
            |t: &Option<String>, default: &str, most| cut(t.as_deref().unwrap_or(default), most);
        let label = context
            .node_label_expression
            .clone()
            .filter(|l| !l.is_empty());
        let rec = AppRecord {
            id,
            user: user.to_owned(),
            name: text(&context.application_name, "N/A", records::SHORT),
            queue: queue.0,
            team: queue.1,
            kind: text(&context.application_type, "YARN", records::TAG),
            tags: tags.clone(),
            priority: priority.clamp(-cx.config.most.priority, cx.config.most.priority),
            memory_mb: size.memory_mb,
            cores: size.cores,
            gpus: size.gpus,
            label: label.map(|l| cut(&l, records::TAG)),
            unmanaged,
            keep: context.keep_containers.unwrap_or(false),
            max_attempts: attempts.min(cx.config.work.attempts.max(1) * 10),
            print,
            parts: parts.len() as u32,
            submitted_ms: wall,
            launched_ms: None,
            finished_ms: None,
            until_ms: life
                .and_then(|t| t.timeout)
                .filter(|s| *s > 0)
                .map(|s| wall.saturating_add(s as u64 * 1000)),
            stage: Stage::Accepted,
            ending: None,
            outcome: FinalStatus::Undefined as i32,
            diagnostics: String::new(),
            tracking: String::new(),
            // There is nobody else to begin the attempt of an unmanaged master.
            attempt: u32::from(unmanaged),
            tried: 0,
            failures: 0,
            groups: 0,
            closed: false,
        };
        super::fitting::check_app(&rec, cx.node.write_limits())?;
        let mut app = App::new(rec, parts);
        app.waiters.push(waiter);
        self.apps.insert(id, app);
        self.live += 1;
        *self.by_user.entry(user.to_owned()).or_default() += 1;
        self.store.touch(super::Key::App(id));
        Ok(())
    }

    /// The path and team of a queue that takes this user's application now.
    fn open_queue(&self, cx: Cx<'_>, user: &str, name: &str) -> Result<(String, String), Fault> {
        let queue = self.queue(name)?;
        let Some(team) = &queue.team else {
            let why = format!(
                "{} is not a leaf queue: applications go to one below it",
                queue.path
            );
            return Err(Fault::new(Class::Yarn, why));
        };
        if !self.queues.may_submit(cx.config, queue, user) {
            let why = format!(
                "User {user} cannot submit applications to queue {}",
                queue.path
            );
            return Err(Fault::new(Class::AccessDenied, why));
        }
        self.not_drained(queue)?;
        Ok((queue.path.clone(), team.clone()))
    }

    pub(super) fn queue(&self, name: &str) -> Result<&Queue, Fault> {
        let unknown = || {
            Fault::new(
                Class::Yarn,
                format!("Application submitted to unknown queue: {name}"),
            )
        };
        self.queues.find(name).ok_or_else(unknown)
    }

    fn within_bounds(&self, cx: Cx<'_>, user: &str) -> Result<(), Fault> {
        let most = &cx.config.most;
        let of_user = self.by_user.get(user).copied().unwrap_or(0);
        let busy = |why: String| Err(Fault::new(Class::Retriable, why));
        if self.live >= most.applications {
            return busy(format!(
                "{} applications are not over; no more are taken now",
                self.live
            ));
        }
        if of_user >= most.per_user {
            return busy(format!(
                "{of_user} applications of {user} are not over; no more are taken now"
            ));
        }
        Ok(())
    }

    /// The largest amounts that any machine type has.
    pub(super) fn largest(&self, cx: Cx<'_>) -> Result<Size, Fault> {
        let unknown = || Fault::new(Class::Retriable, "the machine types are not known yet");
        let types = &cx.node.machine_types().ok_or_else(unknown)?.types;
        let most =
            |of: fn(&wire::api::MachineType) -> f64| types.iter().map(of).fold(0.0, f64::max);
        Ok(Size {
            memory_mb: (most(|t| t.mem_gb) * 1024.0) as i64,
            cores: most(|t| t.cores) as i32,
            gpus: most(|t| t.gpus) as i64,
        })
    }

    /// A new application could not be written down: it is not taken, and was not.
    pub(super) fn not_taken(&mut self, id: u32) {
        let Some(app) = self.apps.remove(&id) else {
            return;
        };
        self.count_out(&app.rec.user);
        self.counts.refused += 1;
        let fault = Fault::new(Class::Retriable, "too much is being written now");
        for waiter in app.waiters {
            self.answer(waiter.call, fault.clone().into());
        }
    }

    fn count_out(&mut self, user: &str) {
        self.live -= 1;
        if let Some(n) = self.by_user.get_mut(user) {
            *n -= 1;
            if *n == 0 {
                self.by_user.remove(user);
            }
        }
    }

    // ---- records ----

    pub(super) fn touch(&mut self, id: u32) {
        self.store.touch(super::Key::App(id));
    }

    /// A record of it stands: those who wait are told, and what it allows is done.
    pub(super) fn app_saved(&mut self, cx: Cx<'_>, id: u32) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        let waiters = std::mem::take(&mut app.waiters);
        let (closed, first) = (app.rec.closed, app.native == Native::Unsent && !app.asking);
        if first && waiters.iter().any(|w| w.told == Told::Submitted) {
            self.counts.submitted += 1;
        }
        for waiter in waiters {
            self.tell(cx, id, waiter);
        }
        if closed {
            if let Some(app) = self.apps.get_mut(&id) {
                app.groups = Groups::default();
            }
            return self.remember_less(cx);
        }
        self.schedule(id, cx.now.mono);
        self.groups_wanted(cx, id);
    }

    /// No more than so many that are over are remembered; what went is known by the height of its id.
    fn remember_less(&mut self, cx: Cx<'_>) {
        let mut over = self.over.len();
        let mut at = 0;
        while over > cx.config.most.remembered && at < self.over.len() {
            let id = self.over[at];
            if self.apps.get(&id).is_some_and(|a| a.rec.closed) {
                self.cluster.forgotten = self.cluster.forgotten.max(id);
                self.over.remove(at);
                self.store.touch(super::Key::Cluster);
                self.store.touch(super::Key::Forget(id));
                over -= 1;
            } else {
                at += 1;
            }
        }
    }

    pub(super) fn forgotten(&mut self, id: u32) {
        self.apps.remove(&id);
    }

    // ---- the scheduler's side ----

    /// Does what is due for an application.
    pub(super) fn drive(&mut self, cx: Cx<'_>, id: u32) {
        self.time_out(cx, id);
        let now = cx.now.mono;
        let Some(app) = self.apps.get(&id) else {
            return;
        };
        let Some(saved) = &app.saved else { return };
        if saved.stage.is_final() {
            return self.close(cx, id);
        }
        let (unmanaged, ending) = (app.rec.unmanaged, saved.ending);
        let waiting = app.groups.unsent();
        if unmanaged {
            if let Some(ending) = ending {
                return self.finish_as(cx, id, ending);
            }
            self.schedule(id, now + POLL_MS * 5);
        }
        for group in waiting {
            self.ask(
                cx,
                Asked {
                    app: id,
                    group,
                    what: Want::Submit,
                },
            );
        }
        let Some(app) = self.apps.get(&id).filter(|a| !a.asking && !a.rec.unmanaged) else {
            return;
        };
        let what = match (app.native, ending) {
            (Native::Unsent, _) => Want::Submit,
            (Native::Known, Some(_)) => Want::Cancel,
            (Native::Known, None) => Want::State,
        };
        self.ask(
            cx,
            Asked {
                app: id,
                group: 0,
                what,
            },
        );
    }

    /// Ends what has lived too long, or says nothing any more.
    fn time_out(&mut self, cx: Cx<'_>, id: u32) {
        let Some(app) = self.apps.get(&id) else {
            return;
        };
        if app.rec.stage.is_final() || app.rec.ending.is_some() {
            return;
        }
        let silent = app.rec.unmanaged
            && app
                .session
                .as_ref()
                .is_some_and(|s| cx.now.mono > s.heard_at + cx.config.work.master_silent_s * 1000);
        if app.rec.until_ms.is_some_and(|until| cx.now.wall >= until) {
            self.end(
                id,
                Ending::Killed,
                "Application killed: its lifetime is over",
            );
        } else if silent {
            self.end(
                id,
                Ending::Failed,
                "The application master was not heard any more",
            );
        } else if self.drained_away(cx, &app.rec.queue) {
            self.end(
                id,
                Ending::Killed,
                "Application killed: its queue was drained and the deadline has passed",
            );
        }
    }

    /// Wants an application to end. It is told, and done, once that is recorded.
    pub(super) fn end(&mut self, id: u32, ending: Ending, why: &str) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        if app.rec.stage.is_final() || app.rec.ending.is_some() {
            return;
        }
        log::info!("yarn: application {id} is to end: {why}");
        app.rec.ending = Some(ending);
        app.rec.diagnostics = cut(why, records::LONG);
        self.touch(id);
    }

    /// Asks the scheduler for something of an application.
    pub(super) fn ask(&mut self, cx: Cx<'_>, asked: Asked) {
        let Some(app) = self.apps.get_mut(&asked.app) else {
            return;
        };
        let id = job_id(asked.app, asked.group);
        let (method, path, body) = match asked.what {
            Want::Submit if asked.group == 0 => {
                ("POST", "/work".to_owned(), wire::encode(&app.job(cx)))
            }
            Want::Submit => match app.groups.job(cx, &app.rec, asked.group) {
                Some(job) => ("POST", "/work".to_owned(), wire::encode(&job)),
                None => return,
            },
            Want::State => ("GET", format!("/work/{id}"), Vec::new()),
            Want::Cancel => ("POST", format!("/work/{id}/cancel"), Vec::new()),
        };
        app.asking |= asked.group == 0;
        let number = self.number();
        self.asked.insert(number, asked);
        self.acts.push(Act::Native {
            ask: FIRST_CONNECTION | number,
            method,
            path,
            body,
        });
    }

    /// The scheduler's answer.
    pub fn native_answered(&mut self, cx: Cx<'_>, ask: u64, response: &Response) {
        let Some(asked) = self.asked.remove(&(ask & !FIRST_CONNECTION)) else {
            return;
        };
        if asked.group == 0 {
            self.master_answered(cx, asked, response);
        } else {
            self.group_answered(cx, asked, response);
        }
        self.flush(cx);
    }

    fn master_answered(&mut self, cx: Cx<'_>, asked: Asked, response: &Response) {
        let Some(app) = self.apps.get_mut(&asked.app) else {
            return;
        };
        app.asking = false;
        if app.rec.stage.is_final() {
            return self.group_answered(cx, asked, response);
        }
        let state = wire::decode::<JobState>(&response.body).ok();
        let again = cx.now.mono + u64::from(response.retry_after_s.unwrap_or(1)) * AGAIN_MS;
        match (response.status, asked.what) {
            (200 | 201, _) => {
                app.native = Native::Known;
                if let Some(state) = state {
                    self.native_stage(cx, asked.app, state.stage);
                }
                self.schedule_poll(cx, asked.app);
            }
            (400 | 422, Want::Submit) => {
                let why = "The scheduler can never run the application master: no machine type, or a limit, lets it";
                log::info!(
                    "yarn: application {}: refused with {}",
                    asked.app,
                    response.status
                );
                self.end_now(cx, asked.app, Stage::Failed, why);
            }
            // Not known there (any more): it is submitted again, which is harmless, before anything else.
            (404, _) => {
                app.native = Native::Unsent;
                self.schedule(asked.app, again);
            }
            _ => self.schedule(asked.app, again),
        }
    }

    fn schedule_poll(&mut self, cx: Cx<'_>, id: u32) {
        let now = cx.now.mono;
        let Some(app) = self.apps.get(&id) else {
            return;
        };
        let urgent = app.saved.as_ref().is_some_and(|s| s.ending.is_some());
        let every = POLL_MS.max(self.live as u64 * 1000 / POLLS_A_SECOND);
        self.schedule(id, if urgent { now } else { now + every });
    }

    fn native_stage(&mut self, cx: Cx<'_>, id: u32, stage: JobStage) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        match stage {
            JobStage::Pending => {}
            JobStage::Running => {
                if app.rec.stage == Stage::Accepted {
                    app.rec.stage = Stage::Running;
                    app.rec.launched_ms = Some(cx.now.wall);
                    app.rec.attempt = app.rec.attempt.max(1);
                    self.touch(id);
                }
            }
            JobStage::Done => {
                app.master_over = true;
                self.finish(cx, id, Stage::Finished)
            }
            JobStage::Cancelled => match app.saved.as_ref().and_then(|s| s.ending) {
                Some(ending) => self.finish_as(cx, id, ending),
                None => self.end_now(
                    cx,
                    id,
                    Stage::Killed,
                    "Application killed: its job was cancelled",
                ),
            },
        }
    }

    fn finish_as(&mut self, cx: Cx<'_>, id: u32, ending: Ending) {
        match ending {
            Ending::Killed => self.finish(cx, id, Stage::Killed),
            Ending::Failed => self.finish(cx, id, Stage::Failed),
        }
    }

    fn end_now(&mut self, cx: Cx<'_>, id: u32, stage: Stage, why: &str) {
        if let Some(app) = self.apps.get_mut(&id) {
            app.rec.diagnostics = cut(why, records::LONG);
        }
        self.finish(cx, id, stage);
    }

    /// It is over. Told once it is recorded.
    pub(super) fn finish(&mut self, cx: Cx<'_>, id: u32, stage: Stage) {
        let Some(app) = self.apps.get_mut(&id).filter(|a| !a.rec.stage.is_final()) else {
            return;
        };
        // A master that has said goodbye may still be there.
        let stays = stage == Stage::Finished && !app.rec.unmanaged && !app.master_over;
        if stays {
            app.rest_until = cx.now.mono + LEAVE_MS;
        }
        app.rec.stage = stage;
        app.rec.finished_ms = Some(cx.now.wall);
        app.rec.closed = app.rec.groups == 0 && !stays;
        let undefined = app.rec.outcome == FinalStatus::Undefined as i32;
        let outcome = match stage {
            Stage::Failed => FinalStatus::Failed,
            Stage::Killed => FinalStatus::Killed,
            _ => FinalStatus::Succeeded,
        };
        if undefined || stage != Stage::Finished {
            app.rec.outcome = outcome as i32;
        }
        app.session = None;
        let user = app.rec.user.clone();
        self.over.push_back(id);
        self.count_out(&user);
        match stage {
            Stage::Failed => self.counts.failed += 1,
            Stage::Killed => self.counts.killed += 1,
            _ => self.counts.finished += 1,
        }
        self.touch(id);
    }

    /// Cancels what is left of an application that is over: its containers, and a master that has said goodbye and
    /// stays on.
    fn close(&mut self, cx: Cx<'_>, id: u32) {
        let now = cx.now.mono;
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        if app.rec.closed {
            return;
        }
        if now < app.rest_until {
            let until = app.rest_until;
            return self.schedule(id, until);
        }
        let first = u32::from(app.rec.unmanaged);
        let left = app.groups.next_to_close(first, app.rec.groups, CANCELS);
        if left.is_empty() {
            if app.groups.is_closed(first, app.rec.groups) {
                app.rec.closed = true;
                self.touch(id);
            }
            return;
        }
        for group in left {
            self.ask(
                cx,
                Asked {
                    app: id,
                    group,
                    what: Want::Cancel,
                },
            );
        }
        self.schedule(id, now + AGAIN_MS);
    }

    // ---- going out ----

    /// Who may change an application: its user, and those who administer its queue.
    pub(super) fn may_change(&self, cx: Cx<'_>, user: &str, rec: &AppRecord) -> Result<(), Fault> {
        let administers = |q: &Queue| self.queues.may_administer(cx.config, q, user);
        if rec.user == user
            || cx.config.admins.contains(user)
            || self.queues.find(&rec.queue).is_some_and(administers)
        {
            return Ok(());
        }
        let why = format!(
            "User {user} cannot modify application {}",
            self.app_id(rec.id)
        );
        Err(Fault::new(Class::AccessDenied, why))
    }

    /// Wants an application killed. Told once that is recorded, or that it was over already.
    pub(super) fn kill(
        &mut self,
        cx: Cx<'_>,
        user: &str,
        id: Option<ApplicationId>,
        why: Option<&str>,
        waiter: Waiter,
    ) -> Result<(), Fault> {
        let app = self.known(id)?;
        self.may_change(cx, user, &app.rec)?;
        let id = app.rec.id;
        if !app.rec.stage.is_final() && app.rec.ending.is_none() {
            let said = why.map(|w| format!(": {w}")).unwrap_or_default();
            self.end(
                id,
                Ending::Killed,
                &format!("Application killed by user {user}{said}"),
            );
        }
        self.when_saved(cx, id, waiter);
        Ok(())
    }

    /// Tells once what is known now is recorded.
    pub(super) fn when_saved(&mut self, cx: Cx<'_>, id: u32, waiter: Waiter) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        if app.saved.as_ref() == Some(&app.rec) {
            self.tell(cx, id, waiter);
        } else {
            app.waiters.push(waiter);
        }
    }

    pub(super) fn waiter(call: u64, form: Surface, told: Told) -> Waiter {
        Waiter { call, form, told }
    }
}

/// What the master is to have: the newer field first, as published servers do.
fn master_resource(context: &ApplicationSubmissionContext) -> Option<&Resource> {
    let asked = context
        .am_container_resource_request
        .first()
        .and_then(|r| r.capability.as_ref());
    asked.or(context.resource.as_ref())
}
