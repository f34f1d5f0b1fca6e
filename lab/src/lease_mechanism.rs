//! Quotas by leases: a real holder (`mossrill::quota_lease::holder`) at each limiter and a real allocator at each
//! control machine, by function calls in one process; bytes are those of the encoded messages with their frames. The
//! allocators' own fleet is real views on a network of hand-made time.

use crate::event_queue::EventQueue;
use crate::net::SimulatedNetwork;
use crate::population::{Drawn, Population};
use crate::quota_log::QuotaLog;
use crate::quota_mechanism::QuotaMechanism;
use crate::quota_network::{Changed, QuotaNetwork};
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

/// Units of a quota in thousandths.
const MILLI: f64 = 1e3;
/// Length before each message on a connection.
const FRAME_BYTES: usize = 4;
/// The allocators' fleet is played in steps of this time.
const FLEET_STEP: Micros = 50_000;
/// A holder is looked at again no sooner than this after a look.
const LEAST_WAIT: Micros = 100;

enum Due {
    Wake(u32),
    ReportArrives { machine: u32, report: Box<Report> },
    GrantArrives { limiter: u32, grant: Box<Grant> },
    FleetStep,
}

/// A request that waits at a holder.
struct Waiting {
    tenant: usize,
    units: f64,
    since: Micros,
}

/// Limiters and allocators.
pub struct LeaseMechanism {
    population: Arc<Population>,
    keys: Vec<AccountKey>,
    limits: Vec<PlanLimits>,
    settings: HolderSettings,
    allocator_settings: AllocatorSettings,
    holders: Vec<Holder>,
    wake_at: Vec<Micros>,
    waiting: HashMap<(u32, WaiterId), Waiting>,
    allocators: Vec<Option<Allocator>>,
    /// Incarnations of holders and allocators grow with each start.
    starts: u64,
    fleet: SimulatedNetwork,
    queue: EventQueue<Due>,
}

impl LeaseMechanism {
    /// All limiters and allocators start now, which is when the network of their fleet begins.
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
            fallback_min_burst: (quota.fallback_least * MILLI).round() as u64,
            min_report_spacing: (quota.spacing_ms * 1e3).round() as Micros,
            ..HolderSettings::default()
        };
        let limits = population.plans.iter().map(|plan| PlanLimits {
            rate: (plan.rate * MILLI).round() as u64,
            burst: (plan.burst * MILLI).round() as u64,
        });
        let key = |tenant: usize| AccountKey::of(&crate::real_files::account(tenant));
        let mut all = Self {
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
            starts: 0,
            fleet: SimulatedNetwork::new(machines, seed),
            queue: EventQueue::default(),
        };
        all.fleet.now = now;
        all.fleet.start_all();
        for machine in 0..machines {
            let allocator = all.new_allocator(machine);
            all.allocators.push(Some(allocator));
        }
        for limiter in 0..network.limiters() {
            let holder = all.new_holder(now, limiter);
            all.holders.push(holder);
        }
        all.queue.push(now, Due::FleetStep);
        all
    }

    fn new_allocator(&mut self, machine: u32) -> Allocator {
        self.starts += 1;
        Allocator::new(
            machine,
            self.settings.allocators,
            self.starts,
            self.allocator_settings,
        )
    }

    fn new_holder(&mut self, now: Micros, limiter: u32) -> Holder {
        self.starts += 1;
        Holder::new(
            now,
            HolderSettings {
                limiter,
                incarnation: self.starts,
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

    fn answer(&mut self, now: Micros, limiter: u32, answers: Vec<Answer>, log: &mut QuotaLog) {
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

    fn wake(&mut self, now: Micros, network: &QuotaNetwork, limiter: u32, log: &mut QuotaLog) {
        let poll = self.holders[limiter as usize].poll(now);
        for (machine, report) in poll.reports {
            log.message_up(report.encoded_len() + FRAME_BYTES);
            // What does not get through is sent again by the holder.
            if let Some(way) = network.one_way(limiter, machine) {
                self.queue.push(
                    now + way,
                    Due::ReportArrives {
                        machine,
                        report: Box::new(report),
                    },
                );
            }
        }
        self.answer(now, limiter, poll.answers, log);
        self.set_wake(limiter, now + LEAST_WAIT);
    }

    fn report_arrives(
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
        // One that is not taken is counted by the allocator and not answered.
        let Ok(grant) = allocator.on_report(now, report) else {
            return;
        };
        log.message_down(grant.encoded_len() + FRAME_BYTES);
        if let Some(way) = network.one_way(report.limiter, machine) {
            let arrives = Due::GrantArrives {
                limiter: report.limiter,
                grant: Box::new(grant),
            };
            self.queue.push(now + way, arrives);
        }
    }

    fn grant_arrives(&mut self, now: Micros, limiter: u32, grant: &Grant, log: &mut QuotaLog) {
        // One to an earlier process of this limiter, or given up, is counted by the holder.
        if let Ok(answers) = self.holders[limiter as usize].on_grant(now, grant) {
            self.answer(now, limiter, answers, log);
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
            let standing = process.view.quota_shares(now);
            let given = standing
                .reassigned
                .iter()
                .enumerate()
                .filter(|(_, given)| **given);
            let ownership = Ownership {
                reassigned: given.fold(0, |bits, (number, _)| bits | 1 << number),
                reassigned_until: standing.reassigned_until,
                lease_ends: standing.lease_ends,
            };
            allocator.set_ownership(now, ownership);
        }
        self.queue.push(now + FLEET_STEP, Due::FleetStep);
    }
}

impl QuotaMechanism for LeaseMechanism {
    fn request(&mut self, now: Micros, _network: &QuotaNetwork, drawn: Drawn, log: &mut QuotaLog) {
        let Drawn {
            tenant,
            limiter,
            units,
        } = drawn;
        let shape = self.population.tenants[tenant];
        let (key, limits) = (self.keys[tenant], self.limits[shape.plan]);
        let milli = (units * MILLI) as u64;
        match self.holders[limiter as usize].take(now, key, limits, shape.spread, milli) {
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

    fn next(&self) -> Micros {
        self.queue.next()
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
                self.wake(now, network, limiter, log);
            }
            // An earlier look has taken its place.
            Due::Wake(_) => {}
            Due::ReportArrives { machine, report } => {
                self.report_arrives(now, network, machine, &report, log);
            }
            Due::GrantArrives { limiter, grant } => self.grant_arrives(now, limiter, &grant, log),
            Due::FleetStep => self.step_fleet(now, network),
        }
    }

    fn changed(&mut self, now: Micros, _network: &QuotaNetwork, changed: &Changed) {
        match changed {
            Changed::MachineLost(machine) => {
                self.allocators[*machine as usize] = None;
                self.fleet.kill(*machine as usize);
            }
            Changed::MachineBack(machine) => {
                let allocator = self.new_allocator(*machine);
                self.allocators[*machine as usize] = Some(allocator);
                self.fleet.start(*machine as usize);
            }
            Changed::LimitersStarted(limiters) => {
                for limiter in limiters {
                    self.holders[*limiter as usize] = self.new_holder(now, *limiter);
                    self.waiting.retain(|(of, _), _| of != limiter);
                    self.set_wake(*limiter, now);
                }
            }
            Changed::Regions | Changed::Nothing => {}
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
