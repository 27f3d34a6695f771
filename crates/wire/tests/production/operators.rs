//! Cases for the requests of operators and the responses to them.

use crate::documents::{counties_spec, gpus, history_entry, hours_part, models_part, quota_spec};
use crate::peers::{model_status_full, model_status_least};
use crate::records::moved_record;
use crate::{Case, message};
use document::{Fault, Place};
use wire::admin::{
    Ask, AskOf, Change, ChangeOf, Changed, Edit, Question, Refused, Shown, Tree, Whole,
};
use wire::hours::{Line, List, Moved, Risk, State};
use wire::models::{Demand, Standing};
use wire::tally::{Audit, Counts};

pub fn cases() -> Vec<Case> {
    let mut all = change_requests();
    all.extend(query_requests());
    all.extend(document_responses());
    all.extend(tally_responses());
    all.extend(hours_responses());
    all.extend(model_responses());
    all
}

fn text(s: &str) -> String {
    s.to_owned()
}

fn change<E>(edit: E) -> AskOf<E> {
    AskOf::Change(ChangeOf {
        id: text("0123456789abcdef"),
        by: text("ida"),
        expect: Some(4),
        dry_run: true,
        edit,
    })
}

fn change_requests() -> Vec<Case> {
    let least = Ask::Change(Change {
        id: text("0123456789abcdef"),
        by: text("ida"),
        expect: None,
        dry_run: false,
        edit: Edit::Move {
            name: text("comp"),
            to: None,
        },
    });
    let moved = change(Edit::Move {
        name: text("comp"),
        to: Some(text("film")),
    });
    let shrunk = change(Edit::Shrink {
        name: text("film"),
        guarantee: gpus(8.0),
        max: gpus(12.5),
        scale: true,
    });
    let quota = change(Edit::Set { spec: quota_spec() });
    let counties = change(Whole::Set {
        spec: counties_spec(),
    });
    let hours = change(Whole::Set { spec: hours_part() });
    let models = change(Whole::Set {
        spec: models_part(),
    });
    vec![
        message("admin-show.json", Ask::Show),
        message("admin-change-least.json", least),
        message("admin-change-move.json", moved),
        message("admin-change-shrink.json", shrunk),
        message("admin-change-quota.json", quota),
        message("admin-change-counties.json", counties),
        message("admin-change-hours.json", hours),
        message("admin-change-models.json", models),
    ]
}

fn query_requests() -> Vec<Case> {
    use wire::hours::Ask as Hours;
    use wire::tally::Question as Tally;
    let job = || text("job-000412");
    let tally = |county| Tally::Tally { county };
    let list = |studio| Hours::List { studio };
    let move_job = Hours::Move {
        job: job(),
        to: text("2026-12-24T18:00"),
        by: text("ida"),
    };
    let reagree = Hours::Reagree {
        studio: text("oslo"),
        by: text("ida"),
        dry_run: true,
    };
    let why = Question::Why { team: text("comp") };
    vec![
        message("admin-ask-why.json", why),
        message("admin-ask-tally-least.json", tally(None)),
        message("admin-ask-tally-full.json", tally(Some(text("film-a")))),
        message("admin-ask-audit.json", Tally::Audit { id: text("1234") }),
        message("admin-ask-hours-least.json", list(None)),
        message("admin-ask-hours-full.json", list(Some(text("oslo")))),
        message("admin-ask-hours-move.json", move_job),
        message("admin-ask-hours-reagree.json", reagree),
        message("admin-ask-models.json", wire::models::Ask::List {}),
        message("admin-ask-demand.json", Demand { model: job() }),
    ]
}

fn document_responses() -> Vec<Case> {
    let shown = Shown {
        version: 4,
        spec: hours_part(),
        history: vec![history_entry()],
        refused: Some(text("its form 2 is of a later version")),
    };
    let changed = Changed {
        version: 5,
        dry_run: true,
        differences: vec![text("node film: new")],
        above: vec![text("team fx: 2 gpus")],
    };
    let fault = Fault {
        place: Place::entry("node", 3),
        path: text("node \"a\".guarantee.gpus"),
        line: Some(12),
        what: text("is above its maximum"),
    };
    let refused = Refused {
        error: text("it does not check out"),
        version: Some(4),
        faults: vec![fault, Fault::whole("file", "is empty")],
    };
    vec![
        message("admin-shown-least.json", Shown::<hours::Spec>::default()),
        message("admin-shown-full.json", shown),
        message("admin-tree-least.json", Tree::default()),
        message("admin-tree-full.json", tree()),
        message("admin-changed-least.json", Changed::default()),
        message("admin-changed-full.json", changed),
        message("admin-refused-least.json", Refused::default()),
        message("admin-refused-full.json", refused),
        message("admin-why-least.json", quota::Why::default()),
        message("admin-why-full.json", why_response()),
    ]
}

