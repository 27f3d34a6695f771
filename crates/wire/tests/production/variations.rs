//! Changes the recorded messages as other versions may, and describes how the decoders handle the changed ones.

use crate::{Case, DecodeResult, decode, encode, recorded_bytes};
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const UNKNOWN: &str = "newer";

/// The kind of a single change to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Variation {
    UnknownField,
    MissingField,
    /// The key of a map with one entry is replaced, as that entry may be the variant of an enum.
    UnknownVariant,
    /// A string is replaced, as it may be the value of an enum.
    UnknownText,
}

impl Variation {
    fn label(self) -> &'static str {
        match self {
            Variation::UnknownField => "unknown field in",
            Variation::MissingField => "left out",
            Variation::UnknownVariant => "unknown variant in place of",
            Variation::UnknownText => "other text in",
        }
    }
}

fn result_label(result: DecodeResult) -> &'static str {
    match result {
        DecodeResult::Same => "read as the same",
        DecodeResult::Different => "read as another value",
        DecodeResult::Refused => "refused",
    }
}

/// A few lines for each case that controllers decode: the paths of each kind of variation, by the result of decoding.
pub fn describe(cases: &[Case]) -> String {
    let decoded: BTreeMap<&str, &Case> = cases
        .iter()
        .filter(|c| c.is_decoded_by_controllers)
        .map(|c| (c.file, c))
        .collect();
    let mut out = String::new();
    for case in decoded.values() {
        let _ = writeln!(out, "{}", case.file);
        for ((variation, result), paths) in paths_by_result(case) {
            let paths: Vec<String> = paths.into_iter().collect();
            let _ = writeln!(
                out,
                "  {} {}: {}",
                variation.label(),
                paths.join(" "),
                result_label(result)
            );
        }
    }
    out
}

/// The paths in a message, by the kind of variation at the path and the result of decoding the changed message.
type PathsByResult = BTreeMap<(Variation, DecodeResult), BTreeSet<String>>;

fn paths_by_result(case: &Case) -> PathsByResult {
    let recorded = recorded_bytes(case.file);
    let value: Value =
        decode(case.file, &recorded).expect("the recorded message decodes generically");
    // The bytes may differ from the recorded ones, as generic numbers are encoded in their shortest form.
    let unchanged = (case.check)(&encode(case.file, &value));
    assert_eq!(unchanged, DecodeResult::Same, "{}", case.file);
    let mut out = PathsByResult::new();
    for (variation, path, varied) in varied(&value, "") {
        let result = (case.check)(&encode(case.file, &varied));
        out.entry((variation, result)).or_default().insert(path);
    }
    out
}

type Varied = (Variation, String, Value);

/// All values that differ from `value` by a single variation, each with the kind and the path of that variation.
fn varied(value: &Value, path: &str) -> Vec<Varied> {
    match value {
        Value::Map(entries) => varied_map(entries, path),
        Value::Array(items) => varied_list(items, path),
        Value::Text(_) => vec![(
            Variation::UnknownText,
            path_or_root(path),
            Value::Text(UNKNOWN.to_owned()),
        )],
        _ => Vec::new(),
    }
}

fn varied_map(entries: &[(Value, Value)], path: &str) -> Vec<Varied> {
    let unknown = || Value::Text(UNKNOWN.to_owned());
    let mut with_unknown = entries.to_vec();
    with_unknown.push((unknown(), Value::from(1)));
    let mut out = vec![(
        Variation::UnknownField,
        path_or_root(path),
        Value::Map(with_unknown),
    )];
    for (i, (key, inner)) in entries.iter().enumerate() {
        let inner_path = format!("{path}/{}", key.as_text().expect("keys are strings"));
        let mut without_field = entries.to_vec();
        without_field.remove(i);
        out.push((
            Variation::MissingField,
            inner_path.clone(),
            Value::Map(without_field),
        ));
        if entries.len() == 1 {
            let renamed = vec![(unknown(), inner.clone())];
            out.push((
                Variation::UnknownVariant,
                inner_path.clone(),
                Value::Map(renamed),
            ));
        }
        out.extend(
            varied(inner, &inner_path)
                .into_iter()
                .map(|(v, p, changed)| {
                    let mut copy = entries.to_vec();
                    copy[i].1 = changed;
                    (v, p, Value::Map(copy))
                }),
        );
    }
    out
}

fn varied_list(items: &[Value], path: &str) -> Vec<Varied> {
    let mut out = Vec::new();
    for (i, inner) in items.iter().enumerate() {
        let inner_path = format!("{path}/{i}");
        out.extend(
            varied(inner, &inner_path)
                .into_iter()
                .map(|(v, p, changed)| {
                    let mut copy = items.to_vec();
                    copy[i] = changed;
                    (v, p, Value::Array(copy))
                }),
        );
    }
    out
}

fn path_or_root(path: &str) -> String {
    if path.is_empty() { "/" } else { path }.to_owned()
}
