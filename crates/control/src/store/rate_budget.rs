//! Token buckets for this controller's share of rate limits that apply to all controllers together.

/// A token bucket that allows bursts of one second's worth of tokens.
pub(crate) struct TokenBucket {
    rate: f64,
    available: f64,
    at: u64,
}

impl TokenBucket {
    pub fn new(rate: f64) -> Self {
        TokenBucket {
            rate,
            available: rate,
            at: 0,
        }
    }

    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Number of tokens that make up this share of one second's worth.
    pub fn share_of_second(&self, share: f64) -> f64 {
        self.rate * share
    }

    /// Number of tokens available now; negative while the bucket is overdrawn.
    pub fn available(&mut self, now: u64) -> f64 {
        let elapsed_s = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        self.available = (self.available + elapsed_s * self.rate).min(self.rate.max(1.0));
        self.available
    }

    /// Takes tokens even if that overdraws the bucket, for requests that cannot be delayed.
    pub fn take(&mut self, now: u64, n: f64) {
        self.available(now);
        self.available -= n;
    }

    pub fn try_take(&mut self, now: u64, n: f64) -> bool {
        if self.available(now) < n {
            return false;
        }
        self.available -= n;
        true
    }
}
