//! Datagrams between limiters: what opens and what does not, and the parts of the set of released leases.

use mossrill::membership::bitset;
use mossrill::membership::datagram::{
    Datagram, GossipUpdate, MessageKind, MAX_DATAGRAM_BYTES, MAX_LIMITERS, TAG_BYTES,
};
use mossrill::membership::format::{
    Encoding, FORMAT, MAX_WHOLE_SET_LIMITERS, PARTS_FORMAT, WINDOW,
};
use mossrill::membership::key::Key;
use mossrill::membership::rejection::Rejection;
use mossrill::membership::revocation::{encode_parts, RevocationPart, RevocationWindows};
use mossrill::membership::version;
use proptest::prelude::*;

fn datagram() -> Datagram {
    Datagram {
        format: FORMAT,
        fleet: "ferry".into(),
        sender: 3,
        incarnation: 1_764_633_600_000,
        session: 7,
        receiver_session: 9,
        sequence: 5,
        acknowledged: 4,
        renews_lease: true,
        ip: 0x7f00_0001,
        port: 7_946,
        version: version::encode("0.1.0"),
        message: Some(MessageKind::Ping(true)),
        updates: vec![GossipUpdate {
            limiter: 2,
            state: 3,
            incarnation: 8,
            reported_by: 1,
            ip: 1,
            port: 2,
            version: 3,
        }],
        revoked: vec![4],
        revoked_part: None,
        limiters: 0,
    }
}

#[test]
fn what_is_sealed_opens_with_the_same_key_and_fleet_alone() {
    let (key, other) = (
        Key::new(b"one secret of the fleet"),
        Key::new(b"another secret"),
    );
    let sealed = key.seal(&datagram());
    assert_eq!(key.open("ferry", &sealed), Ok(datagram()));
    assert_eq!(sealed.len(), datagram().size());
    assert_eq!(
        other.open("ferry", &sealed),
        Err(Rejection::Unauthenticated)
    );
    assert_eq!(key.open("cargo", &sealed), Err(Rejection::WrongFleet));
    assert_eq!(
        key.open("ferry", &sealed[..sealed.len() - 1]),
        Err(Rejection::Unauthenticated)
    );
    assert_eq!(
        key.open("ferry", &sealed[..TAG_BYTES]),
        Err(Rejection::InvalidSize)
    );
    assert_eq!(
        key.open("ferry", &[0; MAX_DATAGRAM_BYTES + 1]),
        Err(Rejection::InvalidSize)
    );
    type Change = fn(&mut Datagram);
    let changes: [(Change, Rejection); 7] = [
        (|d| d.format = 0, Rejection::WrongFormat),
        (|d| d.format = 3, Rejection::WrongFormat),
        (|d| d.message = None, Rejection::Malformed),
        (|d| d.session = 0, Rejection::Malformed),
        (|d| d.port = 0, Rejection::OutOfRange),
        (|d| d.ip = 0xe000_0001, Rejection::OutOfRange),
        (|d| d.incarnation = u64::MAX, Rejection::OutOfRange),
    ];
    for (change, fault) in changes {
        let mut changed = datagram();
        change(&mut changed);
        assert_eq!(key.open("ferry", &key.seal(&changed)), Err(fault));
    }
}

proptest! {
    /// Whatever comes is told apart without a panic, and a datagram with any bit changed is foreign.
    #[test]
    fn noise_and_flipped_bits_are_not_taken(
        noise in prop::collection::vec(any::<u8>(), 0..300), bit in 0usize..800,
    ) {
        let key = Key::new(b"one secret of the fleet");
        prop_assert!(key.open("ferry", &noise).is_err());
        let mut sealed = key.seal(&datagram());
        let bit = bit % (sealed.len() * 8);
        sealed[bit / 8] ^= 1 << (bit % 8);
        prop_assert_eq!(key.open("ferry", &sealed), Err(Rejection::Unauthenticated));
    }
}

/// The bits of a part as a set of numbers.
fn numbers(part: &RevocationWindows, window: usize) -> Vec<u32> {
    let mut numbers = Vec::new();
    for (index, bits) in part.windows.iter().enumerate() {
        let first = (part.first_window + index) * window;
        let has = |n: &usize| bitset::contains(bits, *n);
        numbers.extend((0..bits.len() * 8).filter(has).map(|n| (first + n) as u32));
    }
    numbers
}

fn bits_of(set: &[u32]) -> Vec<u8> {
    let mut bits = Vec::new();
    set.iter()
        .for_each(|who| bitset::insert(&mut bits, *who as usize));
    bits
}

#[test]
fn fleets_up_to_the_limit_of_the_version_before_keep_its_format() {
    assert_eq!(Encoding::of(MAX_WHOLE_SET_LIMITERS), Encoding::Whole);
    assert_eq!(Encoding::of(MAX_WHOLE_SET_LIMITERS).format(), FORMAT);
    assert_eq!(
        Encoding::of(MAX_WHOLE_SET_LIMITERS + 1).format(),
        PARTS_FORMAT
    );
    // Neither of the new fields is written there, so that the bytes are those of that version.
    let plain = datagram();
    let size = plain.size();
    let larger = Datagram {
        limiters: 1,
        revoked_part: Some(RevocationPart::default()),
        ..plain
    };
    assert!(larger.size() > size);
}

