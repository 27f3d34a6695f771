//! Release times compared with a simple reference implementation, and calendars that are rejected.

use hours::{Agreement, Around, Calendar, Exception, Holiday, Release, Spec, Studio, TeamAt, file};
use jiff::Timestamp;
use jiff::civil::{Date, DateTime};
use jiff::tz::{TimeZone, TimeZoneDatabase};

const MINUTE: i64 = 60_000;

fn timestamp_ms(text: &str) -> u64 {
    text.parse::<Timestamp>()
        .expect("a timestamp")
        .as_millisecond() as u64
}

fn studio(zone: &str) -> Studio {
    Studio {
        name: "s".into(),
        teams: vec!["t".into()],
        node: None,
        zone: zone.into(),
        notice_min: 0,
    }
}

fn release(at: &[&str], days: &[&str]) -> Release {
    let all = |list: &[&str]| list.iter().map(|s| (*s).to_owned()).collect();
    Release {
        studio: "s".into(),
        class: None,
        at: all(at),
        days: all(days),
        notice_min: None,
    }
}

fn build(spec: &Spec) -> Calendar {
    Calendar::build(spec, &Around::default()).expect("a valid calendar")
}

fn faults(text: &str, around: &Around) -> Vec<String> {
    let parsed = match file::parse(text) {
        Ok(parsed) => parsed,
        Err(faults) => return faults.iter().map(ToString::to_string).collect(),
    };
    let faults = Calendar::build(&parsed.spec, around)
        .err()
        .unwrap_or_default();
    parsed
        .locate(faults)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Reference implementation that steps through the studio's local clock minute by minute. A time is due when the latest
/// local time seen so far first equals or passes it; setting the clock back doesn't lower that.
struct ClockWalk<'a> {
    zone: &'a TimeZone,
    times_on: &'a dyn Fn(Date) -> Vec<String>,
}

impl ClockWalk<'_> {
    fn next_release(&self, earliest_ms: i64) -> Option<i64> {
        let local_time = |at: i64| {
            let at = Timestamp::from_millisecond(at).expect("in range");
            at.to_zoned(self.zone.clone()).datetime()
        };
        let mut at = (earliest_ms - 3 * 24 * 60 * MINUTE).div_euclid(MINUTE) * MINUTE;
        let mut latest_local = local_time(at);
        while at < earliest_ms + 9 * 24 * 60 * MINUTE {
            at += MINUTE;
            let local_now = local_time(at);
            if local_now > latest_local {
                if at >= earliest_ms && self.is_reached(latest_local, local_now) {
                    return Some(at);
                }
                latest_local = local_now;
            }
        }
        None
    }

    fn is_reached(&self, before: DateTime, now: DateTime) -> bool {
        let days = [before.date(), now.date()];
        let between = days[0]
            .series(jiff::Span::new().days(1))
            .take_while(|d| *d <= days[1]);
        between.into_iter().any(|day| {
            (self.times_on)(day).iter().any(|h| {
                let at = format!("{day}T{h}")
                    .parse::<DateTime>()
                    .expect("a time of day");
                at > before && at <= now
            })
        })
    }
}

