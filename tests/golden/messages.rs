//! Golden bytes of the binary messages: hand-over records, datagrams between limiters, lease reports and grants.
//!
//! Each recorded message is read and written again, and compared with the message that it was recorded from.

use crate::golden::{assert_matches, hex, recorded};
use mossrill::handover::message::{
    Account, Ban, Fails, FinalReport, Frame, HandoverMessage, LearnedState, Node, UnreportedUnits,
};
use mossrill::membership::datagram::{Datagram, Key, News, Word, FORMAT, PARTS_FORMAT};
use mossrill::membership::released::ReleasedPart;
use mossrill::quota_lease::message::{
    AccountKey, Grant, GrantEntry, PlanLimits, Report, ReportEntry, Verdict, FORMAT as LEASE_FORMAT,
};
use prost::Message;
use std::fmt::Debug;

fn learned_state() -> LearnedState {
    LearnedState {
        accounts: vec![Account {
            id: "0000000000000a1f".into(),
            plan: 2,
            spread: 3,
            finish: 12.5,
            level: 7.25,
            filled: 1_000_001,
            pending: -1.5,
            window: 44,
            told: 3.5,
            seen: 2.25,
            answered: 1_000_002,
            last_seen: 1_000_003,
            open: 4,
        }],
        nodes: vec![Node {
            id: "node-a".into(),
            started: 17,
            ratio: 1.125,
            judged: 1_000_004,
            fails: vec![Fails {
                class: 1,
                part: 0.375,
                at: 1_000_005,
            }],
        }],
        bans: vec![
            Ban {
                id: "node-b".into(),
                out: true,
                at: 0,
            },
            Ban {
                id: "node-c".into(),
                out: false,
                at: 1_000_006,
            },
        ],
        paces: vec![1_500.5, 2_500.25],
        fails: vec![0.125, 0.0625],
        virtual_time: 99.5,
        depth: 6.75,
        depth_cut: 1_000_007,
        send_rate: 41.5,
        price: 0.1875,
        calls: 8.5,
        mean_worth: 2.625,
    }
}

fn hand_over_bodies() -> Vec<(&'static str, HandoverMessage)> {
    let unreported = vec![UnreportedUnits {
        id: "0000000000000a1f".into(),
        units: -2.5,
    }];
    vec![
        ("join", HandoverMessage::Join(1)),
        ("welcome", HandoverMessage::Accept(true)),
        ("refuse", HandoverMessage::Reject(true)),
        ("take", HandoverMessage::RequestState(true)),
        (
            "learned-state",
            HandoverMessage::LearnedState(learned_state()),
        ),
        ("serving", HandoverMessage::Serving(true)),
        (
            "final-report",
            HandoverMessage::FinalReport(FinalReport { unreported }),
        ),
        (
            "connection",
            HandoverMessage::Connection(b"*3\r\n$9\r\nSVC".to_vec()),
        ),
        (
            "ban",
            HandoverMessage::Ban(Ban {
                id: "node-b".into(),
                out: true,
                at: 5,
            }),
        ),
        ("ended", HandoverMessage::Ended("0000000000000a1f".into())),
    ]
}

fn datagram(format: u32, word: Word) -> Datagram {
    let parts = format == PARTS_FORMAT;
    let part = ReleasedPart {
        first: 768,
        count: 768,
        bits: vec![1, 128],
        runs: Vec::new(),
    };
    Datagram {
        format,
        fleet: "ferry".into(),
        from: 3,
        incarnation: 1_764_633_600_000,
        session: 0x0102_0304_0506_0708,
        to: 0x1112_1314_1516_1718,
        number: 5,
        heard: 4,
        grants: true,
        ip: 0x7f00_0001,
        port: 7_946,
        version: 1_002_003,
        word: Some(word),
        news: vec![News {
            who: 2,
            state: 3,
            incarnation: 8,
            by: 1,
            ip: 0x7f00_0002,
            port: 7_947,
            version: 4,
        }],
        released: if parts { Vec::new() } else { vec![4, 1] },
        released_part: parts.then_some(part),
        limiters: if parts { 2_000 } else { 0 },
    }
}

fn datagrams() -> Vec<(String, Datagram)> {
    let words = [
        ("ping", Word::Ping(true)),
        ("ack", Word::Ack(true)),
        ("ask", Word::Ask(9)),
        ("vouch", Word::Vouch(9)),
        ("gossip", Word::Gossip(true)),
        ("leave", Word::Leave(true)),
    ];
    let formats = [FORMAT, PARTS_FORMAT];
    let named = |format| {
        words.map(|(name, word)| (format!("{name}-format-{format}"), datagram(format, word)))
    };
    let mut all: Vec<_> = formats.into_iter().flat_map(named).collect();
    let runs = ReleasedPart {
        first: 0,
        count: 2_000,
        bits: Vec::new(),
        runs: vec![3, 400, 1_000, 2],
    };
    let by_runs = Datagram {
        released_part: Some(runs),
        ..datagram(PARTS_FORMAT, Word::Ping(true))
    };
    all.push(("ping-runs".into(), by_runs));
    all
}

