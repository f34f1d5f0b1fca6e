//! One allocator, asked by hand.

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
/// Time in which a bucket of this plan has filled.
const FULL: Micros = 20 * SECOND;

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

fn for_good(given_away: u64) -> Ownership {
    Ownership {
        reassigned: given_away,
        reassigned_until: Micros::MAX,
        lease_ends: Micros::MAX,
    }
}

/// The only allocator; it has held its lease since time 0.
fn alone(incarnation: u64) -> Allocator {
    let mut allocator = Allocator::new(0, 1, incarnation, settings());
    allocator.set_ownership(0, for_good(0));
    allocator
}

fn wants(waiting: u64) -> ReportEntry {
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

fn ask(allocator: &mut Allocator, now: Micros, report: &Report) -> Grant {
    allocator.on_report(now, report).unwrap()
}

fn only_entry(grant: &Grant) -> GrantEntry {
    assert_eq!(grant.entries, 1);
    grant.entries().next().unwrap()
}

/// Units that limiter 0 gets of what it asks for.
fn units(allocator: &mut Allocator, now: Micros, sequence: u64, entry: ReportEntry) -> u64 {
    only_entry(&ask(
        allocator,
        now,
        &report(0, sequence, INCARNATION, &[entry]),
    ))
    .units
}

#[test]
fn a_bucket_was_empty_when_ownership_began_and_fills_at_its_rate_up_to_the_burst() {
    for (now, expected) in [
        (0, 0),
        (999_999, 0),
        (SECOND, 1_000),
        (3 * SECOND, 3_000),
        (FULL, 10_000),
    ] {
        assert_eq!(
            units(&mut alone(INCARNATION), now, 1, wants(20_000)),
            expected,
            "at {now}"
        );
    }
}

#[test]
fn fractions_are_kept_however_often_it_is_asked() {
    // 10 s in steps of a millisecond. Where a thousandth does not take whole microseconds it is rounded, never up.
    for (rate, expected) in [(4, 40), (3, 29)] {
        let mut allocator = alone(INCARNATION);
        let limits = PlanLimits { rate, burst: 1_000 };
        let entry = ReportEntry {
            waiting: 1,
            ..ReportEntry::new(account(), limits)
        };
        let granted: u64 = (1..=10_000)
            .map(|n| units(&mut allocator, n * 1_000, n, entry))
            .sum();
        assert_eq!(granted, expected);
    }
}

#[test]
fn waiting_requests_come_first_and_expected_ones_get_a_share() {
    let mut allocator = alone(INCARNATION);
    let entry = ReportEntry {
        expected: 50_000,
        ..wants(2_000)
    };
    // 10 units: 2 that are waited for, and a quarter of what is left.
    assert_eq!(units(&mut allocator, FULL, 1, entry), 4_000);
    let grant = ask(
        &mut allocator,
        FULL,
        &report(
            1,
            1,
            0,
            &[ReportEntry {
                expected: 50_000,
                ..wants(7_000)
            }],
        ),
    );
    let all = GrantEntry {
        verdict: Verdict::Exhausted,
        units: 6_000,
        hold_off_ms: 1_000,
    };
    assert_eq!(only_entry(&grant), all);
}

#[test]
fn limiters_are_held_off_in_a_line_that_follows_rate_and_number() {
    let mut allocator = alone(INCARNATION);
    let hold_offs = |allocator: &mut Allocator, now| {
        let ask_all = (0..3).map(|limiter| {
            ask(
                allocator,
                now,
                &report(limiter, now + 1, 0, &[wants(1_000)]),
            )
        });
        ask_all
            .map(|grant| only_entry(&grant).hold_off_ms)
            .collect::<Vec<_>>()
    };
    assert_eq!(hold_offs(&mut allocator, 0), [1_000, 2_000, 3_000]);
    // Who comes back too early goes to the end of the line, and nobody is held off for more than 5 s.
    assert_eq!(hold_offs(&mut allocator, SECOND / 2), [3_500, 4_500, 5_000]);
}

#[test]
fn a_rate_of_nothing_and_a_bucket_of_nothing_grant_nothing() {
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
        let grant = ask(&mut alone(INCARNATION), FULL, &report(0, 1, 0, &[entry]));
        let nothing = GrantEntry {
            verdict: Verdict::Exhausted,
            units: 0,
            hold_off_ms: 5_000,
        };
        assert_eq!(only_entry(&grant), nothing);
    }
}

