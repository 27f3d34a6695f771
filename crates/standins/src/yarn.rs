//! Fakes of the parties that speak YARN's protocols: clients submit, repeat, query and kill applications; runners start
//! the containers that the gateway describes; application masters run jobs of several stages ("tallies"). All in
//! virtual time and with the bytes of the protocols, one connection per call.

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use gateway::book::runners::{CheckIn, Do, Told};
use gateway::token;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use wire::http;
use yarn::error::{Class, Fault};
use yarn::master::{
    ANY, AllocateRequest, AllocateResponse, Container, FinishRequest, FinishResponse, GPUS,
    RegisterRequest, StartContainer, StartContainersRequest, StartContainersResponse,
};
use yarn::proto::{
    ApplicationAttemptId, ApplicationId, ApplicationState, ApplicationSubmissionContext,
    ContainerId, ContainerLaunchContext, FinalStatus, GetApplicationReportRequest,
    GetApplicationReportResponse, GetNewApplicationResponse, KillApplicationRequest, Priority,
    Resource, ResourceInformation, ResourceRequest, StringString, SubmitApplicationRequest, Token,
};
use yarn::rest::{self, Form};
use yarn::rpc;

/// One call over RPC or REST.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    Rpc {
        user: String,
        token: Option<Token>,
        protocol: &'static str,
        method: &'static str,
        body: Vec<u8>,
    },
    Web {
        method: &'static str,
        target: String,
        body: Vec<u8>,
    },
}

/// Response or fault; `None` if there was no answer or the connection broke.
pub type Answer = Option<Result<Vec<u8>, Fault>>;

/// A connection with one call on it.
pub struct Exchange {
    ask: Ask,
    step: u8,
    received: Vec<u8>,
}

/// What the caller has to do next with the connection.
#[derive(Debug, PartialEq)]
pub enum Next {
    Wait,
    Send(Vec<u8>),
    Over(Answer),
}

const CLIENT_ID: &[u8] = b"stand-in-client!";

impl Exchange {
    /// Returns the connection, whether it goes to the REST port, and its first bytes.
    pub fn begin(ask: Ask) -> (Exchange, bool, Vec<u8>) {
        let (web, first) = match &ask {
            Ask::Web {
                method,
                target,
                body,
            } => {
                let mut out = Vec::new();
                let head = format!(
                    "{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                out.extend_from_slice(head.as_bytes());
                out.extend_from_slice(body);
                (true, out)
            }
            Ask::Rpc { token: Some(_), .. } => {
                let mut out = rpc::open(rpc::AUTH_SASL);
                out.extend(sasl_frame(1, None));
                (false, out)
            }
            Ask::Rpc { .. } => {
                let mut out = rpc::open(rpc::AUTH_SIMPLE);
                out.extend(call_bytes(&ask));
                (false, out)
            }
        };
        let step = if matches!(ask, Ask::Rpc { token: Some(_), .. }) {
            0
        } else {
            2
        };
        (
            Exchange {
                ask,
                step,
                received: Vec::new(),
            },
            web,
            first,
        )
    }

    pub fn bytes(&mut self, bytes: &[u8]) -> Next {
        self.received.extend_from_slice(bytes);
        if let Ask::Web { .. } = self.ask {
            return match http::parse_response(&self.received, 8 << 20, false) {
                Ok(Some((r, _))) if r.status < 300 => Next::Over(Some(Ok(r.body))),
                Ok(Some((r, _))) => Next::Over(Some(Err(fault_from_rest(r.status, &r.body)))),
                Ok(None) => Next::Wait,
                Err(_) => Next::Over(None),
            };
        }
        let Ok(Some((body, used))) = rpc::take_frame(&self.received, 8 << 20) else {
            return Next::Wait;
        };
        let answer = rpc::parse_answer(body);
        self.received.drain(..used);
        let Ok((_, answer)) = answer else {
            return Next::Over(None);
        };
        if self.step == 2 {
            return Next::Over(Some(answer));
        }
        self.handle_sasl_answer(answer)
    }

    fn handle_sasl_answer(&mut self, answer: Result<Vec<u8>, Fault>) -> Next {
        let Ask::Rpc {
            token: Some(token), ..
        } = &self.ask
        else {
            return Next::Over(None);
        };
        let message = match answer {
            Ok(body) => rpc::Sasl::decode(body.as_slice()).unwrap_or_default(),
            Err(fault) => return Next::Over(Some(Err(fault))),
        };
        self.step += 1;
        if self.step == 1 {
            let challenge = message
                .auths
                .iter()
                .find(|a| a.method == "TOKEN")
                .and_then(|a| a.challenge.clone());
            let challenge = String::from_utf8(challenge.unwrap_or_default()).unwrap_or_default();
            let nonce = token::nonce_of(&challenge).unwrap_or_default();
            return Next::Send(sasl_frame(
                2,
                Some(token::respond(token, &nonce, "cnonce").into_bytes()),
            ));
        }
        Next::Send(call_bytes(&self.ask))
    }
}

fn sasl_frame(state: i32, token: Option<Vec<u8>>) -> Vec<u8> {
    let message = rpc::Sasl {
        state,
        token,
        ..rpc::Sasl::default()
    };
    rpc::frame_of(rpc::SASL_CALL, CLIENT_ID, &message)
}

fn call_bytes(ask: &Ask) -> Vec<u8> {
    let Ask::Rpc {
        user,
        protocol,
        method,
        body,
        ..
    } = ask
    else {
        return Vec::new();
    };
    let mut out = rpc::context(CLIENT_ID, user, protocol);
    out.extend(rpc::request_bytes(1, CLIENT_ID, 0, protocol, method, body));
    out
}

/// The fault described by a REST error response.
fn fault_from_rest(status: u16, body: &[u8]) -> Fault {
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "PascalCase")]
    struct Wrapped {
        remote_exception: rest::RemoteException,
    }
    let read = rest::read::<Wrapped>(Form::Json, body)
        .ok()
        .map(|w| w.remote_exception);
    let class = read
        .as_ref()
        .and_then(|r| Class::of(&r.java_class_name))
        .unwrap_or(Class::Yarn);
    Fault::new(class, read.map_or(status.to_string(), |r| r.message))
}

