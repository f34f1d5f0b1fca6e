//! Reports: all that is due for one allocator.

use super::super::held::Due;
use super::super::message::{
    AccountKey, MilliUnits, Report, ReportEntry, MAX_ENTRIES, MAX_PLANS, MAX_UNITS,
};
use super::super::placement;
use super::Holder;
use crate::decision::Micros;

/// Entries that one account may need in a report.
const ENTRIES_PER_ACCOUNT: usize = 4;

impl Holder {
    pub(super) fn send(&mut self, now: Micros, allocator: u32, mut report: Report) -> Report {
        let exchange = &mut self.exchanges[allocator as usize];
        exchange.address(&mut report, &self.settings);
        report.leave_out_zeros();
        self.figures.reports += 1;
        self.figures.entries += report.accounts.len() as u64;
        exchange.sent(now, report.clone());
        report
    }

    /// All that is due for an allocator, as far as a report holds it.
    pub(super) fn report(&mut self, now: Micros, allocator: u32) -> Report {
        let mut report = Report::default();
        for key in self.exchanges[allocator as usize].take_due() {
            let full = report.accounts.len() + ENTRIES_PER_ACCOUNT > MAX_ENTRIES
                || report.plans.len() >= MAX_PLANS;
            let Some(account) = self.accounts.get_mut(&key) else {
                continue;
            };
            let due = std::mem::take(&mut account.due);
            if due == Due::No {
                continue;
            }
            let owner = placement::owner(key, self.settings.allocators, self.given_away);
            if full || owner != Some(allocator) {
                self.mark_due(key, due);
                continue;
            }
            self.add_entries(now, allocator, key, &mut report);
            self.set_timer(now, key);
        }
        report
    }

    pub(super) fn add_entries(
        &mut self,
        now: Micros,
        allocator: u32,
        key: AccountKey,
        report: &mut Report,
    ) {
        let settings = self.settings;
        let incarnation = self.exchanges[allocator as usize].incarnation;
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        let mut waiting: MilliUnits = 0;
        for waiter in self
            .waiters
            .get_mut(&key)
            .into_iter()
            .flatten()
            .filter(|waiter| waiter.asked.is_none())
        {
            if waiting.saturating_add(waiter.units) > MAX_UNITS {
                break;
            }
            waiting += waiter.units;
            waiter.asked = Some(allocator);
        }
        let mut returned = account.take_expired(now, allocator, incarnation);
        account.clean_up(now, &settings);
        let expected = account.expected(now, waiting, &settings);
        let mut entry = ReportEntry {
            waiting,
            expected,
            ..ReportEntry::new(key, account.limits)
        };
        if incarnation != 0 {
            entry.beyond = std::mem::take(&mut account.beyond);
            self.unreported.remove(&key);
        }
        self.figures.returned += returned.iter().map(|(units, _)| units).sum::<MilliUnits>();
        if let Some((units, slot)) = returned.pop() {
            (entry.returned, entry.returned_slot) = (units, slot);
        }
        // What is returned counts before anything is granted.
        for (units, slot) in returned {
            let more = ReportEntry::new(key, account.limits);
            report.push(&ReportEntry {
                returned: units,
                returned_slot: slot,
                ..more
            });
        }
        // One that can't tell of use beyond yet, as the allocator's process is not known, asks for nothing and hears of it.
        if entry != ReportEntry::new(key, account.limits) || account.beyond > 0 {
            report.push(&entry);
        }
        // Those that did not fit wait for the next report.
        if self
            .waiters
            .get(&key)
            .into_iter()
            .flatten()
            .any(|waiter| waiter.asked.is_none())
        {
            self.mark_due(key, Due::Now);
        }
    }
}
