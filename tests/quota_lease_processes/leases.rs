//! Limiters share a quota by leases, also while allocators or limiters fail.

use crate::cluster::{Cluster, RECOVERY_TIMEOUT};
use crate::files::{ALLOCATORS, BURST, FALLBACK, LIFETIME_MS, LIMITERS, RATE};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn three_limiters_use_one_quota_and_no_more() {
    let mut story = Cluster::start("steady");
    story.load();
    // Until the holders know what they need.
    thread::sleep(Duration::from_secs(2));
    let (served, span) = story.served_in(Duration::from_secs(6));
    let allowed = RATE * span;
    println!(
        "steady: {served} units in {span:.1} s, {:.2} of the rate",
        served / allowed
    );
    assert!(served >= 0.8 * allowed, "{served} units of {allowed}");
    story.keeps_the_bound(0.0);
    story.ends();
}

#[test]
fn failed_owner_is_replaced_and_may_return() {
    let mut story = Cluster::start("owner");
    let owner = story.owner();
    let others: Vec<u32> = (0..ALLOCATORS).filter(|number| *number != owner).collect();
    story.load();
    story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    story.kill(owner);
    let (served, span) = story.served_in(Duration::from_secs(2));
    println!("owner: {served} units in {span:.1} s without it");
    assert!(served > 0.0, "nothing served without the owner");
    story.keeps_the_bound(FALLBACK);
    let granted_elsewhere = |story: &mut Cluster| -> u64 {
        others
            .iter()
            .map(|n| story.until_figure(*n, "granted_milli_units", |_| true))
            .sum()
    };
    let began = Instant::now();
    while granted_elsewhere(&mut story) == 0 {
        assert!(began.elapsed() < RECOVERY_TIMEOUT, "nobody took over");
    }
    println!(
        "owner: replaced {:.1} s later",
        began.elapsed().as_secs_f64()
    );
    story.keeps_the_bound(FALLBACK);
    // Back under another incarnation, it grants again once the others have given its accounts back.
    let back = story.places.start_allocator(story.name, owner);
    story.allocators[owner as usize] = Some(back);
    let began = Instant::now();
    story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    println!("owner: back after {:.1} s", began.elapsed().as_secs_f64());
    let (served, span) = story.served_in(Duration::from_secs(3));
    println!("owner: {served} units in {span:.1} s after it came back");
    assert!(served > 0.0);
    story.keeps_the_bound(FALLBACK);
    story.ends();
}

#[test]
fn without_a_quorum_of_allocators_limiters_use_the_fallback_only() {
    let mut story = Cluster::start("minority");
    let owner = story.owner();
    story.load();
    story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    let survivor = (0..ALLOCATORS)
        .find(|number| *number != owner)
        .expect("another one");
    (0..ALLOCATORS)
        .filter(|number| *number != survivor)
        .for_each(|number| story.kill(number));
    story.until_line(survivor, "held: false", |_| true);
    let granted = story.until_figure(survivor, "granted_milli_units", |_| true);
    // What was granted before may still be in use for a lifetime.
    thread::sleep(Duration::from_millis(2 * LIFETIME_MS));
    let (served, span) = story.served_in(Duration::from_secs(4));
    let bound = FALLBACK * (BURST + RATE * span);
    println!("minority: {served} units in {span:.1} s, {bound:.0} allowed");
    assert!(
        served > 0.0 && served <= bound,
        "{served} units in {span} s, {bound} allowed"
    );
    assert_eq!(
        story.until_figure(survivor, "granted_milli_units", |_| true),
        granted
    );
    story.keeps_the_bound(FALLBACK);
    story.ends();
}

#[test]
fn paused_limiter_does_not_use_expired_leases() {
    let mut story = Cluster::start("paused");
    let owner = story.owner();
    story.load();
    let before = story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    story.limiters[0].signal("STOP");
    let (served, _) = story.served_in(Duration::from_millis(4 * LIFETIME_MS));
    assert!(served > 0.0, "the others are served meanwhile");
    story.limiters[0].signal("CONT");
    _ = story.served_in(Duration::from_millis(2 * LIFETIME_MS));
    story.until_figure(owner, "granted_milli_units", |granted| granted > before);
    // For all that it knows, the allocators were silent for so long: it may use its part of the fallback.
    story.keeps_the_bound(FALLBACK / f64::from(LIMITERS));
    story.ends();
}
