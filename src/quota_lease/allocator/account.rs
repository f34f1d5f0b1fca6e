//! An allocator's state of one account: the token bucket, and the units granted in the last time slots.

use crate::decision::Micros;
use crate::quota_lease::bucket::{burst_level, Bucket, FillRate};
use crate::quota_lease::message::{MilliUnits, PlanLimits, ReportEntry};

/// Number of time slots, including the current one, for which an account's grants are recorded.
const SLOTS: usize = 6;
/// Number of time slots in the duration of a lease. [`SLOTS`] has two more: the current slot, and one
/// slot after the end of a lease in which its unused units can be returned.
pub(super) const LEASE_SLOTS: u64 = 4;
/// One unit in thousandths. If fewer units are available than are requested, whole units are
/// granted, as most requests need one unit.
const UNIT: MilliUnits = 1_000;

/// Division of time into slots of equal width, numbered from 1.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotClock {
    /// Start of slot 1.
    pub origin: Micros,
    /// Duration of a slot in µs.
    pub width: Micros,
}

impl SlotClock {
    /// Returns the number of the slot that contains `now`.
    pub fn slot(self, now: Micros) -> u64 {
        now.saturating_sub(self.origin) / self.width.max(1) + 1
    }

    fn start(self, slot: u64) -> Micros {
        self.origin
            .saturating_add(slot.saturating_sub(1).saturating_mul(self.width))
    }
}

/// Units granted for one entry of a report, and the hold-off if units are missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Granted {
    pub units: MilliUnits,
    /// Time in µs for which the limiter is to request no units of the account.
    pub hold_off: Option<Micros>,
}

/// Limits on grants that are the same for all accounts.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantRules {
    /// Divisor of the remaining units; see
    /// [`AllocatorSettings::forecast_divisor`](super::AllocatorSettings::forecast_divisor).
    pub forecast_divisor: u64,
    /// Maximum time in µs for which a limiter is to request no units of an exhausted account.
    pub max_hold_off: Micros,
}

/// The state of one account.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limits: PlanLimits,
    bucket: Bucket,
    /// Time at which this state begins. The bucket starts empty then.
    opened_at: Micros,
    /// Units granted and not returned, by time slot. The index of a slot is its number modulo
    /// [`SLOTS`].
    granted: [MilliUnits; SLOTS],
    /// Number of the latest slot in `granted`.
    newest_slot: u64,
    /// Time by which the missing units of all limiters that were held off will have accrued.
    reserved_until: Micros,
}

impl Account {
    /// Returns the state of an account of which no units were granted since `owned_since`. Its
    /// bucket was empty at that time.
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

    /// Returns whether this state begins before `owned_since`, so that another allocator may have
    /// granted units of the account in the meantime.
    pub fn opened_before(&self, owned_since: Micros) -> bool {
        self.opened_at < owned_since
    }

    /// Updates the bucket and the recorded slots to `now`, and sets the limits.
    pub fn refresh(&mut self, now: Micros, clock: SlotClock, limits: PlanLimits) {
        self.fill(now);
        if limits != self.limits {
            self.bucket.discard_fraction(now);
            self.limits = limits;
            self.fill(now);
        }
        let slot = clock.slot(now);
        for preceding in (self.newest_slot..slot).take(SLOTS) {
            self.granted[slot_index(preceding + 1)] = 0;
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

    /// Adds returned units that were granted in `slot` to the bucket, up to the level that the
    /// bucket would have if they had never been granted. Over any time span that begins with a
    /// slot, the units that are granted and not returned therefore stay within the rate and burst.
    pub fn accept_return(&mut self, now: Micros, clock: SlotClock, units: MilliUnits, slot: u64) {
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

    /// Takes units of a fallback share that a limiter used. At most one burst can be owed to the
    /// bucket.
    pub fn charge(&mut self, units: MilliUnits) {
        self.bucket.charge(units, self.limits.burst);
    }

    /// Grants units for an entry: first for waiting requests, then for expected ones, which get at
    /// most a fraction of the remaining units.
    pub fn grant(&mut self, now: Micros, entry: &ReportEntry, rules: GrantRules) -> Granted {
        let available = self.bucket.available();
        let for_waiting = grantable_units(entry.waiting, available);
        let max_for_expected = (available - for_waiting) / rules.forecast_divisor.max(1);
        let missing = entry.waiting - for_waiting;
        let for_expected = if missing == 0 {
            grantable_units(entry.expected, max_for_expected)
        } else {
            0
        };
        let units = for_waiting + for_expected;
        self.bucket.take(units);
        self.granted[slot_index(self.newest_slot)] += units;
        let is_overdrawn = entry.fallback_used > 0 && self.bucket.owed() > 0;
        let hold_off = if missing > 0 || is_overdrawn {
            Some(self.hold_off(now, missing, rules.max_hold_off))
        } else {
            None
        };
        Granted { units, hold_off }
    }

    /// Returns the time for which the limiter is to wait before it requests the missing units.
    /// Limiters that are held off form a queue: by that time, the missing units of this limiter and
    /// of all before it have accrued.
    fn hold_off(&mut self, now: Micros, missing: MilliUnits, max_hold_off: Micros) -> Micros {
        let rate = FillRate::per_second(self.limits.rate);
        let exceeds_burst = self.limits.burst < missing.min(UNIT);
        // The units in the bucket count towards those that the first limiter in the queue is missing.
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

    /// Returns whether the state can be removed. That is the case if the bucket is full and no recorded
    /// grant can be returned: a state created later will not hold more units.
    pub fn is_idle(&mut self, now: Micros, clock: SlotClock) -> bool {
        self.refresh(now, clock, self.limits);
        self.bucket.is_full(self.limits.burst) && self.granted.iter().all(|units| *units == 0)
    }
}

fn slot_index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}

/// Returns how many of the requested units to grant: all if available, otherwise the whole units
/// that are available.
fn grantable_units(requested: MilliUnits, available: MilliUnits) -> MilliUnits {
    if requested <= available {
        requested
    } else {
        available - available % UNIT
    }
}
