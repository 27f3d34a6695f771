//! Runs scenarios in parallel.

use std::sync::Mutex;

/// Applies `f` to each item on `threads` threads and returns the results in the order of the items.
pub fn map<T: Sync, R: Send>(items: &[T], threads: usize, f: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = Mutex::new(items.iter().enumerate());
    let results = Mutex::new(Vec::with_capacity(items.len()));
    let run_items = || {
        loop {
            let item = next
                .lock()
                .expect("no thread panics while it holds the lock")
                .next();
            let Some((i, item)) = item else { return };
            let result = f(item);
            results
                .lock()
                .expect("no thread panics while it holds the lock")
                .push((i, result));
        }
    };
    std::thread::scope(|s| (0..threads).for_each(|_| drop(s.spawn(run_items))));
    let mut results = results
        .into_inner()
        .expect("no thread panics while it holds the lock");
    results.sort_by_key(|(i, _)| *i);
    results.into_iter().map(|(_, result)| result).collect()
}
