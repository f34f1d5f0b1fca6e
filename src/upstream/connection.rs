//! Connections to upstream servers, and the count of open ones.

use crate::retrying_stream::RetryingStream;
use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// An idle connection is not reused in the last part of the server's idle time-out, so that the
/// server does not close it meanwhile. That part is this long, but at most half of the time-out.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time after a response before a connection is reused. A server that responds twice does so
/// some milliseconds later, and the second response would be taken for the response to the next
/// request.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Linux's `MSG_PEEK | MSG_DONTWAIT`. With these flags the check before each reuse of a connection
/// takes one system call instead of three.
const PEEK_NONBLOCKING: i32 = 0x02 | 0x40;

/// A connection to an upstream server, counted as open until it is dropped.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    pub(super) _slot: ConnectionSlot,
}

/// Reads from a connection that it shares with other owners.
pub struct ConnectionReader(pub Arc<Connection>);

impl Read for ConnectionReader {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        RetryingStream(&self.0.stream).read(to)
    }
}

/// Number of connections that are open or being opened, one for each [`ConnectionSlot`].
#[derive(Clone, Default)]
pub(super) struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Returns the number of connections that are open or being opened.
    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    /// Counts one more connection until the returned slot is dropped.
    pub(super) fn reserve(&self) -> ConnectionSlot {
        self.0.fetch_add(1, Ordering::SeqCst);
        ConnectionSlot(self.clone())
    }
}

/// One connection in a [`ConnectionCount`].
pub(super) struct ConnectionSlot(ConnectionCount);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let ConnectionCount(count) = &self.0;
        count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection that is not in use. No thread is bound to it.
pub(super) struct IdleConnection {
    connection: Arc<Connection>,
    since: Instant,
}

impl IdleConnection {
    /// Returns a connection that is idle from now on.
    pub(super) fn new(connection: Arc<Connection>) -> Self {
        Self {
            connection,
            since: Instant::now(),
        }
    }

    /// When the connection became idle.
    pub(super) fn since(&self) -> Instant {
        self.since
    }

    /// Whether [`Self::reuse`] would return without waiting.
    pub(super) fn is_reusable_now(&self) -> bool {
        self.since.elapsed() >= REUSE_DELAY
    }

    /// Waits until the connection may be used again. Returns none if the server has closed it
    /// meanwhile or has sent unsolicited bytes.
    ///
    /// Guards against a request on a connection that the server has closed: the connection would be
    /// reset, and a request that is not idempotent would be lost with it, as it can't be retried.
    pub(super) fn reuse(self) -> Option<Arc<Connection>> {
        let usable_from = self.since + REUSE_DELAY;
        thread::sleep(usable_from.saturating_duration_since(Instant::now()));
        is_open_and_silent(&self.connection.stream).then_some(self.connection)
    }
}

/// Returns how long a connection may be idle and still be reused, if the server closes it after
/// `server_timeout`.
pub(super) fn max_idle_time(server_timeout: Duration) -> Duration {
    server_timeout - IDLE_MARGIN.min(server_timeout / 2)
}

/// Whether an idle connection is open and nothing was received on it. Bytes that are received on an
/// idle connection belong to no request.
pub fn is_open_and_silent(stream: &TcpStream) -> bool {
    let received =
        SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], PEEK_NONBLOCKING);
    received.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
