//! Unit tests of the holder: each test plays the allocators of one limiter and checks its reports and
//! the answers to its requests.

use mossrill::decision::Micros;
use mossrill::quota_lease::holder::{
    Answer, Holder, HolderSettings, Outcome, Receipt, TakeResult, WaiterId,
};
use mossrill::quota_lease::message::{
    AccountKey, Grant, GrantEntry, MessageError, PlanLimits, Report, ReportEntry, Verdict, FORMAT,
    MAX_UNITS,
};
use mossrill::quota_lease::placement;

const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;
const START: Micros = 100 * SECOND;
/// Number of limiters that receive requests of the account.
const LIMITER_COUNT: u32 = 10;
/// One unit in thousandths.
const UNIT: u64 = 1_000;
const PLAN: PlanLimits = PlanLimits {
    rate: 100 * UNIT,
    burst: 200 * UNIT,
};
/// Incarnation of the only allocator.
const INCARNATION: u64 = 8;
/// Time slot in which the allocator grants units.
const SLOT: u64 = 3;

fn account() -> AccountKey {
    AccountKey::of("a")
}

fn settings() -> HolderSettings {
    HolderSettings {
        allocators: 1,
        ..HolderSettings::default()
    }
}

fn lease() -> Micros {
    settings().lease
}

fn holder() -> Holder {
    Holder::new(START, settings())
}

fn take(holder: &mut Holder, now: Micros, units: u64) -> TakeResult {
    holder.take(now, account(), PLAN, LIMITER_COUNT, units)
}

fn take_unit(holder: &mut Holder, now: Micros) -> TakeResult {
    take(holder, now, UNIT)
}

fn is_taken(take: &TakeResult) -> bool {
    matches!(take, TakeResult::Taken(_))
}

/// Returns the id of a waiting request.
fn waiter_id(take: TakeResult) -> WaiterId {
    match take {
        TakeResult::Waiting(waiter_id) => waiter_id,
        other => panic!("expected a waiting request, got {other:?}"),
    }
}

/// Returns the receipt of a request that took its units.
fn receipt(take: TakeResult) -> Receipt {
    match take {
        TakeResult::Taken(receipt) => receipt,
        other => panic!("expected taken units, got {other:?}"),
    }
}

/// Polls the holder and returns the only report that it sends.
fn sent_report(holder: &mut Holder, now: Micros) -> Report {
    let poll = holder.poll(now);
    assert_eq!(poll.reports.len(), 1, "expected one report, got {poll:?}");
    poll.reports.into_iter().next().unwrap().1
}

fn sends_nothing(holder: &mut Holder, now: Micros) -> bool {
    holder.poll(now).reports.is_empty()
}

fn granted(units: u64) -> GrantEntry {
    GrantEntry {
        verdict: Verdict::Granted,
        units,
        hold_off_ms: 0,
    }
}

fn exhausted(units: u64, hold_off_ms: u32) -> GrantEntry {
    GrantEntry {
        verdict: Verdict::Exhausted,
        units,
        hold_off_ms,
    }
}

fn answer(report: &Report, entries: &[GrantEntry]) -> Grant {
    let mut grant = Grant {
        format: FORMAT,
        allocator: 0,
        incarnation: INCARNATION,
        limiter_incarnation: report.incarnation,
        sequence: report.sequence,
        serving: true,
        slot: SLOT,
        lease_ms: (lease() / MILLI) as u32,
        ..Grant::default()
    };
    entries.iter().for_each(|entry| grant.push(entry));
    grant
}

fn only_entry(report: &Report) -> ReportEntry {
    assert_eq!(
        report.accounts.len(),
        1,
        "expected one entry, got {report:?}"
    );
    report.entries().next().unwrap()
}

/// Returns a holder that was granted `units` at `START`, of which the first request took one unit.
fn holder_with_lease(units: u64) -> Holder {
    let mut holder = holder();
    take_unit(&mut holder, START);
    let report = sent_report(&mut holder, START);
    holder
        .on_grant(START, &answer(&report, &[granted(units)]))
        .unwrap();
    holder
}