#[test]
fn changed_limits_count_from_when_they_are_told() {
    let mut allocator = alone(INCARNATION);
    assert_eq!(units(&mut allocator, FULL, 1, wants(10_000)), 10_000);
    let faster = |waiting| ReportEntry {
        waiting,
        ..ReportEntry::new(
            account(),
            PlanLimits {
                rate: 2_000,
                burst: 20_000,
            },
        )
    };
    // 2 s at the old rate, then 2 s at the new one, which is told in between.
    assert_eq!(units(&mut allocator, FULL + 2 * SECOND, 2, faster(0)), 0);
    assert_eq!(
        units(&mut allocator, FULL + 4 * SECOND, 3, faster(20_000)),
        6_000
    );
    // A smaller burst cuts what there is.
    assert_eq!(units(&mut allocator, FULL + 40 * SECOND, 4, faster(0)), 0);
    assert_eq!(
        units(&mut allocator, FULL + 40 * SECOND, 5, wants(20_000)),
        10_000
    );
}

#[test]
fn a_repeated_report_gets_the_same_answer_and_is_not_carried_out_again() {
    let mut allocator = alone(INCARNATION);
    let first = report(
        0,
        7,
        INCARNATION,
        &[ReportEntry {
            fallback_used: 1_000,
            ..wants(3_000)
        }],
    );
    let answer = ask(&mut allocator, FULL, &first);
    assert_eq!(ask(&mut allocator, FULL, &first), answer);
    assert_eq!(ask(&mut allocator, FULL + SECOND / 2, &first), answer);
    // 10 less 1 used beyond and 3 granted.
    assert_eq!(
        only_entry(&ask(
            &mut allocator,
            FULL,
            &report(1, 1, 0, &[wants(10_000)])
        ))
        .units,
        6_000
    );
}

#[test]
fn older_reports_and_older_processes_are_dropped_and_counted() {
    let mut allocator = alone(INCARNATION);
    ask(
        &mut allocator,
        FULL,
        &Report {
            incarnation: 3,
            ..report(0, 7, 0, &[])
        },
    );
    let older = [
        Report {
            incarnation: 3,
            ..report(0, 6, 0, &[wants(1_000)])
        },
        Report {
            incarnation: 2,
            ..report(0, 9, 0, &[wants(1_000)])
        },
    ];
    for report in older {
        assert_eq!(
            allocator.on_report(FULL, &report),
            Err(MessageError::Outdated(report.sequence))
        );
    }
    assert_eq!(allocator.dropped().outdated, 2);
    // A later process begins its numbers anew.
    ask(
        &mut allocator,
        FULL,
        &Report {
            incarnation: 4,
            ..report(0, 1, 0, &[])
        },
    );
}

#[test]
fn unknown_limiters_are_dropped_and_counted() {
    let mut allocator = alone(INCARNATION);
    for limiter in [3, u32::MAX] {
        let refused = allocator.on_report(FULL, &report(limiter, 1, 0, &[wants(1_000)]));
        assert_eq!(refused, Err(MessageError::UnknownSender(limiter)));
    }
    assert_eq!(allocator.dropped().unknown_sender, 2);
    assert_eq!(allocator.accounts(), 0);
}

