//! Plays the quotas of all limiters in virtual time: the same drawn requests and events for each mechanism in turn.

use crate::audit::AuditResult;
use crate::counter_mechanism::CounterMechanism;
use crate::error::LabError;
use crate::event_queue::EventQueue;
use crate::lease_mechanism::LeaseMechanism;
use crate::net::START;
use crate::population::{Drawn, Population};
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

const SECOND: f64 = 1e6;

/// What the play of one mechanism showed. Rates are those after the warm-up.
#[derive(Debug, Serialize)]
pub struct QuotaResult {
    /// The mechanism.
    pub mechanism: Mechanism,
    /// "virtual": times are the play's, not the machine's.
    pub time: &'static str,
    /// Limiters.
    pub limiters: u32,
    /// Limiters that a tenant comes through.
    pub spread: u32,
    /// Zipf exponent of the tenants.
    pub tenant_skew: f64,
    /// Requests a limiter and second.
    pub requests_per_limiter_s: f64,
    /// The whole play after the warm-up.
    pub whole: PhaseResult,
    /// From each event to the next.
    pub phases: Vec<PhaseResult>,
    /// Of requests that waited for a control machine: median, 99th percentile and longest, in ms.
    pub wait_p50_ms: f64,
    /// See above.
    pub wait_p99_ms: f64,
    /// See above.
    pub wait_max_ms: f64,
    /// Against `rate * t + burst`, warm-up included.
    pub audit: AuditResult,
    /// Against `rate * (t + lease) + burst`, warm-up included.
    pub lease_bound_audit: AuditResult,
    /// Accounts that a limiter keeps at the end; 0 where the mechanism does not tell.
    pub accounts_per_limiter: f64,
    /// Bytes of them.
    pub account_bytes_per_limiter: Option<f64>,
    /// Processor time for a limiter and virtual second, control machines and play included, in seconds of a core.
    pub cpu_s_per_limiter_s: f64,
}

/// A part of the play.
#[derive(Debug, Serialize)]
pub struct PhaseResult {
    /// What began it.
    pub event: &'static str,
    /// Seconds after the warm-up.
    pub from_s: f64,
    /// How long it lasted.
    pub seconds: f64,
    /// Requests.
    pub requests: u64,
    /// Share of them that was refused.
    pub refused_share: f64,
    /// Share of them that waited for a control machine.
    pub waited_share: f64,
    /// Requests for which no limiter was up.
    pub unserved: u64,
    /// Messages of a limiter a second.
    pub messages_per_limiter_s: f64,
    /// Bytes from and to a limiter a second.
    pub bytes_per_limiter_s: f64,
    /// Of these, from it.
    pub bytes_up_per_limiter_s: f64,
    /// Messages a second at each control machine.
    pub messages_per_machine_s: Vec<f64>,
    /// Units beyond `rate * t + burst`.
    pub beyond_units: f64,
    /// The same as a share of the units sent on.
    pub beyond_share: f64,
}

/// Totals at a time.
struct Mark {
    event: &'static str,
    at: Micros,
    totals: Totals,
    units: (f64, f64),
}

struct Play<'a, M> {
    scenario: &'a Scenario,
    population: Arc<Population>,
    network: QuotaNetwork,
    mechanism: M,
    log: QuotaLog,
    rng: StdRng,
    next_request: Micros,
    /// Requests that came to limiters while these stood still.
    held_up: EventQueue<Drawn>,
}

