//! Limiters end an overload of the upstream servers and reject excess load.

use crate::server::{CORES, MEAN_SERVICE_MICROS, MS};
use crate::world::{SimulatedEvent, World, START};

fn mean(fractions: &[f64]) -> f64 {
    fractions.iter().sum::<f64>() / fractions.len() as f64
}

#[test]
fn overload_ends_within_seconds_of_its_cause() {
    // Every server is four times slower for five seconds, in which the load far exceeds the
    // capacity.
    for (limiters, servers) in [(3, 9), (48, 12), (300, 60)] {
        let served = World::new(limiters, servers, 3).run(18, 0.9, (4.0, 6..11));
        let (before, slow, after) = (
            mean(&served[2..6]),
            mean(&served[8..11]),
            mean(&served[14..18]),
        );
        assert!(
            before > 0.8 && slow < 0.3 && after > 0.75,
            "{limiters} limiters: fraction served by second {served:.2?}"
        );
    }
}

#[test]
fn excess_load_is_rejected_and_most_of_the_capacity_is_used() {
    for (limiters, servers) in [(3, 9), (48, 12), (300, 60)] {
        let served = World::new(limiters, servers, 4).run(20, 1.1, (1.0, 0..0));
        assert!(
            mean(&served[4..]) > 0.6,
            "{limiters} limiters: fraction served by second {served:.2?}"
        );
    }
}

#[test]
fn restart_of_two_of_three_limiters_under_full_load_affects_only_their_requests() {
    let mut world = World::new(3, 11, 5);
    world.schedule(6_000 * MS, SimulatedEvent::LimiterRestart(0));
    world.schedule(16_000 * MS, SimulatedEvent::LimiterRestart(1));
    let served = world.run(24, 1.0, (1.0, 0..0));
    let (before, first, second) = (
        mean(&served[2..6]),
        mean(&served[7..15]),
        mean(&served[17..24]),
    );
    assert!(
        first > before - 0.2 && second > before - 0.2 && before > 0.8,
        "fraction served by second: {served:.2?}"
    );
}

#[test]
fn limiter_with_three_times_the_load_serves_the_same_fraction() {
    let mut world = World::new(3, 11, 6);
    world.first_limiter_load = 3;
    let served = world.run(20, 0.7, (1.0, 0..0));
    assert!(
        mean(&served[2..]) > 0.97,
        "fraction served by second: {served:.2?}"
    );
}

#[test]
fn warming_slow_server_is_neither_overloaded_nor_left_out() {
    for limiters in [3, 48] {
        let mut world = World::new(limiters, 12, 7);
        world.servers[0].speed = 0.55;
        world.schedule(5_000 * MS, SimulatedEvent::ServerRestart(0));
        let served = world.run(24, 0.6, (1.0, 0..0));
        assert!(
            mean(&served[2..]) > 0.95,
            "{limiters} limiters: fraction served by second {served:.2?}"
        );
        let server = &world.servers[0];
        // Peak over all three-second windows of the arrivals, as a multiple of the requests that
        // the server could process in the window with its capacity at the start of the window.
        let peak = (50..230).map(|step| {
            let start = START + step * 100 * MS;
            let arrivals = server
                .arrivals
                .iter()
                .filter(|arrival| (start..start + 3_000 * MS).contains(arrival))
                .count() as f64;
            arrivals * MEAN_SERVICE_MICROS / (server.capacity(start) * CORES as f64 * 3e6)
        });
        let peak = peak.fold(0.0, f64::max);
        let arrivals_when_warm = server
            .arrivals
            .iter()
            .filter(|arrival| **arrival > START + 18_000 * MS)
            .count();
        assert!(
            peak < 2.5 && arrivals_when_warm > 10,
            "{limiters} limiters: peak arrivals {peak:.2} times the capacity, want < 2.5; \
             {arrivals_when_warm} arrivals at the warm server, want > 10"
        );
    }
}
