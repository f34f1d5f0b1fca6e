//! Quotas by a shared counter: a real decision engine at each limiter, and counts that are sharded
//! over the control machines by key. The counter has no processing time.

use crate::counter;
use crate::engine_host::{settings, CounterCall, Effects, EngineHost};
use crate::event_queue::EventQueue;
use crate::population::{DrawnRequest, Population};
use crate::quota_log::QuotaLog;
use crate::quota_mechanism::QuotaMechanism;
use crate::quota_network::{NetworkChange, QuotaNetwork};
use mossrill::counter::http::HttpCounterProtocol;
use mossrill::counter::{Addition, CounterProtocol};
use mossrill::decision::{Micros, Outcome};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// A scheduled event of the simulation.
enum Due {
    Wake(u32),
    CallArrives {
        limiter: u32,
        machine: u32,
        call: CounterCall,
    },
    AnswerArrives {
        limiter: u32,
        key: u64,
        total: f64,
    },
}

/// All limiters and the sharded counter.
pub struct CounterMechanism {
    population: Arc<Population>,
    seed: u64,
    hosts: Vec<EngineHost>,
    /// Time of the next scheduled wake of each host; [`Micros::MAX`] for none.
    wake_at: Vec<Micros>,
    /// Counts of each control machine by key.
    counts: Vec<HashMap<u64, f64>>,
    queue: EventQueue<Due>,
}

impl CounterMechanism {
    /// Creates the mechanism; all limiters start at `now`.
    pub fn new(
        now: Micros,
        network: &QuotaNetwork,
        population: Arc<Population>,
        seed: u64,
    ) -> Self {
        let limiters = network.limiters();
        let mut mechanism = Self {
            population,
            seed,
            hosts: Vec::new(),
            wake_at: vec![Micros::MAX; limiters as usize],
            counts: vec![HashMap::new(); network.machines() as usize],
            queue: EventQueue::default(),
        };
        for limiter in 0..limiters {
            let host = mechanism.new_host(now, limiter, limiters);
            mechanism.hosts.push(host);
            mechanism.set_wake(now, limiter);
        }
        mechanism
    }

    fn new_host(&self, now: Micros, limiter: u32, limiters: u32) -> EngineHost {
        let seed = self
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(now)
            .wrapping_add(u64::from(limiter));
        EngineHost::new(settings(&self.population, limiter, limiters), seed, now)
    }

    fn set_wake(&mut self, now: Micros, limiter: u32) {
        let wake = self.hosts[limiter as usize].next_wake().max(now);
        if wake < self.wake_at[limiter as usize] {
            self.wake_at[limiter as usize] = wake;
            self.queue.push(wake, Due::Wake(limiter));
        }
    }

    fn apply_effects(
        &mut self,
        now: Micros,
        network: &QuotaNetwork,
        limiter: u32,
        effects: Effects,
        log: &mut QuotaLog,
    ) {
        effects
            .sent
            .iter()
            .for_each(|sent| log.sent(now, sent.tenant, sent.units, sent.waited));
        effects
            .refused
            .iter()
            .for_each(|waited| log.refused(*waited));
        for call in effects.calls {
            log.message_up(call_bytes(&call));
            let machine = (call.key % u64::from(network.machines())) as u32;
            // A call that is not delivered times out at the limiter.
            if let Some(delay) = network.one_way(limiter, machine) {
                self.queue.push(
                    now + delay,
                    Due::CallArrives {
                        limiter,
                        machine,
                        call,
                    },
                );
            }
        }
        self.set_wake(now, limiter);
    }

    fn on_call_arrival(
        &mut self,
        now: Micros,
        network: &QuotaNetwork,
        (limiter, machine): (u32, u32),
        call: &CounterCall,
        log: &mut QuotaLog,
    ) {
        if !network.is_machine_up(machine) {
            return;
        }
        log.message_arrived(machine);
        let total = self.counts[machine as usize].entry(call.key).or_default();
        *total += call.amount;
        let total = *total;
        log.message_down(counter::answer(total).len());
        if let Some(delay) = network.one_way(limiter, machine) {
            self.queue.push(
                now + delay,
                Due::AnswerArrives {
                    limiter,
                    key: call.key,
                    total,
                },
            );
        }
    }
}

/// Returns the length in bytes of a call as the limiter's codec encodes it.
fn call_bytes(call: &CounterCall) -> usize {
    let address = SocketAddr::from((Ipv4Addr::new(10, 2, 0, 1), 6_400));
    let ttl = Duration::from_micros(call.ttl);
    HttpCounterProtocol
        .encode(
            &Addition {
                call_number: 0,
                counter: call.key,
                amount: call.amount,
                ttl,
            },
            address,
        )
        .len()
}

impl QuotaMechanism for CounterMechanism {
    fn request(
        &mut self,
        now: Micros,
        network: &QuotaNetwork,
        drawn: DrawnRequest,
        log: &mut QuotaLog,
    ) {
        let mut effects = Effects::default();
        let request = (drawn.tenant, drawn.units);
        self.hosts[drawn.limiter as usize].request(now, &self.population, request, &mut effects);
        self.apply_effects(now, network, drawn.limiter, effects, log);
    }

    fn next_event_time(&self) -> Micros {
        self.queue.next_time()
    }

    fn step(&mut self, network: &QuotaNetwork, log: &mut QuotaLog) {
        let Some((now, due)) = self.queue.pop() else {
            return;
        };
        let limiter = match &due {
            Due::Wake(limiter)
            | Due::CallArrives { limiter, .. }
            | Due::AnswerArrives { limiter, .. } => *limiter,
        };
        let paused_until = network.paused_until(limiter);
        if now < paused_until && !matches!(due, Due::CallArrives { .. }) {
            if matches!(due, Due::Wake(_)) {
                self.wake_at[limiter as usize] = paused_until;
            }
            return self.queue.push(paused_until, due);
        }
        let mut effects = Effects::default();
        match due {
            Due::CallArrives { machine, call, .. } => {
                return self.on_call_arrival(now, network, (limiter, machine), &call, log);
            }
            // Outdated: the limiter was rescheduled to an earlier time and has been woken.
            Due::Wake(_) if self.wake_at[limiter as usize] != now => return,
            Due::Wake(_) => {
                self.wake_at[limiter as usize] = Micros::MAX;
                self.hosts[limiter as usize].wake(now, &mut effects);
            }
            Due::AnswerArrives { key, total, .. } => {
                self.hosts[limiter as usize].on_counter_reply(
                    now,
                    key,
                    Outcome::Ok,
                    total,
                    &mut effects,
                );
            }
        }
        self.apply_effects(now, network, limiter, effects, log);
    }

    fn apply_change(&mut self, now: Micros, network: &QuotaNetwork, change: &NetworkChange) {
        match change {
            NetworkChange::MachineLost(machine) => self.counts[*machine as usize].clear(),
            NetworkChange::LimitersStarted(limiters) => {
                for limiter in limiters {
                    self.hosts[*limiter as usize] =
                        self.new_host(now, *limiter, network.limiters());
                    self.set_wake(now, *limiter);
                }
            }
            NetworkChange::MachineBack(_) | NetworkChange::Regions | NetworkChange::Nothing => {}
        }
    }

    fn accounts_per_limiter(&self) -> f64 {
        // The engine does not report it.
        0.0
    }

    fn account_bytes_per_limiter(&self) -> Option<f64> {
        None
    }
}
