//! What speaks to the platform: agents in front, ticket nodes behind, the node list and the quota counter.
//!
//! Each connection has a small thread of its own; all of them reach the core through its queue.

pub mod agents;
pub mod buffers;
pub mod count_lines;
pub mod front;
pub mod http;
pub mod node_calls;
pub mod node_list;
pub mod platform;
pub mod quota_counter;
pub mod redis_counter;
pub mod resp;
pub mod ticket_nodes;
pub mod wiring;

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

/// Enough for every thread of this program; hundreds of them must fit beside the buffers.
const STACK: usize = 96 * 1024;

/// Starts a thread with a small stack.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(STACK).spawn(work).map(drop)
}

/// Locks; what a panicking thread left behind is still whole, as no lock is held over a call that may panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
