//! The exchange of reports and grants with one allocator: the report in flight, whether the allocator is
//! available, and the accounts that are due for the next report.

use super::leased_account::ReportDue;
use super::settings::HolderSettings;
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, Report, FORMAT};

/// A report that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct ReportInFlight {
    pub(super) report: Report,
    pub(super) first_sent: Micros,
    last_sent: Micros,
}

/// What is to be done for an allocator now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing yet.
    Wait,
    /// Send the report in flight again.
    Retry,
    /// Send a report with all accounts that are due.
    Report,
    /// Send a report without entries, to learn whether the allocator is available or which allocators
    /// are reassigned.
    Probe,
}

/// The exchange with one allocator.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    /// Incarnation of the allocator in its last answer, 0 before the first.
    pub(super) incarnation: u64,
    pub(super) in_flight: Option<ReportInFlight>,
    /// Set while the allocator does not answer or holds no lease: when to probe it again.
    unavailable_until: Option<Micros>,
    /// Sequence number of the last report.
    sequence: u64,
    last_report: Option<Micros>,
    due_immediately: Vec<AccountKey>,
    due_next_interval: Vec<AccountKey>,
}

impl Exchange {
    /// Returns whether the allocator answers, as far as is known.
    pub(super) fn is_available(&self) -> bool {
        self.unavailable_until.is_none()
    }

    /// Returns whether the report with this sequence number is in flight.
    pub(super) fn is_in_flight(&self, sequence: u64) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.report.sequence == sequence)
    }

    /// Returns whether the report in flight has timed out.
    pub(super) fn is_overdue(&self, now: Micros, settings: &HolderSettings) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| {
            now >= in_flight.first_sent.saturating_add(settings.lost_after)
        })
    }

    /// Gives up the report in flight and probes the allocator at `retry_at`.
    pub(super) fn set_unavailable(&mut self, retry_at: Micros) {
        self.in_flight = None;
        self.unavailable_until = Some(retry_at);
    }

    /// Records that the allocator answers and holds its lease.
    pub(super) fn set_available(&mut self) {
        self.unavailable_until = None;
    }

    /// Adds an account to the next report.
    pub(super) fn add_due(&mut self, account: AccountKey, due: ReportDue) {
        match due {
            ReportDue::No => {}
            ReportDue::NextInterval => self.due_next_interval.push(account),
            ReportDue::Immediately => self.due_immediately.push(account),
        }
    }

    /// Removes and returns the accounts that are due, first those for which requests wait.
    pub(super) fn take_due(&mut self) -> Vec<AccountKey> {
        let mut due = std::mem::take(&mut self.due_immediately);
        due.append(&mut self.due_next_interval);
        due
    }

    /// Returns what to do now. `probe_when_idle` is set while another allocator is unavailable, as the
    /// available ones know which are reassigned.
    pub(super) fn step(
        &self,
        now: Micros,
        probe_when_idle: bool,
        settings: &HolderSettings,
    ) -> Step {
        if let Some(in_flight) = &self.in_flight {
            let retry_at = in_flight.last_sent.saturating_add(settings.repeat_after);
            return if now >= retry_at {
                Step::Retry
            } else {
                Step::Wait
            };
        }
        if now < self.wake(probe_when_idle, settings) {
            return Step::Wait;
        }
        let nothing_due = self.due_immediately.is_empty() && self.due_next_interval.is_empty();
        if nothing_due || !self.is_available() {
            Step::Probe
        } else {
            Step::Report
        }
    }

    /// Returns when there will be something to do, [`Micros::MAX`] for never.
    pub(super) fn wake(&self, probe_when_idle: bool, settings: &HolderSettings) -> Micros {
        if let Some(in_flight) = &self.in_flight {
            let retry_at = in_flight.last_sent.saturating_add(settings.repeat_after);
            return retry_at.min(in_flight.first_sent.saturating_add(settings.lost_after));
        }
        if let Some(retry_at) = self.unavailable_until {
            return retry_at;
        }
        if !self.due_immediately.is_empty() {
            self.after_last_report(settings.spacing)
        } else if !self.due_next_interval.is_empty() {
            self.after_last_report(settings.interval)
        } else if probe_when_idle {
            self.after_last_report(settings.retry_after)
        } else {
            Micros::MAX
        }
    }

    fn after_last_report(&self, delay: Micros) -> Micros {
        self.last_report
            .map_or(0, |last| last.saturating_add(delay))
    }

    /// Sets the sender, receiver and sequence number of a new report.
    pub(super) fn address(&self, report: &mut Report, settings: &HolderSettings) {
        report.format = FORMAT;
        report.limiter = settings.limiter;
        report.incarnation = settings.incarnation;
        report.sequence = self.sequence + 1;
        report.addressed_to = self.incarnation;
    }

    /// Records that a new report is sent.
    pub(super) fn record_sent(&mut self, now: Micros, report: Report) {
        self.sequence = report.sequence;
        self.last_report = Some(now);
        self.in_flight = Some(ReportInFlight {
            report,
            first_sent: now,
            last_sent: now,
        });
    }

    /// Returns the report in flight for a retry that is sent now.
    pub(super) fn retry(&mut self, now: Micros) -> Option<Report> {
        let in_flight = self.in_flight.as_mut()?;
        in_flight.last_sent = now;
        Some(in_flight.report.clone())
    }
}
