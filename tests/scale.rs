//! Tests of the engine with many limiters at once: the limits that each of them keeps on its own
//! must also hold for their sum.

mod common;
use common::*;
use mossrill::decision::*;
use mossrill::Engine;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

/// Returns a request of one unit for account "a", which is served by `limiter_count` limiters.
fn request(id: String, limiter_count: u32) -> Request {
    let account = "a".into();
    let (id, timeout) = (id.as_str().into(), 2 * SECOND);
    Request {
        id,
        class: 0,
        plan: 0,
        account,
        timeout,
        units: 1.0,
        limiter_count,
        first_limiter: 0,
    }
}

/// The limiters of a fleet, which run in simulated time and share one exact counter.
struct Fleet {
    limiters: Vec<Engine>,
    /// Totals of the counter, by key.
    totals: BTreeMap<u64, f64>,
    /// Whether the counter accepts calls; it rejects them otherwise.
    counter_accepts: bool,
    /// Number of calls to the counter.
    counter_calls: usize,
}

impl Fleet {
    /// Returns `count` limiters that know these servers.
    fn new(count: u32, settings: &Settings, servers: &[Endpoint], now: Micros) -> Self {
        let mut limiters = Vec::new();
        for index in 0..count {
            let limiter_settings = Settings {
                limiter: index,
                limiters: count,
                ..settings.clone()
            };
            let mut limiter = Engine::new(limiter_settings, u64::from(index) * 7919 + 3);
            let endpoints = servers.to_vec();
            limiter.on_event(
                now,
                Event::EndpointUpdate {
                    scope: UpdateScope::Snapshot,
                    endpoints,
                },
                &mut Vec::new(),
            );
            limiters.push(limiter);
        }
        Self {
            limiters,
            totals: BTreeMap::new(),
            counter_accepts: true,
            counter_calls: 0,
        }
    }

    /// Passes an event to one limiter, and answers its counter calls and attempts at once. Returns
    /// the servers of the attempts.
    fn handle(&mut self, index: usize, now: Micros, event: Event) -> Vec<ServerId> {
        let (mut events, mut sent) = (vec![event], Vec::new());
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.limiters[index].on_event(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::AddToCounter { key, amount, .. } => {
                        self.counter_calls += 1;
                        let total = self.totals.entry(key).or_insert(0.0);
                        *total += if self.counter_accepts { amount } else { 0.0 };
                        let outcome = if self.counter_accepts {
                            Outcome::Ok
                        } else {
                            Outcome::Rejected
                        };
                        events.push(Event::CounterReply {
                            key,
                            total: *total,
                            outcome,
                        });
                    }
                    Action::Send { id, server, .. } => {
                        sent.push(server.clone());
                        let (attempt, outcome) = (0, Outcome::Ok);
                        let (latency, is_final, load, settled_units) =
                            (125_000, true, Vec::new(), None);
                        let ended = AttemptResult {
                            id,
                            attempt,
                            server,
                            outcome,
                            latency,
                            is_final,
                            load,
                            settled_units,
                        };
                        events.push(Event::AttemptEnded(ended));
                    }
                    _ => {}
                }
            }
        }
        sent
    }
}

/// Runs `count` limiters in front of ten servers, one of which restarts. Returns the number of
/// attempts at the restarted server in the 2 s after its restart, as a fraction of about what a
/// warm server gets: a ninth of all attempts. An overload within these 2 s makes the server fail.
fn warming_server_load(count: u32) -> f64 {
    let (now, settings) = (
        100 * SECOND,
        Settings {
            counter: false,
            ..settings()
        },
    );
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    let mut servers: Vec<Endpoint> = names.iter().map(|name| endpoint(name, "z0")).collect();
    let plans = vec![Plan {
        rate: 1e6,
        burst: 1e6,
        weight_factor: 1.0,
        ..Plan::default()
    }];
    let settings = Settings {
        plans,
        zone: "z0".into(),
        ..settings
    };
    let mut fleet = Fleet::new(count, &settings, &servers, now);
    let (mut warming, mut all) = (0.0, 0.0);
    for n in 0..12_000_u64 {
        // 1000 requests/s over all limiters; the tenth server restarts after 8 s.
        let (index, time) = ((n * 7 % u64::from(count)) as usize, now + n * 1_000);
        if n == 8_000 {
            servers[9].started_at = time;
            for limiter in 0..count as usize {
                let endpoints = vec![servers[9].clone()];
                fleet.handle(
                    limiter,
                    time,
                    Event::EndpointUpdate {
                        scope: UpdateScope::Delta,
                        endpoints,
                    },
                );
            }
        }
        if n % 100 == 0 {
            for limiter in 0..count as usize {
                fleet.handle(limiter, time, Event::TimerExpired { token: 0 });
            }
        }
        for server in fleet.handle(index, time, Event::Request(request(format!("r{n}"), count))) {
            if (8_000..10_000).contains(&n) {
                warming += f64::from(u8::from(*server.0 == *"s9"));
                all += 1.0;
            }
        }
    }
    warming / (all / 9.0)
}

