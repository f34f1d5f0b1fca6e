//! Unit tests of the control of counter calls.

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
fn waiting_requests_come_before_reports_and_earlier_synced_accounts_first() {
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
fn consecutive_failed_calls_make_the_counter_unusable_until_one_succeeds() {
    let mut sync = sync();
    for _ in 0..6 {
        sync.update_backoff(0, false);
        assert!(sync.is_usable());
    }
    sync.update_backoff(0, false);
    assert!(!sync.is_usable());
    assert!(
        !sync.is_callable(0),
        "expected a backoff after seven failed calls"
    );
    sync.update_backoff(0, true);
    assert!(sync.is_usable() && sync.is_callable(0));
}

#[test]
fn an_unresponsive_counter_gets_one_call_at_a_time() {
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
fn late_calls_raise_the_price_and_timely_ones_lower_it() {
    let mut sync = sync();
    assert!(sync.is_affordable());
    for _ in 0..20 {
        sync.record_latency(true, 40_000);
    }
    assert!(
        !sync.is_affordable(),
        "expected a price above the mean weight after 20 late calls"
    );
    for _ in 0..60 {
        sync.record_latency(true, 1_000);
    }
    assert!(sync.is_affordable());
}
