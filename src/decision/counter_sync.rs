//! Calls of the shared counter: which accounts need one, how many may be in flight and what a call
//! is worth.
//!
//! A crowded counter is called less: fewer calls at once after late or failed ones, and a price that
//! the priority weight of a request has to exceed.

use super::account::ClaimHistory;
use super::identifiers::{AccountId, Micros};
use super::latency::CLASS_GAIN;
use super::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Failed calls in a row after which the counter counts as silent.
const SILENT_AFTER: u32 = 6;
/// Failures beyond that which still lengthen the backoff.
const BACKOFF_STEPS: u32 = 4;
/// The backoff after no failure is the timeout of a call divided by two to this power.
const BACKOFF_SHIFT: u32 = 5;
/// Calls that may be in flight at first, and what a late or failed call leaves of them.
const INITIAL_CALLS: f64 = 8.0;
const CALLS_CUT_FACTOR: f64 = 0.7;
/// Factors on the price of a call: after one that shows a crowded counter, after a good one and each
/// second. About one call in ten may meet a crowd.
const PRICE_CROWDED_FACTOR: f64 = 1.4;
const PRICE_GOOD_FACTOR: f64 = 0.96;
const PRICE_SECOND_FACTOR: f64 = 0.9;
/// The highest price of a call in mean priority weights, from which it comes down within minutes.
const HIGHEST_PRICE: f64 = 2.0;
/// The first price of a call in mean priority weights.
const INITIAL_PRICE: f64 = 1.0 / 8.0;
/// Weight of one claim in the averages of its plan.
const CLAIM_GAIN: f64 = 2.0 * CLASS_GAIN;
/// Assumed fraction of the claims that are granted until it is known, for each [`ClaimHistory`]. Most
/// accounts stay under their quotas.
const INITIAL_ODDS: [f64; 3] = [0.7, 0.4, 0.85];

/// Why an account may need a call, the more urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SyncReason {
    /// A request waits for a total.
    RequestWaits,
    /// There are units to report.
    UnitsToReport,
}

/// An account that may need a call. Among equal reasons the one that was synced longest ago is first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueAccount {
    reason: SyncReason,
    synced_at: Micros,
    account: AccountId,
}

/// The state of the calls of one limiter.
pub struct CounterSync {
    enabled: bool,
    timeout: Micros,
    /// Calls failed in a row.
    failures: u32,
    /// Calls that may be in flight.
    pub(crate) max_calls: f64,
    /// Backoff: no call before this time.
    next_call_at: Micros,
    /// Price of a call as a priority weight.
    pub(crate) price: f64,
    /// Mean priority weight of a request.
    pub(crate) mean_weight: f64,
    /// By plan and [`ClaimHistory`]: fraction of the claims that were granted.
    odds: Vec<[f64; 3]>,
    /// By plan: fraction of the requests that were claimed for rather than sent without a call.
    claimed_fraction: Vec<f64>,
    due: BTreeSet<DueAccount>,
    /// Calls in flight by key, with their accounts.
    calls: BTreeMap<u64, AccountId>,
}

