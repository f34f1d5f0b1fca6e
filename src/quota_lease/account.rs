//! What an allocator keeps of one account: its bucket, and what was granted out of it lately.

use super::bucket::{burst_level, Bucket, FillRate};
use super::message::{MilliUnits, PlanLimits, ReportEntry};
use crate::decision::Micros;

/// Slots of time in which an account's grants are told apart.
const SLOTS: usize = 6;
/// Slots that a lease lasts: one more may pass until what it leaves is returned, one is the present one.
pub(super) const LEASE_SLOTS: u64 = 4;
/// Grants are made in whole units as far as that much is asked for: less is of no use to most requests.
const WHOLE_UNIT: MilliUnits = 1_000;

/// Numbers the slots of time, from 1.
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

/// How much of what is left goes to expected requests, and how long a limiter is held off at most.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantRules {
    pub forecast_share: u64,
    pub max_hold_off: Micros,
}

#[derive(Clone, Debug)]
pub(super) struct Account {
    limits: PlanLimits,
    bucket: Bucket,
    /// The bucket was empty then or later.
    opened: Micros,
    /// Granted and not returned, by slot; the place of a slot is its number modulo [`SLOTS`].
    granted: [MilliUnits; SLOTS],
    newest_slot: u64,
    /// What limiters were held off for has come by then.
    promised_until: Micros,
}

impl Account {
    /// Nothing was granted for it since `owned_since`.
    pub fn open(owned_since: Micros, limits: PlanLimits) -> Self {
        let bucket = Bucket::empty(owned_since);
        let granted = [0; SLOTS];
        Self {
            limits,
            bucket,
            opened: owned_since,
            granted,
            newest_slot: 0,
            promised_until: 0,
        }
    }

    /// Has another allocator owned it, perhaps, since it was opened?
    pub fn is_older_than(&self, owned_since: Micros) -> bool {
        self.opened < owned_since
    }

    /// Brings the bucket, its limits and the slots to the present.
    pub fn refresh(&mut self, now: Micros, clock: SlotClock, limits: PlanLimits) {
        self.fill(now);
        if limits != self.limits {
            self.bucket.change_rate(now);
            self.limits = limits;
            self.fill(now);
        }
        let slot = clock.slot(now);
        for begun in (self.newest_slot..slot).take(SLOTS) {
            self.granted[place(begun + 1)] = 0;
        }
        self.newest_slot = self.newest_slot.max(slot);
    }

    fn fill(&mut self, now: Micros) {
        self.bucket
            .fill(now, FillRate::whole(self.limits.rate), self.limits.burst);
    }

    /// Takes back units that were granted in `slot`, as if they had never been granted: the bucket gets no more than it
    /// would hold then. So what is granted and not returned keeps to the rate and burst over any span that begins with a slot.
    pub fn take_back(&mut self, now: Micros, clock: SlotClock, units: MilliUnits, slot: u64) {
        if slot == 0 || slot > self.newest_slot || self.newest_slot - slot >= SLOTS as u64 {
            return;
        }
        let granted = &mut self.granted[place(slot)];
        let accepted = units.min(*granted);
        *granted -= accepted;
        let mut most = burst_level(self.limits.burst);
        let mut granted_since = 0;
        for later in (slot + 1..=self.newest_slot).rev() {
            granted_since += self.granted[place(later)];
            let elapsed = now.saturating_sub(clock.start(later));
            let come = FillRate::whole(self.limits.rate)
                .within(elapsed)
                .saturating_add(self.limits.burst);
            most = most.min(burst_level(come).saturating_sub_unsigned(granted_since));
        }
        self.bucket.put(accepted, most);
    }

    /// Takes out what a fallback has used already; the bucket may owe one burst.
    pub fn charge(&mut self, units: MilliUnits) {
        self.bucket.charge(units, self.limits.burst);
    }

    /// Grants what an entry asks for: for requests that wait first, for expected ones a share of what is then left.
    pub fn grant(&mut self, now: Micros, entry: &ReportEntry, rules: GrantRules) -> Granted {
        let available = self.bucket.available();
        let for_waiting = whole_units(entry.waiting, available);
        let left = (available - for_waiting) / rules.forecast_share.max(1);
        let missing = entry.waiting - for_waiting;
        let for_expected = if missing == 0 {
            whole_units(entry.expected, left)
        } else {
            0
        };
        let units = for_waiting + for_expected;
        self.bucket.take(units);
        self.granted[place(self.newest_slot)] += units;
        let overdrawn = entry.beyond > 0 && self.bucket.owed() > 0;
        let hold_off =
            (missing > 0 || overdrawn).then(|| self.hold_off(now, missing, rules.max_hold_off));
        Granted { units, hold_off }
    }

    /// Each limiter that is turned away is sent to the end of the line of those that were: the time by which the units for
    /// all of them have come.
    fn hold_off(&mut self, now: Micros, missing: MilliUnits, most: Micros) -> Micros {
        let rate = FillRate::whole(self.limits.rate);
        let never = self.limits.burst < missing.min(WHOLE_UNIT);
        // What the bucket holds is for the first in the line.
        let first = self.promised_until <= now;
        let missing = if first {
            missing.saturating_sub(self.bucket.available())
        } else {
            missing
        };
        let settled = rate.time_for(self.bucket.owed()).unwrap_or(most);
        let start = self.promised_until.max(now.saturating_add(settled));
        let wait = rate.time_for(missing).filter(|_| !never).unwrap_or(most);
        let latest = now.saturating_add(most);
        self.promised_until = start.saturating_add(wait).min(latest);
        self.promised_until.saturating_sub(now)
    }

    /// May it be forgotten? Opened anew at its first time of ownership it holds no more than now: it is full, and nothing of
    /// it can be returned.
    pub fn is_idle(&mut self, now: Micros, clock: SlotClock) -> bool {
        self.refresh(now, clock, self.limits);
        self.bucket.is_full(self.limits.burst) && self.granted.iter().all(|units| *units == 0)
    }
}

fn place(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}

/// As much of `wanted` as is available: all of it, or whole units.
fn whole_units(wanted: MilliUnits, available: MilliUnits) -> MilliUnits {
    if wanted <= available {
        wanted
    } else {
        available - available % WHOLE_UNIT
    }
}
