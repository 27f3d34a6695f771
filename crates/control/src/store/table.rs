//! Values in numbered slots, which are found by their names too.

use std::collections::HashMap;

/// A table of named values. A value keeps its slot's index until it is removed; then the slot is used again.
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
    /// Puts a value into a free slot, and returns the slot's index.
    pub fn insert(&mut self, name: String, value: T) -> usize {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.by_name.insert(name, index);
        self.slots[index] = Some(value);
        index
    }

    /// Frees a slot. `name_of` tells the name that its value was put in under.
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

    /// How many values there are.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// How many slots there are, free ones too: all indices are below.
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    /// All slots in order, `None` for those that are free.
    pub fn iter(&self) -> impl Iterator<Item = Option<&T>> {
        self.slots.iter().map(Option::as_ref)
    }

    /// All slots in order, `None` for those that are free.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = Option<&mut T>> {
        self.slots.iter_mut().map(Option::as_mut)
    }
}
