//! Limit on retries and hedges.

use hinge_conf::Policy;

/// Starts whose share of retries can be saved up; bounds a burst of retries after a quiet period.
const WINDOW_STARTS: u64 = 1_000;

/// Price of one retry in the units that each start earns `retry_budget_percent` of.
const RETRY_COST: u64 = 100;

/// Token budget that allows retries and hedges as a percentage of starts.
///
/// Only first starts earn tokens, so retries that fail cannot pay for further retries. The balance is limited to what
/// the last 1,000 starts earn. During a brownout starts become fewer, and with them the retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
    percent: u64,
}

impl RetryBudget {
    /// A budget that holds no tokens yet.
    #[must_use]
    pub fn new(policy: &Policy) -> Self {
        Self { balance: 0, percent: policy.retry_budget_percent }
    }

    /// Applies a changed policy; the balance is cut to the new limit.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.percent = policy.retry_budget_percent;
        self.balance = self.balance.min(self.limit());
    }

    /// Counts the first start of a task; retries and hedges are not counted.
    pub fn record_start(&mut self) {
        self.balance = (self.balance + self.percent).min(self.limit());
    }

    /// Takes the token for one retry or hedge; false when the budget is used up.
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
