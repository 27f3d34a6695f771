//! Validates counties and binds jobs to them.

use crate::spec::{Apart, CountySpec, Others, Rule, Spec, matches_pattern};
use crate::{MAX_COUNTIES, MAX_ID, MAX_NAME, MAX_NAMES, MAX_RULES, MAX_ZONES, OTHER};
use document::{Fault, Faults, Place};
use std::collections::{BTreeSet, HashMap};

/// The names that a counties document may refer to.
#[derive(Debug, Clone, Default)]
pub struct Known {
    pub teams: BTreeSet<String>,
    pub zones: BTreeSet<String>,
    /// Nodes of the quota tree; `None` if they are not known, in which case they are not checked.
    pub desks: Option<BTreeSet<String>>,
}

/// The properties of a job that rules match on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Job<'a> {
    pub id: &'a str,
    pub team: &'a str,
    /// The ancestors of its team in the quota tree.
    pub desks: &'a [&'a str],
    pub class: &'a str,
    pub zone: Option<&'a str>,
    pub image: &'a str,
}

/// The county that a job is bound to, with the restrictions on where it may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bound {
    pub county: String,
    /// Whether the job must not share a machine with jobs outside its county at the same time.
    pub alone: bool,
    /// The only zones that the job may run in; empty if it may run in all.
    pub zones: Vec<String>,
}

/// Why a job could not be bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unbound {
    /// No rule matches, and the document refuses such jobs.
    NoCounty,
    /// The job requests a zone that its county may not use.
    ForeignZone,
}

/// A validated counties document, indexed for binding jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Counties {
    spec: Spec,
    /// The rules of open counties, in order: index of the county, and index of the rule within it.
    rules: Vec<(usize, usize)>,
    /// Indices into `rules`, by a name that a job must have to match the rule.
    rules_by_name: HashMap<(Field, String), Vec<usize>>,
    /// Indices into `rules` of those that have to be tried for every job.
    unindexed_rules: Vec<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Field {
    Id,
    Team,
    Desk,
    Image,
    Class,
    Zone,
}