#[test]
fn only_an_owner_that_holds_its_lease_grants() {
    let ownership = |until, given_until, given_away| Ownership {
        reassigned: given_away,
        reassigned_until: given_until,
        lease_ends: until,
    };
    let is_owner = |allocator: &mut Allocator, now| {
        let entry = only_entry(&ask(allocator, now, &report(0, now, 0, &[wants(1_000)])));
        entry.verdict != Verdict::NotOwner
    };
    let first = placement::owner(account(), 2, 0).unwrap();
    let mut owner = Allocator::new(first, 2, INCARNATION, settings());
    assert!(!is_owner(&mut owner, 1), "it was told nothing");
    owner.set_ownership(2, ownership(100, 50, 0));
    assert!(is_owner(&mut owner, 99) && !is_owner(&mut owner, 100));
    owner.set_ownership(101, ownership(200, 200, 1 << first));
    assert!(!is_owner(&mut owner, 102), "its accounts are given away");

    let mut other = Allocator::new(1 - first, 2, INCARNATION, settings());
    other.set_ownership(0, ownership(100, 100, 0));
    assert!(!is_owner(&mut other, 1));
    other.set_ownership(2, ownership(100, 50, 1 << first));
    assert!(is_owner(&mut other, 49) && !is_owner(&mut other, 50));
    other.set_ownership(51, ownership(60, 100, 1 << first));
    assert!(is_owner(&mut other, 59) && !is_owner(&mut other, 60));
}

#[test]
fn who_takes_over_opens_empty_and_so_does_who_gets_its_lease_back() {
    let first = placement::owner(account(), 2, 0).unwrap();
    let mut other = Allocator::new(1 - first, 2, INCARNATION, settings());
    other.set_ownership(0, for_good(0));
    other.set_ownership(FULL, for_good(1 << first));
    assert_eq!(
        units(&mut other, FULL + 2 * SECOND, 1, wants(10_000)),
        2_000
    );
    // Given back, and taken over again: what is left in the bucket counts no more.
    other.set_ownership(3 * FULL, for_good(0));
    other.set_ownership(3 * FULL + SECOND, for_good(1 << first));
    assert_eq!(
        units(&mut other, 3 * FULL + 4 * SECOND, 2, wants(10_000)),
        3_000
    );

    // The same where the time ran out before it was told anew.
    for ran_out in [
        Ownership {
            lease_ends: 4 * FULL,
            ..for_good(1 << first)
        },
        Ownership {
            reassigned_until: 4 * FULL,
            ..for_good(1 << first)
        },
    ] {
        let mut other = other.clone();
        other.set_ownership(3 * FULL + 5 * SECOND, ran_out);
        other.set_ownership(4 * FULL, for_good(1 << first));
        assert_eq!(
            units(&mut other, 4 * FULL + SECOND, 3, wants(10_000)),
            1_000
        );
    }
}

#[test]
fn other_allocators_that_come_and_go_do_not_empty_an_own_account() {
    let order = |key| {
        let first = placement::owner(key, 3, 0).unwrap();
        let second = placement::owner(key, 3, 1 << first).unwrap();
        (first, second, 3 - first - second)
    };
    let (first, second, third) = order(account());
    let mut allocator = Allocator::new(second, 3, INCARNATION, settings());
    allocator.set_ownership(0, for_good(1 << first));
    allocator.set_ownership(FULL, for_good(1 << first | 1 << third));
    allocator.set_ownership(FULL + SECOND, for_good(1 << first));
    assert_eq!(
        units(&mut allocator, FULL + SECOND, 1, wants(10_000)),
        10_000
    );
}

#[test]
fn a_report_for_another_incarnation_is_not_carried_out() {
    let carried_out = |addressed_to| {
        let mut allocator = alone(INCARNATION);
        let slot = ask(&mut allocator, FULL, &report(0, 1, 0, &[wants(10_000)])).slot;
        let back = ReportEntry {
            returned: 4_000,
            returned_slot: slot,
            fallback_used: 1_000,
            ..wants(10_000)
        };
        let grant = ask(&mut allocator, FULL, &report(0, 2, addressed_to, &[back]));
        (only_entry(&grant).verdict, only_entry(&grant).units)
    };
    assert_eq!(carried_out(INCARNATION), (Verdict::Exhausted, 3_000));
    for other in [INCARNATION - 1, INCARNATION + 1] {
        assert_eq!(carried_out(other), (Verdict::NotOwner, 0));
    }
    // Whom it does not know a limiter may ask, and no more.
    assert_eq!(carried_out(0), (Verdict::Exhausted, 0));
}

