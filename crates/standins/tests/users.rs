//! Extra user actions outside the regular submit, poll and cancel sequence have their documented effect, and each check
//! of the responses to users can fail.

use standins::checks::answers::{Answers, Unfit};
use standins::checks::starts::AfterCancel;
use standins::days::{Day, Trouble, Who};
use standins::meetings::{Played, day, play, sabotaged};
use standins::rules::OnMachine;
use standins::rules::Rules;
use standins::scene::{Scene, Timed, array};
use standins::world::{Plan, Sabotage, World};
use wire::api::Stage;

/// Submits a job of two tasks with the given run time every 1.5 s, and runs the first 30 s.
fn world(seed: u64, run_ms: u64, sabotage: Sabotage) -> World {
    let job = |i: u32| Timed {
        at: 1000 + u64::from(i) * 1500,
        run_ms,
        cancel_ms: None,
        spec: array(1000 + i, "red", 2, run_ms as f64 / 1000.0),
    };
    let day = Day {
        quiet: 60_000,
        ..Day::default()
    };
    let scene = Scene {
        jobs: (0..40).map(job).collect(),
        machines: 12,
        day: Some(day),
        ..Scene::default()
    };
    let plan = Plan::of_scene(seed, 3, scene.team("red", 24.0, 30.0), 0, 600_000);
    let mut world = World::new(Plan { sabotage, ..plan });
    world.run_for(30_000);
    world
}

fn assert_rules_kept(world: &World) {
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
    assert_eq!(
        world.rules.after_cancel.ordered, 0,
        "{:?}",
        world.rules.after_cancel
    );
}

#[test]
fn close_looks_poll_every_node_and_stop_with_the_fault() {
    let mut world = world(1, 8000, Sabotage::None);
    let judged_before = world.heard_by_users().judged;
    world.bring(&Trouble::CloseLooks { ms: 20_000 });
    world.run_for(20_000);
    let (asides, judged) = (
        world.asides(),
        world.heard_by_users().judged - judged_before,
    );
    // Each look polls three nodes and submits the job there again.
    assert!(
        asides.looks > 100 && asides.cancelled_at_once > 0,
        "{asides:?}"
    );
    assert!(
        judged > asides.looks * 5 && judged < asides.looks * 6 + 200,
        "{judged} of {asides:?}"
    );
    world.run_for(30_000);
    let after = world.asides();
    assert!(
        after.looks < asides.looks + 50,
        "looks continued after the fault: {after:?} after {asides:?}"
    );
    assert_rules_kept(&world);
}

#[test]
fn cancels_complete_while_machines_hang() {
    // Hangs shorter and longer than the lease of 15 s, and none.
    for (seed, hang_ms) in [(2, 8000), (3, 30_000), (4, 0)] {
        let mut world = world(seed, 90_000, Sabotage::None);
        let (sessions, lost) = (world.sessions_lost(), world.lost);
        world.bring(&Trouble::CancelNow { count: 5, hang_ms });
        world.run_for(1500);
        let told = world
            .rules
            .jobs
            .values()
            .filter(|j| j.told_cancelled.is_some())
            .count();
        let asides = world.asides();
        assert_eq!((asides.cancelled_now, told), (5, 5), "{asides:?}");
        assert_eq!(asides.hung > 0, hang_ms > 0, "{asides:?}");
        assert!(asides.hung <= 8, "{asides:?}");
        world.run_for(60_000);
        // If a machine hangs for longer than the lease, its tasks end with its session, or with the machine.
        if hang_ms > 15_000 {
            assert!(
                world.sessions_lost() > sessions || world.lost > lost,
                "{hang_ms}"
            );
        } else {
            assert_eq!(world.sessions_lost(), sessions, "{hang_ms}");
        }
        assert_eq!(
            world.rules.longest_cancelled_ms > 5000,
            hang_ms > 0,
            "{hang_ms}"
        );
        assert_rules_kept(&world);
    }
}

/// Some jobs are cancelled before their end is known, and some too late.
#[test]
fn cancels_around_the_end_of_jobs_report_either_result() {
    let mut world = world(5, 5000, Sabotage::None);
    world.bring(&Trouble::CancelAtEnd {
        share: 1.0,
        ms: 30_000,
    });
    world.run_for(40_000);
    let asides = world.asides();
    assert!(asides.cancelled_at_end > 10, "{asides:?}");
    let asked = || world.rules.jobs.values().filter(|j| j.cancel_asked);
    let cancelled = asked().filter(|j| j.told_cancelled.is_some()).count();
    let done = asked().filter(|j| j.told_done.is_some()).count();
    assert!(
        cancelled > 2 && done > 2,
        "{cancelled} cancelled, {done} done"
    );
    let all_tasks_done =
        |j: &&standins::rules::Job| j.told_cancelled.is_some() && j.done.len() == 2;
    assert!(
        asked().filter(all_tasks_done).count() > 0,
        "none was cancelled after its last task had ended"
    );
    assert_rules_kept(&world);
}