/// Checks the invariants of applications and containers.
#[derive(Default)]
pub struct Checks {
    pub broken: BTreeMap<&'static str, String>,
    /// The most advanced state of each application that a client was told, and when.
    latest_states: BTreeMap<String, (ApplicationState, u64)>,
    /// How often each native job was accepted.
    pub accepts: BTreeMap<String, u32>,
    /// The attempt to which each container was assigned, by application and container.
    assigned_containers: BTreeMap<(i32, i64), String>,
    /// Task and attempt in which each container was started.
    started_containers: BTreeMap<(String, i64), (String, u64)>,
    pub new_ids: BTreeSet<String>,
    /// Number of masters that were told to exit because their attempt was superseded or the application was over.
    pub fenced: u64,
    /// Attempts that have registered, and when.
    registered_attempts: BTreeMap<String, u64>,
    /// Queues that an operator was told are drained, and since when.
    drained_queues: Vec<(String, u64)>,
    pub containers_done: u64,
    /// Number of containers that masters could not start.
    pub starts_refused: usize,
}

impl Checks {
    fn breaks(&mut self, rule: &'static str, what: String) {
        self.broken.entry(rule).or_insert(what);
    }

    /// Checks that a native job is accepted only once.
    pub fn accepted(&mut self, job: &str) {
        let n = self.accepts.entry(job.to_owned()).or_default();
        *n += 1;
        let n = *n;
        if n > 1 {
            self.breaks("placed_twice", format!("{job} was accepted {n} times"));
        }
    }

    fn check_state(&mut self, id: &str, state: ApplicationState, asked: u64, now: u64) {
        let known = self.latest_states.get(id).copied();
        // An answer to a call from before the latest known answer may show an older state.
        if let Some((before, at)) = known.filter(|(_, at)| *at < asked) {
            let final_before = before as i32 >= ApplicationState::Finished as i32;
            if (final_before && state != before) || (state as i32) < before as i32 {
                self.breaks(
                    "went_back",
                    format!("{now}: {id} was {before:?} at {at}, then {state:?}"),
                );
            }
        }
        if known.is_none_or(|(before, _)| before as i32 <= state as i32) {
            self.latest_states.insert(id.to_owned(), (state, now));
        }
    }

    fn check_new_id(&mut self, id: String) {
        if !self.new_ids.insert(id.clone()) {
            self.breaks("id_given_twice", id);
        }
    }

    /// Whether a later attempt of the same application has registered.
    fn has_successor(&self, master: &str) -> bool {
        let app = |name: &str| name.rsplit_once('_').map(|(app, _)| app.to_owned());
        self.registered_attempts
            .keys()
            .any(|m| app(m) == app(master) && m.as_str() > master)
    }

    /// Checks that no accepted submission was first tried after its queue had been drained.
    fn check_not_drained(&mut self, queue: &str, tried: u64, now: u64) {
        if self
            .drained_queues
            .iter()
            .any(|(q, since)| q == queue && tried > *since)
        {
            self.breaks(
                "drain_ignored",
                format!("{now}: {queue} accepted a submission first tried at {tried}"),
            );
        }
    }

    /// Checks that a container in an answer that reached a master was assigned only once.
    fn check_assigned(&mut self, master: &str, container: ContainerId) {
        let app = container
            .app_attempt_id
            .and_then(|a| a.application_id)
            .unwrap_or_default();
        let whole = (app.id, container.id);
        if let Some(before) = self.assigned_containers.insert(whole, master.to_owned()) {
            self.breaks(
                "container_given_twice",
                format!("{container} was assigned to {before} and to {master}"),
            );
        }
    }

    fn check_started(&mut self, container: i64, task: &str, attempt: u64) {
        let here = (task.to_owned(), attempt);
        let app = task.get(..15).unwrap_or_default().to_owned();
        let before = self
            .started_containers
            .entry((app, container))
            .or_insert_with(|| here.clone());
        if *before != here {
            let what = format!("{container} was started in {before:?} and in {here:?}");
            self.breaks("container_ran_twice", what);
        }
    }
}

