//! The file format in which operators write a calendar.

use crate::spec::{Agreement, Exception, Holiday, Release, Spec, Studio};
use document::Fault;
use document::file::{self, Lines, Spanned};
use serde::Deserialize;

// Names of the lists in a file, also used in faults.
pub(crate) const STUDIO: &str = "studio";
pub(crate) const RELEASE: &str = "release";
pub(crate) const HOLIDAY: &str = "holiday";
pub(crate) const EXCEPTION: &str = "exception";
pub(crate) const AGREEMENT: &str = "agreement";

/// A parsed file and the lines of its entries.
pub type Parsed = file::Parsed<Spec>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    studio: Vec<Spanned<Studio>>,
    #[serde(default)]
    release: Vec<Spanned<Release>>,
    #[serde(default)]
    holiday: Vec<Spanned<Holiday>>,
    #[serde(default)]
    exception: Vec<Spanned<Exception>>,
    #[serde(default)]
    agreement: Vec<Spanned<Agreement>>,
}

impl file::Raw for Raw {
    type Spec = Spec;
    fn spec(self, lines: &mut Lines) -> Spec {
        Spec {
            studios: lines.list(STUDIO, self.studio),
            releases: lines.list(RELEASE, self.release),
            holidays: lines.list(HOLIDAY, self.holiday),
            exceptions: lines.list(EXCEPTION, self.exception),
            agreements: lines.list(AGREEMENT, self.agreement),
        }
    }
}

/// Parses the text of a file. The calendar is validated by [`crate::Calendar::build`].
pub fn parse(text: &str) -> Result<Parsed, Vec<Fault>> {
    file::parse::<Raw>(text)
}
