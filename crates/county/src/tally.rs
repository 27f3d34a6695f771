//! Counts of ended jobs, each counted exactly once.
//!
//! A delta is part of the log record that ends its jobs, and is identified by that record's number; numbers only
//! increase. A cell is one class of one county, and belongs to one sheet; it moves only when an oversized sheet is
//! split. A sheet is written with its watermark, the highest record number that it includes. For a cell that is in a
//! written sheet, only log records above the watermark still have to be added. A write that is repeated, or a log
//! record that is read again after it was folded, is therefore not counted twice. A log record can be deleted once
//! the watermarks of all sheets that its deltas belong to have reached it.
//!
//! The caller has one transaction in progress at a time: records passed to [`Tally::noted`] are committed, and a fold
//! is committed, or can no longer be, before the next one is made.

mod split;

use crate::{MAX_CLASSES, OTHER};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One class of one county.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    pub county: String,
    pub class: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Count {
    /// Jobs that ended as done.
    pub done: u64,
    /// Jobs that ended as cancelled.
    pub cancelled: u64,
    /// Tasks that were done when their jobs ended, of jobs with either outcome.
    pub tasks: u64,
}

impl Count {
    fn add(&mut self, other: &Count) {
        self.done += other.done;
        self.cancelled += other.cancelled;
        self.tasks += other.tasks;
    }
    fn subtract(&self, other: &Count) -> Count {
        Count {
            done: self.done.saturating_sub(other.done),
            cancelled: self.cancelled.saturating_sub(other.cancelled),
            tasks: self.tasks.saturating_sub(other.tasks),
        }
    }
}

/// A count of one cell: an increment in a log record, a total in a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    pub county: String,
    pub class: String,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub done: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cancelled: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tasks: u64,
}

fn is_zero(v: &u64) -> bool {
    *v == 0
}

impl Delta {
    pub fn new(cell: &Cell, count: &Count) -> Self {
        let Cell { county, class } = cell.clone();
        Delta {
            county,
            class,
            done: count.done,
            cancelled: count.cancelled,
            tasks: count.tasks,
        }
    }
    pub fn cell(&self) -> Cell {
        Cell {
            county: self.county.clone(),
            class: self.class.clone(),
        }
    }
    pub fn count(&self) -> Count {
        Count {
            done: self.done,
            cancelled: self.cancelled,
            tasks: self.tasks,
        }
    }
    /// Upper bound of the bytes that a delta takes in a record: JSON escapes a byte with at most six, and each of the
    /// three counts has at most 20 digits.
    pub fn frame(county: &str, class: &str) -> usize {
        (county.len() + class.len()) * 6 + 3 * 20 + 70
    }
    /// Adds a count to the delta of the cell, which is appended if there is none yet.
    pub fn add_to(all: &mut Vec<Delta>, cell: &Cell, count: &Count) {
        let same = |d: &&mut Delta| d.county == cell.county && d.class == cell.class;
        match all.iter_mut().find(same) {
            Some(d) => {
                d.done += count.done;
                d.cancelled += count.cancelled;
                d.tasks += count.tasks;
            }
            None => all.push(Delta::new(cell, count)),
        }
    }
}

/// The totals of several cells, stored as one record.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Sheet {
    /// Watermark: the highest number of a log record that the totals include.
    pub upto: u64,
    pub cells: Vec<Delta>,
}

/// Sheets to write in one transaction, as (number, expected revision, sheet); each write is conditional on the
/// expected revision, 0 for a new sheet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fold {
    pub puts: Vec<(u32, u64, Sheet)>,
}

/// Why counts are unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// The sheets have not been read yet.
    NotYet,
    /// A sheet could not be decoded.
    Bad,
}

#[derive(Debug, Default)]
struct SheetState {
    /// The revision at which the sheet was last written; 0 if it never was.
    revision: u64,
    watermark: u64,
    reserved_bytes: usize,
    cells: BTreeSet<Cell>,
    /// Numbers of log records above the watermark with deltas for this sheet.
    pending_records: BTreeSet<u64>,
    /// Whether the sheet took cells from an oversized sheet and has not been written yet.
    unwritten: bool,
    /// Sheets that took cells from this one, which have to be written before it.
    written_after: BTreeSet<u32>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    sheet: u32,
    folded: Count,
    /// Sum of the deltas of log records that are not in the sheet yet.
    unfolded: Count,
    /// Whether the sheet contained the cell when it was last written.
    in_written_sheet: bool,
}

