//! Simulates the quotas of all limiters in virtual time, with the same randomly drawn requests and
//! the same events for each mechanism in turn.

use crate::audit::AuditResult;
use crate::counter_mechanism::CounterMechanism;
use crate::error::LabError;
use crate::event_queue::EventQueue;
use crate::lease_mechanism::LeaseMechanism;
use crate::net::START;
use crate::population::{DrawnRequest, Population};
use crate::process_figures::cpu_seconds;
use crate::quota_log::{QuotaLog, Totals};
use crate::quota_mechanism::QuotaMechanism;
use crate::quota_network::QuotaNetwork;
use crate::scenario::{Mechanism, Quota, Scenario};
use mossrill::decision::Micros;
use mossrill::quota_lease::holder::HolderSettings;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::sync::Arc;

/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// Results of one mechanism. Rates are averages over the time after the warm-up.
#[derive(Debug, Serialize)]
pub struct QuotaResult {
    /// The mechanism that enforced the quotas.
    pub mechanism: Mechanism,
    /// "virtual": times are simulated, not measured on the machine.
    pub time: &'static str,
    /// Number of limiters.
    pub limiters: u32,
    /// Number of limiters that receive the requests of a tenant.
    pub spread: u32,
    /// Zipf exponent of the tenants' shares of the traffic.
    pub tenant_skew: f64,
    /// Requests per limiter and second.
    pub requests_per_limiter_s: f64,
    /// The whole time after the warm-up.
    pub whole: PhaseResult,
    /// The phases from each event to the next.
    pub phases: Vec<PhaseResult>,
    /// Median wait in ms of the requests that waited for a control machine.
    pub wait_p50_ms: f64,
    /// 99th percentile of these waits in ms.
    pub wait_p99_ms: f64,
    /// Longest of these waits in ms.
    pub wait_max_ms: f64,
    /// Audit against `rate * t + burst`, including the warm-up.
    pub audit: AuditResult,
    /// Audit against `rate * (t + lease) + burst`, including the warm-up.
    pub lease_bound_audit: AuditResult,
    /// Mean number of accounts that a limiter holds at the end; 0 if the mechanism does not report
    /// it.
    pub accounts_per_limiter: f64,
    /// Mean size in bytes of these accounts, if the mechanism reports it.
    pub account_bytes_per_limiter: Option<f64>,
    /// CPU seconds per limiter and virtual second, including control machines and the simulation
    /// itself.
    pub cpu_s_per_limiter_s: f64,
}

/// Results of a phase.
#[derive(Debug, Serialize)]
pub struct PhaseResult {
    /// Name of the event that began the phase.
    pub event: &'static str,
    /// Start of the phase in seconds after the warm-up.
    pub from_s: f64,
    /// Length of the phase in seconds.
    pub seconds: f64,
    /// Number of requests.
    pub requests: u64,
    /// Share of the requests that was refused.
    pub refused_share: f64,
    /// Share of the requests that waited for a control machine.
    pub waited_share: f64,
    /// Number of requests for which no limiter was running.
    pub unserved: u64,
    /// Messages sent per limiter and second.
    pub messages_per_limiter_s: f64,
    /// Bytes sent and received per limiter and second.
    pub bytes_per_limiter_s: f64,
    /// Bytes sent per limiter and second.
    pub bytes_up_per_limiter_s: f64,
    /// Messages received per second, by control machine.
    pub messages_per_machine_s: Vec<f64>,
    /// Units beyond `rate * t + burst`.
    pub beyond_units: f64,
    /// Units beyond the bound as a share of the units sent upstream.
    pub beyond_share: f64,
}

/// Running totals at the time of an event. A phase is measured between two of them.
struct Checkpoint {
    event: &'static str,
    at: Micros,
    totals: Totals,
    /// Units sent upstream, and how many of them were beyond the bound.
    units: (f64, f64),
}

/// State of the simulation of one mechanism.
struct Play<'a, M> {
    scenario: &'a Scenario,
    population: Arc<Population>,
    network: QuotaNetwork,
    mechanism: M,
    log: QuotaLog,
    rng: StdRng,
    /// Time of the next request in µs.
    next_request: Micros,
    /// Requests to paused limiters, by the time at which the pause ends.
    delayed: EventQueue<DrawnRequest>,
}

/// Runs every mechanism of a scenario on the same requests.
pub fn play(scenario: &Scenario, quota: &Quota, seed: u64) -> Result<Vec<QuotaResult>, LabError> {
    let play_one = |mechanism: &Mechanism| {
        let population = Arc::new(Population::new(scenario, seed));
        let network = QuotaNetwork::new(scenario, quota);
        match mechanism {
            Mechanism::Counter => {
                let counter = CounterMechanism::new(START, &network, population.clone(), seed);
                Play::new(scenario, (population, network), counter, seed)?.play(quota, *mechanism)
            }
            Mechanism::Leases => {
                let settings = (quota, seed);
                let leases = LeaseMechanism::new(START, &network, population.clone(), settings);
                Play::new(scenario, (population, network), leases, seed)?.play(quota, *mechanism)
            }
        }
    };
    quota.mechanisms.iter().map(play_one).collect()
}

impl<'a, M: QuotaMechanism> Play<'a, M> {
    fn new(
        scenario: &'a Scenario,
        (population, network): (Arc<Population>, QuotaNetwork),
        mechanism: M,
        seed: u64,
    ) -> Result<Self, LabError> {
        let lease_s = HolderSettings::default().lease as f64 / SECOND;
        let log = QuotaLog::new(population.clone(), network.machines(), lease_s)?;
        let rng = StdRng::seed_from_u64(seed);
        let (next_request, delayed) = (START, EventQueue::default());
        Ok(Self {
            scenario,
            population,
            network,
            mechanism,
            log,
            rng,
            next_request,
            delayed,
        })
    }

