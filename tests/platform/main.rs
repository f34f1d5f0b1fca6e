//! A limiter on the platform, over loopback against scripted peers; one test for each fault.

#[path = "../peers/mod.rs"]
mod peers;

mod configuration;
mod connections;
mod malformed;
mod requests;
mod support;
