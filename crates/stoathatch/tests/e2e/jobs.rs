//! Submissions, cancels, kills and restarts.

use crate::common::{Controllers, four_gpus, job, wait_for};
use serde_json::json;
use wire::api::{JobSpec, Kind, Stage};

#[test]
fn jobs_complete_despite_kills_and_restarts() {
    let teams =
        json!([{"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 8.0}]);
    let (mut c, world) = Controllers::new("e2e", four_gpus(10.0), 1500, &teams, &[]);

    // Submits and runs a job. A repeated submission is the same job; an id that was never submitted is unknown.
    let first = wire::encode(&job("job-000001", Kind::Array, 3));
    assert_eq!(
        wait_for("accepted", || c.ask("POST", "/work", &first)).0,
        201
    );
    assert_eq!(wait_for("known", || c.ask("POST", "/work", &first)).0, 200);
    assert_eq!(
        wait_for("unknown", || c.ask("GET", "/work/job-000009", &[])).0,
        404
    );
    assert_eq!(
        wait_for("malformed", || c.ask("POST", "/work", b"\x81\xa1x\x01")).0,
        400
    );
    let impossible = wire::encode(&JobSpec {
        gpus: 100.0,
        ..job("job-000008", Kind::Array, 1)
    });
    assert_eq!(
        wait_for("impossible", || c.ask("POST", "/work", &impossible)).0,
        422
    );
    wait_for("the array done", || {
        (c.stage("job-000001")? == Stage::Done).then_some(())
    });
    assert_eq!(world.completed().len(), 3);

    // Cancels a service; its replicas end.
    let service = wire::encode(&job("job-000002", Kind::Service, 2));
    wait_for("service accepted", || c.ask("POST", "/work", &service));
    wait_for("replicas up", || {
        (world.on_machines().len() == 2).then_some(())
    });
    let cancelled = wait_for("cancelled", || {
        c.ask("POST", "/work/job-000002/cancel", &[])
    });
    assert_eq!(cancelled.1.map(|s| s.stage), Some(Stage::Cancelled));
    wait_for("replicas gone", || {
        world.on_machines().is_empty().then_some(())
    });

    // Kills the leader while a job runs, and later all nodes.
    let second = wire::encode(&job("job-000003", Kind::Array, 8));
    wait_for("second accepted", || c.ask("POST", "/work", &second));
    wait_for("it runs", || {
        (!world.on_machines().is_empty()).then_some(())
    });
    let leader = wait_for("a leader", || world.leader());
    let n: usize = leader
        .trim_start_matches("burrow-")
        .parse()
        .expect("a node");
    c.kill(n);
    wait_for("another leader", || world.leader().filter(|o| *o != leader));
    wait_for("second done", || {
        (c.stage("job-000003")? == Stage::Done).then_some(())
    });
    let third = wire::encode(&job("job-000004", Kind::Gang, 1));
    wait_for("third accepted", || c.ask("POST", "/work", &third));
    (0..3).for_each(|n| c.kill(n));
    (0..3).for_each(|n| c.start(n));
    wait_for("third done", || {
        (c.stage("job-000004")? == Stage::Done).then_some(())
    });

    // Jobs that had ended are still reported as ended after all processes were replaced.
    assert_eq!(wait_for("first", || c.stage("job-000001")), Stage::Done);
    assert_eq!(
        wait_for("service", || c.stage("job-000002")),
        Stage::Cancelled
    );
    assert_eq!(world.end_of("job-000003").map(|e| e.done), Some(8));
    assert_eq!(world.ran_twice(), None);
}
