//! One suite of placement expectations for native users and for YARN's clients, by RPC and by REST: the same core, the
//! same limits, the same repeats. And what a client of YARN's may do with masters and containers besides.

use gateway::Config;
use prost::Message;
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, World};
use standins::yarn::{Client, Exchange, Next, Tally};
use wire::api::{JobSpec, Priority};
use yarn::error::Class;
use yarn::master::*;
use yarn::proto::*;
use yarn::rpc;

/// How work comes in.
#[derive(Debug, Clone, Copy, PartialEq)]
enum By {
    Native,
    Rpc,
    Rest,
}

const ALL: [By; 3] = [By::Native, By::Rpc, By::Rest];

fn scene() -> Scene {
    let config = Config::parse("[work]\nmaster_s = 5\n[most]\nper_user = 1000\n").expect("good");
    let scene = Scene {
        machines: 2,
        yarn: Some(config),
        ..Scene::default()
    };
    scene.team("red", 2.0, 4.0).team("blue", 2.0, 0.0)
}

fn world(seed: u64, scene: Scene) -> World {
    World::new(Plan::of_scene(seed, 3, scene, 60_000, 300_000))
}

/// One task for a team, as each door carries it.
fn submit(scene: &mut Scene, by: By, i: u32, team: &str, at: u64, gpus: f64, priority: Priority) {
    if by == By::Native {
        let spec = JobSpec {
            gpus,
            cores: 1.0,
            mem_gb: 1.0,
            priority,
            checkpoint_s: 0.0,
            ..array(i, team, 1, 5.0)
        };
        scene.jobs.push(Timed {
            at,
            run_ms: 5000,
            cancel_ms: None,
            spec,
        });
        return;
    }
    let tool = Tally {
        stages: Vec::new(),
        run_ms: 5000,
        fails: 0,
    };
    let mut client = Client::new("ann", team, at, tool);
    (client.web, client.gpus) = (by == By::Rest, gpus as i64);
    client.priority = if priority == Priority::High { 9 } else { 0 };
    scene.clients.push(client);
}

/// When the tasks of a job first ran, in order of submission.
fn began(world: &World, by: By) -> Vec<Option<u64>> {
    let native = |id: &String| {
        if by == By::Native {
            !id.starts_with("job-9")
        } else {
            id.ends_with("0000000")
        }
    };
    let jobs = world.rules.jobs.keys().filter(|id| native(id));
    jobs.map(|id| world.began.get(&wire::ids::task_name(id, 0)).copied())
        .collect()
}

fn most_at_once(world: &mut World, ms: u64) -> usize {
    let mut most = 0;
    for _ in 0..ms / 200 {
        world.run_for(200);
        most = most.max(world.on_machines().len());
        assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
        assert!(
            world.yarn.checks.broken.is_empty(),
            "{:?}",
            world.yarn.checks.broken
        );
    }
    most
}

#[test]
fn a_teams_limit_holds_for_all() {
    for by in ALL {
        let mut scene = scene();
        (0..10).for_each(|i| submit(&mut scene, by, i, "red", 2000, 1.0, Priority::Normal));
        let mut world = world(1, scene);
        assert_eq!(most_at_once(&mut world, 60_000), 4, "{by:?}");
        assert!(
            began(&world, by).iter().all(Option::is_some),
            "{by:?}: all ran"
        );
    }
}

#[test]
fn what_can_never_run_is_refused_by_all() {
    for by in ALL {
        let mut scene = scene();
        submit(&mut scene, by, 1, "red", 2000, 9.0, Priority::Normal);
        let mut world = world(2, scene);
        most_at_once(&mut world, 20_000);
        assert!(began(&world, by).iter().all(Option::is_none), "{by:?}");
        if by != By::Native {
            let refused = world.yarn.clients[0].refused.as_ref().map(|f| f.class);
            assert_eq!(refused, Some(Class::InvalidRequest), "{by:?}");
        }
    }
}

#[test]
fn the_urgent_go_first_for_all() {
    for by in ALL {
        let mut scene = scene();
        // All room is taken when both come; the urgent one has what is given back first.
        (0..8).for_each(|i| submit(&mut scene, by, i, "blue", 2000, 1.0, Priority::Normal));
        submit(&mut scene, by, 8, "blue", 8000, 4.0, Priority::Normal);
        submit(&mut scene, by, 9, "blue", 8200, 4.0, Priority::High);
        let mut world = world(3, scene);
        most_at_once(&mut world, 80_000);
        let began = began(&world, by);
        assert!(began.iter().all(Option::is_some), "{by:?}: {began:?}");
        assert!(began[9] <= began[8], "{by:?}: {began:?}");
    }
}

