//! The quota of one account: a copy of its token bucket, kept in step with the counter's totals.

use super::identifiers::{AccountId, Micros, RequestId};
use super::settings::{Plan, SECOND};

/// How long the counter keeps a new key, in microseconds: the longest time it allows.
pub(super) const COUNTER_TTL: Micros = 60_000_000;
/// The shortest window of a counter.
const SHORTEST_WINDOW: Micros = 1_000_000;
/// Window of the counter of concurrency slots in microseconds: slots of a limiter that died are lost
/// for so long at most.
const SLOT_WINDOW: f64 = 5e6;
/// Fillings of the token bucket in one window of its counter.
const FILLINGS_PER_WINDOW: f64 = 10.0;
/// An account that used less than this fraction of what filled its bucket likely has a full one.
const LOW_USE: f64 = 0.5;
/// Units that have to stay in the copy of the bucket when the last are claimed: the copy is at times
/// that much ahead.
pub(super) const MARGIN: f64 = 0.5;
/// A bucket that the total shows to be so many times full has been full for long.
const OVERFULL: f64 = 2.0;

/// A call of the counter that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// Window of its key.
    pub(super) window: u64,
    /// Units that it reports as used.
    pub(crate) reported: f64,
    /// Units that it claims for waiting requests.
    pub(crate) claimed: f64,
    pub(super) sent_at: Micros,
}

/// What came of an account's last claim.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ClaimHistory {
    /// It has claimed nothing yet.
    #[default]
    New,
    /// The bucket did not hold it.
    Empty,
    /// The bucket held it.
    Available,
}

/// What is known of an account.
#[derive(Debug, Default)]
pub struct Account {
    /// Index of its plan.
    pub(crate) plan: usize,
    /// Number of limiters that receive its requests.
    pub(crate) limiter_count: u32,
    /// One over the own share of its quota.
    pub(crate) share_divisor: f64,
    /// Finish tag of its last request.
    pub(crate) finish_tag: f64,
    /// Units used at other limiters since its last request here.
    pub(crate) units_elsewhere: f64,
    /// Copy of the account's token bucket, which own requests and the counter's totals lower.
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Micros,
    /// Own share of the ceiling's token bucket.
    pub(crate) ceiling_tokens: f64,
    pub(crate) ceiling_refilled_at: Micros,
    /// Own units that the counter has still to be told of; below zero for units to be given back.
    pub(crate) unreported: f64,
    /// Window of the counter's key in use.
    pub(crate) window: u64,
    /// Own units reported in this window.
    pub(crate) reported: f64,
    /// Units of other limiters seen in this window.
    pub(crate) seen_elsewhere: f64,
    /// The call of the counter that is in flight.
    pub(crate) call: Option<CounterCall>,
    /// Units granted by the counter and not used yet.
    pub(crate) granted: f64,
    /// Units to claim in the next call.
    pub(crate) to_claim: f64,
    /// Units claimed in calls without an answer.
    pub(crate) unconfirmed: f64,
    /// What the last rise of the total took from the copy of the bucket.
    pub(crate) last_rise: f64,
    /// The next decision needs no call, as one has just failed.
    pub(crate) skip_call: bool,
    pub(crate) claim_history: ClaimHistory,
    /// When the last call ended, whatever came of it.
    pub(crate) synced_at: Micros,
    /// When the last total came.
    pub(crate) total_at: Option<Micros>,
    /// A request waits for a new total.
    pub(crate) needs_total: bool,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    pub(crate) last_request_at: Micros,
    /// Its requests that have not been sent yet.
    pub(crate) waiting: Vec<RequestId>,
}

impl Account {
    /// Units in the copy of the token bucket.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Units that the counter has still to be told of; below zero for units to be given back.
    pub fn unreported(&self) -> f64 {
        self.unreported
    }

    /// A new account has its share of the quota until the counter has told more.
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

