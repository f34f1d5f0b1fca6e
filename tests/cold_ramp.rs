//! What all limiters together send to servers that have just started stays within what these can take.
//!
//! Many instances of the module before one set of servers, attempts answered at once: a slow answer would only keep
//! further requests away. The bound is that of the acceptance: in any window of the time in which a cold server falls
//! over, the budget that the settings allow and twice the root of it for chance, and two.

mod common;
use common::*;
use mossrill::decision::*;
use mossrill::Engine;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const SECOND: Micros = 1_000_000;
const START: Micros = 100 * SECOND;
const SERVERS: usize = 12;
/// Servers that start anew at [`RESTART`].
const COLD: usize = 2;
const RESTART: Micros = START + 8 * SECOND;
const END: Micros = RESTART + 13 * SECOND;
/// Requests a second that one warm server can do.
const WARM_RATE: f64 = 16.0;
/// Requests a second that the whole fleet is sent: all that its warm servers can do.
const ASKED: f64 = WARM_RATE * SERVERS as f64;
/// Limiters told late hear of a start this much later.
const LATE: Micros = SECOND;
/// Between two steps of the restart of limiters, a tenth of them each.
const RESTART_STEP: Micros = SECOND / 2;

#[derive(Clone, Copy, Debug)]
struct Trouble {
    limiters_restart: bool,
    /// Traffic of limiter 0 as a multiple of the others'.
    busiest: f64,
    /// Every so many-th limiter hears of the start late.
    late_one_in: Option<usize>,
}

/// A request that reached a cold server.
struct Arrival {
    at: Micros,
    server: usize,
    /// The limiter that sent it had been told of the start.
    told: bool,
}

struct Fleet {
    settings: Settings,
    gateways: Vec<Engine>,
    rng: StdRng,
}

fn ramp_settings() -> Settings {
    Settings {
        counter: false,
        zone: "z0".into(),
        plans: vec![Plan {
            rate: 1e6,
            burst: 1e6,
            weight_factor: 1.0,
            ..Plan::default()
        }],
        safety: Safety {
            drain_grace: SECOND,
            initial_capacity: 0.18,
            slow_start: 13 * SECOND,
            overload_multiple: 4.0,
            overload_window: 3 * SECOND,
        },
        ..settings()
    }
}

fn servers(restarted: bool) -> Vec<Endpoint> {
    let server = |number: usize| {
        let started = if restarted && number < COLD {
            RESTART
        } else {
            0
        };
        Endpoint {
            started_at: started,
            ..member(&format!("s{number:02}"), "z0")
        }
    };
    (0..SERVERS).map(server).collect()
}

impl Fleet {
    fn new(limiters: u32, seed: u64) -> Self {
        let settings = Settings {
            limiters,
            ..ramp_settings()
        };
        let mut fleet = Self {
            settings,
            gateways: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        fleet.gateways = (0..limiters)
            .map(|number| fleet.start_limiter(number, START, false))
            .collect();
        fleet
    }

    fn start_limiter(&mut self, number: u32, now: Micros, restarted: bool) -> Engine {
        let settings = Settings {
            limiter: number,
            ..self.settings.clone()
        };
        let mut gateway = Engine::new(settings, self.rng.random());
        let list = Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints: servers(restarted),
        };
        gateway.on_event(now, list, &mut Vec::new());
        gateway
    }

    /// Gives a limiter an event, answers its attempts at once, and returns the servers that it sent to.
    fn give(&mut self, limiter: usize, now: Micros, event: Event) -> Vec<usize> {
        let (mut events, mut sent) = (vec![event], Vec::new());
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.gateways[limiter].on_event(now, event, &mut actions);
            for (id, server) in sends(&actions) {
                sent.push(server.0[1..].parse().expect("a number"));
                events.push(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt: 0,
                    server,
                    outcome: Outcome::Ok,
                    latency: SECOND / 8,
                    is_final: true,
                    load: Vec::new(),
                    settled_units: None,
                }));
            }
        }
        sent
    }

    fn pick(&mut self, weights: &[(usize, f64)]) -> usize {
        weights
            .choose_weighted(&mut self.rng, |(_, weight)| *weight)
            .expect("limiters")
            .0
    }
}

fn request(number: u64, limiters: u32) -> Request {
    Request {
        id: format!("r{number}").as_str().into(),
        class: 0,
        plan: 0,
        account: format!("c{}", number % 50).as_str().into(),
        timeout: 2 * SECOND,
        units: 1.0,
        limiter_count: limiters,
        first_limiter: 0,
    }
}

