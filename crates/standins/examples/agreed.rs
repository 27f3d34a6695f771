//! Simulates release hours, tallies and models that wake, at fleet size and in virtual time: without faults and while
//! all controllers crash, with the documents in force and without.
//!
//! `cargo run --release -q -p standins --example agreed`; the last line is JSON. `-- planted` runs a small scenario
//! for each counter with an error injected for it, and succeeds only if that counter, and no other, detects it.

use model::{Begin, Rule};
use serde_json::{Value, json};
use standins::days::{Size, kinds, plan};
use standins::scene::{Timed, array};
use standins::world::{Plan, Sabotage, World};
use std::collections::BTreeMap;
use wire::api::{JobSpec, Kind, Write};
use wire::records::Record;

const CALM_KIND: usize = 0;
/// Kind of scenario in which all controllers crash every 3 s and restart after 0.15 s.
const CRASHES_KIND: usize = 5;
const MODELS: u32 = 40;
/// Documents are in force on all nodes by this time; jobs arrive only after it.
const DOCUMENTS_IN_FORCE_MS: u64 = 10_000;
/// Time to fetch a task's image.
const FETCH_MS: u64 = 1000;
const COUNTIES: &str = "/admin/counties";

#[derive(Clone, Copy)]
struct Day {
    kind: usize,
    size: Size,
    nodes: usize,
    documents: bool,
}

/// Results of a scenario.
#[derive(Default)]
struct Results {
    jobs: usize,
    jobs_due: usize,
    achievable: usize,
    kept: usize,
    tally_writes: u64,
    audited_records: u64,
    wakes: Vec<u64>,
    changes: u64,
    replica_s: usize,
    broken: BTreeMap<&'static str, String>,
    audit_differences: Vec<String>,
    lost_models: Vec<String>,
    extra_puts: u64,
    extra_bytes: usize,
}

/// A release hour in every minute for the teams of two studios, with at least two minutes of notice.
fn calendar() -> Value {
    let at: Vec<String> = (18..58).map(|m| format!("00:{m}")).collect();
    json!({"studio": [{"name": "north", "teams": ["red"], "zone": "UTC", "notice_min": 2},
            {"name": "south", "teams": ["blue"], "zone": "Africa/Abidjan", "notice_min": 2}],
        "release": [{"studio": "north", "at": at}, {"studio": "south", "at": at}]})
}

/// A county bound to zone a, one without restrictions, and one that shares no machine; all other jobs are counted.
fn counties() -> Value {
    json!({"others": "count", "county": [
        {"id": "gangs", "apart": "zones", "zones": ["a"], "rule": [{"teams": ["red"], "classes": ["gang"]}]},
        {"id": "red", "rule": [{"teams": ["red"]}]},
        {"id": "blue", "apart": "machine", "rule": [{"teams": ["blue"]}]},
    ]})
}

fn set_document(spec: Value) -> Value {
    json!({"change": {"id": "first", "by": "operator", "expect": null, "dry_run": false, "edit": {"set": {"spec": spec}}}})
}

fn model_id(n: u32) -> String {
    format!("job-{n:06}")
}

/// The scenario's own jobs, and models with waves of demand.
fn plan_of(day: Day) -> Plan {
    let mut plan = plan(day.kind, 2, day.nodes, day.size);
    let Some(scene) = plan.scene.as_mut() else {
        return plan;
    };
    scene.jobs.retain(|j| j.at >= DOCUMENTS_IN_FORCE_MS);
    for n in 1..=MODELS.min(day.size.machines as u32) {
        let spec = JobSpec {
            kind: Kind::Service,
            class: "serve".into(),
            image: format!("m-{n}"),
            ..array(n, "green", 2, 60.0)
        };
        scene.jobs.push(Timed {
            at: DOCUMENTS_IN_FORCE_MS,
            run_ms: 10_000_000,
            cancel_ms: None,
            spec,
        });
        // Two waves of five demand requests each; the model falls asleep between them.
        for at in [70_000, 200_000].map(|wave| wave + u64::from(n) * 300) {
            (0..5).for_each(|k| scene.demands.push((at + k * 2000, model_id(n), None)));
        }
    }
    if day.documents {
        let rule = Rule {
            class: Some("serve".into()),
            most: Some(2),
            wakes: 32,
            begin: Begin::Asleep,
            ..Rule::new("all", 20.0)
        };
        scene.models = Some(model::Spec { rules: vec![rule] });
        scene
            .asks
            .push((1000, "/admin/hours".into(), set_document(calendar())));
        scene
            .asks
            .push((1000, COUNTIES.into(), set_document(counties())));
    }
    plan
}

