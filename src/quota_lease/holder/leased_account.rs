//! A limiter's state of one account: its leases, the forecast of its use, and its fallback share.

use super::demand::Demand;
use super::fallback::{FallbackExhausted, FallbackLimits, FallbackShare};
use super::lease_set::{LeaseSet, ReturnedUnits};
use super::receipt::{LeaseOrigin, ReceiptPart};
use super::settings::HolderSettings;
use crate::decision::Micros;
use crate::quota_lease::message::{MilliUnits, PlanLimits};

/// A lease is renewed this many report intervals before its end, or before its units are used up.
const RENEWAL_INTERVALS: u64 = 2;
/// An account is checked at least once in this many lease durations.
const MAX_CHECK_LEASES: u64 = 64;

/// Whether and when the next report to an account's owner includes the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReportDue {
    /// It does not.
    #[default]
    No,
    /// The report is sent at the next interval.
    NextInterval,
    /// Requests wait: the report is sent as soon as possible.
    Immediately,
}

/// The state of one account.
#[derive(Clone, Debug)]
pub(super) struct LeasedAccount {
    pub(super) limits: PlanLimits,
    /// Limiters that receive the account's requests.
    limiter_count: u32,
    pub(super) report_due: ReportDue,
    demand: Demand,
    leases: LeaseSet,
    fallback: FallbackShare,
    /// Units used of the fallback share and not yet reported.
    pub(super) unreported_fallback: MilliUnits,
    /// The owner has no units for this limiter before this time.
    pub(super) held_off_until: Micros,
    /// When the account is to be checked next, [`Micros::MAX`] if no timer is set.
    pub(super) timer: Micros,
}

impl LeasedAccount {
    /// Returns an account whose fallback share was empty at `fallback_empty_since` or later.
    pub(super) fn new(
        now: Micros,
        limits: PlanLimits,
        limiter_count: u32,
        fallback_empty_since: Micros,
    ) -> Self {
        Self {
            limits,
            limiter_count,
            report_due: ReportDue::No,
            demand: Demand::new(now),
            leases: LeaseSet::default(),
            fallback: FallbackShare::new(fallback_empty_since),
            unreported_fallback: 0,
            held_off_until: 0,
            timer: Micros::MAX,
        }
    }

    /// Sets the limits and the number of limiters of the request's configuration.
    pub(super) fn set_limits(
        &mut self,
        now: Micros,
        limits: PlanLimits,
        limiter_count: u32,
        settings: &HolderSettings,
    ) {
        if limits != self.limits || limiter_count != self.limiter_count {
            let previous = self.fallback_limits(settings);
            self.fallback.change_limits(now, previous);
            self.limits = limits;
            self.limiter_count = limiter_count;
        }
    }

    /// Counts a request as demand, unless the account is held off.
    pub(super) fn count_demand(
        &mut self,
        now: Micros,
        units: MilliUnits,
        settings: &HolderSettings,
    ) {
        let counted = if now < self.held_off_until { 0 } else { units };
        self.demand.record(now, units, counted, settings.lease);
    }

    /// Returns the units of leases that have not expired.
    pub(super) fn leased(&self, now: Micros) -> MilliUnits {
        self.leases.units(now)
    }

    /// Takes units from leases; `None` if they do not hold as many.
    pub(super) fn take_leased(
        &mut self,
        now: Micros,
        units: MilliUnits,
        settings: &HolderSettings,
    ) -> Option<Vec<ReceiptPart>> {
        let taken = self.leases.take(now, units, settings.lease)?;
        // In the first lease duration the forecast projects the use already.
        let forecast_too_low = taken.used_up_early
            && self.demand.is_established(now, settings.lease)
            && self.leased(now) == 0;
        if forecast_too_low {
            self.demand.raise_forecast();
        }
        let limits = self.fallback_limits(settings);
        self.fallback.take_up_to(now, units, limits);
        Some(taken.parts)
    }

    /// Takes units from the fallback share.
    ///
    /// # Errors
    ///
    /// If it does not hold as many.
    pub(super) fn take_fallback(
        &mut self,
        now: Micros,
        units: MilliUnits,
        settings: &HolderSettings,
    ) -> Result<ReceiptPart, FallbackExhausted> {
        let limits = self.fallback_limits(settings);
        self.fallback.take(now, units, limits)?;
        self.unreported_fallback = self.unreported_fallback.saturating_add(units);
        Ok(ReceiptPart {
            origin: None,
            units,
        })
    }

