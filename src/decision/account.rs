//! The quota of one account: a local copy of its token bucket, corrected by the counter's totals.

use super::identifiers::{AccountId, Micros, RequestId};
use super::settings::{Plan, SECOND};

/// Time for which the counter keeps a new key, in microseconds. The counter allows no longer one.
pub(super) const COUNTER_TTL: Micros = 60_000_000;
/// Shortest window of an account's counter.
const MIN_COUNTER_WINDOW: Micros = 1_000_000;
/// Window of the counter of concurrency slots, in microseconds. It bounds how long the slots of a
/// dead limiter stay occupied.
const SLOT_WINDOW_MICROS: f64 = 5e6;
/// Number of times that an empty token bucket would fill up in one window of its counter.
const REFILLS_PER_WINDOW: f64 = 10.0;
/// Use in a window, as a fraction of the units refilled, up to which an account's bucket is taken
/// to be full.
const LOW_USE_FRACTION: f64 = 0.5;
/// Units that must remain in the local copy of the bucket after a claim, as the copy may hold this
/// many units too many.
pub(super) const CLAIM_MARGIN: f64 = 0.5;
/// Level implied by the total, in multiples of the burst, above which a bucket has been full for a
/// long time.
const OVERFULL_BURSTS: f64 = 2.0;

/// A call of the counter that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// Counter window of its key.
    pub(super) window: u64,
    /// Units that it reports as used.
    pub(crate) reported: f64,
    /// Units that it claims for waiting requests.
    pub(crate) claimed: f64,
    pub(super) sent_at: Micros,
}

/// Result of an account's last claim.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ClaimHistory {
    /// The account has claimed nothing yet.
    #[default]
    New,
    /// The bucket did not hold the claimed units.
    Empty,
    /// The bucket held the claimed units.
    Available,
}

/// State of one account at this limiter.
#[derive(Debug, Default)]
pub struct Account {
    /// Index of its plan.
    pub(crate) plan: usize,
    /// Number of limiters that receive its requests.
    pub(crate) limiter_count: u32,
    /// Reciprocal of this limiter's share of the account's quota.
    pub(crate) share_divisor: f64,
    /// Fair queue finish tag of its last request.
    pub(crate) finish_tag: f64,
    /// Units used at other limiters since the account's last request at this one.
    pub(crate) units_elsewhere_since_request: f64,
    /// Units in the local copy of the account's token bucket. Requests at this limiter and the
    /// counter's totals lower them.
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Micros,
    /// Units in this limiter's share of the ceiling's token bucket.
    pub(crate) ceiling_tokens: f64,
    pub(crate) ceiling_refilled_at: Micros,
    /// Units used here that are not reported to the counter yet; negative for units to give back.
    pub(crate) unreported: f64,
    /// Window of the counter's key in use.
    pub(crate) window: u64,
    /// Units that this limiter has reported in this window.
    pub(crate) reported: f64,
    /// Units used by other limiters in this window, as of the last total.
    pub(crate) window_units_elsewhere: f64,
    /// The call of the counter that is in flight.
    pub(crate) call: Option<CounterCall>,
    /// Units granted by the counter and not used yet.
    pub(crate) granted: f64,
    /// Units to claim in the next call.
    pub(crate) to_claim: f64,
    /// Units claimed in calls that timed out, which the counter may have added.
    pub(crate) unconfirmed: f64,
    /// Units that the last rise of the total took from the local copy of the bucket.
    pub(crate) last_rise: f64,
    /// Whether the next decision is made without a call, as a call with a claim has just failed.
    pub(crate) skip_call: bool,
    pub(crate) claim_history: ClaimHistory,
    /// When the last call ended, whether it succeeded or failed.
    pub(crate) synced_at: Micros,
    /// When the last total was received.
    pub(crate) total_at: Option<Micros>,
    /// Whether a request waits for a new total.
    pub(crate) needs_total: bool,
    /// Number of attempts in flight.
    pub(crate) in_flight: u32,
    pub(crate) last_request_at: Micros,
    /// Requests of the account that have not been sent yet.
    pub(crate) waiting: Vec<RequestId>,
}

impl Account {
    /// Returns the units in the local copy of the token bucket.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the units that are not reported to the counter yet; negative for units to give back.
    pub fn unreported(&self) -> f64 {
        self.unreported
    }

    /// Creates an account with this limiter's share of the quota, which applies until the first
    /// total.
    pub fn new(
        now: Micros,
        plan_index: usize,
        plan: &Plan,
        limiter_count: u32,
        share_divisor: f64,
        virtual_time: f64,
    ) -> Self {
        Self {
            plan: plan_index,
            limiter_count,
            share_divisor,
            tokens: (plan.burst / share_divisor).max(1.0),
            finish_tag: virtual_time,
            needs_total: true,
            last_request_at: now,
            refilled_at: now,
            synced_at: now,
            ceiling_refilled_at: now,
            ..Self::default()
        }
    }

