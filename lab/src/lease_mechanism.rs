//! Quotas by leases: a real holder (`mossrill::quota_lease::holder`) at each limiter and a real
//! allocator at each control machine. They exchange messages by function calls in one process;
//! bytes are counted as those of the encoded messages with their frames. The membership of the
//! allocators is simulated with real views on a network in virtual time.

use crate::event_queue::EventQueue;
use crate::net::SimulatedNetwork;
use crate::population::{DrawnRequest, Population};
use crate::quota_log::QuotaLog;
use crate::quota_mechanism::QuotaMechanism;
use crate::quota_network::{NetworkChange, QuotaNetwork};
use crate::scenario::Quota;
use mossrill::decision::Micros;
use mossrill::quota_lease::allocator::{Allocator, AllocatorSettings, Ownership};
use mossrill::quota_lease::holder::{
    Answer, Holder, HolderSettings, Outcome, TakeResult, WaiterId,
};
use mossrill::quota_lease::message::{AccountKey, Grant, PlanLimits, Report};
use prost::Message;
use std::collections::HashMap;
use std::sync::Arc;

/// Thousandths of a unit in one unit of quota.
const MILLI_UNITS: f64 = 1e3;
/// Length in bytes of the frame header before each message on a connection.
const FRAME_BYTES: usize = 4;
/// Time step in µs in which the membership of the allocators is simulated.
const FLEET_STEP: Micros = 50_000;
/// Minimum delay in µs from a poll of a holder to the next one that the holder schedules.
const MIN_POLL_INTERVAL: Micros = 100;

/// A scheduled event of the simulation.
enum Due {
    Wake(u32),
    ReportArrives { machine: u32, report: Box<Report> },
    GrantArrives { limiter: u32, grant: Box<Grant> },
    FleetStep,
}

/// A request that waits at a holder for leased units.
struct Waiting {
    tenant: usize,
    units: f64,
    /// Time of the request in µs.
    since: Micros,
}

/// All limiters and allocators.
pub struct LeaseMechanism {
    population: Arc<Population>,
    keys: Vec<AccountKey>,
    limits: Vec<PlanLimits>,
    settings: HolderSettings,
    allocator_settings: AllocatorSettings,
    holders: Vec<Holder>,
    /// Time of the next scheduled poll of each holder; [`Micros::MAX`] for none.
    wake_at: Vec<Micros>,
    waiting: HashMap<(u32, WaiterId), Waiting>,
    allocators: Vec<Option<Allocator>>,
    /// Incarnation of the holder or allocator that was started last; each start increments it.
    last_incarnation: u64,
    fleet: SimulatedNetwork,
    queue: EventQueue<Due>,
}

impl LeaseMechanism {
    /// Creates the mechanism. All limiters, allocators and the network of the allocators start at
    /// `now`.
    pub fn new(
        now: Micros,
        network: &QuotaNetwork,
        population: Arc<Population>,
        (quota, seed): (&Quota, u64),
    ) -> Self {
        let machines = network.machines();
        let settings = HolderSettings {
            allocators: machines,
            use_fallback_first: quota.trust,
            fallback_min_burst: (quota.fallback_least * MILLI_UNITS).round() as u64,
            min_report_spacing: (quota.spacing_ms * 1e3).round() as Micros,
            ..HolderSettings::default()
        };
        let limits = population.plans.iter().map(|plan| PlanLimits {
            rate: (plan.rate * MILLI_UNITS).round() as u64,
            burst: (plan.burst * MILLI_UNITS).round() as u64,
        });
        let key = |tenant: usize| AccountKey::of(&crate::real_files::account(tenant));
        let mut mechanism = Self {
            keys: (0..population.tenants.len()).map(key).collect(),
            limits: limits.collect(),
            population,
            settings,
            allocator_settings: AllocatorSettings {
                limiters: network.limiters(),
                lease: settings.lease,
                ..AllocatorSettings::default()
            },
            holders: Vec::new(),
            wake_at: vec![Micros::MAX; network.limiters() as usize],
            waiting: HashMap::new(),
            allocators: Vec::new(),
            last_incarnation: 0,
            fleet: SimulatedNetwork::new(machines, seed),
            queue: EventQueue::default(),
        };
        mechanism.fleet.now = now;
        mechanism.fleet.start_all();
        for machine in 0..machines {
            let allocator = mechanism.new_allocator(machine);
            mechanism.allocators.push(Some(allocator));
        }
        for limiter in 0..network.limiters() {
            let holder = mechanism.new_holder(now, limiter);
            mechanism.holders.push(holder);
        }
        mechanism.queue.push(now, Due::FleetStep);
        mechanism
    }