#[test]
fn no_more_is_taken_back_than_was_granted_in_that_slot() {
    let mut allocator = alone(INCARNATION);
    let slot = ask(&mut allocator, FULL, &report(0, 1, 0, &[wants(3_000)])).slot;
    let back = |returned, returned_slot| ReportEntry {
        returned,
        returned_slot,
        ..wants(0)
    };
    // The rest of the bucket went beyond: it was not granted, so that nobody can return it.
    assert_eq!(
        units(
            &mut allocator,
            FULL,
            2,
            ReportEntry {
                fallback_used: 7_000,
                ..wants(0)
            }
        ),
        0
    );
    for (sequence, slot) in [(3, 0), (4, slot - 1), (5, slot + 1), (6, u64::MAX)] {
        let entry = ReportEntry {
            waiting: 1_000,
            ..back(9_000, slot)
        };
        assert_eq!(units(&mut allocator, FULL, sequence, entry), 0);
    }
    assert_eq!(units(&mut allocator, FULL, 7, back(MAX_UNITS, slot)), 0);
    assert_eq!(units(&mut allocator, FULL, 8, wants(20_000)), 3_000);
}

#[test]
fn what_is_taken_back_late_counts_as_if_it_had_not_been_granted() {
    // All is granted, the bucket fills again, and is emptied again: the first units come back too late for more.
    let mut allocator = alone(INCARNATION);
    let slot = ask(&mut allocator, FULL, &report(0, 1, 0, &[wants(10_000)])).slot;
    let later = FULL + 11 * SECOND;
    assert_eq!(units(&mut allocator, later, 2, wants(10_000)), 10_000);
    let back = ReportEntry {
        returned: 10_000,
        returned_slot: slot,
        ..wants(10_000)
    };
    let slot_began = FULL + LEASE;
    let come_since = (later - slot_began) / 1_000;
    assert_eq!(units(&mut allocator, later, 3, back), come_since);
    // And a full bucket gets no fuller.
    let mut allocator = alone(INCARNATION);
    let slot = ask(&mut allocator, FULL, &report(0, 1, 0, &[wants(10_000)])).slot;
    let back = ReportEntry {
        returned: 10_000,
        returned_slot: slot,
        ..wants(20_000)
    };
    assert_eq!(units(&mut allocator, later, 2, back), 10_000);
}

#[test]
fn what_expired_too_long_ago_is_not_taken_back() {
    let mut allocator = alone(INCARNATION);
    let slot = ask(&mut allocator, FULL, &report(0, 1, 0, &[wants(10_000)])).slot;
    let back = |sequence| {
        report(
            0,
            sequence,
            INCARNATION,
            &[ReportEntry {
                returned: 5_000,
                returned_slot: slot,
                ..wants(0)
            }],
        )
    };
    let in_time = FULL + LEASE + LEASE / 4;
    let mut late = allocator.clone();
    ask(&mut allocator, in_time, &back(2));
    ask(&mut late, in_time + LEASE / 4, &back(2));
    // Both buckets are full; what was granted tells whether they were taken back.
    assert_eq!(units(&mut allocator, in_time, 3, wants(10_000)), 10_000);
    assert_eq!(
        units(&mut late, in_time + LEASE / 4, 3, wants(10_000)),
        10_000
    );
}