#[test]
fn odd_requests_are_refused() {
    let mut world = world(6, 8000, Sabotage::None);
    world.bring(&Trouble::OddRequests { ms: 30_000 });
    world.run_for(31_000);
    let (odd, heard) = (world.asides().odd, world.heard_by_users());
    assert!(odd > 80, "{odd}");
    assert!(
        heard.odd_refused * 2 > odd && heard.odd_judged > heard.odd_refused,
        "{heard:?}"
    );
    assert_rules_kept(&world);
}

fn has_failure(played: &Played, what: &str) -> bool {
    played.failures.iter().any(|f| f.starts_with(what))
}

/// Each check of the user scenarios fails when what it guards is broken on purpose.
#[test]
fn each_user_sabotage_is_caught_by_its_check() {
    let plan = |name: &str| day(name, 1, 3).expect("a known scenario");
    let outcome = sabotaged(plan("many-cancelled"), Sabotage::CancelsUnheard);
    assert!(
        has_failure(&outcome, "ran_cancelled") && outcome.cancelled_life_ms > outcome.cancel_ms,
        "{outcome:?}"
    );
    let outcome = sabotaged(plan("asked-everywhere"), Sabotage::CancelsUnheard);
    assert!(has_failure(&outcome, "ordered_cancelled"), "{outcome:?}");
    assert!(
        outcome.after_cancel.started > 0 && outcome.after_cancel.ordered > 0,
        "{outcome:?}"
    );
    assert!(has_failure(
        &sabotaged(plan("asked-everywhere"), Sabotage::AnswersOlder),
        "older"
    ));
    assert!(has_failure(
        &sabotaged(plan("odd-users"), Sabotage::AllAccepted),
        "accepted_unfit"
    ));
}

/// A task that continues after its machine hung is counted, and an ignored stop is reported.
#[test]
fn tasks_that_ignore_stops_after_a_hang_are_reported() {
    let mut world = world(7, 90_000, Sabotage::StopsIgnored);
    world.bring(&Trouble::CancelNow {
        count: 5,
        hang_ms: 10_000,
    });
    world.run_for(60_000);
    assert!(
        world.rules.broken.contains_key("ran_cancelled"),
        "{:?}",
        world.rules.broken
    );
    assert!(world.rules.longest_cancelled_ms > world.rules.cancel_ms);
}

const PENDING: Option<Stage> = Some(Stage::Pending);
const RUNNING: Option<Stage> = Some(Stage::Running);
const DONE: Option<Stage> = Some(Stage::Done);
const CANCELLED: Option<Stage> = Some(Stage::Cancelled);

/// Takes responses as (received, asked, status, stage). Whether the last one is older than one of the others.
fn is_last_outdated(history: &[(u64, u64, u16, Option<Stage>)]) -> bool {
    let mut answers = Answers::default();
    let mut judge = |(now, asked, status, stage): &(u64, u64, u16, _)| {
        answers.told(*now, *asked, "job-1", *status, *stage)
    };
    let (last, before) = history.split_last().expect("a response");
    assert!(before.iter().all(|a| judge(a).is_none()), "{history:?}");
    judge(last).is_some()
}

#[test]
fn outdated_responses_are_detected() {
    let accepted = (10, 5, 201, PENDING);
    for status in [400, 404, 422] {
        assert!(
            is_last_outdated(&[accepted, (13, 11, status, None)]),
            "{status}"
        );
        assert!(
            !is_last_outdated(&[accepted, (13, 10, status, None)]),
            "requested before the earlier response arrived: {status}"
        );
    }
    for status in [429, 503, 504, 0] {
        assert!(
            !is_last_outdated(&[accepted, (13, 11, status, None)]),
            "{status}"
        );
    }
    for (ended, other) in [(DONE, CANCELLED), (CANCELLED, DONE)] {
        let end_response = (20, 15, 200, ended);
        assert!(!is_last_outdated(&[
            accepted,
            end_response,
            (30, 25, 200, ended)
        ]));
        assert!(is_last_outdated(&[
            accepted,
            end_response,
            (30, 25, 200, RUNNING)
        ]));
        assert!(is_last_outdated(&[
            accepted,
            end_response,
            (30, 25, 404, None)
        ]));
        assert!(
            !is_last_outdated(&[accepted, end_response, (30, 20, 200, RUNNING)]),
            "requested before the earlier response arrived"
        );
        // Of two different ends one is wrong, whenever the requests were sent.
        assert!(is_last_outdated(&[
            accepted,
            end_response,
            (30, 10, 200, other)
        ]));
    }
    // Running jobs may become pending again because tasks were lost, and a job is unknown before it is accepted.
    assert!(!is_last_outdated(&[
        accepted,
        (13, 11, 200, RUNNING),
        (16, 14, 200, PENDING)
    ]));
    assert!(!is_last_outdated(&[(3, 1, 404, None), accepted]));
}

