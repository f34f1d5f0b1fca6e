//! Quota leases: limiters obtain units of an account's quota ahead of use, from the allocator that
//! owns the account.
//!
//! `docs/quota-leases.md` has the design and the bound on what may exceed a quota. [`allocator`] and
//! [`holder`] are state machines without I/O; [`server`] runs the one and [`link`] connects the other.

pub mod allocator;
pub mod bucket;
pub mod frame;
pub mod holder;
pub mod link;
pub mod message;
pub mod placement;
pub mod server;

// Re-exported until the lead joins the folders.
pub mod config {
    //! Former place of the configuration of quota leases.
    pub use crate::config::QuotaLeaseConfig as LimiterLeases;
}
