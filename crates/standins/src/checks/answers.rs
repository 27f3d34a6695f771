//! What users were answered, over all nodes and connections: never anything older than what they had been told before they
//! asked, and no acceptance of what can't run or has no form.

use std::collections::BTreeMap;
use wire::api::Stage;

/// Submissions that can't be taken are kept track of up to here.
pub const MAX_UNFIT_TRACKED: usize = 4096;

/// What is wrong with a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfit {
    /// A field is missing or invalid: 400.
    Malformed,
    /// It fits no machine, or its team may not use so much: 422.
    Impossible,
}

/// What the user of a job was told, and when that was received first.
#[derive(Debug, Default)]
struct ToldToUser {
    accepted_at: Option<u64>,
    ended: Option<(u64, Stage)>,
}

#[derive(Debug, Default)]
pub struct Answers {
    jobs: BTreeMap<String, ToldToUser>,
    unfit: BTreeMap<String, (Unfit, String)>,
    /// Answers that were judged.
    pub judged: u64,
    /// The same to submissions that can't be taken, and how many of them were refused for good.
    pub odd_judged: u64,
    pub odd_refused: u64,
}

impl Answers {
    /// An answer about a job to a question that was asked at this time; what is wrong with it, if anything. What was asked
    /// before another answer had come may still be from before that one.
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
            // Of two ends one is wrong, whichever was asked for first.
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

    /// A user sends this, which can't be taken, and why. False if there have been too many.
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

    /// An answer about a submission that can't be taken; the rule that it breaks, if any, and why it couldn't be.
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
