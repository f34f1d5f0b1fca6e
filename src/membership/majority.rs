//! Counts the votes on many limiters at once and finds those with a majority.

use crate::decision::Micros;
use std::cmp::Reverse;

/// Number of binary digits of a count in [`VoteTally`]: enough for the largest fleet that can be
/// configured.
const TALLY_DIGITS: usize = 13;
/// Number of limiters whose counts share the words of one element of [`VoteTally`].
const TALLY_LANES: usize = u64::BITS as usize;
/// Number of bytes of the votes on [`TALLY_LANES`] limiters.
const LANE_BYTES: usize = TALLY_LANES / 8;

/// The votes of one limiter on one window of limiters.
#[derive(Clone, Copy, Debug)]
pub struct WindowVotes<'a> {
    /// Time in µs until which the votes count.
    pub valid_until: Micros,
    /// One bit for each limiter of the window, without trailing zero bytes.
    pub bits: &'a [u8],
}

/// Bit-sliced vote counters.
///
/// Each element of `counts` has the counts of 64 limiters. Its word `d` holds binary digit `d` of
/// each of these counts, so that a few operations on words add the votes on all 64. A count starts
/// at the value from which the vote that completes a majority overflows it.
struct VoteTally {
    counts: Vec<[u64; TALLY_DIGITS]>,
}

impl VoteTally {
    fn new(limiters: usize, majority: usize) -> Self {
        let start = (1 << TALLY_DIGITS) - majority;
        let digits =
            std::array::from_fn(|digit| if start >> digit & 1 == 1 { u64::MAX } else { 0 });
        Self {
            counts: vec![digits; limiters.div_ceil(TALLY_LANES)],
        }
    }

    /// Adds a set of votes and calls `on_majority` with each limiter whose majority it completes.
    fn add(&mut self, votes: &[u8], mut on_majority: impl FnMut(usize)) {
        let words = self.counts.iter_mut().zip(votes.chunks(LANE_BYTES));
        for (word, (digits, bytes)) in words.enumerate() {
            let mut lanes = [0; LANE_BYTES];
            lanes[..bytes.len()].copy_from_slice(bytes);
            let mut overflow = add_lanes(digits, u64::from_le_bytes(lanes));
            while overflow != 0 {
                on_majority(word * TALLY_LANES + overflow.trailing_zeros() as usize);
                overflow &= overflow - 1;
            }
        }
    }
}

/// Adds one to the counts whose bits are set in `lanes`; returns the counts that overflowed.
fn add_lanes(digits: &mut [u64; TALLY_DIGITS], lanes: u64) -> u64 {
    let mut carry = lanes;
    for digit in digits {
        if carry == 0 {
            break;
        }
        let sum = *digit ^ carry;
        carry &= *digit;
        *digit = sum;
    }
    carry
}

/// Returns for each limiter of a window of `size` limiters the time in µs until which the votes of
/// at least `majority` voters on it are valid; `None` if fewer have voted on it.
///
/// # Panics
///
/// If `majority` exceeds 2^13.
pub fn majority_deadlines(
    majority: usize,
    size: usize,
    mut votes: Vec<WindowVotes<'_>>,
) -> Vec<Option<Micros>> {
    let mut deadlines = vec![None; size];
    if votes.len() < majority {
        return deadlines;
    }
    votes.sort_unstable_by_key(|voter| Reverse(voter.valid_until));
    let mut tally = VoteTally::new(size, majority);
    for voter in votes {
        tally.add(voter.bits, |limiter| {
            if let Some(deadline) = deadlines.get_mut(limiter) {
                *deadline = Some(voter.valid_until);
            }
        });
    }
    deadlines
}