/// Calls of one client, one after the other, at a node that runs.
struct Caller<'a> {
    world: &'a mut World,
    user: &'static str,
    token: Option<Token>,
}

impl Caller<'_> {
    fn call<A: Message, R: Message + Default>(
        &mut self,
        protocol: &'static str,
        method: &'static str,
        argument: &A,
    ) -> Result<R, yarn::error::Fault> {
        let ask = standins::yarn::Ask::Rpc {
            user: self.user.into(),
            token: self.token.clone(),
            protocol,
            method,
            body: argument.encode_to_vec(),
        };
        // Messages are lost now and then: repeated as clients do.
        for _ in 0..20 {
            match self.world.call(ask.clone()) {
                Some(Ok(body)) => {
                    return Ok(R::decode(body.as_slice()).expect("an answer of that kind"));
                }
                Some(Err(fault)) if !fault.class.is_passing() => return Err(fault),
                _ => self.world.run_for(1000),
            }
        }
        panic!("{method} was never answered");
    }

    fn client<A: Message, R: Message + Default>(
        &mut self,
        method: &'static str,
        argument: &A,
    ) -> Result<R, yarn::error::Fault> {
        self.call(rpc::CLIENT_PROTOCOL, method, argument)
    }

    fn master<A: Message, R: Message + Default>(
        &mut self,
        method: &'static str,
        argument: &A,
    ) -> Result<R, yarn::error::Fault> {
        self.call(rpc::MASTER_PROTOCOL, method, argument)
    }

    /// A new unmanaged application, with the token of its master.
    fn unmanaged(&mut self) -> ApplicationId {
        let new: GetNewApplicationResponse = self
            .client("getNewApplication", &GetNewApplicationRequest {})
            .expect("an id");
        let id = new.application_id;
        let context = ApplicationSubmissionContext {
            application_id: id,
            queue: Some("blue".into()),
            unmanaged_am: Some(true),
            resource: Some(Resource {
                memory: Some(512),
                virtual_cores: Some(1),
                values: Vec::new(),
            }),
            ..ApplicationSubmissionContext::default()
        };
        let submit = SubmitApplicationRequest {
            context: Some(context),
        };
        let _: SubmitApplicationResponse =
            self.client("submitApplication", &submit).expect("taken");
        let ask = GetApplicationReportRequest { application_id: id };
        let report: GetApplicationReportResponse =
            self.client("getApplicationReport", &ask).expect("known");
        self.token = report.report.and_then(|r| r.am_rm_token);
        id.expect("an id")
    }

    fn beat(
        &mut self,
        response_id: i32,
        ask: Vec<ResourceRequest>,
        release: Vec<ContainerId>,
    ) -> Result<AllocateResponse, yarn::error::Fault> {
        let beat = AllocateRequest {
            ask,
            release,
            response_id: Some(response_id),
            ..AllocateRequest::default()
        };
        self.master("allocate", &beat)
    }
}

impl Caller<'_> {
    /// What a master is given within 40 s.
    fn given(&mut self, number: &mut i32) -> Vec<Container> {
        let mut given = Vec::new();
        for _ in 0..40 {
            self.world.run_for(1000);
            let beat = self
                .beat(*number, Vec::new(), Vec::new())
                .expect("a heartbeat");
            *number = beat.response_id.unwrap_or(0);
            given.extend(beat.allocated);
        }
        given
    }
}

fn ask(name: &str, n: i32, relax: bool) -> ResourceRequest {
    ResourceRequest {
        priority: Some(Priority_ { priority: 1 }),
        resource_name: Some(name.into()),
        capability: Some(Resource {
            memory: Some(512),
            virtual_cores: Some(1),
            values: Vec::new(),
        }),
        num_containers: Some(n),
        relax_locality: Some(relax),
        ..ResourceRequest::default()
    }
}

use yarn::proto::Priority as Priority_;

fn ready(seed: u64) -> World {
    let mut world = world(seed, scene());
    world.run_for(8000);
    world
}