    /// Puts back what [`Self::take_leased`] or [`Self::take_fallback`] took. The fallback share itself
    /// gets nothing back; its use is no longer reported.
    pub(super) fn put_back(&mut self, part: ReceiptPart) {
        match part.origin {
            Some(origin) => self.leases.put_back(origin, part.units),
            None => {
                self.unreported_fallback = self.unreported_fallback.saturating_sub(part.units);
            }
        }
    }

    /// Adds granted units.
    pub(super) fn add_lease(&mut self, origin: LeaseOrigin, units: MilliUnits) {
        self.leases.add(origin, units);
    }

    /// Removes leases that are used up, and those that expired too long ago to be returned.
    pub(super) fn remove_finished_leases(&mut self, now: Micros, settings: &HolderSettings) {
        self.leases.remove_finished(now, settings.lease);
    }

    /// Returns whether an expired lease has unused units.
    pub(super) fn has_expired(&self, now: Micros) -> bool {
        self.leases.has_expired(now)
    }

    /// Removes the expired leases and returns the unused units that this process of the allocator
    /// granted.
    pub(super) fn take_expired(
        &mut self,
        now: Micros,
        allocator: u32,
        incarnation: u64,
    ) -> Vec<ReturnedUnits> {
        let expired = self.leases.take_expired(now, allocator, incarnation);
        if expired.mostly_unused {
            self.demand.lower_forecast();
        }
        expired.returned
    }

    /// Returns the units to request besides those that requests wait for: the expected use within a
    /// lease duration, less what is leased for long enough.
    pub(super) fn expected(
        &self,
        now: Micros,
        waiting: MilliUnits,
        settings: &HolderSettings,
    ) -> MilliUnits {
        if now < self.held_off_until {
            return 0;
        }
        let forecast = self
            .demand
            .forecast(now, waiting, self.limits.burst, settings.lease);
        forecast.saturating_sub(self.leased(now.saturating_add(renewal_time(settings))))
    }

    /// Returns whether the leases will be used up or expire before a later report could renew them.
    pub(super) fn wants_renewal(&self, now: Micros, settings: &HolderSettings) -> bool {
        let renewal_time = renewal_time(settings);
        let leased_then = self.leased(now.saturating_add(renewal_time));
        let used_until_then = self.demand.decayed(now, settings.lease) * renewal_time as f32
            / settings.lease.max(1) as f32;
        (leased_then as f32) < used_until_then && self.expected(now, 0, settings) > 0
    }

    /// Returns when the account is to be checked next.
    pub(super) fn next_timer(&self, now: Micros, settings: &HolderSettings) -> Micros {
        let deadline = self
            .leases
            .next_deadline(now, renewal_time(settings), settings.lease);
        if let Some(deadline) = deadline {
            return deadline;
        }
        let idle_at = self.idle_at(settings);
        if idle_at > now {
            idle_at.min(now.saturating_add(MAX_CHECK_LEASES * settings.lease))
        } else {
            now.saturating_add(settings.interval)
        }
    }

    /// Returns whether the account can be removed. Its fallback share is full, so an account opened
    /// anew would not hold more.
    pub(super) fn is_idle(&mut self, now: Micros, settings: &HolderSettings) -> bool {
        let limits = self.fallback_limits(settings);
        let fallback_full = self.fallback.is_full(now, limits);
        let unused_since = self.demand.last_use().saturating_add(settings.lease);
        fallback_full && self.is_unused(now) && now >= unused_since
    }

    /// Returns whether the account has no leased units, no hold-off and nothing to report.
    pub(super) fn is_unused(&self, now: Micros) -> bool {
        self.leases.is_used_up() && self.unreported_fallback == 0 && now >= self.held_off_until
    }

    /// Returns the bytes on the heap.
    pub(super) fn heap_bytes(&self) -> usize {
        self.leases.heap_bytes()
    }

    /// Returns when the account can be removed if it is not used until then.
    fn idle_at(&self, settings: &HolderSettings) -> Micros {
        self.fallback
            .full_at(self.fallback_limits(settings))
            .max(self.demand.last_use().saturating_add(settings.lease))
            .max(self.held_off_until)
    }

    fn fallback_limits(&self, settings: &HolderSettings) -> FallbackLimits {
        FallbackLimits::new(self.limits, self.limiter_count, settings)
    }
}

fn renewal_time(settings: &HolderSettings) -> Micros {
    RENEWAL_INTERVALS * settings.interval
}
