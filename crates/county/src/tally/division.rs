//! Sheets that were put when records could be larger: their cells are divided over further sheets.
//!
//! A new sheet is put before the one that its cells come from is put without them. In between a cell stands in both;
//! whoever reads them then takes the one with the higher watermark, and of two that are the same the later sheet's.

use super::{Page, Tally};
use crate::{Cell, Delta};
use document::text;
use std::collections::BTreeSet;

/// What a sheet takes without its cells.
const FRAME: usize = 48;
/// A count may take so many more digits in time.
const GROWTH: usize = 3 * 19;

impl Tally {
    /// Whether a cell that is read in this sheet counts by it, and not by another that was read before.
    pub(super) fn counts_by(&mut self, cell: &Cell, number: u32, upto: u64) -> bool {
        let Some(other) = self.cells.get(cell).map(|e| e.sheet) else {
            return true;
        };
        let Some(page) = self.sheets.get_mut(&other) else {
            return true;
        };
        let newer = (upto, number) > (page.upto, other);
        if newer {
            page.cells.remove(cell);
        }
        newer
    }

    /// Takes cells out of sheets that are longer than they may be.
    pub(super) fn divide(&mut self) {
        let numbers: Vec<u32> = self.sheets.keys().copied().collect();
        for number in numbers {
            self.divide_one(number);
        }
    }

    /// What a cell takes of a sheet, whatever it counts later.
    fn length(&self, cell: &Cell) -> usize {
        let count = self.cells.get(cell).map(|e| e.folded).unwrap_or_default();
        text(&Delta::new(cell, &count)).len() + GROWTH
    }

    fn divide_one(&mut self, number: u32) {
        let Some(page) = self.sheets.get(&number) else {
            return;
        };
        let upto = page.upto;
        let mut kept = FRAME;
        let mut moved: Vec<(Cell, usize)> = Vec::new();
        for cell in &page.cells {
            let length = self.length(cell);
            if kept + length > self.limit && kept > FRAME {
                moved.push((cell.clone(), length));
            } else {
                kept += length;
            }
        }
        let mut next = self.sheets.keys().next_back().map_or(0, |n| n + 1);
        let mut parts: Vec<(u32, Page)> = Vec::new();
        for (cell, length) in moved {
            let full = |(_, p): &(u32, Page)| p.size + length > self.limit;
            if parts.last().is_none_or(full) {
                let page = Page {
                    upto,
                    size: FRAME,
                    unput: true,
                    ..Page::default()
                };
                parts.push((next, page));
                next += 1;
            }
            if let Some((sheet, part)) = parts.last_mut() {
                part.size += length;
                if let Some(entry) = self.cells.get_mut(&cell) {
                    entry.sheet = *sheet;
                }
                part.cells.insert(cell);
            }
        }
        if let Some(page) = self.sheets.get_mut(&number) {
            for (_, part) in &parts {
                page.cells.retain(|c| !part.cells.contains(c));
            }
            page.after = parts.iter().map(|(n, _)| *n).collect::<BTreeSet<u32>>();
            // No further cells: their lengths are bounded otherwise than these were counted.
            page.size = self.limit;
        }
        self.sheets.extend(parts);
    }

    /// Whether a sheet may be put: not before those that have taken cells of it.
    pub(super) fn may_put(&self, page: &Page) -> bool {
        let stands = |n: &u32| self.sheets.get(n).is_none_or(|p| !p.unput);
        page.after.iter().all(stands)
    }
}
