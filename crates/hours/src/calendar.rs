//! The validated, immutable calendar.

use crate::file::{AGREEMENT, EXCEPTION, HOLIDAY, RELEASE, STUDIO};
use crate::local_time::{
    WEEKDAYS, first_reached_ms, is_skipped, parse_date, parse_date_time, parse_time, parse_weekday,
    weekday_index,
};
use crate::spec::{Agreement, Exception, Holiday, Release, Spec, Studio};
use crate::{
    MAX_AGREEMENTS, MAX_AHEAD_DAYS, MAX_DATES, MAX_HOURS, MAX_NAME, MAX_NOTICE, MAX_RELEASES,
    MAX_STUDIOS, MAX_TEAMS,
};
use document::{Fault, Faults, Place, short};
use jiff::civil::{Date, Time};
use jiff::tz::{TimeZone, TimeZoneDatabase};
use jiff::{Timestamp, ToSpan};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A team and the nodes above it in the quota tree, the nearest last.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TeamAt {
    pub name: String,
    pub path: Vec<String>,
}

/// The settings and the quota tree that a calendar is validated against.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Around {
    /// Teams in the settings. With `None`, names of teams and nodes are not checked.
    pub teams: Option<Vec<TeamAt>>,
    /// Names of the nodes in the quota tree.
    pub nodes: BTreeSet<String>,
}

/// The release time that applies to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the time was agreed for this job alone.
    pub agreed: bool,
}

/// Validated release rules of one studio.
struct StudioRules {
    name: String,
    zone: TimeZone,
    notice_ms: i64,
    /// Rules by job class; `None` holds the rule of classes without one of their own.
    by_class: HashMap<Option<String>, ReleaseRule>,
    /// Release times that replace the rules on single days, by job class as in `by_class`.
    exceptions: BTreeMap<Date, HashMap<Option<String>, Vec<Time>>>,
    holidays: BTreeSet<Date>,
}

/// Regular release times on weekdays, sorted, and the minimum notice if it differs from the studio's.
struct ReleaseRule {
    times: Vec<Time>,
    days: [bool; WEEKDAYS.len()],
    notice_ms: Option<i64>,
}

/// Determines the release time of each job.
#[derive(Default)]
pub struct Calendar {
    studios: Vec<StudioRules>,
    /// Index into `studios` by team name.
    studio_of_team: HashMap<String, usize>,
    /// Agreed release times by job id, in milliseconds since the Unix epoch.
    agreed_times: HashMap<String, u64>,
}

impl Calendar {
    /// Validates a spec. Returns all faults, not only the first.
    pub fn build(spec: &Spec, around: &Around) -> Result<Calendar, Vec<Fault>> {
        let mut b = Builder {
            spec,
            faults: Faults::default(),
            calendar: Calendar::default(),
            studio_index: HashMap::new(),
        };
        b.check_entry_counts();
        if b.faults.is_empty() {
            b.add_studios();
            b.assign_teams(around);
            b.add_releases();
            b.add_holidays();
            b.add_exceptions();
            b.add_agreements();
        }
        b.faults.or(b.calendar)
    }

    /// The release time of a job accepted at `accepted_ms`; `None` if the job has no agreement and its team no studio,
    /// or if the studio has no release within [`MAX_AHEAD_DAYS`].
    pub fn due(&self, team: &str, class: &str, job: &str, accepted_ms: u64) -> Option<Due> {
        if let Some(at_ms) = self.agreed_times.get(job) {
            return Some(Due {
                at_ms: *at_ms,
                agreed: true,
            });
        }
        let rules = self.studios.get(*self.studio_of_team.get(team)?)?;
        let at_ms =
            u64::try_from(rules.next_release(class, i64::try_from(accepted_ms).ok()?)?).ok()?;
        Some(Due {
            at_ms,
            agreed: false,
        })
    }

    /// Name of the studio that a team belongs to.
    pub fn studio_of(&self, team: &str) -> Option<&str> {
        self.studio_of_team
            .get(team)
            .and_then(|i| self.studios.get(*i))
            .map(|s| s.name.as_str())
    }

    pub fn studios(&self) -> Vec<&str> {
        self.studios.iter().map(|s| s.name.as_str()).collect()
    }

    /// Number of agreements for single jobs.
    pub fn agreed(&self) -> usize {
        self.agreed_times.len()
    }

    /// Formats a timestamp in the studio's time zone, or in UTC if the studio is unknown.
    pub fn local(&self, studio: &str, at_ms: u64) -> String {
        let zone = self
            .studios
            .iter()
            .find(|s| s.name == studio)
            .map_or(TimeZone::UTC, |s| s.zone.clone());
        let at = i64::try_from(at_ms)
            .ok()
            .and_then(|ms| Timestamp::from_millisecond(ms).ok());
        at.map_or_else(
            || at_ms.to_string(),
            |t| {
                t.to_zoned(zone)
                    .strftime("%Y-%m-%dT%H:%M:%S%:z")
                    .to_string()
            },
        )
    }