#[test]
fn an_unmanaged_master_registers_beats_and_says_goodbye() {
    let mut world = ready(4);
    let mut c = Caller {
        world: &mut world,
        user: "ann",
        token: None,
    };
    let early = c
        .beat(0, Vec::new(), Vec::new())
        .expect_err("without a token");
    assert_eq!(early.class, Class::AccessDenied);
    let id = c.unmanaged();
    let early = c
        .beat(0, Vec::new(), Vec::new())
        .expect_err("before it registers");
    assert_eq!(early.class, Class::NotRegistered);
    let register = RegisterRequest {
        host: Some("h".into()),
        rpc_port: Some(1),
        tracking_url: None,
    };
    let r: RegisterResponse = c
        .master("registerApplicationMaster", &register)
        .expect("registered");
    assert_eq!(r.queue.as_deref(), Some("root.blue"));
    // Repeated after a lost answer: the same.
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &register)
        .expect("registered");

    let first = c
        .beat(0, vec![ask(ANY, 3, true)], Vec::new())
        .expect("a heartbeat");
    let again = c
        .beat(0, vec![ask(ANY, 3, true)], Vec::new())
        .expect("repeated");
    assert_eq!(first, again, "a repeated heartbeat is answered as it was");
    let wrong = c
        .beat(7, Vec::new(), Vec::new())
        .expect_err("a number out of turn");
    assert!(wrong.message.contains("Invalid responseId"), "{wrong}");
    let mut number = first.response_id.unwrap_or(0);
    let given = c.given(&mut number);
    assert_eq!(given.len(), 3, "as many as were asked for, and no more");

    // One is released before it runs, one is stopped by its master.
    let ids: Vec<ContainerId> = given.iter().filter_map(|g| g.id).collect();
    let stop = StopContainersRequest {
        containers: vec![ids[1]],
    };
    let _: StopContainersResponse = c
        .call(rpc::CONTAINER_PROTOCOL, "stopContainers", &stop)
        .expect("stopped");
    let beat = c
        .beat(number, Vec::new(), vec![ids[0]])
        .expect("a heartbeat");
    let mut ended: Vec<(i64, i32)> = beat
        .completed
        .iter()
        .map(|s| {
            (
                s.container_id.map_or(0, |i| i.id),
                s.exit_status.unwrap_or(0),
            )
        })
        .collect();
    ended.sort_unstable();
    let mut expected = vec![
        (ids[0].id, exit::ABORTED),
        (ids[1].id, exit::KILLED_BY_MASTER),
    ];
    expected.sort_unstable();
    assert_eq!(ended, expected);

    let finish = FinishRequest {
        final_status: Some(FinalStatus::Failed as i32),
        ..FinishRequest::default()
    };
    let f: FinishResponse = c
        .master("finishApplicationMaster", &finish)
        .expect("goodbye");
    assert_eq!(f.is_unregistered, Some(true));
    let f: FinishResponse = c
        .master("finishApplicationMaster", &finish)
        .expect("goodbye again");
    assert_eq!(f.is_unregistered, Some(true));
    let report: GetApplicationReportResponse = c
        .client(
            "getApplicationReport",
            &GetApplicationReportRequest {
                application_id: Some(id),
            },
        )
        .expect("known");
    let report = report.report.expect("a report");
    assert_eq!(
        report.yarn_application_state,
        Some(ApplicationState::Finished as i32)
    );
    assert_eq!(
        report.final_application_status,
        Some(FinalStatus::Failed as i32),
        "as its master says"
    );
    world.run_for(60_000);
    assert!(world.on_machines().is_empty(), "{:?}", world.on_machines());
}

/// What can't be served is refused before anything of the heartbeat is taken; places in a zone are.
#[test]
fn heartbeats_are_taken_whole_or_not_at_all() {
    let mut world = ready(5);
    let mut c = Caller {
        world: &mut world,
        user: "ann",
        token: None,
    };
    c.unmanaged();
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &RegisterRequest::default())
        .expect("registered");
    let huge = ResourceRequest {
        capability: Some(Resource {
            memory: Some(1 << 40),
            virtual_cores: Some(1),
            values: Vec::new(),
        }),
        ..ask(ANY, 1, true)
    };
    let odd = ResourceRequest {
        capability: Some(Resource {
            memory: Some(1),
            virtual_cores: Some(1),
            values: vec![ResourceInformation {
                key: "fpga".into(),
                value: Some(1),
                units: None,
            }],
        }),
        ..ask(ANY, 1, true)
    };
    for (asks, why) in [
        (vec![ask(ANY, 2, true), huge], "largest machine"),
        (vec![ask(ANY, 2, true), odd], "\"fpga\" is not counted"),
        (
            vec![ask(ANY, 2, false), ask("host-1", 2, true)],
            "can't be bound to a host",
        ),
        (
            vec![ask(ANY, 2, false), ask("/nowhere", 2, true)],
            "no rack (zone) /nowhere",
        ),
        (vec![ask(ANY, -1, true)], "number of containers"),
        (vec![ask(ANY, 1 << 30, true)], "number of containers"),
    ] {
        let fault = c.beat(0, asks, Vec::new()).expect_err(why);
        assert!(fault.message.contains(why), "{fault} should say {why}");
        assert_eq!(fault.class, Class::InvalidRequest);
    }
    let mut number = c
        .beat(0, vec![ask(ANY, 2, false), ask("/b", 2, true)], Vec::new())
        .expect("taken")
        .response_id
        .unwrap_or(0);
    let given = c.given(&mut number);
    assert_eq!(
        given.len(),
        2,
        "nothing of what was refused, and all that was taken"
    );
    let jobs = world.rules.jobs.values().filter_map(|j| j.spec.as_ref());
    let bound: Vec<_> = jobs
        .filter(|s| s.id.starts_with("job-9"))
        .map(|s| s.zone.clone())
        .collect();
    assert_eq!(bound, [Some("b".to_owned())]);
}

