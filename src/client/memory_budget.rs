//! Bounds the memory that the unanswered requests of all clients hold together.
//!
//! A request is charged when it is read, before it enters the queue of the core, and until its
//! reply was written. The budget is shared by dynamic thresholds: a connection may hold a fixed
//! fraction of what is still free. Connections that pipeline many requests thus never use up the
//! whole budget, and what remains free is enough for connections that hold little.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Memory that a request needs besides its bytes, in bytes: its entries in the front, in the core
/// and in the decision engine.
const REQUEST_OVERHEAD_BYTES: usize = 2 * 1024;
/// A connection may hold one part in this many of the memory that is free.
const FREE_MEMORY_PARTS: usize = 8;

/// The memory that unanswered requests may hold.
pub struct MemoryBudget {
    /// In bytes. What the last requests leave free because of [`FREE_MEMORY_PARTS`] is included.
    limit: usize,
    /// Whether another process of this limiter holds requests too. Each then has half of the limit.
    is_shared: AtomicBool,
    /// Least number of bytes that a request is charged, which bounds the number of requests.
    min_charge: usize,
    /// In bytes.
    charged: AtomicUsize,
}

/// The memory that the unanswered requests of one connection hold, in bytes.
#[derive(Default)]
pub(super) struct ConnectionMemory(AtomicUsize);

/// A charge to the budget and to a connection, which ends when this value is dropped.
pub(super) struct MemoryCharge {
    budget: Arc<MemoryBudget>,
    connection: Arc<ConnectionMemory>,
    /// In bytes.
    size: usize,
}

impl MemoryBudget {
    /// Returns a budget of `bytes` for at most `max_requests` requests.
    pub fn new(bytes: usize, max_requests: usize) -> Arc<Self> {
        let min_charge = (bytes / max_requests.max(1)).max(REQUEST_OVERHEAD_BYTES);
        Arc::new(Self {
            limit: bytes + (FREE_MEMORY_PARTS - 1) * min_charge,
            is_shared: AtomicBool::new(false),
            min_charge,
            charged: AtomicUsize::new(0),
        })
    }

    /// Sets whether another process of this limiter holds requests too, as during an upgrade.
    pub fn set_shared(&self, is_shared: bool) {
        self.is_shared.store(is_shared, Ordering::Relaxed);
    }

    fn current_limit(&self) -> usize {
        if self.is_shared.load(Ordering::Relaxed) {
            self.limit / 2
        } else {
            self.limit
        }
    }

    /// Charges a request of `bytes`. Returns `None` if the connection would hold more than its part
    /// of the free memory.
    pub(super) fn charge(
        self: &Arc<Self>,
        connection: &Arc<ConnectionMemory>,
        bytes: usize,
    ) -> Option<MemoryCharge> {
        let size = (bytes + REQUEST_OVERHEAD_BYTES).max(self.min_charge);
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
        Some(MemoryCharge {
            budget: self.clone(),
            connection: connection.clone(),
            size,
        })
    }
}

impl MemoryCharge {
    /// Charges a reply of `bytes` as well, as far as the charge for its request does not cover it.
    /// The reply is never rejected, but further requests are while the budget is exceeded.
    pub(super) fn cover_reply(&mut self, bytes: usize) {
        let added = (bytes + REQUEST_OVERHEAD_BYTES).saturating_sub(self.size);
        self.budget.charged.fetch_add(added, Ordering::Relaxed);
        self.connection.0.fetch_add(added, Ordering::Relaxed);
        self.size += added;
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.budget.charged.fetch_sub(self.size, Ordering::Relaxed);
        self.connection.0.fetch_sub(self.size, Ordering::Relaxed);
    }
}
