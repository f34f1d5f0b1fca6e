//! What messages and state take. Prints figures, asserts no times: `cargo test --release --test quota_lease figures --
//! --ignored --nocapture`.

use std::time::Instant;

use mossrill::quota_lease::allocator::{Allocator, AllocatorSettings, Ownership};
use mossrill::quota_lease::holder::{Holder, HolderSettings};
use mossrill::quota_lease::message::{AccountKey, Grant, PlanLimits, Report, ReportEntry};
use prost::Message;

const SECOND: u64 = 1_000_000;
const PLAN: PlanLimits = PlanLimits {
    rate: 500,
    burst: 5_000,
};
const SPREAD: u32 = 100;
const START: u64 = 1_000 * SECOND;

fn allocator() -> Allocator {
    let mut allocator = Allocator::new(0, 1, 1 << 40, AllocatorSettings::default());
    allocator.set_ownership(
        0,
        Ownership {
            until: u64::MAX,
            ..Ownership::default()
        },
    );
    allocator
}

fn holder() -> Holder {
    Holder::new(
        START,
        HolderSettings {
            allocators: 1,
            limiter: 1_999,
            incarnation: 1 << 40,
            ..Default::default()
        },
    )
}

fn name(number: usize) -> AccountKey {
    AccountKey::of(&format!("tenant-{number}"))
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap();
    pages
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<usize>()
        .unwrap()
        * 4_096
}

fn exchange(holder: &mut Holder, allocator: &mut Allocator, now: u64) -> Vec<(Report, Grant)> {
    let mut exchanged = Vec::new();
    for (_, report) in holder.poll(now).reports {
        let grant = allocator.on_report(now, &report).unwrap();
        holder.on_grant(now, &grant).unwrap();
        exchanged.push((report, grant));
    }
    exchanged
}

#[test]
#[ignore = "prints figures"]
fn figures_of_messages() {
    println!("entries  report bytes  a entry  grant bytes  a entry");
    for entries in [0, 1, 2, 5, 20, 100, 1_000] {
        let (mut holder, mut allocator) = (holder(), allocator());
        // The allocator is known, as it is after the first report.
        holder.take(START, name(usize::MAX), PLAN, SPREAD, 1_000);
        exchange(&mut holder, &mut allocator, START);
        (0..entries).for_each(|number| {
            drop(holder.take(START + SECOND, name(number), PLAN, SPREAD, 1_000))
        });
        let exchanged = exchange(&mut holder, &mut allocator, START + SECOND);
        let (report, grant) = exchanged.last().map_or((0, 0), |(report, grant)| {
            (report.encoded_len(), grant.encoded_len())
        });
        let each = |bytes: usize| bytes as f64 / entries.max(1) as f64;
        println!(
            "{entries:>7}  {report:>12}  {:>7.1}  {grant:>11}  {:>7.1}",
            each(report),
            each(grant)
        );
    }
}

#[test]
#[ignore = "prints figures"]
fn figures_of_state() {
    const ACCOUNTS: usize = 20_000;
    let before = resident();
    let mut holder = holder();
    for number in 0..ACCOUNTS {
        let now = START + number as u64;
        holder.on_lost(now, 0);
        holder.take(now, name(number), PLAN, 1, 1_000);
    }
    let held = resident() - before;
    println!(
        "holder, thin: {} accounts, {} bytes each with maps",
        holder.accounts(),
        held / holder.accounts()
    );

    let mut allocator = allocator();
    let mut busy = self::holder();
    let before = resident();
    for second in 0..10 {
        for number in 0..ACCOUNTS / 20 {
            busy.take(
                START + second * SECOND,
                name(number),
                PlanLimits {
                    rate: 1_000_000,
                    burst: 1_000_000,
                },
                1,
                1_000,
            );
        }
        exchange(&mut busy, &mut allocator, START + second * SECOND);
        exchange(
            &mut busy,
            &mut allocator,
            START + second * SECOND + SECOND / 2,
        );
    }
    let both = resident() - before;
    println!(
        "both sides, leased: {} accounts, {} bytes each",
        busy.accounts(),
        both / busy.accounts()
    );
    println!(
        "holder, leased: {} bytes each without maps",
        busy.account_bytes() / busy.accounts()
    );

    let mut allocator = self::allocator();
    let before = resident();
    for number in 0..ACCOUNTS as u64 {
        let mut report = Report {
            format: 1,
            incarnation: 1,
            sequence: number + 1,
            ..Report::default()
        };
        report.push(&ReportEntry {
            waiting: 1_000,
            ..ReportEntry::new(name(number as usize), PLAN)
        });
        allocator.on_report(START, &report).unwrap();
    }
    let kept = resident() - before;
    println!(
        "allocator: {} accounts, {} bytes each with maps",
        allocator.accounts(),
        kept / allocator.accounts()
    );

    let before = allocator.cached_answer_bytes();
    for limiter in 0..2_000 {
        let mut report = Report {
            format: 1,
            limiter,
            incarnation: 1,
            sequence: 1 << 20,
            ..Report::default()
        };
        for number in 0..20 {
            report.push(&ReportEntry {
                waiting: 1_000,
                ..ReportEntry::new(name(number), PLAN)
            });
        }
        allocator.on_report(START, &report).unwrap();
    }
    println!(
        "kept answers of 2,000 limiters, 20 entries each: {} bytes",
        allocator.cached_answer_bytes() - before
    );
}

#[test]
#[ignore = "prints figures"]
fn figures_of_time() {
    const ROUNDS: u64 = 2_000;
    println!("entries  allocator ns an entry  holder ns an entry (take, report and answer)");
    for entries in [1, 20, 200] {
        let (mut holder, mut allocator) = (holder(), allocator());
        let (mut of_allocator, mut of_holder) = (0, 0);
        for round in 0..ROUNDS {
            let now = START + round * SECOND;
            let began = Instant::now();
            (0..entries)
                .for_each(|number| drop(holder.take(now, name(number), PLAN, SPREAD, 1_000)));
            let reports = holder.poll(now).reports;
            of_holder += began.elapsed().as_nanos();
            for (_, report) in reports {
                let bytes = report.encode_to_vec();
                let began = Instant::now();
                let grant = allocator
                    .on_report(now, &Report::read(&bytes).unwrap())
                    .unwrap()
                    .encode_to_vec();
                of_allocator += began.elapsed().as_nanos();
                let began = Instant::now();
                holder.on_grant(now, &Grant::read(&grant).unwrap()).unwrap();
                of_holder += began.elapsed().as_nanos();
            }
        }
        let sent = holder.figures().entries.max(1);
        println!(
            "{entries:>7}  {:>22}  {:>18}",
            of_allocator / u128::from(sent),
            of_holder / u128::from(sent)
        );
    }
}
