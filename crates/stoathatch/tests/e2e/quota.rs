//! `stoathatch quota` against three real processes on loopback: its subcommands, and guarantees while one team floods
//! the queue.

use crate::common::{Controllers, four_gpus, job, wait_for};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Instant;
use wire::api::{JobSpec, Kind, Priority};

/// A temporary file, removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("stoathatch-quota-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("written");
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn quota(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoathatch"));
    command
        .arg("quota")
        .args(args)
        .env_remove("STOATHATCH_NODES")
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs a command that must succeed and parses its JSON output.
fn json_of(args: &[&str]) -> Value {
    let out = quota(args);
    assert_eq!(
        out.status.code(),
        Some(0),
        "{args:?}: {}",
        text(&out.stderr)
    );
    serde_json::from_slice(&out.stdout)
        .unwrap_or_else(|e| panic!("{args:?}: {e}: {}", text(&out.stdout)))
}

const TREE: &str = r#"
[[node]]
name = "north"
guarantee = { gpus = 18 }

[[node]]
name = "film"
parent = "north"
guarantee = { gpus = 12 }

[[node]]
name = "news"
parent = "north"
guarantee = { gpus = 6 }

[[team]]
name = "effects"
parent = "film"

[[team]]
name = "compositing"
parent = "film"

[[team]]
name = "subtitles"
parent = "news"
"#;

/// Teams with their guaranteed GPUs in the settings.
const TEAMS: [(&str, usize); 4] = [
    ("effects", 4),
    ("compositing", 6),
    ("subtitles", 6),
    ("layout", 8),
];

/// With 280 jobs: one team floods the queue with jobs that run for minutes, then all others submit theirs, and each
/// team has to get its guaranteed share. Prints how many seconds this took, which is not asserted.
#[test]
fn every_team_gets_its_guarantee_after_one_floods_the_queue() {
    let teams: Vec<Value> = TEAMS
        .iter()
        .map(
            |(name, gpus)| json!({"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": 0.0}),
        )
        .collect();
    let ini = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/quotas.ini");
    let options = ["--ini", ini];
    let (mut c, world) =
        Controllers::new("quota", four_gpus(10.0), 300_000, &json!(teams), &options);
    let nodes = c
        .peers
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(",");
    let file = TempFile::new("tree.toml", TREE);
    let file = file.0.to_str().expect("a plain path");

    // Any node accepts a change; a dry run changes nothing; a change for another version is a conflict.
    let dry = json_of(&["set", file, "--dry-run", "--json", "--node", &nodes]);
    assert_eq!(
        (&dry["version"], &dry["dry_run"]),
        (&json!(0), &json!(true))
    );
    assert_eq!(
        json_of(&["set", file, "--json", "--node", &nodes])["version"],
        1
    );
    let conflict = quota(&["set", file, "--expect", "0", "--node", &nodes]);
    assert_eq!(conflict.status.code(), Some(1), "a conflict");
    assert!(
        text(&conflict.stderr).contains("version 1 is in force"),
        "{}",
        text(&conflict.stderr)
    );
    let unknown = TempFile::new(
        "unknown.toml",
        &TREE.replace("\"subtitles\"", "\"subtitle\""),
    );
    let unknown = quota(&[
        "set",
        unknown.0.to_str().expect("a plain path"),
        "--node",
        &nodes,
    ]);
    assert_eq!(unknown.status.code(), Some(1));
    let stderr = text(&unknown.stderr);
    assert!(
        stderr.contains("line 24: team \"subtitle\".name: is no team of the settings"),
        "{stderr}"
    );
    let shrink = quota(&["shrink", "film", "--guarantee", "gpus=8", "--node", &nodes]);
    assert_eq!(shrink.status.code(), Some(1));
    assert!(
        text(&shrink.stderr).contains("2 more than its own 8"),
        "{}",
        text(&shrink.stderr)
    );
    assert_eq!(
        json_of(&["move", "layout", "--json", "--to", "film", "--node", &nodes])["version"],
        2
    );
    assert_eq!(
        json_of(&["move", "layout", "--json", "--node", &nodes])["version"],
        3
    );
    let history = json_of(&["history", "--json", "--node", &nodes]);
    assert_eq!(history.as_array().map(Vec::len), Some(3));

    // The flood occupies all machines.
    let submit = |id: usize, team: &str, priority: Priority| {
        let spec = JobSpec {
            team: team.into(),
            priority,
            checkpoint_s: 5.0,
            ..job(&format!("job-{id:06}"), Kind::Array, 1)
        };
        wait_for("accepted", || c.ask("POST", "/work", &wire::encode(&spec)));
    };
    (0..100).for_each(|i| submit(1000 + i, "effects", Priority::Production));
    // The thousands digit of a job's number is its team's index plus 1.
    let team_of = |task: &str| -> Option<usize> {
        let (job, _) = wire::ids::parse_task(task)?;
        (job.trim_start_matches("job-").parse::<usize>().ok()? / 1000).checked_sub(1)
    };
    let tasks_of = |team: usize| {
        world
            .on_machines()
            .iter()
            .filter(|t| team_of(t) == Some(team))
            .count()
    };
    wait_for("the flood runs", || (tasks_of(0) >= 28).then_some(()));
    let start = Instant::now();
    for i in 0..60 {
        for (t, (team, _)) in TEAMS.iter().enumerate().skip(1) {
            submit(1000 * (t + 1) + i, team, Priority::Normal);
        }
    }
    wait_for("each team has its share", || {
        (0..TEAMS.len())
            .all(|t| tasks_of(t) >= TEAMS[t].1)
            .then_some(())
    });
    println!(
        "every team had its guaranteed share {:.1} s after the other teams submitted",
        start.elapsed().as_secs_f64()
    );
    let why = json_of(&["why", "effects", "--json", "--node", &nodes]);
    assert_eq!(
        (&why["path"], &why["bounded_by"]),
        (&json!(["north", "film"]), &json!([]))
    );
    for args in [
        ["show", "--node", &nodes].as_slice(),
        &["why", "effects", "--node", &nodes],
    ] {
        let out = text(&quota(args).stdout);
        println!("{out}");
        assert!(out.contains("film"), "{out}");
    }

    // The next leader has the same tree before it starts its first task.
    let leader = wait_for("a leader", || world.leader());
    c.kill(
        leader
            .trim_start_matches("burrow-")
            .parse()
            .expect("a node"),
    );
    wait_for("another leader", || world.leader().filter(|o| *o != leader));
    assert_eq!(json_of(&["show", "--json", "--node", &nodes])["version"], 3);
    assert_eq!(world.ran_twice(), None);
    let checked = quota(&[
        "check",
        file,
        "--config",
        c.settings().to_str().expect("a plain path"),
    ]);
    assert_eq!(checked.status.code(), Some(0), "{}", text(&checked.stderr));
}

/// The examples in `deploy/` are accepted; a bad file is rejected with its line, without contacting a controller.
#[test]
fn quota_files_are_checked() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let at = |name: &str| deploy.join(name).to_str().expect("a plain path").to_owned();
    let (tree, settings) = (at("quota-example.toml"), at("settings-example.json"));
    let out = quota(&["check", &tree, "--config", &settings]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    let mut check = Command::new(env!("CARGO_BIN_EXE_stoathatch"));
    let check = check.args([
        "--config",
        &settings,
        "--ini",
        &at("quotas.ini"),
        "--quota",
        &tree,
        "--check",
    ]);
    let out = check.output().expect("it runs");
    assert!(
        out.status.success() && text(&out.stdout).contains("[admin] door = 1"),
        "{}",
        text(&out.stderr)
    );
    let bad = TempFile::new(
        "bad.toml",
        "[[node]]\nname = \"a\"\n\n[[node]]\nname = \"b\"\nparent = \"c\"\n",
    );
    let out = quota(&["check", bad.0.to_str().expect("a plain path")]);
    assert_eq!(out.status.code(), Some(1));
    assert!(
        text(&out.stderr).contains("line 4: node \"b\".parent: \"c\" is no node"),
        "{}",
        text(&out.stderr)
    );
    // No controller address is given.
    let out = quota(&["show"]);
    assert_eq!(out.status.code(), Some(2), "{}", text(&out.stderr));
}
