//! The fencing tokens of one leader.
//!
//! A leader takes a range of tokens from the counter in the state service by one compare-and-swap. All controllers know
//! it by the last token of its range. In messages to a worker it uses any token of the range, each worker's rising on its
//! own, so that a worker can be made to refuse earlier commands without a write to the state service. Every token of the
//! next range is higher.

/// Number of tokens that a leader takes from the counter at once.
const TOKENS_PER_RANGE: u64 = 1024;

/// A range of fencing tokens, with its bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TokenRange {
    first: u64,
    last: u64,
}

impl TokenRange {
    /// The range to take from the counter when it has this value. The counter's next value is the range's last token.
    pub fn after(counter: u64) -> Self {
        TokenRange::ending_at(counter + TOKENS_PER_RANGE)
    }

    /// The range that a controller of this version took with this last token.
    pub fn ending_at(last: u64) -> Self {
        TokenRange {
            first: (last + 1).saturating_sub(TOKENS_PER_RANGE),
            last,
        }
    }

    /// The range of another leader. A leader of a version without ranges has a single token and names no first one.
    pub fn of_leader(last: u64, first: Option<u64>) -> Self {
        TokenRange {
            first: first.map_or(last, |first| first.min(last)),
            last,
        }
    }

    pub fn first(self) -> u64 {
        self.first
    }

    /// The token by which other controllers know the leader.
    pub fn last(self) -> u64 {
        self.last
    }

    pub fn contains(self, token: u64) -> bool {
        (self.first..=self.last).contains(&token)
    }
}
