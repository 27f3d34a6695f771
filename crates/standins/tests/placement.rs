//! One suite of placement tests for native users and for YARN clients, over RPC and over REST: the same scheduler, the
//! same limits and the same retries apply to all. Also tests what YARN clients may do with application masters and
//! containers.

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

/// The interface by which tasks are submitted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Interface {
    Native,
    Rpc,
    Rest,
}

const INTERFACES: [Interface; 3] = [Interface::Native, Interface::Rpc, Interface::Rest];

fn scene() -> Scene {
    let config = Config::parse("[work]\nmaster_s = 5\n[most]\nper_user = 1000\n")
        .expect("gateway configuration was rejected");
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

/// Submits one task for a team through the given interface.
fn submit(
    scene: &mut Scene,
    interface: Interface,
    i: u32,
    team: &str,
    at: u64,
    gpus: f64,
    priority: Priority,
) {
    if interface == Interface::Native {
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
    let tally = Tally {
        stages: Vec::new(),
        run_ms: 5000,
        fails: 0,
    };
    let mut client = Client::new("ann", team, at, tally);
    (client.web, client.gpus) = (interface == Interface::Rest, gpus as i64);
    client.priority = if priority == Priority::High { 9 } else { 0 };
    scene.clients.push(client);
}

/// When the first task of each job first ran, in order of submission.
fn first_starts(world: &World, interface: Interface) -> Vec<Option<u64>> {
    let native = |id: &String| {
        if interface == Interface::Native {
            !id.starts_with("job-9")
        } else {
            id.ends_with("0000000")
        }
    };
    let jobs = world.rules.jobs.keys().filter(|id| native(id));
    jobs.map(|id| world.began.get(&wire::ids::task_name(id, 0)).copied())
        .collect()
}

fn max_tasks_at_once(world: &mut World, ms: u64) -> usize {
    let mut max_tasks = 0;
    for _ in 0..ms / 200 {
        world.run_for(200);
        max_tasks = max_tasks.max(world.on_machines().len());
        assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
        assert!(
            world.yarn.checks.broken.is_empty(),
            "{:?}",
            world.yarn.checks.broken
        );
    }
    max_tasks
}

#[test]
fn team_limit_applies_to_native_rpc_and_rest_submissions() {
    for interface in INTERFACES {
        let mut scene = scene();
        (0..10).for_each(|i| submit(&mut scene, interface, i, "red", 2000, 1.0, Priority::Normal));
        let mut world = world(1, scene);
        assert_eq!(max_tasks_at_once(&mut world, 60_000), 4, "{interface:?}");
        assert!(
            first_starts(&world, interface).iter().all(Option::is_some),
            "{interface:?}: some task never ran"
        );
    }
}

#[test]
fn unplaceable_task_is_refused_natively_and_by_rpc_and_rest() {
    for interface in INTERFACES {
        let mut scene = scene();
        submit(&mut scene, interface, 1, "red", 2000, 9.0, Priority::Normal);
        let mut world = world(2, scene);
        max_tasks_at_once(&mut world, 20_000);
        assert!(
            first_starts(&world, interface).iter().all(Option::is_none),
            "{interface:?}"
        );
        if interface != Interface::Native {
            let refused = world.yarn.clients[0].refused.as_ref().map(|f| f.class);
            assert_eq!(refused, Some(Class::InvalidRequest), "{interface:?}");
        }
    }
}

#[test]
fn high_priority_task_starts_first_natively_and_by_rpc_and_rest() {
    for interface in INTERFACES {
        let mut scene = scene();
        // All machines are full when both are submitted; the high priority task gets the freed resources first.
        (0..8).for_each(|i| {
            submit(
                &mut scene,
                interface,
                i,
                "blue",
                2000,
                1.0,
                Priority::Normal,
            )
        });
        submit(
            &mut scene,
            interface,
            8,
            "blue",
            8000,
            4.0,
            Priority::Normal,
        );
        submit(&mut scene, interface, 9, "blue", 8200, 4.0, Priority::High);
        let mut world = world(3, scene);
        max_tasks_at_once(&mut world, 80_000);
        let started_at = first_starts(&world, interface);
        assert!(
            started_at.iter().all(Option::is_some),
            "{interface:?}: {started_at:?}"
        );
        assert!(
            started_at[9] <= started_at[8],
            "{interface:?}: {started_at:?}"
        );
    }
}

/// A client that makes one call after the other to a running node.
struct TestClient<'a> {
    world: &'a mut World,
    user: &'static str,
    token: Option<Token>,
}

impl TestClient<'_> {
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
        // Messages are lost occasionally; calls are retried, as real clients do.
        for _ in 0..20 {
            match self.world.call(ask.clone()) {
                Some(Ok(body)) => {
                    return Ok(R::decode(body.as_slice())
                        .expect("response does not decode as the expected type"));
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

    /// Submits a new unmanaged application and keeps the token of its master.
    fn unmanaged(&mut self) -> ApplicationId {
        let new: GetNewApplicationResponse = self
            .client("getNewApplication", &GetNewApplicationRequest {})
            .expect("no application id");
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
        let _: SubmitApplicationResponse = self
            .client("submitApplication", &submit)
            .expect("submission was refused");
        let ask = GetApplicationReportRequest { application_id: id };
        let report: GetApplicationReportResponse = self
            .client("getApplicationReport", &ask)
            .expect("application is unknown");
        self.token = report.report.and_then(|r| r.am_rm_token);
        id.expect("no application id")
    }

    fn heartbeat(
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

impl TestClient<'_> {
    /// Containers that a master is allocated within 40 s.
    fn collect_allocated(&mut self, number: &mut i32) -> Vec<Container> {
        let mut allocated = Vec::new();
        for _ in 0..40 {
            self.world.run_for(1000);
            let beat = self
                .heartbeat(*number, Vec::new(), Vec::new())
                .expect("heartbeat was refused");
            *number = beat.response_id.unwrap_or(0);
            allocated.extend(beat.allocated);
        }
        allocated
    }
}

fn ask(name: &str, n: i32, relax: bool) -> ResourceRequest {
    ResourceRequest {
        priority: Some(YarnPriority { priority: 1 }),
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

use yarn::proto::Priority as YarnPriority;

fn started_world(seed: u64) -> World {
    let mut world = world(seed, scene());
    world.run_for(8000);
    world
}

#[test]
fn unmanaged_master_registers_heartbeats_and_unregisters() {
    let mut world = started_world(4);
    let mut c = TestClient {
        world: &mut world,
        user: "ann",
        token: None,
    };
    let early = c
        .heartbeat(0, Vec::new(), Vec::new())
        .expect_err("heartbeat without a token was accepted");
    assert_eq!(early.class, Class::AccessDenied);
    let id = c.unmanaged();
    let early = c
        .heartbeat(0, Vec::new(), Vec::new())
        .expect_err("heartbeat before registration was accepted");
    assert_eq!(early.class, Class::NotRegistered);
    let register = RegisterRequest {
        host: Some("h".into()),
        rpc_port: Some(1),
        tracking_url: None,
    };
    let r: RegisterResponse = c
        .master("registerApplicationMaster", &register)
        .expect("registration was refused");
    assert_eq!(r.queue.as_deref(), Some("root.blue"));
    // A retry after a lost response succeeds too.
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &register)
        .expect("registration was refused");

    let first = c
        .heartbeat(0, vec![ask(ANY, 3, true)], Vec::new())
        .expect("heartbeat was refused");
    let again = c
        .heartbeat(0, vec![ask(ANY, 3, true)], Vec::new())
        .expect("repeated heartbeat was refused");
    assert_eq!(
        first, again,
        "a repeated heartbeat was answered differently"
    );
    let wrong = c
        .heartbeat(7, Vec::new(), Vec::new())
        .expect_err("a response id out of sequence was accepted");
    assert!(wrong.message.contains("Invalid responseId"), "{wrong}");
    let mut number = first.response_id.unwrap_or(0);
    let allocated = c.collect_allocated(&mut number);
    assert_eq!(
        allocated.len(),
        3,
        "allocated containers differ from the request"
    );

    // One is released before it runs, one is stopped by its master.
    let ids: Vec<ContainerId> = allocated.iter().filter_map(|g| g.id).collect();
    let stop = StopContainersRequest {
        containers: vec![ids[1]],
    };
    let _: StopContainersResponse = c
        .call(rpc::CONTAINER_PROTOCOL, "stopContainers", &stop)
        .expect("stop was refused");
    let beat = c
        .heartbeat(number, Vec::new(), vec![ids[0]])
        .expect("heartbeat was refused");
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
        .expect("finishApplicationMaster was refused");
    assert_eq!(f.is_unregistered, Some(true));
    let f: FinishResponse = c
        .master("finishApplicationMaster", &finish)
        .expect("repeated finishApplicationMaster was refused");
    assert_eq!(f.is_unregistered, Some(true));
    let report: GetApplicationReportResponse = c
        .client(
            "getApplicationReport",
            &GetApplicationReportRequest {
                application_id: Some(id),
            },
        )
        .expect("application is unknown");
    let report = report.report.expect("no application report");
    assert_eq!(
        report.yarn_application_state,
        Some(ApplicationState::Finished as i32)
    );
    assert_eq!(
        report.final_application_status,
        Some(FinalStatus::Failed as i32),
        "final status differs from the master's"
    );
    world.run_for(60_000);
    assert!(world.on_machines().is_empty(), "{:?}", world.on_machines());
}

/// A heartbeat with a request that cannot be served is refused before any part of it takes effect. Requests bound to a
/// zone are accepted.
#[test]
fn heartbeats_are_accepted_whole_or_refused_whole() {
    let mut world = started_world(5);
    let mut c = TestClient {
        world: &mut world,
        user: "ann",
        token: None,
    };
    c.unmanaged();
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &RegisterRequest::default())
        .expect("registration was refused");
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
        let fault = c.heartbeat(0, asks, Vec::new()).expect_err(why);
        assert!(fault.message.contains(why), "{fault} should say {why}");
        assert_eq!(fault.class, Class::InvalidRequest);
    }
    let mut number = c
        .heartbeat(0, vec![ask(ANY, 2, false), ask("/b", 2, true)], Vec::new())
        .expect("request was refused")
        .response_id
        .unwrap_or(0);
    let allocated = c.collect_allocated(&mut number);
    assert_eq!(
        allocated.len(),
        2,
        "allocated containers differ from the accepted requests"
    );
    let jobs = world.rules.jobs.values().filter_map(|j| j.spec.as_ref());
    let bound: Vec<_> = jobs
        .filter(|s| s.id.starts_with("job-9"))
        .map(|s| s.zone.clone())
        .collect();
    assert_eq!(bound, [Some("b".to_owned())]);
}

/// After a leader change the master is asked to register again, and keeps its running containers. A forged token and
/// a kill by another user are refused.
#[test]
fn masters_register_again_after_a_leader_change() {
    let mut world = started_world(6);
    let mut c = TestClient {
        world: &mut world,
        user: "ann",
        token: None,
    };
    let id = c.unmanaged();
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &RegisterRequest::default())
        .expect("registration was refused");
    c.world.crash_all();
    c.world.run_for(12_000);
    let fault = c
        .heartbeat(0, Vec::new(), Vec::new())
        .expect_err("the next leader accepted a session that it does not know");
    assert_eq!(fault.class, Class::NotRegistered);
    let _: RegisterResponse = c
        .master("registerApplicationMaster", &RegisterRequest::default())
        .expect("registration was refused");
    c.heartbeat(0, Vec::new(), Vec::new())
        .expect("heartbeat was refused");
    // A forged token is refused, and other users may not kill the application.
    let own = c.token.clone();
    c.unmanaged();
    let mut stranger = TestClient {
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
        .expect_err("another user killed the application");
    assert_eq!(denied.class, Class::AccessDenied);
    let mut forged = own.expect("no token");
    forged.password[0] ^= 1;
    stranger.token = Some(forged);
    let denied = stranger
        .heartbeat(0, Vec::new(), Vec::new())
        .expect_err("a forged token was accepted");
    assert_eq!(denied.class, Class::AccessDenied);
}

/// Reference model of an unmanaged application, with which the service is compared.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Model {
    /// No master has registered.
    Accepted,
    /// The master has registered; the flag says whether the current leader knows its session.
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

/// Compares random sequences of calls, with leader changes between them, with the reference model: each response, and
/// the application report afterwards.
#[test]
fn application_states_follow_the_reference_model() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = started_world(1000 + seed);
        let mut c = TestClient {
            world: &mut world,
            user: "ann",
            token: None,
        };
        let id = c.unmanaged();
        let (mut model, mut number) = (Model::Accepted, 0);
        let mut operations = Vec::new();
        for _ in 0..14 {
            let operation = rng.u32(0..100);
            operations.push(operation);
            let expected_error = |model: Model| match model {
                Model::Accepted | Model::Running(false) => Some(Class::NotRegistered),
                Model::Running(true) => None,
                Model::Over(..) => Some(Class::AttemptNotFound),
            };
            match operation {
                0..30 => {
                    let r = c.master::<_, RegisterResponse>(
                        "registerApplicationMaster",
                        &RegisterRequest::default(),
                    );
                    let over = matches!(model, Model::Over(..));
                    assert_eq!(
                        r.err().map(|f| f.class),
                        over.then_some(Class::AttemptNotFound),
                        "{seed}: {operations:?}"
                    );
                    if !over {
                        // A known session continues its response ids.
                        number = if model == Model::Running(true) {
                            number
                        } else {
                            0
                        };
                        model = Model::Running(true);
                    }
                }
                30..65 => match c.heartbeat(number, Vec::new(), Vec::new()) {
                    Ok(beat) => {
                        assert_eq!(expected_error(model), None, "{seed}: {operations:?}");
                        number = beat.response_id.unwrap_or(0);
                    }
                    Err(fault) => assert_eq!(
                        expected_error(model),
                        Some(fault.class),
                        "{seed}: {operations:?}"
                    ),
                },
                65..75 => {
                    let status = [FinalStatus::Succeeded, FinalStatus::Failed][rng.usize(0..2)];
                    let finish = FinishRequest {
                        final_status: Some(status as i32),
                        ..FinishRequest::default()
                    };
                    let r = c.master::<_, FinishResponse>("finishApplicationMaster", &finish);
                    match (model, expected_error(model)) {
                        // Unregistering from an application that has ended succeeds.
                        (Model::Over(..), _) | (_, None) => {
                            assert_eq!(
                                r.expect("finishApplicationMaster was refused")
                                    .is_unregistered,
                                Some(true),
                                "{seed}: {operations:?}"
                            );
                        }
                        (_, why) => {
                            assert_eq!(r.err().map(|f| f.class), why, "{seed}: {operations:?}")
                        }
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
                    let _: KillApplicationResponse = c
                        .client("forceKillApplication", &kill)
                        .expect("kill was refused");
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
            let report: GetApplicationReportResponse = c
                .client("getApplicationReport", &ask)
                .expect("application is unknown");
            let report = report.report.expect("no application report");
            let (state, status) = model.shown();
            let shown = (
                report.yarn_application_state,
                report.final_application_status,
            );
            assert_eq!(
                shown,
                (Some(state as i32), Some(status as i32)),
                "{seed}: {operations:?} {model:?}"
            );
        }
    }
}

/// Malformed bytes do no harm: connections answer according to their protocol or close, and hold a bounded amount of
/// data.
#[test]
fn malformed_bytes_do_not_harm_connections() {
    let mut world = started_world(7);
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
    // Incomplete connections are closed, and new clients are served.
    assert_eq!(world.leader().map(|o| o.connections().1), Some(0));
    let mut c = TestClient {
        world: &mut world,
        user: "ann",
        token: None,
    };
    c.unmanaged();
}

/// The exchange that the simulated client is built on ends once the whole response has arrived.
#[test]
fn web_exchange_ends_after_the_response_body() {
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
