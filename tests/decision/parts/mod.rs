//! The parts of the decision engine, each by itself.

mod account;
mod concurrency;
mod counter_sync;
mod fair_queue;
mod outlier;
mod quota_shares;
mod retry_budget;
mod slow_start;
