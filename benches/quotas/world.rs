//! Agent accounts, what they ask for, and their quotas as they really are.

use mossrill::decision::{Micros, Plan};
use rand::rngs::StdRng;
use rand::Rng;
use rand_distr::{Distribution, Exp};

pub const SECOND: f64 = 1e6;
/// Of a hundred requests so many have 1, 2 … 6 units.
const SIZES: [u32; 6] = [45, 25, 14, 8, 5, 3];
/// Units of a request on average.
pub const MEAN_UNITS: f64 = 2.12;

/// How an account uses its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Well under it.
    Calm,
    /// Nearly all of it.
    Full,
    /// Some times as much, for long spells.
    Over,
    /// Calm, but for bursts of some seconds.
    Bursts,
    /// Asks a few times, and never again.
    Once,
}

pub const KINDS: [(Kind, &str); 5] = [
    (Kind::Calm, "calm"),
    (Kind::Full, "nearly full"),
    (Kind::Over, "far over"),
    (Kind::Bursts, "bursts"),
    (Kind::Once, "once"),
];

/// An account: where its requests come in, how many, and what is left of its quota.
pub struct Account {
    pub plan: usize,
    pub kind: Kind,
    /// Its limiters are the first so many in a row from here on.
    pub first: usize,
    pub spread: usize,
    /// Parts of its requests that come in through each of them, fewer behind the busiest, and until when.
    parts: Vec<f64>,
    parts_until: f64,
    skew: f64,
    /// Use of the quota at present, and until when.
    usage: f64,
    usage_until: f64,
    /// The store that all limiters together draw from.
    level: f64,
    filled: f64,
    /// Attempts out at once.
    pub open: u32,
    /// The last time that it asks.
    pub ends: f64,
}

impl Account {
    /// An account drawn as the brief has them.
    pub fn draw(
        rng: &mut StdRng,
        plan: usize,
        plans: &[Plan],
        gateways: usize,
        length: f64,
    ) -> Self {
        let kind = match rng.random::<f64>() {
            x if x < 0.16 => Kind::Full,
            x if x < 0.245 => Kind::Over,
            x if x < 0.405 => Kind::Bursts,
            x if x < 0.45 => Kind::Once,
            _ => Kind::Calm,
        };
        let spread = rng.random_range(gateways.div_ceil(2)..=gateways);
        let ends = if kind == Kind::Once {
            rng.random_range(0.5..length)
        } else {
            length
        };
        Self {
            plan,
            kind,
            first: rng.random_range(0..gateways),
            spread,
            parts: Vec::new(),
            parts_until: 0.0,
            skew: rng.random_range(0.35..1.1),
            usage: 0.0,
            usage_until: 0.0,
            level: plans[plan].burst,
            filled: 0.0,
            open: 0,
            ends,
        }
    }

    /// Use of the quota over a long time, in parts of its rate.
    pub fn mean_use(&self) -> f64 {
        match self.kind {
            Kind::Calm | Kind::Once => 0.29,
            Kind::Full => 0.95,
            Kind::Over => 1.0,
            Kind::Bursts => 0.5,
        }
    }

    /// Time in seconds until the next request, from `now` on.
    pub fn next(&mut self, now: f64, rng: &mut StdRng, plan: &Plan) -> f64 {
        if now >= self.usage_until {
            let calm = rng.random_range(0.15..0.43);
            let high = self.usage > 1.0;
            (self.usage, self.usage_until) = match self.kind {
                Kind::Calm | Kind::Once => (calm, f64::MAX),
                Kind::Full => (rng.random_range(0.9..1.0), f64::MAX),
                Kind::Over if high => (calm, now + rng.random_range(3.0..8.0)),
                Kind::Over => (
                    rng.random_range(2.5..4.8),
                    now + rng.random_range(8.0..20.0),
                ),
                Kind::Bursts if high || now == 0.0 => (calm, now + rng.random_range(5.0..25.0)),
                Kind::Bursts => (rng.random_range(2.5..5.6), now + rng.random_range(1.3..4.1)),
            };
        }
        let gap = Exp::new(plan.rate * self.usage / MEAN_UNITS).map_or(f64::MAX, |e| e.sample(rng));
        // A change of use is felt when it comes.
        if now + gap > self.usage_until {
            let until = self.usage_until;
            return until - now + self.next(until, rng, plan);
        }
        gap
    }

    /// Units of a request: small ones are the most.
    pub fn units(rng: &mut StdRng) -> f64 {
        let mut at = rng.random_range(0..100);
        let size = SIZES.iter().position(|part| {
            let found = at < *part;
            at = at.saturating_sub(*part);
            found
        });
        (size.unwrap_or(0) + 1) as f64
    }

    /// The limiter through which a try comes in. The busiest one changes from time to time, every `shift` seconds.
    pub fn limiter(
        &mut self,
        now: f64,
        rng: &mut StdRng,
        gateways: usize,
        shift: (f64, f64),
    ) -> usize {
        if now >= self.parts_until {
            self.parts = (1..=self.spread)
                .map(|rank| (rank as f64).powf(-self.skew))
                .collect();
            self.parts.rotate_right(rng.random_range(0..self.spread));
            self.parts_until = now + rng.random_range(shift.0..shift.1);
        }
        let mut at = rng.random::<f64>() * self.parts.iter().sum::<f64>();
        let place = self.parts.iter().position(|part| {
            at -= part;
            at <= 0.0
        });
        (self.first + place.unwrap_or(0)) % gateways
    }

    /// What the store holds now.
    pub fn left(&mut self, now: Micros, plan: &Plan) -> f64 {
        let now = now as f64 / SECOND;
        self.level = (self.level + plan.rate * (now - self.filled)).min(plan.burst);
        self.filled = now;
        self.level
    }

    /// Sends a try on: units beyond the rate, or beyond the cap on attempts out at once. These take nothing from the store.
    pub fn send(&mut self, now: Micros, units: f64, plan: &Plan) -> Beyond {
        let open = self.open;
        self.open += 1;
        if self.left(now, plan) < units {
            return Beyond::Rate;
        }
        if plan.max_concurrent > 0 && open >= plan.max_concurrent {
            return Beyond::Cap;
        }
        self.level -= units;
        Beyond::No
    }
}

/// What of its quota a try went beyond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beyond {
    No,
    Rate,
    Cap,
}