    /// Parses a time that an operator gives for a studio: a local time (`2026-12-24T18:00`), or one with an offset.
    pub fn moment(&self, studio: &str, text: &str) -> Result<u64, String> {
        let rules = self.studios.iter().find(|s| s.name == studio);
        let at = match (parse_date_time(text), rules) {
            (Some(local), Some(rules)) if is_skipped(&rules.zone, local) => {
                return Err(format!(
                    "{text} does not exist in {studio}: its clocks skip it"
                ));
            }
            (Some(local), Some(rules)) => first_reached_ms(&rules.zone, local),
            _ => text
                .parse::<Timestamp>()
                .ok()
                .map(Timestamp::as_millisecond),
        };
        let at = at.and_then(|ms| u64::try_from(ms).ok());
        at.ok_or_else(|| {
            format!(
                "{text:?} is not a valid time; use 2026-12-24T18:00 or 2026-12-24T18:00:00+01:00"
            )
        })
    }
}

impl StudioRules {
    fn next_release(&self, class: &str, accepted_ms: i64) -> Option<i64> {
        let class = Some(class.to_owned());
        let rule = self
            .by_class
            .get(&class)
            .or_else(|| self.by_class.get(&None));
        let notice = rule.and_then(|r| r.notice_ms).unwrap_or(self.notice_ms);
        let earliest_ms = accepted_ms.checked_add(notice)?;
        let today = Timestamp::from_millisecond(earliest_ms)
            .ok()?
            .to_zoned(self.zone.clone())
            .date();
        // A clock may have been set back over midnight: what it reached first lies up to two days further on.
        let mut day = today.checked_sub(2.days()).ok()?;
        for _ in 0..MAX_AHEAD_DAYS {
            let times = self.times_on(&class, rule, day);
            // Sorted local times give ascending instants, since each is due when the clock first reaches it.
            let due = times
                .iter()
                .filter_map(|time| first_reached_ms(&self.zone, day.to_datetime(*time)));
            if let Some(at) = due.into_iter().find(|at| *at >= earliest_ms) {
                return Some(at);
            }
            day = day.tomorrow().ok()?;
        }
        None
    }

    /// Release times on one day: those of an exception if there is one, otherwise those of the rule.
    fn times_on<'a>(
        &'a self,
        class: &Option<String>,
        rule: Option<&'a ReleaseRule>,
        day: Date,
    ) -> &'a [Time] {
        let exception = self
            .exceptions
            .get(&day)
            .and_then(|e| e.get(class).or_else(|| e.get(&None)));
        if let Some(times) = exception {
            return times;
        }
        let rule =
            rule.filter(|r| r.days[weekday_index(day.weekday())] && !self.holidays.contains(&day));
        rule.map_or(&[], |r| r.times.as_slice())
    }
}

/// Validates a spec and collects its faults while it fills the calendar.
struct Builder<'a> {
    spec: &'a Spec,
    faults: Faults,
    calendar: Calendar,
    /// Index of each studio by name.
    studio_index: HashMap<&'a str, usize>,
}

