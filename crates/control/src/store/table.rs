//! A slot table whose values can also be looked up by name.

use std::collections::HashMap;

/// A table of named values. A value keeps its index until it is removed; its slot is then reused.
pub(crate) struct Table<T> {
    slots: Vec<Option<T>>,
    free: Vec<usize>,
    by_name: HashMap<String, usize>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table {
            slots: Vec::new(),
            free: Vec::new(),
            by_name: HashMap::new(),
        }
    }
}

impl<T> Table<T> {
    /// Inserts a value into a free slot, and returns the slot's index.
    pub fn insert(&mut self, name: String, value: T) -> usize {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.by_name.insert(name, index);
        self.slots[index] = Some(value);
        index
    }

    /// Removes a value and frees its slot. `name_of` must return the name that the value was inserted under.
    pub fn remove(&mut self, index: usize, name_of: impl Fn(&T) -> &str) -> Option<T> {
        let value = self.slots.get_mut(index)?.take()?;
        self.by_name.remove(name_of(&value));
        self.free.push(index);
        Some(value)
    }

    pub fn get(&self, index: usize) -> Option<&T> {
        self.slots.get(index)?.as_ref()
    }

    pub fn get_mut(&mut self, index: usize) -> Option<&mut T> {
        self.slots.get_mut(index)?.as_mut()
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Number of values.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// Number of slots, including free ones. All indices are less than this.
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    /// All slots in order; free ones are `None`.
    pub fn iter(&self) -> impl Iterator<Item = Option<&T>> {
        self.slots.iter().map(Option::as_ref)
    }

    /// All slots in order; free ones are `None`.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = Option<&mut T>> {
        self.slots.iter_mut().map(Option::as_mut)
    }
}
