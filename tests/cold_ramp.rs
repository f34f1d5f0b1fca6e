//! The load that all limiters together put on freshly started servers stays within the capacity of
//! these servers.
//!
//! Many engines share one set of servers. Every attempt is answered at once, the worst case,
//! because slow answers would reduce the number of requests. The bound is the acceptance criterion:
//! within any `overload_window`, the time in which an overloaded cold server fails, at most the
//! number of requests that the settings allow, plus twice its square root for random variation,
//! plus two.

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
/// Number of servers that restart at [`SERVER_RESTART`] and are cold afterwards.
const COLD_SERVERS: usize = 2;
const SERVER_RESTART: Micros = START + 8 * SECOND;
const END: Micros = SERVER_RESTART + 13 * SECOND;
/// Requests per second that one warm server can process.
const WARM_RATE: f64 = 16.0;
/// Requests per second sent to the whole fleet: the full capacity of the servers when all are warm.
const REQUEST_RATE: f64 = WARM_RATE * SERVERS as f64;
/// Delay after which limiters with delayed endpoint updates learn of the server restart.
const UPDATE_DELAY: Micros = SECOND;
/// Time between two steps of the limiter restart; each step restarts a tenth of the limiters.
const LIMITER_RESTART_INTERVAL: Micros = SECOND / 2;

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    limiters_restart: bool,
    /// Traffic of limiter 0 as a multiple of the traffic of each other limiter.
    first_limiter_load: f64,
    /// With `Some(n)`, every n-th limiter learns of the server restart [`UPDATE_DELAY`] later than
    /// the others.
    delayed_update_every: Option<usize>,
}

/// A request that reached a cold server.
struct Arrival {
    at: Micros,
    server: usize,
    /// Whether the limiter that sent it had received the endpoint update about the restart.
    informed: bool,
}

/// Limiters that send to the same servers.
struct Fleet {
    settings: Settings,
    engines: Vec<Engine>,
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
        let started = if restarted && number < COLD_SERVERS {
            SERVER_RESTART
        } else {
            0
        };
        Endpoint {
            started_at: started,
            ..endpoint(&format!("s{number:02}"), "z0")
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
            engines: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        fleet.engines = (0..limiters)
            .map(|number| fleet.start_limiter(number, START, false))
            .collect();
        fleet
    }