impl Counties {
    /// Validates the document by itself and against the known names.
    pub fn build(spec: &Spec, known: &Known) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::default();
        let rules: usize = spec.counties.iter().map(|c| c.rules.len()).sum();
        if spec.counties.len() > MAX_COUNTIES || rules > MAX_RULES {
            let what = format!(
                "{} counties with {rules} rules; at most {MAX_COUNTIES} and {MAX_RULES} are allowed",
                spec.counties.len()
            );
            return Err(vec![Fault::whole("county", what)]);
        }
        if rules == 0 && spec.others == Others::Refuse {
            faults.add(
                Place::Whole,
                "others",
                "without any rule, every job would be refused",
            );
        }
        let mut seen = BTreeSet::new();
        for (i, c) in spec.counties.iter().enumerate() {
            check_county(spec, known, &mut faults, i);
            if !seen.insert(c.id.as_str()) {
                faults.add(
                    Place::entry("county", i),
                    fault_path(c),
                    "duplicate county id",
                );
            }
        }
        report_shadowed_rules(spec, &mut faults);
        let mut out = Counties {
            spec: spec.clone(),
            rules: Vec::new(),
            rules_by_name: HashMap::new(),
            unindexed_rules: Vec::new(),
        };
        out.index_rules();
        faults.or(out)
    }

    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    pub fn county(&self, id: &str) -> Option<&CountySpec> {
        self.spec.counties.iter().find(|c| c.id == id)
    }

    /// All nodes of the quota tree that rules refer to, with the county's id and the index of the rule.
    pub fn desks(&self) -> impl Iterator<Item = (&str, usize, &String)> {
        let rules = self
            .spec
            .counties
            .iter()
            .flat_map(|c| c.rules.iter().enumerate().map(move |r| (c, r)));
        rules.flat_map(|(c, (r, rule))| rule.desks.iter().map(move |d| (c.id.as_str(), r, d)))
    }

    /// Binds a job to the county of the first rule that matches it.
    pub fn bind(&self, job: &Job<'_>) -> Result<Bound, Unbound> {
        let none: &[usize] = &[];
        let at = |field, name: &str| {
            self.rules_by_name
                .get(&(field, name.to_owned()))
                .map_or(none, Vec::as_slice)
        };
        let mut lists = vec![
            self.unindexed_rules.as_slice(),
            at(Field::Id, job.id),
            at(Field::Team, job.team),
            at(Field::Image, job.image),
            at(Field::Class, job.class),
        ];
        lists.extend(job.zone.map(|z| at(Field::Zone, z)));
        lists.extend(job.desks.iter().map(|d| at(Field::Desk, d)));
        // Each list is in rule order, so the first matching rule overall is the lowest of the first matches per list.
        let first = |list: &&[usize]| list.iter().copied().find(|n| self.rule_matches(*n, job));
        let Some(n) = lists.iter().filter_map(first).min() else {
            return match self.spec.others {
                Others::Refuse => Err(Unbound::NoCounty),
                Others::Count => Ok(Bound {
                    county: OTHER.into(),
                    alone: false,
                    zones: Vec::new(),
                }),
            };
        };
        let c = &self.spec.counties[self.rules[n].0];
        let zones = if c.apart == Apart::Zones {
            c.zones.clone()
        } else {
            Vec::new()
        };
        if !zones.is_empty() && job.zone.is_some_and(|z| !zones.iter().any(|own| own == z)) {
            return Err(Unbound::ForeignZone);
        }
        Ok(Bound {
            county: c.id.clone(),
            alone: c.apart == Apart::Machine,
            zones,
        })
    }

    fn rule_matches(&self, n: usize, job: &Job<'_>) -> bool {
        let (c, r) = self.rules[n];
        let rule = &self.spec.counties[c].rules[r];
        let contains =
            |list: &[String], name: &str| list.is_empty() || list.iter().any(|l| l == name);
        let matches_any = |list: &[String], name: &str| {
            list.is_empty() || list.iter().any(|l| matches_pattern(l, name))
        };
        contains(&rule.teams, job.team)
            && contains(&rule.classes, job.class)
            && (rule.zones.is_empty() || job.zone.is_some_and(|z| contains(&rule.zones, z)))
            && (rule.desks.is_empty() || job.desks.iter().any(|d| contains(&rule.desks, d)))
            && matches_any(&rule.images, job.image)
            && matches_any(&rule.ids, job.id)
    }

    /// Indexes each rule by the names of its most selective list without `*` patterns; `lists` is in order of
    /// selectivity. Closed counties are left out.
    fn index_rules(&mut self) {
        for (c, county) in self
            .spec
            .counties
            .iter()
            .enumerate()
            .filter(|(_, c)| !c.closed)
        {
            for (r, rule) in county.rules.iter().enumerate() {
                let n = self.rules.len();
                self.rules.push((c, r));
                let lists = [
                    (Field::Id, &rule.ids),
                    (Field::Team, &rule.teams),
                    (Field::Image, &rule.images),
                    (Field::Desk, &rule.desks),
                    (Field::Class, &rule.classes),
                    (Field::Zone, &rule.zones),
                ];
                let exact = |(_, l): &&(Field, &Vec<String>)| {
                    !l.is_empty() && !l.iter().any(|n| n.ends_with('*'))
                };
                match lists.iter().find(exact) {
                    Some((field, names)) => {
                        for name in names.iter().collect::<BTreeSet<_>>() {
                            self.rules_by_name
                                .entry((*field, name.clone()))
                                .or_default()
                                .push(n);
                        }
                    }
                    None => self.unindexed_rules.push(n),
                }
            }
        }
    }
}

fn fault_path(c: &CountySpec) -> String {
    format!("county {:?}", c.id)
}

fn is_valid_id(id: &str) -> bool {
    let ok = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !id.is_empty() && id.len() <= MAX_ID && id.bytes().all(ok)
}

