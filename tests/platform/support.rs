//! Limiters with settings that several tests share.

use crate::peers::{
    quota_counter, served_reply, settings, silent_discovery, start_limiter, start_resp_peer,
    RunningLimiter,
};
use std::net::SocketAddr;

/// Starts a limiter whose discovery sends no update and whose counter answers.
pub fn started_limiter(servers: &[(&str, SocketAddr)]) -> RunningLimiter {
    start_limiter(&settings(silent_discovery(), quota_counter().0, servers))
}

/// Starts a limiter with a limit of 40 client connections, of which clients may hold 32.
pub fn limiter_with_40_connections() -> RunningLimiter {
    let (server, _seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let mut settings = settings(silent_discovery(), quota_counter().0, &[("s-1", server)]);
    settings["limits"]["sockets"] = 96.into();
    start_limiter(&settings)
}
