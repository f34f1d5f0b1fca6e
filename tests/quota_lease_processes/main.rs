//! Quota leases with real processes on loopback.
//!
//! Three allocators, three limiters with an OpenAPI front, and scripted upstream servers that record what reached them;
//! and many limiters at one allocator.

#[path = "../peers/mod.rs"]
mod peers;

mod cluster;
mod connections;
mod files;
mod leases;
mod load;