/// Plays a restart of servers and returns what reached these while they were cold.
fn arrivals(limiters: u32, trouble: Trouble, seed: u64) -> Vec<Arrival> {
    let mut fleet = Fleet::new(limiters, seed);
    let count = limiters as usize;
    let weight = |limiter: usize| if limiter == 0 { trouble.busiest } else { 1.0 };
    let weights: Vec<(usize, f64)> = (0..count)
        .map(|limiter| (limiter, weight(limiter)))
        .collect();
    let late = |limiter: usize| {
        trouble
            .late_one_in
            .is_some_and(|one_in| limiter % one_in == 0)
    };
    let mut told = vec![false; count];
    let mut arrivals = Vec::new();
    let (mut now, mut number, mut tenth) = (START, 0, 0);
    let gap = SECOND as f64 / ASKED;
    let mut timers = START;
    while now < END {
        now += (-gap * (1.0 - fleet.rng.random::<f64>()).ln()) as Micros;
        number += 1;
        while timers < now {
            timers += SECOND / 20;
            for (limiter, knows) in told.iter_mut().enumerate() {
                let hears = RESTART + if late(limiter) { LATE } else { 0 };
                if !*knows && timers >= hears {
                    *knows = true;
                    let members = servers(true)[..COLD].to_vec();
                    fleet.give(
                        limiter,
                        timers,
                        Event::EndpointUpdate {
                            scope: UpdateScope::Delta,
                            endpoints: members,
                        },
                    );
                }
                fleet.give(limiter, timers, Event::TimerExpired { token: 0 });
            }
            if trouble.limiters_restart && timers >= RESTART + RESTART_STEP * (tenth + 1) {
                for limiter in (0..count).filter(|limiter| *limiter as u64 % 10 == tenth % 10) {
                    fleet.gateways[limiter] =
                        fleet.start_limiter(limiter as u32, timers, told[limiter]);
                }
                tenth += 1;
            }
        }
        let limiter = fleet.pick(&weights);
        let sent = fleet.give(limiter, now, Event::Request(request(number, limiters)));
        let cold = sent
            .into_iter()
            .filter(|server| *server < COLD && now >= RESTART);
        arrivals.extend(cold.map(|server| Arrival {
            at: now,
            server,
            told: told[limiter],
        }));
    }
    arrivals
}

/// Requests that the settings allow a server within the window of `safety.fall` that ends at `end`.
fn budget(safety: &Safety, end: Micros) -> f64 {
    let begin = end.saturating_sub(safety.overload_window).max(RESTART);
    let middle = (begin + end) / 2 - RESTART;
    let capacity = safety.initial_capacity
        + (1.0 - safety.initial_capacity) * middle as f64 / safety.slow_start as f64;
    safety.overload_multiple * capacity * WARM_RATE * safety.overload_window as f64 / SECOND as f64
}

/// The most that a cold server got in a window, as a part of what topples it: by all, and by those told of the start.
fn worst(arrivals: &[Arrival]) -> (f64, f64) {
    let safety = ramp_settings().safety;
    let part = |of: &dyn Fn(&Arrival) -> bool, last: &Arrival| {
        let window = arrivals.iter().filter(|other| {
            other.server == last.server
                && other.at <= last.at
                && other.at + safety.overload_window > last.at
        });
        let allowed = budget(&safety, last.at);
        window.filter(|other| of(other)).count() as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0)
    };
    let most = |of: &dyn Fn(&Arrival) -> bool| {
        arrivals
            .iter()
            .map(|last| part(of, last))
            .fold(0.0, f64::max)
    };
    (most(&|_| true), most(&|arrival| arrival.told))
}

/// Sizes of the fleet that are played.
const LIMITERS: [u32; 3] = [3, 30, 300];

fn assert_within(trouble: Trouble) {
    for (limiters, seed) in LIMITERS
        .into_iter()
        .flat_map(|limiters| (0..3).map(move |seed| (limiters, seed)))
    {
        let arrivals = arrivals(limiters, trouble, seed);
        let (all, told) = worst(&arrivals);
        println!("{limiters} limiters, seed {seed}, {trouble:?}: {all:.2} by all, {told:.2} by those told");
        assert!(!arrivals.is_empty(), "cold servers get nothing");
        assert!(
            told < 1.0,
            "{limiters} limiters, seed {seed}: {told} of what topples a cold server"
        );
        assert!(
            all < 1.0,
            "{limiters} limiters, seed {seed}: {all} of what topples a cold server, late ones too"
        );
    }
}

const QUIET: Trouble = Trouble {
    limiters_restart: false,
    busiest: 1.0,
    late_one_in: None,
};

#[test]
fn all_limiters_together_stay_within_a_warming_server_s_capacity() {
    assert_within(QUIET);
}

#[test]
fn warming_server_s_capacity_is_kept_while_limiters_restart() {
    assert_within(Trouble {
        limiters_restart: true,
        ..QUIET
    });
}

#[test]
fn warming_server_s_capacity_is_kept_with_uneven_traffic() {
    assert_within(Trouble {
        busiest: 3.0,
        ..QUIET
    });
}

#[test]
fn warming_server_s_capacity_is_kept_with_late_endpoint_updates() {
    assert_within(Trouble {
        late_one_in: Some(3),
        ..QUIET
    });
}