    fn play(mut self, quota: &Quota, mechanism: Mechanism) -> Result<QuotaResult, LabError> {
        let cpu_before = cpu_seconds(None);
        let begin = START + Micros::from(quota.warm_up_s) * SECOND as Micros;
        self.run_until(begin);
        self.log.waits.reset();
        let mut checkpoints = vec![self.checkpoint("start", begin)];
        for timed in &self.scenario.events {
            let at = begin + (timed.at_s * SECOND) as Micros;
            self.run_until(at);
            checkpoints.push(self.checkpoint(timed.event.name(), at));
            let change = self.network.apply_event(at, self.scenario, &timed.event);
            self.mechanism.apply_change(at, &self.network, &change);
        }
        let end = begin + Micros::from(self.scenario.duration_s) * SECOND as Micros;
        self.run_until(end);
        checkpoints.push(self.checkpoint("end", end));
        let cpu_s = cpu_seconds(None) - cpu_before;
        Ok(self.result(
            mechanism,
            &checkpoints,
            cpu_s / ((end - START) as f64 / SECOND),
        ))
    }

    fn run_until(&mut self, end: Micros) {
        loop {
            let due = self.mechanism.next_event_time();
            let delayed = self.delayed.next_time();
            let next = due.min(delayed).min(self.next_request);
            if next >= end {
                return;
            }
            if next == due {
                self.mechanism.step(&self.network, &mut self.log);
            } else if next == delayed {
                if let Some((now, drawn)) = self.delayed.pop() {
                    self.mechanism
                        .request(now, &self.network, drawn, &mut self.log);
                }
            } else {
                self.draw_request();
            }
        }
    }

    /// Draws the next request and passes it to its limiter, or delays it if the limiter is paused.
    fn draw_request(&mut self) {
        let now = self.next_request;
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.next_request =
            now + (-uniform.ln() / self.population.requests_per_s() * SECOND) as Micros;
        let drawn = self.population.draw(&mut self.rng);
        self.log.totals.requests += 1;
        let serving = self
            .network
            .serving_limiter(&self.population, drawn.tenant, drawn.limiter);
        let Some(limiter) = serving else {
            self.log.totals.unserved += 1;
            return;
        };
        let drawn = DrawnRequest { limiter, ..drawn };
        let paused_until = self.network.paused_until(limiter);
        if now < paused_until {
            return self.delayed.push(paused_until, drawn);
        }
        self.mechanism
            .request(now, &self.network, drawn, &mut self.log);
    }

    fn checkpoint(&self, event: &'static str, at: Micros) -> Checkpoint {
        Checkpoint {
            event,
            at,
            totals: self.log.totals.clone(),
            units: self.log.audit.totals(),
        }
    }

    fn result(
        &self,
        mechanism: Mechanism,
        checkpoints: &[Checkpoint],
        cpu_s_per_s: f64,
    ) -> QuotaResult {
        let limiters = f64::from(self.network.limiters());
        let (first, last) = (&checkpoints[0], &checkpoints[checkpoints.len() - 1]);
        let whole = self.phase(first, first, last);
        let phases = checkpoints
            .windows(2)
            .map(|pair| self.phase(first, &pair[0], &pair[1]))
            .collect();
        let wait_ms = |quantile: f64| self.log.waits.value_at_quantile(quantile) as f64 / 1e3;
        QuotaResult {
            mechanism,
            time: "virtual",
            limiters: self.network.limiters(),
            spread: self.scenario.traffic.spread,
            tenant_skew: self.scenario.traffic.tenant_skew,
            requests_per_limiter_s: whole.requests as f64 / whole.seconds / limiters,
            whole,
            phases,
            wait_p50_ms: wait_ms(0.5),
            wait_p99_ms: wait_ms(0.99),
            wait_max_ms: self.log.waits.max() as f64 / 1e3,
            audit: self.log.audit.result(&self.population),
            lease_bound_audit: self.log.lease_bound_audit.result(&self.population),
            accounts_per_limiter: self.mechanism.accounts_per_limiter(),
            account_bytes_per_limiter: self.mechanism.account_bytes_per_limiter(),
            cpu_s_per_limiter_s: cpu_s_per_s / limiters,
        }
    }

    fn phase(&self, start: &Checkpoint, from: &Checkpoint, to: &Checkpoint) -> PhaseResult {
        let seconds = ((to.at - from.at) as f64 / SECOND).max(1e-6);
        let limiters = f64::from(self.network.limiters());
        let (after, before) = (&to.totals, &from.totals);
        let requests = after.requests - before.requests;
        let share = |count: u64| count as f64 / requests.max(1) as f64;
        let rate = |count: u64| count as f64 / seconds / limiters;
        let (bytes_up, bytes_down) = (
            after.bytes_up - before.bytes_up,
            after.bytes_down - before.bytes_down,
        );
        let machines = after.machine_messages.iter().zip(&before.machine_messages);
        let (sent, beyond) = (to.units.0 - from.units.0, to.units.1 - from.units.1);
        PhaseResult {
            event: from.event,
            from_s: (from.at - start.at) as f64 / SECOND,
            seconds,
            requests,
            refused_share: share(after.refused - before.refused),
            waited_share: share(after.waited - before.waited),
            unserved: after.unserved - before.unserved,
            messages_per_limiter_s: rate(after.messages - before.messages),
            bytes_per_limiter_s: rate(bytes_up + bytes_down),
            bytes_up_per_limiter_s: rate(bytes_up),
            messages_per_machine_s: machines.map(|(a, b)| (a - b) as f64 / seconds).collect(),
            beyond_units: beyond,
            beyond_share: if sent > 0.0 { beyond / sent } else { 0.0 },
        }
    }
}
