//! The set of limiters whose leases a limiter has released, and how it is carried by datagrams that are too short for
//! a bit for each limiter of a large fleet.
//!
//! A fleet of at most [`MOST_BY_BIT`] limiters carries the whole set in every datagram, as one bit for each limiter.
//! In a larger fleet a datagram carries one [`ReleasedPart`]: all of the set if it is short as runs, else one window of
//! it, each window in turn. A part says nothing of limiters outside of it, and a vote counts from the age of the
//! datagram whose part carried it; so no vote is ever younger than what the sender has said.

use super::datagram::{FORMAT, PARTS_FORMAT};
use prost::Message;

/// The largest fleet whose whole set goes into every datagram.
pub const MOST_BY_BIT: u32 = 1_000;
/// Limiters of one window; 96 bytes of bits leave room for news beside them.
pub const WINDOW: u32 = 768;
/// The whole set goes into one part if its runs take at most so many bytes.
const MOST_RUN_BYTES: u32 = 96;

/// How the set is carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Encoding {
    /// A bit for each limiter in every datagram.
    Whole,
    /// One [`ReleasedPart`] in a datagram.
    Parts {
        /// Limiters of one window, a multiple of eight.
        window: u32,
        /// The whole set goes into one part if its runs take at most so many bytes.
        most_run_bytes: u32,
    },
}

impl Encoding {
    /// The encoding of a fleet of so many configured limiters.
    pub fn of(limiters: u32) -> Self {
        match limiters {
            0..=MOST_BY_BIT => Self::Whole,
            _ => Self::Parts {
                window: WINDOW,
                most_run_bytes: MOST_RUN_BYTES,
            },
        }
    }

    /// The format of datagrams that carry the set so.
    pub fn format(self) -> u32 {
        match self {
            Self::Whole => FORMAT,
            Self::Parts { .. } => PARTS_FORMAT,
        }
    }

    /// Limiters of one window of a fleet of `limiters`.
    pub fn window(self, limiters: usize) -> usize {
        match self {
            Self::Whole => limiters.next_multiple_of(8).max(8),
            Self::Parts { window, .. } => window as usize,
        }
    }
}

/// A part of the set, as a datagram has it: either `bits` or `runs`.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReleasedPart {
    /// Number of the first limiter that it tells of.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// It tells of so many limiters from there on.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// A bit for each of them from the first on, without the empty bytes at the end.
    #[prost(bytes = "vec", tag = "3")]
    pub bits: Vec<u8>,
    /// In turn the length of a run that is not released and of one that is.
    #[prost(uint32, repeated, tag = "4")]
    pub runs: Vec<u32>,
}

/// A part that was read: whole windows of the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SaidPart {
    /// Number of the first window.
    pub first_window: usize,
    /// The bits of each window, without the empty bytes at the end.
    pub windows: Vec<Vec<u8>>,
}

impl SaidPart {
    /// The whole set from a bit for each of `limiters`.
    pub fn whole(bits: &[u8], limiters: usize) -> Self {
        let bits = &bits[..bits.len().min(limiters.div_ceil(8))];
        Self {
            first_window: 0,
            windows: vec![trimmed(bits)],
        }
    }
}

/// Is `index` in the set?
pub fn has(bits: &[u8], index: usize) -> bool {
    bits.get(index / 8)
        .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}

/// Adds `index` to the set.
pub fn insert(bits: &mut Vec<u8>, index: usize) {
    if bits.len() <= index / 8 {
        bits.resize(index / 8 + 1, 0);
    }
    bits[index / 8] |= 1 << (index % 8);
}

/// Takes `index` out of the set.
pub fn remove(bits: &mut Vec<u8>, index: usize) {
    if let Some(byte) = bits.get_mut(index / 8) {
        *byte &= !(1 << (index % 8));
    }
    while bits.last() == Some(&0) {
        bits.pop();
    }
}

/// The bits of one window of the set.
pub fn window_bits(bits: &[u8], window: usize, number: usize) -> &[u8] {
    let bytes = window / 8;
    let first = (number * bytes).min(bits.len());
    &bits[first..(first + bytes).min(bits.len())]
}