#[test]
fn first_request_is_reported_at_once_and_answered_by_the_grant() {
    let mut holder = holder();
    let first = waiter_id(take_unit(&mut holder, START));
    assert_eq!(holder.next_wake(), 0);
    let report = sent_report(&mut holder, START);
    let entry = only_entry(&report);
    assert_eq!(
        (entry.account, entry.limits, entry.waiting, entry.expected),
        (account(), PLAN, UNIT, 0)
    );
    let answers = holder
        .on_grant(START + MILLI, &answer(&report, &[granted(3 * UNIT)]))
        .unwrap();
    let [Answer {
        waiter_id,
        outcome: Outcome::Taken(receipt),
    }] = &answers[..]
    else {
        panic!("expected one answer with taken units, got {answers:?}")
    };
    assert_eq!(
        (*waiter_id, receipt.leased(), receipt.fallback()),
        (first, UNIT, 0)
    );
    // The remaining units serve two more requests without a report.
    assert!(is_taken(&take_unit(&mut holder, START + 2 * MILLI)));
    assert!(is_taken(&take_unit(&mut holder, START + 3 * MILLI)));
    assert_second_ticket(take_unit(&mut holder, START + 4 * MILLI));
}

fn assert_second_ticket(take: TakeResult) {
    assert_eq!(waiter_id(take), WaiterId(1));
}

#[test]
fn one_report_is_in_flight_at_a_time_and_is_retried_with_its_sequence_number() {
    let mut holder = holder();
    take_unit(&mut holder, START);
    let first = sent_report(&mut holder, START);
    take_unit(&mut holder, START + MILLI);
    assert!(sends_nothing(&mut holder, START + MILLI));
    let retry_at = START + settings().retry_report_after;
    assert_eq!(holder.next_wake(), retry_at);
    assert_eq!(sent_report(&mut holder, retry_at), first);
    holder
        .on_grant(retry_at, &answer(&first, &[granted(UNIT)]))
        .unwrap();
    let second = sent_report(&mut holder, retry_at);
    assert_eq!(
        (second.sequence, only_entry(&second).waiting),
        (first.sequence + 1, UNIT)
    );
    // A duplicate of the answer to the first report.
    let duplicate = holder.on_grant(retry_at, &answer(&first, &[granted(UNIT)]));
    assert_eq!(duplicate, Err(MessageError::Outdated(first.sequence)));
    assert_eq!(holder.dropped().outdated, 1);
}

#[test]
fn reports_keep_their_minimum_spacing() {
    let mut holder = holder();
    take_unit(&mut holder, START);
    let first = sent_report(&mut holder, START);
    holder
        .on_grant(START + MILLI, &answer(&first, &[granted(UNIT)]))
        .unwrap();
    take_unit(&mut holder, START + 2 * MILLI);
    assert!(sends_nothing(&mut holder, START + 2 * MILLI));
    assert_eq!(holder.next_wake(), START + settings().min_report_spacing);
    sent_report(&mut holder, START + settings().min_report_spacing);
}

#[test]
fn expired_leases_are_not_used() {
    let holder = holder_with_lease(5 * UNIT);
    let end = START + lease();
    assert!(is_taken(&take_unit(&mut holder.clone(), end - 1)));
    assert!(!is_taken(&take_unit(&mut holder.clone(), end)));
    // A limiter whose process was paused and did not poll the holder in between.
    assert!(!is_taken(&take_unit(&mut holder.clone(), end + lease())));
    assert_eq!(holder.leased(end, account()), 0);
}

#[test]
fn lease_begins_when_its_report_is_first_sent() {
    let mut holder = holder();
    take_unit(&mut holder, START);
    let report = sent_report(&mut holder, START);
    let retry_at = START + settings().retry_report_after;
    sent_report(&mut holder, retry_at);
    holder
        .on_grant(retry_at, &answer(&report, &[granted(5 * UNIT)]))
        .unwrap();
    assert_eq!(holder.leased(START + lease() - 1, account()), 4 * UNIT);
    assert_eq!(holder.leased(START + lease(), account()), 0);
}

#[test]
fn lease_duration_is_limited_by_the_settings_of_the_holder() {
    let mut holder = holder();
    take_unit(&mut holder, START);
    let report = sent_report(&mut holder, START);
    let grant = Grant {
        lease_ms: u32::MAX,
        ..answer(&report, &[granted(5 * UNIT)])
    };
    holder.on_grant(START, &grant).unwrap();
    assert_eq!(holder.leased(START + lease(), account()), 0);
}

