//! Indices by which callers refer to jobs.

use std::fmt::Debug;

/// A dense index of jobs: positions are small, and those of forgotten jobs may be reused.
///
/// The graph's memory grows with the number of its jobs and, much more slowly, with the highest position in use.
///
/// ```
/// #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
/// struct Slot(u16);
/// impl dependency::DenseIndex for Slot {
///     fn position(self) -> usize {
///         usize::from(self.0)
///     }
/// }
/// let graph = dependency::Graph::<Slot>::new();
/// assert!(graph.is_empty());
/// ```
pub trait DenseIndex: Copy + Ord + Debug {
    /// The position of the job; two indices are equal if and only if their positions are.
    fn position(self) -> usize;
}

/// A [`DenseIndex`] for callers without their own index type.
///
/// ```
/// use dependency::{DenseIndex, JobIndex};
/// assert_eq!(JobIndex(7).position(), 7);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobIndex(pub u32);

impl DenseIndex for JobIndex {
    fn position(self) -> usize {
        self.0 as usize
    }
}
