//! What a limiter keeps of one account: leased units, how much of them is likely to be used, and its fallback part.

use super::bucket::{Bucket, FillRate};
use super::holder::HolderSettings;
use super::message::{AccountKey, MilliUnits, PlanLimits};
use crate::decision::Micros;

/// Leases of one account at most.
const MAX_LEASES: usize = 4;
/// What an expired lease leaves is returned within this part of a lease's lifetime; later the allocator takes nothing back.
const RETURN_WITHIN: Micros = 4;
/// A lease is renewed when so many intervals are left of it, or it holds so many intervals' use.
const RENEW_INTERVALS: u64 = 2;
/// Expected use is multiplied by a power of two between these.
const LEAST_BOOST: i8 = -4;
const MOST_BOOST: i8 = 1;
/// In an account's first lifetime its use so far is projected to a whole one, at most by this factor.
const MOST_PROJECTION: f32 = 4.0;
/// Nothing is expected of an account that was not used for this part of a lease's lifetime.
const IDLE_AFTER: Micros = 2;
/// An account is looked at once in so many lifetimes at least.
const LOOKED_AT_LEAST: u64 = 64;
const THOUSAND: u128 = 1_000;

/// Which grant units came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseOrigin {
    pub allocator: u32,
    pub incarnation: u64,
    pub slot: u64,
    pub expires: Micros,
}

#[derive(Clone, Debug)]
struct Lease {
    origin: LeaseOrigin,
    units: MilliUnits,
    /// As granted.
    whole: MilliUnits,
}

/// Units that one request has taken.
#[derive(Debug, PartialEq, Eq)]
pub struct Receipt {
    pub(super) account: AccountKey,
    pub(super) parts: Vec<ReceiptPart>,
}

/// Units out of one lease, or out of the fallback part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReceiptPart {
    pub origin: Option<LeaseOrigin>,
    pub units: MilliUnits,
}

impl Receipt {
    /// The account whose units were taken.
    pub fn account(&self) -> AccountKey {
        self.account
    }

    /// Units out of leases.
    pub fn leased(&self) -> MilliUnits {
        self.parts
            .iter()
            .filter(|part| part.origin.is_some())
            .map(|part| part.units)
            .sum()
    }

    /// Units out of the fallback part, beyond what any allocator has granted.
    pub fn beyond(&self) -> MilliUnits {
        self.parts
            .iter()
            .filter(|part| part.origin.is_none())
            .map(|part| part.units)
            .sum()
    }
}

/// Is the account in a list of those that the next report to an allocator takes along?
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    #[default]
    No,
    /// With the next report.
    Later,
    /// Requests wait: the report is sent for them.
    Now,
}

#[derive(Clone, Debug)]
pub(super) struct HeldAccount {
    pub limits: PlanLimits,
    spread: u32,
    pub due: Due,
    boost: i8,
    /// Use within a lease's lifetime: each request counts less by the factor e after each lifetime.
    demand: f32,
    first_use: Micros,
    last_use: Micros,
    /// Units of the last request.
    request: MilliUnits,
    leases: Vec<Lease>,
    part: Bucket,
    /// Used by the fallback part and not yet reported.
    pub beyond: MilliUnits,
    /// The account has no units for this limiter before.
    pub held_off_until: Micros,
    /// When it is to be looked at next, as the holder has noted.
    pub timer: Micros,
}

impl HeldAccount {
    /// Its fallback part was empty at `part_since` or later.
    pub fn new(now: Micros, limits: PlanLimits, spread: u32, part_since: Micros) -> Self {
        Self {
            limits,
            spread,
            due: Due::No,
            boost: 0,
            demand: 0.0,
            first_use: now,
            last_use: now,
            request: 0,
            leases: Vec::new(),
            part: Bucket::empty(part_since),
            beyond: 0,
            held_off_until: 0,
            timer: Micros::MAX,
        }
    }

    /// Takes the limits and spread as the request's configuration has them.
    pub fn set_limits(
        &mut self,
        now: Micros,
        limits: PlanLimits,
        spread: u32,
        settings: &HolderSettings,
    ) {
        if (limits, spread) != (self.limits, self.spread) {
            self.fill_part(now, settings);
            self.part.change_rate(now);
            (self.limits, self.spread) = (limits, spread);
        }
    }

    /// Counts a request as demand, unless the account is held off.
    pub fn count_demand(&mut self, now: Micros, units: MilliUnits, settings: &HolderSettings) {
        let counted = if now < self.held_off_until { 0 } else { units };
        self.demand = self.decayed_demand(now, settings) + counted as f32;
        self.last_use = now;
        self.request = units;
    }

    /// Units of leases that have not expired.
    pub fn leased(&self, now: Micros) -> MilliUnits {
        self.live(now).map(|lease| lease.units).sum()
    }

