//! What holds for every order of requests, losses, delays, pauses, deaths and changes of the owner.

use mossrill::decision::Micros;
use mossrill::quota_lease::holder::HolderSettings;
use proptest::prelude::*;

use super::world::{Network, World, ALLOCATORS, LIMITERS, PLANS, SECOND};

/// Requests that make one step, at most.
const MOST_REQUESTS: usize = 8;
/// A limiter pauses so long, in the issue's own case.
const PAUSE: Micros = 10 * SECOND;
const STEPS: usize = 60;
/// What expired is returned, and told apart, by quarters of a lease.
const SLOTS_OF_A_LEASE: u64 = 4;

#[derive(Clone, Debug)]
enum Step {
    Requests {
        limiter: usize,
        account: usize,
        units: u64,
        count: usize,
    },
    /// Every limiter at once, as a giant's users do.
    Rush {
        account: usize,
        units: u64,
    },
    Run(Micros),
    PutBack,
    PauseLimiter(usize),
    RestartLimiter(usize),
    RestartAllocator(usize),
    IsolateAllocator(usize, Micros),
    Cut(usize, usize, Micros),
    /// The limiters of one side reach one allocator alone.
    Split(usize, Micros),
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
        1..=MOST_REQUESTS,
    );
    let step = prop_oneof![
        12 => requests.prop_map(|(limiter, account, units, count)| Step::Requests { limiter, account, units, count }),
        4 => (account, units).prop_map(|(account, units)| Step::Rush { account, units }),
        8 => (1_000..2 * SECOND).prop_map(Step::Run),
        2 => (SECOND..15 * SECOND).prop_map(Step::Run),
        3 => Just(Step::PutBack),
        1 => limiter.clone().prop_map(Step::PauseLimiter),
        1 => limiter.clone().prop_map(Step::RestartLimiter),
        2 => allocator.clone().prop_map(Step::RestartAllocator),
        2 => (allocator.clone(), span.clone()).prop_map(|(who, span)| Step::IsolateAllocator(who, span)),
        1 => (limiter.clone(), allocator.clone(), span.clone()).prop_map(|(who, to, span)| Step::Cut(who, to, span)),
        1 => (allocator.clone(), span).prop_map(|(who, span)| Step::Split(who, span)),
        1 => (limiter, allocator).prop_map(|(who, to)| Step::BreakConnection(who, to)),
    ];
    prop::collection::vec(step, 1..STEPS)
}

fn networks() -> impl Strategy<Value = Network> {
    let delay = prop_oneof![2 => 1_000..50_000u64, 1 => 50_000..3 * SECOND];
    (0..40u32, 0..40u32, delay).prop_map(|(lost_percent, doubled_percent, longest_delay)| Network {
        lost_percent,
        doubled_percent,
        longest_delay,
    })
}

fn settings() -> impl Strategy<Value = HolderSettings> {
    let lease = prop_oneof![Just(2 * SECOND), Just(10 * SECOND)];
    let least = prop_oneof![Just(0), Just(1_000u64)];
    (lease, 0..=1_000u32, least, any::<bool>()).prop_map(
        |(lease, fallback_thousandths, fallback_least, trust)| HolderSettings {
            lease,
            fallback_thousandths,
            fallback_min_burst: fallback_least,
            use_fallback_first: trust,
            ..HolderSettings::default()
        },
    )
}

fn carry_out(world: &mut World, step: Step) {
    match step {
        Step::Requests {
            limiter,
            account,
            units,
            count,
        } => {
            (0..count).for_each(|_| world.request(limiter, account, units));
        }
        Step::Rush { account, units } => {
            (0..LIMITERS * MOST_REQUESTS).for_each(|n| world.request(n % LIMITERS, account, units));
        }
        Step::Run(span) => world.run(span),
        Step::PutBack => world.put_back(),
        Step::PauseLimiter(limiter) => world.pause_limiter(limiter, PAUSE),
        Step::RestartLimiter(limiter) => world.restart_limiter(limiter),
        Step::RestartAllocator(allocator) => world.restart_allocator(allocator),
        Step::IsolateAllocator(allocator, span) => world.isolate_allocator(allocator, span),
        Step::Cut(limiter, allocator, span) => world.cut(limiter, allocator, span),
        Step::Split(side, span) => {
            for allocator in (0..ALLOCATORS).filter(|allocator| *allocator != side) {
                (0..LIMITERS / 2).for_each(|limiter| world.cut(limiter, allocator, span));
            }
        }
        Step::BreakConnection(limiter, allocator) => world.break_connection(limiter, allocator),
    }
    // What follows is never at the same moment as what came before.
    world.run(1_000);
}

fn check_bounds(world: &World, settings: &HolderSettings) {
    for (account, (plan, ledger)) in PLANS.iter().zip(&world.ledgers).enumerate() {
        let (rate, burst) = (plan.rate, plan.burst as i64);
        let granted = ledger.granted.most_above(rate);
        assert!(
            granted <= burst,
            "account {account}: {granted} granted above the rate, burst {burst}"
        );
        let lifetime = settings.lease + settings.lease / SLOTS_OF_A_LEASE;
        let outstanding = (u128::from(rate) * u128::from(lifetime) / u128::from(SECOND)) as i64;
        let used = ledger.leased.most_above(rate);
        assert!(
            used <= burst + outstanding,
            "account {account}: {used} used above the rate, burst {burst}"
        );
        let fallback = u64::from(settings.fallback_thousandths);
        let part = plan.burst * fallback / (1_000 * LIMITERS as u64);
        let least = if fallback > 0 {
            settings.fallback_min_burst.min(plan.burst)
        } else {
            0
        };
        let part_rate = (rate * fallback).div_ceil(1_000 * LIMITERS as u64);
        for flow in &ledger.beyond {
            let beyond = flow.most_above(part_rate);
            assert!(
                beyond <= part.max(least) as i64,
                "account {account}: {beyond} beyond above the part's rate"
            );
        }
        let beyond: i64 = ledger.beyond.iter().map(|flow| flow.total()).sum();
        assert!(
            ledger.reported as i64 <= beyond,
            "account {account}: use beyond counted twice"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, max_shrink_iters: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_granted_and_used_stays_within_the_bounds(
        steps in steps(),
        network in networks(),
        settings in settings(),
        seed in any::<u64>(),
    ) {
        let mut world = World::new(seed, network, settings);
        world.run(SECOND);
        for step in steps {
            carry_out(&mut world, step);
        }
        world.run(3 * settings.lease);
        check_bounds(&world, &settings);
    }

    #[test]
    fn once_all_is_well_every_account_is_served_by_leases_again(
        steps in steps(),
        network in networks(),
        seed in any::<u64>(),
    ) {
        let settings = HolderSettings { fallback_thousandths: 0, ..HolderSettings::default() };
        let mut world = World::new(seed, network, settings);
        for step in steps {
            carry_out(&mut world, step);
        }
        world.heal();
        // Leases of the fleet, what went beyond before, and a unit of the thinnest account.
        world.run(60 * SECOND);
        for account in 0..PLANS.len() {
            let taken = world.taken;
            world.request(0, account, 1_000);
            world.run(world.longest_wait());
            prop_assert_eq!(world.taken, taken + 1, "account {}", account);
        }
    }
}