fn report() -> Report {
    let header = Report {
        format: LEASE_FORMAT,
        limiter: 7,
        incarnation: 1_764_633_600_001,
        sequence: 12,
        addressed_to: 1_764_633_600_002,
        ..Report::default()
    };
    let limits = |rate, burst| PlanLimits { rate, burst };
    let first = ReportEntry {
        waiting: 1_500,
        expected: 2_500,
        returned: 700,
        returned_slot: 31,
        beyond: 90,
        ..ReportEntry::new(AccountKey::of("account-1"), limits(4_000, 12_000))
    };
    let second = ReportEntry {
        waiting: 1_000,
        ..ReportEntry::new(AccountKey::of("account-2"), limits(1_000, 2_000))
    };
    let mut report = header;
    report.push(&first);
    report.push(&second);
    report.leave_out_zeros();
    report
}

fn grant() -> Grant {
    let mut grant = Grant {
        format: LEASE_FORMAT,
        allocator: 1,
        incarnation: 1_764_633_600_002,
        limiter_incarnation: 1_764_633_600_001,
        sequence: 12,
        serving: true,
        given_away: 5,
        slot: 32,
        lease_ms: 4_000,
        ..Grant::default()
    };
    grant.push(&GrantEntry {
        verdict: Verdict::Granted,
        units: 4_000,
        hold_off_ms: 0,
    });
    grant.push(&GrantEntry {
        verdict: Verdict::Exhausted,
        units: 250,
        hold_off_ms: 730,
    });
    grant.push(&GrantEntry {
        verdict: Verdict::NotOwner,
        units: 0,
        hold_off_ms: 0,
    });
    grant
}

/// Compares messages with those recorded, both ways.
fn compare<M: Message + Default + PartialEq + Debug>(file: &str, messages: &[(String, M)]) {
    let lines: String = messages
        .iter()
        .map(|(name, message)| format!("{name} {}\n", hex(&message.encode_to_vec())))
        .collect();
    assert_matches(file, &lines);
    for (line, (name, message)) in recorded(file).lines().zip(messages) {
        let (_, digits) = line.split_once(' ').expect("a name and digits");
        let bytes = unhex(digits);
        let read = M::decode(&*bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(&read, message, "{name} is read as another message");
        assert_eq!(
            read.encode_to_vec(),
            bytes,
            "{name} is written in other bytes"
        );
    }
}

fn unhex(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn hand_over_frames_are_written_and_read_as_recorded() {
    let frame =
        |(name, body): (&str, HandoverMessage)| (name.to_owned(), Frame { body: Some(body) });
    let frames: Vec<_> = hand_over_bodies().into_iter().map(frame).collect();
    compare("hand-over.txt", &frames);
}

#[test]
fn datagrams_are_written_and_read_as_recorded() {
    compare("datagrams.txt", &datagrams());
}

#[test]
fn sealed_datagrams_are_those_recorded_and_open() {
    let key = Key::new(b"one secret of the fleet");
    let sealed = datagrams()
        .iter()
        .map(|(name, datagram)| format!("{name} {}\n", hex(&key.seal(datagram))))
        .collect::<String>();
    assert_matches("sealed-datagrams.txt", &sealed);
    for (line, (_, datagram)) in recorded("sealed-datagrams.txt").lines().zip(datagrams()) {
        let (_, digits) = line.split_once(' ').expect("a name and digits");
        assert_eq!(key.open("ferry", &unhex(digits)), Ok(datagram));
    }
}

#[test]
fn lease_messages_are_written_and_read_as_recorded() {
    compare(
        "lease-reports.txt",
        &[
            ("report".to_owned(), report()),
            ("empty".to_owned(), Report::default()),
        ],
    );
    compare(
        "lease-grants.txt",
        &[
            ("grant".to_owned(), grant()),
            ("empty".to_owned(), Grant::default()),
        ],
    );
}

#[test]
fn account_keys_are_those_recorded() {
    let names = ["", "account-1", "0000000000000a1f"];
    let keys = names
        .map(|name| format!("{name:?} {:016x}\n", AccountKey::of(name).0))
        .concat();
    assert_matches("account-keys.txt", &keys);
}
