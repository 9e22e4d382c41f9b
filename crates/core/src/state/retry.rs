//! Retry budgets: retries are a share of traffic, so that they cannot feed an overload.

use std::time::Duration;

use rand::Rng;

/// How many retries are allowed, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed for each first attempt.
    pub retry_ratio: f64,
    /// Retries that may be saved up.
    pub max_balance: f64,
    /// Attempts of one request at most.
    pub max_attempts: u32,
    /// Wait before the first retry, doubled with each one.
    pub initial_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            max_balance: 10.0,
            max_attempts: 3,
            initial_backoff: Duration::from_millis(20),
        }
    }
}

impl RetrySettings {
    /// Wait before retry number `retry` (the first is 1), with full jitter.
    pub fn jittered_backoff(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let longest = self.initial_backoff * 2_u32.saturating_pow(retry.saturating_sub(1).min(6));
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
            saved: settings.max_balance,
        }
    }

    /// Notes a first attempt.
    pub fn record_request(&mut self, settings: &RetrySettings) {
        self.saved = (self.saved + settings.retry_ratio).min(settings.max_balance);
    }

    /// Takes one retry from the budget, where there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let has_one = self.saved >= 1.0;
        if has_one {
            self.saved -= 1.0;
        }
        has_one
    }
}