    fn new_allocator(&mut self, machine: u32) -> Allocator {
        self.last_incarnation += 1;
        Allocator::new(
            machine,
            self.settings.allocators,
            self.last_incarnation,
            self.allocator_settings,
        )
    }

    fn new_holder(&mut self, now: Micros, limiter: u32) -> Holder {
        self.last_incarnation += 1;
        Holder::new(
            now,
            HolderSettings {
                limiter,
                incarnation: self.last_incarnation,
                ..self.settings
            },
        )
    }

    fn set_wake(&mut self, limiter: u32, earliest: Micros) {
        let wake = self.holders[limiter as usize].next_wake().max(earliest);
        if wake < self.wake_at[limiter as usize] {
            self.wake_at[limiter as usize] = wake;
            self.queue.push(wake, Due::Wake(limiter));
        }
    }

    fn finish_waiting(
        &mut self,
        now: Micros,
        limiter: u32,
        answers: Vec<Answer>,
        log: &mut QuotaLog,
    ) {
        for Answer { waiter_id, outcome } in answers {
            let Some(waiting) = self.waiting.remove(&(limiter, waiter_id)) else {
                continue;
            };
            let waited = Some(now - waiting.since);
            match outcome {
                Outcome::Taken(_) => log.sent(now, waiting.tenant, waiting.units, waited),
                Outcome::Denied { .. } => log.refused(waited),
            }
        }
    }

    fn poll_holder(
        &mut self,
        now: Micros,
        network: &QuotaNetwork,
        limiter: u32,
        log: &mut QuotaLog,
    ) {
        let poll = self.holders[limiter as usize].poll(now);
        for (machine, report) in poll.reports {
            log.message_up(report.encoded_len() + FRAME_BYTES);
            // The holder sends a report again if it is not delivered.
            if let Some(delay) = network.one_way(limiter, machine) {
                self.queue.push(
                    now + delay,
                    Due::ReportArrives {
                        machine,
                        report: Box::new(report),
                    },
                );
            }
        }
        self.finish_waiting(now, limiter, poll.answers, log);
        self.set_wake(limiter, now + MIN_POLL_INTERVAL);
    }

    fn on_report_arrival(
        &mut self,
        now: Micros,
        network: &QuotaNetwork,
        machine: u32,
        report: &Report,
        log: &mut QuotaLog,
    ) {
        let Some(allocator) = &mut self.allocators[machine as usize] else {
            return;
        };
        log.message_arrived(machine);
        // The allocator counts a report that it rejects, and does not answer it.
        let Ok(grant) = allocator.on_report(now, report) else {
            return;
        };
        log.message_down(grant.encoded_len() + FRAME_BYTES);
        if let Some(delay) = network.one_way(report.limiter, machine) {
            let arrival = Due::GrantArrives {
                limiter: report.limiter,
                grant: Box::new(grant),
            };
            self.queue.push(now + delay, arrival);
        }
    }

    fn on_grant_arrival(&mut self, now: Micros, limiter: u32, grant: &Grant, log: &mut QuotaLog) {
        // The holder counts a grant that it rejects: one for an earlier incarnation of this
        // limiter, or for a report that the holder has given up on.
        if let Ok(answers) = self.holders[limiter as usize].on_grant(now, grant) {
            self.finish_waiting(now, limiter, answers, log);
        }
        self.set_wake(limiter, now);
    }