/// Random zones, times, weekdays, holidays and exceptions around clock transitions give the same result as the
/// reference.
#[test]
fn due_times_match_a_minute_by_minute_reference() {
    let mut rng = fastrand::Rng::with_seed(27);
    let zones = [
        "Europe/Paris",
        "Africa/Nairobi",
        "America/Santiago",
        "Australia/Lord_Howe",
        "America/St_Johns",
        "Asia/Kathmandu",
        "Pacific/Apia",
        "Africa/Casablanca",
        "UTC",
    ];
    // Clocks are set forward and back, and Pacific/Apia skipped 2011-12-30.
    let transition_dates = [
        "2026-03-29",
        "2026-10-25",
        "2026-04-05",
        "2026-10-04",
        "2011-12-30",
        "2026-12-31",
    ];
    let weekdays = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
    let mut without_expected = 0;
    for case in 0..150 {
        let zone = zones[rng.usize(0..zones.len())];
        let day: Date = transition_dates[rng.usize(0..transition_dates.len())]
            .parse()
            .expect("a date");
        let nearby_date = |rng: &mut fastrand::Rng| {
            day.checked_add(jiff::Span::new().days(rng.i64(-3..4)))
                .expect("in range")
        };
        let random_time = |rng: &mut fastrand::Rng| {
            format!(
                "{:02}:{:02}",
                rng.u8(0..5) * rng.u8(1..6) % 24,
                rng.u8(0..60)
            )
        };
        let random_times = |rng: &mut fastrand::Rng, n| {
            let all: std::collections::BTreeSet<String> =
                (0..n).map(|_| random_time(rng)).collect();
            all.into_iter().collect::<Vec<_>>()
        };
        let n = rng.usize(1..4);
        let at = random_times(&mut rng, n);
        let days: Vec<&str> = weekdays.into_iter().filter(|_| rng.bool()).collect();
        let holiday = nearby_date(&mut rng);
        let (exception_date, n) = (nearby_date(&mut rng), rng.usize(0..3));
        let exception_times = random_times(&mut rng, n);
        let notice = rng.u32(0..3) * 45;
        let spec = Spec {
            studios: vec![Studio {
                notice_min: notice,
                ..studio(zone)
            }],
            releases: vec![Release {
                at: at.clone(),
                ..release(&[], &days)
            }],
            holidays: vec![Holiday {
                studio: None,
                dates: vec![holiday.to_string()],
            }],
            exceptions: vec![Exception {
                studio: "s".into(),
                class: None,
                date: exception_date.to_string(),
                at: exception_times.clone(),
            }],
            agreements: vec![],
        };
        let calendar = build(&spec);
        let times_on = |d: Date| {
            let weekday = weekdays[d.weekday().to_monday_zero_offset() as usize];
            if d == exception_date {
                exception_times.clone()
            } else if d == holiday || !(days.is_empty() || days.contains(&weekday)) {
                Vec::new()
            } else {
                at.clone()
            }
        };
        let tz = TimeZoneDatabase::bundled()
            .get(zone)
            .expect("a known time zone");
        let walk = ClockWalk {
            zone: &tz,
            times_on: &times_on,
        };
        for _ in 0..3 {
            let accepted = timestamp_ms(&format!("{}T00:00:00Z", nearby_date(&mut rng))) as i64
                + rng.i64(0..86_400_000);
            let expected = walk.next_release(accepted + i64::from(notice) * MINUTE);
            let due = calendar
                .due("t", "any", "job", accepted as u64)
                .map(|d| d.at_ms as i64);
            without_expected += usize::from(expected.is_none());
            if expected.is_some() {
                assert_eq!(
                    due, expected,
                    "case {case}: {zone} {at:?} {days:?} accepted {accepted}"
                );
            }
            // Without notice, a job accepted exactly at a release time is due at that time.
            if let Some(due) = due.filter(|_| notice == 0) {
                assert_eq!(
                    calendar
                        .due("t", "any", "job", due as u64)
                        .map(|d| d.at_ms as i64),
                    Some(due)
                );
            }
        }
    }
    assert!(
        without_expected < 100,
        "most cases have a release time within the range of the reference"
    );
}

/// A job accepted a millisecond after a release time is due at the next one.
#[test]
fn job_accepted_at_a_release_time_is_due_at_it() {
    let calendar = build(&Spec {
        studios: vec![studio("Europe/Paris")],
        releases: vec![release(&["07:00"], &[])],
        ..Spec::default()
    });
    let hour = timestamp_ms("2026-12-02T06:00:00Z");
    let due = |at| calendar.due("t", "c", "j", at).map(|d| d.at_ms);
    assert_eq!(due(hour), Some(hour));
    assert_eq!(due(hour + 1), Some(hour + 86_400_000));
    assert_eq!(
        calendar.due("other", "c", "j", hour),
        None,
        "the team has no studio"
    );
}

#[test]
fn skipped_time_is_due_at_the_gap_and_repeated_time_at_its_first_occurrence() {
    let calendar = build(&Spec {
        studios: vec![studio("Europe/Paris")],
        releases: vec![release(&["02:30"], &[])],
        ..Spec::default()
    });
    let due = |at: &str| {
        calendar
            .due("t", "c", "j", timestamp_ms(at))
            .map(|d| d.at_ms)
    };
    assert_eq!(
        due("2026-03-28T22:00:00Z"),
        Some(timestamp_ms("2026-03-29T01:00:00Z")),
        "the transition at 02:00 skips it"
    );
    assert_eq!(
        due("2026-10-24T22:00:00Z"),
        Some(timestamp_ms("2026-10-25T00:30:00Z")),
        "first occurrence"
    );
    assert_eq!(
        due("2026-10-25T00:31:00Z"),
        Some(timestamp_ms("2026-10-26T01:30:00Z")),
        "not the second occurrence"
    );
}

