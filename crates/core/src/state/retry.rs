//! Retry budgets: retries are a share of traffic, so that they cannot feed an overload.

use std::time::Duration;

use rand::Rng;

/// How many retries are allowed, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed for each first attempt.
    pub share: f64,
    /// Retries that may be saved up.
    pub reserve: f64,
    /// Attempts of one request at most.
    pub attempts: u32,
    /// Wait before the first retry, doubled with each one.
    pub backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            reserve: 10.0,
            attempts: 3,
            backoff: Duration::from_millis(20),
        }
    }
}

impl RetrySettings {
    /// Wait before retry number `retry` (the first is 1), with full jitter.
    pub fn wait(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let longest = self.backoff * 2_u32.saturating_pow(retry.saturating_sub(1).min(6));
        longest.mul_f64(rng.random_range(0.0..1.0))
    }
}

/// Budget of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn full(settings: &RetrySettings) -> Self {
        Self {
            saved: settings.reserve,
        }
    }

    /// Notes a first attempt.
    pub fn note_request(&mut self, settings: &RetrySettings) {
        self.saved = (self.saved + settings.share).min(settings.reserve);
    }

    /// Takes one retry from the budget, where there is one.
    pub fn take(&mut self) -> bool {
        let has_one = self.saved >= 1.0;
        if has_one {
            self.saved -= 1.0;
        }
        has_one
    }
}
