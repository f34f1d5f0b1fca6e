//! Calls of the shared counter.

use mossrill::decision::counter_sync::{CounterSync, SyncReason};
use mossrill::decision::{AccountId, RequestClass, Settings};

fn sync() -> CounterSync {
    let classes = vec![RequestClass {
        priority_weight: 1.0,
        ..RequestClass::default()
    }];
    let settings = Settings {
        counter: true,
        counter_timeout: 50_000,
        classes,
        ..Settings::default()
    };
    CounterSync::new(&settings)
}

fn account(name: &str) -> AccountId {
    AccountId::from(name)
}

#[test]
fn requests_that_wait_come_before_reports_and_the_oldest_first() {
    let mut sync = sync();
    sync.schedule(SyncReason::UnitsToReport, 1, account("report"));
    sync.schedule(SyncReason::RequestWaits, 9, account("late"));
    sync.schedule(SyncReason::RequestWaits, 5, account("early"));
    let order: Vec<_> = std::iter::from_fn(|| sync.next_due()).collect();
    assert_eq!(
        order,
        [account("early"), account("late"), account("report")]
    );
}

#[test]
fn failed_calls_in_a_row_make_the_counter_silent_until_one_succeeds() {
    let mut sync = sync();
    for _ in 0..6 {
        sync.update_backoff(0, false);
        assert!(sync.is_usable());
    }
    sync.update_backoff(0, false);
    assert!(!sync.is_usable());
    assert!(!sync.is_callable(0), "no backoff");
    sync.update_backoff(0, true);
    assert!(sync.is_usable() && sync.is_callable(0));
}

#[test]
fn a_silent_counter_gets_one_call_at_a_time() {
    let mut sync = sync();
    for _ in 0..7 {
        sync.update_backoff(0, false);
    }
    assert!(sync.has_capacity());
    sync.begin_call(1, account("a"));
    assert!(!sync.has_capacity());
    assert_eq!(sync.end_call(1), Some(account("a")));
    assert!(sync.has_capacity());
}

#[test]
fn late_calls_raise_the_price_and_good_ones_lower_it() {
    let mut sync = sync();
    assert!(sync.is_affordable());
    for _ in 0..20 {
        sync.record_latency(true, 40_000);
    }
    assert!(!sync.is_affordable(), "a crowded counter stays cheap");
    for _ in 0..60 {
        sync.record_latency(true, 1_000);
    }
    assert!(sync.is_affordable());
}
