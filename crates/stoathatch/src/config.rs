//! Reads and validates settings files; every error names the offending field.

use control::Tuning;
use std::path::Path;
use wire::settings::Settings;

pub fn settings(path: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse_settings(&text).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn yarn(path: &Path) -> Result<gateway::Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    gateway::Config::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn parse_settings(text: &str) -> Result<Settings, String> {
    let settings: Settings = serde_json::from_str(text).map_err(|e| e.to_string())?;
    settings.check().map_err(|e| e.to_string())?;
    Ok(settings)
}

pub fn tuning(path: &Path) -> Result<Tuning, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse_tuning(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn parse_tuning(text: &str) -> Result<Tuning, String> {
    let ini = ini::Ini::load_from_str(text).map_err(|e| e.to_string())?;
    let mut tuning = Tuning::default();
    for (section, values) in &ini {
        for (key, value) in values {
            tuning
                .set(section.unwrap_or(""), key, value)
                .map_err(|e| e.to_string())?;
        }
    }
    Ok(tuning)
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"node":"burrow-0","domain":"a","client_listen":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081",
        "peers":[{"node":"burrow-1","domain":"b","address":"10.0.0.2:8081"}],"new_field":7,
        "endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
        "cluster":{"initial_size":2,"zones":["a","b"],
         "teams":[{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":1.0,"gpus_max":2.0}],
         "workers":{"report_s":3.0,"lease_s":30.0,"gang_wait_s":40.0,"gang_peer_s":6.0,"cancel_s":55.0},
         "state":{"rps":150.0,"write_rps":35.0,"value_kb":8.0,"txn_ops":16},
         "cloud":{"rps":8.0,"list_lag_s":4.0},
         "machine_limits":{"cores":0.12,"mem_mb":200.0,"max_sockets":3500},"clock_error_ms":25.0}}"#;

    #[test]
    fn settings_errors_name_the_field() {
        assert!(parse_settings(GOOD).is_ok(), "unknown fields are ignored");
        for (from, to, named) in [
            (r#""node":"burrow-0","#, "", "node"),
            (r#""rps":150.0"#, r#""rps":"many""#, "many"),
            (r#""rps":150.0"#, r#""rps":-1.0"#, "cluster.state.rps"),
            ("10.2.0.1:2379", "state.example:2379", "endpoints.state"),
            (
                r#""gpus_max":2.0"#,
                r#""gpus_max":-2.0"#,
                "cluster.teams[0].gpus_max",
            ),
            (r#""max_sockets":3500"#, r#""max_sockets":3"#, "max_sockets"),
            (r#""txn_ops":16"#, r#""txn_ops":1"#, "txn_ops"),
        ] {
            let error = parse_settings(&GOOD.replacen(from, to, 1)).expect_err(named);
            assert!(error.contains(named), "{error} should name {named}");
        }
    }

    /// The announced next limits are validated like the current ones: they must be complete, not larger than the
    /// current ones, and large enough to work with.
    #[test]
    fn next_limits_errors_name_the_field() {
        let with = |next: &str| {
            let state = format!(r#""txn_ops":16,"next":{next}"#);
            parse_settings(&GOOD.replacen(r#""txn_ops":16"#, &state, 1))
        };
        let good = r#"{"write_rps":24.0,"value_kb":2.0,"txn_ops":5,"later":1}"#;
        let settings = with(good).expect("whole");
        let next = settings.cluster.state.next_limits().expect("given");
        assert_eq!((next.rps, next.write_rps), (150.0, 24.0));
        assert_eq!((next.value_kb, next.txn_ops), (2.0, 5));
        let without = parse_settings(GOOD).expect("good");
        assert!(without.cluster.state.next_limits().is_none());
        assert!(with("null").is_ok(), "null is as good as left out");
        for (from, to, named) in [
            (r#""write_rps":24.0,"#, "", "cluster.state.next.write_rps"),
            (r#""value_kb":2.0,"#, "", "cluster.state.next.value_kb"),
            (r#""txn_ops":5,"#, "", "cluster.state.next.txn_ops"),
            ("24.0", "0.0", "cluster.state.next.write_rps"),
            ("24.0", "36.0", "cluster.state.next.write_rps"),
            (":2.0", ":-2.0", "cluster.state.next.value_kb"),
            (":2.0", ":0.5", "cluster.state.next.value_kb"),
            (":2.0", ":9.0", "cluster.state.next.value_kb"),
            (":5", ":3", "cluster.state.next.txn_ops"),
            (":5", ":17", "cluster.state.next.txn_ops"),
            (r#""later":1"#, r#""rps":151.0"#, "cluster.state.next.rps"),
            (r#""later":1"#, r#""rps":0.0"#, "cluster.state.next.rps"),
        ] {
            let error = with(&good.replacen(from, to, 1)).expect_err(named);
            assert!(error.contains(named), "{error} should name {named}");
        }
    }

    #[test]
    fn ini_with_unknown_names_or_bad_values_is_rejected() {
        let t = parse_tuning("[owner]\nttl_ms = 4000\n").expect("good");
        assert_eq!(t.ttl_ms, 4000.0);
        assert_eq!(parse_tuning("").expect("empty"), Tuning::default());
        for (text, named) in [
            ("[owner]\nttl = 1", "ttl"),
            ("[ownr]\nttl_ms = 4000", "[ownr]"),
            ("[owner]\nttl_ms = soon", "soon"),
            ("[owner]\nttl_ms = 1", "ttl_ms"),
            ("[owner]\nttl_ms = NaN", "ttl_ms"),
        ] {
            let error = parse_tuning(text).expect_err(named);
            assert!(error.contains(named), "{error} should name {named}");
        }
    }
}
