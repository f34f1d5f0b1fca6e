//! Shares of what the limiters have together.

use mossrill::decision::QuotaShares;

#[test]
fn even_shares_add_up_to_the_whole() {
    let share = |limiter| {
        QuotaShares::even(limiter, 4)
            .share(0, 0..4)
            .expect("a member")
    };
    let sum: f64 = (0..4).map(share).sum();
    assert_eq!(sum, 1.0);
}

#[test]
fn a_limiter_without_its_lease_keeps_the_guaranteed_part() {
    let shares = QuotaShares {
        guaranteed: 0.5,
        lease_ends: 100,
        ..QuotaShares::even(0, 4)
    };
    assert_eq!(shares.share(99, 0..4), Some(0.25));
    assert_eq!(shares.share(100, 0..4), Some(0.125));
}

#[test]
fn the_leased_rest_of_a_dead_limiter_is_divided_among_the_others() {
    let reassigned = vec![false, false, false, true];
    let shares = QuotaShares {
        guaranteed: 0.5,
        reassigned,
        reassigned_until: 100,
        ..QuotaShares::even(0, 4)
    };
    let with_rest = shares.share(99, 0..4).expect("a member");
    assert!(
        (with_rest - (0.125 + 0.5 / 3.0)).abs() < 1e-12,
        "{with_rest}"
    );
    assert_eq!(shares.share(100, 0..4), Some(0.25));
}

#[test]
fn a_limiter_outside_of_the_set_has_no_share() {
    assert_eq!(QuotaShares::even(0, 4).share(0, 1..3), None);
    assert_eq!(QuotaShares::even(0, 4).account_divisor(0, 1, 2), 2.0);
}
