//! Runners: the process that an image of the gateway's starts as a task. It checks in, is told what to run, and says
//! how that ended; then it ends itself, and the scheduler has its task done.

use super::apps::{Size, job_id, parse_job};
use super::containers::{AskKey, Container, Shape, Slot, Stage as Place, number_of};
use super::{Asked, Book, Native, Want};
use crate::records::{self, Stage};
use crate::{Act, Cx, token};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use control::frontend::{Answer, Request};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use yarn::error::{Class, Fault};
use yarn::master::exit;
use yarn::proto::ContainerId;

/// A runner with nothing to run asks again after this time, one that runs something after the longer, in seconds.
const SOON_S: f64 = 1.0;
const LATER_S: f64 = 5.0;
/// A place that nobody asks for is given back after this time, in milliseconds.
const IDLE_MS: u64 = 20_000;

const LOST: &str = "Container released on a *lost* node";

/// What a runner says. Amounts are those of its job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CheckIn {
    pub job: String,
    pub task: u32,
    /// The scheduler's number of this start.
    #[serde(rename = "try")]
    pub tried: u64,
    pub machine: String,
    pub zone: String,
    #[serde(default)]
    pub memory_mb: i64,
    #[serde(default)]
    pub cores: i32,
    #[serde(default)]
    pub gpus: i64,
    #[serde(default)]
    pub label: Option<String>,
    /// The job is bound to its zone.
    #[serde(default)]
    pub bound: bool,
    /// The container that it runs, and of which attempt.
    #[serde(default)]
    pub container: Option<i64>,
    #[serde(default)]
    pub attempt: Option<u32>,
    /// What it was told to run has been started.
    #[serde(default)]
    pub running: bool,
    /// How that has ended.
    #[serde(default)]
    pub exit: Option<i32>,
}

/// What a runner is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Do {
    /// Nothing for now.
    Wait,
    /// Start what is described, or go on with it.
    Run,
    /// End what runs, and itself, as done.
    Leave,
    /// End itself as failed: the scheduler starts the task again.
    Fail,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    #[serde(rename = "do")]
    pub what: Do,
    pub again_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub container: Option<i64>,
    /// The attempt that it is of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// An encoded launch context, in base64; only until it runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub launch: Option<String>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub environment: BTreeMap<String, String>,
}

impl Told {
    fn new(what: Do) -> Told {
        let again_s = if what == Do::Wait { SOON_S } else { LATER_S };
        Told {
            what,
            again_s,
            container: None,
            attempt: None,
            launch: None,
            environment: BTreeMap::new(),
        }
    }
}

/// A description that is being read, part by part.
pub(super) struct Read {
    app: u32,
    print: String,
    after: Option<String>,
    text: String,
}

impl Book {
    pub(super) fn check_in(&mut self, cx: Cx<'_>, c: &CheckIn) -> Result<Told, Fault> {
        let bad = || {
            Fault::new(
                Class::BadArgument,
                format!("job: {:?} is none of an application", c.job),
            )
        };
        let (id, group) = parse_job(&c.job).ok_or_else(bad)?;
        let Some(app) = self.apps.get(&id) else {
            // It can be nobody's who is known: what was forgotten is over.
            return Ok(Told::new(Do::Leave));
        };
        let ends = app
            .saved
            .as_ref()
            .is_none_or(|s| s.stage.is_final() || s.ending.is_some());
        if ends && (group > 0 || app.rec.stage != Stage::Finished) {
            if app.rec.closed {
                // It came late, after all of its application was cancelled.
                self.cancel_group(cx, id, group);
            }
            return Ok(Told::new(Do::Leave));
        }
        if group == 0 {
            Ok(self.master_in(cx, id, c))
        } else {
            Ok(self.place_in(cx, id, (group, c.task), c))
        }
    }

    // ---- masters ----

    fn master_in(&mut self, cx: Cx<'_>, id: u32, c: &CheckIn) -> Told {
        let Some(app) = self.apps.get_mut(&id) else {
            return Told::new(Do::Leave);
        };
        if c.tried < app.rec.tried {
            // Its successor has begun: whatever it still runs is fenced.
            return Told::new(Do::Leave);
        }
        if let Some(status) = c.exit {
            let failed = status != 0 && !app.rec.stage.is_final();
            if failed {
                self.master_failed(id, status);
            }
            return Told::new(if failed { Do::Fail } else { Do::Leave });
        }
        if c.tried > app.rec.tried {
            let first = app.rec.tried == 0;
            app.rec.attempt = if first {
                app.rec.attempt.max(1)
            } else {
                app.rec.attempt + 1
            };
            app.rec.tried = c.tried;
            app.launch = None;
            self.fence(cx, id);
            self.touch(id);
            return Told::new(Do::Wait);
        }
        // Nobody acts for an attempt before its record stands.
        if app.saved.as_ref().is_none_or(|s| s.tried != c.tried) {
            return Told::new(Do::Wait);
        }
        if c.running {
            app.launch = None;
            return Told::new(Do::Run);
        }
        let Some(launch) = &app.launch else {
            self.read_launch(id);
            return Told::new(Do::Wait);
        };
        let mut told = Told {
            launch: Some(BASE64.encode(launch)),
            ..Told::new(Do::Run)
        };
        told.environment = self.master_environment(cx, id);
        told
    }