    /// Delay of a start tag, equation (12): min{units elsewhere since the last request here,
    /// (φ/φmin − 1)/(1 − φ) × cost}. φmin is the part of φ that a limiter would give if traffic came
    /// evenly. At φ = 1 the first term stands alone.
    pub fn take_delay(&mut self, share: f64, cost: f64, limiters: f64) -> f64 {
        let elsewhere = std::mem::take(&mut self.units_elsewhere);
        elsewhere.min((limiters - 1.0) / (1.0 - share) * cost)
    }

    /// Refills the copy of the bucket; without the counter only with the own share, as other
    /// limiters refill theirs.
    pub fn refill(&mut self, now: Micros, plan: &Plan, counter_usable: bool) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND;
        self.refilled_at = now.max(self.refilled_at);
        let whole = counter_usable && self.total_at.is_some();
        let share = if whole { 1.0 } else { 1.0 / self.share_divisor };
        let capacity = (plan.burst * share).max(1.0);
        self.tokens = self
            .tokens
            .max((self.tokens + plan.rate * share * seconds).min(capacity));
    }

    /// Own share of the ceiling's bucket. It begins empty: a limiter that was restarted can't know
    /// what it has sent on.
    pub fn ceiling_tokens_at(&self, now: Micros, plan: &Plan) -> f64 {
        let seconds = now.saturating_sub(self.ceiling_refilled_at) as f64 / SECOND;
        let share = 1.0 / self.share_divisor;
        (self.ceiling_tokens + plan.ceiling_rate * share * seconds).min(plan.ceiling_burst * share)
    }

    /// Takes the units of a request that is sent out of the ceiling's bucket.
    pub fn take_ceiling_tokens(&mut self, now: Micros, plan: &Plan, units: f64) {
        self.ceiling_tokens = self.ceiling_tokens_at(now, plan) - units;
        self.ceiling_refilled_at = now;
    }

    /// Whether a share of the bucket at each limiter is under one unit. Its units are claimed then,
    /// as concurrency slots always are.
    pub fn is_sparse(&self, plan: &Plan) -> bool {
        plan.rate <= 0.0 || plan.burst < f64::from(self.limiter_count)
    }

    /// Whether the counter is to be called: enough to report against what is left, reported too long
    /// ago, or a request waits for a total.
    pub fn must_sync(&self, now: Micros, plan: &Plan) -> bool {
        if self.is_sparse(plan) {
            return self.needs_total || self.unreported.abs() >= 1.0;
        }
        let step = (self.tokens / (2.0 * f64::from(self.limiter_count))).max(1.0);
        let age = now.saturating_sub(self.synced_at) as f64;
        let is_old = age > plan.burst / plan.rate * SECOND / 2.0;
        self.needs_total
            || self.unreported >= step
            || self.unreported < 0.0
            || (self.unreported > 0.0 && is_old)
    }

    /// Begins a new window of the counter if one is due, and returns the window. The copy of the
    /// bucket carries over.
    pub fn enter_window(&mut self, now: Micros, plan: &Plan) -> u64 {
        let current = now / counter_window(plan);
        if current != self.window {
            self.window = current;
            self.reported = 0.0;
            self.seen_elsewhere = 0.0;
            if plan.rate <= 0.0 {
                // Slots in use are counted anew; those of a limiter that died are not.
                self.unreported = self.granted + f64::from(self.in_flight);
            }
        }
        current
    }

    /// Takes a total with a claim of a sparse account. Returns the units that the bucket held; what
    /// it did not hold is given back with the next call.
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
        let others = total - self.seen_elsewhere - call.reported - claim;
        self.units_elsewhere += others.max(0.0).min(plan.burst);
        self.seen_elsewhere = total;
        self.granted += granted;
        self.unreported -= claim - granted;
        self.correct_total(call, level, plan);
        self.tokens = (level + claim - granted).min(plan.burst);
        self.refilled_at = now;
        self.total_at = Some(now);
        granted
    }

    /// Corrects a counter whose bucket has been full for long: a later burst would find all that was
    /// saved up. A limiter that did so at the same time as another takes it back.
    fn correct_total(&mut self, call: CounterCall, level: f64, plan: &Plan) {
        if level > OVERFULL * plan.burst {
            self.unreported += level - plan.burst;
        } else if call.claimed <= 0.0
            && call.reported >= plan.burst
            && level < 0.0
            && plan.rate > 0.0
        {
            self.unreported -= call.reported;
        }
    }

    /// Takes a total: what other limiters have used since the last one leaves the copy of the bucket.
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
        self.seen_elsewhere = elsewhere.max(0.0);
        self.total_at = Some(now);
    }

    /// The first total: the window so far tells what is left of the bucket. What filled a full one is
    /// lost: where much was used, only what surely is left counts beside the share kept so far.
    fn apply_first_total(&mut self, now: Micros, call: CounterCall, total: f64, plan: &Plan) {
        let filled = plan.rate * (now % counter_window(plan)) as f64 / SECOND;
        let left = plan.burst + call.claimed - total - self.unreported;
        let low_use = total - call.claimed <= LOW_USE * filled;
        let tokens = if low_use {
            plan.burst
        } else {
            left.max(self.tokens)
        };
        self.tokens = tokens.min(left + filled).min(plan.burst);
    }

    /// A later total. What other limiters sent beyond the quota took nothing from the bucket, so that
    /// it stays at zero or above; a claim that they give back comes back as far as it was taken.
    fn apply_rise(&mut self, elsewhere: f64) {
        let rise = (elsewhere - self.seen_elsewhere).max(0.0);
        let before = self.tokens;
        let given_back = (self.seen_elsewhere - elsewhere).clamp(0.0, self.last_rise);
        self.tokens = (before - rise).max(before.min(0.0)) + given_back;
        self.last_rise = (before - self.tokens).max(0.0);
        self.units_elsewhere += rise;
    }

    /// Takes a claim out of the bucket. What it does not hold is given back with the next call.
    pub fn grant_claim(&mut self, claim: f64) {
        if self.tokens >= claim + MARGIN {
            self.tokens -= claim;
            self.granted += claim;
        } else {
            self.unreported -= claim;
        }
    }

    /// Notes whether a claim was granted whole. Returns what came of the claim before it.
    pub fn record_claim(&mut self, granted_whole: bool) -> ClaimHistory {
        let now = if granted_whole {
            ClaimHistory::Available
        } else {
            ClaimHistory::Empty
        };
        std::mem::replace(&mut self.claim_history, now)
    }

    /// Gives back concurrency slots that no request waits for any more.
    pub fn release_spare_slots(&mut self) {
        let spare = (self.granted - self.waiting.len() as f64).max(0.0);
        self.granted -= spare;
        self.unreported -= spare;
    }

    /// An attempt's concurrency slot goes to a request that waits, or else back to the counter.
    pub fn release_slot(&mut self) {
        if self.waiting.is_empty() {
            self.unreported -= 1.0;
        } else {
            self.granted += 1.0;
        }
    }
}

/// Length of the windows in which the accounts of a plan are counted: many fillings of the token
/// bucket, within the time that the counter keeps a key.
pub fn counter_window(plan: &Plan) -> Micros {
    let length = if plan.rate > 0.0 {
        plan.burst / plan.rate * FILLINGS_PER_WINDOW * SECOND
    } else {
        SLOT_WINDOW
    };
    (length as Micros).clamp(SHORTEST_WINDOW, COUNTER_TTL / 2)
}

/// Key of an account's counter in a window: an FNV-1a hash, the same at every limiter.
pub fn counter_key(account: &AccountId, window: u64) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let bytes = account.0.bytes().chain(window.to_le_bytes());
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    }) >> 1
}
