//! Memory is freed with the jobs, measured by a counting allocator. The file has a single test, so that no other test
//! allocates concurrently.

// A global allocator cannot be implemented without unsafe code.
#![allow(unsafe_code)]

use dependency::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Measures the bytes allocated since its creation.
struct AllocatedSince(usize);

impl AllocatedSince {
    fn now() -> Self {
        Self(ALLOCATED.load(Ordering::Relaxed))
    }

    fn bytes(&self) -> usize {
        ALLOCATED.load(Ordering::Relaxed).saturating_sub(self.0)
    }
}

/// Maximum memory of an empty graph that was large before.
const MAX_EMPTY_BYTES: usize = 4 * 1024;
/// Maximum memory per job with one edge.
const MAX_JOB_BYTES: usize = 1_024;
const EDGES: u32 = 100_000;
const FAN_SIZE: u32 = 10_000;
const WINDOW: u32 = 100;
const LONG_RUN: u32 = 300_000;

fn urgency(number: u32) -> Urgency {
    Urgency {
        priority: Priority((number % 4) as u8),
        deadline: Some(TimeMs(i64::from(number))),
        duration: DurationMs(3),
    }
}

/// A bipartite graph: each of 10,000 jobs depends on each of ten others.
fn bipartite() -> Graph<JobIndex> {
    let dependencies: Vec<_> = (0..EDGES / FAN_SIZE).map(JobIndex).collect();
    let mut graph = Graph::new();
    for &job in &dependencies {
        graph.add(job, &[], TimeMs(0), urgency(0)).unwrap();
    }
    for number in 0..FAN_SIZE {
        let job = JobIndex(dependencies.len() as u32 + number);
        graph
            .add(job, &dependencies, TimeMs(0), urgency(number))
            .unwrap();
    }
    assert_eq!(graph.edges(), EDGES as usize);
    graph
}

fn all_jobs() -> impl Iterator<Item = JobIndex> {
    (0..EDGES / FAN_SIZE + FAN_SIZE).map(JobIndex)
}

fn ended_jobs_are_freed() {
    let since = AllocatedSince::now();
    let mut graph = bipartite();
    let full = since.bytes();
    assert!(
        full > EDGES as usize * 8,
        "the allocator must count: {full}"
    );
    for job in all_jobs() {
        graph.finish(job, TimeMs(1)).unwrap();
    }
    let ended = since.bytes();
    assert!(
        ended <= full / 2,
        "ended jobs must not keep edges: {ended} of {full}"
    );
    for job in all_jobs() {
        graph.forget(job).unwrap();
    }
    let empty = since.bytes();
    assert!(empty <= MAX_EMPTY_BYTES, "{empty} of {full}");
}

fn cancelled_jobs_are_freed() {
    let since = AllocatedSince::now();
    let mut graph = bipartite();
    for job in (0..EDGES / FAN_SIZE).map(JobIndex) {
        graph.cancel(job).unwrap();
    }
    while graph.continue_cancellation(5).pending {}
    for job in all_jobs() {
        graph.forget(job).unwrap();
    }
    let empty = since.bytes();
    assert!(empty <= MAX_EMPTY_BYTES, "{empty}");
}

/// Jobs are added, finished and forgotten with ever-growing indices, and without updates of inheritance.
fn long_run_uses_bounded_memory() {
    let since = AllocatedSince::now();
    let mut graph = Graph::new();
    let mut peak_bytes = 0;
    for number in 0..LONG_RUN {
        let dependency = number.checked_sub(1).map(JobIndex);
        let dependencies: Vec<_> = dependency.into_iter().collect();
        graph
            .add(JobIndex(number), &dependencies, TimeMs(0), urgency(number))
            .unwrap();
        let Some(oldest) = number.checked_sub(WINDOW).map(JobIndex) else {
            continue;
        };
        graph.finish(oldest, TimeMs(1)).unwrap();
        graph.forget(oldest).unwrap();
        peak_bytes = peak_bytes.max(since.bytes());
    }
    let table = LONG_RUN as usize / 64 * 2 * size_of::<[usize; 3]>();
    assert!(
        peak_bytes <= WINDOW as usize * MAX_JOB_BYTES + table,
        "{peak_bytes}"
    );
    assert_eq!(graph.len(), WINDOW as usize);
}

#[test]
fn memory_is_freed() {
    ended_jobs_are_freed();
    cancelled_jobs_are_freed();
    long_run_uses_bounded_memory();
}
