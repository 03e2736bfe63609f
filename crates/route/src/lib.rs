//! Upstream placement, health, slot loans and retry budgets.
