//! Counts of what has ended, each once.
//!
//! A delta stands in the log record that ends its jobs, and is known by that record's number; numbers only rise. A
//! cell is one class of one county, and stands in one sheet for ever. A sheet is put with the highest number that is
//! in it, its watermark: of the log, a cell that stands in a sheet still has to count only what is above that. So a
//! put that is repeated, or a log record that is read again after it was folded, counts nothing twice. A log record
//! may go once all sheets that its deltas belong to have passed it.
//!
//! Who drives this has one transaction at a time: what is [`Tally::noted`] has been committed, and a fold is
//! committed, or nobody's any more, before the next is made.

mod division;

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
    /// Jobs that ended done, and cancelled.
    pub done: u64,
    pub cancelled: u64,
    /// Tasks that were done when their jobs ended.
    pub tasks: u64,
}

impl Count {
    fn add(&mut self, o: &Count) {
        self.done += o.done;
        self.cancelled += o.cancelled;
        self.tasks += o.tasks;
    }
    fn less(&self, o: &Count) -> Count {
        Count {
            done: self.done.saturating_sub(o.done),
            cancelled: self.cancelled.saturating_sub(o.cancelled),
            tasks: self.tasks.saturating_sub(o.tasks),
        }
    }
}

/// A cell with a count, in a log record or a sheet.
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
    /// Bounds its length in a record: JSON escapes at most six bytes for one, and counts have at most 20 digits.
    pub fn frame(county: &str, class: &str) -> usize {
        (county.len() + class.len()) * 6 + 3 * 20 + 70
    }
    /// Adds a count to the cell's own among these, or a new one.
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

/// Several cells in one record.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Sheet {
    /// Watermark: the highest number of a log record that is in it.
    pub upto: u64,
    pub cells: Vec<Delta>,
}

/// Sheets to be put in one transaction, each guarded by its stamp.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fold {
    pub puts: Vec<(u32, u64, Sheet)>,
}

/// Why nothing can be said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// The sheets were not read yet.
    NotYet,
    /// Some sheet can't be understood.
    Bad,
}

#[derive(Debug, Default)]
struct Page {
    /// 0 until it is put.
    stamp: u64,
    upto: u64,
    size: usize,
    cells: BTreeSet<Cell>,
    /// Numbers above the watermark that have deltas for it.
    due: BTreeSet<u64>,
    /// It has cells of another sheet and was not put yet.
    unput: bool,
    /// Sheets with cells of this one, to be put before it.
    after: BTreeSet<u32>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    sheet: u32,
    folded: Count,
    /// Of the log, above the watermark.
    fresh: Count,
    /// It stands in the sheet as it was last put.
    recorded: bool,
}

#[derive(Debug)]
pub struct Tally {
    state: Result<(), Unread>,
    /// Bound on a sheet's length.
    limit: usize,
    sheets: BTreeMap<u32, Page>,
    cells: BTreeMap<Cell, Entry>,
    /// Deltas that were noted before the sheets were known.
    early: BTreeMap<u64, Vec<Delta>>,
    /// Log records with deltas that are not folded everywhere, and the sheets that they still wait for.
    open: BTreeMap<u64, BTreeSet<u32>>,
    classes: BTreeMap<String, BTreeSet<String>>,
    highest: u64,
}

impl Tally {
    /// Knows nothing yet; its sheets will be no longer than this.
    pub fn new(limit: usize) -> Self {
        Tally {
            state: Err(Unread::NotYet),
            limit,
            sheets: BTreeMap::new(),
            cells: BTreeMap::new(),
            early: BTreeMap::new(),
            open: BTreeMap::new(),
            classes: BTreeMap::new(),
            highest: 0,
        }
    }

    /// Whether counts may be told and folded.
    pub fn state(&self) -> Result<(), Unread> {
        self.state
    }

    /// Reading begins, perhaps again after a sheet could not be understood.
    pub fn begin_reading(&mut self) {
        if self.state.is_err() {
            self.sheets.clear();
            self.cells.clear();
        }
    }

    pub fn sheet_read(&mut self, number: u32, stamp: u64, sheet: Sheet) {
        let mut page = Page {
            stamp,
            upto: sheet.upto,
            ..Page::default()
        };
        for d in sheet.cells {
            let cell = d.cell();
            page.size += Delta::frame(&d.county, &d.class);
            self.class_seen(&d.county, &d.class);
            if !self.counts_by(&cell, number, sheet.upto) {
                continue;
            }
            page.cells.insert(cell.clone());
            let entry = Entry {
                sheet: number,
                folded: d.count(),
                fresh: Count::default(),
                recorded: true,
            };
            self.cells.insert(cell, entry);
        }
        self.sheets.insert(number, page);
    }

    /// All sheets were read, and whether all could be understood. Returns the log records that may go.
    pub fn reading_over(&mut self, all: bool) -> Vec<u64> {
        if !all {
            self.state = Err(Unread::Bad);
            return Vec::new();
        }
        self.state = Ok(());
        self.divide();
        let early = std::mem::take(&mut self.early);
        early
            .into_iter()
            .filter(|(n, deltas)| !self.count(*n, deltas))
            .map(|(n, _)| n)
            .collect()
    }

