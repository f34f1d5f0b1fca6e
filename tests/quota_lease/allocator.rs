//! Unit tests of the allocator: each test sends reports to one allocator and checks its answers.

use mossrill::decision::Micros;
use mossrill::quota_lease::allocator::{Allocator, AllocatorSettings, Ownership};
use mossrill::quota_lease::message::{
    AccountKey, Grant, GrantEntry, MessageError, PlanLimits, Report, ReportEntry, Verdict, FORMAT,
    MAX_UNITS,
};
use mossrill::quota_lease::placement;

const SECOND: Micros = 1_000_000;
const LEASE: Micros = 10 * SECOND;
const INCARNATION: u64 = 5;
const PLAN: PlanLimits = PlanLimits {
    rate: 1_000,
    burst: 10_000,
};
/// Time by which a bucket of this plan, empty at time 0, is certainly full; it fills in 10 s.
const FILL_TIME: Micros = 20 * SECOND;

fn account() -> AccountKey {
    AccountKey::of("a")
}

fn settings() -> AllocatorSettings {
    AllocatorSettings {
        limiters: 3,
        lease: LEASE,
        ..AllocatorSettings::default()
    }
}

/// Returns an ownership without expiry.
fn without_expiry(reassigned: u64) -> Ownership {
    Ownership {
        reassigned,
        reassigned_until: Micros::MAX,
        lease_ends: Micros::MAX,
    }
}

/// Returns the only allocator of a fleet, which has held its lease since time 0.
fn sole_allocator(incarnation: u64) -> Allocator {
    let mut allocator = Allocator::new(0, 1, incarnation, settings());
    allocator.set_ownership(0, without_expiry(0));
    allocator
}

fn entry_waiting_for(waiting: u64) -> ReportEntry {
    ReportEntry {
        waiting,
        ..ReportEntry::new(account(), PLAN)
    }
}

fn report(limiter: u32, sequence: u64, addressed_to: u64, entries: &[ReportEntry]) -> Report {
    let mut report = Report {
        format: FORMAT,
        limiter,
        incarnation: 1,
        sequence,
        addressed_to,
        ..Report::default()
    };
    entries.iter().for_each(|entry| report.push(entry));
    report
}

fn process(allocator: &mut Allocator, now: Micros, report: &Report) -> Grant {
    allocator.on_report(now, report).unwrap()
}

fn only_entry(grant: &Grant) -> GrantEntry {
    assert_eq!(grant.entries, 1);
    grant.entries().next().unwrap()
}

/// Returns the units that limiter 0 is granted for an entry.
fn granted_units(allocator: &mut Allocator, now: Micros, sequence: u64, entry: ReportEntry) -> u64 {
    only_entry(&process(
        allocator,
        now,
        &report(0, sequence, INCARNATION, &[entry]),
    ))
    .units
}

#[test]
fn bucket_is_empty_when_ownership_begins_and_fills_at_its_rate_up_to_the_burst() {
    for (now, expected) in [
        (0, 0),
        (999_999, 0),
        (SECOND, 1_000),
        (3 * SECOND, 3_000),
        (FILL_TIME, 10_000),
    ] {
        assert_eq!(
            granted_units(
                &mut sole_allocator(INCARNATION),
                now,
                1,
                entry_waiting_for(20_000)
            ),
            expected,
            "at {now}"
        );
    }
}

#[test]
fn frequent_reports_do_not_lose_fractions_of_accrued_units() {
    // 10 s in steps of 1 ms. If a thousandth of a unit does not accrue in a whole number of
    // microseconds, the units are rounded down.
    for (rate, expected) in [(4, 40), (3, 29)] {
        let mut allocator = sole_allocator(INCARNATION);
        let limits = PlanLimits { rate, burst: 1_000 };
        let entry = ReportEntry {
            waiting: 1,
            ..ReportEntry::new(account(), limits)
        };
        let granted: u64 = (1..=10_000)
            .map(|millis| granted_units(&mut allocator, millis * 1_000, millis, entry))
            .sum();
        assert_eq!(granted, expected);
    }
}