#[test]
fn unused_units_of_an_expired_lease_are_returned_once_to_the_granting_incarnation() {
    let mut holder = holder_with_lease(5 * UNIT);
    let end = START + lease();
    holder.poll(end - 1);
    let report = sent_report(&mut holder, end);
    let entry = only_entry(&report);
    assert_eq!(
        (report.addressed_to, entry.returned, entry.returned_slot),
        (INCARNATION, 4 * UNIT, SLOT)
    );
    holder
        .on_grant(end, &answer(&report, &[granted(0)]))
        .unwrap();
    take_unit(&mut holder, end + SECOND);
    assert_eq!(
        only_entry(&sent_report(&mut holder, end + SECOND)).returned,
        0
    );
}

#[test]
fn units_granted_by_an_earlier_incarnation_are_not_returned() {
    let mut holder = holder_with_lease(5 * UNIT);
    // A report for another account is answered by a later incarnation of the allocator.
    let later = START + SECOND;
    holder.take(later, AccountKey::of("b"), PLAN, LIMITER_COUNT, UNIT);
    let report = sent_report(&mut holder, later);
    let grant = Grant {
        incarnation: INCARNATION + 1,
        ..answer(&report, &[granted(UNIT)])
    };
    holder.on_grant(later, &grant).unwrap();
    assert!(sends_nothing(&mut holder, START + lease()));
    assert_eq!(holder.metrics().returned, 0);
    // Answers of the earlier incarnation are dropped.
    take_unit(&mut holder, START + lease());
    let report = sent_report(&mut holder, START + lease());
    let refused = holder.on_grant(START + lease(), &answer(&report, &[granted(UNIT)]));
    assert_eq!(refused, Err(MessageError::Outdated(report.sequence)));
}

#[test]
fn units_that_are_put_back_return_to_the_lease_they_came_from() {
    let mut holder = holder_with_lease(2 * UNIT);
    let last = receipt(take_unit(&mut holder, START + MILLI));
    assert_eq!(holder.leased(START + MILLI, account()), 0);
    holder.put_back(START + 2 * MILLI, last);
    assert_eq!(holder.leased(START + 2 * MILLI, account()), UNIT);
    // Units taken from an earlier lease are not added to a later one.
    let early = receipt(take_unit(&mut holder, START + 3 * MILLI));
    let later = START + SECOND;
    waiter_id(take_unit(&mut holder, later));
    let report = sent_report(&mut holder, later);
    holder
        .on_grant(later, &answer(&report, &[granted(3 * UNIT)]))
        .unwrap();
    let end = START + lease();
    holder.put_back(end, early);
    assert_eq!(holder.leased(end, account()), 2 * UNIT);
    assert_eq!(holder.leased(later + lease(), account()), 0);
}

#[test]
fn exhausted_accounts_send_no_reports_during_the_hold_off_time() {
    let mut holder = holder();
    let first = waiter_id(take_unit(&mut holder, START));
    let second = waiter_id(take_unit(&mut holder, START));
    let report = sent_report(&mut holder, START);
    let third = waiter_id(take_unit(&mut holder, START));
    let answers = holder
        .on_grant(START, &answer(&report, &[exhausted(UNIT, 700)]))
        .unwrap();
    let denied = Outcome::Denied {
        retry_after: 700 * MILLI,
    };
    assert!(
        matches!(&answers[0], Answer { waiter_id, outcome: Outcome::Taken(_) } if *waiter_id == first)
    );
    assert_eq!(answers[1].waiter_id, second);
    assert_eq!(
        (
            answers[1].outcome == denied,
            answers[2].waiter_id,
            answers[2].outcome == denied
        ),
        (true, third, true)
    );
    for passed in [0, 300 * MILLI, 699 * MILLI] {
        let expected = TakeResult::Denied {
            retry_after: 700 * MILLI - passed,
        };
        assert_eq!(take_unit(&mut holder, START + passed), expected);
        assert!(sends_nothing(&mut holder, START + passed));
    }
    waiter_id(take_unit(&mut holder, START + 700 * MILLI));
    sent_report(&mut holder, START + 700 * MILLI);
}

