//! Connections to upstream servers, and their number.

use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A connection is not used again within this time of the server's closing it, or within half of the time
/// that it may be idle, where that is shorter.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time after a response before a connection is used again. A server that responds twice does so some
/// milliseconds later, and the second response would be taken for that of the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Linux's `MSG_PEEK | MSG_DONTWAIT`: one system call in place of three for each reuse of a connection.
const PEEK_WITHOUT_WAITING: i32 = 0x02 | 0x40;

/// A connection to an upstream server, counted as open until it is dropped.
pub struct Connection {
    /// What is read from and written to.
    pub stream: TcpStream,
    pub(super) _slot: ConnectionSlot,
}

/// A reader of a connection that shares its ownership.
pub struct ConnectionReader(pub Arc<Connection>);

impl Read for ConnectionReader {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        (&self.0.stream).read(to)
    }
}

/// The number of open connections, which a [`ConnectionSlot`] counts as one of.
#[derive(Clone, Default)]
pub(super) struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Connections that are open or being opened.
    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    /// Counts one more connection until the slot is dropped.
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

/// A connection that waits for its next attempt; no thread waits with it.
pub(super) struct IdleConnection {
    connection: Arc<Connection>,
    since: Instant,
}

impl IdleConnection {
    /// A connection that is idle from now on.
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

    /// Whether [`Self::reuse`] would not wait.
    pub(super) fn is_reusable_now(&self) -> bool {
        self.since.elapsed() >= REUSE_DELAY
    }

    /// Waits until the connection may be used again. None if the server has closed it meanwhile or sent
    /// something unasked.
    ///
    /// Guards against a request on a connection that the server has closed: it would end as a reset, and a
    /// request that is not idempotent would be lost with it.
    pub(super) fn reuse(self) -> Option<Arc<Connection>> {
        let usable_from = self.since + REUSE_DELAY;
        thread::sleep(usable_from.saturating_duration_since(Instant::now()));
        is_open_and_silent(&self.connection.stream).then_some(self.connection)
    }
}

/// How long a connection may be idle and still be used, where the server closes it after `server_timeout`.
pub(super) fn max_idle_time(server_timeout: Duration) -> Duration {
    server_timeout - IDLE_MARGIN.min(server_timeout / 2)
}

/// Whether nothing was received on an idle connection: neither its end nor bytes that belong to no request.
pub fn is_open_and_silent(stream: &TcpStream) -> bool {
    let received =
        SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], PEEK_WITHOUT_WAITING);
    received.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
