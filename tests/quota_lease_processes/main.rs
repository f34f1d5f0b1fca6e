//! Quota leases with real processes on loopback.
//!
//! Most tests run three allocators, three limiters with an OpenAPI front, and simulated upstream servers
//! that count the requests that reach them. One test connects many limiters to one allocator.

#[path = "../peers/mod.rs"]
mod peers;

mod cluster;
mod connections;
mod files;
mod leases;
mod load;