#[test]
fn request_larger_than_the_burst_is_denied_permanently() {
    let mut holder = holder();
    let never = TakeResult::Denied {
        retry_after: Micros::MAX,
    };
    for units in [PLAN.burst + 1, u64::MAX] {
        assert_eq!(take(&mut holder, START, units), never);
    }
    let huge = PlanLimits {
        rate: u64::MAX,
        burst: u64::MAX,
    };
    assert_eq!(
        holder.take(START, account(), huge, LIMITER_COUNT, UNIT),
        never
    );
    assert!(is_taken(&take(&mut holder_with_lease(UNIT), START, 0)));
    assert!(sends_nothing(&mut holder, START));
    let largest = PlanLimits {
        rate: MAX_UNITS,
        burst: MAX_UNITS,
    };
    for _ in 0..3 {
        waiter_id(holder.take(START, account(), largest, u32::MAX, MAX_UNITS));
    }
    assert_eq!(
        only_entry(&sent_report(&mut holder, START)).waiting,
        MAX_UNITS
    );
}

#[test]
fn leases_follow_demand_and_rare_requests_ask_only_for_their_own_units() {
    // Ten requests per second.
    let mut holder = holder();
    let (mut waited, mut requested) = (Vec::new(), Vec::new());
    for step in 0..300u64 {
        let now = START + step * SECOND / 10;
        let waits = !is_taken(&take_unit(&mut holder, now));
        waited.push(waits);
        for (_, report) in holder.poll(now).reports {
            let entries: Vec<_> = report
                .entries()
                .map(|entry| granted(entry.waiting + entry.expected))
                .collect();
            requested.extend(entries.iter().map(|entry| entry.units));
            holder.on_grant(now, &answer(&report, &entries)).unwrap();
        }
    }
    let wait_count = |from: usize| waited[from..].iter().filter(|waits| **waits).count();
    assert!(wait_count(0) < 20 && wait_count(100) == 0, "{waited:?}");
    assert!(requested.iter().max() > Some(&(20 * UNIT)), "{requested:?}");
    let metrics = holder.metrics();
    assert!(metrics.returned < metrics.granted / 10, "{metrics:?}");
    // Then no requests: unused units are returned and none are requested.
    for step in 0..60 {
        let now = START + (30 + step) * SECOND;
        for (_, report) in holder.poll(now).reports {
            let expected: u64 = report.entries().map(|entry| entry.expected).sum();
            assert!(step <= 5 || expected == 0);
            let entries: Vec<_> = report
                .entries()
                .map(|entry| granted(entry.expected))
                .collect();
            holder.on_grant(now, &answer(&report, &entries)).unwrap();
        }
    }
    let metrics = holder.metrics();
    assert_eq!(metrics.granted, metrics.taken + metrics.returned);

    // One request per minute: each report asks only for the units of that request.
    let mut holder = self::holder();
    for minute in 0..10 {
        let now = START + minute * 60 * SECOND;
        take_unit(&mut holder, now);
        let report = sent_report(&mut holder, now);
        assert_eq!(
            (only_entry(&report).waiting, only_entry(&report).expected),
            (UNIT, 0)
        );
        holder
            .on_grant(now, &answer(&report, &[granted(UNIT)]))
            .unwrap();
        assert!(sends_nothing(&mut holder, now + 30 * SECOND));
    }
    assert_eq!(holder.metrics().reports, 10);
}

#[test]
fn requests_use_the_fallback_share_if_the_owner_does_not_answer() {
    // Half of the quota divided by ten limiters: 5 units per second, burst of 10 units.
    let mut holder = holder();
    let mut waiting: Vec<_> = (0..12)
        .map(|_| waiter_id(take_unit(&mut holder, START + 50 * SECOND)))
        .collect();
    let sent_at = START + 50 * SECOND;
    sent_report(&mut holder, sent_at);
    assert!(holder
        .poll(sent_at + settings().unavailable_after - 1)
        .answers
        .is_empty());
    let answers = holder.poll(sent_at + settings().unavailable_after).answers;
    waiting.retain(|waiter_id| !answers.iter().any(|answer| answer.waiter_id == *waiter_id));
    assert!(waiting.is_empty());
    let taken = answers
        .iter()
        .filter(|answer| matches!(answer.outcome, Outcome::Taken(_)))
        .count();
    assert_eq!(taken, 10);
    assert_eq!(
        answers[11].outcome,
        Outcome::Denied {
            retry_after: SECOND / 5
        }
    );
    // Later requests use the fallback share without waiting.
    let now = sent_at + settings().unavailable_after + SECOND / 5;
    assert_eq!(receipt(take_unit(&mut holder, now)).fallback(), UNIT);
    assert_eq!(
        take_unit(&mut holder, now),
        TakeResult::Denied {
            retry_after: SECOND / 5
        }
    );
}

