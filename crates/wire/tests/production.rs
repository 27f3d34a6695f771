//! Compares encoders and decoders with the bytes that the version in production writes and reads.
//!
//! Each file below `production/` was written once by that version: one for each kind of record in the state service,
//! for each message between controllers, and for each message to or from workers, users, the cloud, the state service
//! and operators; with optional fields omitted (`-least`) and present (`-full`). For each file, the decoder has to give
//! the value of its case, and the encoder exactly the same bytes. `production/newer.txt` lists how the decoders handle
//! messages of other versions: with an unknown field, without a field, with an unknown word or variant.
//!
//! Controllers of two versions run side by side during an upgrade, and records are kept forever. So renaming a Rust
//! type or field changes the Rust names in these cases and never a file. A file that no longer matches is an
//! incompatible change.
//!
//! To add a case: add it to the table of its module, remove `production/newer.txt`, and run
//! `cargo test -p wire --test production -- --ignored`. That writes the missing files and leaves all others unchanged.
//! The diff of `newer.txt` may then only add lines, unless an incompatible change is intended.

#[path = "production/documents.rs"]
mod documents;
#[path = "production/messages.rs"]
mod messages;
#[path = "production/operators.rs"]
mod operators;
#[path = "production/peers.rs"]
mod peers;
#[path = "production/records.rs"]
mod records;
#[path = "production/variations.rs"]
mod variations;

use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fs;
use std::io::{ErrorKind, Write as _};
use std::path::PathBuf;

/// The result of decoding some bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecodeResult {
    /// The bytes decode to the value of the case.
    Same,
    /// The bytes decode to another value.
    Different,
    /// The decoder returns an error.
    Refused,
}

/// Decodes bytes and compares the decoded value with the value of a case.
pub type DecodeCheck = dyn Fn(&[u8]) -> DecodeResult;

/// A recorded file, with the encoding of its value and a decoder that compares with that value.
pub struct Case {
    pub file: &'static str,
    pub encoded: Vec<u8>,
    pub check: Box<DecodeCheck>,
    /// Whether controllers decode this message, so that it matters how they handle messages of other versions.
    pub is_decoded_by_controllers: bool,
}

/// A message that is encoded from and decoded to the same type, whether controllers do both or only one of them.
pub fn message<T>(file: &'static str, value: T) -> Case
where
    T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
{
    let encoded = encode(file, &value);
    encoded_as(file, encoded, value)
}

/// A message whose encoding was made from another type than the one it is decoded as.
pub fn encoded_as<T>(file: &'static str, encoded: Vec<u8>, value: T) -> Case
where
    T: DeserializeOwned + PartialEq + 'static,
{
    let check = move |bytes: &[u8]| match decode::<T>(file, bytes) {
        Some(v) if v == value => DecodeResult::Same,
        Some(_) => DecodeResult::Different,
        None => DecodeResult::Refused,
    };
    Case {
        file,
        encoded,
        check: Box::new(check),
        is_decoded_by_controllers: true,
    }
}

/// A message that controllers only write; `content` is its value as decoded generically.
pub fn write_only<T: Serialize>(file: &'static str, value: &T, content: serde_json::Value) -> Case {
    Case {
        is_decoded_by_controllers: false,
        ..encoded_as(file, encode(file, value), content)
    }
}

fn extension(file: &str) -> &str {
    file.rsplit_once('.')
        .expect("the file name has an extension")
        .1
}

/// Encodes a message as controllers do for the format of the file.
pub fn encode<T: Serialize>(file: &str, value: &T) -> Vec<u8> {
    match extension(file) {
        "msgpack" => wire::encode(value),
        "cbor" => wire::peer::encode(value),
        "json" => wire::admin::encode(value),
        other => panic!("{file}: unknown format {other}"),
    }
}

/// Decodes a message as controllers do for the format of the file.
pub fn decode<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Option<T> {
    match extension(file) {
        "msgpack" => wire::decode(bytes).ok(),
        "cbor" => wire::peer::decode(bytes).ok(),
        "json" => wire::admin::decode(bytes).ok(),
        other => panic!("{file}: unknown format {other}"),
    }
}

const VARIATIONS: &str = "newer.txt";

fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/production")
        .join(file)
}

pub fn recorded_bytes(file: &str) -> Vec<u8> {
    fs::read(path(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

fn cases() -> Vec<Case> {
    let mut all = records::cases();
    all.extend(documents::cases());
    all.extend(peers::cases());
    all.extend(messages::cases());
    all.extend(operators::cases());
    all
}

#[test]
fn recorded_files_decode_to_their_values() {
    for case in cases() {
        let result = (case.check)(&recorded_bytes(case.file));
        assert_eq!(result, DecodeResult::Same, "{}", case.file);
    }
}

#[test]
fn values_encode_to_their_recorded_bytes() {
    for case in cases() {
        let recorded = recorded_bytes(case.file);
        assert!(
            case.encoded == recorded,
            "{}: recorded {:?}, now {:?}",
            case.file,
            String::from_utf8_lossy(&recorded),
            String::from_utf8_lossy(&case.encoded)
        );
    }
}

#[test]
fn each_recorded_file_has_exactly_one_case() {
    let all = cases();
    let named: BTreeSet<String> = all.iter().map(|c| c.file.to_owned()).collect();
    assert_eq!(named.len(), all.len(), "two cases name the same file");
    let present: BTreeSet<String> = fs::read_dir(path(""))
        .expect("the directory of recorded files is readable")
        .map(|entry| {
            entry
                .expect("the directory entry is readable")
                .file_name()
                .into_string()
        })
        .map(|name| name.expect("the file name is UTF-8"))
        .filter(|name| name != VARIATIONS && !name.ends_with(".rs"))
        .collect();
    assert_eq!(named, present);
}

#[test]
fn messages_of_other_versions_are_read_or_refused_as_recorded() {
    let recorded = String::from_utf8(recorded_bytes(VARIATIONS)).expect("the file is UTF-8");
    let described = variations::describe(&cases());
    let pairs = recorded.lines().zip(described.lines());
    for (n, (recorded_line, described_line)) in pairs.enumerate() {
        assert_eq!(
            recorded_line,
            described_line,
            "{VARIATIONS}, line {}",
            n + 1
        );
    }
    assert_eq!(recorded, described);
}

#[test]
#[ignore = "writes the missing files of new cases; existing files are left unchanged"]
fn write_missing_recorded_files() {
    let all = cases();
    for case in &all {
        write_new(case.file, &case.encoded);
    }
    write_new(VARIATIONS, variations::describe(&all).as_bytes());
}

fn write_new(file: &str, bytes: &[u8]) {
    let created = fs::File::options()
        .write(true)
        .create_new(true)
        .open(path(file));
    match created {
        Ok(mut f) => f.write_all(bytes).expect("the file can be written"),
        Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
        Err(e) => panic!("{file}: {e}"),
    }
}
