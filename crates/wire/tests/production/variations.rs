//! What the decoders make of messages that differ from the recorded ones as those of other versions may.

use crate::{Case, Reading, bytes_of, decode, encode};
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const UNKNOWN: &str = "newer";

/// One change of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Variation {
    UnknownField,
    FieldLeftOut,
    /// The only key of a map, as that of an enum's variant.
    UnknownVariant,
    /// A text, which may be a word of an enum.
    OtherText,
}

impl Variation {
    fn name(self) -> &'static str {
        match self {
            Variation::UnknownField => "unknown field in",
            Variation::FieldLeftOut => "left out",
            Variation::UnknownVariant => "unknown variant in place of",
            Variation::OtherText => "other text in",
        }
    }
}

fn reading_name(reading: Reading) -> &'static str {
    match reading {
        Reading::Same => "read as the same",
        Reading::Different => "read as another value",
        Reading::Refused => "refused",
    }
}

/// A few lines for each case: the places of each variation, by what becomes of it.
pub fn describe(cases: &[Case]) -> String {
    let ours: BTreeMap<&str, &Case> = cases
        .iter()
        .filter(|c| c.is_read_by_us)
        .map(|c| (c.file, c))
        .collect();
    let mut out = String::new();
    for case in ours.values() {
        let _ = writeln!(out, "{}", case.file);
        for ((variation, reading), places) in readings(case) {
            let places: Vec<String> = places.into_iter().collect();
            let _ = writeln!(
                out,
                "  {} {}: {}",
                variation.name(),
                places.join(" "),
                reading_name(reading)
            );
        }
    }
    out
}

/// Places by what was varied there and what became of it.
type Readings = BTreeMap<(Variation, Reading), BTreeSet<String>>;

fn readings(case: &Case) -> Readings {
    let recorded = bytes_of(case.file);
    let value: Value = decode(case.file, &recorded).expect("some value");
    // Not always the same bytes, as generic numbers take their shortest form.
    let unvaried = (case.read)(&encode(case.file, &value));
    assert_eq!(unvaried, Reading::Same, "{}", case.file);
    let mut out = Readings::new();
    for (variation, place, varied) in varied(&value, "") {
        let reading = (case.read)(&encode(case.file, &varied));
        out.entry((variation, reading)).or_default().insert(place);
    }
    out
}

type Varied = (Variation, String, Value);

/// All values that differ from one by a single variation, with its place.
fn varied(value: &Value, place: &str) -> Vec<Varied> {
    match value {
        Value::Map(entries) => varied_map(entries, place),
        Value::Array(items) => varied_list(items, place),
        Value::Text(_) => vec![(
            Variation::OtherText,
            place_or_root(place),
            Value::Text(UNKNOWN.to_owned()),
        )],
        _ => Vec::new(),
    }
}

fn varied_map(entries: &[(Value, Value)], place: &str) -> Vec<Varied> {
    let unknown = || Value::Text(UNKNOWN.to_owned());
    let mut more = entries.to_vec();
    more.push((unknown(), Value::from(1)));
    let mut out = vec![(
        Variation::UnknownField,
        place_or_root(place),
        Value::Map(more),
    )];
    for (i, (key, inner)) in entries.iter().enumerate() {
        let at = format!("{place}/{}", key.as_text().expect("text keys"));
        let mut fewer = entries.to_vec();
        fewer.remove(i);
        out.push((Variation::FieldLeftOut, at.clone(), Value::Map(fewer)));
        if entries.len() == 1 {
            let renamed = vec![(unknown(), inner.clone())];
            out.push((Variation::UnknownVariant, at.clone(), Value::Map(renamed)));
        }
        out.extend(varied(inner, &at).into_iter().map(|(v, p, changed)| {
            let mut with = entries.to_vec();
            with[i].1 = changed;
            (v, p, Value::Map(with))
        }));
    }
    out
}

fn varied_list(items: &[Value], place: &str) -> Vec<Varied> {
    let mut out = Vec::new();
    for (i, inner) in items.iter().enumerate() {
        let at = format!("{place}/{i}");
        out.extend(varied(inner, &at).into_iter().map(|(v, p, changed)| {
            let mut with = items.to_vec();
            with[i] = changed;
            (v, p, Value::Array(with))
        }));
    }
    out
}

fn place_or_root(place: &str) -> String {
    if place.is_empty() { "/" } else { place }.to_owned()
}
