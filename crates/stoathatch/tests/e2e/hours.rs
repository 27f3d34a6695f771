//! `stoathatch hours` run as a process.

use std::path::Path;
use std::process::{Command, Output};

fn hours(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoathatch"));
    command.arg("hours").args(args).output().expect("it runs")
}

/// The example is accepted and the schema equals the published one; a bad file is rejected with line and field.
#[test]
fn calendar_files_are_checked() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let at = |name: &str| root.join(name).to_str().expect("a plain path").to_owned();
    let (example, settings) = (
        at("deploy/hours-example.toml"),
        at("deploy/settings-example.json"),
    );
    let out = hours(&["check", &example, "--config", &settings]);
    assert_eq!(
        out.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let mut start = Command::new(env!("CARGO_BIN_EXE_stoathatch"));
    let out = start
        .args(["--config", &settings, "--hours", &example, "--check"])
        .output()
        .expect("it runs");
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let schema = std::fs::read_to_string(at("docs/hours/schema.json")).expect("published");
    assert_eq!(
        String::from_utf8_lossy(&hours(&["schema"]).stdout).trim(),
        schema.trim()
    );
    let bad = std::env::temp_dir().join(format!("stoathatch-hours-{}.toml", std::process::id()));
    let text = std::fs::read_to_string(&example)
        .expect("read")
        .replace("Africa/Nairobi", "Africa/Nairoby");
    std::fs::write(&bad, text).expect("written");
    let out = hours(&[
        "check",
        bad.to_str().expect("a plain path"),
        "--config",
        &settings,
    ]);
    std::fs::remove_file(&bad).expect("removed");
    assert_eq!(out.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert!(
        stderr
            .contains("line 12: studio \"press-nairobi\".zone: \"Africa/Nairoby\" is no time zone"),
        "{stderr}"
    );
}