/// Fields that these records have without documents. Others in a put to the state service count as extra.
fn base_keys(key: &str) -> Option<&'static [&'static str]> {
    match key.split_once('/')?.0 {
        "live" => Some(&["spec", "at_ms", "part"]),
        "end" => Some(&["stage", "done"]),
        _ if key.starts_with("part/0/log/") => Some(&["claims", "done"]),
        _ => None,
    }
}

/// Number of puts that only documents cause, and bytes of the fields that they add to other records.
fn extra_writes(world: &World) -> (u64, usize) {
    let (mut puts, mut bytes) = (0, 0);
    for (_, key, value) in world.state.history(0) {
        let Some(value) = value else { continue };
        let own = ["hours", "counties", "models", "tally", "model"];
        puts += u64::from(key.split('/').any(|word| own.contains(&word)));
        let mut count = |value: &Value, base_keys: &[&str]| {
            let more = value
                .as_object()
                .into_iter()
                .flatten()
                .filter(|(k, _)| !base_keys.contains(&k.as_str()));
            bytes += more
                .map(|(k, v)| k.len() + v.to_string().len() + 4)
                .sum::<usize>();
        };
        let Some(base) = base_keys(key) else { continue };
        count(value, base);
        for claim in value["claims"].as_array().into_iter().flatten() {
            count(
                claim,
                &["job", "team", "cores", "gpus", "mem_gb", "attempt", "on"],
            );
        }
    }
    (puts, bytes)
}

/// Times from the first demand request that was not answered with an earlier generation to the first replica.
fn wake_times_ms(world: &World) -> Vec<u64> {
    let models = &world.models;
    let mut out: Vec<u64> = Vec::new();
    for ((model, generation), first) in &models.first_replica_ms {
        let asked = || models.answers.iter().filter(|a| a.model == *model);
        let earlier = |told: &wire::models::ModelStatus| told.generation < *generation;
        let before = asked().filter(|a| a.status == 200 && a.told.as_ref().is_some_and(earlier));
        let before = before.map(|a| a.asked).max().unwrap_or(0);
        let since = asked()
            .map(|a| a.asked)
            .filter(|at| *at > before && at <= first)
            .min();
        out.extend(since.map(|at| first - at));
    }
    out.sort_unstable();
    out
}

/// Collects differences between the leader's tallies and audit on one side and the history of the state service on the
/// other.
fn compare_tallies(world: &mut World, results: &mut Results) {
    world.inquire(COUNTIES.into(), json!({"tally": {"county": null}}));
    for _ in 0..40 {
        world.inquire(COUNTIES.into(), json!({"audit": {"id": "last"}}));
        world.run_for(1000);
    }
    world.counties.users(&mut world.rules);
    let last = |ask: &str| {
        world
            .answers
            .iter()
            .rev()
            .find(|(a, s, _)| a.get(ask).is_some() && *s == 200)
    };
    let done = last("audit")
        .map(|(_, _, v)| v["done"].clone())
        .unwrap_or_default();
    match done["differences"].as_array() {
        Some(named) => results
            .audit_differences
            .extend(named.iter().map(ToString::to_string)),
        None => results
            .audit_differences
            .push("the audit was not answered".into()),
    }
    results.audited_records = done["read"].as_u64().unwrap_or(0);
    let mut told: BTreeMap<(String, String), [u64; 3]> = BTreeMap::new();
    for line in last("tally")
        .and_then(|(_, _, v)| v["lines"].as_array())
        .into_iter()
        .flatten()
    {
        let text = |f: &str| line[f].as_str().unwrap_or_default().to_owned();
        let counts =
            ["done", "cancelled", "done_tasks"].map(|f| line[f].as_u64().unwrap_or(u64::MAX));
        told.insert((text("county"), text("class")), counts);
    }
    told.retain(|_, counts| *counts != [0; 3]);
    let recorded: BTreeMap<_, _> = world
        .counties
        .sums()
        .iter()
        .filter(|(_, c)| **c != [0; 3])
        .map(|(k, c)| (k.clone(), *c))
        .collect();
    if told != recorded {
        results
            .audit_differences
            .push(format!("told {told:?}, seen {recorded:?}"));
    }
}

/// Counters that must be 0. The first counts all rules without a counter of their own.
const COUNTERS: [&str; 7] = [
    "rules_broken",
    "hours_moved",
    "tallies_wrong",
    "mixed",
    "cold_starts_twice",
    "models_lost",
    "extra_writes_without_documents",
];

