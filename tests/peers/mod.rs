//! Scripted peers on loopback: clients, upstream servers, service discovery and counters.
// Each test binary uses a part of these.
#![allow(dead_code, unused_imports)]

mod client;
mod limiter;
mod program;
mod servers;
mod stores;
mod wait;

pub use client::{asking, asking_for, call, Client};
pub use limiter::{limiter, openapi_limiter, openapi_reloaded, settings, Running};
pub use program::Program;
pub use servers::{answer, command, http, http_peer, next, peer, resp_peer, serve, Act, Seen};
pub use stores::{counted, entry, quiet_list, quota_counter, whole_list};
pub use wait::until;
