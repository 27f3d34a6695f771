//! User requests outside the regular sequence of submit, poll and cancel, sent to chosen nodes: users query all nodes
//! within milliseconds, cancel many jobs at once or a job just as it ends, and send invalid requests.

use super::{Origin, RequestKind, Sabotage, SimEvent, World};
use crate::checks::answers::{Answers, Unfit};
use crate::days::Trouble;
use crate::links::{How, Place};
use crate::scene::array;
use control::{Destination, Effect};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use wire::api::{JobSpec, JobState, Kind, Order, Orders, Stage, TaskStage};
use wire::http::{Request, Response};
use wire::peer;

/// Delays after a job's milestone at which all nodes are queried.
const QUERY_OFFSETS_MS: [u64; 5] = [1, 3, 10, 40, 150];
/// The maximum number of jobs that are being queried in this way at the same time.
const MAX_OPEN_QUERIES: usize = 64;
/// The share of queried jobs that are cancelled right after they are accepted.
const CANCEL_ON_ACCEPT_SHARE: f64 = 0.2;
/// A job qualifies for a mass cancellation if a task of it still runs for longer than this.
const LONG_RUNNING_MS: u64 = 15_000;
/// A mass cancellation is spread over this time, and hangs at most this many machines.
const CANCEL_SPREAD_MS: u64 = 200;
const MAX_HUNG_MACHINES: usize = 8;
/// The interval between invalid requests.
const INVALID_REQUEST_INTERVAL_MS: std::ops::Range<u64> = 50..400;
/// The interval at which machines are simulated.
const MACHINE_TICK_MS: u64 = 100;
/// How long a user waits for a response.
const REQUEST_TIMEOUT_MS: u64 = 5000;
const POLL_TIMEOUT_MS: u64 = 2000;

/// A user's action outside its regular sequence of requests.
pub(super) enum ExtraAction {
    Request(usize, RequestKind, String),
    /// Query all nodes; the number counts the rounds.
    QueryAllNodes(String, usize),
    /// Keep asking to cancel the job until the user learns how it ended.
    EnsureCancel(String),
    InvalidRequest,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Milestone {
    Accepted,
    /// The job's last task has ended.
    Ended,
    ToldDone,
    ToldCancelled,
}

/// How often users performed these actions, so that a test can verify that they did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExtraActionCounts {
    pub looks: u64,
    pub cancelled_at_once: u64,
    pub cancelled_now: u64,
    pub cancelled_at_end: u64,
    pub hung: u64,
    pub odd: u64,
}

/// Faults caused by users. They have their own random number generator, so that they don't change what the rest of
/// the simulation draws.
pub(super) struct UserFaults {
    rng: fastrand::Rng,
    close_queries_until: u64,
    invalid_requests_until: u64,
    /// The share of ending jobs that are cancelled, and until when.
    cancel_at_end_until: (f64, u64),
    open_queries: usize,
    /// Milestones whose queries have begun, and jobs for which a cancel at their end has been drawn. Both are bounded
    /// by the number of jobs.
    queried: BTreeSet<(String, Milestone)>,
    cancel_drawn: BTreeSet<String>,
    answers: Answers,
    counts: ExtraActionCounts,
}

impl UserFaults {
    pub(super) fn new(seed: u64) -> Self {
        UserFaults {
            rng: fastrand::Rng::with_seed(seed ^ 0x7573_6572),
            close_queries_until: 0,
            invalid_requests_until: 0,
            cancel_at_end_until: (0.0, 0),
            open_queries: 0,
            queried: BTreeSet::new(),
            cancel_drawn: BTreeSet::new(),
            answers: Answers::default(),
            counts: ExtraActionCounts::default(),
        }
    }
}

impl World {
    pub fn asides(&self) -> ExtraActionCounts {
        self.users.counts
    }

    pub fn heard_by_users(&self) -> &Answers {
        &self.users.answers
    }

