//! Quota leases: allocators and limiters as state machines on a network of hand-made time, with losses, delays, pauses and
//! deaths. The bounds are those of `docs/quota-leases.md`.

mod allocator;
mod figures;
mod holder;
mod ledger;
mod messages;
mod placement;
mod properties;
mod world;
