//! YARN clients against three real processes on loopback: over the command line, REST and RPC.

use crate::common::{Controllers, four_gpus, wait_for};
use serde_json::{Value, json};
use standins::loopback::Loopback;
use standins::yarn::{Answer, Ask, Client, Exchange, Next, Runner, Stage, Tally};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use wire::api::MachineType;
use yarn::proto::{ApplicationState, FinalStatus};

fn machine() -> MachineType {
    MachineType {
        cores: 32.0,
        ..four_gpus(3.0)
    }
}

fn teams() -> Value {
    json!([{"name": "red", "cpus": 16.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}])
}

/// Makes one call on a new connection.
fn exchange(rpc: SocketAddr, web: SocketAddr, ask: Ask) -> Answer {
    let (mut exchange, by_web, first) = Exchange::begin(ask);
    let mut stream =
        TcpStream::connect_timeout(&if by_web { web } else { rpc }, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    stream.write_all(&first).ok()?;
    let mut chunk = [0; 16 * 1024];
    loop {
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        match exchange.bytes(&chunk[..n]) {
            Next::Wait => {}
            Next::Send(bytes) => stream.write_all(&bytes).ok()?,
            Next::Over(answer) => return answer,
        }
    }
}

fn yarn(c: &Controllers, args: &[&str]) -> Output {
    let nodes = c
        .web
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(",");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoathatch"));
    command
        .arg("yarn")
        .args(["--web", &nodes, "--as", "ann"])
        .args(args)
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Covers the subcommands, a drain that outlives the node that accepted it, and a submission sent to every node.
#[test]
fn bundles_run_and_drains_survive_a_leader_kill() {
    let rules = "admins = ann\n[queues]\nroot.default = red\n";
    let (mut c, world) = Controllers::with_yarn("yarn", machine(), 800, &teams(), &[], Some(rules));
    let bundle = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/yarn-bundle-example.toml"
    );
    let out = yarn(&c, &["submit", bundle, "--wait"]);
    assert_eq!(
        out.status.code(),
        Some(0),
        "{} {}",
        text(&out.stdout),
        text(&out.stderr)
    );
    assert!(
        text(&out.stdout).contains("FINISHED SUCCEEDED"),
        "{}",
        text(&out.stdout)
    );
    let listed = text(&yarn(&c, &["list"]).stdout);
    assert!(
        listed.contains("county tally") && listed.contains("FINISHED"),
        "{listed}"
    );

    let out = yarn(&c, &["drain", "default", "--containers"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    let leader = wait_for("a leader", || world.leader());
    c.kill(
        leader
            .trim_start_matches("burrow-")
            .parse()
            .expect("a node"),
    );
    wait_for("another leader", || world.leader().filter(|o| *o != leader));
    let out = yarn(&c, &["submit", bundle]);
    assert_eq!(out.status.code(), Some(1), "{}", text(&out.stdout));
    assert!(
        text(&out.stderr).contains("Queue root.default is DRAINING"),
        "{}",
        text(&out.stderr)
    );
    assert!(text(&yarn(&c, &["queues"]).stdout).contains("DRAINING"));
    assert_eq!(
        yarn(&c, &["drain", "default", "--off"]).status.code(),
        Some(0)
    );

    // The same submission sent to every node results in one application with one job.
    let mut client = Client::new(
        "ann",
        "default",
        0,
        Tally {
            stages: Vec::new(),
            run_ms: 1,
            fails: 0,
        },
    );
    client.web = true;
    let mut stage = Stage {
        clients: vec![client],
        ..Stage::default()
    };
    let start = Instant::now();
    let mut repeats = 0;
    wait_for(
        "the application is over, and was submitted at each node",
        || {
            let now = start.elapsed().as_millis() as u64;
            for (who, ask) in stage.due(now) {
                let submits = matches!(&ask, Ask::Web { method: "POST", target, .. } if !target.contains("new-app"));
                let running_nodes = (0..3).filter(|n| c.runs(*n));
                let mut answers: Vec<Answer> = running_nodes
                    .map(|n| exchange(c.rpc[n], c.web[n], ask.clone()))
                    .collect();
                let answered = answers
                    .iter()
                    .position(|a| matches!(a, Some(Ok(_))))
                    .unwrap_or(0);
                repeats += usize::from(submits && answers.iter().all(|a| matches!(a, Some(Ok(_)))));
                stage.answer(now, &who, answers.swap_remove(answered));
            }
            (stage.clients[0].is_over() && repeats > 0).then_some(())
        },
    );
    assert_eq!(stage.clients[0].state, Some(ApplicationState::Finished));
    let id = stage.clients[0].id.expect("an id").id;
    let tasks: Vec<String> = world
        .completed()
        .into_iter()
        .filter(|t| t.contains(&format!("{id:010}")))
        .collect();
    assert_eq!(tasks.len(), 1, "{tasks:?}");
    assert_eq!(world.ran_twice(), None);
}

/// Creates and removes runners to match the tasks on the simulated machines, and ends tasks whose runner is done.
fn sync_runners(stage: &mut Stage, world: &Loopback, now: u64) {
    let mut running = HashSet::new();
    for (spec, task, attempt, machine, zone) in world.runners() {
        let key = (wire::ids::task_name(&spec.id, task), attempt);
        running.insert(key.clone());
        stage
            .runners
            .entry(key)
            .or_insert_with(|| Runner::new(&spec, task, attempt, &machine, &zone, now));
    }
    stage.runners.retain(|key, _| running.contains(key));
    for r in stage.runners.values() {
        if let Some(done) = r.over {
            world.end_task(&r.job, r.task, r.attempt, done);
        }
    }
}

/// A master runs a hundred containers in two stages over RPC, is killed once, and a machine is lost.
#[test]
fn two_stage_tally_completes_despite_master_kill_and_machine_loss() {
    let rules = "[work]\nestimate_s = 2\nmaster_s = 30\n";
    let (c, world) = Controllers::with_yarn("tally", machine(), 800, &teams(), &[], Some(rules));
    world.with_runners();
    let tally = Tally {
        stages: vec![80, 20],
        run_ms: 1500,
        fails: 1,
    };
    let mut stage = Stage {
        clients: vec![Client::new("ann", "red", 0, tally)],
        ..Stage::default()
    };
    let start = Instant::now();
    let (done, answers) = std::sync::mpsc::channel();
    let mut machine_lost = false;
    let mut request_number = 0;
    wait_for("the tally is through", || {
        let now = start.elapsed().as_millis() as u64;
        sync_runners(&mut stage, &world, now);
        for (who, ask) in stage.due(now) {
            request_number += 1;
            let (rpc, web, done) = (
                c.rpc[request_number % 3],
                c.web[request_number % 3],
                done.clone(),
            );
            // A start call returns only when its runner has picked it up, so each call has a thread of its own.
            std::thread::spawn(move || done.send((who, exchange(rpc, web, ask))));
        }
        for (who, answer) in answers.try_iter() {
            stage.answer(start.elapsed().as_millis() as u64, &who, answer);
        }
        if !machine_lost && stage.checks.containers_done > 10 {
            // Picks a machine that does not run the master.
            let (masters, others): (Vec<&Runner>, Vec<&Runner>) = stage
                .runners
                .values()
                .partition(|r| r.job.ends_with("0000000"));
            if let Some(r) = others
                .iter()
                .find(|r| masters.iter().all(|m| m.machine != r.machine))
            {
                world.lose(&r.machine);
                machine_lost = true;
            }
        }
        assert!(stage.checks.broken.is_empty(), "{:?}", stage.checks.broken);
        stage.clients[0].is_over().then_some(())
    });
    let client = &stage.clients[0];
    assert_eq!(
        (client.state, client.outcome),
        (
            Some(ApplicationState::Finished),
            Some(FinalStatus::Succeeded as i32)
        )
    );
    assert!(stage.checks.containers_done >= 100);
    assert_eq!(world.ran_twice(), None);
}
