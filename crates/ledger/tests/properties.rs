//! At-most-once execution and complete answers over random interleavings.

mod support;

use hinge_ledger::Ledger;

/// Guards against duplicate starts, partial answers and a wrong "not run" in any order of submissions, resubmissions,
/// starts, refusals, ends (also late, duplicate and mismatched ones), cancellations and expiry.
#[test]
fn at_most_once_holds_over_random_interleavings() {
    let outcome = support::explore(2000, || Ledger::new(support::origin(), &support::small_policy()));
    assert_eq!(outcome, Ok(()));
}
