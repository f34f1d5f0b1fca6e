//! Datagrams between limiters: their authentication and checks, and how they carry the set of
//! revoked leases in parts.

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
fn sealed_datagram_opens_only_with_its_key_and_fleet() {
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
    for (change, expected) in changes {
        let mut changed = datagram();
        change(&mut changed);
        assert_eq!(key.open("ferry", &key.seal(&changed)), Err(expected));
    }
}

proptest! {
    /// Random bytes are rejected without a panic, and a datagram with one flipped bit as
    /// unauthenticated.
    #[test]
    fn random_bytes_and_flipped_bits_are_rejected(
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

/// Returns the numbers of the limiters whose bits are set.
fn limiters_in(part: &RevocationWindows, window: usize) -> Vec<u32> {
    let mut numbers = Vec::new();
    for (index, bits) in part.windows.iter().enumerate() {
        let first = (part.first_window + index) * window;
        let is_set = |n: &usize| bitset::contains(bits, *n);
        numbers.extend(
            (0..bits.len() * 8)
                .filter(is_set)
                .map(|n| (first + n) as u32),
        );
    }
    numbers
}

fn bits_of(set: &[u32]) -> Vec<u8> {
    let mut bits = Vec::new();
    set.iter()
        .for_each(|limiter| bitset::insert(&mut bits, *limiter as usize));
    bits
}

#[test]
fn fleets_within_the_whole_set_limit_keep_the_first_format() {
    assert_eq!(Encoding::of(MAX_WHOLE_SET_LIMITERS), Encoding::Whole);
    assert_eq!(Encoding::of(MAX_WHOLE_SET_LIMITERS).format(), FORMAT);
    assert_eq!(
        Encoding::of(MAX_WHOLE_SET_LIMITERS + 1).format(),
        PARTS_FORMAT
    );
    // The fields of the second format take no bytes in the first, so that versions which know only
    // the first one send and receive the same bytes.
    let whole_set = datagram();
    let size = whole_set.size();
    let with_part = Datagram {
        limiters: 1,
        revoked_part: Some(RevocationPart::default()),
        ..whole_set
    };
    assert!(with_part.size() > size);
}

#[test]
fn longest_part_leaves_space_for_one_gossip_update() {
    // The lease of every second limiter is revoked, a set that run lengths can't shorten.
    let set: Vec<u32> = (0..MAX_LIMITERS / 2).map(|n| 2 * n + 1).collect();
    let Encoding::Parts {
        window,
        max_run_bytes,
    } = Encoding::of(MAX_LIMITERS)
    else {
        panic!("a fleet of {MAX_LIMITERS} must carry the set in parts")
    };
    let parts = encode_parts(&bits_of(&set), MAX_LIMITERS, window, max_run_bytes);
    assert_eq!(parts.len() as u32, MAX_LIMITERS.div_ceil(WINDOW));
    let longest_incarnation = 1 << 52;
    let update = GossipUpdate {
        limiter: MAX_LIMITERS - 1,
        state: 4,
        incarnation: longest_incarnation,
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
            incarnation: longest_incarnation,
            session: u64::MAX,
            receiver_session: u64::MAX,
            // The number after a datagram each second for more than thirty years.
            sequence: 1 << 30,
            acknowledged: 1 << 30,
            renews_lease: true,
            ip: u32::MAX,
            port: 65_535,
            version: 999_999_999,
            message: Some(MessageKind::PingRequest(MAX_LIMITERS - 1)),
            updates: vec![update.clone()],
            revoked: Vec::new(),
            revoked_part: Some(part),
            limiters: MAX_LIMITERS,
        };
        assert!(
            longest.size() <= MAX_DATAGRAM_BYTES,
            "{} bytes, at most {MAX_DATAGRAM_BYTES} allowed",
            longest.size()
        );
    }
}

#[test]
fn parts_with_invalid_offsets_bits_or_runs_are_rejected() {
    const LIMITERS: u32 = 2_001;
    let part = |first, count, bits: &[u8], runs: &[u32]| {
        let part = RevocationPart {
            first,
            count,
            bits: bits.to_vec(),
            runs: runs.to_vec(),
        };
        part.windows(LIMITERS, WINDOW)
    };
    assert!(part(0, LIMITERS, &[], &[3, 1]).is_some());
    assert!(part(WINDOW, WINDOW, &[0xff; 96], &[]).is_some());
    assert!(part(2 * WINDOW, LIMITERS - 2 * WINDOW, &[1], &[]).is_some());
    let invalid = [
        ("no limiters", part(0, 0, &[], &[])),
        ("not at the start of a window", part(8, WINDOW, &[1], &[])),
        ("half of a window", part(0, WINDOW / 2, &[1], &[])),
        ("beyond the fleet", part(2 * WINDOW, WINDOW, &[1], &[])),
        ("after the fleet", part(3 * WINDOW, 8, &[1], &[])),
        (
            "end beyond u32",
            part(u32::MAX - WINDOW + 1, u32::MAX, &[1], &[]),
        ),
        ("both bits and runs", part(0, LIMITERS, &[1], &[0, 1])),
        ("bits beyond the part", part(0, WINDOW, &[1; 97], &[])),
        (
            "a bit beyond the part",
            part(2 * WINDOW, LIMITERS - 2 * WINDOW, &[0xff; 59], &[]),
        ),
        ("a run beyond the part", part(0, WINDOW, &[], &[WINDOW, 1])),
        (
            "sum of runs beyond u32",
            part(0, LIMITERS, &[], &[1, u32::MAX, u32::MAX]),
        ),
    ];
    for (fault, windows) in invalid {
        assert_eq!(
            windows, None,
            "a part with this fault was accepted: {fault}"
        );
    }
}

proptest! {
    /// All parts together contain exactly the limiters of the set.
    #[test]
    fn parts_contain_exactly_the_set(
        limiters in 1u32..=MAX_LIMITERS, window in prop::sample::select(vec![8u32, 64, WINDOW]),
        max_run_bytes in 0u32..120, share in 0.0f64..1.0, run in 1u32..200, seed in any::<u64>(),
    ) {
        // Runs of random length, each entirely inside or outside of the set.
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut set, mut start) = (Vec::new(), 0);
        while start < limiters {
            let end = (start + rng.u32(1..=run)).min(limiters);
            if rng.f64() < share {
                set.extend(start..end);
            }
            start = end;
        }
        let mut decoded = Vec::new();
        for part in encode_parts(&bits_of(&set), limiters, window, max_run_bytes) {
            let windows = part.windows(limiters, window);
            prop_assert!(windows.is_some(), "not accepted: {:?}", part);
            decoded.extend(limiters_in(&windows.unwrap_or_else(|| RevocationWindows::whole(&[], 8)), window as usize));
        }
        prop_assert_eq!(decoded, set);
    }

    /// Any part is decoded or rejected without a panic, and a decoded one has limiters of the fleet
    /// only.
    #[test]
    fn any_part_is_decoded_within_the_fleet_or_rejected(
        first in 0u32..3_000, count in prop_oneof![0u32..3_000, any::<u32>()],
        bits in prop::collection::vec(any::<u8>(), 0..130),
        runs in prop::collection::vec(prop_oneof![0u32..400, any::<u32>()], 0..20),
    ) {
        for (bits, runs) in [(bits.clone(), Vec::new()), (Vec::new(), runs.clone()), (bits, runs)] {
            for first in [first, 0, WINDOW] {
                let part = RevocationPart { first, count, bits: bits.clone(), runs: runs.clone() };
                if let Some(windows) = part.windows(2_000, WINDOW) {
                    let limiters = limiters_in(&windows, WINDOW as usize);
                    prop_assert!(limiters.iter().all(|limiter| *limiter < 2_000));
                }
            }
        }
    }
}