#[test]
fn unfit_submissions_must_get_the_status_of_their_kind() {
    let mut answers = Answers::default();
    assert!(answers.sends("a", Unfit::Malformed, "no map".into()));
    assert!(answers.sends("b", Unfit::Impossible, "cores".into()));
    let mut rule = |id, submission, status| {
        answers
            .odd_told(id, submission, status)
            .map(|(rule, _)| rule)
    };
    for id in ["a", "b"] {
        assert_eq!(rule(id, true, 201), Some("accepted_unfit"));
        assert_eq!(rule(id, true, 200), Some("accepted_unfit"));
        assert_eq!(rule(id, false, 200), Some("invented"));
        assert_eq!((rule(id, false, 404), rule(id, true, 503)), (None, None));
    }
    assert_eq!(
        (rule("a", true, 400), rule("a", true, 422)),
        (None, Some("misjudged"))
    );
    assert_eq!(
        (rule("b", true, 422), rule("b", true, 400)),
        (None, Some("misjudged"))
    );
    assert_eq!(rule("c", true, 201), None);
}

#[test]
fn starts_after_a_cancel_are_counted() {
    let mut rules = Rules {
        cancel_ms: 1000,
        ..Rules::default()
    };
    let job = rules.jobs.entry("job-001000".into()).or_default();
    (job.spec, job.told_cancelled) = (Some(array(1000, "red", 2, 5.0)), Some(100));
    let new = |task| OnMachine {
        task,
        machine: "host-000001",
        zone: "a",
        machine_type: "g2",
        spot: false,
    };
    rules.started(900, &new("job-001000/0"), &[]);
    assert_eq!(rules.after_cancel.started, 1);
    assert!(rules.broken.is_empty());
    rules.started(1200, &new("job-001000/1"), &[]);
    assert_eq!(rules.after_cancel.started, 2);
    assert!(rules.broken.contains_key("ran_cancelled"));
    let mut after = AfterCancel::default();
    assert_eq!(after.failure(), None);
    after.order(5, 1, "job-001000/0");
    assert!(
        after
            .failure()
            .is_some_and(|f| f.starts_with("ordered_cancelled"))
    );
}

/// An extra cancel is retried until it is confirmed, even if all nodes crash.
#[test]
fn extra_cancels_are_retried_until_confirmed() {
    let mut world = world(8, 90_000, Sabotage::None);
    world.bring(&Trouble::CancelNow {
        count: 5,
        hang_ms: 0,
    });
    world.bring(&Trouble::Crash {
        who: Who::All,
        back_ms: 3000,
    });
    world.run_for(20_000);
    let asked = || world.rules.jobs.values().filter(|j| j.cancel_asked);
    assert!(asked().count() == 5 && asked().all(|j| j.told_cancelled.is_some()));
    assert_rules_kept(&world);
}

/// Four jobs per second for two minutes: no check fails, and the number of state changes per job is bounded.
#[test]
fn one_task_jobs_cost_the_state_service_a_bounded_number_of_changes() {
    let (_, played) = play(day("one-task-jobs", 0, 3).expect("a known scenario"));
    assert!(played.failures.is_empty(), "{:?}", played.failures);
    assert!(played.verdict.jobs > 480, "{}", played.verdict.jobs);
    println!("state changes per job: {:.2}", played.changes_per_job);
    assert!(
        played.changes_per_job > 1.0 && played.changes_per_job < 20.0,
        "{}",
        played.changes_per_job
    );
}

#[test]
fn user_scenarios_are_deterministic() {
    let run = || {
        format!(
            "{:?}",
            play(day("asked-everywhere-troubled", 3, 5).expect("a known scenario")).1
        )
    };
    assert_eq!(run(), run());
}
