//! The memory that the limiter uses.

mod resident;

pub use resident::ResidentMemory;
