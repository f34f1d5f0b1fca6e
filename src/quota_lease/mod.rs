//! Quota leases: limiters obtain units of an account's quota ahead of use, from the allocator that owns the account.
//!
//! `docs/quota-leases.md` has the design and the bound on what may go beyond a quota.

mod account;
pub mod allocator;
pub mod bucket;
/// Configuration of quota leases in a limiter's file.
// Re-exported until the lead joins the folders.
pub mod config {
    pub use crate::config::QuotaLeaseConfig as LimiterLeases;
}
mod exchange;
pub mod frame;
mod held;
pub mod holder;
pub mod link;
pub mod message;
pub mod ownership;
pub mod placement;
pub mod server;