    /// Returns the delay of the next start tag and resets the units used elsewhere, equation (12):
    /// min{units used elsewhere since the last request here, (φ/φmin − 1)/(1 − φ) × cost}. φmin is
    /// the share of φ at each limiter if traffic were spread evenly. At φ = 1 only the first term
    /// applies.
    pub fn take_start_tag_delay(&mut self, share: f64, cost: f64, limiters: f64) -> f64 {
        let elsewhere = std::mem::take(&mut self.units_elsewhere_since_request);
        elsewhere.min((limiters - 1.0) / (1.0 - share) * cost)
    }

    /// Refills the local copy of the bucket. Without the counter it gets this limiter's share
    /// alone, as the other limiters refill their own copies.
    pub fn refill(&mut self, now: Micros, plan: &Plan, counter_usable: bool) {
        self.tokens = self.tokens_at(now, plan, counter_usable);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Whether the local copy of the bucket holds as much as that of a new account at this time.
    pub(super) fn is_full_at(&self, now: Micros, plan: &Plan, counter_usable: bool) -> bool {
        let initial = (plan.burst / self.share_divisor).max(1.0);
        self.tokens_at(now, plan, counter_usable) >= initial
    }

    /// Returns the units that the local copy of the bucket holds at this time.
    fn tokens_at(&self, now: Micros, plan: &Plan, counter_usable: bool) -> f64 {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND;
        let uses_full_quota = counter_usable && self.total_at.is_some();
        let share = if uses_full_quota {
            1.0
        } else {
            1.0 / self.share_divisor
        };
        let capacity = (plan.burst * share).max(1.0);
        self.tokens
            .max((self.tokens + plan.rate * share * seconds).min(capacity))
    }

    /// Returns the units in this limiter's share of the ceiling's bucket. The bucket starts empty,
    /// as a restarted limiter does not know what it sent before the restart.
    pub fn ceiling_tokens_at(&self, now: Micros, plan: &Plan) -> f64 {
        let seconds = now.saturating_sub(self.ceiling_refilled_at) as f64 / SECOND;
        let share = 1.0 / self.share_divisor;
        (self.ceiling_tokens + plan.ceiling_rate * share * seconds).min(plan.ceiling_burst * share)
    }

    /// Takes the units of a request from the ceiling's bucket when the request is sent.
    pub fn take_ceiling_tokens(&mut self, now: Micros, plan: &Plan, units: f64) {
        self.ceiling_tokens = self.ceiling_tokens_at(now, plan) - units;
        self.ceiling_refilled_at = now;
    }

    /// Whether each limiter's share of the bucket is less than one unit, so that units have to be
    /// claimed. Concurrency slots are always claimed.
    pub fn is_sparse(&self, plan: &Plan) -> bool {
        plan.rate <= 0.0 || plan.burst < f64::from(self.limiter_count)
    }

    /// Whether the counter has to be called: the unreported units are many compared with the units
    /// left, the last report is too old, or a request waits for a total.
    pub fn must_sync(&self, now: Micros, plan: &Plan) -> bool {
        if self.is_sparse(plan) {
            return self.needs_total || self.unreported.abs() >= 1.0;
        }
        let step = (self.tokens / (2.0 * f64::from(self.limiter_count))).max(1.0);
        let age = now.saturating_sub(self.synced_at) as f64;
        let is_overdue = age > plan.burst / plan.rate * SECOND / 2.0;
        self.needs_total
            || self.unreported >= step
            || self.unreported < 0.0
            || (self.unreported > 0.0 && is_overdue)
    }

    /// Starts a new counter window if the last one has ended, and returns the current window. The
    /// local copy of the bucket is kept.
    pub fn enter_window(&mut self, now: Micros, plan: &Plan) -> u64 {
        let current = now / counter_window(plan);
        if current != self.window {
            self.window = current;
            self.reported = 0.0;
            self.window_units_elsewhere = 0.0;
            if plan.rate <= 0.0 {
                // Each limiter reports its slots in use again; those of a dead limiter are freed.
                self.unreported = self.granted + f64::from(self.in_flight);
            }
        }
        current
    }

    /// Applies the total of a call for a sparse account, which may have claimed units. Returns the
    /// units granted; the rest of the claim is given back with the next call.
    pub fn apply_claimed_total(
        &mut self,
        now: Micros,
        call: CounterCall,
        total: f64,
        plan: &Plan,
    ) -> f64 {
        let claim = call.claimed;
        let seconds = (now - call.window * counter_window(plan)) as f64 / SECOND;
        let level = plan.burst + plan.rate * seconds - total;
        let granted = (claim + level.min(0.0)).floor().clamp(0.0, claim.max(0.0));
        let others = total - self.window_units_elsewhere - call.reported - claim;
        self.units_elsewhere_since_request += others.max(0.0).min(plan.burst);
        self.window_units_elsewhere = total;
        self.granted += granted;
        self.unreported -= claim - granted;
        self.correct_counter(call, level, plan);
        self.tokens = (level + claim - granted).min(plan.burst);
        self.refilled_at = now;
        self.total_at = Some(now);
        granted
    }

    /// Reports units beyond the burst as used if the bucket has been full for a long time:
    /// otherwise a later burst could use everything that came in meanwhile. If two limiters have
    /// done so at once, the level falls below zero and each takes its correction back.
    fn correct_counter(&mut self, call: CounterCall, level: f64, plan: &Plan) {
        if level > OVERFULL_BURSTS * plan.burst {
            self.unreported += level - plan.burst;
        } else if call.claimed <= 0.0
            && call.reported >= plan.burst
            && level < 0.0
            && plan.rate > 0.0
        {
            self.unreported -= call.reported;
        }
    }

    /// Applies a total: takes the units that other limiters have used since the last total from the
    /// local copy of the bucket.
    pub fn apply_total(&mut self, now: Micros, call: CounterCall, total: f64, plan: &Plan) {
        if call.window != self.window {
            return;
        }
        self.reported += call.reported + call.claimed;
        let elsewhere = total - self.reported;
        if self.total_at.is_none() {
            self.apply_first_total(now, call, total, plan);
        } else {
            self.apply_rise(elsewhere);
        }
        self.window_units_elsewhere = elsewhere.max(0.0);
        self.total_at = Some(now);
    }

    /// Applies the first total: derives the level of the bucket from the use in the window so far.
    /// Units refilled into a full bucket were lost, and the total does not show how many. After
    /// high use only the units that are certainly left count, or the local share if it is larger.
    fn apply_first_total(&mut self, now: Micros, call: CounterCall, total: f64, plan: &Plan) {
        let refilled = plan.rate * (now % counter_window(plan)) as f64 / SECOND;
        let remaining = plan.burst + call.claimed - total - self.unreported;
        let low_use = total - call.claimed <= LOW_USE_FRACTION * refilled;
        let tokens = if low_use {
            plan.burst
        } else {
            remaining.max(self.tokens)
        };
        self.tokens = tokens.min(remaining + refilled).min(plan.burst);
    }

    /// Applies a later total. Requests that other limiters sent beyond the quota took nothing from
    /// the bucket, so that a rise does not lower it below zero. If the total falls because others
    /// gave a claim back, at most the units that the last rise took are restored.
    fn apply_rise(&mut self, elsewhere: f64) {
        let rise = (elsewhere - self.window_units_elsewhere).max(0.0);
        let before = self.tokens;
        let returned = (self.window_units_elsewhere - elsewhere).clamp(0.0, self.last_rise);
        self.tokens = (before - rise).max(before.min(0.0)) + returned;
        self.last_rise = (before - self.tokens).max(0.0);
        self.units_elsewhere_since_request += rise;
    }

    /// Grants a claim if the local copy of the bucket holds it. Otherwise the claim is given back
    /// with the next call.
    pub fn grant_claim(&mut self, claim: f64) {
        if self.tokens >= claim + CLAIM_MARGIN {
            self.tokens -= claim;
            self.granted += claim;
        } else {
            self.unreported -= claim;
        }
    }

    /// Records whether a claim was fully granted. Returns the result of the claim before it.
    pub fn record_claim(&mut self, fully_granted: bool) -> ClaimHistory {
        let result = if fully_granted {
            ClaimHistory::Available
        } else {
            ClaimHistory::Empty
        };
        std::mem::replace(&mut self.claim_history, result)
    }

    /// Gives back granted concurrency slots that no waiting request needs.
    pub fn release_spare_slots(&mut self) {
        let spare = (self.granted - self.waiting.len() as f64).max(0.0);
        self.granted -= spare;
        self.unreported -= spare;
    }

    /// Passes the concurrency slot of an ended attempt to a waiting request, or else back to the
    /// counter.
    pub fn release_slot(&mut self) {
        if self.waiting.is_empty() {
            self.unreported -= 1.0;
        } else {
            self.granted += 1.0;
        }
    }
}

/// Returns the length of the counter windows of a plan's accounts: several refills of the token
/// bucket, but at most half of the time for which the counter keeps a key.
pub fn counter_window(plan: &Plan) -> Micros {
    let length = if plan.rate > 0.0 {
        plan.burst / plan.rate * REFILLS_PER_WINDOW * SECOND
    } else {
        SLOT_WINDOW_MICROS
    };
    (length as Micros).clamp(MIN_COUNTER_WINDOW, COUNTER_TTL / 2)
}

/// Returns the key of an account's counter in a window: an FNV-1a hash, the same at every limiter.
pub fn counter_key(account: &AccountId, window: u64) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let bytes = account.0.bytes().chain(window.to_le_bytes());
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    }) >> 1
}
