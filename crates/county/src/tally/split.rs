//! Splits sheets that were written under a larger size limit: the cells that exceed the limit move to new sheets.
//!
//! The new sheets are written before the original sheet is written without the moved cells. Between the two writes a
//! cell is in both sheets. A reader uses the copy in the sheet with the higher watermark, or with equal watermarks the
//! one in the sheet with the higher number.

use super::{SheetState, Tally};
use crate::{Cell, Delta};
use document::text;
use std::collections::BTreeSet;

/// The bytes of a sheet without cells.
const SHEET_FRAME_BYTES: usize = 48;
/// Bytes by which the three counts of a cell can grow: from 1 to 20 digits each.
const COUNT_GROWTH_BYTES: usize = 3 * 19;

impl Tally {
    /// Whether the copy of a cell in the sheet that is being read replaces the copy in a sheet that was read earlier, or
    /// is the only one. A replaced copy is dropped.
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

    /// Moves cells out of sheets that exceed the size limit.
    pub(super) fn split_oversized_sheets(&mut self) {
        let numbers: Vec<u32> = self.sheets.keys().copied().collect();
        for number in numbers {
            self.split_sheet(number);
        }
    }

    /// Upper bound of the bytes that a cell takes in a sheet, for all later values of its counts.
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
        let mut next_number = self.sheets.keys().next_back().map_or(0, |n| n + 1);
        let mut parts: Vec<(u32, SheetState)> = Vec::new();
        for (cell, length) in moved {
            let is_full =
                |(_, p): &(u32, SheetState)| p.reserved_bytes + length > self.max_sheet_bytes;
            if parts.last().is_none_or(is_full) {
                let sheet_state = SheetState {
                    watermark,
                    reserved_bytes: SHEET_FRAME_BYTES,
                    unwritten: true,
                    ..SheetState::default()
                };
                parts.push((next_number, sheet_state));
                next_number += 1;
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
            // Marks the sheet as full, since new cells are measured by `Delta::frame` and these by `max_cell_bytes`.
            sheet_state.reserved_bytes = self.max_sheet_bytes;
        }
        self.sheets.extend(parts);
    }

    /// Whether a sheet may be written: only after all sheets that took cells from it.
    pub(super) fn may_write(&self, sheet_state: &SheetState) -> bool {
        let is_written = |n: &u32| self.sheets.get(n).is_none_or(|p| !p.unwritten);
        sheet_state.written_after.iter().all(is_written)
    }
}
