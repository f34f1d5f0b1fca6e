//! Control of the calls of the shared counter: which accounts need one, how many may be in flight
//! and the price of a call.
//!
//! A congested counter is called less often: late or failed calls lower the number of calls in
//! flight, and raise the price that the priority weight of a request has to exceed.

use super::account::ClaimHistory;
use super::identifiers::{AccountId, Micros};
use super::latency::CLASS_GAIN;
use super::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Consecutive failed calls that the counter may have without counting as unresponsive.
const UNRESPONSIVE_AFTER_FAILURES: u32 = 6;
/// Further consecutive failures that still double the backoff.
const BACKOFF_STEPS: u32 = 4;
/// After n consecutive failures the backoff is the timeout of a call times 2ⁿ, divided by two to
/// this power.
const BACKOFF_SHIFT: u32 = 5;
/// Number of calls that may be in flight at first.
const INITIAL_CALLS: f64 = 8.0;
/// Factor on that number after a late or failed call.
const CALLS_CUT_FACTOR: f64 = 0.7;
/// Factors on the price of a call: after a late or failed call, after a timely one and per second.
/// Of the calls alone, the price is stable if about one in ten is late or fails.
const PRICE_CONGESTED_FACTOR: f64 = 1.4;
const PRICE_TIMELY_FACTOR: f64 = 0.96;
const PRICE_DECAY_PER_SECOND: f64 = 0.9;
/// Highest price of a call in mean priority weights, low enough for the price to fall within
/// minutes.
const MAX_PRICE: f64 = 2.0;
/// Initial price of a call in mean priority weights.
const INITIAL_PRICE: f64 = 1.0 / 8.0;
/// Weight of one claim in the moving averages of its plan.
const CLAIM_GAIN: f64 = 2.0 * CLASS_GAIN;
/// Initial estimate of the fraction of claims that are granted, for each [`ClaimHistory`]. Most
/// accounts stay below their quotas.
const INITIAL_GRANT_RATES: [f64; 3] = [0.7, 0.4, 0.85];

/// Why an account may need a call, in descending order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncReason {
    /// A request waits for a total.
    RequestWaits,
    /// There are units to report.
    UnitsToReport,
}

/// An account that may need a call. Accounts with the same reason are ordered by the time of their
/// last call, the oldest first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueAccount {
    reason: SyncReason,
    synced_at: Micros,
    account: AccountId,
}

/// State of the counter calls of one limiter.
pub struct CounterSync {
    enabled: bool,
    timeout: Micros,
    /// Number of consecutive failed calls, up to a maximum.
    failures: u32,
    /// Number of calls that may be in flight.
    pub(crate) max_calls: f64,
    /// End of the backoff: no call is sent before this time.
    next_call_at: Micros,
    /// Price of a call as a priority weight.
    pub(crate) price: f64,
    /// Mean priority weight of a request.
    pub(crate) mean_weight: f64,
    /// Fraction of the claims that were granted, by plan and [`ClaimHistory`].
    grant_rates: Vec<[f64; 3]>,
    /// Fraction of the requests whose units were claimed rather than sent without a call, by plan.
    claimed_fraction: Vec<f64>,
    /// Accounts that may need a call.
    due: BTreeSet<DueAccount>,
    /// Calls in flight by key, with their accounts.
    calls: BTreeMap<u64, AccountId>,
}

impl CounterSync {
    /// Creates the state before the first call.
    pub fn new(settings: &Settings) -> Self {
        let mean_weight = settings.mean_class_weight();
        Self {
            enabled: settings.counter,
            timeout: settings.counter_timeout,
            failures: 0,
            max_calls: INITIAL_CALLS,
            next_call_at: 0,
            price: mean_weight * INITIAL_PRICE,
            mean_weight,
            grant_rates: vec![INITIAL_GRANT_RATES; settings.plans.len()],
            claimed_fraction: vec![1.0; settings.plans.len()],
            due: BTreeSet::new(),
            calls: BTreeMap::new(),
        }
    }

