//! One allocator as a limiter sees it: the report that is out to it, whether it answers, and what is due for it.

use super::held::Due;
use super::holder::HolderSettings;
use super::message::{AccountKey, Report, FORMAT};
use crate::decision::Micros;

/// A report that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct ReportOut {
    pub report: Report,
    pub first_sent: Micros,
    last_sent: Micros,
}

/// What is to be done about an allocator now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing yet.
    Wait,
    /// The report that is out is sent again.
    Repeat,
    /// A report with all that is due.
    Report,
    /// A report without entries: to hear whether it is back, or who is given away.
    Ask,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    /// Of the allocator's process, as heard last; 0 before.
    pub incarnation: u64,
    pub out: Option<ReportOut>,
    /// It does not answer, or holds no lease: it is asked again then.
    lost_until: Option<Micros>,
    sequence: u64,
    last_report: Option<Micros>,
    urgent: Vec<AccountKey>,
    later: Vec<AccountKey>,
}

impl Exchange {
    pub fn is_available(&self) -> bool {
        self.lost_until.is_none()
    }

    /// Is this the answer to what is out?
    pub fn is_out(&self, sequence: u64) -> bool {
        self.out
            .as_ref()
            .is_some_and(|out| out.report.sequence == sequence)
    }

    /// Has it not answered for too long?
    pub fn is_overdue(&self, now: Micros, settings: &HolderSettings) -> bool {
        self.out
            .as_ref()
            .is_some_and(|out| now >= out.first_sent.saturating_add(settings.lost_after))
    }

    pub fn lose(&mut self, retry_at: Micros) {
        self.out = None;
        self.lost_until = Some(retry_at);
    }

    pub fn recover(&mut self) {
        self.lost_until = None;
    }

    /// Notes an account for the next report.
    pub fn add_due(&mut self, account: AccountKey, due: Due) {
        match due {
            Due::No => {}
            Due::Later => self.later.push(account),
            Due::Now => self.urgent.push(account),
        }
    }

    /// Takes out the accounts that are due, first those for which requests wait.
    pub fn take_due(&mut self) -> Vec<AccountKey> {
        let mut due = std::mem::take(&mut self.urgent);
        due.append(&mut self.later);
        due
    }

    /// What to do now. `ask_for_news`: other allocators are lost, so that somebody has to tell who is given away.
    pub fn step(&self, now: Micros, ask_for_news: bool, settings: &HolderSettings) -> Step {
        if let Some(out) = &self.out {
            let repeat = now >= out.last_sent.saturating_add(settings.repeat_after);
            return if repeat { Step::Repeat } else { Step::Wait };
        }
        if now < self.wake(ask_for_news, settings) {
            return Step::Wait;
        }
        match self.lost_until {
            Some(_) => Step::Ask,
            None if self.urgent.is_empty() && self.later.is_empty() => Step::Ask,
            None => Step::Report,
        }
    }

    /// When there will be something to do.
    pub fn wake(&self, ask_for_news: bool, settings: &HolderSettings) -> Micros {
        if let Some(out) = &self.out {
            let repeat = out.last_sent.saturating_add(settings.repeat_after);
            return repeat.min(out.first_sent.saturating_add(settings.lost_after));
        }
        if let Some(retry_at) = self.lost_until {
            return retry_at;
        }
        let after = |span: Micros| self.last_report.map_or(0, |last| last.saturating_add(span));
        if !self.urgent.is_empty() {
            after(settings.spacing)
        } else if !self.later.is_empty() {
            after(settings.interval)
        } else if ask_for_news {
            after(settings.retry_after)
        } else {
            Micros::MAX
        }
    }

    /// Gives a report the sender and the next number.
    pub fn address(&self, report: &mut Report, settings: &HolderSettings) {
        report.format = FORMAT;
        report.limiter = settings.limiter;
        report.incarnation = settings.incarnation;
        report.sequence = self.sequence + 1;
        report.addressed_to = self.incarnation;
    }

    /// Notes that a report is sent for the first time.
    pub fn sent(&mut self, now: Micros, report: Report) {
        self.sequence = report.sequence;
        self.last_report = Some(now);
        self.out = Some(ReportOut {
            report,
            first_sent: now,
            last_sent: now,
        });
    }

    /// The report that is out, to be sent again.
    pub fn repeat(&mut self, now: Micros) -> Option<Report> {
        let out = self.out.as_mut()?;
        out.last_sent = now;
        Some(out.report.clone())
    }
}