/// The set as it is carried in parts, without those that tell of nobody.
pub fn parts(bits: &[u8], limiters: u32, window: u32, most_run_bytes: u32) -> Vec<ReleasedPart> {
    if bits.is_empty() {
        return Vec::new();
    }
    let whole = ReleasedPart {
        count: limiters,
        runs: runs(bits),
        ..ReleasedPart::default()
    };
    if run_bytes(&whole.runs) <= most_run_bytes as usize {
        return vec![whole];
    }
    let windows = limiters.div_ceil(window);
    let tells = |part: &ReleasedPart| !part.bits.is_empty() || !part.runs.is_empty();
    (0..windows)
        .map(|number| window_part(bits, limiters, window, number))
        .filter(tells)
        .collect()
}

/// One window, as runs or bits, whichever is shorter.
fn window_part(bits: &[u8], limiters: u32, window: u32, number: u32) -> ReleasedPart {
    let first = number * window;
    let part = ReleasedPart {
        first,
        count: window.min(limiters - first),
        ..ReleasedPart::default()
    };
    let bits = trimmed(window_bits(bits, window as usize, number as usize));
    let runs = runs(&bits);
    if run_bytes(&runs) < bits.len() {
        ReleasedPart { runs, ..part }
    } else {
        ReleasedPart { bits, ..part }
    }
}

impl ReleasedPart {
    /// What it says in a fleet of `limiters`; none if no limiter of that fleet can have said it.
    pub fn read(&self, limiters: u32, window: u32) -> Option<SaidPart> {
        let end = self.first.checked_add(self.count)?;
        let bounded = self.count > 0 && self.first % window == 0 && end <= limiters;
        let whole_windows = end == limiters || (bounded && self.count % window == 0);
        if !bounded || !whole_windows || !(self.bits.is_empty() || self.runs.is_empty()) {
            return None;
        }
        let bits = match self.runs.is_empty() {
            true => self.bits.clone(),
            false => self.bits_of_runs()?,
        };
        let last = bits.iter().rposition(|byte| *byte != 0);
        let beyond = |last: usize| {
            last * 8 + (7 - bits[last].leading_zeros() as usize) >= self.count as usize
        };
        if bits.len() > self.count.div_ceil(8) as usize || last.is_some_and(beyond) {
            return None;
        }
        let windows = self.count.div_ceil(window) as usize;
        let window_of = |number| trimmed(window_bits(&bits, window as usize, number));
        Some(SaidPart {
            first_window: (self.first / window) as usize,
            windows: (0..windows).map(window_of).collect(),
        })
    }

    /// The bits that the runs stand for; none if they reach beyond what the part tells of.
    fn bits_of_runs(&self) -> Option<Vec<u8>> {
        let (mut bits, mut at) = (Vec::new(), 0u32);
        for (index, length) in self.runs.iter().enumerate() {
            let end = at.checked_add(*length).filter(|end| *end <= self.count)?;
            let released = index % 2 == 1;
            if released {
                (at..end).for_each(|who| insert(&mut bits, who as usize));
            }
            at = end;
        }
        Some(bits)
    }
}

/// The set without the empty bytes at its end.
fn trimmed(bits: &[u8]) -> Vec<u8> {
    let end = bits
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |last| last + 1);
    bits[..end].to_vec()
}

/// In turn the length of a run outside of the set and of one inside.
fn runs(bits: &[u8]) -> Vec<u32> {
    let (mut runs, mut inside, mut length) = (Vec::new(), false, 0);
    for index in 0..bits.len() * 8 {
        if has(bits, index) != inside {
            runs.push(length);
            (inside, length) = (!inside, 0);
        }
        length += 1;
    }
    if inside {
        runs.push(length);
    }
    runs
}

/// Bytes that the runs take in a datagram.
fn run_bytes(runs: &[u32]) -> usize {
    runs.iter()
        .map(|run| prost::encoding::encoded_len_varint(u64::from(*run)))
        .sum()
}