    /// Takes units out of leases, those that expire first first. None if they do not hold so many.
    pub fn take_leased(
        &mut self,
        now: Micros,
        units: MilliUnits,
        settings: &HolderSettings,
    ) -> Option<Vec<ReceiptPart>> {
        if self.leased(now) < units {
            return None;
        }
        let mut parts = Vec::new();
        let mut missing = units;
        let mut used_up_early = false;
        self.leases.sort_by_key(|lease| lease.origin.expires);
        for lease in self
            .leases
            .iter_mut()
            .filter(|lease| now < lease.origin.expires && lease.units > 0)
        {
            if missing == 0 {
                break;
            }
            let taken = missing.min(lease.units);
            lease.units -= taken;
            missing -= taken;
            parts.push(ReceiptPart {
                origin: Some(lease.origin),
                units: taken,
            });
            used_up_early |= lease.units == 0 && lease.origin.expires - now > settings.lease / 2;
        }
        // What is used up in the first lifetime is projected already.
        let known = now >= self.first_use.saturating_add(settings.lease);
        if used_up_early && known && self.leased(now) == 0 {
            self.boost = (self.boost + 1).min(MOST_BOOST);
        }
        self.use_part(now, units, settings);
        Some(parts)
    }

    /// Takes units out of the fallback part; else says when it will hold them, if ever.
    pub fn take_beyond(
        &mut self,
        now: Micros,
        units: MilliUnits,
        settings: &HolderSettings,
    ) -> Result<ReceiptPart, Option<Micros>> {
        self.fill_part(now, settings);
        let available = self.part.available();
        if units > available {
            let possible = units <= self.part_burst(settings);
            let wait = self.part_rate(settings).time_for(units - available);
            return Err(wait.filter(|_| possible));
        }
        self.part.take(units);
        self.beyond = self.beyond.saturating_add(units);
        Ok(ReceiptPart {
            origin: None,
            units,
        })
    }

    /// Undoes what [`Self::take_leased`] or [`Self::take_beyond`] took. Units of a lease go back into that lease, or are
    /// returned to the allocator if it has expired. The fallback part gets nothing back: only the report of it is taken back.
    pub fn put_back(&mut self, part: ReceiptPart) {
        let Some(origin) = part.origin else {
            self.beyond = self.beyond.saturating_sub(part.units);
            return;
        };
        match self.leases.iter_mut().find(|lease| lease.origin == origin) {
            Some(lease) => lease.units = lease.units.saturating_add(part.units),
            None => self.add_lease(origin, part.units),
        }
    }

    /// Adds units that were granted. Where there are leases enough they join the last one of the same process, and expire and
    /// are returned with it.
    pub fn add_lease(&mut self, origin: LeaseOrigin, units: MilliUnits) {
        let lease = Lease {
            origin,
            units,
            whole: units,
        };
        if self.leases.len() < MAX_LEASES {
            self.leases.push(lease);
            return;
        }
        self.leases.sort_by_key(|lease| lease.origin.expires);
        let same = |other: &&mut Lease| {
            let other = other.origin;
            (other.allocator, other.incarnation) == (origin.allocator, origin.incarnation)
                && other.expires <= origin.expires
        };
        match self.leases.iter_mut().rev().find(same) {
            Some(last) => {
                last.units = last.units.saturating_add(units);
                last.whole = last.whole.saturating_add(units);
            }
            None => self.leases[0] = lease,
        }
    }

    /// Lets go of leases that are used up, and of those that expired too long ago to be returned.
    pub fn clean_up(&mut self, now: Micros, settings: &HolderSettings) {
        let latest = settings.lease / RETURN_WITHIN;
        self.leases
            .retain(|lease| lease.units > 0 && now < lease.origin.expires.saturating_add(latest));
    }

    /// Is something of an expired lease left?
    pub fn has_expired(&self, now: Micros) -> bool {
        self.leases
            .iter()
            .any(|lease| lease.units > 0 && now >= lease.origin.expires)
    }

    /// Takes out what expired leases left that this incarnation of the allocator granted; what another one granted is lost.
    pub fn take_expired(
        &mut self,
        now: Micros,
        allocator: u32,
        incarnation: u64,
    ) -> Vec<(MilliUnits, u64)> {
        let (live, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut self.leases)
            .into_iter()
            .partition(|lease| now < lease.origin.expires);
        self.leases = live;
        if expired.iter().any(|lease| lease.units > lease.whole / 2) {
            self.boost = (self.boost - 1).max(LEAST_BOOST);
        }
        let same = |lease: &Lease| {
            (lease.origin.allocator, lease.origin.incarnation) == (allocator, incarnation)
        };
        let left = expired
            .into_iter()
            .filter(|lease| lease.units > 0 && same(lease));
        left.map(|lease| (lease.units, lease.origin.slot)).collect()
    }

