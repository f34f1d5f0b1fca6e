//! Bad messages are named, dropped and counted.

use mossrill::quota_lease::allocator::{Allocator, AllocatorSettings, Ownership};
use mossrill::quota_lease::message::{
    AccountKey, DroppedMessages, Grant, GrantEntry, MessageError, PlanLimits, Report, ReportEntry,
    Verdict, FORMAT, MAX_BYTES, MAX_ENTRIES, MAX_PLANS, MAX_UNITS,
};
use proptest::prelude::*;
use prost::Message;

const PLAN: PlanLimits = PlanLimits {
    rate: 5_000,
    burst: 10_000,
};

fn entry(number: u64) -> ReportEntry {
    ReportEntry {
        waiting: 1_000,
        expected: number,
        returned: number,
        returned_slot: number,
        beyond: number,
        ..ReportEntry::new(AccountKey(number), PLAN)
    }
}

fn report(entries: u64) -> Report {
    let mut report = Report {
        format: FORMAT,
        limiter: 1,
        incarnation: 2,
        sequence: 3,
        ..Report::default()
    };
    (0..entries).for_each(|number| report.push(&entry(number)));
    report
}

fn grant(entries: u64) -> Grant {
    let mut grant = Grant {
        format: FORMAT,
        allocator: 1,
        sequence: 3,
        serving: true,
        ..Grant::default()
    };
    let given = GrantEntry {
        verdict: Verdict::Exhausted,
        units: 7,
        hold_off_ms: 9,
    };
    (0..entries).for_each(|_| grant.push(&given));
    grant
}

fn refuses_report(spoil: impl Fn(&mut Report), reason: MessageError) {
    let mut report = report(3);
    spoil(&mut report);
    assert_eq!(Report::read(&report.encode_to_vec()), Err(reason.clone()));
    let mut allocator = Allocator::new(0, 1, 1, AllocatorSettings::default());
    allocator.set_ownership(
        0,
        Ownership {
            until: u64::MAX,
            ..Ownership::default()
        },
    );
    assert_eq!(allocator.on_report(1, &report), Err(reason));
    assert_eq!(allocator.accounts(), 0);
}

#[test]
fn what_is_written_is_read() {
    for entries in [0, 1, 100, MAX_ENTRIES as u64] {
        let (mut report, mut grant) = (report(entries), grant(entries));
        assert_eq!(Report::read(&report.encode_to_vec()).as_ref(), Ok(&report));
        assert_eq!(Grant::read(&grant.encode_to_vec()).as_ref(), Ok(&grant));
        let (all_asked, all_given): (Vec<_>, Vec<_>) =
            (report.entries().collect(), grant.entries().collect());
        report.leave_out_zeros();
        grant.leave_out_zeros();
        assert!(report.entries().eq(all_asked) && grant.entries().eq(all_given));
    }
}

#[test]
fn columns_of_zeros_are_left_out_and_read_as_zeros() {
    let mut report = Report {
        format: FORMAT,
        ..Report::default()
    };
    let entries = [1, 2].map(|number| ReportEntry {
        waiting: 1_000,
        ..ReportEntry::new(AccountKey(number), PLAN)
    });
    entries.iter().for_each(|entry| report.push(entry));
    report.leave_out_zeros();
    assert!(report.plan.is_empty() && report.returned.is_empty() && report.beyond.is_empty());
    let report = Report::read(&report.encode_to_vec()).unwrap();
    assert!(report.entries().eq(entries));
}

#[test]
fn a_message_cut_short_at_any_byte_is_no_message_with_other_entries() {
    let (report, grant) = (report(5), grant(5));
    let (of_report, of_grant) = (report.encode_to_vec(), grant.encode_to_vec());
    // Where a field ends a shorter message may begin: it has columns of other lengths, or no entries.
    for end in 0..of_report.len() {
        if let Ok(short) = Report::read(&of_report[..end]) {
            assert!(
                short.accounts.is_empty()
                    || short
                        .entries()
                        .zip(report.entries())
                        .all(|(a, b)| a.account == b.account)
            );
            assert_ne!(short, report);
        }
    }
    for end in 0..of_grant.len() {
        if let Ok(short) = Grant::read(&of_grant[..end]) {
            assert!(short
                .entries()
                .all(|entry| entry.units == 0 || entry.units == 7));
            assert_ne!(short, grant);
        }
    }
}

#[test]
fn spoilt_reports_are_refused_by_their_reason() {
    let lengths = MessageError::Entries("columns of different lengths");
    refuses_report(
        |report| report.format = FORMAT + 1,
        MessageError::Format(FORMAT + 1),
    );
    refuses_report(|report| report.format = 0, MessageError::Format(0));
    refuses_report(|report| report.waiting.truncate(2), lengths.clone());
    refuses_report(|report| report.beyond.push(1), lengths.clone());
    refuses_report(|report| report.accounts.truncate(1), lengths.clone());
    refuses_report(|report| report.returned_slot.truncate(1), lengths);
    refuses_report(
        |report| report.plan[1] = 1,
        MessageError::Entries("index of a plan"),
    );
    refuses_report(
        |report| report.plan[1] = u32::MAX,
        MessageError::Entries("index of a plan"),
    );
    refuses_report(
        |report| report.plans.clear(),
        MessageError::Entries("no plan"),
    );
    let many_plans = |report: &mut Report| report.plans.resize(MAX_PLANS + 1, PLAN);
    refuses_report(many_plans, MessageError::Entries("too many plans"));
    let many = |report: &mut Report| {
        (0..MAX_ENTRIES as u64).for_each(|number| report.push(&entry(number)))
    };
    refuses_report(many, MessageError::Entries("too many"));
    for units in [MAX_UNITS + 1, u64::MAX] {
        let reason = MessageError::Entries("too many units");
        refuses_report(|report| report.waiting[0] = units, reason.clone());
        refuses_report(|report| report.expected[1] = units, reason.clone());
        refuses_report(|report| report.returned[2] = units, reason.clone());
        refuses_report(|report| report.beyond[0] = units, reason.clone());
        refuses_report(|report| report.plans[0].rate = units, reason.clone());
        refuses_report(|report| report.plans[0].burst = units, reason);
    }
}