#[test]
fn waiting_requests_are_served_first_and_expected_use_gets_a_share() {
    let mut allocator = sole_allocator(INCARNATION);
    let entry = ReportEntry {
        expected: 50_000,
        ..entry_waiting_for(2_000)
    };
    // Of 10 units: the 2 that requests wait for, and a quarter of the remaining 8 for expected use.
    assert_eq!(granted_units(&mut allocator, FILL_TIME, 1, entry), 4_000);
    let grant = process(
        &mut allocator,
        FILL_TIME,
        &report(
            1,
            1,
            0,
            &[ReportEntry {
                expected: 50_000,
                ..entry_waiting_for(7_000)
            }],
        ),
    );
    let expected = GrantEntry {
        verdict: Verdict::Exhausted,
        units: 6_000,
        hold_off_ms: 1_000,
    };
    assert_eq!(only_entry(&grant), expected);
}

#[test]
fn hold_off_times_queue_the_limiters_at_the_rate_of_the_account() {
    let mut allocator = sole_allocator(INCARNATION);
    let hold_offs = |allocator: &mut Allocator, now| {
        let grants = (0..3).map(|limiter| {
            process(
                allocator,
                now,
                &report(limiter, now + 1, 0, &[entry_waiting_for(1_000)]),
            )
        });
        grants
            .map(|grant| only_entry(&grant).hold_off_ms)
            .collect::<Vec<_>>()
    };
    assert_eq!(hold_offs(&mut allocator, 0), [1_000, 2_000, 3_000]);
    // A limiter that reports before its hold-off time ends moves to the end of the queue. The hold-off
    // time is at most 5 s.
    assert_eq!(hold_offs(&mut allocator, SECOND / 2), [3_500, 4_500, 5_000]);
}

#[test]
fn zero_rate_or_zero_burst_grants_nothing() {
    for limits in [
        PlanLimits {
            rate: 0,
            burst: 5_000,
        },
        PlanLimits {
            rate: 5_000,
            burst: 0,
        },
    ] {
        let entry = ReportEntry {
            waiting: 1_000,
            ..ReportEntry::new(account(), limits)
        };
        let grant = process(
            &mut sole_allocator(INCARNATION),
            FILL_TIME,
            &report(0, 1, 0, &[entry]),
        );
        let expected = GrantEntry {
            verdict: Verdict::Exhausted,
            units: 0,
            hold_off_ms: 5_000,
        };
        assert_eq!(only_entry(&grant), expected);
    }
}

#[test]
fn changed_limits_apply_from_the_report_that_contains_them() {
    let mut allocator = sole_allocator(INCARNATION);
    assert_eq!(
        granted_units(&mut allocator, FILL_TIME, 1, entry_waiting_for(10_000)),
        10_000
    );
    let faster_plan_entry = |waiting| ReportEntry {
        waiting,
        ..ReportEntry::new(
            account(),
            PlanLimits {
                rate: 2_000,
                burst: 20_000,
            },
        )
    };
    // 2 s at the old rate, then 2 s at the new rate, which the report in between contains.
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME + 2 * SECOND,
            2,
            faster_plan_entry(0)
        ),
        0
    );
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME + 4 * SECOND,
            3,
            faster_plan_entry(20_000)
        ),
        6_000
    );
    // A smaller burst reduces the level of the bucket.
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME + 40 * SECOND,
            4,
            faster_plan_entry(0)
        ),
        0
    );
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME + 40 * SECOND,
            5,
            entry_waiting_for(20_000)
        ),
        10_000
    );
}

#[test]
fn repeated_report_gets_the_same_answer_and_is_not_processed_again() {
    let mut allocator = sole_allocator(INCARNATION);
    let first = report(
        0,
        7,
        INCARNATION,
        &[ReportEntry {
            fallback_used: 1_000,
            ..entry_waiting_for(3_000)
        }],
    );
    let answer = process(&mut allocator, FILL_TIME, &first);
    assert_eq!(process(&mut allocator, FILL_TIME, &first), answer);
    assert_eq!(
        process(&mut allocator, FILL_TIME + SECOND / 2, &first),
        answer
    );
    // 10 units less 1 used from the fallback share and 3 granted.
    assert_eq!(
        only_entry(&process(
            &mut allocator,
            FILL_TIME,
            &report(1, 1, 0, &[entry_waiting_for(10_000)])
        ))
        .units,
        6_000
    );
}

