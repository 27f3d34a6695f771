//! Compares the tally with independently kept counts, to check that each job end is counted exactly once with lost,
//! late and repeated transactions.

use county::{Cell, Count, Delta, Sheet, Tally};
use std::collections::BTreeMap;

/// The contents of the state service.
#[derive(Clone, Default)]
struct Store {
    log: BTreeMap<u64, Vec<Delta>>,
    sheets: BTreeMap<u32, (u64, Sheet)>,
    revision: u64,
    owner: u64,
}

/// A transaction of one owner: the records that it writes and the log records that it deletes.
#[derive(Clone)]
struct Txn {
    owner: u64,
    log: Option<(u64, Vec<Delta>)>,
    fold: Option<county::Fold>,
    releasable: Vec<u64>,
}

impl Store {
    /// Applies the transaction atomically, if its owner is current and each key has the expected version.
    fn apply(&mut self, txn: &Txn) -> Option<u64> {
        let puts = || txn.fold.iter().flat_map(|f| &f.puts);
        let revisions_match = puts().all(|(n, expected_revision, _)| {
            self.sheets.get(n).map_or(0, |(s, _)| *s) == *expected_revision
        });
        let log = txn.log.iter().all(|(n, _)| !self.log.contains_key(n));
        if self.owner != txn.owner
            || !revisions_match
            || !log
            || !txn.releasable.iter().all(|n| self.log.contains_key(n))
        {
            return None;
        }
        self.revision += 1;
        self.log.extend(txn.log.clone());
        let revision = self.revision;
        self.sheets
            .extend(puts().map(|(n, _, sheet)| (*n, (revision, sheet.clone()))));
        txn.releasable.iter().for_each(|n| {
            self.log.remove(n);
        });
        Some(revision)
    }
}

struct Harness {
    store: Store,
    tally: Tally,
    serial: u64,
    limit: usize,
    /// Log records that can be deleted.
    releasable: Vec<u64>,
    delayed_txn: Option<Txn>,
    expected_counts: BTreeMap<Cell, Count>,
}

impl Harness {
    fn new(limit: usize) -> Self {
        let mut harness = Harness {
            store: Store::default(),
            tally: Tally::new(limit),
            serial: 0,
            limit,
            releasable: Vec::new(),
            delayed_txn: None,
            expected_counts: BTreeMap::new(),
        };
        harness.take_over(true);
        harness
    }

    /// Starts the next owner, which reads the log and the sheets in either order.
    fn take_over(&mut self, log_first: bool) {
        self.store.owner += 1;
        self.serial = 0;
        self.tally = Tally::new(self.limit);
        self.releasable.clear();
        let log = self.store.log.clone();
        let note = |harness: &mut Harness| {
            for (n, deltas) in &log {
                if !harness.tally.noted(*n, deltas.clone()) {
                    harness.releasable.push(*n);
                }
            }
        };
        if log_first {
            note(self);
        }
        self.tally.begin_reading();
        for (n, (revision, sheet)) in self.store.sheets.clone() {
            self.tally.sheet_read(n, revision, sheet);
        }
        let releasable = self.tally.reading_over(true);
        self.releasable.extend(releasable);
        if !log_first {
            note(self);
        }
    }

    fn next_record_number(&mut self) -> u64 {
        self.serial += 1;
        self.store.owner << 32 | self.serial
    }

    fn end_jobs(&mut self, cells: &[(u32, u32)]) -> Txn {
        let mut deltas = Vec::new();
        for (county, class) in cells {
            let cell = self.tally.cell(&format!("c{county}"), &format!("k{class}"));
            Delta::add_to(
                &mut deltas,
                &cell,
                &Count {
                    done: 1,
                    cancelled: 0,
                    tasks: 3,
                },
            );
        }
        let number = self.next_record_number();
        Txn {
            owner: self.store.owner,
            log: Some((number, deltas)),
            fold: None,
            releasable: Vec::new(),
        }
    }

    fn fold(&mut self, max_sheets: usize, txn: Option<Txn>) -> Txn {
        let empty = Txn {
            owner: self.store.owner,
            log: None,
            fold: None,
            releasable: Vec::new(),
        };
        Txn {
            fold: self.tally.fold(max_sheets),
            releasable: std::mem::take(&mut self.releasable),
            ..txn.unwrap_or(empty)
        }
    }