#[test]
fn fallback_share_starts_with_the_units_that_are_certainly_unused() {
    // A process that has just started does not know what the previous one used, so the share is empty.
    let mut holder = holder();
    holder.on_connection_lost(START, 0);
    assert_eq!(
        take_unit(&mut holder, START),
        TakeResult::Denied {
            retry_after: SECOND / 5
        }
    );
    assert!(is_taken(&take_unit(&mut holder, START + SECOND / 5)));
    // Units taken from leases count as used.
    let mut holder = Holder::new(0, settings());
    take(&mut holder, START, 7 * UNIT);
    let report = sent_report(&mut holder, START);
    holder
        .on_grant(START, &answer(&report, &[granted(7 * UNIT)]))
        .unwrap();
    holder.on_connection_lost(START, 0);
    let taken = (0..10)
        .filter(|_| is_taken(&take_unit(&mut holder, START)))
        .count();
    assert_eq!(taken, 3);
}

#[test]
fn disabled_fallback_serves_nothing_and_minimum_burst_serves_one_unit() {
    let is_served_after_connection_loss = |settings| {
        let mut holder = Holder::new(0, settings);
        holder.on_connection_lost(START, 0);
        let low_rate_plan = PlanLimits {
            rate: 10,
            burst: 2 * UNIT,
        };
        is_taken(&holder.take(1_000 * START, account(), low_rate_plan, 100, UNIT))
    };
    assert!(!is_served_after_connection_loss(HolderSettings {
        fallback_thousandths: 0,
        fallback_min_burst: UNIT,
        ..settings()
    }));
    assert!(!is_served_after_connection_loss(settings()));
    assert!(is_served_after_connection_loss(HolderSettings {
        fallback_min_burst: UNIT,
        ..settings()
    }));
}

#[test]
fn fallback_use_is_reported_once_when_the_owner_answers_again() {
    let mut holder = Holder::new(0, settings());
    holder.on_connection_lost(START, 0);
    receipt(take_unit(&mut holder, START));
    let unused = receipt(take(&mut holder, START, 2 * UNIT));
    receipt(take(&mut holder, START, 3 * UNIT));
    holder.put_back(START, unused);
    // The probe of the owner has no entries, because the owner might process them although its answer
    // is lost.
    let retry = START + settings().probe_after;
    assert!(sends_nothing(&mut holder, retry - 1));
    let report = sent_report(&mut holder, retry);
    assert!(report.accounts.is_empty());
    holder.on_grant(retry, &answer(&report, &[])).unwrap();
    let later = retry + settings().report_interval;
    let report = sent_report(&mut holder, later);
    assert_eq!(only_entry(&report).fallback_used, 4 * UNIT);
    // The report is lost, possibly after it was processed, so its use is not reported again.
    holder.on_connection_lost(later, 0);
    let probe = sent_report(&mut holder, later + settings().probe_after);
    holder
        .on_grant(later + settings().probe_after, &answer(&probe, &[]))
        .unwrap();
    for step in 0..100 {
        let poll = holder.poll(later + 5 * SECOND + step * SECOND);
        assert!(poll
            .reports
            .iter()
            .all(|(_, report)| report.fallback_used.is_empty()));
    }
}

/// Returns a holder with three allocators, and the owners of the account when none, the first, and the
/// first two of them are reassigned.
fn holder_with_three_allocators() -> (Holder, [u32; 3]) {
    let holder = Holder::new(
        0,
        HolderSettings {
            allocators: 3,
            ..HolderSettings::default()
        },
    );
    let first = placement::owner(account(), 3, 0).unwrap();
    let second = placement::owner(account(), 3, 1 << first).unwrap();
    (holder, [first, second, 3 - first - second])
}

