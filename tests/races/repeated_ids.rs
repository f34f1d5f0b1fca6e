//! An id comes again although its request may have run: it must not run twice if its class may not
//! be repeated.

use crate::peers::{
    next_command, served_reply, silent_discovery, start_limiter, start_resp_peer, Client,
    PeerAction, RunningLimiter, Seen,
};
use crate::support::{close, request_ids, settings_with_long_deadlines, wait_for_in_flight};

/// Starts a limiter with an upstream server that answers each id as `answer` returns.
fn limiter_with_server(
    answer: impl Fn(&str) -> PeerAction + Send + Sync + 'static,
) -> (RunningLimiter, Seen) {
    let (server, seen) = start_resp_peer(move |_, words| answer(&words[2]));
    let settings = settings_with_long_deadlines(silent_discovery(), &[("s-1", server)]);
    (start_limiter(&settings), seen)
}

/// Sends a request on a new connection, and closes the connection once the server has the request.
fn send_and_leave(limiter: &RunningLimiter, seen: &Seen, class: &str, id: &str) {
    let mut client = Client::connect_when_ready(limiter);
    client.send_request(class, id, 20_000);
    next_command(seen);
    close(client);
    wait_for_in_flight(limiter, 0);
}

#[test]
fn id_whose_client_left_is_not_forwarded_again() {
    let (limiter, seen) = limiter_with_server(|id| match id {
        "left" => PeerAction::Hang,
        id => served_reply(id),
    });
    send_and_leave(&limiter, &seen, "pay", "left");
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("pay", "left", 20_000);
    assert_eq!(client.read_reply(), "-ERR failed");
    client.send_request("pay", "other", 20_000);
    assert_eq!(client.read_reply(), "other");
    assert_eq!(request_ids(&seen), ["other"]);
}

#[test]
fn id_that_was_served_is_not_forwarded_again() {
    let (limiter, seen) = limiter_with_server(served_reply);
    let mut client = Client::connect_when_ready(&limiter);
    for reply in ["served", "-ERR failed"] {
        client.send_request("pay", "served", 20_000);
        assert_eq!(client.read_reply(), reply);
    }
    assert_eq!(request_ids(&seen), ["served"]);
}

/// Guards against ids that are kept where a repeat is harmless: its class may be repeated, or no
/// attempt has run.
#[test]
fn id_is_forwarded_again_where_that_is_harmless() {
    let (limiter, seen) = limiter_with_server(|id| match id {
        "rejected" => PeerAction::Reply("-BUSY\r\n".into()),
        id => served_reply(id),
    });
    let mut client = Client::connect_when_ready(&limiter);
    for _ in 0..2 {
        client.send_request("look", "read", 20_000);
        assert_eq!(client.read_reply(), "read");
        client.send_request("pay", "rejected", 20_000);
        assert!(client.read_reply().starts_with("-BUSY"));
    }
    let ids = request_ids(&seen);
    for id in ["read", "rejected"] {
        let attempts = ids.iter().filter(|other| *other == id).count();
        assert!(attempts >= 2, "{id}: {ids:?}");
    }
}