/// An agreement for a job takes precedence over its studio's times, even if it is in the past. A rule for the class
/// takes precedence over one for any class, a studio that names the team over one that names a node above it, and a
/// nearer node over one further up.
#[test]
fn most_specific_entry_takes_precedence() {
    let text = r#"
        studio = [
            { name = "s", teams = ["t"], zone = "UTC" },
            { name = "house", node = "house", zone = "UTC", notice_min = 60 },
            { name = "desk", node = "desk", zone = "UTC" },
        ]
        release = [
            { studio = "s", at = ["06:00"] },
            { studio = "s", class = "trailer", at = ["08:00"] },
            { studio = "house", at = ["09:00"] },
            { studio = "house", class = "trailer", at = ["09:30"], notice_min = 0 },
            { studio = "desk", at = ["10:00"] },
        ]
        agreement = [{ studio = "s", job = "job-1", at = "2020-01-01T00:00" }]
    "#;
    let at = |name: &str, path: &[&str]| TeamAt {
        name: name.into(),
        path: path.iter().map(|n| (*n).to_owned()).collect(),
    };
    let teams = vec![
        at("t", &["house", "desk"]),
        at("u", &["house", "desk"]),
        at("v", &["house"]),
        at("w", &[]),
    ];
    let around = Around {
        teams: Some(teams),
        nodes: ["house", "desk"].map(str::to_owned).into(),
    };
    let spec = file::parse(text).expect("a valid file").spec;
    let calendar = Calendar::build(&spec, &around)
        .map_err(|f| f[0].to_string())
        .expect("a valid calendar");
    let hour = |team: &str, class: &str, job: &str, at: &str| {
        calendar
            .due(team, class, job, timestamp_ms(at))
            .map(|d| (calendar.local("s", d.at_ms), d.agreed))
    };
    let at = |hour: &str| Some((format!("2026-12-02T{hour}:00+00:00"), false));
    let early = "2026-12-02T01:00:00Z";
    assert_eq!(hour("t", "x", "j", early), at("06:00"));
    assert_eq!(hour("t", "trailer", "j", early), at("08:00"));
    assert_eq!(hour("u", "x", "j", early), at("10:00"));
    assert_eq!(hour("v", "x", "j", early), at("09:00"));
    assert_eq!(
        hour("v", "trailer", "j", "2026-12-02T09:00:00Z"),
        at("09:30"),
        "notice of the class's own rule"
    );
    assert_eq!(
        hour("v", "x", "j", "2026-12-02T08:30:00Z").map(|d| d.0[..10].to_owned()),
        Some("2026-12-03".into())
    );
    assert_eq!(hour("w", "x", "j", early), None);
    assert_eq!(
        hour("w", "x", "job-1", early),
        Some(("2020-01-01T00:00:00+00:00".into(), true))
    );
}

