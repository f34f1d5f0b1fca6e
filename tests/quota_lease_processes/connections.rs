//! Many connections and malformed messages at one allocator.

use crate::cluster::{metric_value, wait_for_log_line, Cluster, RECOVERY_TIMEOUT};
use crate::files::{allocator_command, Addresses, LIMITERS};
use crate::peers::Program;
use mossrill::quota_lease::frame;
use mossrill::quota_lease::frame::Timeouts;
use mossrill::quota_lease::message::{AccountKey, Grant, PlanLimits, Report, ReportEntry, FORMAT};
use prost::Message;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Number of limiters, each with one connection to the allocator.
const MANY_LIMITERS: u32 = 400;

/// Number of reports on each connection.
const REPORTS_PER_LIMITER: u64 = 5;

/// Number of accounts in each report.
const ACCOUNTS_PER_REPORT: u32 = 50;

/// Maximum resident memory of an allocator with [`MANY_LIMITERS`] connections, in kB. Each connection
/// has a thread.
const MEMORY_LIMIT_KB: u64 = 128 * 1_024;

#[test]
fn one_allocator_answers_many_limiters() {
    let addresses = Addresses::new();
    let mut file = addresses.allocator_file(0);
    // A single allocator is a majority of its fleet, so it holds its lease at once.
    file["allocators"] = json!(1);
    file["limiters"] = json!(MANY_LIMITERS);
    // Long timeouts, so that the test does not fail on a slow or busy machine.
    file["idle_ms"] = json!(RECOVERY_TIMEOUT.as_millis() as u64);
    file["frame_ms"] = json!(RECOVERY_TIMEOUT.as_millis() as u64);
    file["fleet"]["seeds"] = json!([file["fleet"]["seeds"][0]]);
    let mut allocator = Program::start_with("many-limiters-allocator-0", &file, allocator_command);
    wait_for_log_line(&mut allocator, "held: true", |_| true);
    let timeouts = Timeouts {
        idle: RECOVERY_TIMEOUT,
        frame: RECOVERY_TIMEOUT,
    };
    let connect = |_| {
        TcpStream::connect(allocator.client_address)
            .expect("connecting to the allocator should succeed")
    };
    let start = Instant::now();
    let limiters: Vec<TcpStream> = (0..MANY_LIMITERS).map(connect).collect();
    println!(
        "many-limiters: {MANY_LIMITERS} connections in {:.2} s",
        start.elapsed().as_secs_f64()
    );
    let limits = PlanLimits {
        rate: 1_000_000,
        burst: 1_000_000,
    };
    for sequence in 1..=REPORTS_PER_LIMITER {
        for (number, stream) in limiters.iter().enumerate() {
            let limiter = number as u32;
            let mut report = Report {
                format: FORMAT,
                limiter,
                incarnation: 1,
                sequence,
                ..Report::default()
            };
            for account in 0..ACCOUNTS_PER_REPORT {
                let account = AccountKey(u64::from((limiter * 7 + account) % 2_000));
                report.push(&ReportEntry {
                    expected: 1_000,
                    ..ReportEntry::new(account, limits)
                });
            }
            frame::write(stream, &report.encode_to_vec(), RECOVERY_TIMEOUT)
                .expect("writing to the connection should succeed");
        }
        for stream in &limiters {
            let answer = frame::read(stream, timeouts);
            let answer = answer.unwrap_or_else(|error| {
                panic!(
                    "reading the answer failed: {error}; log of the allocator: {:?}",
                    allocator.unread_log()
                )
            });
            let grant = Grant::read(&answer).expect("the answer should decode as a grant");
            assert_eq!(
                (grant.sequence, grant.entries, grant.serving),
                (sequence, ACCOUNTS_PER_REPORT, true)
            );
        }
    }
    let (ticks, memory) = allocator.cpu_ticks_and_memory_kb();
    let reports = u64::from(MANY_LIMITERS) * REPORTS_PER_LIMITER;
    println!(
        "many-limiters: {reports} reports of {ACCOUNTS_PER_REPORT} accounts, \
         {ticks} hundredths of a second of processor time, {memory} kB"
    );
    assert!(
        memory < MEMORY_LIMIT_KB,
        "{memory} kB of memory, expected less than {MEMORY_LIMIT_KB} kB"
    );
    let line = wait_for_log_line(&mut allocator, "figures", |line| {
        metric_value(line, "reports") >= reports
    });
    assert_eq!(
        metric_value(&line, "entries"),
        reports * u64::from(ACCOUNTS_PER_REPORT)
    );
    assert_eq!(metric_value(&line, "connections"), u64::from(MANY_LIMITERS));
    drop(limiters);
    wait_for_log_line(&mut allocator, "figures", |line| {
        metric_value(line, "connections") == 0
    });
    allocator.terminate();
}