    /// What a master needs to find the service and to prove who it is.
    fn master_environment(&self, cx: Cx<'_>, id: u32) -> BTreeMap<String, String> {
        let Some(app) = self.apps.get(&id) else {
            return BTreeMap::new();
        };
        let attempt = self.attempt_id(&app.rec, app.rec.attempt);
        let token = self.cluster.keys.token(token::KIND, attempt, &[]);
        let entry = |k: &str, v: String| (k.to_owned(), v);
        BTreeMap::from([
            entry(
                "CONTAINER_ID",
                ContainerId::new(attempt, self.term, 1).to_string(),
            ),
            entry("APPLICATION_ATTEMPT_ID", attempt.to_string()),
            entry(
                "YARN_RM_ADDRESS",
                cx.config
                    .public
                    .clone()
                    .unwrap_or_else(|| cx.config.rpc.to_string()),
            ),
            entry("YARN_TOKEN_IDENTIFIER", BASE64.encode(token.identifier)),
            entry("YARN_TOKEN_PASSWORD", BASE64.encode(token.password)),
        ])
    }

    fn read_launch(&mut self, id: u32) {
        let Some(app) = self.apps.get_mut(&id).filter(|a| !a.reading) else {
            return;
        };
        app.reading = true;
        let read = Read {
            app: id,
            print: app.rec.print.clone(),
            after: None,
            text: String::new(),
        };
        self.read_on(read);
    }

    fn read_on(&mut self, read: Read) {
        let key = records::part_key(read.app, &read.print, 0);
        let under = key.trim_end_matches("0000").to_owned();
        let tag = self.number();
        self.acts.push(Act::Frontend {
            tag,
            request: Request::Page {
                under,
                after: read.after.clone(),
            },
        });
        self.reads.insert(tag, read);
    }

    pub(super) fn part_read(&mut self, mut read: Read, answer: Answer) {
        let Some(app) = self.apps.get_mut(&read.app) else {
            return;
        };
        let Answer::Page { items, more } = answer else {
            app.reading = false;
            return;
        };
        for item in items {
            read.text.push_str(item.value.as_str().unwrap_or_default());
            read.after = Some(item.key);
        }
        if more {
            return self.read_on(read);
        }
        app.reading = false;
        match BASE64.decode(&read.text) {
            Ok(launch) => app.launch = Some(launch),
            Err(e) => log::error!(
                "yarn: the description of application {} is damaged: {e}",
                read.app
            ),
        }
    }

    // ---- places ----

    fn place_in(&mut self, cx: Cx<'_>, id: u32, at: (u32, u32), c: &CheckIn) -> Told {
        let now = cx.now.mono;
        let Some(app) = self.apps.get_mut(&id) else {
            return Told::new(Do::Leave);
        };
        let known = app.groups.slots.get(&at).map(|s| s.tried);
        if app.groups.is_gone(at) || known.is_some_and(|tried| c.tried < tried) {
            return Told::new(Do::Leave);
        }
        if known.is_none() && app.groups.is_old(at.0) && app.session.is_none() {
            // Whoever has to be told what became of its container is not there yet.
            return Told::new(if c.running && c.exit.is_none() {
                Do::Run
            } else {
                Do::Wait
            });
        }
        if known.is_none() {
            app.groups.seen(at.0);
        }
        if known.is_none_or(|tried| c.tried > tried) {
            self.place_begun(cx, id, at, c);
        }
        let Some(app) = self.apps.get_mut(&id) else {
            return Told::new(Do::Leave);
        };
        let Some(slot) = app.groups.slots.get(&at) else {
            return Told::new(Do::Leave);
        };
        if let Some(container) = slot.container {
            return self.holder_in(cx, id, at, container, c);
        }
        let since = slot.since;
        match self.give(cx, id, at) {
            Some(_) => Told::new(Do::Wait),
            None => {
                let drained = self.machine_drain(cx, &c.machine).is_some();
                self.idle_in(
                    id,
                    at,
                    if drained {
                        u64::MAX
                    } else {
                        now.saturating_sub(since)
                    },
                )
            }
        }
    }

