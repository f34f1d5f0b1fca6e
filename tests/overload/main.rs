//! Overload: several engines before simulated upstream servers with a bounded number of cores.

#[path = "../common/mod.rs"]
mod common;

mod overload;
mod server;
mod world;
