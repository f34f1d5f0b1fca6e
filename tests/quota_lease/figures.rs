//! Measures the size of messages, the memory of the state and the processing time per entry. The tests
//! print the results and assert no times. To run them:
//! `cargo test --release --test quota_lease figures -- --ignored --nocapture`.

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
/// Number of limiters that receive requests of each account.
const LIMITER_COUNT: u32 = 100;
/// Time of the first request.
const START: u64 = 1_000 * SECOND;

fn allocator() -> Allocator {
    let mut allocator = Allocator::new(0, 1, 1 << 40, AllocatorSettings::default());
    allocator.set_ownership(
        0,
        Ownership {
            lease_ends: u64::MAX,
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

fn account_key(number: usize) -> AccountKey {
    AccountKey::of(&format!("tenant-{number}"))
}

/// Returns the resident memory of this process in bytes, for pages of 4 KiB.
fn resident_bytes() -> usize {
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
#[ignore = "prints measurements only"]
fn measure_message_sizes() {
    println!("entries  report bytes  per entry  grant bytes  per entry");
    for entries in [0, 1, 2, 5, 20, 100, 1_000] {
        let (mut holder, mut allocator) = (holder(), allocator());
        // The first exchange makes the incarnation of the allocator known to the holder.
        holder.take(START, account_key(usize::MAX), PLAN, LIMITER_COUNT, 1_000);
        exchange(&mut holder, &mut allocator, START);
        (0..entries).for_each(|number| {
            drop(holder.take(
                START + SECOND,
                account_key(number),
                PLAN,
                LIMITER_COUNT,
                1_000,
            ))
        });
        let exchanged = exchange(&mut holder, &mut allocator, START + SECOND);
        let (report, grant) = exchanged.last().map_or((0, 0), |(report, grant)| {
            (report.encoded_len(), grant.encoded_len())
        });
        let per_entry = |bytes: usize| bytes as f64 / entries.max(1) as f64;
        println!(
            "{entries:>7}  {report:>12}  {:>9.1}  {grant:>11}  {:>9.1}",
            per_entry(report),
            per_entry(grant)
        );
    }
}

#[test]
#[ignore = "prints measurements only"]
fn measure_memory_of_state() {
    const ACCOUNTS: usize = 20_000;
    let bytes_before = resident_bytes();
    let mut holder = holder();
    for number in 0..ACCOUNTS {
        let now = START + number as u64;
        holder.on_connection_lost(now, 0);
        holder.take(now, account_key(number), PLAN, 1, 1_000);
    }
    let holder_bytes = resident_bytes() - bytes_before;
    println!(
        "holder, accounts with one request each: {} accounts, {} bytes per account including maps",
        holder.accounts(),
        holder_bytes / holder.accounts()
    );

    let mut allocator = allocator();
    let mut leased_holder = self::holder();
    let bytes_before = resident_bytes();
    for second in 0..10 {
        for number in 0..ACCOUNTS / 20 {
            leased_holder.take(
                START + second * SECOND,
                account_key(number),
                PlanLimits {
                    rate: 1_000_000,
                    burst: 1_000_000,
                },
                1,
                1_000,
            );
        }
        exchange(&mut leased_holder, &mut allocator, START + second * SECOND);
        exchange(
            &mut leased_holder,
            &mut allocator,
            START + second * SECOND + SECOND / 2,
        );
    }
    let total_bytes = resident_bytes() - bytes_before;
    println!(
        "holder and allocator, leased: {} accounts, {} bytes per account",
        leased_holder.accounts(),
        total_bytes / leased_holder.accounts()
    );
    println!(
        "holder, leased: {} bytes per account without maps",
        leased_holder.account_bytes() / leased_holder.accounts()
    );

    let mut allocator = self::allocator();
    let bytes_before = resident_bytes();
    for number in 0..ACCOUNTS as u64 {
        let mut report = Report {
            format: 1,
            incarnation: 1,
            sequence: number + 1,
            ..Report::default()
        };
        report.push(&ReportEntry {
            waiting: 1_000,
            ..ReportEntry::new(account_key(number as usize), PLAN)
        });
        allocator.on_report(START, &report).unwrap();
    }
    let allocator_bytes = resident_bytes() - bytes_before;
    println!(
        "allocator: {} accounts, {} bytes per account including maps",
        allocator.accounts(),
        allocator_bytes / allocator.accounts()
    );

    let bytes_before = allocator.cached_answer_bytes();
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
                ..ReportEntry::new(account_key(number), PLAN)
            });
        }
        allocator.on_report(START, &report).unwrap();
    }
    println!(
        "cached answers to 2,000 limiters, 20 entries each: {} bytes",
        allocator.cached_answer_bytes() - bytes_before
    );
}

#[test]
#[ignore = "prints measurements only"]
fn measure_processing_time() {
    const ROUNDS: u64 = 2_000;
    println!("entries  allocator ns per entry  holder ns per entry (request, report and answer)");
    for entries in [1, 20, 200] {
        let (mut holder, mut allocator) = (holder(), allocator());
        let (mut allocator_ns, mut holder_ns) = (0, 0);
        for round in 0..ROUNDS {
            let now = START + round * SECOND;
            let start = Instant::now();
            (0..entries).for_each(|number| {
                drop(holder.take(now, account_key(number), PLAN, LIMITER_COUNT, 1_000))
            });
            let reports = holder.poll(now).reports;
            holder_ns += start.elapsed().as_nanos();
            for (_, report) in reports {
                let bytes = report.encode_to_vec();
                let start = Instant::now();
                let grant = allocator
                    .on_report(now, &Report::read(&bytes).unwrap())
                    .unwrap()
                    .encode_to_vec();
                allocator_ns += start.elapsed().as_nanos();
                let start = Instant::now();
                holder.on_grant(now, &Grant::read(&grant).unwrap()).unwrap();
                holder_ns += start.elapsed().as_nanos();
            }
        }
        let entries_sent = holder.metrics().entries.max(1);
        println!(
            "{entries:>7}  {:>22}  {:>19}",
            allocator_ns / u128::from(entries_sent),
            holder_ns / u128::from(entries_sent)
        );
    }
}