    /// Units worth asking for beside those that requests wait for: what is likely to be used within a lifetime, in whole
    /// requests, less what is leased for long enough.
    pub fn expected(
        &self,
        now: Micros,
        waiting: MilliUnits,
        settings: &HolderSettings,
    ) -> MilliUnits {
        let idle = now >= self.last_use.saturating_add(settings.lease / IDLE_AFTER);
        if idle || now < self.held_off_until {
            return 0;
        }
        let used = f64::from(self.decayed_demand(now, settings)) - waiting as f64;
        let likely =
            (used * f64::from(self.projection(now, settings)) * f64::from(self.boost).exp2())
                .min(self.limits.burst as f64);
        let request = self.request.max(1);
        if likely < request as f64 {
            return 0;
        }
        let likely = likely as MilliUnits;
        let soon = now.saturating_add(RENEW_INTERVALS * settings.interval);
        (likely - likely % request).saturating_sub(self.leased(soon))
    }

    /// Will what is leased be used up or expire before a later report could renew it?
    pub fn wants_renewal(&self, now: Micros, settings: &HolderSettings) -> bool {
        let span = RENEW_INTERVALS * settings.interval;
        let soon = self.leased(now.saturating_add(span));
        let use_soon =
            self.decayed_demand(now, settings) * span as f32 / settings.lease.max(1) as f32;
        (soon as f32) < use_soon && self.expected(now, 0, settings) > 0
    }

    /// When it is to be looked at next.
    pub fn next_timer(&self, now: Micros, settings: &HolderSettings) -> Micros {
        let renew = RENEW_INTERVALS * settings.interval;
        let of_lease = |lease: &Lease| {
            let expires = lease.origin.expires;
            let times = [
                expires.saturating_sub(renew),
                expires,
                expires + settings.lease / RETURN_WITHIN,
            ];
            times.into_iter().find(|time| *time > now)
        };
        let lease = self
            .leases
            .iter()
            .filter(|lease| lease.units > 0)
            .filter_map(of_lease)
            .min();
        lease.unwrap_or_else(|| match self.forget_at(settings) {
            at if at > now => at.min(now.saturating_add(LOOKED_AT_LEAST * settings.lease)),
            _ => now.saturating_add(settings.interval),
        })
    }

    /// May it be forgotten? Its fallback part is full, so one that is opened anew holds no more.
    pub fn is_idle(&mut self, now: Micros, settings: &HolderSettings) -> bool {
        self.fill_part(now, settings);
        let part_full = self.part.is_full(self.part_burst(settings));
        part_full && self.is_unused(now) && now >= self.last_use.saturating_add(settings.lease)
    }

    /// Nothing is leased, held off or to be reported.
    pub fn is_unused(&self, now: Micros) -> bool {
        self.leases.iter().all(|lease| lease.units == 0)
            && self.beyond == 0
            && now >= self.held_off_until
    }

    /// Bytes on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.leases.capacity() * size_of::<Lease>()
    }

    fn live(&self, now: Micros) -> impl Iterator<Item = &Lease> {
        self.leases
            .iter()
            .filter(move |lease| now < lease.origin.expires)
    }

    fn decayed_demand(&self, now: Micros, settings: &HolderSettings) -> f32 {
        let elapsed = now.saturating_sub(self.last_use) as f32;
        self.demand * (-elapsed / settings.lease.max(1) as f32).exp()
    }

    /// One over the part of a lifetime's use, as [`Self::demand`] weighs it, that falls into the time since the first use.
    fn projection(&self, now: Micros, settings: &HolderSettings) -> f32 {
        let age = now.saturating_sub(self.first_use) as f32;
        let part = 1.0 - (-age / settings.lease.max(1) as f32).exp();
        part.max(1.0 / MOST_PROJECTION).recip()
    }

    fn forget_at(&self, settings: &HolderSettings) -> Micros {
        let missing = self
            .part_burst(settings)
            .saturating_sub(self.part.available());
        let part_full = match self.part_rate(settings).time_for(missing) {
            Some(span) => self.part.filled_to().saturating_add(span),
            None => Micros::MAX,
        };
        part_full
            .max(self.last_use.saturating_add(settings.lease))
            .max(self.held_off_until)
    }

    /// All use drains the fallback part, so that it is opened with what is surely unused of this limiter's own.
    fn use_part(&mut self, now: Micros, units: MilliUnits, settings: &HolderSettings) {
        self.fill_part(now, settings);
        self.part.take(units.min(self.part.available()));
    }

    fn fill_part(&mut self, now: Micros, settings: &HolderSettings) {
        let (rate, burst) = (self.part_rate(settings), self.part_burst(settings));
        self.part.fill(now, rate, burst);
    }

    fn part_rate(&self, settings: &HolderSettings) -> FillRate {
        FillRate::part(self.limits.rate, settings.fallback_thousandths, self.spread)
    }

    fn part_burst(&self, settings: &HolderSettings) -> MilliUnits {
        if settings.fallback_thousandths == 0 {
            return 0;
        }
        let whole = u128::from(self.limits.burst) * u128::from(settings.fallback_thousandths);
        let part = whole / (THOUSAND * u128::from(self.spread.max(1)));
        u64::try_from(part)
            .unwrap_or(u64::MAX)
            .max(settings.fallback_least.min(self.limits.burst))
    }
}
