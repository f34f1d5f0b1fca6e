//! Encoding and validation of reports and grants: invalid messages are rejected with a reason, dropped
//! and counted.

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
        fallback_used: number,
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
    let granted = GrantEntry {
        verdict: Verdict::Exhausted,
        units: 7,
        hold_off_ms: 9,
    };
    (0..entries).for_each(|_| grant.push(&granted));
    grant
}

/// Asserts that a report is rejected for `reason` after `corrupt` has changed it, both when it is
/// decoded and when an allocator processes it.
fn assert_report_rejected(corrupt: impl Fn(&mut Report), reason: MessageError) {
    let mut report = report(3);
    corrupt(&mut report);
    assert_eq!(Report::read(&report.encode_to_vec()), Err(reason.clone()));
    let mut allocator = Allocator::new(0, 1, 1, AllocatorSettings::default());
    allocator.set_ownership(
        0,
        Ownership {
            lease_ends: u64::MAX,
            ..Ownership::default()
        },
    );
    assert_eq!(allocator.on_report(1, &report), Err(reason));
    assert_eq!(allocator.accounts(), 0);
}

#[test]
fn encoded_messages_decode_to_the_same_entries() {
    for entries in [0, 1, 100, MAX_ENTRIES as u64] {
        let (mut report, mut grant) = (report(entries), grant(entries));
        assert_eq!(Report::read(&report.encode_to_vec()).as_ref(), Ok(&report));
        assert_eq!(Grant::read(&grant.encode_to_vec()).as_ref(), Ok(&grant));
        let (report_entries, grant_entries): (Vec<_>, Vec<_>) =
            (report.entries().collect(), grant.entries().collect());
        report.omit_zero_columns();
        grant.omit_zero_columns();
        assert!(report.entries().eq(report_entries) && grant.entries().eq(grant_entries));
    }
}

#[test]
fn columns_of_zeros_are_omitted_and_decode_as_zeros() {
    let mut report = Report {
        format: FORMAT,
        ..Report::default()
    };
    let entries = [1, 2].map(|number| ReportEntry {
        waiting: 1_000,
        ..ReportEntry::new(AccountKey(number), PLAN)
    });
    entries.iter().for_each(|entry| report.push(entry));
    report.omit_zero_columns();
    assert!(
        report.plan_index.is_empty()
            && report.returned.is_empty()
            && report.fallback_used.is_empty()
    );
    let report = Report::read(&report.encode_to_vec()).unwrap();
    assert!(report.entries().eq(entries));
}

#[test]
fn truncated_message_never_decodes_to_different_entries() {
    let (report, grant) = (report(5), grant(5));
    let (report_bytes, grant_bytes) = (report.encode_to_vec(), grant.encode_to_vec());
    // A message that is truncated at the end of a field may still decode: its columns have different
    // lengths, or it has no entries.
    for end in 0..report_bytes.len() {
        if let Ok(truncated) = Report::read(&report_bytes[..end]) {
            assert!(
                truncated.accounts.is_empty()
                    || truncated
                        .entries()
                        .zip(report.entries())
                        .all(|(a, b)| a.account == b.account)
            );
            assert_ne!(truncated, report);
        }
    }
    for end in 0..grant_bytes.len() {
        if let Ok(truncated) = Grant::read(&grant_bytes[..end]) {
            assert!(truncated
                .entries()
                .all(|entry| entry.units == 0 || entry.units == 7));
            assert_ne!(truncated, grant);
        }
    }
}

#[test]
fn invalid_reports_are_rejected_with_the_reason() {
    let lengths = MessageError::Entries("columns of different lengths");
    assert_report_rejected(
        |report| report.format = FORMAT + 1,
        MessageError::Format(FORMAT + 1),
    );
    assert_report_rejected(|report| report.format = 0, MessageError::Format(0));
    assert_report_rejected(|report| report.waiting.truncate(2), lengths.clone());
    assert_report_rejected(|report| report.fallback_used.push(1), lengths.clone());
    assert_report_rejected(|report| report.accounts.truncate(1), lengths.clone());
    assert_report_rejected(|report| report.returned_slot.truncate(1), lengths);
    assert_report_rejected(
        |report| report.plan_index[1] = 1,
        MessageError::Entries("plan index out of range"),
    );
    assert_report_rejected(
        |report| report.plan_index[1] = u32::MAX,
        MessageError::Entries("plan index out of range"),
    );
    assert_report_rejected(
        |report| report.plans.clear(),
        MessageError::Entries("entries without a plan"),
    );
    let exceed_max_plans = |report: &mut Report| report.plans.resize(MAX_PLANS + 1, PLAN);
    assert_report_rejected(exceed_max_plans, MessageError::Entries("too many plans"));
    let exceed_max_entries = |report: &mut Report| {
        (0..MAX_ENTRIES as u64).for_each(|number| report.push(&entry(number)))
    };
    assert_report_rejected(
        exceed_max_entries,
        MessageError::Entries("too many entries"),
    );
    for units in [MAX_UNITS + 1, u64::MAX] {
        let reason = MessageError::Entries("number of units out of range");
        assert_report_rejected(|report| report.waiting[0] = units, reason.clone());
        assert_report_rejected(|report| report.expected[1] = units, reason.clone());
        assert_report_rejected(|report| report.returned[2] = units, reason.clone());
        assert_report_rejected(|report| report.fallback_used[0] = units, reason.clone());
        assert_report_rejected(|report| report.plans[0].rate = units, reason.clone());
        assert_report_rejected(|report| report.plans[0].burst = units, reason);
    }
}