#[test]
fn waiting_request_is_reported_to_the_new_owner_of_its_account() {
    let (mut holder, [first, second, _]) = holder_with_three_allocators();
    waiter_id(take_unit(&mut holder, START));
    let poll = holder.poll(START);
    assert_eq!(poll.reports[0].0, first);
    let refusal = GrantEntry {
        verdict: Verdict::NotOwner,
        units: 0,
        hold_off_ms: 0,
    };
    let moved = Grant {
        allocator: first,
        reassigned: 1 << first,
        ..answer(&poll.reports[0].1, &[refusal])
    };
    assert!(holder.on_grant(START, &moved).unwrap().is_empty());
    let poll = holder.poll(START);
    assert_eq!(poll.reports[0].0, second);
    let grant = Grant {
        allocator: second,
        reassigned: 1 << first,
        ..answer(&poll.reports[0].1, &[granted(UNIT)])
    };
    let answers = holder.on_grant(START, &grant).unwrap();
    assert!(matches!(answers[0].outcome, Outcome::Taken(_)));
}

#[test]
fn request_that_allocators_refuse_in_turn_uses_the_fallback_share() {
    let (mut holder, [first, second, _]) = holder_with_three_allocators();
    waiter_id(take_unit(&mut holder, START));
    let refusal = GrantEntry {
        verdict: Verdict::NotOwner,
        units: 0,
        hold_off_ms: 0,
    };
    let mut answers = Vec::new();
    for (turn, given_away) in [1 << first, 0, 1 << first, 0, 1 << first]
        .into_iter()
        .enumerate()
    {
        let now = START + turn as Micros * SECOND;
        let Some((number, report)) = holder.poll(now).reports.into_iter().next() else {
            break;
        };
        assert_eq!(number, [first, second][turn % 2]);
        let grant = Grant {
            allocator: number,
            reassigned: given_away,
            ..answer(&report, &[refusal])
        };
        answers.extend(holder.on_grant(now, &grant).unwrap());
    }
    assert_eq!(answers.len(), 1);
    let Outcome::Taken(receipt) = &answers[0].outcome else {
        panic!("expected one answer with taken units, got {answers:?}")
    };
    assert_eq!(receipt.fallback(), UNIT);
}

#[test]
fn reassignments_from_an_allocator_without_its_own_lease_are_ignored() {
    let (mut holder, [first, _, _]) = holder_with_three_allocators();
    waiter_id(take_unit(&mut holder, START));
    let (_, report) = holder.poll(START).reports.remove(0);
    let refusal = GrantEntry {
        verdict: Verdict::NotOwner,
        units: 0,
        hold_off_ms: 0,
    };
    let cut_off = Grant {
        allocator: first,
        serving: false,
        reassigned: 6,
        ..answer(&report, &[refusal])
    };
    let answers = holder.on_grant(START, &cut_off).unwrap();
    assert_eq!(answers.len(), 1);
    assert!(!holder.is_available(first));
    // The other allocators are asked which allocators are reassigned.
    let probed: Vec<_> = holder
        .poll(START)
        .reports
        .into_iter()
        .map(|(number, _)| number)
        .collect();
    assert_eq!(
        probed,
        (0..3).filter(|number| *number != first).collect::<Vec<_>>()
    );
}

