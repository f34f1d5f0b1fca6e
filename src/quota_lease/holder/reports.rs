//! Reports: the accounts that are due for one allocator.

use super::lease_set::ReturnedUnits;
use super::leased_account::{LeasedAccount, ReportDue};
use super::Holder;
use crate::decision::Micros;
use crate::quota_lease::message::{
    AccountKey, MilliUnits, Report, ReportEntry, MAX_ENTRIES, MAX_PLANS, MAX_UNITS,
};
use crate::quota_lease::placement;

/// Entries that one account may need in a report.
const ENTRIES_PER_ACCOUNT: usize = 4;

impl Holder {
    /// Addresses a report and records that it is sent now.
    pub(super) fn send(&mut self, now: Micros, allocator: u32, mut report: Report) -> Report {
        let exchange = &mut self.exchanges[allocator as usize];
        exchange.address(&mut report, &self.settings);
        report.leave_out_zeros();
        self.figures.reports += 1;
        self.figures.entries += report.accounts.len() as u64;
        exchange.record_sent(now, report.clone());
        report
    }

    /// Returns a report with the accounts that are due for an allocator. Those that do not fit remain
    /// due.
    pub(super) fn collect_report(&mut self, now: Micros, allocator: u32) -> Report {
        let mut report = Report::default();
        for key in self.exchanges[allocator as usize].take_due() {
            let full = report.accounts.len() + ENTRIES_PER_ACCOUNT > MAX_ENTRIES
                || report.plans.len() >= MAX_PLANS;
            let Some(account) = self.accounts.get_mut(&key) else {
                continue;
            };
            let due = std::mem::take(&mut account.report_due);
            if due == ReportDue::No {
                continue;
            }
            let owner = placement::owner(key, self.settings.allocators, self.reassigned);
            if full || owner != Some(allocator) {
                self.mark_due(key, due);
                continue;
            }
            self.add_entries(now, allocator, key, &mut report);
            self.set_timer(now, key);
        }
        report
    }

    /// Adds the entries of one account: the returned units, then what is requested.
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
            expected: account.expected(now, waiting, &settings),
            ..ReportEntry::new(key, account.limits)
        };
        // Use of the fallback share can be reported only to a process that is known.
        if incarnation != 0 {
            entry.beyond = std::mem::take(&mut account.unreported_fallback);
            self.unreported.remove(&key);
        }
        self.figures.returned += returned.iter().map(|part| part.units).sum::<MilliUnits>();
        if let Some(last) = returned.pop() {
            entry.returned = last.units;
            entry.returned_slot = last.slot;
        }
        push_returned(account, key, &returned, report);
        // An entry without a request asks for the incarnation, so that use can be reported to it.
        let is_empty = entry == ReportEntry::new(key, account.limits);
        if !is_empty || account.unreported_fallback > 0 {
            report.push(&entry);
        }
        if self.has_unrequested_waiter(key) {
            self.mark_due(key, ReportDue::Immediately);
        }
    }

    /// Marks the waiting requests of an account as requested from an allocator, as far as the sum of
    /// their units fits into a report, and returns that sum.
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

    fn has_unrequested_waiter(&self, key: AccountKey) -> bool {
        self.waiters
            .get(&key)
            .into_iter()
            .flatten()
            .any(|waiter| waiter.requested_from.is_none())
    }
}

/// Adds an entry for each return. They come before the request, as the allocator processes entries in
/// order and returned units can be granted again.
fn push_returned(
    account: &LeasedAccount,
    key: AccountKey,
    returned: &[ReturnedUnits],
    report: &mut Report,
) {
    for part in returned {
        report.push(&ReportEntry {
            returned: part.units,
            returned_slot: part.slot,
            ..ReportEntry::new(key, account.limits)
        });
    }
}
