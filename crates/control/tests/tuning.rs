//! The errors that operators get for invalid settings.

use control::Tuning;

fn refusal(section: &str, key: &str, value: &str) -> String {
    let error = Tuning::default().set(section, key, value);
    error.expect_err("the setting is refused").to_string()
}

#[test]
fn refused_setting_is_named_with_the_reason() {
    let unknown = "[owner] ttl: unknown setting";
    assert_eq!(refusal("owner", "ttl", "1"), unknown);
    let not_a_number = "[owner] ttl_ms: not a number: \"soon\"";
    assert_eq!(refusal("owner", "ttl_ms", "soon"), not_a_number);
    let too_small = "[owner] ttl_ms: 1 is not within 500 to 60000";
    assert_eq!(refusal("owner", "ttl_ms", " 1 "), too_small);
    let nan = "[plan] online_factor: NaN is not within 1 to 20";
    assert_eq!(refusal("plan", "online_factor", "NaN"), nan);
}

#[test]
fn setting_within_its_bounds_is_accepted() {
    let mut tuning = Tuning::default();
    assert_eq!(tuning.set("owner", "ttl_ms", " 4000 "), Ok(()));
    assert_eq!(tuning.ttl_ms, 4000.0);
}
