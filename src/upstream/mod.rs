//! Attempts at upstream servers. A pool of connections carries one attempt at a time on each
//! connection, and each attempt runs on a thread with a small stack.
//!
//! Idle connections have no thread: hundreds of limiters on one machine would need more threads
//! than the system allows.

mod connection;
mod event;
mod pool;
mod protocol;
mod running_attempt;
mod servers;
mod worker;

pub use connection::{is_open_and_silent, Connection, ConnectionReader};
pub use event::{UpstreamEvent, UpstreamEventSink};
pub use pool::{UpstreamPool, UpstreamPoolOptions};
pub use protocol::{ClientPresence, Exchange, UpstreamProtocol};
