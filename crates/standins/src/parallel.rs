//! Days played side by side.

use std::sync::Mutex;

/// What `f` makes of each, on so many threads, in their order.
pub fn map<T: Sync, R: Send>(items: &[T], threads: usize, f: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = Mutex::new(items.iter().enumerate());
    let results = Mutex::new(Vec::with_capacity(items.len()));
    let run_items = || {
        loop {
            let item = next.lock().expect("nobody panics with it").next();
            let Some((i, item)) = item else { return };
            let result = f(item);
            results
                .lock()
                .expect("nobody panics with it")
                .push((i, result));
        }
    };
    std::thread::scope(|s| (0..threads).for_each(|_| drop(s.spawn(run_items))));
    let mut results = results.into_inner().expect("nobody panics with it");
    results.sort_by_key(|(i, _)| *i);
    results.into_iter().map(|(_, result)| result).collect()
}
