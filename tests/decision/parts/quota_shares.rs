//! Unit tests of quota shares.

use mossrill::decision::QuotaShares;

#[test]
fn even_shares_add_up_to_one() {
    let share = |limiter| {
        QuotaShares::even(limiter, 4)
            .share(0, 0..4)
            .expect("the limiter is in the set")
    };
    let sum: f64 = (0..4).map(share).sum();
    assert_eq!(sum, 1.0);
}

#[test]
fn a_limiter_keeps_the_guaranteed_part_of_its_share_after_its_lease_ends() {
    let shares = QuotaShares {
        guaranteed: 0.5,
        lease_ends: 100,
        ..QuotaShares::even(0, 4)
    };
    assert_eq!(shares.share(99, 0..4), Some(0.25));
    assert_eq!(shares.share(100, 0..4), Some(0.125));
}

#[test]
fn the_leased_part_of_a_dead_limiters_share_is_divided_among_the_others() {
    let reassigned = vec![false, false, false, true];
    let shares = QuotaShares {
        guaranteed: 0.5,
        reassigned,
        reassigned_until: 100,
        ..QuotaShares::even(0, 4)
    };
    let share = shares.share(99, 0..4).expect("the limiter is in the set");
    assert!(
        (share - (0.125 + 0.5 / 3.0)).abs() < 1e-12,
        "expected a share of 0.125 + 0.5 / 3, got {share}"
    );
    assert_eq!(shares.share(100, 0..4), Some(0.25));
}

#[test]
fn a_limiter_outside_the_set_has_no_share() {
    assert_eq!(QuotaShares::even(0, 4).share(0, 1..3), None);
    assert_eq!(QuotaShares::even(0, 4).account_divisor(0, 1, 2), 2.0);
}
