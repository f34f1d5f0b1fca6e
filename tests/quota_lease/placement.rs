//! Placement: which allocator owns an account.

use mossrill::quota_lease::message::AccountKey;
use mossrill::quota_lease::placement::{ahead_of, owner, MAX_ALLOCATORS};

const ACCOUNTS: usize = 75_000;
const ALLOCATORS: u32 = 7;

fn keys() -> impl Iterator<Item = AccountKey> {
    (0..ACCOUNTS).map(|number| AccountKey::of(&format!("tenant-{number}")))
}

#[test]
fn accounts_are_balanced_over_the_allocators() {
    let mut owned = [0usize; ALLOCATORS as usize];
    for key in keys() {
        owned[owner(key, ALLOCATORS, 0).unwrap() as usize] += 1;
    }
    // 480 is about five standard deviations of the number of accounts of one of seven allocators.
    let even = ACCOUNTS / ALLOCATORS as usize;
    assert!(
        owned.iter().all(|count| count.abs_diff(even) < 480),
        "{owned:?}"
    );
}

#[test]
fn accounts_of_a_lost_allocator_move_evenly_to_the_others_and_no_other_accounts_move() {
    for lost in 0..ALLOCATORS {
        let mut gained = [0usize; ALLOCATORS as usize];
        for key in keys() {
            let (before, after) = (
                owner(key, ALLOCATORS, 0).unwrap(),
                owner(key, ALLOCATORS, 1 << lost).unwrap(),
            );
            assert_ne!(after, lost);
            assert!(before == lost || before == after);
            gained[after as usize] += usize::from(before != after);
        }
        let even = ACCOUNTS / ALLOCATORS as usize / (ALLOCATORS as usize - 1);
        let others = gained
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != lost as usize);
        assert!(
            others.clone().all(|(_, count)| count.abs_diff(even) < 240),
            "{gained:?}"
        );
    }
}

#[test]
fn an_allocator_owns_an_account_if_all_allocators_ahead_of_it_are_reassigned() {
    for key in keys().take(2_000) {
        for reassigned in 0..1u64 << ALLOCATORS {
            let owns = |number: &u32| {
                let ahead = ahead_of(key, ALLOCATORS, *number).unwrap();
                reassigned >> number & 1 == 0 && ahead & !reassigned == 0
            };
            let owners: Vec<_> = (0..ALLOCATORS).filter(owns).collect();
            assert_eq!(
                owners,
                owner(key, ALLOCATORS, reassigned)
                    .into_iter()
                    .collect::<Vec<_>>()
            );
        }
    }
}

#[test]
fn allocator_numbers_out_of_range_own_no_account() {
    let key = AccountKey::of("a");
    assert_eq!(owner(key, 0, 0), None);
    assert_eq!(owner(key, ALLOCATORS, u64::MAX), None);
    assert_eq!(ahead_of(key, ALLOCATORS, ALLOCATORS), None);
    assert!(owner(key, u32::MAX, 0).unwrap() < MAX_ALLOCATORS);
    assert_eq!(ahead_of(key, u32::MAX, u32::MAX), None);
}
