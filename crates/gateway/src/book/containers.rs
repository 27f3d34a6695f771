//! Containers of an application: tasks of native array jobs.
//!
//! What a master asks for becomes *groups*, array jobs of tasks of one shape. A task that runs is a *place*: the runner
//! on it checks in, is given a container that the master has asked for, starts what the master describes, and says how
//! it ended, until the master has said that it knows.
//!
//! A container's number is that of its place, and each place is given one container only. Numbers of groups are set
//! aside in the application's record before they are used, so no leader ever gives a number again; and any leader knows,
//! without a record of it, which container a place of an earlier leader may have had. A task that is started again has
//! lost its container (the scheduler starts it again only after the old one is proved gone), so none ever runs twice.

use super::apps::{Size, job_id, task};
use super::{App, Asked, Book, Want};
use crate::Cx;
use crate::records::AppRecord;
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::api::JobSpec;
use wire::http::Response;
use yarn::master::{ContainerStatus, exit};
use yarn::proto::{ContainerId, ContainerState};

/// Group numbers that are set aside with one write.
const GROUPS_AT_ONCE: u32 = 16;
/// Bits of a container's number that say which task of its group it is.
const TASK_BITS: u32 = 17;
const _: () = assert!(wire::api::MAX_TASKS <= 1 << TASK_BITS);
/// Largest group number: a container's number has 40 bits, and a job id seven digits for it.
pub(super) const MOST_GROUPS: u32 = (1 << (40 - TASK_BITS)) - 1;
/// Places of one application that are on their way at once: so many are given up when the leader changes.
const ON_THEIR_WAY: u32 = 256;
/// Groups that are not yet with the scheduler, and are sent to it, at once.
const SENT_AT_ONCE: usize = 4;

/// What one place must be like.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Shape {
    pub size: Size,
    /// Machine type, and zone.
    pub label: Option<String>,
    pub zone: Option<String>,
}

/// Tells one request of a master from another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AskKey {
    pub priority: i32,
    pub number: i64,
    pub shape: Shape,
}

#[derive(Debug)]
struct Group {
    shape: Shape,
    tasks: u32,
    /// Tasks that have checked in.
    seen: u32,
    accepted: bool,
    asking: bool,
    /// To be cancelled: it is not wanted any more.
    dropped: bool,
}

/// A task of ours that runs, or has run.
#[derive(Debug)]
pub(super) struct Slot {
    pub tried: u64,
    pub machine: String,
    pub zone: String,
    pub shape: Shape,
    pub container: Option<i64>,
    /// Its number was given: never again.
    pub spent: bool,
    pub since: u64,
}

/// Where a container is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// Promised to the master; nothing is known of what it is to run.
    Given,
    /// The master has said what it is to run, but its runner does not know yet.
    Described(Vec<u8>),
    Running,
    Complete,
}

#[derive(Debug)]
pub(super) struct Container {
    pub id: ContainerId,
    pub machine: String,
    pub zone: String,
    pub key: AskKey,
    pub stage: Stage,
    /// Its runner has started it, whatever became of it since.
    pub started: bool,
    pub exit: i32,
    pub diagnostics: String,
    pub created_ms: u64,
    pub finished_ms: u64,
    /// To be ended, with the status that the master is told.
    pub stopping: Option<i32>,
    /// Calls that wait until the runner has it.
    pub starting: Vec<u64>,
}

impl Slot {
    /// A place as it is first seen.
    pub fn new(tried: u64, machine: &str, zone: &str, shape: Shape, now: u64) -> Slot {
        let (machine, zone) = (machine.to_owned(), zone.to_owned());
        Slot {
            tried,
            machine,
            zone,
            shape,
            container: None,
            spent: false,
            since: now,
        }
    }
}

impl Container {
    pub fn new(id: ContainerId, machine: &str, zone: &str, key: AskKey, wall: u64) -> Container {
        Container {
            id,
            machine: machine.to_owned(),
            zone: zone.to_owned(),
            key,
            stage: Stage::Given,
            started: false,
            exit: exit::UNKNOWN,
            diagnostics: String::new(),
            created_ms: wall,
            finished_ms: 0,
            stopping: None,
            starting: Vec::new(),
        }
    }

    /// Its runner has it.
    pub fn begin(&mut self) {
        (self.stage, self.started) = (Stage::Running, true);
    }

    pub fn is_over(&self) -> bool {
        self.stage == Stage::Complete
    }

    pub fn status(&self) -> ContainerStatus {
        let state = match self.stage {
            Stage::Given | Stage::Described(_) => ContainerState::New,
            Stage::Running => ContainerState::Running,
            Stage::Complete => ContainerState::Complete,
        };
        ContainerStatus {
            container_id: Some(self.id),
            state: Some(state as i32),
            diagnostics: Some(self.diagnostics.clone()),
            exit_status: Some(if self.is_over() {
                self.exit
            } else {
                exit::UNKNOWN
            }),
            capability: Some(self.key.shape.size.proto()),
        }
    }
}

/// The number of the container that a place may have.
pub(super) fn number_of((group, task): (u32, u32)) -> i64 {
    i64::from(group) << TASK_BITS | i64::from(task)
}