#[derive(Debug)]
pub struct Tally {
    state: Result<(), Unread>,
    /// The most bytes of a sheet.
    max_sheet_bytes: usize,
    sheets: BTreeMap<u32, SheetState>,
    cells: BTreeMap<Cell, Entry>,
    /// Deltas of log records that were noted before the sheets had been read.
    records_before_load: BTreeMap<u64, Vec<Delta>>,
    /// Log records with deltas that are not in all of their sheets yet, with the sheets that are still missing them.
    open_records: BTreeMap<u64, BTreeSet<u32>>,
    classes_by_county: BTreeMap<String, BTreeSet<String>>,
    highest_record: u64,
}

impl Tally {
    /// A tally that has read no sheets yet, and whose sheets take at most `max_sheet_bytes`.
    pub fn new(max_sheet_bytes: usize) -> Self {
        Tally {
            state: Err(Unread::NotYet),
            max_sheet_bytes,
            sheets: BTreeMap::new(),
            cells: BTreeMap::new(),
            records_before_load: BTreeMap::new(),
            open_records: BTreeMap::new(),
            classes_by_county: BTreeMap::new(),
            highest_record: 0,
        }
    }

    /// Whether counts can be reported and folded.
    pub fn state(&self) -> Result<(), Unread> {
        self.state
    }

    /// Starts to read the sheets, possibly again after one could not be decoded.
    pub fn begin_reading(&mut self) {
        if self.state.is_err() {
            self.sheets.clear();
            self.cells.clear();
        }
    }

    pub fn sheet_read(&mut self, number: u32, revision: u64, sheet: Sheet) {
        let mut sheet_state = SheetState {
            revision,
            watermark: sheet.upto,
            ..SheetState::default()
        };
        for d in sheet.cells {
            let cell = d.cell();
            sheet_state.reserved_bytes += Delta::frame(&d.county, &d.class);
            self.register_class(&d.county, &d.class);
            if !self.is_latest_copy(&cell, number, sheet.upto) {
                continue;
            }
            sheet_state.cells.insert(cell.clone());
            let entry = Entry {
                sheet: number,
                folded: d.count(),
                unfolded: Count::default(),
                in_written_sheet: true,
            };
            self.cells.insert(cell, entry);
        }
        self.sheets.insert(number, sheet_state);
    }

    /// Ends the reading of sheets. `all_decoded` is whether all of them could be decoded. Returns the log records that
    /// can be deleted.
    pub fn reading_over(&mut self, all_decoded: bool) -> Vec<u64> {
        if !all_decoded {
            self.state = Err(Unread::Bad);
            return Vec::new();
        }
        self.state = Ok(());
        self.split_oversized_sheets();
        let early = std::mem::take(&mut self.records_before_load);
        early
            .into_iter()
            .filter(|(n, deltas)| !self.count_record(*n, deltas))
            .map(|(n, _)| n)
            .collect()
    }

    /// Adds the deltas of a committed log record. Returns true if the record must be kept until they are folded.
    pub fn noted(&mut self, number: u64, deltas: Vec<Delta>) -> bool {
        for d in &deltas {
            self.register_class(&d.county, &d.class);
        }
        if self.state.is_err() {
            self.records_before_load.insert(number, deltas);
            return true;
        }
        self.count_record(number, &deltas)
    }

    fn count_record(&mut self, number: u64, deltas: &[Delta]) -> bool {
        self.highest_record = self.highest_record.max(number);
        let mut waiting_sheets = BTreeSet::new();
        for d in deltas {
            let cell = d.cell();
            let sheet = self
                .cells
                .get(&cell)
                .map(|e| e.sheet)
                .unwrap_or_else(|| self.assign_sheet(&cell));
            let (Some(entry), Some(sheet_state)) =
                (self.cells.get_mut(&cell), self.sheets.get_mut(&sheet))
            else {
                continue;
            };
            // The sheet already includes this record.
            if entry.in_written_sheet && sheet_state.watermark >= number {
                continue;
            }
            entry.unfolded.add(&d.count());
            sheet_state.pending_records.insert(number);
            waiting_sheets.insert(sheet);
        }
        let must_stay = !waiting_sheets.is_empty();
        if must_stay {
            self.open_records.insert(number, waiting_sheets);
        }
        must_stay
    }