#[test]
fn warming_server_gets_its_share_across_all_limiters() {
    // A restarted server begins with a fifth of its capacity and fails if it gets more than three
    // times that, which is 0.6 of the load of a warm server. If each of 300 limiters sent it only
    // one attempt, it would get 1.3 times the load of a warm server.
    for count in [1, 3, 300] {
        let load = warming_server_load(count);
        assert!(
            load > 0.05 && load < 0.5,
            "{count} limiters: the warming server got {load} of the load of a warm one, \
             expected 0.05 to 0.5"
        );
    }
}

/// Runs 100 limiters in front of 60 servers, 36 of which restart. Returns, for the 3 s after the
/// restart, the fraction of attempts that went to restarted servers, and the largest number of
/// attempts at one of them as a multiple of its capacity in that time.
fn load_of_36_warming_servers(seed: u64) -> (f64, f64) {
    let (now, settings) = (
        100 * SECOND,
        Settings {
            counter: false,
            ..settings()
        },
    );
    let mut servers: Vec<Endpoint> = (0..60)
        .map(|n| endpoint(&format!("s{n:02}"), "z0"))
        .collect();
    let plans = vec![Plan {
        rate: 1e6,
        burst: 1e6,
        weight_factor: 1.0,
        ..Plan::default()
    }];
    let settings = Settings {
        plans,
        zone: "z0".into(),
        ..settings
    };
    let mut fleet = Fleet::new(100, &settings, &servers, now);
    let (mut sent, mut all) = (BTreeMap::new(), 0.0);
    // 500 requests/s, 45% of the capacity of 60 warm servers, which is 18.5 requests/s each.
    for n in 0..4_500_u64 {
        let time = now + n * 2_000;
        if n == 3_000 {
            servers[24..]
                .iter_mut()
                .for_each(|server| server.started_at = time);
        }
        for index in 0..100 {
            if n == 3_000 {
                let endpoints = servers[24..].to_vec();
                fleet.handle(
                    index,
                    time,
                    Event::EndpointUpdate {
                        scope: UpdateScope::Delta,
                        endpoints,
                    },
                );
            }
            if n % 50 == 0 {
                fleet.handle(index, time, Event::TimerExpired { token: 0 });
            }
        }
        let index = ((n + seed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % 100;
        for server in fleet.handle(index, time, Event::Request(request(format!("r{n}"), 100))) {
            if n >= 3_000 {
                *sent.entry(server).or_insert(0.0) += 1.0;
                all += 1.0;
            }
        }
    }
    let warming: Vec<f64> = servers[24..]
        .iter()
        .map(|server| sent.get(&server.id).copied().unwrap_or(0.0))
        .collect();
    // The capacity rises linearly from a fifth to the whole over 10 s, so its mean over the first
    // 3 s is the capacity at 1.5 s.
    let capacity = 18.5 * 3.0 * (0.2 + 0.8 * 0.15);
    (
        warming.iter().sum::<f64>() / all,
        warming
            .iter()
            .fold(0.0, |max: f64, attempts| max.max(attempts / capacity)),
    )
}

#[test]
fn load_is_split_by_capacity_if_most_servers_are_warming() {
    // The load is the capacity of 27 warm servers, and 24 servers are warm. In this time each of
    // the others has nearly a third of the capacity of a warm server. When attempts went to them
    // only by random choice, they got a seventh of all attempts.
    for seed in 0..3 {
        let (fraction, max_load) = load_of_36_warming_servers(seed);
        assert!(
            (0.2..0.35).contains(&fraction),
            "warming servers got {fraction} of all attempts, expected 0.2 to 0.35"
        );
        assert!(
            max_load < 3.0 / 2.0,
            "a warming server got {max_load} times its capacity, expected less than 1.5"
        );
    }
}

/// Sends requests of one account through 200 limiters for 100 s, at `demand` times its rate of 10
/// units/s. Returns the units that the limiters sent, and the units that one exact token bucket
/// admits. `counter_accepts` tells whether the counter accepts calls, by the time in seconds.
fn sent_and_bucket_units(demand: f64, counter_accepts: impl Fn(f64) -> bool) -> (f64, f64) {
    let now = 1000 * SECOND;
    let mut fleet = Fleet::new(200, &settings(), &[endpoint("s0", "z0")], now);
    let (mut level, mut admitted, mut sent, mut last) = (20.0_f64, 0.0, 0.0, now);
    let gap = (SECOND as f64 / (10.0 * demand)) as Micros;
    for n in 0..(100.0 * demand * 10.0) as u64 {
        let time = now + n * gap;
        level = (level + 10.0 * (time - last) as f64 / SECOND as f64).min(20.0);
        last = time;
        if level >= 1.0 {
            (level, admitted) = (level - 1.0, admitted + 1.0);
        }
        fleet.counter_accepts = counter_accepts((time - now) as f64 / SECOND as f64);
        let index = (n * 61 % 200) as usize;
        if n % 20 == 0 {
            // The timers of all limiters expire every 20 requests; few limiters have anything to do
            // then.
            for limiter in 0..200 {
                fleet.handle(limiter, time, Event::TimerExpired { token: 0 });
            }
        }
        sent += fleet
            .handle(index, time, Event::Request(request(format!("r{n}"), 200)))
            .len() as f64;
    }
    (sent, admitted)
}

#[test]
fn account_with_little_traffic_gets_the_quota_of_one_bucket_across_all_limiters() {
    // Each window of 20 s may admit another burst of 20 units: the 5 windows in 100 s add 100 units
    // to the bucket's 1020. Limiters may leave a tenth of the units unclaimed to save
    // counter calls.
    for demand in [0.5, 1.0, 3.0] {
        let (sent, admitted) = sent_and_bucket_units(demand, |_| true);
        assert!(
            sent > 0.9 * admitted && sent < 1.25 * admitted,
            "demand {demand}: {sent} units sent, expected 0.9 to 1.25 times the bucket's {admitted}"
        );
    }
}

#[test]
fn account_gets_about_its_quota_while_the_counter_rejects_calls() {
    let (sent, admitted) = sent_and_bucket_units(3.0, |time| !(40.0..60.0).contains(&time));
    assert!(
        sent > 0.7 * admitted && sent < 1.6 * admitted,
        "{sent} units sent, expected 0.7 to 1.6 times the bucket's {admitted}"
    );
}

#[test]
fn idle_account_saves_no_more_than_its_burst() {
    // 15 s at a fifth of the rate leave 120 units of the quota unused; the burst is 20 units.
    let now = 1000 * SECOND;
    let mut fleet = Fleet::new(200, &settings(), &[endpoint("s0", "z0")], now);
    let mut sent_after_idling = 0;
    for n in 0..130_u64 {
        let time = if n < 30 {
            now + n * SECOND / 2
        } else {
            now + 15 * SECOND + n * 1_000
        };
        let sent = fleet
            .handle(
                (n * 61 % 200) as usize,
                time,
                Event::Request(request(format!("r{n}"), 200)),
            )
            .len();
        sent_after_idling += if n < 30 { 0 } else { sent };
    }
    // A count may be at twice the burst before it is corrected, and some requests are sent without
    // a counter call.
    assert!(
        (10..=60).contains(&sent_after_idling),
        "{sent_after_idling} units sent at once, expected 10 to 60"
    );
    assert!(
        fleet.counter_calls < 400,
        "{} counter calls for 130 requests, expected fewer than 400",
        fleet.counter_calls
    );
}

/// Runs one of 300 limiters in front of 60 servers with 20 requests/s for `seconds`. Returns the
/// mean number of attempts in flight in each second. `latency_at` gives the latency of attempts by
/// the time.
fn mean_in_flight(seconds: u64, latency_at: impl Fn(Micros) -> Micros) -> Vec<f64> {
    let settings = Settings {
        limiters: 300,
        counter: false,
        ..settings()
    };
    let mut harness = EngineHarness::new(settings, 60);
    let (start, mut in_flight, mut means) = (
        harness.now,
        Vec::<(Micros, RequestId, ServerId)>::new(),
        Vec::new(),
    );
    for second in 0..seconds {
        let mut total_in_flight = 0;
        for step in 0..200 {
            let mut actions = Vec::new();
            if step % 10 == 0 {
                actions = harness.request(
                    &format!("r{second}-{step}"),
                    2,
                    0,
                    &format!("c{second}-{step}"),
                );
            }
            actions.extend(harness.advance(5_000));
            let now = harness.now;
            while let Some(index) = in_flight.iter().position(|(due, ..)| *due <= now) {
                let (due, id, server) = in_flight.swap_remove(index);
                let (latency, attempt, is_final, load, settled_units) =
                    (latency_at(due), 0, true, Vec::new(), None);
                let outcome = Outcome::Ok;
                let ended = AttemptResult {
                    id,
                    attempt,
                    server,
                    outcome,
                    latency,
                    is_final,
                    load,
                    settled_units,
                };
                actions.extend(harness.handle(Event::AttemptEnded(ended)));
            }
            in_flight.extend(
                sent_attempts(&actions)
                    .into_iter()
                    .map(|(id, server)| (now + latency_at(now - start), id, server)),
            );
            total_in_flight += in_flight.len();
        }
        means.push(total_in_flight as f64 / 200.0);
    }
    means
}

#[test]
fn concurrency_limit_falls_below_one_attempt_per_limiter_under_overload() {
    // Overloaded servers stay slow until they are nearly idle. One attempt in flight for each
    // limiter, which is five for each server, kept them slow for a whole day.
    let means = mean_in_flight(10, |_| 450_000);
    assert!(
        means[6..].iter().all(|mean| *mean < 0.5),
        "mean attempts in flight by second, expected below 0.5 from second 6: {means:?}"
    );
    // Once the servers are fast again, the limit rises again.
    let means = mean_in_flight(14, |time| if time < 5 * SECOND { 450_000 } else { 50_000 });
    let overloaded = means[2..5].iter().sum::<f64>() / 3.0;
    assert!(
        overloaded < 0.6 && means[10..].iter().all(|mean| *mean > 0.8),
        "mean attempts in flight by second, expected a mean below 0.6 in seconds 2 to 4 and \
         above 0.8 from second 10: {means:?}"
    );
}

#[test]
fn starting_fleet_stays_within_the_capacity_of_its_servers() {
    // With full token buckets and an unbounded initial concurrency limit, a fleet sent fifty
    // requests to each server before the first answer showed their load.
    for (limiters, servers, expected) in [(300, 60, 1..=1), (3, 12, 4..=4), (1, 1, 1..=1)] {
        let mut harness = EngineHarness::new(
            Settings {
                limiters,
                counter: false,
                ..settings()
            },
            servers,
        );
        let sent: usize = (0..20)
            .map(|n| {
                sent_attempts(&harness.request(&format!("r{n}"), 2, 0, &format!("c{n}"))).len()
            })
            .sum();
        assert!(
            expected.contains(&sent),
            "{limiters} limiters, {servers} servers: one limiter sent {sent} attempts, \
             expected {expected:?}"
        );
    }
}

/// Runs three limiters with one account that requests twice its quota of 10 units/s, through the
/// first limiter for 10 s and through the second one from then on. `counter_accepts` tells whether
/// the counter accepts calls, by the second; at 21 s the counter loses its totals. Returns the
/// units sent in each second, and how many units in all exceeded one token bucket.
fn sent_by_account_that_moves(counter_accepts: impl Fn(u64) -> bool) -> (Vec<usize>, usize) {
    let (now, mut by_second, mut excess) = (1000 * SECOND, vec![0; 36], 0);
    let mut fleet = Fleet::new(
        3,
        &settings(),
        &[endpoint("s0", "z0"), endpoint("s1", "z0")],
        now,
    );
    let mut bucket = 20.0_f64;
    for step in 0..36 * 20 {
        let (time, second) = (now + step * SECOND / 20, step / 20);
        fleet.counter_accepts = counter_accepts(second);
        if step == 21 * 20 {
            fleet.totals.clear();
        }
        let mut sent = 0;
        for limiter in 0..3 {
            sent += fleet
                .handle(limiter, time, Event::TimerExpired { token: 0 })
                .len();
        }
        let index = usize::from(second >= 10);
        sent += fleet
            .handle(index, time, Event::Request(request(format!("r{step}"), 3)))
            .len();
        bucket = (bucket + 0.5).min(20.0);
        for _ in 0..sent {
            excess += usize::from(bucket < 1.0);
            bucket -= f64::from(u8::from(bucket >= 1.0));
        }
        by_second[second as usize] += sent;
    }
    (by_second, excess)
}

#[test]
fn account_that_moves_while_the_counter_is_unreachable_keeps_one_quota() {
    let (sent, excess) = sent_by_account_that_moves(|_| true);
    assert!(
        excess <= 8,
        "{excess} units in excess of one bucket with the counter, expected at most 8; \
         by second: {sent:?}"
    );
    let (sent, excess) = sent_by_account_that_moves(|second| !(10..21).contains(&second));
    let (without_counter, after): (usize, usize) =
        (sent[12..21].iter().sum(), sent[24..36].iter().sum());
    // Without the counter, the limiter that the account has moved to sends a third of the quota. It
    // sends the full quota once the counter is back.
    assert!(
        (24..=36).contains(&without_counter),
        "{without_counter} units sent in 9 s without the counter, expected 24 to 36; \
         by second: {sent:?}"
    );
    assert!(
        (108..=132).contains(&after),
        "{after} units sent in 12 s after the counter is back, expected 108 to 132; \
         by second: {sent:?}"
    );
    // The counter has lost its totals, so the limiters don't learn what others sent before: the
    // excess may be one full bucket.
    assert!(
        excess <= 20,
        "{excess} units in excess of one bucket, expected at most 20; by second: {sent:?}"
    );
}