/// The leader is replaced: the master is told to register again, and keeps the containers that run.
#[test]
fn masters_register_again_with_the_next_leader() {
    let mut world = ready(6);
    let mut c = Caller {
        world: &mut world,
        user: "ann",
        token: None,
    };
    let id = c.unmanaged();
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &RegisterRequest::default())
        .expect("registered");
    c.world.crash_all();
    c.world.run_for(12_000);
    let fault = c
        .beat(0, Vec::new(), Vec::new())
        .expect_err("the next owner does not know the session");
    assert_eq!(fault.class, Class::NotRegistered);
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &RegisterRequest::default())
        .expect("registered");
    c.beat(0, Vec::new(), Vec::new()).expect("a heartbeat");
    // Nobody else's token will do, nor may others end it.
    let own = c.token.clone();
    c.unmanaged();
    let mut stranger = Caller {
        world: c.world,
        user: "eve",
        token: None,
    };
    let kill = KillApplicationRequest {
        application_id: Some(id),
        diagnostics: None,
    };
    let denied = stranger
        .client::<_, KillApplicationResponse>("forceKillApplication", &kill)
        .expect_err("not hers");
    assert_eq!(denied.class, Class::AccessDenied);
    let mut forged = own.expect("a token");
    forged.password[0] ^= 1;
    stranger.token = Some(forged);
    let denied = stranger
        .beat(0, Vec::new(), Vec::new())
        .expect_err("a forged token");
    assert_eq!(denied.class, Class::AccessDenied);
}

/// What is known of an unmanaged application: the reference that the service is held against.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Model {
    /// Nobody has registered for it.
    Accepted,
    /// Its master has, and whether the leader of the fleet knows him.
    Running(bool),
    Over(ApplicationState, FinalStatus),
}

impl Model {
    fn shown(self) -> (ApplicationState, FinalStatus) {
        match self {
            Model::Accepted => (ApplicationState::Accepted, FinalStatus::Undefined),
            Model::Running(_) => (ApplicationState::Running, FinalStatus::Undefined),
            Model::Over(state, status) => (state, status),
        }
    }
}

