//! A paged sparse table; empty pages are freed.

/// Number of entries per page.
const PAGE_SIZE: usize = 64;

/// A sparse table indexed by position. Entries are boxed, so an unused position in an allocated page costs one pointer.
#[derive(Clone, Debug)]
pub(crate) struct Table<T> {
    pages: Vec<Option<Page<T>>>,
    len: usize,
}

#[derive(Clone, Debug)]
struct Page<T> {
    entries: Box<[Option<Box<T>>]>,
    used: usize,
}

impl<T> Page<T> {
    fn new() -> Self {
        Self {
            entries: std::iter::repeat_with(|| None).take(PAGE_SIZE).collect(),
            used: 0,
        }
    }
}

impl<T> Table<T> {
    pub(crate) fn new() -> Self {
        Self {
            pages: Vec::new(),
            len: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn get(&self, position: usize) -> Option<&T> {
        let page = self.pages.get(position / PAGE_SIZE)?.as_ref()?;
        page.entries[position % PAGE_SIZE].as_deref()
    }

    pub(crate) fn get_mut(&mut self, position: usize) -> Option<&mut T> {
        let page = self.pages.get_mut(position / PAGE_SIZE)?.as_mut()?;
        page.entries[position % PAGE_SIZE].as_deref_mut()
    }

    /// Inserts an entry at a free position.
    pub(crate) fn insert(&mut self, position: usize, entry: T) {
        let page_index = position / PAGE_SIZE;
        if page_index >= self.pages.len() {
            self.pages.resize_with(page_index + 1, || None);
        }
        let page = self.pages[page_index].get_or_insert_with(Page::new);
        let before = page.entries[position % PAGE_SIZE].replace(Box::new(entry));
        assert!(before.is_none(), "the position is free");
        page.used += 1;
        self.len += 1;
    }

    /// Removes the entry at a position. Frees the page if it becomes empty, and all empty pages at the end.
    pub(crate) fn remove(&mut self, position: usize) {
        let page_index = position / PAGE_SIZE;
        let Some(Some(page)) = self.pages.get_mut(page_index) else {
            return;
        };
        if page.entries[position % PAGE_SIZE].take().is_none() {
            return;
        }
        page.used -= 1;
        self.len -= 1;
        if page.used == 0 {
            self.pages[page_index] = None;
            self.free_trailing_pages();
        }
    }

    fn free_trailing_pages(&mut self) {
        while let Some(None) = self.pages.last() {
            self.pages.pop();
        }
        if self.pages.len() < self.pages.capacity() / 4 {
            self.pages.shrink_to(self.pages.len() * 2);
        }
    }
}
