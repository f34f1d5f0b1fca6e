//! Unit tests of an account's quota.

use mossrill::decision::account::{counter_key, counter_window, Account};
use mossrill::decision::{AccountId, Plan};

fn plan() -> Plan {
    Plan {
        rate: 4.0,
        burst: 12.0,
        ..Plan::default()
    }
}

#[test]
fn a_new_account_has_its_share_of_the_bucket() {
    let account = Account::new(0, 0, &plan(), 3, 3.0, 0.0);
    assert_eq!(account.tokens(), 4.0);
}

#[test]
fn without_a_total_the_bucket_copy_is_refilled_by_the_local_share() {
    let mut account = Account::new(0, 0, &plan(), 4, 4.0, 0.0);
    account.refill(1_000_000, &plan(), true);
    assert_eq!(
        account.tokens(),
        3.0,
        "no refill beyond the local share of the burst"
    );
    assert!(!account.is_sparse(&plan()));
}

#[test]
fn an_account_with_less_than_one_unit_of_burst_per_limiter_is_sparse() {
    let account = Account::new(0, 0, &plan(), 13, 13.0, 0.0);
    assert!(account.is_sparse(&plan()));
}

#[test]
fn the_ceiling_bucket_starts_empty_and_refills_by_the_local_share() {
    let plan = Plan {
        ceiling_rate: 10.0,
        ceiling_burst: 20.0,
        ..plan()
    };
    let account = Account::new(0, 0, &plan, 2, 2.0, 0.0);
    assert_eq!(account.ceiling_tokens_at(0, &plan), 0.0);
    assert_eq!(account.ceiling_tokens_at(1_000_000, &plan), 5.0);
    assert_eq!(
        account.ceiling_tokens_at(60_000_000, &plan),
        10.0,
        "no more than the local share of the ceiling's burst"
    );
}

#[test]
fn counter_windows_outlast_many_refills_within_the_counter_ttl() {
    assert_eq!(counter_window(&plan()), 30_000_000);
    let fast = Plan {
        rate: 100.0,
        burst: 1.0,
        ..Plan::default()
    };
    assert_eq!(counter_window(&fast), 1_000_000);
    let slots = Plan {
        max_concurrent: 2,
        burst: 2.0,
        ..Plan::default()
    };
    assert_eq!(counter_window(&slots), 5_000_000);
}

#[test]
fn counter_keys_differ_by_account_and_window() {
    let account = |name: &str| AccountId::from(name);
    assert_eq!(counter_key(&account("a"), 1), counter_key(&account("a"), 1));
    assert_ne!(counter_key(&account("a"), 1), counter_key(&account("a"), 2));
    assert_ne!(counter_key(&account("a"), 1), counter_key(&account("b"), 1));
}
