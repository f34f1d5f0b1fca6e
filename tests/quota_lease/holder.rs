//! One limiter, answered by hand.

use mossrill::decision::Micros;
use mossrill::quota_lease::holder::{
    Answer, Holder, HolderSettings, Outcome, Receipt, TakeResult, Ticket,
};
use mossrill::quota_lease::message::{
    AccountKey, Grant, GrantEntry, MessageError, PlanLimits, Report, ReportEntry, Verdict, FORMAT,
    MAX_UNITS,
};
use mossrill::quota_lease::placement;

const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;
const START: Micros = 100 * SECOND;
const SPREAD: u32 = 10;
const UNIT: u64 = 1_000;
const PLAN: PlanLimits = PlanLimits {
    rate: 100 * UNIT,
    burst: 200 * UNIT,
};
/// Of the one allocator.
const INCARNATION: u64 = 8;
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
    holder.take(now, account(), PLAN, SPREAD, units)
}

fn take_one(holder: &mut Holder, now: Micros) -> TakeResult {
    take(holder, now, UNIT)
}

fn is_taken(take: &TakeResult) -> bool {
    matches!(take, TakeResult::Taken(_))
}

fn ticket(take: TakeResult) -> Ticket {
    match take {
        TakeResult::Waiting(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

fn receipt(take: TakeResult) -> Receipt {
    match take {
        TakeResult::Taken(receipt) => receipt,
        other => panic!("{other:?}"),
    }
}

/// The only report that is sent now.
fn sent(holder: &mut Holder, now: Micros) -> Report {
    let poll = holder.poll(now);
    assert_eq!(poll.reports.len(), 1, "{poll:?}");
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
    assert_eq!(report.accounts.len(), 1, "{report:?}");
    report.entries().next().unwrap()
}

/// A limiter that was granted so many units at `START`, of which the first request took one.
fn with_lease(units: u64) -> Holder {
    let mut holder = holder();
    take_one(&mut holder, START);
    let report = sent(&mut holder, START);
    holder
        .on_grant(START, &answer(&report, &[granted(units)]))
        .unwrap();
    holder
}

#[test]
fn the_first_request_asks_at_once_and_is_answered_by_its_grant() {
    let mut holder = holder();
    let first = ticket(take_one(&mut holder, START));
    assert_eq!(holder.next_wake(), 0);
    let report = sent(&mut holder, START);
    let entry = only_entry(&report);
    assert_eq!(
        (entry.account, entry.limits, entry.waiting, entry.expected),
        (account(), PLAN, UNIT, 0)
    );
    let answers = holder
        .on_grant(START + MILLI, &answer(&report, &[granted(3 * UNIT)]))
        .unwrap();
    let [Answer {
        ticket,
        outcome: Outcome::Taken(receipt),
    }] = &answers[..]
    else {
        panic!("{answers:?}")
    };
    assert_eq!(
        (*ticket, receipt.leased(), receipt.fallback()),
        (first, UNIT, 0)
    );
    // Two more without asking.
    assert!(is_taken(&take_one(&mut holder, START + 2 * MILLI)));
    assert!(is_taken(&take_one(&mut holder, START + 3 * MILLI)));
    ticket_of_third(take_one(&mut holder, START + 4 * MILLI));
}

fn ticket_of_third(take: TakeResult) {
    assert_eq!(ticket(take), Ticket(1));
}

#[test]
fn one_report_is_out_at_a_time_and_is_sent_again_with_its_number() {
    let mut holder = holder();
    take_one(&mut holder, START);
    let first = sent(&mut holder, START);
    take_one(&mut holder, START + MILLI);
    assert!(sends_nothing(&mut holder, START + MILLI));
    let again = START + settings().retry_report_after;
    assert_eq!(holder.next_wake(), again);
    assert_eq!(sent(&mut holder, again), first);
    holder
        .on_grant(again, &answer(&first, &[granted(UNIT)]))
        .unwrap();
    let second = sent(&mut holder, again);
    assert_eq!(
        (second.sequence, only_entry(&second).waiting),
        (first.sequence + 1, UNIT)
    );
    // The answer to the first one, once more.
    let twice = holder.on_grant(again, &answer(&first, &[granted(UNIT)]));
    assert_eq!(twice, Err(MessageError::Outdated(first.sequence)));
    assert_eq!(holder.dropped().outdated, 1);
}

#[test]
fn reports_keep_their_spacing() {
    let mut holder = holder();
    take_one(&mut holder, START);
    let first = sent(&mut holder, START);
    holder
        .on_grant(START + MILLI, &answer(&first, &[granted(UNIT)]))
        .unwrap();
    take_one(&mut holder, START + 2 * MILLI);
    assert!(sends_nothing(&mut holder, START + 2 * MILLI));
    assert_eq!(holder.next_wake(), START + settings().min_report_spacing);
    sent(&mut holder, START + settings().min_report_spacing);
}

#[test]
fn nothing_is_used_of_a_lease_that_expired() {
    let holder = with_lease(5 * UNIT);
    let end = START + lease();
    assert!(is_taken(&take_one(&mut holder.clone(), end - 1)));
    assert!(!is_taken(&take_one(&mut holder.clone(), end)));
    // A limiter that stood still and did not look in between.
    assert!(!is_taken(&take_one(&mut holder.clone(), end + lease())));
    assert_eq!(holder.leased(end, account()), 0);
}

#[test]
fn a_lease_lasts_from_the_first_sending_of_its_report() {
    let mut holder = holder();
    take_one(&mut holder, START);
    let report = sent(&mut holder, START);
    let again = START + settings().retry_report_after;
    sent(&mut holder, again);
    holder
        .on_grant(again, &answer(&report, &[granted(5 * UNIT)]))
        .unwrap();
    assert_eq!(holder.leased(START + lease() - 1, account()), 4 * UNIT);
    assert_eq!(holder.leased(START + lease(), account()), 0);
}

#[test]
fn no_lease_lasts_longer_than_this_limiter_expects() {
    let mut holder = holder();
    take_one(&mut holder, START);
    let report = sent(&mut holder, START);
    let grant = Grant {
        lease_ms: u32::MAX,
        ..answer(&report, &[granted(5 * UNIT)])
    };
    holder.on_grant(START, &grant).unwrap();
    assert_eq!(holder.leased(START + lease(), account()), 0);
}

#[test]
fn what_an_expired_lease_left_is_returned_once_to_the_incarnation_that_granted_it() {
    let mut holder = with_lease(5 * UNIT);
    let end = START + lease();
    holder.poll(end - 1);
    let report = sent(&mut holder, end);
    let entry = only_entry(&report);
    assert_eq!(
        (report.addressed_to, entry.returned, entry.returned_slot),
        (INCARNATION, 4 * UNIT, SLOT)
    );
    holder
        .on_grant(end, &answer(&report, &[granted(0)]))
        .unwrap();
    take_one(&mut holder, end + SECOND);
    assert_eq!(only_entry(&sent(&mut holder, end + SECOND)).returned, 0);
}

#[test]
fn what_another_incarnation_granted_is_not_returned() {
    let mut holder = with_lease(5 * UNIT);
    // Another account's report is answered by a later process of the allocator.
    let later = START + SECOND;
    holder.take(later, AccountKey::of("b"), PLAN, SPREAD, UNIT);
    let report = sent(&mut holder, later);
    let grant = Grant {
        incarnation: INCARNATION + 1,
        ..answer(&report, &[granted(UNIT)])
    };
    holder.on_grant(later, &grant).unwrap();
    assert!(sends_nothing(&mut holder, START + lease()));
    assert_eq!(holder.figures().returned, 0);
    // The earlier process is heard no more.
    take_one(&mut holder, START + lease());
    let report = sent(&mut holder, START + lease());
    let refused = holder.on_grant(START + lease(), &answer(&report, &[granted(UNIT)]));
    assert_eq!(refused, Err(MessageError::Outdated(report.sequence)));
}

#[test]
fn units_put_back_go_into_their_own_lease() {
    let mut holder = with_lease(2 * UNIT);
    let last = receipt(take_one(&mut holder, START + MILLI));
    assert_eq!(holder.leased(START + MILLI, account()), 0);
    holder.put_back(START + 2 * MILLI, last);
    assert_eq!(holder.leased(START + 2 * MILLI, account()), UNIT);
    // A later lease gets nothing of what was taken out of an earlier one.
    let early = receipt(take_one(&mut holder, START + 3 * MILLI));
    let later = START + SECOND;
    ticket(take_one(&mut holder, later));
    let report = sent(&mut holder, later);
    holder
        .on_grant(later, &answer(&report, &[granted(3 * UNIT)]))
        .unwrap();
    let end = START + lease();
    holder.put_back(end, early);
    assert_eq!(holder.leased(end, account()), 2 * UNIT);
    assert_eq!(holder.leased(later + lease(), account()), 0);
}

#[test]
fn exhausted_accounts_cost_no_message_until_the_hold_off_is_over() {
    let mut holder = holder();
    let first = ticket(take_one(&mut holder, START));
    let second = ticket(take_one(&mut holder, START));
    let report = sent(&mut holder, START);
    let third = ticket(take_one(&mut holder, START));
    let answers = holder
        .on_grant(START, &answer(&report, &[exhausted(UNIT, 700)]))
        .unwrap();
    let denied = Outcome::Denied {
        retry_after: 700 * MILLI,
    };
    assert!(
        matches!(&answers[0], Answer { ticket, outcome: Outcome::Taken(_) } if *ticket == first)
    );
    assert_eq!(answers[1].ticket, second);
    assert_eq!(
        (
            answers[1].outcome == denied,
            answers[2].ticket,
            answers[2].outcome == denied
        ),
        (true, third, true)
    );
    for passed in [0, 300 * MILLI, 699 * MILLI] {
        let expected = TakeResult::Denied {
            retry_after: 700 * MILLI - passed,
        };
        assert_eq!(take_one(&mut holder, START + passed), expected);
        assert!(sends_nothing(&mut holder, START + passed));
    }
    ticket(take_one(&mut holder, START + 700 * MILLI));
    sent(&mut holder, START + 700 * MILLI);
}

#[test]
fn a_request_larger_than_the_burst_is_denied_for_good() {
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
    assert_eq!(holder.take(START, account(), huge, SPREAD, UNIT), never);
    assert!(is_taken(&take(&mut with_lease(UNIT), START, 0)));
    assert!(sends_nothing(&mut holder, START));
    let largest = PlanLimits {
        rate: MAX_UNITS,
        burst: MAX_UNITS,
    };
    for _ in 0..3 {
        ticket(holder.take(START, account(), largest, u32::MAX, MAX_UNITS));
    }
    assert_eq!(only_entry(&sent(&mut holder, START)).waiting, MAX_UNITS);
}

#[test]
fn leases_follow_use_and_an_account_that_comes_once_asks_for_nothing_more() {
    // Ten requests a second.
    let mut holder = holder();
    let (mut waited, mut asked) = (Vec::new(), Vec::new());
    for step in 0..300u64 {
        let now = START + step * SECOND / 10;
        let waits = !is_taken(&take_one(&mut holder, now));
        waited.push(waits);
        for (_, report) in holder.poll(now).reports {
            let entries: Vec<_> = report
                .entries()
                .map(|entry| granted(entry.waiting + entry.expected))
                .collect();
            asked.extend(entries.iter().map(|entry| entry.units));
            holder.on_grant(now, &answer(&report, &entries)).unwrap();
        }
    }
    let waits = |from: usize| waited[from..].iter().filter(|waits| **waits).count();
    assert!(waits(0) < 20 && waits(100) == 0, "{waited:?}");
    assert!(asked.iter().max() > Some(&(20 * UNIT)), "{asked:?}");
    let figures = holder.figures();
    assert!(figures.returned < figures.granted / 10, "{figures:?}");
    // Then none: what is left is returned, and nothing more is asked for.
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
    let figures = holder.figures();
    assert_eq!(figures.granted, figures.taken + figures.returned);

    // One request a minute: each asks for itself alone.
    let mut holder = self::holder();
    for minute in 0..10 {
        let now = START + minute * 60 * SECOND;
        take_one(&mut holder, now);
        let report = sent(&mut holder, now);
        assert_eq!(
            (only_entry(&report).waiting, only_entry(&report).expected),
            (UNIT, 0)
        );
        holder
            .on_grant(now, &answer(&report, &[granted(UNIT)]))
            .unwrap();
        assert!(sends_nothing(&mut holder, now + 30 * SECOND));
    }
    assert_eq!(holder.figures().reports, 10);
}

#[test]
fn an_owner_that_does_not_answer_leaves_the_fallback_part() {
    // Half of the quota over ten limiters: 5 a second, 10 at once.
    let mut holder = holder();
    let mut waiting: Vec<_> = (0..12)
        .map(|_| ticket(take_one(&mut holder, START + 50 * SECOND)))
        .collect();
    let sent_at = START + 50 * SECOND;
    sent(&mut holder, sent_at);
    assert!(holder
        .poll(sent_at + settings().unavailable_after - 1)
        .answers
        .is_empty());
    let answers = holder.poll(sent_at + settings().unavailable_after).answers;
    waiting.retain(|ticket| !answers.iter().any(|answer| answer.ticket == *ticket));
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
    // It goes on without waiting.
    let now = sent_at + settings().unavailable_after + SECOND / 5;
    assert_eq!(receipt(take_one(&mut holder, now)).fallback(), UNIT);
    assert_eq!(
        take_one(&mut holder, now),
        TakeResult::Denied {
            retry_after: SECOND / 5
        }
    );
}

#[test]
fn a_part_is_opened_with_what_is_surely_unused() {
    // A process that has just started knows nothing of what the last one used.
    let mut holder = holder();
    holder.on_connection_lost(START, 0);
    assert_eq!(
        take_one(&mut holder, START),
        TakeResult::Denied {
            retry_after: SECOND / 5
        }
    );
    assert!(is_taken(&take_one(&mut holder, START + SECOND / 5)));
    // What was taken out of leases is used as well.
    let mut holder = Holder::new(0, settings());
    take(&mut holder, START, 7 * UNIT);
    let report = sent(&mut holder, START);
    holder
        .on_grant(START, &answer(&report, &[granted(7 * UNIT)]))
        .unwrap();
    holder.on_connection_lost(START, 0);
    let taken = (0..10)
        .filter(|_| is_taken(&take_one(&mut holder, START)))
        .count();
    assert_eq!(taken, 3);
}

#[test]
fn without_a_fallback_nothing_goes_beyond_and_a_least_part_holds_a_unit() {
    let lost = |settings| {
        let mut holder = Holder::new(0, settings);
        holder.on_connection_lost(START, 0);
        let thin = PlanLimits {
            rate: 10,
            burst: 2 * UNIT,
        };
        is_taken(&holder.take(1_000 * START, account(), thin, 100, UNIT))
    };
    assert!(!lost(HolderSettings {
        fallback_thousandths: 0,
        fallback_min_burst: UNIT,
        ..settings()
    }));
    assert!(!lost(settings()));
    assert!(lost(HolderSettings {
        fallback_min_burst: UNIT,
        ..settings()
    }));
}

#[test]
fn use_beyond_is_reported_once_when_the_owner_is_back() {
    let mut holder = Holder::new(0, settings());
    holder.on_connection_lost(START, 0);
    receipt(take_one(&mut holder, START));
    let undone = receipt(take(&mut holder, START, 2 * UNIT));
    receipt(take(&mut holder, START, 3 * UNIT));
    holder.put_back(START, undone);
    // It is asked whether it is back, with nothing that might be counted without an answer.
    let retry = START + settings().probe_after;
    assert!(sends_nothing(&mut holder, retry - 1));
    let report = sent(&mut holder, retry);
    assert!(report.accounts.is_empty());
    holder.on_grant(retry, &answer(&report, &[])).unwrap();
    let later = retry + settings().report_interval;
    let report = sent(&mut holder, later);
    assert_eq!(only_entry(&report).fallback_used, 4 * UNIT);
    // Lost on its way, perhaps after it was counted: it is not told twice.
    holder.on_connection_lost(later, 0);
    let again = sent(&mut holder, later + settings().probe_after);
    holder
        .on_grant(later + settings().probe_after, &answer(&again, &[]))
        .unwrap();
    for step in 0..100 {
        let poll = holder.poll(later + 5 * SECOND + step * SECOND);
        assert!(poll
            .reports
            .iter()
            .all(|(_, report)| report.fallback_used.is_empty()));
    }
}

/// Three allocators, and the account's owner with none, one and two of them given away.
fn three() -> (Holder, [u32; 3]) {
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
fn a_request_follows_its_account_to_the_owner_that_it_is_told_of() {
    let (mut holder, [first, second, _]) = three();
    ticket(take_one(&mut holder, START));
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
fn allocators_that_send_a_request_to_each_other_leave_it_the_fallback() {
    let (mut holder, [first, second, _]) = three();
    ticket(take_one(&mut holder, START));
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
        panic!("{answers:?}")
    };
    assert_eq!(receipt.fallback(), UNIT);
}

#[test]
fn an_allocator_without_its_own_lease_is_not_believed() {
    let (mut holder, [first, _, _]) = three();
    ticket(take_one(&mut holder, START));
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
    // Somebody is asked who has its accounts.
    let asked: Vec<_> = holder
        .poll(START)
        .reports
        .into_iter()
        .map(|(number, _)| number)
        .collect();
    assert_eq!(
        asked,
        (0..3).filter(|number| *number != first).collect::<Vec<_>>()
    );
}

#[test]
fn answers_that_do_not_fit_are_dropped_and_counted() {
    let mut holder = holder();
    take_one(&mut holder, START);
    let report = sent(&mut holder, START);
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
fn accounts_that_come_once_are_forgotten_and_their_number_is_bounded() {
    let thin = PlanLimits {
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
        holder.take(now, AccountKey(number), thin, 1, UNIT);
        exchange(&mut holder, now);
        assert!(holder.accounts() <= 500);
    }
    assert!(holder.accounts() > 400);
    exchange(&mut holder, now + SECOND);
    assert_eq!(holder.waiting(), 0);
    holder.poll(now + 100 * SECOND);
    if holder.accounts() > 0 {
        panic!("{:#?} {now}", holder);
    }
    assert_eq!(holder.accounts(), 0);
    assert_eq!(holder.next_wake(), Micros::MAX);
}

#[test]
fn no_more_requests_wait_than_may() {
    let mut holder = Holder::new(
        0,
        HolderSettings {
            max_waiting: 3,
            ..settings()
        },
    );
    for _ in 0..3 {
        ticket(take_one(&mut holder, START));
    }
    assert_eq!(
        take_one(&mut holder, START),
        TakeResult::Denied {
            retry_after: settings().report_interval
        }
    );
    assert_eq!(holder.waiting(), 3);
}

#[test]
fn on_trust_a_request_does_not_wait_and_is_reported() {
    let mut holder = Holder::new(
        0,
        HolderSettings {
            use_fallback_first: true,
            ..settings()
        },
    );
    assert_eq!(receipt(take_one(&mut holder, START)).fallback(), UNIT);
    // It is told to a process that is known alone, so that it counts once.
    let report = sent(&mut holder, START);
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
    let report = sent(&mut holder, later);
    assert_eq!(
        (report.addressed_to, only_entry(&report).fallback_used),
        (INCARNATION, UNIT)
    );
    // The account owes: nothing more goes on trust.
    holder
        .on_grant(later, &answer(&report, &[exhausted(0, 500)]))
        .unwrap();
    assert_eq!(
        take_one(&mut holder, later),
        TakeResult::Denied {
            retry_after: 500 * MILLI
        }
    );
    // A part that is used up leaves waiting.
    let mut holder = Holder::new(
        0,
        HolderSettings {
            use_fallback_first: true,
            ..settings()
        },
    );
    assert!((0..10).all(|_| is_taken(&take_one(&mut holder, START))));
    ticket(take_one(&mut holder, START));
}