#[test]
fn the_longest_part_leaves_room_for_a_word_on_the_receiver() {
    // Every second limiter is released, which no run shortens.
    let set: Vec<u32> = (0..MAX_LIMITERS / 2).map(|n| 2 * n + 1).collect();
    let Encoding::Parts {
        window,
        max_run_bytes: most_run_bytes,
    } = Encoding::of(MAX_LIMITERS)
    else {
        panic!("parts")
    };
    let parts = encode_parts(&bits_of(&set), MAX_LIMITERS, window, most_run_bytes);
    assert_eq!(parts.len() as u32, MAX_LIMITERS.div_ceil(WINDOW));
    let most = 1 << 52;
    let news = GossipUpdate {
        limiter: MAX_LIMITERS - 1,
        state: 4,
        incarnation: most,
        reported_by: MAX_LIMITERS - 1,
        ip: u32::MAX,
        port: 65_535,
        version: 999_999_999,
    };
    for part in parts {
        let longest = Datagram {
            format: PARTS_FORMAT,
            fleet: "sixteen bytes ab".into(),
            sender: MAX_LIMITERS - 1,
            incarnation: most,
            session: u64::MAX,
            receiver_session: u64::MAX,
            // A datagram each second for thirty years.
            sequence: 1 << 30,
            acknowledged: 1 << 30,
            renews_lease: true,
            ip: u32::MAX,
            port: 65_535,
            version: 999_999_999,
            message: Some(MessageKind::PingRequest(MAX_LIMITERS - 1)),
            updates: vec![news.clone()],
            revoked: Vec::new(),
            revoked_part: Some(part),
            limiters: MAX_LIMITERS,
        };
        assert!(
            longest.size() <= MAX_DATAGRAM_BYTES,
            "{} bytes",
            longest.size()
        );
    }
}

#[test]
fn parts_with_bad_offsets_bits_or_runs_are_not_read() {
    const LIMITERS: u32 = 2_001;
    let part = |first, count, bits: &[u8], runs: &[u32]| {
        let part = RevocationPart {
            first,
            count,
            bits: bits.to_vec(),
            runs: runs.to_vec(),
        };
        part.read(LIMITERS, WINDOW)
    };
    assert!(part(0, LIMITERS, &[], &[3, 1]).is_some());
    assert!(part(WINDOW, WINDOW, &[0xff; 96], &[]).is_some());
    assert!(part(2 * WINDOW, LIMITERS - 2 * WINDOW, &[1], &[]).is_some());
    let bad = [
        ("empty", part(0, 0, &[], &[])),
        ("not at a window", part(8, WINDOW, &[1], &[])),
        ("half a window", part(0, WINDOW / 2, &[1], &[])),
        ("beyond the fleet", part(2 * WINDOW, WINDOW, &[1], &[])),
        ("after the fleet", part(3 * WINDOW, 8, &[1], &[])),
        (
            "an overflow",
            part(u32::MAX - WINDOW + 1, u32::MAX, &[1], &[]),
        ),
        ("bits and runs", part(0, LIMITERS, &[1], &[0, 1])),
        ("bits beyond the part", part(0, WINDOW, &[1; 97], &[])),
        (
            "a bit beyond the part",
            part(2 * WINDOW, LIMITERS - 2 * WINDOW, &[0xff; 59], &[]),
        ),
        ("a run beyond the part", part(0, WINDOW, &[], &[WINDOW, 1])),
        (
            "runs that overflow",
            part(0, LIMITERS, &[], &[1, u32::MAX, u32::MAX]),
        ),
    ];
    for (what, read) in bad {
        assert_eq!(read, None, "{what}");
    }
}

proptest! {
    /// All parts together say the set, and nobody else.
    #[test]
    fn parts_say_the_set(
        limiters in 1u32..=MAX_LIMITERS, window in prop::sample::select(vec![8u32, 64, WINDOW]),
        most_run_bytes in 0u32..120, share in 0.0f64..1.0, run in 1u32..200, seed in any::<u64>(),
    ) {
        // Runs of chance length of released and of others.
        let mut chance = fastrand::Rng::with_seed(seed);
        let (mut set, mut at) = (Vec::new(), 0);
        while at < limiters {
            let end = (at + chance.u32(1..=run)).min(limiters);
            if chance.f64() < share {
                set.extend(at..end);
            }
            at = end;
        }
        let mut said = Vec::new();
        for part in encode_parts(&bits_of(&set), limiters, window, most_run_bytes) {
            let read = part.read(limiters, window);
            prop_assert!(read.is_some(), "{:?}", part);
            said.extend(numbers(&read.unwrap_or_else(|| RevocationWindows::whole(&[], 8)), window as usize));
        }
        prop_assert_eq!(said, set);
    }

    /// Whatever a part has, it is read without a panic, and what is read lies within the fleet.
    #[test]
    fn any_part_is_read_or_refused(
        first in 0u32..3_000, count in prop_oneof![0u32..3_000, any::<u32>()],
        bits in prop::collection::vec(any::<u8>(), 0..130),
        runs in prop::collection::vec(prop_oneof![0u32..400, any::<u32>()], 0..20),
    ) {
        for (bits, runs) in [(bits.clone(), Vec::new()), (Vec::new(), runs.clone()), (bits, runs)] {
            for first in [first, 0, WINDOW] {
                let part = RevocationPart { first, count, bits: bits.clone(), runs: runs.clone() };
                if let Some(said) = part.read(2_000, WINDOW) {
                    prop_assert!(numbers(&said, WINDOW as usize).iter().all(|who| *who < 2_000));
                }
            }
        }
    }
}