    /// A task has begun, for the first time or again elsewhere. What it ran before is lost.
    fn place_begun(&mut self, cx: Cx<'_>, id: u32, at: (u32, u32), c: &CheckIn) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        let said = Shape {
            size: Size {
                memory_mb: c.memory_mb,
                cores: c.cores,
                gpus: c.gpus,
            },
            label: c.label.clone(),
            zone: c.bound.then(|| c.zone.clone()),
        };
        let shape = app.groups.shape(at.0).cloned().unwrap_or(said);
        let old = app.groups.is_old(at.0);
        let mut slot = Slot::new(c.tried, &c.machine, &c.zone, shape.clone(), cx.now.mono);
        let before = app.groups.slots.remove(&at);
        slot.spent = before.as_ref().map_or(old, |b| b.spent);
        // It stays until the master knows what became of that, like the runner of a container that has ended: should this
        // node go before, the next learns of the loss from this very place.
        slot.container = before.as_ref().and_then(|b| b.container);
        app.groups.slots.insert(at, slot);
        let number = number_of(at);
        if let Some(container) = before.and_then(|b| b.container) {
            self.complete(cx, id, container, exit::ABORTED, LOST);
        } else if old && c.container == Some(number) && (c.running || c.exit.is_some()) {
            self.adopt(cx, id, at, shape, c);
        } else if old {
            // An earlier leader may have given it: if so, it was lost with its task.
            self.adopt(cx, id, at, shape, c);
            self.complete(cx, id, number, exit::ABORTED, LOST);
        }
    }

    /// A container that an earlier leader gave is known again by what its runner says.
    fn adopt(&mut self, cx: Cx<'_>, id: u32, at: (u32, u32), shape: Shape, c: &CheckIn) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        let (number, current) = (number_of(at), app.rec.attempt.max(1));
        let of = c.attempt.unwrap_or(current);
        let attempt = token::attempt_id(self.cluster.stamp, id, of);
        let key = AskKey {
            priority: 0,
            number: -1,
            shape,
        };
        let whole = ContainerId {
            app_id: None,
            app_attempt_id: Some(attempt),
            id: number,
        };
        let mut container = Container::new(whole, &c.machine, &c.zone, key, cx.now.wall);
        container.begin();
        // Its attempt may be over since.
        container.stopping = (of != current && !app.rec.keep).then_some(exit::ABORTED);
        app.groups.containers.insert(number, container);
        if let Some(slot) = app.groups.slots.get_mut(&at) {
            slot.container = Some(number);
        }
    }

    /// A runner that has been given a container.
    fn holder_in(
        &mut self,
        cx: Cx<'_>,
        id: u32,
        at: (u32, u32),
        container: i64,
        c: &CheckIn,
    ) -> Told {
        let drained = self.machine_drain(cx, &c.machine) == Some(true);
        let Some(app) = self.apps.get_mut(&id) else {
            return Told::new(Do::Leave);
        };
        let owed = app.session.as_ref().is_some_and(|s| s.owes(container));
        let Some(held) = app.groups.containers.get_mut(&container) else {
            return self.leave(id, at);
        };
        if held.is_over() {
            // The runner stays until the master knows: should this node go, another learns it from the runner.
            return if owed {
                Told::new(Do::Wait)
            } else {
                self.leave(id, at)
            };
        }
        if drained {
            held.stopping.get_or_insert(exit::ABORTED);
        }
        let ended = c.exit.filter(|_| c.container == Some(container));
        if let Some(status) = ended.or(held.stopping) {
            let why = if held.stopping.is_some() {
                "Container killed on request"
            } else {
                ""
            };
            let status = held.stopping.unwrap_or(status);
            self.complete(cx, id, container, status, why);
            return Told::new(Do::Wait);
        }
        let attempt = held.id.app_attempt_id.map(|a| a.attempt_id as u32);
        let mut told = Told {
            container: Some(container),
            attempt,
            ..Told::new(Do::Run)
        };
        if let Place::Described(launch) = &held.stage {
            if !(c.running && c.container == Some(container)) {
                told.launch = Some(BASE64.encode(launch));
                told.again_s = SOON_S;
                return told;
            }
            held.begin();
            for call in std::mem::take(&mut held.starting) {
                self.start_over(id, call, container);
            }
        } else if held.stage == Place::Given {
            told.what = Do::Wait;
            told.again_s = SOON_S;
        }
        told
    }

    fn leave(&mut self, id: u32, at: (u32, u32)) -> Told {
        if let Some(app) = self.apps.get_mut(&id) {
            app.groups.leave(at);
        }
        Told::new(Do::Leave)
    }

    /// A place that has no container: it is kept for a while, since masters ask again for what they have lost.
    fn idle_in(&mut self, id: u32, at: (u32, u32), idle_ms: u64) -> Told {
        let Some(app) = self.apps.get_mut(&id) else {
            return Told::new(Do::Leave);
        };
        let refused = app.groups.slots.get(&at).is_some_and(|s| {
            s.spent
                || app
                    .session
                    .as_ref()
                    .is_some_and(|session| session.blacklist.contains(&s.machine))
        });
        if refused || idle_ms > IDLE_MS {
            self.leave(id, at)
        } else {
            Told::new(Do::Wait)
        }
    }

    /// Cancels the job of some containers, whatever is known of it.
    pub(super) fn cancel_group(&mut self, cx: Cx<'_>, id: u32, group: u32) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        app.groups.begin_drop(group);
        if group == 0 {
            app.native = Native::Known;
        }
        log::info!("yarn: {} is not wanted any more", job_id(id, group));
        self.ask(
            cx,
            Asked {
                app: id,
                group,
                what: Want::Cancel,
            },
        );
    }
}