    /// Deltas of a log record that stands. True if the record has to stay for them.
    pub fn noted(&mut self, number: u64, deltas: Vec<Delta>) -> bool {
        for d in &deltas {
            self.class_seen(&d.county, &d.class);
        }
        if self.state.is_err() {
            self.early.insert(number, deltas);
            return true;
        }
        self.count(number, &deltas)
    }

    fn count(&mut self, number: u64, deltas: &[Delta]) -> bool {
        self.highest = self.highest.max(number);
        let mut waits = BTreeSet::new();
        for d in deltas {
            let cell = d.cell();
            let sheet = self
                .cells
                .get(&cell)
                .map(|e| e.sheet)
                .unwrap_or_else(|| self.assign(&cell));
            let (Some(entry), Some(page)) =
                (self.cells.get_mut(&cell), self.sheets.get_mut(&sheet))
            else {
                continue;
            };
            // What the sheet has already is not counted again.
            if entry.recorded && page.upto >= number {
                continue;
            }
            entry.fresh.add(&d.count());
            page.due.insert(number);
            waits.insert(sheet);
        }
        let stays = !waits.is_empty();
        if stays {
            self.open.insert(number, waits);
        }
        stays
    }

    /// A sheet for a new cell: the last one that has room, or a new one.
    fn assign(&mut self, cell: &Cell) -> u32 {
        let size = Delta::frame(&cell.county, &cell.class);
        let last = self.sheets.iter().next_back();
        let open = last
            .filter(|(_, p)| p.size + size <= self.limit)
            .map(|(n, _)| *n);
        let number = open.unwrap_or_else(|| last.map_or(0, |(n, _)| n + 1));
        let page = self.sheets.entry(number).or_default();
        page.size += size;
        page.cells.insert(cell.clone());
        let entry = Entry {
            sheet: number,
            folded: Count::default(),
            fresh: Count::default(),
            recorded: false,
        };
        self.cells.insert(cell.clone(), entry);
        number
    }

    /// The sheets that have waited longest, at most so many, as they are to be put.
    pub fn fold(&self, most: usize) -> Option<Fold> {
        if self.state.is_err() {
            return None;
        }
        let mut due: Vec<(u64, u32)> = self
            .sheets
            .iter()
            .filter(|(_, p)| self.may_put(p))
            .filter_map(|(n, p)| {
                let first = if p.unput {
                    Some(0)
                } else {
                    p.due.first().copied()
                };
                Some((first?, *n))
            })
            .collect();
        due.sort_unstable();
        let put = |number: u32| {
            let page = self.sheets.get(&number)?;
            let cell = |c: &Cell| {
                let entry = self.cells.get(c)?;
                let mut count = entry.folded;
                count.add(&entry.fresh);
                Some(Delta::new(c, &count))
            };
            let cells = page.cells.iter().filter_map(cell).collect();
            Some((
                number,
                page.stamp,
                Sheet {
                    upto: self.highest.max(page.upto),
                    cells,
                },
            ))
        };
        let puts: Vec<_> = due
            .into_iter()
            .take(most)
            .filter_map(|(_, n)| put(n))
            .collect();
        (!puts.is_empty()).then_some(Fold { puts })
    }

    /// A fold stands, at this revision. Returns the log records that may go.
    pub fn folded(&mut self, fold: &Fold, revision: u64) -> Vec<u64> {
        let mut over = Vec::new();
        for (number, _, sheet) in &fold.puts {
            let Some(page) = self.sheets.get_mut(number) else {
                continue;
            };
            (page.stamp, page.upto) = (revision, sheet.upto);
            page.unput = false;
            let rest = page.due.split_off(&(sheet.upto + 1));
            for n in std::mem::replace(&mut page.due, rest) {
                let Some(waits) = self.open.get_mut(&n) else {
                    continue;
                };
                waits.remove(number);
                if waits.is_empty() {
                    self.open.remove(&n);
                    over.push(n);
                }
            }
            for d in &sheet.cells {
                if let Some(entry) = self.cells.get_mut(&d.cell()) {
                    // What came meanwhile is not in it.
                    entry.fresh = entry.fresh.less(&d.count().less(&entry.folded));
                    entry.folded = d.count();
                    entry.recorded = true;
                }
            }
        }
        over
    }

    fn class_seen(&mut self, county: &str, class: &str) -> bool {
        let known = self.classes.entry(county.to_owned()).or_default();
        known.contains(class) || (known.len() < MAX_CLASSES && known.insert(class.to_owned()))
    }

    /// The cell that a job is counted in.
    pub fn cell(&mut self, county: &str, class: &str) -> Cell {
        let class = if self.class_seen(county, class) {
            class
        } else {
            OTHER
        };
        Cell {
            county: county.to_owned(),
            class: class.to_owned(),
        }
    }

    /// What has ended, by cell.
    pub fn counts(&self) -> Result<BTreeMap<Cell, Count>, Unread> {
        self.state?;
        let sum = |e: &Entry| {
            let mut count = e.folded;
            count.add(&e.fresh);
            count
        };
        Ok(self
            .cells
            .iter()
            .map(|(c, e)| (c.clone(), sum(e)))
            .collect())
    }

    /// Log records that wait to be folded, and the number of sheets.
    pub fn backlog(&self) -> (usize, usize) {
        (self.open.len() + self.early.len(), self.sheets.len())
    }
}
