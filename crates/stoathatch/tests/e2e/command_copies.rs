//! Copies of commands that were carried out and answered, against three real processes.

use crate::common::{Controllers, four_gpus, job, wait_for};
use serde_json::json;
use wire::api::{Kind, Stage};

/// Tasks finish, are cancelled and change machines while every command arrives again up to seconds later, and the leader
/// comes back at once.
#[test]
fn copies_of_commands_start_nothing_with_real_processes() {
    let teams =
        json!([{"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 8.0}]);
    let (mut c, world) = Controllers::new("copies", four_gpus(10.0), 1500, &teams, &[]);
    world.copy_commands();

    let array = wire::encode(&job("job-000001", Kind::Array, 6));
    wait_for("array accepted", || c.ask("POST", "/work", &array));
    wait_for("the array done", || {
        (c.stage("job-000001")? == Stage::Done).then_some(())
    });

    let service = wire::encode(&job("job-000002", Kind::Service, 2));
    wait_for("service accepted", || c.ask("POST", "/work", &service));
    wait_for("replicas up", || {
        (world.on_machines().len() == 2).then_some(())
    });
    wait_for("cancelled", || {
        c.ask("POST", "/work/job-000002/cancel", &[])
    });
    wait_for("replicas gone", || {
        world.on_machines().is_empty().then_some(())
    });

    let leader = wait_for("a leader", || world.leader());
    let n: usize = leader
        .trim_start_matches("burrow-")
        .parse()
        .expect("a node");
    let gang = wire::encode(&job("job-000003", Kind::Gang, 4));
    wait_for("gang accepted", || c.ask("POST", "/work", &gang));
    wait_for("it runs", || {
        (!world.on_machines().is_empty()).then_some(())
    });
    c.kill(n);
    c.start(n);
    wait_for("the gang done", || {
        (c.stage("job-000003")? == Stage::Done).then_some(())
    });

    let copies = wait_for("all copies delivered", || world.finish_copies());
    assert!(copies >= 10, "{copies} copies");
    assert_eq!(world.started_by_copy(), None);
    assert_eq!(world.ran_twice(), None);
    assert_eq!(world.on_machines(), Vec::<String>::new());
}
