//! Release hours: by when each studio's jobs are to be released.
//!
//! A [`Spec`] is what operators write: studios (teams, or nodes of the quota tree), for each class of their jobs the
//! local times of release with weekdays, holidays, exceptions and the least notice, and agreements for single jobs.
//! [`Calendar::build`] checks it; [`Calendar::due`] says which hour applies to a job accepted at a moment: the first
//! one that leaves at least the notice.
//!
//! An hour is due at the first moment at which the zone's clock has reached it. So an hour that a clock skips is due
//! when it skips it, and of one that comes twice the first counts: both on the side of an earlier release.
//! `docs/hours/design.md` weighs the ways and names the published sources.
//!
//! Time zones are those of the bundled tz database, so that all controllers of one version agree.
//!
//! This package may not do I/O, read a clock or draw random numbers. It knows nothing of records or plans.
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
//! // Friday, 2026-12-04 06:31 in Paris: half an hour's notice is no longer left, and the next is on Monday.
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

pub const MAX_STUDIOS: usize = 1_000;
pub const MAX_RELEASES: usize = 5_000;
/// Exceptions, and holidays.
pub const MAX_DATES: usize = 10_000;
pub const MAX_AGREEMENTS: usize = 20_000;
/// Hours of one day, and teams of one studio.
pub const MAX_HOURS: usize = 48;
pub const MAX_TEAMS: usize = 1_000;
/// Bytes of a name.
pub const MAX_NAME: usize = 120;
/// Minutes of notice: two weeks.
pub const MAX_NOTICE: u32 = 14 * 24 * 60;
/// A job whose studio releases nothing for so many days has no hour.
pub const MAX_AHEAD_DAYS: u32 = 400;
