//! Checks that each class, each team and the largest jobs of each class are served.

use super::{JobHistory, LARGEST_BEGIN_MS};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

type Jobs = BTreeMap<String, JobHistory>;

/// Jobs that were submitted and that nobody asked to cancel.
fn uncancelled_jobs(jobs: &Jobs) -> impl Iterator<Item = (&str, &JobHistory)> {
    let uncancelled = jobs
        .iter()
        .filter(|(_, s)| s.submitted_at.is_some() && !s.cancel_asked);
    uncancelled.map(|(id, s)| (id.as_str(), s))
}

/// The largest tenth of the jobs of each class, by number of tasks.
fn largest(jobs: &Jobs) -> BTreeSet<&str> {
    let mut classes: BTreeMap<&str, Vec<(Reverse<u32>, &str)>> = BTreeMap::new();
    for (id, seen) in uncancelled_jobs(jobs) {
        classes
            .entry(&seen.class)
            .or_default()
            .push((Reverse(seen.tasks), id));
    }
    let tenth = |of: &mut Vec<(Reverse<u32>, &'_ str)>| {
        of.sort();
        of.truncate(of.len().div_ceil(10));
    };
    classes.values_mut().for_each(tenth);
    classes.into_values().flatten().map(|(_, id)| id).collect()
}

/// Groups in which less than half of the jobs have begun, or less than half have ended.
pub(super) fn below_half(jobs: &Jobs) -> Vec<String> {
    let largest = largest(jobs);
    let mut groups: BTreeMap<String, (usize, usize, usize)> = BTreeMap::new();
    for (id, seen) in uncancelled_jobs(jobs) {
        let large = largest
            .contains(id)
            .then(|| format!("largest of {}", seen.class));
        let of = [
            Some(format!("class {}", seen.class)),
            Some(format!("team {}", seen.team)),
            large,
        ];
        for group in of.into_iter().flatten() {
            let (all, began, ended) = groups.entry(group).or_default();
            *all += 1;
            *began += usize::from(seen.began_at.is_some());
            *ended +=
                usize::from(seen.ended_at.is_some() || (seen.service && seen.began_at.is_some()));
        }
    }
    let below = |(group, (all, began, ended)): (String, (usize, usize, usize))| {
        (2 * began.min(ended) < all)
            .then(|| format!("{group}: {began} began and {ended} ended of {all}"))
    };
    groups.into_iter().filter_map(below).collect()
}

/// The largest jobs that were accepted but did not begin in time.
pub(super) fn largest_late(jobs: &Jobs, now: u64) -> Vec<String> {
    let late = |id: &&str| {
        let seen = &jobs[*id];
        let waited = seen
            .began_at
            .unwrap_or(now)
            .saturating_sub(seen.submitted_at.unwrap_or(now));
        seen.accepted_at.is_some() && waited > LARGEST_BEGIN_MS
    };
    largest(jobs)
        .into_iter()
        .filter(late)
        .map(str::to_owned)
        .collect()
}
