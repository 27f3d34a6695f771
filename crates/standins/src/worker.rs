//! A worker that follows the protocol: tokens, sessions, leases, attempts and the reaping of exited tasks.

use wire::api::{Cause, Heartbeat, Order, Orders, TaskStage, TaskStatus};

#[derive(Debug, Clone)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
    pub stage: TaskStage,
    pub cause: Option<Cause>,
    /// When the image is fetched, and when the task's work is done.
    pub fetched_at: u64,
    pub ends_at: u64,
    pub since: u64,
    pub started_by: StartedBy,
}

/// The message that started a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartedBy {
    /// The response to a report, which is carried out in time or never.
    Response,
    /// A direct command, of which a copy may arrive at any time.
    Command { token: u64, session: u64 },
}

impl Task {
    /// Whether the task is on its machine: from when its image is fetched until it exits.
    pub fn is_on(&self) -> bool {
        !matches!(self.stage, TaskStage::Fetching | TaskStage::Exited)
    }
}

pub struct Worker {
    pub name: String,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    /// The controller that it reports to.
    pub node: usize,
    pub next_report: u64,
    pub told_at: u64,
    /// The report that awaits a response: its number and when it was sent.
    pub out: Option<(u64, u64)>,
    /// When the last answered report was sent, or when the session began. The lease counts from then.
    pub leased: u64,
    pub hung_until: u64,
    /// When the cloud reclaims the machine, if that is known.
    pub taken_at: Option<u64>,
    pub changed: bool,
    /// Sabotage used to verify the checks: stop commands are ignored.
    pub ignores_stops: bool,
    /// Sabotage used to verify the checks: start commands for jobs whose number ends with 7 are ignored.
    pub ignores_starts: bool,
    /// Tasks that were stopped while running, and how long they had run.
    pub stopped: Vec<(String, u64)>,
    /// Attempts that were reaped although a copy of the command that started them would still be carried out.
    pub reaped_early: Vec<String>,
}

impl Worker {
    pub fn new(
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        node: usize,
        now: u64,
    ) -> Self {
        Worker {
            name: name.to_owned(),
            addr: crate::cloud::address(name),
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            session: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            node,
            next_report: now,
            told_at: 0,
            out: None,
            leased: now,
            hung_until: 0,
            taken_at: None,
            changed: false,
            ignores_stops: false,
            ignores_starts: false,
            stopped: Vec::new(),
            reaped_early: Vec::new(),
        }
    }

    pub fn report(&mut self, now: u64) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.name.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: self
                .taken_at
                .map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    stage: t.stage,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// If the lease has expired, kills and discards all tasks. Returns the number of killed tasks and of discarded
    /// results.
    pub fn expire(&mut self, now: u64, lease_ms: u64) -> (u64, u64) {
        let mut lost = (0, 0);
        if now > self.leased + lease_ms {
            let count =
                |which: fn(&Task) -> bool| self.tasks.iter().filter(|t| which(t)).count() as u64;
            lost = (count(Task::is_on), count(|t| t.cause == Some(Cause::Done)));
            self.session += 1;
            self.tasks.clear();
            self.leased = now;
            self.out = None;
            self.changed = true;
        }
        lost
    }

    /// Handles the response to a report; returns false if the response must be dropped.
    pub fn answered(
        &mut self,
        number: u64,
        sent: u64,
        orders: &Orders,
        new: impl FnMut(&str) -> Option<(u64, u64)>,
        now: u64,
    ) -> bool {
        if self.out != Some((number, sent)) {
            return false;
        }
        self.out = None;
        if !self.accept_token(orders.token) {
            return false;
        }
        self.leased = sent;
        self.execute(&orders.orders, StartedBy::Response, new, now);
        true
    }

    pub fn accept_token(&mut self, token: u64) -> bool {
        if token < self.token {
            return false;
        }
        self.changed |= token > self.token;
        self.token = self.token.max(token);
        true
    }

    /// Executes commands sent directly by a controller and returns the status. The caller always responds with a
    /// report.
    pub fn commands(
        &mut self,
        orders: &Orders,
        new: impl FnMut(&str) -> Option<(u64, u64)>,
        now: u64,
    ) -> u16 {
        if orders.agent_epoch != Some(self.session) || !self.accept_token(orders.token) {
            return 409;
        }
        let started_by = StartedBy::Command {
            token: orders.token,
            session: self.session,
        };
        self.execute(&orders.orders, started_by, new, now);
        200
    }

    fn reap(&mut self, task: &str, attempt: u64) {
        let is_reaped =
            |t: &Task| t.name == task && t.attempt == attempt && t.stage == TaskStage::Exited;
        let accepts_copy = |t: &&Task| {
            matches!(t.started_by, StartedBy::Command { token, session }
                if token >= self.token && session == self.session)
        };
        let early = self.tasks.iter().filter(|t| is_reaped(t));
        let early = early.filter(accepts_copy).map(|t| {
            format!(
                "{} attempt {} on {}, under token {}",
                t.name, t.attempt, self.name, self.token
            )
        });
        self.reaped_early.extend(early);
        self.tasks.retain(|t| !is_reaped(t));
    }

    fn execute(
        &mut self,
        orders: &[Order],
        started_by: StartedBy,
        mut new: impl FnMut(&str) -> Option<(u64, u64)>,
        now: u64,
    ) {
        for order in orders {
            match order {
                Order::Start { task, .. } if self.ignores_starts && task.contains("7/") => {}
                Order::Start { task, attempt } => {
                    if self
                        .tasks
                        .iter()
                        .any(|t| t.name == *task && t.attempt == *attempt)
                    {
                        continue;
                    }
                    let busy = self
                        .tasks
                        .iter()
                        .any(|t| t.name == *task && t.stage != TaskStage::Exited);
                    let times = new(task);
                    let refused = if busy {
                        Some(Cause::Busy)
                    } else if times.is_none() {
                        Some(Cause::Unknown)
                    } else {
                        None
                    };
                    let (fetch, run) = times.unwrap_or((0, 0));
                    self.tasks.push(Task {
                        name: task.clone(),
                        attempt: *attempt,
                        stage: if refused.is_some() {
                            TaskStage::Exited
                        } else {
                            TaskStage::Fetching
                        },
                        cause: refused,
                        fetched_at: now + fetch,
                        ends_at: now + fetch + run,
                        since: now,
                        started_by,
                    });
                }
                Order::Stop { task, attempt, .. } if !self.ignores_stops => {
                    for t in self
                        .tasks
                        .iter_mut()
                        .filter(|t| t.name == *task && t.attempt == *attempt)
                    {
                        if t.stage != TaskStage::Exited {
                            if t.stage == TaskStage::Running {
                                self.stopped
                                    .push((t.name.clone(), now.saturating_sub(t.since)));
                            }
                            t.stage = TaskStage::Exited;
                            t.cause = Some(Cause::Stopped);
                        }
                    }
                }
                Order::Stop { .. } => {}
                Order::Reap { task, attempt } => self.reap(task, *attempt),
            }
            self.changed = true;
        }
    }
}
