//! What a quota play counts, whatever mechanism keeps the quotas.

use crate::audit::QuotaAudit;
use crate::error::LabError;
use crate::population::Population;
use hdrhistogram::Histogram;
use mossrill::decision::Micros;
use std::sync::Arc;

/// The longest wait that is told apart, in µs.
const LONGEST_WAIT_US: u64 = 60_000_000;

/// Running totals.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests that came.
    pub requests: u64,
    /// Requests sent on.
    pub sent: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that waited for an answer of a control machine.
    pub waited: u64,
    /// Requests for which no limiter was up.
    pub unserved: u64,
    /// Messages from limiters.
    pub messages: u64,
    /// Bytes from limiters.
    pub bytes_up: u64,
    /// Bytes to limiters.
    pub bytes_down: u64,
    /// Messages that came to each control machine.
    pub machine_messages: Vec<u64>,
}

/// The counts of one play.
pub struct QuotaLog {
    population: Arc<Population>,
    /// Running totals.
    pub totals: Totals,
    /// Waits in µs.
    pub waits: Histogram<u64>,
    /// Against `rate * t + burst`.
    pub audit: QuotaAudit,
    /// Against the bound that leases state without a fault: `rate * (t + lease) + burst`.
    pub lease_bound_audit: QuotaAudit,
}

impl QuotaLog {
    /// Nothing counted yet.
    pub fn new(population: Arc<Population>, machines: u32, lease_s: f64) -> Result<Self, LabError> {
        let totals = Totals {
            machine_messages: vec![0; machines as usize],
            ..Totals::default()
        };
        let waits = Histogram::new_with_bounds(1, LONGEST_WAIT_US, 3)?;
        let (audit, lease_bound_audit) = (QuotaAudit::default(), QuotaAudit::with_slack(lease_s));
        Ok(Self {
            population,
            totals,
            waits,
            audit,
            lease_bound_audit,
        })
    }

    /// A request was sent on.
    pub fn sent(&mut self, now: Micros, tenant: usize, units: f64, waited: Option<Micros>) {
        let plan = self.population.plan(tenant);
        self.totals.sent += 1;
        self.audit.sent(now, tenant, units, plan);
        self.lease_bound_audit.sent(now, tenant, units, plan);
        self.decided(waited);
    }

    /// A request was refused.
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

    /// A limiter sent a message of so many bytes.
    pub fn message_up(&mut self, bytes: usize) {
        self.totals.messages += 1;
        self.totals.bytes_up += bytes as u64;
    }

    /// A message came to a control machine.
    pub fn message_arrived(&mut self, machine: u32) {
        self.totals.machine_messages[machine as usize] += 1;
    }

    /// A control machine sent a message of so many bytes.
    pub fn message_down(&mut self, bytes: usize) {
        self.totals.bytes_down += bytes as u64;
    }
}
