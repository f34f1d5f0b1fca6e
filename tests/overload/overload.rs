//! Overload of the upstream servers ends, and excess load is rejected.

use crate::server::{CORES, MS, WORK};
use crate::world::{Occurrence, World, START};

fn mean(part: &[f64]) -> f64 {
    part.iter().sum::<f64>() / part.len() as f64
}

#[test]
fn overload_ends_within_seconds_of_its_cause() {
    // Every node is four times slower for five seconds: far more is asked than they can do then.
    for (gateways, nodes) in [(3, 9), (48, 12), (300, 60)] {
        let served = World::new(gateways, nodes, 3).play(18, 0.9, (4.0, 6..11));
        let (before, slow, after) = (
            mean(&served[2..6]),
            mean(&served[8..11]),
            mean(&served[14..18]),
        );
        assert!(
            before > 0.8 && slow < 0.3 && after > 0.75,
            "{gateways} gateways: {served:.2?}"
        );
    }
}

#[test]
fn excess_load_is_rejected_and_most_of_the_capacity_is_used() {
    for (gateways, nodes) in [(3, 9), (48, 12), (300, 60)] {
        let served = World::new(gateways, nodes, 4).play(20, 1.1, (1.0, 0..0));
        assert!(
            mean(&served[4..]) > 0.6,
            "{gateways} gateways: {served:.2?}"
        );
    }
}

#[test]
fn restart_of_two_of_three_limiters_under_full_load_affects_only_their_requests() {
    let mut world = World::new(3, 11, 5);
    world.at(6_000 * MS, Occurrence::Restart(0));
    world.at(16_000 * MS, Occurrence::Restart(1));
    let served = world.play(24, 1.0, (1.0, 0..0));
    let (before, first, second) = (
        mean(&served[2..6]),
        mean(&served[7..15]),
        mean(&served[17..24]),
    );
    assert!(
        first > before - 0.2 && second > before - 0.2 && before > 0.8,
        "{served:.2?}"
    );
}

#[test]
fn limiter_with_three_times_the_load_serves_the_same_fraction() {
    let mut world = World::new(3, 11, 6);
    world.share = 3;
    let served = world.play(20, 0.7, (1.0, 0..0));
    assert!(mean(&served[2..]) > 0.97, "{served:.2?}");
}

#[test]
fn warming_slow_server_is_neither_overloaded_nor_left_out() {
    for gateways in [3, 48] {
        let mut world = World::new(gateways, 12, 7);
        world.nodes[0].speed = 0.55;
        world.at(5_000 * MS, Occurrence::Cold(0));
        let served = world.play(24, 0.6, (1.0, 0..0));
        assert!(
            mean(&served[2..]) > 0.95,
            "{gateways} gateways: {served:.2?}"
        );
        let node = &world.nodes[0];
        // What came in any three seconds against what the node can do in them, in requests.
        let most = (50..230).map(|tenth| {
            let from = START + tenth * 100 * MS;
            let came = node
                .sent
                .iter()
                .filter(|t| (from..from + 3_000 * MS).contains(t))
                .count() as f64;
            came * WORK / (node.capacity(from) * CORES as f64 * 3e6)
        });
        let most = most.fold(0.0, f64::max);
        let late = node
            .sent
            .iter()
            .filter(|t| **t > START + 18_000 * MS)
            .count();
        assert!(
            most < 2.5 && late > 10,
            "{gateways} gateways: {most:.2} of it, {late} sent once warm"
        );
    }
}
