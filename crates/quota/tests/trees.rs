//! Invalid trees are rejected with the location of each fault, and edits yield valid trees or report what is wrong.

mod common;

use common::trees;
use proptest::prelude::*;
use quota::{Amounts, Spec, Team, Tree, edit, file};

fn teams() -> Vec<Team> {
    let team = |name: &str, gpus: f64| Team {
        name: name.into(),
        guarantee: [("gpus".to_owned(), gpus)].into(),
        max: Amounts::new(),
    };
    vec![team("red", 2.0), team("blue", 4.0), team("green", 0.0)]
}

const GOOD: &str = r#"
[[node]]
name = "studio"
guarantee = { gpus = 8 }
max = { gpus = 16, seats = 3 }

[[node]]
name = "desk"
parent = "studio"
guarantee = { gpus = 6 }

[[team]]
name = "red"
parent = "desk"

[[team]]
name = "blue"
parent = "desk"
"#;

fn faults(text: &str) -> Vec<String> {
    let parsed = match file::parse(text) {
        Ok(parsed) => parsed,
        Err(faults) => return faults.iter().map(ToString::to_string).collect(),
    };
    match Tree::build(&parsed.spec, &teams()) {
        Ok(_) => Vec::new(),
        Err(faults) => parsed
            .locate(faults)
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}

/// Each case puts one mistake into a valid file; the fault names its line and field.
#[test]
fn faults_name_the_path_and_the_line() {
    assert_eq!(faults(GOOD), Vec::<String>::new());
    let too_deep = (0..10).fold(String::new(), |text, i| {
        let parent = if i == 0 {
            String::new()
        } else {
            format!("parent = \"d{}\"\n", i - 1)
        };
        format!("{text}[[node]]\nname = \"d{i}\"\n{parent}")
    });
    for (from, to, line, expected) in [
        (
            "parent = \"studio\"",
            "parent = \"desk\"",
            7,
            "node \"desk\".parent: is in a cycle of parents",
        ),
        (
            "parent = \"studio\"",
            "parent = \"stud\"",
            7,
            "\"stud\" is no node",
        ),
        (
            "name = \"desk\"",
            "name = \"studio\"",
            7,
            "node \"studio\".name: is named twice",
        ),
        (
            "name = \"blue\"",
            "name = \"red\"",
            16,
            "team \"red\".name: is named twice",
        ),
        (
            "name = \"blue\"",
            "name = \"blau\"",
            16,
            "is no team of the settings",
        ),
        (
            "guarantee = { gpus = 6 }",
            "guarantee = { gpus = 5 }",
            7,
            "guaranteed 6, 1 more than its own 5",
        ),
        (
            "guarantee = { gpus = 6 }",
            "guarantee = { gpus = 9 }",
            2,
            "guaranteed 9, 1 more than its own 8",
        ),
        (
            "guarantee = { gpus = 6 }",
            "guarantee = { gpus = -6 }",
            7,
            "guarantee.gpus: must be from 0",
        ),
        (
            "guarantee = { gpus = 6 }",
            "guarantee = { gpus = nan }",
            7,
            "guarantee.gpus: must be from 0",
        ),
        (
            "guarantee = { gpus = 6 }",
            "guarantee = { gpus = 1e12 }",
            7,
            "guarantee.gpus: must be from 0",
        ),
        (
            "guarantee = { gpus = 6 }",
            "max = { gpus = 17 }",
            7,
            "max.gpus: 17 is above its parent's, 16",
        ),
        (
            "gpus = 16",
            "gpus = 7",
            2,
            "guarantee.gpus: 8 is above its own maximum, 7",
        ),
        (
            "seats = 3",
            "a = 1, b = 1, c = 1, d = 1",
            0,
            "more than 3 resources",
        ),
        (
            "parent = \"studio\"",
            "weight = 0",
            7,
            "weight: must be from",
        ),
        (
            "parent = \"studio\"",
            "wieght = 2",
            0,
            "unknown field `wieght`",
        ),
        ("[[team]]", "[[team", 12, "file"),
        (GOOD, &too_deep, 24, "deeper than 8 levels"),
    ] {
        let found = faults(&GOOD.replacen(from, to, 1));
        let at = if line > 0 {
            format!("line {line}: ")
        } else {
            String::new()
        };
        let is_reported = found
            .iter()
            .any(|f| f.contains(expected) && f.contains(&at));
        assert!(is_reported, "{to}: {found:?} should say {at}{expected}");
    }
    assert!(faults(&"#".repeat(file::MAX_FILE + 1))[0].contains("bytes"));
}

#[test]
fn team_guarantee_may_be_lowered_but_not_raised() {
    let with = |gpus: &str| {
        GOOD.replacen(
            "name = \"red\"",
            &format!("name = \"red\"\nguarantee = {{ gpus = {gpus} }}"),
            1,
        )
    };
    assert_eq!(faults(&with("1")), Vec::<String>::new());
    assert!(faults(&with("3"))[0].contains("above what the settings guarantee"));
}

#[test]
fn shrinking_reports_the_excess_or_scales() {
    let spec = file::parse(GOOD).expect("good").spec;
    let less: Amounts = [("gpus".to_owned(), 3.0)].into();
    let refused =
        edit::shrink(&spec, &teams(), "studio", &less, &Amounts::new(), false).expect("made");
    let faults = Tree::build(&refused, &teams()).expect_err("its children have more");
    assert!(
        faults[0].to_string().contains("3 more than its own 3"),
        "{}",
        faults[0]
    );
    let scaled =
        edit::shrink(&spec, &teams(), "studio", &less, &Amounts::new(), true).expect("made");
    let tree = Tree::build(&scaled, &teams()).expect("good");
    let guarantee_of =
        |t: &str| tree.leaves[tree.team(t).expect("known").0 as usize].guarantee[quota::GPUS];
    assert_eq!(
        (guarantee_of("red"), guarantee_of("blue")),
        (1_000, 2_000),
        "scaled proportionally through the whole subtree"
    );
    assert!(edit::shrink(&spec, &teams(), "nobody", &less, &less, true).is_err());
}

#[test]
fn node_cannot_move_below_itself() {
    let spec = file::parse(GOOD).expect("good").spec;
    for (name, to) in [
        ("studio", "desk"),
        ("desk", "desk"),
        ("nobody", "desk"),
        ("red", "nowhere"),
    ] {
        assert!(
            edit::move_subtree(&spec, &teams(), name, Some(to)).is_err(),
            "{name} to {to}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// A move takes the guarantee with it: the tree stays valid (without maxima), and moving back restores it.
    #[test]
    fn moving_there_and_back_restores_the_tree((spec, teams) in trees(), what in any::<prop::sample::Index>(), to in any::<prop::sample::Index>()) {
        let mut spec = spec;
        spec.nodes.iter_mut().for_each(|n| n.max.clear());
        let team = &teams[what.index(teams.len())].name;
        let to = spec.nodes.get(to.index(spec.nodes.len() + 1)).map(|n| n.name.clone());
        let from = spec.teams.iter().find(|t| t.name == *team).and_then(|t| t.parent.clone());
        let moved = edit::move_subtree(&spec, &teams, team, to.as_deref()).expect("both are known");
        let tree = Tree::build(&moved, &teams);
        prop_assert!(tree.is_ok(), "{:?}", tree.err());
        let parent = tree.ok().and_then(|t| t.leaves[t.team(team)?.0 as usize].parent.map(|p| t.nodes[p.0 as usize].name.clone()));
        prop_assert_eq!(&parent, &to);
        let back = edit::move_subtree(&moved, &teams, team, from.as_deref()).expect("both are known");
        prop_assert_eq!(edit::differences(&spec, &back, 10), Vec::<String>::new());
    }

    /// Shrinking with scaling always yields a valid tree.
    #[test]
    fn scaling_yields_a_valid_tree((spec, teams) in trees(), what in any::<prop::sample::Index>(), gpus in 0..9u32, max in any::<bool>()) {
        if !spec.nodes.is_empty() {
            let name = spec.nodes[what.index(spec.nodes.len())].name.clone();
            let to: Amounts = [("gpus".to_owned(), f64::from(gpus))].into();
            let none = Amounts::new();
            let grown = spec.nodes.iter().find(|n| n.name == name).is_some_and(|n| n.guarantee.get("gpus").is_none_or(|g| *g < f64::from(gpus)));
            // Only smaller values: a greater one could exceed the parent's.
            if !grown {
                let (guarantee, max) = if max { (&none, &to) } else { (&to, &none) };
                let out = edit::shrink(&spec, &teams, &name, guarantee, max, true).expect("known");
                let tree = Tree::build(&out, &teams);
                prop_assert!(tree.is_ok(), "{:?}", tree.err());
            }
        }
    }

    /// A rendered file parses back to the same tree.
    #[test]
    fn rendered_file_parses_to_the_same_spec((spec, teams) in trees()) {
        let text = file::render(&spec).expect("written");
        let parsed = file::parse(&text).expect("read");
        prop_assert_eq!(&parsed.spec, &spec);
        prop_assert!(Tree::build(&parsed.spec, &teams).is_ok());
    }

    /// Arbitrary text is parsed or rejected without a panic.
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}", at in 0..400usize, put in ".{0,8}") {
        let _ = file::parse(&text);
        let mut mutated = GOOD.to_owned();
        mutated.insert_str(at.min(mutated.len()), &put);
        faults(&mutated);
    }
}

/// The published schema equals the one generated from the types, and contains every field.
#[test]
fn the_schema_names_every_field() {
    let schema = file::schema();
    for field in [
        "node",
        "team",
        "parent",
        "guarantee",
        "max",
        "weight",
        "over",
        "let_end",
    ] {
        assert!(schema.contains(&format!("\"{field}\"")), "{field}");
    }
    let published = include_str!("../../../docs/quotas/schema.json");
    assert_eq!(
        published.trim(),
        schema.trim(),
        "docs/quotas/schema.json is outdated: regenerate it with `stoathatch quota schema`"
    );
    let _: Spec = Spec::default();
}
