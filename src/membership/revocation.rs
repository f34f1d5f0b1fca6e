//! How datagrams carry the set of limiters whose leases the sender has voted to revoke.
//!
//! A fleet of at most [`MAX_WHOLE_SET_LIMITERS`](super::format::MAX_WHOLE_SET_LIMITERS) limiters
//! carries the whole set in every datagram, as one bit for each limiter. In a larger fleet a
//! datagram carries one [`RevocationPart`]: the whole set if its run lengths are short, otherwise
//! one window of it, each window in turn. A part says nothing about limiters outside of it, and its
//! votes count from the time at which its datagram was sent, so that later datagrams with other
//! parts do not extend them.

use super::bitset;
use prost::Message;

/// A part of the set as a datagram carries it, either as `bits` or as `runs`.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct RevocationPart {
    /// Number of the first limiter that the part covers.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Number of limiters that the part covers.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// One bit for each limiter covered, without trailing zero bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub bits: Vec<u8>,
    /// Lengths of alternating runs of limiters outside and inside of the set, beginning outside.
    #[prost(uint32, repeated, tag = "4")]
    pub runs: Vec<u32>,
}

/// The decoded contents of a part: consecutive windows of the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevocationWindows {
    /// Number of the first window.
    pub first_window: usize,
    /// The bits of each window, without trailing zero bytes.
    pub windows: Vec<Vec<u8>>,
}

impl RevocationWindows {
    /// Returns the whole set as one window, from one bit for each of `limiters`.
    pub fn whole(bits: &[u8], limiters: usize) -> Self {
        let bits = &bits[..bits.len().min(limiters.div_ceil(8))];
        Self {
            first_window: 0,
            windows: vec![bitset::trimmed(bits)],
        }
    }
}

/// Encodes the set `bits` of a fleet of `limiters` as parts, without empty ones.
///
/// The whole set goes into one part if its run lengths take at most `max_run_bytes` bytes,
/// otherwise each part has one window of `window` limiters.
pub fn encode_parts(
    bits: &[u8],
    limiters: u32,
    window: u32,
    max_run_bytes: u32,
) -> Vec<RevocationPart> {
    if bits.is_empty() {
        return Vec::new();
    }
    let whole = RevocationPart {
        count: limiters,
        runs: run_lengths(bits),
        ..RevocationPart::default()
    };
    if encoded_run_bytes(&whole.runs) <= max_run_bytes as usize {
        return vec![whole];
    }
    (0..limiters.div_ceil(window))
        .map(|number| encode_window(bits, limiters, window, number))
        .filter(|part| !part.bits.is_empty() || !part.runs.is_empty())
        .collect()
}

/// Encodes one window as runs or bits, whichever is shorter.
fn encode_window(bits: &[u8], limiters: u32, window: u32, number: u32) -> RevocationPart {
    let first = number * window;
    let part = RevocationPart {
        first,
        count: window.min(limiters - first),
        ..RevocationPart::default()
    };
    let bits = bitset::trimmed(bitset::window(bits, window as usize, number as usize));
    let runs = run_lengths(&bits);
    if encoded_run_bytes(&runs) < bits.len() {
        RevocationPart { runs, ..part }
    } else {
        RevocationPart { bits, ..part }
    }
}

impl RevocationPart {
    /// Decodes the part for a fleet of `limiters` with windows of `window` limiters. Returns `None`
    /// if no limiter of that fleet can have sent the part.
    pub fn windows(&self, limiters: u32, window: u32) -> Option<RevocationWindows> {
        if !self.covers_whole_windows(limiters, window) {
            return None;
        }
        if !self.bits.is_empty() && !self.runs.is_empty() {
            return None;
        }
        let bits = if self.runs.is_empty() {
            self.bits.clone()
        } else {
            self.bits_of_runs()?
        };
        let exceeds_part =
            bitset::highest(&bits).is_some_and(|highest| highest >= self.count as usize);
        if bits.len() > self.count.div_ceil(8) as usize || exceeds_part {
            return None;
        }
        let window_count = self.count.div_ceil(window) as usize;
        let windows = (0..window_count)
            .map(|number| bitset::trimmed(bitset::window(&bits, window as usize, number)))
            .collect();
        Some(RevocationWindows {
            first_window: (self.first / window) as usize,
            windows,
        })
    }

    /// Returns whether the part begins at the start of a window, and ends at the end of a window or
    /// with the last limiter of the fleet.
    fn covers_whole_windows(&self, limiters: u32, window: u32) -> bool {
        let Some(end) = self.first.checked_add(self.count) else {
            return false;
        };
        let within_fleet = self.count > 0 && end <= limiters;
        let ends_at_window = end == limiters || self.count % window == 0;
        within_fleet && self.first % window == 0 && ends_at_window
    }

    /// Converts the runs to bits; returns `None` if the runs exceed the part.
    fn bits_of_runs(&self) -> Option<Vec<u8>> {
        let mut bits = Vec::new();
        let mut start = 0u32;
        for (index, length) in self.runs.iter().enumerate() {
            let end = start
                .checked_add(*length)
                .filter(|end| *end <= self.count)?;
            let inside = index % 2 == 1;
            if inside {
                for limiter in start..end {
                    bitset::insert(&mut bits, limiter as usize);
                }
            }
            start = end;
        }
        Some(bits)
    }
}

/// Returns the lengths of alternating runs outside and inside of the set, beginning outside.
fn run_lengths(bits: &[u8]) -> Vec<u32> {
    let mut runs = Vec::new();
    let mut inside = false;
    let mut length = 0;
    for index in 0..bits.len() * 8 {
        if bitset::contains(bits, index) != inside {
            runs.push(length);
            inside = !inside;
            length = 0;
        }
        length += 1;
    }
    if inside {
        runs.push(length);
    }
    runs
}

/// Returns the number of bytes that the runs take in a datagram.
fn encoded_run_bytes(runs: &[u32]) -> usize {
    runs.iter()
        .map(|run| prost::encoding::encoded_len_varint(u64::from(*run)))
        .sum()
}