/// A client with one application to run.
#[derive(Debug, Clone)]
pub struct Client {
    pub user: String,
    pub queue: String,
    pub kind: String,
    /// Uses REST instead of RPC.
    pub web: bool,
    /// When it submits.
    pub at: u64,
    /// Kills its application this long after it received the application ID.
    pub kill_after: Option<u64>,
    /// Repeats its submission this long after it was accepted.
    pub repeat_after: Option<u64>,
    /// Job of the application's master, its priority, and its GPUs.
    pub tally: Tally,
    pub priority: i32,
    pub gpus: i64,
    /// Bytes of padding in the launch context.
    pub padding: usize,
    /// Runs the application master itself.
    pub unmanaged: bool,
    master: Option<Box<ApplicationMaster>>,
    pub id: Option<ApplicationId>,
    pub state: Option<ApplicationState>,
    pub outcome: Option<i32>,
    /// Fault with which the submission was finally refused.
    pub refused: Option<Fault>,
    submitted: bool,
    kill_at: Option<u64>,
    repeat_at: Option<u64>,
    next_call_at: u64,
    busy: Option<u64>,
    last_call: ClientCall,
    /// After a lost answer to a submission, queries the application instead of submitting again.
    pub gives_up: bool,
    /// Interval and number of queries after the application is over.
    pub looks_back: Option<(u64, u32)>,
    /// When it first submitted, and when the submission was accepted.
    first_submitted_at: Option<u64>,
    accepted_at: Option<u64>,
    /// Number of lost answers to submissions.
    pub lost: u32,
    pub submissions: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientCall {
    New,
    Submit,
    Report,
    Kill,
}

/// A job in stages: number of containers in each stage, and run time of a container. Without stages, a plain process
/// that speaks to nobody.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    pub stages: Vec<u32>,
    pub run_ms: u64,
    /// Attempts up to this number fail.
    pub fails: u32,
}

impl Client {
    pub fn new(user: &str, queue: &str, at: u64, tally: Tally) -> Client {
        Client {
            user: user.into(),
            queue: queue.into(),
            kind: "TALLY".into(),
            web: false,
            at,
            kill_after: None,
            repeat_after: None,
            tally,
            priority: 0,
            gpus: 0,
            padding: 0,
            unmanaged: false,
            master: None,
            id: None,
            state: None,
            outcome: None,
            refused: None,
            submitted: false,
            kill_at: None,
            repeat_at: None,
            next_call_at: at,
            busy: None,
            last_call: ClientCall::New,
            gives_up: false,
            looks_back: None,
            first_submitted_at: None,
            accepted_at: None,
            lost: 0,
            submissions: 0,
        }
    }

    /// Shifts its times by `start`.
    pub fn starts_at(&mut self, start: u64) {
        self.at += start;
        self.next_call_at = self.at;
    }

    pub fn is_over(&self) -> bool {
        self.refused.is_some()
            || self
                .state
                .is_some_and(|s| s as i32 >= ApplicationState::Finished as i32)
    }

    pub fn context(&self) -> ApplicationSubmissionContext {
        let command = format!(
            "tally {:?} {} {}",
            self.tally.stages, self.tally.run_ms, self.tally.fails
        );
        let padding = StringString {
            key: "PADDING".into(),
            value: Some("x".repeat(self.padding)),
        };
        let environment = if self.padding > 0 {
            vec![padding]
        } else {
            Vec::new()
        };
        let launch = ContainerLaunchContext {
            command: vec![command],
            environment,
            ..ContainerLaunchContext::default()
        };
        let gpus = ResourceInformation {
            key: GPUS.into(),
            value: Some(self.gpus),
            units: None,
        };
        let values = if self.gpus > 0 {
            vec![gpus]
        } else {
            Vec::new()
        };
        let resource = Resource {
            memory: Some(1024),
            virtual_cores: Some(1),
            values,
        };
        ApplicationSubmissionContext {
            priority: Some(Priority {
                priority: self.priority,
            }),
            application_id: self.id,
            application_name: Some("tally".into()),
            queue: Some(self.queue.clone()),
            am_container_spec: Some(launch),
            resource: Some(resource),
            application_type: Some(self.kind.clone()),
            unmanaged_am: Some(self.unmanaged),
            max_app_attempts: Some(3),
            ..ApplicationSubmissionContext::default()
        }
    }

    fn submission(&self) -> rest::Submission {
        let context = self.context();
        let command = context
            .am_container_spec
            .and_then(|l| l.command.first().cloned())
            .unwrap_or_default();
        let gpus = rest::Information {
            name: GPUS.into(),
            value: self.gpus,
            units: String::new(),
        };
        let named = (self.gpus > 0).then(|| rest::Informations { each: vec![gpus] });
        rest::Submission {
            application_id: self.id.unwrap_or_default().to_string(),
            application_name: "tally".into(),
            queue: self.queue.clone(),
            am_container_spec: rest::Launch {
                commands: rest::Commands { command },
                ..rest::Launch::default()
            },
            priority: self.priority,
            resource: rest::Capability {
                memory: 1024,
                vcores: 1,
                named,
            },
            application_type: self.kind.clone(),
            max_app_attempts: 3,
            ..rest::Submission::default()
        }
    }

    /// Time from the first submission until it was accepted.
    pub fn accepted_after(&self) -> Option<u64> {
        self.accepted_at
            .zip(self.first_submitted_at)
            .map(|(accepted, first)| accepted - first)
    }

