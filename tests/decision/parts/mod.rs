//! Unit tests of single modules of the decision engine.

mod account;
mod concurrency;
mod counter_sync;
mod fair_queue;
mod outlier;
mod quota_shares;
mod retry_budget;
mod slow_start;