#[derive(Default)]
pub(super) struct Groups {
    all: BTreeMap<u32, Group>,
    /// Numbers up to this one were set aside in earlier terms.
    base: u32,
    /// The highest number that this term has used.
    used: u32,
    pub slots: HashMap<(u32, u32), Slot>,
    /// Tasks by group whose runners were told to leave: they get nothing any more, whoever comes for them.
    gone: BTreeMap<u32, RoaringBitmap>,
    /// Groups of which all tasks are gone.
    through: RoaringBitmap,
    pub containers: BTreeMap<i64, Container>,
    closed: BTreeSet<u32>,
    closing: BTreeSet<u32>,
}

impl Groups {
    /// Of an application that was read back.
    pub fn loaded(set_aside: u32) -> Groups {
        Groups {
            base: set_aside,
            used: set_aside,
            ..Groups::default()
        }
    }

    /// An earlier leader has had this group.
    pub fn is_old(&self, group: u32) -> bool {
        group <= self.base
    }

    /// The job of a group.
    pub fn job(&self, cx: Cx<'_>, rec: &AppRecord, group: u32) -> Option<JobSpec> {
        let g = self.all.get(&group)?;
        let spec = task(cx, rec, g.shape.size, group, g.tasks);
        Some(JobSpec {
            types: g.shape.label.clone().map(|l| vec![l]),
            zone: g.shape.zone.clone(),
            ..spec
        })
    }

    /// Groups that the scheduler has not been told of, a few at a time.
    pub fn unsent(&self) -> Vec<u32> {
        let waits = |g: &Group| !g.accepted && !g.asking;
        self.all
            .iter()
            .filter(|(_, g)| waits(g))
            .map(|(n, _)| *n)
            .take(SENT_AT_ONCE)
            .collect()
    }

    /// Places of a shape that are still to come, or wait for a container.
    fn supply(&self, shape: &Shape) -> u32 {
        let coming = self
            .all
            .values()
            .filter(|g| g.shape == *shape && !g.dropped)
            .map(|g| g.tasks - g.seen);
        let idle = |s: &&Slot| !s.spent && s.shape == *shape;
        coming.sum::<u32>() + self.slots.values().filter(idle).count() as u32
    }

    /// Containers that are not over, and what they take, the master included.
    pub fn used(&self, app: &App) -> (usize, Size) {
        let mut sum = Size {
            memory_mb: 0,
            cores: 0,
            gpus: 0,
        };
        let mut n = 0;
        let rec = app.shown();
        let master =
            (!rec.unmanaged && rec.stage == crate::records::Stage::Running).then(|| app.size());
        let sizes = self
            .containers
            .values()
            .filter(|c| !c.is_over())
            .map(|c| c.key.shape.size);
        for size in sizes.chain(master) {
            n += 1;
            sum.memory_mb += size.memory_mb;
            sum.cores += size.cores;
            sum.gpus += size.gpus;
        }
        (n, sum)
    }

    /// Numbers whose jobs are still to be cancelled, a few at a time.
    pub fn next_to_close(&mut self, first: u32, last: u32, most: usize) -> Vec<u32> {
        let room = most.saturating_sub(self.closing.len());
        let open = (first..=last).filter(|n| !self.closed.contains(n) && !self.closing.contains(n));
        let left: Vec<u32> = open.take(room).collect();
        self.closing.extend(&left);
        left
    }

    pub fn is_closed(&self, first: u32, last: u32) -> bool {
        self.closing.is_empty() && (first..=last).all(|n| self.closed.contains(&n))
    }

    /// Notes that a task has checked in for the first time.
    pub fn seen(&mut self, group: u32) {
        if let Some(g) = self.all.get_mut(&group) {
            g.seen = (g.seen + 1).min(g.tasks);
        }
    }

    /// A runner is told to leave. All that is kept of its place is that nothing more is given there.
    pub fn leave(&mut self, at: (u32, u32)) {
        self.slots.remove(&at);
        let gone = self.gone.entry(at.0).or_default();
        gone.insert(at.1);
        let all = self
            .all
            .get(&at.0)
            .is_some_and(|g| gone.len() >= u64::from(g.tasks));
        if all {
            self.all.remove(&at.0);
            self.gone.remove(&at.0);
            self.through.insert(at.0);
        }
    }

    pub fn is_gone(&self, at: (u32, u32)) -> bool {
        self.through.contains(at.0) || self.gone.get(&at.0).is_some_and(|g| g.contains(at.1))
    }

    pub fn shape(&self, group: u32) -> Option<&Shape> {
        self.all.get(&group).map(|g| &g.shape)
    }

    /// Groups that are not wanted any more and still to be cancelled, a few at a time.
    fn next_to_drop(&self) -> Vec<u32> {
        let due = |(n, g): &(&u32, &Group)| g.dropped && g.accepted && !self.closing.contains(*n);
        self.all
            .iter()
            .filter(due)
            .map(|(n, _)| *n)
            .take(SENT_AT_ONCE)
            .collect()
    }

    pub(super) fn begin_drop(&mut self, group: u32) {
        self.closing.insert(group);
    }

