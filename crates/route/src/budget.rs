//! Retry budget.

use hinge_conf::Policy;

/// Number of starts whose tokens the balance may hold; bounds a burst of retries after a period without any.
const WINDOW_STARTS: u64 = 1_000;

/// Cost of one retry; each start earns `retry_budget_percent` in the same unit.
const RETRY_COST: u64 = 100;

/// Token bucket that limits retries and hedges to a percentage of first starts.
///
/// Only first starts earn tokens, so failing retries cannot pay for more retries. The balance holds at most
/// what 1,000 starts earn. In a brownout fewer tasks start, and so fewer retries are allowed.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
    percent: u64,
}

impl RetryBudget {
    /// Creates a budget without tokens.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        Self { balance: 0, percent: policy.retry_budget_percent }
    }

    /// Applies a new policy. A balance above the new limit is reduced to it.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.percent = policy.retry_budget_percent;
        self.balance = self.balance.min(self.limit());
    }

    /// Earns tokens for the first start of a task. Must not be called for retries and hedges.
    pub fn record_start(&mut self) {
        self.balance = (self.balance + self.percent).min(self.limit());
    }

    /// Pays for one retry or hedge; returns false, and takes nothing, when the balance is too low.
    pub fn take(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }

    const fn limit(&self) -> u64 {
        self.percent * WINDOW_STARTS
    }
}