#[test]
fn reports_with_older_sequence_or_incarnation_are_dropped_and_counted() {
    let mut allocator = sole_allocator(INCARNATION);
    process(
        &mut allocator,
        FILL_TIME,
        &Report {
            incarnation: 3,
            ..report(0, 7, 0, &[])
        },
    );
    let older = [
        Report {
            incarnation: 3,
            ..report(0, 6, 0, &[entry_waiting_for(1_000)])
        },
        Report {
            incarnation: 2,
            ..report(0, 9, 0, &[entry_waiting_for(1_000)])
        },
    ];
    for report in older {
        assert_eq!(
            allocator.on_report(FILL_TIME, &report),
            Err(MessageError::Outdated(report.sequence))
        );
    }
    assert_eq!(allocator.dropped().outdated, 2);
    // A later incarnation restarts its sequence numbers.
    process(
        &mut allocator,
        FILL_TIME,
        &Report {
            incarnation: 4,
            ..report(0, 1, 0, &[])
        },
    );
}

#[test]
fn reports_of_unknown_limiters_are_dropped_and_counted() {
    let mut allocator = sole_allocator(INCARNATION);
    for limiter in [3, u32::MAX] {
        let result = allocator.on_report(
            FILL_TIME,
            &report(limiter, 1, 0, &[entry_waiting_for(1_000)]),
        );
        assert_eq!(result, Err(MessageError::UnknownSender(limiter)));
    }
    assert_eq!(allocator.dropped().unknown_sender, 2);
    assert_eq!(allocator.accounts(), 0);
}

#[test]
fn allocator_grants_only_if_it_owns_the_account_and_holds_its_lease() {
    let ownership = |lease_ends, reassigned_until, reassigned| Ownership {
        reassigned,
        reassigned_until,
        lease_ends,
    };
    let is_owner = |allocator: &mut Allocator, now| {
        let entry = only_entry(&process(
            allocator,
            now,
            &report(0, now, 0, &[entry_waiting_for(1_000)]),
        ));
        entry.verdict != Verdict::NotOwner
    };
    let first = placement::owner(account(), 2, 0).unwrap();
    let mut owner = Allocator::new(first, 2, INCARNATION, settings());
    assert!(
        !is_owner(&mut owner, 1),
        "an allocator without ownership information should not grant"
    );
    owner.set_ownership(2, ownership(100, 50, 0));
    assert!(is_owner(&mut owner, 99) && !is_owner(&mut owner, 100));
    owner.set_ownership(101, ownership(200, 200, 1 << first));
    assert!(
        !is_owner(&mut owner, 102),
        "an allocator whose accounts are reassigned should not grant"
    );

    let mut other = Allocator::new(1 - first, 2, INCARNATION, settings());
    other.set_ownership(0, ownership(100, 100, 0));
    assert!(!is_owner(&mut other, 1));
    other.set_ownership(2, ownership(100, 50, 1 << first));
    assert!(is_owner(&mut other, 49) && !is_owner(&mut other, 50));
    other.set_ownership(51, ownership(60, 100, 1 << first));
    assert!(is_owner(&mut other, 59) && !is_owner(&mut other, 60));
}

