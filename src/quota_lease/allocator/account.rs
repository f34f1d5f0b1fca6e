//! An allocator's state of one account: its token bucket and the grants of the last time slots.

use crate::decision::Micros;
use crate::quota_lease::bucket::{burst_level, Bucket, FillRate};
use crate::quota_lease::message::{MilliUnits, PlanLimits, ReportEntry};

/// Time slots for which an account's grants are recorded.
const SLOTS: usize = 6;
/// Time slots in the duration of a lease. Of the recorded slots, one is the present one, and one may
/// pass until unused units are returned.
pub(super) const LEASE_SLOTS: u64 = 4;
/// Where not all of the requested units are available, whole units are granted: most requests need one.
const UNIT: MilliUnits = 1_000;

/// Numbers the time slots, from 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotClock {
    pub origin: Micros,
    pub width: Micros,
}

impl SlotClock {
    pub fn slot(self, now: Micros) -> u64 {
        now.saturating_sub(self.origin) / self.width.max(1) + 1
    }

    fn start(self, slot: u64) -> Micros {
        self.origin
            .saturating_add(slot.saturating_sub(1).saturating_mul(self.width))
    }
}

/// Units granted for one entry of a report, and how long to wait for what is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Granted {
    pub units: MilliUnits,
    pub hold_off: Option<Micros>,
}

/// Rules for grants, the same for all accounts.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantRules {
    /// One over the fraction of the remaining units that goes to the expected requests of one limiter.
    pub forecast_share: u64,
    /// The longest time until a limiter may request units of an exhausted account again.
    pub max_hold_off: Micros,
}

/// The state of one account.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limits: PlanLimits,
    bucket: Bucket,
    /// The bucket was empty at this time or later.
    opened_at: Micros,
    /// Units granted and not returned, by slot; the index of a slot is its number modulo [`SLOTS`].
    granted: [MilliUnits; SLOTS],
    newest_slot: u64,
    /// Units for all limiters that were held off have accrued by this time.
    reserved_until: Micros,
}

impl Account {
    /// Returns the state of an account of which no units were granted since `owned_since`.
    pub fn open(owned_since: Micros, limits: PlanLimits) -> Self {
        Self {
            limits,
            bucket: Bucket::empty(owned_since),
            opened_at: owned_since,
            granted: [0; SLOTS],
            newest_slot: 0,
            reserved_until: 0,
        }
    }

    /// Returns whether another allocator may have owned the account since it was opened.
    pub fn is_older_than(&self, owned_since: Micros) -> bool {
        self.opened_at < owned_since
    }

    /// Updates the bucket, its limits and the slots to `now`.
    pub fn refresh(&mut self, now: Micros, clock: SlotClock, limits: PlanLimits) {
        self.fill(now);
        if limits != self.limits {
            self.bucket.discard_fraction(now);
            self.limits = limits;
            self.fill(now);
        }
        let slot = clock.slot(now);
        for previous in (self.newest_slot..slot).take(SLOTS) {
            self.granted[slot_index(previous + 1)] = 0;
        }
        self.newest_slot = self.newest_slot.max(slot);
    }

    fn fill(&mut self, now: Micros) {
        self.bucket.fill(
            now,
            FillRate::per_second(self.limits.rate),
            self.limits.burst,
        );
    }

    /// Returns units that were granted in `slot` to the bucket, up to the level that it would have if
    /// they had never been granted. So the units granted and not returned keep to the rate and burst over
    /// any time span that begins with a slot.
    pub fn take_back(&mut self, now: Micros, clock: SlotClock, units: MilliUnits, slot: u64) {
        if slot == 0 || slot > self.newest_slot || self.newest_slot - slot >= SLOTS as u64 {
            return;
        }
        let granted = &mut self.granted[slot_index(slot)];
        let accepted = units.min(*granted);
        *granted -= accepted;
        let mut max_level = burst_level(self.limits.burst);
        let mut granted_since = 0;
        for later in (slot + 1..=self.newest_slot).rev() {
            granted_since += self.granted[slot_index(later)];
            let elapsed = now.saturating_sub(clock.start(later));
            let accrued = FillRate::per_second(self.limits.rate)
                .accrued_within(elapsed)
                .saturating_add(self.limits.burst);
            max_level = max_level.min(burst_level(accrued).saturating_sub_unsigned(granted_since));
        }
        self.bucket.add(accepted, max_level);
    }

    /// Takes the units that were used of a fallback share. The bucket may owe one burst.
    pub fn charge(&mut self, units: MilliUnits) {
        self.bucket.charge(units, self.limits.burst);
    }

    /// Grants the units that an entry requests: first for waiting requests, then for expected ones, which
    /// get a fraction of the remaining units.
    pub fn grant(&mut self, now: Micros, entry: &ReportEntry, rules: GrantRules) -> Granted {
        let available = self.bucket.available();
        let for_waiting = whole_units(entry.waiting, available);
        let forecast_units = (available - for_waiting) / rules.forecast_share.max(1);
        let missing = entry.waiting - for_waiting;
        let for_expected = if missing == 0 {
            whole_units(entry.expected, forecast_units)
        } else {
            0
        };
        let units = for_waiting + for_expected;
        self.bucket.take(units);
        self.granted[slot_index(self.newest_slot)] += units;
        let overdrawn = entry.fallback_used > 0 && self.bucket.owed() > 0;
        let hold_off = if missing > 0 || overdrawn {
            Some(self.hold_off(now, missing, rules.max_hold_off))
        } else {
            None
        };
        Granted { units, hold_off }
    }

    /// Returns the time after which the limiter may request the missing units. Limiters that are held off
    /// form a queue: the time is that by which the units for all before and this one have accrued.
    fn hold_off(&mut self, now: Micros, missing: MilliUnits, max_hold_off: Micros) -> Micros {
        let rate = FillRate::per_second(self.limits.rate);
        let exceeds_burst = self.limits.burst < missing.min(UNIT);
        // The units in the bucket are for the first in the queue.
        let is_first = self.reserved_until <= now;
        let missing = if is_first {
            missing.saturating_sub(self.bucket.available())
        } else {
            missing
        };
        let debt_paid_after = rate
            .time_to_accrue(self.bucket.owed())
            .unwrap_or(max_hold_off);
        let start = self.reserved_until.max(now.saturating_add(debt_paid_after));
        let wait = rate
            .time_to_accrue(missing)
            .filter(|_| !exceeds_burst)
            .unwrap_or(max_hold_off);
        let latest = now.saturating_add(max_hold_off);
        self.reserved_until = start.saturating_add(wait).min(latest);
        self.reserved_until.saturating_sub(now)
    }

    /// Returns whether the account can be dropped. The bucket is full and no units can be returned, so
    /// an account opened anew would not hold more.
    pub fn is_idle(&mut self, now: Micros, clock: SlotClock) -> bool {
        self.refresh(now, clock, self.limits);
        self.bucket.is_full(self.limits.burst) && self.granted.iter().all(|units| *units == 0)
    }
}

fn slot_index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}

/// Returns the units to grant of `wanted`: all if available, otherwise whole units.
fn whole_units(wanted: MilliUnits, available: MilliUnits) -> MilliUnits {
    if wanted <= available {
        wanted
    } else {
        available - available % UNIT
    }
}
