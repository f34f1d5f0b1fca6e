//! Limiters with the settings that several tests use.

use crate::peers::{limiter, quiet_list, quota_counter, resp_peer, serve, settings, Running};
use std::net::SocketAddr;

pub fn started_limiter(servers: &[(&str, SocketAddr)]) -> Running {
    limiter(&settings(quiet_list(), quota_counter().0, servers))
}

/// A limiter with places for 40 clients' connections, of which clients may hold 32.
pub fn limiter_with_40_connections() -> Running {
    let (server, _seen) = resp_peer(|_, words| serve(&words[2]));
    let mut settings = settings(quiet_list(), quota_counter().0, &[("s-1", server)]);
    settings["limits"]["sockets"] = 96.into();
    limiter(&settings)
}
