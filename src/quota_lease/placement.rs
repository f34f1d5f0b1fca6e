//! Which allocator owns an account: rendezvous hashing (highest random weight) over the allocators that serve.

use super::message::AccountKey;

/// Allocators at most: a bit each in a message.
pub const MAX_ALLOCATORS: u32 = 64;

/// Weight of an account at an allocator; the highest weight among those that serve is the owner's.
fn weight(account: AccountKey, allocator: u32) -> u64 {
    let mut input = [0; size_of::<u64>() + size_of::<u32>()];
    let (key, number) = input.split_at_mut(size_of::<u64>());
    key.copy_from_slice(&account.0.to_le_bytes());
    number.copy_from_slice(&allocator.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&input)
}

/// The owner of an account among `allocators` numbered from 0, of which those in the bit set `given_away` do not count.
/// None if all are given away.
pub fn owner(account: AccountKey, allocators: u32, given_away: u64) -> Option<u32> {
    let serves = |number: &u32| given_away >> number & 1 == 0;
    let candidates = (0..allocators.min(MAX_ALLOCATORS)).filter(serves);
    candidates.max_by_key(|number| (weight(account, *number), *number))
}

/// Allocators that come before `number` in the account's order, a bit each: it owns the account once all of them are given
/// away. None if there is no such allocator.
pub fn ahead_of(account: AccountKey, allocators: u32, number: u32) -> Option<u64> {
    let allocators = allocators.min(MAX_ALLOCATORS);
    if number >= allocators {
        return None;
    }
    let own = (weight(account, number), number);
    let ahead = (0..allocators).filter(|other| (weight(account, *other), *other) > own);
    Some(ahead.fold(0, |bits, other| bits | 1 << other))
}
