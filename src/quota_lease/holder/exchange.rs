//! The exchange of reports and grants with one allocator: the report in flight, whether the
//! allocator is available, and the accounts that are due for the next report.

use super::leased_account::ReportDue;
use super::settings::HolderSettings;
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, Report, FORMAT};

/// A report that has been sent and not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct ReportInFlight {
    pub(super) report: Report,
    /// Time at which the report was sent first.
    pub(super) first_sent: Micros,
    /// Time at which the report or its latest retry was sent.
    last_sent: Micros,
}

/// Next step of the exchange with an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is to be done yet.
    Wait,
    /// Send the report in flight again.
    Retry,
    /// Send a report with all accounts that are due.
    Report,
    /// Send a report without entries, to find out whether the allocator is available, or which
    /// allocators are reassigned.
    Probe,
}

/// The exchange with one allocator.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    /// Incarnation of the allocator in its last answer; 0 before the first answer.
    pub(super) incarnation: u64,
    pub(super) in_flight: Option<ReportInFlight>,
    /// Time at which the allocator is to be probed again. Set while it does not answer or holds no
    /// lease.
    unavailable_until: Option<Micros>,
    /// Sequence number of the last report; 0 before the first.
    sequence: u64,
    /// Time at which the last report was first sent.
    last_report: Option<Micros>,
    /// Accounts with [`ReportDue::Immediately`].
    due_immediately: Vec<AccountKey>,
    /// Accounts with [`ReportDue::NextInterval`].
    due_next_interval: Vec<AccountKey>,
}

impl Exchange {
    /// Returns whether the allocator is considered available.
    pub(super) fn is_available(&self) -> bool {
        self.unavailable_until.is_none()
    }

    /// Returns whether the report with this sequence number is in flight.
    pub(super) fn is_in_flight(&self, sequence: u64) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.report.sequence == sequence)
    }

    /// Returns whether the report in flight has not been answered within
    /// [`HolderSettings::unavailable_after`].
    pub(super) fn is_overdue(&self, now: Micros, settings: &HolderSettings) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| {
            now >= in_flight
                .first_sent
                .saturating_add(settings.unavailable_after)
        })
    }

    /// Abandons the report in flight, and marks the allocator as unavailable until it is probed at
    /// `probe_at`.
    pub(super) fn set_unavailable(&mut self, probe_at: Micros) {
        self.in_flight = None;
        self.unavailable_until = Some(probe_at);
    }

    /// Records that the allocator answers and holds its lease.
    pub(super) fn set_available(&mut self) {
        self.unavailable_until = None;
    }

    /// Adds an account to those that are due for the next report.
    pub(super) fn add_due(&mut self, account: AccountKey, due: ReportDue) {
        match due {
            ReportDue::No => {}
            ReportDue::NextInterval => self.due_next_interval.push(account),
            ReportDue::Immediately => self.due_immediately.push(account),
        }
    }

    /// Removes and returns the accounts that are due, beginning with those for which requests are
    /// waiting.
    pub(super) fn take_due(&mut self) -> Vec<AccountKey> {
        let mut due = std::mem::take(&mut self.due_immediately);
        due.append(&mut self.due_next_interval);
        due
    }

    /// Returns the step to take now. `probe_when_idle` is set while any allocator is unavailable:
    /// the available ones are then probed even without accounts that are due, as their answers
    /// contain which allocators are reassigned.
    pub(super) fn step(
        &self,
        now: Micros,
        probe_when_idle: bool,
        settings: &HolderSettings,
    ) -> Step {
        if let Some(in_flight) = &self.in_flight {
            let retry_at = in_flight
                .last_sent
                .saturating_add(settings.retry_report_after);
            return if now >= retry_at {
                Step::Retry
            } else {
                Step::Wait
            };
        }
        if now < self.next_wake(probe_when_idle, settings) {
            return Step::Wait;
        }
        let nothing_due = self.due_immediately.is_empty() && self.due_next_interval.is_empty();
        if nothing_due || !self.is_available() {
            Step::Probe
        } else {
            Step::Report
        }
    }

    /// Returns the time of the next step; [`Micros::MAX`] if there is none.
    pub(super) fn next_wake(&self, probe_when_idle: bool, settings: &HolderSettings) -> Micros {
        if let Some(in_flight) = &self.in_flight {
            let retry_at = in_flight
                .last_sent
                .saturating_add(settings.retry_report_after);
            return retry_at.min(
                in_flight
                    .first_sent
                    .saturating_add(settings.unavailable_after),
            );
        }
        if let Some(probe_at) = self.unavailable_until {
            return probe_at;
        }
        if !self.due_immediately.is_empty() {
            self.after_last_report(settings.min_report_spacing)
        } else if !self.due_next_interval.is_empty() {
            self.after_last_report(settings.report_interval)
        } else if probe_when_idle {
            self.after_last_report(settings.probe_after)
        } else {
            Micros::MAX
        }
    }

    /// Returns the time `delay` after the last report; 0 if there was none.
    fn after_last_report(&self, delay: Micros) -> Micros {
        self.last_report
            .map_or(0, |last| last.saturating_add(delay))
    }

    /// Sets the format, sender, receiver and sequence number of a new report.
    pub(super) fn address(&self, report: &mut Report, settings: &HolderSettings) {
        report.format = FORMAT;
        report.limiter = settings.limiter;
        report.incarnation = settings.incarnation;
        report.sequence = self.sequence + 1;
        report.addressed_to = self.incarnation;
    }

    /// Records that a new report is sent at `now`.
    pub(super) fn record_sent(&mut self, now: Micros, report: Report) {
        self.sequence = report.sequence;
        self.last_report = Some(now);
        self.in_flight = Some(ReportInFlight {
            report,
            first_sent: now,
            last_sent: now,
        });
    }

    /// Returns the report in flight, if any, for a retry that is sent at `now`.
    pub(super) fn retry(&mut self, now: Micros) -> Option<Report> {
        let in_flight = self.in_flight.as_mut()?;
        in_flight.last_sent = now;
        Some(in_flight.report.clone())
    }
}