/// Faults name the line, the entry and the field.
#[test]
fn invalid_calendars_are_rejected_with_line_and_field() {
    let known = Around {
        teams: Some(vec![TeamAt {
            name: "t".into(),
            path: vec![],
        }]),
        nodes: Default::default(),
    };
    let studio = "[[studio]]\nname = \"s\"\nteams = [\"t\"]\nzone = \"Europe/Paris\"\n";
    for (text, expected) in [
        (
            "[[studio]]\nname = \"s\"\nzone = \"Europe/Pariss\"",
            "line 1: studio \"s\".zone: \"Europe/Pariss\" is no",
        ),
        (
            "[[studio]]\nname = \"s\"\nzone = \"UTC\"\nteams = [\"x\"]",
            "line 1: studio \"s\".teams: \"x\" is not a team",
        ),
        (
            "[[studio]]\nname = \"s\"\nzone = \"UTC\"\nnode = \"n\"",
            "line 1: studio \"s\".node: \"n\" is not a node",
        ),
        (
            "[[studio]]\nname = \"s\"\nzone = \"UTC\"\ncolour = 1",
            "line 4: file: unknown field `colour`",
        ),
        (
            "[[studio]]\nname = \"s\"\nzone = \"UTC\"\nnotice_min = 99999",
            "line 1: studio \"s\".notice_min: must be",
        ),
        (
            "STUDIO[[studio]]\nname = \"s\"\nzone = \"UTC\"",
            "line 5: studio \"s\".name: is named twice",
        ),
        (
            "STUDIO[[release]]\nstudio = \"s\"\nat = [\"24:00\"]",
            "line 5: release \"s\".at: \"24:00\" is not a time",
        ),
        (
            "STUDIO[[release]]\nstudio = \"s\"\nat = [\"7:00\"]",
            "line 5: release \"s\".at: \"7:00\" is not a time",
        ),
        (
            "STUDIO[[release]]\nstudio = \"s\"\nat = []",
            "line 5: release \"s\".at: must have",
        ),
        (
            "STUDIO[[release]]\nstudio = \"x\"\nat = [\"07:00\"]",
            "line 5: release \"x\".studio: is not a studio",
        ),
        (
            "STUDIO[[release]]\nstudio = \"s\"\nat = [\"07:00\"]\ndays = [\"monday\"]",
            "release \"s\".days: \"monday\"",
        ),
        (
            "STUDIO[[release]]\nstudio = \"s\"\nat = [\"07:00\"]\n[[release]]\nstudio = \"s\"\nat = [\"08:00\"]",
            "line 8: release \"s\".class: any class has another",
        ),
        (
            "STUDIO[[holiday]]\ndates = [\"2026-02-30\"]",
            "line 5: holiday \"all\".dates: \"2026-02-30\" is not a date",
        ),
        (
            "STUDIO[[exception]]\nstudio = \"s\"\ndate = \"2026-13-01\"",
            "line 5: exception \"s\".date: \"2026-13-01\" is not a date",
        ),
        (
            "STUDIO[[agreement]]\nstudio = \"s\"\njob = \"j\"\nat = \"2026-03-29T02:30\"",
            "line 5: agreement \"j\".at: 2026-03-29T02:30 does not exist in s",
        ),
        (
            "STUDIO[[agreement]]\nstudio = \"s\"\njob = \"j\"\nat = \"soon\"",
            "line 5: agreement \"j\".at: \"soon\" is not a local time",
        ),
    ] {
        let text = text.replace("STUDIO", studio);
        let reported = faults(&text, &known);
        assert!(
            reported.iter().any(|f| f.contains(expected)),
            "{text}\nexpected a fault with {expected:?}, got {reported:?}"
        );
    }
    let many = (0..=hours::MAX_AGREEMENTS).map(|i| Agreement {
        studio: "s".into(),
        job: format!("j{i}"),
        at: "2026-12-02T07:00".into(),
    });
    let spec = Spec {
        studios: vec![self::studio("UTC")],
        agreements: many.collect(),
        ..Spec::default()
    };
    assert_eq!(
        Calendar::build(&spec, &known)
            .err()
            .map(|f| f[0].path.clone()),
        Some("agreement".into())
    );
}

/// A calendar survives splitting into parts and rendering as TOML, and differences are listed by entry.
#[test]
fn split_and_joined_calendar_is_unchanged() {
    use document::Content;
    let spec = Spec {
        studios: (0..40)
            .map(|i| Studio {
                name: format!("s{i}"),
                ..studio("UTC")
            })
            .collect(),
        releases: vec![release(&["07:00"], &["mon"])],
        holidays: vec![Holiday {
            studio: None,
            dates: vec!["2026-12-25".into()],
        }],
        ..Spec::default()
    };
    let parts = document::split(&spec, 500).expect("each entry fits");
    assert!(parts.len() > 4 && parts.iter().all(|(_, p)| document::text(p).len() <= 500));
    let head = document::Head {
        parts: parts.iter().map(|(name, _)| name.clone()).collect(),
        ..Default::default()
    };
    assert_eq!(
        document::join::<Spec>(&head, &parts.into_iter().collect()),
        Ok(spec.clone())
    );
    let text = document::file::render(&spec).expect("rendered");
    assert_eq!(file::parse(&text).expect("a valid file").spec, spec);
    let mut other = spec.clone();
    other.releases[0].at = vec!["08:00".into()];
    other.holidays.clear();
    assert_eq!(
        Spec::differences(&spec, &other, 10),
        [
            "holiday of all studios on 2026-12-25: removed, was no releases",
            "release of s, any class: 07:00 on mon -> 08:00 on mon"
        ]
    );
}
