//! Property tests: bounds that hold for every sequence of requests, message losses, delays, pauses,
//! restarts and changes of ownership.

use mossrill::decision::Micros;
use mossrill::quota_lease::holder::HolderSettings;
use proptest::prelude::*;

use super::world::{Network, World, ALLOCATORS, LIMITERS, PLANS, SECOND};

/// Maximum number of requests that a step sends to one limiter.
const MAX_REQUESTS_PER_LIMITER: usize = 8;
/// Duration of a pause of a limiter. It equals the default duration of a lease: a pause of this length
/// has led to a failure.
const PAUSE_DURATION: Micros = 10 * SECOND;
const STEPS: usize = 60;
/// Number of time slots in the duration of a lease. Unused units of expired leases are
/// returned by the slot in which they were granted.
const SLOTS_PER_LEASE: u64 = 4;

#[derive(Clone, Debug)]
enum Step {
    Requests {
        limiter: usize,
        account: usize,
        units: u64,
        count: usize,
    },
    /// Requests at every limiter at the same time, as for an account with a very high rate.
    RequestsAtAllLimiters {
        account: usize,
        units: u64,
    },
    Run(Micros),
    PutBack,
    PauseLimiter(usize),
    RestartLimiter(usize),
    RestartAllocator(usize),
    /// The allocator is cut off from the fleet of allocators.
    IsolateAllocator(usize, Micros),
    /// All messages between a limiter and an allocator are lost.
    DropMessages(usize, usize, Micros),
    /// Half of the limiters reach only this allocator.
    IsolateHalfOfLimiters(usize, Micros),
    BreakConnection(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let limiter = 0..LIMITERS;
    let allocator = 0..ALLOCATORS;
    let account = 0..PLANS.len();
    let units = prop_oneof![4 => Just(1_000u64), 1 => 1u64..4_000];
    let span = SECOND / 10..20 * SECOND;
    let requests = (
        limiter.clone(),
        account.clone(),
        units.clone(),
        1..=MAX_REQUESTS_PER_LIMITER,
    );
    let step = prop_oneof![
        12 => requests.prop_map(|(limiter, account, units, count)| Step::Requests { limiter, account, units, count }),
        4 => (account, units).prop_map(|(account, units)| Step::RequestsAtAllLimiters { account, units }),
        8 => (1_000..2 * SECOND).prop_map(Step::Run),
        2 => (SECOND..15 * SECOND).prop_map(Step::Run),
        3 => Just(Step::PutBack),
        1 => limiter.clone().prop_map(Step::PauseLimiter),
        1 => limiter.clone().prop_map(Step::RestartLimiter),
        2 => allocator.clone().prop_map(Step::RestartAllocator),
        2 => (allocator.clone(), span.clone()).prop_map(|(number, span)| Step::IsolateAllocator(number, span)),
        1 => (limiter.clone(), allocator.clone(), span.clone()).prop_map(|(limiter, allocator, span)| Step::DropMessages(limiter, allocator, span)),
        1 => (allocator.clone(), span).prop_map(|(number, span)| Step::IsolateHalfOfLimiters(number, span)),
        1 => (limiter, allocator).prop_map(|(limiter, allocator)| Step::BreakConnection(limiter, allocator)),
    ];
    prop::collection::vec(step, 1..STEPS)
}

fn networks() -> impl Strategy<Value = Network> {
    let delay = prop_oneof![2 => 1_000..50_000u64, 1 => 50_000..3 * SECOND];
    (0..40u32, 0..40u32, delay).prop_map(|(loss_percent, duplicate_percent, max_delay)| Network {
        loss_percent,
        duplicate_percent,
        max_delay,
    })
}

fn settings() -> impl Strategy<Value = HolderSettings> {
    let lease = prop_oneof![Just(2 * SECOND), Just(10 * SECOND)];
    let min_burst = prop_oneof![Just(0), Just(1_000u64)];
    (lease, 0..=1_000u32, min_burst, any::<bool>()).prop_map(
        |(lease, fallback_thousandths, fallback_min_burst, use_fallback_first)| HolderSettings {
            lease,
            fallback_thousandths,
            fallback_min_burst,
            use_fallback_first,
            ..HolderSettings::default()
        },
    )
}

fn apply_step(world: &mut World, step: Step) {
    match step {
        Step::Requests {
            limiter,
            account,
            units,
            count,
        } => {
            (0..count).for_each(|_| world.request(limiter, account, units));
        }
        Step::RequestsAtAllLimiters { account, units } => {
            (0..LIMITERS * MAX_REQUESTS_PER_LIMITER)
                .for_each(|index| world.request(index % LIMITERS, account, units));
        }
        Step::Run(span) => world.run(span),
        Step::PutBack => world.put_back(),
        Step::PauseLimiter(limiter) => world.pause_limiter(limiter, PAUSE_DURATION),
        Step::RestartLimiter(limiter) => world.restart_limiter(limiter),
        Step::RestartAllocator(allocator) => world.restart_allocator(allocator),
        Step::IsolateAllocator(allocator, span) => world.isolate_allocator(allocator, span),
        Step::DropMessages(limiter, allocator, span) => {
            world.drop_messages(limiter, allocator, span)
        }
        Step::IsolateHalfOfLimiters(reachable, span) => {
            for allocator in (0..ALLOCATORS).filter(|allocator| *allocator != reachable) {
                (0..LIMITERS / 2).for_each(|limiter| world.drop_messages(limiter, allocator, span));
            }
        }
        Step::BreakConnection(limiter, allocator) => world.break_connection(limiter, allocator),
    }
    // Consecutive steps never happen at the same time.
    world.run(1_000);
}

fn check_bounds(world: &World, settings: &HolderSettings) {
    for (account, (plan, ledger)) in PLANS.iter().zip(&world.ledgers).enumerate() {
        let (rate, burst) = (plan.rate, plan.burst as i64);
        let granted = ledger.granted.max_excess_over(rate);
        assert!(
            granted <= burst,
            "account {account}: {granted} granted in excess of the rate, expected at most {burst}"
        );
        let lifetime = settings.lease + settings.lease / SLOTS_PER_LEASE;
        let outstanding = (u128::from(rate) * u128::from(lifetime) / u128::from(SECOND)) as i64;
        let used = ledger.leased.max_excess_over(rate);
        assert!(
            used <= burst + outstanding,
            "account {account}: {used} used in excess of the rate, expected at most {burst} + {outstanding}"
        );
        let fallback = u64::from(settings.fallback_thousandths);
        let share_burst = plan.burst * fallback / (1_000 * LIMITERS as u64);
        let min_burst = if fallback > 0 {
            settings.fallback_min_burst.min(plan.burst)
        } else {
            0
        };
        let share_rate = (rate * fallback).div_ceil(1_000 * LIMITERS as u64);
        for units in &ledger.fallback {
            let fallback_used = units.max_excess_over(share_rate);
            assert!(
                fallback_used <= share_burst.max(min_burst) as i64,
                "account {account}: {fallback_used} of the fallback share used in excess of its rate, \
                 expected at most the larger of {share_burst} and {min_burst}"
            );
        }
        let fallback_used: i64 = ledger.fallback.iter().map(|units| units.total()).sum();
        assert!(
            ledger.reported_fallback as i64 <= fallback_used,
            "account {account}: reported more than the {fallback_used} used of the fallback share"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, max_shrink_iters: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn granted_and_used_units_stay_within_the_bounds(
        steps in steps(),
        network in networks(),
        settings in settings(),
        seed in any::<u64>(),
    ) {
        let mut world = World::new(seed, network, settings);
        world.run(SECOND);
        for step in steps {
            apply_step(&mut world, step);
        }
        world.run(3 * settings.lease);
        check_bounds(&world, &settings);
    }

    #[test]
    fn every_account_is_served_by_leases_after_all_faults_end(
        steps in steps(),
        network in networks(),
        seed in any::<u64>(),
    ) {
        let settings = HolderSettings { fallback_thousandths: 0, ..HolderSettings::default() };
        let mut world = World::new(seed, network, settings);
        for step in steps {
            apply_step(&mut world, step);
        }
        world.end_faults();
        // Time for the fleet's leases to be renewed, for earlier use of the fallback share to be made up,
        // and for a unit of the account with the lowest rate to accrue.
        world.run(60 * SECOND);
        for account in 0..PLANS.len() {
            let taken = world.taken;
            world.request(0, account, 1_000);
            world.run(world.max_wait());
            prop_assert_eq!(world.taken, taken + 1, "account {}", account);
        }
    }
}
