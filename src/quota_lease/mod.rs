//! Quota leases: limiters obtain units of an account's quota ahead of use, from the allocator that owns the account.
//!
//! `docs/quota-leases.md` has the design and the bound on what may go beyond a quota.

mod account;
pub mod allocator;
pub mod bucket;
mod exchange;
mod held;
pub mod holder;
pub mod message;
pub mod ownership;
pub mod placement;