#[test]
fn invalid_answers_are_dropped_and_counted() {
    let mut holder = holder();
    take_unit(&mut holder, START);
    let report = sent_report(&mut holder, START);
    let good = answer(&report, &[granted(UNIT)]);
    let unknown = Grant {
        allocator: 1,
        ..good.clone()
    };
    assert_eq!(
        holder.on_grant(START, &unknown),
        Err(MessageError::UnknownSender(1))
    );
    let foreign = Grant {
        limiter_incarnation: 99,
        ..good.clone()
    };
    assert_eq!(
        holder.on_grant(START, &foreign),
        Err(MessageError::Outdated(good.sequence))
    );
    let short = answer(&report, &[]);
    assert!(matches!(
        holder.on_grant(START, &short),
        Err(MessageError::Entries(_))
    ));
    let version = Grant {
        format: 2,
        ..good.clone()
    };
    assert_eq!(
        holder.on_grant(START, &version),
        Err(MessageError::Format(2))
    );
    let huge = answer(&report, &[granted(u64::MAX)]);
    assert!(matches!(
        holder.on_grant(START, &huge),
        Err(MessageError::Entries(_))
    ));
    let dropped = holder.dropped();
    assert_eq!(
        (
            dropped.unknown_sender,
            dropped.outdated,
            dropped.entries,
            dropped.format
        ),
        (1, 1, 2, 1)
    );
    assert_eq!(holder.on_grant(START, &good).unwrap().len(), 1);
    assert!(holder.on_connection_lost(START, u32::MAX).is_empty());
}

#[test]
fn idle_accounts_are_evicted_and_the_number_of_accounts_is_bounded() {
    let low_rate_plan = PlanLimits {
        rate: 2_000,
        burst: 2 * UNIT,
    };
    let mut holder = Holder::new(
        0,
        HolderSettings {
            max_accounts: 500,
            fallback_thousandths: 1_000,
            ..settings()
        },
    );
    let exchange = |holder: &mut Holder, now| {
        for (_, report) in holder.poll(now).reports {
            let entries: Vec<_> = report
                .entries()
                .map(|entry| granted(entry.waiting))
                .collect();
            holder.on_grant(now, &answer(&report, &entries)).unwrap();
        }
    };
    let mut now = START;
    for number in 0..2_000 {
        now += 10 * MILLI;
        holder.take(now, AccountKey(number), low_rate_plan, 1, UNIT);
        exchange(&mut holder, now);
        assert!(holder.accounts() <= 500);
    }
    assert!(holder.accounts() > 400);
    exchange(&mut holder, now + SECOND);
    assert_eq!(holder.waiting(), 0);
    holder.poll(now + 100 * SECOND);
    if holder.accounts() > 0 {
        panic!("expected no accounts at {now}, got {holder:#?}");
    }
    assert_eq!(holder.accounts(), 0);
    assert_eq!(holder.next_wake(), Micros::MAX);
}

#[test]
fn number_of_waiting_requests_is_limited() {
    let mut holder = Holder::new(
        0,
        HolderSettings {
            max_waiting: 3,
            ..settings()
        },
    );
    for _ in 0..3 {
        waiter_id(take_unit(&mut holder, START));
    }
    assert_eq!(
        take_unit(&mut holder, START),
        TakeResult::Denied {
            retry_after: settings().report_interval
        }
    );
    assert_eq!(holder.waiting(), 3);
}

#[test]
fn with_fallback_first_a_request_does_not_wait_and_its_use_is_reported() {
    let mut holder = Holder::new(
        0,
        HolderSettings {
            use_fallback_first: true,
            ..settings()
        },
    );
    assert_eq!(receipt(take_unit(&mut holder, START)).fallback(), UNIT);
    // The use is reported only to a known incarnation, so that it is counted once.
    let report = sent_report(&mut holder, START);
    assert_eq!(
        (
            report.addressed_to,
            only_entry(&report).waiting,
            only_entry(&report).fallback_used
        ),
        (0, 0, 0)
    );
    holder
        .on_grant(START, &answer(&report, &[granted(0)]))
        .unwrap();
    let later = START + settings().report_interval;
    let report = sent_report(&mut holder, later);
    assert_eq!(
        (report.addressed_to, only_entry(&report).fallback_used),
        (INCARNATION, UNIT)
    );
    // The account owes units: requests no longer use the fallback share first.
    holder
        .on_grant(later, &answer(&report, &[exhausted(0, 500)]))
        .unwrap();
    assert_eq!(
        take_unit(&mut holder, later),
        TakeResult::Denied {
            retry_after: 500 * MILLI
        }
    );
    // Once the fallback share is used up, requests wait.
    let mut holder = Holder::new(
        0,
        HolderSettings {
            use_fallback_first: true,
            ..settings()
        },
    );
    assert!((0..10).all(|_| is_taken(&take_unit(&mut holder, START))));
    waiter_id(take_unit(&mut holder, START));
}
