//! The bound on the number of accounts whose state is kept.

use crate::common::{rejection_count, sent_attempts, settings, EngineHarness};
use mossrill::decision::{Outcome, Settings};
use mossrill::handover::message::AccountState;

/// Maximum number of accounts of the engine under test.
const MAX_ACCOUNTS: usize = 64;

/// Returns an engine without a counter that keeps the state of [`MAX_ACCOUNTS`] accounts.
fn bounded_engine() -> EngineHarness {
    let settings = Settings {
        limiters: 1,
        counter: false,
        max_accounts: Some(MAX_ACCOUNTS),
        ..settings()
    };
    EngineHarness::new(settings, 4)
}

/// Sends a request of the account and ends its attempt, if it was sent. Returns whether it was.
fn serve(harness: &mut EngineHarness, id: &str, account: &str) -> bool {
    let sent = sent_attempts(&harness.request(id, 0, 0, account));
    for (id, server) in &sent {
        harness.end_attempt(&id.0, 0, server, Outcome::Ok);
    }
    !sent.is_empty()
}

fn known_accounts(harness: &mut EngineHarness) -> Vec<AccountState> {
    harness.engine.export_learned_state().accounts
}

/// Guards against memory that grows with each customer that sends a single request, and against a
/// customer that gets a full bucket again because its state was removed.
#[test]
fn accounts_that_come_once_are_forgotten_and_one_that_used_its_quota_is_not() {
    let mut harness = bounded_engine();
    let mut used = 0;
    while serve(&mut harness, &format!("busy-{used}"), "busy") {
        used += 1;
    }
    assert!(used >= 20, "expected a burst of 20 units, got {used}");
    for number in 0..500 {
        harness.advance(2_000);
        let account = format!("once-{number}");
        serve(&mut harness, &account, &account);
    }
    let known = known_accounts(&mut harness);
    assert!(known.len() <= MAX_ACCOUNTS, "{} accounts", known.len());
    let busy = known.iter().find(|account| account.id == "busy");
    assert!(busy.is_some_and(|account| account.bucket_level < 20.0));
    assert!(
        known.iter().any(|account| account.id == "once-499"),
        "the last account was not admitted"
    );
}

/// Guards against state that is removed while a request of its account is in flight.
#[test]
fn request_of_a_further_account_is_rejected_while_all_accounts_are_in_use() {
    let mut harness = bounded_engine();
    // All of these wait or are in flight.
    for number in 0..MAX_ACCOUNTS {
        let account = format!("open-{number}");
        harness.request(&account, 0, 0, &account);
    }
    let rejected = harness.request("further", 0, 0, "further");
    assert_eq!(rejection_count(&rejected), 1);
    let known = harness.request("known", 0, 0, "open-0");
    assert_eq!(rejection_count(&known), 0);
    assert_eq!(known_accounts(&mut harness).len(), MAX_ACCOUNTS);
}
