//! Local times as moments.

use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone};

pub(crate) fn parse_date(text: &str) -> Option<Date> {
    // The library takes more forms than are written here.
    (text.len() == 10).then(|| text.parse().ok())?
}

/// `07:30`.
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

/// `2026-12-24T18:00`.
pub(crate) fn parse_date_time(text: &str) -> Option<DateTime> {
    let (date, time) = text.split_once('T')?;
    Some(parse_date(date)?.to_datetime(parse_time(time)?))
}

pub(crate) const WEEKDAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

pub(crate) fn parse_weekday(text: &str) -> Option<usize> {
    WEEKDAYS.iter().position(|d| *d == text)
}

pub(crate) fn weekday_index(weekday: Weekday) -> usize {
    weekday.to_monday_zero_offset() as usize
}

/// Whether no clock of the zone ever shows this.
pub(crate) fn is_skipped(zone: &TimeZone, at: DateTime) -> bool {
    matches!(
        zone.to_ambiguous_timestamp(at).offset(),
        AmbiguousOffset::Gap { .. }
    )
}

/// The first moment at which the zone's clock has reached this, in milliseconds.
pub(crate) fn first_reached_ms(zone: &TimeZone, at: DateTime) -> Option<i64> {
    let ambiguous = zone.to_ambiguous_timestamp(at);
    if let AmbiguousOffset::Gap { .. } = ambiguous.offset() {
        // The clock passes it by: at the change that lies between the two readings.
        let before = ambiguous.earlier().ok()?;
        return zone
            .following(before)
            .next()
            .map(|t| t.timestamp().as_millisecond());
    }
    Some(ambiguous.earlier().ok()?.as_millisecond())
}
