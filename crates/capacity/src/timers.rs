//! Things to do at a time, in order.

use crate::clock::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<T> {
    due: Millis,
    serial: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.serial) == (other.due, other.serial)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.serial).cmp(&(other.due, other.serial))
    }
}

/// A queue by time; what is due at the same time comes in the order in which it was added.
pub struct Timers<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    serial: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            entries: BinaryHeap::new(),
            serial: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Adds something for that time.
    pub fn add(&mut self, due: Millis, what: T) {
        self.serial += 1;
        self.entries.push(Reverse(Entry {
            due,
            serial: self.serial,
            what,
        }));
    }

    /// The first thing that is due by now, with the time it was due at.
    pub fn pop_due(&mut self, now: Millis) -> Option<(Millis, T)> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.due, entry.what))
    }

    /// When the next thing is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
