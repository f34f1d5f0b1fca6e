//! Unit tests of the retry budget.

use mossrill::decision::retry_budget::RetryBudget;

#[test]
fn ten_requests_earn_one_retry() {
    let mut budget = RetryBudget::default();
    while budget.can_afford(1.0) {
        budget.spend(1.0);
    }
    for _ in 0..9 {
        budget.earn();
        assert!(
            !budget.can_afford(1.0),
            "expected no retry before ten requests"
        );
    }
    budget.earn();
    budget.earn();
    assert!(
        budget.can_afford(1.0),
        "expected a retry after eleven requests"
    );
}

#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::default();
    for _ in 0..10_000 {
        budget.earn();
    }
    assert!(budget.can_afford(10.0));
    assert!(!budget.can_afford(10.1));
}