/// Generated calls, in any order and with leaders lost between them, against the reference: each answer, and what is
/// shown afterwards.
#[test]
fn applications_follow_their_reference() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = ready(1000 + seed);
        let mut c = Caller {
            world: &mut world,
            user: "ann",
            token: None,
        };
        let id = c.unmanaged();
        let (mut model, mut number) = (Model::Accepted, 0);
        let mut past = Vec::new();
        for _ in 0..14 {
            let op = rng.u32(0..100);
            past.push(op);
            let told = |model: Model| match model {
                Model::Accepted | Model::Running(false) => Some(Class::NotRegistered),
                Model::Running(true) => None,
                Model::Over(..) => Some(Class::AttemptNotFound),
            };
            match op {
                0..30 => {
                    let r = c.master::<_, RegisterResponse>(
                        "registerApplicationMaster",
                        &RegisterRequest::default(),
                    );
                    let over = matches!(model, Model::Over(..));
                    assert_eq!(
                        r.err().map(|f| f.class),
                        over.then_some(Class::AttemptNotFound),
                        "{seed}: {past:?}"
                    );
                    if !over {
                        // A session that is known goes on with its numbers.
                        number = if model == Model::Running(true) {
                            number
                        } else {
                            0
                        };
                        model = Model::Running(true);
                    }
                }
                30..65 => match c.beat(number, Vec::new(), Vec::new()) {
                    Ok(beat) => {
                        assert_eq!(told(model), None, "{seed}: {past:?}");
                        number = beat.response_id.unwrap_or(0);
                    }
                    Err(fault) => assert_eq!(told(model), Some(fault.class), "{seed}: {past:?}"),
                },
                65..75 => {
                    let status = [FinalStatus::Succeeded, FinalStatus::Failed][rng.usize(0..2)];
                    let finish = FinishRequest {
                        final_status: Some(status as i32),
                        ..FinishRequest::default()
                    };
                    let r = c.master::<_, FinishResponse>("finishApplicationMaster", &finish);
                    match (model, told(model)) {
                        // Whoever says goodbye to what is over is told that it is.
                        (Model::Over(..), _) | (_, None) => {
                            assert_eq!(
                                r.expect("goodbye").is_unregistered,
                                Some(true),
                                "{seed}: {past:?}"
                            );
                        }
                        (_, why) => assert_eq!(r.err().map(|f| f.class), why, "{seed}: {past:?}"),
                    }
                    if model == Model::Running(true) {
                        model = Model::Over(ApplicationState::Finished, status);
                    }
                }
                75..82 => {
                    let kill = KillApplicationRequest {
                        application_id: Some(id),
                        diagnostics: None,
                    };
                    let _: KillApplicationResponse =
                        c.client("forceKillApplication", &kill).expect("killed");
                    c.world.run_for(3000);
                    if !matches!(model, Model::Over(..)) {
                        model = Model::Over(ApplicationState::Killed, FinalStatus::Killed);
                    }
                }
                82..92 => {
                    c.world.crash_all();
                    c.world.run_for(12_000);
                    if matches!(model, Model::Running(_)) {
                        model = Model::Running(false);
                    }
                }
                _ => c.world.run_for(rng.u64(0..5000)),
            }
            let ask = GetApplicationReportRequest {
                application_id: Some(id),
            };
            let report: GetApplicationReportResponse =
                c.client("getApplicationReport", &ask).expect("known");
            let report = report.report.expect("a report");
            let (state, status) = model.shown();
            let shown = (
                report.yarn_application_state,
                report.final_application_status,
            );
            assert_eq!(
                shown,
                (Some(state as i32), Some(status as i32)),
                "{seed}: {past:?} {model:?}"
            );
        }
    }
}

/// Connections take any bytes without harm: they answer in their protocol's way or close, and hold a bounded amount.
#[test]
fn any_bytes_are_survived() {
    let mut world = ready(7);
    let mut rng = fastrand::Rng::with_seed(9);
    let good = {
        let submit = SubmitApplicationRequest::default();
        let mut all = rpc::open(rpc::AUTH_SIMPLE);
        all.extend(rpc::context(b"c", "ann", "p"));
        all.extend(rpc::request(
            1,
            b"c",
            0,
            rpc::CLIENT_PROTOCOL,
            "submitApplication",
            &submit,
        ));
        all
    };
    let http =
        b"PUT /ws/v1/cluster/apps/application_1_1/state?user.name=a HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
            .to_vec();
    for i in 0..3000 {
        let mut bytes = if i % 2 == 0 {
            good.clone()
        } else {
            http.clone()
        };
        match rng.u32(0..4) {
            0 => bytes.truncate(rng.usize(0..bytes.len())),
            1 => (0..rng.usize(1..4)).for_each(|_| {
                let at = rng.usize(0..bytes.len());
                bytes[at] ^= 1 << rng.u32(0..8);
            }),
            2 => bytes = (0..rng.usize(0..200)).map(|_| rng.u8(..)).collect(),
            _ => bytes.extend((0..rng.usize(0..50)).map(|_| rng.u8(..))),
        }
        world.pour(i % 2 == 1, bytes);
    }
    world.run_for(30_000);
    // Those that were begun and not ended are gone, and whoever comes now is served.
    assert_eq!(world.leader().map(|o| o.connections().1), Some(0));
    let mut c = Caller {
        world: &mut world,
        user: "ann",
        token: None,
    };
    c.unmanaged();
}

/// An exchange that the stand-ins' own client is built on comes to its end.
#[test]
fn exchanges_end() {
    let ask = standins::yarn::Ask::Web {
        method: "GET",
        target: "/x".into(),
        body: Vec::new(),
    };
    let (mut exchange, web, first) = Exchange::begin(ask);
    assert!(web && first.starts_with(b"GET /x "));
    assert_eq!(
        exchange.bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"),
        Next::Wait
    );
    assert_eq!(exchange.bytes(b"y"), Next::Over(Some(Ok(b"y".to_vec()))));
}