    /// Applies a transaction. It counts once applied, whether or not the sender receives the answer.
    fn apply(&mut self, txn: &Txn) -> Option<u64> {
        let revision = self.store.apply(txn)?;
        for d in txn.log.iter().flat_map(|(_, deltas)| deltas) {
            let count = self.expected_counts.entry(d.cell()).or_default();
            count.done += d.done;
            count.tasks += d.tasks;
        }
        Some(revision)
    }

    fn commit(&mut self, txn: &Txn) {
        let revision = self
            .apply(txn)
            .expect("the transaction of the only owner is applied");
        if let Some((n, deltas)) = &txn.log
            && !self.tally.noted(*n, deltas.clone())
        {
            self.releasable.push(*n);
        }
        if let Some(fold) = &txn.fold {
            let releasable = self.tally.folded(fold, revision);
            self.releasable.extend(releasable);
        }
    }

    fn check(&self, context: &str) {
        assert_eq!(
            self.tally.counts().as_ref(),
            Ok(&self.expected_counts),
            "{context}"
        );
    }
}

/// Performs one of the possible steps of a history.
fn perform(harness: &mut Harness, step: u8) {
    match step {
        0 => {
            let txn = harness.end_jobs(&[(0, 0), (1, 0)]);
            harness.commit(&txn);
        }
        // Folds one of several sheets, in the same transaction as another end.
        1 => {
            let txn = harness.end_jobs(&[(1, 0), (2, 0)]);
            let txn = harness.fold(1, Some(txn));
            harness.commit(&txn);
        }
        2 => {
            let txn = harness.fold(9, None);
            harness.commit(&txn);
        }
        // The owner is lost with a fold and an end in flight. With step 3 they are applied before the next owner reads;
        // with step 4 they are delayed.
        3 | 4 => {
            let txn = harness.end_jobs(&[(0, 0)]);
            let txn = harness.fold(1, Some(txn));
            if step == 3 {
                harness.apply(&txn);
            } else {
                harness.delayed_txn = Some(txn);
            }
            harness.take_over(step == 3);
        }
        // The delayed transaction of an earlier owner arrives and is rejected.
        _ => {
            if let Some(txn) = harness.delayed_txn.take() {
                assert_eq!(harness.store.apply(&txn), None);
            }
        }
    }
}

/// Tries all sequences of six steps.
#[test]
fn every_short_history_counts_each_end_once() {
    for mut code in 0..6u32.pow(6) {
        // Two cells per sheet, so that there are several sheets and log records that wait for more than one of them.
        let mut harness = Harness::new(2 * Delta::frame("c0", "k0"));
        let mut history = String::new();
        for _ in 0..6 {
            let step = (code % 6) as u8;
            code /= 6;
            history.push((b'0' + step) as char);
            perform(&mut harness, step);
            harness.check(&history);
        }
    }
}

/// Random histories with hundreds of counties, more classes than are counted separately, and owners lost at any time.
#[test]
fn random_histories_count_each_end_once_within_size_bounds() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limit = 4_000;
        let mut harness = Harness::new(limit);
        for _ in 0..600 {
            match rng.u8(..100) {
                0..70 => {
                    let cells: Vec<_> = (0..rng.usize(1..20))
                        .map(|_| (rng.u32(..300), rng.u32(..3)))
                        .collect();
                    let cells = if rng.u8(..10) == 0 {
                        vec![(7, rng.u32(..80))]
                    } else {
                        cells
                    };
                    let txn = harness.end_jobs(&cells);
                    harness.commit(&txn);
                }
                70..94 => {
                    let max_sheets = rng.usize(1..20);
                    let txn = harness.fold(max_sheets, None);
                    harness.commit(&txn);
                }
                _ => {
                    let txn = harness.end_jobs(&[(rng.u32(..300), 0)]);
                    let txn = harness.fold(3, Some(txn));
                    if rng.bool() {
                        harness.apply(&txn);
                    }
                    // A different value_kb: sheets that were full may have room again.
                    harness.limit = rng.usize(limit / 2..limit);
                    let log_first = rng.bool();
                    harness.take_over(log_first);
                    assert_eq!(harness.store.apply(&txn), None);
                }
            }
            harness.check(&format!("seed {seed}"));
        }
        // In the end everything is folded, and no log record has to be kept.
        for _ in 0..200 {
            let txn = harness.fold(16, None);
            harness.commit(&txn);
        }
        assert!(
            harness.store.log.is_empty(),
            "seed {seed}: {} log records stay",
            harness.store.log.len()
        );
        let classes = harness
            .expected_counts
            .keys()
            .filter(|c| c.county == "c7")
            .count();
        assert!(
            classes <= county::MAX_CLASSES + 1,
            "seed {seed}: {classes} classes"
        );
        let longest = harness
            .store
            .sheets
            .values()
            .map(|(_, s)| toml::to_string(s).map_or(0, |t| t.len()))
            .max();
        assert!(
            longest.is_some_and(|l| l <= limit),
            "seed {seed}: {longest:?}"
        );
    }
}

