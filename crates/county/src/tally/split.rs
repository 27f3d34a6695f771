//! Sheets that were put when records could be larger: their cells are divided over further sheets.
//!
//! A new sheet is put before the one that its cells come from is put without them. In between a cell stands in both;
//! whoever reads them then takes the one with the higher watermark, and of two that are the same the later sheet's.

use super::{SheetState, Tally};
use crate::{Cell, Delta};
use document::text;
use std::collections::BTreeSet;

/// What a sheet takes without its cells.
const SHEET_FRAME_BYTES: usize = 48;
/// A count may take so many more digits in time.
const COUNT_GROWTH_BYTES: usize = 3 * 19;

impl Tally {
    /// Whether a cell that is read in this sheet counts by it, and not by another that was read before.
    pub(super) fn is_latest_copy(&mut self, cell: &Cell, number: u32, upto: u64) -> bool {
        let Some(other) = self.cells.get(cell).map(|e| e.sheet) else {
            return true;
        };
        let Some(sheet_state) = self.sheets.get_mut(&other) else {
            return true;
        };
        let is_newer = (upto, number) > (sheet_state.watermark, other);
        if is_newer {
            sheet_state.cells.remove(cell);
        }
        is_newer
    }

    /// Takes cells out of sheets that are longer than they may be.
    pub(super) fn split_oversized_sheets(&mut self) {
        let numbers: Vec<u32> = self.sheets.keys().copied().collect();
        for number in numbers {
            self.split_sheet(number);
        }
    }

    /// What a cell takes of a sheet, whatever it counts later.
    fn max_cell_bytes(&self, cell: &Cell) -> usize {
        let count = self.cells.get(cell).map(|e| e.folded).unwrap_or_default();
        text(&Delta::new(cell, &count)).len() + COUNT_GROWTH_BYTES
    }

    fn split_sheet(&mut self, number: u32) {
        let Some(sheet_state) = self.sheets.get(&number) else {
            return;
        };
        let watermark = sheet_state.watermark;
        let mut kept = SHEET_FRAME_BYTES;
        let mut moved: Vec<(Cell, usize)> = Vec::new();
        for cell in &sheet_state.cells {
            let length = self.max_cell_bytes(cell);
            if kept + length > self.max_sheet_bytes && kept > SHEET_FRAME_BYTES {
                moved.push((cell.clone(), length));
            } else {
                kept += length;
            }
        }
        let mut next = self.sheets.keys().next_back().map_or(0, |n| n + 1);
        let mut parts: Vec<(u32, SheetState)> = Vec::new();
        for (cell, length) in moved {
            let full =
                |(_, p): &(u32, SheetState)| p.reserved_bytes + length > self.max_sheet_bytes;
            if parts.last().is_none_or(full) {
                let sheet_state = SheetState {
                    watermark,
                    reserved_bytes: SHEET_FRAME_BYTES,
                    unwritten: true,
                    ..SheetState::default()
                };
                parts.push((next, sheet_state));
                next += 1;
            }
            if let Some((sheet, part)) = parts.last_mut() {
                part.reserved_bytes += length;
                if let Some(entry) = self.cells.get_mut(&cell) {
                    entry.sheet = *sheet;
                }
                part.cells.insert(cell);
            }
        }
        if let Some(sheet_state) = self.sheets.get_mut(&number) {
            for (_, part) in &parts {
                sheet_state.cells.retain(|c| !part.cells.contains(c));
            }
            sheet_state.written_after = parts.iter().map(|(n, _)| *n).collect::<BTreeSet<u32>>();
            // No further cells: their lengths are bounded otherwise than these were counted.
            sheet_state.reserved_bytes = self.max_sheet_bytes;
        }
        self.sheets.extend(parts);
    }

    /// Whether a sheet may be put: not before those that have taken cells of it.
    pub(super) fn may_write(&self, sheet_state: &SheetState) -> bool {
        let is_written = |n: &u32| self.sheets.get(n).is_none_or(|p| !p.unwritten);
        sheet_state.written_after.iter().all(is_written)
    }
}