/// Plays every mechanism of a scenario on the same requests.
pub fn play(scenario: &Scenario, quota: &Quota, seed: u64) -> Result<Vec<QuotaResult>, LabError> {
    let one = |mechanism: &Mechanism| {
        let population = Arc::new(Population::new(scenario, seed));
        let network = QuotaNetwork::new(scenario, quota);
        match mechanism {
            Mechanism::Counter => {
                let counter = CounterMechanism::new(START, &network, population.clone(), seed);
                Play::new(scenario, (population, network), counter, seed)?.play(quota, *mechanism)
            }
            Mechanism::Leases => {
                let of = (quota, seed);
                let leases = LeaseMechanism::new(START, &network, population.clone(), of);
                Play::new(scenario, (population, network), leases, seed)?.play(quota, *mechanism)
            }
        }
    };
    quota.mechanisms.iter().map(one).collect()
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
        let (next_request, held_up) = (START, EventQueue::default());
        Ok(Self {
            scenario,
            population,
            network,
            mechanism,
            log,
            rng,
            next_request,
            held_up,
        })
    }

    fn play(mut self, quota: &Quota, mechanism: Mechanism) -> Result<QuotaResult, LabError> {
        let cpu_before = cpu_seconds(None);
        let begin = START + Micros::from(quota.warm_up_s) * SECOND as Micros;
        self.run_until(begin);
        self.log.waits.reset();
        let mut marks = vec![self.mark("start", begin)];
        for timed in &self.scenario.events {
            let at = begin + (timed.at_s * SECOND) as Micros;
            self.run_until(at);
            marks.push(self.mark(timed.event.name(), at));
            let changed = self.network.happen(at, self.scenario, &timed.event);
            self.mechanism.changed(at, &self.network, &changed);
        }
        let end = begin + Micros::from(self.scenario.duration_s) * SECOND as Micros;
        self.run_until(end);
        marks.push(self.mark("end", end));
        let cpu_s = cpu_seconds(None) - cpu_before;
        Ok(self.result(mechanism, &marks, cpu_s / ((end - START) as f64 / SECOND)))
    }

    fn run_until(&mut self, end: Micros) {
        loop {
            let due = self.mechanism.next();
            let held_up = self.held_up.next();
            let next = due.min(held_up).min(self.next_request);
            if next >= end {
                return;
            }
            if next == due {
                self.mechanism.step(&self.network, &mut self.log);
            } else if next == held_up {
                if let Some((now, drawn)) = self.held_up.pop() {
                    self.mechanism
                        .request(now, &self.network, drawn, &mut self.log);
                }
            } else {
                self.draw_request();
            }
        }
    }

    fn draw_request(&mut self) {
        let now = self.next_request;
        let chance: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.next_request =
            now + (-chance.ln() / self.population.requests_per_s() * SECOND) as Micros;
        let drawn = self.population.draw(&mut self.rng);
        self.log.totals.requests += 1;
        let up = self
            .network
            .limiter_in_place(&self.population, drawn.tenant, drawn.limiter);
        let Some(limiter) = up else {
            self.log.totals.unserved += 1;
            return;
        };
        let drawn = Drawn { limiter, ..drawn };
        let paused_until = self.network.paused_until(limiter);
        if now < paused_until {
            return self.held_up.push(paused_until, drawn);
        }
        self.mechanism
            .request(now, &self.network, drawn, &mut self.log);
    }

    fn mark(&self, event: &'static str, at: Micros) -> Mark {
        Mark {
            event,
            at,
            totals: self.log.totals.clone(),
            units: self.log.audit.totals(),
        }
    }

    fn result(&self, mechanism: Mechanism, marks: &[Mark], cpu_s_per_s: f64) -> QuotaResult {
        let limiters = f64::from(self.network.limiters());
        let (first, last) = (&marks[0], &marks[marks.len() - 1]);
        let whole = self.phase(first, first, last);
        let phases = marks
            .windows(2)
            .map(|pair| self.phase(first, &pair[0], &pair[1]))
            .collect();
        let wait = |part: f64| self.log.waits.value_at_quantile(part) as f64 / 1e3;
        QuotaResult {
            mechanism,
            time: "virtual",
            limiters: self.network.limiters(),
            spread: self.scenario.traffic.spread,
            tenant_skew: self.scenario.traffic.tenant_skew,
            requests_per_limiter_s: whole.requests as f64 / whole.seconds / limiters,
            whole,
            phases,
            wait_p50_ms: wait(0.5),
            wait_p99_ms: wait(0.99),
            wait_max_ms: self.log.waits.max() as f64 / 1e3,
            audit: self.log.audit.result(&self.population),
            lease_bound_audit: self.log.lease_bound_audit.result(&self.population),
            accounts_per_limiter: self.mechanism.accounts_per_limiter(),
            account_bytes_per_limiter: self.mechanism.account_bytes_per_limiter(),
            cpu_s_per_limiter_s: cpu_s_per_s / limiters,
        }
    }

    fn phase(&self, begin: &Mark, from: &Mark, to: &Mark) -> PhaseResult {
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
            from_s: (from.at - begin.at) as f64 / SECOND,
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
