//! Quota leases: a limiter obtains units of an account's quota ahead of use from the allocator that
//! owns the account.
//!
//! `docs/quota-leases.md` describes the design and bounds the number of units by which a quota may be
//! exceeded. [`allocator`] and [`holder`] are state machines without I/O: [`server`] runs an allocator
//! as a process, and [`link`] connects a limiter's holder to the allocators.

pub mod allocator;
pub mod bucket;
pub mod frame;
pub mod holder;
pub mod link;
pub mod message;
pub mod placement;
pub mod server;