    pub(super) fn inject_user_fault(&mut self, trouble: &Trouble) {
        let now = self.now;
        match trouble {
            Trouble::CloseLooks { ms } => self.users.close_queries_until = now + ms,
            Trouble::CancelAtEnd { share, ms } => {
                self.users.cancel_at_end_until = (*share, now + ms)
            }
            Trouble::CancelNow { count, hang_ms } => self.cancel_now(*count, *hang_ms),
            Trouble::OddRequests { ms } => {
                let begun = self.users.invalid_requests_until > now;
                self.users.invalid_requests_until = now + ms;
                if !begun {
                    self.schedule(now, SimEvent::ExtraAction(ExtraAction::InvalidRequest));
                }
            }
            _ => {}
        }
    }

    pub(super) fn run_extra_action(&mut self, action: ExtraAction) {
        match action {
            ExtraAction::Request(node, kind, job) => self.send_extra_request(node, kind, job),
            ExtraAction::QueryAllNodes(job, round) => self.query_all_nodes(job, round),
            ExtraAction::EnsureCancel(job) => {
                let told = |j: &crate::rules::Job| j.told_done.or(j.told_cancelled).is_some();
                if !self.rules.jobs.get(&job).is_some_and(told) {
                    self.schedule(self.now, SimEvent::UserRequest(RequestKind::Cancel, job));
                }
            }
            ExtraAction::InvalidRequest => self.send_invalid_request(),
        }
    }

    /// Handles the machines' tick: jobs that have just ended, and jobs that will end with the next tick.
    pub(super) fn users_tick(&mut self) {
        let ended = std::mem::take(&mut self.rules.ended);
        ended
            .iter()
            .for_each(|job| self.begin_close_queries(job, Milestone::Ended));
        if self.now < self.users.cancel_at_end_until.1 {
            self.about_to_end()
                .into_iter()
                .for_each(|job| self.cancel_at_end(job));
        }
    }

    // ---- Requests ----

    fn any_node(&mut self) -> usize {
        self.users.rng.usize(0..self.plan.nodes)
    }

    fn send_extra_request(&mut self, node: usize, kind: RequestKind, job: String) {
        let Some(entry) = self.rules.jobs.get_mut(&job) else {
            return;
        };
        let (method, path, body) = match kind {
            RequestKind::Submit => {
                entry.submitted = true;
                ("POST", "/work".to_owned(), wire::encode(&entry.spec))
            }
            RequestKind::Poll => ("GET", format!("/work/{job}"), Vec::new()),
            RequestKind::Cancel => ("POST", format!("/work/{job}/cancel"), Vec::new()),
        };
        // Cancelling a job that is done has no effect.
        if kind == RequestKind::Cancel && entry.told_done.is_none() {
            entry.cancel_asked = true;
            self.note_cancel_request(&job);
            self.schedule(
                self.now + REQUEST_TIMEOUT_MS,
                SimEvent::ExtraAction(ExtraAction::EnsureCancel(job.clone())),
            );
        }
        self.send_extra(
            node,
            job,
            kind,
            Request {
                method: method.into(),
                path,
                body,
                close: false,
            },
        );
    }

    fn send_extra(&mut self, node: usize, job: String, kind: RequestKind, request: Request) {
        let now = self.now;
        let origin = Origin::ExtraAction {
            job,
            kind,
            asked: now,
        };
        match self.links.blocked(now, Place::Users, Place::Node(node)) {
            Some((until, How::Hold)) => {
                self.schedule(until, SimEvent::Request(node, origin, request, false))
            }
            Some((_, How::Reset)) => self.schedule(now + 2, SimEvent::Answer(origin, None)),
            None => self.schedule(now + 1, SimEvent::Request(node, origin, request, false)),
        }
    }

    pub(super) fn answer_extra(
        &mut self,
        job: String,
        kind: RequestKind,
        asked: u64,
        response: Option<Response>,
    ) {
        let now = self.now;
        let timeout = if kind == RequestKind::Poll {
            POLL_TIMEOUT_MS
        } else {
            REQUEST_TIMEOUT_MS
        };
        let Some(response) = response.filter(|_| now <= asked + timeout) else {
            return;
        };
        let status = response.status;
        if self.users.answers.is_odd(&job) {
            if let Some((rule, why)) =
                self.users
                    .answers
                    .odd_told(&job, kind == RequestKind::Submit, status)
            {
                self.rules
                    .breaks(rule, format!("{now}: {job} ({why}) answered {status}"));
            }
            return;
        }
        let stage = wire::decode::<JobState>(&response.body)
            .ok()
            .map(|s| s.stage);
        self.rules
            .told(now, asked, &job, status, stage, kind == RequestKind::Submit);
        self.check_recorded(&job, stage);
        self.note_user_answer(&job, asked, status, stage);
        self.note_answer(&job, status, stage);
        if kind == RequestKind::Cancel && !stage.is_some_and(|s| s.is_final()) {
            self.schedule(
                now + 1000,
                SimEvent::ExtraAction(ExtraAction::EnsureCancel(job)),
            );
        }
    }