impl Builder<'_> {
    /// Rejects lists above their limits. The entries are then not checked at all.
    fn check_entry_counts(&mut self) {
        let s = self.spec;
        let dates = s.exceptions.len() + s.holidays.iter().map(|h| h.dates.len()).sum::<usize>();
        for (what, n, most) in [
            (STUDIO, s.studios.len(), MAX_STUDIOS),
            (RELEASE, s.releases.len(), MAX_RELEASES),
            ("exception and holiday", dates, MAX_DATES),
            (AGREEMENT, s.agreements.len(), MAX_AGREEMENTS),
        ] {
            if n > most {
                self.faults.add(
                    Place::Whole,
                    what,
                    format!("{n} entries; at most {most} are allowed"),
                );
            }
        }
    }

    /// Adds a fault for a field of the entry with the given index and name.
    fn add_fault(
        &mut self,
        list: &str,
        i: usize,
        name: &str,
        field: &str,
        what: impl Into<String>,
    ) {
        let path = format!("{list} {:?}.{field}", short(name));
        self.faults.add(Place::entry(list, i), path, what);
    }

    /// Checks that a name can be stored and displayed.
    fn check_name(&mut self, list: &str, i: usize, name: &str, field: &str) {
        if name.is_empty() || name.len() > MAX_NAME || name.chars().any(char::is_control) {
            let what = format!("must be 1 to {MAX_NAME} bytes without control characters");
            self.add_fault(list, i, name, field, what);
        }
    }

    /// Checks a notice period and converts it to milliseconds.
    fn check_notice(&mut self, list: &str, i: usize, name: &str, minutes: u32) -> i64 {
        if minutes > MAX_NOTICE {
            self.add_fault(
                list,
                i,
                name,
                "notice_min",
                format!("must be at most {MAX_NOTICE}, is {minutes}"),
            );
        }
        i64::from(minutes) * 60_000
    }

    fn add_studios(&mut self) {
        let spec = self.spec;
        let zones = TimeZoneDatabase::bundled();
        for (
            i,
            Studio {
                name,
                zone,
                notice_min,
                teams,
                ..
            },
        ) in spec.studios.iter().enumerate()
        {
            self.check_name(STUDIO, i, name, "name");
            if self.studio_index.insert(name, i).is_some() {
                self.add_fault(STUDIO, i, name, "name", "is named twice");
            }
            if teams.len() > MAX_TEAMS {
                self.add_fault(STUDIO, i, name, "teams", format!("more than {MAX_TEAMS}"));
            }
            let known = zones.get(zone);
            if known.is_err() {
                self.add_fault(
                    STUDIO,
                    i,
                    name,
                    "zone",
                    format!("{:?} is no time zone", short(zone)),
                );
            }
            let notice_ms = self.check_notice(STUDIO, i, name, *notice_min);
            self.calendar.studios.push(StudioRules {
                name: name.clone(),
                zone: known.unwrap_or(TimeZone::UTC),
                notice_ms,
                by_class: HashMap::new(),
                exceptions: BTreeMap::new(),
                holidays: BTreeSet::new(),
            });
        }
    }

    /// Assigns each team to the studio that names it, or else to the studio of the nearest node above it.
    fn assign_teams(&mut self, around: &Around) {
        let spec = self.spec;
        let known = around.teams.as_ref();
        let names: Option<BTreeSet<&str>> =
            known.map(|all| all.iter().map(|t| t.name.as_str()).collect());
        let mut of_node: HashMap<&str, usize> = HashMap::new();
        for (i, studio) in spec.studios.iter().enumerate() {
            for team in &studio.teams {
                if names
                    .as_ref()
                    .is_some_and(|names| !names.contains(team.as_str()))
                {
                    let what = format!("{:?} is not a team in the settings", short(team));
                    self.add_fault(STUDIO, i, &studio.name, "teams", what);
                }
                if self
                    .calendar
                    .studio_of_team
                    .insert(team.clone(), i)
                    .is_some()
                {
                    let what = format!("{:?} is named twice", short(team));
                    self.add_fault(STUDIO, i, &studio.name, "teams", what);
                }
            }
            let Some(node) = &studio.node else { continue };
            if known.is_some() && !around.nodes.contains(node) {
                let what = format!("{:?} is not a node of the quota tree", short(node));
                self.add_fault(STUDIO, i, &studio.name, "node", what);
            }
            if of_node.insert(node, i).is_some() {
                let what = format!("{:?} belongs to another studio already", short(node));
                self.add_fault(STUDIO, i, &studio.name, "node", what);
            }
        }
        for team in known.into_iter().flatten() {
            let nearest = team.path.iter().rev().find_map(|n| of_node.get(n.as_str()));
            if let Some(i) = nearest {
                self.calendar
                    .studio_of_team
                    .entry(team.name.clone())
                    .or_insert(*i);
            }
        }
    }

    /// Finds the index of the studio that an entry refers to.
    fn find_studio(&mut self, list: &str, i: usize, name: &str) -> Option<usize> {
        let index = self.studio_index.get(name).copied();
        if index.is_none() {
            self.add_fault(list, i, name, "studio", "is not a studio of this calendar");
        }
        index
    }

    /// Parses the local times of an entry and sorts them.
    fn parse_times(&mut self, list: &str, i: usize, name: &str, at: &[String]) -> Vec<Time> {
        if at.len() > MAX_HOURS {
            self.add_fault(list, i, name, "at", format!("more than {MAX_HOURS} times"));
        }
        let mut out = BTreeSet::new();
        for text in at {
            match parse_time(text) {
                Some(time) if out.insert(time) => {}
                Some(_) => self.add_fault(list, i, name, "at", format!("{text:?} is named twice")),
                None => {
                    let what = format!("{:?} is not a time of day such as \"07:30\"", short(text));
                    self.add_fault(list, i, name, "at", what)
                }
            }
        }
        out.into_iter().collect()
    }

    fn parse_date(
        &mut self,
        list: &str,
        i: usize,
        name: &str,
        field: &str,
        text: &str,
    ) -> Option<Date> {
        let day = parse_date(text);
        if day.is_none() {
            let what = format!("{:?} is not a date such as \"2026-12-24\"", short(text));
            self.add_fault(list, i, name, field, what);
        }
        day
    }

    fn add_releases(&mut self) {
        let spec = self.spec;
        for (
            i,
            Release {
                studio,
                class,
                at,
                days,
                notice_min,
            },
        ) in spec.releases.iter().enumerate()
        {
            let times = self.parse_times(RELEASE, i, studio, at);
            if at.is_empty() {
                self.add_fault(RELEASE, i, studio, "at", "must have at least one time");
            }
            let mut week = [days.is_empty(); WEEKDAYS.len()];
            for name in days {
                match parse_weekday(name) {
                    Some(d) if !week[d] => week[d] = true,
                    Some(_) => self.add_fault(
                        RELEASE,
                        i,
                        studio,
                        "days",
                        format!("{name:?} is named twice"),
                    ),
                    None => {
                        let what = format!(
                            "{:?} is not a weekday; must be one of {}",
                            short(name),
                            WEEKDAYS.join(" ")
                        );
                        self.add_fault(RELEASE, i, studio, "days", what)
                    }
                }
            }
            class
                .iter()
                .for_each(|c| self.check_name(RELEASE, i, c, "class"));
            let notice_ms = notice_min.map(|n| self.check_notice(RELEASE, i, studio, n));
            let Some(index) = self.find_studio(RELEASE, i, studio) else {
                continue;
            };
            let rule = ReleaseRule {
                times,
                days: week,
                notice_ms,
            };
            if self.calendar.studios[index]
                .by_class
                .insert(class.clone(), rule)
                .is_some()
            {
                let what = match class {
                    Some(class) => format!(
                        "{:?} has another release of this studio already",
                        short(class)
                    ),
                    None => "any class has another release of this studio already".to_owned(),
                };
                self.add_fault(RELEASE, i, studio, "class", what);
            }
        }
    }

    fn add_holidays(&mut self) {
        let spec = self.spec;
        for (i, Holiday { studio, dates }) in spec.holidays.iter().enumerate() {
            let name = studio.as_deref().unwrap_or("all");
            let days: Vec<Date> = dates
                .iter()
                .filter_map(|text| self.parse_date(HOLIDAY, i, name, "dates", text))
                .collect();
            let range = match studio {
                Some(studio) => self
                    .find_studio(HOLIDAY, i, studio)
                    .map_or(0..0, |s| s..s + 1),
                None => 0..self.calendar.studios.len(),
            };
            for rules in &mut self.calendar.studios[range] {
                rules.holidays.extend(&days);
            }
        }
    }

    fn add_exceptions(&mut self) {
        let spec = self.spec;
        for (
            i,
            Exception {
                studio,
                class,
                date: text,
                at,
            },
        ) in spec.exceptions.iter().enumerate()
        {
            let times = self.parse_times(EXCEPTION, i, studio, at);
            class
                .iter()
                .for_each(|c| self.check_name(EXCEPTION, i, c, "class"));
            let day = self.parse_date(EXCEPTION, i, studio, "date", text);
            let (Some(index), Some(day)) = (self.find_studio(EXCEPTION, i, studio), day) else {
                continue;
            };
            let of_day = self.calendar.studios[index]
                .exceptions
                .entry(day)
                .or_default();
            if of_day.insert(class.clone(), times).is_some() {
                self.add_fault(
                    EXCEPTION,
                    i,
                    studio,
                    "date",
                    format!("{text} has another exception for this class already"),
                );
            }
        }
    }

    fn add_agreements(&mut self) {
        let spec = self.spec;
        for (i, Agreement { studio, job, at }) in spec.agreements.iter().enumerate() {
            self.check_name(AGREEMENT, i, job, "job");
            let Some(index) = self.find_studio(AGREEMENT, i, studio) else {
                continue;
            };
            let zone = self.calendar.studios[index].zone.clone();
            let Some(local) = parse_date_time(at) else {
                let what = format!(
                    "{:?} is not a local time such as \"2026-12-24T18:00\"",
                    short(at)
                );
                self.add_fault(AGREEMENT, i, job, "at", what);
                continue;
            };
            if is_skipped(&zone, local) {
                let what = format!("{at} does not exist in {studio}: its clocks skip it");
                self.add_fault(AGREEMENT, i, job, "at", what);
                continue;
            }
            let due = first_reached_ms(&zone, local).and_then(|ms| u64::try_from(ms).ok());
            let Some(due) = due else {
                self.add_fault(
                    AGREEMENT,
                    i,
                    job,
                    "at",
                    format!("{at} is out of range; must be in 1970 or later"),
                );
                continue;
            };
            if self
                .calendar
                .agreed_times
                .insert(job.clone(), due)
                .is_some()
            {
                self.add_fault(AGREEMENT, i, job, "job", "has another agreement already");
            }
        }
    }
}
