//! Reports: their entries for the accounts that are due for an allocator.

use super::lease_set::ReturnedUnits;
use super::leased_account::{LeasedAccount, ReportDue};
use super::Holder;
use crate::decision::Micros;
use crate::quota_lease::message::{
    AccountKey, MilliUnits, Report, ReportEntry, MAX_ENTRIES, MAX_PLANS, MAX_UNITS,
};
use crate::quota_lease::placement;

/// Maximum number of entries that one account needs in a report: one for each lease whose units are
/// returned.
const ENTRIES_PER_ACCOUNT: usize = 4;

impl Holder {
    /// Addresses a report that the caller sends at `now`, counts it and records it as in flight.
    pub(super) fn finish_report(
        &mut self,
        now: Micros,
        allocator: u32,
        mut report: Report,
    ) -> Report {
        let exchange = &mut self.exchanges[allocator as usize];
        exchange.address(&mut report, &self.settings);
        report.omit_zero_columns();
        self.metrics.reports += 1;
        self.metrics.entries += report.accounts.len() as u64;
        exchange.record_sent(now, report.clone());
        report
    }

    /// Returns a report with the accounts that are due for an allocator. Accounts that do not fit
    /// remain due.
    pub(super) fn build_report(&mut self, now: Micros, allocator: u32) -> Report {
        let mut report = Report::default();
        for key in self.exchanges[allocator as usize].take_due() {
            let is_full = report.accounts.len() + ENTRIES_PER_ACCOUNT > MAX_ENTRIES
                || report.plans.len() >= MAX_PLANS;
            let Some(account) = self.accounts.get_mut(&key) else {
                continue;
            };
            let due = std::mem::take(&mut account.report_due);
            if due == ReportDue::No {
                continue;
            }
            let owner = placement::owner(key, self.settings.allocators, self.reassigned);
            if is_full || owner != Some(allocator) {
                self.mark_due(key, due);
                continue;
            }
            self.add_entries(now, allocator, key, &mut report);
            self.set_timer(now, key);
        }
        report
    }

    /// Adds the entries of one account: first those with only returned units, then the one with the
    /// requested units, the last return and the use of the fallback share.
    fn add_entries(&mut self, now: Micros, allocator: u32, key: AccountKey, report: &mut Report) {
        let settings = self.settings;
        let incarnation = self.exchanges[allocator as usize].incarnation;
        let waiting = self.request_for_waiters(allocator, key);
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        let mut returned = account.take_expired(now, allocator, incarnation);
        account.remove_finished_leases(now, &settings);
        let mut entry = ReportEntry {
            waiting,
            expected: account.expected_units(now, waiting, &settings),
            ..ReportEntry::new(key, account.limits)
        };
        // Use of the fallback share is reported only to a known incarnation of the allocator.
        if incarnation != 0 {
            entry.fallback_used = std::mem::take(&mut account.unreported_fallback);
            self.unreported.remove(&key);
        }
        self.metrics.returned += returned.iter().map(|lease| lease.units).sum::<MilliUnits>();
        if let Some(last) = returned.pop() {
            entry.returned = last.units;
            entry.returned_slot = last.slot;
        }
        push_returned(account, key, &returned, report);
        // If use of the fallback share is still unreported, an empty entry is sent as well: its answer
        // contains the incarnation, to which the use can then be reported.
        let is_empty = entry == ReportEntry::new(key, account.limits);
        if !is_empty || account.unreported_fallback > 0 {
            report.push(&entry);
        }
        if self.has_unrequested_waiter(key) {
            self.mark_due(key, ReportDue::Immediately);
        }
    }

    /// Marks the units of an account's waiting requests as requested from an allocator, as far as
    /// their sum fits into a report. Returns that sum.
    fn request_for_waiters(&mut self, allocator: u32, key: AccountKey) -> MilliUnits {
        let mut units: MilliUnits = 0;
        for waiter in self.waiters.get_mut(&key).into_iter().flatten() {
            if waiter.requested_from.is_some() {
                continue;
            }
            if units.saturating_add(waiter.units) > MAX_UNITS {
                break;
            }
            units += waiter.units;
            waiter.requested_from = Some(allocator);
        }
        units
    }

    /// Returns whether a report has yet to request the units of a waiting request.
    fn has_unrequested_waiter(&self, key: AccountKey) -> bool {
        self.waiters
            .get(&key)
            .into_iter()
            .flatten()
            .any(|waiter| waiter.requested_from.is_none())
    }
}

/// Adds an entry for the returned units of each lease. They precede the entry with the request,
/// because the allocator processes entries in order and can grant the returned units again.
fn push_returned(
    account: &LeasedAccount,
    key: AccountKey,
    returned: &[ReturnedUnits],
    report: &mut Report,
) {
    for lease in returned {
        report.push(&ReportEntry {
            returned: lease.units,
            returned_slot: lease.slot,
            ..ReportEntry::new(key, account.limits)
        });
    }
}
