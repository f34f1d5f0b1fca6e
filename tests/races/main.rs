//! Races: a request, an answer, an endpoint update or a signal arrives between two steps of the limiter.
//!
//! Each race is forced by a peer that holds back or splits its bytes, or by a gate; no test relies on chance.

#[path = "../peers/mod.rs"]
mod peers;

mod client_close;
mod client_close_http;
mod close_latency;
mod counter;
mod discovery;
mod shutdown;
mod support;
mod upstream;