    /// The next call, if one is due: its own, or one of the application master that it runs.
    fn ask(&mut self, now: u64) -> Option<Ask> {
        if let Some(master) = &mut self.master {
            return master.ask(now);
        }
        if self.busy.is_some() || now < self.next_call_at {
            return None;
        }
        let repeats = self.repeat_at.is_some_and(|at| now >= at);
        let kills = self.kill_at.is_some_and(|at| now >= at) && self.id.is_some() && self.submitted;
        let looks = self.looks_back.is_some_and(|(_, n)| n > 0);
        if self.is_over() && !repeats && !looks {
            return None;
        }
        self.busy = Some(now);
        self.last_call = match self.id {
            None => ClientCall::New,
            Some(_)
                if repeats
                    || !(self.submitted || self.gives_up && self.first_submitted_at.is_some()) =>
            {
                ClientCall::Submit
            }
            Some(_) if kills => ClientCall::Kill,
            Some(_) => ClientCall::Report,
        };
        if self.last_call == ClientCall::Submit {
            self.first_submitted_at.get_or_insert(now);
        }
        Some(if self.web {
            self.web_ask()
        } else {
            self.rpc_ask()
        })
    }

    fn rpc_ask(&mut self) -> Ask {
        let id = self.id;
        let (method, body) = match self.last_call {
            ClientCall::New => ("getNewApplication", Vec::new()),
            ClientCall::Submit => {
                self.submissions += 1;
                let submit = SubmitApplicationRequest {
                    context: Some(self.context()),
                };
                ("submitApplication", submit.encode_to_vec())
            }
            ClientCall::Report => (
                "getApplicationReport",
                GetApplicationReportRequest { application_id: id }.encode_to_vec(),
            ),
            ClientCall::Kill => {
                let kill = KillApplicationRequest {
                    application_id: id,
                    diagnostics: None,
                };
                ("forceKillApplication", kill.encode_to_vec())
            }
        };
        Ask::Rpc {
            user: self.user.clone(),
            token: None,
            protocol: rpc::CLIENT_PROTOCOL,
            method,
            body,
        }
    }

    fn web_ask(&mut self) -> Ask {
        let apps = format!("{}/apps", rest::ROOT);
        let id = self.id.map(|i| i.to_string()).unwrap_or_default();
        let user = format!("?user.name={}", self.user);
        let (method, target, body) = match self.last_call {
            ClientCall::New => ("POST", format!("{apps}/new-application{user}"), Vec::new()),
            ClientCall::Submit => {
                self.submissions += 1;
                (
                    "POST",
                    format!("{apps}{user}"),
                    rest::render(Form::Json, "", true, &self.submission()),
                )
            }
            ClientCall::Report => ("GET", format!("{apps}/{id}{user}"), Vec::new()),
            ClientCall::Kill => {
                let body = rest::render(
                    Form::Json,
                    "",
                    true,
                    &rest::AppState {
                        state: "KILLED".into(),
                    },
                );
                ("PUT", format!("{apps}/{id}/state{user}"), body)
            }
        };
        Ask::Web {
            method,
            target,
            body,
        }
    }

    fn answer(&mut self, now: u64, answer: Answer, checks: &mut Checks) {
        if let Some(master) = &mut self.master {
            master.answer(now, answer, checks);
            if master.exit.is_some() {
                self.master = None;
            }
            return;
        }
        let asked = self.busy.take().unwrap_or(now);
        self.next_call_at = now + 700;
        match (self.last_call, answer) {
            (ClientCall::Submit, None) => self.lost += 1,
            (_, None) => {}
            (_, Some(Err(fault))) if fault.class.is_passing() => {}
            (ClientCall::New, Some(Ok(body))) => {
                self.id = self.read_id(&body);
                checks.check_new_id(self.id.unwrap_or_default().to_string());
                self.kill_at = self.kill_after.map(|ms| now + ms);
                self.next_call_at = now;
            }
            (ClientCall::Submit, Some(Ok(_))) => {
                if !self.submitted || self.repeat_at.take().is_none() {
                    self.repeat_at = self.repeat_after.map(|ms| now + ms);
                }
                checks.check_not_drained(&self.queue, self.first_submitted_at.unwrap_or(now), now);
                self.accepted_at.get_or_insert(now);
                self.submitted = true;
            }
            (ClientCall::Submit, Some(Err(fault))) => {
                self.repeat_at = None;
                if !self.submitted {
                    self.refused = Some(fault);
                }
            }
            (ClientCall::Kill, Some(Ok(_))) => self.kill_at = None,
            (ClientCall::Report, Some(Ok(body))) => self.handle_report(&body, asked, now, checks),
            (ClientCall::Report, Some(Err(fault))) if fault.class == Class::ApplicationNotFound => {
                let id = self.id.unwrap_or_default();
                if !self.submitted {
                    self.refused = Some(fault);
                    return;
                }
                checks.breaks("forgotten", format!("{now}: {id} is not known"));
            }
            _ => {}
        }
    }

    /// Starts the master of an unmanaged application with the token from its report.
    fn begin_master(
        &mut self,
        token: Option<&Token>,
        attempt: Option<ApplicationAttemptId>,
        now: u64,
    ) {
        if let (true, Some(token), Some(attempt)) = (self.unmanaged, token, attempt) {
            let master = ApplicationMaster::new(
                attempt.to_string(),
                token.clone(),
                self.tally.clone(),
                false,
                now,
            );
            self.master = Some(Box::new(master));
        }
    }

