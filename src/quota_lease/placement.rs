//! Ownership of accounts by rendezvous hashing (highest random weight): of the serving allocators,
//! the one with the highest weight for an account owns it.

use super::message::AccountKey;

/// Maximum number of allocators. Messages encode a set of allocators as the bits of a 64-bit integer.
pub const MAX_ALLOCATORS: u32 = 64;

/// Returns the weight of an account at an allocator.
fn weight(account: AccountKey, allocator: u32) -> u64 {
    let mut input = [0; size_of::<u64>() + size_of::<u32>()];
    let (key, number) = input.split_at_mut(size_of::<u64>());
    key.copy_from_slice(&account.0.to_le_bytes());
    number.copy_from_slice(&allocator.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&input)
}

/// Returns the number of the allocator that owns an account. The allocators are numbered from 0 to
/// `allocators` - 1; those in the bit set `reassigned` own nothing. Returns `None` if all are in it.
pub fn owner(account: AccountKey, allocators: u32, reassigned: u64) -> Option<u32> {
    let is_serving = |number: &u32| reassigned >> number & 1 == 0;
    let candidates = (0..allocators.min(MAX_ALLOCATORS)).filter(is_serving);
    candidates.max_by_key(|number| (weight(account, *number), *number))
}

/// Returns the bit set of the allocators whose weight for the account is higher than that of allocator
/// `number`, which owns the account once all of them are reassigned. Returns `None` if there is no
/// allocator `number`.
pub fn ahead_of(account: AccountKey, allocators: u32, number: u32) -> Option<u64> {
    let allocators = allocators.min(MAX_ALLOCATORS);
    if number >= allocators {
        return None;
    }
    let own_rank = (weight(account, number), number);
    let ahead = (0..allocators).filter(|other| (weight(account, *other), *other) > own_rank);
    Some(ahead.fold(0, |bits, other| bits | 1 << other))
}
