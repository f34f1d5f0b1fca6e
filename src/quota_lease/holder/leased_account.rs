//! A limiter's state of one account: the leases, the forecast of use, and the fallback share.

use super::demand::Demand;
use super::fallback::{FallbackExhausted, FallbackLimits, FallbackShare};
use super::lease_set::{LeaseSet, ReturnedUnits};
use super::receipt::{LeaseOrigin, ReceiptPart};
use super::settings::HolderSettings;
use crate::decision::Micros;
use crate::quota_lease::message::{MilliUnits, PlanLimits};

/// Number of report intervals by which a lease is renewed before its end, or before its units are
/// expected to be used up.
const RENEWAL_INTERVALS: u64 = 2;
/// Maximum time between two checks of an account, in lease durations.
const MAX_CHECK_INTERVAL_LEASES: u64 = 64;

/// Whether and when the next report to an account's owner is to include the account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReportDue {
    /// The report need not include the account.
    #[default]
    No,
    /// The report is to be sent at the next report interval.
    NextInterval,
    /// The report is to be sent as soon as possible, as requests are waiting.
    Immediately,
}

/// The state of one account.
#[derive(Clone, Debug)]
pub(super) struct LeasedAccount {
    pub(super) limits: PlanLimits,
    /// Number of limiters that receive the account's requests.
    limiter_count: u32,
    pub(super) report_due: ReportDue,
    demand: Demand,
    leases: LeaseSet,
    fallback: FallbackShare,
    /// Used units of the fallback share that have not been reported yet.
    pub(super) unreported_fallback: MilliUnits,
    /// Time before which the owner has no units for this limiter.
    pub(super) held_off_until: Micros,
    /// Time at which the account is to be checked next; [`Micros::MAX`] if no timer is set.
    pub(super) timer: Micros,
}

impl LeasedAccount {
    /// Returns an account that is first used at `now` and whose fallback share was empty at
    /// `fallback_empty_since`.
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

    /// Sets the limits of the account's plan and the number of limiters, as configured for the
    /// latest request.
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

    /// Records a request in the demand. Its units are not counted while the account is held off.
    pub(super) fn record_demand(
        &mut self,
        now: Micros,
        units: MilliUnits,
        settings: &HolderSettings,
    ) {
        let counted = if now < self.held_off_until { 0 } else { units };
        self.demand.record(now, units, counted, settings.lease);
    }

    /// Returns the unused units of leases that have not expired.
    pub(super) fn leased(&self, now: Micros) -> MilliUnits {
        self.leases.units(now)
    }

    /// Takes units from leases. Takes nothing and returns `None` if they hold too few units.
    pub(super) fn take_leased(
        &mut self,
        now: Micros,
        units: MilliUnits,
        settings: &HolderSettings,
    ) -> Option<Vec<ReceiptPart>> {
        let taken = self.leases.take(now, units, settings.lease)?;
        // During the first lease duration, the forecast already extrapolates the use so far.
        let forecast_too_low = taken.used_up_early
            && self.demand.is_established(now, settings.lease)
            && self.leased(now) == 0;
        if forecast_too_low {
            self.demand.raise_forecast();
        }
        let limits = self.fallback_limits(settings);
        self.fallback.deduct_leased(now, units, limits);
        Some(taken.parts)
    }

    /// Takes units from the fallback share.
    ///
    /// # Errors
    ///
    /// If the fallback share holds too few units.
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

    /// Puts back units that [`Self::take_leased`] or [`Self::take_fallback`] took. Units of the
    /// fallback share are only removed from the use that is still to be reported; the share itself
    /// is not refilled.
    pub(super) fn put_back(&mut self, part: ReceiptPart) {
        match part.origin {
            Some(origin) => self.leases.put_back(origin, part.units),
            None => {
                self.unreported_fallback = self.unreported_fallback.saturating_sub(part.units);
            }
        }
    }

    /// Adds a lease with granted units.
    pub(super) fn add_lease(&mut self, origin: LeaseOrigin, units: MilliUnits) {
        self.leases.add(origin, units);
    }

    /// Removes leases that are used up, and those whose units can no longer be returned because
    /// they expired too long ago.
    pub(super) fn remove_finished_leases(&mut self, now: Micros, settings: &HolderSettings) {
        self.leases.remove_finished(now, settings.lease);
    }

    /// Returns whether an expired lease has unused units.
    pub(super) fn has_expired(&self, now: Micros) -> bool {
        self.leases.has_expired(now)
    }

    /// Removes the expired leases and returns the unused units that the given incarnation of the
    /// allocator granted.
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

    /// Returns the units to request in addition to the `waiting` ones: the use that is expected
    /// within a lease duration, less the units of leases that do not expire within the renewal
    /// time.
    pub(super) fn expected_units(
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

    /// Returns whether the leases are expected to be used up or expire before a later report could
    /// renew them.
    pub(super) fn wants_renewal(&self, now: Micros, settings: &HolderSettings) -> bool {
        let renewal_time = renewal_time(settings);
        let leased_at_renewal = self.leased(now.saturating_add(renewal_time));
        let used_until_renewal = self.demand.decayed_use(now, settings.lease) * renewal_time as f32
            / settings.lease.max(1) as f32;
        (leased_at_renewal as f32) < used_until_renewal && self.expected_units(now, 0, settings) > 0
    }

    /// Returns the time at which the account is to be checked next.
    pub(super) fn next_timer(&self, now: Micros, settings: &HolderSettings) -> Micros {
        let deadline = self
            .leases
            .next_deadline(now, renewal_time(settings), settings.lease);
        if let Some(deadline) = deadline {
            return deadline;
        }
        let idle_at = self.idle_at(settings);
        if idle_at > now {
            idle_at.min(now.saturating_add(MAX_CHECK_INTERVAL_LEASES * settings.lease))
        } else {
            now.saturating_add(settings.report_interval)
        }
    }

    /// Returns whether the account can be removed. That requires a full fallback share, so that the
    /// share of an account created later will not hold more units.
    pub(super) fn is_idle(&mut self, now: Micros, settings: &HolderSettings) -> bool {
        let limits = self.fallback_limits(settings);
        let fallback_full = self.fallback.is_full(now, limits);
        let idle_from = self.demand.last_use().saturating_add(settings.lease);
        fallback_full && self.is_unused(now) && now >= idle_from
    }

    /// Returns whether the account has no leased units, no use to report, and is not held off.
    pub(super) fn is_unused(&self, now: Micros) -> bool {
        self.leases.is_used_up() && self.unreported_fallback == 0 && now >= self.held_off_until
    }

    /// Returns the number of bytes that the account occupies on the heap.
    pub(super) fn heap_bytes(&self) -> usize {
        self.leases.heap_bytes()
    }

    /// Returns the time at which the account can be removed if it is not used until then.
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

/// Returns the time by which a lease is renewed before its end, or before its units are expected to be
/// used up.
fn renewal_time(settings: &HolderSettings) -> Micros {
    RENEWAL_INTERVALS * settings.report_interval
}
