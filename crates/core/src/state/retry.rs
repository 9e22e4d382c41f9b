//! Retry budgets: retries are limited to a share of the traffic, so that they cannot amplify an
//! overload.

use std::time::Duration;

use rand::Rng;

/// Limits and backoff of retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Maximum number of retries that the budget holds.
    pub max_balance: f64,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Longest delay before the first retry; it doubles with each further retry.
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
    /// Delay before retry number `retry` (the first is 1), with full jitter.
    pub fn jittered_backoff(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let max_delay = self.initial_backoff * 2_u32.saturating_pow(retry.saturating_sub(1).min(6));
        max_delay.mul_f64(rng.random_range(0.0..1.0))
    }
}

/// Retry budget of one pool of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget that holds [`RetrySettings::max_balance`] retries.
    pub fn full(settings: &RetrySettings) -> Self {
        Self {
            balance: settings.max_balance,
        }
    }

    /// Adds what a first attempt earns to the budget.
    pub fn record_request(&mut self, settings: &RetrySettings) {
        self.balance = (self.balance + settings.retry_ratio).min(settings.max_balance);
    }

    /// Withdraws one retry from the budget. Returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        let has_retry = self.balance >= 1.0;
        if has_retry {
            self.balance -= 1.0;
        }
        has_retry
    }
}