/// Damages records or the checkers' data, so that the counter `what` must detect it.
fn inject_error(world: &mut World, what: &str) {
    let jobs = world
        .state
        .keys
        .iter()
        .filter(|(k, _)| k.starts_with("live/job-001"));
    let live = jobs.max_by_key(|(_, e)| e.value.get("hour").is_some());
    let (key, mut rec) = live
        .map(|(k, e)| (k.clone(), e.value.clone()))
        .unwrap_or_default();
    match what {
        "hours_moved" => {
            rec["hour"]["due_ms"] = json!(rec["hour"]["due_ms"].as_u64().unwrap_or(0) + 60_000)
        }
        "tallies_wrong" => rec["county"]["county"] = json!("elsewhere"),
        "extra_writes_without_documents" => {
            rec["hour"] = json!({"due_ms": 1_200_000, "version": 1})
        }
        "mixed" => {
            return world
                .counties
                .bound
                .values_mut()
                .enumerate()
                .for_each(|(i, (county, _))| {
                    (county.county, county.alone) = (format!("own {i}"), true);
                });
        }
        "cold_starts_twice" => {
            return world
                .models
                .recs
                .values_mut()
                .for_each(|r| r.generation += 1);
        }
        "models_lost" => {
            return world
                .models
                .recs
                .values_mut()
                .for_each(|r| r.phase = model::Phase::Awake);
        }
        _ => return,
    }
    world.write(Write::put(key, Record::Other(rec)));
}

fn run_day(day: Day, injected: Option<&str>) -> Results {
    let mut plan = plan_of(day);
    if injected == Some(COUNTERS[0]) {
        plan.sabotage = Sabotage::DoneTooEarly;
    }
    let runs: BTreeMap<String, u64> = plan
        .scene
        .iter()
        .flat_map(|s| &s.jobs)
        .map(|j| (j.spec.id.clone(), j.run_ms))
        .collect();
    let (end, jobs) = (plan.end, plan.scene.as_ref().map_or(0, |s| s.jobs.len()));
    let mut world = World::new(plan);
    let mut results = Results {
        jobs,
        ..Results::default()
    };
    for second in 0..end / 1000 {
        world.run_for(1000);
        results.replica_s += world
            .on_machines()
            .iter()
            .filter(|t| t.as_str() < "job-001000")
            .count();
        if let Some(what) = injected.filter(|p| {
            second
                == if *p == "models_lost" {
                    end / 1000 - 1
                } else {
                    80
                }
        }) {
            inject_error(&mut world, what);
        }
    }
    if day.documents && world.rules.broken.is_empty() {
        compare_tallies(&mut world, &mut results);
    }
    let ran = |id: &str| world.rules.jobs.get(id).is_some_and(|j| !j.cancel_asked);
    let due = || {
        world
            .hours
            .hours
            .iter()
            .filter(|(id, h)| h.is_some() && ran(id))
    };
    results.jobs_due = due().count();
    let is_achievable = |id: &str, due_ms: u64| {
        let accepted = world.rules.jobs[id].accepted.unwrap_or(u64::MAX / 2);
        accepted + FETCH_MS + runs[id] <= due_ms
    };
    results.achievable = due()
        .filter(|(id, h)| h.as_ref().is_some_and(|h| is_achievable(id, h.due_ms)))
        .count();
    results.tally_writes = world.counties.folds + world.counties.only_counts;
    results.kept = due()
        .filter(|(id, _)| world.hours.kept.get(*id) == Some(&true))
        .count();
    let cancelled = |m: &str| {
        world
            .rules
            .jobs
            .get(m)
            .is_none_or(|j| j.told_cancelled.is_some())
    };
    // A simulation that stopped at a broken rule has not settled.
    if world.rules.broken.is_empty() {
        results.lost_models = world.models.lost(cancelled);
    }
    results.wakes = wake_times_ms(&world);
    (results.extra_puts, results.extra_bytes) = extra_writes(&world);
    results.changes = world.state.counts.changes;
    results.broken = std::mem::take(&mut world.rules.broken);
    results
}

/// The percentile `part` of sorted waits, in seconds.
fn percentile(waits: &[u64], part: usize) -> String {
    waits
        .get((waits.len() * part / 100).min(waits.len().saturating_sub(1)))
        .map_or("-".into(), |ms| format!("{:.1}", *ms as f64 / 1000.0))
}

