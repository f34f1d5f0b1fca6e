//! The decision engine by hand-worked examples, and a small test for each failure found.

#[path = "../common/mod.rs"]
mod common;

mod account_quota;
mod actions;
mod concurrency_limit;
mod counter_sync;
mod fair_queue;
mod load_balancing;
mod parts;
mod rejection;