#[test]
fn unread_counts_are_neither_reported_nor_folded() {
    let mut tally = Tally::new(1000);
    let cell = tally.cell("a", "k");
    assert!(tally.noted(
        5,
        vec![Delta::new(
            &cell,
            &Count {
                done: 1,
                ..Count::default()
            }
        )]
    ));
    assert_eq!(
        (tally.counts(), tally.fold(9)),
        (Err(county::Unread::NotYet), None)
    );
    tally.begin_reading();
    assert!(tally.reading_over(false).is_empty());
    assert_eq!(
        (tally.counts(), tally.fold(9)),
        (Err(county::Unread::Bad), None)
    );
    // Read again once the sheet can be decoded: what it includes is not counted again.
    tally.begin_reading();
    tally.sheet_read(
        0,
        3,
        Sheet {
            upto: 5,
            cells: vec![Delta::new(
                &cell,
                &Count {
                    done: 4,
                    ..Count::default()
                },
            )],
        },
    );
    assert_eq!(tally.reading_over(true), [5]);
    assert_eq!(tally.counts().map(|c| c[&cell].done), Ok(4));
}

/// A sheet that was written under a larger size limit is split. Nothing is counted twice or lost, whichever of its parts
/// have been written when an owner is lost, and no written sheet exceeds the limit.
#[test]
fn oversized_sheet_is_split_without_loss_or_double_counting() {
    const LIMIT: usize = 1000;
    let cell = |i: u64| Cell {
        county: format!("county-{i:03}"),
        class: "class".into(),
    };
    let count = |n: u64| Count {
        done: n,
        ..Count::default()
    };
    let deltas = |n: u64| {
        (0..40)
            .map(|i| Delta::new(&cell(i), &count(n + i)))
            .collect()
    };
    for folds in 0..12 {
        let mut sheets: BTreeMap<u32, (u64, Sheet)> = BTreeMap::new();
        let whole = Sheet {
            upto: 7,
            cells: deltas(100),
        };
        sheets.insert(3, (1, whole));
        // Three owners, the first two lost after `folds` folds. The log has one record that is not folded.
        let mut counts = BTreeMap::new();
        for owner in 0..3 {
            let mut tally = Tally::new(LIMIT);
            tally.begin_reading();
            // The state service lists keys in lexical order.
            let mut listed: Vec<_> = sheets.iter().collect();
            listed.sort_by_key(|(n, _)| n.to_string());
            for (n, (revision, sheet)) in listed {
                tally.sheet_read(*n, *revision, sheet.clone());
            }
            tally.noted(9, deltas(1));
            tally.reading_over(true);
            let rounds = if owner < 2 { folds } else { 40 };
            for round in 0..rounds {
                let Some(fold) = tally.fold(1) else { break };
                let revision = 10 + owner * 100 + round;
                for (n, expected_revision, sheet) in &fold.puts {
                    let length = document::text(sheet).len();
                    assert!(length <= LIMIT, "sheet {n}: {length} bytes");
                    assert_eq!(sheets.get(n).map_or(0, |(s, _)| *s), *expected_revision);
                    sheets.insert(*n, (revision, sheet.clone()));
                }
                tally.folded(&fold, revision);
            }
            counts = tally.counts().expect("all sheets were read");
        }
        let expected: BTreeMap<Cell, Count> =
            (0..40).map(|i| (cell(i), count(101 + 2 * i))).collect();
        assert_eq!(counts, expected, "{folds} folds");
        assert!(sheets.len() > 3);
    }
}