#[test]
fn invalid_grants_are_rejected_with_the_reason() {
    let rejection = |corrupt: &dyn Fn(&mut Grant)| {
        let mut grant = grant(3);
        corrupt(&mut grant);
        Grant::read(&grant.encode_to_vec()).unwrap_err()
    };
    assert_eq!(
        rejection(&|grant| grant.format = 9),
        MessageError::Format(9)
    );
    let lengths = MessageError::Entries("columns of different lengths");
    assert_eq!(rejection(&|grant| grant.entries = 4), lengths);
    assert_eq!(rejection(&|grant| grant.units.truncate(1)), lengths);
    assert_eq!(
        rejection(&|grant| grant.entries = u32::MAX),
        MessageError::Entries("too many entries")
    );
    assert_eq!(
        rejection(&|grant| grant.verdict[1] = 3),
        MessageError::Entries("unknown verdict")
    );
    assert_eq!(
        rejection(&|grant| grant.verdict[1] = -1),
        MessageError::Entries("unknown verdict")
    );
    assert_eq!(
        rejection(&|grant| grant.units[1] = u64::MAX),
        MessageError::Entries("number of units out of range")
    );
}

#[test]
fn messages_above_the_maximum_length_are_not_decoded() {
    let too_long = vec![0; MAX_BYTES + 1];
    assert_eq!(
        Report::read(&too_long),
        Err(MessageError::TooLong(MAX_BYTES + 1))
    );
    assert_eq!(
        Grant::read(&too_long),
        Err(MessageError::TooLong(MAX_BYTES + 1))
    );
    assert!(matches!(
        Report::read(&too_long[1..]),
        Err(MessageError::Malformed(_))
    ));
}

#[test]
fn largest_report_and_grant_fit_into_the_maximum_length() {
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
            fallback_used: MAX_UNITS,
            ..ReportEntry::new(AccountKey(u64::MAX), limits)
        });
    }
    assert!(Report::read(&report.encode_to_vec()).is_ok());
    let mut grant = grant(0);
    let granted = GrantEntry {
        verdict: Verdict::Exhausted,
        units: MAX_UNITS,
        hold_off_ms: u32::MAX,
    };
    (0..MAX_ENTRIES).for_each(|_| grant.push(&granted));
    assert!(Grant::read(&grant.encode_to_vec()).is_ok());
}

#[test]
fn each_rejection_reason_has_its_counter() {
    let mut dropped = DroppedMessages::default();
    let reasons = [
        MessageError::TooLong(1),
        MessageError::Malformed(
            Report::decode([0xff].as_slice())
                .expect_err("the byte 0xff should not decode as a report"),
        ),
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
    fn random_and_corrupted_bytes_never_panic(
        random in prop::collection::vec(any::<u8>(), 0..400),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut allocator = Allocator::new(0, 1, 1, AllocatorSettings::default());
        allocator.set_ownership(0, Ownership { lease_ends: u64::MAX, ..Ownership::default() });
        let _ = (Report::read(&random), Grant::read(&random));
        let (mut report_bytes, mut grant_bytes) = (report(4).encode_to_vec(), grant(4).encode_to_vec());
        for (index, byte) in &changes {
            let position_in = |bytes: &[u8]| index.index(bytes.len());
            let (report_position, grant_position) = (position_in(&report_bytes), position_in(&grant_bytes));
            (report_bytes[report_position], grant_bytes[grant_position]) = (*byte, *byte);
        }
        let _ = Grant::read(&grant_bytes);
        if let Ok(report) = Report::read(&report_bytes) {
            for now in [0, 1, u64::MAX / 2, u64::MAX] {
                let _ = allocator.on_report(now, &report);
            }
        }
    }
}
