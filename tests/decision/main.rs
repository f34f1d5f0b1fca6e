//! Tests of the decision engine: examples worked out by hand, and a regression test for each fault
//! found.

#[path = "../common/mod.rs"]
mod common;

mod account_eviction;
mod account_quota;
mod actions;
mod concurrency_limit;
mod counter_sync;
mod fair_queue;
mod key_groups;
mod load_balancing;
mod parts;
mod rejection;
