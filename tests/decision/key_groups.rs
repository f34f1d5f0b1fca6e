//! Groups of servers that discard repeats of an idempotency key together.

use crate::common::*;
use mossrill::decision::*;

/// Index of the class whose keys the servers of one zone share.
const ZONE_KEYED: usize = 1;

/// Guards against a repeat in another group: the first attempt's server has started anew in another
/// zone meanwhile, where nobody has seen the key.
#[test]
fn keyed_request_is_not_repeated_in_the_zone_that_its_server_moved_to() {
    let settings = Settings {
        counter: false,
        ..settings()
    };
    let mut harness = EngineHarness::new(settings, 4);
    let (id, first) = sent_attempts(&harness.request("r1", ZONE_KEYED, 0, "c1")).remove(0);
    let zone = if ["s0", "s2"].contains(&&*first.0) {
        "z1"
    } else {
        "z0"
    };
    harness.now += 5_000;
    let moved = Endpoint {
        started_at: harness.now,
        ..endpoint(&first.0, zone)
    };
    harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: vec![moved],
    });
    harness.now += 5_000;
    let actions = harness.end_attempt(&id.0, 0, &first, Outcome::Reset);
    assert_eq!(sent_attempts(&actions), []);
}
