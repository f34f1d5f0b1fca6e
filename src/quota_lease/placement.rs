//! Which allocator owns an account: rendezvous hashing (highest random weight) over the allocators that serve.

use super::message::AccountKey;

/// The most allocators: messages have one bit for each.
pub const MAX_ALLOCATORS: u32 = 64;

/// Returns the weight of an account at an allocator. The owner has the highest among those that serve.
fn weight(account: AccountKey, allocator: u32) -> u64 {
    let mut input = [0; size_of::<u64>() + size_of::<u32>()];
    let (key, number) = input.split_at_mut(size_of::<u64>());
    key.copy_from_slice(&account.0.to_le_bytes());
    number.copy_from_slice(&allocator.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&input)
}

/// Returns the owner of an account among `allocators` numbered from 0, without those in the bit set
/// `reassigned`; `None` if that has all of them.
pub fn owner(account: AccountKey, allocators: u32, reassigned: u64) -> Option<u32> {
    let serves = |number: &u32| reassigned >> number & 1 == 0;
    let candidates = (0..allocators.min(MAX_ALLOCATORS)).filter(serves);
    candidates.max_by_key(|number| (weight(account, *number), *number))
}

/// Returns the bit set of the allocators with a higher weight than `number`, which owns the account
/// once all of them are reassigned; `None` if there is no allocator with this number.
pub fn ahead_of(account: AccountKey, allocators: u32, number: u32) -> Option<u64> {
    let allocators = allocators.min(MAX_ALLOCATORS);
    if number >= allocators {
        return None;
    }
    let own_rank = (weight(account, number), number);
    let ahead = (0..allocators).filter(|other| (weight(account, *other), *other) > own_rank);
    Some(ahead.fold(0, |bits, other| bits | 1 << other))
}
