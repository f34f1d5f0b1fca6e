//! Many and malformed connections at one allocator.

use crate::cluster::{figure, until_logged, Cluster, RECOVERY_TIMEOUT};
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

/// Connections of limiters to one allocator, reports on each, and accounts in each report.
const MANY_LIMITERS: u32 = 400;

const REPORTS_PER_LIMITER: u64 = 5;

const ACCOUNTS_PER_REPORT: u32 = 50;

/// Resident memory that an allocator may take with such a crowd, in kB: each connection has a thread.
const MEMORY_LIMIT_KB: u64 = 128 * 1_024;

#[test]
fn one_allocator_answers_many_limiters() {
    let places = Addresses::new();
    let mut file = places.allocator_file(0);
    // Alone it has a majority, and holds its lease at once.
    file["allocators"] = json!(1);
    file["limiters"] = json!(MANY_LIMITERS);
    // Whether a busy machine is quick is not asked here.
    file["idle_ms"] = json!(RECOVERY_TIMEOUT.as_millis() as u64);
    file["frame_ms"] = json!(RECOVERY_TIMEOUT.as_millis() as u64);
    file["fleet"]["seeds"] = json!([file["fleet"]["seeds"][0]]);
    let mut allocator = Program::start_with("crowd-allocator-0", &file, allocator_command);
    until_logged(&mut allocator, "held: true", |_| true);
    let timeouts = Timeouts {
        idle: RECOVERY_TIMEOUT,
        frame: RECOVERY_TIMEOUT,
    };
    let connect = |_| TcpStream::connect(allocator.at).expect("a connection");
    let began = Instant::now();
    let limiters: Vec<TcpStream> = (0..MANY_LIMITERS).map(connect).collect();
    println!(
        "crowd: {MANY_LIMITERS} connections in {:.2} s",
        began.elapsed().as_secs_f64()
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
            frame::write(stream, &report.encode_to_vec(), RECOVERY_TIMEOUT).expect("written");
        }
        for stream in &limiters {
            let answer = frame::read(stream, timeouts);
            let answer =
                answer.unwrap_or_else(|error| panic!("{error}, and {:?}", allocator.log()));
            let grant = Grant::read(&answer).expect("an answer");
            assert_eq!(
                (grant.sequence, grant.entries, grant.serving),
                (sequence, ACCOUNTS_PER_REPORT, true)
            );
        }
    }
    let (ticks, memory) = allocator.used();
    let reports = u64::from(MANY_LIMITERS) * REPORTS_PER_LIMITER;
    println!(
        "crowd: {reports} reports of {ACCOUNTS_PER_REPORT} accounts, {ticks} hundredths of a second, {memory} kB"
    );
    assert!(memory < MEMORY_LIMIT_KB, "{memory} kB");
    let line = until_logged(&mut allocator, "figures", |line| {
        figure(line, "reports") >= reports
    });
    assert_eq!(
        figure(&line, "entries"),
        reports * u64::from(ACCOUNTS_PER_REPORT)
    );
    assert_eq!(figure(&line, "connections"), u64::from(MANY_LIMITERS));
    drop(limiters);
    until_logged(&mut allocator, "figures", |line| {
        figure(line, "connections") == 0
    });
    allocator.ends();
}

/// Sends these bytes and waits for the end of the connection.
fn is_closed_after(at: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    stream.write_all(bytes).expect("written");
    let mut rest = Vec::new();
    // A reset is an end too.
    let end = stream.read_to_end(&mut rest).map_err(|error| error.kind());
    assert!(
        matches!(end, Ok(0) | Err(std::io::ErrorKind::ConnectionReset)),
        "{end:?} {rest:?}"
    );
}

fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}

#[test]
fn malformed_connections_are_closed_and_counted_without_slowing_others() {
    let mut story = Cluster::start("garbage");
    let owner = story.owner();
    let at = story.places.service[owner as usize];
    story.load();
    let good = {
        // A limiter that is configured and does not run.
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
        let account = AccountKey::of("somebody");
        report.push(&ReportEntry {
            expected: 1_000,
            ..ReportEntry::new(account, limits)
        });
        report
    };
    let foreign = Report {
        format: FORMAT + 1,
        ..good.clone()
    };
    let unknown = Report {
        limiter: LIMITERS + 1,
        ..good.clone()
    };
    let uneven = Report {
        expected: vec![1; 2],
        ..good.clone()
    };
    is_closed_after(at, &framed(b"\xff\xff\xff garbage"));
    is_closed_after(at, &framed(&foreign.encode_to_vec()));
    is_closed_after(at, &framed(&unknown.encode_to_vec()));
    is_closed_after(at, &framed(&uneven.encode_to_vec()));
    is_closed_after(at, &u32::MAX.to_be_bytes());
    is_closed_after(at, &[0; 4]);
    // Nothing at all, and half a frame: the rest never comes.
    is_closed_after(at, &[]);
    is_closed_after(at, &framed(&good.encode_to_vec())[..9]);
    let cut = TcpStream::connect(at).expect("a connection");
    (&cut)
        .write_all(&framed(&good.encode_to_vec())[..9])
        .expect("written");
    drop(cut);
    for (key, least) in [
        ("dropped_malformed", 2),
        ("dropped_format", 1),
        ("dropped_unknown_sender", 1),
        ("dropped_entries", 1),
        ("dropped_too_long", 1),
        ("closed_idle", 1),
        ("closed_slow", 1),
        ("closed_cut", 1),
    ] {
        story.until_figure(owner, key, |count| count >= least);
    }
    // A good one is answered as if nothing had been.
    let stream = TcpStream::connect(at).expect("a connection");
    let timeouts = Timeouts {
        idle: Duration::from_secs(20),
        frame: Duration::from_secs(20),
    };
    frame::write(&stream, &good.encode_to_vec(), timeouts.frame).expect("written");
    let grant = Grant::read(&frame::read(&stream, timeouts).expect("a frame")).expect("an answer");
    assert_eq!(
        (grant.allocator, grant.sequence, grant.entries),
        (owner, 1, 1)
    );
    let (served, _) = story.served_in(Duration::from_secs(1));
    assert!(served > 0.0, "nobody served beside the garbage");
    story.keeps_the_bound(0.0);
    story.ends();
}
