//! Overload: several limiter engines share simulated upstream servers that have a fixed number of
//! cores.

#[path = "../common/mod.rs"]
mod common;

mod overload;
mod server;
mod world;