fn tree() -> Tree {
    let node = quota::Standing {
        name: text("north"),
        depth: 0,
        parent: None,
        guarantee: gpus(8.0),
        max: gpus(12.5),
        weight: 1.0,
        used: gpus(9.0),
        wanted: gpus(20.0),
    };
    let team = quota::Standing {
        name: text("comp"),
        depth: 1,
        parent: Some(text("north")),
        ..node.clone()
    };
    Tree {
        version: 4,
        spec: quota_spec(),
        nodes: vec![node],
        teams: vec![team],
        history: vec![history_entry()],
        refused: Some(text("its part b2 is missing")),
    }
}

fn why_response() -> quota::Why {
    quota::Why {
        team: text("comp"),
        path: vec![text("north"), text("film")],
        used: gpus(1.0),
        wanted: gpus(4.0),
        entitled: vec![(text("north"), gpus(2.0))],
        bounded_by: vec![text("film")],
        borrowed: vec![(text("fx"), gpus(3.0))],
        short: gpus(1.0),
    }
}

fn tally_responses() -> Vec<Case> {
    let least = wire::tally::Line {
        county: text("rest"),
        class: text("render"),
        ..wire::tally::Line::default()
    };
    let full = wire::tally::Line {
        county: text("film-a"),
        name: Some(text("Film A")),
        class: text("render"),
        accepted: 300,
        live: 20,
        done: 270,
        cancelled: 10,
        done_tasks: 70_000,
    };
    let counts = Counts {
        revision: 70_000,
        lines: vec![least, full],
    };
    let done = |differences| Audit::Done {
        revision: 70_000,
        read: 300,
        differences,
    };
    let difference = vec![text("film-a render: 1 done instead of 2")];
    vec![
        message("admin-counts-least.json", Counts::default()),
        message("admin-counts-full.json", counts),
        message("admin-audit-running.json", Audit::Running { read: 100 }),
        message("admin-audit-least.json", done(Vec::new())),
        message("admin-audit-full.json", done(difference)),
    ]
}

fn hours_responses() -> Vec<Case> {
    let least = |state| Line {
        job: text("job-000412"),
        studio: None,
        team: text("comp"),
        class: text("render"),
        due_ms: 1_790_003_600_000,
        due: text("2026-09-21T17:13 +02:00"),
        state,
        late_s: None,
        moved: None,
    };
    let full = Line {
        studio: Some(text("oslo")),
        late_s: Some(12.5),
        moved: Some(moved_record()),
        ..least(State::Missed)
    };
    let states = [
        State::Due,
        State::AtRisk(Risk::Room),
        State::AtRisk(Risk::Quota),
        State::AtRisk(Risk::Image),
        State::AtRisk(Risk::Boot),
        State::AtRisk(Risk::Cut),
        State::Kept,
        State::Withdrawn,
    ];
    let list = List {
        lines: states.map(least).into_iter().chain([full]).collect(),
        more: 7,
    };
    let moved = Moved {
        dry_run: true,
        jobs: 2,
        lines: vec![text("job-000412: 18:00 instead of 17:00")],
    };
    vec![
        message("admin-hours-least.json", List::default()),
        message("admin-hours-full.json", list),
        message("admin-moved-least.json", Moved::default()),
        message("admin-moved-full.json", moved),
    ]
}

fn model_responses() -> Vec<Case> {
    let standing = |told, near| Standing {
        told,
        rule: text("chat"),
        class: text("serve"),
        team: text("fx"),
        wanted: 4,
        claimed: 3,
        running: 2,
        by: text("a"),
        near,
        quiet_ms: 1500,
    };
    let too_often = wire::models::ModelStatus {
        phase: model::Phase::Leaving,
        why: Some(model::Why::TooOften),
        ..model_status_least()
    };
    let standings = vec![
        standing(model_status_least(), Vec::new()),
        standing(model_status_full(), vec![text("m-1")]),
    ];
    vec![
        message("admin-told-least.json", model_status_least()),
        message("admin-told-full.json", model_status_full()),
        message("admin-told-too-often.json", too_often),
        message("admin-models-least.json", Vec::<Standing>::new()),
        message("admin-models-full.json", standings),
    ]
}

#[test]
fn admin_paths_are_as_in_production() {
    use wire::admin;
    assert_eq!(admin::PATH, "/admin/quota");
    assert_eq!(admin::path("hours"), "/admin/hours");
    assert_eq!(admin::kind_of("/admin/counties"), Some("counties"));
    assert_eq!(wire::models::DEMAND, "/admin/models/demand");
}

/// Operators' tools may run a newer version than controllers. A request that a controller does not know is refused, and
/// not taken for another one.
#[test]
fn unknown_admin_requests_are_refused() {
    let newer = br#"{"newer":{"team":"comp"}}"#;
    assert!(decode_ask(newer).is_err());
    assert!(wire::admin::decode::<Question>(newer).is_err());
    assert!(wire::admin::decode::<wire::tally::Question>(newer).is_err());
    assert!(wire::admin::decode::<wire::hours::Ask>(newer).is_err());
    assert!(wire::admin::decode::<wire::models::Ask>(newer).is_err());
}

fn decode_ask(body: &[u8]) -> Result<Ask, wire::DecodeError> {
    wire::admin::decode(body)
}
