//! Shares of limits that all controllers live under.

/// A token bucket with bursts of one second's worth.
pub(crate) struct Bucket {
    rate: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    pub fn new(rate: f64) -> Self {
        Bucket {
            rate,
            level: rate,
            at: 0,
        }
    }

    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// What `share` of a second's worth is.
    pub fn share_of_second(&self, share: f64) -> f64 {
        self.rate * share
    }

    /// What may be spent now.
    pub fn level(&mut self, now: u64) -> f64 {
        let elapsed_s = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        self.level = (self.level + elapsed_s * self.rate).min(self.rate.max(1.0));
        self.level
    }

    /// Spends, into debt if need be: for what can't wait.
    pub fn take(&mut self, now: u64, n: f64) {
        self.level(now);
        self.level -= n;
    }

    pub fn try_take(&mut self, now: u64, n: f64) -> bool {
        if self.level(now) < n {
            return false;
        }
        self.level -= n;
        true
    }
}