    fn read_id(&self, body: &[u8]) -> Option<ApplicationId> {
        if self.web {
            let new: rest::NewApplication = rest::read(Form::Json, body).ok()?;
            return ApplicationId::parse(&new.application_id);
        }
        GetNewApplicationResponse::decode(body).ok()?.application_id
    }

    fn handle_report(&mut self, body: &[u8], asked: u64, now: u64, checks: &mut Checks) {
        #[derive(serde::Deserialize)]
        struct Wrapped {
            app: rest::App,
        }
        let read = if self.web {
            rest::read::<Wrapped>(Form::Json, body)
                .ok()
                .map(|w| (parse_state(&w.app.state), w.app.final_status))
        } else {
            let report = GetApplicationReportResponse::decode(body)
                .ok()
                .and_then(|r| r.report);
            report.map(|r| {
                self.outcome = r.final_application_status;
                self.begin_master(
                    r.am_rm_token.as_ref(),
                    r.current_application_attempt_id,
                    now,
                );
                let state = r
                    .yarn_application_state
                    .and_then(|s| ApplicationState::try_from(s).ok());
                (state, String::new())
            })
        };
        let Some((Some(state), _)) = read else { return };
        checks.check_state(&self.id.unwrap_or_default().to_string(), state, asked, now);
        if let Some((ms, n)) = self
            .looks_back
            .as_mut()
            .filter(|_| state as i32 >= ApplicationState::Finished as i32)
        {
            *n = n.saturating_sub(1);
            self.next_call_at = now + *ms;
        }
        self.state = Some(state);
    }
}

fn parse_state(name: &str) -> Option<ApplicationState> {
    let all = (1..=8).filter_map(|n| ApplicationState::try_from(n).ok());
    all.into_iter()
        .find(|s| format!("{s:?}").eq_ignore_ascii_case(&name.replace('_', "")))
}

/// A running task of one of the gateway's jobs.
pub struct Runner {
    pub job: String,
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
    pub zone: String,
    resources: (i64, i32, i64),
    next_call_at: u64,
    busy: bool,
    container: Option<i64>,
    container_attempt: Option<u32>,
    /// When the running process ends.
    process_ends_at: Option<u64>,
    master: Option<Box<ApplicationMaster>>,
    exit: Option<i32>,
    /// Ignores the first answer that tells it to leave.
    pub deaf: bool,
    /// Whether the task ended as done; `None` while it runs.
    pub over: Option<bool>,
}

impl Runner {
    pub fn new(
        job: &wire::api::JobSpec,
        task: u32,
        attempt: u64,
        machine: &str,
        zone: &str,
        now: u64,
    ) -> Runner {
        Runner {
            job: job.id.clone(),
            task,
            attempt,
            machine: machine.into(),
            zone: zone.into(),
            resources: (
                (job.mem_gb * 1024.0) as i64,
                job.cores as i32,
                job.gpus as i64,
            ),
            next_call_at: now,
            busy: false,
            container: None,
            container_attempt: None,
            process_ends_at: None,
            master: None,
            exit: None,
            deaf: false,
            over: None,
        }
    }

    /// Whether it runs a container.
    pub fn holds(&self) -> bool {
        !self.is_master() && self.process_ends_at.is_some() && self.over.is_none()
    }

    fn is_master(&self) -> bool {
        self.job.ends_with("0000000")
    }

    /// The next call, if one is due, and whether it comes from the application master that it runs.
    fn ask(&mut self, now: u64) -> Option<(bool, Ask)> {
        if let Some(master) = &mut self.master {
            if let Some(status) = master.exit {
                self.exit.get_or_insert(status);
                self.next_call_at = self.next_call_at.min(now);
            }
            if let Some(ask) = master.ask(now) {
                return Some((true, ask));
            }
        }
        if self.process_ends_at.is_some_and(|until| now >= until) && self.exit.is_none() {
            self.exit = Some(0);
            self.next_call_at = now;
        }
        if self.busy || now < self.next_call_at || self.over.is_some() {
            return None;
        }
        self.busy = true;
        let check_in = CheckIn {
            job: self.job.clone(),
            task: self.task,
            tried: self.attempt,
            machine: self.machine.clone(),
            zone: self.zone.clone(),
            memory_mb: self.resources.0,
            cores: self.resources.1,
            gpus: self.resources.2,
            container: self.container,
            attempt: self.container_attempt,
            running: self.process_ends_at.is_some() || self.master.is_some(),
            exit: self.exit,
            ..CheckIn::default()
        };
        let body = rest::render(Form::Json, "", true, &check_in);
        let target = format!("{}/checkin", gateway::book::web::OWN);
        Some((
            false,
            Ask::Web {
                method: "POST",
                target,
                body,
            },
        ))
    }

    fn handle_answer(&mut self, now: u64, answer: Answer, checks: &mut Checks) {
        self.busy = false;
        self.next_call_at = now + 1000;
        let Some(Ok(body)) = answer else { return };
        let Ok(told) = rest::read::<Told>(Form::Json, &body) else {
            return;
        };
        self.next_call_at = now + (told.again_s * 1000.0) as u64;
        match told.what {
            Do::Wait => {}
            Do::Leave if std::mem::take(&mut self.deaf) => {}
            Do::Leave => self.over = Some(true),
            Do::Fail => self.over = Some(false),
            Do::Run => self.run(now, &told, checks),
        }
    }

