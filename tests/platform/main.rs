//! Tests of a limiter with the platform protocol, over loopback against scripted peers. Most tests
//! cover one fault of a client, an upstream server, service discovery or the counter.

#[path = "../peers/mod.rs"]
mod peers;

mod configuration;
mod connections;
mod malformed;
mod pipelining;
mod requests;
mod support;
