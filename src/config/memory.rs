//! Division of the memory limit of a process.

use crate::memory::MemoryLimits;

/// Default and maximum of the memory limit that is counted on, in MiB.
pub(super) const MAX_MEMORY_MIB: f64 = 192.0;
/// Number of bytes in one MiB.
const MIB: f64 = 1_048_576.0;
/// What a limiter without peers needs, in MiB: the resident pages of the program and its libraries,
/// its first heap, idle threads and the endpoint list.
const BASE_MIB: f64 = 6.0;
/// Unused buffers of the pool may hold one part in this many of the limit.
const POOL_PARTS: f64 = 16.0;
/// The allocator may keep one part in this many of the limit in memory that was freed.
const ALLOCATOR_PARTS: f64 = 8.0;
/// The state of accounts may hold one part in this many of the limit.
const ACCOUNT_PARTS: f64 = 8.0;
/// The ids of requests that must not run again may hold one part in this many of the limit.
const RECENT_ID_PARTS: f64 = 32.0;
/// Memory that such an id holds, in bytes, with its places in the core.
const RECENT_ID_BYTES: f64 = 256.0;
/// The requests without a written reply may hold one part in this many of the limit.
const REQUEST_PARTS: f64 = 4.0;
/// The least that can be charged, in MiB. A limiter with a lower limit still serves.
const MIN_CHARGED_MIB: f64 = 4.0;
/// The least limit, in MiB, that measured memory is held to. The program alone may need a lower one,
/// and still serves.
const MIN_MEASURED_MIB: f64 = 16.0;
/// Memory that the state of one account holds, in bytes, with its place in the engine's maps.
const ACCOUNT_BYTES: f64 = 768.0;

/// Returns how a memory limit in MiB is divided.
pub(super) fn memory_limits(memory_mib: f64) -> MemoryLimits {
    let counted = counted_mib(memory_mib);
    let parts = [POOL_PARTS, ALLOCATOR_PARTS, ACCOUNT_PARTS, RECENT_ID_PARTS];
    let kept: f64 = parts.iter().map(|part| counted / part).sum();
    let charged = (counted - BASE_MIB - kept).max(MIN_CHARGED_MIB);
    MemoryLimits {
        process: (counted * MIB) as usize,
        measured: measured_limit(counted),
        charged: (charged * MIB) as usize,
        requests: (counted * MIB / REQUEST_PARTS) as usize,
    }
}

/// Returns the limit of charges and what is measured beside them, in bytes.
fn measured_limit(memory_mib: f64) -> usize {
    if memory_mib < MIN_MEASURED_MIB {
        usize::MAX
    } else {
        (memory_mib * MIB) as usize
    }
}

/// Returns the maximum number of accounts whose state is kept under a memory limit in MiB.
pub(super) fn max_accounts(memory_mib: f64) -> usize {
    (counted_mib(memory_mib) * MIB / ACCOUNT_PARTS / ACCOUNT_BYTES) as usize
}

/// Returns the maximum number of ids of requests that must not run again.
pub(super) fn max_recent_ids(memory_mib: f64) -> usize {
    (counted_mib(memory_mib) * MIB / RECENT_ID_PARTS / RECENT_ID_BYTES) as usize
}

fn counted_mib(memory_mib: f64) -> f64 {
    memory_mib.clamp(1.0, MAX_MEMORY_MIB)
}