#[test]
fn buckets_start_empty_after_a_takeover_and_after_a_regained_lease() {
    let first = placement::owner(account(), 2, 0).unwrap();
    let mut other = Allocator::new(1 - first, 2, INCARNATION, settings());
    other.set_ownership(0, without_expiry(0));
    other.set_ownership(FILL_TIME, without_expiry(1 << first));
    assert_eq!(
        granted_units(
            &mut other,
            FILL_TIME + 2 * SECOND,
            1,
            entry_waiting_for(10_000)
        ),
        2_000
    );
    // The account is given back and taken over again: the earlier level of the bucket is discarded.
    other.set_ownership(3 * FILL_TIME, without_expiry(0));
    other.set_ownership(3 * FILL_TIME + SECOND, without_expiry(1 << first));
    assert_eq!(
        granted_units(
            &mut other,
            3 * FILL_TIME + 4 * SECOND,
            2,
            entry_waiting_for(10_000)
        ),
        3_000
    );

    // The same if the lease or the reassignment expired before the next ownership was set.
    for expiring in [
        Ownership {
            lease_ends: 4 * FILL_TIME,
            ..without_expiry(1 << first)
        },
        Ownership {
            reassigned_until: 4 * FILL_TIME,
            ..without_expiry(1 << first)
        },
    ] {
        let mut other = other.clone();
        other.set_ownership(3 * FILL_TIME + 5 * SECOND, expiring);
        other.set_ownership(4 * FILL_TIME, without_expiry(1 << first));
        assert_eq!(
            granted_units(
                &mut other,
                4 * FILL_TIME + SECOND,
                3,
                entry_waiting_for(10_000)
            ),
            1_000
        );
    }
}

#[test]
fn reassignment_of_unrelated_allocators_keeps_the_bucket_of_an_owned_account() {
    let order = |key| {
        let first = placement::owner(key, 3, 0).unwrap();
        let second = placement::owner(key, 3, 1 << first).unwrap();
        (first, second, 3 - first - second)
    };
    let (first, second, third) = order(account());
    let mut allocator = Allocator::new(second, 3, INCARNATION, settings());
    allocator.set_ownership(0, without_expiry(1 << first));
    allocator.set_ownership(FILL_TIME, without_expiry(1 << first | 1 << third));
    allocator.set_ownership(FILL_TIME + SECOND, without_expiry(1 << first));
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME + SECOND,
            1,
            entry_waiting_for(10_000)
        ),
        10_000
    );
}

#[test]
fn returns_and_fallback_use_for_another_incarnation_are_not_processed() {
    let answer_to_return = |addressed_to| {
        let mut allocator = sole_allocator(INCARNATION);
        let slot = process(
            &mut allocator,
            FILL_TIME,
            &report(0, 1, 0, &[entry_waiting_for(10_000)]),
        )
        .slot;
        let return_entry = ReportEntry {
            returned: 4_000,
            returned_slot: slot,
            fallback_used: 1_000,
            ..entry_waiting_for(10_000)
        };
        let grant = process(
            &mut allocator,
            FILL_TIME,
            &report(0, 2, addressed_to, &[return_entry]),
        );
        (only_entry(&grant).verdict, only_entry(&grant).units)
    };
    assert_eq!(answer_to_return(INCARNATION), (Verdict::Exhausted, 3_000));
    for other in [INCARNATION - 1, INCARNATION + 1] {
        assert_eq!(answer_to_return(other), (Verdict::NotOwner, 0));
    }
    // A limiter that does not know the incarnation may request units, but not return any or report use
    // of the fallback share.
    assert_eq!(answer_to_return(0), (Verdict::Exhausted, 0));
}

#[test]
fn returns_are_limited_to_the_units_granted_in_their_slot() {
    let mut allocator = sole_allocator(INCARNATION);
    let slot = process(
        &mut allocator,
        FILL_TIME,
        &report(0, 1, 0, &[entry_waiting_for(3_000)]),
    )
    .slot;
    let return_entry = |returned, returned_slot| ReportEntry {
        returned,
        returned_slot,
        ..entry_waiting_for(0)
    };
    // The rest of the bucket covers use of the fallback share. It was not granted, so it cannot be
    // returned.
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME,
            2,
            ReportEntry {
                fallback_used: 7_000,
                ..entry_waiting_for(0)
            }
        ),
        0
    );
    for (sequence, slot) in [(3, 0), (4, slot - 1), (5, slot + 1), (6, u64::MAX)] {
        let entry = ReportEntry {
            waiting: 1_000,
            ..return_entry(9_000, slot)
        };
        assert_eq!(granted_units(&mut allocator, FILL_TIME, sequence, entry), 0);
    }
    assert_eq!(
        granted_units(&mut allocator, FILL_TIME, 7, return_entry(MAX_UNITS, slot)),
        0
    );
    assert_eq!(
        granted_units(&mut allocator, FILL_TIME, 8, entry_waiting_for(20_000)),
        3_000
    );
}