fn print_table(days: &[Day], results: &[Results]) {
    println!(
        "virtual time; wakes: from demand to the first replica; models: {MODELS}, two replicas each"
    );
    println!(
        "extra: puts for the documents alone + bytes of their fields in jobs', ends' and log records"
    );
    println!(
        "hours: kept / could be, by the tasks' run and fetch alone / due; counting: folds and log records of counts"
    );
    let head = [
        "hours",
        "audited",
        "counting",
        "wakes",
        "p50 s",
        "p99 s",
        "replica s",
        "changes/job",
        "extra",
    ];
    println!(
        "{:<58}{}",
        "machines, controllers and day",
        head.map(|h| format!("{h:>14}")).concat()
    );
    for (day, s) in days.iter().zip(results) {
        let with = if day.documents { "with" } else { "without" };
        let name = format!(
            "{} {} {}, {with}",
            day.size.machines,
            day.nodes,
            kinds()[day.kind]
        );
        let row = [
            format!("{}/{}/{}", s.kept, s.achievable, s.jobs_due),
            s.audited_records.to_string(),
            s.tally_writes.to_string(),
            s.wakes.len().to_string(),
            percentile(&s.wakes, 50),
            percentile(&s.wakes, 99),
            s.replica_s.to_string(),
            format!("{:.2}", s.changes as f64 / s.jobs.max(1) as f64),
            format!("{}+{}", s.extra_puts, s.extra_bytes),
        ];
        println!("{name:<58}{}", row.map(|c| format!("{c:>14}")).concat());
        s.broken
            .iter()
            .for_each(|(rule, what)| println!("    {rule}: {what}"));
        s.audit_differences
            .iter()
            .chain(&s.lost_models)
            .take(5)
            .for_each(|what| println!("    {what}"));
    }
}

/// Sums of the counters over all scenarios.
fn counters(days: &[Day], results: &[Results]) -> BTreeMap<&'static str, usize> {
    let of = |name: &'static str| {
        let broken = results
            .iter()
            .filter(|s| s.broken.contains_key(name))
            .count();
        let sum = match name {
            "rules_broken" => results
                .iter()
                .flat_map(|s| s.broken.keys())
                .filter(|r| !COUNTERS.contains(r))
                .count(),
            "tallies_wrong" => results.iter().map(|s| s.audit_differences.len()).sum(),
            "models_lost" => results.iter().map(|s| s.lost_models.len()).sum(),
            "extra_writes_without_documents" => {
                let plain = days.iter().zip(results).filter(|(d, _)| !d.documents);
                plain
                    .map(|(_, s)| s.extra_puts as usize + s.extra_bytes)
                    .sum()
            }
            _ => 0,
        };
        (name, broken + sum)
    };
    COUNTERS.map(of).into()
}

/// Whether each counter, and no other, detects the error that is injected for it.
fn check_counters() -> bool {
    COUNTERS.iter().fold(true, |all_pass, what| {
        let documents = !what.starts_with("extra");
        let day = Day {
            kind: CALM_KIND,
            size: Size {
                machines: 120,
                ..Size::SMALL
            },
            nodes: 3,
            documents,
        };
        let results = run_day(day, Some(what));
        let mut counts = counters(&[day], std::slice::from_ref(&results));
        counts.retain(|_, n| *n > 0);
        println!("{what}: {counts:?} {:?}", results.broken);
        all_pass && counts.len() == 1 && counts.contains_key(what)
    })
}

fn main() {
    if std::env::args().nth(1).is_some_and(|a| a == "planted") {
        std::process::exit(i32::from(!check_counters()));
    }
    let variants = [
        (CALM_KIND, 3, true),
        (CRASHES_KIND, 5, true),
        (CALM_KIND, 3, false),
        (CRASHES_KIND, 5, false),
    ];
    let of = |m| {
        variants.map(|(kind, nodes, documents)| Day {
            kind,
            size: Size::fleet(m),
            nodes,
            documents,
        })
    };
    let days = [of(1800), of(1200)].concat();
    let results: Vec<Results> = std::thread::scope(|s| {
        let running: Vec<_> = days.iter().map(|d| s.spawn(|| run_day(*d, None))).collect();
        running
            .into_iter()
            .map(|r| r.join().expect("a simulation thread panicked"))
            .collect()
    });
    print_table(&days, &results);
    let counts = counters(&days, &results);
    println!("\n{}", json!(counts));
    // Fails if the counters are 0 only because nothing was exercised.
    let is_exercised = |s: &Results| {
        s.extra_puts > 0 && s.extra_bytes > 0 && s.jobs_due > 0 && !s.wakes.is_empty()
    };
    let idle = days
        .iter()
        .zip(&results)
        .any(|(d, s)| d.documents && !is_exercised(s));
    std::process::exit(i32::from(idle || counts.values().any(|n| *n > 0)));
}
