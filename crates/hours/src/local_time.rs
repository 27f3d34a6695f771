//! Parsing of local dates and times, and their conversion to timestamps.

use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone};

/// Parses a date such as `2026-12-24`.
pub(crate) fn parse_date(text: &str) -> Option<Date> {
    // jiff accepts more date formats than this one.
    (text.len() == 10).then(|| text.parse().ok())?
}

/// Parses a time of day such as `07:30`.
pub(crate) fn parse_time(text: &str) -> Option<Time> {
    let (hour, minute) = text
        .split_once(':')
        .filter(|(h, m)| h.len() == 2 && m.len() == 2)?;
    let digits = |s: &str| {
        s.bytes()
            .all(|b| b.is_ascii_digit())
            .then(|| s.parse::<i8>().ok())?
    };
    Time::new(digits(hour)?, digits(minute)?, 0, 0).ok()
}

/// Parses a local date and time such as `2026-12-24T18:00`.
pub(crate) fn parse_date_time(text: &str) -> Option<DateTime> {
    let (date, time) = text.split_once('T')?;
    Some(parse_date(date)?.to_datetime(parse_time(time)?))
}

pub(crate) const WEEKDAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// Returns the index of a weekday name, counted from Monday.
pub(crate) fn parse_weekday(text: &str) -> Option<usize> {
    WEEKDAYS.iter().position(|d| *d == text)
}

pub(crate) fn weekday_index(weekday: Weekday) -> usize {
    weekday.to_monday_zero_offset() as usize
}

/// Whether a local time lies in a gap, which the zone's clock skips at a transition.
pub(crate) fn is_skipped(zone: &TimeZone, at: DateTime) -> bool {
    matches!(
        zone.to_ambiguous_timestamp(at).offset(),
        AmbiguousOffset::Gap { .. }
    )
}

/// The first instant at which the zone's clock has reached a local time, in milliseconds since the Unix epoch.
pub(crate) fn first_reached_ms(zone: &TimeZone, at: DateTime) -> Option<i64> {
    let ambiguous = zone.to_ambiguous_timestamp(at);
    if let AmbiguousOffset::Gap { .. } = ambiguous.offset() {
        // `earlier` resolves a time in a gap to an instant before the transition, so the next transition is the gap's.
        let before = ambiguous.earlier().ok()?;
        return zone
            .following(before)
            .next()
            .map(|t| t.timestamp().as_millisecond());
    }
    Some(ambiguous.earlier().ok()?.as_millisecond())
}