#[test]
fn what_was_used_beyond_is_taken_out_once_and_owed_up_to_a_burst() {
    let mut allocator = alone(INCARNATION);
    let beyond = |beyond| ReportEntry {
        fallback_used: beyond,
        ..wants(0)
    };
    assert_eq!(units(&mut allocator, FULL, 1, beyond(4_000)), 0);
    assert_eq!(units(&mut allocator, FULL, 2, wants(10_000)), 6_000);
    let grant = ask(
        &mut allocator,
        FULL,
        &report(0, 3, INCARNATION, &[beyond(MAX_UNITS)]),
    );
    // The limiter hears that the account owes.
    assert_eq!(only_entry(&grant).verdict, Verdict::Exhausted);
    assert_eq!(
        units(&mut allocator, FULL + 10 * SECOND, 4, wants(1_000)),
        0
    );
    assert_eq!(
        units(&mut allocator, FULL + 12 * SECOND, 5, wants(10_000)),
        2_000
    );
}

#[test]
fn full_accounts_are_forgotten_at_no_cost_and_others_are_kept() {
    let mut allocator = alone(INCARNATION);
    let key = |number: u64| AccountKey::of(&format!("account {number}"));
    let entry = |number, waiting| ReportEntry {
        waiting,
        ..ReportEntry::new(key(number), PLAN)
    };
    for number in 0..100 {
        ask(
            &mut allocator,
            FULL,
            &report(0, number + 1, 0, &[entry(number, 1_000)]),
        );
    }
    assert_eq!(allocator.accounts(), 100);
    // Their buckets are full again once a lease and more has passed; each report looks at a few.
    let later = FULL + 2 * LEASE;
    for sequence in 0..100 {
        ask(&mut allocator, later, &report(1, sequence + 1, 0, &[]));
    }
    assert_eq!(allocator.accounts(), 0);
    assert_eq!(
        only_entry(&ask(
            &mut allocator,
            later,
            &report(1, 200, 0, &[entry(5, 20_000)])
        ))
        .units,
        10_000
    );
    for sequence in 201..300 {
        ask(&mut allocator, later, &report(1, sequence, 0, &[]));
    }
    assert_eq!(allocator.accounts(), 1);
    assert_eq!(
        only_entry(&ask(
            &mut allocator,
            later,
            &report(1, 300, 0, &[entry(5, 1_000)])
        ))
        .units,
        0
    );
}

#[test]
fn accounts_beyond_the_most_are_told_to_wait() {
    let mut allocator = Allocator::new(
        0,
        1,
        INCARNATION,
        AllocatorSettings {
            max_accounts: 2,
            ..settings()
        },
    );
    allocator.set_ownership(0, for_good(0));
    let entries: Vec<_> = ["a", "b", "c"]
        .map(|name| ReportEntry {
            waiting: 1_000,
            ..ReportEntry::new(AccountKey::of(name), PLAN)
        })
        .into();
    let grant = ask(&mut allocator, FULL, &report(0, 1, 0, &entries));
    let verdicts: Vec<_> = grant.entries().map(|entry| entry.verdict).collect();
    assert_eq!(
        verdicts,
        [Verdict::Granted, Verdict::Granted, Verdict::Exhausted]
    );
    assert_eq!(allocator.accounts(), 2);
    // There is a place once an account is full again.
    let grant = ask(
        &mut allocator,
        FULL + 2 * LEASE,
        &report(0, 2, 0, &entries[2..]),
    );
    assert_eq!(only_entry(&grant).verdict, Verdict::Granted);
}

#[test]
fn huge_numbers_overflow_nothing() {
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
        let mut allocator = alone(INCARNATION);
        for sequence in 1..20 {
            ask(
                &mut allocator,
                now,
                &report(0, sequence, INCARNATION, &[entry; 100]),
            );
        }
        let over = ReportEntry {
            waiting: u64::MAX,
            ..entry
        };
        let refused = allocator.on_report(now, &report(0, 20, 0, &[over]));
        assert_eq!(refused, Err(MessageError::Entries("too many units")));
    }
}
