//! Quota leases: limiters obtain units of an account's quota ahead of use, from the allocator that owns the account.
//!
//! `docs/quota-leases.md` has the design and the bound on what may go beyond a quota.

mod account;
pub mod allocator;
pub mod bucket;
pub mod config;
mod exchange;
pub mod frame;
mod held;
pub mod holder;
pub mod link;
pub mod message;
pub mod ownership;
pub mod placement;
pub mod server;
