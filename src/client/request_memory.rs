//! Bounds the memory that the unanswered requests of all clients hold together.
//!
//! A request is charged when it is read, before it enters the queue of the core, and until its
//! reply was written. The memory is shared by dynamic thresholds: a connection may hold a fixed
//! fraction of what is still free. Connections that pipeline many requests thus never use up all of
//! it, and what remains free is enough for connections that hold little.

use crate::memory::{MemoryBudget, MemoryCharge, MemoryHolder};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Memory that a request needs besides its bytes, in bytes: its entries in the front, in the core
/// and in the decision engine.
const REQUEST_OVERHEAD_BYTES: usize = 2 * 1024;
/// A connection may hold one part in this many of the memory that is free.
const FREE_MEMORY_PARTS: usize = 8;

/// The memory that unanswered requests may hold.
pub(super) struct RequestMemory {
    /// Budget of the process, to which requests are charged too.
    process: Arc<MemoryBudget>,
    /// In bytes. What the last requests leave free because of [`FREE_MEMORY_PARTS`] is included.
    limit: usize,
    /// Least number of bytes that a request counts for, which bounds the number of requests.
    min_charge: usize,
    /// In bytes.
    charged: AtomicUsize,
}

/// The memory that the unanswered requests of one connection hold, in bytes.
#[derive(Default)]
pub(super) struct ConnectionMemory(AtomicUsize);

/// The memory of one request and of its reply. The charge ends when this value is dropped.
pub(super) struct RequestCharge {
    requests: Arc<RequestMemory>,
    connection: Arc<ConnectionMemory>,
    /// In bytes.
    size: usize,
    _process: MemoryCharge,
}

impl RequestMemory {
    /// Returns a limit of `bytes` for at most `max_requests` requests of a process with this budget.
    pub(super) fn new(process: Arc<MemoryBudget>, bytes: usize, max_requests: usize) -> Arc<Self> {
        let min_charge = (bytes / max_requests.max(1)).max(REQUEST_OVERHEAD_BYTES);
        Arc::new(Self {
            process,
            limit: bytes + (FREE_MEMORY_PARTS - 1) * min_charge,
            min_charge,
            charged: AtomicUsize::new(0),
        })
    }

    fn current_limit(&self) -> usize {
        if self.process.is_shared() {
            self.limit / 2
        } else {
            self.limit
        }
    }

    /// Charges a request of `bytes`. Returns `None` if the connection would hold more than its part
    /// of the free memory, or the process more than its budget.
    pub(super) fn charge(
        self: &Arc<Self>,
        connection: &Arc<ConnectionMemory>,
        bytes: usize,
    ) -> Option<RequestCharge> {
        let needed = bytes + REQUEST_OVERHEAD_BYTES;
        let size = needed.max(self.min_charge);
        let process = self.process.try_charge(MemoryHolder::Request, needed)?;
        let held = connection.0.load(Ordering::Relaxed);
        let limit = self.current_limit();
        let fits = |charged| {
            let free = limit.saturating_sub(charged);
            (held + size <= free / FREE_MEMORY_PARTS).then_some(charged + size)
        };
        self.charged
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .ok()?;
        connection.0.fetch_add(size, Ordering::Relaxed);
        Some(RequestCharge {
            requests: self.clone(),
            connection: connection.clone(),
            size,
            _process: process,
        })
    }
}

impl RequestCharge {
    /// Counts a reply of `bytes` as well, as far as the charge for its request does not cover it.
    /// The reply is never rejected, but further requests are while the limit is exceeded. The
    /// process was charged for it when it was received.
    pub(super) fn cover_reply(&mut self, bytes: usize) {
        let added = (bytes + REQUEST_OVERHEAD_BYTES).saturating_sub(self.size);
        self.requests.charged.fetch_add(added, Ordering::Relaxed);
        self.connection.0.fetch_add(added, Ordering::Relaxed);
        self.size += added;
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        self.requests
            .charged
            .fetch_sub(self.size, Ordering::Relaxed);
        self.connection.0.fetch_sub(self.size, Ordering::Relaxed);
    }
}
