//! The allocator thread: it owns the [`Allocator`], processes reports and logs metrics.

use super::connections::Connections;
use super::input::Input;
use super::settings::ServerSettings;
use crate::clock::Clock;
use crate::decision::{Micros, QuotaShares};
use crate::quota_lease::allocator::{Allocator, AllocatorSettings, Ownership};
use crate::quota_lease::message::{Grant, Verdict};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use slog::{info, Logger};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Whether the thread continues after an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

/// Converts the leases of the fleet of allocators to the state that determines the ownership of
/// accounts.
pub(super) fn ownership_from_shares(shares: &QuotaShares) -> Ownership {
    let mut reassigned = 0;
    for (number, is_reassigned) in shares.reassigned.iter().enumerate() {
        if *is_reassigned {
            reassigned |= 1 << number;
        }
    }
    Ownership {
        reassigned,
        reassigned_until: shares.reassigned_until,
        lease_ends: shares.lease_ends,
    }
}

/// Counters of answered reports since the start of the process.
#[derive(Default)]
struct ReportCounters {
    reports: u64,
    entries: u64,
    /// Granted units in thousandths of a unit.
    granted: u64,
    /// Entries answered with [`Verdict::Exhausted`].
    exhausted: u64,
    /// Entries answered with [`Verdict::NotOwner`].
    not_owner: u64,
}

impl ReportCounters {
    fn count(&mut self, grant: &Grant) {
        self.reports += 1;
        for entry in grant.entries() {
            self.entries += 1;
            self.granted += entry.units;
            match entry.verdict {
                Verdict::Granted => {}
                Verdict::Exhausted => self.exhausted += 1,
                Verdict::NotOwner => self.not_owner += 1,
            }
        }
    }
}

/// The allocator's own lease.
#[derive(Default)]
struct OwnLease {
    /// Whether the lease was held when its state was last logged.
    logged_held: bool,
    /// End of the lease, as last received from the fleet.
    ends: Micros,
}

/// State of the allocator thread.
pub(super) struct AllocatorThread {
    allocator: Allocator,
    clock: Clock,
    connections: Arc<Connections>,
    counters: ReportCounters,
    lease: OwnLease,
    log_interval: Duration,
    log: Logger,
}

impl AllocatorThread {
    pub(super) fn new(
        settings: &ServerSettings,
        clock: Clock,
        connections: Arc<Connections>,
        log: Logger,
    ) -> Self {
        let allocator_settings = AllocatorSettings {
            limiters: settings.limiters,
            lease: settings.lifetime.as_micros() as Micros,
            max_accounts: settings.accounts,
            ..AllocatorSettings::default()
        };
        let incarnation = clock.now();
        Self {
            allocator: Allocator::new(
                settings.number,
                settings.allocators,
                incarnation,
                allocator_settings,
            ),
            clock,
            connections,
            counters: ReportCounters::default(),
            lease: OwnLease::default(),
            log_interval: settings.log_interval,
            log,
        }
    }

    /// Processes inputs until [`Input::Stop`], or until all senders of inputs have been dropped.
    pub(super) fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_metrics_log = Instant::now() + self.log_interval;
        loop {
            let flow = match inputs.recv_deadline(self.wake_at(next_metrics_log)) {
                Ok(input) => self.process(input),
                Err(RecvTimeoutError::Timeout) => Flow::Continue,
                Err(RecvTimeoutError::Disconnected) => Flow::Stop,
            };
            if flow == Flow::Stop {
                return;
            }
            self.log_lease_change();
            if Instant::now() >= next_metrics_log {
                self.log_metrics();
                next_metrics_log = Instant::now() + self.log_interval;
            }
        }
    }

    /// Returns the next time at which the thread must run even without an input: to log metrics, or
    /// to log the end of the allocator's own lease.
    fn wake_at(&self, next_metrics_log: Instant) -> Instant {
        if self.lease.logged_held {
            next_metrics_log.min(self.clock.instant_of(self.lease.ends))
        } else {
            next_metrics_log
        }
    }

    fn process(&mut self, input: Input) -> Flow {
        let now = self.clock.now();
        match input {
            Input::Report { report, answer } => {
                let grant = self.allocator.on_report(now, &report);
                if let Ok(grant) = &grant {
                    self.counters.count(grant);
                }
                // Sending fails if the thread of the connection has ended.
                _ = answer.send(grant);
            }
            Input::Undecodable(reason) => self.allocator.count_dropped(&reason),
            Input::Ownership(ownership) => {
                self.lease.ends = ownership.lease_ends;
                self.allocator.set_ownership(now, ownership);
            }
            Input::Stop(done) => {
                self.log_metrics();
                // Sending fails if the shutdown has stopped waiting.
                _ = done.send(());
                return Flow::Stop;
            }
        }
        Flow::Continue
    }

    /// Logs whether the allocator holds its own lease, if that has changed.
    fn log_lease_change(&mut self) {
        let held = self.allocator.is_serving(self.clock.now());
        if held != self.lease.logged_held {
            self.lease.logged_held = held;
            info!(self.log, "own lease"; "held" => held);
        }
    }

    /// Logs all metrics. Their names are an interface for operators.
    fn log_metrics(&self) {
        let now = self.clock.now();
        let counters = &self.counters;
        let dropped = self.allocator.dropped();
        let connections = self.connections.counters.snapshot();
        info!(self.log, "figures";
            "serving" => self.allocator.is_serving(now),
            "accounts" => self.allocator.accounts(),
            "connections" => connections.open,
            "reports" => counters.reports,
            "entries" => counters.entries,
            "granted_milli_units" => counters.granted,
            "exhausted" => counters.exhausted,
            "not_owner" => counters.not_owner,
            "dropped_too_long" => dropped.too_long + connections.too_long,
            "dropped_malformed" => dropped.malformed + connections.empty,
            "dropped_format" => dropped.format,
            "dropped_entries" => dropped.entries,
            "dropped_unknown_sender" => dropped.unknown_sender,
            "dropped_outdated" => dropped.outdated,
            "closed_refused" => connections.refused,
            "closed_idle" => connections.idle,
            "closed_slow" => connections.frame_timeout,
            "closed_cut" => connections.truncated,
            "closed_failed" => connections.failed);
    }
}
