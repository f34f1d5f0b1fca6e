//! Attempts at upstream servers: a pool of connections, one attempt at a time on each, a small thread for
//! each attempt.
//!
//! Idle connections hold no thread: hundreds of limiters on one machine would need more than a system gives.

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