/// Asserts that the allocator closes a connection on which `bytes` were sent.
fn assert_closed_after(at: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(at).expect("connecting to the allocator should succeed");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("setting the read timeout should succeed");
    stream
        .write_all(bytes)
        .expect("writing to the connection should succeed");
    let mut rest = Vec::new();
    // The allocator may also reset the connection.
    let result = stream.read_to_end(&mut rest).map_err(|error| error.kind());
    assert!(
        matches!(result, Ok(0) | Err(std::io::ErrorKind::ConnectionReset)),
        "expected the end of the connection, got {result:?} and {rest:?}"
    );
}

fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}

#[test]
fn malformed_connections_are_closed_and_counted_without_slowing_others() {
    let mut cluster = Cluster::start("malformed");
    let owner = cluster.owner();
    let at = cluster.addresses.service[owner as usize];
    cluster.start_load();
    let valid_report = {
        // From a limiter that is configured but does not run.
        let mut report = Report {
            format: FORMAT,
            limiter: LIMITERS,
            incarnation: 1,
            sequence: 1,
            ..Report::default()
        };
        let limits = PlanLimits {
            rate: 1_000,
            burst: 1_000,
        };
        let account = AccountKey::of("another account");
        report.push(&ReportEntry {
            expected: 1_000,
            ..ReportEntry::new(account, limits)
        });
        report
    };
    let wrong_format = Report {
        format: FORMAT + 1,
        ..valid_report.clone()
    };
    let unknown_limiter = Report {
        limiter: LIMITERS + 1,
        ..valid_report.clone()
    };
    let uneven_columns = Report {
        expected: vec![1; 2],
        ..valid_report.clone()
    };
    assert_closed_after(at, &framed(b"\xff\xff\xff garbage"));
    assert_closed_after(at, &framed(&wrong_format.encode_to_vec()));
    assert_closed_after(at, &framed(&unknown_limiter.encode_to_vec()));
    assert_closed_after(at, &framed(&uneven_columns.encode_to_vec()));
    assert_closed_after(at, &u32::MAX.to_be_bytes());
    assert_closed_after(at, &[0; 4]);
    // No bytes at all, and an incomplete frame on a connection that stays open.
    assert_closed_after(at, &[]);
    assert_closed_after(at, &framed(&valid_report.encode_to_vec())[..9]);
    // An incomplete frame on a connection that the sender closes.
    let incomplete = TcpStream::connect(at).expect("connecting to the allocator should succeed");
    (&incomplete)
        .write_all(&framed(&valid_report.encode_to_vec())[..9])
        .expect("writing to the connection should succeed");
    drop(incomplete);
    for (key, min_count) in [
        ("dropped_malformed", 2),
        ("dropped_format", 1),
        ("dropped_unknown_sender", 1),
        ("dropped_entries", 1),
        ("dropped_too_long", 1),
        ("closed_idle", 1),
        ("closed_slow", 1),
        ("closed_cut", 1),
    ] {
        cluster.wait_for_metric(owner, key, |count| count >= min_count);
    }
    // A valid report is answered as usual.
    let stream = TcpStream::connect(at).expect("connecting to the allocator should succeed");
    let timeouts = Timeouts {
        idle: Duration::from_secs(20),
        frame: Duration::from_secs(20),
    };
    frame::write(&stream, &valid_report.encode_to_vec(), timeouts.frame)
        .expect("writing to the connection should succeed");
    let grant =
        Grant::read(&frame::read(&stream, timeouts).expect("reading the frame should succeed"))
            .expect("the answer should decode as a grant");
    assert_eq!(
        (grant.allocator, grant.sequence, grant.entries),
        (owner, 1, 1)
    );
    let (served, _) = cluster.units_served_in(Duration::from_secs(1));
    assert!(
        served > 0.0,
        "no request was served during the malformed connections"
    );
    cluster.assert_within_bound(0.0);
    cluster.stop();
}