#[test]
fn late_returns_restore_the_level_as_if_the_units_had_not_been_granted() {
    // All units are granted, and again after the bucket has refilled. The units of the first grant are
    // returned so late that only units that accrued since the start of the second grant's slot are
    // available.
    let mut allocator = sole_allocator(INCARNATION);
    let slot = process(
        &mut allocator,
        FILL_TIME,
        &report(0, 1, 0, &[entry_waiting_for(10_000)]),
    )
    .slot;
    let later = FILL_TIME + 11 * SECOND;
    assert_eq!(
        granted_units(&mut allocator, later, 2, entry_waiting_for(10_000)),
        10_000
    );
    let return_entry = ReportEntry {
        returned: 10_000,
        returned_slot: slot,
        ..entry_waiting_for(10_000)
    };
    let slot_start = FILL_TIME + LEASE;
    let accrued_since = (later - slot_start) / 1_000;
    assert_eq!(
        granted_units(&mut allocator, later, 3, return_entry),
        accrued_since
    );
    // Returned units do not raise the level of a full bucket above the burst.
    let mut allocator = sole_allocator(INCARNATION);
    let slot = process(
        &mut allocator,
        FILL_TIME,
        &report(0, 1, 0, &[entry_waiting_for(10_000)]),
    )
    .slot;
    let return_entry = ReportEntry {
        returned: 10_000,
        returned_slot: slot,
        ..entry_waiting_for(20_000)
    };
    assert_eq!(
        granted_units(&mut allocator, later, 2, return_entry),
        10_000
    );
}

#[test]
fn units_that_expired_too_long_ago_are_not_taken_back() {
    let mut allocator = sole_allocator(INCARNATION);
    let slot = process(
        &mut allocator,
        FILL_TIME,
        &report(0, 1, 0, &[entry_waiting_for(10_000)]),
    )
    .slot;
    let return_entry = |sequence| {
        report(
            0,
            sequence,
            INCARNATION,
            &[ReportEntry {
                returned: 5_000,
                returned_slot: slot,
                ..entry_waiting_for(0)
            }],
        )
    };
    let in_time = FILL_TIME + LEASE + LEASE / 4;
    let mut late = allocator.clone();
    process(&mut allocator, in_time, &return_entry(2));
    process(&mut late, in_time + LEASE / 4, &return_entry(2));
    // Both buckets are full again by then: each grants one burst, whether or not the units were taken
    // back.
    assert_eq!(
        granted_units(&mut allocator, in_time, 3, entry_waiting_for(10_000)),
        10_000
    );
    assert_eq!(
        granted_units(&mut late, in_time + LEASE / 4, 3, entry_waiting_for(10_000)),
        10_000
    );
}

#[test]
fn fallback_use_is_deducted_once_and_owed_up_to_one_burst() {
    let mut allocator = sole_allocator(INCARNATION);
    let fallback_entry = |fallback_used| ReportEntry {
        fallback_used,
        ..entry_waiting_for(0)
    };
    assert_eq!(
        granted_units(&mut allocator, FILL_TIME, 1, fallback_entry(4_000)),
        0
    );
    assert_eq!(
        granted_units(&mut allocator, FILL_TIME, 2, entry_waiting_for(10_000)),
        6_000
    );
    let grant = process(
        &mut allocator,
        FILL_TIME,
        &report(0, 3, INCARNATION, &[fallback_entry(MAX_UNITS)]),
    );
    // The answer says that the account is exhausted, because it owes units.
    assert_eq!(only_entry(&grant).verdict, Verdict::Exhausted);
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME + 10 * SECOND,
            4,
            entry_waiting_for(1_000)
        ),
        0
    );
    assert_eq!(
        granted_units(
            &mut allocator,
            FILL_TIME + 12 * SECOND,
            5,
            entry_waiting_for(10_000)
        ),
        2_000
    );
}

