//! Release hours: the deadlines by which each studio's jobs are to be released.
//!
//! A [`Spec`] is what operators write: studios (teams, or nodes of the quota tree), the local release times for each
//! class of their jobs with weekdays, holidays, exceptions and the minimum notice, and agreements for single jobs.
//! [`Calendar::build`] validates it. [`Calendar::due`] returns the release time that applies to a job accepted at a
//! given time: the first one that is at least the notice away.
//!
//! A release time is due at the first instant at which the zone's local clock has reached it. A time in a gap (clocks
//! set forward) is due at the transition, and a time that occurs twice (clocks set back) is due at its first
//! occurrence. Both choices prefer the earlier release. `docs/hours/design.md` compares the alternatives and names the
//! published sources.
//!
//! Time zones come from the bundled tz database, so that all controllers of the same version agree.
//!
//! This package must not do I/O, read a clock or draw random numbers. It is independent of records and plans.
//!
//! ```
//! let text = r#"
//! [[studio]]
//! name = "atelier"
//! teams = ["comp"]
//! zone = "Europe/Paris"
//! notice_min = 30
//! [[release]]
//! studio = "atelier"
//! at = ["07:00"]
//! days = ["mon", "tue", "wed", "thu", "fri"]
//! "#;
//! let spec = hours::file::parse(text).map_err(|f| f[0].to_string())?.spec;
//! let calendar = hours::Calendar::build(&spec, &hours::Around::default()).map_err(|f| f[0].to_string())?;
//! // Friday, 2026-12-04 06:31 in Paris: less than 30 minutes remain before 07:00, so the job is due on Monday.
//! let due = calendar.due("comp", "any", "job-000001", 1_796_362_260_000).expect("a studio's job");
//! assert_eq!(due.at_ms, 1_796_623_200_000);
//! # Ok::<(), String>(())
//! ```

mod calendar;
mod content;
pub mod file;
mod local_time;
mod spec;

pub use calendar::{Around, Calendar, Due, TeamAt};
pub use document::{Fault, Place};
pub use spec::{Agreement, Exception, Holiday, Release, Spec, Studio};

// Limits on what a calendar may contain.

pub const MAX_STUDIOS: usize = 1_000;
pub const MAX_RELEASES: usize = 5_000;
/// Exceptions and holiday dates together.
pub const MAX_DATES: usize = 10_000;
pub const MAX_AGREEMENTS: usize = 20_000;
/// Release times in one `at` list.
pub const MAX_HOURS: usize = 48;
/// Teams named by one studio.
pub const MAX_TEAMS: usize = 1_000;
/// Length of a name in bytes.
pub const MAX_NAME: usize = 120;
/// Minutes of notice: two weeks.
pub const MAX_NOTICE: u32 = 14 * 24 * 60;
/// Number of days searched for a release time. A job whose studio releases nothing in that period has none.
pub const MAX_AHEAD_DAYS: u32 = 400;