    /// Records a user's response, after [`crate::rules::Rules::told`] has checked it.
    pub(super) fn note_user_answer(
        &mut self,
        job: &str,
        asked: u64,
        status: u16,
        stage: Option<Stage>,
    ) {
        let now = self.now;
        if let Some(what) = self.users.answers.told(now, asked, job, status, stage) {
            self.rules.breaks("older", what);
        }
        let Some(told) = self.rules.jobs.get(job) else {
            return;
        };
        let milestones = [
            (Milestone::Accepted, told.accepted),
            (Milestone::ToldDone, told.told_done),
            (Milestone::ToldCancelled, told.told_cancelled),
        ];
        let new = milestones.into_iter().filter(|(_, at)| *at == Some(now));
        new.for_each(|(milestone, _)| self.begin_close_queries(job, milestone));
    }

    // ---- Queries of all nodes ----

    fn begin_close_queries(&mut self, job: &str, milestone: Milestone) {
        let now = self.now;
        let users = &mut self.users;
        if now >= users.close_queries_until
            || users.open_queries >= MAX_OPEN_QUERIES
            || !users.queried.insert((job.to_owned(), milestone))
        {
            return;
        }
        users.open_queries += 1;
        if milestone == Milestone::Accepted && users.rng.f64() < CANCEL_ON_ACCEPT_SHARE {
            users.counts.cancelled_at_once += 1;
            let at = now + users.rng.u64(0..20);
            let node = self.any_node();
            self.schedule(
                at,
                SimEvent::ExtraAction(ExtraAction::Request(
                    node,
                    RequestKind::Cancel,
                    job.to_owned(),
                )),
            );
        }
        self.schedule(
            now + QUERY_OFFSETS_MS[0],
            SimEvent::ExtraAction(ExtraAction::QueryAllNodes(job.to_owned(), 0)),
        );
    }

    /// Polls the job at every node, and submits it again there.
    fn query_all_nodes(&mut self, job: String, round: usize) {
        self.users.counts.looks += 1;
        for node in 0..self.plan.nodes {
            self.send_extra_request(node, RequestKind::Poll, job.clone());
            self.send_extra_request(node, RequestKind::Submit, job.clone());
        }
        match QUERY_OFFSETS_MS.get(round + 1) {
            Some(next) => {
                let at = self.now + next - QUERY_OFFSETS_MS[round];
                self.schedule(
                    at,
                    SimEvent::ExtraAction(ExtraAction::QueryAllNodes(job, round + 1)),
                );
            }
            None => self.users.open_queries -= 1,
        }
    }

    // ---- Mass cancellations, and cancels as a job ends ----

    /// Whether the job is accepted and unfinished, and nobody has asked to cancel it.
    fn is_uncancelled(&self, job: &str) -> bool {
        let wanted = |j: &crate::rules::Job| {
            j.accepted.is_some() && !j.cancel_asked && j.told_done.or(j.told_cancelled).is_none()
        };
        self.rules.jobs.get(job).is_some_and(wanted)
    }

    /// Running tasks, with the times at which they end if nothing interrupts them.
    fn running(&self) -> impl Iterator<Item = (&str, u32, u64)> {
        let tasks = self
            .workers
            .values()
            .filter(|w| w.hung_until <= self.now)
            .flat_map(|w| &w.tasks);
        tasks
            .filter(|t| t.stage == TaskStage::Running)
            .filter_map(|t| {
                let (id, n) = wire::ids::parse_task(&t.name)?;
                let spec = self.rules.jobs.get(id)?.spec.as_ref()?;
                let gang = (spec.kind == Kind::Gang)
                    .then(|| t.since + self.run_ms.get(id).unwrap_or(&1000));
                Some((id, n, gang.unwrap_or(t.ends_at)))
            })
    }

    fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let now = self.now;
        let long = self
            .running()
            .filter(|(id, _, end)| *end > now + LONG_RUNNING_MS && self.is_uncancelled(id));
        let long: BTreeSet<String> = long.map(|(id, ..)| id.to_owned()).collect();
        let mut jobs: Vec<String> = long.into_iter().collect();
        self.users.rng.shuffle(&mut jobs);
        jobs.truncate(count);
        let machines: BTreeSet<String> = jobs.iter().flat_map(|j| self.machines_of(j)).collect();
        self.users.counts.cancelled_now += jobs.len() as u64;
        for job in jobs {
            let (at, node) = (
                now + self.users.rng.u64(0..CANCEL_SPREAD_MS),
                self.any_node(),
            );
            self.schedule(
                at,
                SimEvent::ExtraAction(ExtraAction::Request(node, RequestKind::Cancel, job)),
            );
        }
        if hang_ms > 0 {
            let mut machines: Vec<String> = machines.into_iter().collect();
            self.users.rng.shuffle(&mut machines);
            machines.truncate(MAX_HUNG_MACHINES);
            self.users.counts.hung += machines.len() as u64;
            machines.iter().for_each(|m| self.hang(m, hang_ms));
        }
    }

    /// Jobs whose last tasks end at the machines' next tick.
    fn about_to_end(&self) -> Vec<String> {
        let mut ending: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
        for (id, n, _) in self
            .running()
            .filter(|(.., end)| *end <= self.now + MACHINE_TICK_MS)
        {
            ending.entry(id).or_default().insert(n);
        }
        let whole = |id: &str, tasks: &BTreeSet<u32>| {
            let job = &self.rules.jobs[id];
            let all = job.spec.as_ref().map_or(0, |s| s.tasks as usize);
            job.done.union(tasks).count() == all && self.is_uncancelled(id)
        };
        ending
            .into_iter()
            .filter(|(id, tasks)| whole(id, tasks))
            .map(|(id, _)| id.to_owned())
            .collect()
    }

    /// Cancels the job shortly before its end, at its end, while the end is being recorded, or a while later.
    fn cancel_at_end(&mut self, job: String) {
        let (share, _) = self.users.cancel_at_end_until;
        let users = &mut self.users;
        if !users.cancel_drawn.insert(job.clone())
            || users.rng.f64() >= share
            || users.open_queries >= MAX_OPEN_QUERIES
        {
            return;
        }
        let end = self.now + MACHINE_TICK_MS;
        let rng = &mut users.rng;
        let at = match rng.u32(0..4) {
            0 => end - rng.u64(1..40),
            1 => end,
            2 => end + rng.u64(1..25),
            _ => end + rng.u64(25..700),
        };
        users.counts.cancelled_at_end += 1;
        users.open_queries += 1;
        let node = self.any_node();
        self.schedule(
            at,
            SimEvent::ExtraAction(ExtraAction::QueryAllNodes(job.clone(), 0)),
        );
        self.schedule(
            at,
            SimEvent::ExtraAction(ExtraAction::Request(node, RequestKind::Cancel, job)),
        );
    }

    // ---- Invalid requests ----

    fn send_invalid_request(&mut self) {
        if self.now >= self.users.invalid_requests_until {
            return;
        }
        let next = self.now + self.users.rng.u64(INVALID_REQUEST_INTERVAL_MS);
        self.schedule(next, SimEvent::ExtraAction(ExtraAction::InvalidRequest));
        self.users.counts.odd += 1;
        let node = self.any_node();
        match self.users.rng.u32(0..6) {
            0 => {
                let unfinished: Vec<String> =
                    self.unfinished().into_iter().map(str::to_owned).collect();
                self.send_extra_for_any(node, RequestKind::Submit, &unfinished);
            }
            1 => {
                let over = self
                    .rules
                    .jobs
                    .iter()
                    .filter(|(_, j)| j.told_done.or(j.told_cancelled).is_some());
                let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
                self.send_extra_for_any(node, RequestKind::Cancel, &over);
            }
            _ => self.send_invalid_submission(node),
        }
    }

    fn send_extra_for_any(&mut self, node: usize, kind: RequestKind, jobs: &[String]) {
        if let Some(job) = self.users.rng.choice(jobs).cloned() {
            self.send_extra_request(node, kind, job);
        }
    }

    /// Sends a submission that can't be accepted, and then polls it at a random node.
    fn send_invalid_submission(&mut self, node: usize) {
        let number = 900_000 + self.users.counts.odd as u32;
        let spec = array(number, "red", 1, 5.0);
        let id = spec.id.clone();
        let limits = self.rules.gpu_limits.clone();
        let rng = &mut self.users.rng;
        let (unfit, why, body) = if rng.bool() {
            malformed(rng, &spec)
        } else {
            impossible(rng, spec, &limits)
        };
        if !self.users.answers.sends(&id, unfit, why) {
            return;
        }
        let request = Request {
            method: "POST".into(),
            path: "/work".into(),
            body,
            close: false,
        };
        self.send_extra(node, id.clone(), RequestKind::Submit, request);
        let node = self.any_node();
        let path = format!("/work/{id}");
        let request = Request {
            method: "GET".into(),
            path,
            body: Vec::new(),
            close: false,
        };
        self.send_extra(node, id, RequestKind::Poll, request);
    }

    // ---- Commands sent by nodes ----

    /// Counts start commands that the leader sends for jobs whose users were told that they are cancelled. Commands
    /// that another node only relays were counted when the leader sent them.
    pub(super) fn check_orders_sent(&mut self, node: usize, effect: &Effect) {
        if self.day.is_none() {
            return;
        }
        let Some(leader) = self.hosts[node].node.as_ref().map(|n| n.node()) else {
            return;
        };
        if !leader.role_name().starts_with("leader") {
            return;
        }
        // A response relayed for an earlier leader carries that leader's token.
        let own = |o: &Orders| {
            leader
                .tokens()
                .is_none_or(|tokens| tokens.contains(&o.token))
        };
        let given = self.order_bodies(effect);
        let given = given
            .iter()
            .filter_map(|body| wire::decode::<Orders>(body).ok());
        let orders = given.filter(own).flat_map(|o| o.orders);
        let started = orders.filter_map(|o| {
            if let Order::Start { task, .. } = o {
                Some(task)
            } else {
                None
            }
        });
        for task in started.collect::<Vec<_>>() {
            let job = wire::ids::parse_task(&task).and_then(|(id, _)| self.rules.jobs.get(id));
            if job.is_some_and(|j| j.told_cancelled.is_some()) {
                self.rules.after_cancel.order(self.now, node, &task);
            }
        }
    }

    /// Bodies with commands that a node sends to machines, directly or through a peer.
    fn order_bodies(&self, effect: &Effect) -> Vec<Vec<u8>> {
        match effect {
            Effect::Respond { conn, response } if response.status == 200 => {
                match self.conns.get(conn) {
                    Some(Origin::Worker { .. }) => vec![response.body.clone()],
                    Some(Origin::Peer { .. }) => match peer::decode(&response.body) {
                        Ok(peer::PeerResponse::Orders(bodies)) => {
                            bodies.into_iter().map(|b| b.into_vec()).collect()
                        }
                        _ => Vec::new(),
                    },
                    _ => Vec::new(),
                }
            }
            Effect::Send {
                to: Destination::Worker(_),
                body,
                ..
            } => vec![body.clone()],
            Effect::Send {
                to: Destination::Peer(_),
                body,
                ..
            } => match peer::decode(body) {
                Ok(peer::PeerRequest::Command { body, .. }) => vec![body.into_vec()],
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    // ---- Sabotage to verify the checks ----

    /// The false response that a user receives under sabotage, if any.
    pub(super) fn sabotaged_answer(&self, origin: &Origin) -> Option<Response> {
        let (Origin::User { job, kind, .. } | Origin::ExtraAction { job, kind, .. }) = origin
        else {
            return None;
        };
        let told = self.rules.jobs.get(job);
        let extra = matches!(origin, Origin::ExtraAction { .. });
        let state = |stage| JobState {
            id: job.clone(),
            stage,
            done: 0,
            running: 0,
        };
        let (status, state) = match self.plan.sabotage {
            Sabotage::CancelsUnheard
                if told.is_some_and(|j| {
                    j.told_cancelled.is_some()
                        || (*kind == RequestKind::Cancel && j.told_done.is_none())
                }) =>
            {
                (200, state(Stage::Cancelled))
            }
            Sabotage::AnswersOlder if extra && *kind == RequestKind::Poll => {
                let accepted = told.and_then(|j| j.accepted)?;
                if self.now < accepted + 100 {
                    return None;
                }
                (422, state(Stage::Pending))
            }
            Sabotage::AllAccepted
                if self.users.answers.is_odd(job) && *kind == RequestKind::Submit =>
            {
                (201, state(Stage::Pending))
            }
            _ => return None,
        };
        Some(Response {
            status,
            body: wire::encode(&state),
            close: false,
            retry_after_s: None,
        })
    }
}

/// Fields that every submission must contain.
const REQUIRED_FIELDS: [&str; 17] = [
    "nameId",
    "lot",
    "desk",
    "shape",
    "urgency",
    "pieces",
    "cores",
    "gpus",
    "ramGb",
    "kit",
    "pullGb",
    "together",
    "spread",
    "loaners",
    "expectS",
    "bookmarkS",
    "stashS",
];

type InvalidSubmission = (Unfit, String, Vec<u8>);

/// A malformed submission: a field is missing, of a wrong type or out of range, or the body is no map.
fn malformed(rng: &mut fastrand::Rng, spec: &JobSpec) -> InvalidSubmission {
    let wrong = [
        ("pieces", json!("two")),
        ("pieces", json!(0)),
        ("pieces", json!(100_001)),
        ("pieces", json!(-1)),
        ("cores", json!("x")),
        ("cores", json!(-1.0)),
        ("together", json!("maybe")),
        ("builds", json!("g2")),
        ("shape", json!("pile")),
        ("urgency", json!("soon")),
        ("nameId", json!("work/12")),
        ("nameId", json!(12)),
        ("expectS", Value::Null),
    ];
    let mut fields = serde_json::to_value(spec).unwrap_or_default();
    let why = match rng.u32(0..8) {
        0 => {
            return (
                Unfit::Malformed,
                "no MessagePack".into(),
                vec![0xc1, 0xff, 0x00],
            );
        }
        1 => {
            return (
                Unfit::Malformed,
                "no map".into(),
                wire::encode(&json!(["job", 3])),
            );
        }
        2..5 => {
            let field = REQUIRED_FIELDS[rng.usize(0..REQUIRED_FIELDS.len())];
            fields.as_object_mut().and_then(|f| f.remove(field));
            format!("without {field}")
        }
        _ => {
            let (field, value) = &wrong[rng.usize(0..wrong.len())];
            fields[*field] = value.clone();
            format!("{field}: {value}")
        }
    };
    (Unfit::Malformed, why, wire::encode(&fields))
}

/// A well-formed submission that fits no machine, or exceeds what its team may ever use.
fn impossible(
    rng: &mut fastrand::Rng,
    spec: JobSpec,
    limits: &BTreeMap<String, f64>,
) -> InvalidSubmission {
    let limit = limits.iter().next();
    let (why, spec) = match (rng.u32(0..6), limit) {
        (0, _) => (
            "unknown team",
            JobSpec {
                team: "nobody".into(),
                ..spec
            },
        ),
        (1, _) => (
            "cores",
            JobSpec {
                cores: 1000.0,
                ..spec
            },
        ),
        (2, _) => ("gpus", JobSpec { gpus: 64.0, ..spec }),
        (3, _) => (
            "gpus of its type",
            JobSpec {
                types: Some(vec!["g2".into()]),
                gpus: 3.0,
                ..spec
            },
        ),
        (4, _) => (
            "unknown zone",
            JobSpec {
                zone: Some("z".into()),
                ..spec
            },
        ),
        (_, Some((team, gpus))) => {
            let tasks = *gpus as u32 + 1;
            (
                "limit",
                JobSpec {
                    team: team.clone(),
                    kind: Kind::Gang,
                    tasks,
                    ..spec
                },
            )
        }
        _ => (
            "memory",
            JobSpec {
                mem_gb: 100_000.0,
                ..spec
            },
        ),
    };
    (Unfit::Impossible, why.into(), wire::encode(&spec))
}