    fn run(&mut self, now: u64, told: &Told, checks: &mut Checks) {
        let Some(launch) = told
            .launch
            .as_ref()
            .filter(|_| self.process_ends_at.is_none() && self.master.is_none())
        else {
            return;
        };
        let launch = BASE64.decode(launch).unwrap_or_default();
        let launch = ContainerLaunchContext::decode(launch.as_slice()).unwrap_or_default();
        let command = launch.command.first().cloned().unwrap_or_default();
        (self.container, self.container_attempt) = (told.container, told.attempt);
        if let Some(container) = told.container {
            checks.check_started(
                container,
                &wire::ids::task_name(&self.job, self.task),
                self.attempt,
            );
        }
        if self.is_master() {
            self.master = ApplicationMaster::begin(&command, &told.environment, now).map(Box::new);
            if self.master.as_ref().is_some_and(|m| m.has_no_stages()) {
                self.process_ends_at = Some(now + self.master.take().map_or(0, |m| m.tally.run_ms));
            }
        } else {
            let ms = command
                .rsplit(' ')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(1000);
            self.process_ends_at = Some(now + ms);
        }
        // Reports the start at once.
        self.next_call_at = now + 50;
    }
}

/// State of one item of a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ItemState {
    Unassigned,
    Assigned(i64),
    Done,
}

/// An application master that runs a [`Tally`]: one container for each item of a stage, and another if it is lost.
#[derive(Debug, Clone)]
pub struct ApplicationMaster {
    name: String,
    token: Token,
    pub tally: Tally,
    stage: usize,
    items: Vec<ItemState>,
    registered: bool,
    response_id: i32,
    /// The latest heartbeat, repeated until it is answered.
    unanswered_heartbeat: Option<AllocateRequest>,
    /// Whether the next heartbeat has to request containers for the unassigned items.
    must_request: bool,
    release: Vec<ContainerId>,
    containers_to_start: Vec<Container>,
    finished: bool,
    busy: Option<&'static str>,
    next_call_at: u64,
    pub exit: Option<i32>,
}

impl ApplicationMaster {
    fn begin(
        command: &str,
        environment: &BTreeMap<String, String>,
        now: u64,
    ) -> Option<ApplicationMaster> {
        let mut parts = command.strip_prefix("tally [")?.split("] ");
        let stages = parts
            .next()?
            .split(", ")
            .filter_map(|n| n.parse().ok())
            .collect();
        let mut numbers = parts
            .next()?
            .split(' ')
            .filter_map(|n| n.parse::<u64>().ok());
        let tally = Tally {
            stages,
            run_ms: numbers.next()?,
            fails: numbers.next()? as u32,
        };
        let bytes = |name: &str| {
            environment
                .get(name)
                .and_then(|v| BASE64.decode(v).ok())
                .unwrap_or_default()
        };
        let token = Token {
            identifier: bytes("YARN_TOKEN_IDENTIFIER"),
            password: bytes("YARN_TOKEN_PASSWORD"),
            kind: token::KIND.into(),
            service: String::new(),
        };
        let name = environment.get("APPLICATION_ATTEMPT_ID")?.clone();
        let attempt = ApplicationAttemptId::parse(&name)?.attempt_id;
        let fails = attempt <= tally.fails as i32;
        Some(ApplicationMaster::new(name, token, tally, fails, now))
    }

    fn new(name: String, token: Token, tally: Tally, fails: bool, now: u64) -> ApplicationMaster {
        let items =
            vec![ItemState::Unassigned; tally.stages.first().copied().unwrap_or(0) as usize];
        ApplicationMaster {
            name,
            token,
            tally,
            stage: 0,
            items,
            registered: false,
            response_id: 0,
            unanswered_heartbeat: None,
            must_request: true,
            release: Vec::new(),
            containers_to_start: Vec::new(),
            finished: false,
            busy: None,
            next_call_at: now + 200,
            exit: fails.then_some(1),
        }
    }

    /// Whether it is a plain process that speaks to nobody.
    fn has_no_stages(&self) -> bool {
        self.tally.stages.is_empty()
    }

    fn rpc(&self, protocol: &'static str, method: &'static str, body: Vec<u8>) -> Ask {
        Ask::Rpc {
            user: "master".into(),
            token: Some(self.token.clone()),
            protocol,
            method,
            body,
        }
    }