    /// Whether the limiter has a counter.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    fn is_unresponsive(&self) -> bool {
        self.failures > UNRESPONSIVE_AFTER_FAILURES
    }

    /// Whether the counter is enabled and responsive, so that it can supply totals.
    pub fn is_usable(&self) -> bool {
        self.enabled && !self.is_unresponsive()
    }

    /// Whether the backoff after failed calls is over.
    pub fn is_callable(&self, now: Micros) -> bool {
        now >= self.next_call_at
    }

    /// Whether the mean priority weight of a request exceeds the price of a call.
    pub fn is_affordable(&self) -> bool {
        self.price < self.mean_weight
    }

    /// Whether one more call may be sent. An unresponsive counter gets one call at a time.
    pub fn has_capacity(&self) -> bool {
        let limit = if self.is_unresponsive() {
            1.0
        } else {
            self.max_calls
        };
        (self.calls.len() as f64) < limit
    }

    /// Schedules an account that may need a call. `synced_at` is when its last call ended.
    pub fn schedule(&mut self, reason: SyncReason, synced_at: Micros, account: AccountId) {
        self.due.insert(DueAccount {
            reason,
            synced_at,
            account,
        });
    }

    /// Removes an account from those that may need a call.
    pub fn unschedule(&mut self, synced_at: Micros, account: &AccountId) {
        for reason in [SyncReason::RequestWaits, SyncReason::UnitsToReport] {
            self.due.remove(&DueAccount {
                reason,
                synced_at,
                account: account.clone(),
            });
        }
    }

    /// Removes and returns the account whose call is the most urgent.
    pub fn next_due(&mut self) -> Option<AccountId> {
        self.due.pop_first().map(|due| due.account)
    }

    /// Records a call that is being sent.
    pub fn begin_call(&mut self, key: u64, account: AccountId) {
        self.calls.insert(key, account);
    }

    /// Removes a call from those in flight and returns its account.
    pub fn end_call(&mut self, key: u64) -> Option<AccountId> {
        self.calls.remove(&key)
    }

    /// Sets the backoff after a call, which doubles with each consecutive failure. The first
    /// backoffs are short, because a congested counter still answers some calls.
    pub fn update_backoff(&mut self, now: Micros, succeeded: bool) {
        if succeeded {
            self.failures = 0;
            self.next_call_at = 0;
            return;
        }
        self.failures = (self.failures + 1).min(UNRESPONSIVE_AFTER_FAILURES + BACKOFF_STEPS);
        self.next_call_at = now + (self.timeout >> BACKOFF_SHIFT << self.failures);
    }

    /// Adapts the limit on calls in flight and the price to the latency of a call.
    pub fn record_latency(&mut self, succeeded: bool, latency: Micros) {
        let congested = !succeeded || latency > self.timeout / 2;
        if congested {
            self.max_calls = (self.max_calls * CALLS_CUT_FACTOR).max(1.0);
        } else {
            self.max_calls += 1.0 / self.max_calls;
        }
        let factor = if congested {
            PRICE_CONGESTED_FACTOR
        } else {
            PRICE_TIMELY_FACTOR
        };
        self.price = (self.price * factor).min(MAX_PRICE * self.mean_weight);
    }

    /// Lowers the price as time passes. `min_price`, in mean priority weights, is what a call costs
    /// the deployment.
    pub fn on_second(&mut self, seconds: f64, min_price: f64) {
        let lowered = self.price * PRICE_DECAY_PER_SECOND.powf(seconds);
        self.price = lowered.max(min_price * self.mean_weight);
    }

    /// Records the priority weight of a received request.
    pub fn record_request(&mut self, weight: f64) {
        self.mean_weight += CLASS_GAIN * (weight - self.mean_weight);
    }

    /// Returns the fraction of the claims of a plan that are granted.
    pub fn grant_rate(&self, plan: usize, history: ClaimHistory) -> f64 {
        self.grant_rates[plan][history as usize]
    }

    /// Records a claim of a plan, of which the fraction `granted` was granted.
    pub fn record_claim(&mut self, plan: usize, history: ClaimHistory, granted: f64) {
        let grant_rate = &mut self.grant_rates[plan][history as usize];
        *grant_rate += CLAIM_GAIN * (granted - *grant_rate);
    }

    /// Counts a request of a plan whose units are claimed.
    pub fn count_claimed(&mut self, plan: usize) {
        let fraction = &mut self.claimed_fraction[plan];
        *fraction += CLAIM_GAIN * (1.0 - *fraction);
    }

    /// Counts a request of a plan that is sent without a claim.
    pub fn count_unclaimed(&mut self, plan: usize) {
        let fraction = &mut self.claimed_fraction[plan];
        *fraction -= CLAIM_GAIN * *fraction;
    }

    /// Returns the units sent without a claim per unit that is claimed, up to a maximum.
    pub fn unclaimed_per_claimed_unit(&self, plan: usize) -> f64 {
        const MAX_RATIO: f64 = 2.0;
        (1.0 / self.claimed_fraction[plan] - 1.0).min(MAX_RATIO)
    }
}