    fn start_limiter(&mut self, number: u32, now: Micros, restarted: bool) -> Engine {
        let settings = Settings {
            limiter: number,
            ..self.settings.clone()
        };
        let mut engine = Engine::new(settings, self.rng.random());
        let list = Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints: servers(restarted),
        };
        engine.on_event(now, list, &mut Vec::new());
        engine
    }

    /// Passes an event to the engine of a limiter, answers the attempts that result at once, and
    /// returns the servers of these attempts.
    fn handle_event(&mut self, limiter: usize, now: Micros, event: Event) -> Vec<usize> {
        let (mut events, mut sent) = (vec![event], Vec::new());
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.engines[limiter].on_event(now, event, &mut actions);
            for (id, server) in sent_attempts(&actions) {
                sent.push(
                    server.0[1..]
                        .parse()
                        .expect("server id is `s` and a number"),
                );
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

    fn pick_limiter(&mut self, weights: &[(usize, f64)]) -> usize {
        weights
            .choose_weighted(&mut self.rng, |(_, weight)| *weight)
            .expect("limiter weights are not empty and positive")
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

/// Simulates a restart of servers and returns the requests that reached them afterwards.
fn simulate_server_restart(limiters: u32, disturbance: Disturbance, seed: u64) -> Vec<Arrival> {
    let mut fleet = Fleet::new(limiters, seed);
    let count = limiters as usize;
    let weight = |limiter: usize| {
        if limiter == 0 {
            disturbance.first_limiter_load
        } else {
            1.0
        }
    };
    let weights: Vec<(usize, f64)> = (0..count)
        .map(|limiter| (limiter, weight(limiter)))
        .collect();
    let delayed = |limiter: usize| {
        disturbance
            .delayed_update_every
            .is_some_and(|every| limiter % every == 0)
    };
    let mut informed = vec![false; count];
    let mut arrivals = Vec::new();
    let (mut now, mut request_number, mut restart_step) = (START, 0, 0);
    let mean_interval = SECOND as f64 / REQUEST_RATE;
    let mut next_tick = START;
    while now < END {
        now += (-mean_interval * (1.0 - fleet.rng.random::<f64>()).ln()) as Micros;
        request_number += 1;
        while next_tick < now {
            next_tick += SECOND / 20;
            for (limiter, is_informed) in informed.iter_mut().enumerate() {
                let update_at = SERVER_RESTART + if delayed(limiter) { UPDATE_DELAY } else { 0 };
                if !*is_informed && next_tick >= update_at {
                    *is_informed = true;
                    let members = servers(true)[..COLD_SERVERS].to_vec();
                    fleet.handle_event(
                        limiter,
                        next_tick,
                        Event::EndpointUpdate {
                            scope: UpdateScope::Delta,
                            endpoints: members,
                        },
                    );
                }
                fleet.handle_event(limiter, next_tick, Event::TimerExpired { token: 0 });
            }
            if disturbance.limiters_restart
                && next_tick >= SERVER_RESTART + LIMITER_RESTART_INTERVAL * (restart_step + 1)
            {
                for limiter in
                    (0..count).filter(|limiter| *limiter as u64 % 10 == restart_step % 10)
                {
                    fleet.engines[limiter] =
                        fleet.start_limiter(limiter as u32, next_tick, informed[limiter]);
                }
                restart_step += 1;
            }
        }
        let limiter = fleet.pick_limiter(&weights);
        let sent = fleet.handle_event(
            limiter,
            now,
            Event::Request(request(request_number, limiters)),
        );
        let cold = sent
            .into_iter()
            .filter(|server| *server < COLD_SERVERS && now >= SERVER_RESTART);
        arrivals.extend(cold.map(|server| Arrival {
            at: now,
            server,
            informed: informed[limiter],
        }));
    }
    arrivals
}

/// Returns the number of requests that the settings allow a cold server within the
/// `overload_window` that ends at `end`.
fn allowed_requests(safety: &Safety, end: Micros) -> f64 {
    let begin = end
        .saturating_sub(safety.overload_window)
        .max(SERVER_RESTART);
    let middle = (begin + end) / 2 - SERVER_RESTART;
    let capacity = safety.initial_capacity
        + (1.0 - safety.initial_capacity) * middle as f64 / safety.slow_start as f64;
    safety.overload_multiple * capacity * WARM_RATE * safety.overload_window as f64 / SECOND as f64
}

/// Returns the peak number of requests at a cold server in a window, as a fraction of the number
/// that overloads the server: from all limiters, and from those that had received the endpoint
/// update about the restart.
fn peak_load(arrivals: &[Arrival]) -> (f64, f64) {
    let safety = ramp_settings().safety;
    let load = |is_counted: &dyn Fn(&Arrival) -> bool, newest: &Arrival| {
        let window = arrivals.iter().filter(|other| {
            other.server == newest.server
                && other.at <= newest.at
                && other.at + safety.overload_window > newest.at
        });
        let allowed = allowed_requests(&safety, newest.at);
        window.filter(|other| is_counted(other)).count() as f64
            / (allowed + 2.0 * allowed.sqrt() + 2.0)
    };
    let peak = |is_counted: &dyn Fn(&Arrival) -> bool| {
        arrivals
            .iter()
            .map(|newest| load(is_counted, newest))
            .fold(0.0, f64::max)
    };
    (peak(&|_| true), peak(&|arrival| arrival.informed))
}

/// Simulated numbers of limiters.
const FLEET_SIZES: [u32; 5] = [1, 2, 3, 30, 300];

fn assert_within_capacity(disturbance: Disturbance) {
    for (limiters, seed) in FLEET_SIZES
        .into_iter()
        .flat_map(|limiters| (0..3).map(move |seed| (limiters, seed)))
    {
        let arrivals = simulate_server_restart(limiters, disturbance, seed);
        let (all, informed) = peak_load(&arrivals);
        println!(
            "{limiters} limiters, seed {seed}, {disturbance:?}: load {all:.2} from all limiters, \
             {informed:.2} from informed ones"
        );
        assert!(
            !arrivals.is_empty(),
            "{limiters} limiters, seed {seed}: no request reached a cold server"
        );
        assert!(
            informed < 1.0,
            "{limiters} limiters, seed {seed}: informed limiters sent {informed} of the load \
             that overloads a cold server, want < 1"
        );
        assert!(
            all < 1.0,
            "{limiters} limiters, seed {seed}: all limiters sent {all} of the load \
             that overloads a cold server, want < 1"
        );
    }
}

const UNDISTURBED: Disturbance = Disturbance {
    limiters_restart: false,
    first_limiter_load: 1.0,
    delayed_update_every: None,
};

#[test]
fn all_limiters_together_stay_within_a_warming_server_s_capacity() {
    assert_within_capacity(UNDISTURBED);
}

#[test]
fn warming_server_s_capacity_is_kept_while_limiters_restart() {
    assert_within_capacity(Disturbance {
        limiters_restart: true,
        ..UNDISTURBED
    });
}

#[test]
fn warming_server_s_capacity_is_kept_with_uneven_traffic() {
    assert_within_capacity(Disturbance {
        first_limiter_load: 3.0,
        ..UNDISTURBED
    });
}

#[test]
fn warming_server_s_capacity_is_kept_with_late_endpoint_updates() {
    assert_within_capacity(Disturbance {
        delayed_update_every: Some(3),
        ..UNDISTURBED
    });
}