    /// Assigns a new cell to the last sheet if that has room, else to a new sheet.
    fn assign_sheet(&mut self, cell: &Cell) -> u32 {
        let size = Delta::frame(&cell.county, &cell.class);
        let last = self.sheets.iter().next_back();
        let open = last
            .filter(|(_, p)| p.reserved_bytes + size <= self.max_sheet_bytes)
            .map(|(n, _)| *n);
        let number = open.unwrap_or_else(|| last.map_or(0, |(n, _)| n + 1));
        let sheet_state = self.sheets.entry(number).or_default();
        sheet_state.reserved_bytes += size;
        sheet_state.cells.insert(cell.clone());
        let entry = Entry {
            sheet: number,
            folded: Count::default(),
            unfolded: Count::default(),
            in_written_sheet: false,
        };
        self.cells.insert(cell.clone(), entry);
        number
    }

    /// The sheets to write next, at most `max_sheets`: unwritten parts of split sheets first, then those with the oldest
    /// pending log records.
    pub fn fold(&self, max_sheets: usize) -> Option<Fold> {
        if self.state.is_err() {
            return None;
        }
        let mut pending: Vec<(u64, u32)> = self
            .sheets
            .iter()
            .filter(|(_, p)| self.may_write(p))
            .filter_map(|(n, p)| {
                let first = if p.unwritten {
                    Some(0)
                } else {
                    p.pending_records.first().copied()
                };
                Some((first?, *n))
            })
            .collect();
        pending.sort_unstable();
        let sheet_to_write = |number: u32| {
            let sheet_state = self.sheets.get(&number)?;
            let cell = |c: &Cell| {
                let entry = self.cells.get(c)?;
                let mut count = entry.folded;
                count.add(&entry.unfolded);
                Some(Delta::new(c, &count))
            };
            let cells = sheet_state.cells.iter().filter_map(cell).collect();
            Some((
                number,
                sheet_state.revision,
                Sheet {
                    upto: self.highest_record.max(sheet_state.watermark),
                    cells,
                },
            ))
        };
        let puts: Vec<_> = pending
            .into_iter()
            .take(max_sheets)
            .filter_map(|(_, n)| sheet_to_write(n))
            .collect();
        (!puts.is_empty()).then_some(Fold { puts })
    }

    /// Records that a fold was committed at a revision. Returns the log records that can be deleted.
    pub fn folded(&mut self, fold: &Fold, revision: u64) -> Vec<u64> {
        let mut releasable = Vec::new();
        for (number, _, sheet) in &fold.puts {
            let Some(sheet_state) = self.sheets.get_mut(number) else {
                continue;
            };
            (sheet_state.revision, sheet_state.watermark) = (revision, sheet.upto);
            sheet_state.unwritten = false;
            let rest = sheet_state.pending_records.split_off(&(sheet.upto + 1));
            for n in std::mem::replace(&mut sheet_state.pending_records, rest) {
                let Some(waiting_sheets) = self.open_records.get_mut(&n) else {
                    continue;
                };
                waiting_sheets.remove(number);
                if waiting_sheets.is_empty() {
                    self.open_records.remove(&n);
                    releasable.push(n);
                }
            }
            for d in &sheet.cells {
                if let Some(entry) = self.cells.get_mut(&d.cell()) {
                    // Deltas that arrived after the fold was made are not in it, and stay unfolded.
                    entry.unfolded = entry.unfolded.subtract(&d.count().subtract(&entry.folded));
                    entry.folded = d.count();
                    entry.in_written_sheet = true;
                }
            }
        }
        releasable
    }

    fn register_class(&mut self, county: &str, class: &str) -> bool {
        let known = self.classes_by_county.entry(county.to_owned()).or_default();
        known.contains(class) || (known.len() < MAX_CLASSES && known.insert(class.to_owned()))
    }

    /// The cell that counts a job. Classes beyond [`MAX_CLASSES`] per county share the class [`OTHER`].
    pub fn cell(&mut self, county: &str, class: &str) -> Cell {
        let class = if self.register_class(county, class) {
            class
        } else {
            OTHER
        };
        Cell {
            county: county.to_owned(),
            class: class.to_owned(),
        }
    }

    /// The counts of ended jobs by cell.
    pub fn counts(&self) -> Result<BTreeMap<Cell, Count>, Unread> {
        self.state?;
        let sum = |e: &Entry| {
            let mut count = e.folded;
            count.add(&e.unfolded);
            count
        };
        Ok(self
            .cells
            .iter()
            .map(|(c, e)| (c.clone(), sum(e)))
            .collect())
    }

    /// The number of log records that are not folded yet, and the number of sheets.
    pub fn backlog(&self) -> (usize, usize) {
        (
            self.open_records.len() + self.records_before_load.len(),
            self.sheets.len(),
        )
    }
}
