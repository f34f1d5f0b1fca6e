//! Quotas by calls of a shared counter: a real decision module at each limiter, counts dealt out among the control
//! machines by name. The counter answers at once.

use crate::counter;
use crate::engine_host::{settings, CounterCall, Effects, EngineHost};
use crate::event_queue::EventQueue;
use crate::population::{Drawn, Population};
use crate::quota_log::QuotaLog;
use crate::quota_mechanism::QuotaMechanism;
use crate::quota_network::{Changed, QuotaNetwork};
use mossrill::counter::http::HttpCounterProtocol;
use mossrill::counter::{Addition, CounterProtocol};
use mossrill::decision::{Micros, Outcome};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

enum Due {
    Wake(u32),
    Arrives {
        limiter: u32,
        machine: u32,
        call: CounterCall,
    },
    Answered {
        limiter: u32,
        name: u64,
        total: f64,
    },
}

/// Limiters and a sharded counter.
pub struct CounterMechanism {
    population: Arc<Population>,
    seed: u64,
    hosts: Vec<EngineHost>,
    wake_at: Vec<Micros>,
    counts: Vec<HashMap<u64, f64>>,
    queue: EventQueue<Due>,
}

impl CounterMechanism {
    /// All limiters start now.
    pub fn new(
        now: Micros,
        network: &QuotaNetwork,
        population: Arc<Population>,
        seed: u64,
    ) -> Self {
        let limiters = network.limiters();
        let mut all = Self {
            population,
            seed,
            hosts: Vec::new(),
            wake_at: vec![Micros::MAX; limiters as usize],
            counts: vec![HashMap::new(); network.machines() as usize],
            queue: EventQueue::default(),
        };
        for limiter in 0..limiters {
            let host = all.host(now, limiter, limiters);
            all.hosts.push(host);
            all.set_wake(now, limiter);
        }
        all
    }

    fn host(&self, now: Micros, limiter: u32, limiters: u32) -> EngineHost {
        let seed = self
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(now)
            .wrapping_add(u64::from(limiter));
        EngineHost::new(settings(&self.population, limiter, limiters), seed, now)
    }

    fn set_wake(&mut self, now: Micros, limiter: u32) {
        let wake = self.hosts[limiter as usize].next().max(now);
        if wake < self.wake_at[limiter as usize] {
            self.wake_at[limiter as usize] = wake;
            self.queue.push(wake, Due::Wake(limiter));
        }
    }

    fn carry_out(
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
            let machine = (call.name % u64::from(network.machines())) as u32;
            // What does not get through is given up by the limiter itself.
            if let Some(way) = network.one_way(limiter, machine) {
                self.queue.push(
                    now + way,
                    Due::Arrives {
                        limiter,
                        machine,
                        call,
                    },
                );
            }
        }
        self.set_wake(now, limiter);
    }

    fn arrives(
        &mut self,
        now: Micros,
        network: &QuotaNetwork,
        (limiter, machine): (u32, u32),
        call: &CounterCall,
        log: &mut QuotaLog,
    ) {
        if !network.machine_is_up(machine) {
            return;
        }
        log.message_arrived(machine);
        let total = self.counts[machine as usize].entry(call.name).or_default();
        *total += call.by;
        let total = *total;
        log.message_down(counter::answer(total).len());
        if let Some(way) = network.one_way(limiter, machine) {
            self.queue.push(
                now + way,
                Due::Answered {
                    limiter,
                    name: call.name,
                    total,
                },
            );
        }
    }
}

/// Bytes of a call as the limiter's codec writes it.
fn call_bytes(call: &CounterCall) -> usize {
    let at = SocketAddr::from((Ipv4Addr::new(10, 2, 0, 1), 6_400));
    let ttl = Duration::from_micros(call.ttl);
    HttpCounterProtocol
        .encode(
            &Addition {
                call_number: 0,
                counter: call.name,
                amount: call.by,
                ttl,
            },
            at,
        )
        .len()
}

impl QuotaMechanism for CounterMechanism {
    fn request(&mut self, now: Micros, network: &QuotaNetwork, drawn: Drawn, log: &mut QuotaLog) {
        let mut effects = Effects::default();
        let asked = (drawn.tenant, drawn.units);
        self.hosts[drawn.limiter as usize].request(now, &self.population, asked, &mut effects);
        self.carry_out(now, network, drawn.limiter, effects, log);
    }

    fn next(&self) -> Micros {
        self.queue.next()
    }

    fn step(&mut self, network: &QuotaNetwork, log: &mut QuotaLog) {
        let Some((now, due)) = self.queue.pop() else {
            return;
        };
        let limiter = match &due {
            Due::Wake(limiter) | Due::Arrives { limiter, .. } | Due::Answered { limiter, .. } => {
                *limiter
            }
        };
        let paused_until = network.paused_until(limiter);
        if now < paused_until && !matches!(due, Due::Arrives { .. }) {
            if matches!(due, Due::Wake(_)) {
                self.wake_at[limiter as usize] = paused_until;
            }
            return self.queue.push(paused_until, due);
        }
        let mut effects = Effects::default();
        match due {
            Due::Arrives { machine, call, .. } => {
                return self.arrives(now, network, (limiter, machine), &call, log);
            }
            // An earlier look has taken its place.
            Due::Wake(_) if self.wake_at[limiter as usize] != now => return,
            Due::Wake(_) => {
                self.wake_at[limiter as usize] = Micros::MAX;
                self.hosts[limiter as usize].wake(now, &mut effects);
            }
            Due::Answered { name, total, .. } => {
                self.hosts[limiter as usize].counted(now, name, Outcome::Ok, total, &mut effects);
            }
        }
        self.carry_out(now, network, limiter, effects, log);
    }

    fn changed(&mut self, now: Micros, network: &QuotaNetwork, changed: &Changed) {
        match changed {
            Changed::MachineLost(machine) => self.counts[*machine as usize].clear(),
            Changed::LimitersStarted(limiters) => {
                for limiter in limiters {
                    self.hosts[*limiter as usize] = self.host(now, *limiter, network.limiters());
                    self.set_wake(now, *limiter);
                }
            }
            Changed::MachineBack(_) | Changed::Regions | Changed::Nothing => {}
        }
    }

    fn accounts_per_limiter(&self) -> f64 {
        // The module does not tell.
        0.0
    }

    fn account_bytes_per_limiter(&self) -> Option<f64> {
        None
    }
}
