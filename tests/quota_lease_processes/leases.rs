//! Limiters share a quota by leases, also while allocators fail or limiters are paused.

use crate::cluster::{Cluster, RECOVERY_TIMEOUT};
use crate::files::{ALLOCATORS, BURST, FALLBACK, LIFETIME_MS, LIMITERS, RATE};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn three_limiters_together_stay_within_one_quota() {
    let mut cluster = Cluster::start("steady");
    cluster.start_load();
    // Time for the holders to learn the demand.
    thread::sleep(Duration::from_secs(2));
    let (served, span) = cluster.units_served_in(Duration::from_secs(6));
    let allowed = RATE * span;
    println!(
        "steady: {served} units in {span:.1} s, {:.2} of the rate",
        served / allowed
    );
    assert!(
        served >= 0.8 * allowed,
        "{served} units served, expected at least 0.8 of {allowed}"
    );
    cluster.assert_within_bound(0.0);
    cluster.stop();
}

#[test]
fn failed_owner_is_replaced_and_grants_again_after_a_restart() {
    let mut cluster = Cluster::start("owner");
    let owner = cluster.owner();
    let others: Vec<u32> = (0..ALLOCATORS).filter(|number| *number != owner).collect();
    cluster.start_load();
    cluster.wait_for_metric(owner, "granted_milli_units", |granted| granted > 0);
    cluster.kill(owner);
    let (served, span) = cluster.units_served_in(Duration::from_secs(2));
    println!("owner: {served} units in {span:.1} s without it");
    assert!(served > 0.0, "no request was served without the owner");
    cluster.assert_within_bound(FALLBACK);
    let granted_by_others = |cluster: &mut Cluster| -> u64 {
        others
            .iter()
            .map(|n| cluster.wait_for_metric(*n, "granted_milli_units", |_| true))
            .sum()
    };
    let start = Instant::now();
    while granted_by_others(&mut cluster) == 0 {
        assert!(
            start.elapsed() < RECOVERY_TIMEOUT,
            "no other allocator took over within {RECOVERY_TIMEOUT:?}"
        );
    }
    println!(
        "owner: replaced after another {:.1} s",
        start.elapsed().as_secs_f64()
    );
    cluster.assert_within_bound(FALLBACK);
    // The restarted owner has a new incarnation. It grants again once the other allocators no longer
    // treat its accounts as reassigned.
    let restarted = cluster.addresses.start_allocator(cluster.name, owner);
    cluster.allocators[owner as usize] = Some(restarted);
    let start = Instant::now();
    cluster.wait_for_metric(owner, "granted_milli_units", |granted| granted > 0);
    println!(
        "owner: grants again after {:.1} s",
        start.elapsed().as_secs_f64()
    );
    let (served, span) = cluster.units_served_in(Duration::from_secs(3));
    println!("owner: {served} units in {span:.1} s after its restart");
    assert!(
        served > 0.0,
        "no request was served after the restart of the owner"
    );
    cluster.assert_within_bound(FALLBACK);
    cluster.stop();
}

#[test]
fn without_a_quorum_of_allocators_limiters_use_the_fallback_only() {
    let mut cluster = Cluster::start("minority");
    let owner = cluster.owner();
    cluster.start_load();
    cluster.wait_for_metric(owner, "granted_milli_units", |granted| granted > 0);
    let survivor = (0..ALLOCATORS)
        .find(|number| *number != owner)
        .expect("there should be an allocator that is not the owner");
    (0..ALLOCATORS)
        .filter(|number| *number != survivor)
        .for_each(|number| cluster.kill(number));
    cluster.wait_for_line(survivor, "held: false", |_| true);
    let granted = cluster.wait_for_metric(survivor, "granted_milli_units", |_| true);
    // Units that were granted before may be used for the duration of a lease.
    thread::sleep(Duration::from_millis(2 * LIFETIME_MS));
    let (served, span) = cluster.units_served_in(Duration::from_secs(4));
    let bound = FALLBACK * (BURST + RATE * span);
    println!("minority: {served} units in {span:.1} s, {bound:.0} allowed");
    assert!(
        served > 0.0 && served <= bound,
        "{served} units in {span} s, expected more than 0 and at most {bound}"
    );
    assert_eq!(
        cluster.wait_for_metric(survivor, "granted_milli_units", |_| true),
        granted
    );
    cluster.assert_within_bound(FALLBACK);
    cluster.stop();
}

#[test]
fn paused_limiter_does_not_use_expired_leases() {
    let mut cluster = Cluster::start("paused");
    let owner = cluster.owner();
    cluster.start_load();
    let before = cluster.wait_for_metric(owner, "granted_milli_units", |granted| granted > 0);
    cluster.limiters[0].signal("STOP");
    let (served, _) = cluster.units_served_in(Duration::from_millis(4 * LIFETIME_MS));
    assert!(served > 0.0, "no request was served by the other limiters");
    cluster.limiters[0].signal("CONT");
    _ = cluster.units_served_in(Duration::from_millis(2 * LIFETIME_MS));
    cluster.wait_for_metric(owner, "granted_milli_units", |granted| granted > before);
    // To the paused limiter, the allocators seem to have been unavailable during the pause, so it may
    // use its fallback share.
    cluster.assert_within_bound(FALLBACK / f64::from(LIMITERS));
    cluster.stop();
}