fn check_county(spec: &Spec, known: &Known, faults: &mut Faults, i: usize) {
    let c = &spec.counties[i];
    let place = || Place::entry("county", i);
    let mut bad =
        |field: &str, what: String| faults.add(place(), format!("{}{field}", fault_path(c)), what);
    if !is_valid_id(&c.id) {
        bad(
            ".id",
            format!("must be 1 to {MAX_ID} characters of a-z, 0-9, '-', '_' and '.'"),
        );
    }
    if c.name
        .as_ref()
        .is_some_and(|n| n.is_empty() || n.len() > MAX_NAME || n.chars().any(char::is_control))
    {
        bad(
            ".name",
            format!("must be 1 to {MAX_NAME} bytes without control characters"),
        );
    }
    if (c.apart == Apart::Zones) == c.zones.is_empty() {
        bad(
            ".zones",
            "must be set if, and only if, apart is \"zones\"".into(),
        );
    }
    if c.zones.len() > MAX_ZONES {
        bad(
            ".zones",
            format!("{} zones; at most {MAX_ZONES} are allowed", c.zones.len()),
        );
    }
    for z in c.zones.iter().filter(|z| !known.zones.contains(*z)) {
        bad(".zones", format!("zone {z:?} is not in the settings"));
    }
    if c.closed && !c.rules.is_empty() {
        bad(
            ".rule",
            "a closed county must have no rules, since no jobs are bound to it any more".into(),
        );
    }
    if !c.closed && !c.into.is_empty() {
        bad(".into", "only allowed for a closed county".into());
    }
    for other in &c.into {
        if *other == c.id || spec.counties.iter().all(|o| o.id != *other) {
            bad(".into", format!("no other county has the id {other:?}"));
        }
    }
    for (r, rule) in c.rules.iter().enumerate() {
        if *rule == Rule::default() {
            bad(
                &format!(".rule[{r}]"),
                "has no lists, so it would match every job".into(),
            );
        }
        for (list, names) in rule.lists() {
            let at = format!(".rule[{r}].{list}");
            if names.len() > MAX_NAMES {
                bad(
                    &at,
                    format!("{} names; at most {MAX_NAMES} are allowed", names.len()),
                );
            }
            if let Some(n) = names
                .iter()
                .find(|n| n.is_empty() || n.len() > MAX_NAME || *n == "*")
            {
                bad(
                    &at,
                    format!("{n:?}: must be 1 to {MAX_NAME} bytes, and not just \"*\""),
                );
            }
            let all = match list {
                "teams" => Some(&known.teams),
                "zones" => Some(&known.zones),
                "desks" => known.desks.as_ref(),
                _ => None,
            };
            for n in all
                .iter()
                .flat_map(|all| names.iter().filter(|n| !all.contains(*n)))
            {
                bad(&at, format!("no {} {n:?}", list.trim_end_matches('s')));
            }
        }
        if !c.zones.is_empty()
            && !rule.zones.is_empty()
            && rule.zones.iter().all(|z| !c.zones.contains(z))
        {
            bad(
                &format!(".rule[{r}].zones"),
                "the county may not use any of these zones".into(),
            );
        }
    }
}

/// Reports rules that can never decide because an earlier rule matches every job that they match.
fn report_shadowed_rules(spec: &Spec, faults: &mut Faults) {
    // By one name that the narrower rule has: only wider rules with that name, or without such a list, can cover it.
    let mut seen: Vec<(usize, usize, &Rule)> = Vec::new();
    let mut comparisons = 0usize;
    for (i, c) in spec.counties.iter().enumerate() {
        for (r, rule) in c.rules.iter().enumerate() {
            // Bounds the time of the check. Shadowed rules that it misses are confusing but harmless.
            if comparisons > 4_000_000 {
                return;
            }
            comparisons += seen.len();
            if let Some((earlier_county, earlier_rule, _)) =
                seen.iter().find(|(_, _, earlier)| earlier.covers(rule))
            {
                let what = format!(
                    "never applies: {}.rule[{earlier_rule}] matches every job that it matches",
                    fault_path(&spec.counties[*earlier_county])
                );
                faults.add(
                    Place::entry("county", i),
                    format!("{}.rule[{r}]", fault_path(c)),
                    what,
                );
            }
            seen.push((i, r, rule));
        }
    }
}

impl Spec {
    /// Removes names that are not known any more. A rule with a list that becomes empty is removed as a whole, since
    /// without that list it would match more jobs than before.
    pub(crate) fn without_unknown_names(&self, known: &Known) -> Spec {
        let mut out = self.clone();
        for c in &mut out.counties {
            c.rules.retain_mut(|rule| {
                let keep = |list: &mut Vec<String>, all: Option<&BTreeSet<String>>| {
                    let Some(all) = all else { return true };
                    let before = list.len();
                    list.retain(|n| all.contains(n));
                    before == 0 || !list.is_empty()
                };
                let mut whole = keep(&mut rule.teams, Some(&known.teams));
                whole &= keep(&mut rule.zones, Some(&known.zones));
                whole && keep(&mut rule.desks, known.desks.as_ref())
            });
        }
        out
    }
}
