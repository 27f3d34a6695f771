//! Records that earlier versions wrote to the state service can still be read, and are written in the same form.

use document::{Content, Past};
use quota::{Amounts, NodeSpec, Over, Spec, TeamSpec};
use wire::records::{Record, SharedRecord};
use wire::tree::{HeadRecord, PartRecord, join, split};

/// A quota tree as written by the last version before other kinds of documents were added: its head, and its parts by
/// name.
const HEAD: &str = "81a571756f746184a6666f726d617401a776657273696f6e01a5706172747392b8623237373061326337643166393238326366643638623730b8393364393734333833313532366531336261373430313832a7686973746f72799185a776657273696f6e01a66368616e6765b030313233343536373839616263646566a561745f6d73cf000001a0c4506c7ba26279a3696461a477686174d92a6e6f6465206e6f7274683a206e65772c2062656c6f772074686520726f6f7420616e642033206d6f7265";
const PARTS: [(&str, &str); 2] = [
    (
        "b2770a2c7d1f9282cfd68b70",
        "82a56e6f6465739284a46e616d65a56e6f727468a967756172616e74656581a467707573cb4020000000000000a36d617881a467707573cb4029000000000000a46f766572a76c65745f656e6483a46e616d65a466696c6da6706172656e74a56e6f727468a6776569676874cb4004000000000000a57465616d7390",
    ),
    (
        "93d9743831526e13ba740182",
        "82a56e6f64657390a57465616d739283a46e616d65a4636f6d70a6706172656e74a466696c6da967756172616e74656581a467707573cb400000000000000082a46e616d65a26678a6706172656e74a56e6f727468",
    ),
];

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn tree() -> Spec {
    let gpus = |n: f64| Amounts::from([("gpus".to_owned(), n)]);
    let north = NodeSpec {
        guarantee: gpus(8.0),
        max: gpus(12.5),
        over: Over::LetEnd,
        ..NodeSpec::new("north", None)
    };
    let film = NodeSpec {
        weight: 2.5,
        ..NodeSpec::new("film", Some("north"))
    };
    let comp = TeamSpec {
        guarantee: Some(gpus(2.0)),
        ..TeamSpec::new("comp", Some("film"))
    };
    Spec {
        nodes: vec![north, film],
        teams: vec![comp, TeamSpec::new("fx", Some("north"))],
    }
}

#[test]
fn quota_tree_of_an_earlier_version_is_read_and_written_unchanged() {
    let record: SharedRecord = wire::decode(&decode_hex(HEAD)).expect("read");
    let head = record.document.expect("a head");
    assert_eq!((head.format, head.version), (Spec::FORMAT, 1));
    let what = "node north: new, below the root and 3 more";
    assert_eq!(
        head.history,
        [Past::new(
            1,
            "0123456789abcdef",
            1_790_000_000_123,
            "ida",
            what
        )]
    );
    let part = |(name, hex): (&str, &str)| {
        (
            name.to_owned(),
            wire::decode::<PartRecord>(&decode_hex(hex)).expect("read"),
        )
    };
    assert_eq!(join(&head, &PARTS.map(part).into()), Ok(tree()));
    // Earlier versions can read what is written now, as the bytes are the same.
    assert_eq!(
        wire::encode(&Record::Quota(HeadRecord { quota: head })),
        decode_hex(HEAD)
    );
    let names: Vec<String> = split(&tree(), 200)
        .expect("fits")
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    assert_eq!(names, PARTS.map(|(name, _)| name));
}