#[test]
fn accounts_with_full_buckets_are_evicted_and_others_are_kept() {
    let mut allocator = sole_allocator(INCARNATION);
    let numbered_key = |number: u64| AccountKey::of(&format!("account {number}"));
    let entry = |number, waiting| ReportEntry {
        waiting,
        ..ReportEntry::new(numbered_key(number), PLAN)
    };
    for number in 0..100 {
        process(
            &mut allocator,
            FILL_TIME,
            &report(0, number + 1, 0, &[entry(number, 1_000)]),
        );
    }
    assert_eq!(allocator.accounts(), 100);
    // Their buckets are full again after more than the duration of a lease. Each report checks a few
    // accounts for eviction.
    let later = FILL_TIME + 2 * LEASE;
    for sequence in 0..100 {
        process(&mut allocator, later, &report(1, sequence + 1, 0, &[]));
    }
    assert_eq!(allocator.accounts(), 0);
    assert_eq!(
        only_entry(&process(
            &mut allocator,
            later,
            &report(1, 200, 0, &[entry(5, 20_000)])
        ))
        .units,
        10_000
    );
    for sequence in 201..300 {
        process(&mut allocator, later, &report(1, sequence, 0, &[]));
    }
    assert_eq!(allocator.accounts(), 1);
    assert_eq!(
        only_entry(&process(
            &mut allocator,
            later,
            &report(1, 300, 0, &[entry(5, 1_000)])
        ))
        .units,
        0
    );
}

#[test]
fn accounts_above_the_maximum_number_are_answered_as_exhausted() {
    let mut allocator = Allocator::new(
        0,
        1,
        INCARNATION,
        AllocatorSettings {
            max_accounts: 2,
            ..settings()
        },
    );
    allocator.set_ownership(0, without_expiry(0));
    let entries: Vec<_> = ["a", "b", "c"]
        .map(|name| ReportEntry {
            waiting: 1_000,
            ..ReportEntry::new(AccountKey::of(name), PLAN)
        })
        .into();
    let grant = process(&mut allocator, FILL_TIME, &report(0, 1, 0, &entries));
    let verdicts: Vec<_> = grant.entries().map(|entry| entry.verdict).collect();
    assert_eq!(
        verdicts,
        [Verdict::Granted, Verdict::Granted, Verdict::Exhausted]
    );
    assert_eq!(allocator.accounts(), 2);
    // An account can be added once the bucket of another one is full and it is evicted.
    let grant = process(
        &mut allocator,
        FILL_TIME + 2 * LEASE,
        &report(0, 2, 0, &entries[2..]),
    );
    assert_eq!(only_entry(&grant).verdict, Verdict::Granted);
}

#[test]
fn maximum_values_do_not_overflow() {
    let limits = PlanLimits {
        rate: MAX_UNITS,
        burst: MAX_UNITS,
    };
    let entry = ReportEntry {
        waiting: MAX_UNITS,
        expected: MAX_UNITS,
        returned: MAX_UNITS,
        returned_slot: u64::MAX,
        fallback_used: MAX_UNITS,
        ..ReportEntry::new(account(), limits)
    };
    for now in [0, SECOND, Micros::MAX - 1] {
        let mut allocator = sole_allocator(INCARNATION);
        for sequence in 1..20 {
            process(
                &mut allocator,
                now,
                &report(0, sequence, INCARNATION, &[entry; 100]),
            );
        }
        let excessive = ReportEntry {
            waiting: u64::MAX,
            ..entry
        };
        let result = allocator.on_report(now, &report(0, 20, 0, &[excessive]));
        assert_eq!(
            result,
            Err(MessageError::Entries("number of units out of range"))
        );
    }
}