    /// Tasks that may still become containers.
    fn outstanding(&self) -> u32 {
        self.all
            .values()
            .filter(|g| !g.dropped)
            .map(|g| g.tasks - g.seen)
            .sum()
    }
}

impl Book {
    /// Has as many places come as the master of an application asks for, and no more.
    pub(super) fn groups_wanted(&mut self, cx: Cx<'_>, id: u32) {
        let Some(app) = self.apps.get_mut(&id) else {
            return;
        };
        let Some(session) = app.session.as_ref().filter(|_| app.rec.ending.is_none()) else {
            return;
        };
        let mut wanted: BTreeMap<Shape, u32> =
            session.refused.iter().map(|s| (s.clone(), 0)).collect();
        for (key, count) in &session.asks {
            if !session.refused.contains(&key.shape) {
                *wanted.entry(key.shape.clone()).or_default() += count;
            }
        }
        let shapes: Vec<Shape> = app.groups.all.values().map(|g| g.shape.clone()).collect();
        shapes.into_iter().for_each(|s| {
            wanted.entry(s).or_default();
        });
        for (shape, count) in wanted {
            let supply = app.groups.supply(&shape);
            if count > supply {
                let room = ON_THEIR_WAY.saturating_sub(app.groups.outstanding());
                let tasks = (count - supply).min(room);
                if tasks > 0 && !new_group(app, shape, tasks) {
                    // Numbers are set aside first; we come back when that is recorded.
                    self.touch(id);
                    return;
                }
            } else {
                drop_unwanted(app, &shape, supply - count);
            }
        }
        let (unsent, dropped) = (app.groups.unsent(), app.groups.next_to_drop());
        for group in unsent {
            if let Some(g) = self
                .apps
                .get_mut(&id)
                .and_then(|a| a.groups.all.get_mut(&group))
            {
                g.asking = true;
            }
            self.ask(
                cx,
                Asked {
                    app: id,
                    group,
                    what: Want::Submit,
                },
            );
        }
        for group in dropped {
            self.cancel_group(cx, id, group);
        }
    }

    /// The scheduler's answer about the job of some containers.
    pub(super) fn group_answered(&mut self, cx: Cx<'_>, asked: Asked, response: &Response) {
        let Some(app) = self.apps.get_mut(&asked.app) else {
            return;
        };
        let now = cx.now.mono;
        let again = now + u64::from(response.retry_after_s.unwrap_or(1)) * 1000;
        match asked.what {
            Want::Cancel => {
                app.groups.closing.remove(&asked.group);
                if matches!(response.status, 200 | 404) {
                    app.groups.closed.insert(asked.group);
                    app.groups.all.remove(&asked.group);
                }
                self.schedule(asked.app, if response.status == 200 { now } else { again });
            }
            Want::Submit => {
                let Some(group) = app.groups.all.get_mut(&asked.group) else {
                    return;
                };
                group.asking = false;
                match response.status {
                    200 | 201 => {
                        group.accepted = true;
                        self.schedule(asked.app, now);
                    }
                    400 | 422 => {
                        let shape = group.shape.clone();
                        log::info!(
                            "yarn: {} can never run: {shape:?}",
                            job_id(asked.app, asked.group)
                        );
                        app.groups.all.remove(&asked.group);
                        if let Some(session) = &mut app.session {
                            session.refused.insert(shape);
                        }
                    }
                    _ => self.schedule(asked.app, again),
                }
            }
            Want::State => {}
        }
    }

    /// A container has ended: its master is told with the next heartbeat.
    pub(super) fn complete(&mut self, cx: Cx<'_>, id: u32, container: i64, status: i32, why: &str) {
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
        c.stage = Stage::Complete;
        c.exit = status;
        c.diagnostics = crate::records::cut(why, crate::records::LONG);
        c.finished_ms = cx.now.wall;
        let starting = std::mem::take(&mut c.starting);
        let status = c.status();
        if let Some(session) = &mut app.session {
            session.completed.push(status);
        }
        for call in starting {
            self.start_over(id, call, container);
        }
    }
}

/// A group of so many places; false if no number is left that the record allows for.
fn new_group(app: &mut App, shape: Shape, tasks: u32) -> bool {
    let allowed = app.saved.as_ref().map_or(0, |s| s.groups);
    let number = app.groups.used + 1;
    if number > allowed {
        app.rec.groups = (number + GROUPS_AT_ONCE - 1).min(MOST_GROUPS);
        return number > MOST_GROUPS;
    }
    app.groups.used = number;
    let group = Group {
        shape,
        tasks,
        seen: 0,
        accepted: false,
        asking: false,
        dropped: false,
    };
    app.groups.all.insert(number, group);
    true
}

/// Gives back whole groups of which nothing has come yet, as far as nobody asks for them any more.
fn drop_unwanted(app: &mut App, shape: &Shape, mut surplus: u32) {
    for g in app
        .groups
        .all
        .values_mut()
        .filter(|g| g.shape == *shape && g.seen == 0 && !g.dropped)
    {
        if g.tasks <= surplus {
            surplus -= g.tasks;
            g.dropped = true;
        }
    }
}