#[test]
fn spoilt_answers_are_refused_by_their_reason() {
    let refused = |spoil: &dyn Fn(&mut Grant)| {
        let mut grant = grant(3);
        spoil(&mut grant);
        Grant::read(&grant.encode_to_vec()).unwrap_err()
    };
    assert_eq!(refused(&|grant| grant.format = 9), MessageError::Format(9));
    let lengths = MessageError::Entries("columns of different lengths");
    assert_eq!(refused(&|grant| grant.entries = 4), lengths);
    assert_eq!(refused(&|grant| grant.units.truncate(1)), lengths);
    assert_eq!(
        refused(&|grant| grant.entries = u32::MAX),
        MessageError::Entries("too many")
    );
    assert_eq!(
        refused(&|grant| grant.verdict[1] = 3),
        MessageError::Entries("verdict")
    );
    assert_eq!(
        refused(&|grant| grant.verdict[1] = -1),
        MessageError::Entries("verdict")
    );
    assert_eq!(
        refused(&|grant| grant.units[1] = u64::MAX),
        MessageError::Entries("too many units")
    );
}

#[test]
fn what_is_too_long_is_not_read() {
    let long = vec![0; MAX_BYTES + 1];
    assert_eq!(
        Report::read(&long),
        Err(MessageError::TooLong(MAX_BYTES + 1))
    );
    assert_eq!(
        Grant::read(&long),
        Err(MessageError::TooLong(MAX_BYTES + 1))
    );
    assert!(matches!(
        Report::read(&long[1..]),
        Err(MessageError::Malformed(_))
    ));
}

#[test]
fn the_longest_report_and_answer_fit() {
    let mut report = report(0);
    (report.incarnation, report.sequence, report.addressed_to) = (u64::MAX, u64::MAX, u64::MAX);
    for number in 0..MAX_ENTRIES {
        let limits = PlanLimits {
            rate: MAX_UNITS,
            burst: MAX_UNITS - (number % MAX_PLANS) as u64,
        };
        report.push(&ReportEntry {
            waiting: MAX_UNITS,
            expected: MAX_UNITS,
            returned: MAX_UNITS,
            returned_slot: u64::MAX,
            beyond: MAX_UNITS,
            ..ReportEntry::new(AccountKey(u64::MAX), limits)
        });
    }
    assert!(Report::read(&report.encode_to_vec()).is_ok());
    let mut grant = grant(0);
    let given = GrantEntry {
        verdict: Verdict::Exhausted,
        units: MAX_UNITS,
        hold_off_ms: u32::MAX,
    };
    (0..MAX_ENTRIES).for_each(|_| grant.push(&given));
    assert!(Grant::read(&grant.encode_to_vec()).is_ok());
}

#[test]
fn each_reason_has_its_counter() {
    let mut dropped = DroppedMessages::default();
    let reasons = [
        MessageError::TooLong(1),
        MessageError::Malformed(Report::decode([0xff].as_slice()).expect_err("not a report")),
        MessageError::Format(2),
        MessageError::Entries(""),
        MessageError::UnknownSender(3),
        MessageError::Outdated(4),
    ];
    for (count, reason) in (1..).zip(&reasons) {
        (0..count).for_each(|_| dropped.count(reason));
    }
    let DroppedMessages {
        too_long,
        malformed,
        format,
        entries,
        unknown_sender,
        outdated,
    } = dropped;
    assert_eq!(
        [
            too_long,
            malformed,
            format,
            entries,
            unknown_sender,
            outdated
        ],
        [1, 2, 3, 4, 5, 6]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_and_changed_bytes_never_panic(
        random in prop::collection::vec(any::<u8>(), 0..400),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut allocator = Allocator::new(0, 1, 1, AllocatorSettings::default());
        allocator.set_ownership(0, Ownership { until: u64::MAX, ..Ownership::default() });
        let _ = (Report::read(&random), Grant::read(&random));
        let (mut of_report, mut of_grant) = (report(4).encode_to_vec(), grant(4).encode_to_vec());
        for (place, byte) in &changes {
            let place_in = |bytes: &[u8]| place.index(bytes.len());
            let (in_report, in_grant) = (place_in(&of_report), place_in(&of_grant));
            (of_report[in_report], of_grant[in_grant]) = (*byte, *byte);
        }
        let _ = Grant::read(&of_grant);
        if let Ok(report) = Report::read(&of_report) {
            for now in [0, 1, u64::MAX / 2, u64::MAX] {
                let _ = allocator.on_report(now, &report);
            }
        }
    }
}
