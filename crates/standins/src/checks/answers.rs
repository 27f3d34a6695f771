//! Checks the responses to users across all nodes and connections: no response is older than what a user already knew
//! when it sent the request, and no submission is accepted that is malformed or can never run.

use std::collections::BTreeMap;
use wire::api::Stage;

/// The maximum number of unacceptable submissions that are tracked.
pub const MAX_UNFIT_TRACKED: usize = 4096;

/// Why a submission can't be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfit {
    /// A field is missing or invalid; the expected status is 400.
    Malformed,
    /// It fits no machine or exceeds its team's limit; the expected status is 422.
    Impossible,
}

/// What a job's user was told, and when it was told first.
#[derive(Debug, Default)]
struct ToldToUser {
    accepted_at: Option<u64>,
    ended: Option<(u64, Stage)>,
}

#[derive(Debug, Default)]
pub struct Answers {
    jobs: BTreeMap<String, ToldToUser>,
    unfit: BTreeMap<String, (Unfit, String)>,
    /// The number of responses that were checked.
    pub judged: u64,
    /// The number of checked responses about unacceptable submissions, and how many submissions were rejected with
    /// 400 or 422.
    pub odd_judged: u64,
    pub odd_refused: u64,
}

impl Answers {
    /// Checks a response about a job, to a request sent at `asked`; returns what is wrong with it, if anything. A
    /// request sent before another response arrived may still be answered with an older state than that response.
    pub fn told(
        &mut self,
        now: u64,
        asked: u64,
        id: &str,
        status: u16,
        stage: Option<Stage>,
    ) -> Option<String> {
        if !matches!(status, 200 | 201 | 400 | 404 | 422) {
            return None;
        }
        self.judged += 1;
        let known = self.jobs.entry(id.to_owned()).or_default();
        let accepted = matches!(status, 200 | 201);
        let stale = match known.ended {
            // A job can't end in two ways, whichever request was sent first.
            Some((_, ended)) if accepted && stage.is_some_and(|s| s.is_final() && s != ended) => {
                true
            }
            Some((at, ended)) if accepted && at < asked => stage != Some(ended),
            _ => !accepted && known.accepted_at.is_some_and(|at| at < asked),
        };
        if accepted {
            known.accepted_at.get_or_insert(now);
        }
        if let Some(stage) = stage.filter(|s| accepted && s.is_final()) {
            known.ended.get_or_insert((now, stage));
        }
        stale.then(|| {
            format!("{now}: {id}, asked {asked}, answered {status} {stage:?} after {known:?}")
        })
    }

    /// Registers a submission that can't be accepted, and why. Returns false if too many are tracked already.
    pub fn sends(&mut self, id: &str, unfit: Unfit, why: String) -> bool {
        let has_space = self.unfit.len() < MAX_UNFIT_TRACKED;
        if has_space {
            self.unfit.insert(id.to_owned(), (unfit, why));
        }
        has_space
    }

    pub fn is_odd(&self, id: &str) -> bool {
        self.unfit.contains_key(id)
    }

    /// Checks a response about an unacceptable submission; returns the rule that it breaks, if any, and why the
    /// submission is unacceptable.
    pub fn odd_told(
        &mut self,
        id: &str,
        submission: bool,
        status: u16,
    ) -> Option<(&'static str, &str)> {
        let (unfit, why) = self.unfit.get(id)?;
        self.odd_judged += 1;
        self.odd_refused += u64::from(submission && matches!(status, 400 | 422));
        let rule = match (status, unfit) {
            (200 | 201, _) if submission => Some("accepted_unfit"),
            (200 | 201, _) => Some("invented"),
            (400, Unfit::Impossible) | (422, Unfit::Malformed) if submission => Some("misjudged"),
            _ => None,
        };
        rule.map(|rule| (rule, why.as_str()))
    }
}
