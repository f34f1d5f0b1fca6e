//! Quota leases: tests of the allocator and holder state machines, separately and in a simulation with
//! virtual time that loses and delays messages and pauses and restarts processes. The bounds that the
//! simulation checks are those of `docs/quota-leases.md`.

mod allocator;
mod figures;
mod holder;
mod ledger;
mod messages;
mod placement;
mod properties;
mod world;
