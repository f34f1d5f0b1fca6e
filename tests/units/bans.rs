//! Tests of upstream servers that operators disable, whatever service discovery reports about them.

use mossrill::core::bans::ServerBans;
use mossrill::decision::*;

fn endpoint(id: &str, readiness: Readiness) -> Endpoint {
    Endpoint {
        id: id.into(),
        zone: String::new(),
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: 5,
    }
}

/// The values of endpoints that bans can change: id, readiness and start time.
fn summary(endpoints: &[Endpoint]) -> Vec<(&str, Readiness, Micros)> {
    endpoints
        .iter()
        .map(|endpoint| (&*endpoint.id.0, endpoint.readiness, endpoint.started_at))
        .collect()
}

#[test]
fn disabled_server_is_draining_in_every_update_until_it_is_enabled() {
    use Readiness::{Draining, Ready, Removed};
    let mut bans = ServerBans::default();
    let (a, b) = (ServerId::from("a"), ServerId::from("b"));
    bans.apply_update(
        UpdateScope::Snapshot,
        vec![endpoint("a", Ready), endpoint("b", Ready)],
    );
    assert_eq!(bans.disable(&"never".into()), None);
    // A server may be disabled repeatedly; enabling it once ends the ban.
    bans.disable(&a);
    assert_eq!(
        summary(&bans.disable(&a).expect("the server was listed")),
        [("a", Draining, 5)]
    );
    assert_eq!(bans.counts(), (2, 1));
    // The ban holds when the server is reported again, when a full list is received, and when the
    // server is removed and comes back under its id.
    assert_eq!(
        summary(&bans.apply_update(UpdateScope::Delta, vec![endpoint("a", Ready)])),
        [("a", Draining, 5)]
    );
    let full_list = bans.apply_update(
        UpdateScope::Snapshot,
        vec![endpoint("a", Ready), endpoint("b", Ready)],
    );
    assert_eq!(summary(&full_list), [("a", Draining, 5), ("b", Ready, 5)]);
    assert_eq!(
        summary(&bans.apply_update(UpdateScope::Delta, vec![endpoint("a", Removed)])),
        [("a", Removed, 5)]
    );
    assert_eq!(bans.counts(), (1, 0));
    assert_eq!(
        summary(&bans.apply_update(UpdateScope::Delta, vec![endpoint("a", Ready)])),
        [("a", Draining, 5)]
    );
    // Once enabled, the server counts as just started, also if the list reports an earlier start
    // time.
    assert_eq!(
        summary(&bans.enable(&a, 77).expect("the server was listed")),
        [("a", Ready, 77)]
    );
    assert_eq!(
        summary(&bans.apply_update(UpdateScope::Delta, vec![endpoint("a", Ready)])),
        [("a", Ready, 77)]
    );
    // Enabling a server that is not disabled changes nothing.
    assert_eq!(bans.enable(&b, 78), Some(Vec::new()));
    assert_eq!(bans.counts(), (2, 0));
}
