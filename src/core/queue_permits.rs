//! Permits for requests of clients that send many at once.
//!
//! The core's queue is unbounded and first in, first out. Clients that send hundreds of requests at
//! once need a permit for each, which is returned when the core takes the request up. So only a few of
//! their requests are ahead of those of other clients, and only a few of their readers compete with the
//! core for the processor.

use crate::threads::lock;
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// A fixed number of permits.
#[derive(Debug)]
pub struct QueuePermits {
    free: Mutex<usize>,
    returned: Condvar,
}

/// A permit, which is returned when this value is dropped.
#[derive(Debug)]
pub struct QueuePermit(Arc<QueuePermits>);

impl QueuePermits {
    /// Returns `count` permits.
    pub fn new(count: usize) -> Arc<Self> {
        Arc::new(Self {
            free: Mutex::new(count),
            returned: Condvar::new(),
        })
    }

    /// Takes a permit if one is free.
    pub fn try_acquire(self: &Arc<Self>) -> Option<QueuePermit> {
        let mut free = lock(&self.free);
        *free = free.checked_sub(1)?;
        Some(QueuePermit(self.clone()))
    }

    /// Waits for a permit and takes it.
    pub fn acquire(self: &Arc<Self>) -> QueuePermit {
        let free = lock(&self.free);
        let mut free = self
            .returned
            .wait_while(free, |free| *free == 0)
            .unwrap_or_else(PoisonError::into_inner);
        *free -= 1;
        QueuePermit(self.clone())
    }
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        *lock(&self.0.free) += 1;
        self.0.returned.notify_one();
    }
}
