//! Implements [`Content`] for the calendar.

use crate::{Around, Calendar, Spec, file};
use document::{Content, Fault, Packer};
use std::collections::{BTreeMap, BTreeSet};

impl Content for Spec {
    const KIND: &'static str = "hours";
    const NAME: &'static str = "calendar of release hours";
    const FRAME: usize = 100;
    type Part = Spec;
    type Context = Around;
    type Built = Calendar;

    fn pack(&self, into: &mut Packer<Spec>) {
        self.studios
            .iter()
            .for_each(|e| into.push(e, |p| p.studios.push(e.clone())));
        self.releases
            .iter()
            .for_each(|e| into.push(e, |p| p.releases.push(e.clone())));
        self.holidays
            .iter()
            .for_each(|e| into.push(e, |p| p.holidays.push(e.clone())));
        self.exceptions
            .iter()
            .for_each(|e| into.push(e, |p| p.exceptions.push(e.clone())));
        self.agreements
            .iter()
            .for_each(|e| into.push(e, |p| p.agreements.push(e.clone())));
    }
    fn unpack(&mut self, part: &Spec) {
        self.studios.extend(part.studios.iter().cloned());
        self.releases.extend(part.releases.iter().cloned());
        self.holidays.extend(part.holidays.iter().cloned());
        self.exceptions.extend(part.exceptions.iter().cloned());
        self.agreements.extend(part.agreements.iter().cloned());
    }
    fn build(&self, around: &Around) -> Result<Calendar, Vec<Fault>> {
        Calendar::build(self, around)
    }
    fn differences(old: &Self, new: &Self, most: usize) -> Vec<String> {
        let (before, after) = (describe_entries(old), describe_entries(new));
        let mut out: Vec<String> = Vec::new();
        for key in before.keys().chain(after.keys()).collect::<BTreeSet<_>>() {
            match (before.get(key), after.get(key)) {
                (Some(was), None) => out.push(format!("{key}: removed, was {was}")),
                (None, Some(is)) => out.push(format!("{key}: new, {is}")),
                (Some(was), Some(is)) if was != is => out.push(format!("{key}: {was} -> {is}")),
                _ => {}
            }
        }
        let omitted = out.len().saturating_sub(most);
        out.truncate(most);
        if omitted > 0 {
            out.push(format!("and {omitted} more"));
        }
        out
    }
    fn size(calendar: &Calendar) -> String {
        format!(
            "{} studios and {} agreements",
            calendar.studios().len(),
            calendar.agreed()
        )
    }
    /// Teams removed from the settings and nodes removed from the quota tree have no jobs left to release, so their
    /// names are dropped.
    fn fitting(&self, around: &Around) -> Spec {
        let mut spec = self.clone();
        if let Some(teams) = &around.teams {
            let known: BTreeSet<&str> = teams.iter().map(|t| t.name.as_str()).collect();
            for studio in &mut spec.studios {
                studio.teams.retain(|t| known.contains(t.as_str()));
                studio.node = studio.node.take().filter(|n| around.nodes.contains(n));
            }
        }
        spec
    }
}

/// Descriptions of the entries for display, keyed by what identifies each entry.
fn describe_entries(spec: &Spec) -> BTreeMap<String, String> {
    let class = |c: &Option<String>| {
        c.as_ref()
            .map_or_else(|| "any class".to_owned(), |c| format!("class {c:?}"))
    };
    let mut out = BTreeMap::new();
    for s in &spec.studios {
        let node = s
            .node
            .iter()
            .map(|n| format!(" and node {n}"))
            .collect::<String>();
        let description = format!(
            "teams {}{node} in {}, notice {} min",
            s.teams.join(" "),
            s.zone,
            s.notice_min
        );
        out.insert(format!("{} {}", file::STUDIO, s.name), description);
    }
    for r in &spec.releases {
        let days = if r.days.is_empty() {
            "every day".to_owned()
        } else {
            r.days.join(" ")
        };
        let notice = r
            .notice_min
            .iter()
            .map(|n| format!(", notice {n} min"))
            .collect::<String>();
        let key = format!("{} of {}, {}", file::RELEASE, r.studio, class(&r.class));
        out.insert(key, format!("{} on {days}{notice}", r.at.join(" ")));
    }
    for h in &spec.holidays {
        let studios = h.studio.as_deref().unwrap_or("all studios");
        for date in &h.dates {
            out.insert(
                format!("{} of {studios} on {date}", file::HOLIDAY),
                "no releases".to_owned(),
            );
        }
    }
    for e in &spec.exceptions {
        let key = format!(
            "{} of {}, {}, on {}",
            file::EXCEPTION,
            e.studio,
            class(&e.class),
            e.date
        );
        out.insert(
            key,
            if e.at.is_empty() {
                "no releases".to_owned()
            } else {
                e.at.join(" ")
            },
        );
    }
    for a in &spec.agreements {
        out.insert(
            format!("{} for {}", file::AGREEMENT, a.job),
            format!("{} with {}", a.at, a.studio),
        );
    }
    out
}
