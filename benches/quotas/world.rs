//! Simulated accounts: their request rates, and the exact state of their quotas over all limiters.

use mossrill::decision::{Micros, Plan};
use rand::rngs::StdRng;
use rand::Rng;
use rand_distr::{Distribution, Exp};

/// Microseconds of a second.
pub const SECOND: f64 = 1e6;
/// Out of 100 requests, the number of those with 1, 2 … 6 units.
const UNIT_FREQUENCIES: [u32; 6] = [45, 25, 14, 8, 5, 3];
/// Mean number of units of a request.
pub const MEAN_UNITS: f64 = 2.12;

/// How an account uses its quota over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsageProfile {
    /// Uses well under half of its rate.
    Calm,
    /// Uses nearly all of its rate.
    NearlyFull,
    /// Requests several times its rate for 8 to 20 s at a time, with calm periods between.
    FarOver,
    /// Requests several times its rate for a few seconds at a time, with calm periods between.
    Bursts,
    /// Sends a few requests within half a second, and none before or after that.
    Once,
}

/// Usage profiles with their names in the tables.
pub const USAGE_PROFILES: [(UsageProfile, &str); 5] = [
    (UsageProfile::Calm, "calm"),
    (UsageProfile::NearlyFull, "nearly full"),
    (UsageProfile::FarOver, "far over"),
    (UsageProfile::Bursts, "bursts"),
    (UsageProfile::Once, "once"),
];

/// An account: the limiters that its requests arrive at, their rate, and the exact state of its
/// quota.
pub struct Account {
    pub plan: usize,
    pub profile: UsageProfile,
    /// Index of the first limiter that its requests arrive at; the others follow it, and after the
    /// last comes index 0.
    pub first_limiter: usize,
    /// Number of limiters that its requests arrive at.
    pub limiter_count: usize,
    /// Relative weight of each of these limiters in the choice of one for a request.
    limiter_weights: Vec<f64>,
    /// Time in seconds at which the weights are drawn anew.
    limiter_weights_until: f64,
    /// Exponent of the power law by which the weight falls with the rank of a limiter.
    limiter_weight_skew: f64,
    /// Present rate of requested units, as a multiple of the plan's rate.
    usage: f64,
    /// Time in seconds at which the usage changes.
    usage_until: f64,
    /// Units in the exact token bucket, which all limiters together take from.
    tokens: f64,
    /// Time in seconds up to which the bucket has been refilled.
    refilled_at: f64,
    /// Number of attempts in flight over all limiters.
    pub open_attempts: u32,
    /// Time in seconds after which no new request is sent.
    pub ends: f64,
}

impl Account {
    /// Draws an account from the assumed distribution of usage profiles and numbers of limiters.
    /// `limiters` is the size of the fleet, `length` the duration of the experiment in seconds.
    pub fn draw(
        rng: &mut StdRng,
        plan: usize,
        plans: &[Plan],
        limiters: usize,
        length: f64,
    ) -> Self {
        let profile = match rng.random::<f64>() {
            x if x < 0.16 => UsageProfile::NearlyFull,
            x if x < 0.245 => UsageProfile::FarOver,
            x if x < 0.405 => UsageProfile::Bursts,
            x if x < 0.45 => UsageProfile::Once,
            _ => UsageProfile::Calm,
        };
        let limiter_count = rng.random_range(limiters.div_ceil(2)..=limiters);
        let ends = if profile == UsageProfile::Once {
            rng.random_range(0.5..length)
        } else {
            length
        };
        Self {
            plan,
            profile,
            first_limiter: rng.random_range(0..limiters),
            limiter_count,
            limiter_weights: Vec::new(),
            limiter_weights_until: 0.0,
            limiter_weight_skew: rng.random_range(0.35..1.1),
            usage: 0.0,
            usage_until: 0.0,
            tokens: plans[plan].burst,
            refilled_at: 0.0,
            open_attempts: 0,
            ends,
        }
    }

    /// Returns the mean rate of units sent within the quota, as a fraction of the plan's rate.
    pub fn mean_usage(&self) -> f64 {
        match self.profile {
            UsageProfile::Calm | UsageProfile::Once => 0.29,
            UsageProfile::NearlyFull => 0.95,
            UsageProfile::FarOver => 1.0,
            UsageProfile::Bursts => 0.5,
        }
    }