    fn ask(&mut self, now: u64) -> Option<Ask> {
        if self.busy.is_some() || now < self.next_call_at || self.exit.is_some() {
            return None;
        }
        let (protocol, method, body) = if !self.registered {
            let register = RegisterRequest {
                host: Some("h".into()),
                rpc_port: Some(1),
                tracking_url: Some("http://h/t".into()),
            };
            (
                rpc::MASTER_PROTOCOL,
                "registerApplicationMaster",
                register.encode_to_vec(),
            )
        } else if self.finished {
            let finish = FinishRequest {
                diagnostics: Some("counted".into()),
                tracking_url: None,
                final_status: Some(FinalStatus::Succeeded as i32),
            };
            (
                rpc::MASTER_PROTOCOL,
                "finishApplicationMaster",
                finish.encode_to_vec(),
            )
        } else if !self.containers_to_start.is_empty() {
            let launch = |ms| ContainerLaunchContext {
                command: vec![format!("count {ms}")],
                ..ContainerLaunchContext::default()
            };
            let start = |c: &Container| StartContainer {
                context: Some(launch(self.tally.run_ms)),
                container_token: c.container_token.clone(),
            };
            let requests = self
                .containers_to_start
                .iter()
                .take(20)
                .map(start)
                .collect();
            (
                rpc::CONTAINER_PROTOCOL,
                "startContainers",
                StartContainersRequest { requests }.encode_to_vec(),
            )
        } else {
            (
                rpc::MASTER_PROTOCOL,
                "allocate",
                self.heartbeat().encode_to_vec(),
            )
        };
        self.busy = Some(method);
        Some(self.rpc(protocol, method, body))
    }

    /// The next heartbeat; the same one again until it is answered.
    fn heartbeat(&mut self) -> AllocateRequest {
        if let Some(heartbeat) = &self.unanswered_heartbeat {
            return heartbeat.clone();
        }
        let mut ask = Vec::new();
        if std::mem::take(&mut self.must_request) {
            let open = self
                .items
                .iter()
                .filter(|i| **i == ItemState::Unassigned)
                .count() as i32;
            ask.push(ResourceRequest {
                priority: Some(Priority { priority: 1 }),
                resource_name: Some(ANY.into()),
                capability: Some(Resource {
                    memory: Some(512),
                    virtual_cores: Some(1),
                    values: Vec::new(),
                }),
                num_containers: Some(open),
                ..ResourceRequest::default()
            });
        }
        let heartbeat = AllocateRequest {
            ask,
            release: std::mem::take(&mut self.release),
            response_id: Some(self.response_id),
            progress: Some(0.5),
            ..AllocateRequest::default()
        };
        self.unanswered_heartbeat = Some(heartbeat.clone());
        heartbeat
    }

    fn answer(&mut self, now: u64, answer: Answer, checks: &mut Checks) {
        let Some(method) = self.busy.take() else {
            return;
        };
        self.next_call_at = now + 1000;
        let body = match answer {
            Some(Ok(body)) => body,
            Some(Err(fault)) => return self.handle_refusal(method, &fault, now, checks),
            None => return,
        };
        match method {
            "registerApplicationMaster" => {
                checks.registered_attempts.insert(self.name.clone(), now);
                self.registered = true;
                self.response_id = 0;
                self.unanswered_heartbeat = None;
                self.must_request = true;
                self.next_call_at = now;
            }
            "finishApplicationMaster" => {
                if FinishResponse::decode(body.as_slice())
                    .is_ok_and(|r| r.is_unregistered == Some(true))
                {
                    self.exit = Some(0);
                }
            }
            "startContainers" => self.handle_started(&body, checks),
            _ => self.handle_allocated(&body, checks),
        }
    }

    fn handle_refusal(&mut self, method: &str, fault: &Fault, now: u64, checks: &mut Checks) {
        match fault.class {
            Class::NotRegistered => {
                self.registered = false;
                self.next_call_at = now;
            }
            // A later attempt has taken over, or the application is over.
            Class::AttemptNotFound => {
                checks.fenced += 1;
                self.exit = Some(3);
            }
            _ if method == "startContainers" && !fault.class.is_passing() => {
                self.containers_to_start.clear()
            }
            _ => {}
        }
    }

    fn handle_started(&mut self, body: &[u8], checks: &mut Checks) {
        let Ok(answer) = StartContainersResponse::decode(body) else {
            return;
        };
        let n = self.containers_to_start.len().min(20);
        self.containers_to_start.drain(..n);
        checks.starts_refused += answer.failed.len();
        for failed in answer.failed {
            self.handle_lost_container(failed.container_id.unwrap_or_default().id);
        }
    }

    fn handle_lost_container(&mut self, container: i64) {
        for item in self
            .items
            .iter_mut()
            .filter(|i| **i == ItemState::Assigned(container))
        {
            *item = ItemState::Unassigned;
            self.must_request = true;
        }
        self.containers_to_start
            .retain(|c| c.id.is_none_or(|id| id.id != container));
    }

    fn handle_allocated(&mut self, body: &[u8], checks: &mut Checks) {
        let Ok(answer) = AllocateResponse::decode(body) else {
            return;
        };
        self.unanswered_heartbeat = None;
        self.response_id = answer.response_id.unwrap_or(0);
        for c in answer.allocated {
            let id = c.id.unwrap_or_default();
            checks.check_assigned(&self.name, id);
            match self.items.iter_mut().find(|i| **i == ItemState::Unassigned) {
                Some(item) => {
                    *item = ItemState::Assigned(id.id);
                    self.containers_to_start.push(c);
                }
                None => self.release.push(id),
            }
        }
        for done in answer.completed {
            let id = done.container_id.unwrap_or_default().id;
            if done.exit_status == Some(0) {
                let item = self
                    .items
                    .iter_mut()
                    .find(|i| **i == ItemState::Assigned(id));
                if let Some(item) = item {
                    *item = ItemState::Done;
                    checks.containers_done += 1;
                }
            } else {
                self.handle_lost_container(id);
            }
        }
        if self.items.iter().all(|i| *i == ItemState::Done) {
            self.stage += 1;
            match self.tally.stages.get(self.stage) {
                Some(n) => {
                    self.items = vec![ItemState::Unassigned; *n as usize];
                    self.must_request = true;
                }
                None => self.finished = true,
            }
        }
    }
}

