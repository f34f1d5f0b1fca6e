//! Accounting of the memory that a limiter holds for its peers.
//!
//! Everything that grows with the number or the behaviour of peers is charged to one
//! [`MemoryBudget`] while it is held. What does not fit is not read any further, or is rejected.
//! The budget also measures what no charge covers, and counts it against the limit of the process.
//! [`ResidentMemory`] is what the system counts, for the log.

mod budget;
mod other_process;
mod resident;
mod uncharged;

pub use budget::{MemoryBudget, MemoryCharge, MemoryHolder, MemoryLimits};
pub use other_process::OtherProcess;
pub use resident::ResidentMemory;
pub use uncharged::ResidentPages;

/// Memory that a running thread needs, in bytes: the pages of its stack that it has touched, and
/// the state that the allocator keeps for it.
pub const THREAD_BYTES: usize = 20 * 1024;