    /// Draws the time in seconds from `now` until the next request.
    pub fn next_gap(&mut self, now: f64, rng: &mut StdRng, plan: &Plan) -> f64 {
        if now >= self.usage_until {
            let calm = rng.random_range(0.15..0.43);
            let high = self.usage > 1.0;
            (self.usage, self.usage_until) = match self.profile {
                UsageProfile::Calm | UsageProfile::Once => (calm, f64::MAX),
                UsageProfile::NearlyFull => (rng.random_range(0.9..1.0), f64::MAX),
                UsageProfile::FarOver if high => (calm, now + rng.random_range(3.0..8.0)),
                UsageProfile::FarOver => (
                    rng.random_range(2.5..4.8),
                    now + rng.random_range(8.0..20.0),
                ),
                UsageProfile::Bursts if high || now == 0.0 => {
                    (calm, now + rng.random_range(5.0..25.0))
                }
                UsageProfile::Bursts => {
                    (rng.random_range(2.5..5.6), now + rng.random_range(1.3..4.1))
                }
            };
        }
        let gap = Exp::new(plan.rate * self.usage / MEAN_UNITS).map_or(f64::MAX, |e| e.sample(rng));
        // The gap was drawn for the present usage: past the next change, draw again for the new
        // usage.
        if now + gap > self.usage_until {
            let until = self.usage_until;
            return until - now + self.next_gap(until, rng, plan);
        }
        gap
    }

    /// Draws the units of a request, mostly 1 or 2.
    pub fn draw_units(rng: &mut StdRng) -> f64 {
        let mut point = rng.random_range(0..100);
        let size = UNIT_FREQUENCIES.iter().position(|frequency| {
            let found = point < *frequency;
            point = point.saturating_sub(*frequency);
            found
        });
        (size.unwrap_or(0) + 1) as f64
    }

    /// Chooses the limiter that a request arrives at. Another limiter becomes the busiest one after
    /// a time drawn from `shift`, a range in seconds.
    pub fn choose_limiter(
        &mut self,
        now: f64,
        rng: &mut StdRng,
        limiters: usize,
        shift: (f64, f64),
    ) -> usize {
        if now >= self.limiter_weights_until {
            self.limiter_weights = (1..=self.limiter_count)
                .map(|rank| (rank as f64).powf(-self.limiter_weight_skew))
                .collect();
            self.limiter_weights
                .rotate_right(rng.random_range(0..self.limiter_count));
            self.limiter_weights_until = now + rng.random_range(shift.0..shift.1);
        }
        let mut point = rng.random::<f64>() * self.limiter_weights.iter().sum::<f64>();
        let place = self.limiter_weights.iter().position(|weight| {
            point -= weight;
            point <= 0.0
        });
        (self.first_limiter + place.unwrap_or(0)) % limiters
    }

    /// Refills the exact bucket up to `now` and returns the units in it.
    pub fn refill(&mut self, now: Micros, plan: &Plan) -> f64 {
        let now = now as f64 / SECOND;
        self.tokens = (self.tokens + plan.rate * (now - self.refilled_at)).min(plan.burst);
        self.refilled_at = now;
        self.tokens
    }

    /// Records that a request was sent upstream, and returns whether the quota allowed it. A
    /// request that exceeded the quota takes nothing from the bucket.
    pub fn record_send(&mut self, now: Micros, units: f64, plan: &Plan) -> QuotaCheck {
        let open = self.open_attempts;
        self.open_attempts += 1;
        if self.refill(now, plan) < units {
            return QuotaCheck::OverRate;
        }
        if plan.max_concurrent > 0 && open >= plan.max_concurrent {
            return QuotaCheck::OverConcurrency;
        }
        self.tokens -= units;
        QuotaCheck::Within
    }
}

/// Whether a request that was sent upstream was within the exact quota of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaCheck {
    Within,
    /// The bucket held fewer units than the request needed.
    OverRate,
    /// As many attempts as the plan allows at once were in flight already.
    OverConcurrency,
}