/// An operator who drains a queue, and repeats the request until it is answered.
pub struct Drain {
    at: u64,
    ask: gateway::book::web::DrainAsk,
    busy: bool,
    pub done: bool,
}

impl Drain {
    pub fn new(at: u64, ask: gateway::book::web::DrainAsk) -> Drain {
        Drain {
            at,
            ask,
            busy: false,
            done: false,
        }
    }

    fn ask(&mut self, now: u64) -> Option<Ask> {
        if self.busy || self.done || now < self.at {
            return None;
        }
        self.busy = true;
        let target = format!("{}/drains?user.name=operator", gateway::book::web::OWN);
        Some(Ask::Web {
            method: "PUT",
            target,
            body: rest::render(Form::Json, "", true, &self.ask),
        })
    }

    fn answer(&mut self, now: u64, answer: Answer, checks: &mut Checks) {
        (self.busy, self.at) = (false, now + 500);
        if let Some(Ok(_)) = answer {
            self.done = true;
            checks.drained_queues.retain(|(q, _)| *q != self.ask.queue);
            if !self.ask.off {
                checks.drained_queues.push((self.ask.queue.clone(), now));
            }
        }
    }
}

/// Originator of a call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    Client(usize),
    Runner(String, u64),
    Master(String, u64),
    OrphanedMaster(usize),
    /// The test itself.
    Test,
    Operator(usize),
}

/// All YARN fakes of one simulation.
#[derive(Default)]
pub struct Stage {
    pub clients: Vec<Client>,
    /// By task and attempt.
    pub runners: BTreeMap<(String, u64), Runner>,
    pub checks: Checks,
    pub drains: Vec<Drain>,
    /// Number of calls by result.
    pub answers: BTreeMap<String, u64>,
    /// Result of the test's own call.
    pub answered: Option<Answer>,
    /// Whether masters go on after their tasks have gone; these are in `orphaned_masters`.
    pub undead: bool,
    pub orphaned_masters: Vec<ApplicationMaster>,
}

impl Stage {
    /// Removes runners whose tasks are gone.
    pub fn gone(&mut self, here: &std::collections::HashSet<(String, u64)>) {
        let gone: Vec<_> = self
            .runners
            .keys()
            .filter(|k| !here.contains(k))
            .cloned()
            .collect();
        for key in gone {
            let master = self.runners.remove(&key).and_then(|r| r.master);
            let alive = master.filter(|m| self.undead && m.exit.is_none() && m.registered);
            self.orphaned_masters.extend(alive.map(|m| *m));
        }
    }

    /// All calls that are due, with their originators.
    pub fn due(&mut self, now: u64) -> Vec<(Who, Ask)> {
        let mut out = Vec::new();
        for (i, client) in self.clients.iter_mut().enumerate() {
            out.extend(client.ask(now).map(|ask| (Who::Client(i), ask)));
        }
        for ((task, attempt), runner) in &mut self.runners {
            if let Some((master, ask)) = runner.ask(now) {
                let who = if master { Who::Master } else { Who::Runner };
                out.push((who(task.clone(), *attempt), ask));
            }
        }
        for (i, master) in self.orphaned_masters.iter_mut().enumerate() {
            out.extend(master.ask(now).map(|ask| (Who::OrphanedMaster(i), ask)));
        }
        for (i, drain) in self.drains.iter_mut().enumerate() {
            out.extend(drain.ask(now).map(|ask| (Who::Operator(i), ask)));
        }
        out
    }

    pub fn answer(&mut self, now: u64, who: &Who, answer: Answer) {
        let what = match &answer {
            None => "no answer".to_owned(),
            Some(Ok(_)) => "served".to_owned(),
            Some(Err(fault)) => fault.message.clone(),
        };
        if self.answers.len() < 100 || self.answers.contains_key(&what) {
            *self.answers.entry(what).or_default() += 1;
        }
        match who {
            Who::Client(i) => self.clients[*i].answer(now, answer, &mut self.checks),
            Who::Test => self.answered = Some(answer),
            Who::Operator(i) => self.drains[*i].answer(now, answer, &mut self.checks),
            Who::OrphanedMaster(i) => {
                let master = &mut self.orphaned_masters[*i];
                if matches!(answer, Some(Ok(_))) && self.checks.has_successor(&master.name) {
                    self.checks
                        .breaks("zombie_served", format!("{now}: {}", master.name));
                }
                master.answer(now, answer, &mut self.checks);
            }
            Who::Runner(task, attempt) => {
                if let Some(runner) = self.runners.get_mut(&(task.clone(), *attempt)) {
                    runner.handle_answer(now, answer, &mut self.checks);
                }
            }
            Who::Master(task, attempt) => {
                let runner = self.runners.get_mut(&(task.clone(), *attempt));
                if let Some(master) = runner.and_then(|r| r.master.as_mut()) {
                    master.answer(now, answer, &mut self.checks);
                }
            }
        }
    }
}
