//! Counts of a quota run, the same for every mechanism.

use crate::audit::QuotaAudit;
use crate::error::LabError;
use crate::population::Population;
use hdrhistogram::Histogram;
use mossrill::decision::Micros;
use std::sync::Arc;

/// Upper bound of the wait histogram in µs; longer waits are recorded as this one.
const MAX_WAIT_US: u64 = 60_000_000;

/// Running totals.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests received.
    pub requests: u64,
    /// Requests sent upstream.
    pub sent: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that waited for an answer from a control machine.
    pub waited: u64,
    /// Requests for which no limiter was running.
    pub unserved: u64,
    /// Messages sent by limiters.
    pub messages: u64,
    /// Bytes sent by limiters.
    pub bytes_up: u64,
    /// Bytes sent to limiters.
    pub bytes_down: u64,
    /// Messages received, by control machine.
    pub machine_messages: Vec<u64>,
}

/// The counts of one run of a mechanism.
pub struct QuotaLog {
    population: Arc<Population>,
    /// Running totals.
    pub totals: Totals,
    /// Waits of requests for a control machine in µs.
    pub waits: Histogram<u64>,
    /// Audit against `rate * t + burst`.
    pub audit: QuotaAudit,
    /// Audit against `rate * (t + lease) + burst`, the bound that leases guarantee while nothing
    /// fails.
    pub lease_bound_audit: QuotaAudit,
}

impl QuotaLog {
    /// Creates a log without counts. `lease_s` is the length of a lease in seconds.
    pub fn new(population: Arc<Population>, machines: u32, lease_s: f64) -> Result<Self, LabError> {
        let totals = Totals {
            machine_messages: vec![0; machines as usize],
            ..Totals::default()
        };
        let waits = Histogram::new_with_bounds(1, MAX_WAIT_US, 3)?;
        let (audit, lease_bound_audit) = (QuotaAudit::default(), QuotaAudit::with_slack(lease_s));
        Ok(Self {
            population,
            totals,
            waits,
            audit,
            lease_bound_audit,
        })
    }

    /// Counts a request that was sent upstream; `waited` is its wait for a control machine in µs.
    pub fn sent(&mut self, now: Micros, tenant: usize, units: f64, waited: Option<Micros>) {
        let plan = self.population.plan(tenant);
        self.totals.sent += 1;
        self.audit.sent(now, tenant, units, plan);
        self.lease_bound_audit.sent(now, tenant, units, plan);
        self.decided(waited);
    }

    /// Counts a request that was refused; `waited` is its wait for a control machine in µs.
    pub fn refused(&mut self, waited: Option<Micros>) {
        self.totals.refused += 1;
        self.decided(waited);
    }

    fn decided(&mut self, waited: Option<Micros>) {
        if let Some(waited) = waited {
            self.totals.waited += 1;
            self.waits.saturating_record(waited);
        }
    }

    /// Counts a message of `bytes` bytes that a limiter sent.
    pub fn message_up(&mut self, bytes: usize) {
        self.totals.messages += 1;
        self.totals.bytes_up += bytes as u64;
    }

    /// Counts a message that a control machine received.
    pub fn message_arrived(&mut self, machine: u32) {
        self.totals.machine_messages[machine as usize] += 1;
    }

    /// Counts a message of `bytes` bytes that a control machine sent.
    pub fn message_down(&mut self, bytes: usize) {
        self.totals.bytes_down += bytes as u64;
    }
}