    fn step_fleet(&mut self, now: Micros, network: &QuotaNetwork) {
        for machine in 0..network.machines() {
            self.fleet.partition[machine as usize] = network.side_of_machine(machine);
        }
        self.fleet.run(now.saturating_sub(self.fleet.now));
        for (number, allocator) in self.allocators.iter_mut().enumerate() {
            let (Some(allocator), Some(process)) = (allocator, &self.fleet.processes[number])
            else {
                continue;
            };
            let shares = process.view.quota_shares(now);
            let reassigned = shares
                .reassigned
                .iter()
                .enumerate()
                .filter(|(_, reassigned)| **reassigned);
            let ownership = Ownership {
                reassigned: reassigned.fold(0, |bits, (number, _)| bits | 1 << number),
                reassigned_until: shares.reassigned_until,
                lease_ends: shares.lease_ends,
            };
            allocator.set_ownership(now, ownership);
        }
        self.queue.push(now + FLEET_STEP, Due::FleetStep);
    }
}

impl QuotaMechanism for LeaseMechanism {
    fn request(
        &mut self,
        now: Micros,
        _network: &QuotaNetwork,
        drawn: DrawnRequest,
        log: &mut QuotaLog,
    ) {
        let DrawnRequest {
            tenant,
            limiter,
            units,
        } = drawn;
        let traffic = self.population.tenants[tenant];
        let (key, limits) = (self.keys[tenant], self.limits[traffic.plan]);
        let milli_units = (units * MILLI_UNITS) as u64;
        match self.holders[limiter as usize].take(now, key, limits, traffic.spread, milli_units) {
            TakeResult::Taken(_) => log.sent(now, tenant, units, None),
            TakeResult::Denied { .. } => log.refused(None),
            TakeResult::Waiting(waiter_id) => {
                let waiting = Waiting {
                    tenant,
                    units,
                    since: now,
                };
                self.waiting.insert((limiter, waiter_id), waiting);
            }
        }
        self.set_wake(limiter, now);
    }

    fn next_event_time(&self) -> Micros {
        self.queue.next_time()
    }

    fn step(&mut self, network: &QuotaNetwork, log: &mut QuotaLog) {
        let Some((now, due)) = self.queue.pop() else {
            return;
        };
        if let Due::Wake(limiter) | Due::GrantArrives { limiter, .. } = due {
            let paused_until = network.paused_until(limiter);
            if now < paused_until {
                if matches!(due, Due::Wake(_)) {
                    self.wake_at[limiter as usize] = paused_until;
                }
                return self.queue.push(paused_until, due);
            }
        }
        match due {
            Due::Wake(limiter) if self.wake_at[limiter as usize] == now => {
                self.wake_at[limiter as usize] = Micros::MAX;
                self.poll_holder(now, network, limiter, log);
            }
            // Outdated: the limiter was rescheduled to an earlier time and has been polled.
            Due::Wake(_) => {}
            Due::ReportArrives { machine, report } => {
                self.on_report_arrival(now, network, machine, &report, log);
            }
            Due::GrantArrives { limiter, grant } => {
                self.on_grant_arrival(now, limiter, &grant, log)
            }
            Due::FleetStep => self.step_fleet(now, network),
        }
    }

    fn apply_change(&mut self, now: Micros, _network: &QuotaNetwork, change: &NetworkChange) {
        match change {
            NetworkChange::MachineLost(machine) => {
                self.allocators[*machine as usize] = None;
                self.fleet.kill(*machine as usize);
            }
            NetworkChange::MachineBack(machine) => {
                let allocator = self.new_allocator(*machine);
                self.allocators[*machine as usize] = Some(allocator);
                self.fleet.start(*machine as usize);
            }
            NetworkChange::LimitersStarted(limiters) => {
                for limiter in limiters {
                    self.holders[*limiter as usize] = self.new_holder(now, *limiter);
                    self.waiting
                        .retain(|(waiting_at, _), _| waiting_at != limiter);
                    self.set_wake(*limiter, now);
                }
            }
            NetworkChange::Regions | NetworkChange::Nothing => {}
        }
    }

    fn accounts_per_limiter(&self) -> f64 {
        let accounts: usize = self.holders.iter().map(Holder::accounts).sum();
        accounts as f64 / self.holders.len() as f64
    }

    fn account_bytes_per_limiter(&self) -> Option<f64> {
        let bytes: usize = self.holders.iter().map(Holder::account_bytes).sum();
        Some(bytes as f64 / self.holders.len() as f64)
    }
}
