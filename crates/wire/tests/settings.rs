//! Settings with one invalid value: the error names the field, and its message stays as operators know it.

use serde_json::{Value, json};
use wire::settings::{Settings, SettingsError, SettingsProblem};

fn valid_settings() -> Value {
    json!({
        "node": "burrow-0", "domain": "a", "client_listen": "10.0.0.1:8080", "peer_bind": "10.0.0.1:8081",
        "peers": [{"node": "burrow-1", "domain": "b", "address": "10.0.0.2:8081"}],
        "endpoints": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {
            "initial_size": 2, "zones": ["a", "b"],
            "teams": [
                {"name": "t", "cpus": 0.0, "cpus_max": 0.0, "gpus": 1.0, "gpus_max": 2.0},
                {"name": "u", "cpus": 0.0, "cpus_max": 0.0, "gpus": 1.0, "gpus_max": 2.0}
            ],
            "workers": {"report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 55.0},
            "state": {"rps": 150.0, "write_rps": 35.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 4.0},
            "machine_limits": {"cores": 0.12, "mem_mb": 200.0, "max_sockets": 3500}
        }
    })
}

fn check(settings: Value) -> Result<(), SettingsError> {
    let settings: Settings = serde_json::from_value(settings).expect("settings by their form");
    settings.check()
}

fn error_with(pointer: &str, value: Value) -> SettingsError {
    let mut settings = valid_settings();
    *settings.pointer_mut(pointer).expect("a field") = value;
    check(settings).expect_err(pointer)
}

#[test]
fn valid_settings_pass() {
    assert_eq!(check(valid_settings()), Ok(()));
}

#[test]
fn error_messages_name_the_field_and_the_problem() {
    let cases = [
        ("/node", json!(""), "node: must not be empty"),
        (
            "/client_listen",
            json!("here:80"),
            r#"client_listen: not an IPv4 address and port: "here:80""#,
        ),
        (
            "/peers/0/address",
            json!("10.0.0.2"),
            r#"peers[0].address: not an IPv4 address and port: "10.0.0.2""#,
        ),
        (
            "/peers/0/node",
            json!("burrow-0"),
            r#"peers[0].node: "burrow-0" is named twice"#,
        ),
        (
            "/cluster/workers/lease_s",
            json!(0.0),
            "cluster.workers.lease_s: must be above 0, is 0",
        ),
        (
            "/cluster/state/rps",
            json!(-1.5),
            "cluster.state.rps: must be above 0, is -1.5",
        ),
        (
            "/cluster/state/txn_ops",
            json!(3),
            "cluster.state.txn_ops: at least 4 are needed",
        ),
        (
            "/cluster/machine_limits/max_sockets",
            json!(31),
            "cluster.machine_limits.max_sockets: at least 32 are needed",
        ),
        (
            "/cluster/teams/1/gpus_max",
            json!(-2.0),
            "cluster.teams[1].gpus_max: must be 0 or more, is -2",
        ),
        (
            "/cluster/teams/1/name",
            json!("t"),
            r#"cluster.teams[1].name: "t" is named twice"#,
        ),
    ];
    for (pointer, value, message) in cases {
        assert_eq!(error_with(pointer, value).to_string(), message);
    }
}

#[test]
fn values_at_their_limits_pass() {
    let mut settings = valid_settings();
    settings["cluster"]["state"]["txn_ops"] = json!(4);
    settings["cluster"]["machine_limits"]["max_sockets"] = json!(32);
    assert_eq!(check(settings), Ok(()));
}

#[test]
fn errors_have_the_field_and_the_bound_as_values() {
    let expected = SettingsError {
        field: "cluster.state.txn_ops".to_owned(),
        problem: SettingsProblem::TooFew { min: 4 },
    };
    assert_eq!(error_with("/cluster/state/txn_ops", json!(1)), expected);
}