impl CounterSync {
    /// The state before the first call.
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
            odds: vec![INITIAL_ODDS; settings.plans.len()],
            claimed_fraction: vec![1.0; settings.plans.len()],
            due: BTreeSet::new(),
            calls: BTreeMap::new(),
        }
    }

    /// Whether there is a counter at all.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    fn is_silent(&self) -> bool {
        self.failures > SILENT_AFTER
    }

    /// Whether totals can be had from the counter.
    pub fn is_usable(&self) -> bool {
        self.enabled && !self.is_silent()
    }

    /// Whether the backoff after failed calls is over.
    pub fn is_callable(&self, now: Micros) -> bool {
        now >= self.next_call_at
    }

    /// Whether a mean request is worth more than a call.
    pub fn is_affordable(&self) -> bool {
        self.price < self.mean_weight
    }

    /// Whether one more call may be sent. A silent counter gets one call at a time.
    pub fn has_capacity(&self) -> bool {
        let most = if self.is_silent() {
            1.0
        } else {
            self.max_calls
        };
        (self.calls.len() as f64) < most
    }

    /// Notes that an account, last synced at `synced_at`, may need a call.
    pub fn schedule(&mut self, reason: SyncReason, synced_at: Micros, account: AccountId) {
        self.due.insert(DueAccount {
            reason,
            synced_at,
            account,
        });
    }

    /// Takes the account that needs a call most.
    pub fn next_due(&mut self) -> Option<AccountId> {
        self.due.pop_first().map(|due| due.account)
    }

    /// A call of this key for this account is sent.
    pub fn begin_call(&mut self, key: u64, account: AccountId) {
        self.calls.insert(key, account);
    }

    /// Takes a call of this key out of those in flight, and returns its account.
    pub fn end_call(&mut self, key: u64) -> Option<AccountId> {
        self.calls.remove(&key)
    }

    /// Sets the backoff after a call. Of a crowded counter some calls succeed: it is left alone for a
    /// moment, and for longer as nothing comes.
    pub fn record_end(&mut self, now: Micros, succeeded: bool) {
        if succeeded {
            self.failures = 0;
            self.next_call_at = 0;
            return;
        }
        self.failures = (self.failures + 1).min(SILENT_AFTER + BACKOFF_STEPS);
        self.next_call_at = now + (self.timeout >> BACKOFF_SHIFT << self.failures);
    }

    /// Adapts the calls in flight and the price to a call that took so long.
    pub fn record_latency(&mut self, succeeded: bool, latency: Micros) {
        let crowded = !succeeded || latency > self.timeout / 2;
        if crowded {
            self.max_calls = (self.max_calls * CALLS_CUT_FACTOR).max(1.0);
        } else {
            self.max_calls += 1.0 / self.max_calls;
        }
        let factor = if crowded {
            PRICE_CROWDED_FACTOR
        } else {
            PRICE_GOOD_FACTOR
        };
        self.price = (self.price * factor).min(HIGHEST_PRICE * self.mean_weight);
    }

    /// Lowers the price with time, down to what calls cost the deployment.
    pub fn on_second(&mut self, seconds: f64, least_price: f64) {
        let lowered = self.price * PRICE_SECOND_FACTOR.powf(seconds);
        self.price = lowered.max(least_price * self.mean_weight);
    }

    /// A request of this priority weight was received.
    pub fn record_request(&mut self, weight: f64) {
        self.mean_weight += CLASS_GAIN * (weight - self.mean_weight);
    }

    /// Fraction of the claims of a plan that are granted.
    pub fn odds(&self, plan: usize, history: ClaimHistory) -> f64 {
        self.odds[plan][history as usize]
    }

    /// A claim of a plan was granted in this fraction.
    pub fn record_claim(&mut self, plan: usize, history: ClaimHistory, granted: f64) {
        let odds = &mut self.odds[plan][history as usize];
        *odds += CLAIM_GAIN * (granted - *odds);
    }

    /// A request of a plan is claimed for.
    pub fn count_claimed(&mut self, plan: usize) {
        let fraction = &mut self.claimed_fraction[plan];
        *fraction += CLAIM_GAIN * (1.0 - *fraction);
    }

    /// A request of a plan is sent without a claim.
    pub fn count_unclaimed(&mut self, plan: usize) {
        let fraction = &mut self.claimed_fraction[plan];
        *fraction -= CLAIM_GAIN * *fraction;
    }

    /// Units sent without a claim for each unit that is claimed.
    pub fn unclaimed_per_claimed(&self, plan: usize) -> f64 {
        const MOST: f64 = 2.0;
        (1.0 / self.claimed_fraction[plan] - 1.0).min(MOST)
    }
}
